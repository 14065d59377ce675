//! Reserving tokens at another gateway, which owns the team's budget.
//!
//! The owner reserves the worst case as for a request of its own, so its notes and its account cover it from then on. What
//! was used is reported once the request has ended; until then, and for good if no report comes, the worst case counts as
//! used. So neither gateway's death nor a lost message can spend a token twice.

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

/// The paths at which gateways ask each other.
pub(crate) const RESERVE_PATH: &str = "/reserve";
pub(crate) const REPORT_PATH: &str = "/report";

/// How long an owner takes to answer beside what it may wait for the store: some ways between data centres, and a slow VM.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(60);
/// The part of the time that a request may wait for tokens which its owner may use: the rest is for the way, and for the
/// store if the owner does not answer.
const OWNER_TIMEOUT_RATIO: f64 = 0.6;
/// Unused connections to an owner that are kept, and how long. With few of them, here and to gateways that make calls for
/// others, 295 gateways held 169 GB x s of memory over a day with a cut and a loss of all, in place of 288.
const IDLE_CONNECTIONS: (usize, Duration) = (2, Duration::from_secs(10));
/// The largest message between gateways, in bytes.
const MESSAGE_LIMIT: usize = 16 << 10;
/// Attempts to report what a request used, the time for each, and the pause between two: a gateway that does not answer
/// for so long may be gone, and charges the worst case.
const REPORT_ATTEMPTS: u32 = 4;
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// How long after its request's time an owner waits for a report.
const REPORT_GRACE: Duration = Duration::from_secs(10);

/// A reservation that one gateway asks another for.
#[derive(Debug, Deserialize, Serialize)]
struct ReserveRequest {
    /// The asking gateway's process, and the number of its reservation.
    holder: String,
    number: u64,
    team: String,
    /// The team's prepaid total, as the asking gateway knows it.
    level_version: u64,
    level_tokens: u64,
    tokens: u64,
    /// How long the owner may wait for the store.
    patience_ms: u64,
    /// How long the request may last.
    lasts_ms: u64,
}

/// The owner's answer.
#[derive(Debug, Deserialize, Serialize)]
enum ReserveResponse {
    Held,
    Denied {
        denied: DenialReason,
        ready_ms: u64,
        detail: String,
    },
    /// This gateway stops, or does not know the team.
    Unfit,
}

/// What a request used in the end.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct UsageReport {
    holder: String,
    number: u64,
    request: String,
    tokens: u64,
}

/// What was reserved here for other gateways' requests, by process and number.
type HeldReservations = HashMap<(String, u64), (Reservation, Instant)>;

/// Reservations at other gateways, and others' here.
#[derive(Debug)]
pub(crate) struct PeerReservations {
    holder: String,
    client: Client,
    next_number: AtomicU64,
    held: Mutex<HeldReservations>,
}

/// Tokens reserved at another gateway, until what was used of them is reported.
#[derive(Debug)]
pub(crate) struct RemoteReservation {
    delegate: Arc<PeerReservations>,
    owner: SocketAddr,
    number: u64,
    is_reported: bool,
}

/// Why tokens can't be had: the reason, when they may be, and what decided it.
pub(crate) type Denial = (DenialReason, u64, String);

/// How asking another gateway ended.
enum ReserveOutcome {
    Held(RemoteReservation),
    Denied(Denial),
    /// It did not answer, or does not own the budget any more.
    Unavailable,
}

impl PeerReservations {
    pub(crate) fn new(holder: &str) -> PeerReservations {
        PeerReservations {
            holder: holder.to_owned(),
            client: Client::with_idle(IDLE_CONNECTIONS.0, IDLE_CONNECTIONS.1),
            next_number: AtomicU64::new(1),
            held: Mutex::default(),
        }
    }

