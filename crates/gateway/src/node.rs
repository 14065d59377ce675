//! The state of a gateway that its tasks share.

use crate::answers;
use crate::barrier::Barrier;
use crate::contact::Contacts;
use crate::failover::Failover;
use crate::hints::Hints;
use crate::link::Link;
use crate::load::Load;
use crate::manifest::{Manifest, RouteKind, Team};
use crate::metrics::Metrics;
use crate::origins::Origins;
use crate::owners::{Owners, Peer};
use crate::peer_reservations::PeerReservations;
use crate::places::Places;
use crate::ports::{Listing, Wire};
use crate::reach::Reach;
use crate::receive::{ByteBudget, MEGABYTE};
use crate::release::Releases;
use crate::runs::Runs;
use crate::settings::Settings;
use crate::store_metrics::MeteredRows;
use crate::team_budget::{BudgetOptions, TeamBudget};
use budget::ledger::Level;
use event_listener::Event;
use net::{Clock, Pool};
use route::drain::Drain;
use route::placement::Placer;
use route::poison::Loss;
use route::quarantine::Quarantine;
use route::returns::Returns;
use route::version::Lifetime;
use route::{Millis, RepeatBound, RepeatWindow};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock};
use std::time::Duration;
use store::rows::{Progress, Rows};

/// The size of the fleet that is assumed until the list of gateways is read. With a smaller one, a single
/// gateway could use up all that the fleet shares.
const INITIAL_FLEET_SIZE: u64 = 8;

/// The time within which a caller takes a stream up after its connection broke, in milliseconds.
pub(crate) const RETURN_TIME_MS: Millis = 10_000;

/// The phases of a gateway's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// It accepts requests.
    Serving,
    /// It reports that it is not ready, but accepts requests until the balancer has noticed.
    Leaving,
    /// It accepts no new requests.
    Draining,
}

/// The state of a gateway.
pub(crate) struct Node<W: Wire, S: Rows> {
    pub settings: Settings,
    /// The name of the VM and the incarnation of this process.
    pub holder: String,
    pub wire: W,
    /// The store, with metrics of the calls.
    pub rows: MeteredRows<Failover<S>>,
    /// The same store without metrics.
    pub failover: Failover<S>,
    pub pool: Pool,
    pub reach: Reach,
    /// The number of tunnels that this gateway serves.
    pub tunnels: Arc<AtomicUsize>,
    pub metrics: Metrics,
    /// The number of gateways that are alive, this one included.
    pub fleet_size: Arc<AtomicU64>,
    /// When the list of gateways was last read, in milliseconds since the process started; 0 if it has not
    /// been read.
    pub fleet_read_ms: AtomicU64,
    /// Whether this gateway is the first by name of those alive, which does the work that only one of them
    /// should do.
    pub is_first: AtomicBool,
    /// The number of open requests.
    pub open_requests: AtomicU64,
    pub load: Load,
    /// The memory for the bodies that callers are sending.
    pub receiving: ByteBudget,
    /// The memory that answers of upstreams may take.
    pub answers: answers::Budget,
    /// Paces large bodies on this VM's link.
    pub link: Link,
    pub hints: Arc<Hints>,
    pub owners: Owners,
    pub origins: Arc<Origins>,
    pub barrier: Barrier,
    /// The longest time that a stream and its resumptions take.
    stream_lifetime: Mutex<Lifetime>,
    pub peer_reservations: Arc<PeerReservations>,
    /// Wakes requests when one at an upstream of their service has ended.
    pub places: Places,
    pub contacts: Contacts,
    pub runs: Arc<Runs>,
    pub releases: Releases,
    /// Notified when a budget is opened.
    pub budget_opened: Event,
    /// The newest version of the table of denied requests that this gateway has read, or that another one has
    /// named; 0 if the table is empty.
    pub quarantine_version: AtomicU64,
    /// Notified when this gateway has written to that table, or another one has read a newer version of it.
    pub quarantine_changed: Event,
    pub clock: Clock,
    manifest: RwLock<Option<Arc<Manifest>>>,
    /// The progress of the pending read of the manifest.
    manifest_progress: Mutex<Progress>,
    placer: Mutex<Placer>,
    quarantine: Mutex<Quarantine>,
    /// Lost runs that the other gateways have not been told of.
    unreported_losses: Mutex<Vec<Loss>>,
    listings: Mutex<HashMap<String, Listing>>,
    windows: Mutex<HashMap<String, RepeatWindow>>,
    returns: Mutex<Returns>,
    budgets: Mutex<HashMap<String, Arc<TeamBudget>>>,
    phase: AtomicU8,
    /// Set when this gateway begins to stop.
    drain: OnceLock<Drain>,
    /// Notified when the phase changes.
    phase_changed: Event,
    /// Requests a new usage note.
    note_requests: async_channel::Sender<()>,
    /// The last known time of the store's clock, in milliseconds, and when it arrived on this gateway's
    /// clock.
    store_clock: Mutex<Option<(u64, Duration)>>,
}

