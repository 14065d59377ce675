//! The budget decisions against baselines, in virtual time: overspend, false refusals, platform writes and
//! tokens stranded by a lost VM. The router's own decision code runs here against small fakes.

use budget::demand::{Demand, HoldingPolicy, is_off_target};
use budget::grant::{Grant, ReserveOutcome};
use budget::ledger::{Account, Batch, Charge, Credit, Pool, post};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const ROUTERS: usize = 8;
const BUDGET: &str = "team/main";
/// One step of virtual time, in milliseconds.
const STEP_MS: u64 = 20;
/// The time of a run, and the outage or cut within it, in milliseconds.
const RUN_MS: u64 = 20 * 60_000;
const FAULT_MS: std::ops::Range<u64> = 5 * 60_000..15 * 60_000;
const SYNC_MS: u64 = 1_000;
/// How long a pool that was seen empty is not asked again.
const EMPTY_MS: u64 = 250;
/// The shortest time between two settlements of one router.
const SPACING_MS: u64 = 40;
/// How long a request waits for tokens.
const WAIT_MS: u64 = 2_000;
const LEAST: u64 = 4_096;
/// Requests a second, all routers together; the first router gets three shares of ten.
const RATE: f64 = 20.0;
const SEED: u64 = 20_261_202;

/// A class of requests: tokens at worst, tokens really used, seconds, share of requests.
#[derive(Clone, Copy)]
struct Class(u64, u64, f64, f64);

struct Mix {
    name: &'static str,
    cover_s: u64,
    expose_s: u64,
    refusals_weigh_more: bool,
    classes: [Class; 3],
}

