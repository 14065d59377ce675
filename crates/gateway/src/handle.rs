//! Admits a request, dispatches it, and decides what to do when an attempt fails.

use crate::body::AnswerBody;
use crate::budget_state::DenialReason;
use crate::event::EventSplitter;
use crate::first_answer::Outcome;
use crate::job::{Admitted, Job, Run, TokenMeter};
use crate::manifest::{Lookup, RouteKind};
use crate::node::{Node, Phase};
use crate::peer_reservations::{self, Cost, Denial};
use crate::ports::{Ask, Resumption, Wire};
use crate::quarantine;
use crate::receive;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::returns::{self, Caller};
use crate::runs::Place;
use crate::take_up;
use crate::team_budget::Reservation;
use budget::ledger::Level;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::{Body, Bytes, Incoming};
use net::exec;
use route::returns::Group;
use route::silence::stall_ms;
use route::{Confirmation, RepeatCount};
use std::sync::Arc;
use std::time::Duration;
use store::rows::Rows;
use xxhash_rust::xxh3::xxh3_64;

/// The share of a route's target latency for which a request may wait for budget tokens. A later refusal
/// misses the target.
const BUDGET_WAIT_SHARE: f64 = 0.22;
/// The number of upstreams that have to close their connection before an event, if there are so many, until no event
/// counts as left.
pub(crate) const EMPTY_ANSWERS: u32 = 2;
/// How many attempts that certainly did not run may each be followed by one at another upstream.
const MAX_REFUSALS: u32 = 4;

type Reply<W, S> = Response<AnswerBody<W, S>>;

pub(crate) async fn answer<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    request: Request<Incoming>,
) -> Reply<W, S> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let ask = match node.wire.decode_request(&head) {
        Ok(ask) => ask,
        Err(error) => {
            node.metrics.requests.with_label_values(&["-", Refusal::Malformed.name()]).inc();
            log::warn!("request: event=refused reason=malformed {error}");
            return finish_answer(&node, "", refuse(Refusal::Malformed));
        }
    };
    let id = ask.id.clone();
    let reply = match admit(&node, ask, head, body, arrived).await {
        Ok((job, reservation)) => {
            let taken = async {
                job.takeover.wait().await;
                job.log_end("taken-up", "");
                refuse(Refusal::Failed)
            };
            let mut reply = smol::future::or(run(job.clone(), reservation), taken).await;
            returns::finish(&job, &mut reply);
            reply
        }
        Err(refusal) => refuse(refusal),
    };
    finish_answer(&node, &id, reply)
}

fn refuse<W: Wire, S: Rows>(refusal: Refusal) -> Reply<W, S> {
    refusal.response().map(AnswerBody::Whole)
}

