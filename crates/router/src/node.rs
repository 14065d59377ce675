//! The state of a router, and its start and stop.

use crate::claims::OwnClaims;
use crate::clock::Clock;
use crate::grants::Grants;
use crate::keep::AccountKeeping;
use crate::link::RunHints;
use crate::metrics::Metrics;
use crate::ports::Ports;
use crate::record::{Record, Records, Step};
use crate::schedule::Schedule;
use crate::settings::{Settings, millis};
use crate::shared_answer::SharedAnswers;
use crate::slot::SlotLoans;
use crate::{admin, front, leaving, link, membership, steer, sync};
use async_channel::Sender;
use bundle::{Bundle, Team};
use net::{Handle, exec};
use peer::{FleetView, Heartbeat, MemberState, Peers};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{SystemTime, UNIX_EPOCH};

/// The time left for the last calls of the load balancer and the peers after all work has ended, in
/// milliseconds.
const FINAL_CALLS_MS: u64 = 50;
/// The interval at which a stopping router checks whether its requests have ended, in milliseconds.
const DRAIN_POLL_MS: u64 = 10;

/// The configuration bundle in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveBundle {
    /// The accepted sequence number; 0 if no bundle is in force.
    pub sequence: u64,
    /// The digest of the signed manifest.
    pub manifest: String,
    /// The signed manifest, the sections and the teams by digest, as served to peers.
    pub parts: HashMap<String, String>,
    /// The teams by digest, so that unchanged teams are not parsed again.
    pub teams: HashMap<String, Arc<Team>>,
    /// The parsed content.
    pub content: Bundle,
    /// The access keys by hash.
    pub keys: HashMap<String, Access>,
    /// When the bundle came into force, in milliseconds of the router's clock.
    pub since: u64,
}

/// The team and the budget of an access key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Access {
    pub team: String,
    /// The budget as `team/budget`.
    pub budget: String,
}

/// The phase of a router's life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The router serves requests.
    Serving,
    /// The router is no longer ready, but accepts requests until the load balancer has noticed.
    Leaving,
    /// The router accepts no new requests.
    Draining,
}

/// The state of a router, shared by its tasks.
pub(crate) struct Node<W: Ports> {
    pub settings: Settings,
    /// The VM's name and its incarnation, as `name#incarnation`.
    pub holder: String,
    pub incarnation: u64,
    pub platform: W::Platform,
    pub engine: W::Engine,
    pub clock: W::Clock,
    pub peers: Peers,
    pub grants: Grants,
    pub shared_answers: SharedAnswers,
    pub run_hints: RunHints,
    pub records: Records,
    pub schedule: Schedule<W::Clock>,
    pub slot_loans: SlotLoans,
    pub account_keeping: AccountKeeping,
    pub metrics: Metrics,
    pub open_requests: AtomicU64,
    pub own_claims: Arc<OwnClaims>,
    bundle: RwLock<Arc<ActiveBundle>>,
    view: Mutex<FleetView>,
    phase: Mutex<Phase>,
    addresses: Mutex<Addresses>,
    /// Held while a batch is being settled: the batches of one account must not overlap.
    pub settlement_lock: smol::lock::Mutex<()>,
    last_batch: AtomicU64,
    settle_now: Sender<()>,
    pub heartbeat_now: Sender<()>,
    /// Requests that the platform's VM list is read now.
    pub list_now: Sender<()>,
    platform_up: AtomicBool,
    /// Whether the upstreams of a bundle were asked for their load at least once.
    pub has_read_loads: AtomicBool,
    stopped: AtomicBool,
}

/// The addresses that a router is bound to.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
}

impl<W: Ports> Node<W> {
    pub(crate) fn bundle(&self) -> Arc<ActiveBundle> {
        self.bundle.read().expect("no thread panics while it holds the lock").clone()
    }

