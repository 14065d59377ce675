//! Whether this gateway can reach the store directly, and which other gateways may make calls for it.

use rand::Rng;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The number of consecutive calls that the store may refuse before it counts as unreachable. An overloaded
/// store refuses calls too, and a call through another gateway would only add to its load.
pub(crate) const MAX_REFUSALS: u32 = 4;
/// A call counts as unanswered after this multiple of the average call time, clamped to this range in
/// milliseconds. The range covers a store under load as well as a slow one.
const TIMEOUT_FACTOR: f64 = 20.0;
const TIMEOUT_RANGE_MS: (f64, f64) = (250.0, 1_200.0);
/// The weight of a new sample in the average call time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// How long a gateway that could not help is not asked again.
pub(crate) const HELPER_BACKOFF: Duration = Duration::from_millis(500);
/// The most gateways that are asked to make one call.
const MAX_HELPERS: usize = 2;
/// After this many consecutive gateways that could not help, none is asked for a while, since probably all of
/// them have lost the store. If a third of them have, this conclusion is wrong once in 700 times.
pub(crate) const MAX_FAILED_HELPERS: u32 = 6;
const ALL_HELPERS_BACKOFF: Duration = Duration::from_millis(1_000);

/// Whether the store can be reached directly, as far as this gateway knows.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    unreachable_since: Option<Instant>,
    refusals: u32,
    /// The average time of a call, in milliseconds.
    average_ms: f64,
    /// The other gateways, each with the time until which it is not asked.
    pub(crate) peers: Vec<(SocketAddr, Instant)>,
    /// The number of consecutive gateways that could not help.
    failed_helpers: u32,
    /// Until then no gateway is asked.
    pub(crate) paused_until: Option<Instant>,
}

impl Default for StoreHealth {
    fn default() -> StoreHealth {
        StoreHealth {
            unreachable_since: None,
            refusals: 0,
            average_ms: TIMEOUT_RANGE_MS.0 / TIMEOUT_FACTOR,
            peers: vec![],
            failed_helpers: 0,
            paused_until: None,
        }
    }
}

impl StoreHealth {
    /// Whether calls are made through other gateways, if there are any.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// How long a direct call may take.
    pub(crate) fn call_timeout(&self) -> Duration {
        Duration::from_millis(
            (TIMEOUT_FACTOR * self.average_ms).clamp(TIMEOUT_RANGE_MS.0, TIMEOUT_RANGE_MS.1) as u64,
        )
    }

    /// Records an answer to a direct call. Returns how long the store was unreachable, if it was.
    pub(crate) fn record_answer(&mut self, ms: Option<f64>) -> Option<Duration> {
        if let Some(ms) = ms {
            self.average_ms += SAMPLE_WEIGHT * (ms - self.average_ms);
        }
        self.refusals = 0;
        self.unreachable_since.take().map(|since| since.elapsed())
    }

    /// Records that a direct call got no answer; `true` if the store counts as unreachable from now on.
    pub(crate) fn record_no_answer(&mut self) -> bool {
        // The store may be slow, so the next call gets more time.
        self.average_ms = (2.0 * self.average_ms).min(TIMEOUT_RANGE_MS.1 / TIMEOUT_FACTOR);
        self.mark_unreachable()
    }

    /// Records that the store refused a direct call; `true` if it counts as unreachable from now on.
    pub(crate) fn record_refusal(&mut self) -> bool {
        self.refusals += 1;
        self.refusals >= MAX_REFUSALS && self.mark_unreachable()
    }

    fn mark_unreachable(&mut self) -> bool {
        let was_reachable = self.unreachable_since.is_none();
        self.unreachable_since.get_or_insert_with(Instant::now);
        was_reachable
    }

    /// Sets the addresses of the other gateways. Each gateway asks them in a random order of its own, so that
    /// gateways which lost the store together do not all ask the same one.
    pub(crate) fn set_peers(&mut self, peers: &[SocketAddr]) {
        let alive: HashSet<&SocketAddr> = peers.iter().collect();
        self.peers.retain(|(peer, _)| alive.contains(peer));
        let known: HashSet<SocketAddr> = self.peers.iter().map(|(peer, _)| *peer).collect();
        for peer in peers.iter().filter(|peer| !known.contains(*peer)) {
            let index = rand::thread_rng().gen_range(0..=self.peers.len());
            self.peers.insert(index, (*peer, Instant::now()));
        }
    }

    /// The gateways to ask for help, without those that could not help recently.
    pub(crate) fn helpers(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        if self.paused_until.is_some_and(|until| until > now) {
            return vec![];
        }
        let available = self.peers.iter().filter(|(_, until)| *until <= now);
        available.map(|(peer, _)| *peer).take(MAX_HELPERS).collect()
    }

    /// Records that a gateway helped.
    pub(crate) fn record_helped(&mut self) {
        self.failed_helpers = 0;
    }

    /// Records that a gateway could not help: it is not asked for a while, and moves to the end of the list.
    pub(crate) fn back_off(&mut self, peer: SocketAddr) {
        self.failed_helpers += 1;
        if self.failed_helpers >= MAX_FAILED_HELPERS {
            self.failed_helpers = 0;
            self.paused_until = Some(Instant::now() + ALL_HELPERS_BACKOFF);
        }
        let Some(index) = self.peers.iter().position(|(other, _)| *other == peer) else { return };
        self.peers.remove(index);
        self.peers.push((peer, Instant::now() + HELPER_BACKOFF));
    }
}
