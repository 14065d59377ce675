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
use crate::shared_answer::{SharedAnswer, key_mismatch};
use crate::sync::identity_key;
use budget::claim::{Answer, Claim, ClaimDecision, ClaimState, decide};
use http::request::Parts;
use http::{Response, StatusCode};
use hyper::body::Bytes;
use net::{Body, exec};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use store::{Row, Table, Tx, TxOutcome};

/// The time after which a request is refused if its claim can't be inserted, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// The pause between attempts, in milliseconds.
const RETRY_PAUSE_MS: u64 = 25;
/// The number of attempts to record the answer to a completed request.
const RECORD_ATTEMPTS: u32 = 40;

/// The claims of this router, by the ids of the requests for which they were made.
#[derive(Debug, Default)]
pub(crate) struct OwnClaims(Mutex<OwnState>);

#[derive(Debug, Default)]
struct OwnState {
    /// The answers of the requests that claim a run, have one, or record its outcome.
    running: HashMap<String, Arc<SharedAnswer>>,
    /// Claims whose requests certainly were not dispatched.
    undispatched: HashSet<String>,
}

/// What this router knows of one of its own claims.
enum OwnClaim {
    /// The request runs, and this will be its answer.
    Running(Arc<SharedAnswer>),
    /// The request was not dispatched, and may be now.
    Undispatched(ClaimedRun),
    /// The run has ended.
    Ended,
}

impl OwnClaims {
    fn lock(&self) -> MutexGuard<'_, OwnState> {
        self.0.lock().expect("no thread panics while it holds the lock")
    }

    /// Registers a request before its claim is inserted, so that a claim in the table is never unknown here.
    fn register(self: &Arc<Self>, request: &str, answer: &Arc<SharedAnswer>) -> ClaimedRun {
        self.lock().running.insert(request.to_owned(), answer.clone());
        ClaimedRun { claims: self.clone(), request: request.to_owned() }
    }

    /// Looks up a claim. If it is free, it is registered for `answer`.
    fn find(self: &Arc<Self>, request: &str, answer: &Arc<SharedAnswer>) -> OwnClaim {
        let mut state = self.lock();
        if let Some(running) = state.running.get(request) {
            return OwnClaim::Running(running.clone());
        }
        if !state.undispatched.remove(request) {
            return OwnClaim::Ended;
        }
        state.running.insert(request.to_owned(), answer.clone());
        OwnClaim::Undispatched(ClaimedRun { claims: self.clone(), request: request.to_owned() })
    }
}

/// A run under a claim of this router. Other requests with its key are answered by it until it is dropped.
pub(crate) struct ClaimedRun {
    claims: Arc<OwnClaims>,
    /// The id of the request for which the claim was made.
    request: String,
}

impl ClaimedRun {
    /// Records that the request certainly was not dispatched.
    fn release(self) {
        self.claims.lock().undispatched.insert(self.request.clone());
    }
}

impl Drop for ClaimedRun {
    fn drop(&mut self) {
        self.claims.lock().running.remove(&self.request);
    }
}

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
    /// Run the request under this claim.
    Run(ClaimedRun),
    /// Replay the recorded answer.
    Replay(Answer),
    /// Relay the answer of the run under an earlier claim, here or at another router.
    Relayed(Response<Body>),
}

/// Claims a request with an idempotency key that may run only once, or finds its answer.
pub(crate) async fn claim_or_find<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    shared: &Arc<SharedAnswer>,
    head: &Parts,
    body: &Bytes,
) -> Result<ClaimOutcome, Refusal> {
    let (budget, key) = (&admitted.access.budget, admitted.key.as_deref().unwrap_or_default());
    let run = node.own_claims.register(&admitted.id, shared);
    match claim(node, budget, key, &admitted.id).await? {
        ClaimResult::Granted => Ok(ClaimOutcome::Run(run)),
        ClaimResult::Answered(answer) => Ok(ClaimOutcome::Replay(answer)),
        ClaimResult::HeldBy(claim) if claim.holder == node.holder => {
            find_own(node, admitted, shared, &claim).await
        }
        // The holder answers from its own run, and forwards nothing that was forwarded, so this ends there.
        ClaimResult::HeldBy(claim) => {
            let answer = forward::forward_request(node, &claim.holder, head, body).await;
            answer.map(ClaimOutcome::Relayed).ok_or_else(|| unknown_outcome(&claim.holder))
        }
    }
}

/// Answers a request whose key another request of this router has claimed.
async fn find_own<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    shared: &Arc<SharedAnswer>,
    claim: &Claim,
) -> Result<ClaimOutcome, Refusal> {
    match node.own_claims.find(&claim.request, shared) {
        OwnClaim::Running(answer) if answer.body == shared.body => {
            Ok(ClaimOutcome::Relayed(answer.follow().await))
        }
        OwnClaim::Running(_) => Err(key_mismatch()),
        OwnClaim::Undispatched(run) => Ok(ClaimOutcome::Run(run)),
        // The run may have ended after its claim was read.
        OwnClaim::Ended => {
            let key = admitted.key.as_deref().unwrap_or_default();
            let row = read(node, &identity_key("claim", &admitted.access.budget, key)).await;
            let read: Option<Claim> = row.ok().flatten().and_then(|row| row.decode().ok());
            match read.map(|claim| claim.state) {
                Some(ClaimState::Done(answer)) => Ok(ClaimOutcome::Replay(answer)),
                _ => Err(unknown_outcome(&claim.holder)),
            }
        }
    }
}

/// Answers a request with the answer of another run. The copy may end early or be a refusal, so later requests with the
/// key look for that run again.
pub(crate) async fn relay_run<W: Ports>(
    node: &Node<W>,
    admitted: &AdmittedRequest,
    shared: &SharedAnswer,
    answer: Response<Body>,
) {
    shared.copy_from(answer).await;
    if let Some(key) = admitted.answer_key() {
        node.shared_answers.remove(&key);
    }
}

/// Records the outcome of a claimed request.
pub(crate) async fn record_outcome<W: Ports>(
    node: &Node<W>,
    admitted: &AdmittedRequest,
    run: ClaimedRun,
    result: &Result<(), Refusal>,
    shared: &SharedAnswer,
) {
    let not_run = matches!(result, Err(refusal) if refusal.execution == Execution::NotRun);
    if not_run {
        return run.release();
    }
    if let (Some((head, body)), Some(key)) = (shared.complete(), &admitted.key) {
        let answer = Answer {
            status: head.status.as_u16(),
            media: head.media,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        record_answer(node, &admitted.access.budget, key, &run.request, answer).await;
    }
}

/// The refusal of a request whose only run is at a router that can't be reached.
fn unknown_outcome(holder: &str) -> Refusal {
    let message = format!(
        "this request may run only once; {holder} took it and can't be reached, so whether it ran is not known"
    );
    Refusal::not_run(StatusCode::CONFLICT, "outcome_unknown", "claim", message).execution(Execution::Unknown)
}
