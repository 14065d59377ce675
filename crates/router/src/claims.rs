//! Claims at the platform for requests that must not be repeated (I3).
//!
//! Inserts that come close together share one transaction. A lost answer is resolved by reading the row
//! back; it names the request, so a router recognises its own claim.

use crate::clock::Clock;
use crate::flight::Flight;
use crate::forward;
use crate::front::Entry;
use crate::node::Node;
use crate::ports::Ports;
use crate::refusal::{Execution, Refusal};
use crate::settings::millis;
use crate::sync::identity_key;
use budget::claim::{Answer, Claim, ClaimDecision, ClaimState, decide};
use http::request::Parts;
use http::{Response, StatusCode};
use hyper::body::Bytes;
use net::{Body, exec};
use std::sync::Arc;
use store::{Row, Table, Tx, TxOutcome};

/// How long a claim is tried before the request is refused, in milliseconds.
const CLAIM_MS: u64 = 2_000;
/// The pause between attempts, in milliseconds.
const PAUSE_MS: u64 = 25;
/// Attempts to record the answer of a finished request.
const RECORD_ATTEMPTS: u32 = 40;

/// What became of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Claimed {
    /// The request is this router's to dispatch.
    Ours,
    /// It ended before; this was the answer.
    Before(Answer),
    /// It is or was run under this claim.
    By(Claim),
}

/// Claims a request, or finds who did.
async fn claim<W: Ports>(node: &Node<W>, budget: &str, key: &str, request: &str) -> Result<Claimed, Refusal> {
    let row_key = identity_key("claim", budget, key);
    let claim =
        Claim { holder: node.holder.clone(), request: request.to_owned(), state: ClaimState::Claimed };
    let deadline = node.clock.now() + CLAIM_MS;
    let mut reason = String::new();
    // Until the claim is known to be absent, an earlier attempt under this key may have run elsewhere (I4).
    let mut execution = Execution::Unknown;
    while node.clock.now() < deadline {
        match read(node, &row_key).await {
            Ok(row) => {
                let read: Option<Claim> = row.as_ref().and_then(|row| row.decode().ok());
                match decide(read.as_ref(), &node.holder, request) {
                    ClaimDecision::Dispatch => return Ok(Claimed::Ours),
                    ClaimDecision::Replay(answer) => return Ok(Claimed::Before(answer)),
                    ClaimDecision::Attach(claim) => return Ok(Claimed::By(claim)),
                    ClaimDecision::Insert => execution = Execution::NotRun,
                }
                let tx = Tx::default().require_absent(&row_key).put(&row_key, &claim);
                match node.platform.commit(&tx).await {
                    Ok(TxOutcome::Applied) => {
                        node.count_platform("claim", "applied");
                        return Ok(Claimed::Ours);
                    }
                    Ok(TxOutcome::Conflict) => continue,
                    Err(error) => reason = error.to_string(),
                }
            }
            Err(error) => reason = error.to_string(),
        }
        node.count_platform("claim", "failed");
        exec::sleep(millis(PAUSE_MS)).await;
    }
    let message = format!(
        "this request may run only once and its claim could not be recorded ({reason}); ask again with the same key"
    );
    Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable", "claim", message)
        .execution(execution)
        .retry_after(CLAIM_MS))
}

async fn read<W: Ports>(node: &Node<W>, key: &str) -> Result<Option<Row>, store::Error> {
    let rows = node.platform.read(&[key.to_owned()]).await?;
    Ok(rows.into_iter().next().flatten())
}

/// Records the answer of a claimed request, so that it is given again and never run again.
async fn finish<W: Ports>(node: &Node<W>, budget: &str, key: &str, request: &str, answer: Answer) {
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
        exec::sleep(millis(PAUSE_MS << attempt.min(6))).await;
    }
    log::warn!("claim: request={request} the answer could not be recorded; a retry elsewhere learns unknown");
}

/// What to do with a request that may run only once.
pub(crate) enum Gate {
    /// Run it under this claim.
    Run(String),
    /// Give its recorded answer.
    Replay(Answer),
    /// Give the answer of the router that runs it.
    Passed(Response<Body>),
}

/// Claims a keyed request that may run only once, or finds its one answer.
pub(crate) async fn gate<W: Ports>(
    node: &Arc<Node<W>>,
    entry: &Entry,
    head: &Parts,
    body: &Bytes,
) -> Result<Gate, Refusal> {
    let key = entry.key.as_deref().unwrap_or_default();
    match claim(node, &entry.access.budget, key, &entry.id).await? {
        Claimed::Ours => Ok(Gate::Run(entry.id.clone())),
        Claimed::Before(answer) => Ok(Gate::Replay(answer)),
        // This router took the claim for an earlier request that it certainly never dispatched.
        Claimed::By(claim) if claim.holder == node.holder => {
            match node.undispatched.lock().expect("the claims' lock").remove(&claim.request) {
                true => Ok(Gate::Run(claim.request)),
                false => Err(unknown(&claim.holder)),
            }
        }
        Claimed::By(claim) => {
            let answer = match entry.forwarded {
                true => None,
                false => forward::pass_on(node, &claim.holder, head, body).await,
            };
            answer.map(Gate::Passed).ok_or_else(|| unknown(&claim.holder))
        }
    }
}

/// Notes how a claimed request ended.
pub(crate) async fn close<W: Ports>(
    node: &Node<W>,
    entry: &Entry,
    claim: String,
    result: &Result<(), Refusal>,
    flight: &Flight,
) {
    let not_run = matches!(result, Err(refusal) if refusal.execution == Execution::NotRun);
    if not_run {
        node.undispatched.lock().expect("the claims' lock").insert(claim);
        return;
    }
    if let (Some((head, body)), Some(key)) = (flight.whole(), &entry.key) {
        let answer = Answer {
            status: head.status.as_u16(),
            media: head.media,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        finish(node, &entry.access.budget, key, &claim, answer).await;
    }
}

/// The refusal of a request whose only run is out of reach.
fn unknown(holder: &str) -> Refusal {
    let message = format!(
        "this request may run only once; {holder} took it and can't be reached, so whether it ran is not known"
    );
    Refusal::not_run(StatusCode::CONFLICT, "outcome_unknown", "claim", message).execution(Execution::Unknown)
}
