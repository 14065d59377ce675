//! Measures the cost of reporting fewer dispatches to routers.
//!
//! Usage: `cargo run --release -p route --example told -- ROUTERS PER_S...`
//!
//! Simulates 845 prompts per second on 160 engines, with three seeds for each rate of reported dispatches
//! that a router receives.

use emulator::{Outcome, Scenario, large_fleet, simulate};
use route::HintFilter;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

fn main() {
    let numbers: Vec<f64> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let [routers, rates @ ..] = numbers.as_slice() else {
        return eprintln!("usage: told ROUTERS PER_S...");
    };
    for rate in rates {
        let filter = HintFilter::with_rates(*rate, *rate);
        let scene = |seed| Scenario { hint_filter: filter, ..large_fleet(seed, *routers as usize) };
        let outcomes: Vec<Outcome> = SEEDS.map(|seed| simulate(&scene(seed))).collect();
        let mean = |figure: &dyn Fn(&Outcome) -> f64| {
            outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
        };
        let late =
            ["narrative", "summary", "check"].map(|kind| 1.0 - mean(&|outcome| outcome.kind(kind).in_time()));
        println!(
            "routers={routers} per-s={rate} worth={:.4} not-in-time={late:.3?} heard={:.0} read-again={:.0}",
            mean(&|outcome| outcome.worth()),
            mean(&|outcome| outcome.received_hints as f64) / routers,
            mean(&|outcome| outcome.reread_tokens as f64),
        );
    }
}
