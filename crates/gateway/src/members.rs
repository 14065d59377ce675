//! Membership of the fleet: each gateway writes a heartbeat row and reads those of the others.
//!
//! The list of gateways determines each one's share of connections, retries and budgets, and which engines
//! are reserved for short requests. No safety property depends on it.

use crate::node::{Node, Phase};
use crate::owners::Peer;
use crate::ports::Wire;
use crate::settings::Settings;
use crate::table::{decode, encode};
use net::exec;
use route::reach::Distance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::rows::{Change, Key, Page, Record, Rows};

/// The table of heartbeats.
const TABLE: &str = "gateways";
/// The heartbeat interval in a small fleet, in milliseconds. It is how long the gateways take to agree on
/// which engines are reserved for short requests.
const HEARTBEAT_INTERVAL_MS: u64 = 1_500;
/// The most heartbeats that the whole fleet writes per second: a small part of the writes that the store
/// accepts.
const MAX_HEARTBEATS_PER_S: u64 = 50;
/// The most bytes of the list that a gateway reads per second. In a large fleet it therefore reads the list
/// less often than it writes heartbeats.
const MAX_LIST_BYTES_PER_S: u64 = 4_096;
/// The size of a row in addition to its value, in bytes.
const ROW_OVERHEAD_BYTES: u64 = 100;
/// The number of missed heartbeats after which a gateway is considered gone.
const MAX_MISSED_HEARTBEATS: u64 = 8;

/// The value of a heartbeat row.
#[derive(Debug, Deserialize, Serialize)]
struct Heartbeat {
    /// The name of the VM and the incarnation of the process.
    holder: String,
    /// The address at which it listens for the other gateways' requests and datagrams.
    peers: SocketAddr,
    /// The number of processor cores of its VM.
    #[serde(default = "whole_core")]
    cores: f64,
    /// Where its VM is; empty in heartbeats of earlier versions.
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    region: String,
    /// How long the process has run, in milliseconds. It makes each heartbeat differ from the one before: a
    /// row that did not change would not show that the process still runs.
    up_ms: u64,
    /// The engines of each service that are reserved for short requests. The first gateway decides, and the
    /// others adopt its decision.
    #[serde(default)]
    kept_for_short: BTreeMap<String, Vec<String>>,
    /// The newest version of the table of denied requests that it knows of.
    #[serde(default)]
    quarantine: u64,
}

/// The cores of a gateway of an earlier version, whose heartbeats don't contain them.
fn whole_core() -> f64 {
    1.0
}

/// The last change of a heartbeat row.
struct Seen {
    version: u64,
    /// When this gateway noticed it.
    at: u64,
}

/// The heartbeats that this gateway has read.
#[derive(Default)]
struct Members {
    seen: HashMap<String, Seen>,
    /// When they were last read.
    read_at: Option<u64>,
    /// Whether this gateway is the first by name of those alive.
    is_first: bool,
    /// The interval between reads, in milliseconds.
    interval_ms: u64,
}

