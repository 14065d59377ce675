//! The scheduler of a router: the state of its upstreams, and the queue of requests that wait for a slot.

use crate::clock::Clock;
use crate::refusal::Refusal;
use async_channel::{Receiver, Sender};
use bundle::Bundle;
use http::StatusCode;
use net::exec;
use peer::FleetView;
use route::{
    Choice, Dispatcher, LoadReport, RetryBudget, SubmitOutcome, SubmitRequest, UpstreamSpec, assign_slots,
};
use std::collections::{BTreeMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use upstream::Load;

/// How long after its start a router lets the upstreams' load reports limit it, in milliseconds.
const WARM_UP_MS: u64 = 30_000;
/// The shortest `Retry-After` time, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 500;

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher<Sender<Choice>>,
    retries: RetryBudget,
    cache_sequences: BTreeMap<String, u64>,
    owners: BTreeMap<String, Vec<String>>,
}

/// The upstreams of this router and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct Schedule<C> {
    clock: C,
    state: Mutex<State>,
}

impl<C: Clock> Schedule<C> {
    pub(crate) fn new(data_centre: &str, clock: C) -> Schedule<C> {
        let mut dispatcher = Dispatcher::new(data_centre);
        dispatcher.pool.trust_reports_until(clock.now() + WARM_UP_MS);
        let state = State {
            dispatcher,
            retries: RetryBudget::new(0.0),
            cache_sequences: BTreeMap::new(),
            owners: BTreeMap::new(),
        };
        Schedule { clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Applies a bundle and the list of routers, which together determine this router's slots.
    pub(crate) fn configure(&self, bundle: &Bundle, view: &FleetView, own_name: &str) {
        let routers = view.router_names();
        let upstreams: Vec<(&str, u32)> =
            bundle.active_upstreams().map(|(name, upstream)| (name, upstream.slots)).collect();
        let assigned = assign_slots(&upstreams, &routers);
        let mut state = self.lock();
        let mut mine = HashSet::new();
        for (name, upstream) in bundle.active_upstreams() {
            let owners = &assigned[name];
            if let Some((_, slots)) = owners.iter().find(|(owner, _)| *owner == own_name) {
                mine.insert(name);
                let spec = UpstreamSpec {
                    data_centre: upstream.data_centre.clone(),
                    limit: *slots,
                    models: upstream.models.clone(),
                };
                state.dispatcher.pool.set(name, spec);
            }
        }
        state.dispatcher.pool.retain(|name| mine.contains(name));
        state.owners = assigned
            .iter()
            .map(|(name, owners)| {
                let owners = owners.iter().map(|(owner, _)| (*owner).to_owned()).collect();
                ((*name).to_owned(), owners)
            })
            .collect();
        state.dispatcher.set_capacity(bundle.limits.queue);
        state.retries.set_share(bundle.limits.retry_share);
        self.dispatch_waiting(&mut state);
    }

    /// Records an upstream's load report.
    pub(crate) fn record_report(&self, name: &str, load: &Load) {
        let now = self.clock.now();
        let mut state = self.lock();
        let report =
            LoadReport { slots: load.slots, busy: load.running + load.waiting, leaving: load.leaving };
        state.dispatcher.pool.record_report(name, report, now);
        let seen = state.cache_sequences.get(name).copied().unwrap_or(0);
        for event in load.cache.iter().filter(|event| event.sequence > seen) {
            state.dispatcher.pool.record_cache_event(name, event.prefix, event.added);
        }
        if let Some(last) = load.cache.last() {
            state.cache_sequences.insert(name.to_owned(), last.sequence.max(seen));
        }
        self.dispatch_waiting(&mut state);
    }

    /// Marks an upstream as leaving or not. Returns whether this changed its state.
    pub(crate) fn set_leaving(&self, name: &str, leaving: bool) -> bool {
        self.lock().dispatcher.pool.set_leaving(name, leaving)
    }

    /// Records a peer's hint that an upstream is leaving. Returns whether this changed its state.
    pub(crate) fn record_leaving_hint(&self, name: &str) -> bool {
        let now = self.clock.now();
        self.lock().dispatcher.pool.record_leaving_hint(name, now)
    }

    /// The upstreams that this router itself, not only a peer, found to be leaving.
    pub(crate) fn leaving(&self) -> Vec<String> {
        self.lock().dispatcher.pool.leaving().map(ToOwned::to_owned).collect()
    }

    /// The state of the upstreams, for operators.
    pub(crate) fn upstream_statuses(&self) -> BTreeMap<String, route::UpstreamStatus> {
        self.lock().dispatcher.pool.statuses(self.clock.now())
    }

    /// The number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().dispatcher.waiting()
    }

    /// Records a request, which earns a fraction of a retry.
    pub(crate) fn earn_retry(&self) {
        self.lock().retries.deposit();
    }

    /// Uses up a retry. Returns `false` if none has been earned.
    pub(crate) fn take_retry(&self) -> bool {
        self.lock().retries.withdraw()
    }

    /// Whether this router owns slots of an upstream that serves a model.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.lock().dispatcher.pool.serves(model)
    }

