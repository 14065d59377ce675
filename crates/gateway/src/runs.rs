//! The runs of resumable streams that this gateway has sent to upstreams, until these are known to have ended them.
//!
//! A run that this gateway closes goes on until its upstream notices, which it may do late or never. The stream must not
//! go on at another upstream before, whether this gateway resumes it or its caller takes it up, here or at another gateway.
//! [`route::silence::Contact`] decides what is known of such a run. While its upstream is alive and may still work on it,
//! the stream goes on at that upstream only.

use crate::contact::Upstream;
use crate::node::Node;
use crate::ports::Wire;
use crate::refusal::Refusal;
use event_listener::{Event, EventListener};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, Closing, End, exec};
use route::Millis;
use route::origin::{Record, Stream};
use route::silence::{ClosedRun, RunState};
use route::version::Version;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;
use store::rows::Rows;

/// The path of requests to release a stream.
pub(crate) const PATH: &str = "/origin/release";
/// How long a gateway that is asked to release a stream waits until its runs are over before it answers.
const ANSWER_DELAY: Duration = Duration::from_millis(60);
/// How long that answer may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// How often a gateway is asked that does not answer. One that is suspended or gone must not hold a stream for long.
const MAX_UNANSWERED: u32 = 2;
/// The number of unused connections to a gateway that are kept, and for how long.
const IDLE_CONNECTIONS: (usize, Duration) = (1, Duration::from_secs(5));
/// The largest message, in bytes.
const MESSAGE_LIMIT: usize = 512;
/// The largest number of other gateways that are asked about a stream whose runner has forgotten it.
const MAX_ASKED: usize = 64;
/// How long a connection that this gateway closes may take to end.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before the runs of a stream are looked at again, of which two may go on at different upstreams.
const CONFLICT_PAUSE: Duration = Duration::from_millis(100);

/// Tells a request that its caller takes its stream up with another request.
#[derive(Debug, Default)]
pub(crate) struct Takeover {
    is_taken: AtomicBool,
    event: Event,
}

impl Takeover {
    fn take(&self) {
        self.is_taken.store(true, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Whether the stream has been taken up.
    pub(crate) fn is_taken(&self) -> bool {
        self.is_taken.load(Ordering::SeqCst)
    }

    /// Notified when the stream is taken up, unless it has been before.
    pub(crate) fn listen(&self) -> EventListener {
        self.event.listen()
    }

    /// Waits until the stream is taken up.
    pub(crate) async fn wait(&self) {
        let taken = self.listen();
        if !self.is_taken() {
            taken.await;
        }
    }
}

/// Gateways that ran a stream.
pub(crate) type Runners = SmallVec<[SocketAddr; 4]>;

/// Asks a gateway to end its runs of a stream.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Release {
    stream: Stream,
    version: Version,
    /// The gateway at which the stream goes on.
    to: SocketAddr,
}

/// What a gateway says that was asked to release a stream.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Released {
    /// Whether its runs are over.
    is_over: bool,
    /// The gateway that took the stream up from there before.
    next: Option<SocketAddr>,
    /// A run that may still be under way, at an upstream that is alive.
    alive: Option<Alive>,
    /// Whether the gateway remembers the stream. One that was restarted may have forgotten runs.
    is_known: bool,
}

/// A run that may still be under way.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Alive {
    upstream: String,
    address: SocketAddr,
    /// In how many milliseconds it stops by itself, if that is known.
    stops_in: Option<Millis>,
}

/// The upstreams at which a stream may go on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Place {
    /// Any: no run is under way.
    #[default]
    Any,
    /// Only this one, at which an earlier run may still be under way.
    Only(String),
}

impl Place {
    /// The only upstream, if there is one.
    pub(crate) fn only(&self) -> Option<&str> {
        match self {
            Place::Any => None,
            Place::Only(upstream) => Some(upstream),
        }
    }
}

