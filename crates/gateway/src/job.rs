//! An admitted request, and the guards that release what it holds.

use crate::contact::Upstream;
use crate::manifest::{Manifest, Route, RouteKind, Team};
use crate::node::Node;
use crate::ports::{Ask, Dispatch, Listing, Wire};
use crate::receive::Held;
use crate::runs::{self, Connection, Place, Takeover};
use crate::team_budget::Reservation;
use http::request::Parts;
use hyper::body::Bytes;
use net::exec;
use route::Millis;
use route::placement::{self, DispatchId, Placement, PlacementRequest};
use route::version::Version;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// The number of route priorities within one team priority.
const ROUTE_PRIORITIES: u32 = 3;
/// The least urgent priority that upstreams know.
const LOWEST_PRIORITY: u32 = 9;

/// The share of a route's target latency for which a request may wait for a place at a brittle upstream. A later
/// refusal misses the target.
const PLACE_WAIT_SHARE: f64 = 0.22;

/// A request that is being handled.
pub(crate) struct Job<W: Wire, S: Rows> {
    pub node: Arc<Node<W, S>>,
    pub request: Admitted,
    /// When the request must be answered.
    pub deadline: Millis,
    pub progress: Mutex<Progress>,
    /// Tells whether the caller takes the stream up with another request.
    pub takeover: Arc<Takeover>,
    _open: OpenGuard<W, S>,
}

/// The attempts made so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// The number of dispatches.
    pub sent: u32,
    /// The number of dispatches that ran or may have run.
    pub ran: u32,
    /// Those of them whose upstreams are not known to have ended.
    pub runs: SmallVec<[Run; 2]>,
    /// Upstreams that must not be tried again.
    pub excluded: Vec<String>,
    /// The number of upstreams that closed their connection before an event.
    pub empty: u32,
    /// The only software version at which the request may run: the one that began its stream.
    pub version: Option<Version>,
    /// Where the request may run, as earlier runs of its stream allow it.
    pub place: Place,
    /// Whether the next dispatch has been taken out of the retry budget.
    pub is_repeat_taken: bool,
    /// When the last dispatch was taken out of the retry budget.
    pub repeat_counted: Option<Millis>,
}

/// A dispatch that ran or may have run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub upstream: String,
    /// `None` if the upstream was no longer listed.
    pub address: Option<SocketAddr>,
}

pub(crate) struct Admitted {
    pub ask: Ask,
    pub head: Parts,
    pub body: Bytes,
    /// Counts the memory of the body.
    pub _held: Held,
    pub manifest: Arc<Manifest>,
    pub route: Arc<Route>,
    pub team: Option<Arc<Team>>,
    pub service: String,
    /// The version that began the stream, if the caller takes one up.
    pub version: Option<Version>,
    /// Where the stream may go on, if the caller takes one up.
    pub place: Place,
    /// When the request arrived.
    pub arrived: Millis,
}

impl<W: Wire, S: Rows> Job<W, S> {
    pub(crate) fn new(node: Arc<Node<W, S>>, request: Admitted) -> Job<W, S> {
        let timeout_ms = request.ask.wait_ms.unwrap_or(u64::MAX).min(request.route.timeout_ms);
        let deadline = request.arrived.saturating_add(timeout_ms);
        let progress =
            Progress { version: request.version, place: request.place.clone(), ..Progress::default() };
        Job {
            deadline,
            _open: OpenGuard::new(&node),
            node,
            request,
            progress: Mutex::new(progress),
            takeover: Arc::default(),
        }
    }

