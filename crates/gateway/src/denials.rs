//! Denied requests as the store keeps them, for gateways that start and for operators.
//!
//! A row's key is the request's fingerprint. A row whose denial was lifted stays until its time is over, so that gateways which read the table
//! late learn of it too.

use crate::table::{decode, encode};
use route::Millis;
use route::quarantine::{DENIED_MS, Fingerprint, Upstreams};
use serde::{Deserialize, Serialize};
use store::rows::{Change, Key, Page, Record, Rows};

/// The table of denied requests.
const TABLE: &str = "quarantine";

/// A row of the table.
#[derive(Debug, Deserialize, Serialize)]
struct Entry {
    /// Upstreams that ended under the request.
    upstreams: Upstreams,
    /// When it was denied or lifted, or came again, in milliseconds of the store's clock.
    since_ms: u64,
    /// Whether an operator lifted the denial.
    #[serde(default)]
    lifted: bool,
}

/// A denied request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Denial {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Upstreams that ended under it.
    pub upstreams: Upstreams,
    /// How long it is still denied, in milliseconds.
    pub left_ms: Millis,
    /// Whether an operator lifted the denial.
    pub is_lifted: bool,
}

/// The table as of one moment.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub denials: Vec<Denial>,
    /// Rows whose time is over.
    over: Vec<String>,
    /// The newest version of a row; 0 if there is none.
    pub version: u64,
    now_ms: u64,
}

/// Selector denials an operator lifts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selector {
    /// All of them.
    All,
    /// That of one request.
    One(Fingerprint),
}

/// The requests that are denied.
///
/// # Errors
/// Fails if the store can't be read.
pub async fn list(rows: &impl Rows) -> Result<Vec<Denial>, store::Error> {
    let table = read(rows).await?;
    Ok(table.denials.into_iter().filter(|denial| !denial.is_lifted).collect())
}

/// Lifts denials; those that were. Gateways follow within seconds.
///
/// # Errors
/// Fails if the store can't be read or written.
pub async fn lift(rows: &impl Rows, which: Selector) -> Result<Vec<Denial>, store::Error> {
    let table = read(rows).await?;
    let is_named =
        |denial: &Denial| matches!(which, Selector::All) || which == Selector::One(denial.fingerprint);
    let is_meant = |denial: &Denial| !denial.is_lifted && is_named(denial);
    let (now_ms, over) = (table.now_ms, table.over);
    let lifted: Vec<Denial> = table.denials.into_iter().filter(is_meant).collect();
    if lifted.is_empty() {
        return Ok(lifted);
    }
    let put = |denial: &Denial| {
        let entry = Entry { upstreams: denial.upstreams.clone(), since_ms: now_ms, lifted: true };
        (key(denial.fingerprint.to_string()), encode(&entry))
    };
    let puts = lifted.iter().map(put).collect();
    write(rows, puts, over).await?;
    Ok(lifted)
}

/// Reads the table.
pub(crate) async fn read(rows: &impl Rows) -> Result<Table, store::Error> {
    Ok(table(&rows.list(TABLE, "").await?))
}

/// Writes a denied request's row, and takes away those whose time is over.
pub(crate) async fn insert(
    rows: &impl Rows,
    fingerprint: Fingerprint,
    upstreams: &Upstreams,
) -> Result<(), store::Error> {
    let table = read(rows).await?;
    let entry = Entry { upstreams: upstreams.clone(), since_ms: table.now_ms, lifted: false };
    write(rows, vec![(key(fingerprint.to_string()), encode(&entry))], table.over).await
}

async fn write(rows: &impl Rows, puts: Vec<(Key, Vec<u8>)>, over: Vec<String>) -> Result<(), store::Error> {
    let is_written = |name: &String| puts.iter().any(|(key, _)| key.name == *name);
    let drops = over.into_iter().filter(|name| !is_written(name)).map(key).collect();
    rows.commit(&Change { puts, drops, ..Change::default() }).await?;
    Ok(())
}

fn key(name: String) -> Key {
    Key::new(TABLE, name)
}

fn table(page: &Page) -> Table {
    let mut table = Table { now_ms: page.now_ms, ..Table::default() };
    for record in &page.records {
        table.version = table.version.max(record.version);
        match denial(record, page.now_ms) {
            Some(denial) if denial.left_ms > 0 => table.denials.push(denial),
            Some(_) => table.over.push(record.name.clone()),
            None => {}
        }
    }
    table
}

fn denial(record: &Record, now_ms: u64) -> Option<Denial> {
    let Ok(fingerprint) = record.name.parse() else {
        log::error!("quarantine: event=unreadable row={} version={}", record.name, record.version);
        return None;
    };
    let Entry { upstreams, since_ms, lifted: is_lifted } = decode(record)?;
    let left_ms = DENIED_MS.saturating_sub(now_ms.saturating_sub(since_ms));
    Some(Denial { fingerprint, upstreams, left_ms, is_lifted })
}
