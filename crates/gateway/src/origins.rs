//! Where streams began. A gateway that begins a stream tells a few others at which software version, and one that is
//! asked to take a stream up asks them.
//!
//! [`route::origin`] decides whom to tell and to ask, and whether the answers suffice.

use crate::barrier::{self, Passed};
use crate::hints::Hints;
use crate::job::Job;
use crate::node::Node;
use crate::ports::{Resumption, Wire};
use crate::refusal::Refusal;
use crate::runs::{self, Runners};
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, exec};
use route::Millis;
use route::origin::{self, ASKED, FLUSH_MS, Knowledge, Origin, Record, Stream, Telling, keepers, resolve};
use route::origin_log::Log;
use route::version::{Seen, Version, Versions};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// The path of questions between gateways.
pub(crate) const PATH: &str = "/origin";
/// How long the gateways that are asked may take to answer: round trips between data centres, and the delay of a
/// process on a busy VM.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the first one may take before the others are asked as well.
const FIRST_ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// How long the gateway that is asked may take to learn from the store whether its list is behind.
const ANSWER_DELAY: Duration = Duration::from_millis(100);
/// The number of unused connections to a gateway that are kept, and for how long.
const IDLE_CONNECTIONS: (usize, Duration) = (1, Duration::from_secs(5));
/// The largest message, in bytes.
const MESSAGE_LIMIT: usize = 4 << 10;

/// The software version that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Told {
    pub stream: Stream,
    pub version: Version,
}

/// What a gateway that stops knows of a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HandedOver {
    pub stream: Stream,
    pub version: Version,
    /// The gateway that ran it last.
    pub runner: SocketAddr,
}

/// Asks what another gateway knows of a stream.
#[derive(Debug, Deserialize, Serialize)]
struct Question {
    service: String,
    /// `None` if the caller did not name it.
    stream: Option<Stream>,
    /// Whether the list of upstreams has to be brought up to the present for the answer.
    needs_list: bool,
}

/// What a gateway knows of a stream, and which one ran it last.
type Answer = (Knowledge, Option<SocketAddr>);

/// What this gateway knows of the software versions of upstreams, and of the streams that they began.
#[derive(Debug)]
pub(crate) struct Origins {
    client: Client,
    versions: Mutex<Versions>,
    streams: Mutex<origin::Origins>,
    outbox: Mutex<Outbox>,
    log: Mutex<Log>,
}

/// What other gateways have to be told.
#[derive(Debug, Default)]
struct Outbox {
    telling: Telling,
    pending: HashMap<SocketAddr, Vec<Told>>,
}

impl Default for Origins {
    fn default() -> Origins {
        Origins {
            client: Client::with_idle_limits(IDLE_CONNECTIONS.0, IDLE_CONNECTIONS.1),
            versions: Mutex::default(),
            streams: Mutex::default(),
            outbox: Mutex::default(),
            log: Mutex::default(),
        }
    }
}

impl Origins {
    pub(crate) fn versions(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().expect("no thread panics while it holds the lock")
    }

