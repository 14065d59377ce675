//! A request from its head to its answer: admission, dispatch, and what to do when a dispatch fails.

use crate::attempt::First;
use crate::body::Answer;
use crate::delegate::{self, Denial};
use crate::event::Splitter;
use crate::holding::Denied;
use crate::job::{Admitted, Job, Meter};
use crate::manifest::Lookup;
use crate::node::{Node, Phase};
use crate::ports::{Ask, Wire};
use crate::purse::Reservation;
use crate::quarantine::{self, Check};
use crate::refusal::Refusal;
use crate::relay::Relay;
use budget::ledger::Level;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::{Bytes, Incoming};
use std::sync::Arc;
use std::time::Duration;
use store::rows::Rows;
use xxhash_rust::xxh3::xxh3_64;

/// The share of a request's target that it may wait for tokens: a refusal after that counts as late.
const BUDGET_PATIENCE: f64 = 0.22;
/// Upstreams that certainly did not run a request are passed over at most this often.
const REFUSALS: u32 = 4;

/// The longest body that is read before a manifest is known, in bytes.
const BODY_LIMIT: usize = 4 << 20;

type Reply<W, S> = Response<Answer<W, S>>;

/// Answers one request.
pub(crate) async fn answer<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    request: Request<Incoming>,
) -> Reply<W, S> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let ask = match node.wire.ask(&head) {
        Ok(ask) => ask,
        Err(error) => {
            log::warn!("request: event=refused reason=malformed {error}");
            return finish(&node, "", refuse(Refusal::Malformed));
        }
    };
    let id = ask.id.clone();
    let reply = match admit(&node, ask, head, body, arrived).await {
        Ok((job, reservation)) => run(job, reservation).await,
        Err(refusal) => refuse(refusal),
    };
    finish(&node, &id, reply)
}

fn refuse<W: Wire, S: Rows>(refusal: Refusal) -> Reply<W, S> {
    refusal.response().map(Answer::Whole)
}

/// Names the request in an answer of the router's own, and ends the connection if the router stops or is overrun.
fn finish<W: Wire, S: Rows>(node: &Node<W, S>, id: &str, mut reply: Reply<W, S>) -> Reply<W, S> {
    node.wire.label(id, reply.headers_mut());
    if node.phase() != Phase::Serving || node.load.closes() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// An admitted request with the tokens that are reserved for it.
type Admission<W, S> = (Arc<Job<W, S>>, Option<Reservation>);

/// Decides whether a request is carried out, and at whose cost.
async fn admit<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    ask: Ask,
    head: http::request::Parts,
    body: Incoming,
    arrived: u64,
) -> Result<Admission<W, S>, Refusal> {
    let refused = |refusal: Refusal, detail: &str| {
        node.metrics.requests.with_label_values(&["-", refusal.name()]).inc();
        log::warn!("request: id={} event=refused reason={} {detail}", ask.id, refusal.name());
        refusal
    };
    let limit = node.manifest().map_or(BODY_LIMIT, |manifest| manifest.body_limit);
    let body = match net::collect(body, limit).await {
        Ok(body) => body,
        Err(reason) if reason.contains("limit") => return Err(refused(Refusal::TooLong, &reason)),
        Err(reason) => return Err(refused(Refusal::BodyBroken, &reason)),
    };
    node.load.receive(body.len());
    if node.phase() == Phase::Draining {
        return Err(refused(Refusal::Stopping, ""));
    }
    // The manifest is taken once: the request runs wholly under this version.
    let Some(manifest) = node.manifest() else {
        return Err(refused(Refusal::NotConfigured, ""));
    };
    let version = format!("manifest={}", manifest.version);
    let (route, team) = match manifest.lookup(&ask.host, head.uri.path(), ask.key.as_deref()) {
        Lookup::Allowed(route, team) => (route, team),
        // A denial is for good, so it takes the newest manifest: with 750 KB on a full link that takes seconds.
        Lookup::NoRoute | Lookup::NoKey if node.is_changing() => {
            return Err(refused(Refusal::Changing, &version));
        }
        Lookup::NoRoute => return Err(refused(Refusal::NoRoute, &version)),
        Lookup::NoKey => return Err(refused(Refusal::NoKey, &version)),
    };
    let Some(service) = route.service(&ask.id).map(str::to_owned) else {
        return Err(refused(Refusal::NoUpstream, &version));
    };
    let caller = team.as_ref().map(|team| team.name.as_str());
    let fingerprint = || quarantine::fingerprint(&ask.host, &head.uri, caller, &body);
    let stopped = match quarantine::check(node, fingerprint) {
        Check::Passed => None,
        Check::Undecided(fingerprint) => Some((Refusal::Undecided, fingerprint)),
        Check::Denied(fingerprint) => Some((Refusal::Quarantined, fingerprint)),
    };
    if let Some((refusal, fingerprint)) = stopped {
        let team = caller.unwrap_or("-");
        let detail = format!("team={team} route={} {version} fingerprint={fingerprint}", route.name);
        return Err(refused(refusal, &detail));
    }
    node.window(&service, |window, now| window.record_request(now));
    let reservation = match reserve(node, &manifest, &route, &service, team.as_deref(), &ask).await {
        Ok(reservation) => reservation,
        Err((denied, ready_ms, detail)) => {
            let refusal = match denied {
                Denied::Spent => Refusal::BudgetSpent,
                Denied::Away => Refusal::BudgetAway(ready_ms),
                Denied::Elsewhere => Refusal::BudgetElsewhere(ready_ms),
            };
            let team = team.as_ref().map_or("-", |team| team.name.as_str());
            return Err(refused(refusal, &format!("team={team} route={} {version} {detail}", route.name)));
        }
    };
    let admitted = Admitted { ask, head, body, manifest, route, team, service, arrived };
    Ok((Arc::new(Job::new(node.clone(), admitted)), reservation))
}

