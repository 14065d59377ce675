//! Placing requests on the upstreams of many services, by an estimate of the time to the first answer.
//!
//! Routers share no counts: each estimates an upstream's load from its own dispatches and from those that others
//! tell it of. Requests with a common prompt part prefer the same upstream at every router, so its cache and the
//! others' load stay predictable. Long prompts and short ones go to different engines where there are both.

mod estimate;
mod upstream;

use self::estimate::{Scene, plain, typical_call};
use self::upstream::{Awaited, Running, Service, Upstream};
use crate::Millis;
use crate::division::{Division, Member};
use crate::engine::{self, Model, Pace};
use crate::health::{Health, HealthStatus};
use crate::limit::LimitUpdate;
use crate::read_queue::ReadQueue;
use crate::roster::Roster;
use crate::signals::Signals;
use crate::warmup::{Heat, Warming, Warmup};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Weight of a new outcome in the share of failures.
const FAILURE_SAMPLE: f64 = 0.2;
/// Weight of a new sample in the average pace of a plain service.
const PACE_SAMPLE: f64 = 0.1;
/// Others' runs remembered for each engine.
const HEARD_RUNS: usize = 512;
/// How many times longer than its events alone a run is taken to last at least and at most: one that was broken off says
/// less.
const STRETCH: (f64, f64) = (1.0, 4.0);
/// How long the usual pace of a service's engines is believed, in milliseconds: it takes seconds to change, and to find it
/// sorts those of all engines, for each dispatch that is sent or heard of.
const USUAL_MS: Millis = 100;
/// Pauses below this part of the intended longest one are not counted: they are too long at no engine that gets work.
const SHORT_PAUSE: f64 = 0.5;
/// Pauses told with one dispatch at most: a datagram holds them.
const TOLD_PAUSES: usize = 16;

/// The longest time that another router is believed to expect of a run, in milliseconds, and the longest prompt, in tokens:
/// some times what today's engines take.
const LONGEST_MS: f64 = 600_000.0;
const MOST_TOKENS: u32 = 4_000_000;

/// A part of a prompt, in the order in which the prompt holds them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its identity.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamInfo {
    /// The service that it runs.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// A prompt, and what its stream is meant to keep to.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Its parts, in order.
    pub parts: &'a [PromptPart],
    /// All of its tokens.
    pub input: u64,
    /// Events that are expected to come out.
    pub events: u64,
    /// The time to a first answer that the operator aims at, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between events that the operator aims at, in milliseconds.
    pub gap_ms: u64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt, if it is for an engine.
    pub prompt: Option<Prompt<'a>>,
    /// Upstreams that must not be chosen again.
    pub avoid: &'a [String],
}

/// The chosen upstream, and what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream.
    pub upstream: String,
    /// The estimate that decided, in milliseconds.
    pub cost: f64,
    /// Prompt tokens that it has to read.
    pub uncached: u32,
    /// The time to the first answer, as estimated, in milliseconds.
    pub first_ms: f64,
    /// Whether the prompt is long for the streams beside it.
    pub is_long: bool,
    /// Whether the upstream is kept for short work.
    pub is_reserved: bool,
    /// The time between two events while nothing is read there, in milliseconds, if it is known.
    pub event_ms: Option<f64>,
    /// How long the run should last, in milliseconds.
    pub lasts_ms: f64,
    /// How long its events would take while nothing is read, in milliseconds.
    pub events_ms: f64,
    /// Requests that it has, as far as this router knows.
    pub open: u32,
    /// How many could be chosen.
    pub candidates: usize,
}

/// A dispatch, as its router tells the others of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DispatchHint {
    /// Prompt tokens that have to be read.
    pub unread: u32,
    /// How long the run should last, in milliseconds.
    pub lasts_ms: f64,
    /// What its router takes the time between two events of this engine to be while nothing is read, in milliseconds, if
    /// it knows.
    pub event_ms: Option<f64>,
    /// Long pauses of streams of the same service that its router saw since it told the last dispatch, in milliseconds at
    /// an engine of the usual speed.
    #[serde(default)]
    pub pauses_ms: SmallVec<[u16; 4]>,
    /// What its router dispatched to the same service since it told the last dispatch, this one included.
    #[serde(default)]
    pub since: DispatchTotals,
}

