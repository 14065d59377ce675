//! Streams that their callers take up are released by the gateways that ran them: their requests for these end, and they
//! say where the streams may go on.

use crate::contact::Upstream;
use crate::node::Node;
use crate::ports::Wire;
use crate::refusal::Refusal;
use crate::runs::Place;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, exec};
use route::Millis;
use route::origin::{Record, Stream};
use route::version::Version;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
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

impl Alive {
    /// The runs of a stream that may go on at an upstream.
    fn of<W: Wire, S: Rows>(node: &Node<W, S>, stream: Stream, upstream: &str) -> Option<Alive> {
        let (address, stops_at) = node.runs.last_stop(stream, upstream)?;
        let stops_in = stops_at.map(|at| at.saturating_sub(node.now()));
        Some(Alive { upstream: upstream.to_owned(), address, stops_in })
    }
}

/// Asks other gateways to release streams.
#[derive(Debug)]
pub(crate) struct Releases {
    client: Client,
}

impl Default for Releases {
    fn default() -> Releases {
        Releases { client: Client::with_idle_limits(IDLE_CONNECTIONS.0, IDLE_CONNECTIONS.1) }
    }
}

impl Releases {
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

    /// Waits until the runs of a stream at another gateway are over or known to go on, or that gateway does not answer any
    /// more. Returns what it said last.
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
        let next = Some(next?);
        Some(Released { is_over: false, next, alive: None, is_known: false })
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
        node.runs.inherit(request.stream, upstream, stops_at, now);
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
        let elsewhere = node.releases.until_released_elsewhere(node, service, runners, request);
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
    let alive = only.and_then(|upstream| Alive::of(&node, stream, upstream));
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
