//! One gateway's list of all gateways, and its part of the requests that an upstream accepts from all of them
//! together.
//!
//! Gateways share no counts, so each determines its part from its own list. The gateways are placed on a hash
//! ring. Of the requests that an upstream accepts per period, the first one goes to the first gateway at or
//! after the upstream's point on the ring, the second one to the next gateway, and so on, cyclically.
//!
//! The sum stays within what the upstream accepts even if the lists differ. A surplus entry in a list only
//! reduces the parts of other gateways, so it is enough that each gateway which takes a part knows all others
//! that do. [`Roster`] ensures this: a gateway takes a part only while its list is no older than
//! [`Roster::list_validity_ms`], while its heartbeat is confirmed, and after all lists that lack it have
//! expired.

use crate::Millis;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The time within which a gateway dispatches its part once, in milliseconds: one second, plus the time by
/// which one request may take longer to arrive than the next.
pub const SPAN_MS: Millis = 1_250;
/// How long a list stays valid beyond two intervals of reading it, in milliseconds: allows for calls to a
/// slow store.
const LIST_SLACK_MS: Millis = 2_000;

/// Primes above any number of gateways, so that the multiples of each reach all places in a list of gateways.
const STRIDES: [usize; 8] = [65_537, 65_539, 65_543, 65_551, 65_557, 65_563, 65_579, 65_581];

/// The gateways on a hash ring.
#[derive(Clone, Debug)]
struct Ring {
    /// In ascending order, including the own point.
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

    /// The number of gateways between an upstream's point and this gateway.
    fn rank(&self, upstream: &str) -> usize {
        self.rank_of(self.own, upstream)
    }

    /// The number of gateways between an upstream's point and the one at `point`.
    fn rank_of(&self, point: u64, upstream: &str) -> usize {
        let count = self.points.len();
        let index = |point: u64| self.points.partition_point(|other| *other < point);
        let first = index(xxh3_64(upstream.as_bytes())) % count;
        (index(point) + count - first) % count
    }

    /// This gateway's part of `requests`.
    fn part(&self, upstream: &str, requests: usize) -> usize {
        requests.saturating_sub(self.rank(upstream)).div_ceil(self.points.len())
    }
}

/// The list of gateways as one of them last read it, and whether that gateway may use it.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    ring: Option<Ring>,
    /// When the list expires.
    list_valid_until: Millis,
    /// When the last confirmed heartbeat expires.
    heartbeat_valid_until: Millis,
    /// When the current list was requested.
    list_requested_at: Millis,
    /// A list requested at this time or later names all gateways that started together with this one; `None`
    /// while this one is not listed.
    joining_listed_from: Option<Millis>,
    /// When the list and the heartbeat last became valid after one of them had expired.
    current_since: Millis,
    /// From when on all valid lists name this gateway; `None` while it is not listed.
    listed_everywhere_from: Option<Millis>,
}

impl Roster {
    /// How long a list that is read every `interval_ms` is valid, in milliseconds.
    pub fn list_validity_ms(interval_ms: Millis) -> Millis {
        2 * interval_ms + LIST_SLACK_MS
    }

    /// How long a newly listed gateway takes no part, in milliseconds. Twice the validity of a list, since
    /// other gateways may read theirs less often, and an answer may be older than its arrival.
    pub fn join_delay_ms(interval_ms: Millis) -> Millis {
        2 * Roster::list_validity_ms(interval_ms)
    }

