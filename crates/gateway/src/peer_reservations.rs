//! Reservations at other gateways, which own the budget of the request's team.
//!
//! The owner reserves the worst-case cost as for a request of its own, so its notes and its account cover it
//! from then on. When the request has ended, the other gateway reports the actual use. Until then, and for
//! good if no report arrives, the worst case counts as used. So neither the death of a gateway nor a lost
//! message can make a token be spent twice.
//!
//! A gateway that makes a large part of a team's requests holds tokens of the team itself (see
//! [`budget::holder`]). It states its rate of requests in the [`RequestSuffix`], and the owner tells behind
//! the [`ReserveResponse`] whether it may hold tokens. Earlier builds ignore both.

use crate::budget_state::DenialReason;
use crate::node::{Node, Phase};
use crate::owners::Owner;
use crate::peer_messages::{
    Decode, HandOver, RequestSuffix, ReserveRequest, ReserveResponse, UsageReport, WithSuffix,
};
use crate::ports::Wire;
use crate::team_budget::{Reservation, TeamBudget};
use budget::holder::{Holders, Holding, Millis, Place};
use budget::ledger::Level;
use futures::StreamExt;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, Framing, exec};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::rows::Rows;

/// The paths of requests between gateways.
pub(crate) const RESERVE_PATH: &str = "/reserve";
pub(crate) const REPORT_PATH: &str = "/report";
pub(crate) const HAND_OVER_PATH: &str = "/hand-over";

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
/// The number of budgets whose next owners are prepared at the same time.
const MAX_HANDED_OVER_AT_ONCE: usize = 16;
/// How long an owner remembers a report that arrived before its reservation was made. A reservation is made
/// within the time for which the request may wait for tokens, a part of its target latency.
const EARLY_REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// The largest number of such reports that an owner remembers.
const MAX_EARLY_REPORTS: usize = 4_096;
/// How long an owner waits for the report after the request's longest duration.
const REPORT_GRACE: Duration = Duration::from_secs(10);

/// The process that a reservation was made for, and its number there.
type ReservationKey = (String, u64);

/// The reservations that this gateway holds for others.
#[derive(Debug, Default)]
struct HeldReservations {
    /// The open reservations, and when they expire.
    open: HashMap<ReservationKey, (Reservation, Instant)>,
    /// Reports that arrived before their reservation was made, and until when they are remembered. A gateway
    /// that stops waiting for the answer reports at once, while the owner may still be waiting for tokens.
    early_reports: HashMap<ReservationKey, (UsageReport, Instant)>,
}

