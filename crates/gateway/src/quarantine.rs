//! Quarantine of requests that crash the upstreams which run them. They are found by broken runs, reported to
//! the other gateways, and kept in the store.
//!
//! [`route::notice`] decides which gateways are told of what. Denials are sent to all gateways and written to
//! a table. Each gateway reads the table when it starts, when another one's heartbeat names a newer version,
//! and periodically while any request is denied.

use crate::denials::{self, Denial};
use crate::job::{Admitted, Job};
use crate::node::Node;
use crate::ports::Wire;
use crate::reach;
use net::{ProbeResult, exec};
use route::Millis;
use route::notice::{FollowUp, Notice};
use route::quarantine::{
    DECISION_DELAY_MS, DENIAL_DURATION_MS, Fingerprint, LostRun, Stage, Upstreams, Verdict,
};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;
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

/// A run that broke before its answer was complete.
#[derive(Clone, Debug)]
struct BrokenRun {
    upstream: String,
    request: String,
    fingerprint: Fingerprint,
    /// The parts of its prompt, in order.
    parts: SmallVec<[u64; 4]>,
    /// The time from its first answer to the break, in milliseconds; `None` if there was no answer.
    begun_ms: Option<Millis>,
}

/// Computes the fingerprint of a request. It is a cryptographic digest, so that nobody can craft a request
/// whose fingerprint matches that of another caller.
pub(crate) fn fingerprint(host: &str, uri: &http::Uri, team: Option<&str>, body: &[u8]) -> Fingerprint {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let mut digest = Sha256::new();
    for part in [host.as_bytes(), path.as_bytes(), team.unwrap_or_default().as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&digest.finalize()[..16]);
    Fingerprint::new(first)
}

impl Admitted {
    fn fingerprint(&self) -> Fingerprint {
        let team = self.team.as_ref().map(|team| team.name.as_str());
        fingerprint(&self.ask.host, &self.head.uri, team, &self.body)
    }

    /// The parts of its prompt, in order.
    fn parts(&self) -> SmallVec<[u64; 4]> {
        self.ask.prompt.iter().flat_map(|prompt| prompt.parts.iter().map(|part| part.id)).collect()
    }
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Checks in the background whether a run of this request broke because its upstream crashed. A
    /// request that is already suspect must wait for the result, since it may crash the next upstream as
    /// well.
    pub(crate) fn inspect(&self, upstream: &str, begun_ms: Option<Millis>) -> Inspection {
        let fingerprint = self.request.fingerprint();
        let is_suspect = self.node.quarantine().verdict(fingerprint, self.node.now()) != Verdict::Clear;
        let (upstream, request) = (upstream.to_owned(), self.request.ask.id.clone());
        let parts = self.request.parts();
        let broken = BrokenRun { upstream, request, fingerprint, parts, begun_ms };
        // The inspection continues if the caller disconnects: that caller may be the one that sends such
        // requests.
        let (done, waiting) = async_channel::bounded::<()>(1);
        let inspection = inspect(self.node.clone(), broken);
        exec::spawn(async move {
            inspection.await;
            drop(done);
        })
        .detach();
        if is_suspect { Inspection::Wait(waiting) } else { Inspection::Background }
    }

    /// Records that an upstream survived a run of this request.
    pub(crate) fn record_survival(&self) {
        if self.node.quarantine().is_empty() {
            return;
        }
        let fingerprint = self.request.fingerprint();
        let notice = self.node.quarantine().record_survival(fingerprint);
        if let Some(notice) = notice {
            log::info!("quarantine: event=cleared fingerprint={fingerprint} request={}", self.request.ask.id);
            self.node.hints.announce_quarantine(notice, self.node.now());
        }
    }

    /// Whether this request may run again: its runs, or those of other attempts with the same fingerprint,
    /// may have crashed too many upstreams.
    pub(crate) fn may_repeat(&self) -> bool {
        matches!(check(&self.node, || self.request.fingerprint()), Check::Passed)
    }
}

/// The parts of a prompt as they appear in logs.
fn ids(parts: &[u64]) -> String {
    let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    ids.join(",")
}