    pub(crate) fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("the lock is not poisoned")
    }

    /// The time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(self.node.now()))
    }

    pub(crate) fn kind(&self) -> RouteKind {
        self.request.route.kind
    }

    /// The number of tokens in one event of the answer.
    pub(crate) fn stride(&self) -> u64 {
        self.request.manifest.services.get(&self.request.service).map_or(1, |service| service.stride)
    }

    /// A listed upstream of the request's service.
    fn upstream(&self, name: &str, listing: &Listing) -> Upstream {
        let service = self.request.manifest.services.get(&self.request.service);
        Upstream::of(&self.node, service, name, listing.address)
    }

    /// Chooses an upstream that has not been tried yet.
    pub(crate) fn choose(&self) -> Option<Placement> {
        let progress = self.progress();
        let request = PlacementRequest {
            service: &self.request.service,
            prompt: self.prompt(),
            avoid: &progress.excluded,
            version: progress.version,
            only: progress.place.only(),
        };
        self.node.placer().choose(&request, self.node.now())
    }

    /// Whether this gateway goes on for as long as the request may take at the chosen upstream. One that may have run already
    /// is not refused any more.
    pub(crate) fn ends_before_gateway(&self, chosen: &Placement) -> bool {
        let Some(drain) = self.node.drain() else { return true };
        let lasts_ms =
            if chosen.lasts_ms > 0.0 { chosen.lasts_ms } else { self.request.route.target_ms as f64 };
        self.progress().ran > 0 || drain.admits(lasts_ms, self.deadline, self.node.now())
    }

    /// Like [`Job::choose`]. While all places at brittle upstreams are taken, waits for one, as long as the request may
    /// still be refused early.
    pub(crate) async fn choose_or_wait(&self) -> Option<Placement> {
        let patience_ms = (self.request.route.target_ms as f64 * PLACE_WAIT_SHARE) as Millis;
        let until = self.request.arrived.saturating_add(patience_ms).min(self.deadline);
        let mut chosen = self.choose();
        while chosen.is_none() {
            let freed = self.node.places.listen(&self.request.service);
            // A place may have been freed before.
            chosen = self.choose();
            let now = self.node.now();
            if chosen.is_some() || now >= until || !self.waits_for_place(now) {
                break;
            }
            exec::timeout(Duration::from_millis(until - now), freed).await;
        }
        chosen
    }

    /// Whether the upstreams of the service are brittle, and this gateway's places at them are taken.
    fn waits_for_place(&self, now: Millis) -> bool {
        let (placer, service) = (self.node.placer(), &self.request.service);
        placer.is_brittle(service, now) && placer.wait_ms(service, now).is_some()
    }

    /// The properties of the prompt that the choice of an upstream depends on.
    fn prompt(&self) -> Option<placement::Prompt<'_>> {
        let route = &self.request.route;
        self.request.ask.prompt.as_ref().map(|prompt| placement::Prompt {
            parts: &prompt.parts,
            input: prompt.input,
            events: prompt.expected_output().div_ceil(self.stride().max(1)),
            target_ms: route.target_ms,
            gap_ms: route.gap_ms,
        })
    }

    /// The details that are added to the request when it is dispatched now.
    pub(crate) fn dispatch_details<'a>(
        &'a self,
        upstream: &'a str,
        after_event: Option<u64>,
    ) -> Dispatch<'a> {
        let team = self.request.team.as_deref();
        let priority = team.map_or(0, |team| team.priority.saturating_mul(ROUTE_PRIORITIES));
        let priority = priority.saturating_add(self.request.route.priority);
        Dispatch {
            upstream,
            remaining_ms: self.remaining().as_millis() as u64,
            team: team.map(|team| team.name.as_str()),
            priority: priority.min(LOWEST_PRIORITY),
            after_event,
        }
    }

    /// The number of runs so far, and how long ago the next dispatch was counted as a repeat, in milliseconds.
    pub(crate) fn repeat_state(&self) -> (u32, Option<Millis>) {
        let progress = self.progress();
        let age = progress.repeat_counted.map(|counted| self.node.now().saturating_sub(counted));
        (progress.ran, age)
    }

    /// Counts the place of a dispatch as free, because its connection is lost. The dispatch goes on.
    pub(crate) fn release_place(&self, upstream: &str, dispatch_id: DispatchId) {
        if self.node.placer().release(upstream, dispatch_id, self.node.now()) {
            log::warn!("request: id={} event=path-lost upstream={upstream}", self.request.ask.id);
            self.node.places.free(&self.request.service);
        }
    }

    /// Logs the outcome of the request and updates its metrics.
    pub(crate) fn log_end(&self, outcome: &str, detail: impl std::fmt::Display) {
        let ms = self.node.now().saturating_sub(self.request.arrived);
        let (sent, ran) = {
            let progress = self.progress();
            (progress.sent, progress.ran)
        };
        let team = self.request.team.as_ref().map_or("-", |team| team.name.as_str());
        self.node.metrics.requests.with_label_values(&[self.request.route.name.as_str(), outcome]).inc();
        self.node
            .metrics
            .whole_answer_time
            .with_label_values(&[&self.request.route.name])
            .observe(ms as f64 / 1_000.0);
        let level = if outcome == "complete" { log::Level::Info } else { log::Level::Warn };
        log::log!(
            level,
            "request: id={} event=end outcome={outcome} route={} team={team} ms={ms} sent={sent} ran={ran} manifest={} {detail}",
            self.request.ask.id,
            self.request.route.name,
            self.request.manifest.version,
        );
    }
}