/// The reservations of this gateway at others, and those that it holds for others.
#[derive(Debug)]
pub(crate) struct PeerReservations {
    holder: String,
    client: Client,
    next_number: AtomicU64,
    held: Mutex<HeldReservations>,
    /// The teams whose requests arrive here and whose budgets other gateways own.
    holdings: Mutex<HashMap<String, Holding>>,
    /// The gateways that reserve tokens here, by team.
    holders: Mutex<HashMap<String, Holders>>,
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
    /// The reservation, and whether this gateway may hold tokens itself.
    Held(RemoteReservation, bool),
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
            holdings: Mutex::default(),
            holders: Mutex::default(),
        }
    }

    /// Records a request of a team whose budget another gateway owns. Returns where to reserve its tokens, and
    /// the rate of the team's requests at this gateway.
    fn record_request(&self, team: &str, now: Millis) -> (Place, f64) {
        let mut holdings = self.holdings.lock().expect("no thread panics while it holds the lock");
        if !holdings.contains_key(team) {
            holdings.retain(|_, holding| !holding.is_idle(now));
            holdings.insert(team.to_owned(), Holding::default());
        }
        let holding = holdings.get_mut(team).expect("it was just inserted");
        let place = holding.record_request(now);
        (place, holding.requests_per_s(now))
    }

    /// Records an owner's answer whether this gateway may hold tokens of a team.
    fn record_answer(&self, team: &str, may_hold: bool, now: Millis) {
        let mut holdings = self.holdings.lock().expect("no thread panics while it holds the lock");
        let Some(holding) = holdings.get_mut(team) else { return };
        if holding.record_answer(may_hold, now) {
            let event = if may_hold { "holds" } else { "holds-no-more" };
            log::info!("budget: event={event} team={team} requests-per-s={:.1}", holding.requests_per_s(now));
        }
    }

    /// As if an owner had permitted this gateway to hold tokens of a team.
    #[cfg(test)]
    pub(crate) fn permit_holding(&self, team: &str) {
        self.record_request(team, 0);
        self.record_answer(team, true, 0);
    }

    /// Whether an owner has permitted this gateway to hold tokens of a team whose budget others own.
    pub(crate) fn holds(&self, team: &str) -> bool {
        let holdings = self.holdings.lock().expect("no thread panics while it holds the lock");
        holdings.get(team).is_some_and(Holding::holds)
    }

    /// The number of teams of which this gateway may hold tokens although others own their budgets.
    pub(crate) fn held_teams(&self, now: Millis) -> usize {
        let holdings = self.holdings.lock().expect("no thread panics while it holds the lock");
        holdings.values().filter(|holding| holding.holds() && !holding.is_idle(now)).count()
    }

    /// Decides as an owner whether the gateway process `asking` may hold tokens of a team itself.
    fn may_hold(&self, team: &str, asking: &str, requests_per_s: f64, now: Millis) -> bool {
        let mut holders = self.holders.lock().expect("no thread panics while it holds the lock");
        holders.entry(team.to_owned()).or_default().record(asking, requests_per_s, now)
    }

    async fn reserve_at(
        self: &Arc<Self>,
        owner: SocketAddr,
        request: &ReserveRequest,
        suffix: RequestSuffix,
    ) -> ReserveOutcome {
        let limit = Duration::from_millis(request.patience_ms) + NETWORK_ALLOWANCE;
        // From here on the owner may hold the reservation, so unless it is discarded, dropping it reports
        // that nothing was used.
        let reservation = RemoteReservation {
            reservations: self.clone(),
            owner,
            number: request.number,
            is_reported: false,
        };
        let message = (request, suffix);
        match self.send("reserve", owner, RESERVE_PATH, &message, limit).await {
            Ok(WithSuffix(ReserveResponse::Held, may_hold)) => ReserveOutcome::Held(reservation, may_hold),
            Ok(WithSuffix(ReserveResponse::Denied { denied, ready_ms, detail }, _)) => {
                reservation.discard();
                ReserveOutcome::Denied((denied, ready_ms, format!("{detail} owner={owner}")))
            }
            Ok(WithSuffix(ReserveResponse::Unfit, _)) => {
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

    async fn send<T: Decode>(
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
        let (head, bytes) = answer.into_parts();
        if head.status != StatusCode::OK {
            return Err(error(net::Fault::Unknown, format!("status {}", head.status.as_u16())));
        }
        if Framing::of(&head) == Framing::Closed {
            let reason = "an answer that ends with its connection may have lost what follows the message";
            return Err(error(net::Fault::Unknown, reason.to_owned()));
        }
        T::decode(&bytes).map_err(|reason| error(net::Fault::Unknown, reason.to_string()))
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

    fn held(&self) -> MutexGuard<'_, HeldReservations> {
        self.held.lock().expect("no thread panics while it holds the lock")
    }

    /// Holds a reservation for another gateway until its use is reported, or settles it if it was already
    /// reported.
    fn hold(&self, key: ReservationKey, reservation: Reservation, until: Instant) {
        let mut held = self.held();
        match held.early_reports.remove(&key) {
            Some((report, _)) => {
                drop(held);
                log::info!("budget: event=reported-early holder={} number={}", key.0, key.1);
                settle_report(reservation, &report);
            }
            None => {
                held.open.insert(key, (reservation, until));
            }
        }
    }

    /// Charges the reservation with the use that another gateway reports; it is released if nothing was used.
    fn apply_report(&self, report: UsageReport) {
        let key = (report.holder.clone(), report.number);
        let mut held = self.held();
        match held.open.remove(&key) {
            Some((reservation, _)) => {
                drop(held);
                settle_report(reservation, &report);
            }
            None if held.early_reports.len() < MAX_EARLY_REPORTS => {
                held.early_reports.insert(key, (report, Instant::now() + EARLY_REPORT_LIFETIME));
            }
            None => {}
        }
    }

    /// Charges the worst case of requests whose use was not reported in time.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut held = self.held();
        held.early_reports.retain(|_, (_, until)| *until > now);
        let expired = held.open.extract_if(|_, (_, until)| *until <= now).collect::<Vec<_>>();
        drop(held);
        for ((holder, number), (reservation, _)) in expired {
            log::warn!("budget: event=charged-at-the-worst holder={holder} number={number}");
            reservation.charge_all(&holder);
        }
    }
}

/// Charges a reservation with the reported use, or releases it if nothing was used.
fn settle_report(reservation: Reservation, report: &UsageReport) {
    if report.tokens > 0 {
        reservation.charge(&report.request, report.tokens);
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

/// What a request may cost its team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Cost {
    /// The tokens that it may use at most.
    pub tokens: u64,
    /// Its priority among the requests of the team, 0 being the most urgent.
    pub priority: u32,
}

/// Reserves the worst-case cost of a request: at one of the team's owners, or here if this gateway owns the budget or
/// no owner is available.
pub(crate) async fn reserve<W: Wire, S: Rows>(
    node: &Node<W, S>,
    budget: impl FnOnce() -> Option<Arc<TeamBudget>>,
    team: &str,
    level: Level,
    cost: Cost,
    timeout: Duration,
    max_duration: Duration,
) -> Result<Option<Reservation>, Denial> {
    let began = Instant::now();
    let left = || timeout.saturating_sub(began.elapsed());
    for asked in 0.. {
        let Owner::Peer(owner) = node.owners.owner_of(team) else { break };
        // Another owner is asked only if the one before refused at once.
        if asked > 0 && left() < timeout.mul_f64(OWNER_TIMEOUT_RATIO) {
            break;
        }
        let (place, requests_per_s) = node.peer_reservations.record_request(team, node.now());
        let holding = node.peer_reservations.holds(team).then(|| node.held_budget(team)).flatten();
        if let Some(budget) = &holding {
            // The tokens of the first requests are not here yet; until they are, an owner is asked.
            if place == Place::Holder && budget.can_reserve(cost.tokens) {
                return reserve_here(budget, cost, left()).await;
            }
            budget.record_demand(cost.tokens);
        }
        let suffix = RequestSuffix { requests_per_s, priority: cost.priority };
        let request = ReserveRequest {
            holder: node.holder.clone(),
            number: node.peer_reservations.next_number.fetch_add(1, Ordering::Relaxed),
            team: team.to_owned(),
            level_version: level.version,
            level_tokens: level.tokens,
            tokens: cost.tokens,
            patience_ms: left().mul_f64(OWNER_TIMEOUT_RATIO).as_millis() as u64,
            lasts_ms: max_duration.as_millis() as u64,
        };
        // The reservation, and later the report of its use.
        (0..2).for_each(|_| node.load.record_message(0));
        match node.peer_reservations.reserve_at(owner, &request, suffix).await {
            ReserveOutcome::Held(reservation, may_hold) => {
                let may_hold = may_hold && node.settings.has_narrow_link();
                node.peer_reservations.record_answer(team, may_hold, node.now());
                if may_hold && holding.is_none() {
                    // Opens the budget, so that its first settlement draws tokens.
                    budget();
                }
                return Ok(Some(Reservation::Remote(reservation)));
            }
            ReserveOutcome::Denied(denial) => match holding {
                Some(budget) if budget.can_reserve(cost.tokens) => {
                    return reserve_here(&budget, cost, left()).await;
                }
                _ => return Err(denial),
            },
            ReserveOutcome::Unavailable => node.owners.skip(owner),
        }
    }
    let Some(budget) = budget() else { return Ok(None) };
    reserve_here(&budget, cost, left()).await
}

/// Has the next owners of the budgets that this gateway owns draw tokens, for at most `limit`, so that they can reserve
/// some as soon as this gateway no longer does.
pub(crate) async fn hand_over<W: Wire, S: Rows>(node: &Node<W, S>, limit: Duration) {
    let budgets: Vec<_> = node.budgets().values().cloned().collect();
    let ready = AtomicU64::new(0);
    let prepare = async |budget: Arc<TeamBudget>| {
        if prepare_successor(node, &budget, limit).await {
            ready.fetch_add(1, Ordering::Relaxed);
        }
    };
    let preparing = futures::stream::iter(budgets).for_each_concurrent(MAX_HANDED_OVER_AT_ONCE, prepare);
    let is_complete = exec::timeout(limit, preparing).await.is_some();
    log::info!("budget: event=handed-over budgets={} complete={is_complete}", ready.load(Ordering::Relaxed));
}

/// Returns whether the next owner of a budget has tokens.
async fn prepare_successor<W: Wire, S: Rows>(
    node: &Node<W, S>,
    budget: &TeamBudget,
    limit: Duration,
) -> bool {
    let tokens_per_s = budget.tokens_per_s();
    let Some(successor) = node.owners.successor(&budget.team).filter(|_| tokens_per_s >= 1.0) else {
        return false;
    };
    let Level { version: level_version, tokens: level_tokens } = budget.level();
    let message = HandOver {
        from: node.settings.name.clone(),
        team: budget.team.clone(),
        level_version,
        level_tokens,
        owners: budget.owners.load(Ordering::Relaxed),
        tokens_per_s,
        patience_ms: limit.saturating_sub(NETWORK_ALLOWANCE).as_millis() as u64,
    };
    let sent = node.peer_reservations.send("hand-over", successor, HAND_OVER_PATH, &message, limit);
    match sent.await {
        Ok(is_ready) => is_ready,
        Err(error) => {
            log::warn!("budget: event=not-handed-over team={} error=\"{error}\"", budget.team);
            false
        }
    }
}

async fn reserve_here(
    budget: &Arc<TeamBudget>,
    Cost { tokens, priority }: Cost,
    timeout: Duration,
) -> Result<Option<Reservation>, Denial> {
    let reserved = budget.reserve(tokens, priority, timeout).await;
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
        RESERVE_PATH => match WithSuffix::<ReserveRequest, RequestSuffix>::decode(&bytes) {
            Ok(WithSuffix(request, RequestSuffix { requests_per_s, priority })) => {
                let asking = request.holder.clone();
                let team = request.team.clone();
                let response = reserve_for_peer(&node, request, priority).await;
                let may_hold = matches!(response, ReserveResponse::Held)
                    && node.peer_reservations.may_hold(&team, &asking, requests_per_s, node.now());
                encode_response(&(response, may_hold))
            }
            Err(_) => bad_request(),
        },
        HAND_OVER_PATH => match bincode::deserialize::<HandOver>(&bytes) {
            Ok(hand_over) if hand_over.tokens_per_s.is_finite() && hand_over.tokens_per_s >= 0.0 => {
                encode_response(&take_over(&node, &hand_over).await)
            }
            _ => bad_request(),
        },
        _ => match bincode::deserialize::<UsageReport>(&bytes) {
            Ok(report) => {
                node.peer_reservations.apply_report(report);
                encode_response(&())
            }
            Err(_) => bad_request(),
        },
    }
}

/// Draws tokens for requests that are soon made here instead of at a gateway that stops. Returns whether there are some.
async fn take_over<W: Wire, S: Rows>(node: &Node<W, S>, hand_over: &HandOver) -> bool {
    let Some(budget) = budget_for_peers(node, &hand_over.team) else { return false };
    budget.set_level(Level { version: hand_over.level_version, tokens: hand_over.level_tokens });
    budget.owners.store(hand_over.owners.max(1), Ordering::Relaxed);
    let tokens_per_s = hand_over.tokens_per_s.min(hand_over.level_tokens as f64);
    let is_ready = budget.take_over(tokens_per_s, Duration::from_millis(hand_over.patience_ms)).await;
    // From here on, requests that arrive here no longer ask the sender.
    node.owners.exclude(&hand_over.from);
    is_ready
}

/// Reserves tokens for a request of another gateway.
async fn reserve_for_peer<W: Wire, S: Rows>(
    node: &Node<W, S>,
    request: ReserveRequest,
    priority: u32,
) -> ReserveResponse {
    let Some(budget) = budget_for_peers(node, &request.team) else { return ReserveResponse::Unfit };
    budget.set_level(Level { version: request.level_version, tokens: request.level_tokens });
    let patience = Duration::from_millis(request.patience_ms);
    match budget.reserve(request.tokens, priority, patience).await {
        Ok(reservation) => {
            let until = Instant::now() + Duration::from_millis(request.lasts_ms) + REPORT_GRACE;
            node.peer_reservations.hold((request.holder, request.number), reservation, until);
            ReserveResponse::Held
        }
        Err(denied) => {
            let (ready_ms, detail) = (budget.retry_after_ms(request.tokens), budget.explain(request.tokens));
            ReserveResponse::Denied { denied, ready_ms, detail }
        }
    }
}

/// The budget of a team whose tokens other gateways may reserve here. A gateway that stops opens none, and keeps others
/// until their next owners are prepared.
fn budget_for_peers<W: Wire, S: Rows>(node: &Node<W, S>, team: &str) -> Option<Arc<TeamBudget>> {
    let manifest = node.manifest()?;
    let team = manifest.teams.get(team)?;
    match node.phase() {
        Phase::Serving => node.budget(&manifest, team),
        Phase::Leaving => node.held_budget(&team.name).filter(|budget| !budget.is_retired()),
        Phase::Draining => None,
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