/// The connection of a run.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    /// Unset until the request is sent; `None` if another gateway sent it.
    closing: OnceLock<Option<Closing>>,
    /// When the upstream stops by itself, once it has read the request.
    stops_at: OnceLock<Millis>,
}

impl Connection {
    /// Records that the request is sent on a connection.
    pub(crate) fn record_sent(&self, closing: &Closing) {
        closing.set_awaited(true);
        let _ = self.closing.set(Some(closing.clone()));
    }

    /// Records when the upstream stops, which has read the request.
    pub(crate) fn record_read(&self, stops_at: Millis) {
        let _ = self.stops_at.set(stops_at);
    }

    /// Whether the request has been sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.closing.get().is_some()
    }

    /// Asks the upstream to end the run of a request: closes this gateway's end of the connection. An upstream that does not
    /// notice goes on, and its answer is still read. Returns whether the connection can be closed so.
    pub(crate) fn ask_to_end(&self, request: &str, upstream: &str) -> bool {
        let is_asked = self.closing.get().and_then(Option::as_ref).is_some_and(Closing::half_close);
        log::warn!("request: id={request} event=asked-to-end upstream={upstream} asked={is_asked}");
        is_asked
    }

    /// Whether the upstream has been asked to end the run.
    pub(crate) fn is_asked_to_end(&self) -> bool {
        self.closing.get().and_then(Option::as_ref).is_some_and(Closing::is_half_closed)
    }

    /// How the connection ended, if the request was sent.
    pub(crate) async fn end(&self) -> Option<End> {
        match self.closing.get()? {
            Some(closing) => Some(exec::timeout(END_TIMEOUT, closing.wait()).await.unwrap_or(End::Unknown)),
            None => Some(End::Unknown),
        }
    }
}

/// A run that is not known to be over.
#[derive(Clone, Debug)]
struct Run {
    number: u64,
    upstream: Upstream,
    /// When this gateway closed it; `None` while its request is open.
    closed: Option<Millis>,
    connection: Arc<Connection>,
    takeover: Arc<Takeover>,
}

impl Run {
    /// What is known of a run that was closed.
    async fn state<W: Wire, S: Rows>(&self, node: &Node<W, S>, closed: Millis) -> Option<RunState> {
        let is_closed_by_upstream = self.connection.end().await? == End::Peer;
        let stops_at = self.connection.stops_at.get().copied();
        let run = ClosedRun { closed, is_closed_by_upstream, stops_at };
        Some(self.upstream.until_known(node, &run).await)
    }
}

#[derive(Debug, Default)]
struct State {
    streams: HashMap<Stream, SmallVec<[Run; 1]>>,
    last_number: u64,
}

impl State {
    fn remove(&mut self, stream: Stream, number: u64) {
        let Some(runs) = self.streams.get_mut(&stream) else { return };
        runs.retain(|run| run.number != number);
        if runs.is_empty() {
            self.streams.remove(&stream);
        }
    }
}

/// The runs of all streams that are not known to be over.
#[derive(Debug)]
pub(crate) struct Runs {
    state: Mutex<State>,
    /// Notified when a run is closed or over.
    changed: Event,
    client: Client,
}

impl Default for Runs {
    fn default() -> Runs {
        Runs {
            state: Mutex::default(),
            changed: Event::new(),
            client: Client::with_idle_limits(IDLE_CONNECTIONS.0, IDLE_CONNECTIONS.1),
        }
    }
}

impl Runs {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Registers a run until the guard is dropped, and further if the guard was not told that the run is over.
    pub(crate) fn begin(
        self: &Arc<Self>,
        stream: Stream,
        upstream: Upstream,
        takeover: &Arc<Takeover>,
    ) -> Guard {
        let connection = Arc::new(Connection::default());
        let number = self.add(stream, upstream, None, &connection, takeover);
        Guard { runs: self.clone(), stream, number, connection, is_over: false }
    }

