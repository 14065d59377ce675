//! Passing a stream of events on as it comes, and taking it up at another upstream if it breaks off.

use crate::attempt::{First, Flow};
use crate::event::Splitter;
use crate::job::{Job, Meter};
use crate::manifest::Kind;
use crate::ports::Wire;
use async_channel::Receiver;
use futures::{Stream, StreamExt};
use http_body::Body as _;
use hyper::body::Bytes;
use net::exec;
use route::{Millis, PauseKind, PauseTracker};
use smol::Timer;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use store::rows::Rows;

/// How often a stream looks whether it stalls or its time is over.
const LOOK: Duration = Duration::from_millis(500);
/// A resumable stream is taken up elsewhere after this multiple of its greatest intended pause in silence.
const STALL: u64 = 3;
/// Upstreams that may continue one stream beside those that the route allows: those that broke off do not run it.
const EXTRA_RUNS: u32 = 1;

/// A stream on its way to the caller.
pub(crate) struct Relay<W: Wire, S: Rows> {
    job: Arc<Job<W, S>>,
    state: State<W, S>,
    splitter: Splitter,
    meter: Meter,
    ready: Option<Bytes>,
    look: Timer,
    heard: Millis,
    began: Millis,
    /// When the run that it comes from now gave its first answer.
    run_began: Millis,
    gap: Millis,
    pauses: PauseTracker,
}

enum State<W: Wire, S: Rows> {
    Flowing(Box<Flow<W, S>>),
    Switching(Pin<Box<Receiver<Resumed<W, S>>>>),
    Ended,
}

/// A stream taken up at another upstream, with the splitter that read its first events.
struct Resumed<W: Wire, S: Rows> {
    flow: Box<Flow<W, S>>,
    splitter: Splitter,
    events: Bytes,
}

/// What to do next.
enum Turn {
    Again,
    Give(Bytes),
    Fail(String),
    Done,
}

impl<W: Wire, S: Rows> Relay<W, S> {
    pub(crate) fn new(
        job: Arc<Job<W, S>>,
        flow: Box<Flow<W, S>>,
        splitter: Splitter,
        first: Bytes,
        mut meter: Meter,
    ) -> Relay<W, S> {
        let now = job.node.now();
        let ms = now.saturating_sub(job.request.arrived);
        job.node.metrics.first.with_label_values(&[&job.request.route.name]).observe(ms as f64 / 1_000.0);
        meter.pass(splitter.count());
        let pauses = PauseTracker::new(job.node.now_exact());
        Relay {
            job,
            state: State::Flowing(flow),
            splitter,
            meter,
            ready: Some(first),
            look: Timer::interval(LOOK),
            heard: now,
            began: now,
            run_began: now,
            gap: 0,
            pauses,
        }
    }