/// Whether a request may be dispatched again before its broken run has been inspected.
pub(crate) enum Inspection {
    /// It may be dispatched while the inspection runs in the background.
    Background,
    /// It may be dispatched once this channel is closed.
    Wait(async_channel::Receiver<()>),
}

impl Inspection {
    /// Waits until the request may be dispatched again.
    pub(crate) async fn wait(self) {
        if let Inspection::Wait(waiting) = self {
            // Nothing is ever sent: `recv` fails once the inspection is done and drops its sender.
            let _ = waiting.recv().await;
        }
    }
}

/// The result of checking a request against the quarantine.
pub(crate) enum Check {
    /// The request may run.
    Passed,
    /// The request may not run until it has been decided on.
    Undecided(Fingerprint),
    /// The request may not run.
    Denied(Fingerprint),
}

/// Checks a request. Its fingerprint is computed only if some request is suspect or denied.
pub(crate) fn check<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    fingerprint: impl FnOnce() -> Fingerprint,
) -> Check {
    if node.quarantine().is_empty() {
        return Check::Passed;
    }
    let (fingerprint, now) = (fingerprint(), node.now());
    let verdict = node.quarantine().verdict(fingerprint, now);
    match verdict {
        Verdict::Clear | Verdict::Suspect(_) => return Check::Passed,
        Verdict::Undecided => return Check::Undecided(fingerprint),
        Verdict::Denied => {}
    }
    let renewed = node.quarantine().renew(fingerprint, now);
    if let Some(upstreams) = renewed {
        exec::spawn(renew(node.clone(), fingerprint, upstreams)).detach();
    }
    Check::Denied(fingerprint)
}

/// Tries to connect to the upstream's address: a terminated process refuses, while a broken connection alone
/// proves nothing. If another gateway is connected, it is only the path from this one that is broken.
///
/// A process that is back before the attempt accepts it too, so the replacement of the upstream counts as well.
async fn inspect<W: Wire, S: Rows>(node: Arc<Node<W, S>>, broken: BrokenRun) {
    let BrokenRun { upstream, request, fingerprint, parts, begun_ms } = broken;
    let Some(listing) = node.listings().get(&upstream).cloned() else { return };
    let was_leaving = node.placer().has_announced_leaving(&upstream);
    let probed = net::probe_after_break(listing.address).await;
    let is_leaving = was_leaving || node.placer().has_announced_leaving(&upstream);
    log::warn!(
        "upstream: event=run-lost upstream={upstream} address={} request={request} fingerprint={fingerprint} parts={} begun-ms={begun_ms:?} leaving={is_leaving}",
        probed.name(),
        ids(&parts),
    );
    let has_terminated =
        probed == ProbeResult::Refuses && !reach::is_reached_by_others(&node, &upstream).await;
    if has_terminated {
        node.metrics.runs_lost.inc();
    }
    // A leaving upstream terminates of its own accord.
    let Some(stage) = Stage::of(begun_ms).filter(|_| !is_leaving) else { return };
    let is_replaced = node.listings().get(&upstream).is_none_or(|current| current.started != listing.started);
    let run = LostRun { fingerprint, upstream, stage };
    match has_terminated || is_replaced {
        true => observe_crash(&node, &run),
        false => node.quarantine().record_lost_run(run, node.now()),
    }
}

fn observe_crash<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, run: &LostRun) {
    let follow_up = node.quarantine().observe_crash(run.fingerprint, &run.upstream, run.stage, node.now());
    handle_follow_up(node, follow_up);
}

/// Records that an upstream was replaced or removed from the list, although it had not announced that it leaves.
pub(crate) fn observe_replacement<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, upstream: &str) {
    let lost_runs = node.quarantine().take_lost_runs(upstream, node.now());
    for run in lost_runs {
        log::warn!("upstream: event=replaced upstream={upstream} fingerprint={}", run.fingerprint);
        observe_crash(node, &run);
    }
}

/// Whether the process of an upstream at `address` has terminated, with or without notice.
pub(crate) async fn has_terminated<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    upstream: &str,
    address: SocketAddr,
) -> bool {
    net::probe_after_break(address).await == ProbeResult::Refuses
        && !reach::is_reached_by_others(node, upstream).await
}

