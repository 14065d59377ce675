//! Measures one router between callers and engines: the latency it adds, its throughput, and the cost of an
//! open stream.

use crate::process::{cpu_time, resident_memory};
use harness::{Caller, ChatRequest, Fleet, Plan};
use hdrhistogram::Histogram;
use standin::EngineConfig;
use std::path::Path;
use std::time::{Duration, Instant};

/// The number of requests in each measurement.
const REQUESTS: usize = 6_000;
/// The numbers of streams that are open at once.
const STREAMS: [usize; 3] = [250, 500, 1_000];
const MICROS_PER_MS: f64 = 1_000.0;

struct LoadResult {
    latencies: Histogram<u64>,
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

async fn run_load(caller: &Caller, requests: usize, parallel: usize, tokens: u64) -> LoadResult {
    let started = Instant::now();
    let tasks: Vec<_> = (0..parallel)
        .map(|worker| {
            let caller = caller.clone();
            net::exec::spawn(async move {
                let mut latencies = vec![];
                let mut failed = 0;
                for index in 0..requests / parallel {
                    let request = ChatRequest::new("narrator", &format!("Cell {worker} {index}"), tokens);
                    let sent = Instant::now();
                    let answer = caller.send_chat(&request).await;
                    if answer.is_complete_for(&request) {
                        latencies.push(sent.elapsed().as_micros() as u64);
                    } else {
                        failed += 1;
                    }
                }
                (latencies, failed)
            })
        })
        .collect();
    let mut latencies = Histogram::new(3).expect("three significant digits must be valid");
    let mut failed = 0;
    for task in tasks {
        let (task_latencies, task_failed) = task.await;
        task_latencies.into_iter().for_each(|time| {
            latencies.record(time).expect("the latency must be in the range of the histogram")
        });
        failed += task_failed;
    }
    LoadResult { latencies, elapsed: started.elapsed(), failed }
}

fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / MICROS_PER_MS
}

/// Runs all measurements and prints their tables.
pub async fn run(program: &Path) {
    latency(program).await;
    streams(program).await;
}

async fn latency(program: &Path) {
    let fleet = Fleet::start(program, plan(Duration::ZERO)).await;
    let direct_caller =
        Caller::new(net::Client::new(), fleet.engines[0].address(), "none".to_owned()).with_run_ids();
    let routed_caller = fleet.caller(0);
    let pid = fleet.nodes[0].process.id();
    run_load(&routed_caller, 500, 8, 1).await;
    run_load(&direct_caller, 500, 8, 1).await;
    println!(
        "| parallel | way | requests/s | p50 ms | p99 ms | failed | router CPU s | requests/s per core |"
    );
    println!("|---:|---|---:|---:|---:|---:|---:|---:|");
    for parallel in [1, 8, 64] {
        let direct_load = run_load(&direct_caller, REQUESTS, parallel, 1).await;
        let before = cpu_time(pid);
        let routed_load = run_load(&routed_caller, REQUESTS, parallel, 1).await;
        let used = (cpu_time(pid) - before).as_secs_f64();
        for (way, load, used) in [("engine", &direct_load, 0.0), ("router", &routed_load, used)] {
            let rate = load.latencies.len() as f64 / load.elapsed.as_secs_f64();
            let per_core = if used > 0.0 { load.latencies.len() as f64 / used } else { 0.0 };
            println!(
                "| {parallel} | {way} | {rate:.0} | {:.3} | {:.3} | {} | {used:.2} | {per_core:.0} |",
                quantile_ms(&load.latencies, 0.5),
                quantile_ms(&load.latencies, 0.99),
                load.failed
            );
        }
        println!(
            "| {parallel} | added | | {:.3} | {:.3} | | | |",
            quantile_ms(&routed_load.latencies, 0.5) - quantile_ms(&direct_load.latencies, 0.5),
            quantile_ms(&routed_load.latencies, 0.99) - quantile_ms(&direct_load.latencies, 0.99)
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
        let before = resident_memory(pid);
        let tasks: Vec<_> = (0..count)
            .map(|index| {
                let caller = fleet.caller(0);
                let ask = ChatRequest::new("narrator", &format!("Sweep {index}"), 60).streamed();
                net::exec::spawn(async move { caller.send_chat(&ask).await.is_complete_for(&ask) })
            })
            .collect();
        net::exec::sleep(Duration::from_secs(2)).await;
        let resident = resident_memory(pid);
        let (cpu_before, started) = (cpu_time(pid), Instant::now());
        net::exec::sleep(Duration::from_secs(3)).await;
        let used = (cpu_time(pid) - cpu_before).as_secs_f64();
        let seconds = started.elapsed().as_secs_f64();
        let tokens = count as f64 * seconds * 10.0;
        let mut complete = 0;
        for task in tasks {
            complete += usize::from(task.await);
        }
        assert_eq!(complete, count, "every stream must be complete");
        println!(
            "| {count} | {:.1} | {:.1} | {:.0} | {:.0} |",
            resident as f64 / 1e6,
            resident.saturating_sub(before) as f64 / 1e3 / count as f64,
            tokens / seconds,
            if used > 0.0 { tokens / used } else { 0.0 }
        );
    }
}
