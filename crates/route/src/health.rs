//! The health of an upstream, as observed by this router.

use crate::Millis;

/// The number of failures in a row after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// The length of the first ejection, in milliseconds. It doubles with each further one.
const EJECTION_MS: Millis = 1_000;
/// The longest ejection, in milliseconds.
const MAX_EJECTION_MS: Millis = 30_000;
/// The time after which one failure expires, in milliseconds.
const FAILURE_EXPIRY_MS: Millis = 1_000;
/// The number of successes after which an upstream on probation may use its whole limit again.
const PROBATION_SUCCESSES: u32 = 8;
/// The weight of a new sample in the average gap between tokens.
const GAP_WEIGHT: f64 = 0.05;

/// The health status of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthStatus {
    /// It may use its whole limit.
    Healthy,
    /// It has returned from an ejection and may have at most this many runs at once.
    Probation(u32),
    /// It gets no work.
    Ejected,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    last_failure: Millis,
    ejections: u32,
    ejected_until: Millis,
    probation_successes: u32,
    on_probation: bool,
    gap_ms: f64,
}

impl Health {
    pub(crate) fn status(&self, now: Millis) -> HealthStatus {
        if now < self.ejected_until {
            HealthStatus::Ejected
        } else if self.on_probation {
            HealthStatus::Probation(1 + self.probation_successes)
        } else {
            HealthStatus::Healthy
        }
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        if self.on_probation {
            self.probation_successes += 1;
            if self.probation_successes >= PROBATION_SUCCESSES {
                self.forget_failures();
            }
        }
    }

    /// Discards all failures and ejections.
    pub(crate) fn forget_failures(&mut self) {
        *self = Health { gap_ms: self.gap_ms, ..Health::default() };
    }

    /// Records a failure. Returns whether the upstream should be ejected now.
    pub(crate) fn record_failure(&mut self, now: Millis) -> bool {
        self.failures += 1;
        self.last_failure = now;
        self.failures >= EJECTION_FAILURES || self.on_probation
    }

    /// The number of failures in a row that have not expired. They expire one by one, so that an upstream
    /// which can't be ejected is tried again.
    pub(crate) fn recent_failures(&self, now: Millis) -> u32 {
        let expired = now.saturating_sub(self.last_failure) / FAILURE_EXPIRY_MS;
        self.failures.saturating_sub(expired as u32)
    }

    /// Ejects the upstream and returns the time at which the ejection ends. If `is_shortened` is set, the
    /// ejection has the shortest length.
    pub(crate) fn eject(&mut self, now: Millis, is_shortened: bool) -> Millis {
        let doublings = if is_shortened { 0 } else { self.ejections.min(10) };
        self.ejected_until = now + (EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.failures = 0;
        self.probation_successes = 0;
        self.on_probation = true;
        self.ejected_until
    }

    /// Records the average gap between the tokens of a run.
    pub(crate) fn record_gap(&mut self, gap_ms: f64) {
        self.gap_ms =
            if self.gap_ms == 0.0 { gap_ms } else { self.gap_ms + GAP_WEIGHT * (gap_ms - self.gap_ms) };
    }

    /// The average gap between tokens, in milliseconds; 0 if none was observed.
    pub(crate) fn token_gap_ms(&self) -> f64 {
        self.gap_ms
    }
}
