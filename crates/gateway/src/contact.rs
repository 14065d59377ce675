//! Whether upstreams answer at all, which decides when a silent run may be given up.
//!
//! The decision is in [`route::silence::Contact`].

use crate::manifest::Service;
use crate::node::Node;
use crate::ports::Wire;
use net::{ProbeResult, exec};
use route::Millis;
use route::silence::{self, ClosedRun, Decision, Probe, Proof, RunState};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// How long a connection to an upstream that is probed may take, and then its answer: several round trips between data
/// centres, and the delay of a process on a busy VM.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The pause after a probe that was not answered. An upstream may refuse connections at once.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// The longest time between two decisions on a run. Timers are late by the time for which the VM was suspended.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The contact with one upstream, which its runs share.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    state: Mutex<silence::Contact>,
    /// Whether the upstream is being probed.
    is_probing: AtomicBool,
}

impl Contact {
    fn state(&self) -> MutexGuard<'_, silence::Contact> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Records that bytes arrived, after a stream had waited for them for `gap_ms`.
    pub(crate) fn record_answer(&self, gap_ms: Millis, now: Millis) {
        self.state().record_answer(gap_ms, now);
    }

    /// Decides on a run that is overdue after `patience_ms`, and from which nothing has arrived since `since`.
    pub(crate) fn decide(&self, since: Millis, patience_ms: Millis, now: Millis) -> Decision {
        self.state().decide(since, patience_ms, now)
    }
}

/// The contact with each upstream.
#[derive(Debug, Default)]
pub(crate) struct Contacts(Mutex<HashMap<String, Arc<Contact>>>);

impl Contacts {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Arc<Contact>>> {
        self.0.lock().expect("no thread panics while it holds the contacts")
    }

    pub(crate) fn of(&self, upstream: &str) -> Arc<Contact> {
        let mut contacts = self.lock();
        match contacts.get(upstream) {
            Some(contact) => contact.clone(),
            None => contacts.entry(upstream.to_owned()).or_default().clone(),
        }
    }

    /// Forgets upstreams to which no request is open.
    pub(crate) fn evict_unused(&self) {
        self.lock().retain(|_, contact| Arc::strong_count(contact) > 1);
    }
}

/// The upstream of a run, which may no longer be listed.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    pub health_path: Option<String>,
    pub contact: Arc<Contact>,
}

impl Upstream {
    /// An upstream of a service.
    pub(crate) fn of<W: Wire, S: Rows>(
        node: &Node<W, S>,
        service: Option<&Service>,
        name: &str,
        address: SocketAddr,
    ) -> Upstream {
        Upstream {
            name: name.to_owned(),
            address,
            health_path: service.and_then(|service| service.health_path.clone()),
            contact: node.contacts.of(name),
        }
    }

    /// Waits until a run from which nothing arrives may be given up: once its upstream is gone, or if the run is overdue
    /// after `patience` and its request has not been sent.
    pub(crate) async fn until_given_up<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        patience: Duration,
        is_sent: impl Fn() -> bool,
    ) {
        let since = node.now();
        loop {
            match self.contact.decide(since, patience.as_millis() as Millis, node.now()) {
                Decision::Overdue if is_sent() => exec::sleep(CHECK_INTERVAL).await,
                Decision::Overdue | Decision::Gone => return,
                Decision::Wait(ms) => exec::sleep(Duration::from_millis(ms).min(CHECK_INTERVAL)).await,
                Decision::Probe => self.probe(node).await,
            }
        }
    }

    /// What is known of a run whose connection was closed. An upstream without a health check is not asked.
    fn state_of<W: Wire, S: Rows>(&self, node: &Node<W, S>, run: &ClosedRun) -> RunState {
        match self.contact.state().state_of(run, node.now()) {
            RunState::Alive | RunState::Unknown if self.is_replaced(node) => RunState::Over(Proof::Gone),
            RunState::Unknown if self.health_path.is_none() => RunState::Alive,
            state => state,
        }
    }

    fn is_replaced<W: Wire, S: Rows>(&self, node: &Node<W, S>) -> bool {
        is_replaced(node, &self.name, self.address)
    }

    /// Whether it is leaving, or not listed any more.
    pub(crate) fn is_leaving<W: Wire, S: Rows>(&self, node: &Node<W, S>) -> bool {
        node.listings().get(&self.name).is_none_or(|listing| listing.leaving)
    }

    /// Waits until a run whose connection was closed is over, or its upstream is known to go on.
    pub(crate) async fn until_known<W: Wire, S: Rows>(&self, node: &Node<W, S>, run: &ClosedRun) -> RunState {
        loop {
            let state = self.state_of(node, run);
            if state != RunState::Unknown {
                return state;
            }
            self.probe(node).await;
            if self.state_of(node, run) == RunState::Unknown {
                exec::sleep(PROBE_PAUSE).await;
            }
        }
    }

    /// Asks the upstream whether it answers. Runs that wait for it at the same time share the result.
    pub(crate) async fn probe<W: Wire, S: Rows>(&self, node: &Node<W, S>) {
        if self.contact.is_probing.swap(true, Ordering::Relaxed) {
            return exec::sleep(PROBE_TIMEOUT / 10).await;
        }
        let probing = Probing(&self.contact);
        let began = node.now();
        let result = match &self.health_path {
            Some(path) => net::ask(self.address, path, PROBE_TIMEOUT).await,
            None => net::probe(self.address, PROBE_TIMEOUT).await,
        };
        let probe = match result {
            ProbeResult::Answers => Probe::Answers,
            ProbeResult::Listens => Probe::Silent,
            ProbeResult::Silent if node.reach.reaches_directly(&self.name, node.now()) => Probe::Unreached,
            ProbeResult::Refuses => Probe::Refuses,
            ProbeResult::Silent => Probe::Lost,
        };
        self.contact.state().record_probe(probe, began, node.now());
        drop(probing);
        node.metrics.silent_upstreams.with_label_values(&[result.name()]).inc();
        log::warn!("upstream: event=silent upstream={} address={}", self.name, result.name());
    }
}

/// Whether another upstream is listed at the address of one that is not listed any more.
pub(crate) fn is_replaced<W: Wire, S: Rows>(node: &Node<W, S>, upstream: &str, address: SocketAddr) -> bool {
    let listings = node.listings();
    !listings.contains_key(upstream) && listings.values().any(|other| other.address == address)
}

/// Marks an upstream as being probed until it is dropped.
struct Probing<'a>(&'a Contact);

impl Drop for Probing<'_> {
    fn drop(&mut self) {
        self.0.is_probing.store(false, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "../tests/unit/contact.rs"]
mod tests;