    /// Puts a bundle in force, but never goes back to an older sequence. Returns `false` and changes nothing
    /// if the current one has the same or a later sequence.
    pub(crate) fn activate_bundle(&self, next: ActiveBundle) -> bool {
        let mut current = self.bundle.write().expect("no thread panics while it holds the lock");
        if next.sequence <= current.sequence {
            return false;
        }
        self.metrics.sequence.set(next.sequence as i64);
        *current = Arc::new(next);
        drop(current);
        self.reassign_slots();
        let _ = self.heartbeat_now.try_send(());
        true
    }

    /// Recomputes this router's slots at the upstreams.
    pub(crate) fn reassign_slots(&self) {
        let bundle = self.bundle();
        self.schedule.configure(&bundle.content, &self.view(), &self.settings.name);
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().expect("no thread panics while it holds the lock")
    }

    /// The number of routers that draw on the budgets, including this one.
    pub(crate) fn fleet_size(&self) -> u64 {
        self.view().router_names().len() as u64
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.lock().expect("no thread panics while it holds the lock")
    }

    pub(crate) fn addresses(&self) -> Addresses {
        *self.addresses.lock().expect("no thread panics while it holds the lock")
    }

    /// Returns the number of the next batch in this router's account.
    pub(crate) fn next_batch(&self) -> u64 {
        self.last_batch.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Requests a settlement now.
    pub(crate) fn request_settlement(&self) {
        let _ = self.settle_now.try_send(());
    }

    pub(crate) fn is_platform_up(&self) -> bool {
        self.platform_up.load(Ordering::Relaxed)
    }

    pub(crate) fn set_platform_up(&self, up: bool) {
        if self.platform_up.swap(up, Ordering::Relaxed) != up {
            log::info!("platform: {}", if up { "answers again" } else { "does not answer" });
        }
    }

    pub(crate) fn count_platform_call(&self, step: &str, outcome: &str) {
        self.metrics.platform.with_label_values(&[step, outcome]).inc();
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Stops accepting requests, because another router closed this router's account.
    pub(crate) fn stop_accepting(&self) {
        *self.phase.lock().expect("no thread panics while it holds the lock") = Phase::Draining;
    }

    /// Adds a step to a request's record.
    pub(crate) fn record_step(&self, request: &str, what: impl Into<String>) {
        let step = Step { at: self.clock.now(), what: what.into() };
        self.records.update(request, |record: &mut Record| record.steps.push(step));
    }

    /// Returns this router's heartbeat.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let bundle = self.bundle();
        let addresses = self.addresses();
        Heartbeat {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: self.settings.listen.advertise_peers.unwrap_or(addresses.peers),
            callers: self.settings.listen.advertise_callers.unwrap_or(addresses.callers),
            data_centre: self.settings.data_centre.clone(),
            sequence: bundle.sequence,
            manifest: bundle.manifest.clone(),
            leaving: self.schedule.leaving(),
            stopping: self.phase() == Phase::Draining,
        }
    }

    /// The names and addresses of the peers that are considered alive.
    pub(crate) fn alive_peers(&self) -> Vec<(String, SocketAddr)> {
        let now = self.clock.now();
        let view = self.view();
        view.members(MemberState::Alive, now).map(|member| (member.name.clone(), member.address)).collect()
    }
}

impl<W: Ports> std::fmt::Debug for Node<W> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Node").field("holder", &self.holder).finish_non_exhaustive()
    }
}

/// A running router.
#[derive(Debug)]
pub struct Running<W: Ports> {
    node: Arc<Node<W>>,
    callers: Handle,
    operators: Handle,
}

