//! Request limits that upstreams name in their answers.
//!
//! While an upstream is overloaded, each of its answers names the requests per second that it accepts from
//! all gateways together. [`crate::roster`] determines the part of each gateway. If there are more gateways
//! than requests to divide, some gateways have no part and depend on the others to learn that the limit
//! changed or ended.

use crate::Millis;
use crate::roster::Roster;
use smallvec::SmallVec;

/// The shortest period of a quota, in milliseconds.
const SHORTEST_PERIOD_MS: Millis = 2_000;
/// The most requests per period if the period is longer than the shortest one. With fewer, rounding leaves
/// more of a low rate unused.
const PERIOD_REQUESTS: f64 = 4.0;
/// The longest period of a quota, in milliseconds. An upstream that accepts nothing still gets one request
/// per period, whose answer says whether the limit still holds.
const LONGEST_PERIOD_MS: Millis = 10_000;
/// The largest expected difference between the arrival delays of two requests, in milliseconds.
const JITTER_MS: Millis = 250;
/// The other gateways are told of a new rate that differs by more than this factor from the last one told.
const CHANGE_FACTOR: f64 = 1.25;
/// The interval at which the other gateways are told again of an unchanged limit, in milliseconds.
const RENEWAL_MS: Millis = 20_000;
/// The time without news of a limit, in milliseconds, after which gateways without a part check in turn
/// whether it still holds.
const CHECK_AFTER_MS: Millis = 60_000;

/// How an answer changed the known request limit of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitUpdate {
    /// Nothing changed that the other gateways need to know.
    Unchanged,
    /// The limit is unchanged, but the other gateways are due to be told of it again.
    Renewed,
    /// The upstream named its first limit, or a different one.
    Named,
    /// The upstream no longer names a limit.
    Lifted,
}

/// A rate expressed as whole requests per period.
#[derive(Clone, Copy, Debug)]
struct Quota {
    requests: usize,
    /// The period plus the jitter, in milliseconds.
    span_ms: Millis,
}

impl Quota {
    fn new(per_s: f64) -> Quota {
        let shortest = (per_s * SHORTEST_PERIOD_MS as f64 / 1_000.0).floor();
        let requests = shortest.max((PERIOD_REQUESTS * per_s).floor().clamp(1.0, PERIOD_REQUESTS));
        // For a rate of zero the quotient is infinite, and the cast saturates.
        let period_ms = (requests * 1_000.0 / per_s).ceil() as Millis;
        let span_ms = period_ms.clamp(SHORTEST_PERIOD_MS, LONGEST_PERIOD_MS) + JITTER_MS;
        Quota { requests: requests as usize, span_ms }
    }
}

/// The request limit of one upstream, and this gateway's recent dispatches to it.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    per_s: f64,
    /// The rate last exchanged with the other gateways, and when.
    exchanged: (f64, Millis),
    /// When an answer or another gateway last confirmed the limit.
    confirmed: Millis,
    /// The times of this gateway's dispatches within the last span.
    sent: SmallVec<[Millis; 8]>,
}

impl Limit {
    /// Creates a limit that the other gateways know or are about to be told. `sent` holds the times of this
    /// gateway's dispatches shortly before.
    pub(crate) fn new(per_s: f64, sent: &[Millis], now: Millis) -> Limit {
        Limit { per_s, exchanged: (per_s, now), confirmed: now, sent: SmallVec::from_slice(sent) }
    }

    /// The requests per second that the upstream accepts from all gateways together.
    pub(crate) fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Whether the limit was last confirmed no later than at `dispatched`, so that the answer to a request
    /// dispatched then is newer.
    pub(crate) fn is_older_than(&self, dispatched: Millis) -> bool {
        self.confirmed <= dispatched
    }

    /// Records that an answer names the limit.
    pub(crate) fn confirm(&mut self, per_s: f64, now: Millis) -> LimitUpdate {
        self.per_s = per_s;
        self.confirmed = now;
        let (exchanged_per_s, exchanged_at) = self.exchanged;
        let has_changed = per_s > exchanged_per_s * CHANGE_FACTOR || per_s * CHANGE_FACTOR < exchanged_per_s;
        if has_changed {
            self.exchanged = (per_s, now);
            LimitUpdate::Named
        } else if now.saturating_sub(exchanged_at) >= RENEWAL_MS {
            self.exchanged = (per_s, now);
            LimitUpdate::Renewed
        } else {
            LimitUpdate::Unchanged
        }
    }

    /// Records that another gateway reported the limit.
    pub(crate) fn record_hint(&mut self, per_s: f64, now: Millis) {
        self.per_s = per_s;
        self.exchanged = (per_s, now);
        self.confirmed = now;
    }

    /// Records a dispatch.
    pub(crate) fn send(&mut self, now: Millis) {
        let span_ms = Quota::new(self.per_s).span_ms;
        self.sent.retain(|at| now.saturating_sub(*at) < span_ms);
        self.sent.push(now);
    }

    /// The time until this gateway may dispatch the next request, in milliseconds; 0 if it may now.
    pub(crate) fn wait_ms(&self, upstream: &str, roster: &Roster, now: Millis) -> Millis {
        let Quota { requests, span_ms } = Quota::new(self.per_s);
        let part = roster.part_or_half(upstream, requests, now);
        let recent = || self.sent.iter().filter(|at| now.saturating_sub(**at) < span_ms);
        let excess = (recent().count() + 1).saturating_sub(part);
        match (excess, part) {
            (0, _) => 0,
            (_, 0) => self.check_wait_ms(upstream, roster, now).unwrap_or(span_ms).min(span_ms),
            // There is room once the oldest `excess` dispatches have left the span.
            _ => recent().nth(excess - 1).map_or(0, |at| (at + span_ms).saturating_sub(now)),
        }
    }

    /// The time until this gateway may send a request that checks whether the limit still holds, in
    /// milliseconds; `None` if it has no rank. The gateways check in the order of their ranks, at the rate
    /// that the upstream accepts.
    fn check_wait_ms(&self, upstream: &str, roster: &Roster, now: Millis) -> Option<Millis> {
        let interval_ms = (1_000.0 / self.per_s).min(LONGEST_PERIOD_MS as f64);
        let (rank, since) = roster.rank(upstream, now)?;
        let delay_ms = rank as f64 * interval_ms;
        let last = self.sent.last().copied().unwrap_or(0).max(self.confirmed).max(since);
        Some((last + CHECK_AFTER_MS + delay_ms as Millis).saturating_sub(now))
    }
}
