//! What upstreams report about themselves in their answers: that they leave, want no requests for a while, or
//! limit them.
//!
//! An upstream is the first to know that it leaves. The list of upstreams may show it long after, not at all,
//! or state the opposite meanwhile. So its own report stays valid until the upstream restarts, even if its
//! entry in the list is removed and comes back.
//!
//! An upstream that refuses a request and asks for a back-off has more work than it can handle, and each
//! further request costs it some of its remaining capacity. It gets no requests for that time, even if no
//! other upstream is left: callers are refused at once, with the time at which the first upstream accepts
//! requests again.

use crate::Millis;
use crate::limit::{Limit, LimitUpdate};
use crate::roster::Roster;
use std::collections::HashMap;

/// How long an upstream's reports are kept after the last one, in milliseconds. An upstream that leaves is
/// gone long before.
const RETENTION_MS: Millis = 600_000;

/// The longest back-off that is accepted, in milliseconds: an upstream that asks for a day by mistake is
/// tried again sooner.
const MAX_BACKOFF_MS: Millis = 300_000;
/// The time over which the retries of callers are spread after a back-off, in milliseconds: all at once, they
/// would overload the upstream again.
const RETRY_SPREAD_MS: u64 = 500;

/// What one upstream reported.
#[derive(Clone, Debug, Default)]
struct Signal {
    is_leaving: bool,
    /// When the back-off that it asked for ends.
    backoff_until: Millis,
    /// The request limit that it named.
    limit: Option<Limit>,
    updated: Millis,
}

/// What all upstreams reported, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals(HashMap<String, Signal>);

impl Signals {
    /// Records that an upstream leaves. Returns whether this is new.
    pub(crate) fn mark_leaving(&mut self, upstream: &str, now: Millis) -> bool {
        let signal = self.signal(upstream, now);
        !std::mem::replace(&mut signal.is_leaving, true)
    }

    /// Records that an upstream asks for a back-off of `ms` milliseconds. Returns the back-off that it gets.
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

    /// Records that the answer to a request names no limit. Answers can arrive out of order, so the limit
    /// ends only if the request was dispatched after the limit was last confirmed.
    fn lift(&mut self, upstream: &str, dispatched: Millis) -> LimitUpdate {
        let Some(signal) = self.0.get_mut(upstream) else { return LimitUpdate::Unchanged };
        match signal.limit.take_if(|limit| limit.is_older_than(dispatched)) {
            Some(_) => LimitUpdate::Lifted,
            None => LimitUpdate::Unchanged,
        }
    }

    /// Records what another gateway reports about an upstream's limit. Returns whether the limit begins or
    /// ends.
    pub(crate) fn record_limit_hint(
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
                limit.record_hint(per_s, now);
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

    /// The time until this gateway may dispatch the next request within an upstream's limit, in milliseconds;
    /// 0 if it may now.
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

    /// Whether an upstream reported that it leaves.
    pub(crate) fn is_leaving(&self, upstream: &str) -> bool {
        self.0.get(upstream).is_some_and(|signal| signal.is_leaving)
    }

    /// The remaining back-off of an upstream, in milliseconds; 0 if there is none.
    pub(crate) fn backoff_ms(&self, upstream: &str, now: Millis) -> Millis {
        self.0.get(upstream).map_or(0, |signal| signal.backoff_until.saturating_sub(now))
    }

    /// Whether an upstream accepts requests, by its own reports on leaving and back-off.
    pub(crate) fn admits(&self, upstream: &str, now: Millis) -> bool {
        self.0.get(upstream).is_none_or(|signal| !signal.is_leaving && signal.backoff_until <= now)
    }

    /// Discards the reports of an upstream that has restarted.
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

/// The time after which a caller should retry that no upstream can serve within `backoff_ms`, in
/// milliseconds. Spread by `seed`, so that callers do not all retry at once.
pub fn retry_after_ms(backoff_ms: Millis, seed: u64) -> Millis {
    backoff_ms + seed % RETRY_SPREAD_MS
}
