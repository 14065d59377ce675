//! Answers that the gateway gives instead of an upstream.

use crate::body::WholeBody;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use hyper::body::Bytes;
use route::quarantine::DECISION_DELAY_MS;
use route::returns::Cause;

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The request is malformed.
    Malformed,
    /// No route matches the request.
    NoRoute,
    /// The request has no known access key.
    NoAccessKey,
    /// The request's body is too large.
    BodyTooLarge,
    /// The caller did not send the whole body.
    BodyIncomplete,
    /// The caller did not send the whole body within the request's time limit.
    BodyTimedOut,
    /// The bodies of other requests take all the memory there is for them.
    Crowded,
    /// It is not decided yet whether the request is quarantined.
    QuarantinePending,
    /// Upstreams crashed while they ran the request, so it is not run again.
    Quarantined,
    /// Parts of the request's prompt are quarantined.
    PromptQuarantined,
    /// The budget does not cover the most tokens that the request may use.
    BudgetExhausted,
    /// The budget has tokens left, but none are available now; the time until that may change, in
    /// milliseconds.
    BudgetUnavailable(u64),
    /// Other gateways hold the tokens that are left; the time until that may change, in milliseconds.
    BudgetHeldElsewhere(u64),
    /// No manifest has been read yet.
    NotConfigured,
    /// The manifest in force does not allow the request, but a newer one is being read.
    ManifestChanging,
    /// This gateway is stopping.
    Stopping,
    /// This gateway reaches no upstream.
    Isolated,
    /// It is not known which software version began the stream that the caller takes up.
    VersionUnknown,
    /// No upstream has the software version that began the stream that the caller takes up.
    VersionGone,
    /// The upstream that ran the stream before has not noticed yet that its caller takes it up.
    StillRunning,
    /// No upstream can serve the request now.
    NoUpstream,
    /// Every upstream of the service is backing off or at its request limit; the time until the first one
    /// accepts requests again, in milliseconds.
    UpstreamsUnavailable(u64),
    /// The body can't be sent to an upstream in time; the time until this VM's link has sent the bodies before
    /// it, in milliseconds.
    LinkFull(u64),
    /// Every upstream that was tried refused the request or could not be reached.
    NotRun,
    /// The request was dispatched, and its deadline passed.
    TimedOut,
    /// The request was dispatched, and no complete answer arrived.
    Failed,
}

