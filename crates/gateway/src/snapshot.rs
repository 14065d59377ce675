//! A snapshot of the list of upstreams in the store, from which gateways start.
//!
//! Read row by row, the list takes some 400 bytes for each upstream, once for each gateway that starts: when all of them start, bytes that
//! grow with the product of both. So one gateway keeps a snapshot of what it knows, which takes a tenth of that. The others start
//! from it and follow the changes since, as after a read of the whole list, so one that is not the newest costs only those
//! changes. It is never waited for while the list is followed, and the list is read whole where no fresh snapshot is to be had.

use crate::node::Node;
use crate::ports::{Listing, Wire};
use crate::table::{decode, encode};
use bincode::Options;
use net::exec;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::rows::{Change, Commit, Key, Page, Rows};
use xxhash_rust::xxh3::xxh3_64;

/// The table of snapshots.
const TABLE: &str = "snapshots";
/// The partition of the one of the list of upstreams.
const PART: &str = "upstreams";
/// The key of the row that says what the snapshot holds.
const HEAD: &str = "head";
/// The key of the row of the gateway that is about to write one.
const CLAIM: &str = "claim";
/// What the keys of the snapshot's bytes begin with.
const CHUNK: &str = "chunk/";
/// Bytes of one such row: a row holds 64 KiB.
const CHUNK_BYTES: usize = 48 << 10;
/// The longest snapshot that is written, in bytes: one transaction takes 1 MB, encoded.
const LONGEST: usize = 640 << 10;
/// Time between two snapshots, in milliseconds.
const REFRESH_MS: u64 = 6_000;
/// The age up to which one is used, in milliseconds: the store forgets changes after some 20 s.
const FRESH_MS: u64 = 14_000;
/// How long one that is about to be written is waited for, in milliseconds: a read of a long list on a small VM's link.
const CLAIM_MS: u64 = 2_000;
/// The pause between two looks for it.
const LOOK: Duration = Duration::from_millis(300);

/// What the snapshot holds.
#[derive(Debug, Deserialize, Serialize)]
struct Head {
    /// The changes of the list after this version are to be followed.
    version: u64,
    /// When it was written, in milliseconds of the store's clock.
    written_ms: u64,
    /// The hash of its bytes.
    edition: u64,
    chunks: usize,
}

/// A gateway that is about to write a snapshot.
#[derive(Debug, Deserialize, Serialize)]
struct Claim {
    holder: String,
    /// In milliseconds of the store's clock.
    at_ms: u64,
}

/// An upstream in a snapshot.
#[derive(Debug, Deserialize, Serialize)]
struct Entry {
    name: String,
    /// Of its row.
    version: u64,
    /// The places of its service and its data centre among the names.
    service: usize,
    data_centre: usize,
    address: SocketAddr,
    slots: u32,
    leaving: bool,
    started: Option<u64>,
    warmup_ms: u64,
}

#[derive(Debug, Default, Deserialize, Serialize)]
struct Body {
    /// Names that entries share.
    names: Vec<String>,
    entries: Vec<Entry>,
}

impl Body {
    fn name(&mut self, name: &str) -> usize {
        self.names.iter().position(|known| known == name).unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.names.len() - 1
        })
    }

    fn add(&mut self, name: &str, version: u64, listing: &Listing) {
        let (service, data_centre) = (self.name(&listing.service), self.name(&listing.data_centre));
        let Listing { address, slots, leaving, started, warmup_ms, .. } = *listing;
        let name = name.to_owned();
        let entry =
            Entry { name, version, service, data_centre, address, slots, leaving, started, warmup_ms };
        self.entries.push(entry);
    }

    /// The upstreams; `None` if an entry names what is not there.
    fn upstreams(self) -> Option<Vec<Upstream>> {
        let Body { names, entries } = self;
        let upstream = |entry: Entry| {
            let Entry { name, version, address, slots, leaving, started, warmup_ms, .. } = entry;
            let service = names.get(entry.service)?.clone();
            let data_centre = names.get(entry.data_centre)?.clone();
            let listing = Listing { service, address, data_centre, slots, leaving, started, warmup_ms };
            Some(Upstream { name, version, listing })
        };
        entries.into_iter().map(upstream).collect()
    }
}

/// An upstream of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Upstream {
    pub name: String,
    /// Of its row.
    pub version: u64,
    pub listing: Listing,
}

/// The list of upstreams as of one version.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub version: u64,
    pub upstreams: Vec<Upstream>,
}

/// What a gateway that starts should do.
pub(crate) enum Start {
    /// Start from this.
    From(Snapshot),
    /// Read the whole list, and write a snapshot of it: others wait for that.
    ReadAndWrite,
    /// Read the whole list.
    Read,
}

