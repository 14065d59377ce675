//! The times between the events of one stream, and what they say of its engine.

/// How many pauses are looked at together: some of them without reading, most of the time.
const TOGETHER: u32 = 8;
/// A pause tells of prompts that were read if it is longer than this multiple of the usual one before it.
const READING: f64 = 3.0;

/// The pauses of one stream.
///
/// They are taken in pairs: an engine may put more tokens in one event and fewer in the next.
#[derive(Clone, Copy, Debug)]
pub struct PauseTracker {
    /// When the last event came, in milliseconds.
    last: f64,
    /// The pause before it, if that was the first of a pair.
    first: Option<f64>,
    /// The shortest average of a pair in this series.
    least: f64,
    count: u32,
    /// The same of the last full series.
    quiet: f64,
}

/// What a new event says of its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PauseKind {
    /// So many milliseconds are the shortest two pauses of a series on average.
    Baseline(f64),
    /// So many milliseconds are more than usual.
    Long(f64),
    /// Nothing new.
    Normal,
}

impl PauseTracker {
    /// The pauses of a stream whose first event came at `now`, in milliseconds.
    pub fn new(now: f64) -> PauseTracker {
        PauseTracker { last: now, first: None, least: f64::INFINITY, count: 0, quiet: f64::INFINITY }
    }

    /// Takes in that an event came at `now`, in milliseconds.
    pub fn record(&mut self, now: f64) -> PauseKind {
        let ms = now - std::mem::replace(&mut self.last, now);
        match self.first.take() {
            Some(first) => self.least = self.least.min((first + ms) / 2.0),
            None => self.first = Some(ms),
        }
        self.count += 1;
        if self.count == TOGETHER {
            self.quiet = std::mem::replace(&mut self.least, f64::INFINITY);
            self.count = 0;
            return PauseKind::Baseline(self.quiet);
        }
        if ms > READING * self.quiet { PauseKind::Long(ms) } else { PauseKind::Normal }
    }
}
