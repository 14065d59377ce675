//! A fair queue of the requests that wait for an upstream, ordered by priority, then by weighted fair queuing
//! between teams, then by deadline.

use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The weight of a new sample in the average time between departures.
const INTERVAL_WEIGHT: f64 = 0.1;
/// The cost, in virtual time, of one request of a team with weight 1.
const STRIDE: u64 = 1_000_000;

/// A waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest<T> {
    /// The caller's value, returned when the request leaves the queue.
    pub item: T,
    /// The team that sent the request.
    pub team: String,
    /// The priority; lower values are more urgent.
    pub priority: u8,
    /// The time by which the request must be dispatched.
    pub deadline: Millis,
}

/// The result of adding a request to the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The request is queued.
    Waiting,
    /// The queue is full; the caller may retry after this many milliseconds.
    Full(Millis),
    /// The request would not be dispatched before its deadline; the caller may retry after this many
    /// milliseconds.
    Late(Millis),
}

/// The waiting requests of one model.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    sequence: u64,
    requests: BTreeMap<u64, QueuedRequest<T>>,
    order: BTreeSet<(u8, u64, Millis, u64)>,
    keys: BTreeMap<u64, (u8, u64, Millis, u64)>,
    finish_times: BTreeMap<String, u64>,
    virtual_time: u64,
    departure_interval_ms: f64,
    last_departure: Option<Millis>,
}

impl<T> FairQueue<T> {
    /// Creates a queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> FairQueue<T> {
        FairQueue {
            capacity,
            sequence: 0,
            requests: BTreeMap::new(),
            order: BTreeSet::new(),
            keys: BTreeMap::new(),
            finish_times: BTreeMap::new(),
            virtual_time: 0,
            departure_interval_ms: 0.0,
            last_departure: None,
        }
    }

    /// Changes the number of requests that may wait.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request, unless the queue is full or the request would probably miss its deadline. Returns the
    /// outcome and the number of the request, or 0 if it was not added.
    pub fn push(&mut self, request: QueuedRequest<T>, weight: u32, now: Millis) -> (PushOutcome, u64) {
        let ahead = self.order.iter().take_while(|key| key.0 <= request.priority).count();
        let wait_ms = ((ahead + 1) as f64 * self.departure_interval_ms) as Millis;
        if now + wait_ms > request.deadline {
            return (PushOutcome::Late(self.drain_ms()), 0);
        }
        if self.requests.len() >= self.capacity && !self.can_displace(request.priority) {
            return (PushOutcome::Full(self.drain_ms()), 0);
        }
        self.sequence += 1;
        let start = self.finish_times.get(&request.team).copied().unwrap_or(0).max(self.virtual_time);
        let finish = start + STRIDE / u64::from(weight.max(1));
        self.finish_times.insert(request.team.clone(), finish);
        let key = (request.priority, finish, request.deadline, self.sequence);
        self.order.insert(key);
        self.keys.insert(self.sequence, key);
        self.requests.insert(self.sequence, request);
        (PushOutcome::Waiting, self.sequence)
    }

    /// Whether a request of this priority may displace a less urgent one.
    fn can_displace(&self, priority: u8) -> bool {
        // The queue then holds one request more than its capacity until `pop_overflow` removes the least
        // urgent one.
        self.order.last().is_some_and(|last| last.0 > priority)
    }

    /// Removes the least urgent request if the queue exceeds its capacity.
    pub fn pop_overflow(&mut self) -> Option<QueuedRequest<T>> {
        if self.requests.len() <= self.capacity {
            return None;
        }
        let last = self.order.last().copied()?;
        self.remove(last.3)
    }

    /// The number and content of the next request.
    pub fn peek(&self) -> Option<(u64, &QueuedRequest<T>)> {
        let key = self.order.first()?;
        self.requests.get(&key.3).map(|request| (key.3, request))
    }

    /// Removes a request that is dispatched now, and updates the virtual time and the average time between
    /// departures.
    pub fn depart(&mut self, number: u64, now: Millis) -> Option<QueuedRequest<T>> {
        let key = self.keys.get(&number).copied()?;
        self.virtual_time = self.virtual_time.max(key.1);
        if let Some(previous) = self.last_departure {
            let gap_ms = now.saturating_sub(previous) as f64;
            self.departure_interval_ms += INTERVAL_WEIGHT * (gap_ms - self.departure_interval_ms);
        }
        self.last_departure = Some(now);
        self.remove(number)
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, number: u64) -> Option<QueuedRequest<T>> {
        let key = self.keys.remove(&number)?;
        self.order.remove(&key);
        let request = self.requests.remove(&number);
        if self.is_empty() {
            // The time until the next departure depends on when requests arrive, not on how fast they leave.
            self.finish_times.clear();
            self.last_departure = None;
        }
        request
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<QueuedRequest<T>> {
        let expired: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.deadline <= now)
            .map(|(number, _)| *number)
            .collect();
        expired.into_iter().filter_map(|number| self.remove(number)).collect()
    }

    /// The time that the queue takes to drain at its current rate, in milliseconds.
    pub fn drain_ms(&self) -> Millis {
        (self.requests.len() as f64 * self.departure_interval_ms) as Millis
    }
}
