//! One attempt at a request: a run at one engine, from its start to its charge.
//!
//! Whatever happens to the run, its reservation is handled here (I6): it is charged, released, written off,
//! kept for the next attempt, or held until the engine reports the outcome.

use crate::clock::Clock;
use crate::job::{FAILED_RETRY_MS, Job};
use crate::ports::Ports;
use crate::refusal::{Execution, Refusal};
use crate::settings::millis;
use crate::shared_answer::{End, Head};
use crate::slot::{self, Slot};
use budget::ledger::Charge;
use bundle::Model;
use http::StatusCode;
use hyper::body::Bytes;
use net::exec;
use std::net::SocketAddr;
use upstream::{Call, CancelOutcome, Engine, Event, Events, Fault, Reply, Usage};

/// The maximum number of times that a broken stream is resumed at the same engine.
const MAX_RESUMES: u32 = 3;
/// The first and the longest pause between queries for an unknown outcome, in milliseconds.
const OUTCOME_RETRY_MS: (u64, u64) = (250, 10_000);

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The answer is complete and its tokens are charged.
    Complete,
    /// The request is refused.
    Refuse(Refusal),
    /// The run certainly did not start. The request is retried on another upstream with the same reservation.
    RetryReserved(String),
    /// The run consumed tokens or may still be running. A retry on another upstream needs a new reservation.
    RetryUnreserved(String, Execution),
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// When the request arrived, in milliseconds of the router's clock.
    pub arrived: u64,
    /// The number of attempts.
    pub attempts: u32,
    /// Upstreams to avoid because an attempt there failed; cleared once all that serve the model are listed.
    pub avoid: Vec<String>,
    /// The execution that earlier attempts caused.
    pub execution: Execution,
}

/// A run at an engine, with its slot.
struct StartedRun {
    run: String,
    slot: Slot,
    address: SocketAddr,
}

impl<W: Ports> Job<W> {
    /// Runs the request at one upstream.
    pub(crate) async fn attempt(&self, model: &Model, slot: Slot, progress: &Progress) -> AttemptOutcome {
        let node = &self.node;
        let Some(upstream) = self.admitted.bundle.content.upstreams.get(&slot.upstream) else {
            let why = format!("{} is not in the bundle", slot.upstream);
            slot::release(node, slot);
            return AttemptOutcome::RetryReserved(why);
        };
        let started_run = StartedRun {
            run: format!("{}-{}", self.admitted.id, progress.attempts),
            address: upstream.address,
            slot,
        };
        let call = Call {
            run: started_run.run.clone(),
            path: self.path.clone(),
            body: self.model_request.body.clone(),
            priority: model.priority,
        };
        let starting = async { Some(node.engine.start(started_run.address, &call).await) };
        let caller_gone = async {
            self.answer.abandoned().await;
            None
        };
        let outcome = match Box::pin(smol::future::or(starting, caller_gone)).await {
            None => return Box::pin(self.cancel_abandoned(started_run)).await,
            Some(Ok(Reply::Refused { is_named, status, body })) => {
                if !is_named && !self.is_unseen(&started_run).await {
                    let reason = format!("status {status}, in an answer that names no run");
                    self.record_run_failure(&started_run, &reason);
                    return Box::pin(self.cancel_uncertain(model, started_run, reason)).await;
                }
                self.handle_refusal(&started_run, status, &body)
            }
            Some(Ok(Reply::Whole(bytes))) => self.complete_answer(&started_run, bytes),
            Some(Ok(Reply::Stream(events))) => {
                return self.relay_stream(model, started_run, events, progress.arrived).await;
            }
            Some(Err(error)) => {
                self.record_run_failure(&started_run, &error.to_string());
                match error.fault {
                    Fault::NotRun => AttemptOutcome::RetryReserved(error.to_string()),
                    Fault::Unknown => {
                        return Box::pin(self.cancel_uncertain(model, started_run, error.to_string())).await;
                    }
                }
            }
        };
        slot::release(node, started_run.slot);
        outcome
    }

