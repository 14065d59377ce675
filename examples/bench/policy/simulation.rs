//! A discrete-event simulation of callers, routers and engines.

use super::engine::{Engine, Run, RunTimes, SLOTS, service_ms};
use super::stats::{fairness, percent, value_at};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::{
    Dispatcher, LoadReport, SubmitOutcome, SubmitRequest, UpstreamSpec, assign_slots, home_upstream,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const ROUTERS: usize = 8;
const TEAMS: usize = 10;
/// The duration of a run, the time at its start that is not counted, and the time of the fault, in
/// milliseconds.
const RUN_MS: u64 = 90_000;
const WARMUP_MS: u64 = 20_000;
const FAULT_AT_MS: u64 = 40_000;
/// The interval of load reports, and their age in the scenario in which they lag, in milliseconds.
const REPORT_MS: u64 = 500;
const LAGGING_REPORT_AGE_MS: u64 = 5_000;
/// The number of requests for one model that may wait in a router.
const QUEUE_CAPACITY: usize = 256;
/// The shortest prompt, in tokens, for which a router asks for a slot on the preferred engine of the prefix.
const MIN_BORROW_PROMPT: u64 = 200;
/// The most attempts of a request.
const MAX_ATTEMPTS: u32 = 3;
const SEED: u64 = 20_261_202;
const MODEL: &str = "narrator";

#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub priority: u8,
    pub deadline_ms: u64,
    pub prompt: u64,
    pub tokens: u64,
    pub share: f64,
    pub prefixes: u64,
}

#[derive(Clone, Debug)]
pub struct Mix {
    pub name: &'static str,
    pub engines: usize,
    pub data_centres: usize,
    pub classes: Vec<Class>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    Tallypaddle,
    /// The same decisions, in a single router that receives all requests and owns all slots.
    OneRouter,
    Random,
    RoundRobin,
    LeastOpen,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    Calm,
    Dies,
    Slow,
    Lag,
    CutCentre,
    Restart,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub goodput: f64,
    pub goodput_percent: f64,
    pub urgent_goodput_percent: f64,
    pub urgent_ttft_ms: [u64; 3],
    pub gap_ms: u64,
    pub overrun_slot_s: f64,
    pub cache_hit_percent: f64,
    pub retry_percent: f64,
    pub fairness: f64,
    pub messages_per_request: f64,
}

struct Request {
    class: usize,
    team: usize,
    router: usize,
    arrived: u64,
    prefix: u64,
    attempts: u32,
    avoid: Vec<String>,
    waits: Vec<(usize, u64)>,
    lender: Option<usize>,
}

fn submit_request<'a>(mix: &Mix, request: &'a Request, team: &'a str) -> SubmitRequest<'a> {
    let class = &mix.classes[request.class];
    SubmitRequest {
        model: MODEL,
        prefix: request.prefix,
        avoid: &request.avoid,
        team,
        weight: 1,
        priority: class.priority,
        deadline: request.arrived + class.deadline_ms,
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    End { engine: usize, request: usize, first: u64 },
    Report,
    Fault,
}

struct Simulation<'a> {
    mix: &'a Mix,
    scenario: Scenario,
    policy: Policy,
    now: u64,
    random: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    engines: Vec<Engine>,
    dispatchers: Vec<Dispatcher<usize>>,
    open_requests: Vec<Vec<u32>>,
    round_robin: Vec<usize>,
    requests: Vec<Request>,
    load_history: Vec<Vec<u32>>,
    retries: u64,
    messages: u64,
    owners: Vec<Vec<(usize, u32)>>,
    good_by_class: Vec<u64>,
    offered_by_class: Vec<u64>,
    team_good: Vec<u64>,
    team_offered: Vec<u64>,
    first_token_ms: Vec<u64>,
    token_gaps_ms: Vec<u64>,
}

fn engine_name(engine: usize) -> String {
    format!("engine-{engine}")
}

fn engine_index(name: &str) -> usize {
    name.trim_start_matches("engine-").parse().unwrap_or(0)
}

