//! Guards against parts of prompts that crash one upstream after another under requests of which no two are alike,
//! and against denials of parts that only occur beside them.

use route::notice::{self, Notice, Report};
use route::poison::{Loss, Parts, Run, Tracker, is_early, shared_parts};

/// A part that all requests of a route have, and one that crashes upstreams.
const COMMON: u64 = 1;
const BAD: u64 = 66;
/// A part of prompts on other routes.
const OTHER: u64 = 2;
/// The time from a dispatch to the crash, in milliseconds.
const RUN_MS: u64 = 50;

/// The crashes of a test, each under requests that no other one has.
#[derive(Default)]
struct Scene {
    tracker: Tracker,
    requests: u64,
    upstreams: u64,
    /// When the next upstreams that crash have started.
    started: Option<u64>,
}

impl Scene {
    /// An upstream crashes under runs of different requests with these prompts, while others answer.
    fn crash(&mut self, at: u64, prompts: &[&[u64]]) {
        self.crash_alone(at, prompts);
        self.survive(at + 1, &[OTHER]);
    }

    fn crash_alone(&mut self, at: u64, prompts: &[&[u64]]) {
        self.upstreams += 1;
        for prompt in prompts {
            self.requests += 1;
            self.lose(at, self.requests, prompt);
        }
    }

    fn lose(&mut self, at: u64, request: u64, parts: &[u64]) {
        self.lose_after(RUN_MS, at, request, parts);
    }

    fn lose_after(&mut self, run_ms: u64, at: u64, request: u64, parts: &[u64]) {
        let run = Run { request, parts: parts.iter().copied().collect() };
        let upstream = format!("engine-{}", self.upstreams);
        let dispatched = at.saturating_sub(run_ms);
        let loss = Loss { upstream, started: self.started, run, dispatched, at, is_firsthand: true };
        assert!(self.tracker.record_loss(&loss, at));
    }

    fn survive(&mut self, at: u64, parts: &[u64]) {
        self.tracker.record_survival(parts, at);
    }

    /// The signature that is denied now, if any.
    fn cause(&self) -> Option<Vec<u64>> {
        self.tracker.find_cause(|_| true).map(|cause| cause.parts.to_vec())
    }
}

/// Guards against parts that are taken for chance because their runs break as quickly as at an upstream that has crashed.
#[test]
fn a_part_that_crashes_upstreams_at_once_is_found() {
    let mut scene = Scene::default();
    for round in 1..=5 {
        let at = 2_000 * round;
        scene.upstreams += 1;
        scene.lose_after(2, at, 2 * round, &[COMMON, BAD]);
        scene.lose(at, 2 * round + 1, &[COMMON, OTHER]);
        scene.survive(at + 1, &[COMMON, OTHER]);
    }
    assert_eq!(scene.cause(), Some(vec![BAD]));
}

#[test]
fn the_last_part_of_a_prompt_is_never_suspected() {
    assert_eq!(shared_parts([9, 3, 9, 7]).as_slice(), [3, 9]);
    assert!(shared_parts([7]).is_empty());
    assert!(shared_parts([]).is_empty());
}

#[test]
fn only_runs_that_have_just_begun_count() {
    assert!(is_early(None) && is_early(Some(250)));
    assert!(!is_early(Some(251)));
}

#[test]
fn a_part_present_at_three_crashes_is_the_cause_and_one_that_upstreams_survive_is_not() {
    let mut scene = Scene::default();
    for number in 0..3 {
        assert_eq!(scene.cause(), None, "after {number} crashes");
        scene.crash(1_000 + 500 * number, &[&[COMMON, 10 + number, BAD], &[COMMON, 20 + number]]);
        scene.survive(1_200 + 500 * number, &[COMMON, 30]);
    }
    assert_eq!(scene.cause(), Some(vec![BAD]));
}

/// Sound requests with the common part can't be told from harmful ones by it, so it must not be denied alone.
#[test]
fn a_part_that_all_requests_of_a_route_have_is_denied_only_together_with_the_cause() {
    let mut scene = Scene::default();
    for number in 0..3 {
        scene.crash(1_000 + 500 * number, &[&[COMMON, 10 + number, BAD], &[COMMON, 20 + number]]);
    }
    assert_eq!(scene.cause(), Some(vec![COMMON, BAD]));
}

