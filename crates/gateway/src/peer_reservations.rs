//! Reservations at other gateways, which own the budget of the request's team.
//!
//! The owner reserves the worst-case cost as for a request of its own, so its notes and its account cover it
//! from then on. When the request has ended, the other gateway reports the actual use. Until then, and for
//! good if no report arrives, the worst case counts as used. So neither the death of a gateway nor a lost
//! message can make a token be spent twice.

use crate::budget_state::DenialReason;
use crate::node::{Node, Phase};
use crate::owners::Owner;
use crate::ports::Wire;
use crate::team_budget::{Reservation, TeamBudget};
use budget::ledger::Level;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, exec};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::rows::Rows;

/// The paths of requests between gateways.
pub(crate) const RESERVE_PATH: &str = "/reserve";
pub(crate) const REPORT_PATH: &str = "/report";

/// The time that an owner may take to answer in addition to its wait for tokens: the latency between data
/// centres, and the delays of a slow VM.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(60);
/// The fraction of the time for which a request may wait for tokens that the owner may take up. The rest is
/// left for the network, and for the store if the owner does not answer.
const OWNER_TIMEOUT_RATIO: f64 = 0.6;
/// The number of unused connections to an owner that are kept, and for how long. With so few of them, here
/// and to gateways that make store calls for others, 295 gateways held 169 GB × s of memory instead of 288
/// over a day with a network partition and a loss of all.
const IDLE_CONNECTIONS: (usize, Duration) = (2, Duration::from_secs(10));
/// The largest message between gateways, in bytes.
const MESSAGE_LIMIT: usize = 16 << 10;
/// The attempts to report the use of a request, the time-out of each, and the delay between two. An owner
/// that does not answer for this long may be gone; if it is not, it charges the worst case.
const REPORT_ATTEMPTS: u32 = 4;
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// How long an owner waits for the report after the request's longest duration.
const REPORT_GRACE: Duration = Duration::from_secs(10);

/// Asks an owner to reserve tokens.
#[derive(Debug, Deserialize, Serialize)]
struct ReserveRequest {
    /// The process of the asking gateway, and the number of the reservation there.
    holder: String,
    number: u64,
    team: String,
    /// The team's prepaid total, as known to the asking gateway.
    level_version: u64,
    level_tokens: u64,
    tokens: u64,
    /// How long the owner may wait for tokens.
    patience_ms: u64,
    /// The longest duration of the request.
    lasts_ms: u64,
}

/// The owner's response to a [`ReserveRequest`].
#[derive(Debug, Deserialize, Serialize)]
enum ReserveResponse {
    Held,
    Denied {
        denied: DenialReason,
        ready_ms: u64,
        detail: String,
    },
    /// The gateway is stopping, or does not know the team.
    Unfit,
}

/// Tells the owner what a request used.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct UsageReport {
    holder: String,
    number: u64,
    request: String,
    tokens: u64,
}

/// The reservations that this gateway holds for others, and when they expire, by process and number.
type HeldReservations = HashMap<(String, u64), (Reservation, Instant)>;

/// The reservations of this gateway at others, and those that it holds for others.
#[derive(Debug)]
pub(crate) struct PeerReservations {
    holder: String,
    client: Client,
    next_number: AtomicU64,
    held: Mutex<HeldReservations>,
}

/// Tokens reserved at another gateway, until their use is reported.
#[derive(Debug)]
pub(crate) struct RemoteReservation {
    reservations: Arc<PeerReservations>,
    owner: SocketAddr,
    number: u64,
    is_reported: bool,
}

/// Why tokens can't be reserved: the reason, when to retry in milliseconds, and the details for the log.
pub(crate) type Denial = (DenialReason, u64, String);

/// The outcome of a [`ReserveRequest`].
enum ReserveOutcome {
    Held(RemoteReservation),
    Denied(Denial),
    /// The owner did not answer, is stopping, or does not know the team.
    Unavailable,
}

impl PeerReservations {
    pub(crate) fn new(holder: &str) -> PeerReservations {
        PeerReservations {
            holder: holder.to_owned(),
            client: Client::with_idle_limits(IDLE_CONNECTIONS.0, IDLE_CONNECTIONS.1),
            next_number: AtomicU64::new(1),
            held: Mutex::default(),
        }
    }

