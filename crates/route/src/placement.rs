//! Places requests on the upstreams of many services, by an estimate of the time to the first answer.
//!
//! Routers share no counts: each estimates an upstream's load from its own dispatches and from those that
//! other routers report. Requests with a common prompt part prefer the same upstream at every router, so that
//! its cache and the load from other routers stay predictable. If a service has engines for both, long and
//! short prompts go to different engines.

mod candidates;
mod capacity;
mod estimate;
mod upstream;

use self::candidates::{Candidates, Group};
use self::estimate::{EngineEstimator, estimate_plain, median_call_ms};
use self::upstream::{AwaitingDispatch, RunningDispatch, Service, Upstream};
use crate::Millis;
use crate::brittle::Brittleness;
use crate::connections;
use crate::division::{Division, Member};
use crate::engine::{self, Model, Pace};
use crate::health::{Health, HealthStatus};
use crate::read_queue::ReadQueue;
use crate::roster::Roster;
use crate::signals::Signals;
use crate::version::Version;
use crate::warmup::{Warmup, WarmupTracker};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// The weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// The weight of a new sample in the average time of a call to a plain service.
const CALL_TIME_WEIGHT: f64 = 0.1;
/// The number of other routers' runs remembered for each engine.
const MAX_REPORTED_RUNS: usize = 512;
/// The minimum and maximum factor by which a run is assumed to take longer than its events alone. Samples are
/// limited to this range, since a run that was broken off says little about the duration.
const STRETCH_RANGE: (f64, f64) = (1.0, 4.0);
/// The time for which the usual pace of a service's engines is cached, in milliseconds. The pace takes
/// seconds to change, and computing it sorts the paces of all engines, for each dispatch that is sent or
/// reported.
const PACE_CACHE_MS: Millis = 100;
/// Pauses below this share of the intended longest pause are not counted: they are too long on no engine that
/// gets work.
const MIN_PAUSE_SHARE: f64 = 0.5;
/// The largest number of pauses reported with one dispatch, so that they fit into a datagram.
const MAX_REPORTED_PAUSES: usize = 16;

/// The longest run, in milliseconds, and the longest prompt, in tokens, that are accepted from another
/// router's report: several times what current engines handle.
const MAX_RUN_MS: f64 = 600_000.0;
const MAX_PROMPT_TOKENS: u32 = 4_000_000;

/// A part of a prompt. The parts are in the order in which they occur in the prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The identity of the part.
    pub id: u64,
    /// The length of the part, in tokens.
    pub tokens: u32,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamInfo {
    /// The service that the upstream runs.
    pub service: String,
    /// The data centre of the upstream.
    pub data_centre: String,
    /// The number of requests that the upstream works on at once.
    pub slots: u32,
    /// The version of its software.
    pub version: Version,
}

/// A prompt, and the targets for its stream.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// The parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// The length of the whole prompt, in tokens.
    pub input: u64,
    /// The expected number of events in the answer.
    pub events: u64,
    /// The operator's target for the time to the first answer, in milliseconds.
    pub target_ms: u64,
    /// The operator's target for the longest pause between events, in milliseconds.
    pub gap_ms: u64,
}

/// The requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that the request is for.
    pub service: &'a str,
    /// The prompt, if the request is for an engine.
    pub prompt: Option<Prompt<'a>>,
    /// Upstreams that must not be chosen again.
    pub avoid: &'a [String],
    /// The only software version at which the request may run, if it takes up a stream.
    pub version: Option<Version>,
    /// The only upstream that may be chosen.
    pub only: Option<&'a str>,
}

