//! Connects to upstreams, through other gateways where this one can't.
//!
//! The decisions are in [`route::reach`]. A connection through another gateway, the relay, is a tunnel: the relay
//! passes on bytes and knows nothing of the requests, so that a request is placed, repeated and charged by the
//! gateway that its caller reached.

use crate::node::Node;
use crate::owners::Peer;
use crate::ports::Wire;
use crate::tunnel::{LOAN_PATH, TUNNEL_PATH};
use event_listener::Event;
use futures::future::{Either, select};
use net::{Dial, Lease, Transport, Tunnel, TunnelError, Way, exec};
use rand::seq::SliceRandom;
use route::Millis;
use route::reach::{Attempt, Change, Plan, Relays, Status};
use route::silence::SilenceMonitor;
use smallvec::SmallVec;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// The time after which relays are asked beside a direct attempt: several round trips between data centres, and
/// the delay of a process on a busy VM.
const RELAY_DELAY: Duration = Duration::from_millis(150);
/// How long a relay may take to answer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
/// The most relays that have to find an upstream unreachable. A single one may have lost its own path and not
/// know it yet.
const MAX_UNREACHABLE: usize = 2;
/// The interval at which silence is checked for.
const SILENCE_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which upstreams are tried directly while the gateway's own path to them is broken.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// The number of upstreams that are tried to check the gateway's own path.
const CHECKED_UPSTREAMS: usize = 4;

/// How this gateway reaches the upstreams.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    state: Mutex<route::reach::Reach>,
    relays: Mutex<Relays>,
    /// The gateways that are asked for connections out of their shares.
    lenders: Mutex<Relays>,
    /// When an upstream last answered, in milliseconds since the process started.
    heard: AtomicU64,
    /// When bytes last arrived on a direct connection.
    heard_directly: AtomicU64,
    /// Notified when a direct attempt got no answer while relays reach the upstreams.
    unanswered: Event,
    /// Whether it is being checked whether this gateway is isolated.
    is_confirming: AtomicBool,
}

impl Reach {
    fn state(&self) -> MutexGuard<'_, route::reach::Reach> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    fn relays(&self) -> MutexGuard<'_, Relays> {
        self.relays.lock().expect("no thread panics while it holds the relays")
    }

    fn lenders(&self) -> MutexGuard<'_, Relays> {
        self.lenders.lock().expect("no thread panics while it holds the lenders")
    }

    /// Sets the other gateways that are alive.
    pub(crate) fn set_peers(&self, peers: &[Peer]) {
        let gateways: Vec<_> = peers.iter().map(|peer| (peer.address, peer.distance)).collect();
        self.relays().set(gateways.clone());
        self.lenders().set(gateways);
    }

    /// Records that bytes arrived from an upstream.
    pub(crate) fn record_answer(&self, lease: &Lease, now: Millis) {
        self.heard.store(now, Ordering::Relaxed);
        if !lease.is_relayed() {
            self.heard_directly.store(now, Ordering::Relaxed);
        }
    }

    fn loss_delay_ms(&self, since: Millis, now: Millis) -> Option<Millis> {
        self.state().loss_delay_ms(since, self.heard_directly.load(Ordering::Relaxed), now)
    }

    /// Whether a direct connection on which nothing has arrived since `since` is lost.
    pub(crate) fn is_lost(&self, since: Millis, now: Millis) -> bool {
        self.loss_delay_ms(since, now) == Some(0)
    }

    /// Whether this gateway reaches no upstream, directly or through others.
    pub(crate) fn is_isolated(&self) -> bool {
        self.state().status() == Status::Isolated
    }

    /// Whether this gateway's own path to an upstream is not known to be lost.
    pub(crate) fn reaches_directly(&self, upstream: &str, now: Millis) -> bool {
        let state = self.state();
        state.status() == Status::Direct && state.plan(upstream, now) != Plan::RelayFirst
    }

    /// Whether this gateway reaches upstreams directly.
    pub(crate) fn is_direct(&self) -> bool {
        self.state().status() == Status::Direct
    }
}

/// Opens connections to one upstream.
pub(crate) struct Dialer<'a, W: Wire, S: Rows> {
    pub node: &'a Arc<Node<W, S>>,
    pub upstream: &'a str,
}

