//! One attempt at a request: a run at one engine, from its start to its charge.
//!
//! Whatever happens to the run, its reservation ends here: charged, given back, wasted, or held until the
//! engine tells what became of it (I6).

use crate::clock::Clock;
use crate::flight::{End, Head};
use crate::job::{FAILED_RETRY_MS, Job};
use crate::ports::Ports;
use crate::refusal::{Execution, Refusal};
use crate::settings::millis;
use crate::slot::{self, Slot};
use budget::ledger::Charge;
use bundle::Model;
use http::StatusCode;
use hyper::body::Bytes;
use net::exec;
use std::net::SocketAddr;
use upstream::{Call, CancelOutcome, Engine, Event, Events, Fault, Reply, Usage};

/// How often a stream is taken up again at the same engine.
const RESUMES: u32 = 3;
/// The pause before asking again what became of a lost run, at first and at most, in milliseconds.
const ASK_AGAIN_MS: (u64, u64) = (250, 10_000);

/// What to do after an attempt.
pub(crate) enum Next {
    /// The answer is complete and charged.
    Complete,
    /// The caller gets this refusal.
    Refuse(Refusal),
    /// The run certainly did not start, or was stopped: try elsewhere with the same reservation.
    Elsewhere(String),
    /// The run consumed tokens, or may go on: trying elsewhere takes another reservation.
    Anew(String, Execution),
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// When the request came, in milliseconds of the router's clock.
    pub arrived: u64,
    /// How many attempts were made.
    pub number: u32,
    /// Upstreams that failed.
    pub avoid: Vec<String>,
    /// What earlier attempts did.
    pub execution: Execution,
}

/// A run that was sent to an engine.
struct Sent {
    run: String,
    slot: Slot,
    peer: SocketAddr,
}

impl<W: Ports> Job<W> {
    /// Runs the request at one upstream.
    pub(crate) async fn attempt(&self, model: &Model, slot: Slot, tries: &Tries) -> Next {
        let node = &self.node;
        let Some(upstream) = self.entry.bundle.content.upstreams.get(&slot.upstream) else {
            let why = format!("{} is not in the bundle", slot.upstream);
            slot::end(node, slot);
            return Next::Elsewhere(why);
        };
        let sent = Sent { run: format!("{}-{}", self.entry.id, tries.number), peer: upstream.address, slot };
        let call = Call {
            run: sent.run.clone(),
            path: self.path.clone(),
            body: self.ask.body.clone(),
            priority: model.priority,
        };
        let started = async { Some(node.engine.start(sent.peer, &call).await) };
        let gone = async {
            self.flight.abandoned().await;
            None
        };
        let next = match Box::pin(smol::future::or(started, gone)).await {
            None => return Box::pin(self.abandon(sent)).await,
            Some(Ok(Reply::Refused { status, body })) => self.refused(&sent, status, &body),
            Some(Ok(Reply::Whole(bytes))) => self.whole(&sent, bytes),
            Some(Ok(Reply::Stream(events))) => return self.pump(model, sent, events, tries.arrived).await,
            Some(Err(error)) => {
                self.note_failure(&sent, &error.to_string());
                match error.fault {
                    Fault::NotRun => Next::Elsewhere(error.to_string()),
                    Fault::Unknown => return Box::pin(self.stop_lost(model, sent, error.to_string())).await,
                }
            }
        };
        slot::end(node, sent.slot);
        next
    }

    fn note_failure(&self, sent: &Sent, reason: &str) {
        self.node.note(&self.entry.id, format!("{} failed: {reason}", sent.slot.upstream));
        log::warn!("upstream: request={} run={} {reason}", self.entry.id, sent.run);
        sent.slot.fail();
        if self.node.schedule.fail(&sent.slot.upstream) {
            self.node.metrics.ejections.inc();
            log::warn!("upstream: {} is ejected after failures in a row", sent.slot.upstream);
        }
    }

    /// The engine refused the run before it did any work.
    fn refused(&self, sent: &Sent, status: u16, body: &Bytes) -> Next {
        let text = String::from_utf8_lossy(body).into_owned();
        if matches!(status, 404 | 408 | 409 | 429 | 503) {
            self.note_failure(sent, &format!("refused with status {status}"));
            return Next::Elsewhere(format!("{} refused with status {status}", sent.slot.upstream));
        }
        self.node.grants.release(&self.entry.access.budget, self.ask.worst);
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
        let message = format!("the upstream does not accept the request: {text}");
        Next::Refuse(Refusal::not_run(status, "upstream_rejected", "dispatch", message))
    }