impl<W: Wire, S: Rows> Node<W, S> {
    pub(crate) fn new(
        settings: Settings,
        incarnation: u64,
        wire: W,
        rows: S,
        note_requests: async_channel::Sender<()>,
    ) -> Node<W, S> {
        let clock = Clock::default();
        let metrics = Metrics::new();
        let load = Load::new(settings.link_mbps);
        let link = Link::new(settings.link_mbps, clock.clone(), load.unpaced().clone());
        let failover = Failover::new(rows);
        let holder = format!("{}#{incarnation}", settings.name);
        let receiving = ByteBudget::new(settings.memory_mb, metrics.receiving_bytes.clone());
        Node {
            owners: Owners::new(&settings.name, settings.cores()),
            peer_reservations: Arc::new(PeerReservations::new(&holder)),
            holder,
            placer: Mutex::new(Placer::new(&settings.data_centre).with_gateway(&settings.name)),
            wire,
            rows: MeteredRows::new(failover.clone(), &metrics),
            failover,
            pool: Pool::new(clock.clone()),
            reach: Reach::default(),
            tunnels: Arc::default(),
            clock,
            answers: answers::Budget::new(settings.memory_mb.map(|mb| mb * MEGABYTE), &receiving),
            receiving,
            metrics,
            fleet_size: Arc::new(AtomicU64::new(INITIAL_FLEET_SIZE)),
            fleet_read_ms: AtomicU64::new(0),
            is_first: AtomicBool::new(false),
            open_requests: AtomicU64::new(0),
            link,
            load,
            hints: Arc::default(),
            origins: Arc::default(),
            barrier: Barrier::default(),
            stream_lifetime: Mutex::default(),
            places: Places::default(),
            contacts: Contacts::default(),
            runs: Arc::default(),
            releases: Releases::default(),
            budget_opened: Event::new(),
            quarantine_version: AtomicU64::new(0),
            quarantine_changed: Event::new(),
            quarantine: Mutex::default(),
            unreported_losses: Mutex::default(),
            manifest: RwLock::default(),
            manifest_progress: Mutex::default(),
            listings: Mutex::default(),
            windows: Mutex::default(),
            returns: Mutex::default(),
            budgets: Mutex::default(),
            phase: AtomicU8::new(Phase::Serving as u8),
            drain: OnceLock::new(),
            phase_changed: Event::new(),
            note_requests,
            store_clock: Mutex::default(),
            settings,
        }
    }