    /// Cancels a run, which tells whether its engine has seen it.
    async fn is_unseen(&self, started_run: &StartedRun) -> bool {
        let outcome = self.node.engine.cancel(started_run.address, &started_run.run).await;
        matches!(outcome, Ok(CancelOutcome::Unseen))
    }

    fn record_run_failure(&self, started_run: &StartedRun, reason: &str) {
        self.node.record_step(&self.admitted.id, format!("{} failed: {reason}", started_run.slot.upstream));
        log::warn!("upstream: request={} run={} {reason}", self.admitted.id, started_run.run);
        started_run.slot.mark_failed();
        if self.node.schedule.record_failure(&started_run.slot.upstream) {
            self.node.metrics.ejections.inc();
            log::warn!("upstream: {} is ejected after consecutive failures", started_run.slot.upstream);
        }
    }

    /// Handles the refusal of a run by an engine, which did no work for it.
    fn handle_refusal(&self, started_run: &StartedRun, status: u16, body: &Bytes) -> AttemptOutcome {
        let text = String::from_utf8_lossy(body).into_owned();
        if matches!(status, 404 | 408 | 409 | 429 | 503) {
            self.record_run_failure(started_run, &format!("refused with status {status}"));
            return AttemptOutcome::RetryReserved(format!(
                "{} refused with status {status}",
                started_run.slot.upstream
            ));
        }
        self.node.grants.release(&self.admitted.access.budget, self.model_request.max_tokens);
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
        let message = format!("the upstream does not accept the request: {text}");
        AttemptOutcome::Refuse(Refusal::not_run(status, "upstream_rejected", "dispatch", message))
    }

    fn complete_answer(&self, started_run: &StartedRun, bytes: Bytes) -> AttemptOutcome {
        let usage = std::str::from_utf8(&bytes).ok().and_then(Usage::find);
        // An answer that reports no usage is charged at the maximum that was reserved.
        let tokens = usage.map_or(self.model_request.max_tokens, |usage| usage.total());
        self.charge(tokens);
        self.node.schedule.record_success(&started_run.slot.upstream, None);
        self.answer.begin(Head {
            status: StatusCode::OK,
            media: "application/json".to_owned(),
            execution: None,
            retry_after: None,
        });
        self.answer.write(bytes);
        self.answer.end(End::Complete);
        AttemptOutcome::Complete
    }

    /// Converts the reservation to the request's only charge.
    fn charge(&self, tokens: u64) {
        let node = &self.node;
        let excess = node.grants.charge(
            &self.admitted.access.budget,
            self.model_request.max_tokens,
            self.charge_of(tokens),
        );
        if excess > 0 {
            node.metrics.excess.inc_by(excess);
            log::error!(
                "budget: request={} an upstream reported {excess} tokens above the reservation",
                self.admitted.id
            );
        }
        let charged = tokens - excess;
        node.metrics.charged.inc_by(charged);
        log::info!(
            "budget: request={} charged {charged} tokens to {}",
            self.admitted.id,
            self.admitted.access.budget
        );
        node.records.update(&self.admitted.id, |record| record.charge = Some(charged));
    }

    fn charge_of(&self, tokens: u64) -> Charge {
        Charge { request: self.admitted.id.clone(), key: self.admitted.key.clone(), tokens }
    }

