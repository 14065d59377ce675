//! Brittle upstreams, which fall over if they have to reject too many requests for want of room.
//!
//! While the upstreams of a service say that they are brittle, their queues can't be relied on. A gateway then keeps
//! no more requests open at an upstream than its part of the upstream's places, which [`crate::roster`] determines.
//! All gateways together fit into the places, so that nothing has to be rejected, however little they know of each
//! other's requests.
//!
//! An upstream may have less room than it is listed with, because it works on requests whose callers have left. The
//! gateway that is rejected tells the others, and each of them keeps what it has open there, but no more. From time
//! to time each one tries one request more, at a time of its own, so that all together cause few rejections. A gateway
//! without a part does the same, from nothing.

use crate::Millis;
use crate::roster::Roster;
use std::collections::HashMap;

/// How long the upstreams of a service count as brittle after one of them has said so, in milliseconds.
const VALIDITY_MS: Millis = 5_000;
/// The interval at which the other gateways are told that upstreams are still brittle, in milliseconds.
const RENEWAL_MS: Millis = 2_000;
/// The share of the places that is left free, since a new connection holds one for a moment.
const FREE_SHARE: u32 = 8;
/// The part of the rejections which an upstream tolerates that the gateways with a part of it cause together, and that
/// those without one do.
const USED_PART: f64 = 0.25;
/// The fewest rejections per second that an upstream is taken to tolerate.
const MIN_TOLERATED_PER_S: f64 = 0.1;
/// The shortest time between two trials of a gateway at one upstream, in milliseconds.
const MIN_TRIAL_INTERVAL_MS: Millis = 1_000;
/// When a caller is asked to return while all places are taken, in milliseconds: a typical run may have ended by then.
const PLACE_WAIT_MS: Millis = 100;

/// What the upstreams of one service say.
#[derive(Clone, Copy, Debug)]
struct Notice {
    /// The rejections per second that each of them tolerates.
    tolerated_per_s: f64,
    since: Millis,
    until: Millis,
    /// When the gateways last told each other.
    exchanged: Millis,
}

/// A bound on the requests that this gateway has open at an upstream.
#[derive(Clone, Copy, Debug)]
struct Cap {
    level: u32,
    /// Whether the upstream was full. Otherwise this gateway had no part of its places, and the bound ends when it has
    /// one.
    was_full: bool,
    /// When one request more may be tried.
    trial: Millis,
}

/// Which services have brittle upstreams, and which of these were full.
#[derive(Clone, Debug, Default)]
pub(crate) struct Brittleness {
    services: HashMap<String, Notice>,
    /// By upstream.
    caps: HashMap<String, Cap>,
}

/// What a gateway asks about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place<'a> {
    pub(crate) upstream: &'a str,
    pub(crate) service: &'a str,
    /// The requests that the upstream works on at once.
    pub(crate) slots: u32,
    /// The requests that this gateway has open there.
    pub(crate) open: u32,
}

impl Brittleness {
    /// Records that an answer of one of the service's upstreams says so. Returns whether the other gateways are to be
    /// told.
    pub(crate) fn observe(&mut self, service: &str, tolerated_per_s: f64, now: Millis) -> bool {
        let notice = self.renew(service, tolerated_per_s, now);
        let is_due = notice.since == now || now.saturating_sub(notice.exchanged) >= RENEWAL_MS;
        if is_due {
            notice.exchanged = now;
        }
        is_due
    }

    /// Records that another gateway says so. Returns whether this is new.
    pub(crate) fn record_hint(&mut self, service: &str, tolerated_per_s: f64, now: Millis) -> bool {
        let notice = self.renew(service, tolerated_per_s, now);
        notice.exchanged = now;
        notice.since == now
    }

    fn renew(&mut self, service: &str, tolerated_per_s: f64, now: Millis) -> &mut Notice {
        self.services.retain(|_, notice| now < notice.until);
        if self.services.is_empty() {
            self.caps.clear();
        }
        let notice = self.services.entry(service.to_owned()).or_insert(Notice {
            tolerated_per_s,
            since: now,
            until: now,
            exchanged: now,
        });
        notice.tolerated_per_s = tolerated_per_s.max(MIN_TOLERATED_PER_S);
        notice.until = now + VALIDITY_MS;
        notice
    }

    fn notice(&self, service: &str, now: Millis) -> Option<&Notice> {
        self.services.get(service).filter(|notice| now < notice.until)
    }

    /// Whether the upstreams of a service are brittle.
    pub(crate) fn is_brittle(&self, service: &str, now: Millis) -> bool {
        self.notice(service, now).is_some()
    }

