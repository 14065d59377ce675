//! Follows the manifest, the list of upstreams and the recalls in the store.
//!
//! Each table is read in full once and followed by its changes from then on, also after an outage. It is read
//! in full again if the store no longer has the changes in between. A read may return older rows than are
//! known already, so a row is applied only if its version is newer.

use crate::node::Node;
use crate::ports::{Listing, Wire};
use crate::quarantine;
use crate::snapshot::{self, Snapshot, Start, Upstream, Writer};
use crate::table::{RECALLS, Recall, decode};
use crate::team_budget::TeamBudget;
use budget::holder::MAX_HOLDERS;
use net::exec;
use route::Millis;
use route::placement::UpstreamInfo;
use route::version::Version;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::Error;
use store::rows::{Feed, FeedQuery, Page, Progress, Record, Rows};

/// How long the store may hold a request for changes, in milliseconds. It bounds the time until a broken
/// connection is noticed.
const FEED_WAIT_MS: u64 = 1_000;
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The delay after received changes before more are requested, per gateway of the fleet, in milliseconds.
/// Changes come in bursts, and without the delay each one would wake all gateways. In a small fleet the delay
/// is shorter than a call.
const BATCH_DELAY_PER_GATEWAY_MS: u64 = 4;
/// The longest such delay, in milliseconds: a small part of the time after which a leaving upstream must get
/// no more requests.
const MAX_BATCH_DELAY_MS: u64 = 300;
/// The time after an outage of the store within which an upstream whose entry expired during it is listed
/// again, in milliseconds, as specified by the platform.
const RELIST_PERIOD_MS: Millis = 2_000;
/// How long a vanished upstream is kept to see whether a large part of its service vanished with it, in
/// milliseconds.
const VANISH_DECISION_MS: Millis = 250;
/// Replaces [`FEED_WAIT_MS`] while a vanished upstream is kept, in milliseconds.
const VANISH_FEED_WAIT_MS: u64 = 50;
/// If at least this fraction of a service vanished, the entries are assumed to have expired. After an outage
/// of the store entries expire together, whereas upstreams leave a few at a time.
const EXPIRED_RATIO: f64 = 0.34;

/// The number of heartbeats that an upstream may miss before the platform removes its entry.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// The number of rows of the list that have to change within [`BURST_WINDOW_MS`] for a burst: a start of the
/// platform, or the end of an outage. The snapshot takes a tenth of the bytes of the changed rows.
pub(crate) const BURST_ROWS: usize = 256;
const BURST_WINDOW_MS: Millis = 1_000;
/// The interval at which a gateway reads the snapshot during a burst. Upstreams that leave meanwhile are known
/// that much later.
const BURST_READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// Changes of the manifest of up to this size are always read, in bytes: 50 ms on a link of 10 Mbit/s.
const MIN_CHANGES_LIMIT: usize = 64 << 10;
/// Larger changes are read only up to this multiple of the manifest's size. If they contain two or more
/// versions, the table is read instead, which holds only the newest one: several versions of nearly 1 MB each
/// occupy a small VM's link for seconds.
const CHANGES_LIMIT_FACTOR: f64 = 1.5;
/// The bytes of an answer per byte of a row: rows are encoded in base64.
const BASE64_FACTOR: f64 = 4.0 / 3.0;
/// An answer of at least this size contains a change, in bytes: an empty one has a hundred.
const MIN_CHANGE_BYTES: u64 = 512;

/// The state of following a table.
struct Follower {
    name: &'static str,
    /// The version up to which changes are known; `None` if the table has to be read in full.
    after: Option<u64>,
    /// The largest set of changes to receive, in bytes; the table is read in full if they are larger.
    max_bytes: usize,
    /// When the outage of the store began; `None` if there is none.
    lost_at: Option<Millis>,
    /// When the last outage ended.
    regained_at: Option<Millis>,
    /// Whether no request for changes has succeeded since the table was read in full.
    is_new: bool,
    /// The delay before the next call, so that a burst of changes is received at once.
    delay: Option<Duration>,
}

