//! Callers, routers with private views, and engines in virtual time.

use crate::deadly::{self, Message, Watch};
use crate::engine::{Engine, Happened, Job, Spec};
use crate::load::{Kind, Request};
use crate::outcome::Outcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::notice::Notice;
use route::placement::{
    DispatchHint, DispatchId, Placement, PlacementRequest, Placer, Prompt, PromptPart, UpstreamInfo,
};
use route::{HintFilter, Millis, PauseKind, PauseTracker};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

/// The name of the service.
const SERVICE: &str = "engines";
/// The time from a router to an engine or to another router, in milliseconds.
const WAY_MS: f64 = 1.0;
/// A shared part that was used so recently should still be kept somewhere, in milliseconds.
const AGAIN_MS: f64 = 10_000.0;
/// How often the engines are divided, in milliseconds: with each heartbeat of a gateway.
const DIVIDE_MS: f64 = 1_500.0;
/// How long an engine that leaves still serves, in milliseconds.
const LEAVES_MS: f64 = 4_000.0;
/// How often a request is tried again whose engine ended.
const RETRIES: u32 = 2;
/// Events come in units of this part of a millisecond.
const TICKS: f64 = 1_000.0;

/// What is played.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Routers.
    pub routers: usize,
    /// Data centres, over which routers and engines are spread.
    pub data_centres: usize,
    /// The engines' specification.
    pub engine: Spec,
    /// How many times slower than that each engine is.
    pub slow: Vec<f64>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// Multiple of the usual rates.
    pub load: f64,
    /// How long it is played, in milliseconds, and from when on requests count.
    pub length_ms: f64,
    /// Requests that come earlier do not count.
    pub warm_ms: f64,
    /// Which dispatches routers tell the others.
    pub teller: HintFilter,
    /// What goes wrong, and when.
    pub faults: Vec<(f64, Fault)>,
    /// The seed of all that is random.
    pub seed: u64,
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An engine becomes so many times slower.
    Slow(usize, f64),
    /// The load becomes this multiple of the usual one.
    Load(f64),
    /// An engine ends, and is back after some seconds.
    Crash(usize),
    /// An engine says in its answers that it leaves, and the list does not; after some seconds it ends, and another life of it begins.
    Leave(usize),
    /// An engine refuses what comes, and asks for rest for the time that is left of so many milliseconds.
    Rest(usize, f64),
    /// From now on a request that ends its engines comes so many times a second, to any router.
    Deadly(f64),
}

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Reach { engine: usize, id: usize },
    Hear { router: usize, engine: usize, told: DispatchHint },
    Step { engine: usize, number: u64 },
    Leave { id: usize },
    Strike(Fault),
    Divide,
    ArriveDeadly,
    BeginDeadly { router: usize, engine: usize },
    Word { router: usize, word: Option<Notice> },
    Return { engine: usize },
    Depart { engine: usize },
}

struct Timed {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A request that is being carried out.
struct Live {
    request: Request,
    /// The request's number: a retry has the same.
    number: u64,
    /// Retries that are left.
    retries: u32,
    router: usize,
    engine: usize,
    ticket: DispatchId,
    pauses: Option<PauseTracker>,
    last: f64,
    first_ms: f64,
    gap_ms: f64,
}

struct World<'a> {
    scene: &'a Scene,
    now: f64,
    order: u64,
    events: BinaryHeap<Reverse<Timed>>,
    random: SmallRng,
    routers: Vec<Placer>,
    tellers: Vec<HintFilter>,
    engines: Vec<Engine>,
    names: Vec<String>,
    live: HashMap<usize, Live>,
    count: usize,
    load: f64,
    used: HashMap<u64, f64>,
    /// Until when each engine rests.
    rests_until: Vec<f64>,
    /// Routers that each engine told that it leaves; `None` as long as it doesn't.
    leaving: Vec<Option<HashSet<usize>>>,
    /// Routers that each engine told how long it rests.
    told_rest: HashSet<(usize, usize)>,
    watch: Watch,
    deadly_per_s: f64,
    outcome: Outcome,
}

/// Plays a scene to its end.
pub fn play(scene: &Scene) -> Outcome {
    let mut world = World::new(scene);
    world.push(0.0, Event::Arrive);
    world.push(DIVIDE_MS, Event::Divide);
    for (at, fault) in &scene.faults {
        world.push(*at, Event::Strike(*fault));
    }
    while let Some(Reverse(next)) = world.events.pop() {
        world.now = next.at as f64 / TICKS;
        if world.now > scene.length_ms {
            break;
        }
        world.step(next.event);
    }
    for engine in &world.engines {
        world.outcome.read += engine.counts().read;
        world.outcome.preempted += engine.counts().preempted;
    }
    world.outcome.deadly = world.watch.outcome;
    world.outcome
}