/// Adds the request's identifier to an answer, and closes the connection if the gateway is stopping, isolated or
/// overloaded.
fn finish_answer<W: Wire, S: Rows>(node: &Node<W, S>, id: &str, mut reply: Reply<W, S>) -> Reply<W, S> {
    node.wire.add_request_id(id, reply.headers_mut());
    node.load.record_message(reply.body().size_hint().exact().unwrap_or(0) as usize);
    let leaves = node.phase() != Phase::Serving || node.reach.is_isolated();
    if leaves || node.load.should_close_connection() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// An admitted request with the tokens reserved for it.
type AdmittedJob<W, S> = (Arc<Job<W, S>>, Option<Reservation>);

/// Decides whether a request is admitted, and reserves tokens of the team that pays for it.
async fn admit<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    ask: Ask,
    head: http::request::Parts,
    body: Incoming,
    arrived: u64,
) -> Result<AdmittedJob<W, S>, Refusal> {
    let refused = |refusal: Refusal, detail: &str| {
        node.metrics.requests.with_label_values(&["-", refusal.name()]).inc();
        log::warn!("request: id={} event=refused reason={} {detail}", ask.id, refusal.name());
        refusal
    };
    let stopping = async {
        node.until_draining().await;
        Err((Refusal::Stopping, String::new()))
    };
    let body = match smol::future::or(stopping, receive::body(node, &ask, &head, body, arrived)).await {
        Ok(body) => body,
        Err((refusal, detail)) => return Err(refused(refusal, &detail)),
    };
    let held = node.receiving.hold(body.len());
    node.load.record_received(body.len());
    if node.reach.is_isolated() {
        return Err(refused(Refusal::Isolated, ""));
    }
    // The manifest is read once, so that the whole request is handled under one version.
    let Some(manifest) = node.manifest() else {
        return Err(refused(Refusal::NotConfigured, ""));
    };
    let version = format!("manifest={}", manifest.version);
    let (route, team) = match manifest.lookup(&ask.host, head.uri.path(), ask.key.as_deref()) {
        Lookup::Allowed(route, team) => (route, team),
        // These denials are final for the caller, so they must be based on the newest manifest. Reading a
        // manifest of 750 KB over a saturated link takes seconds.
        Lookup::NoRoute | Lookup::NoKey if node.is_receiving_manifest() => {
            return Err(refused(Refusal::ManifestChanging, &version));
        }
        Lookup::NoRoute => return Err(refused(Refusal::NoRoute, &version)),
        Lookup::NoKey => return Err(refused(Refusal::NoAccessKey, &version)),
    };
    // A split route selects the service of a stream by the attempt that began it.
    let resumption = ask.resumption.as_ref().filter(|_| route.kind == RouteKind::ResumableStream);
    let first_attempt = resumption.and_then(|resumption| resumption.attempt.as_deref()).unwrap_or(&ask.id);
    let Some(service) = route.select_service(first_attempt).map(str::to_owned) else {
        return Err(refused(Refusal::NoUpstream, &version));
    };
    let caller = team.as_ref().map(|team| team.name.as_str());
    let fingerprint = || quarantine::fingerprint(&ask.host, &head.uri, caller, &body);
    if let Some((refusal, fingerprint)) = quarantine::check(node, &ask, fingerprint).refusal() {
        let team = caller.unwrap_or("-");
        let detail = format!("team={team} route={} {version} fingerprint={fingerprint}", route.name);
        return Err(refused(refusal, &detail));
    }
    let located = match resumption {
        Some(resumption) => {
            let limit = Duration::from_millis(stall_ms(route.target_ms, route.gap_ms));
            let team = caller.unwrap_or_default();
            let located = take_up::prepare(node, &service, team, resumption, limit).await;
            located.map(|(version, place)| (Some(version), place))
        }
        None => Ok((None, Place::Any)),
    };
    let (software, place) = match located {
        Ok(located) => located,
        Err(refusal) => {
            let resumes = resumption.map_or("-", Resumption::name);
            let detail = format!("team={} route={} resumes={resumes}", caller.unwrap_or("-"), route.name);
            return Err(refused(refusal, &detail));
        }
    };
    node.with_retry_window(&service, |window, now| window.record_request(now));
    let reservation = match reserve(node, &manifest, &route, &service, team.as_deref(), &ask).await {
        Ok(reservation) => reservation,
        Err((denied, ready_ms, detail)) => {
            let refusal = |ready_ms| match denied {
                DenialReason::Spent => Refusal::BudgetExhausted,
                DenialReason::Away => Refusal::BudgetUnavailable(ready_ms),
                DenialReason::Elsewhere => Refusal::BudgetHeldElsewhere(ready_ms),
            };
            let wait_ms = ask.wait_ms.unwrap_or(route.timeout_ms);
            let waiting = Caller { team: caller, service: &service, arrived, wait_ms };
            let ready_ms = returns::retry_after_ms(node, refusal(ready_ms), &waiting);
            let team = caller.unwrap_or("-");
            let detail = format!("team={team} route={} {version} {detail}", route.name);
            return Err(refused(refusal(ready_ms), &detail));
        }
    };
    if let (Some(team), Some(_)) = (caller, &reservation) {
        node.returns().record_admitted(Group::Team(team), node.now());
    }
    let admitted = Admitted {
        ask,
        head,
        body,
        _held: held,
        manifest,
        route,
        team,
        service,
        version: software,
        place,
        arrived,
    };
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
    let max_wait = Duration::from_millis((route.target_ms as f64 * BUDGET_WAIT_SHARE) as u64);
    let lifetime = Duration::from_millis(ask.wait_ms.unwrap_or(u64::MAX).min(route.timeout_ms));
    let stride = manifest.services.get(service).map_or(1, |service| service.stride);
    let budget = || node.budget(manifest, team);
    let cost = Cost { tokens: prompt.max_tokens(stride), priority: route.priority };
    peer_reservations::reserve(node, budget, &team.name, level, cost, max_wait, lifetime).await
}

