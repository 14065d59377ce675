//! Callers, routers and engines in virtual time.

use super::engine::{Engine, Run, SLOTS, Times, service_ms};
use super::stats::{at, fairness, percent};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::{
    Dispatcher, LoadReport, SubmitOutcome, SubmitRequest, UpstreamSpec, assign_slots, home_upstream,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const ROUTERS: usize = 8;
const TEAMS: usize = 10;
/// The time of a run, the part that is not counted at first, and when a fault comes, in milliseconds.
const RUN_MS: u64 = 90_000;
const WARM_MS: u64 = 20_000;
const FAULT_AT: u64 = 40_000;
/// Time between two load reports, and how old they are if they lag.
const REPORT_MS: u64 = 500;
const LAG_MS: u64 = 5_000;
/// Requests of one model that wait in one router.
const QUEUE: usize = 256;
/// Prompt tokens from which a router asks for a slot at the prefix's preferred engine.
const BORROW_PROMPT: u64 = 200;
/// Attempts of a request at most.
const ATTEMPTS: u32 = 3;
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
    pub centres: usize,
    pub classes: Vec<Class>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    Tallypaddle,
    /// This project's decisions in one router that sees and serves everything.
    OneRouter,
    Random,
    RoundRobin,
    LeastOpen,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scene {
    Calm,
    Dies,
    Slow,
    Lag,
    CutCentre,
    Restart,
}

/// What a run of the world showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub goodput: f64,
    pub share: f64,
    pub urgent_share: f64,
    pub first: [u64; 3],
    pub gap: u64,
    pub overrun: f64,
    pub hits: f64,
    pub retries: f64,
    pub fairness: f64,
    pub messages: f64,
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

fn want<'a>(mix: &Mix, request: &'a Request, team: &'a str) -> SubmitRequest<'a> {
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

struct World<'a> {
    mix: &'a Mix,
    scene: Scene,
    policy: Policy,
    now: u64,
    random: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    engines: Vec<Engine>,
    desks: Vec<Dispatcher<usize>>,
    open: Vec<Vec<u32>>,
    turn: Vec<usize>,
    requests: Vec<Request>,
    reports: Vec<Vec<u32>>,
    retries: u64,
    messages: u64,
    owners: Vec<Vec<(usize, u32)>>,
    good: Vec<u64>,
    offered: Vec<u64>,
    team_good: Vec<u64>,
    team_offered: Vec<u64>,
    firsts: Vec<u64>,
    gaps: Vec<u64>,
}

fn name(engine: usize) -> String {
    format!("engine-{engine}")
}

fn index(name: &str) -> usize {
    name.trim_start_matches("engine-").parse().unwrap_or(0)
}

/// Runs one world to its end.
pub fn simulate(mix: &Mix, scene: Scene, load: f64, policy: Policy) -> Outcome {
    let routers = if policy == Policy::OneRouter { 1 } else { ROUTERS };
    let mut world = World {
        mix,
        scene,
        policy,
        now: 0,
        random: SmallRng::seed_from_u64(SEED),
        events: BinaryHeap::new(),
        order: 0,
        engines: vec![Engine::new(); mix.engines],
        desks: (0..routers).map(|router| desk(mix, router, routers)).collect(),
        open: vec![vec![0; mix.engines]; routers],
        turn: vec![0; routers],
        requests: vec![],
        reports: vec![],
        retries: 0,
        messages: 0,
        owners: owners(mix, routers),
        good: vec![0; mix.classes.len()],
        offered: vec![0; mix.classes.len()],
        team_good: vec![0; TEAMS],
        team_offered: vec![0; TEAMS],
        firsts: vec![],
        gaps: vec![],
    };
    let mean: f64 =
        mix.classes.iter().map(|class| service_ms(class.prompt, class.tokens) * class.share).sum();
    let rate = load * f64::from(SLOTS) * mix.engines as f64 / mean;
    let mut at = 0.0;
    while at < RUN_MS as f64 {
        at += -world.random.r#gen::<f64>().max(1e-12).ln() / rate;
        world.push(at as u64, Event::Arrive);
    }
    for at in (0..RUN_MS).step_by(REPORT_MS as usize) {
        world.push(at, Event::Report);
    }
    world.push(FAULT_AT, Event::Fault);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > RUN_MS {
            break;
        }
        world.now = at;
        world.step(event);
    }
    world.outcome()
}

fn names(mix: &Mix, routers: usize) -> (Vec<String>, Vec<String>) {
    ((0..mix.engines).map(name).collect(), (0..routers).map(|router| format!("vm-{router}")).collect())
}

