//! Claims at the platform for requests that must not be repeated (I3).
//!
//! A claim is a row that is inserted before the request is dispatched. If the answer to the insertion is
//! lost, the row is read back; it holds the request's id, by which a router recognises its own claim.

use crate::clock::Clock;
use crate::forward;
use crate::front::AdmittedRequest;
use crate::node::Node;
use crate::ports::Ports;
use crate::refusal::{Execution, Refusal};
use crate::settings::millis;
use crate::shared_answer::SharedAnswer;
use crate::sync::identity_key;
use budget::claim::{Answer, Claim, ClaimDecision, ClaimState, decide};
use http::request::Parts;
use http::{Response, StatusCode};
use hyper::body::Bytes;
use net::{Body, exec};
use std::sync::Arc;
use store::{Row, Table, Tx, TxOutcome};

/// The time after which a request is refused if its claim can't be inserted, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// The pause between attempts, in milliseconds.
const RETRY_PAUSE_MS: u64 = 25;
/// The number of attempts to record the answer to a completed request.
const RECORD_ATTEMPTS: u32 = 40;

/// The result of claiming a request.
#[derive(Clone, Debug, Eq, PartialEq)]
enum ClaimResult {
    /// The claim was granted; this router must dispatch the request.
    Granted,
    /// An earlier run has completed with this answer.
    Answered(Answer),
    /// The request is or was run under this claim.
    HeldBy(Claim),
}

/// Claims a request, or finds the existing claim.
async fn claim<W: Ports>(
    node: &Node<W>,
    budget: &str,
    key: &str,
    request: &str,
) -> Result<ClaimResult, Refusal> {
    let row_key = identity_key("claim", budget, key);
    let claim =
        Claim { holder: node.holder.clone(), request: request.to_owned(), state: ClaimState::Claimed };
    let deadline = node.clock.now() + CLAIM_TIMEOUT_MS;
    let mut reason = String::new();
    // Until the claim is known to be absent, an earlier attempt with this key may have run elsewhere (I4).
    let mut execution = Execution::Unknown;
    while node.clock.now() < deadline {
        match read(node, &row_key).await {
            Ok(row) => {
                let read: Option<Claim> = row.as_ref().and_then(|row| row.decode().ok());
                match decide(read.as_ref(), &node.holder, request) {
                    ClaimDecision::Dispatch => return Ok(ClaimResult::Granted),
                    ClaimDecision::Replay(answer) => return Ok(ClaimResult::Answered(answer)),
                    ClaimDecision::Attach(claim) => return Ok(ClaimResult::HeldBy(claim)),
                    ClaimDecision::Insert => execution = Execution::NotRun,
                }
                let tx = Tx::default().require_absent(&row_key).put(&row_key, &claim);
                match node.platform.commit(&tx).await {
                    Ok(TxOutcome::Applied) => {
                        node.count_platform_call("claim", "applied");
                        return Ok(ClaimResult::Granted);
                    }
                    Ok(TxOutcome::Conflict) => continue,
                    Err(error) => reason = error.to_string(),
                }
            }
            Err(error) => reason = error.to_string(),
        }
        node.count_platform_call("claim", "failed");
        exec::sleep(millis(RETRY_PAUSE_MS)).await;
    }
    let message = format!(
        "this request may run only once and its claim could not be recorded ({reason}); ask again with the same key"
    );
    Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable", "claim", message)
        .execution(execution)
        .retry_after(CLAIM_TIMEOUT_MS))
}

async fn read<W: Ports>(node: &Node<W>, key: &str) -> Result<Option<Row>, store::Error> {
    let rows = node.platform.read(&[key.to_owned()]).await?;
    Ok(rows.into_iter().next().flatten())
}

/// Records the answer to a claimed request, so that it can be replayed and the request is never run again.
async fn record_answer<W: Ports>(node: &Node<W>, budget: &str, key: &str, request: &str, answer: Answer) {
    let row_key = identity_key("claim", budget, key);
    let claim =
        Claim { holder: node.holder.clone(), request: request.to_owned(), state: ClaimState::Done(answer) };
    for attempt in 0..RECORD_ATTEMPTS {
        if let Ok(row) = read(node, &row_key).await {
            let known: Option<Claim> = row.as_ref().and_then(|row| row.decode().ok());
            if known.is_some_and(|known| matches!(known.state, ClaimState::Done(_))) {
                return;
            }
            let tx = Tx::default().require_unchanged(&row_key, row.as_ref()).put(&row_key, &claim);
            if matches!(node.platform.commit(&tx).await, Ok(TxOutcome::Applied)) {
                return;
            }
        }
        exec::sleep(millis(RETRY_PAUSE_MS << attempt.min(6))).await;
    }
    log::warn!(
        "claim: request={request} the answer could not be recorded; a retry at another router gets outcome unknown"
    );
}

/// How to answer a request that may run only once.
pub(crate) enum ClaimOutcome {
    /// Run the request under the claim of this request id.
    Run(String),
    /// Replay the recorded answer.
    Replay(Answer),
    /// Relay the answer of the router that runs the request.
    Relayed(Response<Body>),
}

/// Claims a request with an idempotency key that may run only once, or finds its answer.
pub(crate) async fn claim_or_find<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    head: &Parts,
    body: &Bytes,
) -> Result<ClaimOutcome, Refusal> {
    let key = admitted.key.as_deref().unwrap_or_default();
    match claim(node, &admitted.access.budget, key, &admitted.id).await? {
        ClaimResult::Granted => Ok(ClaimOutcome::Run(admitted.id.clone())),
        ClaimResult::Answered(answer) => Ok(ClaimOutcome::Replay(answer)),
        // This router holds the claim from an earlier request. The request can run under it if the earlier
        // one certainly was never dispatched.
        ClaimResult::HeldBy(claim) if claim.holder == node.holder => {
            match node
                .undispatched_claims
                .lock()
                .expect("no thread panics while it holds the lock")
                .remove(&claim.request)
            {
                true => Ok(ClaimOutcome::Run(claim.request)),
                false => Err(unknown_outcome(&claim.holder)),
            }
        }
        ClaimResult::HeldBy(claim) => {
            let answer = match admitted.forwarded {
                true => None,
                false => forward::forward_request(node, &claim.holder, head, body).await,
            };
            answer.map(ClaimOutcome::Relayed).ok_or_else(|| unknown_outcome(&claim.holder))
        }
    }
}

/// Records the outcome of a claimed request.
pub(crate) async fn record_outcome<W: Ports>(
    node: &Node<W>,
    admitted: &AdmittedRequest,
    claim: String,
    result: &Result<(), Refusal>,
    shared: &SharedAnswer,
) {
    let not_run = matches!(result, Err(refusal) if refusal.execution == Execution::NotRun);
    if not_run {
        node.undispatched_claims.lock().expect("no thread panics while it holds the lock").insert(claim);
        return;
    }
    if let (Some((head, body)), Some(key)) = (shared.complete(), &admitted.key) {
        let answer = Answer {
            status: head.status.as_u16(),
            media: head.media,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        record_answer(node, &admitted.access.budget, key, &claim, answer).await;
    }
}

/// The refusal of a request whose only run is at a router that can't be reached.
fn unknown_outcome(holder: &str) -> Refusal {
    let message = format!(
        "this request may run only once; {holder} took it and can't be reached, so whether it ran is not known"
    );
    Refusal::not_run(StatusCode::CONFLICT, "outcome_unknown", "claim", message).execution(Execution::Unknown)
}
