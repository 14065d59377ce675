//! Interfaces of model engines and plain HTTP services.
//!
//! [`Engine`] defines the operations that the router needs. [`Http`] implements them for engines with an
//! OpenAI-compatible API and stream ids. Every error says whether the engine may have started work.
//!
//! ```
//! let usage = upstream::Usage::find(r#"{"usage":{"prompt_tokens":3,"completion_tokens":4}}"#).unwrap();
//! assert_eq!(usage.total(), 7);
//! ```

mod events;
mod http_adapter;

pub use events::{Event, Events};
pub use http_adapter::Http;

use http::{Request, Response};
use hyper::body::{Bytes, Incoming};
use net::Body;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;

/// Whether a failed call may have started work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The engine did not start the work.
    NotRun,
    /// The engine may have started the work.
    Unknown,
}

/// A call to an upstream that failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at upstream {peer}: {reason}")]
pub struct Error {
    /// The operation that failed.
    pub step: &'static str,
    /// The upstream's address.
    pub peer: SocketAddr,
    /// Whether the engine may have started work.
    pub fault: Fault,
    /// The cause, as a message.
    pub reason: String,
}

/// A run to start on an engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// The stream id, which the router chooses and which is unique in the fleet.
    pub run: String,
    /// The path of the endpoint, for example `/v1/chat/completions`.
    pub path: String,
    /// The request body in JSON.
    pub body: Bytes,
    /// The priority; lower values are more urgent.
    pub priority: u8,
}

/// The engine's answer to the start of a run.
#[derive(Debug)]
pub enum Reply {
    /// The engine rejected a run before doing any work.
    Refused {
        /// Whether the answer names the run. One that does not may come from a server in front of the engine, which
        /// does not know whether the run has begun.
        is_named: bool,
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// The complete answer.
    Whole(Bytes),
    /// The answer, streamed while it is generated.
    Stream(Events),
}

/// The number of tokens that a run used.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl Usage {
    /// The sum of prompt tokens and generated tokens.
    pub fn total(&self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }

    /// Extracts the usage from an answer or a chunk; returns `None` if it contains none.
    pub fn find(json: &str) -> Option<Usage> {
        #[derive(Deserialize)]
        struct Part {
            usage: Option<Usage>,
        }
        serde_json::from_str::<Part>(json).ok()?.usage
    }
}

/// The state of a run when it was cancelled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelOutcome {
    /// The engine has not received the run, and will reject it from now on.
    Unseen,
    /// The run was stopped, or had already ended, with this usage.
    Stopped(Usage),
}

/// A change of an engine's prefix cache. These events are delayed and may be lost.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Increases by one with each event; a larger step means that events were lost.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added; `false` if it was evicted.
    pub added: bool,
}

/// An engine's load report; it may be out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The maximum number of runs in a batch.
    pub slots: u32,
    /// The number of runs in the current batch.
    pub running: u32,
    /// The number of runs that wait for a slot.
    pub waiting: u32,
    /// Whether the engine asks for no new work.
    pub leaving: bool,
    /// The loaded models.
    pub models: Vec<String>,
    /// The cache events since the last report.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
}

/// An idempotent order to an engine to load certain models.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The fencing number of the process that gives the order.
    pub fence: u64,
    /// The models to load.
    pub models: Vec<String>,
}

/// The engine's response to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// The engine has executed the order or will do so.
    Yes,
    /// The order was rejected: the engine has received one with a higher fencing number.
    Stale,
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, peer: SocketAddr, call: &Call) -> impl Future<Output = Result<Reply, Error>> + Send;

    /// Resumes the stream of a run after `offset` events.
    fn resume(
        &self,
        peer: SocketAddr,
        run: &str,
        offset: u64,
    ) -> impl Future<Output = Result<Events, Error>> + Send;

    /// Cancels a run and returns its usage.
    fn cancel(
        &self,
        peer: SocketAddr,
        run: &str,
    ) -> impl Future<Output = Result<CancelOutcome, Error>> + Send;

    /// Reads the load report.
    fn load(&self, peer: SocketAddr) -> impl Future<Output = Result<Load, Error>> + Send;

    /// Sends an order.
    fn order(
        &self,
        peer: SocketAddr,
        order: &Order,
    ) -> impl Future<Output = Result<OrderOutcome, Error>> + Send;

    /// Forwards a request to a plain service or to another router, and returns the answer with a streamed
    /// body.
    fn forward(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
    ) -> impl Future<Output = Result<Response<Incoming>, Error>> + Send;
}
