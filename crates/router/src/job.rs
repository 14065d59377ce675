//! A request to a model, from its claim and reservation to its charge.
//!
//! As long as nothing of the answer was relayed, a request that may be repeated is retried on another
//! upstream, even if its run was stopped or its outcome is unknown; these cases take a new reservation. A
//! request that must not be repeated is retried only if its run certainly did not start and never will (I3,
//! I4).

use crate::attempt::{AttemptOutcome, Progress};
use crate::claims::{self, ClaimOutcome};
use crate::clock::Clock;
use crate::front::AdmittedRequest;
use crate::model_request::ModelRequest;
use crate::node::Node;
use crate::ports::Ports;
use crate::refusal::Refusal;
use crate::reserve::reserve;
use crate::shared_answer::SharedAnswer;
use crate::slot::{self, Slot};
use bundle::Model;
use http::StatusCode;
use http::request::Parts;
use hyper::body::Bytes;
use route::{Choice, SubmitRequest};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The maximum number of attempts, however many retries were earned.
const MAX_ATTEMPTS: u32 = 4;
/// The `Retry-After` time after an upstream failed, in milliseconds.
pub(crate) const FAILED_RETRY_MS: u64 = 1_000;

/// A request to a model.
pub(crate) struct Job<W: Ports> {
    pub node: Arc<Node<W>>,
    pub admitted: AdmittedRequest,
    pub path: String,
    pub model_request: ModelRequest,
    pub answer: Arc<SharedAnswer>,
    pub head: Parts,
    pub body: Bytes,
}

/// The state of a request after an attempt.
enum NextStep {
    /// The request is answered.
    Done,
    /// The request is to be retried on another upstream, for this reason.
    Retry(String),
}

/// Serves a request and ends its answer.
pub(crate) async fn run<W: Ports>(job: Job<W>) {
    let result = job.serve().await;
    let node = &job.node;
    finish_request(node, &job.admitted, &job.answer, &result);
}

/// Ends a request's answer and record. The key of a refused request is released, so that it can be retried.
pub(crate) fn finish_request<W: Ports>(
    node: &Node<W>,
    admitted: &AdmittedRequest,
    answer: &SharedAnswer,
    result: &Result<(), Refusal>,
) {
    let outcome = match result {
        Ok(()) => "complete",
        Err(refusal) => refusal.code,
    };
    if let Err(refusal) = result {
        node.metrics.refusals.with_label_values(&[refusal.code]).inc();
        log::info!("caller: request={} refused: {refusal} ({})", admitted.id, refusal.execution.name());
        answer.refuse(refusal, &admitted.id);
        if let Some(key) = admitted.answer_key() {
            node.shared_answers.remove(&key);
        }
    }
    node.metrics.answers.with_label_values(&[outcome]).inc();
    node.records.update(&admitted.id, |record| record.outcome = Some(outcome.to_owned()));
    log::info!("caller: request={} ended: {outcome}", admitted.id);
    node.open_requests.fetch_sub(1, Ordering::Relaxed);
}

impl<W: Ports> Job<W> {
    fn model(&self) -> Result<&Model, Refusal> {
        self.admitted.bundle.content.models.get(&self.model_request.model).ok_or_else(|| {
            Refusal::bad_request("parse", "model_not_found", "the model is not in the bundle in force")
        })
    }

    async fn serve(&self) -> Result<(), Refusal> {
        let model = self.model()?;
        if model.repeatable || self.admitted.key.is_none() {
            return self.run_claimed(model).await;
        }
        match Box::pin(claims::claim_or_find(
            &self.node,
            &self.admitted,
            &self.answer,
            &self.head,
            &self.body,
        ))
        .await?
        {
            ClaimOutcome::Run(claim) => {
                let result = self.run_claimed(model).await;
                Box::pin(claims::record_outcome(&self.node, &self.admitted, claim, &result, &self.answer))
                    .await;
                result
            }
            ClaimOutcome::Replay(answer) => {
                self.node.record_step(&self.admitted.id, "its recorded answer is given again");
                self.answer.replay(&answer);
                Ok(())
            }
            ClaimOutcome::Relayed(answer) => {
                self.node.record_step(&self.admitted.id, "passed on to the router that runs it");
                Box::pin(claims::relay_run(&self.node, &self.admitted, &self.answer, answer)).await;
                Ok(())
            }
        }
    }

