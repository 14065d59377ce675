//! Denials of requests and of parts of prompts: decided here, told to the other gateways, kept in the store and read
//! from there.
//!
//! Each gateway reads the table of denials when it starts, when another one's heartbeat names a newer version, and
//! periodically while anything is denied.

use crate::denials::{self, Denial};
use crate::node::Node;
use crate::ports::Wire;
use crate::quarantine::{handle_follow_up, ids};
use net::exec;
use route::Millis;
use route::notice::{self, Notice};
use route::poison::{self, Cause, Parts};
use route::quarantine::{DECISION_DELAY_MS, DENIAL_DURATION_MS, DENIAL_THRESHOLD, Fingerprint, Upstreams};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::rows::Rows;

/// The delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The interval between reads of the table while any request is denied. In a large fleet it is
/// `READ_INTERVAL_PER_GATEWAY_MS` for each gateway, so that all of them together make at most a hundred reads
/// per second. A lifted denial remains in force for at most one interval.
const READ_INTERVAL: Duration = Duration::from_secs(10);
const READ_INTERVAL_PER_GATEWAY_MS: u64 = 10;

/// Prolongs a denial that applied to a request, if it expires soon.
pub(crate) fn renew_if_due<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, denied: Fingerprint, now: Millis) {
    let (renewed, parts) = {
        let mut quarantine = node.quarantine();
        (quarantine.renew(denied, now), quarantine.parts_of(denied))
    };
    if let Some(upstreams) = renewed {
        exec::spawn(renew(node.clone(), Ruling { fingerprint: denied, parts, upstreams })).detach();
    }
}

/// Decides on suspects once the reports of the other gateways have had time to arrive.
pub(crate) async fn decide<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    exec::sleep(Duration::from_millis(DECISION_DELAY_MS)).await;
    let decisions: Vec<Decision> = {
        let (mut quarantine, now) = (node.quarantine(), node.now());
        let requests = quarantine.decide(now);
        let decision = |fingerprint| {
            let upstreams = quarantine.denied_upstreams(fingerprint).unwrap_or_default();
            let is_announced = quarantine.is_firsthand(fingerprint);
            Decision { ruling: Ruling { fingerprint, parts: Parts::new(), upstreams }, is_announced }
        };
        requests.into_iter().map(decision).collect()
    };
    enforce(&node, decisions);
}

/// Decides on parts of prompts, like [`decide`].
pub(crate) async fn decide_on_parts<W: Wire, S: Rows>(node: Arc<Node<W, S>>, delay_ms: Millis) {
    exec::sleep(Duration::from_millis(delay_ms)).await;
    let is_coordinated = notice::is_coordinated(node.hints.peers().len() + 1);
    let is_responsible = |part| is_responsible(&node, part);
    let causes = node.quarantine().decide_on_parts(node.now(), is_responsible);
    let decision = |Cause { parts, upstreams, is_firsthand }| {
        let ruling = Ruling { fingerprint: poison::fingerprint(&parts), parts, upstreams };
        Decision { ruling, is_announced: is_firsthand || is_coordinated }
    };
    enforce(&node, causes.into_iter().map(decision));
}

/// Whether this gateway decides on a part of prompts.
pub(crate) fn is_responsible<W: Wire, S: Rows>(node: &Node<W, S>, part: u64) -> bool {
    let peers: Vec<String> = node.hints.peers().iter().map(SocketAddr::to_string).collect();
    notice::is_responsible(part, node.settings.listen.peers.to_string(), peers.into_iter())
}

fn enforce<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, decisions: impl IntoIterator<Item = Decision>) {
    for Decision { ruling, is_announced } in decisions {
        ruling.log("self");
        update_gauge(node);
        if is_announced {
            exec::spawn(announce(node.clone(), ruling)).detach();
        }
    }
}

/// A denial that this gateway has decided on.
struct Decision {
    ruling: Ruling,
    /// Whether this gateway tells the others: it observed one of the crashes itself, or few others know of them.
    is_announced: bool,
}

/// What is denied, and why.
#[derive(Clone, Debug)]
struct Ruling {
    fingerprint: Fingerprint,
    /// The parts of the denied prompts; empty if a single request is denied.
    parts: Parts,
    /// The upstreams that crashed.
    upstreams: Upstreams,
}

impl Ruling {
    fn log(&self, told_by: &str) {
        let Ruling { fingerprint, parts, upstreams } = self;
        let (parts, upstreams) = (ids(parts), upstreams.join(","));
        log::warn!(
            "quarantine: event=denied fingerprint={fingerprint} parts={parts} upstreams={upstreams} told-by={told_by}"
        );
    }

    fn notice(&self) -> Notice {
        let Ruling { fingerprint, parts, upstreams } = self.clone();
        let lasts_ms = DENIAL_DURATION_MS;
        match parts.is_empty() {
            true => Notice::Denied { fingerprint, upstreams, lasts_ms },
            false => {
                // With all names the notice might not fit into a datagram.
                let upstreams = upstreams.into_iter().take(DENIAL_THRESHOLD).collect();
                Notice::DeniedParts { parts, upstreams, lasts_ms }
            }
        }
    }
}

