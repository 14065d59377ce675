//! A partitioned table service in memory, with faults that a test can set.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::rows::{Change, Commit, Feed, FeedQuery, Key, Page, Record, Rows};
use store::{Error, Fault};

/// The interval at which a waiting feed checks for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A fault that affects all calls until it is changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RowsFault {
    /// Calls succeed.
    #[default]
    None,
    /// Every call fails without effect.
    Down,
    /// Writes take effect, but the client gets an error instead of the answer.
    LostAnswers,
    /// Writes fail with an unknown outcome and take effect only when [`TableRows::apply_late_writes`] is
    /// called.
    LateWrites,
    /// Feeds answer that the history is gone.
    HistoryGone,
}

type RowKey = (String, String, String);

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, (u64, Option<Vec<u8>>)>,
    /// Each change of a row, in order. A feed reports all of them, also those that later ones replaced.
    history: Vec<(RowKey, u64, Option<Vec<u8>>)>,
    version: u64,
    fault: RowsFault,
    late_writes: Vec<Change>,
    commits: u64,
    conflicts: u32,
}

impl State {
    /// Writes a row with the current version of the table service.
    fn write(&mut self, row_key: RowKey, value: Option<Vec<u8>>) {
        self.history.push((row_key.clone(), self.version, value.clone()));
        self.rows.insert(row_key, (self.version, value));
    }
}

/// A table service; clones share their rows.
#[derive(Clone, Debug)]
pub struct TableRows {
    state: Arc<Mutex<State>>,
    started: Instant,
}

impl Default for TableRows {
    fn default() -> TableRows {
        TableRows { state: Arc::default(), started: Instant::now() }
    }
}

impl TableRows {
    /// Sets the fault that affects calls from now on.
    pub fn set_fault(&self, fault: RowsFault) {
        self.lock().fault = fault;
    }

    /// Creates an independent copy with the same rows and clock and without a fault. A test of a crash
    /// gives the copy to the next gateway, while the tasks of the crashed one still use the original.
    pub fn snapshot(&self) -> TableRows {
        let (rows, history, version) = {
            let state = self.lock();
            (state.rows.clone(), state.history.clone(), state.version)
        };
        let state = State { rows, history, version, ..State::default() };
        TableRows { state: Arc::new(Mutex::new(state)), started: self.started }
    }

    /// Writes a row without conditions, as the platform or an operator does.
    pub fn put(&self, table: &str, part: &str, name: &str, value: impl Into<Vec<u8>>) {
        let row_key = (table.to_owned(), part.to_owned(), name.to_owned());
        let mut state = self.lock();
        state.version += 1;
        state.write(row_key, Some(value.into()));
    }

    /// Deletes a row.
    pub fn delete(&self, table: &str, part: &str, name: &str) {
        let row_key = (table.to_owned(), part.to_owned(), name.to_owned());
        let mut state = self.lock();
        state.version += 1;
        state.write(row_key, None);
    }

    /// The content of a row; `None` if it does not exist.
    pub fn get(&self, table: &str, part: &str, name: &str) -> Option<Vec<u8>> {
        let row_key = (table.to_owned(), part.to_owned(), name.to_owned());
        self.lock().rows.get(&row_key).and_then(|(_, value)| value.clone())
    }

    /// The names of the rows in a partition of a table.
    pub fn names(&self, table: &str, part: &str) -> Vec<String> {
        let state = self.lock();
        let matching =
            state.rows.iter().filter(|((t, p, _), (_, value))| t == table && p == part && value.is_some());
        matching.map(|((_, _, name), _)| name.clone()).collect()
    }

    /// Applies the writes that [`RowsFault::LateWrites`] held back, if their conditions hold, and returns the
    /// number of those applied.
    pub fn apply_late_writes(&self) -> usize {
        let mut state = self.lock();
        let late_writes = std::mem::take(&mut state.late_writes);
        late_writes.iter().filter(|change| matches!(apply(&mut state, change), Commit::Applied(_))).count()
    }

    /// Makes the next `count` writes fail as if another client had changed a row that they check.
    pub fn set_conflicts(&self, count: u32) {
        self.lock().conflicts = count;
    }