#[test]
fn a_first_part_that_crashes_upstreams_is_found() {
    let mut scene = Scene::default();
    for number in 0..3 {
        scene.crash(1_000 + 500 * number, &[&[BAD, 100]]);
        scene.survive(1_200 + 500 * number, &[COMMON, 100]);
    }
    assert_eq!(scene.cause(), Some(vec![BAD]));
}

#[test]
fn two_harmful_parts_at_the_same_time_are_both_found() {
    let (mut scene, other) = (Scene::default(), 67);
    let mut denied = vec![];
    for number in 0..12 {
        let part = if number % 2 == 0 { BAD } else { other };
        scene.crash(1_000 + 300 * number, &[&[COMMON, part]]);
        scene.survive(1_200 + 300 * number, &[COMMON]);
        while let Some(parts) = scene.cause() {
            scene.tracker.explain_by(&parts);
            denied.push(parts);
        }
        if denied.len() == 2 {
            assert!(number < 10, "after at most five crashes each");
            break;
        }
    }
    denied.sort();
    assert_eq!(denied, [[BAD], [other]]);
}

#[test]
fn a_harmful_part_that_also_occurs_without_its_companion_is_found_by_its_next_crashes() {
    let (mut scene, companion) = (Scene::default(), 5);
    for number in 0..3 {
        scene.crash(1_000 + 500 * number, &[&[companion, BAD]]);
    }
    assert_eq!(scene.cause(), Some(vec![companion, BAD]));
    scene.tracker.explain_by(&[companion, BAD]);
    for number in 0..3 {
        scene.crash(5_000 + 500 * number, &[&[BAD, 100 + number]]);
    }
    assert_eq!(scene.cause(), Some(vec![BAD]));
}

#[test]
fn a_request_that_is_repeated_says_nothing_of_its_parts() {
    let mut scene = Scene::default();
    for number in 0..8 {
        scene.upstreams += 1;
        scene.lose(1_000 + 500 * number, 7, &[COMMON, 10]);
    }
    assert_eq!(scene.cause(), None);
}

#[test]
fn upstreams_that_crash_together_do_not_incriminate_a_part_in_frequent_use() {
    let mut scene = Scene::default();
    scene.survive(990, &[COMMON]);
    for number in 0..30 {
        scene.crash(1_000 + number, &[&[COMMON, 10 + number], &[COMMON, 11 + number]]);
    }
    assert_eq!(scene.cause(), None);
    scene.survive(1_500, &[COMMON]);
    for number in 0..30 {
        scene.crash(4_000 + number, &[&[COMMON, 10 + number]]);
    }
    assert_eq!(scene.cause(), None);
}

/// Guards against a denial of 34 sound requests, after three engines had crashed at the same moment.
#[test]
fn runs_that_are_dispatched_while_upstreams_crash_together_do_not_incriminate_a_part() {
    let mut scene = Scene::default();
    for number in 0..5 {
        let at = 1_000 + 20 * number;
        scene.crash(at, &[&[COMMON, 10 + number]]);
        scene.requests += 1;
        let run = Run { request: scene.requests, parts: [COMMON].into_iter().collect() };
        let (upstream, dispatched) = (format!("engine-{}", scene.upstreams), at + 30);
        let loss = Loss { upstream, started: None, run, dispatched, at: at + 32, is_firsthand: true };
        scene.tracker.record_loss(&loss, at + 140);
    }
    assert_eq!(scene.cause(), None);
}

#[test]
fn requests_with_a_harmful_part_that_arrive_together_are_found_by_their_second_wave() {
    let mut scene = Scene::default();
    for wave in 0..2 {
        assert_eq!(scene.cause(), None);
        for number in 0..10 {
            scene.crash(1_000 + 2_000 * wave + number, &[&[COMMON, BAD]]);
        }
        scene.survive(1_500 + 2_000 * wave, &[COMMON]);
    }
    assert_eq!(scene.cause(), Some(vec![BAD]));
}

#[test]
fn parts_that_are_always_lost_together_in_different_prompts_are_not_denied_before_five_crashes() {
    let mut scene = Scene::default();
    for number in 0..5 {
        assert_eq!(scene.cause(), None, "after {number} crashes");
        scene.crash(1_000 + 500 * number, &[&[3], &[4]]);
    }
    assert!(scene.cause().is_some());
}

