//! Compares the routing decisions with simpler policies in virtual time: goodput by class, latencies,
//! overruns, cache hits and fairness. Runs the router's own decision code with a simple model of the engines.

mod engine;
mod plot;
mod simulation;
mod stats;

use simulation::{Class, Mix, Outcome, Policy, Scenario, simulate};

/// The offered loads, as a share of the engines' capacity.
const LOADS: [f64; 4] = [0.5, 0.9, 1.3, 3.0];

fn mixes() -> [Mix; 2] {
    let class = |name, priority, deadline_ms, prompt, tokens, share, prefixes| Class {
        name,
        priority,
        deadline_ms,
        prompt,
        tokens,
        share,
        prefixes,
    };
    [
        Mix {
            name: "Chinook",
            engines: 20,
            data_centres: 3,
            classes: vec![
                class("hail flag", 0, 700, 60, 4, 0.45, 40),
                class("cell summary", 3, 3_000, 400, 60, 0.40, 120),
                class("storm narrative", 6, 15_000, 3_000, 500, 0.15, 60),
            ],
        },
        Mix {
            name: "Učňovská Sieť",
            engines: 12,
            data_centres: 4,
            classes: vec![
                class("eligibility check", 0, 700, 120, 6, 0.45, 60),
                class("logbook summary", 3, 4_000, 900, 120, 0.45, 200),
                class("portfolio review", 6, 20_000, 6_000, 700, 0.10, 80),
            ],
        },
    ]
}

/// Runs all simulations, prints a table, and writes the plot to the images of the docs.
pub fn run() {
    let policies =
        [Policy::Tallypaddle, Policy::OneRouter, Policy::Random, Policy::RoundRobin, Policy::LeastOpen];
    println!(
        "| users | scene | load | policy | goodput /s | of offered % | urgent goodput % | urgent TTFT p50/p95/p99 ms | gap p95 ms | overrun slot·s | cache hits % | retries % | fairness | peer messages a request |"
    );
    println!("|---|---|---:|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    let mut points = vec![];
    for mix in mixes() {
        println!("| {}: urgent is the {} | | | | | | | | | | | | | |", mix.name, mix.classes[0].name);
        for scenario in [
            Scenario::Calm,
            Scenario::Dies,
            Scenario::Slow,
            Scenario::Lag,
            Scenario::CutCentre,
            Scenario::Restart,
        ] {
            let loads: &[f64] = if scenario == Scenario::Calm { &LOADS } else { &[0.9] };
            for load in loads {
                for policy in policies {
                    let outcome = simulate(&mix, scenario, *load, policy);
                    print(&mix, scenario, *load, policy, &outcome);
                    if scenario == Scenario::Calm {
                        points.push(plot::Point {
                            users: mix.name,
                            policy,
                            load: *load,
                            goodput: outcome.goodput,
                        });
                    }
                }
            }
        }
    }
    match plot::draw(&points) {
        Ok(path) => println!("\nplot: {path}"),
        Err(error) => eprintln!("failed to draw the plot: {error}"),
    }
}

fn print(mix: &Mix, scenario: Scenario, load: f64, policy: Policy, outcome: &Outcome) {
    println!(
        "| {} | {scenario:?} | {load} | {policy:?} | {:.1} | {:.1} | {:.1} | {}/{}/{} | {} | {:.1} | {:.1} | {:.1} | {:.3} | {:.2} |",
        mix.name,
        outcome.goodput,
        outcome.goodput_percent,
        outcome.urgent_goodput_percent,
        outcome.urgent_ttft_ms[0],
        outcome.urgent_ttft_ms[1],
        outcome.urgent_ttft_ms[2],
        outcome.gap_ms,
        outcome.overrun_slot_s,
        outcome.cache_hit_percent,
        outcome.retry_percent,
        outcome.fairness,
        outcome.messages_per_request,
    );
}