    /// Relays a stream to the caller, and resumes it at the same engine where it breaks.
    async fn relay_stream(
        &self,
        model: &Model,
        started_run: StartedRun,
        mut events: Events,
        arrived: u64,
    ) -> AttemptOutcome {
        let node = &self.node;
        let stall = millis(node.settings.limits.stall_ms);
        let mut received: u64 = 0;
        let mut resumes = 0;
        let mut usage: Option<Usage> = None;
        let mut first_at = None;
        loop {
            let step = async { Some(events.next(stall).await) };
            let caller_gone = async {
                self.answer.abandoned().await;
                None
            };
            match smol::future::or(step, caller_gone).await {
                None => return Box::pin(self.cancel_abandoned(started_run)).await,
                Some(Ok(Event::Chunk(data))) => {
                    received += 1;
                    if first_at.is_none() {
                        let now = node.clock.now();
                        first_at = Some(now);
                        node.metrics.first_token.observe((now - arrived) as f64 / 1_000.0);
                        self.begin_stream();
                    }
                    let found = if data.contains("\"usage\":{") { Usage::find(&data) } else { None };
                    usage = found.or(usage);
                    if found.is_none() || self.model_request.include_usage || !data.contains("\"choices\":[]")
                    {
                        self.answer.write(format!("data: {data}\n\n"));
                    }
                }
                Some(Ok(Event::Done)) => {
                    let counted = self.model_request.max_prompt_tokens + received;
                    self.charge(usage.map_or(counted, |usage| usage.total()));
                    let gap = first_at.map(|at| (node.clock.now() - at) as f64 / received.max(1) as f64);
                    node.schedule.record_success(&started_run.slot.upstream, gap);
                    slot::release(node, started_run.slot);
                    if first_at.is_none() {
                        self.begin_stream();
                    }
                    self.answer.write("data: [DONE]\n\n");
                    self.answer.end(End::Complete);
                    return AttemptOutcome::Complete;
                }
                Some(Err(error)) => {
                    self.record_run_failure(&started_run, &error.to_string());
                    let reopened = if received > 0 && resumes < MAX_RESUMES {
                        Box::pin(node.engine.resume(started_run.address, &started_run.run, received))
                            .await
                            .ok()
                    } else {
                        None
                    };
                    match reopened {
                        Some(resumed) => {
                            resumes += 1;
                            node.metrics.resumes.inc();
                            node.record_step(
                                &self.admitted.id,
                                format!("taken up again after {received} events"),
                            );
                            log::info!("upstream: run={} resumed after {received} events", started_run.run);
                            events = resumed;
                        }
                        None if received == 0 => {
                            return Box::pin(self.cancel_uncertain(model, started_run, error.to_string()))
                                .await;
                        }
                        None => return Box::pin(self.abort_answer(started_run, &error.to_string())).await,
                    }
                }
            }
        }
    }

    fn begin_stream(&self) {
        self.answer.begin(Head {
            status: StatusCode::OK,
            media: "text/event-stream".to_owned(),
            execution: None,
            retry_after: None,
        });
    }

    /// Ends an answer that can't be completed with an error event and an aborted body.
    async fn abort_answer(&self, started_run: StartedRun, reason: &str) -> AttemptOutcome {
        let node = &self.node;
        match node.engine.cancel(started_run.address, &started_run.run).await {
            Ok(CancelOutcome::Stopped(usage)) => {
                self.charge(usage.total());
                slot::release(node, started_run.slot);
            }
            Ok(CancelOutcome::Unseen) | Err(_) => self.hold_until_known(started_run, Some(self.charge_of(0))),
        }
        let message = format!("the answer broke off at the upstream: {reason}");
        let refusal = Refusal::not_run(StatusCode::BAD_GATEWAY, "upstream_broke", "stream", message)
            .execution(Execution::Ran);
        self.answer.write(format!("event: error\ndata: {}\n\n", refusal.json(&self.admitted.id)));
        self.answer.end(End::Broken(refusal.code.to_owned()));
        AttemptOutcome::Refuse(refusal)
    }

    /// Cancels a run whose caller disconnected. The tokens that it consumed are charged.
    async fn cancel_abandoned(&self, started_run: StartedRun) -> AttemptOutcome {
        let node = &self.node;
        node.record_step(&self.admitted.id, "the caller went away");
        let execution = match node.engine.cancel(started_run.address, &started_run.run).await {
            Ok(CancelOutcome::Stopped(usage)) => {
                self.charge(usage.total());
                slot::release(node, started_run.slot);
                Execution::Ran
            }
            Ok(CancelOutcome::Unseen) => {
                node.grants.release(&self.admitted.access.budget, self.model_request.max_tokens);
                slot::release(node, started_run.slot);
                Execution::NotRun
            }
            Err(_) => {
                self.hold_until_known(started_run, Some(self.charge_of(0)));
                Execution::Unknown
            }
        };
        let refusal = Refusal::bad_request("stream", "caller_gone", "the caller went away");
        AttemptOutcome::Refuse(refusal.execution(execution))
    }

