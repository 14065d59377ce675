//! Estimates how many short streams are late because prompts are read beside them.
//!
//! While an engine reads a long prompt, all streams that it runs stall. Whether this makes them late depends
//! on the engine's speed and on the pause that callers tolerate, so it is measured rather than assumed: by
//! counting long pauses, scaled to an engine of the usual speed, and the streams that these could have
//! affected.

use crate::Millis;
use std::collections::VecDeque;

/// The time constant of the counts of pauses and streams, in milliseconds: several times the length of a
/// stream.
const AVERAGING_TIME_MS: f64 = 10_000.0;
/// The most pauses to remember. More of them would not change the estimate.
const MAX_PAUSES: usize = 512;
/// The number of streams from which on the share of late ones is considered known.
const MIN_STREAMS: f64 = 40.0;
/// Pauses longer than this multiple of the longest intended one have other causes: an engine that fails, a
/// lost connection, a slow VM.
const MAX_PAUSE_FACTOR: f64 = 2.0;

/// A pause, scaled to an engine of the usual speed.
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
    /// Records the start of short streams.
    pub(crate) fn add_streams(&mut self, streams: u32, now: Millis) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.last, now));
        self.streams = self.streams * decay(elapsed) + f64::from(streams);
    }

    /// Records a pause of a stream that should not pause for longer than `gap_ms`. The pause is scaled to an
    /// engine of the usual speed.
    pub(crate) fn add_pause(&mut self, ms: f64, gap_ms: f64, now: Millis) {
        if ms > MAX_PAUSE_FACTOR * gap_ms {
            return;
        }
        if self.pauses.len() == MAX_PAUSES {
            self.pauses.pop_front();
        }
        self.pauses.push_back(RecordedPause { at: now, ms });
    }

    /// The share of streams that pause for longer than `gap_ms` on an engine that is slower than usual by the
    /// factor `slowness`; `None` if too few streams were counted.
    pub(crate) fn late_share(&self, slowness: f64, gap_ms: f64, now: Millis) -> Option<f64> {
        let streams = self.streams * decay(now.saturating_sub(self.last));
        if streams < MIN_STREAMS {
            return None;
        }
        let too_long = self.pauses.iter().filter(|pause| pause.ms * slowness > gap_ms);
        let pause_count: f64 = too_long.map(|pause| decay(now.saturating_sub(pause.at))).sum();
        // A stream may be affected by several pauses.
        Some(1.0 - (-pause_count / streams).exp())
    }
}

/// The weight that remains of a count after `elapsed` milliseconds.
fn decay(elapsed: Millis) -> f64 {
    (-(elapsed as f64) / AVERAGING_TIME_MS).exp()
}
