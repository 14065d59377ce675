//! Following the manifest and the list of upstreams in the store.
//!
//! Each is read whole once and then followed by its changes, also across an outage; it is read whole again if the store
//! forgot the changes in between. A read may be older than what is known, so a row counts only if its version is newer.

use crate::node::Node;
use crate::ports::{Listing, Wire};
use crate::snapshot::{self, Start, Writer};
use crate::table::{RECALLS, Recall, decode};
use net::exec;
use route::Millis;
use route::place::Site;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::Error;
use store::rows::{Feed, FeedQuery, Page, Progress, Record, Rows};

/// How long one wait for changes lasts at the store: a broken connection is noticed this late at most.
const WAIT_MS: u64 = 1_000;
/// The pause after a call failed.
const AGAIN: Duration = Duration::from_millis(100);
/// The pause between two waits for changes for each gateway of the fleet, in milliseconds: changes come in series, and
/// each wakes all of them. In a small fleet less than a call takes.
const GATHER_SHARE_MS: u64 = 4;
/// The longest such pause, in milliseconds: a small part of the time within which a leaving upstream gets no more work.
const GATHER_MOST_MS: u64 = 300;
/// The time within which an upstream whose entry lapsed while the store was away is listed again, in
/// milliseconds: the platform's word for it.
const RELIST_MS: Millis = 2_000;
/// How long a vanished upstream is kept to see whether most of its service vanished with it, in milliseconds.
const GATHER_MS: Millis = 250;
/// The wait for changes while an upstream is being kept, in milliseconds.
const GATHER_WAIT_MS: u64 = 50;
/// Entries lapse together when the store was away; upstreams that leave do so a few at a time. From this part of
/// a service on, vanished upstreams are taken to have lapsed.
const LAPSED: f64 = 0.34;

/// Changes of the manifest that are shorter than this are read whatever they hold: 50 ms on a link of 10 Mbit/s, in bytes.
const MANIFEST_LEAST: usize = 64 << 10;
/// Changes of the manifest are read if they are shorter than this multiple of it: from two versions on the newest is read
/// alone, since several of nearly 1 MB each take a small VM's link for seconds.
const MANIFEST_MOST: f64 = 1.5;
/// Bytes of an answer for each byte of a row in it: rows come in base64.
const ENCODED: f64 = 4.0 / 3.0;
/// An answer to a watch of which so many bytes came holds a change, in bytes: an empty one has a hundred.
const CHANGE: u64 = 512;

/// How a table is followed.
struct Follower {
    name: &'static str,
    after: Option<u64>,
    /// The longest answer to a watch that is read, in bytes; the table is read whole if it would be longer.
    most: usize,
    lost_at: Option<Millis>,
    regained_at: Option<Millis>,
    /// Whether no wait ended since the table was read whole.
    is_new: bool,
    /// The pause before the next wait, so that changes which come together are read together.
    pause: Option<Duration>,
}

impl Follower {
    fn new(name: &'static str) -> Follower {
        Follower {
            name,
            after: None,
            most: usize::MAX,
            lost_at: None,
            regained_at: None,
            is_new: false,
            pause: None,
        }
    }

    /// Takes in how a call ended.
    fn note(&mut self, failure: Option<&Error>, now: Millis) {
        match (failure, self.lost_at) {
            (Some(error), None) => {
                log::warn!("store: event=lost watch={} {error}", self.name);
                self.lost_at = Some(now);
            }
            (None, Some(lost)) => {
                log::info!("store: event=regained watch={} after-ms={}", self.name, now - lost);
                self.lost_at = None;
                self.regained_at = Some(now);
            }
            _ => {}
        }
    }
}