    async fn run_claimed(&self, model: &Model) -> Result<(), Refusal> {
        let node = &self.node;
        let budget = &self.admitted.access.budget;
        Box::pin(reserve(node, budget, self.model_request.max_tokens)).await?;
        node.record_step(
            &self.admitted.id,
            format!("reserved {} tokens of {budget}", self.model_request.max_tokens),
        );
        let mut progress = Progress { arrived: node.clock.now(), ..Progress::default() };
        loop {
            match self.try_once(model, &mut progress).await {
                Ok(NextStep::Done) => return Ok(()),
                Ok(NextStep::Retry(why)) => {
                    node.metrics.retries.inc();
                    node.record_step(&self.admitted.id, format!("tries elsewhere: {why}"));
                }
                // The refusal must not claim less execution than an earlier attempt caused (I4).
                Err(refusal) => return Err(refusal.at_least(progress.execution)),
            }
        }
    }

    /// Chooses an upstream and attempts the run there. The request holds a reservation before the call, and
    /// after it unless it has ended.
    async fn try_once(&self, model: &Model, progress: &mut Progress) -> Result<NextStep, Refusal> {
        let node = &self.node;
        let budget = &self.admitted.access.budget;
        let (choice, slot) = Box::pin(self.choose(model, progress))
            .await
            .inspect_err(|_| node.grants.release(budget, self.model_request.max_tokens))?;
        progress.attempts += 1;
        let next = self.attempt(model, slot, progress).await;
        progress.avoid.push(choice.upstream);
        if progress.avoid.len() >= self.serving_count() {
            progress.avoid.clear();
        }
        match next {
            AttemptOutcome::Complete => Ok(NextStep::Done),
            AttemptOutcome::Refuse(refusal) => Err(refusal),
            AttemptOutcome::RetryReserved(why) => {
                self.check_retry(progress.attempts, &why)
                    .inspect_err(|_| node.grants.release(budget, self.model_request.max_tokens))?;
                Ok(NextStep::Retry(why))
            }
            AttemptOutcome::RetryUnreserved(why, execution) => {
                progress.execution = progress.execution.max(execution);
                self.check_retry(progress.attempts, &why)?;
                Box::pin(reserve(node, budget, self.model_request.max_tokens)).await?;
                Ok(NextStep::Retry(why))
            }
        }
    }

    /// The number of upstreams that serve the model.
    fn serving_count(&self) -> usize {
        let upstreams = self.admitted.bundle.content.active_upstreams();
        upstreams.filter(|(_, upstream)| upstream.models.contains(&self.model_request.model)).count()
    }

    fn check_retry(&self, number: u32, why: &str) -> Result<(), Refusal> {
        if number < MAX_ATTEMPTS && self.node.schedule.take_retry() {
            return Ok(());
        }
        let message = format!("upstreams failed and no retry is left: {why}");
        Err(Refusal::not_run(StatusCode::BAD_GATEWAY, "upstream_failed", "dispatch", message)
            .retry_after(FAILED_RETRY_MS))
    }

    async fn choose(&self, model: &Model, progress: &Progress) -> Result<(Choice, Slot), Refusal> {
        let node = &self.node;
        let access = &self.admitted.access;
        let weight = self.admitted.bundle.content.teams.get(&access.team).map_or(1, |team| team.weight);
        let request = SubmitRequest {
            model: &self.model_request.model,
            prefix: self.model_request.prefix,
            avoid: &progress.avoid,
            team: &access.team,
            weight,
            priority: model.priority,
            deadline: progress.arrived + model.deadline_ms,
        };
        let caller_gone = async {
            self.answer.abandoned().await;
            Err(Refusal::bad_request(
                "route",
                "caller_gone",
                "the caller went away before the request was sent",
            ))
        };
        let (choice, slot) =
            smol::future::or(slot::acquire(node, &self.admitted, &self.model_request, &request), caller_gone)
                .await?;
        let reason = choice.reason.name();
        let runner_up = choice.runner_up.as_deref().unwrap_or("none");
        node.metrics.decisions.with_label_values(&[reason]).inc();
        log::info!(
            "route: request={} team={} model={} chosen={} reason={reason} candidates={} runner-up={runner_up} bundle={}",
            self.admitted.id,
            access.team,
            self.model_request.model,
            choice.upstream,
            choice.candidates,
            self.admitted.bundle.sequence
        );
        let text = format!(
            "chose {} ({reason}, {} candidates, runner-up {runner_up})",
            choice.upstream, choice.candidates
        );
        node.record_step(&self.admitted.id, text);
        Ok((choice, slot))
    }
}
