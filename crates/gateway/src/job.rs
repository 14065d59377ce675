//! One request that was admitted, and the guards that undo what it took.

use crate::manifest::{Kind, Manifest, Route, Team};
use crate::node::Node;
use crate::ports::{Ask, Dispatch, Wire};
use crate::purse::Reservation;
use http::request::Parts;
use hyper::body::Bytes;
use route::Millis;
use route::placement::{self, DispatchId, Placement, PlacementRequest};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// Ranks of routes within one rank of teams.
const ROUTE_RANKS: u32 = 3;
/// The least urgent rank at an upstream.
const LAST_RANK: u32 = 9;

/// A request that is being carried out.
pub(crate) struct Job<W: Wire, S: Rows> {
    pub node: Arc<Node<W, S>>,
    pub request: Admitted,
    /// When it must have its answer.
    pub deadline: Millis,
    pub tries: Mutex<Tries>,
    _open: Open<W, S>,
}

/// What was tried so far.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Dispatches.
    pub sent: u32,
    /// Dispatches that ran or may have run.
    pub ran: u32,
    /// Upstreams that are not tried again.
    pub avoid: Vec<String>,
}

/// A request that was admitted.
pub(crate) struct Admitted {
    pub ask: Ask,
    pub head: Parts,
    pub body: Bytes,
    pub manifest: Arc<Manifest>,
    pub route: Arc<Route>,
    pub team: Option<Arc<Team>>,
    pub service: String,
    /// When it came.
    pub arrived: Millis,
}

impl<W: Wire, S: Rows> Job<W, S> {
    pub(crate) fn new(node: Arc<Node<W, S>>, request: Admitted) -> Job<W, S> {
        let wait = request.ask.wait_ms.unwrap_or(u64::MAX).min(request.route.timeout_ms);
        let deadline = request.arrived.saturating_add(wait);
        Job { deadline, _open: Open::new(&node), node, request, tries: Mutex::default() }
    }

    pub(crate) fn tries(&self) -> MutexGuard<'_, Tries> {
        self.tries.lock().expect("the tries' lock")
    }

    /// The time that is left.
    pub(crate) fn remaining(&self) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(self.node.now()))
    }

    pub(crate) fn kind(&self) -> Kind {
        self.request.route.kind
    }

    /// Tokens in one event of the answer.
    pub(crate) fn stride(&self) -> u64 {
        self.request.manifest.services.get(&self.request.service).map_or(1, |service| service.stride)
    }

    /// Chooses an upstream that was not tried before.
    pub(crate) fn choose(&self) -> Option<Placement> {
        let tries = self.tries();
        let need =
            PlacementRequest { service: &self.request.service, prompt: self.prompt(), avoid: &tries.avoid };
        self.node.places().choose(&need, self.node.now())
    }

    /// The prompt as the choice of an upstream sees it.
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

    /// What is added to the request at this moment.
    pub(crate) fn dispatch<'a>(&'a self, upstream: &'a str, after_event: Option<u64>) -> Dispatch<'a> {
        let team = self.request.team.as_deref();
        let rank = team.map_or(0, |team| team.priority) * ROUTE_RANKS + self.request.route.priority;
        Dispatch {
            upstream,
            remaining_ms: self.remaining().as_millis() as u64,
            team: team.map(|team| team.name.as_str()),
            priority: rank.min(LAST_RANK),
            after_event,
        }
    }

    /// Writes the request's last line.
    pub(crate) fn log_end(&self, outcome: &str, detail: impl std::fmt::Display) {
        let ms = self.node.now().saturating_sub(self.request.arrived);
        let (sent, ran) = {
            let tries = self.tries();
            (tries.sent, tries.ran)
        };
        let team = self.request.team.as_ref().map_or("-", |team| team.name.as_str());
        self.node.metrics.requests.with_label_values(&[self.request.route.name.as_str(), outcome]).inc();
        self.node.metrics.whole.with_label_values(&[&self.request.route.name]).observe(ms as f64 / 1_000.0);
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

/// Counts a request as open.
struct Open<W: Wire, S: Rows>(Arc<Node<W, S>>);

impl<W: Wire, S: Rows> Open<W, S> {
    fn new(node: &Arc<Node<W, S>>) -> Open<W, S> {
        node.open.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Open(node.clone())
    }
}

impl<W: Wire, S: Rows> Drop for Open<W, S> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}