impl Follower {
    fn new(name: &'static str) -> Follower {
        Follower {
            name,
            after: None,
            max_bytes: usize::MAX,
            lost_at: None,
            regained_at: None,
            is_new: false,
            delay: None,
        }
    }

    /// Records the result of a call.
    fn record(&mut self, failure: Option<&Error>, now: Millis) {
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

/// The result of a step of following a table.
enum Step {
    /// All rows of the table.
    Full(Page),
    /// The changed rows.
    Changes(Page),
    /// The table has to be read in full; the event to log.
    Restart(&'static str),
    /// The call failed.
    Failed,
}

/// Makes one call: reads the table in full, or waits for changes.
async fn step<W: Wire, S: Rows>(
    node: &Node<W, S>,
    rows: &impl Rows,
    table: &str,
    follower: &mut Follower,
    wait_ms: u64,
) -> Step {
    if let Some(delay) = follower.delay.take() {
        exec::sleep(delay).await;
    }
    // After an outage, the changes during it are requested without waiting. If all gateways read the full
    // table instead, they would do so at the same time.
    let wait_ms = if follower.lost_at.is_some() { 0 } else { wait_ms };
    let result = match follower.after {
        None => rows.list(table, "").await.map(Step::Full),
        Some(after) => {
            let since = FeedQuery { after, wait_ms, most: follower.max_bytes };
            rows.feed(table, since).await.map(|feed| match feed {
                Feed::Changes(page) => Step::Changes(page),
                Feed::Lost => Step::Restart("history-lost"),
                Feed::Long => Step::Restart("many-changes"),
            })
        }
    };
    follower.record(result.as_ref().err(), node.now());
    if let Ok(Step::Full(page) | Step::Changes(page)) = &result {
        node.set_store_clock(page.now_ms);
    }
    match result {
        Ok(Step::Full(page)) => {
            follower.after = Some(page.version);
            follower.is_new = true;
            Step::Full(page)
        }
        Ok(Step::Changes(page)) => {
            follower.after = follower.after.max(Some(page.version));
            follower.is_new = false;
            let batch_delay_ms = (node.fleet_size() * BATCH_DELAY_PER_GATEWAY_MS).min(MAX_BATCH_DELAY_MS);
            follower.delay = (!page.records.is_empty()).then(|| Duration::from_millis(batch_delay_ms));
            Step::Changes(page)
        }
        Ok(Step::Restart(reason)) => {
            log::warn!("store: event={reason} watch={} after={:?}", follower.name, follower.after);
            follower.after = None;
            // If the store loses its history at once, the table must not be read in a tight loop.
            follower.delay = follower.is_new.then_some(RETRY_DELAY);
            Step::Restart(reason)
        }
        Ok(Step::Failed) | Err(_) => {
            exec::sleep(RETRY_DELAY).await;
            Step::Failed
        }
    }
}

/// Follows the manifest, and the evacuations of data centres by operators.
pub(crate) async fn follow_manifest<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut follower = Follower::new("manifest");
    let mut evacuations = Evacuations::default();
    loop {
        let (table, _) = node.wire.manifest_row();
        let progress = Progress::default();
        node.set_manifest_progress(&progress);
        let found =
            step(&node, &node.rows.with_progress(&progress), table, &mut follower, FEED_WAIT_MS).await;
        match &found {
            Step::Full(page) => evacuations.apply_all(&node, page),
            Step::Changes(page) => page.records.iter().for_each(|record| evacuations.apply(&node, record)),
            Step::Restart(_) | Step::Failed => {}
        }
        if let Step::Full(page) | Step::Changes(page) = found {
            let Some(bytes) = apply_newest_manifest(&node, page) else { continue };
            follower.max_bytes =
                MIN_CHANGES_LIMIT.max((bytes as f64 * BASE64_FACTOR * CHANGES_LIMIT_FACTOR) as usize);
        }
    }
}

/// Whether `read` is receiving a newer manifest, which may allow what the current one does not know.
pub(crate) fn is_receiving_manifest(read: &Progress) -> bool {
    read.bytes() >= MIN_CHANGE_BYTES
}

/// Follows the other gateways' recalls of idle tokens.
pub(crate) async fn follow_recalls<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut follower = Follower::new("recalls");
    loop {
        let opened = node.budget_opened.listen();
        if node.budgets().is_empty() {
            // Without budgets there is nothing to return. In a large fleet that is the case at nearly every
            // gateway.
            follower.after = None;
            opened.await;
        }
        // A full read only gives the version to continue from: recalls made before it are obsolete.
        let found = step(&node, &node.rows, RECALLS, &mut follower, FEED_WAIT_MS).await;
        let Step::Changes(page) = found else { continue };
        for record in &page.records {
            let Some(recall) = decode::<Recall>(record).filter(|recall| recall.holder != node.holder) else {
                continue;
            };
            if let Some(budget) = node.held_budget(&record.name) {
                budget.recall(recall.missing, responders(&node, &budget));
            }
        }
    }
}

/// The number of gateways that respond to a recall as this one does. An owner permits few gateways to hold
/// tokens beside it, so they need not spread their responses as a fleet without its owners does.
pub(crate) fn responders<W: Wire, S: Rows>(node: &Node<W, S>, budget: &TeamBudget) -> u64 {
    match node.peer_reservations.holds(&budget.team) {
        true => budget.writers().min(MAX_HOLDERS),
        false => budget.writers(),
    }
}

/// Puts the newest valid manifest of a page into force. Returns its size in bytes, if there is one.
fn apply_newest_manifest<W: Wire, S: Rows>(node: &Node<W, S>, mut page: Page) -> Option<usize> {
    page.records.sort_unstable_by_key(|record| Reverse(record.version));
    page.records.iter().find_map(|record| apply_manifest(node, record))
}

fn apply_manifest<W: Wire, S: Rows>(node: &Node<W, S>, record: &Record) -> Option<usize> {
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
    if node.apply_manifest(manifest) {
        log::info!(
            "manifest: event=in-force version={version} row-version={} hosts={routes} teams={teams} bytes={}",
            record.version,
            bytes.len()
        );
    }
    Some(bytes.len())
}

/// The versions of the rows with which operators evacuate data centres, including deleted rows.
#[derive(Default)]
struct Evacuations(HashMap<String, u64>);

impl Evacuations {
    /// Applies a full read of the table: a data centre without a row is restored, unless the read is stale.
    fn apply_all<W: Wire, S: Rows>(&mut self, node: &Node<W, S>, page: &Page) {
        for record in &page.records {
            self.apply(node, record);
        }
        let newest = self.0.values().max().copied().unwrap_or(0);
        if page.version < newest {
            return;
        }
        let evacuated: Vec<String> = node.placer().evacuated().map(str::to_owned).collect();
        let is_listed = |data_centre: &String| {
            page.records
                .iter()
                .any(|record| node.wire.evacuated_data_centre(&record.name) == Some(data_centre))
        };
        for data_centre in evacuated.iter().filter(|data_centre| !is_listed(data_centre)) {
            restore(node, data_centre, page.version);
        }
    }

