//! Following the manifest and the list of upstreams in the store.
//!
//! Each is read whole once and then followed by its changes; it is read whole again if the store forgot the
//! changes in between. A read may be older than what is known, so a row counts only if its version is newer.

use crate::node::Node;
use crate::ports::{Listing, Wire};
use net::exec;
use route::Millis;
use route::place::Site;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use store::Error;
use store::rows::{Feed, Page, Record, Rows};

/// How long one wait for changes lasts at the store: a broken connection is noticed this late at most.
const WAIT_MS: u64 = 1_000;
/// The pause after a call failed.
const AGAIN: Duration = Duration::from_millis(100);
/// How long an upstream that vanished while the store was away may take to be listed again, in milliseconds:
/// the platform's word for it is about two seconds.
const RELIST_MS: Millis = 2_500;

/// How a table is followed.
struct Follower {
    name: &'static str,
    after: Option<u64>,
    lost_at: Option<Millis>,
    regained_at: Option<Millis>,
}

impl Follower {
    fn new(name: &'static str) -> Follower {
        Follower { name, after: None, lost_at: None, regained_at: None }
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
    /// Nothing that counts.
    Nothing,
}

async fn step<W: Wire, S: Rows>(node: &Node<W, S>, table: &str, follower: &mut Follower) -> Step {
    let result = match follower.after {
        None => node.rows.list(table, "").await.map(Step::Whole),
        Some(after) => node.rows.feed(table, after, WAIT_MS).await.map(|feed| match feed {
            Feed::Changes(page) => Step::Changes(page),
            Feed::Lost => Step::Nothing,
        }),
    };
    follower.note(result.as_ref().err(), node.now());
    if let Ok(Step::Whole(page) | Step::Changes(page)) = &result {
        node.set_store_clock(page.now_ms);
    }
    match result {
        Ok(Step::Whole(page)) => {
            follower.after = Some(page.version);
            Step::Whole(page)
        }
        Ok(Step::Changes(page)) => {
            follower.after = follower.after.max(Some(page.version));
            Step::Changes(page)
        }
        Ok(Step::Nothing) => {
            log::warn!("store: event=history-lost watch={} after={:?}", follower.name, follower.after);
            follower.after = None;
            Step::Nothing
        }
        Err(_) => {
            exec::sleep(AGAIN).await;
            Step::Nothing
        }
    }
}

/// Follows the manifest.
pub(crate) async fn manifest<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut follower = Follower::new("manifest");
    loop {
        let (table, _) = node.wire.manifest_row();
        match step(&node, table, &mut follower).await {
            Step::Whole(page) | Step::Changes(page) => {
                page.records.iter().for_each(|record| adopt(&node, record))
            }
            Step::Nothing => {}
        }
    }
}

fn adopt<W: Wire, S: Rows>(node: &Node<W, S>, record: &Record) {
    let (_, name) = node.wire.manifest_row();
    let Some(bytes) = record.value.as_deref().filter(|_| record.name == name) else { return };
    match node.wire.manifest(bytes) {
        Ok(manifest) => {
            let (version, routes, teams) = (manifest.version, manifest.routes.len(), manifest.teams.len());
            if node.put_in_force(manifest) {
                log::info!(
                    "manifest: event=in-force version={version} row-version={} hosts={routes} teams={teams}",
                    record.version
                );
            }
        }
        Err(error) => log::error!("manifest: event=unreadable row-version={} {error}", record.version),
    }
}

/// What is known of the list of upstreams.
#[derive(Default)]
struct Known {
    /// The version of each row, deleted ones included.
    versions: HashMap<String, u64>,
    /// Upstreams that vanished around an outage of the store, and when they are given up.
    vanished: HashMap<String, Millis>,
}

/// Follows the list of upstreams.
pub(crate) async fn upstreams<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut follower = Follower::new("upstreams");
    let mut known = Known::default();
    loop {
        let table = node.wire.upstreams_table();
        let found = step(&node, table, &mut follower).await;
        let now = node.now();
        let doubtful = follower.regained_at.map(|at| at + RELIST_MS).filter(|until| now < *until);
        match found {
            Step::Whole(page) => {
                // A deletion has no row here: what is missing from a list that is not stale is gone.
                let newest = known.versions.values().max().copied().unwrap_or(0);
                for record in &page.records {
                    take(&node, &mut known, record, doubtful);
                }
                if page.version >= newest {
                    let listed = |name: &String| page.records.iter().any(|record| record.name == *name);
                    let missing: Vec<String> =
                        node.listings().keys().filter(|name| !listed(name)).cloned().collect();
                    for name in missing {
                        vanish(&node, &mut known, &name, page.version, doubtful);
                    }
                }
            }
            Step::Changes(page) => {
                for record in &page.records {
                    take(&node, &mut known, record, doubtful);
                }
            }
            Step::Nothing => {}
        }
        give_up(&node, &mut known);
        node.metrics.upstreams.set(node.listings().len() as i64);
    }
}

fn take<W: Wire, S: Rows>(node: &Node<W, S>, known: &mut Known, record: &Record, doubtful: Option<Millis>) {
    let version = known.versions.entry(record.name.clone()).or_default();
    if record.version <= *version {
        return;
    }
    *version = record.version;
    let Some(bytes) = record.value.as_deref() else {
        return vanish(node, known, &record.name.clone(), record.version, doubtful);
    };
    known.vanished.remove(&record.name);
    match node.wire.listing(bytes) {
        Ok(listing) => set(node, &record.name, record.version, listing),
        Err(error) => log::error!("upstream: event=unreadable upstream={} {error}", record.name),
    }
}

fn set<W: Wire, S: Rows>(node: &Node<W, S>, name: &str, version: u64, listing: Listing) {
    let mut listings = node.listings();
    if listings.get(name) == Some(&listing) {
        return;
    }
    log::info!(
        "upstream: event=listed upstream={name} service={} address={} leaving={} row-version={version}",
        listing.service,
        listing.address,
        listing.leaving
    );
    let site = Site {
        service: listing.service.clone(),
        data_centre: listing.data_centre.clone(),
        slots: listing.slots,
    };
    node.places().set(name, site, listing.leaving);
    listings.insert(name.to_owned(), listing);
}

fn vanish<W: Wire, S: Rows>(
    node: &Node<W, S>,
    known: &mut Known,
    name: &str,
    version: u64,
    doubtful: Option<Millis>,
) {
    match doubtful {
        // Its entry may only have lapsed while the store was away.
        Some(until) => {
            known.vanished.entry(name.to_owned()).or_insert(until);
        }
        None => remove(node, name, version),
    }
}

fn give_up<W: Wire, S: Rows>(node: &Node<W, S>, known: &mut Known) {
    let now = node.now();
    let over: Vec<String> =
        known.vanished.iter().filter(|(_, until)| **until <= now).map(|(name, _)| name.clone()).collect();
    for name in over {
        known.vanished.remove(&name);
        remove(node, &name, known.versions.get(&name).copied().unwrap_or(0));
    }
}

fn remove<W: Wire, S: Rows>(node: &Node<W, S>, name: &str, version: u64) {
    if node.listings().remove(name).is_some() {
        node.places().remove(name);
        log::info!("upstream: event=gone upstream={name} row-version={version}");
    }
}
