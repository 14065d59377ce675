//! Answers that say no: a stable code, the step, and whether the request was executed.

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use net::Body;
use serde_json::json;

/// Whether a refused request was executed on an upstream; of several attempts the greatest counts.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Execution {
    /// It certainly was not, and will not be.
    #[default]
    NotRun,
    /// It may have been.
    Unknown,
    /// It was, at least in part.
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

/// Why a request gets no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{step}: {code}: {message}")]
pub(crate) struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// The stable code.
    pub code: &'static str,
    /// The step at which the request ended.
    pub step: &'static str,
    /// Whether it was executed.
    pub execution: Execution,
    /// What happened and what to do.
    pub message: String,
    /// When asking again may help, in milliseconds.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// A request that was certainly not executed.
    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        step: &'static str,
        message: String,
    ) -> Refusal {
        Refusal { status, code, step, execution: Execution::NotRun, message, retry_ms: None }
    }

    /// A request that can't be understood.
    pub(crate) fn bad_request(step: &'static str, code: &'static str, message: impl Into<String>) -> Refusal {
        Refusal::not_run(StatusCode::BAD_REQUEST, code, step, message.into())
    }

    /// Says when asking again may help.
    #[must_use]
    pub(crate) fn retry_after(mut self, millis: u64) -> Refusal {
        self.retry_ms = Some(millis);
        self
    }

    /// Changes the verdict on execution.
    #[must_use]
    pub(crate) fn execution(mut self, execution: Execution) -> Refusal {
        self.execution = execution;
        self
    }

    /// Takes an earlier attempt into the verdict on execution.
    #[must_use]
    pub(crate) fn at_least(mut self, earlier: Execution) -> Refusal {
        self.execution = self.execution.max(earlier);
        self
    }

    /// The body, shaped as OpenAI's errors are.
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

    /// The whole answer.
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
