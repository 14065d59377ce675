//! Quarantine of requests that crash the upstreams which run them, and of parts of prompts that do. They are found
//! by broken runs, which are reported to the other gateways.
//!
//! [`route::notice`] decides which gateways are told of what, and [`rulings`](crate::rulings) carries out what is
//! decided.

use crate::contact;
use crate::job::{Admitted, Job};
use crate::node::Node;
use crate::ports::{Ask, Wire};
use crate::reach;
use crate::refusal::Refusal;
use crate::rulings;
use net::{ProbeResult, exec};
use route::Millis;
use route::notice::{self, FollowUp, Notice};
use route::poison::{self, Loss, Parts};
use route::quarantine::{Fingerprint, LostRun, Stage, Verdict};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::rows::Rows;

/// The interval between reports of lost runs to other gateways.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The most lost runs that wait to be reported.
const MAX_UNREPORTED_LOSSES: usize = 256;

/// The times of a run that broke before its answer was complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenRun {
    /// When the request was dispatched.
    pub dispatched: Millis,
    /// When its first answer arrived; `None` if there was none.
    pub begun: Option<Millis>,
    /// When it broke.
    pub broken: Millis,
}

/// A broken run whose upstream may have crashed.
#[derive(Clone, Debug)]
struct Suspect {
    upstream: String,
    /// The caller's identifier of the request.
    id: String,
    fingerprint: Fingerprint,
    /// The parts of its prompt, in order.
    prompt: SmallVec<[u64; 4]>,
    run: BrokenRun,
}

impl Suspect {
    /// The time from its first answer to the break, in milliseconds; `None` if there was no answer.
    fn begun_ms(&self) -> Option<Millis> {
        self.run.begun.map(|begun| self.run.broken.saturating_sub(begun))
    }

    /// The loss of the run at the upstream that had `started` then. It has no parts if it does not count against them.
    fn loss(&self, started: Option<Millis>) -> Loss {
        let Suspect { upstream, fingerprint, prompt, run: BrokenRun { dispatched, broken, .. }, .. } = self;
        let parts = match poison::is_early(self.begun_ms()) {
            true => poison::shared_parts(prompt.iter().copied()),
            false => Parts::new(),
        };
        let run = poison::Run { request: fingerprint.seed(), parts };
        Loss {
            upstream: upstream.clone(),
            started,
            run,
            dispatched: *dispatched,
            at: *broken,
            is_firsthand: true,
        }
    }

    /// The lost run, if the stage that it had reached counts against the request.
    fn lost_run(&self, loss: &Loss) -> Option<LostRun> {
        let stage = Stage::of(self.begun_ms())?;
        let (fingerprint, upstream) = (self.fingerprint, self.upstream.clone());
        Some(LostRun { fingerprint, upstream, stage, loss: loss.clone() })
    }
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

/// The parts of a prompt, in order.
fn prompt(ask: &Ask) -> impl Iterator<Item = u64> {
    ask.prompt.iter().flat_map(|prompt| prompt.parts.iter().map(|part| part.id))
}

/// The parts of a prompt that other prompts may share.
fn shared_parts(ask: &Ask) -> Parts {
    poison::shared_parts(prompt(ask))
}

impl Admitted {
    fn fingerprint(&self) -> Fingerprint {
        let team = self.team.as_ref().map(|team| team.name.as_str());
        fingerprint(&self.ask.host, &self.head.uri, team, &self.body)
    }

    /// The parts of its prompt that other prompts may share.
    fn shared_parts(&self) -> Parts {
        shared_parts(&self.ask)
    }
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Checks in the background whether a run of this request broke because its upstream crashed. A
    /// request that is already suspect must wait for the result, since it may crash the next upstream as
    /// well.
    pub(crate) fn inspect(&self, upstream: &str, run: BrokenRun) -> Inspection {
        let fingerprint = self.request.fingerprint();
        let is_suspect = {
            let (quarantine, parts) = (self.node.quarantine(), self.request.shared_parts());
            quarantine.verdict(fingerprint, self.node.now()) != Verdict::Clear
                || quarantine.is_prompt_suspected(&parts)
        };
        let suspect = Suspect {
            upstream: upstream.to_owned(),
            id: self.request.ask.id.clone(),
            fingerprint,
            prompt: prompt(&self.request.ask).collect(),
            run,
        };
        // The inspection continues if the caller disconnects: that caller may be the one that sends such
        // requests.
        let (done, waiting) = async_channel::bounded::<()>(1);
        let inspection = inspect(self.node.clone(), suspect);
        exec::spawn(async move {
            inspection.await;
            drop(done);
        })
        .detach();
        if is_suspect { Inspection::Wait(waiting) } else { Inspection::Background }
    }