/// The owners of each engine, with their slots.
fn owners(mix: &Mix, routers: usize) -> Vec<Vec<(usize, u32)>> {
    let (engines, routers) = names(mix, routers);
    let upstreams: Vec<(&str, u32)> = engines.iter().map(|name| (name.as_str(), SLOTS)).collect();
    let names: Vec<&str> = routers.iter().map(String::as_str).collect();
    let shares = assign_slots(&upstreams, &names);
    let number = |name: &str| names.iter().position(|one| *one == name).unwrap_or(0);
    engines
        .iter()
        .map(|engine| shares[engine.as_str()].iter().map(|(owner, slots)| (number(owner), *slots)).collect())
        .collect()
}

fn desk(mix: &Mix, router: usize, routers: usize) -> Dispatcher<usize> {
    let mut desk = Dispatcher::new(&format!("dc-{}", router % mix.centres));
    desk.set_capacity(QUEUE);
    for (engine, owners) in owners(mix, routers).iter().enumerate() {
        if let Some((_, slots)) = owners.iter().find(|(owner, _)| *owner == router) {
            let spec = UpstreamSpec {
                data_centre: format!("dc-{}", engine % mix.centres),
                limit: *slots,
                models: vec![MODEL.to_owned()],
            };
            desk.pool.set(&name(engine), spec);
        }
    }
    desk
}