    fn streams(&self) -> MutexGuard<'_, origin::Origins> {
        self.streams.lock().expect("no thread panics while it holds the lock")
    }

    /// What has to be written to the store.
    pub(crate) fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().expect("no thread panics while it holds the lock")
    }

    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().expect("no thread panics while it holds the lock")
    }

    /// The number of streams whose origin is known.
    pub(crate) fn stream_count(&self) -> usize {
        self.streams().len()
    }

    /// Forgets what no stream needs any more.
    pub(crate) fn expire(&self, lifetime: Millis, now: Millis) {
        self.versions().expire(lifetime, now);
        self.streams().expire(lifetime, now);
    }

    /// Records what another gateway told, which runs the streams.
    pub(crate) fn apply(&self, told: &[Told], from: SocketAddr, now: Millis) {
        let mut streams = self.streams();
        for Told { stream, version } in told {
            streams.record(*stream, Record { version: *version, runner: Some(from) }, now);
        }
    }

    fn record(&self, stream: Option<Stream>, lifetime: Millis, now: Millis) -> Option<Record> {
        self.streams().get(stream?, lifetime, now)
    }

    fn knowledge(&self, service: &str, stream: Option<Stream>, lifetime: Millis, now: Millis) -> Knowledge {
        Knowledge {
            version: self.record(stream, lifetime, now).map(|record| record.version),
            seen: self.versions().seen(service, lifetime, now),
        }
    }

    /// Tells the keepers of a stream where it began, with what else there is to tell soon.
    fn tell(self: &Arc<Self>, hints: &Arc<Hints>, told: Told, now: Millis) {
        if !self.queue(hints, told, now) {
            return;
        }
        let (origins, hints) = (self.clone(), hints.clone());
        exec::spawn(async move {
            exec::sleep(Duration::from_millis(FLUSH_MS)).await;
            origins.flush(&hints);
        })
        .detach();
    }

    /// Queues the origin of a stream for its keepers. Returns whether the queue was empty before.
    fn queue(&self, hints: &Hints, told: Told, now: Millis) -> bool {
        let peers = hints.peers();
        let mut outbox = self.outbox();
        let count = outbox.telling.record(peers.len(), now);
        let was_empty = outbox.pending.is_empty();
        for keeper in keepers(told.stream, peers.iter().map(|peer| (*peer, key(*peer))), count) {
            outbox.pending.entry(keeper).or_default().push(told);
        }
        was_empty && !outbox.pending.is_empty()
    }

    /// Tells the keepers what there is to tell.
    pub(crate) fn flush(&self, hints: &Hints) {
        let pending = std::mem::take(&mut self.outbox().pending);
        pending.into_iter().for_each(|(keeper, told)| hints.announce_origins(keeper, &told));
    }

    /// Tells the keepers of all streams that this gateway knows of, because it stops.
    pub(crate) fn hand_over(&self, hints: &Hints, own_address: SocketAddr, now: Millis) {
        self.flush(hints);
        let known: Vec<(Stream, Record)> = self.streams().iter().collect();
        let hand_over = |(stream, Record { version, runner })| HandedOver {
            stream,
            version,
            runner: runner.unwrap_or(own_address),
        };
        self.tell_handed_over(hints, known.into_iter().map(hand_over), now);
    }

    /// Tells the keepers of streams that an earlier process of this VM ran.
    pub(crate) fn tell_known(
        &self,
        hints: &Hints,
        own_address: SocketAddr,
        known: &[(Stream, Version)],
        now: Millis,
    ) {
        let hand_over = |(stream, version): &(Stream, Version)| HandedOver {
            stream: *stream,
            version: *version,
            runner: own_address,
        };
        self.tell_handed_over(hints, known.iter().map(hand_over), now);
    }

    fn tell_handed_over(&self, hints: &Hints, known: impl Iterator<Item = HandedOver>, now: Millis) {
        let peers = hints.peers();
        let mut pending: HashMap<SocketAddr, Vec<HandedOver>> = HashMap::new();
        for handed_over in known {
            let (stream, count) = (handed_over.stream, self.outbox().telling.record(peers.len(), now));
            for keeper in keepers(stream, peers.iter().map(|peer| (*peer, key(*peer))), count) {
                pending.entry(keeper).or_default().push(handed_over);
            }
        }
        pending.into_iter().for_each(|(keeper, known)| hints.hand_over_origins(keeper, &known));
    }

    /// Records where streams began that an earlier process of this VM ran.
    pub(crate) fn learn(&self, known: &[(Stream, Version)], now: Millis) {
        let mut streams = self.streams();
        for (stream, version) in known {
            streams.record_if_unknown(*stream, Record { version: *version, runner: None }, now);
        }
    }

    /// Records what a gateway that stops knew of streams, as far as nothing is known of them.
    pub(crate) fn apply_hand_over(&self, known: &[HandedOver], now: Millis) {
        let mut streams = self.streams();
        for HandedOver { stream, version, runner } in known {
            streams.record_if_unknown(*stream, Record { version: *version, runner: Some(*runner) }, now);
        }
    }

    /// Records that this gateway runs a stream that its caller takes up, and tells others before it does.
    fn begin_again<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        service: &str,
        stream: Stream,
        version: Version,
    ) {
        self.log().record(service, stream, version, node.now());
        self.streams().record(stream, Record { version, runner: None }, node.now());
        self.queue(&node.hints, Told { stream, version }, node.now());
        self.flush(&node.hints);
    }

    /// Records the gateway that ran a stream last, as far as this one knows.
    pub(crate) fn record_runner(&self, told: Told, runner: SocketAddr, now: Millis) {
        self.streams().record(told.stream, Record { version: told.version, runner: Some(runner) }, now);
    }

    /// Records that another gateway takes a stream up. Returns the one that had done so before, if it was not this one.
    pub(crate) fn pass_on(
        &self,
        told: Told,
        to: SocketAddr,
        lifetime: Millis,
        now: Millis,
    ) -> Option<SocketAddr> {
        let before = self.record(Some(told.stream), lifetime, now);
        self.record_runner(told, to, now);
        before?.runner
    }

    async fn ask(&self, peer: SocketAddr, question: Vec<u8>) -> Option<Answer> {
        let request = Request::post(format!("http://{peer}{PATH}")).body(Body::from(question)).ok()?;
        let answer = self.client.exchange("origin", request, MESSAGE_LIMIT, ASK_TIMEOUT).await.ok()?;
        // A gateway of an earlier build does not name the runner.
        let unnamed = || Some((bincode::deserialize(answer.body()).ok()?, None));
        bincode::deserialize(answer.body()).ok().or_else(unnamed)
    }
}