async fn reserve<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    manifest: &crate::manifest::Manifest,
    route: &crate::manifest::Route,
    service: &str,
    team: Option<&crate::manifest::Team>,
    ask: &Ask,
) -> Result<Option<Reservation>, Denial> {
    let (Some(team), Some(prompt)) = (team, &ask.prompt) else { return Ok(None) };
    let Some(tokens) = team.reserved else { return Ok(None) };
    let level = Level { version: manifest.version, tokens };
    let patience = Duration::from_millis((route.target_ms as f64 * BUDGET_PATIENCE) as u64);
    let lasts = Duration::from_millis(ask.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms));
    let stride = manifest.services.get(service).map_or(1, |service| service.stride);
    let purse = || node.purse(manifest, team);
    delegate::reserve(node, purse, &team.name, level, prompt.worst(stride), patience, lasts).await
}

/// What to do after a dispatch.
enum Next<W: Wire, S: Rows> {
    /// This is the answer.
    Reply(Reply<W, S>),
    /// Try another upstream; if there is none, this is the answer.
    Elsewhere(Reply<W, S>),
}

/// Dispatches a request until it has an answer.
async fn run<W: Wire, S: Rows>(job: Arc<Job<W, S>>, reservation: Option<Reservation>) -> Reply<W, S> {
    let mut meter = Some(Meter::new(&*job, reservation));
    let mut last = None;
    while let Some(chosen) = job.choose() {
        if job.tries().sent > 0 && (!job.may_repeat() || !job.repeat("retry")) {
            break;
        }
        let may_move = job.tries().ran + 1 < job.request.route.attempts;
        let mut splitter = Splitter::default();
        let first = job.attempt(&chosen, &mut splitter, None, may_move).await;
        job.note(&chosen.upstream, &first);
        match next(&job, first, splitter, &mut meter) {
            Next::Reply(reply) => return reply,
            Next::Elsewhere(reply) => last = Some(reply),
        }
        if job.remaining().is_zero() {
            break;
        }
    }
    if let Some(refusal) = job.resting() {
        job.log_end(refusal.name(), "");
        return refuse(refusal);
    }
    match last {
        Some(reply) => {
            job.log_end("failed", format_args!("status={}", reply.status().as_u16()));
            reply
        }
        None => {
            job.log_end("no-upstream", "");
            refuse(Refusal::NoUpstream)
        }
    }
}