/// What a step of a watch brought.
enum Step {
    /// All rows of the table.
    Whole(Page),
    /// Rows that changed.
    Changes(Page),
    /// The table has to be read whole, for this reason.
    Start(&'static str),
    /// Nothing: the call failed.
    Failed,
}

async fn step<W: Wire, S: Rows>(
    node: &Node<W, S>,
    rows: &impl Rows,
    table: &str,
    follower: &mut Follower,
    wait_ms: u64,
) -> Step {
    if let Some(pause) = follower.pause.take() {
        exec::sleep(pause).await;
    }
    // What changed while the store was away is asked for at once. The whole is not read again by all gateways together.
    let wait_ms = if follower.lost_at.is_some() { 0 } else { wait_ms };
    let result = match follower.after {
        None => rows.list(table, "").await.map(Step::Whole),
        Some(after) => {
            let since = FeedQuery { after, wait_ms, most: follower.most };
            rows.feed(table, since).await.map(|feed| match feed {
                Feed::Changes(page) => Step::Changes(page),
                Feed::Lost => Step::Start("history-lost"),
                Feed::Long => Step::Start("many-changes"),
            })
        }
    };
    follower.note(result.as_ref().err(), node.now());
    if let Ok(Step::Whole(page) | Step::Changes(page)) = &result {
        node.set_store_clock(page.now_ms);
    }
    match result {
        Ok(Step::Whole(page)) => {
            follower.after = Some(page.version);
            follower.is_new = true;
            Step::Whole(page)
        }
        Ok(Step::Changes(page)) => {
            follower.after = follower.after.max(Some(page.version));
            follower.is_new = false;
            let gather = (node.fleet_size() * GATHER_SHARE_MS).min(GATHER_MOST_MS);
            follower.pause = (!page.records.is_empty()).then(|| Duration::from_millis(gather));
            Step::Changes(page)
        }
        Ok(Step::Start(reason)) => {
            log::warn!("store: event={reason} watch={} after={:?}", follower.name, follower.after);
            follower.after = None;
            // A store that forgets at once would be read as fast as it answers.
            follower.pause = follower.is_new.then_some(AGAIN);
            Step::Start(reason)
        }
        Ok(Step::Failed) | Err(_) => {
            exec::sleep(AGAIN).await;
            Step::Failed
        }
    }
}

/// Follows the manifest, and which data centres the operators evacuate.
pub(crate) async fn manifest<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut follower = Follower::new("manifest");
    let mut evacuations = Evacuations::default();
    loop {
        let (table, _) = node.wire.manifest_row();
        let progress = Progress::default();
        node.set_manifest_read(&progress);
        let found = step(&node, &node.rows.with_progress(&progress), table, &mut follower, WAIT_MS).await;
        match &found {
            Step::Whole(page) => evacuations.take_whole(&node, page),
            Step::Changes(page) => page.records.iter().for_each(|record| evacuations.take(&node, record)),
            Step::Start(_) | Step::Failed => {}
        }
        if let Step::Whole(page) | Step::Changes(page) = found {
            let Some(bytes) = adopt_newest(&node, page) else { continue };
            follower.most = MANIFEST_LEAST.max((bytes as f64 * ENCODED * MANIFEST_MOST) as usize);
        }
    }
}

/// Whether a newer manifest is on its way: what this gateway doesn't know, that one may allow.
pub(crate) fn is_changing(read: &Progress) -> bool {
    read.bytes() >= CHANGE
}

/// Follows the other routers' calls for idle tokens.
pub(crate) async fn recalls<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut follower = Follower::new("recalls");
    loop {
        let opened = node.opened.listen();
        if node.purses().is_empty() {
            // Who holds nothing has nothing to give back: in a large fleet that is nearly every gateway.
            follower.after = None;
            opened.await;
        }
        // Calls made while this router was away are over, so a whole read only says where to go on.
        let found = step(&node, &node.rows, RECALLS, &mut follower, WAIT_MS).await;
        let Step::Changes(page) = found else { continue };
        for record in &page.records {
            let Some(recall) = decode::<Recall>(record).filter(|recall| recall.holder != node.holder) else {
                continue;
            };
            if let Some(purse) = node.purses().get(&record.name).cloned() {
                purse.recall(recall.missing);
            }
        }
    }
}