/// Starts a router with the given adapters.
///
/// # Errors
/// Returns an error if an address can't be bound or the settings hold no valid fleet key.
pub async fn start<W: Ports>(
    settings: Settings,
    platform: W::Platform,
    engine: W::Engine,
    clock: W::Clock,
) -> io::Result<Running<W>> {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    let keys = settings.keys();
    let Some(key) = keys.first().cloned() else {
        return Err(io::Error::other("the settings contain no valid fleet key"));
    };
    let (settle_now, settle_requested) = async_channel::bounded(1);
    let (heartbeat_now, heartbeat_requested) = async_channel::bounded(1);
    let (list_now, list_requested) = async_channel::bounded(1);
    let limits = settings.limits.clone();
    let addresses = Addresses {
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        operators: settings.listen.operators,
    };
    let node = Arc::new(Node {
        holder: format!("{}#{incarnation}", settings.name),
        incarnation,
        platform,
        engine,
        peers: Peers::new(key, millis(limits.peer_ms)),
        grants: Grants::new(&format!("{}#{incarnation}", settings.name)),
        shared_answers: SharedAnswers::new(limits.answer_ms),
        run_hints: RunHints::default(),
        records: Records::new(limits.records),
        schedule: Schedule::new(&settings.data_centre, clock.clone()),
        slot_loans: SlotLoans::default(),
        account_keeping: AccountKeeping::default(),
        metrics: Metrics::new(),
        open_requests: AtomicU64::new(0),
        own_claims: Arc::default(),
        bundle: RwLock::default(),
        view: Mutex::new(FleetView::new(&settings.name)),
        phase: Mutex::new(Phase::Serving),
        addresses: Mutex::new(addresses),
        settlement_lock: smol::lock::Mutex::new(()),
        last_batch: AtomicU64::new(0),
        settle_now,
        heartbeat_now,
        list_now,
        platform_up: AtomicBool::new(true),
        has_read_loads: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
        clock,
        settings,
    });

    let peers = peer::listen(addresses.peers, keys, link::PeerService(node.clone())).await?;
    let shared = node.clone();
    let operators = net::serve(addresses.operators, net::Limits::default(), move |request| {
        admin::answer(shared.clone(), request)
    })
    .await?;
    let shared = node.clone();
    let bounds = net::Limits {
        connections: limits.connections,
        head_time: millis(limits.head_ms),
        ..net::Limits::default()
    };
    let callers =
        net::serve(addresses.callers, bounds, move |request| front::answer(shared.clone(), request)).await?;
    *node.addresses.lock().expect("no thread panics while it holds the lock") =
        Addresses { callers: callers.address(), peers, operators: operators.address() };

    exec::spawn(steer::run(node.clone())).detach();
    exec::spawn(membership::run(node.clone(), heartbeat_requested)).detach();
    exec::spawn(leaving::run(node.clone(), list_requested)).detach();
    exec::spawn(sync::run(node.clone(), settle_requested)).detach();
    let bound = node.addresses();
    log::info!(
        "node: {} listens for callers on {}, peers on {}, operators on {}",
        node.holder,
        bound.callers,
        bound.peers,
        bound.operators
    );
    Ok(Running { node, callers, operators })
}

impl<W: Ports> Running<W> {
    /// The addresses that the router is bound to.
    pub fn addresses(&self) -> Addresses {
        self.node.addresses()
    }

    /// Stops the router without aborting requests. It reports not ready at once, refuses new requests after
    /// the load balancer's delay, completes open answers, and then returns its unused tokens.
    pub async fn stop(self) {
        let node = &self.node;
        log::info!("node: stopping; no longer ready");
        self.set_phase(Phase::Leaving);
        exec::sleep(millis(node.settings.limits.stop_delay_ms)).await;
        self.set_phase(Phase::Draining);
        let _ = node.heartbeat_now.try_send(());
        log::info!(
            "node: accepts no new requests; {} requests are open",
            node.open_requests.load(Ordering::Relaxed)
        );
        while node.open_requests.load(Ordering::Relaxed) > 0 {
            exec::sleep(millis(DRAIN_POLL_MS)).await;
        }
        self.callers.stop();
        while self.callers.open_connections() > 0 {
            exec::sleep(millis(DRAIN_POLL_MS)).await;
        }
        node.stopped.store(true, Ordering::Relaxed);
        while sync::settle(node, node.clock.now(), 1, true).await {}
        exec::sleep(millis(FINAL_CALLS_MS)).await;
        self.operators.stop();
        log::info!("node: stopped; all tokens are settled or returned");
    }

    fn set_phase(&self, phase: Phase) {
        *self.node.phase.lock().expect("no thread panics while it holds the lock") = phase;
    }
}
