//! The event loop: callers, routers that share no state, and engines.

use crate::engine::{Engine, EngineSpec, Job, StepEvent};
use crate::harmful::{self, QuarantineSimulation, RouterEvent};
use crate::load::{Request, RequestKind};
use crate::outcome::Outcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::notice::Notice;
use route::placement::{
    DispatchHint, DispatchId, Placement, PlacementRequest, Placer, Prompt, PromptPart, UpstreamInfo,
};
use route::version::Version;
use route::{HintFilter, Millis, PauseKind, PauseTracker};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

/// The service that all engines run.
const SERVICE: &str = "engines";
/// The latency from a router to an engine or to another router, in milliseconds.
const LATENCY_MS: f64 = 1.0;
/// A shared part that was used within this time, in milliseconds, should still be cached on some engine.
const EXPECTED_CACHE_MS: f64 = 10_000.0;
/// The interval at which the division of the engines is adapted, in milliseconds: that of a gateway's
/// heartbeats.
const DIVISION_INTERVAL_MS: f64 = 1_500.0;
/// How long an engine that reports that it leaves still serves requests, in milliseconds.
const LEAVING_MS: f64 = 4_000.0;
/// How often a request is retried if its engine crashes or backs off.
const RETRIES: u32 = 2;
/// The resolution of the event queue, in ticks per millisecond.
const TICKS_PER_MS: f64 = 1_000.0;

/// The fleet to simulate, its load and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of routers.
    pub routers: usize,
    /// The number of data centres, over which routers and engines are spread.
    pub data_centres: usize,
    /// The specification of the engines.
    pub engine: EngineSpec,
    /// The factor by which each engine is slower than the specification.
    pub slowdowns: Vec<f64>,
    /// The kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// The factor by which the rates of the kinds are multiplied.
    pub load: f64,
    /// The simulated time, in milliseconds.
    pub duration_ms: f64,
    /// Requests that arrive before this time are not counted, in milliseconds.
    pub warmup_ms: f64,
    /// Selects the dispatches that routers report to each other.
    pub hint_filter: HintFilter,
    /// The faults to inject, with their times in milliseconds.
    pub faults: Vec<(f64, Fault)>,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An engine becomes slower than its specification by this factor.
    Slow(usize, f64),
    /// The load changes to this multiple of the usual one.
    Load(f64),
    /// An engine crashes, and restarts after some seconds.
    Crash(usize),
    /// An engine reports in its answers that it leaves, while the list of upstreams still names it. After
    /// some seconds it ends with all that it runs, and later restarts.
    Leave(usize),
    /// An engine refuses requests for this many milliseconds and tells the routers how much of that time is
    /// left.
    BackOff(usize, f64),
    /// From now on, a request that crashes its engines arrives this many times per second, at any router.
    HarmfulRequests(f64),
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    ReachEngine { engine: usize, id: usize },
    ReceiveHint { router: usize, engine: usize, hint: DispatchHint },
    EndStep { engine: usize, number: u64 },
    Timeout { id: usize },
    Inject(Fault),
    AdaptDivisions,
    HarmfulArrival,
    CrashByHarmful { router: usize, engine: usize },
    UpdateQuarantine { router: usize, notice: Option<Notice> },
    Restart { engine: usize },
    EndLeaving { engine: usize },
}

