//! Requests that end their engines, and engines that leave or rest by their own word, played with many routers that tell each other by
//! messages of which some are lost.

use emulator::{Fault, Outcome, Scene, play};

/// Deadly requests a second.
const PER_S: f64 = 4.0;
/// Engines that may end under it before it is denied, and beside that while it is decided on.
const MOST_ENDED: u64 = 3;

/// What a router may hear of it, in bytes a second: all that control may take. A word takes about 100 bytes with its headers.
const MOST_HEARD: f64 = 4_096.0;
const WORD_BYTES: f64 = 100.0;
const LENGTH_MS: f64 = 10_000.0;

fn scene(routers: usize, seed: u64, faults: Vec<(f64, Fault)>) -> Scene {
    let mut scene = match routers {
        0..10 => Scene { routers, ..emulator::storms(seed) },
        _ => emulator::plains(seed, routers),
    };
    (scene.warm_ms, scene.length_ms) = (0.0, LENGTH_MS);
    scene.faults = faults;
    scene
}

/// The deadly request comes from second 2 on; a sixth of the engines end together twice.
fn storm(routers: usize, seed: u64) -> Outcome {
    let mut faults = vec![(2_000.0, Fault::Deadly(PER_S))];
    let engines = scene(routers, seed, vec![]).slow.len();
    for at in [4_000.0, 8_000.0] {
        faults.extend((0..engines).step_by(6).map(|engine| (at, Fault::Crash(engine))));
    }
    play(&scene(routers, seed, faults))
}

#[test]
fn three_engines_end_at_each_size_of_the_fleet_and_no_other_request_is_denied() {
    for (routers, seeds) in [(6, 0..4), (22, 0..2), (75, 0..1)] {
        for seed in seeds {
            let deadly = storm(routers, seed).deadly;
            println!("{routers} routers, seed {seed}: {deadly:?}");
            assert!(deadly.ended <= MOST_ENDED + 1, "{routers} routers: {deadly:?}");
            assert_eq!((deadly.ended_late, deadly.innocent), (0, 0), "{routers} routers: {deadly:?}");
            assert!(deadly.known_ms < 1_000.0, "{routers} routers: {deadly:?}");
            let heard = deadly.words as f64 * WORD_BYTES / routers as f64 / (LENGTH_MS / 1_000.0);
            assert!(heard <= MOST_HEARD, "{routers} routers: each hears {heard} bytes a second");
        }
    }
}

/// From a router, requests that were decided on before the word came are on their way for a millisecond.
#[test]
fn engines_that_leave_or_rest_by_their_own_word_get_next_to_nothing_more() {
    let faults = |engines: usize| -> Vec<(f64, Fault)> {
        let leave = (0..engines).step_by(4).map(|engine| (3_000.0, Fault::Leave(engine)));
        let rest = (1..engines).step_by(4).map(|engine| (5_000.0, Fault::Rest(engine, 2_000.0)));
        leave.chain(rest).collect()
    };
    for routers in [6, 22] {
        let engines = scene(routers, 0, vec![]).slow.len();
        let outcome = play(&scene(routers, 0, faults(engines)));
        println!("{routers} routers: {:?}", outcome.signals);
        let signals = outcome.signals;
        let (telling, resting) = (routers * engines.div_ceil(4), (routers * engines.div_ceil(4)) as u64);
        assert!(signals.late <= telling as u64 / 10, "{signals:?}");
        assert!(
            signals.refused - signals.refused_again <= resting,
            "once a router and an engine: {signals:?}"
        );
        assert!(signals.refused_again * 20 <= signals.refused, "{signals:?}");
    }
}

#[test]
#[ignore = "by hand: figures of the design page"]
fn figures() {
    println!(
        "| routers | deadly requests that came | engines that ended | others denied | ms until all deny it | words heard a router | worth |"
    );
    for routers in [6, 22, 75, 295, 1_400] {
        let outcome = storm(routers, 1);
        let deadly = outcome.deadly;
        println!(
            "| {routers} | {} | {} | {} | {:.0} | {:.1} | {:.3} |",
            deadly.came,
            deadly.ended,
            deadly.innocent,
            deadly.known_ms,
            deadly.words as f64 / routers as f64,
            outcome.worth(),
        );
    }
}
