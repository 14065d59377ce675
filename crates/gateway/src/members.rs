//! The gateways of the fleet: each writes a heartbeat row, and reads the others'.
//!
//! Only shares of connections, repeats and budgets depend on this list, and which engines are kept for short work. None
//! of them is part of an argument about safety.

use crate::node::{Node, Phase};
use crate::owners::Peer;
use crate::ports::Wire;
use crate::table::{decode, encode};
use net::exec;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::rows::{Change, Key, Page, Record, Rows};

/// The table of heartbeats.
const TABLE: &str = "gateways";
/// Time between two heartbeats, in milliseconds, in a small fleet: how long the gateways take to agree on which engines
/// are kept for short work.
const BEAT_MS: u64 = 1_500;
/// Heartbeats that the whole fleet writes in a second at most: a small part of what the store takes.
const BEATS_PER_S: u64 = 50;
/// Bytes of the list that a gateway reads in a second at most: in a large fleet it is read less often than heartbeats are
/// written.
const LIST_BYTES_PER_S: u64 = 4_096;
/// What a row takes beside its value, in bytes.
const ROW_BYTES: u64 = 100;
/// A gateway counts as gone after so many missed heartbeats.
const MISSED: u64 = 8;

/// A heartbeat.
#[derive(Debug, Deserialize, Serialize)]
struct Beat {
    /// The VM with the incarnation of its process.
    holder: String,
    /// Where it listens for the other gateways' datagrams.
    peers: SocketAddr,
    /// Processor cores that its VM has.
    #[serde(default = "whole_core")]
    cores: f64,
    /// How long the process has run, in milliseconds: a row that did not change would say nothing.
    up_ms: u64,
    /// The engines of each service that are kept for short work: the first gateway decides, and the others follow.
    #[serde(default)]
    kept_for_short: BTreeMap<String, Vec<String>>,
    /// The newest version of the table of denied requests that it has read.
    #[serde(default)]
    quarantine: u64,
}

/// Gateways of an earlier version did not say what they have.
fn whole_core() -> f64 {
    1.0
}

/// A heartbeat as it was last seen.
struct Seen {
    version: u64,
    at: u64,
}

/// The heartbeats as this gateway saw them.
#[derive(Default)]
struct Members {
    seen: HashMap<String, Seen>,
    /// When they were read last.
    read: Option<u64>,
    /// Whether this gateway is the first by name of those alive.
    is_first: bool,
    /// The time between two reads, in milliseconds.
    interval_ms: u64,
}

/// Writes this gateway's heartbeats and follows the others'.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut seen = Members::default();
    let mut next_read = 0;
    loop {
        let period = period(&node);
        if node.now() >= next_read {
            let asked = node.now();
            match node.rows.list(TABLE, "").await {
                Ok(page) => {
                    next_read = node.now() + reading_ms(&page);
                    seen.interval_ms = period.max(reading_ms(&page));
                    enrol(&node, &page, asked, seen.interval_ms);
                    let gone = look(&node, &mut seen, &page, period * MISSED);
                    for name in gone {
                        log::warn!("fleet: event=gateway-gone gateway={name}");
                        forget(&node, &name).await;
                    }
                }
                Err(error) => log::warn!("fleet: event=not-read {error}"),
            }
        }
        if node.phase() != Phase::Draining {
            beat(&node, &seen).await;
        }
        exec::sleep(Duration::from_millis(period)).await;
    }
}

/// Time between two heartbeats in a fleet of this size, in milliseconds.
fn period<W: Wire, S: Rows>(node: &Node<W, S>) -> u64 {
    BEAT_MS.max(node.fleet_size() * 1_000 / BEATS_PER_S)
}

/// The time that reading a list of this size takes at the rate that is allowed, in milliseconds.
fn reading_ms(page: &Page) -> u64 {
    let bytes = |record: &Record| record.value.as_ref().map_or(0, Vec::len) as u64 + ROW_BYTES;
    page.records.iter().map(bytes).sum::<u64>() * 1_000 / LIST_BYTES_PER_S
}

/// How many gateways there are; `None` if the list was not read for so long that the others may have forgotten this one
/// and share among themselves what it takes for its own part.
pub(crate) fn known_fleet_size<W: Wire, S: Rows>(node: &Node<W, S>) -> Option<u32> {
    let read = node.fleet_read_ms.load(Ordering::Relaxed);
    let is_known = read > 0 && node.now().saturating_sub(read) < period(node) * MISSED;
    is_known.then_some(node.fleet_size() as u32)
}

/// Writes a heartbeat.
async fn beat<W: Wire, S: Rows>(node: &Node<W, S>, members: &Members) {
    let kept_for_short = if members.is_first { divide(node) } else { BTreeMap::new() };
    for (service, short) in &kept_for_short {
        node.hints.announce_division(service, short);
    }
    let quarantine = node.quarantine_version.load(Ordering::Relaxed);
    let (holder, peers, cores) = (node.holder.clone(), node.settings.listen.peers, node.settings.cores());
    let sent = node.now();
    let beat = Beat { holder, peers, cores, up_ms: sent, kept_for_short, quarantine };
    let change =
        Change { puts: vec![(Key::new(TABLE, &node.settings.name), encode(&beat))], ..Change::default() };
    match node.rows.commit(&change).await {
        Ok(_) => {
            let lasts_ms = period(node) * MISSED / 2;
            node.places().roster.beat(sent, node.now(), lasts_ms, members.interval_ms);
        }
        Err(error) => log::warn!("fleet: event=heartbeat-failed {error}"),
    }
}

