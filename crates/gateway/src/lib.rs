//! The gateway: the request path for a platform that provides its own configuration, list of upstreams and
//! store.
//!
//! A request passes through these modules. Of this list, each module imports only those that come after it,
//! except `peer_reservations`: `node` and `team_budget` import it, and it imports them and `budget_state`.
//!
//! - `handle` admits it and decides what to do when a dispatch fails.
//! - `receive` reads its body.
//! - `take_up` finds the software version at which a stream that its caller takes up has to go on. `origins` keeps where
//!   streams began, and `barrier` brings the list of upstreams up to the present.
//! - `returns` tells the callers of refused requests when to return.
//! - `relay` forwards a streamed answer.
//! - `attempt` is a single dispatch, and `first_answer` reads what comes first.
//! - `runs` knows which runs of a stream may be under way.
//! - `contact` tells whether an upstream answers.
//! - `reach` opens its connection.
//! - `quarantine` inspects a dispatch that broke off, and refuses requests that crash upstreams, as `rulings` decides.
//! - `job` holds the request and what it has acquired.
//! - `node` holds the state of the gateway.
//! - `team_budget` and `budget_state` reserve its tokens at this gateway, `peer_reservations` at one that
//!   `owners` selects, by `peer_messages`.
//!
//! Other modules run in the background. `settle`, `notes` and `closing` keep the budgets in the store, and
//! `origin_log` where streams began.
//! `watch` and `members` follow the store: the manifest, the upstreams and the other gateways. `snapshot`
//! reduces what starting gateways read of the list of upstreams. `failover` makes calls to the store through
//! another gateway where `store_health` finds it unreachable, and `tunnel` connects to upstreams for gateways
//! that can't. `hints` exchanges datagrams with the other gateways, `load` measures the load of the VM, and
//! `link` paces large bodies on its link.
//!
//! [`ports`] is the interface to callers, upstreams and operators, which an adapter implements.

mod answers;
mod attempt;
mod barrier;
mod body;
mod brittle;
mod budget_state;
mod closing;
mod contact;
pub mod denials;
mod event;
mod failover;
mod first_answer;
mod handle;
mod hints;
mod job;
mod limits;
mod link;
mod load;
pub mod manifest;
mod members;
mod metrics;
mod node;
mod notes;
mod origin_log;
mod origins;
mod owners;
mod peer_messages;
mod peer_reservations;
mod places;
pub mod ports;
mod quarantine;
mod reach;
mod receive;
mod refusal;
mod relay;
mod release;
mod returns;
mod rulings;
mod runs;
mod settings;
mod settle;
mod snapshot;
mod store_health;
mod store_metrics;
mod table;
mod take_up;
mod team_budget;
mod tunnel;
mod watch;

#[cfg(test)]
#[path = "../tests/unit/support.rs"]
mod support;

pub use settings::{Bounds, Listen, Settings};