/// Simulates a scenario to its end.
pub fn simulate(mix: &Mix, scenario: Scenario, load: f64, policy: Policy) -> Outcome {
    let routers = if policy == Policy::OneRouter { 1 } else { ROUTERS };
    let mut simulation = Simulation {
        mix,
        scenario,
        policy,
        now: 0,
        random: SmallRng::seed_from_u64(SEED),
        events: BinaryHeap::new(),
        order: 0,
        engines: vec![Engine::new(); mix.engines],
        dispatchers: (0..routers).map(|router| new_dispatcher(mix, router, routers)).collect(),
        open_requests: vec![vec![0; mix.engines]; routers],
        round_robin: vec![0; routers],
        requests: vec![],
        load_history: vec![],
        retries: 0,
        messages: 0,
        owners: slot_owners(mix, routers),
        good_by_class: vec![0; mix.classes.len()],
        offered_by_class: vec![0; mix.classes.len()],
        team_good: vec![0; TEAMS],
        team_offered: vec![0; TEAMS],
        first_token_ms: vec![],
        token_gaps_ms: vec![],
    };
    let mean: f64 =
        mix.classes.iter().map(|class| service_ms(class.prompt, class.tokens) * class.share).sum();
    let rate = load * f64::from(SLOTS) * mix.engines as f64 / mean;
    let mut at = 0.0;
    while at < RUN_MS as f64 {
        at += -simulation.random.r#gen::<f64>().max(1e-12).ln() / rate;
        simulation.push(at as u64, Event::Arrive);
    }
    for at in (0..RUN_MS).step_by(REPORT_MS as usize) {
        simulation.push(at, Event::Report);
    }
    simulation.push(FAULT_AT_MS, Event::Fault);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > RUN_MS {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.into_outcome()
}

fn all_names(mix: &Mix, routers: usize) -> (Vec<String>, Vec<String>) {
    ((0..mix.engines).map(engine_name).collect(), (0..routers).map(|router| format!("vm-{router}")).collect())
}

/// The routers that own slots of each engine, with the number of slots.
fn slot_owners(mix: &Mix, routers: usize) -> Vec<Vec<(usize, u32)>> {
    let (engines, routers) = all_names(mix, routers);
    let upstreams: Vec<(&str, u32)> = engines.iter().map(|name| (name.as_str(), SLOTS)).collect();
    let names: Vec<&str> = routers.iter().map(String::as_str).collect();
    let shares = assign_slots(&upstreams, &names);
    let number = |name: &str| names.iter().position(|one| *one == name).unwrap_or(0);
    engines
        .iter()
        .map(|engine| shares[engine.as_str()].iter().map(|(owner, slots)| (number(owner), *slots)).collect())
        .collect()
}

fn new_dispatcher(mix: &Mix, router: usize, routers: usize) -> Dispatcher<usize> {
    let mut dispatcher = Dispatcher::new(&format!("dc-{}", router % mix.data_centres));
    dispatcher.set_capacity(QUEUE_CAPACITY);
    for (engine, owners) in slot_owners(mix, routers).iter().enumerate() {
        if let Some((_, slots)) = owners.iter().find(|(owner, _)| *owner == router) {
            let spec = UpstreamSpec {
                data_centre: format!("dc-{}", engine % mix.data_centres),
                limit: *slots,
                models: vec![MODEL.to_owned()],
            };
            dispatcher.pool.set(&engine_name(engine), spec);
        }
    }
    dispatcher
}

impl Simulation<'_> {
    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::End { engine, request, first } => self.end(engine, request, first),
            Event::Report => self.report(),
            Event::Fault => self.fault(),
        }
    }

    fn is_counted(&self, arrived: u64) -> bool {
        (WARMUP_MS..RUN_MS - 25_000).contains(&arrived)
    }

    fn arrive(&mut self) {
        let mut draw: f64 = self.random.r#gen();
        let mut class = 0;
        while class + 1 < self.mix.classes.len() && draw > self.mix.classes[class].share {
            draw -= self.mix.classes[class].share;
            class += 1;
        }
        // A few teams are large: each sends 40 % of the requests that the teams before it left.
        let mut team = 0;
        while team + 1 < TEAMS && self.random.gen_bool(0.6) {
            team += 1;
        }
        let prefix_of_class = self.random.gen_range(0..self.mix.classes[class].prefixes);
        let request = Request {
            class,
            team,
            router: self.random.gen_range(0..self.dispatchers.len()),
            arrived: self.now,
            prefix: (class as u64) << 32 | prefix_of_class,
            attempts: 0,
            avoid: vec![],
            waits: vec![],
            lender: None,
        };
        if self.is_counted(self.now) {
            self.offered_by_class[class] += 1;
            self.team_offered[team] += 1;
        }
        self.requests.push(request);
        self.place(self.requests.len() - 1);
    }

    fn place(&mut self, id: usize) {
        self.requests[id].attempts += 1;
        if matches!(self.policy, Policy::Tallypaddle | Policy::OneRouter) {
            return self.place_by_dispatcher(id);
        }
        let router = self.requests[id].router;
        let count = self.engines.len();
        let usable: Vec<usize> =
            (0..count).filter(|engine| !self.requests[id].avoid.contains(&engine_name(*engine))).collect();
        let Some(first) = usable.first().copied() else { return };
        let engine = match self.policy {
            Policy::Random => usable[self.random.gen_range(0..usable.len())],
            Policy::RoundRobin => {
                self.round_robin[router] += 1;
                usable[self.round_robin[router] % usable.len()]
            }
            _ => usable
                .iter()
                .copied()
                .min_by_key(|engine| self.open_requests[router][*engine])
                .unwrap_or(first),
        };
        self.send(id, engine);
    }

    fn place_by_dispatcher(&mut self, id: usize) {
        if self.borrow_at_preferred(id) {
            return;
        }
        let request = &self.requests[id];
        let router = request.router;
        let team = format!("team-{}", request.team);
        let submit_request = submit_request(self.mix, request, &team);
        let (submitted, displaced) = self.dispatchers[router].submit(&submit_request, id, self.now);
        if let Some(displaced) = displaced {
            self.remove_wait(displaced, router);
        }
        match submitted {
            SubmitOutcome::Chosen(choice) => self.send(id, engine_index(&choice.upstream)),
            SubmitOutcome::Waiting(number) => {
                self.requests[id].waits.push((router, number));
                self.wait_at_peers(id);
            }
            _ => {}
        }
    }

    /// The engine that all routers prefer for the prefix of a request.
    fn preferred_engine(&self, id: usize) -> usize {
        let engines: Vec<String> = (0..self.engines.len()).map(engine_name).collect();
        let serving: Vec<&str> = engines.iter().map(String::as_str).collect();
        engine_index(home_upstream(&serving, self.requests[id].prefix))
    }

    /// Asks the owners of the preferred engine for one of its slots, if the prompt is long enough for a
    /// cached prefix to save much.
    fn borrow_at_preferred(&mut self, id: usize) -> bool {
        let request = &self.requests[id];
        if self.policy != Policy::Tallypaddle || self.mix.classes[request.class].prompt < MIN_BORROW_PROMPT {
            return false;
        }
        let preferred = self.preferred_engine(id);
        let owners: Vec<usize> = self.owners[preferred].iter().map(|(owner, _)| *owner).collect();
        let request = &self.requests[id];
        if owners.contains(&request.router) {
            return false;
        }
        owners.into_iter().any(|owner| self.borrow_slot(id, owner, Some(&engine_name(preferred))))
    }

    /// Queues a request at some peers as well. It takes the first slot that becomes free.
    fn wait_at_peers(&mut self, id: usize) {
        if self.policy != Policy::Tallypaddle {
            return;
        }
        let own = self.requests[id].router;
        let preferred = self.preferred_engine(id);
        let mut peers: Vec<usize> = self.owners[preferred].iter().map(|(owner, _)| *owner).collect();
        peers.push(self.random.gen_range(0..self.dispatchers.len()));
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != own);
        for peer in peers {
            let request = &self.requests[id];
            let team = format!("team-{}", request.team);
            let submit_request = submit_request(self.mix, request, &team);
            self.messages += 2;
            let (submitted, displaced) = self.dispatchers[peer].submit(&submit_request, id, self.now);
            if let Some(displaced) = displaced {
                self.remove_wait(displaced, peer);
            }
            match submitted {
                SubmitOutcome::Chosen(choice) => {
                    self.record_grant(id, peer);
                    return self.send(id, engine_index(&choice.upstream));
                }
                SubmitOutcome::Waiting(number) => self.requests[id].waits.push((peer, number)),
                _ => {}
            }
        }
    }

    /// Records that a request is no longer in the queue of a router.
    fn remove_wait(&mut self, id: usize, router: usize) {
        self.requests[id].waits.retain(|(at, _)| *at != router);
    }

    /// Records that a request got a slot of a router, and removes it from the queues of the others.
    fn record_grant(&mut self, id: usize, router: usize) {
        for (at, number) in std::mem::take(&mut self.requests[id].waits) {
            if at != router {
                self.dispatchers[at].remove_served(MODEL, number, self.now);
            }
        }
        self.requests[id].lender = Some(router);
    }

    fn borrow_slot(&mut self, id: usize, peer: usize, at: Option<&str>) -> bool {
        let request = &self.requests[id];
        let team = format!("team-{}", request.team);
        let submit_request = submit_request(self.mix, request, &team);
        self.messages += 1;
        let Some(upstream) = self.dispatchers[peer].lend(&submit_request, at, self.now) else { return false };
        self.messages += 1;
        self.requests[id].lender = Some(peer);
        self.send(id, engine_index(&upstream));
        true
    }

    /// The router that owns the slot which a request uses.
    fn slot_owner(&self, id: usize) -> usize {
        self.requests[id].lender.unwrap_or(self.requests[id].router)
    }

    fn send(&mut self, id: usize, engine: usize) {
        let router = self.slot_owner(id);
        let request = &self.requests[id];
        let class = &self.mix.classes[request.class];
        let is_cut_off = self.scenario == Scenario::CutCentre
            && self.now >= FAULT_AT_MS
            && engine.is_multiple_of(self.mix.data_centres);
        if self.engines[engine].is_down || is_cut_off {
            self.retry_elsewhere(id, engine);
            return;
        }
        let run = Run {
            request: id,
            priority: class.priority,
            prompt: class.prompt,
            tokens: class.tokens,
            prefix: request.prefix,
        };
        self.open_requests[router][engine] += 1;
        if let Some(times) = self.engines[engine].accept(run, self.now) {
            self.schedule(engine, id, times);
        }
    }

    fn schedule(&mut self, engine: usize, request: usize, times: RunTimes) {
        self.push(times.end, Event::End { engine, request, first: times.first });
    }

    /// Retries a request elsewhere after its connection was refused. That is safe, since the run cannot have
    /// started.
    fn retry_elsewhere(&mut self, id: usize, engine: usize) {
        let router = self.slot_owner(id);
        if matches!(self.policy, Policy::Tallypaddle | Policy::OneRouter) {
            self.dispatchers[router].pool.release(&engine_name(engine));
            self.dispatchers[router].pool.record_failure(&engine_name(engine), self.now);
        }
        self.requests[id].lender = None;
        if self.requests[id].attempts >= MAX_ATTEMPTS {
            return;
        }
        self.requests[id].avoid.push(engine_name(engine));
        self.retries += 1;
        self.place(id);
    }

    fn end(&mut self, engine: usize, id: usize, first: u64) {
        if self.engines[engine].is_down {
            return;
        }
        let next = self.engines[engine].complete(self.now);
        let router = self.slot_owner(id);
        self.open_requests[router][engine] = self.open_requests[router][engine].saturating_sub(1);
        self.record_result(id, first);
        if let Some((run, times)) = next {
            self.schedule(engine, run.request, times);
        }
        if matches!(self.policy, Policy::Tallypaddle | Policy::OneRouter) {
            let class = &self.mix.classes[self.requests[id].class];
            let gap = (self.now - first) as f64 / class.tokens as f64;
            self.dispatchers[router].pool.record_success(&engine_name(engine), Some(gap));
            self.dispatchers[router].pool.release(&engine_name(engine));
            self.dispatch_waiting(router);
        }
    }

    fn dispatch_waiting(&mut self, router: usize) {
        for id in self.dispatchers[router].expire(self.now) {
            self.remove_wait(id, router);
        }
        for (id, choice) in self.dispatchers[router].dispatch_waiting(self.now, |_| false) {
            self.record_grant(id, router);
            self.send(id, engine_index(&choice.upstream));
        }
    }

    fn record_result(&mut self, id: usize, first: u64) {
        let request = &self.requests[id];
        if !self.is_counted(request.arrived) {
            return;
        }
        let class = &self.mix.classes[request.class];
        let waited = first - request.arrived;
        self.token_gaps_ms.push((self.now - first) / class.tokens.max(1));
        if request.class == 0 {
            self.first_token_ms.push(waited);
        }
        if waited <= class.deadline_ms {
            self.good_by_class[request.class] += 1;
            self.team_good[request.team] += 1;
        }
    }

    fn report(&mut self) {
        self.load_history.push(self.engines.iter().map(Engine::busy).collect());
        let lag =
            if self.scenario == Scenario::Lag { (LAGGING_REPORT_AGE_MS / REPORT_MS) as usize } else { 1 };
        let Some(old) = self.load_history.len().checked_sub(1 + lag).map(|at| self.load_history[at].clone())
        else {
            return;
        };
        for router in 0..self.dispatchers.len() {
            for (engine, busy) in old.iter().enumerate() {
                let report = LoadReport { slots: SLOTS, busy: *busy, leaving: false };
                self.dispatchers[router].pool.record_report(&engine_name(engine), report, self.now);
                for prefix in self.uncached_prefixes(engine) {
                    self.dispatchers[router].pool.record_cache_event(&engine_name(engine), prefix, false);
                }
            }
            self.dispatch_waiting(router);
        }
    }

    /// The prefixes that an engine does not have in its cache. Real engines report evictions in events, with
    /// a delay.
    fn uncached_prefixes(&self, engine: usize) -> Vec<u64> {
        let classes = self.mix.classes.iter().enumerate();
        let all = classes
            .flat_map(|(class, content)| (0..content.prefixes).map(move |of| (class as u64) << 32 | of));
        all.filter(|prefix| !self.engines[engine].is_cached(*prefix)).collect()
    }

    fn fault(&mut self) {
        match self.scenario {
            Scenario::Dies => self.engines[0].is_down = true,
            Scenario::Slow => self.engines[0].slowdown = 10.0,
            Scenario::Restart => {
                let routers = self.dispatchers.len();
                for router in 0..routers.min(3) {
                    let mut successor = new_dispatcher(self.mix, router, routers);
                    // Requests that the old process had open continue on the engines, unknown to its
                    // successor.
                    successor.pool.trust_reports_until(self.now + 30_000);
                    std::mem::swap(&mut self.dispatchers[router], &mut successor);
                }
            }
            Scenario::Calm | Scenario::Lag | Scenario::CutCentre => {}
        }
    }

    fn into_outcome(mut self) -> Outcome {
        let seconds = (RUN_MS - 25_000 - WARMUP_MS) as f64 / 1_000.0;
        let good: u64 = self.good_by_class.iter().sum();
        let offered: u64 = self.offered_by_class.iter().sum();
        let hits: u64 = self.engines.iter().map(|engine| engine.cache_hits).sum();
        let lookups: u64 = self.engines.iter().map(|engine| engine.cache_lookups).sum();
        let overrun_ms: u64 = self.engines.iter().map(|engine| engine.overrun_ms).sum();
        self.first_token_ms.sort_unstable();
        self.token_gaps_ms.sort_unstable();
        Outcome {
            goodput: good as f64 / seconds,
            goodput_percent: percent(good, offered),
            urgent_goodput_percent: percent(self.good_by_class[0], self.offered_by_class[0]),
            urgent_ttft_ms: [0.5, 0.95, 0.99].map(|quantile| value_at(&self.first_token_ms, quantile)),
            gap_ms: value_at(&self.token_gaps_ms, 0.95),
            overrun_slot_s: overrun_ms as f64 / 1_000.0,
            cache_hit_percent: percent(hits, lookups),
            retry_percent: percent(self.retries, self.requests.len() as u64),
            messages_per_request: self.messages as f64 / self.requests.len().max(1) as f64,
            fairness: fairness(&self.team_good, &self.team_offered),
        }
    }
}
