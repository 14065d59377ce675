//! Whether an upstream is fit for work, from what this router saw of it.

use crate::Millis;

/// Failures in a row after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// The first ejection's length; it doubles with each further one.
const EJECTION_MS: Millis = 1_000;
/// The longest ejection.
const MAX_EJECTION_MS: Millis = 30_000;
/// The time after which one failure is forgotten.
const FAILURE_EXPIRY_MS: Millis = 1_000;
/// Successes after which an upstream that returned is trusted with its whole limit.
const PROBATION_SUCCESSES: u32 = 8;
/// The weight of a new sample in the average gap between tokens.
const GAP_WEIGHT: f64 = 0.05;

/// An upstream's standing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthStatus {
    /// Healthy.
    Healthy,
    /// Back from an ejection: at most so many runs at once.
    Probation(u32),
    /// Ejected.
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
                *self = Health { gap_ms: self.gap_ms, ..Health::default() };
            }
        }
    }

    /// Notes a failure; `true` if it should be ejected now.
    pub(crate) fn record_failure(&mut self, now: Millis) -> bool {
        self.failures += 1;
        self.last_failure = now;
        self.failures >= EJECTION_FAILURES || self.on_probation
    }

    /// Failures in a row that are still held against it: each is forgotten after a while, so that an
    /// upstream which can't be ejected is tried again.
    pub(crate) fn recent_failures(&self, now: Millis) -> u32 {
        let expired = now.saturating_sub(self.last_failure) / FAILURE_EXPIRY_MS;
        self.failures.saturating_sub(expired as u32)
    }

    /// Ejects it until the time that is returned; `spared` ones come back after the shortest time.
    pub(crate) fn eject(&mut self, now: Millis, is_shortened: bool) -> Millis {
        let doublings = if is_shortened { 0 } else { self.ejections.min(10) };
        self.ejected_until = now + (EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.failures = 0;
        self.probation_successes = 0;
        self.on_probation = true;
        self.ejected_until
    }

    /// Notes the average gap between a run's tokens.
    pub(crate) fn record_gap(&mut self, gap_ms: f64) {
        self.gap_ms =
            if self.gap_ms == 0.0 { gap_ms } else { self.gap_ms + GAP_WEIGHT * (gap_ms - self.gap_ms) };
    }

    /// The average gap between tokens in milliseconds; 0 if none was seen.
    pub(crate) fn token_gap_ms(&self) -> f64 {
        self.gap_ms
    }
}