/// Counts a request as open until it is dropped.
struct OpenGuard<W: Wire, S: Rows>(Arc<Node<W, S>>);

impl<W: Wire, S: Rows> OpenGuard<W, S> {
    fn new(node: &Arc<Node<W, S>>) -> OpenGuard<W, S> {
        node.open_requests.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        OpenGuard(node.clone())
    }
}

impl<W: Wire, S: Rows> Drop for OpenGuard<W, S> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}

/// Registers a request as running at an upstream until it is dropped.
pub(crate) struct UpstreamSlot<W: Wire, S: Rows> {
    node: Arc<Node<W, S>>,
    request: String,
    service: String,
    pub upstream: Upstream,
    /// The software version of the upstream.
    pub version: Version,
    pub dispatched: Millis,
    pub dispatch_id: DispatchId,
    is_prompt_read: bool,
    /// The run, if the request is for a stream that may be resumed.
    run: Option<runs::Guard>,
}

impl<W: Wire, S: Rows> UpstreamSlot<W, S> {
    /// Returns `None` if the upstream accepts no more requests now, because others were dispatched since it
    /// was chosen.
    pub(crate) fn take(job: &Job<W, S>, chosen: &Placement, listing: &Listing) -> Option<UpstreamSlot<W, S>> {
        let node = job.node.clone();
        let now = node.now();
        let mut placer = node.placer();
        if !placer.has_room(&chosen.upstream, now) {
            return None;
        }
        let dispatch_id = placer.begin(chosen, job.prompt().as_ref(), now);
        drop(placer);
        let upstream = job.upstream(&chosen.upstream, listing);
        let is_resumable = job.kind() == RouteKind::ResumableStream;
        let run = is_resumable.then(|| node.runs.begin(job.stream(), upstream.clone(), &job.takeover));
        Some(UpstreamSlot {
            node,
            request: job.request.ask.id.clone(),
            service: job.request.service.clone(),
            upstream,
            version: Version::of(&listing.version),
            dispatched: now,
            dispatch_id,
            is_prompt_read: false,
            run,
        })
    }

    /// Records that the upstream has ended the run, or never began it.
    pub(crate) fn mark_over(&mut self) {
        if let Some(run) = &mut self.run {
            run.mark_over();
        }
    }

    /// The connection of the run, if the request is for a stream that may be resumed.
    pub(crate) fn connection(&self) -> Option<&Arc<Connection>> {
        self.run.as_ref().map(runs::Guard::connection)
    }

    /// Records that the upstream has read the request, whose time is over at `deadline`.
    pub(crate) fn record_read(&self, deadline: Millis) {
        if let Some(connection) = self.connection() {
            let told_ms = deadline.saturating_sub(self.dispatched);
            connection.record_read(self.node.now().saturating_add(told_ms));
        }
    }

