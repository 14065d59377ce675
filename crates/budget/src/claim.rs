//! At most one dispatch of a request that must not be repeated (I3).
//!
//! Before such a request with an idempotency key is dispatched, its router inserts a claim row that no
//! other router ever takes over. A paused router that wakes finds its own claim as it left it, so no time
//! limit is part of the argument.

use serde::{Deserialize, Serialize};

/// The row that binds a request identity to its only run.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Claim {
    /// The router, with its incarnation.
    pub holder: String,
    /// The request for which it was made.
    pub request: String,
    /// How far it came.
    pub state: State,
}

/// How far the only run of a claimed request came.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum State {
    /// It may have been dispatched.
    Claimed,
    /// It ended; the answer can be given again.
    Done(Answer),
}

/// An answer as it was given.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub media: String,
    /// The body.
    pub body: String,
}

/// What a router does with a claimed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Insert the claim on condition that none is there, then decide again on what is read.
    Insert,
    /// Dispatch: the claim is this request's own.
    Dispatch,
    /// Give the recorded answer.
    Replay(Answer),
    /// Ask the claim's holder for the run in progress; if it is gone, the outcome is unknown.
    Attach(Claim),
}

/// Decides by the claim row as it was read.
pub fn decide(read: Option<&Claim>, holder: &str, request: &str) -> Next {
    match read {
        None => Next::Insert,
        Some(claim) => match &claim.state {
            State::Done(answer) => Next::Replay(answer.clone()),
            State::Claimed if claim.holder == holder && claim.request == request => Next::Dispatch,
            State::Claimed => Next::Attach(claim.clone()),
        },
    }
}