/// Takes the list in as the one by which this gateway takes its part of what upstreams bear while they warm up: with all rows, since
/// one that seems gone may live on behind a cut.
fn enrol<W: Wire, S: Rows>(node: &Node<W, S>, page: &Page, asked: u64, interval_ms: u64) {
    let own = &node.settings.name;
    let row = page.records.iter().find(|record| record.name == *own);
    let up_ms = row.map(|row| decode::<Beat>(row).map_or(0, |beat| beat.up_ms));
    let listed = page.records.iter().map(|record| record.name.as_str());
    node.places().roster.read(own, listed, up_ms, asked, interval_ms);
}

/// Divides the engines anew between long and short work.
fn divide<W: Wire, S: Rows>(node: &Node<W, S>) -> BTreeMap<String, Vec<String>> {
    let mut places = node.places();
    let divisions = places.divide(node.now()).filter(|(_, short)| !short.is_empty());
    divisions.map(|(service, short)| (service.to_owned(), short.to_vec())).collect()
}

/// Says good-bye, so that nobody waits for this gateway's heartbeats.
pub(crate) async fn deregister<W: Wire, S: Rows>(node: &Node<W, S>) {
    node.places().roster.leave();
    let change = Change { drops: vec![Key::new(TABLE, &node.settings.name)], ..Change::default() };
    if let Err(error) = node.rows.commit(&change).await {
        log::warn!("fleet: event=good-bye-failed {error}");
    }
}

/// Takes in the heartbeats, counts the fleet, and names those that are gone.
fn look<W: Wire, S: Rows>(
    node: &Node<W, S>,
    members: &mut Members,
    page: &Page,
    gone_after: u64,
) -> Vec<String> {
    let now = node.now();
    node.fleet_read_ms.store(now.max(1), Ordering::Relaxed);
    let seen = &mut members.seen;
    if members.read.replace(now).is_some_and(|read| now.saturating_sub(read) > gone_after / 2) {
        // This gateway was cut off or stood still: what it missed then says nothing of the others.
        seen.values_mut().for_each(|seen| seen.at = now);
    }
    for record in &page.records {
        let entry = seen.entry(record.name.clone()).or_insert(Seen { version: 0, at: now });
        if record.version > entry.version {
            *entry = Seen { version: record.version, at: now };
        }
    }
    let listed: HashSet<&str> = page.records.iter().map(|record| record.name.as_str()).collect();
    seen.retain(|name, _| listed.contains(name.as_str()));
    let own = &node.settings.name;
    let is_alive = |seen: &Seen| now.saturating_sub(seen.at) < gone_after;
    let others = seen.iter().filter(|(name, seen)| *name != own && is_alive(seen)).count() as u64;
    if node.fleet_size.swap(others + 1, Ordering::Relaxed) != others + 1 {
        log::info!("fleet: event=size gateways={}", others + 1);
    }
    node.metrics.fleet_gateways.set(others as i64 + 1);
    let alive = |name: &str| name != own && seen.get(name).is_some_and(is_alive);
    let beats = page.records.iter().filter(|record| alive(&record.name));
    let peer = |record: &Record| {
        let Beat { peers: address, cores, quarantine, .. } = decode(record)?;
        crate::quarantine::observe_version(node, quarantine);
        Some(Peer { name: record.name.clone(), address, cores })
    };
    let peers: Vec<Peer> = beats.filter_map(peer).collect();
    node.set_peers(&peers);
    // One gateway looks after those that are gone: the first by name of those alive.
    let first = seen.iter().filter(|(_, seen)| is_alive(seen)).map(|(name, _)| name).min();
    let was_first = std::mem::replace(&mut members.is_first, first == Some(own));
    node.is_first.store(members.is_first, Ordering::Relaxed);
    let beat = first.and_then(|first| page.records.iter().find(|record| record.name == *first));
    // One that becomes the first goes on from what the one before decided, be it its own earlier process.
    if let Some(beat) = beat.filter(|_| !(was_first && members.is_first)).and_then(decode::<Beat>) {
        beat.kept_for_short.iter().for_each(|(service, short)| node.apply_division(service, short));
    }
    if !members.is_first {
        return vec![];
    }
    let gone: Vec<String> = seen
        .iter()
        .filter(|(name, seen)| *name != own && !is_alive(seen))
        .map(|(name, _)| name.clone())
        .collect();
    seen.retain(|name, _| !gone.contains(name));
    gone
}

/// Forgets a gateway that is gone. Its accounts stay as they are: it may live on behind a cut, and all that it holds is
/// its own to use until it settles, so closing them would free nothing and take its tokens out of use for good.
async fn forget<W: Wire, S: Rows>(node: &Node<W, S>, name: &str) {
    let change = Change { drops: vec![Key::new(TABLE, name)], ..Change::default() };
    if let Err(error) = node.rows.commit(&change).await {
        log::warn!("fleet: event=not-forgotten gateway={name} {error}");
    }
}

#[cfg(test)]
#[path = "../tests/unit/members.rs"]
mod tests;