/// Looks for a fresh snapshot.
pub(crate) async fn load_or_claim<W: Wire, S: Rows>(node: &Node<W, S>) -> Start {
    let until = node.now() + CLAIM_MS;
    while node.now() < until {
        let Ok(page) = node.rows.list(TABLE, PART).await else { return Start::Read };
        node.set_store_clock(page.now_ms);
        if let Some(snapshot) = read(&page) {
            return Start::From(snapshot);
        }
        let claim = page.records.iter().find(|record| record.name == CLAIM);
        let is_claimed =
            claim.and_then(decode::<Claim>).is_some_and(|claim| page.now_ms < claim.at_ms + CLAIM_MS);
        if !is_claimed && self::claim(node, claim.map_or(0, |row| row.version), page.now_ms).await {
            return Start::ReadAndWrite;
        }
        exec::sleep(LOOK).await;
    }
    log::warn!("upstream: event=no-snapshot reason=\"nobody wrote one in time\"");
    Start::Read
}

async fn claim<W: Wire, S: Rows>(node: &Node<W, S>, version: u64, at_ms: u64) -> bool {
    let key = Key::new(TABLE, CLAIM);
    let claim = encode(&Claim { holder: node.holder.clone(), at_ms });
    let change = Change {
        part: PART.to_owned(),
        checks: vec![(key.clone(), version)],
        puts: vec![(key, claim)],
        drops: vec![],
    };
    matches!(node.rows.commit(&change).await, Ok(Commit::Applied(_)))
}

/// The snapshot, if it is fresh and whole.
fn read(page: &Page) -> Option<Snapshot> {
    let row = |name: &str| page.records.iter().find(|record| record.name == name);
    let head: Head = decode(row(HEAD)?)?;
    if page.now_ms > head.written_ms + FRESH_MS {
        return None;
    }
    let mut bytes = vec![];
    for index in 0..head.chunks {
        bytes.extend_from_slice(row(&chunk(index))?.value.as_deref()?);
    }
    if xxh3_64(&bytes) != head.edition {
        log::warn!("upstream: event=no-snapshot reason=\"its rows are of different ones\"");
        return None;
    }
    let body: Body = options().deserialize(&bytes).ok()?;
    Some(Snapshot { version: head.version, upstreams: body.upstreams()? })
}

fn chunk(index: usize) -> String {
    format!("{CHUNK}{index}")
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(LONGEST as u64)
}

/// Keeps the snapshot, at the one gateway that does so.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    next: u64,
    /// The edition whose bytes this gateway wrote last, and the version of its head.
    written: Arc<std::sync::Mutex<Option<(u64, u64)>>>,
}

impl Writer {
    /// Whether a snapshot is due.
    pub(crate) fn is_due(&self, now: u64) -> bool {
        now >= self.next
    }

    /// Writes what is known as of a version of the list, beside other work. Bytes that did not change are not written again.
    pub(crate) fn write<'a, W: Wire, S: Rows>(
        &mut self,
        node: &Arc<Node<W, S>>,
        version: u64,
        upstreams: impl Iterator<Item = (&'a str, u64, &'a Listing)>,
    ) {
        self.next = node.now() + REFRESH_MS;
        let mut body = Body::default();
        upstreams.for_each(|(name, version, listing)| body.add(name, version, listing));
        body.entries.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let bytes = match options().serialize(&body) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!("upstream: event=no-snapshot entries={} error=\"{error}\"", body.entries.len());
                return;
            }
        };
        let (node, written) = (node.clone(), self.written.clone());
        exec::spawn(async move {
            let before = *written.lock().expect("the writer's lock");
            let (change, edition) = change(version, node.store_now(), &bytes, before);
            let result = node.rows.commit(&change).await;
            let now_written = match &result {
                Ok(Commit::Applied(version)) => Some((edition, *version)),
                _ => None,
            };
            log::info!(
                "upstream: event=snapshot version={version} bytes={} rows={} written={}",
                bytes.len(),
                change.puts.len(),
                now_written.is_some()
            );
            *written.lock().expect("the writer's lock") = now_written;
        })
        .detach();
    }
}

/// The change that writes a snapshot, and its edition.
fn change(version: u64, written_ms: u64, bytes: &[u8], before: Option<(u64, u64)>) -> (Change, u64) {
    let edition = xxh3_64(bytes);
    let chunks = bytes.len().div_ceil(CHUNK_BYTES);
    let head = (Key::new(TABLE, HEAD), encode(&Head { version, written_ms, edition, chunks }));
    let mut change = Change { part: PART.to_owned(), puts: vec![head], ..Change::default() };
    match before {
        // Another gateway may have written others since.
        Some((same, version)) if same == edition => change.checks.push((Key::new(TABLE, HEAD), version)),
        _ => {
            let rows = bytes.chunks(CHUNK_BYTES).enumerate();
            change.puts.extend(rows.map(|(index, bytes)| (Key::new(TABLE, chunk(index)), bytes.to_vec())));
        }
    }
    (change, edition)
}

#[cfg(test)]
#[path = "../tests/unit/snapshot.rs"]
mod tests;
