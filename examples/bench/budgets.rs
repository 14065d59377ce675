//! Compares the budget decisions with simpler policies in virtual time: overspend, false refusals, platform
//! writes, and tokens stranded by a lost VM. Runs the router's own decision code with simulated peers,
//! platform and load.

use budget::demand::{Demand, HoldingPolicy, is_off_target};
use budget::grant::{Grant, ReserveOutcome};
use budget::ledger::{Account, Batch, Charge, Credit, Pool, post};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const ROUTERS: usize = 8;
const BUDGET: &str = "team/main";
/// The length of a simulation step, in milliseconds.
const STEP_MS: u64 = 20;
/// The duration of a run, and the time within it for which a fault lasts, in milliseconds.
const RUN_MS: u64 = 20 * 60_000;
const FAULT_MS: std::ops::Range<u64> = 5 * 60_000..15 * 60_000;
const SYNC_MS: u64 = 1_000;
/// The time after which an empty pool is asked again, in milliseconds.
const EMPTY_POOL_RETRY_MS: u64 = 250;
/// The shortest time between two settlements of one router, in milliseconds.
const MIN_SETTLEMENT_INTERVAL_MS: u64 = 40;
/// The longest time for which a request waits for tokens, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
const MIN_TOKENS: u64 = 4_096;
/// Requests per second over all routers. The first router receives 30 % of them, and an equal part of the
/// rest.
const REQUESTS_PER_S: f64 = 20.0;
const SEED: u64 = 20_261_202;

/// A class of requests: the tokens reserved, the tokens used, the duration in seconds, and the share of all
/// requests.
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
enum Scenario {
    Calm,
    Outage,
    CutTopUp,
    RunningOut,
}

#[derive(Clone, Default)]
struct RouterState {
    grant: Grant,
    demand: Demand,
    account: Account,
    sequence: u64,
    missing: u64,
    extra_exposure: u64,
    last_sync: u64,
    pool_free: Option<u64>,
}

struct Waiting {
    router: usize,
    class: Class,
    deadline: u64,
}

struct Running {
    router: usize,
    class: Class,
    ends_at: u64,
}

#[derive(Default)]
struct Totals {
    requests: u64,
    refused: u64,
    false_refusals: u64,
    consumed: u64,
    writes: u64,
    stranded: u64,
    samples: u64,
}

struct Simulation {
    policy: Policy,
    scenario: Scenario,
    refusals_weigh_more: bool,
    holding_policy: HoldingPolicy,
    now: u64,
    routers: Vec<RouterState>,
    pools: BTreeMap<String, Pool>,
    credits: Vec<Credit>,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    totals: Totals,
}

impl Simulation {
    fn is_fault_active(&self) -> bool {
        FAULT_MS.contains(&self.now)
    }

    fn reaches_platform(&self, router: usize) -> bool {
        match self.scenario {
            Scenario::Outage => !self.is_fault_active(),
            Scenario::CutTopUp => router >= ROUTERS / 2 || !self.is_fault_active(),
            _ => true,
        }
    }

    fn reaches_peer(&self, from: usize, to: usize) -> bool {
        let same_side = (from < ROUTERS / 2) == (to < ROUTERS / 2);
        self.scenario != Scenario::CutTopUp || same_side || !self.is_fault_active()
    }

    fn credited(&self) -> u64 {
        self.credits.iter().map(|credit| credit.tokens).sum()
    }

    /// The tokens that are neither used nor reserved by a running request.
    fn available_tokens(&self) -> u64 {
        let reserved: u64 = self.running.iter().map(|running| running.class.0).sum();
        self.credited().saturating_sub(self.totals.consumed + reserved)
    }

    fn reserve(&mut self, router: usize, class: Class) -> bool {
        if self.policy == Policy::EachRequest {
            if !self.reaches_platform(router) {
                return false;
            }
            self.totals.writes += 1;
            return self.available_tokens() >= class.0;
        }
        self.routers[router].demand.record_request(self.now);
        match self.routers[router].grant.reserve(class.0) {
            ReserveOutcome::Reserved => return true,
            ReserveOutcome::Insufficient(missing) => {
                let state = &mut self.routers[router];
                state.missing = state.missing.max(missing);
            }
            ReserveOutcome::ExposureExceeded => self.routers[router].extra_exposure = class.0,
        }
        self.sync(router);
        if self.routers[router].grant.reserve(class.0) == ReserveOutcome::Reserved {
            return true;
        }
        if self.policy == Policy::Tallypaddle {
            // The keeper of a router is its neighbour, and lifts the router's exposure limit while it can be
            // reached. If it can't, the limit is only lifted if refusals weigh more than overspend.
            let is_keeper_reachable = self.reaches_peer(router, (router + 1) % ROUTERS);
            if self.routers[router].extra_exposure > 0 && (is_keeper_reachable || self.refusals_weigh_more) {
                self.routers[router].grant.lift_exposure_limit();
                self.routers[router].extra_exposure = 0;
            }
            self.borrow(router, class.0.saturating_sub(self.routers[router].grant.available()));
        }
        self.routers[router].grant.reserve(class.0) == ReserveOutcome::Reserved
    }

