//! Whether the caller of a stream reads it, so that its own pauses are not taken for those of the upstream.
//!
//! While a caller does not read, a gateway does not read from the upstream either. When the caller
//! continues, the events that were held back arrive at once: neither the long pause before them nor the short
//! ones between them say anything about the upstream.

/// A caller that asks for the next part after a longer time than this did not read meanwhile, in milliseconds.
/// A connection that accepts its data asks at once; shorter times are due to a busy processor. Likewise, an
/// upstream that sends nothing for longer than this had nothing more to send: what it sends at once takes 13 ms
/// for 16 KB on a link of 10 Mbit/s.
const MIN_PAUSE_MS: f64 = 20.0;

/// Tracks whether the caller of one stream reads it, and for how long it waits for the upstream.
#[derive(Clone, Copy, Debug)]
pub struct ReadTracker {
    /// When the caller was given the last part, in milliseconds, if it has not asked for another one.
    given: Option<f64>,
    /// Since when the caller waits for the upstream, in milliseconds.
    waiting_since: f64,
    is_behind: bool,
}

impl ReadTracker {
    /// Creates a tracker for a stream whose first part arrived at `now`, in milliseconds.
    pub fn new(now: f64) -> ReadTracker {
        ReadTracker { given: None, waiting_since: now, is_behind: false }
    }

    /// Records that the caller was given a part of the stream at `now`, in milliseconds.
    pub fn record_given(&mut self, now: f64) {
        self.given = Some(now);
    }

    /// Records that the caller asks for the next part at `now`, in milliseconds, for the first time or again.
    pub fn record_asked(&mut self, now: f64) {
        if let Some(given) = self.given.take() {
            self.is_behind |= now - given > MIN_PAUSE_MS;
            self.waiting_since = now;
        }
    }

    /// Records that a part arrived from the upstream at `now`, in milliseconds. Returns whether it may have been
    /// held back because the caller did not read, so that the pause before it says nothing about the upstream.
    pub fn record_arrived(&mut self, now: f64) -> bool {
        let was_behind = self.is_behind;
        self.is_behind &= self.silence(now) <= MIN_PAUSE_MS;
        self.waiting_since = now;
        was_behind
    }

    /// How long the caller has waited for the upstream at `now`, in milliseconds.
    pub fn silence(&self, now: f64) -> f64 {
        now - self.waiting_since
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Gives the caller a part at `given`, which it reads until `asked`.
    fn read(reading: &mut ReadTracker, given: f64, asked: f64) {
        reading.record_given(given);
        reading.record_asked(asked);
    }

    /// Guards against second runs of streams whose callers do not read: their upstreams have not stalled.
    #[test]
    fn the_time_in_which_the_caller_does_not_read_is_no_silence_of_the_upstream() {
        let mut reading = ReadTracker::new(1_000.0);
        read(&mut reading, 1_000.0, 3_000.0);
        assert_eq!(reading.silence(3_100.0), 100.0);
        // Asking again while nothing has arrived does not end the silence.
        reading.record_asked(4_000.0);
        assert_eq!(reading.silence(4_200.0), 1_200.0);
    }

    /// Guards against pauses of a caller, and the rapid events after them, that are taken for those of its
    /// upstream.
    #[test]
    fn parts_are_held_back_until_the_caller_has_read_all_that_was_waiting() {
        let mut reading = ReadTracker::new(1_000.0);
        read(&mut reading, 1_000.0, 3_000.0);
        assert!(reading.record_arrived(3_000.1));
        read(&mut reading, 3_000.1, 3_000.2);
        assert!(reading.record_arrived(3_013.0));
        read(&mut reading, 3_013.0, 3_013.1);
        assert!(reading.record_arrived(3_050.0), "it was on its way for an unknown time");
        read(&mut reading, 3_050.0, 3_050.1);
        assert!(!reading.record_arrived(3_090.0), "the caller has caught up");
    }

    /// Guards against upstreams whose pauses are not noticed because their callers are thought to be slow.
    #[test]
    fn a_caller_that_waits_for_its_upstream_is_not_behind() {
        let mut reading = ReadTracker::new(1_000.0);
        read(&mut reading, 1_000.0, 1_000.5);
        reading.record_asked(2_500.0);
        assert!(!reading.record_arrived(3_000.0));
    }
}
