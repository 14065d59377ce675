//! The messages between routers, and the RPC service.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tarpc::context::Context;

/// A heartbeat. It is answered with the receiver's own heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The name of the sender's VM.
    pub name: String,
    /// A number that grows with each start of the VM's process.
    pub incarnation: u64,
    /// The sender's address for peers.
    pub address: SocketAddr,
    /// The sender's address for callers.
    pub callers: SocketAddr,
    /// The sender's data centre.
    pub data_centre: String,
    /// The sequence of the bundle in force at the sender; 0 if there is none.
    pub sequence: u64,
    /// The digest of that bundle's manifest.
    pub manifest: String,
    /// The upstreams that the sender itself found to be leaving.
    pub leaving: Vec<String>,
    /// Whether the sender is stopping.
    pub stopping: bool,
}

/// A request to borrow tokens. Repeating it with the same `id` lends nothing more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BorrowRequest {
    /// Names this request; unique in the fleet.
    pub id: String,
    /// The budget.
    pub budget: String,
    /// The number of missing tokens.
    pub tokens: u64,
}

/// The answer to [`BorrowRequest`]. The tokens have been deducted from the lender's grant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BorrowReply {
    /// The number of tokens lent.
    pub tokens: u64,
}

/// A request for a slot of an upstream that the peer owns. Repeating it with the same `id` takes no second
/// slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
    /// Names this request; unique in the fleet.
    pub id: String,
    /// The borrower as `name#incarnation`.
    pub borrower: String,
    /// The name of the model.
    pub model: String,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
    /// The upstreams to avoid because the request failed there.
    pub avoid: Vec<String>,
    /// The name of the team.
    pub team: String,
    /// The team's weight.
    pub weight: u32,
    /// The priority; a lower value is more urgent.
    pub priority: u8,
    /// The time for which the request may wait, in milliseconds.
    pub wait_ms: u64,
    /// The only acceptable upstream. If it is set, the request does not wait.
    pub at: Option<String>,
}

/// The router that runs or ran a request with an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunLocation {
    /// The budget and the idempotency key, as `budget|key`.
    pub key: String,
    /// The router as `name#incarnation`.
    pub holder: String,
    /// The address of that router for callers.
    pub callers: SocketAddr,
}

/// The bundle that a router has in force, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleStatus {
    /// The name of the VM.
    pub name: String,
    /// The sequence of the bundle in force; 0 if there is none.
    pub sequence: u64,
    /// The time since it came into force, in milliseconds.
    pub in_force_ms: u64,
}

/// The RPC service that each router offers to its peers.
#[tarpc::service]
pub trait Link {
    /// Exchanges heartbeats.
    async fn beat(beat: Heartbeat) -> Heartbeat;
    /// Lends tokens.
    async fn borrow(ask: BorrowRequest) -> BorrowReply;
    /// Returns parts of the bundle in force by digest.
    async fn fetch(digests: Vec<String>) -> Vec<Option<String>>;
    /// Announces where a request runs. The hint may be lost.
    async fn announce(whereabouts: RunLocation);
    /// Returns where a request runs, if the receiver knows.
    async fn locate(key: String) -> Option<RunLocation>;
    /// Returns the bundle in force.
    async fn standing() -> BundleStatus;
    /// Lends a slot as soon as one is free. Returns its upstream, or `None` if the receiver declines.
    async fn slot(ask: SlotRequest) -> Option<String>;
    /// Returns a lent slot, or withdraws a waiting request for one. `failed` says whether the run failed.
    async fn free(id: String, failed: bool);
    /// Hints that an upstream of which the receiver owns slots is leaving.
    async fn hint_leaving(upstream: String, from: String);
    /// Makes the receiver the keeper of a router's account, which closes it once that router is gone.
    async fn keep(holder: String);
    /// Asks the keeper of an account to promise never to close it. Returns `false` if it may be closed
    /// already.
    async fn spare(holder: String) -> bool;
}

/// The implementation of the RPC service by a router. All calls except `slot` are answered without waiting.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Records a heartbeat, and returns the router's own.
    fn exchange_heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat;
    /// Lends tokens.
    fn lend_tokens(&self, request: BorrowRequest) -> BorrowReply;
    /// Returns parts of the bundle in force by digest.
    fn bundle_parts(&self, digests: &[String]) -> Vec<Option<String>>;
    /// Records where a request runs.
    fn record_run(&self, location: RunLocation);
    /// Returns where a request runs, if it is known.
    fn find_run(&self, key: &str) -> Option<RunLocation>;
    /// Returns the bundle in force.
    fn bundle_status(&self) -> BundleStatus;
    /// Lends a slot as soon as one is free. Returns its upstream.
    fn lend_slot(&self, request: SlotRequest) -> impl Future<Output = Option<String>> + Send;
    /// Takes back a lent slot, or withdraws a waiting request for one.
    fn release_slot(&self, id: &str, failed: bool);
    /// Records a hint that an upstream is leaving.
    fn record_leaving_hint(&self, upstream: &str, from: &str);
    /// Makes this router the keeper of a router's account.
    fn become_keeper(&self, holder: &str);
    /// Promises never to close an account. Returns `false` if it may be closed already.
    fn promise_not_to_close(&self, holder: &str) -> bool;
}

/// Adapts a [`Handler`] to the [`Link`] service.
#[derive(Clone, Debug)]
pub(crate) struct Server<H>(pub(crate) H);

impl<H: Handler> Link for Server<H> {
    async fn beat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        self.0.exchange_heartbeat(beat)
    }

    async fn borrow(self, _: Context, ask: BorrowRequest) -> BorrowReply {
        self.0.lend_tokens(ask)
    }

    async fn fetch(self, _: Context, digests: Vec<String>) -> Vec<Option<String>> {
        self.0.bundle_parts(&digests)
    }

    async fn announce(self, _: Context, whereabouts: RunLocation) {
        self.0.record_run(whereabouts);
    }

    async fn locate(self, _: Context, key: String) -> Option<RunLocation> {
        self.0.find_run(&key)
    }

    async fn standing(self, _: Context) -> BundleStatus {
        self.0.bundle_status()
    }

    async fn slot(self, _: Context, ask: SlotRequest) -> Option<String> {
        self.0.lend_slot(ask).await
    }

    async fn free(self, _: Context, id: String, failed: bool) {
        self.0.release_slot(&id, failed);
    }

    async fn hint_leaving(self, _: Context, upstream: String, from: String) {
        self.0.record_leaving_hint(&upstream, &from);
    }

    async fn keep(self, _: Context, holder: String) {
        self.0.become_keeper(&holder);
    }

    async fn spare(self, _: Context, holder: String) -> bool {
        self.0.promise_not_to_close(&holder)
    }
}