    fn apply<W: Wire, S: Rows>(&mut self, node: &Node<W, S>, record: &Record) {
        let Some(data_centre) = node.wire.evacuated_data_centre(&record.name) else { return };
        let version = self.0.entry(record.name.clone()).or_default();
        if record.version <= *version {
            return;
        }
        *version = record.version;
        match record.value {
            // The row requests the evacuation whatever it contains.
            Some(_) => evacuate(node, data_centre, record.version),
            None => restore(node, data_centre, record.version),
        }
    }
}

fn evacuate<W: Wire, S: Rows>(node: &Node<W, S>, data_centre: &str, version: u64) {
    let mut placer = node.placer();
    if placer.evacuate(data_centre) {
        node.metrics.data_centres_evacuated.set(placer.evacuated().count() as i64);
        log::info!("upstream: event=evacuated data-centre={data_centre} row-version={version}");
    }
}

fn restore<W: Wire, S: Rows>(node: &Node<W, S>, data_centre: &str, version: u64) {
    let mut placer = node.placer();
    if placer.restore(data_centre, node.now()) {
        node.metrics.data_centres_evacuated.set(placer.evacuated().count() as i64);
        log::info!("upstream: event=taken-back data-centre={data_centre} row-version={version}");
    }
}

/// The state of following the list of upstreams.
#[derive(Default)]
struct UpstreamRows {
    /// The version of each row, including deleted rows.
    versions: HashMap<String, u64>,
    /// Upstreams that vanished but are still kept, and when to decide whether to remove them.
    vanished: HashMap<String, Millis>,
    /// When the store was reached again after the last outage.
    regained_at: Option<Millis>,
    /// The latest start of each upstream, in milliseconds of its own clock.
    started: HashMap<String, u64>,
    /// Entries that seem late, by the names of their upstreams.
    late: HashMap<String, Late>,
    burst: Burst,
    /// The number of malformed entries since they were last logged, and the first of them.
    malformed: Option<(u64, String)>,
}

/// An entry with an earlier start than one before it. An upstream that had started again since would soon replace it.
struct Late {
    /// When it is applied, unless it has been replaced.
    until: Millis,
    version: u64,
    listing: Listing,
}

/// The rows that changed recently.
#[derive(Default)]
struct Burst {
    rows: usize,
    since: Millis,
}

impl Burst {
    /// Records changed rows. Returns whether they are part of a burst.
    fn record(&mut self, rows: usize, now: Millis) -> bool {
        if now.saturating_sub(self.since) >= BURST_WINDOW_MS {
            *self = Burst { rows: 0, since: now };
        }
        self.rows += rows;
        self.rows >= BURST_ROWS
    }
}

/// Follows the list of upstreams.
pub(crate) async fn follow_upstreams<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut follower = Follower::new("upstreams");
    let mut list = UpstreamRows::default();
    let mut writer = Writer::default();
    let start = snapshot::load_or_claim(&node).await;
    // Whether this gateway claimed the snapshot, for which others that are starting may wait.
    let mut must_write = matches!(start, Start::ReadAndWrite);
    // Before the first start of the whole system there were no upstreams.
    let mut is_beginning = node.settings.first_start && !matches!(start, Start::FromSnapshot(_));
    if is_beginning {
        node.origins.versions().trust_past();
    }
    if let Start::FromSnapshot(snapshot) = start {
        if snapshot.knows_past || node.settings.first_start {
            node.origins.versions().trust_past();
        }
        log::info!("upstream: event=started-from-snapshot version={}", snapshot.version);
        follower.after = Some(snapshot.version);
        apply_snapshot(&node, &mut list, snapshot);
        node.barrier.set_applied(follower.after);
    }
    loop {
        let wait_ms = if list.vanished.is_empty() { FEED_WAIT_MS } else { VANISH_FEED_WAIT_MS };
        let found = step(&node, &node.rows, node.wire.upstreams_table(), &mut follower, wait_ms).await;
        list.regained_at = follower.regained_at;
        match found {
            Step::Full(page) => {
                apply_list(&node, &mut list, &page);
                match std::mem::take(&mut is_beginning) {
                    true => node.origins.versions().confirm_changes(node.now()),
                    false => node.origins.versions().confirm(node.now()),
                }
            }
            Step::Changes(page) => {
                // A row that was deleted before it was seen has had any version.
                let has_missed = page
                    .records
                    .iter()
                    .any(|record| record.value.is_none() && !list.versions.contains_key(&record.name));
                page.records.iter().for_each(|record| apply_row(&node, &mut list, record));
                let is_burst = list.burst.record(page.records.len(), node.now());
                match is_burst {
                    true if node.is_first.load(Ordering::Relaxed) => writer.record_burst(),
                    true => skip_burst(&node, &mut list, &mut follower).await,
                    false => {}
                }
                match has_missed {
                    true => node.origins.versions().confirm(node.now()),
                    false => node.origins.versions().confirm_changes(node.now()),
                }
            }
            Step::Restart(_) | Step::Failed => {}
        }
        node.barrier.set_applied(follower.after);
        resolve_vanished(&node, &mut list);
        // While the store does not answer, its list does not show what upstreams write.
        if follower.lost_at.is_none() {
            resolve_late(&node, &mut list);
        }
        if let Some((count, first)) = list.malformed.take() {
            log::warn!("upstream: event=unfit entries={count} {first}");
        }
        node.metrics.upstreams.set(node.listings().len() as i64);
        let should_write = must_write || node.is_first.load(Ordering::Relaxed);
        if let Some(version) = follower.after.filter(|_| should_write && writer.is_due(node.now())) {
            must_write = false;
            write_snapshot(&node, &list, &mut writer, version);
        }
    }
}