impl DispatchHint {
    /// Whether its figures can be of a dispatch: those of an altered message may be anything.
    pub fn is_plausible(&self) -> bool {
        let is_time = |ms: f64| (0.0..LONGEST_MS).contains(&ms);
        self.unread <= MOST_TOKENS && is_time(self.lasts_ms) && self.event_ms.is_none_or(is_time)
    }
}

/// Dispatches to one service, summed up: not each of them is told, but all count in the load and among the streams that
/// may be late.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct DispatchTotals {
    /// Tokens of long prompts that had to be read.
    pub long: u32,
    /// Tokens of short ones.
    pub short: u32,
    /// Short streams that began where long prompts are read too.
    pub streams: u32,
}

/// The number of one of this router's dispatches.
pub type DispatchId = u64;

/// The upstreams as one router sees them.
#[derive(Clone, Debug)]
pub struct Placer {
    data_centre: String,
    upstreams: BTreeMap<String, Upstream>,
    /// Outlives the upstreams' places in the list.
    signals: Signals,
    /// Data centres whose upstreams get nothing, by the operators' word.
    evacuated: BTreeSet<String>,
    warmups: HashMap<String, Warmup>,
    /// The gateways, for the parts that each takes of what upstreams bear while they warm up.
    pub roster: Roster,
    services: HashMap<String, Service>,
    awaited: HashMap<DispatchId, Awaited>,
    running: HashMap<DispatchId, Running>,
    tickets: DispatchId,
}

impl Placer {
    /// No upstreams, seen from `data_centre`.
    pub fn new(data_centre: &str) -> Placer {
        Placer {
            data_centre: data_centre.to_owned(),
            upstreams: BTreeMap::new(),
            signals: Signals::default(),
            evacuated: BTreeSet::new(),
            warmups: HashMap::new(),
            roster: Roster::default(),
            services: HashMap::new(),
            awaited: HashMap::new(),
            running: HashMap::new(),
            tickets: 0,
        }
    }

    /// Adds or changes an upstream.
    pub fn set(&mut self, name: &str, site: UpstreamInfo, leaving: bool) {
        match self.upstreams.get_mut(name) {
            Some(upstream) => {
                upstream.site = site;
                upstream.leaving = leaving;
            }
            None => {
                let upstream = Upstream {
                    site,
                    first: self.tickets + 1,
                    leaving,
                    open: 0,
                    overdue: 0,
                    reads: ReadQueue::default(),
                    heard: VecDeque::new(),
                    pace: Pace::default(),
                    failures: 0.0,
                    call_ms: 0.0,
                    health: Health::default(),
                    parts: HashMap::new(),
                    order: VecDeque::new(),
                    warming: Warming::default(),
                };
                self.upstreams.insert(name.to_owned(), upstream);
            }
        }
    }

    /// Takes an upstream away that is not listed any more. What it said of itself holds on: its entry may come back.
    pub fn remove(&mut self, name: &str) {
        self.upstreams.remove(name);
    }

    /// Forgets an upstream with all it said: another life of it begins.
    pub fn forget(&mut self, name: &str) {
        self.upstreams.remove(name);
        self.signals.forget(name);
    }

    /// Takes in an upstream's word that it leaves; `true` if that is new.
    pub fn mark_leaving(&mut self, name: &str, now: Millis) -> bool {
        self.signals.leave(name, now)
    }

    /// Takes in that an upstream wants nothing for so many milliseconds; those that it gets.
    pub fn back_off(&mut self, name: &str, ms: Millis, now: Millis) -> Millis {
        self.signals.rest(name, ms, now)
    }

    /// Whether an upstream takes work, by the list, by its own word and by the operators'.
    pub fn admits(&self, name: &str, now: Millis) -> bool {
        let is_listed = |upstream: &Upstream| !upstream.leaving && !self.is_evacuated(upstream);
        self.upstreams.get(name).is_some_and(is_listed) && self.signals.admits(name, now)
    }

    fn is_evacuated(&self, upstream: &Upstream) -> bool {
        self.evacuated.contains(&upstream.site.data_centre)
    }

    /// Sends nothing more to the upstreams of a data centre; `true` if that is new.
    pub fn evacuate(&mut self, data_centre: &str) -> bool {
        self.evacuated.insert(data_centre.to_owned())
    }