    /// Cancels a run after a failure that leaves open whether it is still running. Nothing of its answer has
    /// been relayed yet.
    async fn cancel_uncertain(
        &self,
        model: &Model,
        started_run: StartedRun,
        reason: String,
    ) -> AttemptOutcome {
        let node = &self.node;
        let budget = &self.admitted.access.budget;
        let failed = |execution| {
            let message = format!("the upstream failed: {reason}");
            Refusal::not_run(StatusCode::BAD_GATEWAY, "upstream_failed", "dispatch", message)
                .execution(execution)
                .retry_after(FAILED_RETRY_MS)
        };
        match node.engine.cancel(started_run.address, &started_run.run).await {
            Ok(CancelOutcome::Unseen) => {
                slot::release(node, started_run.slot);
                AttemptOutcome::RetryReserved(reason)
            }
            Ok(CancelOutcome::Stopped(usage)) if model.repeatable => {
                // The next run takes a new reservation; the tokens that this one consumed stay deducted.
                slot::release(node, started_run.slot);
                node.grants.write_off(budget, self.model_request.max_tokens, usage.total());
                node.metrics.wasted.inc_by(usage.total());
                AttemptOutcome::RetryUnreserved(reason, Execution::Ran)
            }
            Ok(CancelOutcome::Stopped(usage)) => {
                slot::release(node, started_run.slot);
                self.charge(usage.total());
                AttemptOutcome::Refuse(failed(Execution::Ran))
            }
            Err(_) if model.repeatable => {
                self.hold_until_known(started_run, None);
                AttemptOutcome::RetryUnreserved(reason, Execution::Unknown)
            }
            Err(_) => {
                self.hold_until_known(started_run, Some(self.charge_of(0)));
                AttemptOutcome::Refuse(failed(Execution::Unknown))
            }
        }
    }

    /// Keeps the reservation and the slot of a run whose outcome is unknown, and queries the engine until it
    /// reports the outcome. The consumed tokens are then charged by `charge`, or written off if it is `None`
    /// because another run serves the request.
    fn hold_until_known(&self, started_run: StartedRun, charge: Option<Charge>) {
        let node = self.node.clone();
        let budget = self.admitted.access.budget.clone();
        let reserved = self.model_request.max_tokens;
        let StartedRun { run, slot, address } = started_run;
        node.grants.hold_unknown(&budget, reserved);
        node.metrics.unknown.add(reserved as i64);
        log::warn!(
            "budget: run={run} {reserved} tokens stay reserved until {} reports the outcome of the run",
            slot.upstream
        );
        exec::spawn(async move {
            let mut pause = OUTCOME_RETRY_MS.0;
            while !node.is_stopped() {
                exec::sleep(millis(pause)).await;
                pause = (pause * 2).min(OUTCOME_RETRY_MS.1);
                let Ok(outcome) = node.engine.cancel(address, &run).await else {
                    continue;
                };
                let tokens = match outcome {
                    CancelOutcome::Unseen => 0,
                    CancelOutcome::Stopped(usage) => usage.total(),
                };
                let charge = charge.map(|charge| Charge { tokens, ..charge });
                if charge.is_none() {
                    node.metrics.wasted.inc_by(tokens);
                }
                node.grants.resolve_unknown(&budget, reserved, tokens, charge);
                node.metrics.unknown.sub(reserved as i64);
                log::info!("budget: run={run} consumed {tokens} tokens, as reported by {}", slot.upstream);
                slot::release(&node, slot);
                return;
            }
        })
        .detach();
    }
}