/// The chosen upstream, and the estimates that decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The name of the upstream.
    pub upstream: String,
    /// The cost that decided, in milliseconds.
    pub cost: f64,
    /// The prompt tokens that are not cached and have to be read.
    pub uncached: u32,
    /// The estimated time to the first answer, in milliseconds.
    pub first_ms: f64,
    /// Whether reading the prompt takes long compared with the longest pause that streams on the same engine
    /// should have.
    pub is_long: bool,
    /// Whether the upstream is reserved for short prompts.
    pub is_reserved: bool,
    /// The time between two events while the upstream reads no prompt, in milliseconds, if it is known.
    pub event_ms: Option<f64>,
    /// The expected duration of the run, in milliseconds; 0 for a call at an upstream of which none is known.
    pub lasts_ms: f64,
    /// The expected duration of the run's events if the upstream reads no prompt meanwhile, in milliseconds.
    pub events_ms: f64,
    /// The number of requests on the upstream that this router knows of.
    pub open: u32,
    /// The number of upstreams that could be chosen.
    pub candidates: usize,
}

/// A dispatch as its router reports it to the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DispatchHint {
    /// The prompt tokens that have to be read.
    pub unread: u32,
    /// The expected duration of the run, in milliseconds.
    pub lasts_ms: f64,
    /// The time between two events of this engine while it reads no prompt, as its router estimates it, in
    /// milliseconds, if known.
    pub event_ms: Option<f64>,
    /// Long pauses of streams of the same service that the router observed since its last report, in
    /// milliseconds, scaled to an engine of the usual speed.
    #[serde(default)]
    pub pauses_ms: SmallVec<[u16; 4]>,
    /// The totals of the router's dispatches to the same service since its last report, including this one.
    #[serde(default)]
    pub since: DispatchTotals,
}

impl UpstreamInfo {
    /// Whether another upstream runs the same service in the same data centre.
    fn is_placed_like(&self, other: &UpstreamInfo) -> bool {
        self.service == other.service && self.data_centre == other.data_centre
    }
}

impl DispatchHint {
    /// Whether the values are plausible for a dispatch. Those of an altered message may be anything.
    pub fn is_plausible(&self) -> bool {
        let is_time = |ms: f64| (0.0..MAX_RUN_MS).contains(&ms);
        self.unread <= MAX_PROMPT_TOKENS && is_time(self.lasts_ms) && self.event_ms.is_none_or(is_time)
    }
}

/// Totals of dispatches to one service. Not every dispatch is reported, but all of them count towards the
/// load and towards the streams that may be late.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct DispatchTotals {
    /// The tokens of long prompts that had to be read.
    pub long: u32,
    /// The tokens of short prompts that had to be read.
    pub short: u32,
    /// The number of short streams that started on engines which also read long prompts.
    pub streams: u32,
}

/// The number of one of this router's dispatches.
pub type DispatchId = u64;

/// The upstreams that one router knows.
#[derive(Clone, Debug)]
pub struct Placer {
    data_centre: String,
    /// The seed of this gateway's order of upstreams; `None` for an order by name.
    order_seed: Option<u64>,
    upstreams: BTreeMap<String, Upstream>,
    /// The names of each service's upstreams, in this gateway's order.
    groups: HashMap<String, Group>,
    /// Kept even if the upstreams disappear from the list.
    signals: Signals,
    brittleness: Brittleness,
    /// Data centres whose upstreams get no requests, on the operators' request.
    evacuated: BTreeSet<String>,
    warmups: HashMap<String, Warmup>,
    /// The connections that each upstream of a service accepts from all gateways together.
    connection_limits: HashMap<String, usize>,
    /// The gateways, which determine this gateway's part of what upstreams accept.
    pub roster: Roster,
    services: HashMap<String, Service>,
    awaiting: HashMap<DispatchId, AwaitingDispatch>,
    running: HashMap<DispatchId, RunningDispatch>,
    /// Dispatches that no longer count as open, but have not ended.
    released: HashSet<DispatchId>,
    last_id: DispatchId,
}

impl Placer {
    /// Creates a placer without upstreams for a router in `data_centre`.
    pub fn new(data_centre: &str) -> Placer {
        Placer {
            data_centre: data_centre.to_owned(),
            order_seed: None,
            upstreams: BTreeMap::new(),
            groups: HashMap::new(),
            signals: Signals::default(),
            brittleness: Brittleness::default(),
            evacuated: BTreeSet::new(),
            warmups: HashMap::new(),
            connection_limits: HashMap::new(),
            roster: Roster::default(),
            services: HashMap::new(),
            awaiting: HashMap::new(),
            running: HashMap::new(),
            released: HashSet::new(),
            last_id: 0,
        }
    }