/// Puts the newest manifest in force that can be read; its length in bytes.
fn adopt_newest<W: Wire, S: Rows>(node: &Node<W, S>, mut page: Page) -> Option<usize> {
    page.records.sort_unstable_by_key(|record| Reverse(record.version));
    page.records.iter().find_map(|record| adopt(node, record))
}

fn adopt<W: Wire, S: Rows>(node: &Node<W, S>, record: &Record) -> Option<usize> {
    let (_, name) = node.wire.manifest_row();
    let bytes = record.value.as_deref().filter(|_| record.name == name)?;
    let manifest = match node.wire.decode_manifest(bytes) {
        Ok(manifest) => manifest,
        Err(error) => {
            log::error!("manifest: event=unreadable row-version={} {error}", record.version);
            return None;
        }
    };
    let (version, routes, teams) = (manifest.version, manifest.routes.len(), manifest.teams.len());
    if node.put_in_force(manifest) {
        log::info!(
            "manifest: event=in-force version={version} row-version={} hosts={routes} teams={teams} bytes={}",
            record.version,
            bytes.len()
        );
    }
    Some(bytes.len())
}

/// The versions of the rows by which operators evacuate data centres, deleted ones included.
#[derive(Default)]
struct Evacuations(HashMap<String, u64>);

impl Evacuations {
    /// Takes in all rows: a data centre whose row is missing is taken back, unless the read is stale.
    fn take_whole<W: Wire, S: Rows>(&mut self, node: &Node<W, S>, page: &Page) {
        for record in &page.records {
            self.take(node, record);
        }
        let newest = self.0.values().max().copied().unwrap_or(0);
        if page.version < newest {
            return;
        }
        let evacuated: Vec<String> = node.places().evacuated().map(str::to_owned).collect();
        let named = |data_centre: &String| {
            page.records
                .iter()
                .any(|record| node.wire.evacuated_data_centre(&record.name) == Some(data_centre))
        };
        for data_centre in evacuated.iter().filter(|data_centre| !named(data_centre)) {
            restore(node, data_centre, page.version);
        }
    }

    fn take<W: Wire, S: Rows>(&mut self, node: &Node<W, S>, record: &Record) {
        let Some(data_centre) = node.wire.evacuated_data_centre(&record.name) else { return };
        let version = self.0.entry(record.name.clone()).or_default();
        if record.version <= *version {
            return;
        }
        *version = record.version;
        match record.value {
            // Whatever the row holds, it asks for the evacuation.
            Some(_) => evacuate(node, data_centre, record.version),
            None => restore(node, data_centre, record.version),
        }
    }
}

fn evacuate<W: Wire, S: Rows>(node: &Node<W, S>, data_centre: &str, version: u64) {
    let mut places = node.places();
    if places.evacuate(data_centre) {
        node.metrics.data_centres_evacuated.set(places.evacuated().count() as i64);
        log::info!("upstream: event=evacuated data-centre={data_centre} row-version={version}");
    }
}

fn restore<W: Wire, S: Rows>(node: &Node<W, S>, data_centre: &str, version: u64) {
    let mut places = node.places();
    if places.restore(data_centre, node.now()) {
        node.metrics.data_centres_evacuated.set(places.evacuated().count() as i64);
        log::info!("upstream: event=taken-back data-centre={data_centre} row-version={version}");
    }
}

/// What is known of the list of upstreams.
#[derive(Default)]
struct Known {
    /// The version of each row, deleted ones included.
    versions: HashMap<String, u64>,
    /// Upstreams that vanished, and when that is decided.
    vanished: HashMap<String, Millis>,
    /// When the store was reached again after it was away.
    regained_at: Option<Millis>,
    /// When the newest life of each upstream started, in milliseconds of its own clock.
    started: HashMap<String, u64>,
    /// Entries that name no upstream since they were last logged, and the first of them.
    unfit: Option<(u64, String)>,
}

