//! Requests that end their upstreams are denied after a few, and those beside them are not.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use route::notice::{self, Notice, NoticeLimiter, Recipients};
use route::quarantine::{
    Crash, Crashes, DECISION_DELAY_MS, DENIAL_DURATION_MS, DENIAL_THRESHOLD, Fingerprint, Quarantine, Stage,
    Upstreams, Verdict,
};
use std::collections::BTreeMap;

fn request(number: u64) -> Fingerprint {
    let mut digest = [0; 16];
    digest[8..].copy_from_slice(&number.to_be_bytes());
    Fingerprint::new(digest)
}

fn names(names: [&str; 3]) -> Upstreams {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Upstreams that end, each with the requests that ran there.
type Ended = Vec<(String, Vec<u64>)>;

/// Takes the ends in, and decides once all have come.
fn told(ends: &Ended, quarantine: &mut Quarantine, now: u64) -> Vec<Fingerprint> {
    for (upstream, there) in ends {
        there.iter().for_each(|number| {
            quarantine.record_crash(request(*number), upstream, Stage::Silent, now);
        });
    }
    quarantine.decide(now + DECISION_DELAY_MS)
}

fn ends(ran: &[&[u64]]) -> Ended {
    ran.iter().enumerate().map(|(index, there)| (format!("e-{index}"), there.to_vec())).collect()
}

#[test]
fn one_that_is_there_each_time_is_denied_and_what_is_beside_it_is_not() {
    let mut quarantine = Quarantine::default();
    assert_eq!(told(&ends(&[&[1, 2, 3], &[1, 3, 4], &[1, 4, 5]]), &mut quarantine, 0), [request(1)]);
    for beside in 2..6 {
        assert_eq!(
            quarantine.verdict(request(beside), DECISION_DELAY_MS),
            Verdict::Clear,
            "its ends are explained"
        );
    }
    assert!(
        !quarantine.record_crash(request(3), "e-2", Stage::Silent, DECISION_DELAY_MS),
        "also one that is told late"
    );
}

#[test]
fn fewer_ends_are_not_enough_and_one_upstream_counts_once() {
    let mut quarantine = Quarantine::default();
    let twice = ends(&[&[1], &[1]]);
    assert!(told(&twice, &mut quarantine, 0).is_empty());
    assert!(told(&twice, &mut quarantine, 10).is_empty(), "told again");
    assert_eq!(quarantine.verdict(request(1), 200), Verdict::Suspect(2));
}

#[test]
fn of_two_that_were_always_together_neither_is_denied_until_they_part() {
    let mut quarantine = Quarantine::default();
    assert!(told(&ends(&[&[1, 2], &[1, 2], &[1, 2]]), &mut quarantine, 0).is_empty());
    assert_eq!(
        quarantine.verdict(request(2), 200),
        Verdict::Suspect(DENIAL_THRESHOLD),
        "it may run meanwhile"
    );
    let parted = vec![("e-9".to_owned(), vec![1])];
    assert_eq!(told(&parted, &mut quarantine, 1_000), [request(1)]);
    assert_eq!(quarantine.verdict(request(2), 1_200), Verdict::Clear);
}

#[test]
fn two_that_always_come_together_are_denied_in_the_end() {
    let mut quarantine = Quarantine::default();
    let ran: [&[u64]; 5] = [&[1, 2]; 5];
    assert_eq!(told(&ends(&ran), &mut quarantine, 0), [request(1), request(2)]);
}

#[test]
fn a_run_that_an_upstream_outlives_clears_its_request() {
    let mut quarantine = Quarantine::default();
    told(&ends(&[&[1], &[1]]), &mut quarantine, 0);
    assert_eq!(quarantine.clear(request(1)), 2);
    assert_eq!(quarantine.clear(request(1)), 0);
    assert!(told(&vec![("e-9".to_owned(), vec![1])], &mut quarantine, 10).is_empty());
    assert_eq!(quarantine.verdict(request(1), 20), Verdict::Suspect(1));
}

#[test]
fn while_it_is_decided_on_a_request_waits_and_a_denial_ages_out() {
    let mut quarantine = Quarantine::default();
    for upstream in ["e-0", "e-1", "e-2"] {
        quarantine.record_crash(request(1), upstream, Stage::Silent, 0);
    }
    assert_eq!(quarantine.verdict(request(1), 1), Verdict::Undecided);
    assert!(quarantine.decide(DECISION_DELAY_MS - 1).is_empty());
    assert_eq!(quarantine.decide(DECISION_DELAY_MS), [request(1)]);
    assert_eq!(quarantine.renew(request(1), 1_000), None, "it was told a moment ago");
    let late = DENIAL_DURATION_MS * 3 / 4;
    assert_eq!(quarantine.renew(request(1), late).map(|upstreams| upstreams.len()), Some(3));
    assert_eq!(quarantine.verdict(request(1), late + DENIAL_DURATION_MS - 1), Verdict::Denied);
    assert_eq!(quarantine.verdict(request(1), late + DENIAL_DURATION_MS), Verdict::Clear);
}

#[test]
fn what_another_router_denies_is_denied_no_longer_than_it_says() {
    let mut quarantine = Quarantine::default();
    let upstreams = names(["e-0", "e-1", "e-2"]);
    quarantine.record_crash(request(2), "e-1", Stage::Silent, 0);
    assert!(quarantine.deny(request(1), &upstreams, 5_000, 0));
    assert!(!quarantine.deny(request(1), &upstreams, 1_000, 0), "known");
    assert_eq!(quarantine.verdict(request(2), 1), Verdict::Clear, "its end is explained");
    assert_eq!(quarantine.verdict(request(1), 4_999), Verdict::Denied);
    assert_eq!(quarantine.verdict(request(1), 5_000), Verdict::Clear);
    assert!(quarantine.deny(request(1), &upstreams, u64::MAX, 6_000), "nonsense is bounded");
    assert_eq!(quarantine.verdict(request(1), 6_000 + DENIAL_DURATION_MS), Verdict::Clear);
}

#[test]
fn a_flood_of_suspects_and_denials_stays_bounded() {
    let mut quarantine = Quarantine::default();
    (0..20_000).for_each(|number| {
        quarantine.record_crash(request(number), &format!("e-{number}"), Stage::Silent, number);
    });
    let known = (0..20_000).filter(|number| quarantine.verdict(request(*number), 20_000) != Verdict::Clear);
    assert_eq!(known.count(), 4_096);
    let upstreams = names(["f-0", "f-1", "f-2"]);
    (0..5_000).for_each(|number| {
        quarantine.deny(request(number), &upstreams, 1_000 + number, 0);
    });
    assert_eq!(quarantine.denied_count(), 1_024);
}

/// No order, repetition or loss of messages denies a request that was not at each end of one.
#[test]
fn no_order_of_messages_denies_one_that_was_beside() {
    let mut random = SmallRng::seed_from_u64(11);
    let mut missed = 0;
    for round in 0..20_000 {
        // Request 0 ends each upstream; the others are at each of them with a chance of a half, but not at all.
        let count = random.gen_range(3..6);
        let mut messages: Vec<(u64, usize)> = vec![];
        for other in 1..6u64 {
            let mut at: Vec<usize> = (0..count).filter(|_| random.gen_bool(0.5)).collect();
            at.truncate(2);
            messages.extend(at.into_iter().map(|upstream| (other, upstream)));
        }
        messages.extend((0..count).map(|upstream| (0, upstream)));
        let lost = random.gen_range(0..messages.len());
        if random.gen_bool(0.3) {
            messages.remove(lost);
        }
        let again: Vec<_> = messages.choose_multiple(&mut random, 4).copied().collect();
        messages.extend(again);
        messages.shuffle(&mut random);
        let mut quarantine = Quarantine::default();
        let mut denied = vec![];
        for (now, (number, upstream)) in messages.iter().enumerate() {
            quarantine.record_crash(request(*number), &format!("e-{upstream}"), Stage::Silent, now as u64);
            if random.gen_bool(0.1) {
                denied.extend(quarantine.decide(now as u64));
            }
        }
        denied.extend(quarantine.decide(1_000));
        assert!(denied.iter().all(|denied| *denied == request(0)), "round {round}: {denied:?}");
        missed += u32::from(denied.is_empty() && count > 3);
    }
    assert!(missed < 200, "{missed} of 20,000 rounds denied nothing though four or more had ended");
}

#[test]
fn a_fingerprint_prefers_the_same_routers_whoever_asks() {
    let names: Vec<String> = (0..40).map(|index| format!("vm-{index}")).collect();
    let chosen = |request, order: &[usize]| {
        notice::coordinators(request, order.iter().map(|index| (*index, names[*index].as_str())))
    };
    let forth: Vec<usize> = (0..40).collect();
    let back: Vec<usize> = (0..40).rev().collect();
    assert_eq!(chosen(request(1), &forth).len(), notice::COORDINATOR_COUNT);
    assert_eq!(chosen(request(1), &forth), chosen(request(1), &back));
    assert_ne!(chosen(request(1), &forth), chosen(request(2), &forth));
}

#[test]
fn what_all_hear_of_suspects_does_not_grow_with_the_fleet() {
    let ends = Crashes::from_iter([Crash { upstream: "e-0".to_owned(), stage: Stage::Silent }]);
    let suspect = Notice::Suspect { fingerprint: request(1), ends };
    for routers in [6, 75, 295, 1_400] {
        let mut bound = NoticeLimiter::default();
        let all = (0..60_000).filter(|now| bound.recipients(&suspect, routers, *now) == Recipients::All);
        // Beyond what each may tell at once.
        let heard_per_s = (all.count() as f64 - 8.0) * routers as f64 / 60.0;
        assert!(heard_per_s <= 21.0, "{heard_per_s} a second with {routers} routers");
    }
}

/// A run of an innocent request, in the play below.
#[derive(Clone, Copy)]
struct Run {
    number: u64,
    engine: usize,
    /// When it answers first, and when it ends.
    answers: u64,
    ends: u64,
    /// Dispatches that are left.
    tries: u32,
}

impl Run {
    fn start(number: u64, engine: usize, tries: u32, now: u64, random: &mut SmallRng) -> Run {
        let answers = now + random.gen_range(50..300);
        Run { number, engine, answers, ends: answers + random.gen_range(50..3_000), tries }
    }
}

/// What a play led to.
#[derive(Debug, Default)]
struct Outcome {
    innocent: u64,
    denied: u64,
    held_back: u64,
    /// Deadly requests by the number of engines that ended under them.
    ended: BTreeMap<u32, u32>,
}

/// Innocent requests, 200 a second, through 18 engines, of which a sixth ends together every five seconds; each minute, so many deadly
/// ones come for ten seconds, each about once a second, and end their engines, which are back after three seconds.
fn play(innocent: u64, deadly_at_once: u64, seed: u64) -> Outcome {
    const ENGINES: usize = 18;
    const STEP_MS: u64 = 10;
    const DEADLY: u64 = 1 << 40;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut runs: Vec<Run> = vec![];
    let mut lives = [0u64; ENGINES];
    let mut back = [0u64; ENGINES];
    let mut ended: BTreeMap<u64, u32> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut now = 0;
    while outcome.innocent < innocent {
        now += STEP_MS;
        let up: Vec<usize> = (0..ENGINES).filter(|engine| back[*engine] <= now).collect();
        let mut down: Vec<usize> = vec![];
        for _ in 0..2 {
            outcome.innocent += 1;
            let Some(engine) = up.choose(&mut random) else { continue };
            match quarantine.verdict(request(outcome.innocent), now) {
                Verdict::Undecided => outcome.held_back += 1,
                _ => runs.push(Run::start(outcome.innocent, *engine, 3, now, &mut random)),
            }
        }
        if now.is_multiple_of(5_000) {
            down.extend(up.choose_multiple(&mut random, ENGINES / 6));
        }
        for deadly in 0..deadly_at_once {
            let number = DEADLY + now / 60_000 * deadly_at_once + deadly;
            let comes = now % 60_000 < 10_000 && random.gen_bool(STEP_MS as f64 / 1_000.0);
            let verdict = quarantine.verdict(request(number), now);
            let may_run = !matches!(verdict, Verdict::Denied | Verdict::Undecided);
            let engine = up.choose(&mut random).filter(|engine| !down.contains(engine));
            if let Some(engine) = engine.filter(|_| comes && may_run) {
                down.push(*engine);
                *ended.entry(number).or_default() += 1;
                quarantine.record_crash(
                    request(number),
                    &format!("e-{engine}.{}", lives[*engine]),
                    Stage::Silent,
                    now,
                );
            }
        }
        let left: Vec<usize> = up.iter().filter(|engine| !down.contains(engine)).copied().collect();
        for run in runs.iter_mut().filter(|run| down.contains(&run.engine) && run.ends > now) {
            let begun_ms = now.checked_sub(run.answers);
            if let Some(stage) = Stage::of(begun_ms) {
                let upstream = format!("e-{}.{}", run.engine, lives[run.engine]);
                quarantine.record_crash(request(run.number), &upstream, stage, now);
            }
            *run = match left.choose(&mut random) {
                Some(engine) if run.tries > 1 => {
                    Run::start(run.number, *engine, run.tries - 1, now, &mut random)
                }
                _ => Run { ends: 0, ..*run },
            };
        }
        for engine in down {
            lives[engine] += 1;
            back[engine] = now + 3_000;
        }
        outcome.denied +=
            quarantine.decide(now).iter().filter(|denied| **denied < request(DEADLY)).count() as u64;
        runs.retain(|run| {
            let goes_on = run.ends > now;
            if !goes_on && run.ends > 0 && !quarantine.is_empty() {
                quarantine.clear(request(run.number));
            }
            goes_on
        });
    }
    for count in ended.into_values() {
        *outcome.ended.entry(count).or_default() += 1;
    }
    outcome
}

#[test]
fn none_of_a_million_innocent_requests_is_denied_under_mass_crashes() {
    for (deadly_at_once, seed) in [(0, 3), (2, 5)] {
        let outcome = play(500_000, deadly_at_once, seed);
        println!("{outcome:?}");
        assert_eq!(outcome.denied, 0);
        assert!(outcome.ended.keys().all(|ended| *ended <= DENIAL_THRESHOLD as u32), "{outcome:?}");
    }
}

#[test]
#[ignore = "by hand: figures of the design page"]
fn figures() {
    for deadly_at_once in [0, 1, 2, 4, 6] {
        println!("{deadly_at_once} at once: {:?}", play(1_000_000, deadly_at_once, 7));
    }
}