    /// Reports whether the upstream closes its end of the connection of a run that was closed.
    fn report_end(&self, connection: Option<Arc<Connection>>) -> impl Future<Output = ()> + use<W, S> {
        let (node, request, upstream) = (self.node.clone(), self.request.clone(), self.upstream.name.clone());
        let closed = node.now();
        async move {
            let Some(connection) = connection else { return };
            let Some(end) = connection.end().await else { return };
            let name = end.name();
            node.metrics.closed_runs.with_label_values(&[name]).inc();
            let ms = node.now().saturating_sub(closed);
            log::info!("request: id={request} event=run-closed upstream={upstream} by={name} ms={ms}");
        }
    }

    /// Records that the upstream has read the prompt, as its first answer shows.
    pub(crate) fn mark_prompt_read(&mut self) {
        if !std::mem::replace(&mut self.is_prompt_read, true) {
            self.node.placer().record_first_answer(&self.upstream.name, self.dispatch_id, self.node.now());
        }
    }
}

impl<W: Wire, S: Rows> Drop for UpstreamSlot<W, S> {
    fn drop(&mut self) {
        let now = self.node.now();
        log::info!(
            "request: id={} event=run-ended upstream={} ms={} answered={}",
            self.request,
            self.upstream.name,
            now.saturating_sub(self.dispatched),
            self.is_prompt_read
        );
        self.node.placer().end(&self.upstream.name, self.dispatch_id, now);
        let connection = self.connection().cloned();
        if self.run.take().is_some_and(|run| run.end(now)) {
            // The caller may take the stream up elsewhere at once.
            self.node.origins.flush(&self.node.hints);
            exec::spawn(self.report_end(connection)).detach();
        }
        self.node.places.free(&self.service);
    }
}

/// Counts a request as overdue at its upstream until it is dropped: it was answered, it timed out, or the
/// caller disconnected.
pub(crate) struct OverdueGuard<'a, W: Wire, S: Rows> {
    node: &'a Node<W, S>,
    upstream: &'a str,
}

impl<'a, W: Wire, S: Rows> OverdueGuard<'a, W, S> {
    pub(crate) fn new(node: &'a Node<W, S>, upstream: &'a str) -> OverdueGuard<'a, W, S> {
        node.placer().record_overdue(upstream, true);
        OverdueGuard { node, upstream }
    }
}

impl<W: Wire, S: Rows> Drop for OverdueGuard<'_, W, S> {
    fn drop(&mut self) {
        self.node.placer().record_overdue(self.upstream, false);
    }
}

/// Counts the tokens of a request by the events passed on to the caller, and charges them when dropped.
#[derive(Debug)]
pub(crate) struct TokenMeter {
    reservation: Option<Reservation>,
    request: String,
    input: u64,
    output: u64,
    stride: u64,
    events: u64,
    started: bool,
}

impl TokenMeter {
    pub(crate) fn new<W: Wire, S: Rows>(job: &Job<W, S>, reservation: Option<Reservation>) -> TokenMeter {
        let prompt = job.request.ask.prompt.as_ref();
        TokenMeter {
            reservation,
            request: job.request.ask.id.clone(),
            input: prompt.map_or(0, |prompt| prompt.input),
            output: prompt.map_or(0, |prompt| prompt.max_output_in_events(job.stride())),
            stride: job.stride(),
            events: 0,
            started: false,
        }
    }

    /// Records that an answer is being passed on, with the total number of its events so far.
    pub(crate) fn record_events(&mut self, events: u64) {
        self.started = true;
        self.events = events;
    }

    /// The tokens used so far.
    pub(crate) fn tokens(&self) -> u64 {
        match self.started {
            true => self.input.saturating_add(self.output.min(self.events.saturating_mul(self.stride))),
            false => 0,
        }
    }
}

impl Drop for TokenMeter {
    fn drop(&mut self) {
        let tokens = self.tokens();
        if let Some(reservation) = self.reservation.take()
            && tokens > 0
        {
            reservation.charge(&self.request, tokens);
        }
    }
}