/// Follows the list of upstreams.
pub(crate) async fn upstreams<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut follower = Follower::new("upstreams");
    let mut known = Known::default();
    let mut writer = Writer::default();
    let start = snapshot::start(&node).await;
    let mut is_awaited = matches!(start, Start::ReadAndWrite);
    if let Start::From(snapshot) = start {
        log::info!("upstream: event=started-from-snapshot version={}", snapshot.version);
        follower.after = Some(snapshot.version);
        snapshot.upstreams.into_iter().for_each(|upstream| {
            known.versions.insert(upstream.name.clone(), upstream.version);
            begin(&node, &mut known, &upstream.name, upstream.version, upstream.listing);
        });
    }
    loop {
        let wait_ms = if known.vanished.is_empty() { WAIT_MS } else { GATHER_WAIT_MS };
        let found = step(&node, &node.rows, node.wire.upstreams_table(), &mut follower, wait_ms).await;
        known.regained_at = follower.regained_at;
        match found {
            Step::Whole(page) => take_whole(&node, &mut known, &page),
            Step::Changes(page) => page.records.iter().for_each(|record| take(&node, &mut known, record)),
            Step::Start(_) | Step::Failed => {}
        }
        decide(&node, &mut known);
        if let Some((count, first)) = known.unfit.take() {
            log::warn!("upstream: event=unfit entries={count} {first}");
        }
        node.metrics.upstreams.set(node.listings().len() as i64);
        let writes = is_awaited || node.is_first.load(Ordering::Relaxed);
        if let Some(version) = follower.after.filter(|_| writes && writer.is_due(node.now())) {
            is_awaited = false;
            write(&node, &known, &mut writer, version);
        }
    }
}

/// Writes a snapshot of the list. What vanished and may have lapsed is not in it: its row is not there.
fn write<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, known: &Known, writer: &mut Writer, version: u64) {
    let listings = node.listings().clone();
    let rows = listings.iter().filter(|(name, _)| !known.vanished.contains_key(*name));
    let versions = rows.map(|(name, listing)| {
        let version = known.versions.get(name).copied().unwrap_or(0);
        (name.as_str(), version, listing)
    });
    writer.write(node, version, versions);
}

/// Takes in the whole list: what is missing from one that is not stale has vanished.
fn take_whole<W: Wire, S: Rows>(node: &Node<W, S>, known: &mut Known, page: &Page) {
    let newest = known.versions.values().max().copied().unwrap_or(0);
    for record in &page.records {
        take(node, known, record);
    }
    if page.version < newest {
        log::warn!("upstream: event=stale-list version={} known={newest}", page.version);
        return;
    }
    let listed = |name: &String| page.records.iter().any(|record| record.name == *name);
    let missing: Vec<String> = node.listings().keys().filter(|name| !listed(name)).cloned().collect();
    for name in missing {
        vanish(node, known, &name);
    }
}

fn take<W: Wire, S: Rows>(node: &Node<W, S>, known: &mut Known, record: &Record) {
    let version = known.versions.entry(record.name.clone()).or_default();
    if record.version <= *version {
        return;
    }
    *version = record.version;
    let Some(bytes) = record.value.as_deref() else {
        return vanish(node, known, &record.name);
    };
    match node.wire.decode_listing(bytes) {
        Ok(listing) => begin(node, known, &record.name, record.version, listing),
        Err(error) => {
            // Another writer's entry names no upstream, also in the place of one that did.
            node.metrics.entries_unfit.inc();
            let first = || (0, format!("upstream={} {error}", record.name));
            known.unfit.get_or_insert_with(first).0 += 1;
            known.vanished.remove(&record.name);
            remove(node, known, &record.name);
        }
    }
}

