//! Requests that end their upstreams: found by runs that broke off, told to the other gateways, and kept in the store.
//!
//! What is told to whom is decided in [`route::word`]. What is denied is told to all, and written to a table that each gateway reads when it
//! starts, when another one's heartbeat says that it knows more, and now and then while something is denied.

use crate::denials::{self, Denial};
use crate::job::{Admitted, Job};
use crate::node::Node;
use crate::ports::Wire;
use net::{Reach, exec};
use route::Millis;
use route::quarantine::{DENIED_MS, Fingerprint, GATHER_MS, Stage, Upstreams, Verdict};
use route::word::{Reaction, Word};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::rows::Rows;

/// How long the address of an upstream is asked for a connection: some round trips within a region.
const PROBE_LIMIT: Duration = Duration::from_millis(300);
/// The pause before it is asked: a process that ends closes its connections and its listener one after the other.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// The pause after a call to the store failed.
const AGAIN: Duration = Duration::from_secs(1);
/// How often the table is read while some are denied, and in a large fleet the time for each gateway: a hundred reads a second of all of
/// them together. So long a denial that was lifted is in force at most.
const READ_AGAIN: Duration = Duration::from_secs(10);
const READ_SHARE_MS: u64 = 10;

/// A run that broke off.
#[derive(Clone, Debug)]
struct LostRun {
    upstream: String,
    request: String,
    fingerprint: Fingerprint,
    /// The time since its first answer, in milliseconds; `None` if there was none.
    begun_ms: Option<Millis>,
}

/// The fingerprint of a request. A digest that is hard to invert, so that nobody can craft a request that looks like another caller's.
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
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Looks whether a run of this request broke off because its upstream ended: beside other work, which a request that may end the
    /// next one too has to wait for.
    pub(crate) fn inspect(&self, upstream: &str, begun_ms: Option<Millis>) -> Inspection {
        let fingerprint = self.request.fingerprint();
        let is_suspect = self.node.quarantine().verdict(fingerprint, self.node.now()) != Verdict::Clear;
        let (upstream, request) = (upstream.to_owned(), self.request.ask.id.clone());
        let lost = LostRun { upstream, request, fingerprint, begun_ms };
        // It goes on if the caller leaves, who may be the one that sends such requests.
        let (done, waiting) = async_channel::bounded::<()>(1);
        let inspecting = inspect(self.node.clone(), lost);
        exec::spawn(async move {
            inspecting.await;
            drop(done);
        })
        .detach();
        if is_suspect { Inspection::Wait(waiting) } else { Inspection::Beside }
    }

    /// Takes in that an upstream outlived a run of this request.
    pub(crate) fn outlived(&self) {
        if self.node.quarantine().is_empty() {
            return;
        }
        let fingerprint = self.request.fingerprint();
        let word = self.node.quarantine().outlived(fingerprint);
        if let Some(word) = word {
            log::info!("quarantine: event=cleared fingerprint={fingerprint} request={}", self.request.ask.id);
            self.node.hints.warn(word, self.node.now());
        }
    }

    /// Whether this request may run again: runs of it, or of other attempts, may have ended one upstream too many.
    pub(crate) fn may_repeat(&self) -> bool {
        matches!(check(&self.node, || self.request.fingerprint()), Check::Passed)
    }
}

/// Whether more may be dispatched before a run that broke off was looked into.
pub(crate) enum Inspection {
    /// It may.
    Beside,
    /// Only once this is closed.
    Wait(async_channel::Receiver<()>),
}

impl Inspection {
    /// Waits until more may be dispatched.
    pub(crate) async fn done(self) {
        if let Inspection::Wait(waiting) = self {
            // Nothing is sent: it ends with an error once the inspection is done.
            let _ = waiting.recv().await;
        }
    }
}

/// What the quarantine says of a request.
pub(crate) enum Check {
    /// It may run.
    Passed,
    /// It may not run before it is decided on.
    Undecided(Fingerprint),
    /// It may not run.
    Denied(Fingerprint),
}

/// Checks a request. Nothing is computed as long as no upstream ended under any.
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

/// Asks the upstream's address for a connection: a process that has ended refuses, a broken connection alone says nothing.
async fn inspect<W: Wire, S: Rows>(node: Arc<Node<W, S>>, lost: LostRun) {
    let Some(address) = node.listings().get(&lost.upstream).map(|listing| listing.address) else { return };
    exec::sleep(PROBE_PAUSE).await;
    let reach = net::probe(address, PROBE_LIMIT).await;
    let LostRun { upstream, request, fingerprint, begun_ms } = &lost;
    let is_leaving = node.places().is_leaving(upstream);
    log::warn!(
        "upstream: event=run-lost upstream={upstream} address={} request={request} fingerprint={fingerprint} begun-ms={begun_ms:?} leaving={is_leaving}",
        reach.name()
    );
    if reach != Reach::Refuses {
        return;
    }
    node.metrics.runs_lost.inc();
    // One that leaves ends of its own accord.
    let Some(stage) = Stage::of(*begun_ms).filter(|_| !is_leaving) else { return };
    let reaction = node.quarantine().observe(*fingerprint, upstream, stage, node.now());
    react(&node, reaction);
}