impl Refusal {
    /// The name in answers, logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::NoRoute => "no-route",
            Refusal::NoAccessKey => "no-key",
            Refusal::BodyTooLarge => "too-long",
            Refusal::BodyIncomplete => "body-broken",
            Refusal::BodyTimedOut => "body-late",
            Refusal::Crowded => "crowded",
            Refusal::QuarantinePending => "undecided",
            Refusal::Quarantined => "quarantined",
            Refusal::PromptQuarantined => "quarantined-prompt",
            Refusal::BudgetExhausted => "budget-spent",
            Refusal::BudgetUnavailable(_) => "budget-away",
            Refusal::BudgetHeldElsewhere(_) => "budget-elsewhere",
            Refusal::NotConfigured => "not-configured",
            Refusal::ManifestChanging => "changing",
            Refusal::Stopping => "stopping",
            Refusal::Isolated => "isolated",
            Refusal::VersionUnknown => "version-unknown",
            Refusal::VersionGone => "version-gone",
            Refusal::StillRunning => "still-running",
            Refusal::NoUpstream => "no-upstream",
            Refusal::UpstreamsUnavailable(_) => "resting",
            Refusal::LinkFull(_) => "link-full",
            Refusal::NotRun => "not-run",
            Refusal::TimedOut => "timed-out",
            Refusal::Failed => "failed",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            // The same request gets the same answer again, so the status must not suggest a retry.
            Refusal::Malformed
            | Refusal::BodyIncomplete
            | Refusal::Quarantined
            | Refusal::PromptQuarantined => StatusCode::BAD_REQUEST,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoAccessKey => StatusCode::UNAUTHORIZED,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Refusal::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Refusal::BudgetUnavailable(_)
            | Refusal::BudgetHeldElsewhere(_)
            | Refusal::Crowded
            | Refusal::QuarantinePending
            | Refusal::NotConfigured
            | Refusal::ManifestChanging
            | Refusal::Stopping
            | Refusal::Isolated
            | Refusal::VersionUnknown
            | Refusal::VersionGone
            | Refusal::StillRunning
            | Refusal::NoUpstream
            | Refusal::UpstreamsUnavailable(_)
            | Refusal::LinkFull(_)
            | Refusal::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Failed => StatusCode::BAD_GATEWAY,
        }
    }

    /// The time after which a retry may succeed, in milliseconds: how long each cause usually lasts.
    pub(crate) fn retry_ms(self) -> Option<u64> {
        match self {
            Refusal::BudgetUnavailable(millis)
            | Refusal::BudgetHeldElsewhere(millis)
            | Refusal::UpstreamsUnavailable(millis)
            | Refusal::LinkFull(millis) => Some(millis),
            Refusal::QuarantinePending => Some(2 * DECISION_DELAY_MS),
            Refusal::Crowded => Some(500),
            Refusal::NotConfigured => Some(500),
            Refusal::ManifestChanging => Some(500),
            Refusal::Stopping => Some(50),
            Refusal::Isolated => Some(300),
            Refusal::VersionUnknown => Some(200),
            Refusal::VersionGone => Some(500),
            Refusal::StillRunning => Some(500),
            Refusal::NoUpstream => Some(500),
            Refusal::NotRun => Some(200),
            _ => None,
        }
    }

    /// Whether a part of the request's body may be left unread, so that the connection has to be closed.
    fn leaves_body_unread(self) -> bool {
        matches!(self, Refusal::BodyTimedOut | Refusal::BodyTooLarge | Refusal::Crowded | Refusal::Stopping)
    }

    /// The cause, if it refuses many callers at once, who then have to return one after another.
    pub(crate) fn cause(self) -> Option<Cause> {
        match self {
            Refusal::BudgetUnavailable(_) => Some(Cause::BudgetUnavailable),
            Refusal::BudgetHeldElsewhere(_) => Some(Cause::BudgetHeldElsewhere),
            Refusal::UpstreamsUnavailable(_) => Some(Cause::UpstreamsUnavailable),
            Refusal::NoUpstream => Some(Cause::NoUpstream),
            Refusal::NotRun => Some(Cause::NotRun),
            _ => None,
        }
    }

    /// An explanation for the caller in addition to the name.
    fn detail(self) -> Option<&'static str> {
        match self {
            Refusal::Quarantined => {
                Some("upstreams ended while they ran this request; it was not run, and will not be run again")
            }
            Refusal::PromptQuarantined => Some(
                "upstreams ended while they ran requests that have parts of this prompt in common; it was not run, and will not be run",
            ),
            _ => None,
        }
    }

    /// The answer. Its extensions contain the refusal.
    pub(crate) fn response(self) -> Response<WholeBody> {
        let mut body = serde_json::json!({"error": self.name()});
        if let Some(detail) = self.detail() {
            body["detail"] = detail.into();
        }
        let mut response = Response::new(Some(Bytes::from(body.to_string())));
        *response.status_mut() = self.status();
        if self.leaves_body_unread() {
            response.extensions_mut().insert(net::UnreadRequest);
        }
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.leaves_body_unread() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(millis) = self.retry_ms() {
            set_retry_after(headers, millis);
        }
        response.extensions_mut().insert(self);
        response
    }
}

/// Sets the time after which the caller is asked to return.
pub(crate) fn set_retry_after(headers: &mut HeaderMap, millis: u64) {
    let seconds = format!("{:.3}", millis as f64 / 1_000.0);
    headers.insert(RETRY_AFTER, HeaderValue::from_str(&seconds).expect("digits"));
}
