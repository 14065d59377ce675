//! Datagrams between gateways, called hints. They announce dispatches, upstreams that leave or limit
//! requests, and requests that crash upstreams. Without them, prompts would queue behind those of other
//! gateways, and requests that crash upstreams would be dispatched to more of them.
//!
//! Datagrams can be lost. If a dispatch is not announced, other gateways make a worse choice of upstream, and
//! nothing else happens. Hints of leaving upstreams, limits and quarantined requests are sent several times,
//! and denials are also written to the store. A datagram that is malformed, repeated, out of order or from an
//! unknown sender is dropped and counted. Where streams began is heard from unknown senders too: a gateway serves
//! before all others list it.

use crate::node::Node;
use crate::origins::{HandedOver, Told};
use crate::ports::Wire;
use bincode::Options;
use route::notice::{self, Notice, NoticeLimiter, Recipients};
use route::placement::DispatchHint;
use route::quarantine::Fingerprint;
use route::{HintFilter, Millis};
use serde::{Deserialize, Serialize};
use smol::net::UdpSocket;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::rows::Rows;

/// The largest datagram, in bytes. It is not fragmented on any link.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The number of streams whose origins fit into a datagram.
const ORIGINS_PER_DATAGRAM: usize = 64;
/// The number of streams that are handed over in a datagram.
const HANDED_OVER_PER_DATAGRAM: usize = 32;
/// The first byte of each datagram. Gateways of other versions use other formats.
const VERSION: u8 = 2;
/// The number of datagrams that are sent before other tasks get a turn: about a fifth of a millisecond.
const SEND_BURST: usize = 16;
/// The delay after which binding the socket is tried again. An earlier process may still have it, and without
/// it this gateway would neither announce nor learn anything for as long as it runs.
const BIND_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The largest number of former peers that are remembered.
const MAX_FORMER_PEERS: usize = 4_096;
/// The delays before each transmission of a hint that is sent more than once.
pub(crate) const SEND_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(700)];

/// A message to other gateways.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum Hint {
    /// A dispatch.
    Dispatch { upstream: String, told: DispatchHint },
    /// The engines of a service that are reserved for short requests, from the gateway that decides on them.
    Division { service: String, short: Vec<String> },
    /// What is known about a request that crashes upstreams.
    Quarantine(Notice),
    /// An upstream announced in an answer that it is leaving. `started` is when it started, if it reports
    /// that.
    Leaving { upstream: String, started: Option<u64> },
    /// The request limit that an upstream names in its answers, in requests per second from all gateways
    /// together; `None` if it no longer names one. `started` is when the upstream started, if it reports
    /// that.
    Limit { upstream: String, started: Option<u64>, per_s: Option<f64> },
    /// The upstreams of a service are brittle: each falls over if it has to reject more than so many requests in a
    /// second.
    Brittle { service: String, tolerated_per_s: f64 },
    /// A brittle upstream rejected a request for want of room.
    Full { upstream: String },
    /// The software versions that began streams which the sender runs.
    Origins(Vec<Told>),
    /// What the sender, which stops, knows of streams.
    HandOver(Vec<HandedOver>),
}

impl Hint {
    /// The hint when it is sent some time later.
    fn aged(self, age: Duration) -> Hint {
        match self {
            Hint::Quarantine(notice) => Hint::Quarantine(notice.aged(age.as_millis() as Millis)),
            other => other,
        }
    }

    /// The name of the kind in metrics.
    fn kind(&self) -> &'static str {
        match self {
            Hint::Dispatch { .. } => "dispatch",
            Hint::Division { .. } => "division",
            Hint::Quarantine(_) => "quarantine",
            Hint::Leaving { .. } => "leaving",
            Hint::Limit { .. } => "limit",
            Hint::Brittle { .. } => "brittle",
            Hint::Full { .. } => "full",
            Hint::Origins(_) => "origins",
            Hint::HandOver(_) => "hand-over",
        }
    }
}

/// A hint with its sequence number.
#[derive(Debug, Deserialize, Serialize)]
struct NumberedHint {
    /// Increases with each hint of a sender, also across its restarts.
    number: u64,
    hint: Hint,
}

/// The reason why a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rejection {
    /// It is truncated, altered, or of another version.
    Malformed,
    /// Its sender is not among the gateways that are known to be alive, and it is not about streams.
    UnknownSender,
    /// It was received already, or after a later one.
    Stale,
}

