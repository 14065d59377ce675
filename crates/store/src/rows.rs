//! A table service whose rows stand in partitions: the port that the gateway keeps its state in.
//!
//! A transaction touches one partition only. Row versions come from one counter that rises with every
//! transaction, so of two versions of a row the higher is always the later.

use crate::Error;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Where a row stands.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The table.
    pub table: String,
    /// The key within the transaction's partition.
    pub name: String,
}

impl Key {
    /// A row's place.
    pub fn new(table: impl Into<String>, name: impl Into<String>) -> Key {
        Key { table: table.into(), name: name.into() }
    }
}

/// One row as it was read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Its table; empty where the answer does not repeat it.
    pub table: String,
    /// Its key.
    pub name: String,
    /// The version of its last write; 0 if the row does not exist.
    pub version: u64,
    /// Its bytes; `None` if the row does not exist.
    pub value: Option<Vec<u8>>,
}

/// A conditional change of one partition: all of it or nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The partition.
    pub part: String,
    /// The version that each of these rows must have; 0 for a row that must not exist.
    pub checks: Vec<(Key, u64)>,
    /// Rows to write.
    pub puts: Vec<(Key, Vec<u8>)>,
    /// Rows to delete.
    pub drops: Vec<Key>,
}

/// The outcome of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Commit {
    /// It took effect; the rows written have this version.
    Applied(u64),
    /// A condition failed and nothing was written; the rows of the conditions as they are.
    Conflict(Vec<Record>),
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The rows, in the order of their keys or of their changes.
    pub records: Vec<Record>,
    /// The store's newest version at that moment.
    pub version: u64,
    /// The store's steady clock, in milliseconds.
    pub now_ms: u64,
}

/// What a watch of a table returned.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Feed {
    /// The rows that changed since, in order; none if the wait ended first.
    Changes(Page),
    /// The changes since then are forgotten: the table must be read whole.
    Lost,
    /// The changes since then are longer than what was asked for; the table may be shorter.
    Long,
}

/// What a watch of a table asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedQuery {
    /// Changes after this version.
    pub after: u64,
    /// How long to wait for one, in milliseconds.
    pub wait_ms: u64,
    /// The longest answer that is worth reading, in bytes as they are sent: each version of a row counts, also those that
    /// later ones replaced.
    pub most: usize,
}

/// How many bytes of an answer have come: with it, one that is on its way is told from one that is lost.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<AtomicU64>);

impl Progress {
    /// Takes in that so many bytes came.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Whether both count the same answer.
    pub fn is_same(&self, other: &Progress) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// The bytes so far.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The partitioned table service.
pub trait Rows: Clone + Send + Sync + 'static {
    /// Carries out a change.
    fn commit(&self, change: &Change) -> impl Future<Output = Result<Commit, Error>> + Send;

    /// Reads every row of a partition of a table.
    fn list(&self, table: &str, part: &str) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Waits for rows of a table that changed.
    fn feed(&self, table: &str, since: FeedQuery) -> impl Future<Output = Result<Feed, Error>> + Send;

    /// The same service, which tells `progress` of the bytes that answers to reads bring, if it can.
    #[must_use]
    fn with_progress(&self, progress: &Progress) -> Self {
        let _ = progress;
        self.clone()
    }
}
