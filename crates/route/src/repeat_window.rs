//! Repeated dispatches as a bounded share of requests over a sliding window, split between routers that share
//! no count and may start anew at any moment.
//!
//! ```
//! let mut window = route::RepeatWindow::new(route::RepeatBound { ratio: 0.5, extra: 4.0, length: 10_000 }, 0);
//! window.set_routers(Some(2));
//! assert!(window.repeat(0, 0.5), "a router that has just started may repeat once");
//! assert!(!window.repeat(0, 0.5));
//! (0..4).for_each(|_| window.request(0));
//! assert!(window.repeat(0, 0.5), "requests allow further repeats");
//! ```

use crate::Millis;
use std::collections::VecDeque;

// The sum of both parts is below one, since windows of different routers are not aligned.

/// The part of what is allowed that comes in as requests come and time passes.
const FLOW: f64 = 0.6;
/// The part of what is allowed that may have gathered before: repeats come in bursts, as upstreams fail.
const GATHERED: f64 = 0.3;
/// What a life of a router starts with: so that the first request that fails is tried again.
const START: f64 = 1.0;
/// Scales the probability of a repeat at a router whose capacity is below one repeat. It is below one to leave headroom,
/// since the number of routers that repeat at the same time varies.
const PROBABILITY_SCALE: f64 = 0.8;
/// Requests within one bucket are counted together, in milliseconds.
const BUCKET: Millis = 100;

/// What bounds repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond that, by all routers together.
    pub extra: f64,
    /// The length of the window, in milliseconds.
    pub length: Millis,
}

/// What one router counted in its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatCount {
    /// Requests that came.
    pub requests: u32,
    /// Repeats that are left.
    pub available: f64,
    /// The most that may be left.
    pub capacity: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    at: Millis,
    requests: u32,
}

/// What one router may repeat for one service: a token bucket that starts almost empty.
///
/// Whatever a router repeats in a window came in within it, but for what had gathered before. Lives of a router that follow
/// each other share the time and the requests, and each starts with next to nothing; so all of them together stay within the
/// bound, also if they are killed in series. Counts of a window that each life starts anew would pass it when a fleet is restarted at once
/// while upstreams refuse (`tests/windows.rs`).
#[derive(Clone, Debug)]
pub struct RepeatWindow {
    terms: RepeatBound,
    routers: Option<u32>,
    started: Millis,
    buckets: VecDeque<Bucket>,
    left: f64,
    filled: Millis,
}

impl RepeatWindow {
    /// The window of a router that started at `started`.
    pub fn new(terms: RepeatBound, started: Millis) -> RepeatWindow {
        RepeatWindow { terms, routers: None, started, buckets: VecDeque::new(), left: START, filled: started }
    }

    /// How many routers share the extra; `None` if that is not known: those that it does not know of divide the extra
    /// among themselves.
    pub fn set_routers(&mut self, routers: Option<u32>) {
        self.routers = routers.map(|routers| routers.max(1));
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Millis) {
        let at = now / BUCKET * BUCKET;
        match self.buckets.back_mut().filter(|bucket| bucket.at == at) {
            Some(bucket) => bucket.requests += 1,
            None => self.buckets.push_back(Bucket { at, requests: 1 }),
        }
        self.fill(now);
        self.add(FLOW * self.terms.ratio, now);
    }

    /// Counts a repeat if one is allowed, and returns whether it is. If the capacity is below one repeat, as in a large fleet,
    /// a repeat is allowed with a probability proportional to what is left, which may then become negative. `chance` must be
    /// uniformly distributed between 0 and 1.
    pub fn try_repeat(&mut self, now: Millis, chance: f64) -> bool {
        self.fill(now);
        let is_sampled = self.most(now) < 1.0 && chance < PROBABILITY_SCALE * self.left;
        let is_allowed = self.left >= 1.0 || is_sampled;
        self.left -= f64::from(u8::from(is_allowed));
        is_allowed
    }

    /// What this router counted, and what it may repeat by that.
    pub fn count(&mut self, now: Millis) -> RepeatCount {
        self.fill(now);
        RepeatCount { requests: self.requests(now), available: self.left, capacity: self.most(now) }
    }

    /// Takes in what came in with the time.
    fn fill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.filled);
        self.filled = self.filled.max(now);
        self.add(FLOW * self.extra(now) * elapsed as f64 / self.terms.length as f64, now);
    }

    fn add(&mut self, repeats: f64, now: Millis) {
        self.left = (self.left + repeats).min(self.most(now));
    }

    /// The capacity of the token bucket, in repeats.
    fn most(&mut self, now: Millis) -> f64 {
        let allowed = self.terms.ratio * f64::from(self.requests(now)) + self.extra(now);
        (GATHERED * allowed).max(self.min_capacity(now))
    }

    /// The lower bound of the capacity. It is one repeat in the first window and while the number of routers is unknown, so
    /// that a router with few requests can repeat at all. Otherwise it is limited to the part of this router's share of the
    /// extra that may gather: a large fleet would exceed the bound if each router could hold one repeat.
    fn min_capacity(&self, now: Millis) -> f64 {
        match self.routers {
            Some(_) if !self.is_in_first_window(now) => (GATHERED * self.extra(now)).min(START),
            _ => START,
        }
    }

    /// Whether less than one window has passed since this router started.
    fn is_in_first_window(&self, now: Millis) -> bool {
        now.saturating_sub(self.started) < self.terms.length
    }

    /// This router's share of the extra. None in the first window of its life, when it does not know yet how many routers there
    /// are: some that start together and know only themselves would pass the bound
    /// (`tests/windows.rs`).
    fn extra(&self, now: Millis) -> f64 {
        match self.routers {
            Some(routers) if !self.is_in_first_window(now) => self.terms.extra / f64::from(routers),
            _ => 0.0,
        }
    }

    /// Requests in the window.
    fn requests(&mut self, now: Millis) -> u32 {
        let length = self.terms.length + BUCKET;
        while self.buckets.front().is_some_and(|bucket| bucket.at + length <= now) {
            self.buckets.pop_front();
        }
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }
}
