//! The messages between routers, and the service that carries them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tarpc::context::Context;

/// A heartbeat; the answer to one is one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's VM.
    pub name: String,
    /// Grows whenever the VM's process starts.
    pub incarnation: u64,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Where its callers reach it.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The bundle sequence in force there.
    pub sequence: u64,
    /// The digest of that bundle's manifest.
    pub manifest: String,
    /// Upstreams that it knows to be leaving.
    pub leaving: Vec<String>,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// A request for a loan of tokens. Repeating it with the same `id` lends nothing more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BorrowRequest {
    /// Names this request; unique in the fleet.
    pub id: String,
    /// The budget.
    pub budget: String,
    /// Tokens that are missing.
    pub tokens: u64,
}

/// The answer to [`BorrowRequest`]: tokens that the lender no longer has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BorrowReply {
    /// The tokens.
    pub tokens: u64,
}

/// A request for a slot of an upstream that the peer owns. Repeating it with the same `id` takes no second
/// one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
    /// Names this request; unique in the fleet.
    pub id: String,
    /// The borrower, with its incarnation.
    pub borrower: String,
    /// The model.
    pub model: String,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
    /// Upstreams that failed the request.
    pub avoid: Vec<String>,
    /// The team.
    pub team: String,
    /// The team's weight.
    pub weight: u32,
    /// Lower is more urgent.
    pub priority: u8,
    /// How long the request may wait, in milliseconds.
    pub wait_ms: u64,
    /// The only upstream that is wanted; then the request does not wait.
    pub at: Option<String>,
}

/// Where a request with an idempotency key is being run, or was.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunLocation {
    /// The budget and the key.
    pub key: String,
    /// The router, with its incarnation.
    pub holder: String,
    /// Where callers reach that router.
    pub callers: SocketAddr,
}

/// Which bundle a router has in force, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleStatus {
    /// The VM.
    pub name: String,
    /// The sequence in force; 0 if there is none.
    pub sequence: u64,
    /// For how long, in milliseconds.
    pub in_force_ms: u64,
}

/// What every router offers to the others.
#[tarpc::service]
pub trait Link {
    /// Exchanges heartbeats.
    async fn beat(beat: Heartbeat) -> Heartbeat;
    /// Lends tokens.
    async fn borrow(ask: BorrowRequest) -> BorrowReply;
    /// Hands out parts of the bundle in force by digest.
    async fn fetch(digests: Vec<String>) -> Vec<Option<String>>;
    /// Notes where a request runs; a hint that may be lost.
    async fn announce(whereabouts: RunLocation);
    /// Finds where a request runs, if this router was told.
    async fn locate(key: String) -> Option<RunLocation>;
    /// Tells which bundle is in force.
    async fn standing() -> BundleStatus;
    /// Lends a slot, as soon as one is free; names its upstream.
    async fn slot(ask: SlotRequest) -> Option<String>;
    /// Takes a slot back, or a request for one that still waits.
    async fn free(id: String, failed: bool);
    /// Hints that an upstream which the receiver owns is leaving.
    async fn hint_leaving(upstream: String, from: String);
    /// Asks the receiver to keep a router's account: to close it once that router is gone.
    async fn keep(holder: String);
    /// Asks the keeper of an account never to close it; `false` if it may have done so.
    async fn spare(holder: String) -> bool;
}

/// What a router does with the calls of others; all but a request for a slot is answered at once.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Takes in a heartbeat and answers with the router's own.
    fn beat(&self, beat: Heartbeat) -> Heartbeat;
    /// Lends tokens.
    fn borrow(&self, ask: BorrowRequest) -> BorrowReply;
    /// Hands out parts of the bundle in force by digest.
    fn fetch(&self, digests: &[String]) -> Vec<Option<String>>;
    /// Notes where a request runs.
    fn announce(&self, whereabouts: RunLocation);
    /// Finds where a request runs.
    fn locate(&self, key: &str) -> Option<RunLocation>;
    /// Tells which bundle is in force.
    fn standing(&self) -> BundleStatus;
    /// Lends a slot, as soon as one is free; names its upstream.
    fn slot(&self, ask: SlotRequest) -> impl Future<Output = Option<String>> + Send;
    /// Takes a slot back, or a request for one that still waits.
    fn free(&self, id: &str, failed: bool);
    /// Takes in a hint that an upstream is leaving.
    fn hint_leaving(&self, upstream: &str, from: &str);
    /// Takes a router's account into keeping.
    fn keep(&self, holder: &str);
    /// Promises never to close an account; `false` if it may be closed already.
    fn spare(&self, holder: &str) -> bool;
}

/// Offers a [`Handler`] as a [`Link`].
#[derive(Clone, Debug)]
pub(crate) struct Server<H>(pub(crate) H);

impl<H: Handler> Link for Server<H> {
    async fn beat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        self.0.beat(beat)
    }

    async fn borrow(self, _: Context, ask: BorrowRequest) -> BorrowReply {
        self.0.borrow(ask)
    }

    async fn fetch(self, _: Context, digests: Vec<String>) -> Vec<Option<String>> {
        self.0.fetch(&digests)
    }

    async fn announce(self, _: Context, whereabouts: RunLocation) {
        self.0.announce(whereabouts);
    }

    async fn locate(self, _: Context, key: String) -> Option<RunLocation> {
        self.0.locate(&key)
    }

    async fn standing(self, _: Context) -> BundleStatus {
        self.0.standing()
    }

    async fn slot(self, _: Context, ask: SlotRequest) -> Option<String> {
        self.0.slot(ask).await
    }

    async fn free(self, _: Context, id: String, failed: bool) {
        self.0.free(&id, failed);
    }

    async fn hint_leaving(self, _: Context, upstream: String, from: String) {
        self.0.hint_leaving(&upstream, &from);
    }

    async fn keep(self, _: Context, holder: String) {
        self.0.keep(&holder);
    }

    async fn spare(self, _: Context, holder: String) -> bool {
        self.0.spare(&holder)
    }
}
