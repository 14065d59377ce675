//! Records of recent requests, for operators.

use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// The number of shards.
const SHARDS: usize = 16;

/// A step in the handling of a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Step {
    /// When it happened, in milliseconds of the router's clock.
    pub at: u64,
    /// What happened.
    pub what: String,
}

/// The record of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Record {
    /// The budget as `team/budget`.
    pub budget: String,
    /// The sequence of the bundle under which the request runs.
    pub bundle: u64,
    /// The tokens charged.
    pub charge: Option<u64>,
    /// The outcome: `complete` or the code of a refusal.
    pub outcome: Option<String>,
    /// The steps, in order.
    pub steps: Vec<Step>,
}

/// The records of recent requests, in shards with a lock each.
#[derive(Debug)]
pub(crate) struct Records {
    shards: Vec<Mutex<Shard>>,
    shard_capacity: usize,
}

#[derive(Debug, Default)]
struct Shard {
    records: HashMap<String, Record>,
    order: VecDeque<String>,
}

impl Records {
    /// Creates a store for about `capacity` records.
    pub(crate) fn new(capacity: usize) -> Records {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Records { shards, shard_capacity: capacity.div_ceil(SHARDS) }
    }

    /// Creates the record of a request, and drops the oldest one if the shard is full.
    pub(crate) fn begin(&self, request: &str, budget: &str, bundle: u64) {
        let mut shard = self.shard(request);
        let record = Record { budget: budget.to_owned(), bundle, charge: None, outcome: None, steps: vec![] };
        shard.records.insert(request.to_owned(), record);
        shard.order.push_back(request.to_owned());
        if shard.order.len() > self.shard_capacity
            && let Some(oldest) = shard.order.pop_front()
        {
            shard.records.remove(&oldest);
        }
    }

    /// Updates the record of a request, if it still exists.
    pub(crate) fn update(&self, request: &str, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.shard(request).records.get_mut(request) {
            change(record);
        }
    }

    /// Returns the record of a request.
    pub(crate) fn find(&self, request: &str) -> Option<Record> {
        self.shard(request).records.get(request).cloned()
    }

    fn shard(&self, request: &str) -> std::sync::MutexGuard<'_, Shard> {
        let index = xxhash_rust::xxh3::xxh3_64(request.as_bytes()) as usize % SHARDS;
        self.shards[index].lock().expect("no thread panics while it holds the lock")
    }
}