    /// Replaces the list by one that was requested at `requested_at` and is read every `interval_ms`.
    /// `own_uptime_ms` is the uptime in this gateway's row, possibly that of an earlier process of the same
    /// name; `None` if it is not listed.
    pub fn update_list<'a>(
        &mut self,
        own: &str,
        listed: impl Iterator<Item = &'a str>,
        own_uptime_ms: Option<Millis>,
        requested_at: Millis,
        interval_ms: Millis,
    ) {
        self.update_current_since(requested_at);
        self.ring = Some(Ring::new(own, listed.filter(|name| *name != own)));
        self.list_requested_at = requested_at;
        self.list_valid_until = requested_at + Roster::list_validity_ms(interval_ms);
        match own_uptime_ms {
            // The earlier process was in all lists already, and may have dispatched its part just before it
            // ended.
            Some(uptime_ms)
                if self.listed_everywhere_from.is_none()
                    && uptime_ms >= Roster::join_delay_ms(interval_ms) =>
            {
                self.listed_everywhere_from = Some(requested_at + SPAN_MS);
            }
            Some(_) => {}
            None => self.leave(),
        }
    }

    /// Records that a heartbeat sent at `sent_at` was confirmed at `now`. It is valid for `validity_ms` from
    /// when it was sent.
    pub fn confirm_heartbeat(
        &mut self,
        sent_at: Millis,
        now: Millis,
        validity_ms: Millis,
        interval_ms: Millis,
    ) {
        self.update_current_since(now);
        self.heartbeat_valid_until = sent_at + validity_ms;
        if self.listed_everywhere_from.is_none() {
            self.listed_everywhere_from = Some(now + Roster::join_delay_ms(interval_ms));
            self.joining_listed_from = Some(now + interval_ms.max(LIST_SLACK_MS));
        }
    }

    fn update_current_since(&mut self, now: Millis) {
        if !self.is_current(now) {
            self.current_since = now;
        }
    }

    /// The number of gateways in the list that was last read, including this one; 1 if none was read.
    pub(crate) fn gateways(&self) -> usize {
        self.ring.as_ref().map_or(1, |ring| ring.points.len())
    }

    /// This gateway's place in an order of the first `count` gateways at or after an upstream's point on the ring, which
    /// differs between rounds; 0 if no list was read.
    pub(crate) fn order(&self, upstream: &str, count: usize, round: u64) -> usize {
        let Some(ring) = &self.ring else { return 0 };
        let random = xxh3_64_with_seed(upstream.as_bytes(), round) as usize;
        let stride = STRIDES[random % STRIDES.len()];
        (ring.rank(upstream) * stride + random / STRIDES.len()) % count
    }

    /// Whether this gateway is among the first `count` at or after an upstream's point on the ring. Without a
    /// list, it is.
    pub(crate) fn is_among_first(&self, upstream: &str, count: usize) -> bool {
        self.ring.as_ref().is_none_or(|ring| ring.rank(upstream) < count)
    }

    /// Whether another gateway has a part of `requests`, as far as the list tells.
    pub(crate) fn has_part(&self, gateway: &str, upstream: &str, requests: usize) -> bool {
        let point = xxh3_64(gateway.as_bytes());
        self.ring.as_ref().is_some_and(|ring| ring.rank_of(point, upstream) < requests)
    }

    /// Stops taking a part, since this gateway removes its row from the list.
    pub fn leave(&mut self) {
        self.listed_everywhere_from = None;
        self.joining_listed_from = None;
    }

    /// This gateway's part of `requests`. It is 0 while this gateway is joining, or its list or heartbeat has
    /// expired, since the other gateways may then divide all requests among themselves.
    pub(crate) fn part(&self, upstream: &str, requests: usize, now: Millis) -> usize {
        self.ring.as_ref().filter(|_| self.participates(now)).map_or(0, |ring| ring.part(upstream, requests))
    }

    /// Like [`Roster::part`], but a gateway that is joining takes its part as soon as it is in the lists that the others
    /// read last. They may know it only later, while they have no access to the store, so all together send up to twice
    /// `requests` then. A gateway whose list or heartbeat has expired takes a part of half the requests.
    pub(crate) fn part_when_listed(&self, upstream: &str, requests: usize, now: Millis) -> usize {
        match &self.ring {
            Some(ring) if self.participates(now) || self.lists_all_joining(now) => {
                ring.part(upstream, requests)
            }
            Some(ring) if self.participated(now) => ring.part(upstream, requests / 2),
            _ => 0,
        }
    }

    /// Whether the list names all gateways, as far as this one can tell. Until it does, the fleet may be of any size.
    pub(crate) fn knows_fleet(&self, now: Millis) -> bool {
        self.gateways() > 1 || self.participates(now) || self.lists_all_joining(now) || self.participated(now)
    }

    /// Like [`Roster::part`], but a gateway that is joining, or whose list or heartbeat has expired, takes a
    /// part of half the requests, so that it can still use the upstream. Together with the gateways that
    /// divide all requests, such gateways send up to one and a half times `requests`.
    pub(crate) fn part_or_half(&self, upstream: &str, requests: usize, now: Millis) -> usize {
        let Some(ring) = &self.ring else { return 0 };
        if self.participates(now) {
            ring.part(upstream, requests)
        } else if self.lists_all_joining(now) || self.participated(now) {
            ring.part(upstream, requests / 2)
        } else {
            0
        }
    }

    /// Whether the list is valid and names the gateways that started together with this one.
    fn lists_all_joining(&self, now: Millis) -> bool {
        self.is_current(now) && self.joining_listed_from.is_some_and(|from| from <= self.list_requested_at)
    }

    /// Whether this gateway took part until its list or heartbeat expired.
    fn participated(&self, now: Millis) -> bool {
        self.listed_everywhere_from.is_some_and(|from| from <= now && self.is_current(from))
    }

    /// The number of gateways between an upstream's point on the ring and this gateway, and when this gateway
    /// began to take part; `None` if it takes no part.
    pub(crate) fn rank(&self, upstream: &str, now: Millis) -> Option<(usize, Millis)> {
        let ring = self.ring.as_ref().filter(|_| self.participates(now))?;
        Some((ring.rank(upstream), self.current_since.max(self.listed_everywhere_from?)))
    }

    fn participates(&self, now: Millis) -> bool {
        let is_listed_everywhere = self.listed_everywhere_from.is_some_and(|from| from <= now);
        is_listed_everywhere && self.is_current(now)
    }

    /// Whether neither the list nor the heartbeat has expired.
    fn is_current(&self, now: Millis) -> bool {
        now < self.list_valid_until && now < self.heartbeat_valid_until
    }
}
