//! The gateway: the request path that runs on a platform which brings its own configuration, list of upstreams
//! and store.
//!
//! One request goes through these modules, each of which imports only those after it: `handle` admits it and
//! decides what to do when a dispatch fails, `relay` passes a stream on, `attempt` is one dispatch, `quarantine` looks into one that broke off, `job` holds
//! the request and what it took, `team_budget` its tokens, `node` the gateway's state. `settle`, `notes` and `closing`
//! keep the budgets in the store, `watch` and `members` follow it, `snapshot` keeps the list of upstreams short for those that start. [`ports`] is the language of callers, upstreams and operators; an adapter speaks it.

mod attempt;
mod body;
mod budget_state;
mod closing;
mod counted;
pub mod denials;
mod event;
mod failover;
mod handle;
mod hints;
mod job;
mod limits;
mod load;
pub mod manifest;
mod members;
mod metrics;
mod node;
mod notes;
mod owners;
mod peer_reservations;
pub mod ports;
mod quarantine;
mod refusal;
mod relay;
mod settings;
mod settle;
mod snapshot;
mod store_health;
mod table;
mod team_budget;
mod watch;

#[cfg(test)]
#[path = "../tests/unit/support.rs"]
mod support;

pub use settings::{Bounds, Listen, Settings};

use crate::node::{Node, Phase};
use crate::ports::Wire;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Handle, exec};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::rows::Rows;

/// How long callers' connections may rest: the callers close them long before.
const CALLER_IDLE: Duration = Duration::from_secs(60);
/// How long a stopping gateway takes new work: the balancer asks each second and believes the second answer.
const LEAVE: Duration = Duration::from_millis(2_600);
/// Time kept at the end of the grace for giving tokens back.
const SETTLE: Duration = Duration::from_millis(700);
/// Time kept at the very end, so that the process ends before it is killed.
const LAST_CALLS: Duration = Duration::from_millis(150);
/// How often a stopping gateway looks whether its requests have ended.
const LOOK: Duration = Duration::from_millis(20);
/// Time between two sweeps of unused connections and two updates of the gauges.
const SWEEP: Duration = Duration::from_millis(1_000);
/// Sweeps between two lines that tell the calls to the store.
const CALLS_LINE: u64 = 10;

/// A gateway that has been started.
pub struct Running<W: Wire, S: Rows> {
    node: Arc<Node<W, S>>,
    callers: Handle,
    readiness: Handle,
    /// Where other gateways reserve tokens and have calls to the store made; `None` if its address could not be bound.
    _peers: Option<Handle>,
    /// Stops once it is dropped; `None` if its address could not be bound or is that of readiness.
    _metrics: Option<Handle>,
}

/// Starts a gateway.
///
/// # Errors
/// Fails if an address can't be bound.
pub async fn start<W: Wire, S: Rows>(settings: Settings, wire: W, rows: S) -> io::Result<Running<W, S>> {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64);
    let listen = settings.listen.clone();
    let (note, noted) = async_channel::bounded(1);
    let node = Arc::new(Node::new(settings, incarnation, wire, rows, note));
    exec::spawn(watch::manifest(node.clone())).detach();
    exec::spawn(watch::upstreams(node.clone())).detach();
    exec::spawn(watch::recalls(node.clone())).detach();
    exec::spawn(hints::run(node.clone())).detach();
    exec::spawn(members::run(node.clone())).detach();
    exec::spawn(quarantine::run(node.clone())).detach();
    exec::spawn(notes::run(node.clone(), noted)).detach();
    exec::spawn(load::run(node.clone())).detach();
    exec::spawn(sweep(node.clone())).detach();

    let limits = net::Limits { head_time: CALLER_IDLE, ..net::Limits::default() };
    let shared = node.clone();
    let callers =
        net::serve(listen.callers, limits, move |request| handle::answer(shared.clone(), request)).await?;
    let shared = node.clone();
    let readiness = net::serve(listen.readiness, limits, move |request: Request<Incoming>| {
        std::future::ready(operators(&shared, &request))
    })
    .await?;
    let shared = node.clone();
    let for_others = net::serve(listen.peers, limits, move |request| for_peer(shared.clone(), request));
    let peers = for_others
        .await
        .inspect_err(|error| {
            log::error!("gateway: event=not-bound-for-peers address={} error=\"{error}\"", listen.peers)
        })
        .ok();
    let metrics =
        if listen.metrics == listen.readiness { None } else { metrics(&node, &listen, limits).await };
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