/// While upstreams answer nothing, any part in use was present at each crash.
#[test]
fn without_answers_only_five_crashes_one_after_the_other_are_evidence() {
    let mut scene = Scene::default();
    for wave in 0..4 {
        for number in 0..10 {
            scene.crash_alone(1_000 + 2_000 * wave + number, &[&[COMMON]]);
        }
        assert_eq!(scene.cause(), None, "wave {wave}");
    }
    for number in 0..10 {
        scene.survive(8_000 + number, &[]);
    }
    assert_eq!(scene.cause(), None, "services without prompts answer");
    scene.crash_alone(9_000, &[&[COMMON]]);
    assert_eq!(scene.cause(), Some(vec![COMMON]));
}

#[test]
fn an_upstream_crashes_once_for_each_of_its_starts() {
    let mut scene = Scene::default();
    for number in 0..8 {
        scene.upstreams = 0;
        scene.crash(1_000 + 500 * number, &[&[BAD]]);
    }
    assert_eq!(scene.cause(), None, "the runs broke off at one upstream");
    for number in 0..2 {
        (scene.upstreams, scene.started) = (0, Some(number));
        scene.crash(6_000 + 500 * number, &[&[BAD]]);
    }
    assert_eq!(scene.cause(), Some(vec![BAD]));
}

#[test]
fn crashes_that_are_known_to_have_another_cause_do_not_count() {
    let mut scene = Scene::default();
    for number in 0..3 {
        scene.crash(1_000 + 500 * number, &[&[BAD]]);
    }
    scene.tracker.explain(&["engine-2"]);
    assert_eq!(scene.cause(), None);
}

#[test]
fn a_survival_is_told_once_after_each_crash() {
    let mut scene = Scene::default();
    assert!(scene.tracker.record_survival(&[COMMON], 900).is_empty(), "nothing is suspected");
    scene.crash(1_000, &[&[COMMON, BAD]]);
    assert_eq!(scene.tracker.record_survival(&[COMMON, 4], 1_100).as_slice(), [COMMON]);
    assert!(scene.tracker.record_survival(&[COMMON, 4], 1_200).is_empty());
    scene.crash(2_000, &[&[COMMON, BAD]]);
    assert_eq!(scene.tracker.record_survival(&[COMMON], 2_100).as_slice(), [COMMON]);
}

/// A loss at an upstream with a name of this length, of a prompt with so many parts.
fn loss(request: u64, name: usize, parts: u64) -> Loss {
    let run = Run { request, parts: (0..parts).map(|part| u64::MAX - parts + part).collect() };
    let upstream = "x".repeat(name);
    Loss { upstream, started: None, run, dispatched: 100, at: 400, is_firsthand: true }
}

#[test]
fn losses_are_reported_in_parts_and_as_times_before_the_report() {
    let mut losses: Vec<Loss> = (0..100).map(|request| loss(request, 12, 3)).collect();
    let (mut notices, mut reported) = (0, vec![]);
    while !losses.is_empty() {
        let reports = notice::take_reports(&mut losses, 1_000);
        assert!(Notice::Lost(reports.clone()).is_valid());
        notices += 1;
        reported.extend(reports);
    }
    assert_eq!((notices, reported.len()), (8, 100));
    let run = loss(0, 12, 3).run;
    let upstream = "x".repeat(12);
    assert_eq!(reported[0], Report { upstream, started: None, run, ran_ms: 300, age_ms: 600 });
}

#[test]
fn notices_about_parts_that_no_router_can_have_sent_are_not_valid() {
    let parts = |parts: &[u64]| parts.iter().copied().collect::<Parts>();
    let many: Vec<u64> = (0..65).collect();
    for invalid in [&[][..], &[2, 1], &[1, 1], &many] {
        assert!(!Notice::SuspectParts(parts(invalid)).is_valid(), "{invalid:?}");
        assert!(!Notice::ClearedParts(parts(invalid)).is_valid(), "{invalid:?}");
        let upstreams = ["e-1", "e-2", "e-3"].map(str::to_owned).into_iter().collect();
        let denied = Notice::DeniedParts { parts: parts(invalid), upstreams, lasts_ms: 1 };
        assert!(!denied.is_valid(), "{invalid:?}");
    }
    let reports = |loss: &Loss| [Report::new(loss, 500)].into_iter().collect();
    assert!(Notice::Lost(reports(&loss(1, 120, 64))).is_valid());
    assert!(!Notice::Lost(reports(&loss(1, 121, 64))).is_valid());
    assert!(!Notice::Lost(reports(&loss(1, 120, 65))).is_valid());
    assert!(!Notice::Lost(reports(&loss(1, 120, 0))).is_valid());
}