/// The bytes by which all gateways know a gateway.
fn key(gateway: SocketAddr) -> [u8; 18] {
    let mut key = [0; 18];
    let address = match gateway.ip() {
        std::net::IpAddr::V4(address) => address.to_ipv6_mapped(),
        std::net::IpAddr::V6(address) => address,
    };
    key[..16].copy_from_slice(&address.octets());
    key[16..].copy_from_slice(&gateway.port().to_be_bytes());
    key
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// The stream over all attempts of its caller.
    pub(crate) fn stream(&self) -> Stream {
        let ask = &self.request.ask;
        let first = ask.resumption.as_ref().and_then(|resumption| resumption.attempt.as_deref());
        let team = self.request.team.as_ref().map_or("", |team| team.name.as_str());
        Stream::of(&self.request.service, team, first.unwrap_or(&ask.id))
    }

    /// Records that upstreams of this software version began the stream, and tells others. From now on the stream may
    /// go on at that version only.
    pub(crate) fn begin_stream(&self, version: Version) {
        let (node, stream) = (&self.node, self.stream());
        self.progress().version = Some(version);
        node.origins.streams().record(stream, Record { version, runner: None }, node.now());
        node.origins.log().record(&self.request.service, stream, version, node.now());
        node.origins.tell(&node.hints, Told { stream, version }, node.now());
    }
}

/// Finds the software version at which a stream that its caller takes up has to go on, and ends its earlier runs.
///
/// # Errors
/// The stream is refused if the version is not known, if no upstream of it is listed, or if an earlier run is not known to
/// have ended within `limit`.
pub(crate) async fn take_up<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    service: &str,
    team: &str,
    resumption: &Resumption,
    limit: Duration,
) -> Result<Version, Refusal> {
    let stream = resumption.attempt.as_deref().map(|attempt| Stream::of(service, team, attempt));
    let began = node.now();
    let found = find_origin(node, service, stream, limit).await;
    found.report(node, stream, node.now() - began);
    let mut located = found.version(node, service);
    if let (Ok(version), Some(stream)) = (located, stream) {
        match runs::release(node, Told { stream, version }, found.runners, limit).await {
            Ok(()) => node.origins.begin_again(node, service, stream, version),
            Err(refusal) => located = Err(refusal),
        }
    }
    let outcome = located.err().map_or("located", Refusal::name);
    node.metrics.resumptions.with_label_values(&[outcome]).inc();
    located
}