/// Tells all gateways that a denied request was sent again, unless an operator has lifted the denial.
async fn renew<W: Wire, S: Rows>(node: Arc<Node<W, S>>, ruling: Ruling) {
    if let Err(error) = read(&node).await {
        log::warn!("quarantine: event=not-read {error}");
    }
    if node.quarantine().denied_upstreams(ruling.fingerprint).is_some() {
        announce(node, ruling).await;
    }
}

/// Tells all gateways of a denial, and writes it to the store.
async fn announce<W: Wire, S: Rows>(node: Arc<Node<W, S>>, ruling: Ruling) {
    node.hints.announce_quarantine(ruling.notice(), node.now());
    let Ruling { fingerprint, parts, upstreams } = &ruling;
    while node.quarantine().denied_upstreams(*fingerprint).is_some() {
        match denials::insert(&node.rows, *fingerprint, parts, upstreams).await {
            Ok(()) => {
                node.quarantine_changed.notify(usize::MAX);
                return;
            }
            Err(error) => log::warn!("quarantine: event=not-kept fingerprint={fingerprint} {error}"),
        }
        exec::sleep(RETRY_DELAY).await;
    }
}

/// Applies a notice from another gateway.
pub(crate) fn apply_notice<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, notice: &Notice) {
    let (ruling, lasts_ms) = match notice {
        Notice::Denied { fingerprint, upstreams, lasts_ms } => {
            let (parts, upstreams) = (Parts::new(), upstreams.clone());
            (Ruling { fingerprint: *fingerprint, parts, upstreams }, *lasts_ms)
        }
        Notice::DeniedParts { parts, upstreams, lasts_ms } => {
            let (parts, upstreams) = (parts.clone(), upstreams.clone());
            (Ruling { fingerprint: poison::fingerprint(&parts), parts, upstreams }, *lasts_ms)
        }
        _ => {
            let follow_up = node.quarantine().apply(notice, node.now());
            return handle_follow_up(node, follow_up);
        }
    };
    deny(node, &ruling, lasts_ms, "gateway");
}

fn deny<W: Wire, S: Rows>(node: &Node<W, S>, ruling: &Ruling, lasts_ms: Millis, told_by: &str) {
    let now = node.now();
    let Ruling { fingerprint, parts, upstreams } = ruling;
    let is_new = match parts.is_empty() {
        true => node.quarantine().deny(*fingerprint, upstreams, lasts_ms, now),
        false => node.quarantine().deny_parts(parts, upstreams, lasts_ms, now),
    };
    if is_new {
        ruling.log(told_by);
    }
    update_gauge(node);
}

fn update_gauge<W: Wire, S: Rows>(node: &Node<W, S>) {
    node.metrics.quarantined.set(node.quarantine().denied_count() as i64);
}

/// Reads the denied requests when the gateway starts, when another gateway has read a newer version of the
/// table, and periodically while any request is denied, since operators may lift denials.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    loop {
        let more = node.quarantine_changed.listen();
        let pause = match read(&node).await {
            Ok(()) if node.quarantine().denied_count() == 0 => {
                more.await;
                continue;
            }
            Ok(()) => {
                READ_INTERVAL.max(Duration::from_millis(node.fleet_size() * READ_INTERVAL_PER_GATEWAY_MS))
            }
            Err(error) => {
                log::warn!("quarantine: event=not-read {error}");
                RETRY_DELAY
            }
        };
        exec::timeout(pause, more).await;
    }
}

async fn read<W: Wire, S: Rows>(node: &Node<W, S>) -> Result<(), store::Error> {
    let table = denials::read(&node.rows).await?;
    for Denial { fingerprint, parts, upstreams, left_ms, is_lifted } in table.denials {
        match is_lifted {
            true => lift(node, fingerprint),
            false => deny(node, &Ruling { fingerprint, parts, upstreams }, left_ms, "store"),
        }
    }
    node.quarantine_version.fetch_max(table.version, Ordering::Relaxed);
    Ok(())
}

fn lift<W: Wire, S: Rows>(node: &Node<W, S>, fingerprint: Fingerprint) {
    if node.quarantine().lift(fingerprint) {
        log::warn!("quarantine: event=lifted fingerprint={fingerprint} told-by=store");
        update_gauge(node);
    }
}

/// Records which version of the table another gateway has read, and has the table read if that is newer. Each
/// version triggers a single read: the row of that version may have been deleted since.
pub(crate) fn observe_version<W: Wire, S: Rows>(node: &Node<W, S>, version: u64) {
    if version > node.quarantine_version.fetch_max(version, Ordering::Relaxed) {
        node.quarantine_changed.notify(usize::MAX);
    }
}

#[cfg(test)]
#[path = "../tests/unit/rulings.rs"]
mod tests;