    /// Milliseconds since the process started, including the time for which the VM was suspended.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now().as_millis() as Millis
    }

    /// Like [`Node::now`], with fractions of a millisecond.
    pub(crate) fn now_exact(&self) -> f64 {
        self.clock.now().as_secs_f64() * 1_000.0
    }

    /// Records the time of the store's clock from an answer that has just arrived.
    pub(crate) fn set_store_clock(&self, now_ms: u64) {
        *self.store_clock.lock().expect("the clock's lock is not poisoned") =
            Some((now_ms, self.clock.now()));
    }

    /// A lower bound of the current time on the store's clock, in milliseconds; 0 if that clock is not known
    /// yet.
    pub(crate) fn store_now(&self) -> u64 {
        let clock = *self.store_clock.lock().expect("the clock's lock is not poisoned");
        clock.map_or(0, |(now_ms, arrived)| {
            now_ms + self.clock.now().saturating_sub(arrived).as_millis() as u64
        })
    }

    pub(crate) fn manifest(&self) -> Option<Arc<Manifest>> {
        self.manifest.read().expect("the manifest's lock is not poisoned").clone()
    }

    /// Sets the progress of the pending read of the manifest.
    pub(crate) fn set_manifest_progress(&self, progress: &Progress) {
        *self.manifest_progress.lock().expect("the progress lock is not poisoned") = progress.clone();
    }

    /// Whether a newer manifest is being received.
    pub(crate) fn is_receiving_manifest(&self) -> bool {
        crate::watch::is_receiving_manifest(
            &self.manifest_progress.lock().expect("the progress lock is not poisoned"),
        )
    }

    /// Puts a manifest into force unless the current one is of the same or a later version. Returns whether
    /// it did.
    pub(crate) fn apply_manifest(&self, next: Manifest) -> bool {
        let next = Arc::new(next);
        {
            let mut current = self.manifest.write().expect("the manifest's lock is not poisoned");
            if current.as_ref().is_some_and(|current| current.version >= next.version) {
                return false;
            }
            *current = Some(next.clone());
        }
        self.metrics.manifest_version.set(next.version as i64);
        let routes = next.routes.values().flatten();
        let longest = routes.filter(|route| route.kind == RouteKind::ResumableStream);
        let longest = longest.map(|route| route.timeout_ms).max().unwrap_or(0);
        self.lifetime().set(longest.saturating_add(RETURN_TIME_MS), self.now());
        let warmups =
            next.services.iter().filter_map(|(name, service)| Some((name.clone(), service.warmup?)));
        let connections = next.services.iter().map(|(name, service)| (name.clone(), service.connections));
        let mut placer = self.placer();
        placer.set_warmups(warmups.collect());
        placer.set_connection_limits(connections.collect());
        drop(placer);
        let teams = next.teams.values();
        self.owners.set_levels(teams.filter_map(|team| Some((team.name.as_str(), team.reserved?))));
        for (team, budget) in self.budgets().iter() {
            if let Some(tokens) = next.teams.get(team).and_then(|team| team.reserved) {
                budget.set_level(Level { version: next.version, tokens });
            }
        }
        true
    }

    /// The longest time that a stream and its resumptions take, in milliseconds.
    pub(crate) fn stream_lifetime(&self) -> Millis {
        self.lifetime().at(self.now())
    }

    fn lifetime(&self) -> MutexGuard<'_, Lifetime> {
        self.stream_lifetime.lock().expect("no thread panics while it holds the lock")
    }

    pub(crate) fn placer(&self) -> MutexGuard<'_, Placer> {
        self.placer.lock().expect("the placer lock is not poisoned")
    }

    pub(crate) fn unreported_losses(&self) -> MutexGuard<'_, Vec<Loss>> {
        self.unreported_losses.lock().expect("the lock of losses is not poisoned")
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("the quarantine's lock is not poisoned")
    }

    pub(crate) fn returns(&self) -> MutexGuard<'_, Returns> {
        self.returns.lock().expect("the returns lock is not poisoned")
    }

    /// Adopts another gateway's decision on which engines of a service are reserved for short requests.
    pub(crate) fn apply_division(&self, service: &str, short: &[String]) {
        if self.placer().follow_division(service, short) {
            log::info!("upstream: event=divided service={service} kept-for-short={}", short.join(","));
        }
    }

    pub(crate) fn listings(&self) -> MutexGuard<'_, HashMap<String, Listing>> {
        self.listings.lock().expect("the listings lock is not poisoned")
    }

    pub(crate) fn budgets(&self) -> MutexGuard<'_, HashMap<String, Arc<TeamBudget>>> {
        self.budgets.lock().expect("the budgets lock is not poisoned")
    }

    /// The budget of a team; `None` if its tokens are not limited. Opens the budget if it is not open yet.
    pub(crate) fn budget(&self, manifest: &Manifest, team: &Team) -> Option<Arc<TeamBudget>> {
        let level = Level { version: manifest.version, tokens: team.reserved? };
        let mut budgets = self.budgets();
        if let Some(budget) = budgets.get(&team.name) {
            return Some(budget.clone());
        }
        let options = BudgetOptions {
            holder: self.holder.clone(),
            fleet_size: self.fleet_size.clone(),
            owners: self.owners.owner_count(&team.name).unwrap_or(self.fleet_size()),
            note_requests: self.note_requests.clone(),
            record_ms: self.settings.record_ms,
        };
        let budget = TeamBudget::open(&self.rows, &team.name, level, options);
        budgets.insert(team.name.clone(), budget.clone());
        self.budget_opened.notify(usize::MAX);
        Some(budget)
    }

    /// The budget of a team if it is open at this gateway.
    pub(crate) fn held_budget(&self, team: &str) -> Option<Arc<TeamBudget>> {
        self.budgets().get(team).cloned()
    }

    /// Sets the other gateways that are alive.
    pub(crate) fn set_peers(&self, peers: &[Peer]) {
        let addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
        self.quarantine().set_routers(peers.len() + 1);
        self.failover.set_peers(&addresses);
        let before = self.hints.peers();
        self.hints.set_peers(addresses);
        self.origins.tell_new_keepers(&self.hints, self.settings.listen.peers, before);
        self.reach.set_peers(peers);
        self.owners.set_peers(peers);
        for (team, budget) in self.budgets().iter() {
            let owners = self.owners.owner_count(team).unwrap_or(self.fleet_size());
            budget.owners.store(owners, Ordering::Relaxed);
        }
    }

    /// Calls `act` with the retry window of a service and the current time.
    pub(crate) fn with_retry_window<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RepeatWindow, Millis) -> T,
    ) -> T {
        let now = self.now();
        let bounds = &self.settings.bounds;
        let mut windows = self.windows.lock().expect("the windows lock is not poisoned");
        if !windows.contains_key(service) {
            let bound = RepeatBound {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
                length: (bounds.retry_window_s * 1_000.0) as Millis,
            };
            windows.insert(service.to_owned(), RepeatWindow::new(bound, 0));
        }
        let window = windows.get_mut(service).expect("the window was just added");
        window.set_routers(crate::members::known_fleet_size(self));
        act(window, now)
    }

    /// The number of gateways that share the upstreams and budgets, this one included.
    pub(crate) fn fleet_size(&self) -> u64 {
        self.fleet_size.load(Ordering::Relaxed).max(1)
    }

    /// This gateway's equal share of the connections that an upstream accepts from all gateways together. In
    /// a large fleet it may be none.
    pub(crate) fn max_connections(&self, accepted: usize) -> usize {
        route::equal_share(accepted, self.fleet_size())
    }

    /// The number of connections that this gateway may open to an upstream of a service.
    pub(crate) fn max_connections_to(&self, upstream: &str, service: &str, manifest: &Manifest) -> usize {
        let accepted = manifest.services.get(service).map_or(usize::MAX, |service| service.connections);
        self.placer().max_connections(upstream, self.max_connections(accepted))
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            _ => Phase::Draining,
        }
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::SeqCst);
        self.phase_changed.notify(usize::MAX);
    }

    /// Waits until this gateway accepts no new requests.
    pub(crate) async fn until_draining(&self) {
        loop {
            let changed = self.phase_changed.listen();
            if self.phase() == Phase::Draining {
                return;
            }
            changed.await;
        }
    }

    /// Begins a stop, which cuts off what is still open after `limit`.
    pub(crate) fn begin_stop(&self, limit: Duration) {
        let _ = self.drain.set(Drain::until(self.now().saturating_add(limit.as_millis() as Millis)));
        self.set_phase(Phase::Leaving);
    }

    /// The stop that is under way, if there is one.
    pub(crate) fn drain(&self) -> Option<Drain> {
        self.drain.get().copied()
    }

    /// Whether the balancer may send callers to this gateway: it is not stopping, it knows a manifest and
    /// upstreams, reaches some of them, and its VM is not overloaded.
    pub(crate) fn is_ready(&self) -> bool {
        let is_configured = self.manifest().is_some() && !self.listings().is_empty();
        self.phase() == Phase::Serving
            && is_configured
            && !self.load.is_shedding()
            && !self.reach.is_isolated()
    }
}
