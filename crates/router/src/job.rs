//! One request to a model, from its claim and reservation to its charge.
//!
//! Each step returns what to do next. A request that may be repeated is tried elsewhere when its run is
//! certainly not started or certainly stopped; one that may not is tried elsewhere only when the engine says
//! that it never saw the run and never will (I3, I4).

use crate::ask::Ask;
use crate::attempt::{Next, Tries};
use crate::claims::{self, Gate};
use crate::clock::Clock;
use crate::flight::Flight;
use crate::front::Entry;
use crate::node::Node;
use crate::ports::Ports;
use crate::refusal::Refusal;
use crate::reserve::reserve;
use crate::slot::{self, Slot};
use bundle::Model;
use http::StatusCode;
use http::request::Parts;
use hyper::body::Bytes;
use route::{Choice, Want};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Attempts at most, however many retries were earned.
const ATTEMPTS: u32 = 4;
/// When a caller should come back after an upstream failed, in milliseconds.
pub(crate) const FAILED_RETRY_MS: u64 = 1_000;

/// One request to a model.
pub(crate) struct Job<W: Ports> {
    pub node: Arc<Node<W>>,
    pub entry: Entry,
    pub path: String,
    pub ask: Ask,
    pub flight: Arc<Flight>,
    pub head: Parts,
    pub body: Bytes,
}

/// How an attempt leaves its request.
enum Step {
    /// It is answered.
    Done,
    /// It is to be tried elsewhere.
    Again(String),
}

/// Serves a request and ends its flight.
pub(crate) async fn run<W: Ports>(job: Job<W>) {
    let result = job.serve().await;
    let node = &job.node;
    finish(node, &job.entry, &job.flight, &result);
}

/// Ends a request's flight and record. A request that was refused may be asked again with its key.
pub(crate) fn finish<W: Ports>(node: &Node<W>, entry: &Entry, flight: &Flight, result: &Result<(), Refusal>) {
    let outcome = match result {
        Ok(()) => "complete",
        Err(refusal) => refusal.code,
    };
    if let Err(refusal) = result {
        node.metrics.refusals.with_label_values(&[refusal.code]).inc();
        log::info!("caller: request={} refused: {refusal} ({})", entry.id, refusal.execution.name());
        flight.refuse(refusal, &entry.id);
        if let Some(key) = entry.flight_key() {
            node.flights.forget(&key);
        }
    }
    node.metrics.answers.with_label_values(&[outcome]).inc();
    node.records.note(&entry.id, |record| record.outcome = Some(outcome.to_owned()));
    log::info!("caller: request={} ended: {outcome}", entry.id);
    node.open.fetch_sub(1, Ordering::Relaxed);
}

impl<W: Ports> Job<W> {
    fn model(&self) -> Result<&Model, Refusal> {
        self.entry.bundle.content.models.get(&self.ask.model).ok_or_else(|| {
            Refusal::bad("parse", "model_not_found", "the model is not in the bundle in force")
        })
    }

    async fn serve(&self) -> Result<(), Refusal> {
        let model = self.model()?;
        if model.repeatable || self.entry.key.is_none() {
            return self.run_claimed(model).await;
        }
        match Box::pin(claims::gate(&self.node, &self.entry, &self.head, &self.body)).await? {
            Gate::Run(claim) => {
                let result = self.run_claimed(model).await;
                Box::pin(claims::close(&self.node, &self.entry, claim, &result, &self.flight)).await;
                result
            }
            Gate::Replay(answer) => {
                self.node.note(&self.entry.id, "its recorded answer is given again");
                self.flight.replay(&answer);
                Ok(())
            }
            Gate::Passed(answer) => {
                self.node.note(&self.entry.id, "passed on to the router that runs it");
                Box::pin(self.flight.copy_from(answer)).await;
                Ok(())
            }
        }
    }