/// Writes this gateway's heartbeats and reads those of the others.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut members = Members::default();
    let mut next_read = 0;
    loop {
        let interval_ms = heartbeat_interval_ms(&node);
        if node.now() >= next_read {
            let requested = node.now();
            match node.rows.list(TABLE, "").await {
                Ok(page) => {
                    next_read = node.now() + min_read_interval_ms(&page);
                    members.interval_ms = interval_ms.max(min_read_interval_ms(&page));
                    update_roster(&node, &page, requested, members.interval_ms);
                    let gone =
                        update_members(&node, &mut members, &page, interval_ms * MAX_MISSED_HEARTBEATS);
                    for name in gone {
                        log::warn!("fleet: event=gateway-gone gateway={name}");
                        remove_gateway(&node, &name).await;
                    }
                }
                Err(error) => log::warn!("fleet: event=not-read {error}"),
            }
        }
        if node.phase() != Phase::Draining {
            send_heartbeat(&node, &members).await;
        }
        exec::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Reads the addresses of the other gateways.
///
/// # Errors
/// The store does not answer.
pub(crate) async fn list<W: Wire, S: Rows>(node: &Node<W, S>) -> Result<Vec<SocketAddr>, store::Error> {
    let page = node.rows.list(TABLE, "").await?;
    let others = page.records.iter().filter(|record| record.name != node.settings.name);
    Ok(others.filter_map(|record| Some(decode::<Heartbeat>(record)?.peers)).collect())
}

/// The heartbeat interval in a fleet of the current size, in milliseconds.
fn heartbeat_interval_ms<W: Wire, S: Rows>(node: &Node<W, S>) -> u64 {
    HEARTBEAT_INTERVAL_MS.max(node.fleet_size() * 1_000 / MAX_HEARTBEATS_PER_S)
}

/// The shortest interval between reads of a list of this size, in milliseconds.
fn min_read_interval_ms(page: &Page) -> u64 {
    let bytes = |record: &Record| record.value.as_ref().map_or(0, Vec::len) as u64 + ROW_OVERHEAD_BYTES;
    page.records.iter().map(bytes).sum::<u64>() * 1_000 / MAX_LIST_BYTES_PER_S
}

/// The number of gateways; `None` if the list has not been read for so long that the others may have removed
/// this gateway, and may have divided its share among themselves.
pub(crate) fn known_fleet_size<W: Wire, S: Rows>(node: &Node<W, S>) -> Option<u32> {
    let read_ms = node.fleet_read_ms.load(Ordering::Relaxed);
    let is_known = read_ms > 0
        && node.now().saturating_sub(read_ms) < heartbeat_interval_ms(node) * MAX_MISSED_HEARTBEATS;
    is_known.then_some(node.fleet_size() as u32)
}

/// Writes a heartbeat. The first gateway also decides which engines are reserved for short requests.
async fn send_heartbeat<W: Wire, S: Rows>(node: &Node<W, S>, members: &Members) {
    let kept_for_short = if members.is_first { divide_engines(node) } else { BTreeMap::new() };
    for (service, short) in &kept_for_short {
        node.hints.announce_division(service, short);
    }
    let quarantine = node.quarantine_version.load(Ordering::Relaxed);
    let (holder, peers, cores) = (node.holder.clone(), node.settings.listen.peers, node.settings.cores());
    let sent = node.now();
    let (data_centre, region) = (node.settings.data_centre.clone(), node.settings.region.clone());
    let heartbeat =
        Heartbeat { holder, peers, cores, data_centre, region, up_ms: sent, kept_for_short, quarantine };
    let change = Change {
        puts: vec![(Key::new(TABLE, &node.settings.name), encode(&heartbeat))],
        ..Change::default()
    };
    match node.rows.commit(&change).await {
        Ok(_) => {
            let validity_ms = heartbeat_interval_ms(node) * MAX_MISSED_HEARTBEATS / 2;
            node.placer().roster.confirm_heartbeat(sent, node.now(), validity_ms, members.interval_ms);
        }
        Err(error) => log::warn!("fleet: event=heartbeat-failed {error}"),
    }
}

/// Updates the list that determines this gateway's part of the requests which upstreams accept while they
/// warm up or name a limit. It contains all rows: a gateway that seems gone may be running on the other side
/// of a network partition.
fn update_roster<W: Wire, S: Rows>(node: &Node<W, S>, page: &Page, requested: u64, interval_ms: u64) {
    let own = &node.settings.name;
    let row = page.records.iter().find(|record| record.name == *own);
    let up_ms = row.map(|row| decode::<Heartbeat>(row).map_or(0, |heartbeat| heartbeat.up_ms));
    let listed = page.records.iter().map(|record| record.name.as_str());
    node.placer().roster.update_list(own, listed, up_ms, requested, interval_ms);
}

/// Updates the division of the engines between long and short requests. Returns those that are reserved for
/// short ones.
fn divide_engines<W: Wire, S: Rows>(node: &Node<W, S>) -> BTreeMap<String, Vec<String>> {
    let mut placer = node.placer();
    let divisions = placer.adapt_divisions(node.now()).filter(|(_, short)| !short.is_empty());
    divisions.map(|(service, short)| (service.to_owned(), short.to_vec())).collect()
}

/// Deletes this gateway's heartbeat row, so that the others don't wait for its heartbeats.
pub(crate) async fn deregister<W: Wire, S: Rows>(node: &Node<W, S>) {
    node.placer().roster.leave();
    let change = Change { drops: vec![Key::new(TABLE, &node.settings.name)], ..Change::default() };
    if let Err(error) = node.rows.commit(&change).await {
        log::warn!("fleet: event=good-bye-failed {error}");
    }
}

/// Applies the heartbeats that were read: updates the size of the fleet and the peers. The first gateway gets
/// the names of those that are gone, the others get none.
fn update_members<W: Wire, S: Rows>(
    node: &Node<W, S>,
    members: &mut Members,
    page: &Page,
    gone_after: u64,
) -> Vec<String> {
    let now = node.now();
    node.fleet_read_ms.store(now.max(1), Ordering::Relaxed);
    let seen = &mut members.seen;
    if members.read_at.replace(now).is_some_and(|read_at| now.saturating_sub(read_at) > gone_after / 2) {
        // This gateway was cut off or suspended, so the heartbeats that it missed don't mean that the others
        // are gone.
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
    let alive = |name: &str| name != own && seen.get(name).is_some_and(is_alive);
    let heartbeats = page.records.iter().filter(|record| alive(&record.name));
    let peer = |record: &Record| {
        let heartbeat: Heartbeat = decode(record)?;
        crate::rulings::observe_version(node, heartbeat.quarantine);
        let distance = distance(&node.settings, &heartbeat);
        let Heartbeat { peers: address, cores, .. } = heartbeat;
        Some(Peer { name: record.name.clone(), address, cores, distance })
    };
    let peers: Vec<Peer> = heartbeats.filter_map(peer).collect();
    node.set_peers(&peers);
    node.metrics.fleet_gateways.set(others as i64 + 1);
    // The first gateway by name of those alive removes those that are gone.
    let first = seen.iter().filter(|(_, seen)| is_alive(seen)).map(|(name, _)| name).min();
    let was_first = std::mem::replace(&mut members.is_first, first == Some(own));
    node.is_first.store(members.is_first, Ordering::Relaxed);
    let heartbeat = first.and_then(|first| page.records.iter().find(|record| record.name == *first));
    // A gateway that becomes the first starts from the decision of the one before, which may be its own
    // earlier process.
    if let Some(heartbeat) =
        heartbeat.filter(|_| !(was_first && members.is_first)).and_then(decode::<Heartbeat>)
    {
        heartbeat.kept_for_short.iter().for_each(|(service, short)| node.apply_division(service, short));
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

/// How far the sender of a heartbeat is.
fn distance(own: &Settings, heartbeat: &Heartbeat) -> Distance {
    match heartbeat {
        _ if heartbeat.data_centre == own.data_centre => Distance::DataCentre,
        _ if heartbeat.region == own.region => Distance::Region,
        _ => Distance::Far,
    }
}

/// Deletes the heartbeat row of a gateway that is gone. Its accounts are not closed. It may be running on the
/// other side of a network partition, and may use what it holds until it settles. Closing them would free
/// nothing, and its tokens could never be used again.
async fn remove_gateway<W: Wire, S: Rows>(node: &Node<W, S>, name: &str) {
    let change = Change { drops: vec![Key::new(TABLE, name)], ..Change::default() };
    if let Err(error) = node.rows.commit(&change).await {
        log::warn!("fleet: event=not-forgotten gateway={name} {error}");
    }
    if let Err(error) = crate::origin_log::delete_all(node, name).await {
        log::warn!("fleet: event=not-forgotten gateway={name} {error}");
    }
}

#[cfg(test)]
#[path = "../tests/unit/members.rs"]
mod tests;
