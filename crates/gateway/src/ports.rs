//! The port to the language that callers, upstreams and operators speak.
//!
//! An adapter decodes their messages into the types here and encodes the router's; the router itself knows
//! HTTP, but none of the names in it.

use crate::manifest::Manifest;
use http::{HeaderMap, request, response};
use route::placement::PromptPart;
use smallvec::SmallVec;
use std::net::SocketAddr;

/// Parts of a prompt, usually a few.
pub type Parts = SmallVec<[PromptPart; 4]>;

/// A caller's request, decoded.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The identifier that the caller gave this attempt.
    pub id: String,
    /// The host that it addresses.
    pub host: String,
    /// The access key.
    pub key: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The prompt, if it is for an engine.
    pub prompt: Option<Prompt>,
}

/// What a request makes an engine do.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    /// Tokens in the prompt.
    pub input: u64,
    /// The most tokens that may come out.
    pub output: u64,
    /// The caller's guess of how many come out.
    pub guess: Option<u64>,
    /// The parts of the prompt, in order.
    pub parts: Parts,
}

impl Prompt {
    /// The most tokens that may come out, rounded up to whole events of `stride` tokens each.
    pub fn output_in_events(&self, stride: u64) -> u64 {
        self.output.div_ceil(stride.max(1)) * stride.max(1)
    }

    /// The tokens that should come out: the caller's guess, or else half of the most.
    pub fn expected_output(&self) -> u64 {
        self.guess.unwrap_or(self.output / 2).min(self.output)
    }

    /// What the request costs at its most.
    pub fn worst(&self, stride: u64) -> u64 {
        self.input + self.output_in_events(stride)
    }
}

/// What the router adds to a request that it passes on.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// The one upstream that may run it.
    pub upstream: &'a str,
    /// How long it may take, in milliseconds.
    pub remaining_ms: u64,
    /// The team that pays.
    pub team: Option<&'a str>,
    /// Its rank at the upstream, 0 first.
    pub priority: u32,
    /// The last event that the caller has, if the stream is continued.
    pub after_event: Option<u64>,
}

/// What an upstream's answer says beside its status and body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It answers the request.
    Sound,
    /// The upstream says that it did not run the request.
    NotRun,
    /// Another upstream has the address now; it did not run the request.
    OtherUpstream,
    /// It answers another request, or nothing that was asked.
    Stray,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The service that it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work because it is about to leave.
    pub leaving: bool,
    /// When it started, in milliseconds of its own clock, if it says so: one that starts again under its name knows nothing
    /// of before.
    pub started: Option<u64>,
    /// How long it still warms up, in milliseconds: it bears little meanwhile.
    pub warmup_ms: u64,
}

/// A message that could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{step}: {reason}")]
pub struct Malformed {
    /// What was being decoded.
    pub step: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// The language of callers, upstreams and operators.
pub trait Wire: Send + Sync + 'static {
    /// The table and the key of the manifest.
    fn manifest_row(&self) -> (&str, &str);

    /// The data centre whose upstreams get nothing as long as a row of this key is in the manifest's table.
    fn evacuated<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// The table that lists the upstreams.
    fn upstreams_table(&self) -> &str;

    /// Decodes a manifest.
    ///
    /// # Errors
    /// Says which part is wrong.
    fn manifest(&self, bytes: &[u8]) -> Result<Manifest, Malformed>;

    /// Decodes an upstream's row.
    ///
    /// # Errors
    /// Says which part is wrong.
    fn listing(&self, bytes: &[u8]) -> Result<Listing, Malformed>;

    /// Decodes a request.
    ///
    /// # Errors
    /// Says which header is wrong.
    fn ask(&self, head: &request::Parts) -> Result<Ask, Malformed>;

    /// The headers with which a request is passed on.
    fn dispatch(&self, caller: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Reads what the head of an upstream's answer says of the request `id`.
    fn reply(&self, head: &response::Parts, id: &str) -> Reply;

    /// Whether the head of an upstream's answer says that the upstream leaves.
    fn leaves(&self, head: &response::Parts) -> bool;

    /// How long the upstream wants nothing from this gateway, in milliseconds, if the head of its answer refuses a request and says so.
    ///
    /// # Errors
    /// Says what can't be read.
    fn rest_ms(&self, head: &response::Parts) -> Result<Option<u64>, Malformed>;

    /// How long the upstream still warms up, in milliseconds, if the head of its answer says so.
    ///
    /// # Errors
    /// Says what can't be read.
    fn warmup_ms(&self, head: &response::Parts) -> Result<Option<u64>, Malformed>;

    /// The upstream's request limit, in requests per second across all gateways, if the head of its answer names one.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the head names a limit but no valid value.
    fn limit_per_s(&self, head: &response::Parts) -> Result<Option<f64>, Malformed>;

    /// Names the request in an answer of the router's own.
    fn label(&self, id: &str, headers: &mut HeaderMap);
}
