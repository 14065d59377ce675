//! Decides which routers hold tokens of a budget in addition to its owners.
//!
//! A balancer that assigns callers by a hash gives all requests of a heavy caller to one router. If that
//! router reserved the tokens of each request at an owner, its busiest path would cross the network for each
//! request, behind the caller's own traffic on the router's link. So a router that makes a large part of a
//! team's requests holds tokens itself.
//!
//! Each reservation at an owner states the rate of the router's requests ([`Holding`]). The owner compares it
//! with the rates of the other routers and answers whether the router may hold tokens ([`Holders`]). The
//! answer is a preference only: tokens are safe wherever they are drawn.
//!
//! ```
//! use budget::holder::{Holders, Holding, Place};
//!
//! let (mut holders, mut holding) = (Holders::default(), Holding::default());
//! for now in (0..2_000).step_by(50) {
//!     if holding.record_request(now) == Place::Owner {
//!         let may_hold = holders.record("vm-1", holding.requests_per_s(now), now);
//!         holding.record_answer(may_hold, now);
//!     }
//! }
//! assert_eq!(holding.record_request(2_000), Place::Holder);
//! ```

use std::collections::HashMap;

/// A time in milliseconds, measured by a monotonic clock.
pub type Millis = u64;

/// The part of the requests, as stated by all routers that ask one owner, from which on a router holds
/// tokens. It bounds the number of holders for each owner, and with it the writers of the pool's row.
const MIN_SHARE: f64 = 1.0 / 8.0;
/// The same part as a multiple of an equal share among the routers that ask the owner. In a small fleet an
/// eighth of the requests is no heavy caller, and if all routers were holders, the budget would be in pieces.
const MIN_EQUAL_SHARES: f64 = 2.0;
/// The part of the requests that always suffices.
const SUFFICIENT_SHARE: f64 = 0.6;
/// A holder keeps its tokens down to this fraction of that part, so that it does not change back and forth.
const KEPT_RATIO: f64 = 0.5;
/// The largest number of routers that hold tokens by the answers of one owner.
pub const MAX_HOLDERS: u64 = (1.0 / (MIN_SHARE * KEPT_RATIO)) as u64;
/// Requests per second below which a router does not hold tokens: the settlements and notes of a holder take
/// a few calls to the store each second, and the average of a lower rate varies too much.
const MIN_REQUESTS_PER_S: f64 = 8.0;
/// A holder keeps its tokens down to this rate.
const MIN_KEPT_REQUESTS_PER_S: f64 = 2.0;
/// The highest rate that is believed.
const MAX_REQUESTS_PER_S: f64 = 1e6;
/// The time constant of the average rate, in milliseconds. A heavy caller has to be seen within about a
/// second.
const AVERAGING_TIME_MS: f64 = 1_000.0;
/// What an event adds to the average rate, in events per second.
const PER_EVENT: f64 = 1_000.0 / AVERAGING_TIME_MS;
/// How long a holder goes on without asking an owner, in milliseconds.
const RENEWAL_MS: Millis = 5_000;
/// How long an owner counts a rate that is not stated again, in milliseconds: holders state theirs at each
/// renewal.
const STATED_MS: Millis = 2 * RENEWAL_MS;
/// The interval at which an owner drops the rates that are too old, in milliseconds.
const SWEEP_MS: Millis = 1_000;

/// The average rate of events.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_s: f64,
    updated: Millis,
}

impl Rate {
    fn record(&mut self, now: Millis) {
        self.per_s = self.at(now) + PER_EVENT;
        self.updated = self.updated.max(now);
    }

    fn at(&self, now: Millis) -> f64 {
        self.per_s * self.decay(now)
    }

    /// The rate without the last event.
    fn before_last(&self, now: Millis) -> f64 {
        (self.per_s - PER_EVENT).max(0.0) * self.decay(now)
    }

    fn decay(&self, now: Millis) -> f64 {
        (-(now.saturating_sub(self.updated) as f64) / AVERAGING_TIME_MS).exp()
    }
}