    /// Registers a run that another gateway closed, and that may still be under way.
    fn inherit(&self, stream: Stream, upstream: Upstream, stops_at: Option<Millis>, now: Millis) {
        let connection = Connection::default();
        let _ = connection.closing.set(None);
        if let Some(stops_at) = stops_at {
            connection.record_read(stops_at);
        }
        self.add(stream, upstream, Some(now), &Arc::new(connection), &Arc::default());
    }

    fn add(
        &self,
        stream: Stream,
        upstream: Upstream,
        closed: Option<Millis>,
        connection: &Arc<Connection>,
        takeover: &Arc<Takeover>,
    ) -> u64 {
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let (connection, takeover) = (connection.clone(), takeover.clone());
        let run = Run { number, upstream, closed, connection, takeover };
        state.streams.entry(stream).or_default().push(run);
        number
    }

    /// Forgets the runs that were closed before `limit`: their callers return no more.
    pub(crate) fn expire(&self, limit: Millis) {
        self.state().streams.retain(|_, runs| {
            runs.retain(|run| run.closed.is_none_or(|closed| closed >= limit));
            !runs.is_empty()
        });
    }

    fn close(&self, stream: Stream, number: u64, now: Millis) {
        let mut state = self.state();
        let run =
            state.streams.get_mut(&stream).and_then(|runs| runs.iter_mut().find(|run| run.number == number));
        if let Some(run) = run {
            run.closed = Some(now);
        }
    }

    /// Ends the requests for a stream that are open here, because its caller takes it up.
    fn take_over(&self, stream: Stream) {
        let state = self.state();
        let runs = state.streams.get(&stream).into_iter().flatten();
        runs.filter(|run| run.closed.is_none()).for_each(|run| run.takeover.take());
    }

    /// Waits until it is known where a stream may go on, as far as runs that began here decide it.
    async fn find_place<W: Wire, S: Rows>(&self, node: &Node<W, S>, stream: Stream) -> Place {
        self.settle(node, stream, |_| true).await
    }

