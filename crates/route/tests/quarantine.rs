//! Guards against requests that crash one upstream after another, and against denials of requests that only
//! ran beside them.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use route::notice::{self, Notice, NoticeLimiter, Recipients};
use route::poison::{self, Loss};
use route::quarantine::{
    Crash, Crashes, DECISION_DELAY_MS, DENIAL_DURATION_MS, DENIAL_THRESHOLD, Fingerprint, LostRun,
    Quarantine, Stage, Upstreams, Verdict,
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

/// Crashed upstreams, each with the requests that ran there.
type CrashedUpstreams = Vec<(String, Vec<u64>)>;

/// Records the crashes, and decides once all reports have arrived.
fn record_and_decide(crashes: &CrashedUpstreams, quarantine: &mut Quarantine, now: u64) -> Vec<Fingerprint> {
    for (upstream, running) in crashes {
        running.iter().for_each(|number| {
            quarantine.record_crash(request(*number), upstream, Stage::Silent, now);
        });
    }
    quarantine.decide(now + DECISION_DELAY_MS)
}

fn crashes(ran: &[&[u64]]) -> CrashedUpstreams {
    ran.iter().enumerate().map(|(index, running)| (format!("e-{index}"), running.to_vec())).collect()
}

#[test]
fn a_request_present_at_each_crash_is_denied_and_those_beside_it_are_not() {
    let mut quarantine = Quarantine::default();
    assert_eq!(
        record_and_decide(&crashes(&[&[1, 2, 3], &[1, 3, 4], &[1, 4, 5]]), &mut quarantine, 0),
        [request(1)]
    );
    for bystander in 2..6 {
        assert_eq!(
            quarantine.verdict(request(bystander), DECISION_DELAY_MS),
            Verdict::Clear,
            "its crashes are explained"
        );
    }
    assert!(
        !quarantine.record_crash(request(3), "e-2", Stage::Silent, DECISION_DELAY_MS),
        "also a crash that is reported late"
    );
}

#[test]
fn fewer_crashes_are_not_enough_and_one_upstream_counts_once() {
    let mut quarantine = Quarantine::default();
    let twice = crashes(&[&[1], &[1]]);
    assert!(record_and_decide(&twice, &mut quarantine, 0).is_empty());
    assert!(record_and_decide(&twice, &mut quarantine, 10).is_empty(), "reported again");
    assert_eq!(quarantine.verdict(request(1), 200), Verdict::Suspect(2));
}

#[test]
fn of_two_requests_always_present_together_neither_is_denied_until_one_is_present_alone() {
    let mut quarantine = Quarantine::default();
    assert!(record_and_decide(&crashes(&[&[1, 2], &[1, 2], &[1, 2]]), &mut quarantine, 0).is_empty());
    assert_eq!(
        quarantine.verdict(request(2), 200),
        Verdict::Suspect(DENIAL_THRESHOLD),
        "it may run meanwhile"
    );
    let alone = vec![("e-9".to_owned(), vec![1])];
    assert_eq!(record_and_decide(&alone, &mut quarantine, 1_000), [request(1)]);
    assert_eq!(quarantine.verdict(request(2), 1_200), Verdict::Clear);
}

#[test]
fn two_requests_always_present_together_are_both_denied_after_five_crashes() {
    let mut quarantine = Quarantine::default();
    let ran: [&[u64]; 5] = [&[1, 2]; 5];
    assert_eq!(record_and_decide(&crashes(&ran), &mut quarantine, 0), [request(1), request(2)]);
}

#[test]
fn a_run_that_an_upstream_survives_clears_its_request() {
    let mut quarantine = Quarantine::default();
    record_and_decide(&crashes(&[&[1], &[1]]), &mut quarantine, 0);
    assert_eq!(quarantine.clear(request(1)), 2);
    assert_eq!(quarantine.clear(request(1)), 0);
    assert!(record_and_decide(&vec![("e-9".to_owned(), vec![1])], &mut quarantine, 10).is_empty());
    assert_eq!(quarantine.verdict(request(1), 20), Verdict::Suspect(1));
}

#[test]
fn a_request_waits_until_it_is_decided_on_and_a_denial_expires() {
    let mut quarantine = Quarantine::default();
    for upstream in ["e-0", "e-1", "e-2"] {
        quarantine.record_crash(request(1), upstream, Stage::Silent, 0);
    }
    assert_eq!(quarantine.verdict(request(1), 1), Verdict::Undecided);
    assert!(quarantine.decide(DECISION_DELAY_MS - 1).is_empty());
    assert_eq!(quarantine.decide(DECISION_DELAY_MS), [request(1)]);
    assert_eq!(quarantine.renew(request(1), 1_000), None, "it was denied a moment ago");
    let late = DENIAL_DURATION_MS * 3 / 4;
    assert_eq!(quarantine.renew(request(1), late).map(|upstreams| upstreams.len()), Some(3));
    assert_eq!(quarantine.verdict(request(1), late + DENIAL_DURATION_MS - 1), Verdict::Denied);
    assert_eq!(quarantine.verdict(request(1), late + DENIAL_DURATION_MS), Verdict::Clear);
}

#[test]
fn a_denial_by_another_router_lasts_no_longer_than_it_states() {
    let mut quarantine = Quarantine::default();
    let upstreams = names(["e-0", "e-1", "e-2"]);
    quarantine.record_crash(request(2), "e-1", Stage::Silent, 0);
    assert!(quarantine.deny(request(1), &upstreams, 5_000, 0));
    assert!(!quarantine.deny(request(1), &upstreams, 1_000, 0), "known");
    assert_eq!(quarantine.verdict(request(2), 1), Verdict::Clear, "its crash is explained");
    assert_eq!(quarantine.verdict(request(1), 4_999), Verdict::Denied);
    assert_eq!(quarantine.verdict(request(1), 5_000), Verdict::Clear);
    assert!(quarantine.deny(request(1), &upstreams, u64::MAX, 6_000), "an implausible duration is bounded");
    assert_eq!(quarantine.verdict(request(1), 6_000 + DENIAL_DURATION_MS), Verdict::Clear);
}

#[test]
fn the_numbers_of_suspects_and_denials_are_bounded() {
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

/// No order, repetition or loss of messages leads to the denial of a request that was not present at each
/// crash.
#[test]
fn no_order_of_messages_denies_a_bystander() {
    let mut random = SmallRng::seed_from_u64(11);
    let mut missed = 0;
    for round in 0..20_000 {
        // Request 0 crashes each upstream. Each other request is present at each crash with a probability of
        // one half, but at no more than two.
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
        let repeated: Vec<_> = messages.choose_multiple(&mut random, 4).copied().collect();
        messages.extend(repeated);
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
    assert!(missed < 200, "{missed} of 20,000 rounds denied nothing after four or more crashes");
}

#[test]
fn the_coordinators_of_a_fingerprint_are_the_same_for_all_routers() {
    let names: Vec<String> = (0..40).map(|index| format!("vm-{index}")).collect();
    let chosen = |request, order: &[usize]| {
        notice::coordinators(request, order.iter().map(|index| (*index, names[*index].as_str())))
    };
    let ascending: Vec<usize> = (0..40).collect();
    let descending: Vec<usize> = (0..40).rev().collect();
    assert_eq!(chosen(request(1), &ascending).len(), notice::COORDINATOR_COUNT);
    assert_eq!(chosen(request(1), &ascending), chosen(request(1), &descending));
    assert_ne!(chosen(request(1), &ascending), chosen(request(2), &ascending));
}

#[test]
fn the_rate_of_suspects_sent_to_all_routers_does_not_grow_with_the_fleet() {
    let ends = Crashes::from_iter([Crash { upstream: "e-0".to_owned(), stage: Stage::Silent }]);
    let suspect = Notice::Suspect { fingerprint: request(1), ends };
    for routers in [6, 75, 295, 1_400] {
        let mut limiter = NoticeLimiter::default();
        let all = (0..60_000).filter(|now| limiter.recipients(&suspect, routers, *now) == Recipients::All);
        // Without the burst that each router may send at once.
        let received_per_s = (all.count() as f64 - 8.0) * routers as f64 / 60.0;
        assert!(received_per_s <= 21.0, "{received_per_s} per second with {routers} routers");
    }
}

/// A run of a harmless request in the simulation below.
#[derive(Clone, Copy)]
struct Run {
    number: u64,
    engine: usize,
    /// When its first answer arrives, and when it ends.
    answers: u64,
    ends: u64,
    /// The dispatches that are left, including this one.
    dispatches_left: u32,
}

impl Run {
    fn start(number: u64, engine: usize, dispatches_left: u32, now: u64, random: &mut SmallRng) -> Run {
        let answers = now + random.gen_range(50..300);
        Run { number, engine, answers, ends: answers + random.gen_range(50..3_000), dispatches_left }
    }
}

/// The result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    harmless: u64,
    denied: u64,
    held_back: u64,
    /// The numbers of harmful requests, by the number of engines that they crashed.
    ended: BTreeMap<u32, u32>,
}

/// Simulates 200 harmless requests per second on 18 engines, of which a sixth crash together every five
/// seconds. In the first ten seconds of each minute, `harmful_at_once` harmful requests arrive, each about
/// once per second. They crash their engines, which return after three seconds.
fn simulate(harmless: u64, harmful_at_once: u64, seed: u64) -> Outcome {
    const ENGINES: usize = 18;
    const STEP_MS: u64 = 10;
    const HARMFUL: u64 = 1 << 40;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut runs: Vec<Run> = vec![];
    let mut restarts = [0u64; ENGINES];
    let mut up_from = [0u64; ENGINES];
    let mut ended: BTreeMap<u64, u32> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut now = 0;
    while outcome.harmless < harmless {
        now += STEP_MS;
        let up: Vec<usize> = (0..ENGINES).filter(|engine| up_from[*engine] <= now).collect();
        let mut down: Vec<usize> = vec![];
        for _ in 0..2 {
            outcome.harmless += 1;
            let Some(engine) = up.choose(&mut random) else { continue };
            match quarantine.verdict(request(outcome.harmless), now) {
                Verdict::Undecided => outcome.held_back += 1,
                _ => runs.push(Run::start(outcome.harmless, *engine, 3, now, &mut random)),
            }
        }
        if now.is_multiple_of(5_000) {
            down.extend(up.choose_multiple(&mut random, ENGINES / 6));
        }
        for harmful in 0..harmful_at_once {
            let number = HARMFUL + now / 60_000 * harmful_at_once + harmful;
            let arrives = now % 60_000 < 10_000 && random.gen_bool(STEP_MS as f64 / 1_000.0);
            let verdict = quarantine.verdict(request(number), now);
            let may_run = !matches!(verdict, Verdict::Denied | Verdict::Undecided);
            let engine = up.choose(&mut random).filter(|engine| !down.contains(engine));
            if let Some(engine) = engine.filter(|_| arrives && may_run) {
                down.push(*engine);
                *ended.entry(number).or_default() += 1;
                quarantine.record_crash(
                    request(number),
                    &format!("e-{engine}.{}", restarts[*engine]),
                    Stage::Silent,
                    now,
                );
            }
        }
        let remaining: Vec<usize> = up.iter().filter(|engine| !down.contains(engine)).copied().collect();
        for run in runs.iter_mut().filter(|run| down.contains(&run.engine) && run.ends > now) {
            let begun_ms = now.checked_sub(run.answers);
            if let Some(stage) = Stage::of(begun_ms) {
                let upstream = format!("e-{}.{}", run.engine, restarts[run.engine]);
                quarantine.record_crash(request(run.number), &upstream, stage, now);
            }
            *run = match remaining.choose(&mut random) {
                Some(engine) if run.dispatches_left > 1 => {
                    Run::start(run.number, *engine, run.dispatches_left - 1, now, &mut random)
                }
                _ => Run { ends: 0, ..*run },
            };
        }
        for engine in down {
            restarts[engine] += 1;
            up_from[engine] = now + 3_000;
        }
        outcome.denied +=
            quarantine.decide(now).iter().filter(|denied| **denied < request(HARMFUL)).count() as u64;
        runs.retain(|run| {
            let is_running = run.ends > now;
            if !is_running && run.ends > 0 && !quarantine.is_empty() {
                quarantine.clear(request(run.number));
            }
            is_running
        });
    }
    for count in ended.into_values() {
        *outcome.ended.entry(count).or_default() += 1;
    }
    outcome
}

#[test]
fn none_of_a_million_harmless_requests_is_denied_during_mass_crashes() {
    for (harmful_at_once, seed) in [(0, 3), (2, 5)] {
        let outcome = simulate(500_000, harmful_at_once, seed);
        println!("{outcome:?}");
        assert_eq!(outcome.denied, 0);
        assert!(outcome.ended.keys().all(|ended| *ended <= DENIAL_THRESHOLD as u32), "{outcome:?}");
    }
}

#[test]
#[ignore = "run manually for the figures of the design page"]
fn figures() {
    for harmful_at_once in [0, 1, 2, 4, 6] {
        println!("{harmful_at_once} at once: {:?}", simulate(1_000_000, harmful_at_once, 7));
    }
}

#[test]
fn lost_runs_count_as_crashes_for_a_short_time_and_once() {
    let mut quarantine = Quarantine::default();
    let run = |upstream: &str| LostRun {
        fingerprint: Fingerprint::new([1; 16]),
        upstream: upstream.to_owned(),
        stage: Stage::Silent,
        loss: Loss {
            upstream: upstream.to_owned(),
            started: None,
            run: poison::Run { request: 1, parts: [2].into_iter().collect() },
            dispatched: 0,
            at: 0,
            is_firsthand: true,
        },
    };
    quarantine.record_lost_run(run("engine-1"), 0);
    quarantine.record_lost_run(run("engine-2"), 1_000);
    quarantine.record_lost_run(run("engine-1"), 1_500);
    assert!(quarantine.is_empty(), "a lost run alone proves nothing");
    assert_eq!(quarantine.take_lost_runs("engine-1", 2_500).to_vec(), [run("engine-1")]);
    assert_eq!(quarantine.take_lost_runs("engine-1", 2_500).to_vec(), []);
    assert_eq!(quarantine.take_lost_runs("engine-2", 2_999).to_vec(), [run("engine-2")]);
    quarantine.record_lost_run(run("engine-3"), 3_000);
    assert_eq!(quarantine.take_lost_runs("engine-3", 5_000).to_vec(), []);
}