impl<'a> World<'a> {
    fn new(scene: &'a Scene) -> World<'a> {
        let names: Vec<String> = (0..scene.slow.len()).map(|engine| format!("engine-{engine:03}")).collect();
        let centre = |index: usize| format!("dc-{}", index % scene.data_centres);
        let router = |index| {
            let mut places = Placer::new(&centre(index));
            for (engine, name) in names.iter().enumerate() {
                let slots = scene.engine.slots as u32;
                let site = UpstreamInfo { service: SERVICE.to_owned(), data_centre: centre(engine), slots };
                places.set(name, site, false);
            }
            places
        };
        World {
            now: 0.0,
            order: 0,
            events: BinaryHeap::new(),
            random: SmallRng::seed_from_u64(scene.seed),
            routers: (0..scene.routers).map(router).collect(),
            tellers: vec![scene.teller; scene.routers],
            engines: scene.slow.iter().map(|slow| Engine::new(scene.engine.clone(), *slow)).collect(),
            names,
            live: HashMap::new(),
            count: 0,
            load: scene.load,
            used: HashMap::new(),
            rests_until: vec![0.0; scene.slow.len()],
            leaving: vec![None; scene.slow.len()],
            told_rest: HashSet::new(),
            watch: Watch::new(scene.routers, scene.slow.len()),
            deadly_per_s: 0.0,
            outcome: Outcome::new(&scene.kinds),
            scene,
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Timed { at: (at * TICKS) as u64, order: self.order, event }));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { engine, id } => self.reach(engine, id),
            Event::Hear { router, engine, told } => {
                self.routers[router].record_dispatch_hint(&self.names[engine], &told, self.now as Millis);
            }
            Event::Step { engine, number } => self.end_step(engine, number),
            Event::Leave { id } => self.leave(id),
            Event::Strike(Fault::Slow(engine, slow)) => self.engines[engine].slow = slow,
            Event::Strike(Fault::Load(load)) => self.load = load,
            Event::Strike(Fault::Crash(engine)) => self.crash(engine, None),
            Event::Strike(Fault::Leave(engine)) => {
                self.leaving[engine] = Some(HashSet::new());
                self.push(self.now + LEAVES_MS, Event::Depart { engine });
            }
            Event::Strike(Fault::Rest(engine, ms)) => {
                self.rests_until[engine] = self.now + ms;
                self.told_rest.retain(|(resting, _)| *resting != engine);
            }
            Event::Strike(Fault::Deadly(per_s)) => {
                self.deadly_per_s = per_s;
                self.push(self.now, Event::ArriveDeadly);
            }
            Event::Divide => self.divide(),
            Event::ArriveDeadly => self.arrive_deadly(),
            Event::BeginDeadly { router, engine } => {
                if !self.engines[engine].is_dead {
                    self.crash(engine, Some(router));
                }
            }
            Event::Word { router, word: Some(word) } => {
                let messages = self.watch.hear(router, &word, self.now, &mut self.random);
                self.send(messages);
            }
            Event::Word { router, word: None } => {
                let messages = self.watch.decide(router, self.now, &mut self.random);
                self.send(messages);
            }
            Event::Return { engine } => self.come_back(engine),
            Event::Depart { engine } => {
                self.outcome.signals.cut += self.engines[engine].running() as u64;
                self.crash(engine, None);
            }
        }
    }

    fn arrive_deadly(&mut self) {
        if self.deadly_per_s <= 0.0 {
            return;
        }
        let wait = -self.random.r#gen::<f64>().max(1e-12).ln() * 1_000.0 / self.deadly_per_s;
        self.push(self.now + wait, Event::ArriveDeadly);
        let router = self.random.gen_range(0..self.routers.len());
        if !self.watch.admits_deadly(router, self.now) {
            return;
        }
        let need = PlacementRequest { service: SERVICE, prompt: None, avoid: &[] };
        let Some(chosen) = self.routers[router].choose(&need, self.now as Millis) else { return };
        let engine = self.names.iter().position(|name| *name == chosen.upstream).unwrap_or(0);
        self.push(self.now + deadly::BEGINS_MS, Event::BeginDeadly { router, engine });
    }

    /// Ends an engine: it leaves the list, and what ran there is tried again.
    fn crash(&mut self, engine: usize, of: Option<usize>) {
        if self.engines[engine].is_dead {
            return;
        }
        let lost = deadly::crash(&mut self.engines[engine]);
        self.push(self.now + deadly::DOWN_MS, Event::Return { engine });
        for router in &mut self.routers {
            router.remove(&self.names[engine]);
        }
        let beside: Vec<_> = lost
            .iter()
            .filter_map(|id| self.live.get(id))
            .map(|live| {
                let first = live.request.arrived + live.first_ms;
                let begun_ms = live.pauses.as_ref().map(|_| (self.now - first) as Millis);
                (live.router, live.number, begun_ms)
            })
            .collect();
        let messages = self.watch.end(engine, of, &beside, self.now, &mut self.random);
        self.send(messages);
        for id in lost {
            self.retry(id);
        }
    }

    fn retry(&mut self, id: usize) {
        let Some(live) = self.live.get(&id) else { return };
        if live.retries == 0 || !self.watch.admits(live.router, live.number, self.now) {
            return self.close(id, false);
        }
        let (request, router) = (live.request.clone(), live.router);
        let (number, retries) = (live.number, live.retries - 1);
        self.live.remove(&id);
        self.dispatch_as(request, router, number, retries);
    }

    fn come_back(&mut self, engine: usize) {
        self.engines[engine].is_dead = false;
        self.leaving[engine] = None;
        let slots = self.scene.engine.slots as u32;
        let data_centre = format!("dc-{}", engine % self.scene.data_centres);
        for router in &mut self.routers {
            router.forget(&self.names[engine]);
            let site = UpstreamInfo { service: SERVICE.to_owned(), data_centre: data_centre.clone(), slots };
            router.set(&self.names[engine], site, false);
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for Message { at, router, word } in messages {
            self.push(at, Event::Word { router, word });
        }
    }

    /// The first router divides the engines, the others follow.
    fn divide(&mut self) {
        self.push(self.now + DIVIDE_MS, Event::Divide);
        let now = self.now as Millis;
        let Some((first, others)) = self.routers.split_first_mut() else { return };
        for (service, short) in first.adapt_divisions(now) {
            for other in others.iter_mut() {
                other.follow_division(service, short);
            }
        }
    }

    fn arrive(&mut self) {
        let all: f64 = self.scene.kinds.iter().map(|kind| kind.per_s).sum();
        let wait = -self.random.r#gen::<f64>().max(1e-12).ln() * 1_000.0 / (all * self.load);
        self.push(self.now + wait, Event::Arrive);
        let mut pick = self.random.r#gen::<f64>() * all;
        let kinds = &self.scene.kinds;
        let index = kinds.iter().position(|kind| {
            pick -= kind.per_s;
            pick < 0.0
        });
        let index = index.unwrap_or(kinds.len() - 1);
        let request = kinds[index].draw(index, self.now, self.scene.engine.stride, &mut self.random);
        let router = self.random.gen_range(0..self.routers.len());
        let number = self.count as u64;
        if self.watch.admits(router, number, self.now) {
            self.dispatch_as(request, router, number, RETRIES);
        }
    }

    fn dispatch_as(&mut self, request: Request, router: usize, number: u64, retries: u32) {
        let kind = &self.scene.kinds[request.kind];
        let parts: Vec<PromptPart> =
            request.parts.iter().map(|part| PromptPart { id: part.id, tokens: part.tokens as u32 }).collect();
        let prompt = Prompt {
            parts: &parts,
            input: request.parts.iter().map(|part| part.tokens).sum(),
            events: request.output / self.scene.engine.stride,
            target_ms: kind.target_ms,
            gap_ms: kind.gap_ms,
        };
        let need = PlacementRequest { service: SERVICE, prompt: Some(prompt), avoid: &[] };
        let now = self.now as Millis;
        let places = &mut self.routers[router];
        let Some(chosen) = places.choose(&need, now) else { return };
        let ticket = places.begin(&chosen, Some(&prompt), now);
        let engine = self.names.iter().position(|name| *name == chosen.upstream).unwrap_or(0);
        self.tell(router, engine, &chosen);
        let id = self.count;
        self.count += 1;
        let wait_ms = kind.wait_ms;
        let live = Live {
            request,
            number,
            retries,
            router,
            engine,
            ticket,
            pauses: None,
            last: 0.0,
            first_ms: 0.0,
            gap_ms: 0.0,
        };
        self.live.insert(id, live);
        self.push(self.now + WAY_MS, Event::Reach { engine, id });
        self.push(self.now + wait_ms, Event::Leave { id });
    }

    fn tell(&mut self, from: usize, engine: usize, chosen: &Placement) {
        let count = self.routers.len() as u64;
        if !self.tellers[from].should_send(chosen.uncached, count, self.now as Millis) {
            return;
        }
        let told = self.routers[from].take_hint(chosen);
        self.outcome.told += count - 1;
        for router in (0..self.routers.len()).filter(|router| *router != from) {
            let told = told.clone();
            self.push(self.now + WAY_MS, Event::Hear { router, engine, told });
        }
    }

    /// Whether an engine rests, which it tells the router of a request.
    fn rests(&mut self, engine: usize, router: usize) -> bool {
        let left = self.rests_until[engine] - self.now;
        if left <= 0.0 {
            return false;
        }
        self.outcome.signals.refused += 1;
        let is_new = self.told_rest.insert((engine, router));
        self.outcome.signals.refused_again += u64::from(!is_new);
        self.routers[router].back_off(&self.names[engine], left as Millis, self.now as Millis);
        true
    }

    fn reach(&mut self, engine: usize, id: usize) {
        let Some(router) = self.live.get(&id).map(|live| live.router) else { return };
        if self.rests(engine, router) {
            return self.retry(id);
        }
        let is_told = self.leaving[engine].as_ref().is_some_and(|told| told.contains(&router));
        self.outcome.signals.late += u64::from(is_told);
        let Some(live) = self.live.get(&id) else { return };
        let request = &live.request;
        let shared = request.parts.len() - 1;
        let unread = self.engines[engine].unread(&request.parts[..shared]);
        for part in unread {
            let is_again = self.used.get(&part.id).is_some_and(|used| self.now - used < AGAIN_MS);
            self.outcome.again += if is_again { part.tokens } else { 0 };
        }
        for part in &request.parts[..shared] {
            self.used.insert(part.id, self.now);
        }
        let rank = self.scene.kinds[request.kind].rank;
        let job = Job { id, rank, parts: request.parts.clone(), output: request.output };
        if !self.engines[engine].accept(job, self.now) {
            self.close(id, false);
        }
        self.go_on(engine);
    }

    fn go_on(&mut self, engine: usize) {
        if let Some((number, at)) = self.engines[engine].begin(self.now) {
            self.push(at, Event::Step { engine, number });
        }
    }

    fn end_step(&mut self, engine: usize, number: u64) {
        for happened in self.engines[engine].end(number, self.now) {
            match happened {
                Happened::First(id) => self.event(id),
                Happened::Event(id) => self.event(id),
                Happened::End(id) => {
                    self.event(id);
                    self.close(id, true);
                }
            }
        }
        self.go_on(engine);
    }

    fn event(&mut self, id: usize) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let places = &mut self.routers[live.router];
        let (name, now) = (&self.names[live.engine], self.now as Millis);
        match &mut live.pauses {
            None => {
                live.pauses = Some(PauseTracker::new(self.now));
                live.first_ms = self.now - live.request.arrived;
                if let Some(told) = &mut self.leaving[live.engine] {
                    told.insert(live.router);
                    places.mark_leaving(name, now);
                }
                places.record_first_answer(name, live.ticket, now);
            }
            Some(pauses) => {
                live.gap_ms = live.gap_ms.max(self.now - live.last);
                match pauses.record(self.now) {
                    PauseKind::Baseline(ms) => places.record_baseline_pause(name, ms),
                    PauseKind::Long(ms) => places.record_pause(name, ms, now),
                    PauseKind::Normal => {}
                }
            }
        }
        live.last = self.now;
    }

    fn leave(&mut self, id: usize) {
        let Some(live) = self.live.get(&id) else { return };
        let engine = live.engine;
        self.engines[engine].cancel(id);
        self.close(id, false);
    }

    fn close(&mut self, id: usize, is_complete: bool) {
        let Some(live) = self.live.remove(&id) else { return };
        let now = self.now as Millis;
        self.routers[live.router].end(&self.names[live.engine], live.ticket, now);
        if is_complete {
            let messages = self.watch.outlived(live.router, live.number, self.now, &mut self.random);
            self.send(messages);
        }
        if live.request.arrived < self.scene.warm_ms {
            return;
        }
        let kind = &self.scene.kinds[live.request.kind];
        let share = &mut self.outcome.kinds[live.request.kind];
        share.asked += 1;
        match is_complete {
            false => share.failed += 1,
            true if live.first_ms > kind.target_ms as f64 => share.late_first += 1,
            true if live.gap_ms > kind.gap_ms as f64 => share.late_gap += 1,
            true => share.in_time += 1,
        }
    }
}
