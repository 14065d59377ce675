//! The interface of a partitioned table service, in which the gateway keeps its state.
//!
//! A transaction is limited to one partition. Row versions come from a single counter that increases with
//! every transaction, so the higher of two versions of a row is the later one.

use crate::Error;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The key of a row within a partition.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The table.
    pub table: String,
    /// The key within the table and the partition.
    pub name: String,
}

impl Key {
    /// Creates a key.
    pub fn new(table: impl Into<String>, name: impl Into<String>) -> Key {
        Key { table: table.into(), name: name.into() }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The table; empty if the answer does not repeat it.
    pub table: String,
    /// The key.
    pub name: String,
    /// The version of the last write; 0 if the row does not exist.
    pub version: u64,
    /// The content; `None` if the row does not exist.
    pub value: Option<Vec<u8>>,
}

/// A conditional, atomic change of one partition.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The partition.
    pub part: String,
    /// Rows and the versions that they must have; 0 for a row that must not exist.
    pub checks: Vec<(Key, u64)>,
    /// The rows to write, with their content.
    pub puts: Vec<(Key, Vec<u8>)>,
    /// The rows to delete.
    pub drops: Vec<Key>,
}

/// The outcome of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Commit {
    /// The change was applied. The written rows have this version.
    Applied(u64),
    /// A check failed, and nothing was written. Contains the current state of the checked rows.
    Conflict(Vec<Record>),
}

/// A consistent snapshot of rows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The rows, in the order of their keys or of their changes.
    pub records: Vec<Record>,
    /// The newest version in the store at that time.
    pub version: u64,
    /// The store's monotonic clock at that time, in milliseconds.
    pub now_ms: u64,
}

/// The result of [`Rows::feed`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Feed {
    /// The rows that changed after the given version, in order; none if the wait timed out.
    Changes(Page),
    /// The store no longer has the changes since that version, so the whole table must be read.
    Lost,
    /// The changes exceed the requested size. Reading the whole table may take fewer bytes.
    Long,
}

/// The parameters of [`Rows::feed`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedQuery {
    /// Only changes after this version are returned.
    pub after: u64,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// The maximum size of the answer, in bytes as they are sent. Each version of a row counts, including
    /// those that were replaced later.
    pub most: usize,
}

/// Counts the bytes of an answer that were received so far, which distinguishes a slow answer from a lost
/// one.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<AtomicU64>);

impl Progress {
    /// Adds the number of bytes received.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Whether both are clones that count the same answer.
    pub fn is_same(&self, other: &Progress) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// The number of bytes received so far.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A partitioned table service.
pub trait Rows: Clone + Send + Sync + 'static {
    /// Executes a change.
    fn commit(&self, change: &Change) -> impl Future<Output = Result<Commit, Error>> + Send;

    /// Reads all rows of a table in one partition.
    fn list(&self, table: &str, part: &str) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Waits for changes to a table.
    fn feed(&self, table: &str, query: FeedQuery) -> impl Future<Output = Result<Feed, Error>> + Send;

    /// Returns the same service with `progress` counting the bytes of answers to reads. The default
    /// implementation counts nothing.
    #[must_use]
    fn with_progress(&self, progress: &Progress) -> Self {
        let _ = progress;
        self.clone()
    }
}
