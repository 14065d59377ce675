//! Streams that their callers take up: where they began, and who ran them.
//!
//! The gateway asks others for a record. Without one, the list of upstreams decides, once it is known to be up to date.

use crate::barrier::{self, Passed};
use crate::node::Node;
use crate::origins::{ASK_TIMEOUT, Answer, MESSAGE_LIMIT, key};
use crate::ports::{Resumption, Wire};
use crate::refusal::Refusal;
use crate::release::{self, Runners};
use crate::runs::Place;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, exec};
use route::Millis;
use route::origin::{ASKED, Knowledge, MAX_ASKED, Origin, Stream, keepers, resolve};
use route::version::{Seen, Version};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::rows::Rows;

/// How long the first one may take before the others are asked as well.
const FIRST_ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// How long the gateway that is asked may take to learn from the store whether its list is behind.
const ANSWER_DELAY: Duration = Duration::from_millis(100);
/// Asks what another gateway knows of a stream.
#[derive(Debug, Deserialize, Serialize)]
struct Question {
    service: String,
    /// `None` if the caller did not name it.
    stream: Option<Stream>,
    /// Whether the list of upstreams has to be brought up to the present for the answer.
    needs_list: bool,
}

/// Finds the software version at which a stream that its caller takes up has to go on, ends its earlier runs, and finds
/// where it may go on.
///
/// # Errors
/// The stream is refused if the version is not known, if no upstream of it is listed, or if nothing is known of an earlier
/// run within `limit`.
pub(crate) async fn prepare<W: Wire, S: Rows>(
    node: &Arc<Node<W, S>>,
    service: &str,
    team: &str,
    resumption: &Resumption,
    limit: Duration,
) -> Result<(Version, Place), Refusal> {
    let stream = resumption.attempt.as_deref().map(|attempt| Stream::of(service, team, attempt));
    let began = node.now();
    let found = find_origin(node, service, stream, limit).await;
    found.report(node, stream, node.now() - began);
    let located = match (found.version(node, service), stream) {
        (Ok(version), Some(stream)) => {
            let released = release::release(node, service, (stream, version), found.runners, limit).await;
            if released.is_ok() {
                node.origins.begin_again(node, service, stream, version);
            }
            released.map(|place| (version, place))
        }
        (version, _) => version.map(|version| (version, Place::Any)),
    };
    let outcome = located.as_ref().err().map_or("located", |refusal| refusal.name());
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
    /// The gateways that this one knew, those that were asked, and those that answered.
    peers: usize,
    asked: usize,
    answered: usize,
    /// The gateways that ran it, as far as they are known and not this one.
    runners: Runners,
}

impl Found {
    fn report<W: Wire, S: Rows>(&self, node: &Node<W, S>, stream: Option<Stream>, ms: Millis) {
        node.metrics.located.with_label_values(&[self.basis.name()]).inc();
        log::info!(
            "request: event=located stream={} by={} known={} asked={} answered={} ms={ms}",
            stream.map_or("-".to_owned(), |stream| stream.to_string()),
            self.basis.name(),
            self.peers,
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
        let (passed, ()) = futures::future::join(passing, asking).await;
        let gateways = match passed {
            Passed::Known(gateways) => {
                is_present = true;
                gateways
            }
            Passed::Unknown => peers.clone(),
        };
        if stream.is_some() {
            // The gateway that began it may have known others, and have told those.
            survey.ask_further(&gateways).await;
        } else if may_be_known {
            // Some may have started since this gateway last read which there are.
            survey.ask(&gateways).await;
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
    pending: FuturesUnordered<BoxFuture<'a, (SocketAddr, Option<Answer>)>>,
    /// Those that did not answer.
    silent: Vec<SocketAddr>,
    /// Whether there are gateways left that have to be asked, and may not be asked now.
    is_cut_short: bool,
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
            silent: vec![],
            is_cut_short: false,
        }
    }

    fn has_record(&self) -> bool {
        self.answers.iter().any(|(known, _)| known.version.is_some())
    }

    /// Sends the question to the first `count` keepers of the stream among `gateways`, unless they have been asked.
    fn send(&mut self, gateways: &[SocketAddr], count: usize) {
        for gateway in self.unasked(gateways, count) {
            self.asked.push(gateway);
            self.send_to(gateway);
        }
    }

    /// The first `count` keepers of the stream among `gateways`, without those that have been asked.
    fn unasked(&self, gateways: &[SocketAddr], count: usize) -> SmallVec<[SocketAddr; ASKED]> {
        let mut ranked = keepers(self.ranked_by, gateways.iter().map(|peer| (*peer, key(*peer))), count);
        ranked.retain(|gateway| !self.asked.contains(gateway));
        ranked
    }

    fn send_to(&self, gateway: SocketAddr) {
        let (node, question) = (self.node, self.question.clone());
        self.pending.push(async move { (gateway, node.origins.ask(gateway, question).await) }.boxed());
    }

    /// Waits for the next answer. Returns whether one may follow.
    async fn collect_next(&mut self) -> bool {
        match self.pending.next().await {
            Some((_, Some(answer))) => self.answers.push(answer),
            Some((gateway, None)) => self.silent.push(gateway),
            None => return false,
        }
        true
    }

    /// Collects answers until one has a record.
    async fn collect(&mut self) {
        while !self.has_record() && self.collect_next().await {}
    }

    /// Asks the first keeper, which knows most streams, and who ran them last. If it does not answer soon, the others are
    /// asked beside it.
    async fn ask_first(&mut self, gateways: &[SocketAddr]) {
        self.send(gateways, 1);
        exec::timeout(FIRST_ASK_TIMEOUT, self.collect_next()).await;
    }

    /// Asks the keepers of the stream among `gateways`, until one has a record.
    async fn ask(&mut self, gateways: &[SocketAddr]) {
        self.send(gateways, ASKED);
        exec::timeout(ASK_TIMEOUT, self.collect()).await;
    }

    /// Asks as many of the gateways as may be asked, until one has a record. Those that do not answer are asked once more.
    async fn ask_further(&mut self, gateways: &[SocketAddr]) {
        if self.has_record() {
            return;
        }
        let further = self.unasked(gateways, MAX_ASKED).len() - self.unasked(gateways, ASKED).len();
        self.is_cut_short = !self.node.origins.may_ask(further, self.node.now());
        self.send(gateways, if self.is_cut_short { ASKED } else { MAX_ASKED });
        self.collect().await;
        if !self.has_record() {
            std::mem::take(&mut self.silent).into_iter().for_each(|gateway| self.send_to(gateway));
            self.collect().await;
        }
    }

    /// Decides where the stream began. `runner` is the gateway that ran it, as far as this one knows.
    fn conclude(self, own: Knowledge, runner: Option<SocketAddr>) -> Found {
        let known: Vec<Knowledge> = self.answers.iter().map(|(known, _)| *known).collect();
        let is_recorded = own.version.is_some() || self.has_record();
        let origin = match self.is_cut_short && !is_recorded {
            true => Origin::Unknown,
            false => resolve(own, &known),
        };
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
            peers: self.node.hints.peers().len(),
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
