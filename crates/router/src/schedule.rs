//! Waiting for an upstream: the board and the lines of one router, and who goes next.

use crate::clock::Clock;
use crate::refusal::Refusal;
use async_channel::{Receiver, Sender};
use bundle::Bundle;
use http::StatusCode;
use net::exec;
use peer::View;
use route::{
    Choice, Dispatcher, LoadReport, RetryBudget, SubmitOutcome, SubmitRequest, UpstreamSpec, assign_slots,
};
use std::collections::{BTreeMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use upstream::Load;

/// How long a new router lets the upstreams' reports limit it, in milliseconds.
const WARM_MS: u64 = 30_000;
/// The shortest time after which a refused caller should come back, in milliseconds.
const COME_BACK_MS: u64 = 500;

#[derive(Debug)]
struct State {
    desk: Dispatcher<Sender<Choice>>,
    retries: RetryBudget,
    cache_seen: BTreeMap<String, u64>,
    owners: BTreeMap<String, Vec<String>>,
}

/// The upstreams and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct Schedule<C> {
    clock: C,
    state: Mutex<State>,
}

impl<C: Clock> Schedule<C> {
    pub(crate) fn new(data_centre: &str, clock: C) -> Schedule<C> {
        let mut desk = Dispatcher::new(data_centre);
        desk.pool.trust_reports_until(clock.now() + WARM_MS);
        let state = State {
            desk,
            retries: RetryBudget::new(0.0),
            cache_seen: BTreeMap::new(),
            owners: BTreeMap::new(),
        };
        Schedule { clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the schedule")
    }

    /// Takes in a bundle and the routers that share the upstreams.
    pub(crate) fn configure(&self, bundle: &Bundle, view: &View, me: &str) {
        let sharers = view.sharers();
        let upstreams: Vec<(&str, u32)> =
            bundle.serving().map(|(name, upstream)| (name, upstream.slots)).collect();
        let shares = assign_slots(&upstreams, &sharers);
        let mut state = self.lock();
        let mut mine = HashSet::new();
        for (name, upstream) in bundle.serving() {
            let owners = &shares[name];
            if let Some((_, slots)) = owners.iter().find(|(owner, _)| *owner == me) {
                mine.insert(name);
                let spec = UpstreamSpec {
                    data_centre: upstream.data_centre.clone(),
                    limit: *slots,
                    models: upstream.models.clone(),
                };
                state.desk.pool.set(name, spec);
            }
        }
        state.desk.pool.retain(|name| mine.contains(name));
        state.owners = shares
            .iter()
            .map(|(name, owners)| {
                let owners = owners.iter().map(|(owner, _)| (*owner).to_owned()).collect();
                ((*name).to_owned(), owners)
            })
            .collect();
        state.desk.set_capacity(bundle.limits.queue);
        state.retries.set_share(bundle.limits.retry_share);
        self.advance(&mut state);
    }

    /// Takes in an upstream's load report.
    pub(crate) fn report(&self, name: &str, load: &Load) {
        let now = self.clock.now();
        let mut state = self.lock();
        let report =
            LoadReport { slots: load.slots, busy: load.running + load.waiting, leaving: load.leaving };
        state.desk.pool.record_report(name, report, now);
        let seen = state.cache_seen.get(name).copied().unwrap_or(0);
        for event in load.cache.iter().filter(|event| event.sequence > seen) {
            state.desk.pool.record_cache_event(name, event.prefix, event.added);
        }
        if let Some(last) = load.cache.last() {
            state.cache_seen.insert(name.to_owned(), last.sequence.max(seen));
        }
        self.advance(&mut state);
    }

    /// Marks an upstream as leaving or staying.
    pub(crate) fn leave(&self, name: &str, leaving: bool) -> bool {
        self.lock().desk.pool.set_leaving(name, leaving)
    }

    /// Takes in that a peer knows an upstream to be leaving.
    pub(crate) fn hear_leaving(&self, name: &str) -> bool {
        let now = self.clock.now();
        self.lock().desk.pool.record_leaving_hint(name, now)
    }

    /// The upstreams that this router itself found to be leaving.
    pub(crate) fn leaving(&self) -> Vec<String> {
        self.lock().desk.pool.leaving().map(ToOwned::to_owned).collect()
    }

    /// The upstreams as operators see them.
    pub(crate) fn view(&self) -> BTreeMap<String, route::UpstreamStatus> {
        self.lock().desk.pool.statuses(self.clock.now())
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().desk.waiting()
    }

    /// Notes a request that earns a share of a retry.
    pub(crate) fn deposit(&self) {
        self.lock().retries.deposit();
    }

    /// Takes a retry, if one was earned.
    pub(crate) fn may_retry(&self) -> bool {
        self.lock().retries.withdraw()
    }

    /// Whether this router owns slots of an upstream that serves a model.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.lock().desk.pool.serves(model)
    }