    /// Records that an upstream survived a run of this request.
    pub(crate) fn record_survival(&self) {
        if !self.node.quarantine().concerns_requests() {
            return;
        }
        let fingerprint = self.request.fingerprint();
        let notice = self.node.quarantine().record_survival(fingerprint);
        if let Some(notice) = notice {
            log::info!("quarantine: event=cleared fingerprint={fingerprint} request={}", self.request.ask.id);
            self.node.hints.announce_quarantine(notice, self.node.now());
        }
    }

    /// Records that an upstream survived the beginning of its answer to this request's prompt.
    pub(crate) fn record_prompt_survival(&self) {
        let (parts, now) = (self.request.shared_parts(), self.node.now());
        let notice = self.node.quarantine().record_prompt_survival(&parts, now);
        if let Some(Notice::ClearedParts(cleared)) = &notice {
            let (id, parts) = (&self.request.ask.id, ids(cleared));
            log::info!("quarantine: event=cleared parts={parts} request={id}");
        }
        if let Some(notice) = notice {
            self.node.hints.announce_quarantine(notice, now);
        }
    }

    /// Whether this request may still run: its runs, or those of other requests with the same fingerprint or with parts
    /// of its prompt, may have crashed too many upstreams since it was admitted.
    pub(crate) fn may_run(&self) -> bool {
        self.quarantine_refusal().is_none()
    }

    /// The refusal of this request if it may not run any more.
    pub(crate) fn quarantine_refusal(&self) -> Option<Refusal> {
        let checked = check(&self.node, &self.request.ask, || self.request.fingerprint());
        checked.refusal().map(|(refusal, _)| refusal)
    }
}

/// The parts of a prompt as they appear in logs.
pub(crate) fn ids(parts: &[u64]) -> String {
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
    /// Requests with certain parts of its prompt may not run.
    PartsDenied(Fingerprint),
}

impl Check {
    /// The refusal of a request that may not run, and the fingerprint of what is suspect or denied.
    pub(crate) fn refusal(self) -> Option<(Refusal, Fingerprint)> {
        match self {
            Check::Passed => None,
            Check::Undecided(fingerprint) => Some((Refusal::QuarantinePending, fingerprint)),
            Check::Denied(fingerprint) => Some((Refusal::Quarantined, fingerprint)),
            Check::PartsDenied(fingerprint) => Some((Refusal::PromptQuarantined, fingerprint)),
        }
    }
}

/// Checks a request. Its fingerprint is computed only if single requests are suspect or denied.
pub(crate) fn check<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    ask: &Ask,
    fingerprint: impl FnOnce() -> Fingerprint,
) -> Check {
    if node.quarantine().is_empty() {
        return Check::Passed;
    }
    let now = node.now();
    let denied = node.quarantine().denied_parts(&shared_parts(ask), now);
    if let Some(denied) = denied {
        rulings::renew_if_due(node, denied, now);
        return Check::PartsDenied(denied);
    }
    if !node.quarantine().concerns_requests() {
        return Check::Passed;
    }
    let fingerprint = fingerprint();
    let verdict = node.quarantine().verdict(fingerprint, now);
    match verdict {
        Verdict::Clear | Verdict::Suspect(_) => return Check::Passed,
        Verdict::Undecided => return Check::Undecided(fingerprint),
        Verdict::Denied => {}
    }
    rulings::renew_if_due(node, fingerprint, now);
    Check::Denied(fingerprint)
}

