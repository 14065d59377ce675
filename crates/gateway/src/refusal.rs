//! Answers of the router's own.

use crate::body::Body;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use hyper::body::Bytes;
use route::quarantine::DECISION_DELAY_MS;

/// Why the router answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The request is not well-formed.
    Malformed,
    /// No route takes it.
    NoRoute,
    /// It has no known access key.
    NoKey,
    /// Its body is too long.
    TooLong,
    /// The caller broke its body off.
    BodyBroken,
    /// Whether it ends upstreams is being decided on.
    Undecided,
    /// Upstreams ended while they ran it, so it is not run again.
    Quarantined,
    /// The budget can't hold it at its most.
    BudgetSpent,
    /// Tokens are left, but none can be had now; when that may change, in milliseconds.
    BudgetAway(u64),
    /// Other routers hold the tokens that are left; when that may change, in milliseconds.
    BudgetElsewhere(u64),
    /// No manifest is known yet.
    NotConfigured,
    /// The manifest in force does not allow it, but a newer one is on its way.
    Changing,
    /// This router is stopping.
    Stopping,
    /// No upstream serves it now.
    NoUpstream,
    /// Every upstream that serves it asked for rest or has reached its request limit; the time until the first one
    /// accepts requests again, in milliseconds.
    Resting(u64),
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
            Refusal::NoKey => "no-key",
            Refusal::TooLong => "too-long",
            Refusal::BodyBroken => "body-broken",
            Refusal::Undecided => "undecided",
            Refusal::Quarantined => "quarantined",
            Refusal::BudgetSpent => "budget-spent",
            Refusal::BudgetAway(_) => "budget-away",
            Refusal::BudgetElsewhere(_) => "budget-elsewhere",
            Refusal::NotConfigured => "not-configured",
            Refusal::Changing => "changing",
            Refusal::Stopping => "stopping",
            Refusal::NoUpstream => "no-upstream",
            Refusal::Resting(_) => "resting",
            Refusal::NotRun => "not-run",
            Refusal::TimedOut => "timed-out",
            Refusal::Failed => "failed",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            // A caller that sends the same again gets the same answer: no status says that it may try later.
            Refusal::Malformed | Refusal::BodyBroken | Refusal::Quarantined => StatusCode::BAD_REQUEST,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoKey => StatusCode::UNAUTHORIZED,
            Refusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Refusal::BudgetAway(_)
            | Refusal::BudgetElsewhere(_)
            | Refusal::Undecided
            | Refusal::NotConfigured
            | Refusal::Changing
            | Refusal::Stopping
            | Refusal::NoUpstream
            | Refusal::Resting(_)
            | Refusal::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Failed => StatusCode::BAD_GATEWAY,
        }
    }

    /// When coming back may help, in milliseconds: the time that each cause usually lasts.
    fn retry_ms(self) -> Option<u64> {
        match self {
            Refusal::BudgetAway(millis) | Refusal::BudgetElsewhere(millis) | Refusal::Resting(millis) => {
                Some(millis)
            }
            Refusal::Undecided => Some(2 * DECISION_DELAY_MS),
            Refusal::NotConfigured => Some(500),
            Refusal::Changing => Some(500),
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
    pub(crate) fn response(self) -> Response<Body> {
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
