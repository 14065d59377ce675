//! A model of an engine with continuous batching: slots, a priority queue, a prefix cache and a token rate.

use std::collections::{BTreeMap, VecDeque};

/// The largest number of runs in a batch.
pub const SLOTS: u32 = 8;
/// The number of prefixes in the cache.
const CACHE_CAPACITY: usize = 24;
/// The time for each prompt token, and for each generated token, in microseconds.
const PROMPT_US: u64 = 150;
const TOKEN_US: u64 = 20_000;
/// The share of the time to read a prompt that remains if its prefix is cached.
const CACHED_SHARE: f64 = 0.1;

/// A run on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: usize,
    pub priority: u8,
    pub prompt: u64,
    pub tokens: u64,
    pub prefix: u64,
}

/// The times of a run's first token and of its end, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct RunTimes {
    pub first: u64,
    pub end: u64,
}

/// An engine and its state.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub running: u32,
    pub is_down: bool,
    pub slowdown: f64,
    queue: BTreeMap<(u8, u64), Run>,
    arrivals: u64,
    cache: VecDeque<u64>,
    pub cache_hits: u64,
    pub cache_lookups: u64,
    pub overrun_ms: u64,
    last_change: u64,
}

impl Engine {
    pub fn new() -> Engine {
        Engine { slowdown: 1.0, ..Engine::default() }
    }

    pub fn busy(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    /// Starts a run and returns its times, or queues it if no slot is free.
    pub fn accept(&mut self, run: Run, now: u64) -> Option<RunTimes> {
        self.update_overrun(now);
        if self.running < SLOTS {
            return Some(self.start(&run, now));
        }
        self.arrivals += 1;
        self.queue.insert((run.priority, self.arrivals), run);
        None
    }

    /// Completes a run. If another one was queued, starts it and returns it with its times.
    pub fn complete(&mut self, now: u64) -> Option<(Run, RunTimes)> {
        self.update_overrun(now);
        self.running -= 1;
        let (_, run) = self.queue.pop_first()?;
        let times = self.start(&run, now);
        Some((run, times))
    }

    fn update_overrun(&mut self, now: u64) {
        self.overrun_ms += (now - self.last_change) * self.queue.len() as u64;
        self.last_change = now;
    }

    fn start(&mut self, run: &Run, now: u64) -> RunTimes {
        self.running += 1;
        self.cache_lookups += 1;
        let cached = self.cache.iter().position(|prefix| *prefix == run.prefix);
        let share = match cached {
            Some(position) => {
                self.cache.remove(position);
                self.cache_hits += 1;
                CACHED_SHARE
            }
            None => 1.0,
        };
        self.cache.push_back(run.prefix);
        if self.cache.len() > CACHE_CAPACITY {
            self.cache.pop_front();
        }
        let prompt = (run.prompt * PROMPT_US) as f64 * share * self.slowdown / 1_000.0;
        let token = TOKEN_US as f64 * self.slowdown / 1_000.0;
        let first = now + (prompt + token) as u64;
        RunTimes { first, end: first + (token * run.tokens as f64) as u64 }
    }

    /// Whether a prefix is cached, for the events that routers receive.
    pub fn is_cached(&self, prefix: u64) -> bool {
        self.cache.contains(&prefix)
    }
}

/// The time for which a request occupies a slot if its prefix is not cached, in milliseconds.
pub fn service_ms(prompt: u64, tokens: u64) -> f64 {
    (prompt * PROMPT_US + (tokens + 1) * TOKEN_US) as f64 / 1_000.0
}
