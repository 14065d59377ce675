//! What happened to each recent request, for operators.

use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

/// Shards of the records.
const SHARDS: usize = 16;

/// One thing that happened to a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Step {
    /// Milliseconds of the router's clock.
    pub at: u64,
    /// What happened.
    pub what: String,
}

/// What is known of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Record {
    /// The team and budget.
    pub budget: String,
    /// The bundle sequence under which it runs.
    pub bundle: u64,
    /// Tokens charged.
    pub charge: Option<u64>,
    /// How it ended.
    pub outcome: Option<String>,
    /// What happened, in order.
    pub steps: Vec<Step>,
}

/// The recent requests, in shards under their own locks.
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
    /// Keeps about `most` requests.
    pub(crate) fn new(shard_capacity: usize) -> Records {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Records { shards, shard_capacity: shard_capacity.div_ceil(SHARDS) }
    }

    /// Begins a request's record.
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

    /// Changes a request's record.
    pub(crate) fn update(&self, request: &str, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.shard(request).records.get_mut(request) {
            change(record);
        }
    }

    /// A request's record.
    pub(crate) fn find(&self, request: &str) -> Option<Record> {
        self.shard(request).records.get(request).cloned()
    }

    fn shard(&self, request: &str) -> std::sync::MutexGuard<'_, Shard> {
        let index = xxhash_rust::xxh3::xxh3_64(request.as_bytes()) as usize % SHARDS;
        self.shards[index].lock().expect("no thread panics while it holds the lock")
    }
}