    /// Prefers the upstreams in an order of this gateway's own where their costs are equal. With the same
    /// order everywhere, gateways that know nothing of each other's dispatches would all choose the same
    /// upstream. Without a gateway's name, the order is that of the upstreams' names.
    ///
    /// Call it before upstreams are added.
    pub fn with_gateway(mut self, name: &str) -> Placer {
        self.order_seed = Some(xxh3_64(name.as_bytes()));
        self
    }

    /// Adds or changes an upstream.
    pub fn set(&mut self, name: &str, info: UpstreamInfo, leaving: bool) {
        if self.upstreams.get(name).is_none_or(|upstream| !upstream.info.is_placed_like(&info)) {
            self.remove_from_group(name);
            let is_near = info.data_centre == self.data_centre;
            let group = self.groups.entry(info.service.clone()).or_default();
            group.insert(name, self.order_seed, is_near);
        }
        match self.upstreams.get_mut(name) {
            Some(upstream) => {
                upstream.info = info;
                upstream.leaving = leaving;
            }
            None => {
                let upstream = Upstream {
                    info,
                    first_dispatch: self.last_id + 1,
                    leaving,
                    open: 0,
                    overdue: 0,
                    reads: ReadQueue::default(),
                    reported_runs: VecDeque::new(),
                    pace: Pace::default(),
                    failures: 0.0,
                    call_ms: 0.0,
                    health: Health::default(),
                    parts: HashMap::new(),
                    part_order: VecDeque::new(),
                    warmup: WarmupTracker::default(),
                };
                self.upstreams.insert(name.to_owned(), upstream);
            }
        }
    }

    /// Removes an upstream that is no longer listed. What it signalled about itself stays in force, since its
    /// entry may come back.
    pub fn remove(&mut self, name: &str) {
        self.remove_from_group(name);
        self.upstreams.remove(name);
    }

    fn remove_from_group(&mut self, name: &str) {
        let Some(Upstream { info, .. }) = self.upstreams.get(name) else { return };
        if let Some(group) = self.groups.get_mut(&info.service) {
            group.remove(name, self.order_seed, info.data_centre == self.data_centre);
        }
    }

    /// Removes an upstream and all that it signalled, because a new instance of it has started.
    pub fn forget(&mut self, name: &str) {
        self.remove(name);
        self.signals.forget(name);
    }

    fn is_evacuated(&self, upstream: &Upstream) -> bool {
        self.evacuated.contains(&upstream.info.data_centre)
    }

    /// Stops dispatches to the upstreams of a data centre. Returns whether this is new.
    pub fn evacuate(&mut self, data_centre: &str) -> bool {
        self.evacuated.insert(data_centre.to_owned())
    }

    /// Resumes dispatches to the upstreams of a data centre. Returns whether they were stopped. They may have
    /// lost their caches meanwhile, which the list may report only later, so they are assumed to be warming
    /// up.
    pub fn restore(&mut self, data_centre: &str, now: Millis) -> bool {
        if !self.evacuated.remove(data_centre) {
            return false;
        }
        let warmups = &self.warmups;
        for upstream in self.upstreams.values_mut() {
            let warmup = warmups.get(&upstream.info.service);
            if let Some(warmup) = warmup.filter(|_| upstream.info.data_centre == data_centre) {
                upstream.warmup.start(warmup.duration_ms, now);
            }
        }
        true
    }

    /// The data centres whose upstreams get no requests.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// Sets how many requests the upstreams of each service accept while they warm up. Upstreams of services
    /// that are not named are not limited.
    pub fn set_warmups(&mut self, warmups: HashMap<String, Warmup>) {
        self.warmups = warmups;
    }

