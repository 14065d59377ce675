//! One attempt of a request at an upstream, up to the first answer.

use crate::contact::Upstream;
use crate::event::EventSplitter;
use crate::first_answer::{Closed, OpenStream, Outcome, ReadOutcome, strip_hop_by_hop};
use crate::job::{Job, OverdueGuard, UpstreamSlot};
use crate::link::Turn;
use crate::manifest::RouteKind;
use crate::ports::{Prompt, Resumption, Wire};
use crate::quarantine::{self, BrokenRun};
use crate::reach::{self, Dialer};
use crate::refusal::Refusal;
use crate::runs;
use futures::channel::oneshot;
use futures::future::{Either, select};
use http::header::{CONTENT_LENGTH, HOST};
use http::{Request, Uri};
use net::{Destination, Identifiers, Received, Way, exec};
use route::placement::Placement;
use route::version::Version;
use route::{Millis, pacing};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use store::rows::Rows;

/// An idempotent call is tried at another upstream after this multiple of its target latency without an
/// answer.
const CALL_TIMEOUT_FACTOR: f64 = 1.5;
/// A resumable stream is tried at another upstream after this multiple of its target latency without an
/// event.
const STREAM_TIMEOUT_FACTOR: f64 = 1.6;
/// A request of any other kind counts as overdue after this multiple of its target latency.
const OVERDUE_FACTOR: f64 = 2.0;
/// The time after a request's deadline at which the gateway gives up, in milliseconds: the upstream's own
/// final answer may still arrive.
const DEADLINE_SLACK_MS: u64 = 60;

/// The share of the time left until a request's target in which its body has to be sent. The rest is left to the
/// upstream. A full link carries as much with a short queue as with a long one.
const LINK_SHARE_OF_TIME_LEFT: f64 = 0.5;