/// Answers another gateway.
async fn for_peer<W: Wire, S: Rows>(node: Arc<Node<W, S>>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        peer_reservations::RESERVE_PATH | peer_reservations::REPORT_PATH => {
            peer_reservations::answer(node, request).await
        }
        _ => node.failover.clone().answer(request).await,
    }
}

/// Serves metrics at an address of their own; a gateway without them is better than none.
async fn metrics<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    listen: &Listen,
    limits: net::Limits,
) -> Option<Handle> {
    let shared = node.clone();
    let serve = move |request: Request<Incoming>| std::future::ready(operators(&shared, &request));
    match net::serve(listen.metrics, limits, serve).await {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!("gateway: event=no-metrics address={} error=\"{error}\"", listen.metrics);
            None
        }
    }
}

/// Answers the balancer and whoever collects metrics.
fn operators<W: Wire, S: Rows>(node: &Node<W, S>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path().starts_with("/metrics") {
        return Response::new(Body::from(node.metrics.encode()));
    }
    let mut response = Response::new(Body::empty());
    if !node.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn sweep<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    for round in 1u64.. {
        exec::sleep(SWEEP).await;
        node.pool.evict_expired();
        node.delegate.expire();
        if round.is_multiple_of(CALLS_LINE) {
            log::info!("store: event=calls {}", node.metrics.store_calls_line());
            log::info!("store: event=bytes {}", node.metrics.store_bytes_line());
            log_models(&node);
        }
        for (team, purse) in node.purses().iter() {
            let figures = purse.token_counts();
            let states = [
                ("available", figures.available),
                ("in-use", figures.in_use),
                ("pool-free", figures.free),
                ("pool-outstanding", figures.outstanding),
                ("pool-spent", figures.spent),
                ("level", figures.level),
            ];
            for (state, tokens) in states {
                node.metrics.budget_tokens.with_label_values(&[team.as_str(), state]).set(tokens as i64);
            }
        }
        for (upstream, open) in node.places().open() {
            node.metrics.upstream_open_requests.with_label_values(&[upstream]).set(i64::from(open));
        }
    }
}

/// Tells what was learned of the engines.
fn log_models<W: Wire, S: Rows>(node: &Node<W, S>) {
    let places = node.places();
    for (service, model, usual) in places.models() {
        let slowness: Vec<String> =
            places.slowness(service).iter().map(|(name, slowness)| format!("{name}:{slowness:.2}")).collect();
        let harm = places.harm(service, node.now()).map_or("-".to_owned(), |share| format!("{share:.2}"));
        log::info!(
            "upstream: event=model service={service} {model} event-ms={usual:.1} late-beside-reads={harm} slowness={}",
            slowness.join(",")
        );
    }
}

impl<W: Wire, S: Rows> Running<W, S> {
    /// The addresses bound for callers and for readiness checks.
    pub fn addresses(&self) -> (SocketAddr, SocketAddr) {
        (self.callers.address(), self.readiness.address())
    }

    /// The clock by which it keeps deadlines, rests and ages.
    pub fn clock(&self) -> &net::Clock {
        &self.node.clock
    }

    /// Stops without cutting off a request: not ready at once, no new work after the balancer's delay, every open
    /// answer finished as far as the grace allows, unused tokens given back.
    pub async fn stop(self) {
        let node = &self.node;
        log::info!("gateway: event=stopping open={}", node.open.load(Ordering::Relaxed));
        let began = std::time::Instant::now();
        node.set_phase(Phase::Leaving);
        // Tokens go back while the open requests end, so that little is left to settle afterwards.
        node.purses().values().for_each(|purse| purse.retire());
        exec::sleep(LEAVE.min(node.settings.grace_period() / 2)).await;
        node.set_phase(Phase::Draining);
        self.callers.stop();
        let last = node.settings.grace_period().saturating_sub(SETTLE);
        while self.callers.open_connections() > 0 && began.elapsed() < last {
            exec::sleep(LOOK).await;
        }
        log::info!("gateway: event=drained open={}", node.open.load(Ordering::Relaxed));
        let purses: Vec<_> = node.purses().values().cloned().collect();
        let rest = || (node.settings.grace_period() - LAST_CALLS).saturating_sub(began.elapsed());
        let limit = rest();
        let closing = purses.iter().map(|purse| purse.close(limit));
        futures::future::join_all(closing).await;
        if exec::timeout(rest(), members::leave(node)).await.is_none() {
            log::warn!("fleet: event=good-bye-failed reason=\"no time was left\"");
        }
        self.readiness.stop();
        log::info!("gateway: event=stop");
    }
}