    /// Sets how many connections each upstream of a service accepts from all gateways together. Upstreams of
    /// services that are not named are not limited.
    pub fn set_connection_limits(&mut self, limits: HashMap<String, usize>) {
        self.connection_limits = limits;
    }

    /// The number of connections that this gateway may open to an upstream, if its equal share of those that
    /// the upstream accepts is `share`; 0 if the upstream is left to other gateways.
    pub fn max_connections(&self, name: &str, share: usize) -> usize {
        let service = self.upstreams.get(name).map(|upstream| upstream.info.service.as_str());
        let connecting = service.and_then(|service| self.connecting_gateways(service));
        connections::max_connections(share, self.connects_to(name, connecting))
    }

    /// The number of gateways that connect to each upstream of a service; `None` if all do.
    fn connecting_gateways(&self, service: &str) -> Option<usize> {
        let (limit, group) = (self.connection_limits.get(service)?, self.groups.get(service)?);
        let gateways = self.roster.gateways();
        let connecting = connections::connecting_gateways(*limit, group.len(), gateways);
        (connecting < gateways).then_some(connecting)
    }

    /// Whether this gateway connects to an upstream, if that many gateways do.
    fn connects_to(&self, name: &str, connecting: Option<usize>) -> bool {
        connecting.is_none_or(|count| self.roster.is_among_first(name, count))
    }

    /// Chooses the upstream with the lowest cost, which is mainly the estimated time to the first answer;
    /// `None` if no upstream fits the request.
    pub fn choose(&self, request: &PlacementRequest<'_>, now: Millis) -> Option<Placement> {
        let unknown = Service::default();
        let service = self.services.get(request.service).unwrap_or(&unknown);
        let Candidates { upstreams: candidates, home } = self.candidates(request, service, now)?;
        let estimator = request
            .prompt
            .as_ref()
            .map(|prompt| EngineEstimator::new(prompt, &candidates, home, service, now));
        let median_ms = median_call_ms(&candidates);
        let estimate = |name: &str, upstream: &Upstream| {
            let mut estimate = match &estimator {
                Some(estimator) => estimator.estimate(name, upstream),
                None => estimate_plain(upstream, median_ms),
            };
            estimate.cost += upstream.penalty(&self.data_centre, now);
            estimate
        };
        let (name, upstream, estimate) = candidates
            .iter()
            .map(|(name, upstream)| (*name, *upstream, estimate(name, upstream)))
            .min_by(|left, right| left.2.cost.total_cmp(&right.2.cost))?;
        Some(Placement {
            upstream: name.to_owned(),
            cost: estimate.cost,
            uncached: estimate.uncached,
            first_ms: estimate.first_ms,
            lasts_ms: estimate.lasts_ms,
            events_ms: estimate.events_ms,
            is_long: estimator.is_some_and(|estimator| estimator.is_long),
            is_reserved: estimate.is_reserved,
            event_ms: upstream.pace.event_ms(),
            open: upstream.open_runs(now),
            candidates: candidates.len(),
        })
    }

    /// Records a dispatch to the chosen upstream.
    pub fn begin(&mut self, chosen: &Placement, prompt: Option<&Prompt<'_>>, now: Millis) -> DispatchId {
        self.last_id += 1;
        let id = self.last_id;
        if let Some(upstream) = self.upstreams.get_mut(&chosen.upstream) {
            self.brittleness.record_dispatch(&capacity::place(&chosen.upstream, upstream), &self.roster, now);
            upstream.open += 1;
            upstream.warmup.send(now);
            self.signals.send(&chosen.upstream, now);
            let parts = prompt.map(|prompt| prompt.parts).unwrap_or_default();
            parts.iter().for_each(|part| upstream.remember_part(part.id, now));
        }
        if let Some(prompt) = prompt {
            if !chosen.is_long
                && let Some(service) = self.service_mut(&chosen.upstream)
            {
                service.load.gap_ms = prompt.gap_ms as f64;
                service.record_short_stream(&chosen.upstream, now);
            }
            if let Some(service) = self.service_mut(&chosen.upstream) {
                service.record_dispatch(chosen, now);
            }
            let was_idle = self.enqueue_read(&chosen.upstream, Some(id), chosen.uncached, now);
            self.awaiting.insert(
                id,
                AwaitingDispatch {
                    sent: now,
                    unread: chosen.uncached,
                    events_ms: chosen.events_ms,
                    was_idle,
                },
            );
        }
        id
    }

