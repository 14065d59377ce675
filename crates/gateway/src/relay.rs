//! Relays a stream of events to the caller, and resumes it at another upstream if it breaks.

use crate::event::{EVENT_TOO_LARGE, EventSplitter};
use crate::first_answer::{OpenStream, Outcome};
use crate::handle::EMPTY_ANSWERS;
use crate::job::{Job, Run, TokenMeter};
use crate::manifest::RouteKind;
use crate::ports::Wire;
use crate::quarantine::{self, BrokenRun};
use async_channel::Receiver;
use event_listener::EventListener;
use futures::{Stream, StreamExt};
use http::StatusCode;
use http_body::Body as _;
use hyper::body::Bytes;
use net::{Framing, exec};
use route::poison::EARLY_RUN_MS;
use route::quarantine::Stage;
use route::silence::{Decision, stall_ms};
use route::{Millis, PauseKind, PauseTracker, ReadTracker};
use smol::Timer;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use store::rows::Rows;

/// How often a stream is checked for a stall and for its deadline.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A stream that is being relayed to the caller.
pub(crate) struct Relay<W: Wire, S: Rows> {
    job: Arc<Job<W, S>>,
    state: State<W, S>,
    splitter: EventSplitter,
    meter: TokenMeter,
    /// The framing of the answer that the stream now comes from.
    framing: Framing,
    ready: Option<Bytes>,
    check_timer: Timer,
    began: Millis,
    /// When the run that the stream now comes from sent its first answer.
    run_began: Millis,
    /// Whether the upstream of this run has survived its prompt, and the request as a whole.
    has_survived_prompt: bool,
    has_survived: bool,
    /// The longest time for which the caller waited for the upstream, in milliseconds.
    longest_gap: f64,
    pauses: PauseTracker,
    reading: ReadTracker,
    /// Notified when the caller takes the stream up with another request.
    taken: EventListener,
}

enum State<W: Wire, S: Rows> {
    Streaming(Box<OpenStream<W, S>>),
    /// The connection that the stream came from was closed after a whole event. The answer is complete unless the
    /// upstream has terminated, which the channel tells.
    Closed(Box<OpenStream<W, S>>, Pin<Box<Receiver<bool>>>),
    Resuming(Pin<Box<Receiver<Resumed<W, S>>>>),
    Ended,
}

/// How a stream was resumed at another upstream.
enum Resumed<W: Wire, S: Rows> {
    /// It goes on with these events. The splitter has read them.
    Continued { stream: Box<OpenStream<W, S>>, splitter: EventSplitter, events: Bytes },
    /// No event was left.
    Complete(EventSplitter),
}

/// What to do after polling the stream.
enum Step {
    Continue,
    Yield(Bytes),
    Fail(String),
    Done,
}

impl<W: Wire, S: Rows> Relay<W, S> {
    pub(crate) fn new(
        job: Arc<Job<W, S>>,
        stream: Box<OpenStream<W, S>>,
        splitter: EventSplitter,
        first_events: Bytes,
        mut meter: TokenMeter,
    ) -> Relay<W, S> {
        let now = job.node.now();
        let ms = now.saturating_sub(job.request.arrived);
        job.node
            .metrics
            .first_answer_time
            .with_label_values(&[&job.request.route.name])
            .observe(ms as f64 / 1_000.0);
        meter.record_events(splitter.count());
        let now_exact = job.node.now_exact();
        if job.kind() == RouteKind::ResumableStream {
            job.begin_stream(stream.slot.version);
        }
        let taken = job.takeover.listen();
        Relay {
            job,
            framing: stream.framing,
            state: State::Streaming(stream),
            splitter,
            meter,
            ready: Some(first_events),
            check_timer: Timer::interval(CHECK_INTERVAL),
            began: now,
            run_began: now,
            has_survived_prompt: false,
            has_survived: false,
            longest_gap: 0.0,
            pauses: PauseTracker::new(now_exact),
            reading: ReadTracker::new(now_exact),
            taken,
        }
    }

