//! A compact snapshot of the list of upstreams in the store, which gateways read when they start and during
//! bursts of changes.
//!
//! The rows of the list take about 400 bytes per upstream. If all gateways start together and each reads the
//! rows, the transferred bytes grow with the product of gateways and upstreams. Therefore one gateway
//! maintains a compressed snapshot, which takes about 20 bytes per upstream. The others start from it and
//! follow the changes since, as they would after reading the list, so an older snapshot only costs more
//! changes. A gateway that finds no fresh snapshot reads the list in full.
//!
//! If many upstreams start after the gateways, or are listed again after an outage, the changes themselves are
//! as long as the list. The gateway that maintains the snapshot then writes it more often, and the others read
//! it in place of the changes.

use crate::node::Node;
use crate::ports::{Listing, Wire};
use crate::table::{decode, encode};
use bincode::Options;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use net::exec;
use route::version::Version;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::rows::{Change, Commit, Key, Page, Rows};
use xxhash_rust::xxh3::xxh3_64;

/// The table of snapshots.
const TABLE: &str = "snapshots";
/// The partition of the snapshot of the list of upstreams. Builds with another format use another one.
const PART: &str = "upstreams-2";
/// The key of the row that describes the snapshot.
const HEAD: &str = "head";
/// The key of the row of the gateway that is about to write a snapshot.
const CLAIM: &str = "claim";
/// The prefix of the keys of the rows that contain the snapshot's bytes.
const CHUNK: &str = "chunk/";
/// The size of such a row, in bytes. The store limits rows to 64 KiB.
const CHUNK_BYTES: usize = 48 << 10;
/// The largest snapshot, in bytes. The store limits transactions to 1 MB, including the encoding.
const MAX_SNAPSHOT_BYTES: usize = 640 << 10;
/// The largest snapshot before its compression, in bytes.
const MAX_CONTENTS_BYTES: u64 = 4 << 20;
/// The interval between snapshots, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 6_000;
/// The interval between snapshots while bursts of changes arrive, in milliseconds.
const BURST_WRITE_INTERVAL_MS: u64 = 1_000;
/// The age up to which a snapshot is used, in milliseconds. The store discards changes after about 20 s.
const MAX_AGE_MS: u64 = 14_000;
/// How long other gateways wait for a claimed snapshot, in milliseconds: the time of reading a long list over
/// a small VM's link.
const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// The interval at which a waiting gateway checks for the snapshot.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// The row that describes the snapshot.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Head {
    /// The version of the list that the snapshot represents. Readers follow the changes after it.
    version: u64,
    /// When it was written, in milliseconds of the store's clock.
    written_ms: u64,
    /// The hash of its bytes.
    edition: u64,
    /// The number of rows that contain its bytes.
    chunks: usize,
    /// Whether it names all software versions that were listed while streams that began then may be open.
    #[serde(default)]
    knows_past: bool,
}

impl Head {
    /// Describes the bytes of a snapshot.
    fn of(bytes: &[u8]) -> Head {
        Head { edition: xxh3_64(bytes), chunks: bytes.len().div_ceil(CHUNK_BYTES), ..Head::default() }
    }
}

/// The row of the gateway that is about to write a snapshot.
#[derive(Debug, Deserialize, Serialize)]
struct Claim {
    holder: String,
    /// When it claimed the snapshot, in milliseconds of the store's clock.
    at_ms: u64,
}

/// An upstream in a snapshot.
#[derive(Debug, Deserialize, Serialize)]
struct Entry {
    name: String,
    /// The version of its row.
    version: u64,
    /// The indexes of its service, its data centre and its software version in [`Contents::names`].
    service: usize,
    data_centre: usize,
    software: usize,
    address: SocketAddr,
    slots: u32,
    leaving: bool,
    started: Option<u64>,
    warmup_ms: u64,
}

/// The contents of a snapshot.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Contents {
    /// The names of services, data centres and software versions, to which entries refer by index.
    names: Vec<String>,
    entries: Vec<Entry>,
    /// The software versions of upstreams that have lately left the list, each with the index of its service.
    former: Vec<(usize, Version)>,
}