/// What the version of a stream was found by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Basis {
    /// A record of this gateway or another one.
    Record,
    /// The only version that this gateway and those that it asked have seen.
    Sole,
    /// Nothing.
    Nothing,
}

impl Basis {
    /// The name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Basis::Record => "record",
            Basis::Sole => "sole-version",
            Basis::Nothing => "nothing",
        }
    }
}

/// What was found out about a stream.
struct Found {
    origin: Origin,
    basis: Basis,
    /// The gateways that were asked, and those that answered.
    asked: usize,
    answered: usize,
    /// The gateways that ran it, as far as they are known and not this one.
    runners: Runners,
}

impl Found {
    fn report<W: Wire, S: Rows>(&self, node: &Node<W, S>, stream: Option<Stream>, ms: Millis) {
        node.metrics.located.with_label_values(&[self.basis.name()]).inc();
        log::info!(
            "request: event=located stream={} by={} asked={} answered={} ms={ms}",
            stream.map_or("-".to_owned(), |stream| stream.to_string()),
            self.basis.name(),
            self.asked,
            self.answered,
        );
    }

    /// The version at which the stream has to go on.
    fn version<W: Wire, S: Rows>(&self, node: &Node<W, S>, service: &str) -> Result<Version, Refusal> {
        match self.origin {
            Origin::Unknown => Err(Refusal::VersionUnknown),
            Origin::At(version) if !node.origins.versions().is_listed(service, version) => {
                Err(Refusal::VersionGone)
            }
            Origin::At(version) => Ok(version),
        }
    }
}

/// Finds out where a stream began. Without a record the list of upstreams has to tell, which takes up to `limit`.
async fn find_origin<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    service: &str,
    stream: Option<Stream>,
    limit: Duration,
) -> Found {
    let lifetime = node.stream_lifetime();
    let own = node.origins.knowledge(service, stream, lifetime, node.now());
    let needs_list = !matches!(own.seen, Seen::Sole(_));
    let mut survey = Survey::new(node, Question { service: service.to_owned(), stream, needs_list });
    // Nobody was told of a stream that its caller doesn't name.
    let may_be_known = stream.is_some() || needs_list;
    let peers = node.hints.peers();
    if may_be_known {
        survey.ask_first(&peers).await;
    }
    let mut is_present = false;
    if own.version.is_none() && !survey.has_record() {
        // If several versions serve, the list decides nothing.
        let is_list_useful = own.seen != Seen::Several || peers.is_empty();
        let passing =
            async { if is_list_useful { barrier::pass(node, limit).await } else { Passed::Unknown } };
        let asking = async {
            if may_be_known {
                survey.ask(&peers).await;
            }
        };
        if let (Passed::Known(gateways), ()) = futures::future::join(passing, asking).await {
            is_present = true;
            if may_be_known {
                // Some may have started since this gateway last read which there are.
                survey.ask(&gateways).await;
            }
        }
    }
    let own = node.origins.knowledge(service, stream, lifetime, node.now()).at_present(is_present);
    let record = node.origins.record(stream, lifetime, node.now());
    survey.conclude(own, record.and_then(|record| record.runner))
}

/// Asks other gateways what they know of a stream.
struct Survey<'a, W: Wire, S: Rows> {
    node: &'a Node<W, S>,
    ranked_by: Stream,
    question: Vec<u8>,
    asked: SmallVec<[SocketAddr; ASKED]>,
    answers: Vec<Answer>,
    /// Those that have not answered yet.
    pending: FuturesUnordered<BoxFuture<'a, Option<Answer>>>,
}

