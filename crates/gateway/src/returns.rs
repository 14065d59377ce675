//! Tells the callers of refused requests when to return, so that they don't all return at once. The decisions
//! are in [`route::returns`].

use crate::job::Job;
use crate::node::Node;
use crate::ports::Wire;
use crate::refusal::{Refusal, set_retry_after};
use http::Response;
use route::Millis;
use route::returns::{Cause, Group, Refused};
use store::rows::Rows;

/// Callers wait for a retry for at most this part of the time that they have left.
const HONOURED_PART: Millis = 3;

/// The caller of a refused request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller<'a> {
    pub team: Option<&'a str>,
    pub service: &'a str,
    /// When the request arrived.
    pub arrived: Millis,
    /// How long the caller waits for the answer, in milliseconds.
    pub wait_ms: Millis,
}

impl Caller<'_> {
    /// The requests that compete with this one for what a refusal lacks.
    fn group(&self, cause: Cause) -> Group<'_> {
        match (cause, self.team) {
            (Cause::BudgetUnavailable | Cause::BudgetHeldElsewhere, Some(team)) => Group::Team(team),
            _ => Group::Service(self.service),
        }
    }
}

/// The time after which the caller is asked to return, in milliseconds; 0 if returning does not help.
pub(crate) fn retry_after_ms<W: Wire, S: Rows>(
    node: &Node<W, S>,
    refusal: Refusal,
    caller: &Caller<'_>,
) -> Millis {
    let expected_ms = refusal.retry_ms().unwrap_or(0);
    let Some(cause) = refusal.cause() else { return expected_ms };
    let now = node.now();
    let left_ms = caller.wait_ms.saturating_sub(now.saturating_sub(caller.arrived));
    let refused = Refused {
        cause,
        group: caller.group(cause),
        expected_ms,
        honoured_ms: left_ms / HONOURED_PART,
        gateways: node.fleet_size(),
    };
    let random = rand::random();
    let ms = match node.returns().retry_after_ms(&refused, now, random) {
        // The caller gets no place in the queue. The end of a back-off is known exactly, so the callers are
        // spread a little around it.
        ms if ms == expected_ms && cause == Cause::UpstreamsUnavailable => route::retry_after_ms(ms, random),
        ms => ms,
    };
    node.metrics.retry_after.with_label_values(&[refusal.name()]).observe(ms as f64 / 1_000.0);
    ms
}

/// Records that the answer comes from an upstream, or sets the time after which the caller is asked to return.
pub(crate) fn finish<W: Wire, S: Rows, B>(job: &Job<W, S>, reply: &mut Response<B>) {
    let request = &job.request;
    let Some(refusal) = reply.extensions().get::<Refusal>().copied() else {
        job.node.returns().record_admitted(Group::Service(&request.service), job.node.now());
        return;
    };
    if refusal.cause().is_none() {
        return;
    }
    let caller = Caller {
        team: request.team.as_ref().map(|team| team.name.as_str()),
        service: &request.service,
        arrived: request.arrived,
        wait_ms: request.ask.wait_ms.unwrap_or(request.route.timeout_ms),
    };
    set_retry_after(reply.headers_mut(), retry_after_ms(&job.node, refusal, &caller));
}
