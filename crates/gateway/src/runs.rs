//! The runs of resumable streams that this gateway has sent to upstreams, until these are known to have ended them.
//!
//! A run that this gateway closes goes on until its upstream notices, which a suspended process does late. The stream
//! must not go on at another upstream before, whether this gateway resumes it or its caller takes it up, here or at
//! another gateway. [`route::silence::Contact`] decides whether an upstream has noticed.

use crate::contact::Upstream;
use crate::node::Node;
use crate::ports::Wire;
use crate::refusal::Refusal;
use event_listener::{Event, EventListener};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, exec};
use route::Millis;
use route::origin::Stream;
use route::version::Version;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
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
const MESSAGE_LIMIT: usize = 64;

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
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Released {
    /// Whether its runs are over.
    is_over: bool,
    /// The gateway that took the stream up from there before.
    next: Option<SocketAddr>,
}

/// A run that is not known to be over.
#[derive(Clone, Debug)]
struct Run {
    number: u64,
    upstream: Upstream,
    /// When this gateway closed it; `None` while its request is open.
    closed: Option<Millis>,
    takeover: Arc<Takeover>,
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
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let run = Run { number, upstream, closed: None, takeover: takeover.clone() };
        state.streams.entry(stream).or_default().push(run);
        Guard { runs: self.clone(), stream, number, is_over: false }
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

    /// Waits until all runs of a stream that began here are over.
    async fn until_over<W: Wire, S: Rows>(&self, node: &Node<W, S>, stream: Stream) {
        self.until_none(node, stream, |_| true).await;
    }

    /// Waits until the runs of a stream that one request began are over.
    pub(crate) async fn until_own_over<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        stream: Stream,
        takeover: &Arc<Takeover>,
    ) {
        self.until_none(node, stream, |run| Arc::ptr_eq(&run.takeover, takeover)).await;
    }

    async fn until_none<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        stream: Stream,
        is_selected: impl Fn(&Run) -> bool,
    ) {
        loop {
            let changed = self.changed.listen();
            let Some(run) = self.find(stream, &is_selected) else { return };
            match run.closed {
                Some(closed) => {
                    run.upstream.until_noticed(node, closed).await;
                    self.state().remove(stream, run.number);
                }
                None => changed.await,
            }
        }
    }

    fn find(&self, stream: Stream, is_selected: impl Fn(&Run) -> bool) -> Option<Run> {
        self.state().streams.get(&stream)?.iter().find(|run| is_selected(run)).cloned()
    }

    /// Asks another gateway to release a stream; `None` if there is no answer.
    async fn ask(&self, runner: SocketAddr, request: Release) -> Option<Released> {
        let question = bincode::serialize(&request).expect("a request serializes to bincode");
        let request = Request::post(format!("http://{runner}{PATH}")).body(Body::from(question)).ok()?;
        let answer = self.client.exchange("release", request, MESSAGE_LIMIT, ASK_TIMEOUT).await.ok()?;
        // A gateway of an earlier build names no other one.
        let unnamed = || Some(Released { is_over: bincode::deserialize(answer.body()).ok()?, next: None });
        bincode::deserialize(answer.body()).ok().or_else(unnamed)
    }

    /// Waits until the runs of a stream at another gateway are over, or that gateway does not answer. Returns the gateway
    /// that took the stream up from there.
    async fn until_over_at(&self, runner: SocketAddr, request: Release) -> Option<SocketAddr> {
        let (mut unanswered, mut next) = (0, None);
        while unanswered < MAX_UNANSWERED {
            match self.ask(runner, request).await {
                Some(released) => {
                    unanswered = 0;
                    next = next.or(released.next);
                    if released.is_over {
                        return next;
                    }
                }
                None => unanswered += 1,
            }
        }
        log::warn!("request: event=not-released gateway={runner}");
        next
    }

    /// Waits until the runs of a stream are over at `runners`, and at those that took it up from there.
    async fn until_over_elsewhere<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        runners: Runners,
        request: Release,
    ) {
        let (mut pending, mut asked) = (runners, Runners::new());
        while let Some(runner) = pending.pop() {
            if runner != request.to && !asked.contains(&runner) {
                asked.push(runner);
                // If this request is refused, the next gateway that is asked to take the stream up learns it from here.
                node.origins.record_runner(request.stream, request.version, runner, node.now());
                pending.extend(self.until_over_at(runner, request).await);
            }
        }
    }
}

/// A registered run.
#[derive(Debug)]
pub(crate) struct Guard {
    runs: Arc<Runs>,
    stream: Stream,
    number: u64,
    is_over: bool,
}

impl Guard {
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

/// Ends the earlier runs of a stream that its caller takes up, here and at the gateways that ran it, and waits until their
/// upstreams have noticed.
///
/// # Errors
/// Refuses the request if an upstream has not noticed within `limit`.
pub(crate) async fn release<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    stream: Stream,
    version: Version,
    runners: Runners,
    limit: Duration,
) -> Result<(), Refusal> {
    node.runs.take_over(stream);
    let here = node.runs.until_over(node, stream);
    let named: Vec<String> = runners.iter().map(SocketAddr::to_string).collect();
    let request = Release { stream, version, to: node.settings.listen.peers };
    let elsewhere = node.runs.until_over_elsewhere(node, runners, request);
    let began = node.now();
    let released = exec::timeout(limit, futures::future::join(here, elsewhere)).await;
    let ms = node.now() - began;
    node.metrics.release_time.observe(ms as f64 / 1_000.0);
    log::info!(
        "request: event=released stream={stream} runners={} ms={ms} over={}",
        if named.is_empty() { "-".to_owned() } else { named.join(",") },
        released.is_some()
    );
    released.map(|_| ()).ok_or(Refusal::StillRunning)
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
    let next = release.and_then(|release| pass_on(&node, release));
    let is_over = exec::timeout(ANSWER_DELAY, node.runs.until_over(&node, stream)).await.is_some();
    // An earlier build reads the first byte only.
    let released = Released { is_over, next };
    Response::new(Body::from(bincode::serialize(&released).expect("an answer serializes to bincode")))
}

/// Records where a stream goes on. Returns the gateway that had taken it up from here before.
fn pass_on<W: Wire, S: Rows>(node: &Node<W, S>, release: Release) -> Option<SocketAddr> {
    let Release { stream, version, to } = release;
    let now = node.now();
    let before = node.origins.record(Some(stream), node.stream_lifetime(), now);
    node.origins.record_runner(stream, version, to, now);
    before?.runner.filter(|runner| *runner != to)
}
