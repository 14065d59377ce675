//! One dispatch of a request to an upstream, up to its first answer.

use crate::event::Splitter;
use crate::job::{Job, Overdue, Seat};
use crate::limits;
use crate::manifest::Kind;
use crate::ports::{Malformed, Reply, Wire};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::response;
use http::{HeaderMap, HeaderName, Request, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use route::placement::Placement;
use std::pin::pin;
use std::time::Duration;
use store::rows::Rows;

/// An idempotent call is tried elsewhere after this multiple of its target without an answer.
const CALL_PATIENCE: f64 = 1.5;
/// A stream is tried elsewhere after this multiple of its target without an event.
const STREAM_PATIENCE: f64 = 1.6;
/// Any other request counts as overdue after this multiple of its target.
const OVERDUE: f64 = 2.0;
/// Time between the end of the answer's deadline and the moment at which the router gives up, in milliseconds:
/// the upstream's own final answer may still come.
const DEADLINE_SLACK_MS: u64 = 60;
/// The largest answer that is no stream, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] =
    [CONNECTION, HeaderName::from_static("keep-alive"), TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// A stream that has begun.
pub(crate) struct Flow<W: Wire, S: Rows> {
    pub body: Incoming,
    pub lease: net::Lease,
    pub seat: Seat<W, S>,
}

/// What a dispatch led to.
pub(crate) enum First<W: Wire, S: Rows> {
    /// A whole answer.
    Whole(response::Parts, Bytes),
    /// A stream, with its first events.
    Stream(response::Parts, Box<Flow<W, S>>, Bytes),
    /// It was not sent: the upstream takes no work any more.
    Withdrawn(String),
    /// The upstream certainly did not run the request.
    NotRun(String),
    /// It answered with a failure of its own.
    Erred(response::Parts, Bytes),
    /// It may have run the request, and its connection broke before a whole answer came.
    Broken(String),
    /// It may have run the request, and no answer that counts came.
    Lost(String),
    /// The time ran out.
    TimedOut,
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Dispatches the request and waits for the first answer.
    pub(crate) async fn attempt(
        &self,
        chosen: &Placement,
        splitter: &mut Splitter,
        after_event: Option<u64>,
        may_move: bool,
    ) -> First<W, S> {
        let node = &self.node;
        let Some(listing) = node.listings().get(&chosen.upstream).cloned() else {
            return First::NotRun("it is not listed any more".to_owned());
        };
        log::info!(
            "request: id={} event=dispatch upstream={} cost={:.0} first-ms={:.0} unread={} long={} kept-for-short={} open={} candidates={} after={:?}",
            self.request.ask.id,
            chosen.upstream,
            chosen.cost,
            chosen.first_ms,
            chosen.uncached,
            chosen.is_long,
            chosen.is_reserved,
            chosen.open,
            chosen.candidates,
            after_event,
        );
        let all = self
            .request
            .manifest
            .services
            .get(&self.request.service)
            .map_or(usize::MAX, |service| service.connections);
        let request = self.request(&chosen.upstream, after_event);
        let Some(seat) = Seat::take(self, chosen) else {
            return First::Withdrawn("it accepts no more requests now".to_owned());
        };
        if self.request.ask.prompt.is_some() && node.hints.tells(chosen.uncached, node.now()) {
            let told = node.places().take_hint(chosen);
            node.hints.tell(&chosen.upstream, told);
        }
        let most = node.connections(all);
        node.load.send(self.request.body.len());
        // A connection may be waited for while the upstream says that it leaves, or asks for rest.
        let is_wanted = || node.places().admits(&chosen.upstream, node.now());
        let sending = node.pool.send("dispatch", listing.address, most, request, is_wanted);
        let began = node.now();
        let first = self.await_first(chosen, seat, splitter, may_move, sending).await;
        self.judge(chosen, began, &first);
        if let First::Broken(_) = first {
            self.inspect(&chosen.upstream, None).done().await;
        }
        first
    }

    async fn await_first(
        &self,
        chosen: &Placement,
        seat: Seat<W, S>,
        splitter: &mut Splitter,
        may_move: bool,
        sending: impl Future<Output = Result<(http::Response<Incoming>, net::Lease), net::Failure>>,
    ) -> First<W, S> {
        let mut reading = pin!(async {
            let mut seat = seat;
            let first = self.read_first(&mut seat, splitter, sending).await;
            (first, seat)
        });
        let patience = self.patience(chosen).min(self.remaining());
        let clock = &self.node.clock;
        let early = clock.timeout(patience, reading.as_mut()).await;
        let (first, seat) = match early {
            Some(done) => done,
            None if may_move && self.kind().is_repeatable() && !self.remaining().is_zero() => {
                self.node.places().record_error(&chosen.upstream);
                return First::Lost(format!("no answer within {} ms", patience.as_millis()));
            }
            None => {
                let _overdue = Overdue::new(&self.node, &chosen.upstream);
                let rest = self.remaining() + Duration::from_millis(DEADLINE_SLACK_MS);
                match clock.timeout(rest, reading.as_mut()).await {
                    Some(done) => done,
                    None => return First::TimedOut,
                }
            }
        };
        match first {
            Read::Flowing(head, body, lease, bytes) => {
                First::Stream(head, Box::new(Flow { body, lease, seat }), bytes)
            }
            Read::Other(first) => first,
        }
    }

    fn patience(&self, chosen: &Placement) -> Duration {
        let factor = match self.kind() {
            Kind::Idempotent => CALL_PATIENCE,
            Kind::ResumableStream => STREAM_PATIENCE,
            Kind::Once | Kind::Stream => OVERDUE,
        };
        Duration::from_millis(
            (self.request.route.target_ms as f64 * factor + chosen.first_ms.clamp(0.0, 1_000.0)) as u64,
        )
    }

    async fn read_first(
        &self,
        seat: &mut Seat<W, S>,
        splitter: &mut Splitter,
        sending: impl Future<Output = Result<(http::Response<Incoming>, net::Lease), net::Failure>>,
    ) -> Read<W, S> {
        let (response, lease) = match sending.await {
            Ok(answer) => answer,
            Err(failure) if failure.is_unwanted => {
                return Read::Other(First::Withdrawn(failure.error.to_string()));
            }
            Err(failure) => {
                return Read::Other(match failure.error.fault {
                    net::Fault::Unsent => First::NotRun(failure.error.to_string()),
                    net::Fault::Unknown => First::Broken(failure.error.to_string()),
                });
            }
        };
        let (head, body) = response.into_parts();
        let reply = self.node.wire.reply(&head, &self.request.ask.id);
        if reply != Reply::OtherUpstream {
            self.heed(seat, &head, reply);
        }
        match reply {
            Reply::Stray => Read::Other(First::Lost("the answer belongs to another request".to_owned())),
            Reply::OtherUpstream => {
                self.finish(lease, body).await;
                Read::Other(First::NotRun("another upstream has the address".to_owned()))
            }
            Reply::NotRun => {
                self.finish(lease, body).await;
                Read::Other(First::NotRun(format!("it refused with status {}", head.status.as_u16())))
            }
            Reply::Sound if self.kind().is_stream() && head.status == StatusCode::OK => {
                self.read_events(head, body, lease, seat, splitter).await
            }
            Reply::Sound => Read::Other(self.read_whole(head, body, lease, seat).await),
        }
    }

    /// Takes in what an upstream says of itself, before its answer is passed on.
    fn heed(&self, seat: &Seat<W, S>, head: &response::Parts, reply: Reply) {
        let node = &self.node;
        let upstream = seat.upstream.as_str();
        if node.wire.leaves(head) && node.places().mark_leaving(upstream, node.now()) {
            log::info!(
                "upstream: event=leaves upstream={upstream} told-by=answer request={}",
                self.request.ask.id
            );
            node.metrics.leaving.inc();
            // The others may hold more of its connections, and lose their requests when it ends.
            let started = node.listings().get(upstream).and_then(|listing| listing.started);
            node.hints.tell_leaving(upstream, started);
        }
        if let Some(ms) = self.value_or_warn(upstream, node.wire.warmup_ms(head)) {
            node.places().warm_up(upstream, ms, node.now());
        }
        if let Some(asked_ms) = self.value_or_warn(upstream, node.wire.rest_ms(head)) {
            let ms = node.places().back_off(upstream, asked_ms, node.now());
            log::info!(
                "upstream: event=rests upstream={upstream} ms={ms} asked-ms={asked_ms} request={}",
                self.request.ask.id
            );
            node.metrics.rests.inc();
        }
        let is_success = reply == Reply::Sound && head.status.is_success();
        match node.wire.limit_per_s(head) {
            // A refusal may come from only a part of the upstream, so only a successful answer can end a limit.
            Ok(None) if !is_success => {}
            Ok(per_s) => {
                let request = &self.request.ask.id;
                limits::observe(
                    node,
                    &limits::Answer { upstream, request, dispatched: seat.dispatched, per_s },
                );
            }
            Err(error) => self.warn_unreadable(upstream, &error),
        }
    }

    /// Returns the value decoded from an answer; logs a warning and returns `None` if decoding failed.
    fn value_or_warn<T>(&self, upstream: &str, decoded: Result<Option<T>, Malformed>) -> Option<T> {
        decoded.unwrap_or_else(|error| {
            self.warn_unreadable(upstream, &error);
            None
        })
    }

    fn warn_unreadable(&self, upstream: &str, error: &Malformed) {
        let request = &self.request.ask.id;
        log::warn!("upstream: event=unreadable upstream={upstream} request={request} {error}");
    }

    /// Reads a short answer to its end, so that its connection can be kept.
    async fn finish(&self, lease: net::Lease, body: Incoming) {
        match net::collect(body, ANSWER_LIMIT).await {
            Ok(_) => lease.keep(),
            Err(reason) => {
                log::debug!("request: id={} event=connection-closed reason={reason}", self.request.ask.id)
            }
        }
    }

    async fn read_whole(
        &self,
        mut head: response::Parts,
        body: Incoming,
        lease: net::Lease,
        seat: &mut Seat<W, S>,
    ) -> First<W, S> {
        match net::collect(body, ANSWER_LIMIT).await {
            Ok(bytes) => {
                lease.keep();
                seat.read();
                strip(&mut head.headers);
                match head.status.is_server_error() {
                    true => First::Erred(head, bytes),
                    false => First::Whole(head, bytes),
                }
            }
            Err(reason) => First::Broken(format!("the answer broke off: {reason}")),
        }
    }

    async fn read_events(
        &self,
        mut head: response::Parts,
        mut body: Incoming,
        lease: net::Lease,
        seat: &mut Seat<W, S>,
        splitter: &mut Splitter,
    ) -> Read<W, S> {
        loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let events = splitter.push(data);
                    if !events.is_empty() {
                        seat.read();
                        strip(&mut head.headers);
                        return Read::Flowing(head, body, lease, events);
                    }
                }
                Some(Err(error)) => {
                    return Read::Other(First::Broken(format!("the stream broke off: {error}")));
                }
                None => {
                    lease.keep();
                    strip(&mut head.headers);
                    return Read::Other(First::Whole(head, splitter.take_rest()));
                }
            }
        }
    }

    fn request(&self, upstream: &str, after_event: Option<u64>) -> Request<net::Body> {
        let mut headers =
            self.node.wire.dispatch(&self.request.head.headers, &self.dispatch(upstream, after_event));
        strip(&mut headers);
        headers.remove(CONTENT_LENGTH);
        headers.insert(
            HOST,
            http::HeaderValue::from_str(&self.request.ask.host).unwrap_or(http::HeaderValue::from_static("")),
        );
        let mut request = Request::new(net::Body::from(self.request.body.clone()));
        *request.method_mut() = self.request.head.method.clone();
        *request.uri_mut() = origin(&self.request.head.uri);
        *request.headers_mut() = headers;
        request
    }

    /// Takes what a dispatch led to into the picture of its upstream.
    fn judge(&self, chosen: &Placement, began: u64, first: &First<W, S>) {
        let now = self.node.now();
        let mut places = self.node.places();
        let ejected = match first {
            First::Whole(..) => {
                let pace = (!self.kind().is_stream()).then_some((now - began) as f64);
                places.record_success(&chosen.upstream, pace);
                false
            }
            First::Stream(..) => {
                places.record_success(&chosen.upstream, None);
                false
            }
            First::Erred(..) => {
                places.record_error(&chosen.upstream);
                false
            }
            First::Withdrawn(_) => false,
            // It said itself how long it wants nothing: that takes the place of a guess.
            First::NotRun(_) if !places.admits(&chosen.upstream, now) => false,
            First::NotRun(_) | First::Broken(_) | First::Lost(_) | First::TimedOut => {
                places.record_failure(&chosen.upstream, now)
            }
        };
        drop(places);
        if let First::Whole(..) | First::Erred(..) = first {
            self.outlived();
        }
        if ejected {
            log::warn!(
                "upstream: event=ejected upstream={} request={}",
                chosen.upstream,
                self.request.ask.id
            );
        }
    }
}

enum Read<W: Wire, S: Rows> {
    Flowing(response::Parts, Incoming, net::Lease, Bytes),
    Other(First<W, S>),
}

/// The path and query, as a request to an origin server names them.
fn origin(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned().unwrap_or(http::uri::PathAndQuery::from_static("/"));
    Uri::from(path)
}

/// Drops the headers that concern one connection only, those that `Connection` names included.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}