    /// Waits until it is known where a stream may go on, after the runs that one request began and those that had been
    /// closed before it.
    pub(crate) async fn find_next_place<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        stream: Stream,
        takeover: &Arc<Takeover>,
        earlier: &Place,
    ) -> Place {
        let is_earlier = |run: &Run| {
            run.closed.is_some() && earlier.only().is_some_and(|upstream| run.upstream.name == upstream)
        };
        self.settle(node, stream, |run| Arc::ptr_eq(&run.takeover, takeover) || is_earlier(run)).await
    }

    async fn settle<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        stream: Stream,
        is_selected: impl Fn(&Run) -> bool,
    ) -> Place {
        loop {
            let changed = self.changed.listen();
            let runs = self.find(stream, &is_selected);
            if runs.iter().any(|run| run.closed.is_none()) {
                changed.await;
                continue;
            }
            let mut alive: SmallVec<[&str; 1]> = SmallVec::new();
            for run in &runs {
                let closed = run.closed.unwrap_or_default();
                match run.state(node, closed).await {
                    Some(RunState::Alive | RunState::Unknown) => alive.push(&run.upstream.name),
                    Some(RunState::Over(_)) | None => self.state().remove(stream, run.number),
                }
            }
            alive.dedup();
            match alive[..] {
                [] => return Place::Any,
                [upstream] => return Place::Only(upstream.to_owned()),
                _ => exec::sleep(CONFLICT_PAUSE).await,
            }
        }
    }

    fn find(&self, stream: Stream, is_selected: impl Fn(&Run) -> bool) -> SmallVec<[Run; 1]> {
        let state = self.state();
        let runs = state.streams.get(&stream).into_iter().flatten();
        runs.filter(|run| is_selected(run)).cloned().collect()
    }

    /// The runs of a stream at an upstream, as other gateways are told of them.
    fn describe(&self, stream: Stream, upstream: &str, now: Millis) -> Option<Alive> {
        let runs = self.find(stream, |run| run.upstream.name == upstream);
        let stops_at = runs.iter().map(|run| run.connection.stops_at.get().copied());
        let stops_at: Option<SmallVec<[Millis; 1]>> = stops_at.collect();
        Some(Alive {
            upstream: upstream.to_owned(),
            address: runs.first()?.upstream.address,
            stops_in: stops_at.and_then(|all| all.into_iter().max()).map(|at| at.saturating_sub(now)),
        })
    }

    /// Asks another gateway to release a stream; `None` if there is no answer.
    async fn ask(&self, runner: SocketAddr, request: Release) -> Option<Released> {
        let question = bincode::serialize(&request).expect("a request serializes to bincode");
        let request = Request::post(format!("http://{runner}{PATH}")).body(Body::from(question)).ok()?;
        let answer = self.client.exchange("release", request, MESSAGE_LIMIT, ASK_TIMEOUT).await.ok()?;
        // Gateways of earlier builds name no run, or no other gateway either.
        let bytes = answer.body();
        let runless = || {
            let (is_over, next) = bincode::deserialize(bytes).ok()?;
            Some(Released { is_over, next, alive: None, is_known: true })
        };
        let unnamed = || {
            let is_over = bincode::deserialize(bytes).ok()?;
            Some(Released { is_over, next: None, alive: None, is_known: true })
        };
        bincode::deserialize(bytes).ok().or_else(runless).or_else(unnamed)
    }

    /// Waits until the runs of a stream at another gateway are over or known to go on, or that gateway does not answer.
    async fn until_released_by(&self, runner: SocketAddr, request: Release) -> Option<Released> {
        let (mut unanswered, mut next) = (0, None);
        while unanswered < MAX_UNANSWERED {
            match self.ask(runner, request).await {
                Some(released) => {
                    unanswered = 0;
                    next = next.or(released.next);
                    if released.is_over || released.alive.is_some() {
                        return Some(Released { next, ..released });
                    }
                }
                None => unanswered += 1,
            }
        }
        log::warn!("request: event=not-released gateway={runner}");
        None
    }

    /// Waits until the runs of a stream are over or known to go on at `runners`, and at those that took it up from there.
    /// Runs that may go on are registered here. If one of these gateways does not answer or has forgotten the stream, the
    /// others are asked, of which one may have run it before.
    async fn until_released_elsewhere<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        service: &str,
        runners: Runners,
        request: Release,
    ) {
        let (mut pending, mut asked) = (runners, Runners::new());
        let mut is_forgotten = false;
        while let Some(runner) = pending.pop() {
            if runner == request.to || asked.contains(&runner) {
                continue;
            }
            asked.push(runner);
            // If this request is refused, the next gateway that is asked to take the stream up learns it from here.
            node.origins.record_runner(request.stream, request.version, runner, node.now());
            match self.until_released_by(runner, request).await {
                Some(released) => {
                    is_forgotten |= !released.is_known;
                    pending.extend(released.next);
                    self.inherit_from(node, service, request, released);
                }
                None => is_forgotten = true,
            }
        }
        let peers = node.hints.peers();
        if is_forgotten && peers.len() <= MAX_ASKED {
            let others = peers.iter().filter(|peer| !asked.contains(peer) && **peer != request.to);
            let asking = others.map(async |peer| {
                if let Some(released) = self.until_released_by(*peer, request).await {
                    self.inherit_from(node, service, request, released);
                }
            });
            futures::future::join_all(asking).await;
        }
    }

    /// Registers a run of another gateway that may go on.
    fn inherit_from<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        service: &str,
        request: Release,
        released: Released,
    ) {
        let Some(Alive { upstream, address, stops_in }) = released.alive else { return };
        let now = node.now();
        let manifest = node.manifest();
        let service = manifest.as_ref().and_then(|manifest| manifest.services.get(service));
        let upstream = Upstream::of(node, service, &upstream, address);
        let stops_at = stops_in.map(|ms| now.saturating_add(ms));
        self.inherit(request.stream, upstream, stops_at, now);
    }
}

