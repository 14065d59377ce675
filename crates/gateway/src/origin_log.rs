//! Keeps in the store where streams began, for the next process of this VM: records in memory do not outlive a loss of all
//! gateways. [`route::origin_log`] decides what is written.

use crate::hints::SEND_DELAYS;
use crate::node::Node;
use crate::ports::Wire;
use crate::settle::retry_delay;
use net::exec;
use route::Millis;
use route::origin::Stream;
use route::origin_log::{MAX_DELETED, interval_ms};
use route::version::{Seen, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use store::Error;
use store::rows::{Change, Key, Page, Rows};

/// The table of origins; each VM has its own partition.
const TABLE: &str = "origins";
/// The interval at which a starting gateway checks whether it has a manifest.
const MANIFEST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The content of a row.
#[derive(Debug, Deserialize, Serialize)]
struct Content {
    /// A time no later than when it was written, in milliseconds of the store's clock.
    written_ms: u64,
    origins: Vec<(Stream, Version)>,
}

/// Learns what the process before knew, then writes what this one has to.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    exec::spawn(recover(node.clone())).detach();
    let mut failures = 0;
    loop {
        let interval_ms = interval_ms(node.fleet_size(), node.settings.store_writes_per_s);
        exec::sleep(Duration::from_millis(interval_ms)).await;
        match write(&node).await {
            Ok(()) => failures = 0,
            Err(error) => {
                log::warn!("origins: event=not-written {error}");
                exec::sleep(retry_delay(failures, node.fleet_size())).await;
                failures += 1;
            }
        }
    }
}

/// Writes what has to be written, or deletes the rows if nobody needs them any more.
async fn write<W: Wire, S: Rows>(node: &Node<W, S>) -> Result<(), Error> {
    let Some(manifest) = node.manifest() else { return Ok(()) };
    let (lifetime, now) = (node.stream_lifetime(), node.now());
    let is_ambiguous =
        |service: &&str| !matches!(node.origins.versions().seen(service, lifetime, now), Seen::Sole(_));
    let services = manifest.services.keys().map(String::as_str).filter(is_ambiguous);
    let batch = node.origins.log().take(services, lifetime, now);
    let Some(batch) = batch else { return delete_expired(node, lifetime, now).await };
    let content = Content { written_ms: node.store_now(), origins: batch.origins() };
    let bytes = bincode::serialize(&content).expect("origins serialize to bincode");
    let change = Change {
        part: node.settings.name.clone(),
        puts: vec![(Key::new(TABLE, key(batch.row)), bytes)],
        ..Change::default()
    };
    match node.rows.commit(&change).await {
        Ok(_) => {
            node.metrics.origins_written.inc_by(content.origins.len() as u64);
            node.origins.log().record_written(&batch, node.now());
            Ok(())
        }
        Err(error) => {
            node.origins.log().put_back(batch);
            Err(error)
        }
    }
}

async fn delete_expired<W: Wire, S: Rows>(
    node: &Node<W, S>,
    lifetime: Millis,
    now: Millis,
) -> Result<(), Error> {
    let rows = node.origins.log().take_expired_rows(lifetime, now);
    match rows {
        Some(rows) => delete(node, &node.settings.name, rows.map(key)).await,
        None => Ok(()),
    }
}

async fn delete<W: Wire, S: Rows>(
    node: &Node<W, S>,
    gateway: &str,
    rows: impl Iterator<Item = String>,
) -> Result<(), Error> {
    let rows: Vec<Key> = rows.map(|row| Key::new(TABLE, row)).collect();
    for drops in rows.chunks(MAX_DELETED) {
        let change = Change { part: gateway.to_owned(), drops: drops.to_vec(), ..Change::default() };
        node.rows.commit(&change).await?;
    }
    Ok(())
}

/// Deletes the rows of a gateway that is gone.
pub(crate) async fn delete_all<W: Wire, S: Rows>(node: &Node<W, S>, gateway: &str) -> Result<(), Error> {
    let page = node.rows.list(TABLE, gateway).await?;
    match page.records.is_empty() {
        true => Ok(()),
        false => delete(node, gateway, page.records.into_iter().map(|record| record.name)).await,
    }
}

fn key(row: u32) -> String {
    format!("{row:03}")
}

/// Learns where the streams of this VM's earlier processes began, and tells their keepers.
async fn recover<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut failures = 0;
    let page = loop {
        match node.rows.list(TABLE, &node.settings.name).await {
            Ok(page) => break page,
            Err(error) => log::warn!("origins: event=not-recovered {error}"),
        }
        exec::sleep(retry_delay(failures, node.fleet_size())).await;
        failures += 1;
    };
    node.set_store_clock(page.now_ms);
    while node.manifest().is_none() {
        exec::sleep(MANIFEST_POLL_INTERVAL).await;
    }
    let Some((newest, origins)) = decode(&page, node.stream_lifetime()) else { return };
    node.origins.log().continue_after(newest, node.now());
    log::info!("origins: event=recovered streams={}", origins.len());
    node.origins.learn(&origins, node.now());
    for delay in SEND_DELAYS {
        exec::sleep(delay).await;
        node.origins.tell_known(&node.hints, node.settings.listen.peers, &origins, node.now());
    }
}

/// The number of the newest row, and the origins that were written within `lifetime`; `None` if there is no row.
fn decode(page: &Page, lifetime: Millis) -> Option<(u32, Vec<(Stream, Version)>)> {
    let rows = page.records.iter().filter_map(|record| {
        let content: Content = bincode::deserialize(record.value.as_deref()?).ok()?;
        Some((record.version, record.name.parse::<u32>().ok()?, content))
    });
    let rows: Vec<_> = rows.collect();
    let (_, newest, _) = rows.iter().max_by_key(|(version, ..)| *version)?;
    let is_recent = |content: &Content| page.now_ms.saturating_sub(content.written_ms) <= lifetime;
    let recent = rows.iter().filter(|(.., content)| is_recent(content));
    Some((*newest, recent.flat_map(|(.., content)| content.origins.iter().copied()).collect()))
}
