//! The requests that wait for an upstream: by priority, then fair between teams, then by deadline.

use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The weight of a new sample in the average time between departures.
const SAMPLE: f64 = 0.1;
/// The cost of one request of a team with weight 1, in virtual time.
const STRIDE: u64 = 1_000_000;

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket<T> {
    /// What the caller of [`Line::push`] wants to have back.
    pub item: T,
    /// The team.
    pub team: String,
    /// Lower is more urgent.
    pub priority: u8,
    /// When it must have been sent.
    pub deadline: Millis,
}

/// Whether a request may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admit {
    /// It waits.
    Waiting,
    /// The line is full; come back after so many milliseconds.
    Full(Millis),
    /// It would not be sent before its deadline; come back after so many milliseconds.
    Late(Millis),
}

/// The requests that wait, of one model.
#[derive(Clone, Debug)]
pub struct Line<T> {
    most: usize,
    sequence: u64,
    tickets: BTreeMap<u64, Ticket<T>>,
    order: BTreeSet<(u8, u64, Millis, u64)>,
    keys: BTreeMap<u64, (u8, u64, Millis, u64)>,
    finish: BTreeMap<String, u64>,
    clock: u64,
    interval: f64,
    departed: Option<Millis>,
}

impl<T> Line<T> {
    /// A line for at most `most` requests.
    pub fn new(most: usize) -> Line<T> {
        Line {
            most,
            sequence: 0,
            tickets: BTreeMap::new(),
            order: BTreeSet::new(),
            keys: BTreeMap::new(),
            finish: BTreeMap::new(),
            clock: 0,
            interval: 0.0,
            departed: None,
        }
    }

    /// Changes how many may wait.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Lets a request wait, unless it would be in vain; returns its number beside the verdict.
    pub fn push(&mut self, ticket: Ticket<T>, weight: u32, now: Millis) -> (Admit, u64) {
        let ahead = self.order.iter().take_while(|key| key.0 <= ticket.priority).count();
        let wait = ((ahead + 1) as f64 * self.interval) as Millis;
        if now + wait > ticket.deadline {
            return (Admit::Late(self.drain_time()), 0);
        }
        if self.tickets.len() >= self.most && !self.displace(ticket.priority) {
            return (Admit::Full(self.drain_time()), 0);
        }
        self.sequence += 1;
        let start = self.finish.get(&ticket.team).copied().unwrap_or(0).max(self.clock);
        let finish = start + STRIDE / u64::from(weight.max(1));
        self.finish.insert(ticket.team.clone(), finish);
        let key = (ticket.priority, finish, ticket.deadline, self.sequence);
        self.order.insert(key);
        self.keys.insert(self.sequence, key);
        self.tickets.insert(self.sequence, ticket);
        (Admit::Waiting, self.sequence)
    }

    /// Whether the line would make room for a request of this priority.
    fn displace(&self, priority: u8) -> bool {
        // One more than the limit for each urgent request; the least urgent one is taken by `overflow`.
        self.order.last().is_some_and(|last| last.0 > priority)
    }

    /// Takes out the least urgent request beyond the limit.
    pub fn overflow(&mut self) -> Option<Ticket<T>> {
        if self.tickets.len() <= self.most {
            return None;
        }
        let last = self.order.last().copied()?;
        self.remove(last.3)
    }

    /// The number and content of the request that goes next.
    pub fn first(&self) -> Option<(u64, &Ticket<T>)> {
        let key = self.order.first()?;
        self.tickets.get(&key.3).map(|ticket| (key.3, ticket))
    }

    /// Takes out a request that is sent now.
    pub fn depart(&mut self, number: u64, now: Millis) -> Option<Ticket<T>> {
        let key = self.keys.get(&number).copied()?;
        self.clock = self.clock.max(key.1);
        if let Some(before) = self.departed {
            let gap = now.saturating_sub(before) as f64;
            self.interval += SAMPLE * (gap - self.interval);
        }
        self.departed = Some(now);
        let ticket = self.remove(number);
        if self.is_empty() {
            self.finish.clear();
            self.departed = None;
        }
        ticket
    }

    /// Takes out a request that no longer waits.
    pub fn remove(&mut self, number: u64) -> Option<Ticket<T>> {
        let key = self.keys.remove(&number)?;
        self.order.remove(&key);
        self.tickets.remove(&number)
    }

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Ticket<T>> {
        let late: Vec<u64> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| ticket.deadline <= now)
            .map(|(number, _)| *number)
            .collect();
        late.into_iter().filter_map(|number| self.remove(number)).collect()
    }

    /// How long the line takes to empty at its present pace.
    pub fn drain_time(&self) -> Millis {
        (self.tickets.len() as f64 * self.interval) as Millis
    }
}
