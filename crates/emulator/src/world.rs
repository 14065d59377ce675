//! Callers, routers with private views, and engines in virtual time.

use crate::engine::{Engine, Happened, Job, Spec};
use crate::load::{Kind, Request};
use crate::outcome::Outcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::place::{Chosen, Need, Part, Places, Prompt, Site, Ticket, Told};
use route::{Millis, Pause, Pauses, Teller};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The name of the service.
const SERVICE: &str = "engines";
/// The time from a router to an engine or to another router, in milliseconds.
const WAY_MS: f64 = 1.0;
/// A shared part that was used so recently should still be kept somewhere, in milliseconds.
const AGAIN_MS: f64 = 10_000.0;
/// How often the engines are divided, in milliseconds: with each heartbeat of a gateway.
const DIVIDE_MS: f64 = 1_500.0;
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
    pub teller: Teller,
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
}

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Reach { engine: usize, id: usize },
    Hear { router: usize, engine: usize, told: Told },
    Step { engine: usize, number: u64 },
    Leave { id: usize },
    Strike(Fault),
    Divide,
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
    router: usize,
    engine: usize,
    ticket: Ticket,
    pauses: Option<Pauses>,
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
    routers: Vec<Places>,
    tellers: Vec<Teller>,
    engines: Vec<Engine>,
    names: Vec<String>,
    live: HashMap<usize, Live>,
    count: usize,
    load: f64,
    used: HashMap<u64, f64>,
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
    world.outcome
}

impl<'a> World<'a> {
    fn new(scene: &'a Scene) -> World<'a> {
        let names: Vec<String> = (0..scene.slow.len()).map(|engine| format!("engine-{engine:03}")).collect();
        let centre = |index: usize| format!("dc-{}", index % scene.data_centres);
        let router = |index| {
            let mut places = Places::new(&centre(index));
            for (engine, name) in names.iter().enumerate() {
                let slots = scene.engine.slots as u32;
                let site = Site { service: SERVICE.to_owned(), data_centre: centre(engine), slots };
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
                self.routers[router].hear(&self.names[engine], &told, self.now as Millis);
            }
            Event::Step { engine, number } => self.end_step(engine, number),
            Event::Leave { id } => self.leave(id),
            Event::Strike(Fault::Slow(engine, slow)) => self.engines[engine].slow = slow,
            Event::Strike(Fault::Load(load)) => self.load = load,
            Event::Divide => self.divide(),
        }
    }

    /// The first router divides the engines, the others follow.
    fn divide(&mut self) {
        self.push(self.now + DIVIDE_MS, Event::Divide);
        let now = self.now as Millis;
        let Some((first, others)) = self.routers.split_first_mut() else { return };
        for (service, short) in first.divide(now) {
            for other in others.iter_mut() {
                other.follow(service, short);
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
        self.dispatch(request, router);
    }

    fn dispatch(&mut self, request: Request, router: usize) {
        let kind = &self.scene.kinds[request.kind];
        let parts: Vec<Part> =
            request.parts.iter().map(|part| Part { id: part.id, tokens: part.tokens as u32 }).collect();
        let prompt = Prompt {
            parts: &parts,
            input: request.parts.iter().map(|part| part.tokens).sum(),
            events: request.output / self.scene.engine.stride,
            target_ms: kind.target_ms,
            gap_ms: kind.gap_ms,
        };
        let need = Need { service: SERVICE, prompt: Some(prompt), avoid: &[] };
        let now = self.now as Millis;
        let places = &mut self.routers[router];
        let Some(chosen) = places.choose(&need, now) else { return };
        let ticket = places.begin(&chosen, Some(&prompt), now);
        let engine = self.names.iter().position(|name| *name == chosen.upstream).unwrap_or(0);
        self.tell(router, engine, &chosen);
        let id = self.count;
        self.count += 1;
        let wait_ms = kind.wait_ms;
        let live =
            Live { request, router, engine, ticket, pauses: None, last: 0.0, first_ms: 0.0, gap_ms: 0.0 };
        self.live.insert(id, live);
        self.push(self.now + WAY_MS, Event::Reach { engine, id });
        self.push(self.now + wait_ms, Event::Leave { id });
    }

    fn tell(&mut self, from: usize, engine: usize, chosen: &Chosen) {
        let count = self.routers.len() as u64;
        if !self.tellers[from].tells(chosen.uncached, count, self.now as Millis) {
            return;
        }
        let told = self.routers[from].tell(chosen);
        self.outcome.told += count - 1;
        for router in (0..self.routers.len()).filter(|router| *router != from) {
            let told = told.clone();
            self.push(self.now + WAY_MS, Event::Hear { router, engine, told });
        }
    }

    fn reach(&mut self, engine: usize, id: usize) {
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
                live.pauses = Some(Pauses::new(self.now));
                live.first_ms = self.now - live.request.arrived;
                places.read(name, live.ticket, now);
            }
            Some(pauses) => {
                live.gap_ms = live.gap_ms.max(self.now - live.last);
                match pauses.next(self.now) {
                    Pause::Quiet(ms) => places.quiet(name, ms),
                    Pause::Long(ms) => places.pause(name, ms, now),
                    Pause::Usual => {}
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
