//! Limits repeated dispatches to a share of the requests over a sliding window. The limit is divided between
//! routers that share no count and may restart at any moment.
//!
//! ```
//! let bound = route::RepeatBound { ratio: 0.5, extra: 4.0, length: 10_000 };
//! let mut window = route::RepeatWindow::new(bound, 0);
//! window.set_routers(Some(2));
//! assert!(!window.try_repeat(0, 0.5), "a router that has just started may not repeat");
//! (0..8).for_each(|_| window.record_request(0));
//! assert!(window.try_repeat(0, 0.5), "requests allow repeats");
//! ```

use crate::Millis;
use std::collections::VecDeque;

// The sum of these shares is below one, since the windows of different routers are not aligned.

/// The share of the allowed repeats that is added to the token bucket as requests arrive and time passes.
const REFILL_SHARE: f64 = 0.6;
/// The share of the allowed repeats that the token bucket may hold. Repeats come in bursts, when upstreams
/// fail.
const CAPACITY_SHARE: f64 = 0.3;
/// The share of a window within which a repeat has to be sent after it was counted.
const MAX_AGE_SHARE: f64 = 0.05;
/// Scales the probability of a repeat at a router whose capacity is below one repeat. It is below one to
/// leave headroom, since the number of routers that repeat at the same time varies.
const PROBABILITY_SCALE: f64 = 0.8;
/// Requests that arrive within this time are counted in the same bucket, in milliseconds.
const BUCKET_MS: Millis = 100;

/// The bound on the repeats of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// The number of repeats allowed per request.
    pub ratio: f64,
    /// The number of repeats per window that all routers together may make beyond that.
    pub extra: f64,
    /// The length of the window, in milliseconds.
    pub length: Millis,
}

/// The counts of one router in its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatCount {
    /// The number of requests in the window.
    pub requests: u32,
    /// The number of repeats in the token bucket.
    pub available: f64,
    /// The capacity of the token bucket, in repeats.
    pub capacity: f64,
}

/// What becomes of a repeat that is about to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// It was counted recently, and may be sent.
    Current,
    /// It was counted again, and may be sent.
    Recounted,
    /// It may not be sent.
    Denied,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    at: Millis,
    requests: u32,
}

/// The repeats that one router may make for one service: a token bucket that starts empty.
///
/// Except for what the bucket held before, a router's repeats in a window were added to the bucket within
/// that window. Processes of a router that follow each other share the time and the requests, and each starts
/// with an empty bucket, so all of them together stay within the bound, however often they are restarted. Any
/// repeat that a process may make because it is new, or because it doesn't know the others, adds up over
/// restarts and routers (`tests/windows.rs`).
#[derive(Clone, Debug)]
pub struct RepeatWindow {
    bound: RepeatBound,
    routers: Option<u32>,
    started: Millis,
    buckets: VecDeque<Bucket>,
    available: f64,
    last_refill: Millis,
}

impl RepeatWindow {
    /// Creates the window of a router that started at `started`.
    pub fn new(bound: RepeatBound, started: Millis) -> RepeatWindow {
        RepeatWindow {
            bound,
            routers: None,
            started,
            buckets: VecDeque::new(),
            available: 0.0,
            last_refill: started,
        }
    }

    /// Sets the number of routers that share the extra; `None` if it is unknown. A router that does not know
    /// the others takes no part of the extra, because those others divide all of it among themselves.
    pub fn set_routers(&mut self, routers: Option<u32>) {
        self.routers = routers.map(|routers| routers.max(1));
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Millis) {
        let at = now / BUCKET_MS * BUCKET_MS;
        match self.buckets.back_mut().filter(|bucket| bucket.at == at) {
            Some(bucket) => bucket.requests += 1,
            None => self.buckets.push_back(Bucket { at, requests: 1 }),
        }
        self.refill(now);
        self.add(REFILL_SHARE * self.bound.ratio, now);
    }

    /// Counts a repeat if one is allowed, and returns whether it is. If the capacity is below one repeat, as
    /// in a large fleet or just after a start, a repeat is allowed with a probability proportional to the content of
    /// the bucket, which is emptied either way: a debt would end with the process. `chance` must be uniformly
    /// distributed between 0 and 1.
    pub fn try_repeat(&mut self, now: Millis, chance: f64) -> bool {
        self.refill(now);
        if self.available >= 1.0 {
            self.available -= 1.0;
            return true;
        }
        if self.capacity(now) >= 1.0 {
            return false;
        }
        chance < PROBABILITY_SCALE * std::mem::take(&mut self.available)
    }

    /// Decides whether a repeat that was counted at `counted` may be sent now. One that waited is counted again,
    /// because it reaches its upstream in another window. `chance` is that of [`RepeatWindow::try_repeat`].
    pub fn confirm(&mut self, counted: Millis, now: Millis, chance: f64) -> Confirmation {
        let max_age = MAX_AGE_SHARE * self.bound.length as f64;
        if now.saturating_sub(counted) as f64 <= max_age {
            return Confirmation::Current;
        }
        match self.try_repeat(now, chance) {
            true => Confirmation::Recounted,
            false => Confirmation::Denied,
        }
    }

    /// The counts of this router at `now`.
    pub fn count(&mut self, now: Millis) -> RepeatCount {
        self.refill(now);
        RepeatCount { requests: self.requests(now), available: self.available, capacity: self.capacity(now) }
    }

    /// Adds the repeats that are due for the time since the last refill.
    fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        self.add(REFILL_SHARE * self.extra(now) * elapsed as f64 / self.bound.length as f64, now);
    }

    fn add(&mut self, repeats: f64, now: Millis) {
        self.available = (self.available + repeats).min(self.capacity(now));
    }

    /// The capacity of the token bucket, in repeats.
    fn capacity(&mut self, now: Millis) -> f64 {
        CAPACITY_SHARE * (self.bound.ratio * f64::from(self.requests(now)) + self.extra(now))
    }

    /// Whether less than one window has passed since this router started.
    fn is_in_first_window(&self, now: Millis) -> bool {
        now.saturating_sub(self.started) < self.bound.length
    }

    /// This router's share of the extra. It is zero in the first window after a start, when the router does
    /// not know yet how many routers there are: routers that start together and know only themselves would
    /// exceed the bound (`tests/windows.rs`).
    fn extra(&self, now: Millis) -> f64 {
        match self.routers {
            Some(routers) if !self.is_in_first_window(now) => self.bound.extra / f64::from(routers),
            _ => 0.0,
        }
    }

    /// The number of requests in the window.
    fn requests(&mut self, now: Millis) -> u32 {
        let length = self.bound.length + BUCKET_MS;
        while self.buckets.front().is_some_and(|bucket| bucket.at + length <= now) {
            self.buckets.pop_front();
        }
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }
}