/// A request's place at an upstream, until it is dropped.
pub(crate) struct Seat<W: Wire, S: Rows> {
    node: Arc<Node<W, S>>,
    pub upstream: String,
    /// When the request was dispatched.
    pub dispatched: Millis,
    ticket: DispatchId,
    is_read: bool,
}

impl<W: Wire, S: Rows> Seat<W, S> {
    /// Returns `None` if the upstream accepts no more requests now, because others were dispatched since it was chosen.
    pub(crate) fn take(job: &Job<W, S>, chosen: &Placement) -> Option<Seat<W, S>> {
        let node = job.node.clone();
        let now = node.now();
        let mut places = node.places();
        if !places.has_room(&chosen.upstream, now) {
            return None;
        }
        let ticket = places.begin(chosen, job.prompt().as_ref(), now);
        drop(places);
        Some(Seat { node, upstream: chosen.upstream.clone(), dispatched: now, ticket, is_read: false })
    }

    /// Notes that the prompt was read: the first answer came.
    pub(crate) fn read(&mut self) {
        if !std::mem::replace(&mut self.is_read, true) {
            self.node.places().record_first_answer(&self.upstream, self.ticket, self.node.now());
        }
    }
}

impl<W: Wire, S: Rows> Drop for Seat<W, S> {
    fn drop(&mut self) {
        self.node.places().end(&self.upstream, self.ticket, self.node.now());
    }
}

/// Counts a request as overdue at its upstream until it is dropped: with an answer, or because the caller left.
pub(crate) struct Overdue<'a, W: Wire, S: Rows> {
    node: &'a Node<W, S>,
    upstream: &'a str,
}

impl<'a, W: Wire, S: Rows> Overdue<'a, W, S> {
    pub(crate) fn new(node: &'a Node<W, S>, upstream: &'a str) -> Overdue<'a, W, S> {
        node.places().record_overdue(upstream, true);
        Overdue { node, upstream }
    }
}

impl<W: Wire, S: Rows> Drop for Overdue<'_, W, S> {
    fn drop(&mut self) {
        self.node.places().record_overdue(self.upstream, false);
    }
}

/// The tokens that a stream may use, charged by what was passed on.
#[derive(Debug)]
pub(crate) struct Meter {
    reservation: Option<Reservation>,
    request: String,
    input: u64,
    output: u64,
    stride: u64,
    events: u64,
    started: bool,
}

impl Meter {
    pub(crate) fn new<W: Wire, S: Rows>(job: &Job<W, S>, reservation: Option<Reservation>) -> Meter {
        let prompt = job.request.ask.prompt.as_ref();
        Meter {
            reservation,
            request: job.request.ask.id.clone(),
            input: prompt.map_or(0, |prompt| prompt.input),
            output: prompt.map_or(0, |prompt| prompt.output_in_events(job.stride())),
            stride: job.stride(),
            events: 0,
            started: false,
        }
    }

    /// Notes that an answer goes to the caller, with so many events in all.
    pub(crate) fn pass(&mut self, events: u64) {
        self.started = true;
        self.events = events;
    }

    /// Tokens used so far.
    pub(crate) fn tokens(&self) -> u64 {
        match self.started {
            true => self.input + self.output.min(self.events * self.stride),
            false => 0,
        }
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        let tokens = self.tokens();
        if let Some(reservation) = self.reservation.take()
            && tokens > 0
        {
            reservation.charge(&self.request, tokens);
        }
    }
}
