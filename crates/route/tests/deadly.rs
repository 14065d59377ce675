//! Requests that crash their engines, and engines that report that they leave or back off, simulated with
//! many routers that exchange messages, some of which are lost.
//!
//! Guards against requests that crash one engine after another, denials of requests that only ran beside
//! them, and dispatches to engines that asked for none.

use emulator::{Fault, Outcome, Scenario, simulate};

/// Attempts of the harmful request per second.
const PER_S: f64 = 4.0;
/// The most engines that may crash under the harmful request before a decision. One more may crash while the
/// decision is pending.
const MAX_CRASHES: u64 = 3;

/// The most bytes of notices that a router may receive per second: the budget of all control messages. A
/// notice takes about 100 bytes with its headers.
const MAX_NOTICE_BYTES_PER_S: f64 = 4_096.0;
const NOTICE_BYTES: f64 = 100.0;
const LENGTH_MS: f64 = 10_000.0;

fn scene(routers: usize, seed: u64, faults: Vec<(f64, Fault)>) -> Scenario {
    let mut scene = match routers {
        0..10 => Scenario { routers, ..emulator::narratives_and_summaries(seed) },
        _ => emulator::large_fleet(seed, routers),
    };
    (scene.warmup_ms, scene.duration_ms) = (0.0, LENGTH_MS);
    scene.faults = faults;
    scene
}

/// The harmful request arrives from second 2 on, and a sixth of the engines crash together twice.
fn simulate_crashes(routers: usize, seed: u64) -> Outcome {
    let mut faults = vec![(2_000.0, Fault::HarmfulRequests(PER_S))];
    let engines = scene(routers, seed, vec![]).slowdowns.len();
    for at in [4_000.0, 8_000.0] {
        faults.extend((0..engines).step_by(6).map(|engine| (at, Fault::Crash(engine))));
    }
    simulate(&scene(routers, seed, faults))
}

#[test]
fn three_engines_crash_in_fleets_of_every_size_and_no_other_request_is_denied() {
    for (routers, seeds) in [(6, 0..4), (22, 0..2), (75, 0..1)] {
        for seed in seeds {
            let deadly = simulate_crashes(routers, seed).harmful;
            println!("{routers} routers, seed {seed}: {deadly:?}");
            assert!(deadly.crashed <= MAX_CRASHES + 1, "{routers} routers: {deadly:?}");
            assert_eq!((deadly.crashed_late, deadly.others_denied), (0, 0), "{routers} routers: {deadly:?}");
            assert!(deadly.denied_everywhere_ms < 1_000.0, "{routers} routers: {deadly:?}");
            let received =
                deadly.received_notices as f64 * NOTICE_BYTES / routers as f64 / (LENGTH_MS / 1_000.0);
            assert!(
                received <= MAX_NOTICE_BYTES_PER_S,
                "{routers} routers: each receives {received} bytes per second"
            );
        }
    }
}

/// Requests that a router dispatched before the report arrived take a millisecond to reach the engine.
#[test]
fn engines_that_report_leaving_or_a_back_off_get_almost_no_more_requests() {
    let faults = |engines: usize| -> Vec<(f64, Fault)> {
        let leave = (0..engines).step_by(4).map(|engine| (3_000.0, Fault::Leave(engine)));
        let back_off = (1..engines).step_by(4).map(|engine| (5_000.0, Fault::BackOff(engine, 2_000.0)));
        leave.chain(back_off).collect()
    };
    for routers in [6, 22] {
        let engines = scene(routers, 0, vec![]).slowdowns.len();
        let outcome = simulate(&scene(routers, 0, faults(engines)));
        println!("{routers} routers: {:?}", outcome.signals);
        let signals = outcome.signals;
        let (leaving_pairs, backing_off_pairs) =
            (routers * engines.div_ceil(4), (routers * engines.div_ceil(4)) as u64);
        assert!(signals.sent_while_leaving <= leaving_pairs as u64 / 10, "{signals:?}");
        assert!(
            signals.refused - signals.refused_again <= backing_off_pairs,
            "at most one for each router and engine: {signals:?}"
        );
        assert!(signals.refused_again * 20 <= signals.refused, "{signals:?}");
    }
}

#[test]
#[ignore = "run manually for the figures of the design page"]
fn figures() {
    println!(
        "| routers | harmful requests received | engines crashed | others denied | ms until all deny it | notices per router | worth |"
    );
    for routers in [6, 22, 75, 295, 1_400] {
        let outcome = simulate_crashes(routers, 1);
        let deadly = outcome.harmful;
        println!(
            "| {routers} | {} | {} | {} | {:.0} | {:.1} | {:.3} |",
            deadly.received,
            deadly.crashed,
            deadly.others_denied,
            deadly.denied_everywhere_ms,
            deadly.received_notices as f64 / routers as f64,
            outcome.worth(),
        );
    }
}