    /// Records a dispatch that another router reports.
    pub fn record_dispatch_hint(&mut self, name: &str, hint: &DispatchHint, now: Millis) {
        self.enqueue_read(name, None, hint.unread, now);
        if let Some(service) = self.service_mut(name) {
            service.load.add(true, hint.since.long, now);
            service.load.add(false, hint.since.short, now);
            service.interference.add_streams(hint.since.streams, now);
            let gap_ms = service.load.gap_ms;
            hint.pauses_ms.iter().for_each(|ms| service.interference.add_pause(f64::from(*ms), gap_ms, now));
        }
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        if let Some(ms) = hint.event_ms {
            upstream.pace.record_hint(ms);
        }
        upstream.reported_runs.retain(|until| *until > now as f64);
        if upstream.reported_runs.len() < MAX_REPORTED_RUNS {
            upstream.reported_runs.push_back(now as f64 + hint.lasts_ms);
        }
    }

    /// Adds a prompt to those that an engine has to read. Returns whether there were none before.
    fn enqueue_read(&mut self, name: &str, own: Option<DispatchId>, unread: u32, now: Millis) -> bool {
        let median_pace = self.cached_median_pace(name, now);
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        let service = self.services.entry(upstream.info.service.clone()).or_default();
        let read_ms = service.model.read_ms(f64::from(unread));
        let was_idle = upstream.reads.is_idle(now);
        upstream.reads.push(own, read_ms * upstream.pace.slowness(median_pace), now);
        was_idle
    }

    /// Records the first answer to a dispatch, which means that its prompt was read.
    pub fn record_first_answer(&mut self, name: &str, id: DispatchId, now: Millis) {
        let median_pace = self.cached_median_pace(name, now);
        let awaiting = self.awaiting.remove(&id);
        if let Some(AwaitingDispatch { events_ms, .. }) = awaiting {
            self.running.insert(id, RunningDispatch { since: now, events_ms });
        }
        let Some(upstream) = self.upstreams.get_mut(name).filter(|upstream| id >= upstream.first_dispatch)
        else {
            return;
        };
        upstream.reads.remove(id, true, now);
        let Some(awaiting) = awaiting.filter(|awaiting| awaiting.was_idle) else { return };
        let ms = now.saturating_sub(awaiting.sent) as f64 / upstream.pace.slowness(median_pace);
        if let Some(service) = self.services.get_mut(&upstream.info.service) {
            service.model.record_first_answer(ms, f64::from(awaiting.unread));
        }
    }

    /// Stops counting a dispatch as open, because nothing is expected to arrive on its connection any more. Its place
    /// at the upstream is free from now on. Returns whether it was counted before.
    pub fn release(&mut self, name: &str, id: DispatchId, now: Millis) -> bool {
        if self.released.contains(&id) {
            return false;
        }
        self.end(name, id, now);
        self.released.insert(id)
    }

    /// Records the end of a dispatch.
    pub fn end(&mut self, name: &str, id: DispatchId, now: Millis) {
        if self.released.remove(&id) {
            return;
        }
        self.awaiting.remove(&id);
        if let Some(running) = self.running.remove(&id)
            && let Some(service) = self.service_mut(name)
        {
            service.record_run_end(running, now);
        }
        if let Some(upstream) = self.upstreams.get_mut(name).filter(|upstream| id >= upstream.first_dispatch)
        {
            upstream.open = upstream.open.saturating_sub(1);
            upstream.reads.remove(id, false, now);
        }
    }