impl Contents {
    /// The index of a name, which is added if it is new.
    fn name_index(&mut self, name: &str) -> usize {
        self.names.iter().position(|known| known == name).unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.names.len() - 1
        })
    }

    fn add(&mut self, name: &str, version: u64, listing: &Listing) {
        let (service, data_centre) =
            (self.name_index(&listing.service), self.name_index(&listing.data_centre));
        let software = self.name_index(&listing.version);
        let Listing { address, slots, leaving, started, warmup_ms, .. } = *listing;
        let name = name.to_owned();
        let entry = Entry {
            name,
            version,
            service,
            data_centre,
            software,
            address,
            slots,
            leaving,
            started,
            warmup_ms,
        };
        self.entries.push(entry);
    }

    fn add_former<'a>(&mut self, former: impl Iterator<Item = (&'a str, Version)>) {
        for (service, version) in former {
            let service = self.name_index(service);
            self.former.push((service, version));
        }
        self.former.sort_unstable();
    }

    /// The software versions that upstreams have or lately had, with their services; `None` if an entry refers to a name
    /// that does not exist.
    fn versions(&self) -> Option<Vec<(&str, Version)>> {
        let name = |index: usize| self.names.get(index).map(String::as_str);
        let listed =
            self.entries.iter().map(|entry| Some((name(entry.service)?, Version::of(name(entry.software)?))));
        let former = self.former.iter().map(|(service, version)| Some((name(*service)?, *version)));
        listed.chain(former).collect()
    }

    /// The upstreams; `None` if an entry refers to a name that does not exist.
    fn upstreams(self) -> Option<Vec<Upstream>> {
        let Contents { names, entries, .. } = self;
        let upstream = |entry: Entry| {
            let named = |index: usize| names.get(index).cloned();
            let listing = Listing {
                service: named(entry.service)?,
                address: entry.address,
                data_centre: named(entry.data_centre)?,
                version: named(entry.software)?,
                slots: entry.slots,
                leaving: entry.leaving,
                started: entry.started,
                warmup_ms: entry.warmup_ms,
            };
            Some(Upstream { name: entry.name, version: entry.version, listing })
        };
        entries.into_iter().map(upstream).collect()
    }
}

/// An upstream in the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Upstream {
    pub name: String,
    /// The version of its row.
    pub version: u64,
    pub listing: Listing,
}

/// The list of upstreams at one version.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub version: u64,
    /// Whether all software versions are known that were listed while streams that began then may be open.
    pub knows_past: bool,
    pub upstreams: Vec<Upstream>,
}

/// How a gateway starts to follow the list.
pub(crate) enum Start {
    /// From a snapshot.
    FromSnapshot(Snapshot),
    /// By reading the list in full. The gateway has claimed the snapshot and must write it, since others may
    /// wait for it.
    ReadAndWrite,
    /// By reading the list in full.
    Read,
}

/// Loads a fresh snapshot, or waits for one that another gateway has claimed. If there is neither, this
/// gateway claims it.
pub(crate) async fn load_or_claim<W: Wire, S: Rows>(node: &Node<W, S>) -> Start {
    let until = node.now() + CLAIM_TIMEOUT_MS;
    while node.now() < until {
        let Ok(page) = node.rows.list(TABLE, PART).await else { return Start::Read };
        node.set_store_clock(page.now_ms);
        learn_past(node, &page);
        if let Some(snapshot) = read(&page) {
            return Start::FromSnapshot(snapshot);
        }
        let claim = page.records.iter().find(|record| record.name == CLAIM);
        let is_claimed =
            claim.and_then(decode::<Claim>).is_some_and(|claim| page.now_ms < claim.at_ms + CLAIM_TIMEOUT_MS);
        if !is_claimed && try_claim(node, claim.map_or(0, |row| row.version), page.now_ms).await {
            return Start::ReadAndWrite;
        }
        exec::sleep(POLL_INTERVAL).await;
    }
    log::warn!("upstream: event=no-snapshot reason=\"nobody wrote one in time\"");
    Start::Read
}

/// Loads the snapshot, if there is a fresh one.
pub(crate) async fn load<W: Wire, S: Rows>(node: &Node<W, S>) -> Option<Snapshot> {
    let page = node.rows.list(TABLE, PART).await.ok()?;
    node.set_store_clock(page.now_ms);
    learn_past(node, &page);
    read(&page)
}

/// Claims the snapshot, unless the row of the claim no longer has this version. Returns whether it did.
async fn try_claim<W: Wire, S: Rows>(node: &Node<W, S>, version: u64, at_ms: u64) -> bool {
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

/// Learns which software versions upstreams had that this gateway has not seen. An old snapshot tells some of them: a
/// version that is no longer listed may have left at any time since.
fn learn_past<W: Wire, S: Rows>(node: &Node<W, S>, page: &Page) {
    let head = page.records.iter().find(|record| record.name == HEAD);
    let contents = head.and_then(decode).and_then(|head| read_contents(page, &head));
    if let Some(former) = contents.as_ref().and_then(Contents::versions) {
        node.origins.versions().learn_former(former, node.now());
    }
}

/// Decodes the snapshot, if it is fresh and complete.
fn read(page: &Page) -> Option<Snapshot> {
    let head: Head = decode(page.records.iter().find(|record| record.name == HEAD)?)?;
    if page.now_ms > head.written_ms + MAX_AGE_MS {
        return None;
    }
    let upstreams = read_contents(page, &head)?.upstreams()?;
    Some(Snapshot { version: head.version, knows_past: head.knows_past, upstreams })
}

/// Decodes the contents of the snapshot that `head` describes, if they are complete.
fn read_contents(page: &Page, head: &Head) -> Option<Contents> {
    let row = |name: &str| page.records.iter().find(|record| record.name == name);
    let mut bytes = vec![];
    for index in 0..head.chunks {
        bytes.extend_from_slice(row(&chunk_key(index))?.value.as_deref()?);
    }
    if xxh3_64(&bytes) != head.edition {
        log::warn!("upstream: event=no-snapshot reason=\"its rows are of different ones\"");
        return None;
    }
    decompress(&bytes)
}

fn chunk_key(index: usize) -> String {
    format!("{CHUNK}{index}")
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_CONTENTS_BYTES)
}