    /// Takes a data centre's upstreams back; `true` if they got nothing before. They may have lost their caches meanwhile, which the
    /// list may tell later than this comes, and are taken to warm up.
    pub fn restore(&mut self, data_centre: &str, now: Millis) -> bool {
        if !self.evacuated.remove(data_centre) {
            return false;
        }
        let warmups = &self.warmups;
        for upstream in self.upstreams.values_mut() {
            let warmup = warmups.get(&upstream.site.service);
            if let Some(warmup) = warmup.filter(|_| upstream.site.data_centre == data_centre) {
                upstream.warming.begin(warmup.lasts_ms, now);
            }
        }
        true
    }

    /// The data centres whose upstreams get nothing.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// Takes in what the upstreams of each service bear while they warm up; those of others bear what they always do.
    pub fn set_warmups(&mut self, warmups: HashMap<String, Warmup>) {
        self.warmups = warmups;
    }

    /// Takes in that an upstream warms up for so many milliseconds from now on.
    pub fn warm_up(&mut self, name: &str, ms: Millis, now: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.warming.begin(ms, now);
        }
    }

    /// Records the request limit that an upstream's answer names, in requests per second from all gateways together;
    /// `None` if it names none. The answered request was dispatched at `dispatched`.
    pub fn update_limit(
        &mut self,
        name: &str,
        per_s: Option<f64>,
        dispatched: Millis,
        now: Millis,
    ) -> LimitUpdate {
        let sent = self.upstreams.get(name).map(|upstream| upstream.warming.sent(now)).unwrap_or_default();
        self.signals.update_limit(name, per_s, dispatched, &sent, now)
    }

    /// Records what another gateway reports about an upstream's request limit. Returns whether the limit begins or ends.
    pub fn hear_limit(&mut self, name: &str, per_s: Option<f64>, now: Millis) -> bool {
        let sent = self.upstreams.get(name).map(|upstream| upstream.warming.sent(now)).unwrap_or_default();
        self.signals.hear_limit(name, per_s, &sent, now)
    }

    /// The request limit of an upstream, in requests per second from all gateways together, if it named one.
    pub fn limit_per_s(&self, name: &str) -> Option<f64> {
        self.signals.limit_per_s(name)
    }

    /// Whether an upstream accepts one more dispatch of this gateway now; a warm-up or a request limit may prevent it.
    pub fn has_room(&self, name: &str, now: Millis) -> bool {
        self.upstreams.get(name).is_none_or(|upstream| self.bears(name, upstream, Heat::Cold, now))
    }

    /// Whether an upstream bears one more dispatch of this gateway now, if those of this heat count as warming up.
    fn bears(&self, name: &str, upstream: &Upstream, least: Heat, now: Millis) -> bool {
        if self.signals.limit_wait_ms(name, &self.roster, now) > 0 {
            return false;
        }
        match upstream.warming.heat(now) {
            Heat::Warm => return true,
            Heat::Unsure if least == Heat::Cold => return true,
            Heat::Unsure | Heat::Cold => {}
        }
        let warmup = self.warmups.get(&upstream.site.service).copied();
        upstream.warming.admits(name, warmup, &self.roster, now)
    }

    /// Whether an upstream leaves, by the list or by its own word, or has left: then it ends of its own accord.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.upstreams.get(name).is_none_or(|upstream| upstream.leaving) || self.signals.leaves(name)
    }

    /// The time until the first upstream of a service accepts requests again, in milliseconds, if all of them rest or
    /// have reached their limits; `None` if one accepts requests now, or none is left.
    pub fn wait_ms(&self, service: &str, now: Millis) -> Option<Millis> {
        let stays = |(name, upstream): &(&String, &Upstream)| {
            upstream.site.service == service
                && !upstream.leaving
                && !self.is_evacuated(upstream)
                && !self.signals.leaves(name)
        };
        let staying = self.upstreams.iter().filter(stays);
        let wait_ms = |name: &str| {
            self.signals.rests_ms(name, now).max(self.signals.limit_wait_ms(name, &self.roster, now))
        };
        staying.map(|(name, _)| wait_ms(name)).min().filter(|ms| *ms > 0)
    }

    /// Chooses the upstream with the least estimated time to a first answer; `None` if nothing serves the need.
    pub fn choose(&self, need: &PlacementRequest<'_>, now: Millis) -> Option<Placement> {
        let serving_from = |least: Heat| {
            self.upstreams.iter().filter(move |(name, upstream)| {
                upstream.site.service == need.service
                    && !upstream.leaving
                    && !self.is_evacuated(upstream)
                    && self.signals.admits(name, now)
                    && self.bears(name, upstream, least, now)
                    && !need.avoid.iter().any(|avoid| avoid == *name)
            })
        };
        // Where all may have started again, what gets nothing serves nobody.
        let least = if serving_from(Heat::Unsure).next().is_some() { Heat::Unsure } else { Heat::Cold };
        let serving = || serving_from(least);
        let any_fit = serving().any(|(_, upstream)| upstream.is_fit(now));
        let candidates: SmallVec<[(&str, &Upstream); 32]> = serving()
            .filter(|(_, upstream)| !any_fit || upstream.is_fit(now))
            .map(|(name, upstream)| (name.as_str(), upstream))
            .collect();
        let unknown = Service::default();
        let service = self.services.get(need.service).unwrap_or(&unknown);
        let scene = need.prompt.as_ref().map(|prompt| Scene::new(prompt, &candidates, service, now));
        let typical = typical_call(&candidates);
        let estimate = |name: &str, upstream: &Upstream| {
            let mut estimate = match &scene {
                Some(scene) => scene.estimate(name, upstream),
                None => plain(upstream, typical),
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
            is_long: scene.is_some_and(|scene| scene.is_long),
            is_reserved: estimate.is_kept,
            event_ms: upstream.pace.event_ms(),
            open: upstream.runs(now),
            candidates: candidates.len(),
        })
    }

    /// Notes a dispatch as it was chosen.
    pub fn begin(&mut self, chosen: &Placement, prompt: Option<&Prompt<'_>>, now: Millis) -> DispatchId {
        self.tickets += 1;
        let ticket = self.tickets;
        if let Some(upstream) = self.upstreams.get_mut(&chosen.upstream) {
            upstream.open += 1;
            upstream.warming.send(now);
            self.signals.send(&chosen.upstream, now);
            let parts = prompt.map(|prompt| prompt.parts).unwrap_or_default();
            parts.iter().for_each(|part| upstream.remember(part.id, now));
        }
        if let Some(prompt) = prompt {
            if !chosen.is_long
                && let Some(service) = self.service_of(&chosen.upstream)
            {
                service.load.gap_ms = prompt.gap_ms as f64;
                service.begin_short(&chosen.upstream, now);
            }
            if let Some(service) = self.service_of(&chosen.upstream) {
                service.send(chosen, now);
            }
            let is_alone = self.push(&chosen.upstream, Some(ticket), chosen.uncached, now);
            self.awaited.insert(
                ticket,
                Awaited { sent: now, unread: chosen.uncached, events_ms: chosen.events_ms, is_alone },
            );
        }
        ticket
    }

    /// Notes another router's dispatch.
    pub fn hear_dispatch(&mut self, name: &str, told: &DispatchHint, now: Millis) {
        self.push(name, None, told.unread, now);
        if let Some(service) = self.service_of(name) {
            service.load.add(true, told.since.long, now);
            service.load.add(false, told.since.short, now);
            service.harm.begin(told.since.streams, now);
            let gap_ms = service.load.gap_ms;
            told.pauses_ms.iter().for_each(|ms| service.harm.pause(f64::from(*ms), gap_ms, now));
        }
        let Some(upstream) = self.upstreams.get_mut(name) else { return };
        if let Some(ms) = told.event_ms {
            upstream.pace.record_hint(ms);
        }
        upstream.heard.retain(|until| *until > now as f64);
        if upstream.heard.len() < HEARD_RUNS {
            upstream.heard.push_back(now as f64 + told.lasts_ms);
        }
    }

    /// Adds a prompt to what an engine has to read; `true` if that was nothing.
    fn push(&mut self, name: &str, own: Option<DispatchId>, unread: u32, now: Millis) -> bool {
        let usual = self.usual_beside(name, now);
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        let service = self.services.entry(upstream.site.service.clone()).or_default();
        let takes = service.model.read_ms(f64::from(unread));
        let is_alone = upstream.reads.is_idle(now);
        upstream.reads.push(own, takes * upstream.pace.slowness(usual), now);
        is_alone
    }

    /// Notes the first answer of a dispatch: its prompt was read.
    pub fn record_first_answer(&mut self, name: &str, ticket: DispatchId, now: Millis) {
        let usual = self.usual_beside(name, now);
        let awaited = self.awaited.remove(&ticket);
        if let Some(Awaited { events_ms, .. }) = awaited {
            self.running.insert(ticket, Running { since: now, events_ms });
        }
        let Some(upstream) = self.upstreams.get_mut(name).filter(|upstream| ticket >= upstream.first) else {
            return;
        };
        upstream.reads.remove(ticket, true, now);
        let Some(awaited) = awaited.filter(|awaited| awaited.is_alone) else { return };
        let ms = now.saturating_sub(awaited.sent) as f64 / upstream.pace.slowness(usual);
        if let Some(service) = self.services.get_mut(&upstream.site.service) {
            service.model.record_first_answer(ms, f64::from(awaited.unread));
        }
    }

    /// Notes the end of a dispatch.
    pub fn end(&mut self, name: &str, ticket: DispatchId, now: Millis) {
        self.awaited.remove(&ticket);
        if let Some(running) = self.running.remove(&ticket)
            && let Some(service) = self.service_of(name)
        {
            service.end_run(running, now);
        }
        if let Some(upstream) = self.upstreams.get_mut(name).filter(|upstream| ticket >= upstream.first) {
            upstream.open = upstream.open.saturating_sub(1);
            upstream.reads.remove(ticket, false, now);
        }
    }

    /// Notes the shortest of a few times between two events of a stream.
    pub fn record_baseline_pause(&mut self, name: &str, ms: f64) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.pace.record(ms);
        }
    }

    /// Notes a long time between two events of a stream, the second of which came just now.
    pub fn record_pause(&mut self, name: &str, ms: f64, now: Millis) {
        let usual = self.usual_beside(name, now);
        let Some(upstream) = self.upstreams.get(name) else { return };
        let ms = ms / upstream.pace.slowness(usual);
        let Some(service) = self.services.get_mut(&upstream.site.service) else { return };
        if service.division.is_short(name) || ms < SHORT_PAUSE * service.load.gap_ms {
            return;
        }
        service.harm.pause(ms, service.load.gap_ms, now);
        if service.untold.len() < TOLD_PAUSES {
            service.untold.push(ms as u16);
        }
    }

    /// What the other routers should know of a dispatch.
    pub fn take_hint(&mut self, chosen: &Placement) -> DispatchHint {
        let Placement { uncached: unread, lasts_ms, event_ms, .. } = *chosen;
        let service = self.service_of(&chosen.upstream);
        let untold =
            service.map(|Service { untold, sent, .. }| (std::mem::take(untold), std::mem::take(sent)));
        let (pauses_ms, since) = untold.unwrap_or_default();
        DispatchHint { unread, lasts_ms, event_ms, pauses_ms, since }
    }

    /// Adapts the division of each service's engines between long and short work, and names those that are kept for
    /// short work. One router does so, and the others [`follow`](Placer::follow) it.
    pub fn adapt_divisions(&mut self, now: Millis) -> impl Iterator<Item = (&str, &[String])> {
        for (service, known) in &mut self.services {
            let like = || self.upstreams.iter().filter(|(_, upstream)| upstream.site.service == *service);
            let usual = engine::median_pace(like().map(|(_, upstream)| upstream.pace));
            let serving = like().filter(|(name, upstream)| {
                let is_evacuated = self.evacuated.contains(&upstream.site.data_centre);
                !upstream.leaving && !is_evacuated && !self.signals.leaves(name)
            });
            let members = serving.map(|(name, upstream)| Member {
                name,
                slowness: upstream.pace.event_ms().map(|_| upstream.pace.slowness(usual)),
            });
            let gap_ms = known.load.gap_ms;
            let harm = |slowness| known.harm.share(slowness, gap_ms, now);
            known.division.adapt(members, &known.load, harm);
        }
        self.services.iter().map(|(name, service)| (name.as_str(), service.division.short()))
    }

    /// Follows another router's division of a service's engines; `true` if that is new.
    pub fn follow_division(&mut self, service: &str, short: &[String]) -> bool {
        let division = &mut self.services.entry(service.to_owned()).or_default().division;
        let is_new = division.short() != short;
        *division = Division::follow(short.to_vec());
        is_new
    }

    fn service_of(&mut self, name: &str) -> Option<&mut Service> {
        let upstream = self.upstreams.get(name)?;
        Some(self.services.entry(upstream.site.service.clone()).or_default())
    }

    /// The usual pace of the engines of an upstream's service, as it was a moment ago.
    fn usual_beside(&mut self, name: &str, now: Millis) -> f64 {
        let Some(service) = self.upstreams.get(name).map(|upstream| &upstream.site.service) else {
            return engine::median_pace(std::iter::empty());
        };
        if let Some(Service { usual: Some((ms, at)), .. }) = self.services.get(service)
            && now.saturating_sub(*at) < USUAL_MS
        {
            return *ms;
        }
        let like = self.upstreams.values().filter(|other| other.site.service == *service);
        let ms = engine::median_pace(like.map(|upstream| upstream.pace));
        self.services.entry(service.clone()).or_default().usual = Some((ms, now));
        ms
    }

    /// Notes that a request is waiting unusually long for its first answer, or that it waits no more.
    pub fn set_overdue(&mut self, name: &str, waits: bool) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.overdue = if waits { upstream.overdue + 1 } else { upstream.overdue.saturating_sub(1) };
        }
    }

    /// Notes an answer, with the time that it took if it was a plain service's, in milliseconds.
    pub fn record_success(&mut self, name: &str, call_ms: Option<f64>) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.health.record_success();
            upstream.failures -= FAILURE_SAMPLE * upstream.failures;
            if let Some(ms) = call_ms {
                let sample = if upstream.call_ms == 0.0 { 1.0 } else { PACE_SAMPLE };
                upstream.call_ms += sample * (ms - upstream.call_ms);
            }
        }
    }

    /// Notes that the upstream answered with a failure of its own: it is reachable, but does its work badly.
    pub fn record_error(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.failures += FAILURE_SAMPLE * (1.0 - upstream.failures);
        }
    }

    /// Notes that the upstream could not be reached or broke off; `true` if it is ejected for it.
    pub fn record_failure(&mut self, name: &str, now: Millis) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        upstream.failures += FAILURE_SAMPLE * (1.0 - upstream.failures);
        if !upstream.health.record_failure(now) {
            return false;
        }
        let until = upstream.health.eject(now, false);
        // It may have started again, which the list tells later than the first gateways try it.
        if let Some(warmup) = self.warmups.get(&upstream.site.service) {
            upstream.warming.suspect(until.saturating_sub(now) + warmup.lasts_ms, now);
        }
        upstream.parts.clear();
        upstream.order.clear();
        true
    }

    /// What was learned of each service's engines, with their usual pace in milliseconds.
    pub fn models(&self) -> impl Iterator<Item = (&str, &Model, f64)> {
        self.services.iter().filter(|(_, service)| service.load.is_known()).map(|(name, service)| {
            let like = self.upstreams.values().filter(|upstream| upstream.site.service == *name);
            (name.as_str(), &service.model, engine::median_pace(like.map(|upstream| upstream.pace)))
        })
    }

    /// The share of a service's short streams that are late beside long reads on an engine of the usual speed, if it is
    /// known.
    pub fn late_share(&self, service: &str, now: Millis) -> Option<f64> {
        let service = self.services.get(service)?;
        service.harm.share(1.0, service.load.gap_ms, now)
    }

    /// How many times slower than usual each engine is.
    pub fn slowness(&self, service: &str) -> Vec<(&str, f64)> {
        let like = || self.upstreams.iter().filter(|(_, upstream)| upstream.site.service == service);
        let usual = engine::median_pace(like().map(|(_, upstream)| upstream.pace));
        like().map(|(name, upstream)| (name.as_str(), upstream.pace.slowness(usual))).collect()
    }

    /// Whether an upstream gets work.
    pub fn health_status(&self, name: &str, now: Millis) -> Option<HealthStatus> {
        self.upstreams.get(name).map(|upstream| upstream.health.status(now))
    }

    /// The service of an upstream.
    pub fn service(&self, name: &str) -> Option<&str> {
        self.upstreams.get(name).map(|upstream| upstream.site.service.as_str())
    }

    /// Open requests by upstream.
    pub fn open_requests(&self) -> impl Iterator<Item = (&str, u32)> {
        self.upstreams.iter().map(|(name, upstream)| (name.as_str(), upstream.open))
    }
}
