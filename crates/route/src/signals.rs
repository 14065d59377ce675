//! What upstreams say of themselves in their answers, whatever the list of upstreams says.
//!
//! An upstream knows first that it leaves, and the list may say it long after, not at all, or say otherwise meanwhile. So its own word
//! holds until another life of it begins: while it is listed, and also if its entry lapses and comes back.

use crate::Millis;
use std::collections::HashMap;

/// How long an upstream's word is remembered, in milliseconds: one that leaves is gone long before.
const REMEMBERED_MS: Millis = 600_000;

/// What one upstream said.
#[derive(Clone, Copy, Debug, Default)]
struct Signal {
    leaves: bool,
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

    /// Whether an upstream takes work, as far as it said itself.
    pub(crate) fn admits(&self, upstream: &str) -> bool {
        self.0.get(upstream).is_none_or(|signal| !signal.leaves)
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
