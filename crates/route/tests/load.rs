//! What callers get under load: the emulator plays the decisions.

use emulator::{Outcome, Scene, play};

/// The outcomes of some seeds.
fn outcomes(scene: impl Fn(u64) -> Scene) -> Vec<Outcome> {
    (0..4).map(|seed| play(&scene(seed))).collect()
}

/// The mean share in time of one kind of request.
fn in_time(outcomes: &[Outcome], kind: &str) -> f64 {
    outcomes.iter().map(|outcome| outcome.of(kind).in_time()).sum::<f64>() / outcomes.len() as f64
}

#[test]
fn short_streams_do_not_pause_for_long_reads() {
    let outcomes = outcomes(emulator::reports);
    // Without engines kept for short work 0.90 of the captions are in time, and with one home more for each shared part
    // that a second router prefers 0.95 of the reports.
    assert!(in_time(&outcomes, "caption") > 0.96, "{outcomes:?}");
    assert!(in_time(&outcomes, "report") > 0.93, "{outcomes:?}");
}

#[test]
fn short_streams_do_not_pause_for_long_reads_under_more_load() {
    let outcomes = outcomes(|seed| Scene { load: 1.4, ..emulator::reports(seed) });
    // Without engines kept for short work: 0.84.
    assert!(in_time(&outcomes, "caption") > 0.91, "{outcomes:?}");
    assert!(in_time(&outcomes, "report") > 0.90, "{outcomes:?}");
}

#[test]
fn where_pauses_are_short_little_is_lost_by_the_division() {
    let outcomes = outcomes(emulator::storms);
    assert!(in_time(&outcomes, "summary") > 0.97, "{outcomes:?}");
    assert!(in_time(&outcomes, "narrative") > 0.84, "{outcomes:?}");
    assert!(in_time(&outcomes, "check") > 0.98, "{outcomes:?}");
}
