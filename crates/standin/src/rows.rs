//! A partitioned table service in memory, with the faults that tests need.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::rows::{Change, Commit, Feed, FeedQuery, Key, Page, Record, Rows};
use store::{Error, Fault};

/// How often a waiting watch looks for changes.
const LOOK: Duration = Duration::from_millis(5);

/// What goes wrong at the next calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RowsFault {
    /// Nothing.
    #[default]
    None,
    /// Every call fails and nothing is done.
    Down,
    /// Writes take effect, but their answers are lost.
    LostAnswers,
    /// Writes are neither answered nor done until [`TableRows::land`] is called.
    LateWrites,
    /// Watches answer that the history is gone.
    HistoryGone,
}

type Place = (String, String, String);

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Place, (u64, Option<Vec<u8>>)>,
    /// Each change of a row, in order: a watch is told of all of them, also of those that later ones replaced.
    history: Vec<(Place, u64, Option<Vec<u8>>)>,
    version: u64,
    fault: RowsFault,
    late: Vec<Change>,
    commits: u64,
    conflicts: u32,
}

impl State {
    /// Writes a row under the newest version.
    fn write(&mut self, place: Place, value: Option<Vec<u8>>) {
        self.history.push((place.clone(), self.version, value.clone()));
        self.rows.insert(place, (self.version, value));
    }
}

/// The table service; clones share their rows.
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
    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: RowsFault) {
        self.lock().fault = fault;
    }

    /// The same rows and clock without faults, for those that outlive a dead process: it goes on with the rows here.
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
        let place = (table.to_owned(), part.to_owned(), name.to_owned());
        let mut state = self.lock();
        state.version += 1;
        state.write(place, Some(value.into()));
    }

    /// Deletes a row.
    pub fn drop_row(&self, table: &str, part: &str, name: &str) {
        let place = (table.to_owned(), part.to_owned(), name.to_owned());
        let mut state = self.lock();
        state.version += 1;
        state.write(place, None);
    }

    /// The content of a row.
    pub fn get(&self, table: &str, part: &str, name: &str) -> Option<Vec<u8>> {
        let place = (table.to_owned(), part.to_owned(), name.to_owned());
        self.lock().rows.get(&place).and_then(|(_, value)| value.clone())
    }

    /// The keys of a partition of a table.
    pub fn names(&self, table: &str, part: &str) -> Vec<String> {
        let state = self.lock();
        let here =
            state.rows.iter().filter(|((t, p, _), (_, value))| t == table && p == part && value.is_some());
        here.map(|((_, _, name), _)| name.clone()).collect()
    }

    /// Lets the writes that were held back take effect now, if their conditions hold; says how many did.
    pub fn land(&self) -> usize {
        let mut state = self.lock();
        let late = std::mem::take(&mut state.late);
        late.iter().filter(|change| matches!(apply(&mut state, change), Commit::Applied(_))).count()
    }

    /// Lets so many of the next writes meet another's: they answer that their conditions failed.
    pub fn set_conflicts(&self, count: u32) {
        self.lock().conflicts = count;
    }

    /// How many writes took effect.
    pub fn commits(&self) -> u64 {
        self.lock().commits
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the rows")
    }

    fn fail(step: &'static str, fault: Fault) -> Error {
        Error { step, peer: "stand-in".to_owned(), fault, reason: "as the test asked".to_owned() }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn place(part: &str, key: &Key) -> Place {
    (key.table.clone(), part.to_owned(), key.name.clone())
}

fn apply(state: &mut State, change: &Change) -> Commit {
    let current = |key: &Key| state.rows.get(&place(&change.part, key));
    // A deleted row has the version 0 for conditions.
    let version =
        |key: &Key| current(key).filter(|(_, value)| value.is_some()).map_or(0, |(version, _)| *version);
    let meets_another = state.conflicts > 0;
    if meets_another || change.checks.iter().any(|(key, expected)| version(key) != *expected) {
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
        state.write(place(&change.part, key), Some(value.clone()));
    }
    for key in &change.drops {
        state.write(place(&change.part, key), None);
    }
    Commit::Applied(version)
}

impl Rows for TableRows {
    async fn commit(&self, change: &Change) -> Result<Commit, Error> {
        let mut state = self.lock();
        match state.fault {
            RowsFault::Down => Err(TableRows::fail("commit", Fault::NotApplied)),
            RowsFault::LateWrites => {
                state.late.push(change.clone());
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
        let here =
            state.rows.iter().filter(|((t, p, _), (_, value))| t == table && p == part && value.is_some());
        let records = here.map(|((table, _, name), (version, value))| Record {
            table: table.clone(),
            name: name.clone(),
            version: *version,
            value: value.clone(),
        });
        Ok(Page { records: records.collect(), version: state.version, now_ms: self.now_ms() })
    }

    async fn feed(&self, table: &str, since: FeedQuery) -> Result<Feed, Error> {
        let FeedQuery { after, wait_ms, most } = since;
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
            net::exec::sleep(LOOK).await;
        }
    }
}
