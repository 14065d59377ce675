//! Measures the cost of control: the time from the acceptance of a bundle until it is in force on all
//! routers, and a router's control traffic, CPU time and memory by the size of the fleet and of the bundle.

use crate::process::{cpu_time, resident_memory};
use budget::ledger::Credit;
use bundle::{Budget, Key, Team, Weighing, hash_key};
use harness::{Fleet, Plan};
use hdrhistogram::Histogram;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The sizes of the fleet in routers, and of the bundle in budgets.
const FLEET_SIZES: [usize; 3] = [8, 32, 64];
const BUDGET_COUNTS: [usize; 3] = [100, 1_000, 4_000];
/// The number of changes that are timed.
const CHANGES: usize = 20;
/// How long an idle fleet is observed.
const IDLE_TIME: Duration = Duration::from_secs(10);
const MICROS_PER_MS: f64 = 1_000.0;

fn plan(routers: usize) -> Plan {
    let mut plan = Plan::small();
    plan.routers = routers;
    plan.router_limits = router::Limits { threads: 2, ..router::Limits::default() };
    plan.engines.truncate(2);
    plan
}

/// Runs all measurements and prints their tables.
pub async fn run(program: &Path) {
    rollout_latency(program).await;
    idle_traffic(program).await;
    bundle_size(program).await;
}

async fn rollout_latency(program: &Path) {
    println!("| routers | platform cut from | changes | p50 ms | p99 ms | most ms |");
    println!("|---:|---:|---:|---:|---:|---:|");
    for cut_off in [0, 4] {
        let mut fleet = Fleet::start(program, plan(8)).await;
        for index in 0..cut_off {
            fleet.cut_platform(index, true);
        }
        let mut times = Histogram::<u64>::new(3).expect("three significant digits must be valid");
        for change in 0..CHANGES {
            let mut bundle = fleet.bundle.clone();
            bundle.limits.queue = 300 + change;
            let accepted = fleet.roll(&bundle).await.expect("the platform must accept the bundle");
            let started = Instant::now();
            for index in 0..8 {
                let wanted = accepted.sequence;
                while sequence(&fleet, index).await < wanted {
                    net::exec::sleep(Duration::from_millis(2)).await;
                }
                times
                    .record(started.elapsed().as_micros() as u64)
                    .expect("the time must be in the range of the histogram");
            }
        }
        let at = |quantile| times.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        println!(
            "| 8 | {cut_off} | {CHANGES} | {:.0} | {:.0} | {:.0} |",
            at(0.5),
            at(0.99),
            times.max() as f64 / MICROS_PER_MS
        );
    }
}

async fn sequence(fleet: &Fleet, index: usize) -> u64 {
    fleet.status(index).await.unwrap_or_default()["bundle"]["sequence"].as_u64().unwrap_or(0)
}

/// The bytes that the routers have exchanged with each other and with the platform, as counted by the proxies
/// between them.
fn traffic(fleet: &Fleet) -> (u64, u64) {
    let peers = fleet.nodes.iter().map(|node| node.from_peers.bytes_passed()).sum();
    let platform = fleet.nodes.iter().map(|node| node.to_platform.bytes_passed()).sum();
    (peers, platform)
}

/// The CPU time that all routers have used.
fn fleet_cpu_time(fleet: &Fleet) -> Duration {
    fleet.nodes.iter().map(|node| cpu_time(node.process.id())).sum()
}