    /// The next bytes for the caller.
    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(bytes) = self.ready.take() {
            return Poll::Ready(Some(Ok(bytes)));
        }
        loop {
            let turn = match &mut self.state {
                State::Flowing(flow) => match Pin::new(&mut flow.body).poll_frame(context) {
                    Poll::Ready(frame) => self.take(frame),
                    Poll::Pending => ready!(self.poll_look(context)),
                },
                State::Switching(receiver) => match receiver.as_mut().poll_next(context) {
                    Poll::Ready(resumed) => self.take_up(resumed),
                    Poll::Pending => ready!(self.poll_look(context)),
                },
                State::Ended => return Poll::Ready(None),
            };
            match turn {
                Turn::Again => {}
                Turn::Give(bytes) => return Poll::Ready(Some(Ok(bytes))),
                Turn::Done => {
                    self.state = State::Ended;
                    return Poll::Ready(None);
                }
                Turn::Fail(reason) => {
                    self.state = State::Ended;
                    self.end("broken", &reason);
                    return Poll::Ready(Some(Err(io::Error::other(reason))));
                }
            }
        }
    }

    fn take(&mut self, frame: Option<Result<http_body::Frame<Bytes>, hyper::Error>>) -> Turn {
        match frame {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { return Turn::Again };
                let now = self.job.node.now();
                self.gap = self.gap.max(now.saturating_sub(self.heard));
                self.heard = now;
                self.job.node.load.relay(data.len());
                let events = self.splitter.push(data);
                if events.is_empty() {
                    return Turn::Again;
                }
                self.observe();
                self.meter.pass(self.splitter.count());
                Turn::Give(events)
            }
            Some(Err(error)) => self.switch(&format!("the stream broke off: {error}")),
            None => self.complete(),
        }
    }

    /// Tells the picture of the upstream how fast the events come.
    fn observe(&mut self) {
        let State::Flowing(flow) = &self.state else { return };
        let upstream = &flow.seat.upstream;
        match self.pauses.record(self.job.node.now_exact()) {
            PauseKind::Baseline(ms) => self.job.node.places().record_baseline_pause(upstream, ms),
            PauseKind::Long(ms) => self.job.node.places().record_pause(upstream, ms, self.job.node.now()),
            PauseKind::Normal => {}
        }
    }

    fn complete(&mut self) -> Turn {
        let rest = self.splitter.take_rest();
        if let State::Flowing(flow) = std::mem::replace(&mut self.state, State::Ended) {
            self.job.node.places().record_success(&flow.seat.upstream, None);
            self.job.outlived();
            flow.lease.keep();
        }
        self.end("complete", "");
        if rest.is_empty() { Turn::Done } else { Turn::Give(rest) }
    }

    /// Looks whether the time is over or the upstream fell silent.
    fn poll_look(&mut self, context: &mut Context<'_>) -> Poll<Turn> {
        ready!(self.look.poll_next_unpin(context));
        let now = self.job.node.now();
        if now >= self.job.deadline {
            return Poll::Ready(Turn::Fail("the time is over".to_owned()));
        }
        let stalled = now.saturating_sub(self.heard) > STALL * self.job.request.route.gap_ms;
        if stalled && matches!(self.state, State::Flowing(_)) && self.job.kind() == Kind::ResumableStream {
            return Poll::Ready(self.switch("the upstream fell silent"));
        }
        Poll::Ready(Turn::Again)
    }

    /// Takes the stream up elsewhere, if the route allows it.
    fn switch(&mut self, reason: &str) -> Turn {
        let State::Flowing(flow) = std::mem::replace(&mut self.state, State::Ended) else {
            return Turn::Fail(reason.to_owned());
        };
        let upstream = flow.seat.upstream.clone();
        let inspection =
            self.job.inspect(&upstream, Some(self.job.node.now().saturating_sub(self.run_began)));
        // The run there must have ended before another one begins.
        drop(flow);
        let now = self.job.node.now();
        self.job.node.places().record_failure(&upstream, now);
        if self.job.kind() != Kind::ResumableStream {
            return Turn::Fail(reason.to_owned());
        }
        log::warn!(
            "request: id={} event=stream-broken upstream={upstream} last-event={:?} reason=\"{reason}\"",
            self.job.request.ask.id,
            self.splitter.last(),
        );
        self.job.tries().avoid.push(upstream);
        let (sender, receiver) = async_channel::bounded(1);
        let job = self.job.clone();
        let mut splitter = std::mem::take(&mut self.splitter);
        splitter.restart();
        exec::spawn(async move {
            let closed = sender.clone();
            let resuming = async {
                inspection.done().await;
                job.resume(splitter).await
            };
            let gone = async {
                closed.closed().await;
                None
            };
            if let Some(resumed) = smol::future::or(resuming, gone).await {
                let _ = sender.send(resumed).await;
            }
        })
        .detach();
        self.state = State::Switching(Box::pin(receiver));
        Turn::Again
    }

    fn take_up(&mut self, resumed: Option<Resumed<W, S>>) -> Turn {
        let Some(resumed) = resumed else {
            return Turn::Fail("no upstream could continue the stream".to_owned());
        };
        self.heard = self.job.node.now();
        self.run_began = self.heard;
        self.pauses = PauseTracker::new(self.job.node.now_exact());
        self.splitter = resumed.splitter;
        self.meter.pass(self.splitter.count());
        self.state = State::Flowing(resumed.flow);
        Turn::Give(resumed.events)
    }

    fn end(&self, outcome: &str, detail: &str) {
        let tokens = self.meter.tokens();
        let first_ms = self.began.saturating_sub(self.job.request.arrived);
        let (events, gap_ms) = (self.splitter.count(), self.gap);
        self.job.log_end(
            outcome,
            format_args!("first-ms={first_ms} gap-ms={gap_ms} events={events} tokens={tokens} {detail}"),
        );
    }
}

impl<W: Wire, S: Rows> Drop for Relay<W, S> {
    fn drop(&mut self) {
        if !matches!(self.state, State::Ended) {
            self.end("caller-gone", "");
        }
    }
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// Continues a broken stream at another upstream.
    async fn resume(&self, mut splitter: Splitter) -> Option<Resumed<W, S>> {
        loop {
            if self.remaining().is_zero() || self.tries().ran >= self.request.route.attempts + EXTRA_RUNS {
                return None;
            }
            let chosen = self.choose()?;
            if !self.may_repeat() || !self.repeat("resume") {
                return None;
            }
            let after = splitter.last();
            let first = self.attempt(&chosen, &mut splitter, after, true).await;
            self.note(&chosen.upstream, &first);
            match first {
                First::Stream(_, flow, events) => return Some(Resumed { flow, splitter, events }),
                First::TimedOut => return None,
                _ => splitter.restart(),
            }
        }
    }
}
