//! How many requests an upstream that warms up gets from each gateway.
//!
//! An upstream that has just started, or lost its caches, falls over under the load that a warm one bears, and it looks idle to all
//! gateways at once. What it bears is a rate, summed over all gateways, which share no counts. So each gateway takes a part of it by
//! its own list of gateways: they stand on a hash ring, and of the requests that an upstream bears in a second, the first one is for
//! the first gateway from the upstream's point on, the second one for the next gateway, and so on, round and round.
//!
//! The sum stays within the rate although lists differ. A gateway that is in more lists than needed only takes from the parts of
//! others, so it is enough that each gateway which takes part knows all others that do. [`Roster`] sees to that: a gateway takes part
//! while its list is not older than [`Roster::list_lasts_ms`], while its heartbeat is confirmed, and not before all lists that
//! lack it have run out.

use crate::Millis;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// Time within which a gateway dispatches its part once, in milliseconds: a second, and the time by which one request may be
/// longer on its way than the next.
pub const SPAN_MS: Millis = 1_250;
/// How long a list is used beyond the time that two reads of it take, in milliseconds: calls to a slow store.
const LIST_SLACK_MS: Millis = 2_000;
/// The longest warm-up that is believed, in milliseconds: one that says a day, by mistake, is asked again sooner.
const LONGEST_MS: Millis = 60_000;
/// The rate of an upstream that warms up and is said to bear nothing, in requests a second.
const LEAST_PER_S: f64 = 1.0;

/// What the upstreams of a service bear while they warm up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Requests in a second, from all gateways together.
    pub per_s: f64,
    /// How long it takes after a start, in milliseconds.
    pub lasts_ms: Millis,
}

impl Warmup {
    /// Whole requests in a second.
    fn requests(self) -> usize {
        self.per_s.max(LEAST_PER_S) as usize
    }
}

/// The gateways on a hash ring.
#[derive(Clone, Debug)]
struct Ring {
    /// In rising order, this gateway's included.
    points: Vec<u64>,
    own: u64,
}

impl Ring {
    fn new<'a>(own: &str, others: impl Iterator<Item = &'a str>) -> Ring {
        let own = xxh3_64(own.as_bytes());
        let mut points: Vec<u64> = others.map(|name| xxh3_64(name.as_bytes())).chain([own]).collect();
        points.sort_unstable();
        points.dedup();
        Ring { points, own }
    }

    /// How many gateways stand between an upstream's point and this gateway.
    fn rank(&self, upstream: &str) -> usize {
        let count = self.points.len();
        let index = |point: u64| self.points.partition_point(|other| *other < point);
        let first = index(xxh3_64(upstream.as_bytes())) % count;
        (index(self.own) + count - first) % count
    }

    /// This gateway's part of so many requests.
    fn part(&self, upstream: &str, requests: usize) -> usize {
        requests.saturating_sub(self.rank(upstream)).div_ceil(self.points.len())
    }
}

/// The list of gateways as one of them read it, and whether it may act by it.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    ring: Option<Ring>,
    /// Until when the list counts.
    list_until: Millis,
    /// Until when the last heartbeat counts.
    beat_until: Millis,
    /// From when on all lists that count name this gateway; `None` while it is not listed.
    named_from: Option<Millis>,
}

impl Roster {
    /// How long a list counts that is read every `interval_ms`, in milliseconds.
    pub fn list_lasts_ms(interval_ms: Millis) -> Millis {
        2 * interval_ms + LIST_SLACK_MS
    }

    /// How long a gateway that is new to the list takes no part, in milliseconds: other gateways may read theirs less often, and
    /// an answer may be older than its arrival.
    pub fn join_ms(interval_ms: Millis) -> Millis {
        2 * Roster::list_lasts_ms(interval_ms)
    }

    /// Takes in a list that was asked for at `asked` and is read every `interval_ms`. `own_up_ms` is how long this gateway, or an earlier process of
    /// its name, had run by its row, if that is listed.
    pub fn read<'a>(
        &mut self,
        own: &str,
        listed: impl Iterator<Item = &'a str>,
        own_up_ms: Option<Millis>,
        asked: Millis,
        interval_ms: Millis,
    ) {
        self.ring = Some(Ring::new(own, listed.filter(|name| *name != own)));
        self.list_until = asked + Roster::list_lasts_ms(interval_ms);
        match own_up_ms {
            // An earlier process was in all lists already, and may have dispatched its part just before it ended.
            Some(up_ms) if self.named_from.is_none() && up_ms >= Roster::join_ms(interval_ms) => {
                self.named_from = Some(asked + SPAN_MS);
            }
            Some(_) => {}
            None => self.named_from = None,
        }
    }

    /// Takes in that a heartbeat which was sent at `sent` was confirmed at `now`, and counts for `lasts_ms`.
    pub fn beat(&mut self, sent: Millis, now: Millis, lasts_ms: Millis, interval_ms: Millis) {
        self.beat_until = sent + lasts_ms;
        self.named_from.get_or_insert(now + Roster::join_ms(interval_ms));
    }

    /// Takes no part any more: this gateway takes its row out of the list.
    pub fn leave(&mut self) {
        self.named_from = None;
    }

    fn part(&self, upstream: &str, requests: usize, now: Millis) -> usize {
        let is_named = self.named_from.is_some_and(|from| from <= now);
        let takes_part = is_named && now < self.list_until && now < self.beat_until;
        self.ring.as_ref().filter(|_| takes_part).map_or(0, |ring| ring.part(upstream, requests))
    }
}

/// Whether an upstream is warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Heat {
    Warm,
    /// It may have started again, and nothing says so yet.
    Unsure,
    Cold,
}

/// How one upstream warms up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Warming {
    until: Millis,
    unsure_until: Millis,
    /// Dispatches of this gateway within the last span: those before it was known to warm up count too.
    sent: SmallVec<[Millis; 4]>,
}

impl Warming {
    /// Takes in that it warms up for so many milliseconds from now on.
    pub(crate) fn begin(&mut self, ms: Millis, now: Millis) {
        self.until = self.until.max(now + ms.min(LONGEST_MS));
    }

    /// Takes in that it may warm up for so many milliseconds from now on.
    pub(crate) fn suspect(&mut self, ms: Millis, now: Millis) {
        self.unsure_until = self.unsure_until.max(now + ms.min(LONGEST_MS));
    }

    /// Notes a dispatch.
    pub(crate) fn send(&mut self, now: Millis) {
        self.sent.retain(|at| now.saturating_sub(*at) < SPAN_MS);
        self.sent.push(now);
    }

    /// Whether it is warm.
    pub(crate) fn heat(&self, now: Millis) -> Heat {
        if now < self.until {
            Heat::Cold
        } else if now < self.unsure_until {
            Heat::Unsure
        } else {
            Heat::Warm
        }
    }

    /// Whether this gateway may dispatch to it now, while it warms up.
    pub(crate) fn admits(
        &self,
        upstream: &str,
        warmup: Option<Warmup>,
        roster: &Roster,
        now: Millis,
    ) -> bool {
        let Some(warmup) = warmup else { return true };
        let recent = self.sent.iter().filter(|at| now.saturating_sub(**at) < SPAN_MS).count();
        recent < roster.part(upstream, warmup.requests(), now)
    }
}
