//! Repeated dispatches as a bounded share of requests over a sliding window, split between routers that share
//! no count.
//!
//! ```
//! let mut window = route::Window::new(route::Terms { ratio: 0.5, extra: 4.0, length: 10_000 }, 0);
//! window.set_routers(Some(2));
//! (0..4).for_each(|_| window.request(9_000));
//! assert!(window.repeat(9_000), "half of its requests, less the margin");
//! assert!(!window.repeat(9_000), "a router that has just started has no part in the extra");
//! assert!(window.repeat(10_000), "later it has its share of the extra");
//! ```

use crate::Millis;
use std::collections::VecDeque;

/// The share of the allowance that is used: windows of different routers are not aligned.
const MARGIN: f64 = 0.8;
/// Repeats within one bucket are counted together, in milliseconds.
const BUCKET: Millis = 100;

/// What bounds repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond that, by all routers together.
    pub extra: f64,
    /// The length of the window, in milliseconds.
    pub length: Millis,
}

/// The sums of one router's window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Count {
    /// Requests that came.
    pub requests: u32,
    /// Repeats among the dispatches.
    pub repeats: u32,
    /// The most repeats, this router's share of the extra included.
    pub allowed: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    at: Millis,
    requests: u32,
    repeats: u32,
}

/// The recent requests and repeats of one router for one service.
#[derive(Clone, Debug)]
pub struct Window {
    terms: Terms,
    routers: Option<u32>,
    started: Millis,
    buckets: VecDeque<Bucket>,
}

impl Window {
    /// An empty window of a router that started at `started`.
    pub fn new(terms: Terms, started: Millis) -> Window {
        Window { terms, routers: None, started, buckets: VecDeque::new() }
    }

    /// How many routers share the extra; `None` if that is not known: those that it does not know of divide the extra
    /// among themselves.
    pub fn set_routers(&mut self, routers: Option<u32>) {
        self.routers = routers.map(|routers| routers.max(1));
    }

    /// Counts a request.
    pub fn request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Counts a repeat, if one is allowed.
    pub fn repeat(&mut self, now: Millis) -> bool {
        let Count { repeats, allowed, .. } = self.count(now);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// What this router counted, and what it may repeat by that.
    pub fn count(&mut self, now: Millis) -> Count {
        let (requests, repeats) = self.sums(now);
        let allowed = MARGIN * (self.terms.ratio * f64::from(requests) + self.extra(now));
        Count { requests, repeats, allowed }
    }

    /// This router's share of the extra. None in the first window of its life: it does not know what its earlier life used, nor
    /// yet how many routers there are. With half of it at once, eight routers that start together and know only themselves for
    /// 1.5 s reach 2.45 times what is allowed (`tests/windows.rs`).
    fn extra(&self, now: Millis) -> f64 {
        match self.routers {
            Some(routers) if now.saturating_sub(self.started) >= self.terms.length => {
                self.terms.extra / f64::from(routers)
            }
            _ => 0.0,
        }
    }

    fn sums(&mut self, now: Millis) -> (u32, u32) {
        let length = self.terms.length + BUCKET;
        while self.buckets.front().is_some_and(|bucket| bucket.at + length <= now) {
            self.buckets.pop_front();
        }
        let sum = |read: fn(&Bucket) -> u32| self.buckets.iter().map(read).sum();
        (sum(|bucket| bucket.requests), sum(|bucket| bucket.repeats))
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let at = now / BUCKET * BUCKET;
        if self.buckets.back().is_none_or(|bucket| bucket.at != at) {
            self.buckets.push_back(Bucket { at, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