    fn whole(&self, sent: &Sent, bytes: Bytes) -> Next {
        let usage = std::str::from_utf8(&bytes).ok().and_then(Usage::find);
        // An answer that reports no usage is charged at its worst case.
        let tokens = usage.map_or(self.ask.worst, |usage| usage.total());
        self.charge(tokens);
        self.node.schedule.succeed(&sent.slot.upstream, None);
        self.flight.begin(Head {
            status: StatusCode::OK,
            media: "application/json".to_owned(),
            execution: None,
            retry_after: None,
        });
        self.flight.write(bytes);
        self.flight.end(End::Complete);
        Next::Complete
    }

    /// Turns the reservation into the request's one charge.
    fn charge(&self, tokens: u64) {
        let node = &self.node;
        let excess = node.grants.charge(&self.entry.access.budget, self.ask.worst, self.bill(tokens));
        if excess > 0 {
            node.metrics.excess.inc_by(excess);
            log::error!(
                "budget: request={} an upstream reported {excess} tokens above the reservation",
                self.entry.id
            );
        }
        let charged = tokens - excess;
        node.metrics.charged.inc_by(charged);
        log::info!(
            "budget: request={} charged {charged} tokens to {}",
            self.entry.id,
            self.entry.access.budget
        );
        node.records.note(&self.entry.id, |record| record.charge = Some(charged));
    }

    fn bill(&self, tokens: u64) -> Charge {
        Charge { request: self.entry.id.clone(), key: self.entry.key.clone(), tokens }
    }

    /// Passes a stream on, taking it up again where it breaks.
    async fn pump(&self, model: &Model, sent: Sent, mut events: Events, arrived: u64) -> Next {
        let node = &self.node;
        let stall = millis(node.settings.limits.stall_ms);
        let mut taken: u64 = 0;
        let mut resumes = 0;
        let mut usage: Option<Usage> = None;
        let mut first_at = None;
        loop {
            let step = async { Some(events.next(stall).await) };
            let gone = async {
                self.flight.abandoned().await;
                None
            };
            match smol::future::or(step, gone).await {
                None => return Box::pin(self.abandon(sent)).await,
                Some(Ok(Event::Chunk(data))) => {
                    taken += 1;
                    if first_at.is_none() {
                        let now = node.clock.now();
                        first_at = Some(now);
                        node.metrics.first_token.observe((now - arrived) as f64 / 1_000.0);
                        self.begin_stream();
                    }
                    let found = if data.contains("\"usage\":{") { Usage::find(&data) } else { None };
                    usage = found.or(usage);
                    if found.is_none() || self.ask.include_usage || !data.contains("\"choices\":[]") {
                        self.flight.write(format!("data: {data}\n\n"));
                    }
                }
                Some(Ok(Event::Done)) => {
                    let counted = self.ask.prompt_bound + taken;
                    self.charge(usage.map_or(counted, |usage| usage.total()));
                    let gap = first_at.map(|at| (node.clock.now() - at) as f64 / taken.max(1) as f64);
                    node.schedule.succeed(&sent.slot.upstream, gap);
                    slot::end(node, sent.slot);
                    if first_at.is_none() {
                        self.begin_stream();
                    }
                    self.flight.write("data: [DONE]\n\n");
                    self.flight.end(End::Complete);
                    return Next::Complete;
                }
                Some(Err(error)) => {
                    self.note_failure(&sent, &error.to_string());
                    let resumed = if taken > 0 && resumes < RESUMES {
                        Box::pin(node.engine.resume(sent.peer, &sent.run, taken)).await.ok()
                    } else {
                        None
                    };
                    match resumed {
                        Some(again) => {
                            resumes += 1;
                            node.metrics.resumes.inc();
                            node.note(&self.entry.id, format!("taken up again after {taken} events"));
                            log::info!("upstream: run={} taken up again after {taken} events", sent.run);
                            events = again;
                        }
                        None if taken == 0 => {
                            return Box::pin(self.stop_lost(model, sent, error.to_string())).await;
                        }
                        None => return Box::pin(self.break_off(sent, &error.to_string())).await,
                    }
                }
            }
        }
    }

    fn begin_stream(&self) {
        self.flight.begin(Head {
            status: StatusCode::OK,
            media: "text/event-stream".to_owned(),
            execution: None,
            retry_after: None,
        });
    }