/// Reads snapshots in place of the rest of a burst of changes. Without a newer one, the changes are followed
/// as usual.
async fn skip_burst<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    list: &mut UpstreamRows,
    follower: &mut Follower,
) {
    while !node.is_first.load(Ordering::Relaxed) {
        exec::sleep(BURST_READ_INTERVAL).await;
        let newer = |snapshot: &Snapshot| follower.after.is_some_and(|after| snapshot.version > after);
        let Some(snapshot) = snapshot::load(node).await.filter(newer) else { return };
        let (version, knows_past) = (snapshot.version, snapshot.knows_past);
        let changed = apply_snapshot(node, list, snapshot);
        if !knows_past {
            node.origins.versions().confirm(node.now());
        }
        log::info!(
            "upstream: event=burst-skipped after={:?} version={version} changed={changed}",
            follower.after
        );
        follower.after = Some(version);
        if changed < BURST_ROWS {
            return;
        }
    }
}

/// Applies a snapshot that is newer than what is known. Upstreams that are missing from it have vanished.
/// Returns the number of upstreams that changed.
fn apply_snapshot<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    list: &mut UpstreamRows,
    snapshot: Snapshot,
) -> usize {
    let names: HashSet<&str> = snapshot.upstreams.iter().map(|upstream| upstream.name.as_str()).collect();
    let missing: Vec<String> =
        node.listings().keys().filter(|name| !names.contains(name.as_str())).cloned().collect();
    missing.iter().for_each(|name| vanish(node, list, name));
    let mut changed = missing.len();
    for Upstream { name, version, listing } in snapshot.upstreams {
        let known = list.versions.entry(name.clone()).or_default();
        if version > *known {
            *known = version;
            changed += 1;
            list_upstream(node, list, &name, version, listing);
        }
    }
    changed
}