/// Tells the others what they should know, and sees to it that a suspect is decided on in time.
fn react<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, reaction: Reaction) {
    if let Some(word) = reaction.tell {
        if let Word::Suspect { fingerprint, ends } = &word {
            let names: Vec<&str> = ends.iter().map(|end| end.upstream.as_str()).collect();
            let (ended, names) = (ends.len(), names.join(","));
            log::warn!("quarantine: event=suspect fingerprint={fingerprint} ended={ended} upstreams={names}");
        }
        node.hints.warn(word, node.now());
    }
    if reaction.is_due {
        exec::spawn(decide(node.clone())).detach();
    }
}

/// Decides once word of the last end has come from all.
async fn decide<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    exec::sleep(Duration::from_millis(GATHER_MS)).await;
    let denied: Vec<Decision> = {
        let (mut quarantine, now) = (node.quarantine(), node.now());
        let requests = quarantine.decide(now);
        let decision = |fingerprint| Decision {
            fingerprint,
            upstreams: quarantine.denial(fingerprint).unwrap_or_default(),
            is_own: quarantine.is_own(fingerprint),
        };
        requests.into_iter().map(decision).collect()
    };
    for Decision { fingerprint, upstreams, is_own } in denied {
        let names = upstreams.join(",");
        log::warn!("quarantine: event=denied fingerprint={fingerprint} upstreams={names} told-by=self");
        count(&node);
        if is_own {
            exec::spawn(announce(node.clone(), fingerprint, upstreams)).detach();
        }
    }
}

/// A request that this gateway denies from now on.
struct Decision {
    fingerprint: Fingerprint,
    upstreams: Upstreams,
    /// Whether this gateway saw one of the ends itself, and so tells the others.
    is_own: bool,
}

/// Tells all gateways that a denied request came again, unless operators lifted the denial.
async fn renew<W: Wire, S: Rows>(node: Arc<Node<W, S>>, fingerprint: Fingerprint, upstreams: Upstreams) {
    if let Err(error) = read(&node).await {
        log::warn!("quarantine: event=not-read {error}");
    }
    if node.quarantine().denial(fingerprint).is_some() {
        announce(node, fingerprint, upstreams).await;
    }
}

/// Tells all gateways that a request is denied, and keeps it in the store.
async fn announce<W: Wire, S: Rows>(node: Arc<Node<W, S>>, fingerprint: Fingerprint, upstreams: Upstreams) {
    let word = Word::Denied { fingerprint, upstreams: upstreams.clone(), lasts_ms: DENIED_MS };
    node.hints.warn(word, node.now());
    while node.quarantine().denial(fingerprint).is_some() {
        match denials::keep(&node.rows, fingerprint, &upstreams).await {
            Ok(()) => {
                node.quarantine_grew.notify(usize::MAX);
                return;
            }
            Err(error) => log::warn!("quarantine: event=not-kept fingerprint={fingerprint} {error}"),
        }
        exec::sleep(AGAIN).await;
    }
}

/// Takes in what another gateway says.
pub(crate) fn hear<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, word: &Word) {
    if let Word::Denied { fingerprint, upstreams, lasts_ms } = word {
        return deny(node, *fingerprint, upstreams, *lasts_ms, "gateway");
    }
    let reaction = node.quarantine().hear(word, node.now());
    react(node, reaction);
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
    count(node);
}

fn count<W: Wire, S: Rows>(node: &Node<W, S>) {
    node.metrics.quarantined.set(node.quarantine().denied() as i64);
}

/// Reads the denied requests when the gateway starts, whenever another one knows more, and as long as some are denied now and then:
/// operators may lift them.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    loop {
        let more = node.quarantine_grew.listen();
        let pause = match read(&node).await {
            Ok(()) if node.quarantine().denied() == 0 => {
                more.await;
                continue;
            }
            Ok(()) => READ_AGAIN.max(Duration::from_millis(node.fleet_size() * READ_SHARE_MS)),
            Err(error) => {
                log::warn!("quarantine: event=not-read {error}");
                AGAIN
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
        count(node);
    }
}

/// Takes in which version of the table another gateway has read. It is asked for once: a row of that version may be gone by now.
pub(crate) fn compare<W: Wire, S: Rows>(node: &Node<W, S>, version: u64) {
    if version > node.quarantine_version.fetch_max(version, Ordering::Relaxed) {
        node.quarantine_grew.notify(usize::MAX);
    }
}