    async fn run_claimed(&self, model: &Model) -> Result<(), Refusal> {
        let node = &self.node;
        let budget = &self.entry.access.budget;
        Box::pin(reserve(node, budget, self.ask.worst)).await?;
        node.note(&self.entry.id, format!("reserved {} tokens of {budget}", self.ask.worst));
        let mut tries = Tries { arrived: node.clock.now(), ..Tries::default() };
        loop {
            match self.try_once(model, &mut tries).await {
                Ok(Step::Done) => return Ok(()),
                Ok(Step::Again(why)) => {
                    node.metrics.retries.inc();
                    node.note(&self.entry.id, format!("tries elsewhere: {why}"));
                }
                // What an earlier attempt did stays true whatever the last one says (I4).
                Err(refusal) => return Err(refusal.at_least(tries.execution)),
            }
        }
    }

    /// Chooses an upstream and attempts the run there; the request holds a reservation before and after,
    /// unless it has ended.
    async fn try_once(&self, model: &Model, tries: &mut Tries) -> Result<Step, Refusal> {
        let node = &self.node;
        let budget = &self.entry.access.budget;
        let (choice, slot) = Box::pin(self.choose(model, tries))
            .await
            .inspect_err(|_| node.grants.release(budget, self.ask.worst))?;
        tries.number += 1;
        let next = self.attempt(model, slot, tries).await;
        tries.avoid.push(choice.upstream);
        if tries.avoid.len() >= self.serving() {
            tries.avoid.clear();
        }
        match next {
            Next::Complete => Ok(Step::Done),
            Next::Refuse(refusal) => Err(refusal),
            Next::Elsewhere(why) => {
                self.may_retry(tries.number, &why)
                    .inspect_err(|_| node.grants.release(budget, self.ask.worst))?;
                Ok(Step::Again(why))
            }
            Next::Anew(why, execution) => {
                tries.execution = tries.execution.max(execution);
                self.may_retry(tries.number, &why)?;
                Box::pin(reserve(node, budget, self.ask.worst)).await?;
                Ok(Step::Again(why))
            }
        }
    }

    /// How many upstreams serve the model.
    fn serving(&self) -> usize {
        let upstreams = self.entry.bundle.content.active_upstreams();
        upstreams.filter(|(_, upstream)| upstream.models.contains(&self.ask.model)).count()
    }

    fn may_retry(&self, number: u32, why: &str) -> Result<(), Refusal> {
        if number < ATTEMPTS && self.node.schedule.may_retry() {
            return Ok(());
        }
        let message = format!("upstreams failed and no retry is left: {why}");
        Err(Refusal::not_run(StatusCode::BAD_GATEWAY, "upstream_failed", "dispatch", message)
            .retry_after(FAILED_RETRY_MS))
    }

    async fn choose(&self, model: &Model, tries: &Tries) -> Result<(Choice, Slot), Refusal> {
        let node = &self.node;
        let access = &self.entry.access;
        let weight = self.entry.bundle.content.teams.get(&access.team).map_or(1, |team| team.weight);
        let want = Want {
            model: &self.ask.model,
            prefix: self.ask.prefix,
            avoid: &tries.avoid,
            team: &access.team,
            weight,
            priority: model.priority,
            deadline: tries.arrived + model.deadline_ms,
        };
        let gone = async {
            self.flight.abandoned().await;
            Err(Refusal::bad("route", "caller_gone", "the caller went away before the request was sent"))
        };
        let (choice, slot) =
            smol::future::or(slot::acquire(node, &self.entry, &self.ask, &want), gone).await?;
        let reason = choice.reason.name();
        let runner_up = choice.runner_up.as_deref().unwrap_or("none");
        node.metrics.decisions.with_label_values(&[reason]).inc();
        log::info!(
            "route: request={} team={} model={} chosen={} reason={reason} candidates={} runner-up={runner_up} bundle={}",
            self.entry.id,
            access.team,
            self.ask.model,
            choice.upstream,
            choice.candidates,
            self.entry.bundle.sequence
        );
        let text = format!(
            "chose {} ({reason}, {} candidates, runner-up {runner_up})",
            choice.upstream, choice.candidates
        );
        node.note(&self.entry.id, text);
        Ok((choice, slot))
    }
}