/// Writes a snapshot of the list. It omits vanished upstreams that are still kept, since they have no row.
fn write_snapshot<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    list: &UpstreamRows,
    writer: &mut Writer,
    version: u64,
) {
    let listings = node.listings().clone();
    let rows = listings.iter().filter(|(name, _)| !list.vanished.contains_key(*name));
    let versions = rows.map(|(name, listing)| {
        let version = list.versions.get(name).copied().unwrap_or(0);
        // The snapshot stands for the rows, whichever of them seems late here.
        (name.as_str(), version, list.late.get(name).map_or(listing, |late| &late.listing))
    });
    writer.write(node, version, versions);
}

/// Applies a full read of the list. Unless the read is stale, upstreams that are missing from it have
/// vanished.
fn apply_list<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, list: &mut UpstreamRows, page: &Page) {
    let newest = list.versions.values().max().copied().unwrap_or(0);
    for record in &page.records {
        apply_row(node, list, record);
    }
    if page.version < newest {
        log::warn!("upstream: event=stale-list version={} known={newest}", page.version);
        return;
    }
    let listed: HashSet<&str> = page.records.iter().map(|record| record.name.as_str()).collect();
    let is_listed = |name: &String| listed.contains(name.as_str());
    let missing: Vec<String> = node.listings().keys().filter(|name| !is_listed(name)).cloned().collect();
    for name in missing {
        vanish(node, list, &name);
    }
}