/// What to do after an attempt.
enum Next<W: Wire, S: Rows> {
    /// Return this answer.
    Answer(Reply<W, S>),
    /// Try another upstream; if there is none, return this answer.
    TryElsewhere(Reply<W, S>),
}

/// Dispatches a request until it has a final answer.
async fn run<W: Wire, S: Rows>(job: Arc<Job<W, S>>, reservation: Option<Reservation>) -> Reply<W, S> {
    let mut meter = Some(TokenMeter::new(&*job, reservation));
    let mut last = None;
    while job.find_place().await
        && let Some(chosen) = job.choose_or_wait().await
    {
        if let Some(refusal) = job.quarantine_refusal() {
            if job.progress().ran > 0 {
                break;
            }
            job.log_end(refusal.name(), "");
            return refuse(refusal);
        }
        if job.progress().sent > 0 && !job.take_repeat("retry") {
            break;
        }
        let (chosen, turn) = match job.take_turn(chosen).await {
            Ok(turn) => turn,
            Err(refusal) => {
                job.log_end(refusal.name(), format_args!("bytes={}", job.request.body.len()));
                return refuse(refusal);
            }
        };
        if !job.ends_before_gateway(&chosen) {
            job.log_end(Refusal::Stopping.name(), format_args!("lasts-ms={:.0}", chosen.lasts_ms));
            return refuse(Refusal::Stopping);
        }
        let may_try_elsewhere = job.progress().ran + 1 < job.request.route.attempts;
        let mut splitter = EventSplitter::default();
        let outcome = job.attempt(&chosen, turn, &mut splitter, None, may_try_elsewhere).await;
        job.record_attempt(&chosen.upstream, &outcome);
        match decide_next(&job, outcome, splitter, &mut meter) {
            Next::Answer(reply) => return reply,
            Next::TryElsewhere(reply) => last = Some(reply),
        }
        if job.remaining().is_zero() {
            break;
        }
    }
    if let Some(refusal) = job.refusal_of_place().or_else(|| job.unavailable()) {
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

fn decide_next<W: Wire, S: Rows>(
    job: &Arc<Job<W, S>>,
    outcome: Outcome<W, S>,
    splitter: EventSplitter,
    meter: &mut Option<TokenMeter>,
) -> Next<W, S> {
    let progress = job.progress();
    let (ran, refusals, empty) = (progress.ran, progress.sent - progress.ran, progress.empty);
    drop(progress);
    let may_run_again = job.kind().is_repeatable() && ran < job.request.route.attempts;
    match outcome {
        Outcome::Stream(head, stream, bytes) => {
            let meter = meter.take().unwrap_or_else(|| TokenMeter::new(&**job, None));
            let relay = Relay::new(job.clone(), stream, splitter, bytes, meter);
            Next::Answer(Response::from_parts(head, AnswerBody::Stream(Box::new(relay))))
        }
        // The caller may have all events. One upstream that closes its connection may have broken off, two hardly.
        Outcome::Empty(head) if job.request.version.is_some() => {
            let reply = whole_answer(head, Bytes::new());
            if empty < EMPTY_ANSWERS && may_run_again {
                return Next::TryElsewhere(reply);
            }
            job.log_end("complete", "no event was left");
            Next::Answer(reply)
        }
        Outcome::Empty(_) if may_run_again => Next::TryElsewhere(refuse(Refusal::Failed)),
        Outcome::Empty(_) => {
            job.log_end("failed", "the connection was closed before an event");
            Next::Answer(refuse(Refusal::Failed))
        }
        Outcome::Complete(head, bytes) => {
            observe_first_answer(job);
            job.log_end("complete", format_args!("status={}", head.status.as_u16()));
            Next::Answer(whole_answer(head, bytes))
        }
        Outcome::ServerError(head, bytes) if may_run_again => Next::TryElsewhere(whole_answer(head, bytes)),
        Outcome::ServerError(head, bytes) => {
            job.log_end("upstream-error", format_args!("status={}", head.status.as_u16()));
            Next::Answer(whole_answer(head, bytes))
        }
        Outcome::FalsePromise(_) if may_run_again => Next::TryElsewhere(refuse(Refusal::Failed)),
        Outcome::FalsePromise(status) => {
            job.log_end("upstream-error", format_args!("status={}", status.as_u16()));
            Next::Answer(refuse(Refusal::Failed))
        }
        Outcome::NotSent(_) => {
            let refusal = if ran == 0 { Refusal::NotRun } else { Refusal::Failed };
            Next::TryElsewhere(refuse(refusal))
        }
        Outcome::NotRun(_) | Outcome::NoConnection(_) if ran == 0 && refusals <= MAX_REFUSALS => {
            Next::TryElsewhere(refuse(Refusal::NotRun))
        }
        Outcome::NotRun(_) | Outcome::NoConnection(_) if may_run_again => {
            Next::TryElsewhere(refuse(Refusal::Failed))
        }
        Outcome::NotRun(reason) | Outcome::NoConnection(reason) => {
            let refusal = if ran == 0 { Refusal::NotRun } else { Refusal::Failed };
            job.log_end(refusal.name(), reason);
            Next::Answer(refuse(refusal))
        }
        Outcome::ConnectionBroken(_) | Outcome::NoValidAnswer(_) | Outcome::PathLost(_) if may_run_again => {
            Next::TryElsewhere(refuse(Refusal::Failed))
        }
        Outcome::ConnectionBroken(reason) | Outcome::NoValidAnswer(reason) | Outcome::PathLost(reason) => {
            job.log_end("failed", reason);
            Next::Answer(refuse(Refusal::Failed))
        }
        Outcome::TimedOut => {
            job.log_end("timed-out", "");
            Next::Answer(refuse(Refusal::TimedOut))
        }
    }
}

fn whole_answer<W: Wire, S: Rows>(head: http::response::Parts, bytes: Bytes) -> Reply<W, S> {
    Response::from_parts(head, AnswerBody::Whole(Some(bytes)))
}

fn observe_first_answer<W: Wire, S: Rows>(job: &Job<W, S>) {
    let ms = job.node.now().saturating_sub(job.request.arrived);
    job.node
        .metrics
        .first_answer_time
        .with_label_values(&[&job.request.route.name])
        .observe(ms as f64 / 1_000.0);
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Waits until it is known where the request may run next, after the runs that it has begun. Returns whether that is
    /// known before the deadline.
    pub(crate) async fn find_place(&self) -> bool {
        if self.kind() != RouteKind::ResumableStream || self.progress().sent == 0 {
            return true;
        }
        let earlier = &self.request.place;
        let finding = self.node.runs.find_next_place(&self.node, self.stream(), &self.takeover, earlier);
        let Some(place) = exec::timeout(self.remaining(), finding).await else { return false };
        let mut progress = self.progress();
        if let Some(only) = place.only() {
            log::info!("request: id={} event=pinned upstream={only}", self.request.ask.id);
            progress.excluded.retain(|upstream| upstream != only);
        }
        progress.place = place;
        true
    }

    /// Takes one repeat out of the service's retry budget; `false` if none is left. The event is logged
    /// either way.
    pub(crate) fn take_repeat(&self, reason: &str) -> bool {
        if std::mem::take(&mut self.progress().is_repeat_taken) {
            return true;
        }
        let chance = self.repeat_chance();
        let (is_allowed, count) = self.node.with_retry_window(&self.request.service, |window, now| {
            (window.try_repeat(now, chance), window.count(now))
        });
        self.record_repeat(reason, is_allowed, count);
        is_allowed
    }

    /// Whether a repeat may be sent now. If it has waited since it was counted, it is counted again; the
    /// event is logged then.
    pub(crate) fn confirm_repeat(&self) -> bool {
        let Some(counted) = self.progress().repeat_counted else { return true };
        let chance = self.repeat_chance();
        let (confirmation, count) = self.node.with_retry_window(&self.request.service, |window, now| {
            (window.confirm(counted, now, chance), window.count(now))
        });
        let is_allowed = confirmation != Confirmation::Denied;
        if confirmation != Confirmation::Current {
            self.record_repeat("late", is_allowed, count);
        }
        is_allowed
    }

    /// A number between 0 and 1 that is the same for all repeats of this request.
    fn repeat_chance(&self) -> f64 {
        xxh3_64(self.request.ask.id.as_bytes()) as f64 / u64::MAX as f64
    }

    fn record_repeat(&self, reason: &str, is_allowed: bool, count: RepeatCount) {
        let service = &self.request.service;
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
            self.progress().repeat_counted = Some(self.node.now());
            self.node.metrics.repeats.with_label_values(&[service.as_str(), reason]).inc();
        }
    }

    /// Takes a repeat out of the budget for a request that still waits for an answer, before it is given up;
    /// `false` if none is left.
    pub(crate) fn reserve_repeat(&self, reason: &str) -> bool {
        let is_allowed = self.take_repeat(reason);
        self.progress().is_repeat_taken = is_allowed;
        is_allowed
    }

    /// The refusal of a request that no upstream ran, if its stream may go on at one upstream only, which can't run it now.
    fn refusal_of_place(&self) -> Option<Refusal> {
        let progress = self.progress();
        (progress.ran == 0 && progress.place != Place::Any).then_some(Refusal::StillRunning)
    }

    /// The refusal of a request that no upstream ran, if all upstreams of its service are backing off or at
    /// their request limits. It names the time until the first one accepts requests again.
    fn unavailable(&self) -> Option<Refusal> {
        if self.progress().ran > 0 {
            return None;
        }
        let wait_ms = self.node.placer().wait_ms(&self.request.service, self.node.now())?;
        Some(Refusal::UpstreamsUnavailable(wait_ms))
    }

    /// Records that a dispatch was withdrawn before it was sent. It does not count as an attempt, so the next
    /// dispatch is no repeat on its account.
    fn record_not_sent(&self, upstream: &str, reason: &str) {
        log::info!(
            "request: id={} event=dispatch-withdrawn upstream={upstream} reason=\"{reason}\"",
            self.request.ask.id
        );
        self.progress().excluded.push(upstream.to_owned());
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_attempt(&self, upstream: &str, outcome: &Outcome<W, S>) {
        let (ran, reason) = match outcome {
            Outcome::Complete(..) | Outcome::Stream(..) => (true, None),
            Outcome::ServerError(head, _) => (true, Some(format!("status {}", head.status.as_u16()))),
            Outcome::FalsePromise(status) => (true, Some(format!("status {}", status.as_u16()))),
            Outcome::NotSent(reason) => {
                self.record_not_sent(upstream, reason);
                return;
            }
            Outcome::NotRun(reason) | Outcome::NoConnection(reason) => (false, Some(reason.clone())),
            Outcome::Empty(_) => (true, Some("the connection was closed before an event".to_owned())),
            Outcome::ConnectionBroken(reason)
            | Outcome::NoValidAnswer(reason)
            | Outcome::PathLost(reason) => (true, Some(reason.clone())),
            Outcome::TimedOut => (true, Some("the deadline passed".to_owned())),
        };
        let address = self.node.listings().get(upstream).map(|listing| listing.address);
        let mut progress = self.progress();
        progress.sent += 1;
        if ran {
            progress.ran += 1;
            progress.runs.push(Run { upstream: upstream.to_owned(), address });
        }
        progress.empty += u32::from(matches!(outcome, Outcome::Empty(_)));
        if let Some(reason) = reason {
            progress.excluded.push(upstream.to_owned());
            drop(progress);
            log::warn!(
                "request: id={} event=dispatch-failed upstream={upstream} may-have-run={ran} reason=\"{reason}\"",
                self.request.ask.id
            );
        }
    }
}