fn next<W: Wire, S: Rows>(
    job: &Arc<Job<W, S>>,
    first: First<W, S>,
    splitter: Splitter,
    meter: &mut Option<Meter>,
) -> Next<W, S> {
    let tries = job.tries();
    let (ran, refusals) = (tries.ran, tries.sent - tries.ran);
    drop(tries);
    let may_run_again = job.kind().is_repeatable() && ran < job.request.route.attempts;
    match first {
        First::Stream(head, flow, bytes) => {
            let meter = meter.take().unwrap_or_else(|| Meter::new(&**job, None));
            let relay = Relay::new(job.clone(), flow, splitter, bytes, meter);
            Next::Reply(Response::from_parts(head, Answer::Relayed(Box::new(relay))))
        }
        First::Whole(head, bytes) => {
            observe_first(job);
            job.log_end("complete", format_args!("status={}", head.status.as_u16()));
            Next::Reply(whole(head, bytes))
        }
        First::Erred(head, bytes) if may_run_again => Next::Elsewhere(whole(head, bytes)),
        First::Erred(head, bytes) => {
            job.log_end("upstream-error", format_args!("status={}", head.status.as_u16()));
            Next::Reply(whole(head, bytes))
        }
        First::Withdrawn(_) => {
            let refusal = if ran == 0 { Refusal::NotRun } else { Refusal::Failed };
            Next::Elsewhere(refuse(refusal))
        }
        First::NotRun(_) if ran == 0 && refusals <= REFUSALS => Next::Elsewhere(refuse(Refusal::NotRun)),
        First::NotRun(_) if may_run_again => Next::Elsewhere(refuse(Refusal::Failed)),
        First::NotRun(reason) => {
            let refusal = if ran == 0 { Refusal::NotRun } else { Refusal::Failed };
            job.log_end(refusal.name(), reason);
            Next::Reply(refuse(refusal))
        }
        First::Broken(_) | First::Lost(_) if may_run_again => Next::Elsewhere(refuse(Refusal::Failed)),
        First::Broken(reason) | First::Lost(reason) => {
            job.log_end("failed", reason);
            Next::Reply(refuse(Refusal::Failed))
        }
        First::TimedOut => {
            job.log_end("timed-out", "");
            Next::Reply(refuse(Refusal::TimedOut))
        }
    }
}

fn whole<W: Wire, S: Rows>(head: http::response::Parts, bytes: Bytes) -> Reply<W, S> {
    Response::from_parts(head, Answer::Whole(Some(bytes)))
}

fn observe_first<W: Wire, S: Rows>(job: &Job<W, S>) {
    let ms = job.node.now().saturating_sub(job.request.arrived);
    job.node.metrics.first.with_label_values(&[&job.request.route.name]).observe(ms as f64 / 1_000.0);
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Takes one repeat out of the service's window.
    pub(crate) fn repeat(&self, reason: &str) -> bool {
        let service = &self.request.service;
        let chance = xxh3_64(self.request.ask.id.as_bytes()) as f64 / u64::MAX as f64;
        let (is_allowed, count) =
            self.node.window(service, |window, now| (window.try_repeat(now, chance), window.count(now)));
        let event = match is_allowed {
            true => "repeat",
            false => "repeat-denied",
        };
        log::warn!(
            "request: id={} event={event} reason={reason} service={service} left={:.1} of={:.1} requests={} gateways={}",
            self.request.ask.id,
            count.available,
            count.capacity,
            count.requests,
            self.node.fleet_size(),
        );
        if is_allowed {
            self.node.metrics.repeats.with_label_values(&[service.as_str(), reason]).inc();
        }
        is_allowed
    }

    /// The refusal of a request that no upstream ran, if all of them rest or have reached their limits. It says when the
    /// first one accepts requests again.
    fn resting(&self) -> Option<Refusal> {
        if self.tries().ran > 0 {
            return None;
        }
        let rest_ms = self.node.places().wait_ms(&self.request.service, self.node.now())?;
        Some(Refusal::Resting(route::return_ms(rest_ms, xxh3_64(self.request.ask.id.as_bytes()))))
    }

    /// Takes down that a dispatch reached nobody: it is neither a try nor a repeat.
    fn withdraw(&self, upstream: &str, reason: &str) {
        log::info!(
            "request: id={} event=dispatch-withdrawn upstream={upstream} reason=\"{reason}\"",
            self.request.ask.id
        );
        self.tries().avoid.push(upstream.to_owned());
    }

    /// Takes down what a dispatch led to.
    pub(crate) fn note(&self, upstream: &str, first: &First<W, S>) {
        let (ran, reason) = match first {
            First::Whole(..) | First::Stream(..) => (true, None),
            First::Erred(head, _) => (true, Some(format!("status {}", head.status.as_u16()))),
            First::Withdrawn(reason) => {
                self.withdraw(upstream, reason);
                return;
            }
            First::NotRun(reason) => (false, Some(reason.clone())),
            First::Broken(reason) | First::Lost(reason) => (true, Some(reason.clone())),
            First::TimedOut => (true, Some("the time is over".to_owned())),
        };
        let mut tries = self.tries();
        tries.sent += 1;
        tries.ran += u32::from(ran);
        if let Some(reason) = reason {
            tries.avoid.push(upstream.to_owned());
            drop(tries);
            log::warn!(
                "request: id={} event=dispatch-failed upstream={upstream} may-have-run={ran} reason=\"{reason}\"",
                self.request.ask.id
            );
        }
    }
}