fn apply_row<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, list: &mut UpstreamRows, record: &Record) {
    let version = list.versions.entry(record.name.clone()).or_default();
    if record.version <= *version {
        return;
    }
    *version = record.version;
    let Some(bytes) = record.value.as_deref() else {
        list.late.remove(&record.name);
        return vanish(node, list, &record.name);
    };
    match node.wire.decode_listing(bytes) {
        Ok(listing) => list_upstream(node, list, &record.name, record.version, listing),
        Err(error) => {
            // A malformed entry, which another writer may have stored, names no upstream. The upstream that
            // the row named before is removed.
            node.metrics.entries_unfit.inc();
            let first = || (0, format!("upstream={} {error}", record.name));
            list.malformed.get_or_insert_with(first).0 += 1;
            list.vanished.remove(&record.name);
            list.late.remove(&record.name);
            remove(node, list, &record.name);
        }
    }
}

/// Applies an upstream's entry. One that seems to be a late one, from before the upstream's latest start, is kept for now.
fn list_upstream<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    list: &mut UpstreamRows,
    name: &str,
    version: u64,
    listing: Listing,
) {
    let known_late = list.late.remove(name);
    let newest = list.started.get(name).copied();
    if let (Some(started), Some(newest)) = (listing.started, newest)
        && started < newest
    {
        log::warn!("upstream: event=late-entry upstream={name} started={started} newest={newest}");
        let until = known_late.map_or_else(|| node.now() + late_period_ms(node), |late| late.until);
        list.late.insert(name.to_owned(), Late { until, version, listing });
        return;
    }
    apply_listing(node, list, name, version, listing);
}

fn apply_listing<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    list: &mut UpstreamRows,
    name: &str,
    version: u64,
    listing: Listing,
) {
    if let Some(started) = listing.started {
        let has_restarted =
            list.started.insert(name.to_owned(), started).is_some_and(|before| before != started);
        let former = if has_restarted { node.listings().remove(name) } else { None };
        if let Some(former) = former {
            record_gone(node, name, &former);
            // What was measured before the restart no longer holds.
            node.placer().forget(name);
            log::info!("upstream: event=started-again upstream={name} started={started}");
        }
    }
    list.vanished.remove(name);
    set_listing(node, name, version, listing);
}

/// The time within which a running upstream replaces an entry that is not its own, in milliseconds.
fn late_period_ms<W: Wire, S: Rows>(node: &Node<W, S>) -> Millis {
    node.settings.upstream_heartbeat_ms.saturating_mul(MAX_MISSED_HEARTBEATS)
}

/// Applies the entries that seemed late and that nobody has replaced: their starts are right, and a later one was wrong.
fn resolve_late<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, list: &mut UpstreamRows) {
    let (now, period_ms) = (node.now(), late_period_ms(node));
    let until = |late: &Late| late.until.max(list.regained_at.map_or(0, |regained| regained + period_ms));
    let due: Vec<(String, Late)> = list.late.extract_if(|_, late| until(late) <= now).collect();
    for (name, Late { version, listing, .. }) in due {
        log::warn!("upstream: event=late-entry-stays upstream={name} started={:?}", listing.started);
        apply_listing(node, list, &name, version, listing);
    }
}

fn set_listing<W: Wire, S: Rows>(node: &Node<W, S>, name: &str, version: u64, listing: Listing) {
    let mut listings = node.listings();
    let warmup_ms = listing.warmup_ms;
    let known = listings.get(name);
    if known == Some(&listing) {
        return;
    }
    // While an upstream warms up, each of its heartbeats updates the remaining time. That alone is not
    // logged.
    let is_same =
        known.is_some_and(|known| *known == Listing { warmup_ms: known.warmup_ms, ..listing.clone() });
    let is_warming_up = known.is_some_and(|known| warmup_ms <= known.warmup_ms);
    if !(is_same && is_warming_up) {
        log::info!(
            "upstream: event=listed upstream={name} service={} software={} address={} leaving={} warmup-ms={warmup_ms} row-version={version}",
            listing.service,
            listing.version,
            listing.address,
            listing.leaving
        );
    }
    let info = UpstreamInfo {
        service: listing.service.clone(),
        data_centre: listing.data_centre.clone(),
        slots: listing.slots,
        version: Version::of(&listing.version),
    };
    let is_same_version =
        known.is_some_and(|known| (&known.service, &known.version) == (&listing.service, &listing.version));
    if !is_same_version {
        let mut versions = node.origins.versions();
        versions.add(&listing.service, info.version);
        if let Some(known) = known {
            versions.remove(&known.service, Version::of(&known.version), node.now());
        }
    }
    if known.is_none() {
        node.quarantine().record_start(name, listing.started, node.now());
    }
    let mut placer = node.placer();
    placer.set(name, info, listing.leaving);
    placer.warm_up(name, warmup_ms, node.now());
    drop(placer);
    listings.insert(name.to_owned(), listing);
}