/// Tries to connect to the upstream's address: a terminated process refuses, while a broken connection alone
/// proves nothing. If another gateway is connected, it is only the path from this one that is broken.
///
/// A process that is back before the attempt accepts it too, so the replacement of the upstream counts as well.
async fn inspect<W: Wire, S: Rows>(node: Arc<Node<W, S>>, suspect: Suspect) {
    let upstream = suspect.upstream.clone();
    let Some(listing) = node.listings().get(&upstream).cloned() else { return };
    let was_leaving = node.placer().has_announced_leaving(&upstream);
    let probed = net::probe_after_break(listing.address).await;
    let is_leaving = was_leaving || node.placer().has_announced_leaving(&upstream);
    log::warn!(
        "upstream: event=run-lost upstream={upstream} address={} request={} fingerprint={} parts={} begun-ms={:?} leaving={is_leaving}",
        probed.name(),
        suspect.id,
        suspect.fingerprint,
        ids(&suspect.prompt),
        suspect.begun_ms(),
    );
    let has_terminated =
        probed == ProbeResult::Refuses && !reach::is_reached_by_others(&node, &upstream).await;
    if has_terminated {
        node.metrics.runs_lost.inc();
    }
    // A leaving upstream terminates of its own accord.
    if is_leaving {
        return;
    }
    let is_replaced = node.listings().get(&upstream).is_none_or(|current| current.started != listing.started);
    let loss = suspect.loss(listing.started);
    let run = suspect.lost_run(&loss);
    if has_terminated || is_replaced {
        run.iter().for_each(|run| observe_crash(&node, run));
        observe_loss(&node, &loss);
    } else if let Some(run) = run {
        node.quarantine().record_lost_run(run, node.now());
    }
}

fn observe_crash<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, run: &LostRun) {
    let now = node.now();
    let follow_up = node.quarantine().observe_lost_run(run, now);
    handle_follow_up(node, follow_up);
}

fn observe_loss<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, loss: &Loss) {
    let now = node.now();
    let (is_new, follow_up) = node.quarantine().observe_loss(loss, now);
    handle_follow_up(node, follow_up);
    if is_new {
        report_loss(node, loss);
    }
}

/// Reports a lost run to other gateways, together with those that are lost at the same time.
fn report_loss<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, loss: &Loss) {
    let is_first = {
        let mut unreported = node.unreported_losses();
        if unreported.len() < MAX_UNREPORTED_LOSSES {
            unreported.push(loss.clone());
        }
        unreported.len() == 1
    };
    if is_first {
        exec::spawn(report_losses(node.clone())).detach();
    }
}

async fn report_losses<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    loop {
        exec::sleep(REPORT_INTERVAL).await;
        let now = node.now();
        let (notice, is_last) = {
            let mut unreported = node.unreported_losses();
            (notice::take_notice(&mut unreported, now), unreported.is_empty())
        };
        node.hints.announce_quarantine(notice, now);
        if is_last {
            return;
        }
    }
}

/// Records that an upstream was replaced or removed from the list, although it had not announced that it leaves.
pub(crate) fn observe_replacement<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, upstream: &str) {
    let lost_runs = node.quarantine().take_lost_runs(upstream, node.now());
    let last = lost_runs.iter().map(|run| run.loss.at).max().unwrap_or(0);
    for run in lost_runs {
        log::warn!("upstream: event=replaced upstream={upstream} fingerprint={}", run.fingerprint);
        observe_crash(node, &run);
        if run.broke_with(last) {
            observe_loss(node, &run.loss);
        }
    }
}

/// Whether the process of an upstream at `address` has terminated, with or without notice. Another one may listen there.
pub(crate) async fn has_terminated<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    upstream: &str,
    address: SocketAddr,
) -> bool {
    let probed = net::probe_after_break(address).await;
    contact::is_replaced(node, upstream, address)
        || (probed == ProbeResult::Refuses && !reach::is_reached_by_others(node, upstream).await)
}

/// Tells the other gateways what they need to know, and schedules the decisions that are due.
pub(crate) fn handle_follow_up<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, follow_up: FollowUp) {
    match follow_up.notice {
        Some(Notice::SuspectParts(mut parts)) => {
            parts.retain(|part| rulings::is_responsible(node, *part));
            if !parts.is_empty() {
                log::warn!("quarantine: event=suspect parts={}", ids(&parts));
                node.hints.announce_quarantine(Notice::SuspectParts(parts), node.now());
            }
        }
        Some(notice) => {
            if let Notice::SuspectRuns { fingerprint, ends } = &notice {
                let names: Vec<&str> = ends.iter().map(|end| end.crash.upstream.as_str()).collect();
                let (ended, names) = (ends.len(), names.join(","));
                log::warn!(
                    "quarantine: event=suspect fingerprint={fingerprint} ended={ended} upstreams={names}"
                );
            }
            node.hints.announce_quarantine(notice, node.now());
        }
        None => {}
    }
    if let Some(survivals) = follow_up.survivals {
        node.hints.announce_quarantine(survivals, node.now());
    }
    if follow_up.is_decision_due {
        exec::spawn(rulings::decide(node.clone())).detach();
    }
    if let Some(delay_ms) = follow_up.parts_due_ms {
        exec::spawn(rulings::decide_on_parts(node.clone(), delay_ms)).detach();
    }
}
