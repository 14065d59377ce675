//! Limits on requests to upstreams that warm up.
//!
//! An upstream that has just started, or lost its caches, fails under the load that a warm one sustains, and
//! it looks idle to all gateways at once. So the rate of requests from all gateways together is limited;
//! [`crate::roster`] determines the part of each gateway.

use crate::Millis;
use crate::roster::{Roster, SPAN_MS};
use smallvec::SmallVec;

/// The longest warm-up that is accepted, in milliseconds: an upstream that reports a day by mistake is tried
/// again sooner.
const MAX_DURATION_MS: Millis = 60_000;
/// The lowest limit of an upstream that warms up, in requests per second, even if it is configured to take
/// none.
const MIN_PER_S: f64 = 1.0;

/// The limit for the upstreams of a service while they warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Requests per second, from all gateways together.
    pub per_s: f64,
    /// How long a warm-up takes after a start, in milliseconds.
    pub duration_ms: Millis,
}

impl Warmup {
    /// The limit in whole requests per second.
    fn requests(self) -> usize {
        self.per_s.max(MIN_PER_S) as usize
    }
}

/// Whether an upstream is warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WarmupState {
    Warm,
    /// It may have restarted, which is not confirmed yet.
    Uncertain,
    WarmingUp,
}

/// The warm-up of one upstream, and this gateway's recent dispatches to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmupTracker {
    warming_until: Millis,
    uncertain_until: Millis,
    /// This gateway's dispatches within the last span, including those before the warm-up became known.
    sent: SmallVec<[Millis; 4]>,
}

impl WarmupTracker {
    /// Records that the upstream warms up for `ms` milliseconds from now on.
    pub(crate) fn start(&mut self, ms: Millis, now: Millis) {
        self.warming_until = self.warming_until.max(now + ms.min(MAX_DURATION_MS));
    }

    /// Records that the upstream may be warming up for `ms` milliseconds from now on.
    pub(crate) fn mark_uncertain(&mut self, ms: Millis, now: Millis) {
        self.uncertain_until = self.uncertain_until.max(now + ms.min(MAX_DURATION_MS));
    }

    /// Records a dispatch.
    pub(crate) fn send(&mut self, now: Millis) {
        self.sent.retain(|at| now.saturating_sub(*at) < SPAN_MS);
        self.sent.push(now);
    }

    /// The times of this gateway's dispatches within the last span.
    pub(crate) fn sent(&self, now: Millis) -> SmallVec<[Millis; 4]> {
        self.sent.iter().copied().filter(|at| now.saturating_sub(*at) < SPAN_MS).collect()
    }

    pub(crate) fn state(&self, now: Millis) -> WarmupState {
        if now < self.warming_until {
            WarmupState::WarmingUp
        } else if now < self.uncertain_until {
            WarmupState::Uncertain
        } else {
            WarmupState::Warm
        }
    }

    /// Whether this gateway may dispatch another request now if the upstream is warming up. Always true for a
    /// service without a limit.
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