/// The time until which expired entries may still be listed again after an outage of the store; `None` if
/// that time is over, or if there was no outage.
fn relisting_until(list: &UpstreamRows, now: Millis) -> Option<Millis> {
    list.regained_at.map(|at| at + RELIST_PERIOD_MS).filter(|until| now < *until)
}

/// Removes an upstream without an entry, or keeps it for now if the entry may have expired during an outage.
fn vanish<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, list: &mut UpstreamRows, name: &str) {
    let now = node.now();
    match relisting_until(list, now) {
        Some(_) => {
            list.vanished.entry(name.to_owned()).or_insert(now + VANISH_DECISION_MS);
        }
        None => remove(node, list, name),
    }
}

/// Decides whether vanished upstreams are removed, or kept until expired entries must be listed again.
fn resolve_vanished<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, list: &mut UpstreamRows) {
    let now = node.now();
    let due: Vec<String> =
        list.vanished.iter().filter(|(_, until)| **until <= now).map(|(name, _)| name.clone()).collect();
    if due.is_empty() {
        return;
    }
    let relisting_until = relisting_until(list, now);
    let expired = expired_services(node, list);
    for name in due {
        let service = node.listings().get(&name).map(|listing| listing.service.clone());
        match relisting_until.filter(|_| service.is_some_and(|service| expired.contains(&service))) {
            Some(until) => {
                list.vanished.insert(name, until);
            }
            None => {
                list.vanished.remove(&name);
                remove(node, list, &name);
            }
        }
    }
}

/// The services whose vanished upstreams have expired, as indicated by how many of them vanished.
fn expired_services<W: Wire, S: Rows>(node: &Node<W, S>, list: &UpstreamRows) -> HashSet<String> {
    let listings = node.listings();
    let mut counts: HashMap<&str, (usize, usize)> = HashMap::new();
    for (name, listing) in listings.iter() {
        let (vanished, all) = counts.entry(&listing.service).or_default();
        *vanished += usize::from(list.vanished.contains_key(name));
        *all += 1;
    }
    let has_expired =
        |vanished: usize, all: usize| vanished > 1 && vanished as f64 >= all as f64 * EXPIRED_RATIO;
    let expired = counts.into_iter().filter(|(_, (vanished, all))| has_expired(*vanished, *all));
    expired.map(|(service, _)| service.to_owned()).collect()
}

/// Records that the process of an upstream that was listed has ended, or is replaced by another one.
fn record_gone<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, name: &str, listing: &Listing) {
    node.origins.versions().remove(&listing.service, Version::of(&listing.version), node.now());
    node.quarantine().record_gone(name, listing.started, node.now());
    if !node.placer().has_announced_leaving(name) {
        quarantine::observe_replacement(node, name);
    }
}

fn remove<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, list: &UpstreamRows, name: &str) {
    let removed = node.listings().remove(name);
    if let Some(listing) = removed {
        record_gone(node, name, &listing);
        node.placer().remove(name);
        let version = list.versions.get(name).copied().unwrap_or(0);
        log::info!("upstream: event=gone upstream={name} row-version={version}");
    }
}

#[cfg(test)]
#[path = "../tests/unit/watch.rs"]
mod tests;