impl Rejection {
    fn name(self) -> &'static str {
        match self {
            Rejection::Malformed => "unreadable",
            Rejection::UnknownSender => "stranger",
            Rejection::Stale => "old",
        }
    }
}

/// Sends hints, and keeps the state that is needed to accept those of other gateways.
#[derive(Debug)]
pub(crate) struct Hints {
    socket: Mutex<Option<Arc<UdpSocket>>>,
    peers: Mutex<Arc<Vec<SocketAddr>>>,
    /// Selects the dispatches to announce.
    filter: Mutex<HintFilter>,
    /// Limits which hints about quarantined requests go to all gateways.
    notice_limiter: Mutex<NoticeLimiter>,
    /// The number of the last hint that was sent.
    last_sent: Mutex<u64>,
    /// The number of the last hint that was accepted from each peer, and from each former one.
    last_received: Mutex<Received>,
}

/// The numbers of the last hints that were accepted, by sender.
#[derive(Debug, Default)]
struct Received {
    peers: HashMap<SocketAddr, u64>,
    /// Those of senders that are no longer listed: if one is listed again, its earlier datagrams stay stale.
    former: HashMap<SocketAddr, u64>,
}

impl Received {
    fn set_peers(&mut self, peers: &[SocketAddr]) {
        let Received { peers: known, former } = self;
        former.extend(known.drain());
        *known = peers.iter().map(|peer| (*peer, former.remove(peer).unwrap_or(0))).collect();
        if former.len() > MAX_FORMER_PEERS {
            former.clear();
        }
    }
}

impl Default for Hints {
    fn default() -> Hints {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64);
        Hints {
            socket: Mutex::default(),
            peers: Mutex::default(),
            filter: Mutex::default(),
            notice_limiter: Mutex::default(),
            last_sent: Mutex::new(started),
            last_received: Mutex::default(),
        }
    }
}

impl Hints {
    /// Sets the addresses of the other gateways.
    pub(crate) fn set_peers(&self, peers: Vec<SocketAddr>) {
        let mut last_received = self.last_received.lock().expect("the numbers lock is not poisoned");
        last_received.set_peers(&peers);
        drop(last_received);
        *self.peers.lock().expect("the peers lock is not poisoned") = Arc::new(peers);
    }

    /// Whether to announce a dispatch whose engine has to process this many prompt tokens.
    pub(crate) fn should_announce(&self, unread: u32, now: Millis) -> bool {
        let gateways = self.peers.lock().expect("the peers lock is not poisoned").len() as u64 + 1;
        self.filter.lock().expect("the filter lock is not poisoned").should_send(unread, gateways, now)
    }

    /// Announces the dispatch of a prompt to all gateways.
    pub(crate) fn announce_dispatch(&self, upstream: &str, hint: DispatchHint) {
        self.send(Hint::Dispatch { upstream: upstream.to_owned(), told: hint });
    }

    /// Announces to all gateways which engines of a service are reserved for short requests. Heartbeats tell
    /// them too, but only while the store can be reached.
    pub(crate) fn announce_division(&self, service: &str, short: &[String]) {
        self.send(Hint::Division { service: service.to_owned(), short: short.to_vec() });
    }

    /// Announces what is known about a request that crashes upstreams, to all gateways or a few of them.
    pub(crate) fn announce_quarantine(self: &Arc<Hints>, notice: Notice, now: Millis) {
        let gateways = self.peers.lock().expect("the peers lock is not poisoned").len() + 1;
        let recipients = self
            .notice_limiter
            .lock()
            .expect("the limiter lock is not poisoned")
            .recipients(&notice, gateways, now);
        self.send_repeatedly(Hint::Quarantine(notice), recipients);
    }

    /// Announces to all gateways that an upstream is leaving.
    pub(crate) fn announce_leaving(self: &Arc<Hints>, upstream: &str, started: Option<u64>) {
        self.send_repeatedly(Hint::Leaving { upstream: upstream.to_owned(), started }, Recipients::All);
    }

    /// Announces an upstream's request limit, or that it has ended, to all gateways. The hint is sent once.
    pub(crate) fn announce_limit(&self, upstream: &str, started: Option<u64>, per_s: Option<f64>) {
        self.send(Hint::Limit { upstream: upstream.to_owned(), started, per_s });
    }

