//! What callers get under load, with the routing decisions simulated by the emulator.

use emulator::{Fault, Outcome, Scenario, SizeDistribution, simulate};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::{HintFilter, Millis};

/// The outcomes of several seeds.
fn outcomes(scene: impl Fn(u64) -> Scenario) -> Vec<Outcome> {
    (0..4).map(|seed| simulate(&scene(seed))).collect()
}

/// The average share of requests of one kind that are served in time.
fn in_time(outcomes: &[Outcome], kind: &str) -> f64 {
    outcomes.iter().map(|outcome| outcome.kind(kind).in_time()).sum::<f64>() / outcomes.len() as f64
}

#[test]
fn short_streams_do_not_pause_for_long_reads() {
    let outcomes = outcomes(emulator::reports_and_captions);
    // Without engines reserved for short prompts, 0.90 of the captions are in time. With one more home per
    // shared part, which a second router prefers, 0.95 of the reports are in time.
    assert!(in_time(&outcomes, "caption") > 0.96, "{outcomes:?}");
    assert!(in_time(&outcomes, "report") > 0.93, "{outcomes:?}");
}

#[test]
fn short_streams_do_not_pause_for_long_reads_under_more_load() {
    let outcomes = outcomes(|seed| Scenario { load: 1.4, ..emulator::reports_and_captions(seed) });
    // Without engines reserved for short prompts, 0.84 of the captions are in time.
    assert!(in_time(&outcomes, "caption") > 0.91, "{outcomes:?}");
    assert!(in_time(&outcomes, "report") > 0.90, "{outcomes:?}");
}

#[test]
fn the_division_costs_little_where_pauses_are_short() {
    let outcomes = outcomes(emulator::narratives_and_summaries);
    assert!(in_time(&outcomes, "summary") > 0.97, "{outcomes:?}");
    assert!(in_time(&outcomes, "narrative") > 0.84, "{outcomes:?}");
    assert!(in_time(&outcomes, "check") > 0.98, "{outcomes:?}");
}

#[test]
fn engines_are_divided_within_seconds() {
    let outcomes = outcomes(|seed| Scenario {
        warmup_ms: 5_000.0,
        duration_ms: 15_000.0,
        ..emulator::reports_and_captions(seed)
    });
    // When each router learned the pauses from its own streams alone, 0.89 of the captions were in time.
    assert!(in_time(&outcomes, "caption") > 0.95, "{outcomes:?}");
}

#[test]
fn the_division_is_kept_while_engines_become_slow() {
    let slow = |engine, times| (15_000.0, Fault::Slow(engine, times));
    let outcomes = outcomes(|seed| Scenario {
        duration_ms: 40_000.0,
        faults: vec![slow(0, 6.0), slow(1, 6.0), slow(2, 6.0)],
        ..emulator::reports_and_captions(seed)
    });
    // When reserved engines left the division under load, 0.91 of the captions were in time.
    assert!(in_time(&outcomes, "caption") > 0.95, "{outcomes:?}");
}

/// The load of reports, on engines that run few requests at once.
fn few_slots(seed: u64) -> Scenario {
    let mut scene = Scenario { load: 0.45, duration_ms: 40_000.0, ..emulator::reports_and_captions(seed) };
    scene.engine.slots = 12;
    scene.engine.queue_capacity = 36;
    scene
}

#[test]
fn requests_go_where_slots_are_free() {
    let outcomes = outcomes(few_slots);
    // When placement ignores the slots, captions wait behind the runs of other routers, and 0.79 of them are
    // in time. When the runs of other routers are assumed to last only as long as their events, 0.95 are.
    assert!(in_time(&outcomes, "caption") > 0.97, "{outcomes:?}");
    assert!(in_time(&outcomes, "report") > 0.93, "{outcomes:?}");
}

#[test]
fn requests_for_reserved_engines_overflow_to_free_slots() {
    let outcomes = outcomes(|seed| Scenario {
        load: 3.0,
        slowdowns: [1.0, 1.0, 1.3].repeat(30),
        routers: 60,
        duration_ms: 25_000.0,
        ..few_slots(seed)
    });
    // The reserved engines have slots for half of the short prompts. When placement ignores the slots, 0.29
    // of the captions are in time.
    assert!(in_time(&outcomes, "caption") > 0.9, "{outcomes:?}");
}

/// The number of dispatches per second whose reports each of `routers` routers receives, while the fleet
/// dispatches 850 prompts per second.
fn received_per_s(routers: usize) -> f64 {
    // The first seconds are not counted, because each router has to learn its own rate.
    const WARM_UP_S: u64 = 10;
    const SECONDS: u64 = 60;
    const DISPATCHED_PER_S: u64 = 850;
    let mut random = SmallRng::seed_from_u64(1);
    let sizes = SizeDistribution { mean: 6_600.0, log_std_dev: 1.4, max: 55_000.0 };
    let mut filters = vec![HintFilter::default(); routers];
    let mut reported = 0_u64;
    for dispatch in 0..SECONDS * DISPATCHED_PER_S {
        let now: Millis = dispatch * 1_000 / DISPATCHED_PER_S;
        let filter = &mut filters[random.gen_range(0..routers)];
        let is_reported = filter.should_send(sizes.sample(&mut random) as u32, routers as u64, now);
        reported += u64::from(is_reported && now >= WARM_UP_S * 1_000);
    }
    reported as f64 / (SECONDS - WARM_UP_S) as f64
}

/// Each router sends as many datagrams as it receives. If every dispatch were reported, it would receive 850
/// per second.
#[test]
fn received_reports_do_not_grow_with_the_fleet() {
    let received = [30, 100, 300, 1_000].map(received_per_s);
    assert!(received.iter().all(|per_s| (2.0..75.0).contains(per_s)), "{received:.0?}");
    assert!(received[3] < 1.1 * received[1], "{received:.0?}");
}

/// With 850 prompts per second on 160 engines through 22 routers, the worth is 0.975 if each router receives
/// reports of 800 dispatches per second, 0.968 if it receives none, and 0.896 if it receives those of the 100
/// longest while the others do not count in the load.
#[test]
fn reports_of_the_longest_reads_place_requests_as_well_as_reports_of_all() {
    let outcome = simulate(&emulator::large_fleet(1, 22));
    assert!(outcome.worth() > 0.971, "{} {outcome:?}", outcome.worth());
}
