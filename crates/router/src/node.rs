//! One router: its state, and the tasks that run on it.

use crate::clock::Clock;
use crate::flight::Flights;
use crate::grants::Grants;
use crate::keep::Keep;
use crate::link::Hints;
use crate::metrics::Metrics;
use crate::ports::Ports;
use crate::record::{Record, Records, Step};
use crate::schedule::Schedule;
use crate::settings::{Settings, millis};
use crate::slot::Loans;
use crate::{admin, front, leaving, link, membership, steer, sync};
use async_channel::Sender;
use bundle::{Bundle, Team};
use net::{Handle, exec};
use peer::{Beat, Peers, State, View};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{SystemTime, UNIX_EPOCH};

/// Time for the balancer's and the peers' last calls after everything has ended, in milliseconds.
const LAST_CALLS_MS: u64 = 50;
/// How often a stopping router looks whether its requests have ended, in milliseconds.
const DRAIN_LOOK_MS: u64 = 10;

/// The bundle in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct InForce {
    /// Its accepted sequence; 0 if there is none.
    pub sequence: u64,
    /// The digest of its signed manifest.
    pub manifest: String,
    /// The signed manifest and the sections by digest, for peers.
    pub parts: HashMap<String, String>,
    /// The teams by digest, so that unchanged ones are not read again.
    pub teams: HashMap<String, Arc<Team>>,
    /// What it says.
    pub content: Bundle,
    /// The access keys by hash.
    pub keys: HashMap<String, Access>,
    /// When it came into force, in milliseconds of the router's clock.
    pub since: u64,
}

/// What an access key allows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Access {
    pub team: String,
    /// The budget as `team/budget`.
    pub budget: String,
}

/// Where a router is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It is not ready any more, but still takes work until the balancer has noticed.
    Leaving,
    /// It takes no new work.
    Draining,
}

/// One router.
pub(crate) struct Node<W: Ports> {
    pub settings: Settings,
    /// The VM with its incarnation.
    pub holder: String,
    pub incarnation: u64,
    pub platform: W::Platform,
    pub engine: W::Engine,
    pub clock: W::Clock,
    pub peers: Peers,
    pub grants: Grants,
    pub flights: Flights,
    pub hints: Hints,
    pub records: Records,
    pub schedule: Schedule<W::Clock>,
    pub loans: Loans,
    pub keep: Keep,
    pub metrics: Metrics,
    pub open: AtomicU64,
    /// Claims of this router whose requests were certainly not dispatched, by request.
    pub undispatched: Mutex<HashSet<String>>,
    bundle: RwLock<Arc<InForce>>,
    view: Mutex<View>,
    phase: Mutex<Phase>,
    addresses: Mutex<Addresses>,
    /// Held while a batch is on its way: batches of one account follow each other.
    pub settling: smol::lock::Mutex<()>,
    batch: AtomicU64,
    kick: Sender<()>,
    pub news: Sender<()>,
    /// Asks for a look at the platform's list now.
    pub look: Sender<()>,
    platform_up: AtomicBool,
    /// Whether the upstreams of a bundle were asked for their load once.
    pub surveyed: AtomicBool,
    closed: AtomicBool,
}