    /// Polls for the next bytes for the caller.
    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        self.reading.record_asked(self.job.node.now_exact());
        let next = self.poll_part(context);
        if let Poll::Ready(Some(Ok(_))) = next {
            self.reading.record_given(self.job.node.now_exact());
        }
        next
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(bytes) = self.ready.take() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        loop {
            if self.poll_taken(context) {
                self.state = State::Ended;
                self.log_end("taken-up", "");
                return Poll::Ready(Some(Err(io::Error::other(
                    "the stream was taken up by another request",
                ))));
            }
            let step = match &mut self.state {
                State::Streaming(stream) => match Pin::new(&mut stream.body).poll_frame(context) {
                    Poll::Ready(frame) => self.handle_frame(frame),
                    Poll::Pending => ready!(self.poll_check(context)),
                },
                State::Closed(_, receiver) => match receiver.as_mut().poll_next(context) {
                    Poll::Ready(has_terminated) => self.finish_closed(has_terminated.unwrap_or(false)),
                    Poll::Pending => return Poll::Pending,
                },
                State::Resuming(receiver) => match receiver.as_mut().poll_next(context) {
                    Poll::Ready(resumed) => self.finish_resume(resumed),
                    Poll::Pending => ready!(self.poll_check(context)),
                },
                State::Ended => return Poll::Ready(None),
            };
            match step {
                Step::Continue => {}
                Step::Yield(bytes) => return Poll::Ready(Some(Ok(bytes))),
                Step::Done => {
                    self.state = State::Ended;
                    return Poll::Ready(None);
                }
                Step::Fail(reason) => {
                    self.state = State::Ended;
                    self.log_end("broken", &reason);
                    return Poll::Ready(Some(Err(io::Error::other(reason))));
                }
            }
        }
    }

    /// Whether the caller has taken the stream up with another request.
    fn poll_taken(&mut self, context: &mut Context<'_>) -> bool {
        let is_open = !matches!(self.state, State::Ended);
        is_open && (self.job.takeover.is_taken() || Pin::new(&mut self.taken).poll(context).is_ready())
    }

    fn handle_frame(&mut self, frame: Option<Result<http_body::Frame<Bytes>, hyper::Error>>) -> Step {
        if frame.is_none() && self.framing != Framing::Closed {
            self.mark_over();
        }
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { return Step::Continue };
                // The periodic check does not run while the upstream always has more for a slow caller.
                if self.job.node.now() >= self.job.deadline + CHECK_INTERVAL.as_millis() as Millis {
                    return Step::Fail("the deadline passed".to_owned());
                }
                let now = self.job.node.now_exact();
                self.record_answer(now);
                self.longest_gap = self.longest_gap.max(self.reading.silence(now));
                let is_held_back = self.reading.record_arrived(now);
                if is_held_back {
                    self.pauses = PauseTracker::new(now);
                }
                self.job.node.load.record_relayed(data.len());
                let events = self.splitter.push(data);
                if self.splitter.is_event_too_large() {
                    self.job.node.metrics.unreadable_answers.inc();
                    return self.start_resume(EVENT_TOO_LARGE);
                }
                if events.is_empty() {
                    return Step::Continue;
                }
                // What a slow caller holds back may have been written before a crash.
                if !is_held_back {
                    self.observe(now);
                    self.record_survival();
                }
                self.meter.record_events(self.splitter.count());
                Step::Yield(events)
            }
            Some(Err(error)) => self.start_resume(&format!("could not read the stream: {error}")),
            None if self.splitter.is_inside_event() => self.start_resume("the stream ended inside an event"),
            None if self.framing == Framing::Closed => self.inspect_closed(),
            None => self.complete(),
        }
    }

    /// Records that the upstream has ended the run that the stream comes from.
    fn mark_over(&mut self) {
        if let State::Streaming(stream) = &mut self.state {
            stream.slot.mark_over();
        }
    }

    /// Checks whether the upstream of a closed connection has terminated, which ends a stream like its own end does.
    fn inspect_closed(&mut self) -> Step {
        let State::Streaming(stream) = std::mem::replace(&mut self.state, State::Ended) else {
            return Step::Continue;
        };
        let (sender, receiver) = async_channel::bounded(1);
        let (job, upstream, address) =
            (self.job.clone(), stream.slot.upstream.name.clone(), stream.slot.upstream.address);
        exec::spawn(async move {
            let _ = sender.send(quarantine::has_terminated(&job.node, &upstream, address).await).await;
        })
        .detach();
        self.state = State::Closed(stream, Box::pin(receiver));
        Step::Continue
    }

    fn finish_closed(&mut self, has_terminated: bool) -> Step {
        if let State::Closed(stream, _) = std::mem::replace(&mut self.state, State::Ended) {
            self.state = State::Streaming(stream);
        }
        match has_terminated {
            true => self.start_resume("the upstream terminated"),
            false => self.complete(),
        }
    }

    /// Records that the upstream goes on answering at a time at which a harmful prompt or request would have crashed it.
    fn record_survival(&mut self) {
        let survived_ms = self.job.node.now().saturating_sub(self.run_began);
        if !self.has_survived_prompt && survived_ms > EARLY_RUN_MS {
            self.has_survived_prompt = true;
            self.job.record_prompt_survival();
        }
        if !self.has_survived && Stage::of(Some(survived_ms)).is_none() {
            self.has_survived = true;
            self.job.record_survival();
        }
    }

    /// Records bytes that the stream has waited for.
    fn record_answer(&self, now: f64) {
        if let State::Streaming(stream) = &self.state {
            let gap_ms = self.reading.silence(now) as Millis;
            stream.slot.upstream.contact.record_answer(gap_ms, now as Millis);
            self.job.node.reach.record_answer(&stream.lease, now as Millis);
        }
    }

    /// Updates the estimated event pace of the upstream with the time since the last event.
    fn observe(&mut self, now: f64) {
        let State::Streaming(stream) = &self.state else { return };
        let upstream = &stream.slot.upstream.name;
        match self.pauses.record(now) {
            PauseKind::Baseline(ms) => self.job.node.placer().record_baseline_pause(upstream, ms),
            PauseKind::Long(ms) => self.job.node.placer().record_pause(upstream, ms, self.job.node.now()),
            PauseKind::Normal => {}
        }
    }

    fn complete(&mut self) -> Step {
        if let State::Streaming(stream) = std::mem::replace(&mut self.state, State::Ended) {
            self.job.node.placer().record_success(&stream.slot.upstream.name, None);
            self.job.record_survival();
            if !self.has_survived_prompt {
                self.job.record_prompt_survival();
            }
            stream.lease.keep();
        }
        self.log_end("complete", "");
        Step::Done
    }

    /// Checks periodically whether the deadline has passed or the upstream has stalled.
    fn poll_check(&mut self, context: &mut Context<'_>) -> Poll<Step> {
        ready!(self.check_timer.poll_next_unpin(context));
        if self.job.node.now() >= self.job.deadline {
            return Poll::Ready(Step::Fail("the deadline passed".to_owned()));
        }
        let silence_ms = self.reading.silence(self.job.node.now_exact()) as Millis;
        if self.is_gone(silence_ms) {
            return Poll::Ready(self.start_resume("the upstream stalled"));
        }
        if self.is_path_lost(silence_ms) {
            return Poll::Ready(self.leave_path());
        }
        Poll::Ready(Step::Continue)
    }

    /// Whether the upstream of the run is gone, after `silence_ms` without an event. While it answers others, the run may
    /// still go on by itself.
    fn is_gone(&self, silence_ms: Millis) -> bool {
        let State::Streaming(stream) = &self.state else { return false };
        if self.job.kind() != RouteKind::ResumableStream {
            return false;
        }
        let (upstream, route, now) = (&stream.slot.upstream, &self.job.request.route, self.job.node.now());
        let patience_ms = stall_ms(route.target_ms, route.gap_ms);
        match upstream.contact.decide(now.saturating_sub(silence_ms), patience_ms, now) {
            Decision::Gone => true,
            Decision::Overdue | Decision::Wait(_) => false,
            Decision::Probe => {
                let (upstream, node) = (upstream.clone(), self.job.node.clone());
                exec::spawn(async move { upstream.probe(&node).await }).detach();
                false
            }
        }
    }

    /// Whether the stream comes over a direct connection that is lost, after `silence_ms` without an event.
    fn is_path_lost(&self, silence_ms: Millis) -> bool {
        let State::Streaming(stream) = &self.state else { return false };
        let now = self.job.node.now();
        !stream.lease.is_relayed() && self.job.node.reach.is_lost(now.saturating_sub(silence_ms), now)
    }

    /// Resumes the stream on another path. If that is not possible, it may go on by itself, but its place counts as free.
    fn leave_path(&mut self) -> Step {
        if self.job.may_resume() && self.job.reserve_repeat("path-lost") {
            return self.resume_elsewhere("the path to the upstream is silent");
        }
        if let State::Streaming(stream) = &self.state {
            self.job.release_place(&stream.slot.upstream.name, stream.slot.dispatch_id);
        }
        Step::Continue
    }

    /// Resumes a stream that its upstream broke off.
    fn start_resume(&mut self, reason: &str) -> Step {
        if let State::Streaming(stream) = &self.state {
            self.job.node.placer().record_failure(&stream.slot.upstream.name, self.job.node.now());
        }
        self.resume_elsewhere(reason)
    }

    /// Resumes the stream at another upstream if the route allows it, and fails otherwise.
    fn resume_elsewhere(&mut self, reason: &str) -> Step {
        let State::Streaming(stream) = std::mem::replace(&mut self.state, State::Ended) else {
            return Step::Fail(reason.to_owned());
        };
        let upstream = stream.slot.upstream.name.clone();
        let run = BrokenRun {
            dispatched: stream.slot.dispatched,
            begun: Some(self.run_began),
            broken: self.job.node.now(),
        };
        let inspection = self.job.inspect(&upstream, run);
        // The broken run must end before another one begins.
        drop(stream);
        if self.job.kind() != RouteKind::ResumableStream {
            return Step::Fail(reason.to_owned());
        }
        log::warn!(
            "request: id={} event=stream-broken upstream={upstream} last-event={:?} reason=\"{reason}\"",
            self.job.request.ask.id,
            self.splitter.last_id(),
        );
        self.job.progress().excluded.push(upstream);
        let (sender, receiver) = async_channel::bounded(1);
        let job = self.job.clone();
        let mut splitter = std::mem::take(&mut self.splitter);
        splitter.discard_partial();
        exec::spawn(async move {
            let caller_side = sender.clone();
            let resuming = async {
                inspection.wait().await;
                job.resume(splitter).await
            };
            let caller_gone = async {
                caller_side.closed().await;
                None
            };
            if let Some(resumed) = smol::future::or(resuming, caller_gone).await {
                let _ = sender.send(resumed).await;
            }
        })
        .detach();
        self.state = State::Resuming(Box::pin(receiver));
        Step::Continue
    }

    fn finish_resume(&mut self, resumed: Option<Resumed<W, S>>) -> Step {
        let Some(resumed) = resumed else {
            return Step::Fail("no upstream could resume the stream".to_owned());
        };
        let (stream, splitter, events) = match resumed {
            Resumed::Continued { stream, splitter, events } => (stream, splitter, events),
            Resumed::Complete(splitter) => {
                self.splitter = splitter;
                self.log_end("complete", "");
                return Step::Done;
            }
        };
        self.run_began = self.job.node.now();
        (self.has_survived_prompt, self.has_survived) = (false, false);
        let now = self.job.node.now_exact();
        self.reading.record_arrived(now);
        self.pauses = PauseTracker::new(now);
        self.splitter = splitter;
        self.meter.record_events(self.splitter.count());
        self.framing = stream.framing;
        self.state = State::Streaming(stream);
        Step::Yield(events)
    }

    fn log_end(&self, outcome: &str, detail: &str) {
        let tokens = self.meter.tokens();
        let first_ms = self.began.saturating_sub(self.job.request.arrived);
        let (events, gap_ms) = (self.splitter.count(), self.longest_gap as Millis);
        let (framing, partial) = (self.framing.name(), self.splitter.partial_length());
        self.job.log_end(
            outcome,
            format_args!(
                "first-ms={first_ms} gap-ms={gap_ms} events={events} tokens={tokens} framing={framing} partial={partial} {detail}"
            ),
        );
    }
}