    /// Records the shortest of several times between two events of a stream, in milliseconds.
    pub fn record_baseline_pause(&mut self, name: &str, ms: f64) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.pace.record(ms);
        }
    }

    /// Records a long pause between two events of a stream, in milliseconds. The second event arrived at
    /// `now`.
    pub fn record_pause(&mut self, name: &str, ms: f64, now: Millis) {
        let median_pace = self.cached_median_pace(name, now);
        let Some(upstream) = self.upstreams.get(name) else { return };
        let ms = ms / upstream.pace.slowness(median_pace);
        let Some(service) = self.services.get_mut(&upstream.info.service) else { return };
        if service.division.is_reserved(name) || ms < MIN_PAUSE_SHARE * service.load.gap_ms {
            return;
        }
        service.interference.add_pause(ms, service.load.gap_ms, now);
        if service.unreported_pauses.len() < MAX_REPORTED_PAUSES {
            service.unreported_pauses.push(ms as u16);
        }
    }

    /// The report of a dispatch for the other routers. Includes the pauses and totals that were not reported
    /// yet.
    pub fn take_hint(&mut self, chosen: &Placement) -> DispatchHint {
        let Placement { uncached: unread, lasts_ms, event_ms, .. } = *chosen;
        let service = self.service_mut(&chosen.upstream);
        let unreported = service.map(|Service { unreported_pauses, unreported_totals, .. }| {
            (std::mem::take(unreported_pauses), std::mem::take(unreported_totals))
        });
        let (pauses_ms, since) = unreported.unwrap_or_default();
        DispatchHint { unread, lasts_ms, event_ms, pauses_ms, since }
    }

    /// Adapts the division of each service's engines between long and short prompts, and returns the engines
    /// that are reserved for short ones. One router does so, and the others
    /// [`follow_division`](Placer::follow_division).
    pub fn adapt_divisions(&mut self, now: Millis) -> impl Iterator<Item = (&str, &[String])> {
        for (service, known) in &mut self.services {
            let same_service =
                || self.upstreams.iter().filter(|(_, upstream)| upstream.info.service == *service);
            let median_pace = engine::median_pace(same_service().map(|(_, upstream)| upstream.pace));
            let serving = same_service().filter(|(name, upstream)| {
                let is_evacuated = self.evacuated.contains(&upstream.info.data_centre);
                !upstream.leaving && !is_evacuated && !self.signals.is_leaving(name)
            });
            let members = serving.map(|(name, upstream)| Member {
                name,
                slowness: upstream.pace.event_ms().map(|_| upstream.pace.slowness(median_pace)),
            });
            let gap_ms = known.load.gap_ms;
            let late_share = |slowness| known.interference.late_share(slowness, gap_ms, now);
            known.division.adapt(members, &known.load, late_share);
        }
        self.services.iter().map(|(name, service)| (name.as_str(), service.division.reserved()))
    }

    /// Adopts another router's division of a service's engines. Returns whether it differs from the current
    /// one.
    pub fn follow_division(&mut self, service: &str, reserved: &[String]) -> bool {
        let division = &mut self.services.entry(service.to_owned()).or_default().division;
        let is_new = division.reserved() != reserved;
        *division = Division::follow(reserved.to_vec());
        is_new
    }

    fn service_mut(&mut self, name: &str) -> Option<&mut Service> {
        let upstream = self.upstreams.get(name)?;
        Some(self.services.entry(upstream.info.service.clone()).or_default())
    }

    /// The usual pace of the engines of an upstream's service, which may be cached for a moment.
    fn cached_median_pace(&mut self, name: &str, now: Millis) -> f64 {
        let Some(service) = self.upstreams.get(name).map(|upstream| &upstream.info.service) else {
            return engine::median_pace(std::iter::empty());
        };
        if let Some(Service { cached_pace: Some((ms, at)), .. }) = self.services.get(service)
            && now.saturating_sub(*at) < PACE_CACHE_MS
        {
            return *ms;
        }
        let sample = self.groups.get(service).into_iter().flat_map(|group| {
            let names = group.names(self.max_candidates(group));
            names.filter_map(|name| self.upstreams.get(name))
        });
        let ms = engine::median_pace(sample.map(|upstream| upstream.pace));
        self.services.entry(service.clone()).or_default().cached_pace = Some((ms, now));
        ms
    }

    /// Records that a request waits unusually long for its first answer, or that such a request no longer
    /// waits.
    pub fn record_overdue(&mut self, name: &str, is_waiting: bool) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.overdue =
                if is_waiting { upstream.overdue + 1 } else { upstream.overdue.saturating_sub(1) };
        }
    }

    /// Records an answer and, for a plain service, the time that the call took, in milliseconds.
    pub fn record_success(&mut self, name: &str, call_ms: Option<f64>) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.health.record_success();
            upstream.failures -= FAILURE_WEIGHT * upstream.failures;
            if let Some(ms) = call_ms {
                let weight = if upstream.call_ms == 0.0 { 1.0 } else { CALL_TIME_WEIGHT };
                upstream.call_ms += weight * (ms - upstream.call_ms);
            }
        }
    }

    /// Records that the upstream answered with an error of its own: it is reachable, but works badly.
    pub fn record_error(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.failures += FAILURE_WEIGHT * (1.0 - upstream.failures);
        }
    }

    /// Records that the upstream could not be reached or broke off a request. Returns whether it is ejected.
    pub fn record_failure(&mut self, name: &str, now: Millis) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        upstream.failures += FAILURE_WEIGHT * (1.0 - upstream.failures);
        if !upstream.health.record_failure(now) {
            return false;
        }
        let until = upstream.health.eject(now, false);
        // The upstream may have restarted, which the list reports only after the first gateways have tried it
        // again.
        if let Some(warmup) = self.warmups.get(&upstream.info.service) {
            upstream.warmup.mark_uncertain(until.saturating_sub(now) + warmup.duration_ms, now);
        }
        upstream.parts.clear();
        upstream.part_order.clear();
        true
    }

    /// Discards the failures and ejections of all upstreams, because they were not the upstreams' own.
    pub fn forget_failures(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.health.forget_failures();
            upstream.failures = 0.0;
        }
    }

    /// The learned model of each service's engines, with their usual pace in milliseconds.
    pub fn models(&self) -> impl Iterator<Item = (&str, &Model, f64)> {
        self.services.iter().filter(|(_, service)| service.load.is_known()).map(|(name, service)| {
            let same_service = self.upstreams.values().filter(|upstream| upstream.info.service == *name);
            (name.as_str(), &service.model, engine::median_pace(same_service.map(|upstream| upstream.pace)))
        })
    }

    /// The share of a service's short streams that are late because of long prompts read on the same engine,
    /// at the usual speed, if it is known.
    pub fn late_share(&self, service: &str, now: Millis) -> Option<f64> {
        let service = self.services.get(service)?;
        service.interference.late_share(1.0, service.load.gap_ms, now)
    }

    /// The factor by which each engine of a service is slower than usual.
    pub fn slowness(&self, service: &str) -> Vec<(&str, f64)> {
        let same_service = || self.upstreams.iter().filter(|(_, upstream)| upstream.info.service == service);
        let median_pace = engine::median_pace(same_service().map(|(_, upstream)| upstream.pace));
        same_service().map(|(name, upstream)| (name.as_str(), upstream.pace.slowness(median_pace))).collect()
    }

    /// The health status of an upstream.
    pub fn health_status(&self, name: &str, now: Millis) -> Option<HealthStatus> {
        self.upstreams.get(name).map(|upstream| upstream.health.status(now))
    }

    /// The service of an upstream.
    pub fn service(&self, name: &str) -> Option<&str> {
        self.upstreams.get(name).map(|upstream| upstream.info.service.as_str())
    }

    /// The number of open requests on each upstream that has any.
    pub fn open_requests(&self) -> impl Iterator<Item = (&str, u32)> {
        let busy = self.upstreams.iter().filter(|(_, upstream)| upstream.open > 0);
        busy.map(|(name, upstream)| (name.as_str(), upstream.open))
    }
}