use crate::node::{Node, Phase, RETURN_TIME_MS};
use crate::ports::Wire;
use http::{Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use net::{Body, Handle, exec};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::rows::Rows;

/// How long a caller's connection may be idle. Callers close idle connections long before.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a caller may accept no bytes of its response. Callers time out after at most a few seconds without
/// an event, so one that is silent for longer has gone or stopped.
const CALLER_WRITE_STALL: Duration = Duration::from_secs(5);
/// The kernel's send buffer of a caller's connection where the VM's memory is limited, in bytes: what a link
/// of 10 Mbit/s carries in 100 ms.
const CALLER_SEND_BUFFER: usize = 128 * 1024;
/// How long a stopping gateway still accepts requests: the balancer checks readiness every second, and acts
/// on the second failed check.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);
/// The time reserved at the end of the grace period for returning tokens.
const SETTLE_RESERVE: Duration = Duration::from_millis(700);
/// The time reserved at the very end, so that the process exits before it is killed.
const EXIT_RESERVE: Duration = Duration::from_millis(150);
/// The interval at which a stopping gateway checks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which unused connections are closed and gauges are updated.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// The number of sweeps between two log lines with the totals of calls to the store.
const SWEEPS_PER_LOG_LINE: u64 = 10;

/// The number of engines of a service that a log line names.
const MAX_LOGGED_ENGINES: usize = 16;

/// A running gateway.
pub struct Running<W: Wire, S: Rows> {
    node: Arc<Node<W, S>>,
    callers: Handle,
    readiness: Handle,
    /// Serves other gateways, which reserve tokens here and reach the store and upstreams through this gateway;
    /// `None` if its address could not be bound.
    _peers: Option<Handle>,
    /// Serves metrics until it is dropped; `None` if its address could not be bound, or if the readiness
    /// listener serves them.
    _metrics: Option<Handle>,
}

/// Starts a gateway.
///
/// # Errors
/// Fails if the address for callers or for readiness can't be bound.
pub async fn start<W: Wire, S: Rows>(settings: Settings, wire: W, rows: S) -> io::Result<Running<W, S>> {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64);
    let listen = settings.listen.clone();
    let (note_requests, requested_notes) = async_channel::bounded(1);
    let node = Arc::new(Node::new(settings, incarnation, wire, rows, note_requests));
    exec::spawn(watch::follow_manifest(node.clone())).detach();
    exec::spawn(watch::follow_upstreams(node.clone())).detach();
    exec::spawn(watch::follow_recalls(node.clone())).detach();
    exec::spawn(hints::run(node.clone())).detach();
    exec::spawn(members::run(node.clone())).detach();
    exec::spawn(rulings::run(node.clone())).detach();
    exec::spawn(notes::run(node.clone(), requested_notes)).detach();
    exec::spawn(origin_log::run(node.clone())).detach();
    exec::spawn(load::run(node.clone())).detach();
    exec::spawn(reach::run(node.clone())).detach();
    let limits = net::Limits { head_time: CALLER_IDLE_TIMEOUT, ..net::Limits::default() };
    let shared = node.clone();
    let caller_limits = net::Limits {
        write_stall: Some(CALLER_WRITE_STALL),
        send_buffer: node.settings.memory_mb.map(|_| CALLER_SEND_BUFFER),
        ..limits
    };
    let answer = move |request| handle::answer(shared.clone(), request);
    let callers = net::serve(listen.callers, caller_limits, answer).await?;
    exec::spawn(sweep(node.clone(), callers.stalled_connections())).detach();
    let shared = node.clone();
    let readiness = net::serve(listen.readiness, limits, move |request: Request<Incoming>| {
        std::future::ready(answer_operator(&shared, &request))
    })
    .await?;
    let shared = node.clone();
    let peer_limits = net::Limits { allows_upgrades: true, ..limits };
    let serving = net::serve(listen.peers, peer_limits, move |request| answer_peer(shared.clone(), request));
    let peers = serving
        .await
        .inspect_err(|error| {
            log::error!("gateway: event=not-bound-for-peers address={} error=\"{error}\"", listen.peers)
        })
        .ok();
    let metrics =
        if listen.metrics == listen.readiness { None } else { serve_metrics(&node, &listen, limits).await };
    log::info!(
        "gateway: event=start holder={} data-centre={} callers={} readiness={} store={}",
        node.holder,
        node.settings.data_centre,
        callers.address(),
        readiness.address(),
        node.settings.store
    );
    Ok(Running { node, callers, readiness, _peers: peers, _metrics: metrics })
}

/// Answers a request of another gateway.
async fn answer_peer<W: Wire, S: Rows>(node: Arc<Node<W, S>>, request: Request<Incoming>) -> Response<Body> {
    let response = match request.uri().path() {
        peer_reservations::RESERVE_PATH
        | peer_reservations::REPORT_PATH
        | peer_reservations::HAND_OVER_PATH => peer_reservations::answer(node.clone(), request).await,
        origins::PATH => take_up::answer(node.clone(), request).await,
        release::PATH => release::answer(node.clone(), request).await,
        tunnel::TUNNEL_PATH | tunnel::LOAN_PATH => tunnel::answer(node.clone(), request).await,
        _ => node.failover.clone().answer(request).await,
    };
    node.load.record_message(response.body().size_hint().exact().unwrap_or(0) as usize);
    response
}

/// Serves metrics at a separate address. If it can't be bound, the gateway runs without them, since that is
/// better than not running at all.
async fn serve_metrics<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    listen: &Listen,
    limits: net::Limits,
) -> Option<Handle> {
    let shared = node.clone();
    let serve = move |request: Request<Incoming>| std::future::ready(answer_operator(&shared, &request));
    match net::serve(listen.metrics, limits, serve).await {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!("gateway: event=no-metrics address={} error=\"{error}\"", listen.metrics);
            None
        }
    }
}

