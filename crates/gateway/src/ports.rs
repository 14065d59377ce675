//! The port to the wire protocol of callers, upstreams and operators.
//!
//! An adapter decodes messages into the types defined here and encodes those of the gateway. The gateway
//! itself knows HTTP, but no names of headers, tables or fields.

use crate::manifest::Manifest;
use http::{HeaderMap, HeaderName, request, response};
use route::answer::Claims;
use route::placement::PromptPart;
use smallvec::SmallVec;
use std::net::SocketAddr;

/// The parts of a prompt, usually a few.
pub type Parts = SmallVec<[PromptPart; 4]>;

/// A decoded request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The identifier that the caller gave this attempt.
    pub id: String,
    /// The host that the request is addressed to.
    pub host: String,
    /// The access key.
    pub key: Option<String>,
    /// How long the caller waits for the answer, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The prompt, if the request is for an inference engine.
    pub prompt: Option<Prompt>,
    /// Present if the caller takes up a stream whose beginning it has.
    pub resumption: Option<Resumption>,
}

/// A stream that its caller takes up after its connection broke.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Resumption {
    /// The identifier of the attempt that brought the stream's first event, if the caller names it.
    pub attempt: Option<String>,
}

impl Resumption {
    /// The attempt as it appears in logs.
    pub(crate) fn name(&self) -> &str {
        self.attempt.as_deref().unwrap_or("unnamed")
    }
}

/// The work that a request gives to an inference engine.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// The number of tokens in the prompt.
    pub input: u64,
    /// The most tokens that the engine may generate.
    pub output: u64,
    /// The caller's estimate of the tokens that the engine will generate.
    pub guess: Option<u64>,
    /// The parts of the prompt, in order.
    pub parts: Parts,
}

impl Prompt {
    /// The most tokens that may be generated, rounded up to whole events of `stride` tokens each.
    pub fn max_output_in_events(&self, stride: u64) -> u64 {
        self.output.div_ceil(stride.max(1)).saturating_mul(stride.max(1))
    }

    /// The expected number of generated tokens: the caller's estimate, or else half of the maximum.
    pub fn expected_output(&self) -> u64 {
        self.guess.unwrap_or(self.output / 2).min(self.output)
    }

    /// Its last part, which tells it from other prompts, as it appears in logs.
    pub(crate) fn name(&self) -> String {
        self.parts.last().map_or("-".to_owned(), |part| format!("{:x}", part.id))
    }

    /// The most tokens that the request may use, prompt included.
    pub fn max_tokens(&self, stride: u64) -> u64 {
        self.input.saturating_add(self.max_output_in_events(stride))
    }
}

/// What the gateway adds to a request that it dispatches.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a str,
    /// How long the upstream may take, in milliseconds.
    pub remaining_ms: u64,
    /// The team that pays.
    pub team: Option<&'a str>,
    /// The priority at the upstream; 0 is the most urgent.
    pub priority: u32,
    /// The last event that the caller received, if a stream is resumed.
    pub after_event: Option<u64>,
}

/// An upstream as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The service that it runs.
    pub service: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// The version of its software. Versions have no order, and what two of them write doesn't fit together.
    pub version: String,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests because it is about to leave.
    pub leaving: bool,
    /// When it started, in milliseconds of its own clock, if it says so. An upstream that restarts under the
    /// same name has lost its state.
    pub started: Option<u64>,
    /// How long it is still warming up, in milliseconds; until then it can handle little load.
    pub warmup_ms: u64,
}

/// A message that could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{step}: {reason}")]
pub struct Malformed {
    /// What was being decoded.
    pub step: &'static str,
    /// What is wrong with the message.
    pub reason: String,
}

/// The wire protocol of callers, upstreams and operators.
pub trait Wire: Send + Sync + 'static {
    /// The table and the key of the manifest.
    fn manifest_row(&self) -> (&str, &str);

    /// The evacuated data centre that a key in the manifest's table names. Its upstreams get no requests
    /// while the row exists.
    fn evacuated_data_centre<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// The table that lists the upstreams.
    fn upstreams_table(&self) -> &str;

    /// Decodes a manifest.
    ///
    /// # Errors
    /// Returns [`Malformed`] with the part that is wrong.
    fn decode_manifest(&self, bytes: &[u8]) -> Result<Manifest, Malformed>;

    /// Decodes an upstream's row.
    ///
    /// # Errors
    /// Returns [`Malformed`] with the part that is wrong.
    fn decode_listing(&self, bytes: &[u8]) -> Result<Listing, Malformed>;

    /// Decodes the head of a request.
    ///
    /// # Errors
    /// Returns [`Malformed`] with the header that is wrong.
    fn decode_request(&self, head: &request::Parts) -> Result<Ask, Malformed>;

    /// Whether a header is never one of a single connection, also if `Connection` names it.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;

    /// The headers of a request that is dispatched, derived from those of the caller.
    fn dispatch_headers(&self, caller: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// The identifiers by which answers name a request with these headers.
    fn identifiers<'a>(&self, request: &'a HeaderMap) -> SmallVec<[&'a [u8]; 1]>;

    /// The request that the head of an upstream's answer names, if it names one.
    fn answered_request<'a>(&self, head: &'a response::Parts) -> Option<&'a str>;

    /// Reads what the head of an answer claims that came for a request with the headers `request`, sent to `upstream`.
    fn read_claims(&self, head: &response::Parts, request: &HeaderMap, upstream: &str) -> Claims;

    /// Whether the head of an upstream's answer says that the upstream is leaving.
    fn is_leaving(&self, head: &response::Parts) -> bool;

    /// How long the upstream asks this gateway to send nothing, in milliseconds, if the head of its answer
    /// refuses a request and names a time.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the head names no valid time.
    fn retry_after_ms(&self, head: &response::Parts) -> Result<Option<u64>, Malformed>;

    /// How long the upstream is still warming up, in milliseconds, if the head of its answer says so.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the head names no valid time.
    fn warmup_ms(&self, head: &response::Parts) -> Result<Option<u64>, Malformed>;

    /// The upstream's request limit, in requests per second across all gateways, if the head of its answer
    /// names one.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the head names a limit but no valid value.
    fn limit_per_s(&self, head: &response::Parts) -> Result<Option<f64>, Malformed>;

    /// How many requests the upstream can reject in a second without falling over, if the head of its answer
    /// says that it is brittle.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the head says so but names no valid number.
    fn tolerated_rejections_per_s(&self, head: &response::Parts) -> Result<Option<f64>, Malformed>;

    /// Adds the identifier of a request to the headers of its answer.
    fn add_request_id(&self, id: &str, headers: &mut HeaderMap);
}