impl<'a, W: Wire, S: Rows> Survey<'a, W, S> {
    fn new(node: &'a Node<W, S>, question: Question) -> Survey<'a, W, S> {
        Survey {
            node,
            ranked_by: question.stream.unwrap_or_else(|| Stream::of(&question.service, "", &node.holder)),
            question: bincode::serialize(&question).expect("a question serializes to bincode"),
            asked: SmallVec::new(),
            answers: vec![],
            pending: FuturesUnordered::new(),
        }
    }

    fn has_record(&self) -> bool {
        self.answers.iter().any(|(known, _)| known.version.is_some())
    }

    /// Sends the question to the first `count` keepers of the stream among `gateways`, unless they have been asked.
    fn send(&mut self, gateways: &[SocketAddr], count: usize) {
        for gateway in keepers(self.ranked_by, gateways.iter().map(|peer| (*peer, key(*peer))), count) {
            if !self.asked.contains(&gateway) {
                self.asked.push(gateway);
                self.pending.push(self.node.origins.ask(gateway, self.question.clone()).boxed());
            }
        }
    }

    /// Asks the first keeper, which knows most streams, and who ran them last. If it does not answer soon, the others are
    /// asked beside it.
    async fn ask_first(&mut self, gateways: &[SocketAddr]) {
        self.send(gateways, 1);
        if let Some(Some(first)) = exec::timeout(FIRST_ASK_TIMEOUT, self.pending.next()).await {
            self.answers.extend(first);
        }
    }

    /// Asks the keepers of the stream among `gateways`, until one has a record.
    async fn ask(&mut self, gateways: &[SocketAddr]) {
        self.send(gateways, ASKED);
        let collecting = async {
            while !self.has_record() {
                let Some(answer) = self.pending.next().await else { return };
                self.answers.extend(answer);
            }
        };
        exec::timeout(ASK_TIMEOUT, collecting).await;
    }

    /// Decides where the stream began. `runner` is the gateway that ran it, as far as this one knows.
    fn conclude(self, own: Knowledge, runner: Option<SocketAddr>) -> Found {
        let known: Vec<Knowledge> = self.answers.iter().map(|(known, _)| *known).collect();
        let origin = resolve(own, &known);
        let is_recorded = own.version.is_some() || self.has_record();
        let this = self.node.settings.listen.peers;
        let mut runners: Runners = self.answers.iter().filter_map(|(_, runner)| *runner).collect();
        runners.extend(runner);
        runners.retain(|runner| *runner != this);
        Found {
            origin,
            basis: match origin {
                Origin::Unknown => Basis::Nothing,
                Origin::At(_) if is_recorded => Basis::Record,
                Origin::At(_) => Basis::Sole,
            },
            asked: self.asked.len(),
            answered: known.len(),
            runners,
        }
    }
}

/// Answers what this gateway knows of a stream.
pub(crate) async fn answer<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let bytes = net::collect(request.into_body(), MESSAGE_LIMIT).await.unwrap_or_default();
    // A gateway of an earlier build does not say whether it needs the list.
    let unsaid = || bincode::deserialize(&bytes).map(|(service, stream)| (service, stream, true));
    let question: Result<(String, Option<Stream>, bool), _> =
        bincode::deserialize(&bytes).or_else(|_| unsaid());
    let Ok((service, stream, needs_list)) = question else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let lifetime = node.stream_lifetime();
    let mut known = node.origins.knowledge(&service, stream, lifetime, node.now());
    if let Knowledge { version: None, seen: Seen::Sole(_) } = known {
        let is_present = needs_list && matches!(barrier::pass(&node, ANSWER_DELAY).await, Passed::Known(_));
        known = node.origins.knowledge(&service, stream, lifetime, node.now()).at_present(is_present);
    }
    let record = node.origins.record(stream, lifetime, node.now());
    let runner = record.map(|record| record.runner.unwrap_or(node.settings.listen.peers));
    let answer: Answer = (known, runner);
    Response::new(Body::from(bincode::serialize(&answer).expect("an answer serializes to bincode")))
}
