//! Reads the first answer of an upstream to a request: a whole one, or the first events of a stream.

use crate::answers;
use crate::brittle;
use crate::event::{EVENT_TOO_LARGE, EventSplitter};
use crate::job::{Job, UpstreamSlot};
use crate::limits;
use crate::ports::{Malformed, Wire};
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::response;
use http::{HeaderMap, HeaderName, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use net::{Cause, Framing, Received};
use route::answer::{Mismatch, Verdict};
use store::rows::Rows;

/// The media type of a stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 6] =
    [CONNECTION, HeaderName::from_static("keep-alive"), TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// A stream whose first events have arrived.
pub(crate) struct OpenStream<W: Wire, S: Rows> {
    pub body: Received,
    pub lease: net::Lease,
    pub slot: UpstreamSlot<W, S>,
    pub framing: Framing,
}

/// The outcome of an attempt.
pub(crate) enum Outcome<W: Wire, S: Rows> {
    /// The upstream sent a complete answer.
    Complete(response::Parts, Bytes),
    /// The upstream closed its connection before the first event of a stream: no event was left, or it broke off.
    Empty(response::Parts),
    /// The upstream began a stream; the bytes are its first events.
    Stream(response::Parts, Box<OpenStream<W, S>>, Bytes),
    /// The request was not sent, because the upstream no longer accepts requests.
    NotSent(String),
    /// The upstream certainly did not run the request.
    NotRun(String),
    /// The request was not sent, because this gateway may open no further connection to the upstream.
    NoConnection(String),
    /// The upstream answered with a server error.
    ServerError(response::Parts, Bytes),
    /// The upstream ran the request, and its status would promise the caller that it did not.
    FalsePromise(StatusCode),
    /// The upstream may have run the request, and the connection broke before the answer was complete.
    ConnectionBroken(String),
    /// The upstream may have run the request, and no valid answer arrived.
    NoValidAnswer(String),
    /// The upstream may have run the request, and the gateway's path to it fell silent.
    PathLost(String),
    /// The deadline passed.
    TimedOut,
}

impl<W: Wire, S: Rows> Outcome<W, S> {
    /// The outcome for an answer that has been read to its end.
    pub(crate) fn whole(head: response::Parts, bytes: Bytes) -> Outcome<W, S> {
        match head.status.is_server_error() {
            true => Outcome::ServerError(head, bytes),
            false => Outcome::Complete(head, bytes),
        }
    }
}

/// What was read of an answer.
pub(crate) enum ReadOutcome<W: Wire, S: Rows> {
    Stream(response::Parts, Framing, Received, net::Lease, Bytes),
    /// An answer that ended with its connection.
    Closed(Closed),
    Other(Outcome<W, S>),
}

/// An answer that ended with its connection.
pub(crate) enum Closed {
    /// One that is no stream.
    Whole(response::Parts, Bytes),
    /// A stream without an event.
    BeforeEvent(response::Parts),
    /// One whose status would promise the caller that the request did not run.
    FalsePromise(StatusCode),
}

impl<W: Wire, S: Rows> Job<W, S> {
    pub(crate) async fn read_first_answer(
        &self,
        slot: &mut UpstreamSlot<W, S>,
        splitter: &mut EventSplitter,
        sending: impl Future<Output = Result<(http::Response<Received>, net::Lease), net::Failure>>,
    ) -> ReadOutcome<W, S> {
        let (response, lease) = match sending.await {
            Ok(answer) => answer,
            Err(failure) => {
                let reason = failure.error.to_string();
                if (failure.cause, failure.error.fault) != (Cause::Connection, net::Fault::Unknown) {
                    slot.mark_over();
                }
                return ReadOutcome::Other(match (failure.cause, failure.error.fault) {
                    (Cause::Withdrawn, _) => Outcome::NotSent(reason),
                    (Cause::NoConnection, _) => Outcome::NoConnection(reason),
                    (Cause::Connection, net::Fault::Unsent) => Outcome::NotRun(reason),
                    (Cause::Connection, net::Fault::Unknown) => Outcome::ConnectionBroken(reason),
                });
            }
        };
        self.node.reach.record_answer(&lease, self.node.now());
        let (head, body) = response.into_parts();
        let verdict = match self.judge(&head, &lease, &slot.upstream.name) {
            Ok(verdict) => verdict,
            Err(mismatch) => {
                let reason = format!("the answer is none to this request: {mismatch}");
                return ReadOutcome::Other(Outcome::NoValidAnswer(reason));
            }
        };
        slot.upstream.contact.record_answer(0, self.node.now());
        slot.record_read(self.deadline);
        let is_closed = Framing::of(&head) == Framing::Closed;
        if !lease.tells_end() && !body.is_end_stream() && is_closed {
            let reason = "an answer that ends with its connection may be cut off by the relay";
            return ReadOutcome::Other(Outcome::NoValidAnswer(reason.to_owned()));
        }
        if verdict != Verdict::WrongUpstream {
            self.apply_upstream_state(slot, &head, verdict);
        }
        match verdict {
            Verdict::WrongUpstream => {
                slot.mark_over();
                self.drain(lease, body).await;
                ReadOutcome::Other(Outcome::NotRun("the address belongs to another upstream".to_owned()))
            }
            Verdict::NotRun => {
                slot.mark_over();
                self.drain(lease, body).await;
                ReadOutcome::Other(Outcome::NotRun(format!(
                    "the upstream refused the request with status {}",
                    head.status.as_u16()
                )))
            }
            Verdict::Due
                if self.kind().is_stream() && head.status == StatusCode::OK && is_event_stream(&head) =>
            {
                self.read_events(head, body, lease, slot, splitter).await
            }
            Verdict::Due => self.read_whole(head, body, lease, slot).await,
            Verdict::FalsePromise => {
                let status = head.status;
                match self.read_whole(head, body, lease, slot).await {
                    ReadOutcome::Closed(_) => ReadOutcome::Closed(Closed::FalsePromise(status)),
                    ReadOutcome::Other(Outcome::Complete(..) | Outcome::ServerError(..)) => {
                        ReadOutcome::Other(Outcome::FalsePromise(status))
                    }
                    broken => broken,
                }
            }
        }
    }

    /// Decides what an answer says about this request. Each that is no success is logged.
    fn judge(&self, head: &response::Parts, lease: &net::Lease, upstream: &str) -> Result<Verdict, Mismatch> {
        let node = &self.node;
        let verdict = node.wire.read_claims(head, &self.request.head.headers, upstream).verdict();
        let name = verdict.map_or_else(Mismatch::name, Verdict::name);
        if !matches!(verdict, Ok(Verdict::Due | Verdict::NotRun | Verdict::WrongUpstream)) {
            node.metrics.rejected_answers.with_label_values(&[name]).inc();
        }
        if verdict != Ok(Verdict::Due) || !head.status.is_success() {
            log::info!(
                "request: id={} event=odd-answer upstream={upstream} status={} answers={} verdict={name} connection={} reused={} relayed={}",
                self.request.ask.id,
                head.status.as_u16(),
                node.wire.answered_request(head).unwrap_or("-"),
                lease.number(),
                lease.is_reused(),
                lease.is_relayed()
            );
        }
        verdict
    }

    /// Applies what an upstream says about its own state, before its answer is passed on.
    fn apply_upstream_state(&self, slot: &UpstreamSlot<W, S>, head: &response::Parts, verdict: Verdict) {
        let node = &self.node;
        let upstream = slot.upstream.name.as_str();
        if node.wire.is_leaving(head) && node.placer().mark_leaving(upstream, node.now()) {
            log::info!(
                "upstream: event=leaves upstream={upstream} told-by=answer request={}",
                self.request.ask.id
            );
            node.metrics.upstreams_leaving.inc();
            // Other gateways may have more connections to it, and would lose their requests when it
            // terminates.
            let started = node.listings().get(upstream).and_then(|listing| listing.started);
            node.hints.announce_leaving(upstream, started);
        }
        if let Some(ms) = self.value_or_warn(upstream, node.wire.warmup_ms(head)) {
            node.placer().warm_up(upstream, ms, node.now());
        }
        if let Some(asked_ms) = self.value_or_warn(upstream, node.wire.retry_after_ms(head)) {
            let ms = node.placer().back_off(upstream, asked_ms, node.now());
            log::info!(
                "upstream: event=rests upstream={upstream} ms={ms} asked-ms={asked_ms} request={}",
                self.request.ask.id
            );
            node.metrics.upstream_rests.inc();
        }
        if let Some(tolerated_per_s) =
            self.value_or_warn(upstream, node.wire.tolerated_rejections_per_s(head))
        {
            brittle::observe(node, upstream, tolerated_per_s);
        }
        if verdict == Verdict::NotRun && head.status == StatusCode::SERVICE_UNAVAILABLE {
            brittle::record_rejection(node, upstream);
        }
        let is_success = verdict == Verdict::Due && head.status.is_success();
        match node.wire.limit_per_s(head) {
            // A refusal may come from only a part of the upstream, so only a successful answer can end a
            // limit.
            Ok(None) if !is_success => {}
            Ok(per_s) => {
                let request = &self.request.ask.id;
                limits::observe(
                    node,
                    &limits::Answer { upstream, request, dispatched: slot.dispatched, per_s },
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
        self.node.metrics.unreadable_answers.inc();
        log::warn!("upstream: event=unreadable upstream={upstream} request={request} {error}");
    }

    /// Reads a short answer to its end, so that the connection can be reused.
    async fn drain(&self, lease: net::Lease, body: Received) {
        match self.node.answers.collect(body).await {
            Ok(_) => lease.keep(),
            Err(reason) => {
                log::debug!("request: id={} event=connection-closed reason={reason}", self.request.ask.id)
            }
        }
    }

    async fn read_whole(
        &self,
        mut head: response::Parts,
        body: Received,
        lease: net::Lease,
        slot: &mut UpstreamSlot<W, S>,
    ) -> ReadOutcome<W, S> {
        let is_closed = Framing::of(&head) == Framing::Closed && !body.is_end_stream();
        match self.node.answers.collect(body).await {
            Ok(bytes) => {
                lease.keep();
                slot.mark_over();
                slot.mark_prompt_read();
                self.detach(&mut head);
                match is_closed {
                    true => ReadOutcome::Closed(Closed::Whole(head, bytes)),
                    false => ReadOutcome::Other(Outcome::whole(head, bytes)),
                }
            }
            Err(failure) => {
                let reason = format!("could not read the answer: {failure}");
                ReadOutcome::Other(match failure {
                    answers::Failure::Crowded => {
                        self.node.metrics.rejected_answers.with_label_values(&["crowded"]).inc();
                        Outcome::NoValidAnswer(reason)
                    }
                    answers::Failure::TooLarge | answers::Failure::Broken(_) => {
                        Outcome::ConnectionBroken(reason)
                    }
                })
            }
        }
    }

    /// Removes from the head of an answer what applies only to the upstream's connection: the hop-by-hop headers, a length
    /// beside chunks, and the version of the protocol, which decides how the body is framed for the caller.
    fn detach(&self, head: &mut response::Parts) {
        if head.headers.contains_key(TRANSFER_ENCODING) {
            head.headers.remove(CONTENT_LENGTH);
        }
        strip_hop_by_hop(&mut head.headers, |name| self.node.wire.is_end_to_end(name));
        head.version = http::Version::HTTP_11;
    }

    async fn read_events(
        &self,
        mut head: response::Parts,
        mut body: Received,
        lease: net::Lease,
        slot: &mut UpstreamSlot<W, S>,
        splitter: &mut EventSplitter,
    ) -> ReadOutcome<W, S> {
        let framing = Framing::of(&head);
        loop {
            let frame = body.frame().await;
            if frame.is_none() && framing != Framing::Closed {
                slot.mark_over();
            }
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let events = splitter.push(data);
                    if splitter.is_event_too_large() {
                        self.node.metrics.unreadable_answers.inc();
                        return ReadOutcome::Other(Outcome::ConnectionBroken(EVENT_TOO_LARGE.to_owned()));
                    }
                    if !events.is_empty() {
                        slot.mark_prompt_read();
                        self.detach(&mut head);
                        return ReadOutcome::Stream(head, framing, body, lease, events);
                    }
                }
                Some(Err(error)) => {
                    return ReadOutcome::Other(Outcome::ConnectionBroken(format!(
                        "could not read the stream: {error}"
                    )));
                }
                None if splitter.is_inside_event() => {
                    let reason = "the stream ended inside an event".to_owned();
                    return ReadOutcome::Other(Outcome::ConnectionBroken(reason));
                }
                None if framing == Framing::Closed => {
                    self.detach(&mut head);
                    return ReadOutcome::Closed(Closed::BeforeEvent(head));
                }
                None => {
                    lease.keep();
                    self.detach(&mut head);
                    return ReadOutcome::Other(Outcome::Complete(head, Bytes::new()));
                }
            }
        }
    }
}

/// Whether an answer consists of events, as that to a request for a stream does unless its head says otherwise.
fn is_event_stream(head: &response::Parts) -> bool {
    let media_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    media_type.is_none_or(|text| text.trim_ascii_start().to_ascii_lowercase().starts_with(EVENT_STREAM))
}

/// Removes the hop-by-hop headers, including those that `Connection` names and `is_end_to_end` does not.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap, is_end_to_end: impl Fn(&HeaderName) -> bool) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_end_to_end(name))
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}
