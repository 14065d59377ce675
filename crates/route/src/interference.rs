//! How many short streams are late because prompts are read beside them.
//!
//! The load that this answers: while an engine reads a long prompt, all streams that it runs stand still. Whether that
//! makes them late depends on the engine's speed and on how long a pause callers bear, so it is counted and not assumed:
//! long pauses, put down to an engine of the usual speed, and the streams that could have pauses them.

use crate::Millis;
use std::collections::VecDeque;

/// The time over which pauses and streams are counted, in milliseconds: some times the length of a stream.
const AVERAGING_TIME_MS: f64 = 10_000.0;
/// Pauses remembered. Those beyond say what these say.
const MAX_PAUSES: usize = 512;
/// Streams that have to have begun before their share that is late is believed.
const MIN_STREAMS: f64 = 40.0;
/// Pauses that are so many times the intended longest one come from elsewhere: an engine that fails, a cut, a slow VM.
const MAX_PAUSE_FACTOR: f64 = 2.0;

/// A pause at an engine of the usual speed.
#[derive(Clone, Copy, Debug)]
struct RecordedPause {
    at: Millis,
    ms: f64,
}

/// Pauses of streams on engines that also read long prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Interference {
    pauses: VecDeque<RecordedPause>,
    streams: f64,
    last: Millis,
}

impl Interference {
    /// Takes in that so many short streams begin.
    pub(crate) fn add_streams(&mut self, streams: u32, now: Millis) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.last, now));
        self.streams = self.streams * decay(elapsed) + f64::from(streams);
    }

    /// Takes in a pause, put down to an engine of the usual speed, of a stream that should not pause longer than
    /// `gap_ms`.
    pub(crate) fn add_pause(&mut self, ms: f64, gap_ms: f64, now: Millis) {
        if ms > MAX_PAUSE_FACTOR * gap_ms {
            return;
        }
        if self.pauses.len() == MAX_PAUSES {
            self.pauses.pop_front();
        }
        self.pauses.push_back(RecordedPause { at: now, ms });
    }

    /// The share of streams that pause longer than `gap_ms` on an engine so many times slower than usual; `None` if too
    /// few were seen.
    pub(crate) fn late_share(&self, slowness: f64, gap_ms: f64, now: Millis) -> Option<f64> {
        let streams = self.streams * decay(now.saturating_sub(self.last));
        if streams < MIN_STREAMS {
            return None;
        }
        let too_long = self.pauses.iter().filter(|pause| pause.ms * slowness > gap_ms);
        let pause_count: f64 = too_long.map(|pause| decay(now.saturating_sub(pause.at))).sum();
        // One stream may meet several.
        Some(1.0 - (-pause_count / streams).exp())
    }
}

/// What is left of a count after so long.
fn decay(elapsed: Millis) -> f64 {
    (-(elapsed as f64) / AVERAGING_TIME_MS).exp()
}