    /// Waits for an upstream; its slot is taken until [`Schedule::end`].
    pub(crate) async fn choose(&self, want: &SubmitRequest<'_>) -> Result<Choice, Refusal> {
        let (chosen, choice) = async_channel::bounded(1);
        // A displaced request learns it because its sender is dropped.
        let (entered, _displaced) = self.lock().desk.submit(want, chosen, self.clock.now());
        let number = match entered {
            SubmitOutcome::Chosen(choice) => return Ok(choice),
            SubmitOutcome::Waiting(number) => number,
            SubmitOutcome::NoUpstream => return Err(nowhere(want.model)),
            SubmitOutcome::Full(millis) => return Err(full(millis.max(COME_BACK_MS))),
            SubmitOutcome::Late(millis) => {
                return Err(late("it could not begin before its deadline", millis.max(COME_BACK_MS)));
            }
        };
        let waiting = Waiting { schedule: self, model: want.model, number, choice };
        let limit = Duration::from_millis(want.deadline.saturating_sub(self.clock.now()));
        match exec::timeout(limit, waiting.choice.recv()).await {
            Some(Ok(choice)) => Ok(choice),
            Some(Err(_)) => Err(late("it was displaced by more urgent work", COME_BACK_MS)),
            None => Err(late("no upstream became free before its deadline", COME_BACK_MS)),
        }
    }

    /// The upstream that all routers prefer for a prefix, and the routers that own it.
    pub(crate) fn home(&self, bundle: &Bundle, model: &str, prefix: u64) -> Option<(String, Vec<String>)> {
        let serving: Vec<&str> = bundle
            .serving()
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

    /// The routers that own an upstream.
    pub(crate) fn owners(&self, upstream: &str) -> Vec<String> {
        self.lock().owners.get(upstream).cloned().unwrap_or_default()
    }

    /// Takes a slot of one upstream for a peer's request, if it is free.
    pub(crate) fn take_at(&self, want: &SubmitRequest<'_>, at: &str) -> Option<String> {
        let now = self.clock.now();
        self.lock().desk.lend(want, Some(at), now)
    }

    /// Gives back a slot and lets the next request go.
    pub(crate) fn end(&self, name: &str) {
        let mut state = self.lock();
        state.desk.pool.release(name);
        self.advance(&mut state);
    }

    /// Notes that a run went well.
    pub(crate) fn succeed(&self, name: &str, gap: Option<f64>) {
        self.lock().desk.pool.record_success(name, gap);
    }

    /// Notes that a run failed; `true` if the upstream is ejected for it.
    pub(crate) fn fail(&self, name: &str) -> bool {
        let now = self.clock.now();
        self.lock().desk.pool.record_failure(name, now)
    }

    /// Sends waiting requests off while upstreams are free.
    fn advance(&self, state: &mut State) {
        let sent = state.desk.dispatch_waiting(self.clock.now(), Sender::is_closed);
        for (chosen, choice) in sent {
            let upstream = choice.upstream.clone();
            if chosen.try_send(choice).is_err() {
                state.desk.pool.release(&upstream);
            }
        }
    }
}

/// Takes a request out of the line when it no longer waits, and gives back a choice that nobody took.
struct Waiting<'a, C: Clock> {
    schedule: &'a Schedule<C>,
    model: &'a str,
    number: u64,
    choice: Receiver<Choice>,
}

impl<C: Clock> Drop for Waiting<'_, C> {
    fn drop(&mut self) {
        let mut state = self.schedule.lock();
        // Whether it got a slot here or at a peer, the line moved on by one.
        state.desk.remove_served(self.model, self.number, self.schedule.clock.now());
        if let Ok(choice) = self.choice.try_recv() {
            state.desk.pool.release(&choice.upstream);
            self.schedule.advance(&mut state);
        }
    }
}

fn nowhere(model: &str) -> Refusal {
    let message = format!("no upstream serves model {model} at this router now");
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_upstream", "route", message)
        .retry_after(COME_BACK_MS)
}

fn full(millis: u64) -> Refusal {
    let message = "too many requests wait for an upstream".to_owned();
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "queue_full", "route", message).retry_after(millis)
}

fn late(reason: &str, millis: u64) -> Refusal {
    let message = format!("the request was not sent to an upstream: {reason}");
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "too_late", "route", message).retry_after(millis)
}
