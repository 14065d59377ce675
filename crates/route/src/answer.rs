//! What the head of an upstream's answer proves about the request for which it came.
//!
//! Bytes that belong to no request may arrive in the place of an answer: an extra answer, or one that is late. So an
//! answer counts only if it names its request, and nothing but the upstream's own word proves that the request did not
//! run: a status that callers take for a promise does not.

/// The request that an answer names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The request for which it came.
    Request,
    /// Another one, or several.
    Other,
    /// None.
    Nobody,
}

/// What a status tells a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The request was served.
    Success,
    /// The request did not run and never will.
    Promise,
    /// Neither.
    Other,
}

/// What the head of an answer claims.
#[derive(Clone, Copy, Debug)]
pub struct Claims {
    /// The request that it names.
    pub subject: Subject,
    /// What its status tells the caller.
    pub status: Status,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether the address belongs to another upstream than the one that the request was sent to.
    pub other_upstream: bool,
    /// Whether an upstream signed the answer.
    pub signed: bool,
}

/// What an answer to a request says about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is the answer to the request.
    Due,
    /// The upstream did not run the request.
    NotRun,
    /// The address belongs to another upstream, which did not run the request.
    WrongUpstream,
    /// The request ran, and callers would take the status for a promise that it did not.
    FalsePromise,
}

/// Why what came is no answer to the request, which may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Mismatch {
    /// It names no request.
    #[error("it names no request")]
    Unnamed,
    /// It names another request, or several.
    #[error("it names another request")]
    OtherRequest,
    /// It is a success that no upstream signed.
    #[error("it is a success that no upstream signed")]
    Unsigned,
    /// It is a success, and says that the request did not run.
    #[error("it is a success and says that the request did not run")]
    Contradictory,
}

impl Claims {
    /// Decides what the answer says about its request.
    ///
    /// # Errors
    /// Returns the reason if it is no answer to the request.
    pub fn verdict(&self) -> Result<Verdict, Mismatch> {
        match (self.subject, self.status) {
            (Subject::Nobody, _) => Err(Mismatch::Unnamed),
            (Subject::Other, _) => Err(Mismatch::OtherRequest),
            (Subject::Request, Status::Success) if self.not_run => Err(Mismatch::Contradictory),
            (Subject::Request, Status::Success) if !self.signed => Err(Mismatch::Unsigned),
            (Subject::Request, _) if self.other_upstream => Ok(Verdict::WrongUpstream),
            (Subject::Request, _) if self.not_run => Ok(Verdict::NotRun),
            (Subject::Request, Status::Promise) => Ok(Verdict::FalsePromise),
            (Subject::Request, Status::Success | Status::Other) => Ok(Verdict::Due),
        }
    }
}

impl Verdict {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Due => "due",
            Verdict::NotRun => "not-run",
            Verdict::WrongUpstream => "wrong-upstream",
            Verdict::FalsePromise => "false-promise",
        }
    }
}

impl Mismatch {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Mismatch::Unnamed => "unnamed",
            Mismatch::OtherRequest => "other-request",
            Mismatch::Unsigned => "unsigned",
            Mismatch::Contradictory => "contradictory",
        }
    }
}
