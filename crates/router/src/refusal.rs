//! Refusals: error answers with a stable code, the step that failed, and whether the request was executed.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use net::Body;
use serde_json::json;

/// Whether a refused request was executed on an upstream. Of several attempts, the greatest value counts.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Execution {
    /// The request certainly was not executed and will not be.
    #[default]
    NotRun,
    /// The request may have been executed.
    Unknown,
    /// The request was executed, at least in part.
    Ran,
}

impl Execution {
    pub(crate) fn from_name(name: &str) -> Option<Execution> {
        [Execution::NotRun, Execution::Unknown, Execution::Ran].into_iter().find(|one| one.name() == name)
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Execution::NotRun => "not-run",
            Execution::Ran => "ran",
            Execution::Unknown => "unknown",
        }
    }
}

/// The reason why a request is refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{step}: {code}: {message}")]
pub(crate) struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// The stable code.
    pub code: &'static str,
    /// The step that refused the request.
    pub step: &'static str,
    /// Whether the request was executed.
    pub execution: Execution,
    /// The cause and the remedy, for the caller.
    pub message: String,
    /// The time after which a retry may succeed, in milliseconds.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that was certainly not executed.
    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        step: &'static str,
        message: String,
    ) -> Refusal {
        Refusal { status, code, step, execution: Execution::NotRun, message, retry_ms: None }
    }

    /// Creates the refusal of an invalid request.
    pub(crate) fn bad_request(step: &'static str, code: &'static str, message: impl Into<String>) -> Refusal {
        Refusal::not_run(StatusCode::BAD_REQUEST, code, step, message.into())
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub(crate) fn retry_after(mut self, millis: u64) -> Refusal {
        self.retry_ms = Some(millis);
        self
    }

    /// Sets whether the request was executed.
    #[must_use]
    pub(crate) fn execution(mut self, execution: Execution) -> Refusal {
        self.execution = execution;
        self
    }

    /// Raises the execution to at least that of an earlier attempt.
    #[must_use]
    pub(crate) fn at_least(mut self, earlier: Execution) -> Refusal {
        self.execution = self.execution.max(earlier);
        self
    }

    /// Returns the body, in the format of OpenAI's errors.
    pub(crate) fn json(&self, request: &str) -> String {
        json!({"error": {
            "message": self.message,
            "type": error_type(self.status),
            "param": null,
            "code": self.code,
            "step": self.step,
            "execution": self.execution.name(),
            "request_id": request,
        }})
        .to_string()
    }

    /// Returns the whole response.
    pub(crate) fn response(&self, request: &str) -> Response<Body> {
        let mut response = Response::new(Body::from(self.json(request)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-execution", HeaderValue::from_static(self.execution.name()));
        if let Some(millis) = self.retry_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000).max(1)));
        }
        response
    }
}

fn error_type(status: StatusCode) -> &'static str {
    match status.as_u16() {
        401 | 403 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
