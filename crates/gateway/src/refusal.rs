//! Answers of the router's own.

use crate::body::WholeBody;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use hyper::body::Bytes;
use route::quarantine::GATHER_MS;

/// Why the router answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The request is not well-formed.
    Malformed,
    /// No route takes it.
    NoRoute,
    /// It has no known access key.
    NoAccessKey,
    /// Its body is too long.
    BodyTooLarge,
    /// The caller broke its body off.
    BodyIncomplete,
    /// Whether it ends upstreams is being decided on.
    QuarantinePending,
    /// Upstreams ended while they ran it, so it is not run again.
    Quarantined,
    /// The budget can't hold it at its most.
    BudgetExhausted,
    /// Tokens are left, but none can be had now; when that may change, in milliseconds.
    BudgetUnavailable(u64),
    /// Other routers hold the tokens that are left; when that may change, in milliseconds.
    BudgetHeldElsewhere(u64),
    /// No manifest is known yet.
    NotConfigured,
    /// The manifest in force does not allow it, but a newer one is on its way.
    ManifestChanging,
    /// This router is stopping.
    Stopping,
    /// No upstream serves it now.
    NoUpstream,
    /// Every upstream that serves it asked for rest or has reached its request limit; the time until the first one
    /// accepts requests again, in milliseconds.
    UpstreamsUnavailable(u64),
    /// Every upstream tried refused it or could not be reached.
    NotRun,
    /// It was sent, and its time ran out.
    TimedOut,
    /// It was sent, and no whole answer came.
    Failed,
}

impl Refusal {
    /// The name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::NoRoute => "no-route",
            Refusal::NoAccessKey => "no-key",
            Refusal::BodyTooLarge => "too-long",
            Refusal::BodyIncomplete => "body-broken",
            Refusal::QuarantinePending => "undecided",
            Refusal::Quarantined => "quarantined",
            Refusal::BudgetExhausted => "budget-spent",
            Refusal::BudgetUnavailable(_) => "budget-away",
            Refusal::BudgetHeldElsewhere(_) => "budget-elsewhere",
            Refusal::NotConfigured => "not-configured",
            Refusal::ManifestChanging => "changing",
            Refusal::Stopping => "stopping",
            Refusal::NoUpstream => "no-upstream",
            Refusal::UpstreamsUnavailable(_) => "resting",
            Refusal::NotRun => "not-run",
            Refusal::TimedOut => "timed-out",
            Refusal::Failed => "failed",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            // A caller that sends the same again gets the same answer: no status says that it may try later.
            Refusal::Malformed | Refusal::BodyIncomplete | Refusal::Quarantined => StatusCode::BAD_REQUEST,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoAccessKey => StatusCode::UNAUTHORIZED,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Refusal::BudgetUnavailable(_)
            | Refusal::BudgetHeldElsewhere(_)
            | Refusal::QuarantinePending
            | Refusal::NotConfigured
            | Refusal::ManifestChanging
            | Refusal::Stopping
            | Refusal::NoUpstream
            | Refusal::UpstreamsUnavailable(_)
            | Refusal::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Failed => StatusCode::BAD_GATEWAY,
        }
    }

    /// When coming back may help, in milliseconds: the time that each cause usually lasts.
    fn retry_ms(self) -> Option<u64> {
        match self {
            Refusal::BudgetUnavailable(millis)
            | Refusal::BudgetHeldElsewhere(millis)
            | Refusal::UpstreamsUnavailable(millis) => Some(millis),
            Refusal::QuarantinePending => Some(2 * GATHER_MS),
            Refusal::NotConfigured => Some(500),
            Refusal::ManifestChanging => Some(500),
            Refusal::Stopping => Some(50),
            Refusal::NoUpstream => Some(500),
            Refusal::NotRun => Some(200),
            _ => None,
        }
    }

    /// What the caller should know beside the name.
    fn detail(self) -> Option<&'static str> {
        match self {
            Refusal::Quarantined => {
                Some("upstreams ended while they ran this request; it was not run, and will not be run again")
            }
            _ => None,
        }
    }

    /// The answer.
    pub(crate) fn response(self) -> Response<WholeBody> {
        let mut body = serde_json::json!({"error": self.name()});
        if let Some(detail) = self.detail() {
            body["detail"] = detail.into();
        }
        let mut response = Response::new(Some(Bytes::from(body.to_string())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(millis) = self.retry_ms() {
            let seconds = format!("{:.3}", millis as f64 / 1_000.0);
            headers.insert(RETRY_AFTER, HeaderValue::from_str(&seconds).expect("digits"));
        }
        response
    }
}
