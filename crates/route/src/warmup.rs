//! How many requests an upstream that warms up gets from each gateway.
//!
//! An upstream that has just started, or lost its caches, falls over under the load that a warm one bears, and it looks idle to all
//! gateways at once. What it bears is a rate, summed over all gateways; [`crate::roster`] determines the part of each.

use crate::Millis;
use crate::roster::{Roster, SPAN_MS};
use smallvec::SmallVec;

/// The longest warm-up that is believed, in milliseconds: one that says a day, by mistake, is asked again sooner.
const MAX_DURATION_MS: Millis = 60_000;
/// The rate of an upstream that warms up and is said to bear nothing, in requests a second.
const MIN_PER_S: f64 = 1.0;

/// What the upstreams of a service bear while they warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Requests in a second, from all gateways together.
    pub per_s: f64,
    /// How long it takes after a start, in milliseconds.
    pub duration_ms: Millis,
}

impl Warmup {
    /// Whole requests in a second.
    fn requests(self) -> usize {
        self.per_s.max(MIN_PER_S) as usize
    }
}

/// Whether an upstream is warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WarmupState {
    Warm,
    /// It may have started again, and nothing says so yet.
    Uncertain,
    WarmingUp,
}

/// How one upstream warms up.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmupTracker {
    warming_until: Millis,
    uncertain_until: Millis,
    /// Dispatches of this gateway within the last span: those before it was known to warm up count too.
    sent: SmallVec<[Millis; 4]>,
}

impl WarmupTracker {
    /// Takes in that it warms up for so many milliseconds from now on.
    pub(crate) fn start(&mut self, ms: Millis, now: Millis) {
        self.warming_until = self.warming_until.max(now + ms.min(MAX_DURATION_MS));
    }

    /// Takes in that it may warm up for so many milliseconds from now on.
    pub(crate) fn mark_uncertain(&mut self, ms: Millis, now: Millis) {
        self.uncertain_until = self.uncertain_until.max(now + ms.min(MAX_DURATION_MS));
    }

    /// Notes a dispatch.
    pub(crate) fn send(&mut self, now: Millis) {
        self.sent.retain(|at| now.saturating_sub(*at) < SPAN_MS);
        self.sent.push(now);
    }

    /// The times of this gateway's dispatches within the last span.
    pub(crate) fn sent(&self, now: Millis) -> SmallVec<[Millis; 4]> {
        self.sent.iter().copied().filter(|at| now.saturating_sub(*at) < SPAN_MS).collect()
    }

    /// Whether it is warm.
    pub(crate) fn state(&self, now: Millis) -> WarmupState {
        if now < self.warming_until {
            WarmupState::WarmingUp
        } else if now < self.uncertain_until {
            WarmupState::Uncertain
        } else {
            WarmupState::Warm
        }
    }

    /// Whether this gateway may dispatch to it now, while it warms up.
    pub(crate) fn admits(
        &self,
        upstream: &str,
        warmup: Option<Warmup>,
        roster: &Roster,
        now: Millis,
    ) -> bool {
        let Some(warmup) = warmup else { return true };
        self.sent(now).len() < roster.part(upstream, warmup.requests(), now)
    }
}