const MIXES: [Mix; 2] = [
    Mix {
        name: "Chinook (refusals weigh more)",
        cover_s: 1_200,
        expose_s: 120,
        refusals_weigh_more: true,
        classes: [Class(3_000, 1_250, 12.0, 0.2), Class(700, 200, 3.0, 0.5), Class(200, 60, 0.3, 0.3)],
    },
    Mix {
        name: "Učňovská Sieť (overspend weighs more)",
        cover_s: 900,
        expose_s: 30,
        refusals_weigh_more: false,
        classes: [Class(8_000, 3_000, 25.0, 0.1), Class(1_500, 500, 5.0, 0.5), Class(300, 90, 0.5, 0.4)],
    },
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Tallypaddle,
    NoPeers,
    StaticSplit,
    EachRequest,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scene {
    Calm,
    Outage,
    CutTopUp,
    RunningOut,
}

#[derive(Clone, Default)]
struct Node {
    grant: Grant,
    demand: Demand,
    account: Account,
    sequence: u64,
    need: u64,
    capped: u64,
    synced: u64,
    free: Option<u64>,
}

struct Waiting {
    router: usize,
    class: Class,
    until: u64,
}

struct Running {
    router: usize,
    class: Class,
    until: u64,
}

#[derive(Default)]
struct Result {
    requests: u64,
    refused: u64,
    false_refusals: u64,
    consumed: u64,
    writes: u64,
    stranded: u64,
    samples: u64,
}

struct World {
    policy: Policy,
    scene: Scene,
    refusals_weigh_more: bool,
    terms: HoldingPolicy,
    now: u64,
    nodes: Vec<Node>,
    pools: BTreeMap<String, Pool>,
    credits: Vec<Credit>,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    result: Result,
}

impl World {
    fn faulty(&self) -> bool {
        FAULT_MS.contains(&self.now)
    }

    fn reaches_platform(&self, router: usize) -> bool {
        match self.scene {
            Scene::Outage => !self.faulty(),
            Scene::CutTopUp => router >= ROUTERS / 2 || !self.faulty(),
            _ => true,
        }
    }

    fn reaches_peer(&self, from: usize, to: usize) -> bool {
        let same_side = (from < ROUTERS / 2) == (to < ROUTERS / 2);
        self.scene != Scene::CutTopUp || same_side || !self.faulty()
    }

    fn credited(&self) -> u64 {
        self.credits.iter().map(|credit| credit.tokens).sum()
    }

    /// Tokens that no request has used or may still use.
    fn left(&self) -> u64 {
        let reserved: u64 = self.running.iter().map(|running| running.class.0).sum();
        self.credited().saturating_sub(self.result.consumed + reserved)
    }

    fn reserve(&mut self, router: usize, class: Class) -> bool {
        if self.policy == Policy::EachRequest {
            if !self.reaches_platform(router) {
                return false;
            }
            self.result.writes += 1;
            return self.left() >= class.0;
        }
        self.nodes[router].demand.record_request(self.now);
        match self.nodes[router].grant.reserve(class.0) {
            ReserveOutcome::Reserved => return true,
            ReserveOutcome::Insufficient(missing) => {
                let node = &mut self.nodes[router];
                node.need = node.need.max(missing);
            }
            ReserveOutcome::ExposureExceeded => self.nodes[router].capped = class.0,
        }
        self.sync(router);
        if self.nodes[router].grant.reserve(class.0) == ReserveOutcome::Reserved {
            return true;
        }
        if self.policy == Policy::Tallypaddle {
            // Its keeper is its neighbour; while it can be reached it lifts the bound. Alone, the weighing decides.
            let keeper_answers = self.reaches_peer(router, (router + 1) % ROUTERS);
            if self.nodes[router].capped > 0 && (keeper_answers || self.refusals_weigh_more) {
                self.nodes[router].grant.lift_exposure_limit();
                self.nodes[router].capped = 0;
            }
            self.borrow(router, class.0.saturating_sub(self.nodes[router].grant.available()));
        }
        self.nodes[router].grant.reserve(class.0) == ReserveOutcome::Reserved
    }

    fn borrow(&mut self, router: usize, missing: u64) {
        let mut missing = missing;
        for peer in (0..ROUTERS).filter(|peer| *peer != router) {
            if self.reaches_peer(router, peer) && (self.nodes[peer].need == 0 || router < peer) {
                let given = self.nodes[peer].grant.lend(missing, 0);
                self.nodes[router].grant.receive(given);
                missing -= given;
            }
        }
    }

    fn sync(&mut self, router: usize) {
        let now = self.now;
        let reaches = self.reaches_platform(router) && self.policy != Policy::StaticSplit;
        let node = &mut self.nodes[router];
        let known_empty = node.free == Some(0) && node.capped == 0 && now < node.synced + EMPTY_MS;
        if !reaches || known_empty || now < node.synced + SPACING_MS {
            return;
        }
        node.demand.update_rate(now - node.synced);
        let target = node.demand.target(now, &self.terms);
        let off_target = is_off_target(node.grant.available(), target, node.free);
        if node.need == 0 && node.capped == 0 && !node.grant.has_unsettled_changes() && !off_target {
            return;
        }
        let need = std::mem::take(&mut node.need);
        let spare = node.demand.exposure_headroom(&self.terms) + std::mem::take(&mut node.capped);
        let Some(entry) = node.grant.open_entry(target, need, spare, self.credits.clone(), usize::MAX) else {
            return;
        };
        node.sequence += 1;
        let entries = [(BUDGET.to_owned(), entry)].into();
        let batch = Batch { sequence: node.sequence, entries, keeper: String::new() };
        post(&mut node.account, &mut self.pools, &|_| false, &batch, ROUTERS as u64)
            .expect("a batch in order");
        node.grant.close_entry(&node.account.lines[BUDGET]);
        node.free = self.pools.get(BUDGET).map(|pool| pool.free);
        node.synced = now;
        self.result.writes += 1;
    }

    fn finish(&mut self) {
        let (done, running) =
            std::mem::take(&mut self.running).into_iter().partition(|running| running.until <= self.now);
        self.running = running;
        let done: Vec<Running> = done;
        for Running { router, class, .. } in done {
            self.result.consumed += class.1;
            if self.policy == Policy::EachRequest {
                self.result.writes += 1;
                continue;
            }
            let node = &mut self.nodes[router];
            node.demand.record_consumption(class.1);
            node.grant.charge(class.0, Charge { request: String::new(), key: None, tokens: class.1 });
        }
    }

    fn serve(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let Waiting { router, class, until } = waiting;
            if self.reserve(router, class) {
                let until = self.now + (class.2 * 1_000.0) as u64;
                self.running.push(Running { router, class, until });
            } else if self.now >= until {
                self.result.refused += 1;
                self.result.false_refusals += u64::from(self.left() >= class.0);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    fn arrive(&mut self, random: &mut SmallRng, classes: &[Class; 3]) {
        if !random.gen_bool(RATE * STEP_MS as f64 / 1_000.0) {
            return;
        }
        let router = if random.gen_bool(0.3) { 0 } else { random.gen_range(0..ROUTERS) };
        let pick: f64 = random.r#gen();
        let class = match pick {
            pick if pick < classes[0].3 => classes[0],
            pick if pick < classes[0].3 + classes[1].3 => classes[1],
            _ => classes[2],
        };
        self.result.requests += 1;
        self.waiting.push(Waiting { router, class, until: self.now + WAIT_MS });
    }

    /// What the loss of a router would strand for good.
    fn stranded(&self, node: &Node) -> u64 {
        let total = node.grant.total();
        match (self.policy, node.account.lines.get(BUDGET)) {
            (Policy::Tallypaddle, Some(line)) if !node.grant.is_exposure_limit_lifted() => {
                total.min(line.exposed)
            }
            _ => total,
        }
    }

    fn split(&mut self, tokens: u64, routers: &[usize]) {
        for router in routers {
            self.nodes[*router].grant.receive(tokens / ROUTERS as u64);
        }
    }
}

fn simulate(mix: &Mix, scene: Scene, policy: Policy) -> (Result, u64) {
    let mean: f64 = mix.classes.iter().map(|class| class.1 as f64 * class.3).sum();
    let demand = (mean * RATE * RUN_MS as f64 / 1_000.0) as u64;
    let prepaid = match scene {
        Scene::RunningOut => demand / 2,
        _ => demand * 3,
    };
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut world = World {
        policy,
        scene,
        refusals_weigh_more: mix.refusals_weigh_more,
        terms: HoldingPolicy { cover_s: mix.cover_s, min_tokens: LEAST, expose_s: mix.expose_s },
        now: 0,
        nodes: vec![Node::default(); ROUTERS],
        pools: BTreeMap::new(),
        credits: vec![Credit { id: "first".into(), tokens: prepaid }],
        waiting: vec![],
        running: vec![],
        result: Result::default(),
    };
    if policy == Policy::StaticSplit {
        world.split(prepaid, &(0..ROUTERS).collect::<Vec<_>>());
    }
    let top_up_at = (FAULT_MS.start + FAULT_MS.end) / 2;
    let mut topped_up = 0;
    while world.now < RUN_MS {
        if scene == Scene::CutTopUp && world.now >= top_up_at && topped_up == 0 {
            world.credits.push(Credit { id: "top-up".into(), tokens: demand });
            topped_up = 1;
            if policy == Policy::StaticSplit {
                world.split(demand, &(ROUTERS / 2..ROUTERS).collect::<Vec<_>>());
            }
        }
        if topped_up == 1 && !world.faulty() && policy == Policy::StaticSplit {
            world.split(demand, &(0..ROUTERS / 2).collect::<Vec<_>>());
            topped_up = 2;
        }
        world.finish();
        world.arrive(&mut random, &mix.classes);
        world.serve();
        for router in 0..ROUTERS {
            if world.now >= world.nodes[router].synced + SYNC_MS {
                world.sync(router);
            }
        }
        if world.now.is_multiple_of(10_000) {
            world.result.stranded += world.nodes.iter().map(|node| world.stranded(node)).sum::<u64>();
            world.result.samples += ROUTERS as u64;
        }
        world.now += STEP_MS;
    }
    let credited = world.credited();
    (world.result, credited)
}

/// Measures and prints.
pub fn run() {
    println!(
        "| users | scene | policy | requests | refused % | false refusals % | overspend tokens | platform writes/s | stranded by a lost VM, tokens | of prepaid % |"
    );
    println!("|---|---|---|---:|---:|---:|---:|---:|---:|---:|");
    for mix in &MIXES {
        for scene in [Scene::Calm, Scene::Outage, Scene::CutTopUp, Scene::RunningOut] {
            for policy in [Policy::Tallypaddle, Policy::NoPeers, Policy::StaticSplit, Policy::EachRequest] {
                let (result, credited) = simulate(mix, scene, policy);
                let share = |count: u64| 100.0 * count as f64 / result.requests.max(1) as f64;
                let stranded = match policy {
                    Policy::EachRequest => 0,
                    _ => result.stranded / result.samples.max(1),
                };
                println!(
                    "| {} | {scene:?} | {policy:?} | {} | {:.2} | {:.3} | {} | {:.2} | {stranded} | {:.2} |",
                    mix.name,
                    result.requests,
                    share(result.refused),
                    share(result.false_refusals),
                    result.consumed.saturating_sub(credited),
                    result.writes as f64 * 1_000.0 / RUN_MS as f64,
                    100.0 * stranded as f64 / credited as f64,
                );
            }
        }
    }
}