struct ScheduledEvent {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A request that is in progress.
struct OpenRequest {
    request: Request,
    /// The number of the request, which its retries share.
    number: u64,
    /// The number of retries left.
    retries: u32,
    router: usize,
    engine: usize,
    dispatch_id: DispatchId,
    pauses: Option<PauseTracker>,
    last_event: f64,
    first_ms: f64,
    gap_ms: f64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    now: f64,
    order: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    random: SmallRng,
    routers: Vec<Placer>,
    hint_filters: Vec<HintFilter>,
    engines: Vec<Engine>,
    names: Vec<String>,
    open_requests: HashMap<usize, OpenRequest>,
    next_id: usize,
    load: f64,
    part_last_used: HashMap<u64, f64>,
    /// The time until which each engine backs off.
    backoff_until: Vec<f64>,
    /// The routers that each leaving engine has told so; `None` if it is not leaving.
    leaving: Vec<Option<HashSet<usize>>>,
    /// Pairs of an engine that backs off and a router that it has told so.
    told_backoff: HashSet<(usize, usize)>,
    quarantine: QuarantineSimulation,
    harmful_per_s: f64,
    outcome: Outcome,
}

/// Simulates a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    simulation.push(0.0, Event::Arrival);
    simulation.push(DIVISION_INTERVAL_MS, Event::AdaptDivisions);
    for (at, fault) in &scenario.faults {
        simulation.push(*at, Event::Inject(*fault));
    }
    while let Some(Reverse(next)) = simulation.events.pop() {
        simulation.now = next.at as f64 / TICKS_PER_MS;
        if simulation.now > scenario.duration_ms {
            break;
        }
        simulation.handle(next.event);
    }
    for engine in &simulation.engines {
        simulation.outcome.read_tokens += engine.counters().read_tokens;
        simulation.outcome.preemptions += engine.counters().preemptions;
    }
    simulation.outcome.harmful = simulation.quarantine.outcome;
    simulation.outcome
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Simulation<'a> {
        let names: Vec<String> =
            (0..scenario.slowdowns.len()).map(|engine| format!("engine-{engine:03}")).collect();
        let data_centre = |index: usize| format!("dc-{}", index % scenario.data_centres);
        let router = |index| {
            let mut placer = Placer::new(&data_centre(index)).with_gateway(&format!("router-{index}"));
            for (engine, name) in names.iter().enumerate() {
                let slots = scenario.engine.slots as u32;
                let info = UpstreamInfo {
                    service: SERVICE.to_owned(),
                    data_centre: data_centre(engine),
                    slots,
                    version: Version::default(),
                };
                placer.set(name, info, false);
            }
            placer
        };
        Simulation {
            now: 0.0,
            order: 0,
            events: BinaryHeap::new(),
            random: SmallRng::seed_from_u64(scenario.seed),
            routers: (0..scenario.routers).map(router).collect(),
            hint_filters: vec![scenario.hint_filter; scenario.routers],
            engines: scenario
                .slowdowns
                .iter()
                .map(|slowdown| Engine::new(scenario.engine.clone(), *slowdown))
                .collect(),
            names,
            open_requests: HashMap::new(),
            next_id: 0,
            load: scenario.load,
            part_last_used: HashMap::new(),
            backoff_until: vec![0.0; scenario.slowdowns.len()],
            leaving: vec![None; scenario.slowdowns.len()],
            told_backoff: HashSet::new(),
            quarantine: QuarantineSimulation::new(scenario.routers, scenario.slowdowns.len()),
            harmful_per_s: 0.0,
            outcome: Outcome::new(&scenario.kinds),
            scenario,
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.events.push(Reverse(ScheduledEvent {
            at: (at * TICKS_PER_MS) as u64,
            order: self.order,
            event,
        }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::ReachEngine { engine, id } => self.reach_engine(engine, id),
            Event::ReceiveHint { router, engine, hint } => {
                self.routers[router].record_dispatch_hint(&self.names[engine], &hint, self.now as Millis);
            }
            Event::EndStep { engine, number } => self.end_step(engine, number),
            Event::Timeout { id } => self.time_out(id),
            Event::Inject(Fault::Slow(engine, slowdown)) => self.engines[engine].slowdown = slowdown,
            Event::Inject(Fault::Load(load)) => self.load = load,
            Event::Inject(Fault::Crash(engine)) => self.crash(engine, None),
            Event::Inject(Fault::Leave(engine)) => {
                self.leaving[engine] = Some(HashSet::new());
                self.push(self.now + LEAVING_MS, Event::EndLeaving { engine });
            }
            Event::Inject(Fault::BackOff(engine, ms)) => {
                self.backoff_until[engine] = self.now + ms;
                self.told_backoff.retain(|(backing_off, _)| *backing_off != engine);
            }
            Event::Inject(Fault::HarmfulRequests(per_s)) => {
                self.harmful_per_s = per_s;
                self.push(self.now, Event::HarmfulArrival);
            }
            Event::AdaptDivisions => self.adapt_divisions(),
            Event::HarmfulArrival => self.arrive_harmful(),
            Event::CrashByHarmful { router, engine } => {
                if !self.engines[engine].is_down {
                    self.crash(engine, Some(router));
                }
            }
            Event::UpdateQuarantine { router, notice: Some(notice) } => {
                let events = self.quarantine.receive(router, &notice, self.now, &mut self.random);
                self.schedule(events);
            }
            Event::UpdateQuarantine { router, notice: None } => {
                let events = self.quarantine.decide(router, self.now, &mut self.random);
                self.schedule(events);
            }
            Event::Restart { engine } => self.restart(engine),
            Event::EndLeaving { engine } => {
                self.outcome.signals.lost_runs += self.engines[engine].running_count() as u64;
                self.crash(engine, None);
            }
        }
    }

    fn arrive_harmful(&mut self) {
        if self.harmful_per_s <= 0.0 {
            return;
        }
        let wait = -self.random.r#gen::<f64>().max(1e-12).ln() * 1_000.0 / self.harmful_per_s;
        self.push(self.now + wait, Event::HarmfulArrival);
        let router = self.random.gen_range(0..self.routers.len());
        if !self.quarantine.admits_harmful(router, self.now) {
            return;
        }
        let placement_request =
            PlacementRequest { service: SERVICE, prompt: None, avoid: &[], version: None, only: None };
        let Some(placement) = self.routers[router].choose(&placement_request, self.now as Millis) else {
            return;
        };
        let engine = self.names.iter().position(|name| *name == placement.upstream).unwrap_or(0);
        self.push(self.now + harmful::CRASH_DELAY_MS, Event::CrashByHarmful { router, engine });
    }

    /// Crashes an engine: it is removed from the list of upstreams, and its jobs are retried.
    fn crash(&mut self, engine: usize, cause: Option<usize>) {
        if self.engines[engine].is_down {
            return;
        }
        let lost = harmful::crash(&mut self.engines[engine]);
        self.push(self.now + harmful::DOWNTIME_MS, Event::Restart { engine });
        for router in &mut self.routers {
            router.remove(&self.names[engine]);
        }
        let bystanders: Vec<_> = lost
            .iter()
            .filter_map(|id| self.open_requests.get(id))
            .map(|open_request| {
                let first = open_request.request.arrived + open_request.first_ms;
                let begun_ms = open_request.pauses.as_ref().map(|_| (self.now - first) as Millis);
                (open_request.router, open_request.number, begun_ms)
            })
            .collect();
        let events = self.quarantine.record_crash(engine, cause, &bystanders, self.now, &mut self.random);
        self.schedule(events);
        for id in lost {
            self.retry(id);
        }
    }

    fn retry(&mut self, id: usize) {
        let Some(open_request) = self.open_requests.get(&id) else { return };
        if open_request.retries == 0
            || !self.quarantine.admits(open_request.router, open_request.number, self.now)
        {
            return self.close(id, false);
        }
        let (request, router) = (open_request.request.clone(), open_request.router);
        let (number, retries) = (open_request.number, open_request.retries - 1);
        self.open_requests.remove(&id);
        self.dispatch(request, router, number, retries);
    }

    fn restart(&mut self, engine: usize) {
        self.engines[engine].is_down = false;
        self.leaving[engine] = None;
        let slots = self.scenario.engine.slots as u32;
        let data_centre = format!("dc-{}", engine % self.scenario.data_centres);
        for router in &mut self.routers {
            router.forget(&self.names[engine]);
            let info = UpstreamInfo {
                service: SERVICE.to_owned(),
                data_centre: data_centre.clone(),
                slots,
                version: Version::default(),
            };
            router.set(&self.names[engine], info, false);
        }
    }

    fn schedule(&mut self, events: Vec<RouterEvent>) {
        for RouterEvent { at, router, notice } in events {
            self.push(at, Event::UpdateQuarantine { router, notice });
        }
    }

    /// The first router adapts the division of the engines, and the others adopt it.
    fn adapt_divisions(&mut self) {
        self.push(self.now + DIVISION_INTERVAL_MS, Event::AdaptDivisions);
        let now = self.now as Millis;
        let Some((first, others)) = self.routers.split_first_mut() else { return };
        for (service, reserved) in first.adapt_divisions(now) {
            for other in others.iter_mut() {
                other.follow_division(service, reserved);
            }
        }
    }

    fn arrive(&mut self) {
        let total_per_s: f64 = self.scenario.kinds.iter().map(|kind| kind.per_s).sum();
        let wait = -self.random.r#gen::<f64>().max(1e-12).ln() * 1_000.0 / (total_per_s * self.load);
        self.push(self.now + wait, Event::Arrival);
        let mut remaining = self.random.r#gen::<f64>() * total_per_s;
        let kinds = &self.scenario.kinds;
        let index = kinds.iter().position(|kind| {
            remaining -= kind.per_s;
            remaining < 0.0
        });
        let index = index.unwrap_or(kinds.len() - 1);
        let request =
            kinds[index].sample(index, self.now, self.scenario.engine.tokens_per_event, &mut self.random);
        let router = self.random.gen_range(0..self.routers.len());
        let number = self.next_id as u64;
        if self.quarantine.admits(router, number, self.now) {
            self.dispatch(request, router, number, RETRIES);
        }
    }

    fn dispatch(&mut self, request: Request, router: usize, number: u64, retries: u32) {
        let kind = &self.scenario.kinds[request.kind];
        let parts: Vec<PromptPart> =
            request.parts.iter().map(|part| PromptPart { id: part.id, tokens: part.tokens as u32 }).collect();
        let prompt = Prompt {
            parts: &parts,
            input: request.parts.iter().map(|part| part.tokens).sum(),
            events: request.output_tokens / self.scenario.engine.tokens_per_event,
            target_ms: kind.target_ms,
            gap_ms: kind.gap_ms,
        };
        let placement_request = PlacementRequest {
            service: SERVICE,
            prompt: Some(prompt),
            avoid: &[],
            version: None,
            only: None,
        };
        let now = self.now as Millis;
        let placer = &mut self.routers[router];
        let Some(placement) = placer.choose(&placement_request, now) else { return };
        let dispatch_id = placer.begin(&placement, Some(&prompt), now);
        let engine = self.names.iter().position(|name| *name == placement.upstream).unwrap_or(0);
        self.report_dispatch(router, engine, &placement);
        let id = self.next_id;
        self.next_id += 1;
        let timeout_ms = kind.timeout_ms;
        let open_request = OpenRequest {
            request,
            number,
            retries,
            router,
            engine,
            dispatch_id,
            pauses: None,
            last_event: 0.0,
            first_ms: 0.0,
            gap_ms: 0.0,
        };
        self.open_requests.insert(id, open_request);
        self.push(self.now + LATENCY_MS, Event::ReachEngine { engine, id });
        self.push(self.now + timeout_ms, Event::Timeout { id });
    }

    fn report_dispatch(&mut self, from: usize, engine: usize, placement: &Placement) {
        let count = self.routers.len() as u64;
        if !self.hint_filters[from].should_send(placement.uncached, count, self.now as Millis) {
            return;
        }
        let hint = self.routers[from].take_hint(placement);
        self.outcome.received_hints += count - 1;
        for router in (0..self.routers.len()).filter(|router| *router != from) {
            let hint = hint.clone();
            self.push(self.now + LATENCY_MS, Event::ReceiveHint { router, engine, hint });
        }
    }

    /// Refuses a request if the engine backs off, and tells the router for how long. Returns whether it did.
    fn refuse_if_backing_off(&mut self, engine: usize, router: usize) -> bool {
        let remaining_ms = self.backoff_until[engine] - self.now;
        if remaining_ms <= 0.0 {
            return false;
        }
        self.outcome.signals.refused += 1;
        let is_new = self.told_backoff.insert((engine, router));
        self.outcome.signals.refused_again += u64::from(!is_new);
        self.routers[router].back_off(&self.names[engine], remaining_ms as Millis, self.now as Millis);
        true
    }

    fn reach_engine(&mut self, engine: usize, id: usize) {
        let Some(router) = self.open_requests.get(&id).map(|open_request| open_request.router) else {
            return;
        };
        if self.refuse_if_backing_off(engine, router) {
            return self.retry(id);
        }
        let is_told = self.leaving[engine].as_ref().is_some_and(|told| told.contains(&router));
        self.outcome.signals.sent_while_leaving += u64::from(is_told);
        let Some(open_request) = self.open_requests.get(&id) else { return };
        let request = &open_request.request;
        let shared = request.parts.len() - 1;
        let uncached = self.engines[engine].uncached_parts(&request.parts[..shared]);
        for part in uncached {
            let is_reread =
                self.part_last_used.get(&part.id).is_some_and(|used| self.now - used < EXPECTED_CACHE_MS);
            self.outcome.reread_tokens += if is_reread { part.tokens } else { 0 };
        }
        for part in &request.parts[..shared] {
            self.part_last_used.insert(part.id, self.now);
        }
        let priority = self.scenario.kinds[request.kind].priority;
        let job = Job { id, priority, parts: request.parts.clone(), output_tokens: request.output_tokens };
        if !self.engines[engine].accept(job, self.now) {
            self.close(id, false);
        }
        self.begin_step(engine);
    }

    fn begin_step(&mut self, engine: usize) {
        if let Some((number, at)) = self.engines[engine].begin_step(self.now) {
            self.push(at, Event::EndStep { engine, number });
        }
    }

    fn end_step(&mut self, engine: usize, number: u64) {
        for step_event in self.engines[engine].end_step(number, self.now) {
            match step_event {
                StepEvent::First(id) => self.record_event(id),
                StepEvent::Next(id) => self.record_event(id),
                StepEvent::Last(id) => {
                    self.record_event(id);
                    self.close(id, true);
                }
            }
        }
        self.begin_step(engine);
    }

    fn record_event(&mut self, id: usize) {
        let Some(open_request) = self.open_requests.get_mut(&id) else { return };
        let placer = &mut self.routers[open_request.router];
        let (name, now) = (&self.names[open_request.engine], self.now as Millis);
        match &mut open_request.pauses {
            None => {
                open_request.pauses = Some(PauseTracker::new(self.now));
                open_request.first_ms = self.now - open_request.request.arrived;
                if let Some(told) = &mut self.leaving[open_request.engine] {
                    told.insert(open_request.router);
                    placer.mark_leaving(name, now);
                }
                placer.record_first_answer(name, open_request.dispatch_id, now);
            }
            Some(pauses) => {
                open_request.gap_ms = open_request.gap_ms.max(self.now - open_request.last_event);
                match pauses.record(self.now) {
                    PauseKind::Baseline(ms) => placer.record_baseline_pause(name, ms),
                    PauseKind::Long(ms) => placer.record_pause(name, ms, now),
                    PauseKind::Normal => {}
                }
            }
        }
        open_request.last_event = self.now;
    }

    fn time_out(&mut self, id: usize) {
        let Some(open_request) = self.open_requests.get(&id) else { return };
        let engine = open_request.engine;
        self.engines[engine].cancel(id);
        self.close(id, false);
    }

    fn close(&mut self, id: usize, is_complete: bool) {
        let Some(open_request) = self.open_requests.remove(&id) else { return };
        let now = self.now as Millis;
        self.routers[open_request.router].end(
            &self.names[open_request.engine],
            open_request.dispatch_id,
            now,
        );
        if is_complete {
            let events = self.quarantine.record_survival(
                open_request.router,
                open_request.number,
                self.now,
                &mut self.random,
            );
            self.schedule(events);
        }
        if open_request.request.arrived < self.scenario.warmup_ms {
            return;
        }
        let kind = &self.scenario.kinds[open_request.request.kind];
        let kind_outcome = &mut self.outcome.kinds[open_request.request.kind];
        kind_outcome.requests += 1;
        match is_complete {
            false => kind_outcome.failed += 1,
            true if open_request.first_ms > kind.target_ms as f64 => kind_outcome.late_first += 1,
            true if open_request.gap_ms > kind.gap_ms as f64 => kind_outcome.late_gap += 1,
            true => kind_outcome.in_time += 1,
        }
    }
}