/// The bytes of a snapshot.
fn compress(contents: &Contents) -> Result<Vec<u8>, bincode::Error> {
    let mut encoder = DeflateEncoder::new(vec![], Compression::fast());
    options().serialize_into(&mut encoder, contents)?;
    let bytes = encoder.finish()?;
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(bincode::ErrorKind::SizeLimit.into());
    }
    Ok(bytes)
}

/// The contents of a snapshot; `None` if the bytes are not one.
fn decompress(bytes: &[u8]) -> Option<Contents> {
    let mut contents = vec![];
    DeflateDecoder::new(bytes).take(MAX_CONTENTS_BYTES).read_to_end(&mut contents).ok()?;
    options().deserialize(&contents).ok()
}

/// Writes snapshots periodically, and more often while bursts of changes arrive.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    /// When the next snapshot is due, in milliseconds since the process started.
    next_ms: u64,
    /// When the next snapshot is due if a burst of changes has arrived since the last one.
    burst_ms: u64,
    /// Whether a burst of changes has arrived since the last snapshot.
    has_burst: bool,
    /// The edition that this gateway wrote last, and the version of the row that describes it.
    written: Arc<std::sync::Mutex<Option<(u64, u64)>>>,
}

impl Writer {
    /// Records that many rows changed at once.
    pub(crate) fn record_burst(&mut self) {
        self.has_burst = true;
    }

    /// Whether a snapshot is due.
    pub(crate) fn is_due(&self, now: u64) -> bool {
        now >= self.next_ms || (self.has_burst && now >= self.burst_ms)
    }

    /// Writes a snapshot of the list at `version` in the background. Unchanged bytes are not written again.
    pub(crate) fn write<'a, W: Wire, S: Rows>(
        &mut self,
        node: &Arc<Node<W, S>>,
        version: u64,
        upstreams: impl Iterator<Item = (&'a str, u64, &'a Listing)>,
    ) {
        self.next_ms = node.now() + WRITE_INTERVAL_MS;
        self.burst_ms = node.now() + BURST_WRITE_INTERVAL_MS;
        self.has_burst = false;
        let mut contents = Contents::default();
        upstreams.for_each(|(name, version, listing)| contents.add(name, version, listing));
        let (lifetime, now) = (node.stream_lifetime(), node.now());
        contents.add_former(node.origins.versions().former(lifetime, now));
        let knows_past = node.origins.versions().covers(lifetime, now);
        contents.entries.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let bytes = match compress(&contents) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!(
                    "upstream: event=no-snapshot entries={} error=\"{error}\"",
                    contents.entries.len()
                );
                return;
            }
        };
        let (node, written) = (node.clone(), self.written.clone());
        exec::spawn(async move {
            let before = *written.lock().expect("the lock is not poisoned");
            let head = Head { version, written_ms: node.store_now(), knows_past, ..Head::of(&bytes) };
            let (change, edition) = change(head, &bytes, before);
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
            *written.lock().expect("the lock is not poisoned") = now_written;
        })
        .detach();
    }
}

/// The change that writes a snapshot, and the snapshot's edition. `before` is the last edition that this
/// gateway wrote, and the version of the row that describes it.
fn change(head: Head, bytes: &[u8], before: Option<(u64, u64)>) -> (Change, u64) {
    let edition = head.edition;
    let head = (Key::new(TABLE, HEAD), encode(&head));
    let mut change = Change { part: PART.to_owned(), puts: vec![head], ..Change::default() };
    match before {
        // Only that row is written, on condition that no other gateway has written a snapshot since.
        Some((same, version)) if same == edition => change.checks.push((Key::new(TABLE, HEAD), version)),
        _ => {
            let rows = bytes.chunks(CHUNK_BYTES).enumerate();
            change
                .puts
                .extend(rows.map(|(index, bytes)| (Key::new(TABLE, chunk_key(index)), bytes.to_vec())));
        }
    }
    (change, edition)
}

#[cfg(test)]
#[path = "../tests/unit/snapshot.rs"]
mod tests;
