//! Model engines and plain services as ports.
//!
//! [`Engine`] is what the router needs of a model server; [`Http`] is the adapter for engines that speak
//! the OpenAI-shaped protocol with stream ids. Every error says whether the engine can have started work.
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

/// Whether a failed call can have started work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The engine certainly did not start it.
    NotRun,
    /// The engine may have started it.
    Unknown,
}

/// A call to an upstream that failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at upstream {peer}: {reason}")]
pub struct Error {
    /// The call.
    pub step: &'static str,
    /// The upstream's address.
    pub peer: SocketAddr,
    /// Whether the engine can have started work.
    pub fault: Fault,
    /// The cause in words.
    pub reason: String,
}

/// One run to start on an engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// The stream id, chosen by the router and unique in the fleet.
    pub run: String,
    /// The path of the endpoint, for example `/v1/chat/completions`.
    pub path: String,
    /// The request's JSON.
    pub body: Bytes,
    /// Lower is more urgent.
    pub priority: u8,
}

/// The engine's answer to a run.
#[derive(Debug)]
pub enum Reply {
    /// The engine refused the run before it did any work.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// The whole answer.
    Whole(Bytes),
    /// The answer as it is generated.
    Stream(Events),
}

/// Tokens used by a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl Usage {
    /// Prompt and generated tokens together.
    pub fn total(&self) -> u64 {
        self.prompt_tokens + self.completion_tokens
    }

    /// Finds the usage in an answer or in a chunk of one.
    pub fn find(json: &str) -> Option<Usage> {
        #[derive(Deserialize)]
        struct Part {
            usage: Option<Usage>,
        }
        serde_json::from_str::<Part>(json).ok()?.usage
    }
}

/// How a run stood when it was cancelled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelOutcome {
    /// The engine never saw the run, and will refuse it from now on.
    Unseen,
    /// The run was stopped or had ended with this usage.
    Stopped(Usage),
}

/// A change of an engine's prefix cache; such events come late and with gaps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a jump is a gap.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether it was added or evicted.
    pub added: bool,
}

/// What an engine reports of itself, with a lag.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Runs that it can batch at once.
    pub slots: u32,
    /// Runs in the batch.
    pub running: u32,
    /// Runs that wait for a slot.
    pub waiting: u32,
    /// Whether it wants no new work.
    pub leaving: bool,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Cache events since the last report.
    #[serde(default)]
    pub cache: Vec<CacheEvent>,
}

/// An order to an engine; repeating it does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The fencing number of the placer that gives it.
    pub fence: u64,
    /// The models that shall be loaded.
    pub models: Vec<String>,
}

/// The engine's reaction to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// It will carry the order out, or has.
    Yes,
    /// It saw an order with a higher fencing number.
    Stale,
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Starts a run.
    fn start(&self, peer: SocketAddr, call: &Call) -> impl Future<Output = Result<Reply, Error>> + Send;

    /// Takes up a run's stream again after `offset` events.
    fn resume(
        &self,
        peer: SocketAddr,
        run: &str,
        offset: u64,
    ) -> impl Future<Output = Result<Events, Error>> + Send;

    /// Stops a run and learns what it used.
    fn cancel(
        &self,
        peer: SocketAddr,
        run: &str,
    ) -> impl Future<Output = Result<CancelOutcome, Error>> + Send;

    /// Reads the load report.
    fn load(&self, peer: SocketAddr) -> impl Future<Output = Result<Load, Error>> + Send;

    /// Gives an order.
    fn order(
        &self,
        peer: SocketAddr,
        order: &Order,
    ) -> impl Future<Output = Result<OrderOutcome, Error>> + Send;

    /// Passes a request on to a plain service, or to another router, and hands back the answer as it comes.
    fn forward(
        &self,
        peer: SocketAddr,
        request: Request<Body>,
    ) -> impl Future<Output = Result<Response<Incoming>, Error>> + Send;
}
