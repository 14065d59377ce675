//! One gateway: what it knows, and what runs on it.

use crate::failover::Failover;
use crate::hints::Hints;
use crate::load::Load;
use crate::manifest::{Manifest, Team};
use crate::metrics::Metrics;
use crate::owners::{Owners, Peer};
use crate::peer_reservations::PeerReservations;
use crate::ports::{Listing, Wire};
use crate::settings::Settings;
use crate::store_metrics::MeteredRows;
use crate::team_budget::{BudgetOptions, TeamBudget};
use budget::ledger::Level;
use event_listener::Event;
use net::{Clock, Pool};
use route::place::Places;
use route::quarantine::Quarantine;
use route::{Millis, Terms, Window};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;
use store::rows::{Progress, Rows};

/// Connections to one upstream that are left unused, as a share: routers learn of each other late.
const CONNECTION_MARGIN: f64 = 0.9;

/// How many gateways there are thought to be until the list was read: too few would let one take all there is.
const ASSUMED_FLEET: u64 = 8;

/// Where a gateway is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It is not ready any more, but still takes work until the balancer has noticed.
    Leaving,
    /// It takes no new work.
    Draining,
}

/// One gateway.
pub(crate) struct Node<W: Wire, S: Rows> {
    pub settings: Settings,
    /// The VM's name with the incarnation of this process.
    pub holder: String,
    pub wire: W,
    pub rows: MeteredRows<Failover<S>>,
    /// The same without the counts.
    pub failover: Failover<S>,
    pub pool: Pool,
    pub metrics: Metrics,
    pub fleet_size: Arc<AtomicU64>,
    /// When the list of gateways was read last, in milliseconds since the process started; 0 if it was not yet.
    pub fleet_read_ms: AtomicU64,
    /// Whether this gateway is the first by name of those alive: it does what only one should.
    pub is_first: AtomicBool,
    pub open_requests: AtomicU64,
    pub load: Load,
    pub hints: Arc<Hints>,
    pub owners: Owners,
    pub peer_reservations: Arc<PeerReservations>,
    /// Notified when a budget is opened.
    pub budget_opened: Event,
    /// The newest version of the table of denied requests that was read; 0 if none is there.
    pub quarantine_version: AtomicU64,
    /// Notified when another gateway has read a newer one.
    pub quarantine_changed: Event,
    pub clock: Clock,
    manifest: RwLock<Option<Arc<Manifest>>>,
    /// How far the read of the next manifest has come.
    manifest_progress: Mutex<Progress>,
    places: Mutex<Places>,
    quarantine: Mutex<Quarantine>,
    listings: Mutex<HashMap<String, Listing>>,
    windows: Mutex<HashMap<String, Window>>,
    budgets: Mutex<HashMap<String, Arc<TeamBudget>>>,
    phase: AtomicU8,
    note: async_channel::Sender<()>,
    /// What the store's clock said, in milliseconds, and when that was heard.
    store_clock: Mutex<Option<(u64, Duration)>>,
}

impl<W: Wire, S: Rows> Node<W, S> {
    pub(crate) fn new(
        settings: Settings,
        incarnation: u64,
        wire: W,
        rows: S,
        note: async_channel::Sender<()>,
    ) -> Node<W, S> {
        let clock = Clock::default();
        let metrics = Metrics::new();
        let failover = Failover::new(rows);
        let holder = format!("{}#{incarnation}", settings.name);
        Node {
            owners: Owners::new(&settings.name, settings.cores()),
            peer_reservations: Arc::new(PeerReservations::new(&holder)),
            holder,
            places: Mutex::new(Places::new(&settings.data_centre)),
            wire,
            rows: MeteredRows::new(failover.clone(), &metrics),
            failover,
            pool: Pool::new(clock.clone()),
            clock,
            metrics,
            fleet_size: Arc::new(AtomicU64::new(ASSUMED_FLEET)),
            fleet_read_ms: AtomicU64::new(0),
            is_first: AtomicBool::new(false),
            open_requests: AtomicU64::new(0),
            load: Load::new(settings.link_mbps),
            hints: Arc::default(),
            budget_opened: Event::new(),
            quarantine_version: AtomicU64::new(0),
            quarantine_changed: Event::new(),
            quarantine: Mutex::default(),
            manifest: RwLock::default(),
            manifest_progress: Mutex::default(),
            listings: Mutex::default(),
            windows: Mutex::default(),
            budgets: Mutex::default(),
            phase: AtomicU8::new(Phase::Serving as u8),
            note,
            store_clock: Mutex::default(),
            settings,
        }
    }

