//! Simulates a link of 10 Mbit/s that carries prompts beside short messages.
//!
//! Without pacing, each prompt enters the link's queue as a whole when it arrives, and the messages behind it
//! wait: a reservation at another gateway has 126 ms in all.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::pacing::{Body, BodyId, Pacer, Step, Submission};
use std::collections::HashMap;

/// The capacity of a small link, in bytes per millisecond: 10 Mbit/s.
const LINK: f64 = 1_250.0;
/// The bytes on the link for each byte of content: headers of packets.
const PACKET_OVERHEAD: f64 = 1.04;
/// How long a simulation lasts, in milliseconds.
const DURATION_MS: f64 = 60_000.0;
/// The time step, in milliseconds. Timers fire at the next step but three, as late as those of a busy VM.
const STEP_MS: f64 = 0.5;
const TIMER_STEPS: u64 = 4;
/// Prompts: the mean, the standard deviation of the logarithm and the limits of their size, in bytes. One in 30
/// has more than 36 KB.
const PROMPT_MEAN: f64 = 12_000.0;
const PROMPT_LOG_STD_DEV: f64 = 0.75;
const PROMPT_SIZES: (f64, f64) = (1_000.0, 72_000.0);
/// The targets of prompts, in milliseconds. Half of a target is left to the upstream.
const TARGETS_MS: [f64; 3] = [400.0, 800.0, 2_000.0];
const LINK_SHARE_OF_TARGET: f64 = 0.5;
/// Short messages: their size in bytes, and how many there are per millisecond (5 % of the link).
const MESSAGE_BYTES: f64 = 350.0;
const MESSAGES_PER_MS: f64 = 0.18;
/// A short message that waits longer has lost a third of the 126 ms of a reservation, in milliseconds.
const MESSAGE_LIMIT_MS: f64 = 40.0;
/// A body that is at most this large is not paced, in bytes.
const UNPACED_BYTES: f64 = 4_096.0;

/// The outcome of a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    bodies: f64,
    in_time: f64,
    refused: f64,
    /// Bodies that were sent, but not in time.
    late: f64,
    messages: f64,
    delayed: f64,
    longest_wait: f64,
    mean_wait: f64,
}

/// A link that sends what it is given one after the other.
#[derive(Default)]
struct Link {
    busy_until: f64,
}

impl Link {
    /// Sends bytes; returns how long they wait and when the last one has left.
    fn send(&mut self, bytes: f64, now: f64) -> (f64, f64) {
        let start = self.busy_until.max(now);
        self.busy_until = start + bytes * PACKET_OVERHEAD / LINK;
        (start - now, self.busy_until)
    }
}

/// The number of arrivals in a step, at `mean` on average.
fn arrivals(random: &mut SmallRng, mean: f64) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), random.r#gen::<f64>(), 0);
    while product > limit {
        product *= random.r#gen::<f64>();
        count += 1;
    }
    count
}