impl<W: Wire, S: Rows> Dial for Dialer<'_, W, S> {
    fn way(&self) -> Way {
        match self.plan() {
            Plan::RelayFirst => Way::Relayed,
            Plan::DirectFirst | Plan::DirectOnly => Way::Direct,
        }
    }

    async fn dial(&self, address: SocketAddr) -> io::Result<Transport> {
        match self.plan() {
            Plan::DirectFirst => self.dial_directly_first(address).await,
            Plan::DirectOnly => self.dial_directly(address).await,
            Plan::RelayFirst => match self.open_tunnel().await {
                Ok(tunnel) => Ok(Transport::Relayed(Box::new(tunnel))),
                Err(_) => self.dial_directly(address).await.inspect_err(|_| self.record(Attempt::Failed)),
            },
        }
    }

    async fn borrow(&self) -> Option<Tunnel> {
        let reach = &self.node.reach;
        let lenders = reach.lenders().select(rand::random(), self.node.now());
        for lender in lenders {
            match net::open_tunnel(lender, LOAN_PATH, self.upstream, RELAY_TIMEOUT).await {
                Ok(tunnel) => {
                    self.count("borrowed");
                    return Some(tunnel);
                }
                Err(TunnelError::TargetUnreachable(_)) => return None,
                Err(error @ (TunnelError::Declined(_) | TunnelError::NoAnswer(..))) => {
                    log::debug!("upstream: event=not-borrowed upstream={} {error}", self.upstream);
                    reach.lenders().back_off(lender, self.node.now());
                }
            }
        }
        None
    }
}

impl<W: Wire, S: Rows> Dialer<'_, W, S> {
    fn plan(&self) -> Plan {
        self.node.reach.state().plan(self.upstream, self.node.now())
    }

    async fn dial_directly(&self, address: SocketAddr) -> io::Result<Transport> {
        let connected = net::connect(address).await;
        self.count(match connected.as_ref().map_err(io::Error::kind) {
            Ok(_) => "opened",
            Err(ErrorKind::ConnectionRefused) => "refused",
            Err(ErrorKind::TimedOut) => "timed-out",
            Err(_) => "failed",
        });
        if connected.is_ok() {
            self.record(Attempt::Direct);
        }
        connected.map(Transport::Direct)
    }

    /// Connects directly, and through a relay if that fails or takes long. Uses the connection that is
    /// established first.
    async fn dial_directly_first(&self, address: SocketAddr) -> io::Result<Transport> {
        let since = self.node.now();
        let unanswered = Attempt::Unanswered { since };
        let mut direct = pin!(self.dial_directly(address));
        let (tunnel, attempt) = match exec::timeout(RELAY_DELAY, direct.as_mut()).await {
            Some(Ok(transport)) => return Ok(transport),
            Some(Err(error)) => (self.open_tunnel().await.map_err(|_| error), Attempt::Relayed),
            None => match select(direct, pin!(self.open_tunnel())).await {
                Either::Left((Ok(transport), _)) => return Ok(transport),
                Either::Left((Err(error), tunnel)) => {
                    let is_unanswered = error.kind() == ErrorKind::TimedOut;
                    let attempt = if is_unanswered { unanswered } else { Attempt::Relayed };
                    (tunnel.await.map_err(|_| error), attempt)
                }
                Either::Right((Ok(tunnel), _)) => (Ok(tunnel), unanswered),
                Either::Right((Err(_), direct)) => match direct.await {
                    Ok(transport) => return Ok(transport),
                    Err(error) => (Err(error), Attempt::Failed),
                },
            },
        };
        self.record(if tunnel.is_ok() { attempt } else { Attempt::Failed });
        tunnel.map(|tunnel| Transport::Relayed(Box::new(tunnel)))
    }

    /// Opens a tunnel through one of the other gateways, which are asked one after another.
    async fn open_tunnel(&self) -> Result<Tunnel, Unreached> {
        let reach = &self.node.reach;
        let mut unreachable = 0;
        let relays = reach.relays().select(rand::random(), self.node.now());
        for relay in relays {
            match net::open_tunnel(relay, TUNNEL_PATH, self.upstream, RELAY_TIMEOUT).await {
                Ok(tunnel) => {
                    log::info!("upstream: event=relayed upstream={} relay={relay}", self.upstream);
                    self.count("relayed");
                    return Ok(tunnel);
                }
                Err(error @ TunnelError::TargetUnreachable(_)) => {
                    log::debug!("upstream: event=not-relayed upstream={} {error}", self.upstream);
                    unreachable += 1;
                    if unreachable >= MAX_UNREACHABLE {
                        break;
                    }
                }
                Err(error @ (TunnelError::Declined(_) | TunnelError::NoAnswer(..))) => {
                    log::debug!("upstream: event=not-relayed upstream={} {error}", self.upstream);
                    reach.relays().back_off(relay, self.node.now());
                }
            }
        }
        Err(if unreachable > 0 { Unreached::Confirmed } else { Unreached::Unknown })
    }

    fn count(&self, outcome: &str) {
        self.node.metrics.connection_attempts.with_label_values(&[outcome]).inc();
    }

    fn record(&self, attempt: Attempt) {
        let node = self.node;
        let listed = node.listings().len();
        let change = {
            let mut state = node.reach.state();
            state.set_upstreams(listed);
            state.record(self.upstream, attempt, node.reach.heard.load(Ordering::Relaxed), node.now())
        };
        match change {
            Change::None => {}
            Change::Status(status) => apply_status(node, status),
            Change::MaybeIsolated => exec::spawn(confirm_isolation(node.clone())).detach(),
        }
        if let Attempt::Unanswered { .. } = attempt {
            node.reach.unanswered.notify(usize::MAX);
        }
    }
}

