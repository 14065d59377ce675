//! What steering costs: time from acceptance of a bundle until it is in force everywhere, and control traffic,
//! processor time and memory of a router, by the size of the fleet and of the bundle.

use crate::process::{cpu, memory};
use budget::ledger::Credit;
use bundle::{Budget, Key, Team, Weighing, hash_key};
use harness::{Fleet, Plan};
use hdrhistogram::Histogram;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sizes of the fleet, and of the bundle in budgets.
const FLEETS: [usize; 3] = [8, 32, 64];
const BUDGETS: [usize; 3] = [100, 1_000, 4_000];
/// Changes that are timed.
const CHANGES: usize = 20;
/// How long a quiet fleet is watched.
const QUIET: Duration = Duration::from_secs(10);
/// Microseconds in a millisecond.
const MICROS: f64 = 1_000.0;

fn plan(routers: usize) -> Plan {
    let mut plan = Plan::small();
    plan.routers = routers;
    plan.router_limits = router::Limits { threads: 2, ..router::Limits::default() };
    plan.engines.truncate(2);
    plan
}

/// Measures and prints.
pub async fn run(program: &Path) {
    in_force(program).await;
    quiet(program).await;
    sizes(program).await;
}

async fn in_force(program: &Path) {
    println!("| routers | platform cut from | changes | p50 ms | p99 ms | most ms |");
    println!("|---:|---:|---:|---:|---:|---:|");
    for cut in [0, 4] {
        let mut fleet = Fleet::start(program, plan(8)).await;
        for index in 0..cut {
            fleet.cut_platform(index, true);
        }
        let mut times = Histogram::<u64>::new(3).expect("a histogram");
        for change in 0..CHANGES {
            let mut bundle = fleet.bundle.clone();
            bundle.limits.queue = 300 + change;
            let accepted = fleet.roll(&bundle).await.expect("accepted");
            let begun = Instant::now();
            for index in 0..8 {
                let wanted = accepted.sequence;
                while sequence(&fleet, index).await < wanted {
                    net::exec::sleep(Duration::from_millis(2)).await;
                }
                times.record(begun.elapsed().as_micros() as u64).expect("a time in range");
            }
        }
        let at = |quantile| times.value_at_quantile(quantile) as f64 / MICROS;
        println!(
            "| 8 | {cut} | {CHANGES} | {:.0} | {:.0} | {:.0} |",
            at(0.5),
            at(0.99),
            times.max() as f64 / MICROS
        );
    }
}

async fn sequence(fleet: &Fleet, index: usize) -> u64 {
    fleet.status(index).await.unwrap_or_default()["bundle"]["sequence"].as_u64().unwrap_or(0)
}

/// Bytes that a quiet fleet's routers exchange with each other and with the platform, by the proxies between.
fn traffic(fleet: &Fleet) -> (u64, u64) {
    let peers = fleet.nodes.iter().map(|node| node.from_peers.bytes_passed()).sum();
    let platform = fleet.nodes.iter().map(|node| node.to_platform.bytes_passed()).sum();
    (peers, platform)
}

/// Processor time that all routers have used.
fn processor_time(fleet: &Fleet) -> Duration {
    fleet.nodes.iter().map(|node| cpu(node.process.id())).sum()
}

async fn quiet(program: &Path) {
    println!(
        "\n| routers | peer bytes/s a router | platform bytes/s a router | platform reads/s in all | CPU % of a core | memory MB |"
    );
    println!("|---:|---:|---:|---:|---:|---:|");
    for routers in FLEETS {
        let fleet = Fleet::start(program, plan(routers)).await;
        net::exec::sleep(Duration::from_secs(2)).await;
        let (peers, platform) = traffic(&fleet);
        let reads = fleet.platform.counts().reads;
        let used = processor_time(&fleet);
        let begun = Instant::now();
        net::exec::sleep(QUIET).await;
        let seconds = begun.elapsed().as_secs_f64();
        let (peers_after, platform_after) = traffic(&fleet);
        let spent = (processor_time(&fleet) - used).as_secs_f64();
        let held: u64 = fleet.nodes.iter().map(|node| memory(node.process.id())).sum();
        let share = |bytes: u64| bytes as f64 / seconds / routers as f64;
        println!(
            "| {routers} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} |",
            share(peers_after - peers),
            share(platform_after - platform),
            (fleet.platform.counts().reads - reads) as f64 / seconds,
            100.0 * spent / seconds / routers as f64,
            held as f64 / 1e6 / routers as f64
        );
    }
}

async fn sizes(program: &Path) {
    println!(
        "\n| budgets | bundle MB | memory MB of a router | KB a budget | bytes fetched for one change | ms of CPU for one change |"
    );
    println!("|---:|---:|---:|---:|---:|---:|");
    let mut smallest = None;
    for budgets in BUDGETS {
        let mut fleet = Fleet::start(program, plan(3)).await;
        let mut bundle = fleet.bundle.clone();
        for team in 0..budgets / 25 {
            bundle.teams.insert(format!("team-{team:04}"), Arc::new(team_of(team)));
        }
        roll(&mut fleet, &bundle).await;
        let size: usize = bundle::split(&bundle).iter().map(|section| section.json.len()).sum();
        let (_, before) = traffic(&fleet);
        let (peers_before, _) = traffic(&fleet);
        let used = processor_time(&fleet);
        let changes = 10;
        let begun = Instant::now();
        for change in 0..changes {
            let team = Arc::make_mut(bundle.teams.get_mut("team-0001").expect("a team"));
            let budget = team.budgets.get_mut("b-00").expect("a budget");
            budget.credits.push(Credit { id: format!("more-{change}"), tokens: 1_000 });
            roll(&mut fleet, &bundle).await;
        }
        let seconds = begun.elapsed().as_secs_f64();
        let (peers_after, after) = traffic(&fleet);
        let spent = (processor_time(&fleet) - used).as_secs_f64();
        let held = memory(fleet.nodes[0].process.id());
        let first = *smallest.get_or_insert((budgets, held));
        let slope = if budgets > first.0 {
            held.saturating_sub(first.1) as f64 / 1e3 / (budgets - first.0) as f64
        } else {
            0.0
        };
        println!(
            "| {budgets} | {:.2} | {:.1} | {slope:.2} | {:.0} | {:.1} |",
            size as f64 / 1e6,
            held as f64 / 1e6,
            (after - before + peers_after - peers_before) as f64 / f64::from(changes) / 3.0,
            1_000.0 * spent / f64::from(changes) / 3.0
        );
        eprintln!("{changes} changes in {seconds:.1} s");
    }
}

async fn roll(fleet: &mut Fleet, bundle: &bundle::Bundle) {
    let accepted = fleet.roll(bundle).await.expect("accepted");
    for index in 0..fleet.nodes.len() {
        while sequence(fleet, index).await < accepted.sequence {
            net::exec::sleep(Duration::from_millis(2)).await;
        }
    }
}

fn team_of(number: usize) -> Team {
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