/// Takes in an upstream's entry, unless an earlier life of it wrote it late.
fn begin<W: Wire, S: Rows>(node: &Node<W, S>, known: &mut Known, name: &str, version: u64, listing: Listing) {
    if let Some(started) = listing.started {
        let newest = known.started.entry(name.to_owned()).or_insert(started);
        if started < *newest {
            log::warn!("upstream: event=late-entry upstream={name} started={started} newest={newest}",);
            return;
        }
        if started > std::mem::replace(newest, started) && node.listings().remove(name).is_some() {
            // What was learned of its earlier life is not true of this one.
            node.places().forget(name);
            log::info!("upstream: event=started-again upstream={name} started={started}");
        }
    }
    known.vanished.remove(name);
    set(node, name, version, listing);
}

fn set<W: Wire, S: Rows>(node: &Node<W, S>, name: &str, version: u64, listing: Listing) {
    let mut listings = node.listings();
    let warmup_ms = listing.warmup_ms;
    let known = listings.get(name);
    if known == Some(&listing) {
        return;
    }
    // An upstream that warms up tells the time that is left with each of its heartbeats.
    let is_old =
        known.is_some_and(|known| *known == Listing { warmup_ms: known.warmup_ms, ..listing.clone() });
    let is_warmer = known.is_some_and(|known| warmup_ms <= known.warmup_ms);
    if !(is_old && is_warmer) {
        log::info!(
            "upstream: event=listed upstream={name} service={} address={} leaving={} warmup-ms={warmup_ms} row-version={version}",
            listing.service,
            listing.address,
            listing.leaving
        );
    }
    let site = Site {
        service: listing.service.clone(),
        data_centre: listing.data_centre.clone(),
        slots: listing.slots,
    };
    let mut places = node.places();
    places.set(name, site, listing.leaving);
    places.warm_up(name, warmup_ms, node.now());
    drop(places);
    listings.insert(name.to_owned(), listing);
}

/// Whether entries may have lapsed only because the store was away a moment ago.
fn relisting_until(known: &Known, now: Millis) -> Option<Millis> {
    known.regained_at.map(|at| at + RELIST_MS).filter(|until| now < *until)
}

fn vanish<W: Wire, S: Rows>(node: &Node<W, S>, known: &mut Known, name: &str) {
    let now = node.now();
    match relisting_until(known, now) {
        Some(_) => {
            known.vanished.entry(name.to_owned()).or_insert(now + GATHER_MS);
        }
        None => remove(node, known, name),
    }
}

/// Decides on the upstreams that vanished a moment ago.
fn decide<W: Wire, S: Rows>(node: &Node<W, S>, known: &mut Known) {
    let now = node.now();
    let due: Vec<String> =
        known.vanished.iter().filter(|(_, until)| **until <= now).map(|(name, _)| name.clone()).collect();
    for name in due {
        match relisting_until(known, now).filter(|_| has_lapsed(node, known, &name)) {
            Some(until) => {
                known.vanished.insert(name, until);
            }
            None => {
                known.vanished.remove(&name);
                remove(node, known, &name);
            }
        }
    }
}

/// Whether so many upstreams of its service vanished that their entries must have lapsed together.
fn has_lapsed<W: Wire, S: Rows>(node: &Node<W, S>, known: &Known, name: &str) -> bool {
    let listings = node.listings();
    let Some(service) = listings.get(name).map(|listing| &listing.service) else { return false };
    let of_service = || listings.iter().filter(|(_, listing)| listing.service == *service);
    let vanished = of_service().filter(|(name, _)| known.vanished.contains_key(*name)).count();
    vanished > 1 && vanished as f64 >= of_service().count() as f64 * LAPSED
}

fn remove<W: Wire, S: Rows>(node: &Node<W, S>, known: &Known, name: &str) {
    if node.listings().remove(name).is_some() {
        node.places().remove(name);
        let version = known.versions.get(name).copied().unwrap_or(0);
        log::info!("upstream: event=gone upstream={name} row-version={version}");
    }
}

#[cfg(test)]
#[path = "../tests/unit/watch.rs"]
mod tests;