    async fn reserve_at(self: &Arc<Self>, owner: SocketAddr, request: &ReserveRequest) -> ReserveOutcome {
        let limit = Duration::from_millis(request.patience_ms) + NETWORK_ALLOWANCE;
        // From here on the owner may hold the reservation, so unless it is discarded, dropping it reports
        // that nothing was used.
        let reservation = RemoteReservation {
            reservations: self.clone(),
            owner,
            number: request.number,
            is_reported: false,
        };
        match self.send::<ReserveResponse>("reserve", owner, RESERVE_PATH, request, limit).await {
            Ok(ReserveResponse::Held) => ReserveOutcome::Held(reservation),
            Ok(ReserveResponse::Denied { denied, ready_ms, detail }) => {
                reservation.discard();
                ReserveOutcome::Denied((denied, ready_ms, format!("{detail} owner={owner}")))
            }
            Ok(ReserveResponse::Unfit) => {
                reservation.discard();
                ReserveOutcome::Unavailable
            }
            Err(error) => {
                log::warn!("budget: event=owner-away team={} owner={owner} error=\"{error}\"", request.team);
                if error.fault == net::Fault::Unsent {
                    reservation.discard();
                }
                ReserveOutcome::Unavailable
            }
        }
    }

    async fn send<T: for<'a> Deserialize<'a>>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Result<T, net::Error> {
        let error = |fault, reason: String| net::Error { step, peer: peer.to_string(), fault, reason };
        let bytes =
            bincode::serialize(message).map_err(|reason| error(net::Fault::Unsent, reason.to_string()))?;
        let request = Request::post(format!("http://{peer}{path}")).body(Body::from(bytes));
        let request = request.map_err(|reason| error(net::Fault::Unsent, reason.to_string()))?;
        let answer = self.client.exchange(step, request, MESSAGE_LIMIT, limit).await?;
        bincode::deserialize(answer.body()).map_err(|reason| error(net::Fault::Unknown, reason.to_string()))
    }

    /// Reports the use of a request in the background.
    fn report(self: &Arc<Self>, owner: SocketAddr, number: u64, request: &str, tokens: u64) {
        let report = UsageReport { holder: self.holder.clone(), number, request: request.to_owned(), tokens };
        let reservations = self.clone();
        exec::spawn(async move {
            for round in 1..=REPORT_ATTEMPTS {
                match reservations.send::<()>("report", owner, REPORT_PATH, &report, REPORT_TIMEOUT).await {
                    Ok(()) => return,
                    Err(error) if round == REPORT_ATTEMPTS => {
                        log::warn!(
                            "budget: event=not-reported request={} tokens={tokens} owner={owner} error=\"{error}\"",
                            report.request
                        );
                    }
                    Err(_) => exec::sleep(REPORT_RETRY_DELAY).await,
                }
            }
        })
        .detach();
    }

    /// Charges the reservation with the use that another gateway reports; it is released if nothing was used.
    fn apply_report(&self, report: &UsageReport) {
        let key = (report.holder.clone(), report.number);
        let reservation = self.held.lock().expect("no thread panics while it holds the lock").remove(&key);
        if let Some((reservation, _)) = reservation
            && report.tokens > 0
        {
            reservation.charge(&report.request, report.tokens);
        }
    }

    /// Charges the worst case of requests whose use was not reported in time.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut held = self.held.lock().expect("no thread panics while it holds the lock");
        let expired = held.extract_if(|_, (_, until)| *until <= now).collect::<Vec<_>>();
        drop(held);
        for ((holder, number), (reservation, _)) in expired {
            log::warn!("budget: event=charged-at-the-worst holder={holder} number={number}");
            reservation.charge_all(&holder);
        }
    }
}

impl RemoteReservation {
    /// Reports what the request used.
    pub(crate) fn charge(mut self, request: &str, tokens: u64) {
        self.is_reported = true;
        self.reservations.report(self.owner, self.number, request, tokens);
    }

    /// Drops a reservation that the owner certainly does not hold, without a report.
    fn discard(mut self) {
        self.is_reported = true;
    }
}

impl Drop for RemoteReservation {
    fn drop(&mut self) {
        if !self.is_reported {
            self.reservations.report(self.owner, self.number, "-", 0);
        }
    }
}

