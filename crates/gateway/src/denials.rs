//! The table of denied requests and denied parts of prompts in the store, for starting gateways and for operators.
//!
//! The key of a row is the fingerprint of the request or of the parts. The row of a lifted denial is kept until it expires,
//! so that gateways which read the table late learn of it too.

use crate::table::{decode, encode};
use route::Millis;
use route::poison::Parts;
use route::quarantine::{DENIAL_DURATION_MS, Fingerprint, Upstreams};
use serde::{Deserialize, Serialize};
use store::rows::{Change, Key, Page, Record, Rows};

/// The table of denied requests.
const TABLE: &str = "quarantine";

/// A row of the table.
#[derive(Debug, Deserialize, Serialize)]
struct Entry {
    /// The parts of the denied prompts; empty if a single request is denied.
    #[serde(default, skip_serializing_if = "Parts::is_empty")]
    parts: Parts,
    /// The upstreams that crashed while they ran the request.
    upstreams: Upstreams,
    /// When the request was last denied or sent again, or when its denial was lifted, in milliseconds of the
    /// store's clock.
    since_ms: u64,
    /// Whether an operator lifted the denial.
    #[serde(default)]
    lifted: bool,
}

/// A denied request, or all requests whose prompts have certain parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Denial {
    /// The fingerprint of the request, or of the parts.
    pub fingerprint: Fingerprint,
    /// The parts of the denied prompts; empty if a single request is denied.
    pub parts: Parts,
    /// The upstreams that crashed while they ran it.
    pub upstreams: Upstreams,
    /// The remaining time of the denial, in milliseconds.
    pub left_ms: Millis,
    /// Whether an operator lifted the denial.
    pub is_lifted: bool,
}

/// The table at one moment.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub denials: Vec<Denial>,
    /// The keys of expired rows.
    expired: Vec<String>,
    /// The newest version of a row; 0 if the table is empty.
    pub version: u64,
    /// The time of the store's clock.
    now_ms: u64,
}

/// Selects the denials to lift.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selector {
    /// All of them.
    All,
    /// The denial of one request.
    One(Fingerprint),
}

/// Lists the denied requests, without those whose denial was lifted.
///
/// # Errors
/// Fails if the store can't be read.
pub async fn list(rows: &impl Rows) -> Result<Vec<Denial>, store::Error> {
    let table = read(rows).await?;
    Ok(table.denials.into_iter().filter(|denial| !denial.is_lifted).collect())
}

/// Lifts denials, and returns the lifted ones. The gateways learn of them within seconds.
///
/// # Errors
/// Fails if the store can't be read or written.
pub async fn lift(rows: &impl Rows, selector: Selector) -> Result<Vec<Denial>, store::Error> {
    let table = read(rows).await?;
    let is_selected =
        |denial: &Denial| matches!(selector, Selector::All) || selector == Selector::One(denial.fingerprint);
    let can_be_lifted = |denial: &Denial| !denial.is_lifted && is_selected(denial);
    let (now_ms, expired) = (table.now_ms, table.expired);
    let lifted: Vec<Denial> = table.denials.into_iter().filter(can_be_lifted).collect();
    if lifted.is_empty() {
        return Ok(lifted);
    }
    let put = |denial: &Denial| {
        let (parts, upstreams) = (denial.parts.clone(), denial.upstreams.clone());
        let entry = Entry { parts, upstreams, since_ms: now_ms, lifted: true };
        (key(denial.fingerprint.to_string()), encode(&entry))
    };
    let puts = lifted.iter().map(put).collect();
    write(rows, puts, expired).await?;
    Ok(lifted)
}

/// Reads the table.
pub(crate) async fn read(rows: &impl Rows) -> Result<Table, store::Error> {
    Ok(table(&rows.list(TABLE, "").await?))
}

/// Writes the row of a denial, and deletes expired rows. `parts` are empty if a single request is denied.
pub(crate) async fn insert(
    rows: &impl Rows,
    fingerprint: Fingerprint,
    parts: &Parts,
    upstreams: &Upstreams,
) -> Result<(), store::Error> {
    let table = read(rows).await?;
    let (parts, upstreams) = (parts.clone(), upstreams.clone());
    let entry = Entry { parts, upstreams, since_ms: table.now_ms, lifted: false };
    write(rows, vec![(key(fingerprint.to_string()), encode(&entry))], table.expired).await
}

async fn write(
    rows: &impl Rows,
    puts: Vec<(Key, Vec<u8>)>,
    expired: Vec<String>,
) -> Result<(), store::Error> {
    let is_written = |name: &String| puts.iter().any(|(key, _)| key.name == *name);
    let drops = expired.into_iter().filter(|name| !is_written(name)).map(key).collect();
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
            Some(_) => table.expired.push(record.name.clone()),
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
    let Entry { parts, upstreams, since_ms, lifted: is_lifted } = decode(record)?;
    let left_ms = DENIAL_DURATION_MS.saturating_sub(now_ms.saturating_sub(since_ms));
    Some(Denial { fingerprint, parts, upstreams, left_ms, is_lifted })
}