    /// Waits for an upstream. Its slot is occupied until [`Schedule::release`].
    pub(crate) async fn wait_for_upstream(&self, request: &SubmitRequest<'_>) -> Result<Choice, Refusal> {
        let (chosen, choice) = async_channel::bounded(1);
        // Dropping the sender of a displaced request ends its wait.
        let (outcome, _displaced) = self.lock().dispatcher.submit(request, chosen, self.clock.now());
        let number = match outcome {
            SubmitOutcome::Chosen(choice) => return Ok(choice),
            SubmitOutcome::Waiting(number) => number,
            SubmitOutcome::NoUpstream => return Err(no_upstream(request.model)),
            SubmitOutcome::Full(millis) => return Err(queue_full(millis.max(MIN_RETRY_AFTER_MS))),
            SubmitOutcome::Late(millis) => {
                return Err(too_late(
                    "it could not begin before its deadline",
                    millis.max(MIN_RETRY_AFTER_MS),
                ));
            }
        };
        let waiting = QueuedRequest { schedule: self, model: request.model, number, choice };
        let limit = Duration::from_millis(request.deadline.saturating_sub(self.clock.now()));
        match exec::timeout(limit, waiting.choice.recv()).await {
            Some(Ok(choice)) => Ok(choice),
            Some(Err(_)) => Err(too_late("it was displaced by more urgent work", MIN_RETRY_AFTER_MS)),
            None => Err(too_late("no upstream became free before its deadline", MIN_RETRY_AFTER_MS)),
        }
    }

    /// The upstream that all routers prefer for a prefix, and the routers that own slots of it.
    pub(crate) fn home_upstream(
        &self,
        bundle: &Bundle,
        model: &str,
        prefix: u64,
    ) -> Option<(String, Vec<String>)> {
        let serving: Vec<&str> = bundle
            .active_upstreams()
            .filter(|(_, upstream)| upstream.models.iter().any(|one| one == model))
            .map(|(name, _)| name)
            .collect();
        if serving.is_empty() {
            return None;
        }
        let home = route::home_upstream(&serving, prefix);
        let owners = self.lock().owners.get(home).cloned()?;
        Some((home.to_owned(), owners))
    }

    /// The routers that own slots of an upstream.
    pub(crate) fn owners(&self, upstream: &str) -> Vec<String> {
        self.lock().owners.get(upstream).cloned().unwrap_or_default()
    }

    /// Takes a slot of the upstream `at` for a peer's request, if one is free.
    pub(crate) fn try_take_slot(&self, request: &SubmitRequest<'_>, at: &str) -> Option<String> {
        let now = self.clock.now();
        self.lock().dispatcher.lend(request, Some(at), now)
    }

    /// Releases a slot and dispatches waiting requests.
    pub(crate) fn release(&self, name: &str) {
        let mut state = self.lock();
        state.dispatcher.pool.release(name);
        self.dispatch_waiting(&mut state);
    }

    /// Records a successful run; `gap` is the mean time between its tokens in milliseconds.
    pub(crate) fn record_success(&self, name: &str, gap: Option<f64>) {
        self.lock().dispatcher.pool.record_success(name, gap);
    }

    /// Records a failed run. Returns whether the upstream was ejected because of it.
    pub(crate) fn record_failure(&self, name: &str) -> bool {
        let now = self.clock.now();
        self.lock().dispatcher.pool.record_failure(name, now)
    }

    /// Dispatches waiting requests while slots are free.
    fn dispatch_waiting(&self, state: &mut State) {
        let dispatched = state.dispatcher.dispatch_waiting(self.clock.now(), Sender::is_closed);
        for (chosen, choice) in dispatched {
            let upstream = choice.upstream.clone();
            if chosen.try_send(choice).is_err() {
                state.dispatcher.pool.release(&upstream);
            }
        }
    }
}

/// Removes a request from the queue when it stops waiting, and releases a slot that it was given but did not
/// use.
struct QueuedRequest<'a, C: Clock> {
    schedule: &'a Schedule<C>,
    model: &'a str,
    number: u64,
    choice: Receiver<Choice>,
}

impl<C: Clock> Drop for QueuedRequest<'_, C> {
    fn drop(&mut self) {
        let mut state = self.schedule.lock();
        // The queue moved on by one, whether the request got a slot here or from a peer.
        state.dispatcher.remove_served(self.model, self.number, self.schedule.clock.now());
        if let Ok(choice) = self.choice.try_recv() {
            state.dispatcher.pool.release(&choice.upstream);
            self.schedule.dispatch_waiting(&mut state);
        }
    }
}

fn no_upstream(model: &str) -> Refusal {
    let message = format!("no upstream serves model {model} at this router now");
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_upstream", "route", message)
        .retry_after(MIN_RETRY_AFTER_MS)
}

fn queue_full(millis: u64) -> Refusal {
    let message = "too many requests wait for an upstream".to_owned();
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "queue_full", "route", message).retry_after(millis)
}

fn too_late(reason: &str, millis: u64) -> Refusal {
    let message = format!("the request was not sent to an upstream: {reason}");
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "too_late", "route", message).retry_after(millis)
}