/// Reserves the worst-case cost of a request: at the team's owner, or here if this gateway owns the budget or
/// the owner is unavailable.
pub(crate) async fn reserve<W: Wire, S: Rows>(
    node: &Node<W, S>,
    budget: impl FnOnce() -> Option<Arc<TeamBudget>>,
    team: &str,
    level: Level,
    tokens: u64,
    timeout: Duration,
    max_duration: Duration,
) -> Result<Option<Reservation>, Denial> {
    let began = Instant::now();
    let owner = node.owners.owner_of(team);
    if let Owner::Peer(owner) = owner {
        let request = ReserveRequest {
            holder: node.holder.clone(),
            number: node.peer_reservations.next_number.fetch_add(1, Ordering::Relaxed),
            team: team.to_owned(),
            level_version: level.version,
            level_tokens: level.tokens,
            tokens,
            patience_ms: timeout.mul_f64(OWNER_TIMEOUT_RATIO).as_millis() as u64,
            lasts_ms: max_duration.as_millis() as u64,
        };
        // The reservation, and later the report of its use.
        (0..2).for_each(|_| node.load.record_message(0));
        match node.peer_reservations.reserve_at(owner, &request).await {
            ReserveOutcome::Held(reservation) => return Ok(Some(Reservation::Remote(reservation))),
            ReserveOutcome::Denied(denial) => return Err(denial),
            ReserveOutcome::Unavailable => node.owners.skip(owner),
        }
    }
    let Some(budget) = budget() else { return Ok(None) };
    let left = timeout.saturating_sub(began.elapsed());
    let reserved = budget.reserve(tokens, left).await;
    reserved.map(Some).map_err(|denied| (denied, budget.retry_after_ms(tokens), budget.explain(tokens)))
}

/// Handles the requests of other gateways that reserve tokens or report their use.
pub(crate) async fn answer<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Ok(bytes) = net::collect(request.into_body(), MESSAGE_LIMIT).await else { return bad_request() };
    match path.as_str() {
        RESERVE_PATH => match bincode::deserialize::<ReserveRequest>(&bytes) {
            Ok(request) => encode_response(&reserve_for_peer(&node, request).await),
            Err(_) => bad_request(),
        },
        _ => match bincode::deserialize::<UsageReport>(&bytes) {
            Ok(report) => {
                node.peer_reservations.apply_report(&report);
                encode_response(&())
            }
            Err(_) => bad_request(),
        },
    }
}

/// Reserves tokens for a request of another gateway.
async fn reserve_for_peer<W: Wire, S: Rows>(node: &Node<W, S>, request: ReserveRequest) -> ReserveResponse {
    if node.phase() != Phase::Serving {
        return ReserveResponse::Unfit;
    }
    let Some(manifest) = node.manifest() else { return ReserveResponse::Unfit };
    let team = manifest.teams.get(&request.team).cloned();
    let Some(budget) = team.and_then(|team| node.budget(&manifest, &team)) else {
        return ReserveResponse::Unfit;
    };
    budget.set_level(Level { version: request.level_version, tokens: request.level_tokens });
    match budget.reserve(request.tokens, Duration::from_millis(request.patience_ms)).await {
        Ok(reservation) => {
            let until = Instant::now() + Duration::from_millis(request.lasts_ms) + REPORT_GRACE;
            let key = (request.holder, request.number);
            node.peer_reservations
                .held
                .lock()
                .expect("no thread panics while it holds the lock")
                .insert(key, (reservation, until));
            ReserveResponse::Held
        }
        Err(denied) => {
            let (ready_ms, detail) = (budget.retry_after_ms(request.tokens), budget.explain(request.tokens));
            ReserveResponse::Denied { denied, ready_ms, detail }
        }
    }
}

fn encode_response(answer: &impl Serialize) -> Response<Body> {
    match bincode::serialize(answer) {
        Ok(bytes) => Response::new(Body::from(bytes)),
        Err(error) => {
            log::error!("budget: event=answer-not-encoded error=\"{error}\"");
            bad_request()
        }
    }
}

fn bad_request() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

#[cfg(test)]
#[path = "../tests/unit/peer_reservations.rs"]
mod tests;