/// The connection on which a request waits for its first answer.
struct Connection<'a> {
    /// When the request is sent directly; cancelled if it is sent through a relay, or not at all.
    sent: oneshot::Receiver<u64>,
    is_lost: &'a AtomicBool,
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Waits until the body may be sent. If that takes time, the upstream is chosen again, since others have been
    /// dispatched meanwhile.
    ///
    /// # Errors
    /// The body can't be sent in time, and the request certainly did not run.
    pub(crate) async fn take_turn(&self, chosen: Placement) -> Result<(Placement, Option<Turn>), Refusal> {
        let (node, bytes) = (&self.node, self.request.body.len());
        let now = node.now_exact();
        let due = self.request.arrived.saturating_add(self.request.route.target_ms) as f64;
        let may_have_run = self.progress().ran > 0;
        let latest = match may_have_run {
            true => self.deadline as f64,
            false => now + LINK_SHARE_OF_TIME_LEFT * (due - now).max(0.0),
        };
        let body = pacing::Body { bytes: bytes as u64, due, latest };
        match node.link.take_turn(&body, self.remaining()).await {
            Ok(None) => Ok((chosen, None)),
            Ok(Some(turn)) => {
                node.metrics.pacing_time.observe(turn.waited.as_secs_f64());
                node.metrics.paced_bytes.inc_by(bytes as u64);
                let has_waited = turn.waited >= Duration::from_millis(1);
                let chosen = if has_waited { self.choose().unwrap_or(chosen) } else { chosen };
                Ok((chosen, Some(turn)))
            }
            // This request can't be refused as not run any more, so it is sent without pacing. There are few such
            // requests, because repeats are bounded.
            Err(_) if may_have_run => Ok((chosen, None)),
            Err(drained_ms) => Err(Refusal::LinkFull(drained_ms)),
        }
    }

    pub(crate) async fn attempt(
        &self,
        chosen: &Placement,
        turn: Option<Turn>,
        splitter: &mut EventSplitter,
        after_event: Option<u64>,
        may_try_elsewhere: bool,
    ) -> Outcome<W, S> {
        let node = &self.node;
        let Some(listing) = node.listings().get(&chosen.upstream).cloned() else {
            return Outcome::NotRun("the upstream is no longer listed".to_owned());
        };
        let (ran, repeat_age_ms) = self.repeat_state();
        log::info!(
            "request: id={} event=dispatch upstream={} prompt={} software={} cost={:.0} first-ms={:.0} unread={} long={} kept-for-short={} open={} candidates={} after={:?} resumes={} ran={} attempts={} repeat-age-ms={:?}",
            self.request.ask.id,
            chosen.upstream,
            self.request.ask.prompt.as_ref().map_or("-".to_owned(), Prompt::name),
            listing.version,
            chosen.cost,
            chosen.first_ms,
            chosen.uncached,
            chosen.is_long,
            chosen.is_reserved,
            chosen.open,
            chosen.candidates,
            after_event,
            self.request.ask.resumption.as_ref().map_or("-", Resumption::name),
            ran,
            self.request.route.attempts,
            repeat_age_ms,
        );
        let version = self.progress().version;
        if version.is_some_and(|began| began != Version::of(&listing.version)) {
            return Outcome::NotSent("the upstream has another software version now".to_owned());
        }
        let Some(slot) = UpstreamSlot::take(self, chosen, &listing) else {
            return Outcome::NotSent("the upstream accepts no more requests now".to_owned());
        };
        if self.request.ask.prompt.is_some() && node.hints.should_announce(chosen.uncached, node.now()) {
            let hint = node.placer().take_hint(chosen);
            node.hints.announce_dispatch(&chosen.upstream, hint);
        }
        let max_connections =
            node.max_connections_to(&chosen.upstream, &self.request.service, &self.request.manifest);
        // A stream that has to go on at one version may need an upstream that is left to other gateways.
        let max_connections = max_connections.max(usize::from(self.progress().version.is_some()));
        let bytes = self.request.body.clone();
        node.load.record_sent(bytes.len(), if turn.is_some() { bytes.len() } else { 0 });
        let (body, writing) =
            turn.map_or_else(|| (bytes.clone().into(), None), |turn| turn.send(bytes.clone()));
        let request = self.build_request(&chosen.upstream, after_event, body);
        let (sent, receiver) = oneshot::channel();
        // While the request waits for a connection, the upstream may announce that it leaves or ask for a
        // back-off, the request may be denied, and a repeat that waits is sent in another window than it was
        // counted in.
        let connection = slot.connection().cloned();
        let is_wanted = |path: net::Path<'_>| {
            if path.way == Way::Direct {
                let _ = sent.send(node.now());
            }
            let admits = node.placer().admits(&chosen.upstream, node.now());
            let is_wanted = admits && self.may_run() && self.confirm_repeat();
            if let Some(connection) = connection.filter(|_| is_wanted) {
                connection.record_sent(path.closing);
            }
            is_wanted
        };
        let sending = async {
            let dialer = Dialer { node, upstream: &chosen.upstream };
            let identifiers = Identifiers::new(node.wire.identifiers(&self.request.head.headers));
            let destination = Destination {
                step: "dispatch",
                peer: listing.address,
                max_connections,
                identifiers: &identifiers,
            };
            let sent = node.pool.send(destination, &dialer, request, is_wanted).await;
            // The upstream may answer before it has read all of the body. A request that is dropped before that
            // drops the writing too.
            if let Some(writing) = writing {
                writing.detach();
            }
            sent
        };
        let began = node.now();
        let is_lost = AtomicBool::new(false);
        let connection = Connection { sent: receiver, is_lost: &is_lost };
        let answer =
            self.wait_for_first_answer(chosen, slot, splitter, may_try_elsewhere, connection, sending).await;
        let took_ms = node.now() - began;
        let outcome = match answer {
            FirstAnswer::Known(outcome) => outcome,
            FirstAnswer::Closed(closed) => {
                self.inspect_closed(&chosen.upstream, listing.address, closed).await
            }
        };
        self.record_upstream_outcome(chosen, took_ms, &outcome, is_lost.into_inner());
        if let Outcome::ConnectionBroken(_) = outcome {
            let run = BrokenRun { dispatched: began, begun: None, broken: node.now() };
            self.inspect(&chosen.upstream, run).wait().await;
        }
        outcome
    }

    async fn wait_for_first_answer(
        &self,
        chosen: &Placement,
        slot: UpstreamSlot<W, S>,
        splitter: &mut EventSplitter,
        may_try_elsewhere: bool,
        connection: Connection<'_>,
        sending: impl Future<Output = Result<(http::Response<Received>, net::Lease), net::Failure>>,
    ) -> FirstAnswer<W, S> {
        let upstream = slot.upstream.clone();
        let connection_of_run = slot.connection().cloned();
        let mut reading = pin!(async {
            let mut slot = slot;
            let outcome = {
                let dispatch_id = slot.dispatch_id;
                let answer = pin!(self.read_first_answer(&mut slot, splitter, sending));
                match select(answer, pin!(self.until_lost(connection.sent))).await {
                    Either::Left((outcome, _)) => outcome,
                    Either::Right(((), answer)) => {
                        connection.is_lost.store(true, Ordering::Relaxed);
                        let may_repeat = may_try_elsewhere && self.kind().is_repeatable();
                        if may_repeat && self.reserve_repeat("path-lost") {
                            let reason = "the path to the upstream is silent".to_owned();
                            ReadOutcome::Other(Outcome::PathLost(reason))
                        } else {
                            // The answer may still arrive, and no other one can.
                            self.release_place(&chosen.upstream, dispatch_id);
                            answer.await
                        }
                    }
                }
            };
            (outcome, slot)
        });
        let began = self.node.now();
        let patience = self.first_answer_timeout(chosen);
        let clock = &self.node.clock;
        let result = match connection_of_run {
            Some(connection) if may_try_elsewhere => {
                let given_up = pin!(self.until_given_up(&upstream, &connection, patience));
                match clock.timeout(self.remaining(), select(reading.as_mut(), given_up)).await {
                    Some(Either::Left((done, _))) => Some(done),
                    Some(Either::Right(_)) | None => None,
                }
            }
            _ => clock.timeout(patience.min(self.remaining()), reading.as_mut()).await,
        };
        let (outcome, slot) = match result {
            Some(done) => done,
            None if may_try_elsewhere && self.kind().is_repeatable() && !self.remaining().is_zero() => {
                self.node.placer().record_error(&chosen.upstream);
                let reason = format!("no answer within {} ms", self.node.now() - began);
                return FirstAnswer::Known(Outcome::NoValidAnswer(reason));
            }
            None => {
                let _overdue = OverdueGuard::new(&self.node, &chosen.upstream);
                let time_left = self.remaining() + Duration::from_millis(DEADLINE_SLACK_MS);
                match clock.timeout(time_left, reading.as_mut()).await {
                    Some(done) => done,
                    None => return FirstAnswer::Known(Outcome::TimedOut),
                }
            }
        };
        match outcome {
            ReadOutcome::Stream(head, framing, body, lease, bytes) => {
                let stream = Box::new(OpenStream { body, lease, slot, framing });
                FirstAnswer::Known(Outcome::Stream(head, stream, bytes))
            }
            ReadOutcome::Closed(closed) => FirstAnswer::Closed(closed),
            ReadOutcome::Other(outcome) => FirstAnswer::Known(outcome),
        }
    }

    /// Waits until a run may be given up that another one is to follow. Once it is overdue, it counts so.
    async fn until_given_up(&self, upstream: &Upstream, connection: &runs::Connection, patience: Duration) {
        let counted = async {
            exec::sleep(patience).await;
            let _overdue = OverdueGuard::new(&self.node, &upstream.name);
            std::future::pending().await
        };
        let given_up = upstream.until_given_up(&self.node, patience, || connection.is_sent());
        smol::future::or(given_up, counted).await;
    }

    /// Decides whether an answer that ended with its connection is whole: the process of its upstream must still listen.
    async fn inspect_closed(&self, upstream: &str, address: SocketAddr, closed: Closed) -> Outcome<W, S> {
        if quarantine::has_terminated(&self.node, upstream, address).await {
            return Outcome::ConnectionBroken("the upstream terminated before its answer ended".to_owned());
        }
        match closed {
            Closed::Whole(head, bytes) => Outcome::whole(head, bytes),
            Closed::BeforeEvent(head) => Outcome::Empty(head),
            Closed::FalsePromise(status) => Outcome::FalsePromise(status),
        }
    }

    /// Waits until the connection of a request is lost. Connections through relays break when their relays do.
    async fn until_lost(&self, sent: oneshot::Receiver<u64>) {
        match sent.await {
            Ok(sent) => reach::until_lost(&self.node, sent).await,
            Err(oneshot::Canceled) => std::future::pending().await,
        }
    }

    fn first_answer_timeout(&self, chosen: &Placement) -> Duration {
        let factor = match self.kind() {
            RouteKind::Idempotent => CALL_TIMEOUT_FACTOR,
            RouteKind::ResumableStream => STREAM_TIMEOUT_FACTOR,
            RouteKind::Once | RouteKind::Stream => OVERDUE_FACTOR,
        };
        Duration::from_millis(
            (self.request.route.target_ms as f64 * factor + chosen.first_ms.clamp(0.0, 1_000.0)) as u64,
        )
    }

    fn build_request(&self, upstream: &str, after_event: Option<u64>, body: net::Body) -> Request<net::Body> {
        let wire = &self.node.wire;
        let mut headers = self.request.head.headers.clone();
        strip_hop_by_hop(&mut headers, |name| wire.is_end_to_end(name));
        let mut headers = wire.dispatch_headers(&headers, &self.dispatch_details(upstream, after_event));
        headers.remove(CONTENT_LENGTH);
        headers.insert(
            HOST,
            http::HeaderValue::from_str(&self.request.ask.host).unwrap_or(http::HeaderValue::from_static("")),
        );
        let mut request = Request::new(body);
        *request.method_mut() = self.request.head.method.clone();
        *request.uri_mut() = origin_form(&self.request.head.uri);
        *request.headers_mut() = headers;
        request
    }

    /// Updates what is known of the upstream with the outcome of an attempt. Failures on a lost connection are due to
    /// the path.
    fn record_upstream_outcome(
        &self,
        chosen: &Placement,
        took_ms: Millis,
        outcome: &Outcome<W, S>,
        is_lost: bool,
    ) {
        let now = self.node.now();
        let mut placer = self.node.placer();
        let ejected = match outcome {
            Outcome::Complete(..) => {
                let call_ms = (!self.kind().is_stream()).then_some(took_ms as f64);
                placer.record_success(&chosen.upstream, call_ms);
                false
            }
            Outcome::Stream(..) => {
                placer.record_success(&chosen.upstream, None);
                false
            }
            Outcome::ServerError(..) | Outcome::FalsePromise(_) => {
                placer.record_error(&chosen.upstream);
                false
            }
            Outcome::Empty(_) | Outcome::NoConnection(_) | Outcome::NotSent(_) | Outcome::PathLost(_) => {
                false
            }
            Outcome::ConnectionBroken(_) | Outcome::NoValidAnswer(_) | Outcome::TimedOut if is_lost => false,
            // The upstream itself announced that it accepts no requests, so there is no need to eject it on a
            // guess.
            Outcome::NotRun(_) if !placer.admits(&chosen.upstream, now) => false,
            Outcome::NotRun(_)
            | Outcome::ConnectionBroken(_)
            | Outcome::NoValidAnswer(_)
            | Outcome::TimedOut => placer.record_failure(&chosen.upstream, now),
        };
        drop(placer);
        if let Outcome::Complete(..) | Outcome::ServerError(..) | Outcome::FalsePromise(_) = outcome {
            self.record_survival();
        }
        if let Outcome::Complete(head, bytes) = outcome
            && head.status.is_success()
            && !bytes.is_empty()
        {
            self.record_prompt_survival();
        }
        if ejected {
            self.node.metrics.ejections.inc();
            log::warn!(
                "upstream: event=ejected upstream={} request={}",
                chosen.upstream,
                self.request.ask.id
            );
        }
    }
}

/// The result of waiting for a first answer.
enum FirstAnswer<W: Wire, S: Rows> {
    Known(Outcome<W, S>),
    /// An answer that ended with its connection, and may have been cut off.
    Closed(Closed),
}

/// The path and query of a URI: the form in which a request to an origin server names its target.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned().unwrap_or(http::uri::PathAndQuery::from_static("/"));
    Uri::from(path)
}