    /// Announces to all gateways that the upstreams of a service are brittle. The hint is sent once, and again while
    /// they are.
    pub(crate) fn announce_brittle(&self, service: &str, tolerated_per_s: f64) {
        self.send(Hint::Brittle { service: service.to_owned(), tolerated_per_s });
    }

    /// Announces to some gateways that a brittle upstream rejected a request.
    pub(crate) fn announce_full(&self, upstream: &str, gateways: Vec<SocketAddr>) {
        self.send_to(Hint::Full { upstream: upstream.to_owned() }, Arc::new(gateways));
    }

    /// Tells another gateway which software versions began streams.
    pub(crate) fn announce_origins(&self, gateway: SocketAddr, told: &[Told]) {
        for part in told.chunks(ORIGINS_PER_DATAGRAM) {
            self.send_to(Hint::Origins(part.to_vec()), Arc::new(vec![gateway]));
        }
    }

    /// Tells another gateway what this one knows of streams, because it stops.
    pub(crate) fn hand_over_origins(&self, gateway: SocketAddr, known: &[HandedOver]) {
        for part in known.chunks(HANDED_OVER_PER_DATAGRAM) {
            self.send_to(Hint::HandOver(part.to_vec()), Arc::new(vec![gateway]));
        }
    }

    /// The addresses of the other gateways.
    pub(crate) fn peers(&self) -> Arc<Vec<SocketAddr>> {
        self.peers.lock().expect("the peers lock is not poisoned").clone()
    }

    /// Sends a hint after each of [`SEND_DELAYS`], since datagrams can be lost.
    fn send_repeatedly(self: &Arc<Hints>, hint: Hint, recipients: Recipients) {
        let hints = self.clone();
        net::exec::spawn(async move {
            let mut age = Duration::ZERO;
            for delay in SEND_DELAYS {
                net::exec::sleep(delay).await;
                age += delay;
                hints.send_to(hint.clone().aged(age), hints.recipients(&recipients));
            }
        })
        .detach();
    }

    /// The addresses of the recipients.
    fn recipients(&self, recipients: &Recipients) -> Arc<Vec<SocketAddr>> {
        let peers = self.peers();
        let coordinators = |fingerprint: Fingerprint| {
            notice::coordinators(fingerprint, peers.iter().map(|peer| (*peer, peer.to_string())))
        };
        match recipients {
            Recipients::Nobody => Arc::default(),
            Recipients::All => peers,
            Recipients::Coordinators(fingerprint) => Arc::new(coordinators(*fingerprint)),
            Recipients::PartCoordinators(parts) => {
                let fingerprints = parts.iter().map(|part| notice::part_fingerprint(*part));
                let mut coordinators: Vec<SocketAddr> = fingerprints.flat_map(coordinators).collect();
                coordinators.sort_unstable();
                coordinators.dedup();
                Arc::new(coordinators)
            }
        }
    }

    /// Sends a hint to all gateways.
    fn send(&self, hint: Hint) {
        self.send_to(hint, self.recipients(&Recipients::All));
    }

    /// Sends a hint in the background, so that no request waits for it.
    fn send_to(&self, hint: Hint, peers: Arc<Vec<SocketAddr>>) {
        let Some(socket) = self.socket.lock().expect("the socket lock is not poisoned").clone() else {
            return;
        };
        if peers.is_empty() {
            return;
        }
        let bytes = encode(&NumberedHint { number: self.next_number(), hint });
        if bytes.len() > MAX_DATAGRAM_BYTES {
            log::debug!("hints: event=too-large bytes={}", bytes.len());
            return;
        }
        net::exec::spawn(async move {
            for (index, peer) in peers.iter().enumerate() {
                if let Err(error) = socket.send_to(&bytes, peer).await {
                    log::debug!("hints: event=not-sent peer={peer} error=\"{error}\"");
                }
                if index % SEND_BURST == SEND_BURST - 1 {
                    smol::future::yield_now().await;
                }
            }
        })
        .detach();
    }

    /// The number of the next hint.
    fn next_number(&self) -> u64 {
        let mut last_sent = self.last_sent.lock().expect("the number lock is not poisoned");
        *last_sent += 1;
        *last_sent
    }

