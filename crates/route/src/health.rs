//! Whether an upstream is fit for work, from what this router saw of it.

use crate::Millis;

/// Failures in a row after which an upstream is ejected.
const FAILURES: u32 = 3;
/// The first ejection's length; it doubles with each further one.
const EJECTION: Millis = 1_000;
/// The longest ejection.
const EJECTION_MOST: Millis = 30_000;
/// The time after which one failure is forgotten.
const FORGET: Millis = 1_000;
/// Successes after which an upstream that returned is trusted with its whole limit.
const PROBATION: u32 = 8;
/// The weight of a new sample in the average gap between tokens.
const SAMPLE: f64 = 0.05;

/// An upstream's standing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Fit.
    Fit,
    /// Back from an ejection: at most so many runs at once.
    Probation(u32),
    /// Ejected.
    Ejected,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    failed: Millis,
    ejections: u32,
    until: Millis,
    proven: u32,
    on_probation: bool,
    gap: f64,
}

impl Health {
    pub(crate) fn standing(&self, now: Millis) -> Standing {
        if now < self.until {
            Standing::Ejected
        } else if self.on_probation {
            Standing::Probation(1 + self.proven)
        } else {
            Standing::Fit
        }
    }

    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
        if self.on_probation {
            self.proven += 1;
            if self.proven >= PROBATION {
                *self = Health { gap: self.gap, ..Health::default() };
            }
        }
    }

    /// Notes a failure; `true` if it should be ejected now.
    pub(crate) fn fail(&mut self, now: Millis) -> bool {
        self.failures += 1;
        self.failed = now;
        self.failures >= FAILURES || self.on_probation
    }

    /// Failures in a row that are still held against it: each is forgotten after a while, so that an
    /// upstream which can't be ejected is tried again.
    pub(crate) fn recent_failures(&self, now: Millis) -> u32 {
        let forgotten = now.saturating_sub(self.failed) / FORGET;
        self.failures.saturating_sub(forgotten as u32)
    }

    /// Ejects it until the time that is returned; `spared` ones come back after the shortest time.
    pub(crate) fn eject(&mut self, now: Millis, spared: bool) -> Millis {
        let doublings = if spared { 0 } else { self.ejections.min(10) };
        self.until = now + (EJECTION << doublings).min(EJECTION_MOST);
        self.ejections += 1;
        self.failures = 0;
        self.proven = 0;
        self.on_probation = true;
        self.until
    }

    /// Notes the average gap between a run's tokens.
    pub(crate) fn pace(&mut self, gap: f64) {
        self.gap = if self.gap == 0.0 { gap } else { self.gap + SAMPLE * (gap - self.gap) };
    }

    /// The average gap between tokens in milliseconds; 0 if none was seen.
    pub(crate) fn gap(&self) -> f64 {
        self.gap
    }
}
