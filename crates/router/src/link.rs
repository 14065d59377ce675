//! The handler for calls from peers.

use crate::clock::Clock;
use crate::node::Node;
use crate::ports::Ports;
use peer::{BorrowReply, BorrowRequest, BundleStatus, Handler, Heartbeat, RunLocation, SlotRequest};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

/// The maximum number of hints.
const MAX_HINTS: usize = 50_000;

/// Hints of peers where requests with an idempotency key run. A lost hint costs only time, since claims
/// decide who runs a request that may run only once.
#[derive(Debug, Default)]
pub(crate) struct RunHints {
    state: Mutex<RunHintsState>,
}

#[derive(Debug, Default)]
struct RunHintsState {
    locations: HashMap<String, RunLocation>,
    order: VecDeque<String>,
}

impl RunHints {
    pub(crate) fn insert(&self, location: RunLocation) {
        let mut state = self.state.lock().expect("no thread panics while it holds the lock");
        state.order.push_back(location.key.clone());
        state.locations.insert(location.key.clone(), location);
        if state.order.len() > MAX_HINTS
            && let Some(oldest) = state.order.pop_front()
        {
            state.locations.remove(&oldest);
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<RunLocation> {
        self.state.lock().expect("no thread panics while it holds the lock").locations.get(key).cloned()
    }
}

/// The service that this router offers to its peers.
pub(crate) struct PeerService<W: Ports>(pub(crate) Arc<Node<W>>);

impl<W: Ports> Clone for PeerService<W> {
    fn clone(&self) -> Self {
        PeerService(self.0.clone())
    }
}

impl<W: Ports> Handler for PeerService<W> {
    fn exchange_heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        crate::membership::record_heartbeat(&self.0, &heartbeat);
        self.0.heartbeat()
    }

    fn lend_tokens(&self, request: BorrowRequest) -> BorrowReply {
        let tokens = self.0.grants.lend(&request.id, &request.budget, request.tokens);
        if tokens > 0 {
            self.0.metrics.lent.inc_by(tokens);
            log::info!("budget: lent {tokens} tokens of {} for loan {}", request.budget, request.id);
        }
        BorrowReply { tokens }
    }

    fn bundle_parts(&self, digests: &[String]) -> Vec<Option<String>> {
        let bundle = self.0.bundle();
        digests.iter().map(|digest| bundle.parts.get(digest).cloned()).collect()
    }

    fn record_run(&self, location: RunLocation) {
        self.0.run_hints.insert(location);
    }

    fn find_run(&self, key: &str) -> Option<RunLocation> {
        self.0.run_hints.get(key)
    }

    async fn lend_slot(&self, request: SlotRequest) -> Option<String> {
        self.0.slot_loans.lend(&self.0.schedule, self.0.clock.now(), request).await
    }

    fn release_slot(&self, id: &str, failed: bool) {
        self.0.slot_loans.take_back(&self.0.schedule, id, failed);
    }

    fn record_leaving_hint(&self, upstream: &str, from: &str) {
        if self.0.schedule.record_leaving_hint(upstream) {
            log::info!(
                "upstream: {upstream} is leaving and gets no new requests, according to a hint of {from}"
            );
        }
        // The hint expires, so this router reads the platform's list itself.
        let _ = self.0.list_now.try_send(());
    }

    fn become_keeper(&self, holder: &str) {
        self.0.account_keeping.add_account(holder);
    }

    fn promise_not_to_close(&self, holder: &str) -> bool {
        self.0.account_keeping.promise_not_to_close(holder)
    }

    fn bundle_status(&self) -> BundleStatus {
        let bundle = self.0.bundle();
        BundleStatus {
            name: self.0.settings.name.clone(),
            sequence: bundle.sequence,
            in_force_ms: self.0.clock.now().saturating_sub(bundle.since),
        }
    }
}
