//! Compares methods of limiting requests to upstreams that warm up.
//!
//! Usage: `cargo run --release -p route --example warming`
//!
//! Simulates that a third of all upstreams return together, with twenty seeds for each method and size of the
//! fleet.

use emulator::{LimitMethod, RestartOutcome, RestartScenario, simulate_restart};

const SEEDS: u64 = 20;
const FLEETS: [usize; 5] = [6, 22, 87, 295, 1_400];
const BOUNDS: [LimitMethod; 4] =
    [LimitMethod::None, LimitMethod::Heard, LimitMethod::EqualParts, LimitMethod::Ring];

fn main() {
    println!("gateways bound cut worst-second used datagrams-per-s-and-gateway");
    for gateways in FLEETS {
        for bound in BOUNDS {
            for cut in [0, gateways / 3] {
                let scene =
                    RestartScenario { gateways, upstreams: 30, per_s: 420.0, method: bound, isolated: cut };
                let runs: Vec<RestartOutcome> =
                    (0..SEEDS).map(|seed| simulate_restart(seed, &scene)).collect();
                let mean = |figure: fn(&RestartOutcome) -> f64| {
                    runs.iter().map(figure).sum::<f64>() / runs.len() as f64
                };
                println!(
                    "{gateways} {bound:?} {cut} {} {:.2} {:.1}",
                    runs.iter().map(|received| received.max_per_second).max().unwrap_or(0),
                    mean(|received| received.used_share),
                    mean(|received| received.datagrams_per_s) / gateways as f64,
                );
            }
        }
    }
}