/// A registered run.
#[derive(Debug)]
pub(crate) struct Guard {
    runs: Arc<Runs>,
    stream: Stream,
    number: u64,
    connection: Arc<Connection>,
    is_over: bool,
}

impl Guard {
    /// The connection of the run.
    pub(crate) fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    /// Records that the upstream has ended the run.
    pub(crate) fn mark_over(&mut self) {
        self.is_over = true;
    }

    /// Ends the registration at the time `now`. Returns whether the run may still be under way.
    pub(crate) fn end(self, now: Millis) -> bool {
        match self.is_over {
            true => self.runs.state().remove(self.stream, self.number),
            false => self.runs.close(self.stream, self.number, now),
        }
        self.runs.changed.notify(usize::MAX);
        !self.is_over
    }
}

/// Ends the earlier runs of a stream that its caller takes up, here and at the gateways that ran it, and waits until it is
/// known where the stream may go on.
///
/// # Errors
/// Refuses the request if that is not known within `limit`.
pub(crate) async fn release<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    service: &str,
    (stream, version): (Stream, Version),
    runners: Runners,
    limit: Duration,
) -> Result<Place, Refusal> {
    node.runs.take_over(stream);
    let named: Vec<String> = runners.iter().map(SocketAddr::to_string).collect();
    let request = Release { stream, version, to: node.settings.listen.peers };
    let releasing = async {
        let here = node.runs.find_place(node, stream);
        let elsewhere = node.runs.until_released_elsewhere(node, service, runners, request);
        futures::future::join(here, elsewhere).await;
        // Runs may have been registered meanwhile that go on elsewhere.
        node.runs.find_place(node, stream).await
    };
    let began = node.now();
    let place = exec::timeout(limit, releasing).await;
    let ms = node.now() - began;
    node.metrics.release_time.observe(ms as f64 / 1_000.0);
    log::info!(
        "request: event=released stream={stream} runners={} ms={ms} over={} only={}",
        if named.is_empty() { "-".to_owned() } else { named.join(",") },
        place.is_some(),
        place.as_ref().and_then(Place::only).unwrap_or("-"),
    );
    place.ok_or(Refusal::StillRunning)
}

/// Answers another gateway's request to release a stream, which its caller takes up there.
pub(crate) async fn answer<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let bytes = net::collect(request.into_body(), MESSAGE_LIMIT).await.unwrap_or_default();
    // A gateway of an earlier build does not say where the stream goes on.
    let release = bincode::deserialize::<Release>(&bytes).ok();
    let stream = release.map(|release| release.stream).or_else(|| bincode::deserialize(&bytes).ok());
    let Some(stream) = stream else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    node.runs.take_over(stream);
    let before = release.and_then(|release| pass_on(&node, release));
    let next = before.and_then(|before| before.runner);
    let next = next.filter(|runner| release.is_none_or(|release| *runner != release.to));
    let place = exec::timeout(ANSWER_DELAY, node.runs.find_place(&node, stream)).await;
    let only = place.as_ref().and_then(Place::only);
    let alive = only.and_then(|upstream| node.runs.describe(stream, upstream, node.now()));
    // Earlier builds read a part of it.
    let released = Released { is_over: place == Some(Place::Any), next, alive, is_known: before.is_some() };
    Response::new(Body::from(bincode::serialize(&released).expect("an answer serializes to bincode")))
}

/// Records where a stream goes on. Returns what this gateway knew of it.
fn pass_on<W: Wire, S: Rows>(node: &Node<W, S>, release: Release) -> Option<Record> {
    let Release { stream, version, to } = release;
    let now = node.now();
    let before = node.origins.record(Some(stream), node.stream_lifetime(), now);
    node.origins.record_runner(stream, version, to, now);
    before
}