    /// Ends an answer that can't be completed: an explicit error event, then an aborted body.
    async fn break_off(&self, sent: Sent, reason: &str) -> Next {
        let node = &self.node;
        match node.engine.cancel(sent.peer, &sent.run).await {
            Ok(CancelOutcome::Stopped(usage)) => {
                self.charge(usage.total());
                slot::end(node, sent.slot);
            }
            Ok(CancelOutcome::Unseen) | Err(_) => self.hold(sent, Some(self.bill(0))),
        }
        let message = format!("the answer broke off at the upstream: {reason}");
        let refusal = Refusal::not_run(StatusCode::BAD_GATEWAY, "upstream_broke", "stream", message)
            .execution(Execution::Ran);
        self.flight.write(format!("event: error\ndata: {}\n\n", refusal.json(&self.entry.id)));
        self.flight.end(End::Broken(refusal.code.to_owned()));
        Next::Refuse(refusal)
    }

    /// Stops a run whose caller went away; what it consumed is charged.
    async fn abandon(&self, sent: Sent) -> Next {
        let node = &self.node;
        node.note(&self.entry.id, "the caller went away");
        let execution = match node.engine.cancel(sent.peer, &sent.run).await {
            Ok(CancelOutcome::Stopped(usage)) => {
                self.charge(usage.total());
                slot::end(node, sent.slot);
                Execution::Ran
            }
            Ok(CancelOutcome::Unseen) => {
                node.grants.release(&self.entry.access.budget, self.ask.worst);
                slot::end(node, sent.slot);
                Execution::NotRun
            }
            Err(_) => {
                self.hold(sent, Some(self.bill(0)));
                Execution::Unknown
            }
        };
        let refusal = Refusal::bad("stream", "caller_gone", "the caller went away");
        Next::Refuse(refusal.execution(execution))
    }

    /// Decides after a failure that leaves open whether the run goes on, before any of it was passed on.
    async fn stop_lost(&self, model: &Model, sent: Sent, reason: String) -> Next {
        let node = &self.node;
        let budget = &self.entry.access.budget;
        let failed = |execution| {
            let message = format!("the upstream failed: {reason}");
            Refusal::not_run(StatusCode::BAD_GATEWAY, "upstream_failed", "dispatch", message)
                .execution(execution)
                .retry_after(FAILED_RETRY_MS)
        };
        match node.engine.cancel(sent.peer, &sent.run).await {
            Ok(CancelOutcome::Unseen) => {
                slot::end(node, sent.slot);
                Next::Elsewhere(reason)
            }
            Ok(CancelOutcome::Stopped(usage)) if model.repeatable => {
                // A new reservation is taken for the next run; what this one consumed stays held.
                slot::end(node, sent.slot);
                node.grants.waste(budget, self.ask.worst, usage.total());
                node.metrics.wasted.inc_by(usage.total());
                Next::Anew(reason, Execution::Ran)
            }
            Ok(CancelOutcome::Stopped(usage)) => {
                slot::end(node, sent.slot);
                self.charge(usage.total());
                Next::Refuse(failed(Execution::Ran))
            }
            Err(_) if model.repeatable => {
                self.hold(sent, None);
                Next::Anew(reason, Execution::Unknown)
            }
            Err(_) => {
                self.hold(sent, Some(self.bill(0)));
                Next::Refuse(failed(Execution::Unknown))
            }
        }
    }

    /// Keeps the reservation and the slot of a run whose end is not known, and asks the engine until it says
    /// what became of it. What it consumed is then charged by `bill`, or stays held if another run has
    /// served the request.
    fn hold(&self, sent: Sent, bill: Option<Charge>) {
        let node = self.node.clone();
        let budget = self.entry.access.budget.clone();
        let reserved = self.ask.worst;
        let Sent { run, slot, peer } = sent;
        node.grants.lose(&budget, reserved);
        node.metrics.unknown.add(reserved as i64);
        log::warn!(
            "budget: run={run} {reserved} tokens stay held until {} tells what became of it",
            slot.upstream
        );
        exec::spawn(async move {
            let mut pause = ASK_AGAIN_MS.0;
            while !node.is_closed() {
                exec::sleep(millis(pause)).await;
                pause = (pause * 2).min(ASK_AGAIN_MS.1);
                let Ok(outcome) = node.engine.cancel(peer, &run).await else {
                    continue;
                };
                let tokens = match outcome {
                    CancelOutcome::Unseen => 0,
                    CancelOutcome::Stopped(usage) => usage.total(),
                };
                let bill = bill.map(|bill| Charge { tokens, ..bill });
                if bill.is_none() {
                    node.metrics.wasted.inc_by(tokens);
                }
                node.grants.find(&budget, reserved, tokens, bill);
                node.metrics.unknown.sub(reserved as i64);
                log::info!("budget: run={run} consumed {tokens} tokens, says {}", slot.upstream);
                slot::end(&node, slot);
                return;
            }
        })
        .detach();
    }
}