/// Where a router reserves the tokens of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// At an owner of the budget, which answers whether the router may hold tokens.
    Owner,
    /// At the router itself, which holds tokens.
    Holder,
}

/// One budget on a router that does not own it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Holding {
    rate: Rate,
    may_hold: bool,
    /// When an owner was last asked.
    asked: Millis,
}

impl Holding {
    /// Records a request and returns where to reserve its tokens. One request of each renewal period goes to
    /// an owner.
    pub fn record_request(&mut self, now: Millis) -> Place {
        self.rate.record(now);
        if self.may_hold && now.saturating_sub(self.asked) < RENEWAL_MS {
            return Place::Holder;
        }
        self.asked = now;
        Place::Owner
    }

    /// Records an owner's answer. Without an answer the last one stays valid. Returns whether the router
    /// begins or ceases to hold tokens.
    pub fn record_answer(&mut self, may_hold: bool, now: Millis) -> bool {
        self.asked = now;
        std::mem::replace(&mut self.may_hold, may_hold) != may_hold
    }

    /// The average rate of requests before the last one. It is stated when a request arrives; counted with
    /// that request, a router with few requests would state one per second or more, and many such routers
    /// would hide the share of a heavy caller.
    pub fn requests_per_s(&self, now: Millis) -> f64 {
        self.rate.before_last(now)
    }

    /// Whether the router may hold tokens by an owner's last answer.
    pub fn holds(&self) -> bool {
        self.may_hold
    }

    /// Whether nothing is left to remember: the router had no requests lately. Owners have forgotten its rate
    /// by then, and it asks one at its next request.
    pub fn is_idle(&self, now: Millis) -> bool {
        now.saturating_sub(self.rate.updated) > STATED_MS
    }
}

/// What one router stated to an owner.
#[derive(Clone, Copy, Debug)]
struct Stated {
    requests_per_s: f64,
    may_hold: bool,
    at: Millis,
}

/// The routers that reserve tokens of one budget at an owner.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    stated: HashMap<String, Stated>,
    /// The sum of the stated rates.
    total_per_s: f64,
    swept: Millis,
}

impl Holders {
    /// Records the rate that `router` stated, and returns whether it may hold tokens. A rate that is not
    /// plausible counts as zero.
    pub fn record(&mut self, router: &str, requests_per_s: f64, now: Millis) -> bool {
        if now.saturating_sub(self.swept) >= SWEEP_MS {
            self.swept = now;
            self.stated.retain(|_, stated| is_current(stated, now));
            self.total_per_s = self.stated.values().map(|stated| stated.requests_per_s).sum();
        }
        let is_plausible = (0.0..=MAX_REQUESTS_PER_S).contains(&requests_per_s);
        let requests_per_s = if is_plausible { requests_per_s } else { 0.0 };
        let known = self.stated.get(router).copied();
        let was_holder = known.is_some_and(|stated| stated.may_hold && is_current(&stated, now));
        self.total_per_s += requests_per_s - known.map_or(0.0, |stated| stated.requests_per_s);
        let routers = self.stated.len() + usize::from(known.is_none());
        let share = (MIN_EQUAL_SHARES / routers as f64).clamp(MIN_SHARE, SUFFICIENT_SHARE);
        let (min_share, min_rate) = match was_holder {
            true => (share * KEPT_RATIO, MIN_KEPT_REQUESTS_PER_S),
            false => (share, MIN_REQUESTS_PER_S),
        };
        let may_hold = requests_per_s >= min_rate && requests_per_s >= min_share * self.total_per_s;
        self.stated.insert(router.to_owned(), Stated { requests_per_s, may_hold, at: now });
        may_hold
    }

    /// The number of routers that may hold tokens.
    pub fn count(&self, now: Millis) -> usize {
        self.stated.values().filter(|stated| stated.may_hold && is_current(stated, now)).count()
    }
}

fn is_current(stated: &Stated, now: Millis) -> bool {
    now.saturating_sub(stated.at) < STATED_MS
}
