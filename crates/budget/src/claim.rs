//! At most one dispatch of a request that must not be repeated (I3).
//!
//! Before such a request with an idempotency key is dispatched, its router inserts a claim row, which no
//! other router ever takes over. A router that resumes after a pause finds its claim unchanged, so the
//! guarantee does not depend on a time limit.

use serde::{Deserialize, Serialize};

/// The row that ties a request identity to its only run.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Claim {
    /// The router that made the claim, with its incarnation.
    pub holder: String,
    /// The identifier of the request for which it was made.
    pub request: String,
    /// The progress of the run.
    pub state: ClaimState,
}

/// The progress of the only run of a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum ClaimState {
    /// The request may have been dispatched.
    Claimed,
    /// The run ended, and its answer can be repeated.
    Done(Answer),
}

/// A recorded answer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub media: String,
    /// The response body.
    pub body: String,
}

/// The next step of a router for a request that needs a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// Insert the claim on condition that none exists, then read the row and decide again.
    Insert,
    /// Dispatch the request: the claim belongs to it.
    Dispatch,
    /// Return the recorded answer.
    Replay(Answer),
    /// Ask the claim's holder for the run in progress. If the holder is gone, the outcome is unknown.
    Attach(Claim),
}

/// Decides on the next step from the claim row that was read, if one exists.
pub fn decide(read: Option<&Claim>, holder: &str, request: &str) -> ClaimDecision {
    match read {
        None => ClaimDecision::Insert,
        Some(claim) => match &claim.state {
            ClaimState::Done(answer) => ClaimDecision::Replay(answer.clone()),
            ClaimState::Claimed if claim.holder == holder && claim.request == request => {
                ClaimDecision::Dispatch
            }
            ClaimState::Claimed => ClaimDecision::Attach(claim.clone()),
        },
    }
}
