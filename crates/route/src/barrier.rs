//! When a read of the store shows all that had happened by a certain moment.
//!
//! A list that is followed shows the past: what it lacks may have happened since. The store's answers are linearizable, so
//! a read that begins after a moment shows all that had happened by then. Those who wait share reads, and there is a
//! pause between two reads.

use crate::Millis;

/// A moment: the number of reads that had begun by then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Moment(u64);

/// What to do until a read has shown what had happened by a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// A read has shown it.
    Pass,
    /// A read that began after the moment has failed.
    Fail,
    /// Begin a read, and end it with this number.
    Read(u64),
    /// Wait until the read that is under way ends.
    Wait,
    /// Wait for this long, in milliseconds: the next read may not begin earlier.
    Pause(Millis),
}

/// The reads that have begun and ended.
#[derive(Clone, Debug, Default)]
pub struct Barrier {
    begun: u64,
    succeeded: u64,
    failed: u64,
    is_reading: bool,
    /// When the next read may begin.
    earliest: Millis,
}

impl Barrier {
    /// The present moment.
    pub fn moment(&self) -> Moment {
        Moment(self.begun)
    }

    /// Decides what somebody does next who has to know what had happened by `moment`.
    pub fn next(&mut self, moment: Moment, now: Millis) -> Step {
        match self {
            _ if self.succeeded > moment.0 => Step::Pass,
            _ if self.failed > moment.0 => Step::Fail,
            _ if self.is_reading => Step::Wait,
            _ if now < self.earliest => Step::Pause(self.earliest - now),
            _ => {
                self.begun += 1;
                self.is_reading = true;
                Step::Read(self.begun)
            }
        }
    }

    /// Records that a read has ended. The next one may begin after `pause_ms`.
    pub fn end(&mut self, read: u64, has_succeeded: bool, pause_ms: Millis, now: Millis) {
        self.is_reading = false;
        self.earliest = now.saturating_add(pause_ms);
        let last = if has_succeeded { &mut self.succeeded } else { &mut self.failed };
        *last = read.max(*last);
    }
}