    /// Milliseconds since the process started, those included for which the VM was suspended.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now().as_millis() as Millis
    }

    /// The same with the parts of a millisecond.
    pub(crate) fn now_exact(&self) -> f64 {
        self.clock.now().as_secs_f64() * 1_000.0
    }

    /// Takes in what the store's clock said in an answer that came just now.
    pub(crate) fn set_store_clock(&self, now_ms: u64) {
        *self.store_clock.lock().expect("the clock's lock") = Some((now_ms, self.clock.now()));
    }

    /// A moment not after now, in milliseconds of the store's clock; 0 if it is not known yet.
    pub(crate) fn store_now(&self) -> u64 {
        let clock = *self.store_clock.lock().expect("the clock's lock");
        clock.map_or(0, |(now_ms, heard)| now_ms + self.clock.now().saturating_sub(heard).as_millis() as u64)
    }

    pub(crate) fn manifest(&self) -> Option<Arc<Manifest>> {
        self.manifest.read().expect("the manifest's lock").clone()
    }

    /// Takes in that the next manifest is being read.
    pub(crate) fn set_manifest_progress(&self, progress: &Progress) {
        *self.manifest_progress.lock().expect("the read's lock") = progress.clone();
    }

    /// Whether a newer manifest is on its way.
    pub(crate) fn is_receiving_manifest(&self) -> bool {
        crate::watch::is_receiving_manifest(&self.manifest_progress.lock().expect("the read's lock"))
    }

    /// Puts a manifest in force, unless that or a later one is: `true` if it is now.
    pub(crate) fn apply_manifest(&self, next: Manifest) -> bool {
        let next = Arc::new(next);
        {
            let mut current = self.manifest.write().expect("the manifest's lock");
            if current.as_ref().is_some_and(|current| current.version >= next.version) {
                return false;
            }
            *current = Some(next.clone());
        }
        self.metrics.manifest_version.set(next.version as i64);
        let warmups =
            next.services.iter().filter_map(|(name, service)| Some((name.clone(), service.warmup?)));
        self.places().set_warmups(warmups.collect());
        let teams = next.teams.values();
        self.owners.set_levels(teams.filter_map(|team| Some((team.name.as_str(), team.reserved?))));
        for (team, budget) in self.budgets().iter() {
            if let Some(tokens) = next.teams.get(team).and_then(|team| team.reserved) {
                budget.set_level(Level { version: next.version, tokens });
            }
        }
        true
    }

    pub(crate) fn places(&self) -> MutexGuard<'_, Places> {
        self.places.lock().expect("the places' lock")
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("the quarantine's lock")
    }

    /// Follows the gateway that decides which engines of a service are kept for short work.
    pub(crate) fn apply_division(&self, service: &str, short: &[String]) {
        if self.places().follow(service, short) {
            log::info!("upstream: event=divided service={service} kept-for-short={}", short.join(","));
        }
    }

    pub(crate) fn listings(&self) -> MutexGuard<'_, HashMap<String, Listing>> {
        self.listings.lock().expect("the listings' lock")
    }

    pub(crate) fn budgets(&self) -> MutexGuard<'_, HashMap<String, Arc<TeamBudget>>> {
        self.budgets.lock().expect("the budgets' lock")
    }

    /// The budget of a team, if something bounds it.
    pub(crate) fn budget(&self, manifest: &Manifest, team: &Team) -> Option<Arc<TeamBudget>> {
        let level = Level { version: manifest.version, tokens: team.reserved? };
        let mut budgets = self.budgets();
        if let Some(budget) = budgets.get(&team.name) {
            return Some(budget.clone());
        }
        let terms = BudgetOptions {
            holder: self.holder.clone(),
            fleet_size: self.fleet_size.clone(),
            owners: self.owners.owner_count(&team.name).unwrap_or(self.fleet_size()),
            note_requests: self.note.clone(),
            record_ms: self.settings.record_ms,
        };
        let budget = TeamBudget::open(&self.rows, &team.name, level, terms);
        budgets.insert(team.name.clone(), budget.clone());
        self.budget_opened.notify(usize::MAX);
        Some(budget)
    }

    /// Takes in the other gateways that are alive, with where they listen for this one.
    pub(crate) fn set_peers(&self, peers: &[Peer]) {
        let addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
        self.failover.set_peers(&addresses);
        self.hints.set_peers(addresses);
        self.owners.set_peers(peers);
        for (team, budget) in self.budgets().iter() {
            let owners = self.owners.owner_count(team).unwrap_or(self.fleet_size());
            budget.owners.store(owners, Ordering::Relaxed);
        }
    }

    /// Uses the window of repeats of a service.
    pub(crate) fn with_retry_window<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut Window, Millis) -> T,
    ) -> T {
        let now = self.now();
        let bounds = &self.settings.bounds;
        let mut windows = self.windows.lock().expect("the windows' lock");
        if !windows.contains_key(service) {
            let terms = Terms {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
                length: (bounds.retry_window_s * 1_000.0) as Millis,
            };
            windows.insert(service.to_owned(), Window::new(terms, 0));
        }
        let window = windows.get_mut(service).expect("the window was just added");
        window.set_routers(crate::members::known_fleet_size(self));
        act(window, now)
    }

    /// How many gateways share the upstreams and budgets, this one included.
    pub(crate) fn fleet_size(&self) -> u64 {
        self.fleet_size.load(Ordering::Relaxed).max(1)
    }

    /// Connections that this gateway may have to one upstream that takes `all`.
    pub(crate) fn max_connections(&self, all: usize) -> usize {
        let share = all as f64 * CONNECTION_MARGIN / self.fleet_size() as f64;
        (share as usize).max(2)
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            0 => Phase::Serving,
            1 => Phase::Leaving,
            _ => Phase::Draining,
        }
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Whether the balancer may send callers here: a manifest and upstreams are known, and the VM bears its work.
    pub(crate) fn is_ready(&self) -> bool {
        let is_informed = self.manifest().is_some() && !self.listings().is_empty();
        self.phase() == Phase::Serving && is_informed && !self.load.is_shedding()
    }
}