/// Waits until the direct connection is lost on which a request was sent at `sent`.
pub(crate) async fn until_lost<W: Wire, S: Rows>(node: &Node<W, S>, sent: Millis) {
    loop {
        let unanswered = node.reach.unanswered.listen();
        match node.reach.loss_delay_ms(sent, node.now()) {
            Some(0) => return,
            Some(ms) => _ = exec::timeout(Duration::from_millis(ms), unanswered).await,
            None => unanswered.await,
        }
    }
}

/// Whether another gateway connects to an upstream. While this gateway's own path is broken and none can be asked, it
/// is assumed that one would.
pub(crate) async fn is_reached_by_others<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, upstream: &str) -> bool {
    match (Dialer { node, upstream }).open_tunnel().await {
        Ok(_) => true,
        Err(Unreached::Confirmed) => false,
        Err(Unreached::Unknown) => node.reach.state().status() != Status::Direct,
    }
}

/// Why no other gateway connected to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unreached {
    /// Others tried in vain.
    Confirmed,
    /// None tried.
    Unknown,
}

/// Applies a new status. Failures that were recorded before tell nothing about the upstreams: they were due to the
/// gateway's own path, or to upstreams that were tried on a path that has changed.
fn apply_status<W: Wire, S: Rows>(node: &Node<W, S>, status: Status) {
    node.placer().forget_failures();
    node.metrics.set_reach(status);
    match status {
        Status::Direct => log::warn!("gateway: event=upstreams-reached"),
        Status::Relayed => log::warn!("gateway: event=upstreams-lost relayed=true"),
        Status::Isolated => log::warn!("gateway: event=upstreams-lost relayed=false"),
    }
}

/// Tries further upstreams, at least one of each service. If none is reached, the gateway is isolated.
async fn confirm_isolation<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    // The attempts of a check would each cause another one.
    if node.reach.is_confirming.swap(true, Ordering::Relaxed) {
        return;
    }
    let is_reached = check_path(&node).await;
    let is_new = !is_reached && node.reach.state().confirm_isolated();
    node.reach.is_confirming.store(false, Ordering::Relaxed);
    if is_new {
        apply_status(&node, Status::Isolated);
    }
}

/// Connects to some upstreams, which tells whether they can be reached directly. Returns whether any was reached.
async fn check_path<W: Wire, S: Rows>(node: &Arc<Node<W, S>>) -> bool {
    let checks = sample_upstreams(node).into_iter().map(async |(upstream, address)| {
        Dialer { node, upstream: &upstream }.dial_directly_first(address).await.is_ok()
    });
    futures::future::join_all(checks).await.contains(&true)
}

/// Some upstreams with their addresses, of as many services as possible.
fn sample_upstreams<W: Wire, S: Rows>(
    node: &Node<W, S>,
) -> SmallVec<[(String, SocketAddr); CHECKED_UPSTREAMS]> {
    let listings = node.listings();
    let mut shuffled: Vec<_> = listings.iter().filter(|(_, listing)| !listing.leaving).collect();
    shuffled.shuffle(&mut rand::thread_rng());
    let mut services: SmallVec<[&str; CHECKED_UPSTREAMS]> = SmallVec::new();
    let (first, others): (Vec<_>, Vec<_>) = shuffled.into_iter().partition(|(_, listing)| {
        let is_first = !services.contains(&listing.service.as_str());
        if is_first {
            services.push(&listing.service);
        }
        is_first
    });
    let sample = first.into_iter().chain(others).take(CHECKED_UPSTREAMS);
    sample.map(|(name, listing)| (name.clone(), listing.address)).collect()
}

/// Checks the gateway's path to the upstreams when none answers any more, and until it is whole again.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    exec::spawn(watch_silence(node.clone())).detach();
    loop {
        exec::sleep(PROBE_INTERVAL).await;
        let status = node.reach.state().status();
        if status == Status::Direct {
            continue;
        }
        let Some((upstream, address)) = sample_upstreams(&node).into_iter().next() else { continue };
        let dialer = Dialer { node: &node, upstream: &upstream };
        let since = node.now();
        // The connection is closed at once.
        let connected = match status {
            Status::Isolated => dialer.dial_directly_first(address).await,
            Status::Direct | Status::Relayed => dialer.dial_directly(address).await,
        };
        let is_unanswered = connected.is_err_and(|error| error.kind() == ErrorKind::TimedOut);
        if is_unanswered && node.reach.state().status() == Status::Relayed {
            dialer.record(Attempt::Unanswered { since });
        }
    }
}

async fn watch_silence<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut monitor = SilenceMonitor::default();
    loop {
        exec::sleep(SILENCE_INTERVAL).await;
        let is_waiting = node.reach.is_direct() && node.placer().open_requests().next().is_some();
        let heard = node.reach.heard.load(Ordering::Relaxed);
        if monitor.is_check_due(is_waiting, heard, node.now()) {
            let node = node.clone();
            exec::spawn(async move { check_path(&node).await }).detach();
        }
    }
}
