//! How many short streams are late because prompts are read beside them.
//!
//! The load that this answers: while an engine reads a long prompt, all streams that it runs stand still. Whether that
//! makes them late depends on the engine's speed and on how long a pause callers bear, so it is counted and not assumed:
//! long pauses, put down to an engine of the usual speed, and the streams that could have met them.

use crate::Millis;
use std::collections::VecDeque;

/// The time over which pauses and streams are counted, in milliseconds: some times the length of a stream.
const AVERAGE_MS: f64 = 10_000.0;
/// Pauses remembered. Those beyond say what these say.
const PAUSES: usize = 512;
/// Streams that have to have begun before their share that is late is believed.
const ENOUGH: f64 = 40.0;
/// Pauses that are so many times the intended longest one come from elsewhere: an engine that fails, a cut, a slow VM.
const ELSEWHERE: f64 = 2.0;

/// A pause at an engine of the usual speed.
#[derive(Clone, Copy, Debug)]
struct Met {
    at: Millis,
    ms: f64,
}

/// Pauses of streams on engines that also read long prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Harm {
    met: VecDeque<Met>,
    streams: f64,
    last: Millis,
}

impl Harm {
    /// Takes in that so many short streams begin.
    pub(crate) fn begin(&mut self, streams: u32, now: Millis) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.last, now));
        self.streams = self.streams * left(elapsed) + f64::from(streams);
    }

    /// Takes in a pause, put down to an engine of the usual speed, of a stream that should not pause longer than
    /// `gap_ms`.
    pub(crate) fn pause(&mut self, ms: f64, gap_ms: f64, now: Millis) {
        if ms > ELSEWHERE * gap_ms {
            return;
        }
        if self.met.len() == PAUSES {
            self.met.pop_front();
        }
        self.met.push_back(Met { at: now, ms });
    }

    /// The share of streams that pause longer than `gap_ms` on an engine so many times slower than usual; `None` if too
    /// few were seen.
    pub(crate) fn share(&self, slowness: f64, gap_ms: f64, now: Millis) -> Option<f64> {
        let streams = self.streams * left(now.saturating_sub(self.last));
        if streams < ENOUGH {
            return None;
        }
        let too_long = self.met.iter().filter(|met| met.ms * slowness > gap_ms);
        let pauses: f64 = too_long.map(|met| left(now.saturating_sub(met.at))).sum();
        // One stream may meet several.
        Some(1.0 - (-pauses / streams).exp())
    }
}

/// What is left of a count after so long.
fn left(elapsed: Millis) -> f64 {
    (-(elapsed as f64) / AVERAGE_MS).exp()
}