/// Answers readiness checks of the balancer and scrapes of metrics.
fn answer_operator<W: Wire, S: Rows>(node: &Node<W, S>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path().starts_with("/metrics") {
        return Response::new(Body::from(node.metrics.encode()));
    }
    let mut response = Response::new(Body::empty());
    if !node.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Closes unused connections, drops expired reservations, updates gauges and logs totals.
async fn sweep<W: Wire, S: Rows>(node: Arc<Node<W, S>>, stalled_callers: Arc<AtomicU64>) {
    let slow_readers = node.metrics.slow_callers.with_label_values(&["reading"]);
    for round in 1u64.. {
        exec::sleep(SWEEP_INTERVAL).await;
        node.pool.evict_expired();
        node.contacts.evict_unused();
        node.peer_reservations.expire();
        node.origins.expire(node.stream_lifetime(), node.now());
        node.runs.expire(node.now().saturating_sub(RETURN_TIME_MS));
        node.metrics.origins.set(node.origins.stream_count() as i64);
        slow_readers.inc_by(stalled_callers.load(Ordering::Relaxed).saturating_sub(slow_readers.get()));
        node.returns().expire(node.now());
        if round.is_multiple_of(SWEEPS_PER_LOG_LINE) {
            log::info!("store: event=calls {}", node.metrics.store_calls_line());
            log::info!("store: event=bytes {}", node.metrics.store_bytes_line());
            log_models(&node);
        }
        for (team, budget) in node.budgets().iter() {
            let counts = budget.token_counts();
            let states = [
                ("available", counts.available),
                ("in-use", counts.in_use),
                ("pool-free", counts.free),
                ("pool-outstanding", counts.outstanding),
                ("pool-spent", counts.spent),
                ("level", counts.level),
            ];
            for (state, tokens) in states {
                node.metrics.budget_tokens.with_label_values(&[team.as_str(), state]).set(tokens as i64);
            }
        }
        node.metrics.budgets_held.set(node.peer_reservations.held_teams(node.now()) as i64);
        node.metrics.tunnels.set(node.tunnels.load(Ordering::Relaxed) as i64);
        node.metrics.set_open_requests(node.placer().open_requests());
    }
}

/// Logs the measured speed of each service's engines, the slowest of them, and the share of short streams that
/// are late beside long reads.
fn log_models<W: Wire, S: Rows>(node: &Node<W, S>) {
    let placer = node.placer();
    for (service, model, median_pace) in placer.models() {
        let slowest = slowest(placer.slowness(service));
        let late_share =
            placer.late_share(service, node.now()).map_or("-".to_owned(), |share| format!("{share:.2}"));
        log::info!(
            "upstream: event=model service={service} {model} event-ms={median_pace:.1} late-beside-reads={late_share} slowness={slowest}"
        );
    }
}

/// The slowest engines, each with the factor by which it is slower than usual.
fn slowest(mut slowness: Vec<(&str, f64)>) -> String {
    slowness.sort_by(|left, right| right.1.total_cmp(&left.1));
    slowness.truncate(MAX_LOGGED_ENGINES);
    let entries: Vec<String> =
        slowness.iter().map(|(name, slowness)| format!("{name}:{slowness:.2}")).collect();
    entries.join(",")
}

impl<W: Wire, S: Rows> Running<W, S> {
    /// The addresses bound for callers and for readiness checks.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.callers.address(), self.readiness.address())
    }

    /// The clock that its deadlines, back-offs and ages are measured with.
    pub fn clock(&self) -> &net::Clock {
        &self.node.clock
    }

    /// Stops gracefully. The gateway reports not ready at once, and accepts no new requests once the balancer
    /// has noticed; before, those that can end within the grace period. It finishes the open requests as far as that
    /// allows, and returns unused tokens.
    pub async fn stop(self) {
        let node = &self.node;
        log::info!("gateway: event=stopping open={}", node.open_requests.load(Ordering::Relaxed));
        let began = std::time::Instant::now();
        let drain_limit = node.settings.grace_period().saturating_sub(SETTLE_RESERVE);
        node.begin_stop(drain_limit);
        let delay = DEREGISTRATION_DELAY.min(node.settings.grace_period() / 2);
        peer_reservations::hand_over(node, delay / 2).await;
        node.owners.exclude_self();
        // Tokens are returned while the open requests end, so that little is left to settle afterwards.
        node.budgets().values().for_each(|budget| budget.retire());
        exec::sleep(delay.saturating_sub(began.elapsed())).await;
        node.set_phase(Phase::Draining);
        self.callers.stop();
        let has_work = || self.callers.open_connections() + node.tunnels.load(Ordering::Relaxed) > 0;
        while has_work() && began.elapsed() < drain_limit {
            exec::sleep(DRAIN_POLL_INTERVAL).await;
        }
        log::info!("gateway: event=drained open={}", node.open_requests.load(Ordering::Relaxed));
        node.origins.hand_over(&node.hints, node.settings.listen.peers, node.now());
        let budgets: Vec<_> = node.budgets().values().cloned().collect();
        let remaining = || (node.settings.grace_period() - EXIT_RESERVE).saturating_sub(began.elapsed());
        let limit = remaining();
        let closing = budgets.iter().map(|budget| budget.close(limit));
        futures::future::join_all(closing).await;
        if exec::timeout(remaining(), members::deregister(node)).await.is_none() {
            log::warn!("fleet: event=good-bye-failed reason=\"no time was left\"");
        }
        self.readiness.stop();
        log::info!("gateway: event=stop");
    }
}

#[cfg(test)]
#[path = "../tests/unit/gateway.rs"]
mod tests;