fn prompt_bytes(random: &mut SmallRng) -> f64 {
    let (uniform, angle): (f64, f64) = (random.r#gen(), random.r#gen());
    let normal = (-2.0 * (1.0 - uniform).ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
    let log_mean = PROMPT_MEAN.ln() - PROMPT_LOG_STD_DEV.powi(2) / 2.0;
    (log_mean + PROMPT_LOG_STD_DEV * normal).exp().clamp(PROMPT_SIZES.0, PROMPT_SIZES.1).round()
}

/// Simulates a link of which prompts and messages use the share `load` on average.
fn simulate(load: f64, is_paced: bool, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let (mut link, mut outcome) = (Link::default(), Outcome::default());
    let mut pacer = Pacer::new(LINK * 1_000.0);
    let mut waiting: HashMap<BodyId, (f64, f64)> = HashMap::new();
    let prompts_per_ms = (load * LINK / PACKET_OVERHEAD - MESSAGES_PER_MS * MESSAGE_BYTES) / PROMPT_MEAN;
    let steps = (DURATION_MS / STEP_MS) as u64;
    for step in 0..steps {
        let now = step as f64 * STEP_MS;
        for _ in 0..arrivals(&mut random, prompts_per_ms * STEP_MS) {
            let bytes = prompt_bytes(&mut random);
            let target = TARGETS_MS[random.gen_range(0..TARGETS_MS.len())];
            let latest = now + LINK_SHARE_OF_TARGET * target;
            outcome.bodies += 1.0;
            if !is_paced || bytes <= UNPACED_BYTES {
                pacer.record_unpaced(bytes as u64);
                let (_, end) = link.send(bytes, now);
                outcome.record_end(end, latest);
                continue;
            }
            match pacer.submit(&Body { bytes: bytes as u64, due: now + target, latest }, now) {
                Submission::Accepted(id) => {
                    waiting.insert(id, (bytes, latest));
                }
                Submission::Refused(drained_ms) => {
                    assert!((1..2_000).contains(&drained_ms), "{drained_ms}");
                    outcome.refused += 1.0;
                }
            }
        }
        if step.is_multiple_of(TIMER_STEPS) {
            send_pieces(&mut pacer, &mut waiting, &mut link, &mut outcome, now);
        }
        for _ in 0..arrivals(&mut random, MESSAGES_PER_MS * STEP_MS) {
            pacer.record_unpaced(MESSAGE_BYTES as u64);
            let (wait, _) = link.send(MESSAGE_BYTES, now);
            outcome.messages += 1.0;
            outcome.mean_wait += wait;
            outcome.longest_wait = outcome.longest_wait.max(wait);
            outcome.delayed += f64::from(u8::from(wait > MESSAGE_LIMIT_MS));
        }
    }
    outcome.mean_wait /= outcome.messages;
    outcome
}

impl Outcome {
    fn record_end(&mut self, end: f64, latest: f64) {
        if end <= latest { self.in_time += 1.0 } else { self.late += 1.0 }
    }
}

/// Sends the pieces that the pacer allows now.
fn send_pieces(
    pacer: &mut Pacer,
    waiting: &mut HashMap<BodyId, (f64, f64)>,
    link: &mut Link,
    outcome: &mut Outcome,
    now: f64,
) {
    // All bodies are healthy connections, which ask for their next piece at once.
    let mut asking = pacer.next_body();
    while let Some(id) = asking {
        match pacer.poll(id, now) {
            Step::Send(bytes) => {
                let (_, end) = link.send(bytes as f64, now);
                let (remaining, latest) = waiting.get_mut(&id).expect("an accepted body");
                *remaining -= bytes as f64;
                if *remaining <= 0.0 {
                    outcome.record_end(end, *latest);
                    waiting.remove(&id);
                    asking = pacer.next_body();
                }
            }
            Step::Refused(_) => {
                outcome.refused += 1.0;
                waiting.remove(&id);
                asking = pacer.next_body();
            }
            Step::Queued | Step::Done => asking = pacer.next_body(),
            Step::Wait(ms) => {
                assert!(ms > 0.0 && ms < 100.0, "{ms}");
                return;
            }
        }
    }
}

/// The mean outcome over several seeds, with and without pacing.
fn outcomes(load: f64) -> (Outcome, Outcome) {
    let mean = |is_paced| {
        let runs: Vec<Outcome> = (0..4).map(|seed| simulate(load, is_paced, seed)).collect();
        let sum = |value: fn(&Outcome) -> f64| runs.iter().map(value).sum::<f64>();
        let bodies = sum(|run| run.bodies);
        Outcome {
            bodies,
            in_time: sum(|run| run.in_time) / bodies,
            refused: sum(|run| run.refused) / bodies,
            late: sum(|run| run.late) / bodies,
            messages: sum(|run| run.messages),
            delayed: sum(|run| run.delayed) / sum(|run| run.messages),
            longest_wait: runs.iter().map(|run| run.longest_wait).fold(0.0, f64::max),
            mean_wait: sum(|run| run.mean_wait) / runs.len() as f64,
        }
    };
    let (paced, unpaced) = (mean(true), mean(false));
    (paced, unpaced)
}

/// Guards against short messages that are queued behind prompts. Without pacing, 0.09 of them wait for more than
/// 40 ms at a load of 0.6, 0.55 at 0.9 and nearly all at 1.3; with it, none does, and none waits for more than a
/// burst.
#[test]
fn short_messages_do_not_wait_behind_prompts() {
    for load in [0.6, 0.9, 1.3] {
        let (paced, unpaced) = outcomes(load);
        assert!(paced.delayed < 0.001, "load {load}: {paced:?}");
        assert!(paced.longest_wait < 25.0, "load {load}: {paced:?}");
        assert!(paced.mean_wait < 0.5 * unpaced.mean_wait, "load {load}: {paced:?} {unpaced:?}");
        assert!(unpaced.delayed > 0.05, "the load is too light to show anything: {unpaced:?}");
    }
}

/// Guards against pacing that costs more bodies than it saves. Without pacing, 1.00, 0.97 and 0.03 of them are
/// sent in time.
#[test]
fn as_many_prompts_are_sent_in_time_as_the_link_carries() {
    for (load, in_time) in [(0.6, 0.995), (0.9, 0.95), (1.3, 0.66)] {
        let (paced, unpaced) = outcomes(load);
        assert!(paced.in_time > in_time, "load {load}: {paced:?}");
        assert!(paced.in_time > unpaced.in_time - 0.01, "load {load}: {paced:?} {unpaced:?}");
        // Most of the others are refused at once, and may be sent by another gateway.
        assert!(paced.late < 0.08, "load {load}: {paced:?}");
    }
}

fn accept(pacer: &mut Pacer, body: &Body, now: f64) -> BodyId {
    match pacer.submit(body, now) {
        Submission::Accepted(id) => id,
        Submission::Refused(ms) => panic!("refused, drained after {ms} ms"),
    }
}

/// Sends what the pacer allows now, with connections that ask for their next piece at once; returns the bodies
/// in the order in which they were completed.
fn send_all(pacer: &mut Pacer, now: f64) -> Vec<BodyId> {
    let mut sent = vec![];
    while let Some(id) = pacer.next_body() {
        loop {
            match pacer.poll(id, now) {
                Step::Done => {
                    sent.push(id);
                    break;
                }
                Step::Send(_) => {}
                _ => return sent,
            }
        }
    }
    sent
}

/// Guards against a large deployment that pays for the needs of a small one: at 1,000 Mbit/s, 1,000 prompts per
/// second are sent as they arrive, each in one piece.
#[test]
fn a_fast_link_delays_nothing() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut pacer = Pacer::new(125e6);
    for now in 0..10_000 {
        let now = f64::from(now);
        let bytes = prompt_bytes(&mut random) as u64;
        let id = accept(&mut pacer, &Body { bytes, due: now + 400.0, latest: now + 200.0 }, now);
        pacer.record_unpaced(20_000);
        assert_eq!(pacer.poll(id, now), Step::Send(bytes));
        assert!(pacer.is_empty());
    }
}

/// Guards against an urgent body that waits behind less urgent ones, and against a started one that is
/// interrupted, which would delay both.
#[test]
fn bodies_are_sent_in_the_order_of_their_targets_and_not_interrupted() {
    let mut pacer = Pacer::new(LINK * 1_000.0);
    let body = |due: f64| Body { bytes: 50_000, due, latest: 2_000.0 };
    let started = accept(&mut pacer, &body(900.0), 0.0);
    assert!(matches!(pacer.poll(started, 0.0), Step::Send(_)));
    let [last, second] = [1_500.0, 700.0].map(|due| accept(&mut pacer, &body(due), 0.0));
    let first = accept(&mut pacer, &body(300.0), 0.0);
    assert_eq!(pacer.poll(last, 0.0), Step::Queued);
    // Its connection has taken the first piece.
    assert!(matches!(pacer.poll(started, 0.0), Step::Send(_)));
    assert!(matches!(pacer.poll(started, 0.0), Step::Wait(_)));
    let mut sent = vec![];
    for now in 1..400 {
        sent.extend(send_all(&mut pacer, f64::from(now)));
    }
    assert_eq!(sent, [started, first, second, last]);
}

/// Guards against a request that is held although it can't be sent in time, and against a new one that makes
/// accepted ones late.
#[test]
fn a_body_that_can_not_be_sent_in_time_is_refused_at_once() {
    let mut pacer = Pacer::new(LINK * 1_000.0);
    let body = |bytes: u64, due: f64, latest: f64| Body { bytes, due, latest };
    // 300 KB take 280 ms.
    accept(&mut pacer, &body(300_000, 800.0, 400.0), 0.0);
    let refused = pacer.submit(&body(12_000, 1_000.0, 200.0), 0.0);
    assert!(matches!(refused, Submission::Refused(250..=300)), "{refused:?}");
    // This one would be sent first and in time, and the accepted one would be late.
    let refused = pacer.submit(&body(200_000, 300.0, 300.0), 0.0);
    assert!(matches!(refused, Submission::Refused(250..=300)), "{refused:?}");
    accept(&mut pacer, &body(12_000, 300.0, 150.0), 0.0);
    assert_eq!(pacer.len(), 2);
}

/// Guards against refusals that help nobody: an idle link serves also a request that is late already.
#[test]
fn an_idle_link_refuses_nothing() {
    let mut pacer = Pacer::new(LINK * 1_000.0);
    let id = accept(&mut pacer, &Body { bytes: 4_000_000, due: 10.0, latest: 5.0 }, 1_000.0);
    assert!(matches!(pacer.poll(id, 1_000.0), Step::Send(_)));
}

/// Guards against a body that waits to no end for its turn: the estimate was wrong, and it would be late.
#[test]
fn a_body_that_has_become_late_is_refused_before_it_is_started() {
    let mut pacer = Pacer::new(LINK * 1_000.0);
    let first = accept(&mut pacer, &Body { bytes: 100_000, due: 300.0, latest: 150.0 }, 0.0);
    let late = accept(&mut pacer, &Body { bytes: 12_000, due: 400.0, latest: 200.0 }, 0.0);
    accept(&mut pacer, &Body { bytes: 12_000, due: 4_000.0, latest: 2_000.0 }, 0.0);
    pacer.remove(first);
    assert!(matches!(pacer.poll(late, 300.0), Step::Refused(_)));
    assert_eq!(pacer.len(), 1);
}

/// Guards against bodies that are starved by events: they get the floor, and no more than what is left.
#[test]
fn bodies_get_what_unpaced_traffic_leaves_and_at_least_the_floor() {
    let carried = |unpaced_per_ms: u64| {
        let mut pacer = Pacer::new(LINK * 1_000.0);
        let id = accept(&mut pacer, &Body { bytes: 100_000_000, due: 0.0, latest: 0.0 }, 0.0);
        let mut sent = 0;
        for now in 0..10_000 {
            pacer.record_unpaced(unpaced_per_ms);
            while let Step::Send(bytes) = pacer.poll(id, f64::from(now)) {
                sent += bytes;
            }
        }
        sent as f64 / 10_000.0 / LINK
    };
    let shares = [0, 500, 1_250, 5_000].map(carried);
    assert!((0.84..0.86).contains(&shares[0]), "{shares:.2?}");
    assert!((0.44..0.46).contains(&shares[1]), "{shares:.2?}");
    assert!(shares[2..].iter().all(|share| (0.33..0.35).contains(share)), "{shares:.2?}");
}

/// Guards against an upstream that does not read and blocks the link for all others.
#[test]
fn a_body_whose_upstream_does_not_read_leaves_the_link_to_others() {
    let mut pacer = Pacer::new(LINK * 1_000.0);
    let blocked = accept(&mut pacer, &Body { bytes: 1_000_000, due: 100.0, latest: 1e6 }, 0.0);
    assert!(matches!(pacer.poll(blocked, 0.0), Step::Send(_)));
    let other = accept(&mut pacer, &Body { bytes: 12_000, due: 900.0, latest: 600.0 }, 500.0);
    assert!(matches!(pacer.poll(other, 500.0), Step::Send(_)));
}

/// Guards against a VM that was suspended and then sends all at once, and against a clock that steps back.
#[test]
fn a_clock_that_jumps_refills_at_most_one_burst() {
    let mut pacer = Pacer::new(LINK * 1_000.0);
    let id = accept(&mut pacer, &Body { bytes: 10_000_000, due: 0.0, latest: 0.0 }, 0.0);
    for now in [0.0, 1e7, 5e6, 0.0] {
        let mut burst = 0;
        while let Step::Send(bytes) = pacer.poll(id, now) {
            burst += bytes;
        }
        assert!(burst <= 22_000, "{burst} bytes at {now}");
        assert!(matches!(pacer.poll(id, now), Step::Wait(ms) if ms < 30.0));
    }
}