impl World<'_> {
    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::End { engine, request, first } => self.end(engine, request, first),
            Event::Report => self.report(),
            Event::Fault => self.fault(),
        }
    }

    fn counted(&self, arrived: u64) -> bool {
        (WARM_MS..RUN_MS - 25_000).contains(&arrived)
    }

    fn arrive(&mut self) {
        let mut pick: f64 = self.random.r#gen();
        let mut class = 0;
        while class + 1 < self.mix.classes.len() && pick > self.mix.classes[class].share {
            pick -= self.mix.classes[class].share;
            class += 1;
        }
        // A few large teams: each takes half of what the ones before it left.
        let mut team = 0;
        while team + 1 < TEAMS && self.random.gen_bool(0.6) {
            team += 1;
        }
        let of_class = self.random.gen_range(0..self.mix.classes[class].prefixes);
        let request = Request {
            class,
            team,
            router: self.random.gen_range(0..self.desks.len()),
            arrived: self.now,
            prefix: (class as u64) << 32 | of_class,
            attempts: 0,
            avoid: vec![],
            waits: vec![],
            lender: None,
        };
        if self.counted(self.now) {
            self.offered[class] += 1;
            self.team_offered[team] += 1;
        }
        self.requests.push(request);
        self.place(self.requests.len() - 1);
    }

    fn place(&mut self, id: usize) {
        self.requests[id].attempts += 1;
        if matches!(self.policy, Policy::Tallypaddle | Policy::OneRouter) {
            return self.place_by_desk(id);
        }
        let router = self.requests[id].router;
        let count = self.engines.len();
        let usable: Vec<usize> =
            (0..count).filter(|engine| !self.requests[id].avoid.contains(&name(*engine))).collect();
        let Some(first) = usable.first().copied() else { return };
        let engine = match self.policy {
            Policy::Random => usable[self.random.gen_range(0..usable.len())],
            Policy::RoundRobin => {
                self.turn[router] += 1;
                usable[self.turn[router] % usable.len()]
            }
            _ => usable.iter().copied().min_by_key(|engine| self.open[router][*engine]).unwrap_or(first),
        };
        self.send(id, engine);
    }

    fn place_by_desk(&mut self, id: usize) {
        if self.borrow_home(id) {
            return;
        }
        let request = &self.requests[id];
        let router = request.router;
        let team = format!("team-{}", request.team);
        let want = want(self.mix, request, &team);
        let (entered, displaced) = self.desks[router].submit(&want, id, self.now);
        if let Some(displaced) = displaced {
            self.forget(displaced, router);
        }
        match entered {
            SubmitOutcome::Chosen(choice) => self.send(id, index(&choice.upstream)),
            SubmitOutcome::Waiting(number) => {
                self.requests[id].waits.push((router, number));
                self.wait_at_peers(id);
            }
            _ => {}
        }
    }

    /// The engine that every router prefers for a request's prefix.
    fn home(&self, id: usize) -> usize {
        let engines: Vec<String> = (0..self.engines.len()).map(name).collect();
        let serving: Vec<&str> = engines.iter().map(String::as_str).collect();
        index(home_upstream(&serving, self.requests[id].prefix))
    }

    /// Asks an owner of the prefix's preferred engine for one of its slots, where a cached prefix saves much.
    fn borrow_home(&mut self, id: usize) -> bool {
        let request = &self.requests[id];
        if self.policy != Policy::Tallypaddle || self.mix.classes[request.class].prompt < BORROW_PROMPT {
            return false;
        }
        let home = self.home(id);
        let owners: Vec<usize> = self.owners[home].iter().map(|(owner, _)| *owner).collect();
        let request = &self.requests[id];
        if owners.contains(&request.router) {
            return false;
        }
        owners.into_iter().any(|owner| self.borrow(id, owner, Some(&name(home))))
    }

    /// Lets a request wait at a few peers too; the first slot that becomes free is taken.
    fn wait_at_peers(&mut self, id: usize) {
        if self.policy != Policy::Tallypaddle {
            return;
        }
        let own = self.requests[id].router;
        let home = self.home(id);
        let mut peers: Vec<usize> = self.owners[home].iter().map(|(owner, _)| *owner).collect();
        peers.push(self.random.gen_range(0..self.desks.len()));
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|peer| *peer != own);
        for peer in peers {
            let request = &self.requests[id];
            let team = format!("team-{}", request.team);
            let want = want(self.mix, request, &team);
            self.messages += 2;
            let (entered, displaced) = self.desks[peer].submit(&want, id, self.now);
            if let Some(displaced) = displaced {
                self.forget(displaced, peer);
            }
            match entered {
                SubmitOutcome::Chosen(choice) => {
                    self.granted(id, peer);
                    return self.send(id, index(&choice.upstream));
                }
                SubmitOutcome::Waiting(number) => self.requests[id].waits.push((peer, number)),
                _ => {}
            }
        }
    }

    /// A request lost its place in one router's line.
    fn forget(&mut self, id: usize, router: usize) {
        self.requests[id].waits.retain(|(at, _)| *at != router);
    }

    /// A request got a slot of one router and no longer waits at the others.
    fn granted(&mut self, id: usize, router: usize) {
        for (at, number) in std::mem::take(&mut self.requests[id].waits) {
            if at != router {
                self.desks[at].remove_served(MODEL, number, self.now);
            }
        }
        self.requests[id].lender = Some(router);
    }

    fn borrow(&mut self, id: usize, peer: usize, at: Option<&str>) -> bool {
        let request = &self.requests[id];
        let team = format!("team-{}", request.team);
        let want = want(self.mix, request, &team);
        self.messages += 1;
        let Some(upstream) = self.desks[peer].lend(&want, at, self.now) else { return false };
        self.messages += 1;
        self.requests[id].lender = Some(peer);
        self.send(id, index(&upstream));
        true
    }

    /// The router whose slot a request uses.
    fn slot_of(&self, id: usize) -> usize {
        self.requests[id].lender.unwrap_or(self.requests[id].router)
    }

    fn send(&mut self, id: usize, engine: usize) {
        let router = self.slot_of(id);
        let request = &self.requests[id];
        let class = &self.mix.classes[request.class];
        let cut =
            self.scene == Scene::CutCentre && self.now >= FAULT_AT && engine.is_multiple_of(self.mix.centres);
        if self.engines[engine].dead || cut {
            self.fail(id, engine);
            return;
        }
        let run = Run {
            request: id,
            priority: class.priority,
            prompt: class.prompt,
            tokens: class.tokens,
            prefix: request.prefix,
        };
        self.open[router][engine] += 1;
        if let Some(times) = self.engines[engine].accept(run, self.now) {
            self.schedule(engine, id, times);
        }
    }

    fn schedule(&mut self, engine: usize, request: usize, times: Times) {
        self.push(times.end, Event::End { engine, request, first: times.first });
    }

    /// A connection was refused: the run certainly did not start, so it is tried elsewhere.
    fn fail(&mut self, id: usize, engine: usize) {
        let router = self.slot_of(id);
        if matches!(self.policy, Policy::Tallypaddle | Policy::OneRouter) {
            self.desks[router].pool.release(&name(engine));
            self.desks[router].pool.record_failure(&name(engine), self.now);
        }
        self.requests[id].lender = None;
        if self.requests[id].attempts >= ATTEMPTS {
            return;
        }
        self.requests[id].avoid.push(name(engine));
        self.retries += 1;
        self.place(id);
    }

    fn end(&mut self, engine: usize, id: usize, first: u64) {
        if self.engines[engine].dead {
            return;
        }
        let next = self.engines[engine].end(self.now);
        let router = self.slot_of(id);
        self.open[router][engine] = self.open[router][engine].saturating_sub(1);
        self.account(id, first);
        if let Some((run, times)) = next {
            self.schedule(engine, run.request, times);
        }
        if matches!(self.policy, Policy::Tallypaddle | Policy::OneRouter) {
            let class = &self.mix.classes[self.requests[id].class];
            let gap = (self.now - first) as f64 / class.tokens as f64;
            self.desks[router].pool.record_success(&name(engine), Some(gap));
            self.desks[router].pool.release(&name(engine));
            self.advance(router);
        }
    }

    fn advance(&mut self, router: usize) {
        for id in self.desks[router].expire(self.now) {
            self.forget(id, router);
        }
        for (id, choice) in self.desks[router].dispatch_waiting(self.now, |_| false) {
            self.granted(id, router);
            self.send(id, index(&choice.upstream));
        }
    }

    fn account(&mut self, id: usize, first: u64) {
        let request = &self.requests[id];
        if !self.counted(request.arrived) {
            return;
        }
        let class = &self.mix.classes[request.class];
        let waited = first - request.arrived;
        self.gaps.push((self.now - first) / class.tokens.max(1));
        if request.class == 0 {
            self.firsts.push(waited);
        }
        if waited <= class.deadline_ms {
            self.good[request.class] += 1;
            self.team_good[request.team] += 1;
        }
    }

    fn report(&mut self) {
        self.reports.push(self.engines.iter().map(Engine::busy).collect());
        let lag = if self.scene == Scene::Lag { (LAG_MS / REPORT_MS) as usize } else { 1 };
        let Some(old) = self.reports.len().checked_sub(1 + lag).map(|at| self.reports[at].clone()) else {
            return;
        };
        for router in 0..self.desks.len() {
            for (engine, busy) in old.iter().enumerate() {
                let report = LoadReport { slots: SLOTS, busy: *busy, leaving: false };
                self.desks[router].pool.record_report(&name(engine), report, self.now);
                for prefix in self.forgotten(engine) {
                    self.desks[router].pool.record_cache_event(&name(engine), prefix, false);
                }
            }
            self.advance(router);
        }
    }

    /// Prefixes that an engine no longer has; the real engine's events say so, late.
    fn forgotten(&self, engine: usize) -> Vec<u64> {
        let classes = self.mix.classes.iter().enumerate();
        let all = classes
            .flat_map(|(class, content)| (0..content.prefixes).map(move |of| (class as u64) << 32 | of));
        all.filter(|prefix| !self.engines[engine].has(*prefix)).collect()
    }

    fn fault(&mut self) {
        match self.scene {
            Scene::Dies => self.engines[0].dead = true,
            Scene::Slow => self.engines[0].slow = 10.0,
            Scene::Restart => {
                let routers = self.desks.len();
                for router in 0..routers.min(3) {
                    let mut fresh = desk(self.mix, router, routers);
                    // What it had open goes on at the engines; its successor does not know of it.
                    fresh.pool.trust_reports_until(self.now + 30_000);
                    std::mem::swap(&mut self.desks[router], &mut fresh);
                }
            }
            Scene::Calm | Scene::Lag | Scene::CutCentre => {}
        }
    }

    fn outcome(mut self) -> Outcome {
        let seconds = (RUN_MS - 25_000 - WARM_MS) as f64 / 1_000.0;
        let good: u64 = self.good.iter().sum();
        let offered: u64 = self.offered.iter().sum();
        let hits: u64 = self.engines.iter().map(|engine| engine.hits).sum();
        let lookups: u64 = self.engines.iter().map(|engine| engine.lookups).sum();
        let overrun: u64 = self.engines.iter().map(|engine| engine.overrun_ms).sum();
        self.firsts.sort_unstable();
        self.gaps.sort_unstable();
        Outcome {
            goodput: good as f64 / seconds,
            share: percent(good, offered),
            urgent_share: percent(self.good[0], self.offered[0]),
            first: [0.5, 0.95, 0.99].map(|quantile| at(&self.firsts, quantile)),
            gap: at(&self.gaps, 0.95),
            overrun: overrun as f64 / 1_000.0,
            hits: percent(hits, lookups),
            retries: percent(self.retries, self.requests.len() as u64),
            messages: self.messages as f64 / self.requests.len().max(1) as f64,
            fairness: fairness(&self.team_good, &self.team_offered),
        }
    }
}
