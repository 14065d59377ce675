//! The routing decisions against baselines, in virtual time: goodput by class, latencies, overruns, cache
//! hits, fairness. The router's own decision code runs here against a small model of the engines.

mod engine;
mod plot;
mod simulation;
mod stats;

use simulation::{Class, Mix, Outcome, Policy, Scene, simulate};

/// Loads as a share of what the engines can do.
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
            centres: 3,
            classes: vec![
                class("hail flag", 0, 700, 60, 4, 0.45, 40),
                class("cell summary", 3, 3_000, 400, 60, 0.40, 120),
                class("storm narrative", 6, 15_000, 3_000, 500, 0.15, 60),
            ],
        },
        Mix {
            name: "Učňovská Sieť",
            engines: 12,
            centres: 4,
            classes: vec![
                class("eligibility check", 0, 700, 120, 6, 0.45, 60),
                class("logbook summary", 3, 4_000, 900, 120, 0.45, 200),
                class("portfolio review", 6, 20_000, 6_000, 700, 0.10, 80),
            ],
        },
    ]
}

/// Measures and prints; writes the plot beside the page.
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
        for scene in [Scene::Calm, Scene::Dies, Scene::Slow, Scene::Lag, Scene::CutCentre, Scene::Restart] {
            let loads: &[f64] = if scene == Scene::Calm { &LOADS } else { &[0.9] };
            for load in loads {
                for policy in policies {
                    let outcome = simulate(&mix, scene, *load, policy);
                    print(&mix, scene, *load, policy, &outcome);
                    if scene == Scene::Calm {
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
        Err(error) => eprintln!("the plot can't be drawn: {error}"),
    }
}

fn print(mix: &Mix, scene: Scene, load: f64, policy: Policy, outcome: &Outcome) {
    println!(
        "| {} | {scene:?} | {load} | {policy:?} | {:.1} | {:.1} | {:.1} | {}/{}/{} | {} | {:.1} | {:.1} | {:.1} | {:.3} | {:.2} |",
        mix.name,
        outcome.goodput,
        outcome.share,
        outcome.urgent_share,
        outcome.first[0],
        outcome.first[1],
        outcome.first[2],
        outcome.gap,
        outcome.overrun,
        outcome.hits,
        outcome.retries,
        outcome.fairness,
        outcome.messages,
    );
}