    fn borrow(&mut self, router: usize, missing: u64) {
        let mut missing = missing;
        for peer in (0..ROUTERS).filter(|peer| *peer != router) {
            if self.reaches_peer(router, peer) && (self.routers[peer].missing == 0 || router < peer) {
                let given = self.routers[peer].grant.lend(missing, 0);
                self.routers[router].grant.receive(given);
                missing -= given;
            }
        }
    }

    fn sync(&mut self, router: usize) {
        let now = self.now;
        let can_settle = self.reaches_platform(router) && self.policy != Policy::StaticSplit;
        let state = &mut self.routers[router];
        let known_empty = state.pool_free == Some(0)
            && state.extra_exposure == 0
            && now < state.last_sync + EMPTY_POOL_RETRY_MS;
        if !can_settle || known_empty || now < state.last_sync + MIN_SETTLEMENT_INTERVAL_MS {
            return;
        }
        state.demand.update_rate(now - state.last_sync);
        let target = state.demand.target(now, &self.holding_policy);
        let off_target = is_off_target(state.grant.available(), target, state.pool_free);
        if state.missing == 0
            && state.extra_exposure == 0
            && !state.grant.has_unsettled_changes()
            && !off_target
        {
            return;
        }
        let missing = std::mem::take(&mut state.missing);
        let exposure_headroom =
            state.demand.exposure_headroom(&self.holding_policy) + std::mem::take(&mut state.extra_exposure);
        let Some(entry) =
            state.grant.open_entry(target, missing, exposure_headroom, self.credits.clone(), usize::MAX)
        else {
            return;
        };
        state.sequence += 1;
        let entries = [(BUDGET.to_owned(), entry)].into();
        let batch = Batch { sequence: state.sequence, entries, keeper: String::new() };
        post(&mut state.account, &mut self.pools, &|_| false, &batch, ROUTERS as u64)
            .expect("the batch must be the next in order");
        state.grant.close_entry(&state.account.lines[BUDGET]);
        state.pool_free = self.pools.get(BUDGET).map(|pool| pool.free);
        state.last_sync = now;
        self.totals.writes += 1;
    }

    fn complete_requests(&mut self) {
        let (done, running) =
            std::mem::take(&mut self.running).into_iter().partition(|running| running.ends_at <= self.now);
        self.running = running;
        let done: Vec<Running> = done;
        for Running { router, class, .. } in done {
            self.totals.consumed += class.1;
            if self.policy == Policy::EachRequest {
                self.totals.writes += 1;
                continue;
            }
            let state = &mut self.routers[router];
            state.demand.record_consumption(class.1);
            state.grant.charge(class.0, Charge { request: String::new(), key: None, tokens: class.1 });
        }
    }

