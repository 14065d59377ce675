//! The pauses between the events of one stream, and what they say about its engine.

/// The number of pauses per series. Most of the time, some pauses of a series pass without the engine reading
/// a prompt.
const SERIES_LENGTH: u32 = 8;
/// A pause this many times longer than the baseline of the last series indicates that the engine read prompts
/// meanwhile.
const LONG_FACTOR: f64 = 3.0;

/// Tracks the pauses of one stream.
///
/// Pauses are averaged in pairs, because an engine may put more tokens into one event and fewer into the
/// next.
#[derive(Clone, Copy, Debug)]
pub struct PauseTracker {
    /// The time of the last event, in milliseconds.
    last_event: f64,
    /// The previous pause, if it is the first one of a pair.
    unpaired: Option<f64>,
    /// The shortest average of a pair in the current series, in milliseconds.
    shortest_pair: f64,
    count: u32,
    /// The shortest average of a pair in the last complete series, in milliseconds.
    baseline: f64,
}

/// What a new event says about the engine of its stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PauseKind {
    /// A series is complete. The value is the shortest average of a pair of its pauses, in milliseconds.
    Baseline(f64),
    /// The pause was unusually long. The value is its length, in milliseconds.
    Long(f64),
    /// The pause says nothing new.
    Normal,
}

impl PauseTracker {
    /// Creates a tracker for a stream whose first event arrived at `now`, in milliseconds.
    pub fn new(now: f64) -> PauseTracker {
        PauseTracker {
            last_event: now,
            unpaired: None,
            shortest_pair: f64::INFINITY,
            count: 0,
            baseline: f64::INFINITY,
        }
    }

    /// Records that an event arrived at `now`, in milliseconds.
    pub fn record(&mut self, now: f64) -> PauseKind {
        let ms = now - std::mem::replace(&mut self.last_event, now);
        match self.unpaired.take() {
            Some(first) => self.shortest_pair = self.shortest_pair.min((first + ms) / 2.0),
            None => self.unpaired = Some(ms),
        }
        self.count += 1;
        if self.count == SERIES_LENGTH {
            self.baseline = std::mem::replace(&mut self.shortest_pair, f64::INFINITY);
            self.count = 0;
            return PauseKind::Baseline(self.baseline);
        }
        if ms > LONG_FACTOR * self.baseline { PauseKind::Long(ms) } else { PauseKind::Normal }
    }
}