impl<W: Wire, S: Rows> Drop for Relay<W, S> {
    fn drop(&mut self) {
        if !matches!(self.state, State::Ended) {
            self.log_end("caller-gone", "");
        }
    }
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Whether the stream may be resumed, as far as the route allows it.
    fn may_resume(&self) -> bool {
        self.kind() == RouteKind::ResumableStream && !self.remaining().is_zero() && self.runs_left() > 0
    }

    /// At how many more upstreams the request may run. An upstream that broke its answer off counts as long as it lives:
    /// it may go on with the request.
    fn runs_left(&self) -> u32 {
        self.request.route.attempts.saturating_sub(self.progress().runs.len() as u32)
    }

    /// Stops counting the runs at upstreams that have ended.
    async fn forget_ended_runs(&self) {
        let runs = self.progress().runs.clone();
        let ended = runs.iter().map(async |Run { upstream, address }| match address {
            Some(address) => quarantine::has_terminated(&self.node, upstream, *address).await,
            None => false,
        });
        let ended = futures::future::join_all(ended).await;
        let ended: Vec<&str> = runs
            .iter()
            .zip(ended)
            .filter_map(|(run, ended)| ended.then_some(run.upstream.as_str()))
            .collect();
        self.progress().runs.retain(|run| !ended.contains(&run.upstream.as_str()));
    }

