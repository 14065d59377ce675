//! When callers return that were refused during an outage.
//!
//! Guards against a `Retry-After` that is the same for all: the callers return within as short a time as they
//! were refused in, most of them are refused again, and none has time for another retry.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use route::Millis;
use route::returns::{Cause, Group, MAX_DELAY_MS, Refused, Returns};

/// The callers that are refused within the first second of the outage.
const CALLERS: usize = 2_000;
const OUTAGE_MS: Millis = 3_000;
/// The rate at which requests are admitted outside of the outage, and the burst that is admitted at once.
const ADMITTED_PER_S: f64 = 400.0;
const BURST: f64 = 20.0;
/// The time before the outage.
const BEFORE_MS: Millis = 40_000;
/// One gateway gets this share of all requests, since a heavy caller uses only that one. The others get equal
/// parts of the rest.
const HEAVY_SHARE: f64 = 0.15;

/// The refused requests of callers that wait as long as they are asked to.
fn refused(gateways: u64) -> Refused<'static> {
    Refused {
        cause: Cause::BudgetUnavailable,
        group: Group::Team("desk"),
        expected_ms: OUTAGE_MS,
        honoured_ms: 20_000,
        gateways,
    }
}

fn pick_gateway(gateways: usize, random: &mut StdRng) -> usize {
    match random.gen_bool(HEAVY_SHARE) {
        true => 0,
        false => random.gen_range(0..gateways),
    }
}

/// The share of callers that are admitted when they return at `times`.
fn share_admitted(mut times: Vec<Millis>) -> f64 {
    times.sort_unstable();
    let (mut tokens, mut last, mut admitted) = (BURST, 0, 0);
    let count = times.len();
    for time in times {
        tokens = (tokens + (time - last) as f64 * ADMITTED_PER_S / 1_000.0).min(BURST);
        last = time;
        if time >= BEFORE_MS + OUTAGE_MS && tokens >= 1.0 {
            tokens -= 1.0;
            admitted += 1;
        }
    }
    f64::from(admitted) / count as f64
}

/// The times at which the refused callers return, as each gateway decides from what it saw.
fn return_times(gateways: usize, seed: u64) -> Vec<Millis> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = vec![Returns::default(); gateways];
    let mut now = 0.0;
    while now < BEFORE_MS as f64 {
        let gateway = pick_gateway(gateways, &mut random);
        fleet[gateway].record_admitted(Group::Team("desk"), now as Millis);
        now += 1_000.0 / ADMITTED_PER_S;
    }
    let refused = refused(gateways as u64);
    let arrivals = (0..CALLERS).map(|caller| BEFORE_MS + (caller * 1_000 / CALLERS) as Millis);
    arrivals
        .map(|now| {
            let gateway = pick_gateway(gateways, &mut random);
            now + fleet[gateway].retry_after_ms(&refused, now, random.r#gen())
        })
        .collect()
}

#[test]
fn most_callers_that_an_outage_refused_are_admitted_at_their_first_return() {
    let constant = (0..CALLERS).map(|caller| BEFORE_MS + (caller * 1_000 / CALLERS) as Millis + OUTAGE_MS);
    let constant = share_admitted(constant.collect());
    let mut shares = vec![];
    for (gateways, expected) in [(6, 0.98), (71, 0.93), (1_400, 0.85)] {
        for seed in 0..5 {
            let share = share_admitted(return_times(gateways, seed));
            shares.push((gateways, seed, share, expected));
        }
    }
    println!("constant: {constant:.3}, queues: {shares:.3?}");
    assert!(constant < 0.25, "the load shows no herd: {constant}");
    for (gateways, seed, share, expected) in shares {
        assert!(
            share >= expected,
            "{share:.3} at {gateways} gateways, seed {seed}; a constant: {constant:.3}"
        );
    }
}

/// Guards against times that are useless to the caller: before the cause ends, or so late that the caller has
/// no time left for the request.
#[test]
fn return_times_stay_between_the_end_of_the_cause_and_four_seconds_later() {
    let mut random = StdRng::seed_from_u64(1);
    for gateways in [1, 71, 1_400] {
        let mut returns = Returns::default();
        let mut now = 0;
        for _ in 0..20_000 {
            now += random.gen_range(0..5);
            let group = Group::Service("engines");
            if random.gen_bool(0.3) {
                returns.record_admitted(group, now);
            }
            let expected_ms = random.gen_range(0..6_000);
            let honoured_ms = random.gen_range(0..12_000);
            let refused = Refused { cause: Cause::NotRun, group, expected_ms, honoured_ms, gateways };
            let ms = returns.retry_after_ms(&refused, now, random.r#gen());
            assert!(ms >= expected_ms, "{ms} of {refused:?}");
            assert!(ms <= expected_ms + MAX_DELAY_MS, "{ms} of {refused:?}");
            assert!(
                ms <= honoured_ms.max(expected_ms),
                "the caller returns sooner than it is asked to: {ms}"
            );
        }
    }
}

/// Guards against a single refusal that waits as if it were the last of many.
#[test]
fn the_first_refusals_wait_for_less_than_a_second_longer_than_the_cause() {
    for gateways in [1, 6, 71] {
        for admitted in [0, 1, 40] {
            let mut returns = Returns::default();
            (0..admitted).for_each(|index| returns.record_admitted(Group::Team("desk"), index * 50));
            let ms = returns.retry_after_ms(&refused(gateways), 10_000, u64::MAX / 2);
            assert!(ms < OUTAGE_MS + 1_000, "{ms} at {gateways} gateways after {admitted} requests");
        }
    }
}

/// Guards against requests that can't be retried in time and delay those that can.
#[test]
fn callers_that_do_not_wait_for_the_end_of_the_cause_get_its_true_end_and_no_place() {
    let mut returns = Returns::default();
    let hasty = Refused { honoured_ms: 1_000, ..refused(6) };
    for _ in 0..10_000 {
        assert_eq!(returns.retry_after_ms(&hasty, 0, 5), OUTAGE_MS);
    }
    assert!(returns.retry_after_ms(&refused(6), 0, 0) < OUTAGE_MS + 100);
}

/// Guards against callers of one team that wait behind those of another, or behind those of another cause.
#[test]
fn each_cause_and_team_has_a_queue_of_its_own() {
    let mut returns = Returns::default();
    let ask = |returns: &mut Returns, refused: Refused<'static>| returns.retry_after_ms(&refused, 0, 0);
    let desk = refused(6);
    for _ in 0..20 {
        ask(&mut returns, desk);
    }
    assert!(ask(&mut returns, desk) > OUTAGE_MS);
    let others = [
        Refused { group: Group::Team("press"), ..desk },
        Refused { group: Group::Service("desk"), ..desk },
        Refused { cause: Cause::BudgetHeldElsewhere, ..desk },
    ];
    for other in others {
        assert_eq!(ask(&mut returns, other), OUTAGE_MS, "{other:?}");
    }
}

/// Guards against memory that grows with every team that ever sent a request.
#[test]
fn the_state_of_idle_teams_is_dropped() {
    let mut returns = Returns::default();
    for team in 0..1_000 {
        let name = format!("team-{team}");
        returns.record_admitted(Group::Team(&name), 0);
        returns.retry_after_ms(&Refused { group: Group::Team(&name), ..refused(6) }, 0, 0);
    }
    returns.record_admitted(Group::Team("desk"), 59_000);
    returns.expire(59_000);
    assert_eq!(returns.group_count(), 1_001);
    returns.expire(61_000);
    assert_eq!(returns.group_count(), 1);
}
