//! What upstreams say of themselves in their answers, whatever the list of upstreams says.
//!
//! An upstream knows first that it leaves, and the list may say it long after, not at all, or say otherwise meanwhile. So its own word
//! holds until another life of it begins: while it is listed, and also if its entry lapses and comes back.
//!
//! One that asks for rest when it refuses a request has more work than it bears, and each further request costs it some of what it
//! has. It gets nothing for so long, also if no other upstream is left: callers are told at once when the first one takes work again.

use crate::Millis;
use crate::limit::{Limit, LimitUpdate};
use crate::roster::Roster;
use std::collections::HashMap;

/// How long an upstream's word is remembered, in milliseconds: one that leaves is gone long before.
const RETENTION_MS: Millis = 600_000;

/// The longest rest that an upstream gets, in milliseconds: one that says a day, by mistake, is asked again sooner.
const MAX_BACKOFF_MS: Millis = 300_000;
/// Callers come back over so long after a rest, in milliseconds: together they would be the next thing that is too much.
const RETRY_SPREAD_MS: u64 = 500;

/// What one upstream said.
#[derive(Clone, Debug, Default)]
struct Signal {
    is_leaving: bool,
    /// Until when it wants nothing.
    backoff_until: Millis,
    /// The request limit that it named.
    limit: Option<Limit>,
    updated: Millis,
}

/// What all upstreams said, by their names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals(HashMap<String, Signal>);

impl Signals {
    /// Takes in that an upstream leaves; `true` if that is new.
    pub(crate) fn mark_leaving(&mut self, upstream: &str, now: Millis) -> bool {
        let signal = self.signal(upstream, now);
        !std::mem::replace(&mut signal.is_leaving, true)
    }

    /// Takes in that an upstream wants nothing for so many milliseconds; those that it gets.
    pub(crate) fn back_off(&mut self, upstream: &str, ms: Millis, now: Millis) -> Millis {
        let ms = ms.min(MAX_BACKOFF_MS);
        let signal = self.signal(upstream, now);
        signal.backoff_until = signal.backoff_until.max(now + ms);
        ms
    }

    /// Records the limit that an answer names, or that it names none. The answered request was dispatched at
    /// `dispatched`; `sent` holds the times of this gateway's recent dispatches.
    pub(crate) fn update_limit(
        &mut self,
        upstream: &str,
        per_s: Option<f64>,
        dispatched: Millis,
        sent: &[Millis],
        now: Millis,
    ) -> LimitUpdate {
        let Some(per_s) = per_s else { return self.lift(upstream, dispatched) };
        match &mut self.signal(upstream, now).limit {
            Some(limit) => limit.confirm(per_s, now),
            limit => {
                *limit = Some(Limit::new(per_s, sent, now));
                LimitUpdate::Named
            }
        }
    }

    /// Records that the answer to a request names no limit. Answers can arrive out of order, so the limit ends only if
    /// the request was dispatched after the limit was last confirmed.
    fn lift(&mut self, upstream: &str, dispatched: Millis) -> LimitUpdate {
        let Some(signal) = self.0.get_mut(upstream) else { return LimitUpdate::Unchanged };
        match signal.limit.take_if(|limit| limit.is_older_than(dispatched)) {
            Some(_) => LimitUpdate::Lifted,
            None => LimitUpdate::Unchanged,
        }
    }

    /// Records what another gateway reports about an upstream's limit. Returns whether the limit begins or ends.
    pub(crate) fn hear_limit(
        &mut self,
        upstream: &str,
        per_s: Option<f64>,
        sent: &[Millis],
        now: Millis,
    ) -> bool {
        let limit = &mut self.signal(upstream, now).limit;
        let Some(per_s) = per_s else { return limit.take().is_some() };
        match limit {
            Some(limit) => {
                limit.hear(per_s, now);
                false
            }
            None => {
                *limit = Some(Limit::new(per_s, sent, now));
                true
            }
        }
    }

    /// The limit of an upstream, in requests per second, if it named one.
    pub(crate) fn limit_per_s(&self, upstream: &str) -> Option<f64> {
        Some(self.0.get(upstream)?.limit.as_ref()?.per_s())
    }

    /// The time until this gateway may dispatch the next request within an upstream's limit, in milliseconds; 0 if it may
    /// now.
    pub(crate) fn limit_wait_ms(&self, upstream: &str, roster: &Roster, now: Millis) -> Millis {
        let limit = self.0.get(upstream).and_then(|signal| signal.limit.as_ref());
        limit.map_or(0, |limit| limit.wait_ms(upstream, roster, now))
    }

    /// Records a dispatch to an upstream.
    pub(crate) fn send(&mut self, upstream: &str, now: Millis) {
        if let Some(limit) = self.0.get_mut(upstream).and_then(|signal| signal.limit.as_mut()) {
            limit.send(now);
        }
    }

    /// Whether an upstream said that it leaves.
    pub(crate) fn is_leaving(&self, upstream: &str) -> bool {
        self.0.get(upstream).is_some_and(|signal| signal.is_leaving)
    }

    /// How long an upstream still rests, in milliseconds; 0 if it doesn't.
    pub(crate) fn backoff_ms(&self, upstream: &str, now: Millis) -> Millis {
        self.0.get(upstream).map_or(0, |signal| signal.backoff_until.saturating_sub(now))
    }

    /// Whether an upstream takes work, as far as it said itself.
    pub(crate) fn admits(&self, upstream: &str, now: Millis) -> bool {
        self.0.get(upstream).is_none_or(|signal| !signal.is_leaving && signal.backoff_until <= now)
    }

    /// Forgets what an upstream said: another life of it began.
    pub(crate) fn forget(&mut self, upstream: &str) {
        self.0.remove(upstream);
    }

    fn signal(&mut self, upstream: &str, now: Millis) -> &mut Signal {
        self.0.retain(|_, signal| now.saturating_sub(signal.updated) < RETENTION_MS);
        let signal = self.0.entry(upstream.to_owned()).or_default();
        signal.updated = now;
        signal
    }
}

/// When a caller should come back whom upstreams can't serve before `rest_ms`, in milliseconds: not all at once, each by its `seed`.
pub fn retry_after_ms(backoff_ms: Millis, seed: u64) -> Millis {
    backoff_ms + seed % RETRY_SPREAD_MS
}