    fn process_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let Waiting { router, class, deadline } = waiting;
            if self.reserve(router, class) {
                let ends_at = self.now + (class.2 * 1_000.0) as u64;
                self.running.push(Running { router, class, ends_at });
            } else if self.now >= deadline {
                self.totals.refused += 1;
                self.totals.false_refusals += u64::from(self.available_tokens() >= class.0);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    fn arrive(&mut self, random: &mut SmallRng, classes: &[Class; 3]) {
        if !random.gen_bool(REQUESTS_PER_S * STEP_MS as f64 / 1_000.0) {
            return;
        }
        let router = if random.gen_bool(0.3) { 0 } else { random.gen_range(0..ROUTERS) };
        let draw: f64 = random.r#gen();
        let class = match draw {
            draw if draw < classes[0].3 => classes[0],
            draw if draw < classes[0].3 + classes[1].3 => classes[1],
            _ => classes[2],
        };
        self.totals.requests += 1;
        self.waiting.push(Waiting { router, class, deadline: self.now + MAX_WAIT_MS });
    }

    /// The tokens that the loss of a router would strand permanently.
    fn stranded(&self, state: &RouterState) -> u64 {
        let total = state.grant.total();
        match (self.policy, state.account.lines.get(BUDGET)) {
            (Policy::Tallypaddle, Some(line)) if !state.grant.is_exposure_limit_lifted() => {
                total.min(line.exposed)
            }
            _ => total,
        }
    }

    fn split(&mut self, tokens: u64, routers: &[usize]) {
        for router in routers {
            self.routers[*router].grant.receive(tokens / ROUTERS as u64);
        }
    }
}

fn simulate(mix: &Mix, scenario: Scenario, policy: Policy) -> (Totals, u64) {
    let mean: f64 = mix.classes.iter().map(|class| class.1 as f64 * class.3).sum();
    let demand = (mean * REQUESTS_PER_S * RUN_MS as f64 / 1_000.0) as u64;
    let prepaid = match scenario {
        Scenario::RunningOut => demand / 2,
        _ => demand * 3,
    };
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut simulation = Simulation {
        policy,
        scenario,
        refusals_weigh_more: mix.refusals_weigh_more,
        holding_policy: HoldingPolicy {
            cover_s: mix.cover_s,
            min_tokens: MIN_TOKENS,
            expose_s: mix.expose_s,
        },
        now: 0,
        routers: vec![RouterState::default(); ROUTERS],
        pools: BTreeMap::new(),
        credits: vec![Credit { id: "first".into(), tokens: prepaid }],
        waiting: vec![],
        running: vec![],
        totals: Totals::default(),
    };
    if policy == Policy::StaticSplit {
        simulation.split(prepaid, &(0..ROUTERS).collect::<Vec<_>>());
    }
    let top_up_at = (FAULT_MS.start + FAULT_MS.end) / 2;
    let mut topped_up = 0;
    while simulation.now < RUN_MS {
        if scenario == Scenario::CutTopUp && simulation.now >= top_up_at && topped_up == 0 {
            simulation.credits.push(Credit { id: "top-up".into(), tokens: demand });
            topped_up = 1;
            if policy == Policy::StaticSplit {
                simulation.split(demand, &(ROUTERS / 2..ROUTERS).collect::<Vec<_>>());
            }
        }
        if topped_up == 1 && !simulation.is_fault_active() && policy == Policy::StaticSplit {
            simulation.split(demand, &(0..ROUTERS / 2).collect::<Vec<_>>());
            topped_up = 2;
        }
        simulation.complete_requests();
        simulation.arrive(&mut random, &mix.classes);
        simulation.process_waiting();
        for router in 0..ROUTERS {
            if simulation.now >= simulation.routers[router].last_sync + SYNC_MS {
                simulation.sync(router);
            }
        }
        if simulation.now.is_multiple_of(10_000) {
            simulation.totals.stranded +=
                simulation.routers.iter().map(|state| simulation.stranded(state)).sum::<u64>();
            simulation.totals.samples += ROUTERS as u64;
        }
        simulation.now += STEP_MS;
    }
    let credited = simulation.credited();
    (simulation.totals, credited)
}

/// Runs all simulations and prints a table.
pub fn run() {
    println!(
        "| users | scene | policy | requests | refused % | false refusals % | overspend tokens | platform writes/s | stranded by a lost VM, tokens | of prepaid % |"
    );
    println!("|---|---|---|---:|---:|---:|---:|---:|---:|---:|");
    for mix in &MIXES {
        for scenario in [Scenario::Calm, Scenario::Outage, Scenario::CutTopUp, Scenario::RunningOut] {
            for policy in [Policy::Tallypaddle, Policy::NoPeers, Policy::StaticSplit, Policy::EachRequest] {
                let (totals, credited) = simulate(mix, scenario, policy);
                let share = |count: u64| 100.0 * count as f64 / totals.requests.max(1) as f64;
                let stranded = match policy {
                    Policy::EachRequest => 0,
                    _ => totals.stranded / totals.samples.max(1),
                };
                println!(
                    "| {} | {scenario:?} | {policy:?} | {} | {:.2} | {:.3} | {} | {:.2} | {stranded} | {:.2} |",
                    mix.name,
                    totals.requests,
                    share(totals.refused),
                    share(totals.false_refusals),
                    totals.consumed.saturating_sub(credited),
                    totals.writes as f64 * 1_000.0 / RUN_MS as f64,
                    100.0 * stranded as f64 / credited as f64,
                );
            }
        }
    }
}