    /// Decodes a datagram, unless it has to be dropped.
    fn accept(&self, bytes: &[u8], from: SocketAddr) -> Result<Hint, Rejection> {
        let mut last_received = self.last_received.lock().expect("the numbers lock is not poisoned");
        let NumberedHint { number, hint } = decode(bytes)?;
        // Each tells of streams of its own, so an earlier one is as good as a later one.
        let is_ordered = !matches!(hint, Hint::Origins(_) | Hint::HandOver(_));
        match last_received.peers.get_mut(&from) {
            None if is_ordered => Err(Rejection::UnknownSender),
            Some(last) if is_ordered && number <= *last => Err(Rejection::Stale),
            Some(last) => {
                *last = number.max(*last);
                Ok(hint)
            }
            None => Ok(hint),
        }
    }
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM_BYTES as u64)
}

fn encode(hint: &NumberedHint) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    let encoded = bincode::DefaultOptions::new().serialize(hint).expect("hints serialize to bincode");
    bytes.extend(encoded);
    bytes
}

fn decode(bytes: &[u8]) -> Result<NumberedHint, Rejection> {
    let [VERSION, rest @ ..] = bytes else { return Err(Rejection::Malformed) };
    let numbered: NumberedHint = options().deserialize(rest).map_err(|_| Rejection::Malformed)?;
    match &numbered.hint {
        Hint::Dispatch { told: hint, .. } if !hint.is_plausible() => Err(Rejection::Malformed),
        Hint::Quarantine(notice) if !notice.is_valid() => Err(Rejection::Malformed),
        Hint::Brittle { tolerated_per_s, .. }
            if !(tolerated_per_s.is_finite() && *tolerated_per_s >= 0.0) =>
        {
            Err(Rejection::Malformed)
        }
        Hint::Limit { per_s: Some(per_s), .. } if !(per_s.is_finite() && *per_s >= 0.0) => {
            Err(Rejection::Malformed)
        }
        _ => Ok(numbered),
    }
}

/// Receives the hints of other gateways.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let address = node.settings.listen.peers;
    let socket = Arc::new(bind(address).await);
    *node.hints.socket.lock().expect("the socket lock is not poisoned") = Some(socket.clone());
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match node.hints.accept(&buffer[..length], from) {
                Ok(hint) => {
                    let kind = hint.kind();
                    apply(&node, hint, from);
                    node.metrics.hints_accepted.with_label_values(&[kind]).inc();
                }
                Err(rejection) => {
                    log::debug!("hints: event=dropped reason={} from={from}", rejection.name());
                    node.metrics.hints_dropped.with_label_values(&[rejection.name()]).inc();
                }
            },
            Err(error) => {
                log::warn!("hints: event=not-received error=\"{error}\"");
                net::exec::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Binds a socket, as soon as its address is free.
async fn bind(address: SocketAddr) -> UdpSocket {
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return socket,
            Err(error) => log::error!("hints: event=not-bound address={address} error=\"{error}\""),
        }
        net::exec::sleep(BIND_RETRY_DELAY).await;
    }
}

fn apply<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, hint: Hint, from: SocketAddr) {
    match hint {
        Hint::Dispatch { upstream, told } => {
            node.placer().record_dispatch_hint(&upstream, &told, node.now());
        }
        Hint::Division { service, short } => node.apply_division(&service, &short),
        Hint::Quarantine(notice) => crate::rulings::apply_notice(node, &notice),
        Hint::Leaving { upstream, started } => apply_leaving(node, &upstream, started),
        Hint::Limit { upstream, started, per_s } => {
            crate::limits::apply_hint(node, &upstream, started, per_s);
        }
        Hint::Origins(told) => node.origins.apply(&told, from, node.now()),
        Hint::HandOver(known) => node.origins.apply_hand_over(&known, node.now()),
        Hint::Full { upstream } => node.placer().record_rejection_hint(&upstream, node.now()),
        Hint::Brittle { service, tolerated_per_s } => {
            crate::brittle::apply_hint(node, &service, tolerated_per_s)
        }
    }
}

/// Records that an upstream is leaving, unless the hint refers to another start than the listed one.
fn apply_leaving<W: Wire, S: Rows>(node: &Node<W, S>, upstream: &str, started: Option<u64>) {
    let is_listed = node.listings().get(upstream).is_some_and(|listing| listing.started == started);
    if is_listed && node.placer().mark_leaving(upstream, node.now()) {
        log::info!("upstream: event=leaves upstream={upstream} told-by=gateway");
    }
}

#[cfg(test)]
#[path = "../tests/unit/hints.rs"]
mod tests;
