//! One router between callers and engines: what it adds to the latency, what it carries, what a stream costs.

use crate::process::{cpu, memory};
use harness::{Caller, ChatRequest, Fleet, Plan};
use hdrhistogram::Histogram;
use standin::EngineConfig;
use std::path::Path;
use std::time::{Duration, Instant};

/// Requests of one measurement.
const REQUESTS: usize = 6_000;
/// Streams held open at once.
const STREAMS: [usize; 3] = [250, 500, 1_000];
/// Microseconds in a millisecond.
const MICROS: f64 = 1_000.0;

struct Load {
    times: Histogram<u64>,
    elapsed: Duration,
    failed: usize,
}

fn plan(pace: Duration) -> Plan {
    let shape = EngineConfig {
        slots: 100_000,
        time_per_token: pace,
        time_per_prompt_token: Duration::ZERO,
        models: vec!["narrator".to_owned(), "hail-flag".to_owned()],
        ..EngineConfig::default()
    };
    let mut plan = Plan::small();
    plan.routers = 1;
    plan.engines = vec![shape];
    plan.teams[0].tokens = 1 << 40;
    plan.limits.grant_min = 1 << 34;
    plan.limits.queue = 10_000;
    plan.router_limits.threads = 4;
    plan.router_limits.sync_ms = 1_000;
    plan
}

async fn load(caller: &Caller, requests: usize, parallel: usize, tokens: u64) -> Load {
    let begun = Instant::now();
    let tasks: Vec<_> = (0..parallel)
        .map(|lane| {
            let caller = caller.clone();
            net::exec::spawn(async move {
                let mut times = vec![];
                let mut failed = 0;
                for index in 0..requests / parallel {
                    let ask = ChatRequest::new("narrator", &format!("Cell {lane} {index}"), tokens);
                    let sent = Instant::now();
                    let answer = caller.send_chat(&ask).await;
                    if answer.is_complete_for(&ask) {
                        times.push(sent.elapsed().as_micros() as u64);
                    } else {
                        failed += 1;
                    }
                }
                (times, failed)
            })
        })
        .collect();
    let mut times = Histogram::new(3).expect("a histogram");
    let mut failed = 0;
    for task in tasks {
        let (some, bad) = task.await;
        some.into_iter().for_each(|time| times.record(time).expect("a time in range"));
        failed += bad;
    }
    Load { times, elapsed: begun.elapsed(), failed }
}

fn millis(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / MICROS
}

/// Measures and prints.
pub async fn run(program: &Path) {
    latency(program).await;
    streams(program).await;
}

async fn latency(program: &Path) {
    let fleet = Fleet::start(program, plan(Duration::ZERO)).await;
    let direct =
        Caller::new(net::Client::new(), fleet.engines[0].address(), "none".to_owned()).with_run_ids();
    let through = fleet.caller(0);
    let pid = fleet.nodes[0].process.id();
    load(&through, 500, 8, 1).await;
    load(&direct, 500, 8, 1).await;
    println!(
        "| parallel | way | requests/s | p50 ms | p99 ms | failed | router CPU s | requests/s per core |"
    );
    println!("|---:|---|---:|---:|---:|---:|---:|---:|");
    for parallel in [1, 8, 64] {
        let plain = load(&direct, REQUESTS, parallel, 1).await;
        let before = cpu(pid);
        let routed = load(&through, REQUESTS, parallel, 1).await;
        let used = (cpu(pid) - before).as_secs_f64();
        for (way, load, used) in [("engine", &plain, 0.0), ("router", &routed, used)] {
            let rate = load.times.len() as f64 / load.elapsed.as_secs_f64();
            let per_core = if used > 0.0 { load.times.len() as f64 / used } else { 0.0 };
            println!(
                "| {parallel} | {way} | {rate:.0} | {:.3} | {:.3} | {} | {used:.2} | {per_core:.0} |",
                millis(&load.times, 0.5),
                millis(&load.times, 0.99),
                load.failed
            );
        }
        println!(
            "| {parallel} | added | | {:.3} | {:.3} | | | |",
            millis(&routed.times, 0.5) - millis(&plain.times, 0.5),
            millis(&routed.times, 0.99) - millis(&plain.times, 0.99)
        );
    }
}

async fn streams(program: &Path) {
    println!("\n| open streams | router MB | KB a stream | tokens/s | tokens/s per core |");
    println!("|---:|---:|---:|---:|---:|");
    for count in STREAMS {
        let fleet = Fleet::start(program, plan(Duration::from_millis(100))).await;
        let pid = fleet.nodes[0].process.id();
        fleet.caller(0).chat("narrator", "warm up", 2).await;
        let before = memory(pid);
        let tasks: Vec<_> = (0..count)
            .map(|index| {
                let caller = fleet.caller(0);
                let ask = ChatRequest::new("narrator", &format!("Sweep {index}"), 60).streamed();
                net::exec::spawn(async move { caller.send_chat(&ask).await.is_complete_for(&ask) })
            })
            .collect();
        net::exec::sleep(Duration::from_secs(2)).await;
        let held = memory(pid);
        let (cpu_before, begun) = (cpu(pid), Instant::now());
        net::exec::sleep(Duration::from_secs(3)).await;
        let used = (cpu(pid) - cpu_before).as_secs_f64();
        let seconds = begun.elapsed().as_secs_f64();
        let tokens = count as f64 * seconds * 10.0;
        let mut whole = 0;
        for task in tasks {
            whole += usize::from(task.await);
        }
        assert_eq!(whole, count, "every stream is whole");
        println!(
            "| {count} | {:.1} | {:.1} | {:.0} | {:.0} |",
            held as f64 / 1e6,
            held.saturating_sub(before) as f64 / 1e3 / count as f64,
            tokens / seconds,
            if used > 0.0 { tokens / used } else { 0.0 }
        );
    }
}