async fn idle_traffic(program: &Path) {
    println!(
        "\n| routers | peer bytes/s a router | platform bytes/s a router | platform reads/s in all | CPU % of a core | memory MB |"
    );
    println!("|---:|---:|---:|---:|---:|---:|");
    for routers in FLEET_SIZES {
        let fleet = Fleet::start(program, plan(routers)).await;
        net::exec::sleep(Duration::from_secs(2)).await;
        let (peers, platform) = traffic(&fleet);
        let reads = fleet.platform.counts().reads;
        let used = fleet_cpu_time(&fleet);
        let started = Instant::now();
        net::exec::sleep(IDLE_TIME).await;
        let seconds = started.elapsed().as_secs_f64();
        let (peers_after, platform_after) = traffic(&fleet);
        let spent = (fleet_cpu_time(&fleet) - used).as_secs_f64();
        let resident: u64 = fleet.nodes.iter().map(|node| resident_memory(node.process.id())).sum();
        let share = |bytes: u64| bytes as f64 / seconds / routers as f64;
        println!(
            "| {routers} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} |",
            share(peers_after - peers),
            share(platform_after - platform),
            (fleet.platform.counts().reads - reads) as f64 / seconds,
            100.0 * spent / seconds / routers as f64,
            resident as f64 / 1e6 / routers as f64
        );
    }
}

async fn bundle_size(program: &Path) {
    println!(
        "\n| budgets | bundle MB | memory MB of a router | KB a budget | bytes fetched for one change | ms of CPU for one change |"
    );
    println!("|---:|---:|---:|---:|---:|---:|");
    let mut smallest = None;
    for budgets in BUDGET_COUNTS {
        let mut fleet = Fleet::start(program, plan(3)).await;
        let mut bundle = fleet.bundle.clone();
        for team in 0..budgets / 25 {
            bundle.teams.insert(format!("team-{team:04}"), Arc::new(generate_team(team)));
        }
        roll(&mut fleet, &bundle).await;
        let size: usize = bundle::split(&bundle).iter().map(|section| section.json.len()).sum();
        let (_, before) = traffic(&fleet);
        let (peers_before, _) = traffic(&fleet);
        let used = fleet_cpu_time(&fleet);
        let changes = 10;
        let started = Instant::now();
        for change in 0..changes {
            let team = Arc::make_mut(bundle.teams.get_mut("team-0001").expect("a team"));
            let budget = team.budgets.get_mut("b-00").expect("a budget");
            budget.credits.push(Credit { id: format!("more-{change}"), tokens: 1_000 });
            roll(&mut fleet, &bundle).await;
        }
        let seconds = started.elapsed().as_secs_f64();
        let (peers_after, after) = traffic(&fleet);
        let spent = (fleet_cpu_time(&fleet) - used).as_secs_f64();
        let resident = resident_memory(fleet.nodes[0].process.id());
        let first = *smallest.get_or_insert((budgets, resident));
        let kb_per_budget = if budgets > first.0 {
            resident.saturating_sub(first.1) as f64 / 1e3 / (budgets - first.0) as f64
        } else {
            0.0
        };
        println!(
            "| {budgets} | {:.2} | {:.1} | {kb_per_budget:.2} | {:.0} | {:.1} |",
            size as f64 / 1e6,
            resident as f64 / 1e6,
            (after - before + peers_after - peers_before) as f64 / f64::from(changes) / 3.0,
            1_000.0 * spent / f64::from(changes) / 3.0
        );
        eprintln!("{changes} changes in {seconds:.1} s");
    }
}

async fn roll(fleet: &mut Fleet, bundle: &bundle::Bundle) {
    let accepted = fleet.roll(bundle).await.expect("the platform must accept the bundle");
    for index in 0..fleet.nodes.len() {
        while sequence(fleet, index).await < accepted.sequence {
            net::exec::sleep(Duration::from_millis(2)).await;
        }
    }
}

fn generate_team(number: usize) -> Team {
    let budget = |index: usize| {
        let credit = Credit { id: "prepaid-1".to_owned(), tokens: 1_000_000 };
        let content = Budget { credits: vec![credit], weighing: Weighing::Refusals };
        (format!("b-{index:02}"), content)
    };
    let key = |index: usize| Key {
        hash: hash_key(&format!("sk-{number}-{index}")),
        budget: format!("b-{index:02}"),
    };
    Team { weight: 1, keys: (0..25).map(key).collect(), budgets: (0..25).map(budget).collect() }
}