    async fn reserve_at(self: &Arc<Self>, owner: SocketAddr, ask: &ReserveRequest) -> ReserveOutcome {
        let limit = Duration::from_millis(ask.patience_ms) + NETWORK_ALLOWANCE;
        // From now on it may be reserved there.
        let pledge =
            RemoteReservation { delegate: self.clone(), owner, number: ask.number, is_reported: false };
        match self.send::<ReserveResponse>("reserve", owner, RESERVE_PATH, ask, limit).await {
            Ok(ReserveResponse::Held) => ReserveOutcome::Held(pledge),
            Ok(ReserveResponse::Denied { denied, ready_ms, detail }) => {
                pledge.discard();
                ReserveOutcome::Denied((denied, ready_ms, format!("{detail} owner={owner}")))
            }
            Ok(ReserveResponse::Unfit) => {
                pledge.discard();
                ReserveOutcome::Unavailable
            }
            Err(error) => {
                log::warn!("budget: event=owner-away team={} owner={owner} error=\"{error}\"", ask.team);
                if error.fault == net::Fault::Unsent {
                    pledge.discard();
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

    /// Reports what a request used, in the background.
    fn report(self: &Arc<Self>, owner: SocketAddr, number: u64, request: &str, tokens: u64) {
        let report = UsageReport { holder: self.holder.clone(), number, request: request.to_owned(), tokens };
        let delegate = self.clone();
        exec::spawn(async move {
            for round in 1..=REPORT_ATTEMPTS {
                match delegate.send::<()>("report", owner, REPORT_PATH, &report, REPORT_TIMEOUT).await {
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

    /// Takes in another gateway's report.
    fn apply_report(&self, report: &UsageReport) {
        let key = (report.holder.clone(), report.number);
        let pledge = self.held.lock().expect("no thread panics while it holds the lock").remove(&key);
        if let Some((reservation, _)) = pledge
            && report.tokens > 0
        {
            reservation.charge(&report.request, report.tokens);
        }
    }

    /// Charges the worst case of requests that nobody reported.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut held = self.held.lock().expect("no thread panics while it holds the lock");
        let late = held.extract_if(|_, (_, until)| *until <= now).collect::<Vec<_>>();
        drop(held);
        for ((holder, number), (reservation, _)) in late {
            log::warn!("budget: event=charged-at-the-worst holder={holder} number={number}");
            reservation.charge_all(&holder);
        }
    }
}

impl RemoteReservation {
    /// Reports what the request used.
    pub(crate) fn charge(mut self, request: &str, tokens: u64) {
        self.is_reported = true;
        self.delegate.report(self.owner, self.number, request, tokens);
    }

    /// Ends a pledge that was certainly not made.
    fn discard(mut self) {
        self.is_reported = true;
    }
}

impl Drop for RemoteReservation {
    fn drop(&mut self) {
        if !self.is_reported {
            self.delegate.report(self.owner, self.number, "-", 0);
        }
    }
}

/// Reserves the worst case of a request: at the team's owner, or here if that is this gateway or does not answer.
pub(crate) async fn reserve<W: Wire, S: Rows>(
    node: &Node<W, S>,
    budget: impl FnOnce() -> Option<Arc<TeamBudget>>,
    team: &str,
    level: Level,
    tokens: u64,
    patience: Duration,
    lasts: Duration,
) -> Result<Option<Reservation>, Denial> {
    let began = Instant::now();
    let owner = node.owners.owner_of(team);
    if let Owner::Peer(owner) = owner {
        let ask = ReserveRequest {
            holder: node.holder.clone(),
            number: node.delegate.next_number.fetch_add(1, Ordering::Relaxed),
            team: team.to_owned(),
            level_version: level.version,
            level_tokens: level.tokens,
            tokens,
            patience_ms: patience.mul_f64(OWNER_TIMEOUT_RATIO).as_millis() as u64,
            lasts_ms: lasts.as_millis() as u64,
        };
        match node.delegate.reserve_at(owner, &ask).await {
            ReserveOutcome::Held(pledge) => return Ok(Some(Reservation::Remote(pledge))),
            ReserveOutcome::Denied(denial) => return Err(denial),
            ReserveOutcome::Unavailable => node.owners.skip(owner),
        }
    }
    let Some(budget) = budget() else { return Ok(None) };
    let left = patience.saturating_sub(began.elapsed());
    let reserved = budget.reserve(tokens, left).await;
    reserved.map(Some).map_err(|denied| (denied, budget.retry_after_ms(tokens), budget.explain(tokens)))
}

/// Answers another gateway that asks for tokens or reports their use.
pub(crate) async fn answer<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Ok(bytes) = net::collect(request.into_body(), MESSAGE_LIMIT).await else { return bad_request() };
    match path.as_str() {
        RESERVE_PATH => match bincode::deserialize::<ReserveRequest>(&bytes) {
            Ok(ask) => encode_response(&reserve_for_peer(&node, ask).await),
            Err(_) => bad_request(),
        },
        _ => match bincode::deserialize::<UsageReport>(&bytes) {
            Ok(report) => {
                node.delegate.apply_report(&report);
                encode_response(&())
            }
            Err(_) => bad_request(),
        },
    }
}

/// Reserves tokens for another gateway's request.
async fn reserve_for_peer<W: Wire, S: Rows>(node: &Node<W, S>, ask: ReserveRequest) -> ReserveResponse {
    if node.phase() != Phase::Serving {
        return ReserveResponse::Unfit;
    }
    let Some(manifest) = node.manifest() else { return ReserveResponse::Unfit };
    let team = manifest.teams.get(&ask.team).cloned();
    let Some(budget) = team.and_then(|team| node.purse(&manifest, &team)) else {
        return ReserveResponse::Unfit;
    };
    budget.set_level(Level { version: ask.level_version, tokens: ask.level_tokens });
    match budget.reserve(ask.tokens, Duration::from_millis(ask.patience_ms)).await {
        Ok(reservation) => {
            let until = Instant::now() + Duration::from_millis(ask.lasts_ms) + REPORT_GRACE;
            let key = (ask.holder, ask.number);
            node.delegate
                .held
                .lock()
                .expect("no thread panics while it holds the lock")
                .insert(key, (reservation, until));
            ReserveResponse::Held
        }
        Err(denied) => {
            let (ready_ms, detail) = (budget.retry_after_ms(ask.tokens), budget.explain(ask.tokens));
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