/// Tells the other gateways what they need to know, and schedules the decision on a suspect if it is due.
fn handle_follow_up<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, follow_up: FollowUp) {
    if let Some(notice) = follow_up.notice {
        if let Notice::Suspect { fingerprint, ends } = &notice {
            let names: Vec<&str> = ends.iter().map(|crash| crash.upstream.as_str()).collect();
            let (ended, names) = (ends.len(), names.join(","));
            log::warn!("quarantine: event=suspect fingerprint={fingerprint} ended={ended} upstreams={names}");
        }
        node.hints.announce_quarantine(notice, node.now());
    }
    if follow_up.is_decision_due {
        exec::spawn(decide(node.clone())).detach();
    }
}

/// Decides on suspects once the reports of the other gateways have had time to arrive.
async fn decide<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    exec::sleep(Duration::from_millis(DECISION_DELAY_MS)).await;
    let denied: Vec<Decision> = {
        let (mut quarantine, now) = (node.quarantine(), node.now());
        let requests = quarantine.decide(now);
        let decision = |fingerprint| Decision {
            fingerprint,
            upstreams: quarantine.denied_upstreams(fingerprint).unwrap_or_default(),
            is_firsthand: quarantine.is_firsthand(fingerprint),
        };
        requests.into_iter().map(decision).collect()
    };
    for Decision { fingerprint, upstreams, is_firsthand } in denied {
        let names = upstreams.join(",");
        log::warn!("quarantine: event=denied fingerprint={fingerprint} upstreams={names} told-by=self");
        update_gauge(&node);
        if is_firsthand {
            exec::spawn(announce(node.clone(), fingerprint, upstreams)).detach();
        }
    }
}

/// A request that this gateway has decided to deny.
struct Decision {
    fingerprint: Fingerprint,
    upstreams: Upstreams,
    /// Whether this gateway observed one of the crashes itself, and therefore tells the others.
    is_firsthand: bool,
}

/// Tells all gateways that a denied request was sent again, unless an operator has lifted the denial.
async fn renew<W: Wire, S: Rows>(node: Arc<Node<W, S>>, fingerprint: Fingerprint, upstreams: Upstreams) {
    if let Err(error) = read(&node).await {
        log::warn!("quarantine: event=not-read {error}");
    }
    if node.quarantine().denied_upstreams(fingerprint).is_some() {
        announce(node, fingerprint, upstreams).await;
    }
}

/// Tells all gateways that a request is denied, and writes the denial to the store.
async fn announce<W: Wire, S: Rows>(node: Arc<Node<W, S>>, fingerprint: Fingerprint, upstreams: Upstreams) {
    let notice = Notice::Denied { fingerprint, upstreams: upstreams.clone(), lasts_ms: DENIAL_DURATION_MS };
    node.hints.announce_quarantine(notice, node.now());
    while node.quarantine().denied_upstreams(fingerprint).is_some() {
        match denials::insert(&node.rows, fingerprint, &upstreams).await {
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
    if let Notice::Denied { fingerprint, upstreams, lasts_ms } = notice {
        return deny(node, *fingerprint, upstreams, *lasts_ms, "gateway");
    }
    let follow_up = node.quarantine().apply(notice, node.now());
    handle_follow_up(node, follow_up);
}

fn deny<W: Wire, S: Rows>(
    node: &Node<W, S>,
    fingerprint: Fingerprint,
    upstreams: &Upstreams,
    lasts_ms: Millis,
    told_by: &str,
) {
    if node.quarantine().deny(fingerprint, upstreams, lasts_ms, node.now()) {
        let names = upstreams.join(",");
        log::warn!("quarantine: event=denied fingerprint={fingerprint} upstreams={names} told-by={told_by}");
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
    for Denial { fingerprint, upstreams, left_ms, is_lifted } in table.denials {
        match is_lifted {
            true => lift(node, fingerprint),
            false => deny(node, fingerprint, &upstreams, left_ms, "store"),
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
#[path = "../tests/unit/quarantine.rs"]
mod tests;
