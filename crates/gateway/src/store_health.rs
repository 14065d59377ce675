//! Whether this gateway reaches the store itself, as far as it knows, and which other gateways may help.

use rand::Rng;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Calls in a row that the store refused before it counts as away: it also refuses when it is overrun, and then another
/// gateway's call would be one more.
pub(crate) const MAX_REFUSALS: u32 = 4;
/// A call without an answer counts as lost after this multiple of the usual time, in a range that holds a store which is
/// loaded and one that is slow, in milliseconds.
const TIMEOUT_FACTOR: f64 = 20.0;
const TIMEOUT_RANGE_MS: (f64, f64) = (250.0, 1_200.0);
/// The weight of a new sample in the usual time of a call.
const SAMPLE_WEIGHT: f64 = 0.1;
/// How long a gateway that could not help is not asked again.
pub(crate) const HELPER_BACKOFF: Duration = Duration::from_millis(500);
/// Gateways asked for one call at most.
const MAX_HELPERS: usize = 2;
/// After so many gateways in a row that could not help, none is asked for a while: all have lost the store then. A third of
/// them away, that is taken for all once in 700 times.
pub(crate) const MAX_FAILED_HELPERS: u32 = 6;
const ALL_HELPERS_BACKOFF: Duration = Duration::from_millis(1_000);

/// Whether the direct way works, as far as this gateway knows.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    unreachable_since: Option<Instant>,
    refusals: u32,
    /// The usual time of a call, in milliseconds.
    average_ms: f64,
    /// Other gateways, with the time until which each is left alone.
    pub(crate) peers: Vec<(SocketAddr, Instant)>,
    /// Gateways in a row that could not help.
    failed_helpers: u32,
    /// No gateway is asked until then.
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
    /// Whether calls go by way of other gateways, if there are any.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// How long a direct call is waited for.
    pub(crate) fn call_timeout(&self) -> Duration {
        Duration::from_millis(
            (TIMEOUT_FACTOR * self.average_ms).clamp(TIMEOUT_RANGE_MS.0, TIMEOUT_RANGE_MS.1) as u64,
        )
    }

    /// Takes in a direct answer; how long the store was away if it was.
    pub(crate) fn record_answer(&mut self, ms: Option<f64>) -> Option<Duration> {
        if let Some(ms) = ms {
            self.average_ms += SAMPLE_WEIGHT * (ms - self.average_ms);
        }
        self.refusals = 0;
        self.unreachable_since.take().map(|since| since.elapsed())
    }

    /// Takes in that a direct call had no answer; `true` if the store is away from now on.
    pub(crate) fn record_no_answer(&mut self) -> bool {
        // It may be slow: the next call waits longer.
        self.average_ms = (2.0 * self.average_ms).min(TIMEOUT_RANGE_MS.1 / TIMEOUT_FACTOR);
        self.mark_unreachable()
    }

    /// Takes in that the store refused a direct call; `true` if it is away from now on.
    pub(crate) fn record_refusal(&mut self) -> bool {
        self.refusals += 1;
        self.refusals >= MAX_REFUSALS && self.mark_unreachable()
    }

    fn mark_unreachable(&mut self) -> bool {
        let was_reachable = self.unreachable_since.is_none();
        self.unreachable_since.get_or_insert_with(Instant::now);
        was_reachable
    }

    /// Takes in where the other gateways listen. Each gateway asks them in an order of its own, so that those of a fleet
    /// which lost the store together do not all ask the same one.
    pub(crate) fn set_peers(&mut self, peers: &[SocketAddr]) {
        let alive: HashSet<&SocketAddr> = peers.iter().collect();
        self.peers.retain(|(peer, _)| alive.contains(peer));
        let known: HashSet<SocketAddr> = self.peers.iter().map(|(peer, _)| *peer).collect();
        for peer in peers.iter().filter(|peer| !known.contains(*peer)) {
            let place = rand::thread_rng().gen_range(0..=self.peers.len());
            self.peers.insert(place, (*peer, Instant::now()));
        }
    }

    /// The gateways to ask: not those that could not help a moment ago.
    pub(crate) fn helpers(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        if self.paused_until.is_some_and(|until| until > now) {
            return vec![];
        }
        let rested = self.peers.iter().filter(|(_, until)| *until <= now);
        rested.map(|(peer, _)| *peer).take(MAX_HELPERS).collect()
    }

    /// Takes in that a gateway helped.
    pub(crate) fn record_helped(&mut self) {
        self.failed_helpers = 0;
    }

    /// Leaves a gateway alone for a while, and asks the others before it.
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
