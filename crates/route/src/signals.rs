//! What upstreams say of themselves in their answers, whatever the list of upstreams says.
//!
//! An upstream knows first that it leaves, and the list may say it long after, not at all, or say otherwise meanwhile. So its own word
//! holds until another life of it begins: while it is listed, and also if its entry lapses and comes back.
//!
//! One that asks for rest when it refuses a request has more work than it bears, and each further request costs it some of what it
//! has. It gets nothing for so long, also if no other upstream is left: callers are told at once when the first one takes work again.

use crate::Millis;
use std::collections::HashMap;

/// How long an upstream's word is remembered, in milliseconds: one that leaves is gone long before.
const REMEMBERED_MS: Millis = 600_000;

/// The longest rest that an upstream gets, in milliseconds: one that says a day, by mistake, is asked again sooner.
const REST_MOST_MS: Millis = 300_000;
/// Callers come back over so long after a rest, in milliseconds: together they would be the next thing that is too much.
const RETURN_MS: u64 = 500;

/// What one upstream said.
#[derive(Clone, Copy, Debug, Default)]
struct Signal {
    leaves: bool,
    /// Until when it wants nothing.
    rests_until: Millis,
    heard: Millis,
}

/// What all upstreams said, by their names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals(HashMap<String, Signal>);

impl Signals {
    /// Takes in that an upstream leaves; `true` if that is new.
    pub(crate) fn leave(&mut self, upstream: &str, now: Millis) -> bool {
        let signal = self.signal(upstream, now);
        !std::mem::replace(&mut signal.leaves, true)
    }

    /// Takes in that an upstream wants nothing for so many milliseconds; those that it gets.
    pub(crate) fn rest(&mut self, upstream: &str, ms: Millis, now: Millis) -> Millis {
        let ms = ms.min(REST_MOST_MS);
        let signal = self.signal(upstream, now);
        signal.rests_until = signal.rests_until.max(now + ms);
        ms
    }

    /// Whether an upstream said that it leaves.
    pub(crate) fn leaves(&self, upstream: &str) -> bool {
        self.0.get(upstream).is_some_and(|signal| signal.leaves)
    }

    /// How long an upstream still rests, in milliseconds; 0 if it doesn't.
    pub(crate) fn rests_ms(&self, upstream: &str, now: Millis) -> Millis {
        self.0.get(upstream).map_or(0, |signal| signal.rests_until.saturating_sub(now))
    }

    /// Whether an upstream takes work, as far as it said itself.
    pub(crate) fn admits(&self, upstream: &str, now: Millis) -> bool {
        !self.leaves(upstream) && self.rests_ms(upstream, now) == 0
    }

    /// Forgets what an upstream said: another life of it began.
    pub(crate) fn forget(&mut self, upstream: &str) {
        self.0.remove(upstream);
    }

    fn signal(&mut self, upstream: &str, now: Millis) -> &mut Signal {
        self.0.retain(|_, signal| now.saturating_sub(signal.heard) < REMEMBERED_MS);
        let signal = self.0.entry(upstream.to_owned()).or_default();
        signal.heard = now;
        signal
    }
}

/// When a caller should come back whom upstreams can't serve before `rest_ms`, in milliseconds: not all at once, each by its `seed`.
pub fn return_ms(rest_ms: Millis, seed: u64) -> Millis {
    rest_ms + seed % RETURN_MS
}