    /// Records that a brittle upstream rejected a request, which still counts as open. Returns whether the other
    /// gateways are to be told.
    pub(crate) fn record_rejection(&mut self, place: &Place<'_>, roster: &Roster, now: Millis) -> bool {
        let Some(trial) = self.next_trial(place, roster, now) else { return false };
        let cap = Cap { level: place.open.saturating_sub(1), was_full: true, trial };
        self.caps.insert(place.upstream.to_owned(), cap).is_none() && part(place, roster, now) > 0
    }

    /// Records that another gateway was rejected.
    pub(crate) fn record_full(&mut self, place: &Place<'_>, roster: &Roster, now: Millis) {
        if let Some(trial) = self.next_trial(place, roster, now) {
            let full = Cap { level: place.open, was_full: true, trial };
            self.caps.entry(place.upstream.to_owned()).or_insert(full).was_full = true;
        }
    }

    /// Records a dispatch, which does not count as open yet.
    pub(crate) fn record_dispatch(&mut self, place: &Place<'_>, roster: &Roster, now: Millis) {
        let Some(trial) = self.next_trial(place, roster, now) else { return };
        let part = part(place, roster, now);
        if let Some(cap) = self.caps.get_mut(place.upstream) {
            if place.open >= cap.level {
                *cap = Cap { level: place.open + 1, trial, ..*cap };
            }
            if part > 0 && cap.level >= part {
                self.caps.remove(place.upstream);
            }
        } else if part == 0 {
            self.caps.insert(place.upstream.to_owned(), Cap { level: 0, was_full: false, trial });
        }
    }

    /// When this gateway may next try one request more at an upstream; `None` if it isn't brittle.
    fn next_trial(&self, place: &Place<'_>, roster: &Roster, now: Millis) -> Option<Millis> {
        let notice = self.notice(place.service, now)?;
        Some(Rounds::new(notice, place, roster, now).next_turn(now))
    }

    /// The time until this gateway may dispatch a request to an upstream, in milliseconds; 0 if it may now. It is a
    /// guess while all places are taken.
    pub(crate) fn wait_ms(&self, place: &Place<'_>, roster: &Roster, now: Millis) -> Millis {
        let Some(notice) = self.notice(place.service, now) else { return 0 };
        if !roster.knows_fleet(now) {
            return MIN_TRIAL_INTERVAL_MS;
        }
        let part = part(place, roster, now);
        let cap = match self.caps.get(place.upstream) {
            Some(cap) if cap.was_full || part == 0 => *cap,
            _ if part == 0 => {
                let trial = Rounds::new(notice, place, roster, now).turn(0);
                Cap { level: 0, was_full: false, trial }
            }
            _ => Cap { level: part, was_full: false, trial: now },
        };
        let is_trial_due = cap.trial <= now && cap.level < part.max(1);
        match cap.level + u32::from(is_trial_due) {
            0 => cap.trial - now,
            level if place.open < level => 0,
            _ => PLACE_WAIT_MS,
        }
    }
}

/// The places of an upstream that gateways use.
pub(crate) fn places(place: &Place<'_>) -> usize {
    let free = (place.slots / FREE_SHARE).max(1);
    place.slots.saturating_sub(free).max(1) as usize
}

/// This gateway's part of an upstream's places.
fn part(place: &Place<'_>, roster: &Roster, now: Millis) -> u32 {
    roster.part_when_listed(place.upstream, places(place), now) as u32
}

/// When this gateway tries one request more at an upstream. Time is divided into rounds. In each of them the gateways that
/// learnt of the brittleness at the same time have one turn each, at even distances, in another order each time.
#[derive(Clone, Copy, Debug)]
struct Rounds<'a> {
    upstream: &'a str,
    roster: &'a Roster,
    gateways: usize,
    duration_ms: Millis,
    /// When the first round began.
    since: Millis,
}

impl Rounds<'_> {
    fn new<'a>(notice: &Notice, place: &Place<'a>, roster: &'a Roster, now: Millis) -> Rounds<'a> {
        let gateways = match part(place, roster, now) {
            0 => roster.gateways(),
            _ => roster.gateways().min(places(place)),
        };
        let ms = gateways as f64 * 1_000.0 / (USED_PART * notice.tolerated_per_s);
        let duration_ms = MIN_TRIAL_INTERVAL_MS.max(ms as Millis);
        Rounds { upstream: place.upstream, roster, gateways, duration_ms, since: notice.since }
    }

    /// This gateway's turn in the round after the one at `now`.
    fn next_turn(&self, now: Millis) -> Millis {
        self.turn(now.saturating_sub(self.since) / self.duration_ms + 1)
    }

    fn turn(&self, round: u64) -> Millis {
        let order = self.roster.order(self.upstream, self.gateways, round);
        self.since + round * self.duration_ms + order as Millis * self.duration_ms / self.gateways as Millis
    }
}