/// The addresses bound.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl<W: Ports> Node<W> {
    pub(crate) fn bundle(&self) -> Arc<InForce> {
        self.bundle.read().expect("the bundle's lock").clone()
    }

    /// Puts a bundle in force, unless a later one is: never back to an older sequence.
    pub(crate) fn put_in_force(&self, next: InForce) -> bool {
        let mut current = self.bundle.write().expect("the bundle's lock");
        if next.sequence <= current.sequence {
            return false;
        }
        self.metrics.sequence.set(next.sequence as i64);
        *current = Arc::new(next);
        drop(current);
        self.share_out();
        let _ = self.news.try_send(());
        true
    }

    /// Computes this router's shares of the upstreams anew.
    pub(crate) fn share_out(&self) {
        let bundle = self.bundle();
        self.schedule.configure(&bundle.content, &self.view(), &self.settings.name);
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().expect("the view's lock")
    }

    /// How many routers draw on the budgets, this one included.
    pub(crate) fn fleet_size(&self) -> u64 {
        self.view().sharers().len() as u64
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.lock().expect("the phase's lock")
    }

    pub(crate) fn addresses(&self) -> Addresses {
        *self.addresses.lock().expect("the addresses' lock")
    }

    /// The number of the next batch in this router's account.
    pub(crate) fn next_batch(&self) -> u64 {
        self.batch.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Asks for a settlement now.
    pub(crate) fn kick(&self) {
        let _ = self.kick.try_send(());
    }

    pub(crate) fn is_platform_up(&self) -> bool {
        self.platform_up.load(Ordering::Relaxed)
    }

    pub(crate) fn set_platform_up(&self, up: bool) {
        if self.platform_up.swap(up, Ordering::Relaxed) != up {
            log::info!("platform: {}", if up { "it answers again" } else { "it does not answer" });
        }
    }

    pub(crate) fn count_platform(&self, step: &str, outcome: &str) {
        self.metrics.platform.with_label_values(&[step, outcome]).inc();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Takes no new work any more: another router closed this one's account.
    pub(crate) fn fence(&self) {
        *self.phase.lock().expect("the phase's lock") = Phase::Draining;
    }

    /// Notes what happened to a request.
    pub(crate) fn note(&self, request: &str, what: impl Into<String>) {
        let step = Step { at: self.clock.now(), what: what.into() };
        self.records.note(request, |record: &mut Record| record.steps.push(step));
    }

    /// This router's heartbeat.
    pub(crate) fn beat(&self) -> Beat {
        let bundle = self.bundle();
        let addresses = self.addresses();
        Beat {
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

    /// The addresses of the peers that are thought to be alive.
    pub(crate) fn alive(&self) -> Vec<(String, SocketAddr)> {
        let now = self.clock.now();
        let view = self.view();
        view.members(State::Alive, now).map(|member| (member.name.clone(), member.address)).collect()
    }
}

impl<W: Ports> std::fmt::Debug for Node<W> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Node").field("holder", &self.holder).finish_non_exhaustive()
    }
}

/// A router that has been started.
#[derive(Debug)]
pub struct Running<W: Ports> {
    node: Arc<Node<W>>,
    callers: Handle,
    operators: Handle,
}

/// Starts a router on its ports.
///
/// # Errors
/// Fails if an address can't be bound.
pub async fn start<W: Ports>(
    settings: Settings,
    platform: W::Platform,
    engine: W::Engine,
    clock: W::Clock,
) -> io::Result<Running<W>> {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    let keys = settings.keys();
    let Some(key) = keys.first().cloned() else {
        return Err(io::Error::other("no fleet key in the settings"));
    };
    let (kick, kicked) = async_channel::bounded(1);
    let (news, heard) = async_channel::bounded(1);
    let (look, looked) = async_channel::bounded(1);
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
        flights: Flights::new(limits.answer_ms),
        hints: Hints::default(),
        records: Records::new(limits.records),
        schedule: Schedule::new(&settings.data_centre, clock.clone()),
        loans: Loans::default(),
        keep: Keep::default(),
        metrics: Metrics::new(),
        open: AtomicU64::new(0),
        undispatched: Mutex::default(),
        bundle: RwLock::default(),
        view: Mutex::new(View::new(&settings.name)),
        phase: Mutex::new(Phase::Serving),
        addresses: Mutex::new(addresses),
        settling: smol::lock::Mutex::new(()),
        batch: AtomicU64::new(0),
        kick,
        news,
        look,
        platform_up: AtomicBool::new(true),
        surveyed: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        clock,
        settings,
    });

    let peers = peer::listen(addresses.peers, keys, link::Service(node.clone())).await?;
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
    *node.addresses.lock().expect("the addresses' lock") =
        Addresses { callers: callers.address(), peers, operators: operators.address() };

    exec::spawn(steer::run(node.clone())).detach();
    exec::spawn(membership::run(node.clone(), heard)).detach();
    exec::spawn(leaving::run(node.clone(), looked)).detach();
    exec::spawn(sync::run(node.clone(), kicked)).detach();
    let bound = node.addresses();
    log::info!(
        "node: {} serves callers on {}, peers on {}, operators on {}",
        node.holder,
        bound.callers,
        bound.peers,
        bound.operators
    );
    Ok(Running { node, callers, operators })
}

impl<W: Ports> Running<W> {
    /// The addresses bound.
    pub fn addresses(&self) -> Addresses {
        self.node.addresses()
    }

    /// Stops without cutting off a request: not ready at once, no new work after the balancer's delay, every
    /// open answer finished, unused tokens given back.
    pub async fn stop(self) {
        let node = &self.node;
        log::info!("node: stopping, not ready from now on");
        self.set_phase(Phase::Leaving);
        exec::sleep(millis(node.settings.limits.stop_delay_ms)).await;
        self.set_phase(Phase::Draining);
        let _ = node.news.try_send(());
        log::info!("node: takes no new work, {} requests are open", node.open.load(Ordering::Relaxed));
        while node.open.load(Ordering::Relaxed) > 0 {
            exec::sleep(millis(DRAIN_LOOK_MS)).await;
        }
        self.callers.stop();
        while self.callers.open_connections() > 0 {
            exec::sleep(millis(DRAIN_LOOK_MS)).await;
        }
        node.closed.store(true, Ordering::Relaxed);
        while sync::settle(node, node.clock.now(), 1, true).await {}
        exec::sleep(millis(LAST_CALLS_MS)).await;
        self.operators.stop();
        log::info!("node: stopped, every token is settled or given back");
    }

    fn set_phase(&self, phase: Phase) {
        *self.node.phase.lock().expect("the phase's lock") = phase;
    }
}