    /// The number of writes that took effect.
    pub fn commits(&self) -> u64 {
        self.lock().commits
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the rows")
    }

    fn fail(step: &'static str, fault: Fault) -> Error {
        Error { step, peer: "stand-in".to_owned(), fault, reason: "fault set by the test".to_owned() }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn row_key(part: &str, key: &Key) -> RowKey {
    (key.table.clone(), part.to_owned(), key.name.clone())
}

fn apply(state: &mut State, change: &Change) -> Commit {
    let current = |key: &Key| state.rows.get(&row_key(&change.part, key));
    // Conditions treat a deleted row as version 0, like a row that never existed.
    let version =
        |key: &Key| current(key).filter(|(_, value)| value.is_some()).map_or(0, |(version, _)| *version);
    let is_forced_conflict = state.conflicts > 0;
    if is_forced_conflict || change.checks.iter().any(|(key, expected)| version(key) != *expected) {
        let records = change.checks.iter().filter_map(|(key, _)| {
            let (version, value) = current(key)?.clone();
            value.is_some().then(|| Record {
                table: key.table.clone(),
                name: key.name.clone(),
                version,
                value,
            })
        });
        let records = records.collect();
        state.conflicts = state.conflicts.saturating_sub(1);
        return Commit::Conflict(records);
    }
    state.version += 1;
    state.commits += 1;
    let version = state.version;
    for (key, value) in &change.puts {
        state.write(row_key(&change.part, key), Some(value.clone()));
    }
    for key in &change.drops {
        state.write(row_key(&change.part, key), None);
    }
    Commit::Applied(version)
}

impl Rows for TableRows {
    async fn commit(&self, change: &Change) -> Result<Commit, Error> {
        let mut state = self.lock();
        match state.fault {
            RowsFault::Down => Err(TableRows::fail("commit", Fault::NotApplied)),
            RowsFault::LateWrites => {
                state.late_writes.push(change.clone());
                Err(TableRows::fail("commit", Fault::Unknown))
            }
            RowsFault::LostAnswers => {
                apply(&mut state, change);
                Err(TableRows::fail("commit", Fault::Unknown))
            }
            RowsFault::None | RowsFault::HistoryGone => Ok(apply(&mut state, change)),
        }
    }

    async fn list(&self, table: &str, part: &str) -> Result<Page, Error> {
        let state = self.lock();
        if state.fault == RowsFault::Down {
            return Err(TableRows::fail("list", Fault::NotApplied));
        }
        let matching =
            state.rows.iter().filter(|((t, p, _), (_, value))| t == table && p == part && value.is_some());
        let records = matching.map(|((table, _, name), (version, value))| Record {
            table: table.clone(),
            name: name.clone(),
            version: *version,
            value: value.clone(),
        });
        Ok(Page { records: records.collect(), version: state.version, now_ms: self.now_ms() })
    }

    async fn feed(&self, table: &str, query: FeedQuery) -> Result<Feed, Error> {
        let FeedQuery { after, wait_ms, most } = query;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let state = self.lock();
                match state.fault {
                    RowsFault::Down => return Err(TableRows::fail("feed", Fault::NotApplied)),
                    RowsFault::HistoryGone => return Ok(Feed::Lost),
                    _ => {}
                }
                let newer = state.history.iter().rev().take_while(|(_, version, _)| *version > after);
                let changed = newer.filter(|((t, _, _), _, _)| t == table);
                let mut records: Vec<Record> = changed
                    .map(|((table, _, name), version, value)| Record {
                        table: table.clone(),
                        name: name.clone(),
                        version: *version,
                        value: value.clone(),
                    })
                    .collect();
                records.reverse();
                let length: usize =
                    records.iter().filter_map(|record| record.value.as_ref()).map(Vec::len).sum();
                if length > most {
                    return Ok(Feed::Long);
                }
                if !records.is_empty() || Instant::now() >= until {
                    return Ok(Feed::Changes(Page {
                        records,
                        version: state.version,
                        now_ms: self.now_ms(),
                    }));
                }
            }
            net::exec::sleep(FEED_POLL_INTERVAL).await;
        }
    }
}