    /// Resumes a broken stream at another upstream; `None` if none could continue it.
    async fn resume(&self, mut splitter: EventSplitter) -> Option<Resumed<W, S>> {
        let empty_before = self.progress().empty;
        let empty = || self.progress().empty - empty_before;
        loop {
            if !self.find_place().await {
                return None;
            }
            if self.runs_left() == 0 {
                self.forget_ended_runs().await;
            }
            if self.remaining().is_zero() {
                return None;
            }
            // An answer that ended in order without an event says that none is left, unless its upstream has terminated.
            let none_left = empty() > 0;
            let complete = |splitter| none_left.then_some(Resumed::Complete(splitter));
            if !self.may_resume() {
                return complete(splitter);
            }
            let Some(chosen) = self.choose() else { return complete(splitter) };
            if !self.may_run() || !self.take_repeat("resume") {
                return complete(splitter);
            }
            let (chosen, turn) = self.take_turn(chosen).await.ok()?;
            let after = splitter.last_id();
            let may_try_elsewhere = self.runs_left() > 1;
            let outcome = self.attempt(&chosen, turn, &mut splitter, after, may_try_elsewhere).await;
            self.record_attempt(&chosen.upstream, &outcome);
            match outcome {
                Outcome::Stream(_, stream, events) => {
                    return Some(Resumed::Continued { stream, splitter, events });
                }
                Outcome::Complete(head, bytes) if head.status == StatusCode::OK && bytes.is_empty() => {
                    return Some(Resumed::Complete(splitter));
                }
                Outcome::Empty(_) if empty() >= EMPTY_ANSWERS => {
                    return Some(Resumed::Complete(splitter));
                }
                Outcome::TimedOut => return None,
                _ => splitter.discard_partial(),
            }
        }
    }
}
