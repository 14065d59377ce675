//! The limit on requests to upstreams that warm up, over all gateways together, whatever each of them knows
//! of the others.
//!
//! Guards against an overload after many upstreams restart together: each of 87 gateways chose the same
//! upstream as the one with the least work, and it received 21 requests in a second, where 19.9 were allowed.

mod fleet;

use emulator::{LimitMethod, RestartScenario, simulate_restart};
use fleet::{READ_INTERVAL, UPSTREAMS, max_within, upstream, upstream_info};
use route::Millis;
use route::placement::{PlacementRequest, Placer};
use route::roster::Roster;
use route::warmup::Warmup;
use std::collections::HashMap;

const PER_S: f64 = 9.9;

fn placer_with_warmup(per_s: f64) -> Placer {
    let mut placer = Placer::new("here");
    placer.set_warmups(HashMap::from([("narrator".to_owned(), Warmup { per_s, duration_ms: 3_000 })]));
    (0..UPSTREAMS).for_each(|index| placer.set(&upstream(index), upstream_info(), false));
    placer
}

/// Sends as many requests as possible to the upstreams, all of which keep warming up. Returns how many each
/// received.
fn send(placer: &mut Placer, now: Millis) -> [u32; UPSTREAMS] {
    (0..UPSTREAMS).for_each(|index| placer.warm_up(&upstream(index), 60_000, now));
    fleet::send(placer, now)
}

#[test]
fn no_upstream_that_warms_up_gets_more_than_its_limit_whatever_gateways_know() {
    for seed in 0..40 {
        let fleet = [2, 3, 6, 12, 30][seed as usize % 5];
        let received = fleet::simulate(seed, fleet, || placer_with_warmup(PER_S), send);
        let most = received.iter().map(|received| max_within(received, 1_000)).max().unwrap_or(0);
        assert!(most <= PER_S as u32, "seed {seed}: {fleet} gateways sent {most} in a second");
        assert!(most > 0, "seed {seed}: {fleet} gateways sent nothing");
    }
}

/// All requests that the upstreams receive per second after their warm-up began, from `fleet` gateways that
/// know each other.
fn received_per_second(fleet: usize, per_s: f64) -> Vec<u32> {
    let names: Vec<String> = (0..fleet).map(|index| format!("vm-{index}")).collect();
    let mut gateways: Vec<Placer> = names.iter().map(|_| placer_with_warmup(per_s)).collect();
    for (name, placer) in names.iter().zip(&mut gateways) {
        let up_ms = Roster::join_delay_ms(READ_INTERVAL);
        placer.roster.update_list(name, names.iter().map(String::as_str), Some(up_ms), 0, 100_000);
        placer.roster.update_list(name, names.iter().map(String::as_str), Some(u64::MAX), 0, 100_000);
        placer.roster.confirm_heartbeat(0, 0, 100_000, READ_INTERVAL);
    }
    let mut seconds = vec![0; 5];
    for now in (0..5_000).step_by(50) {
        for placer in &mut gateways {
            seconds[now as usize / 1_000] += send(placer, now).iter().sum::<u32>();
        }
    }
    seconds
}

#[test]
fn fleets_of_every_size_use_most_of_the_limit_of_upstreams_that_warm_up() {
    let mut lines = vec![];
    for fleet in [1, 3, 6, 22, 87, 295] {
        for per_s in [1.0, 9.9, 40.0] {
            let all = (UPSTREAMS as f64 * per_s * 5.0) as u32;
            lines.push(format!(
                "{fleet} gateways, {per_s} per second: {:?} of {all}",
                received_per_second(fleet, per_s)
            ));
        }
    }
    insta::assert_debug_snapshot!(lines);
}

#[test]
fn a_warm_up_ends_after_the_maximum_even_if_a_day_is_reported() {
    let mut placer = placer_with_warmup(PER_S);
    let request =
        PlacementRequest { service: "narrator", prompt: None, avoid: &[], version: None, only: None };
    for index in 0..UPSTREAMS {
        placer.warm_up(&upstream(index), 86_400_000, 1_000);
    }
    assert_eq!(placer.choose(&request, 1_001), None, "this gateway has read no list and has no part");
    assert!(placer.choose(&request, 61_000).is_some());
}

#[test]
fn a_rate_of_zero_still_allows_one_request_per_second() {
    assert_eq!(received_per_second(3, 0.0), received_per_second(3, 1.0));
}

#[test]
fn an_upstream_that_may_have_restarted_counts_as_warming_up() {
    let mut placer = placer_with_warmup(PER_S);
    for _ in 0..3 {
        placer.record_failure("engine-0", 100);
    }
    placer.record_success("engine-1", None);
    let request = |avoid: &'static [String]| PlacementRequest {
        service: "narrator",
        prompt: None,
        avoid,
        version: None,
        only: None,
    };
    let chosen = |placer: &Placer, now| placer.choose(&request(&[]), now).map(|chosen| chosen.upstream);
    (1..UPSTREAMS).for_each(|index| placer.warm_up(&upstream(index), 2_000, 1_200));
    assert_eq!(chosen(&placer, 1_300).as_deref(), Some("engine-0"), "all others are known to warm up");
    (1..UPSTREAMS).for_each(|index| placer.forget(&upstream(index)));
    placer.set("engine-1", upstream_info(), false);
    for _ in 0..20 {
        assert_eq!(
            chosen(&placer, 1_300).as_deref(),
            Some("engine-1"),
            "the ejection of engine-0 is over, but it may still be warming up"
        );
        let chosen = placer.choose(&request(&[]), 1_300).expect("an upstream");
        placer.begin(&chosen, None, 1_300);
    }
    assert_eq!(chosen(&placer, 4_200).as_deref(), Some("engine-0"));
}

#[test]
fn if_all_upstreams_may_have_restarted_they_are_tried() {
    let mut placer = placer_with_warmup(PER_S);
    for index in 0..UPSTREAMS {
        (0..3).for_each(|_| _ = placer.record_failure(&upstream(index), 100));
    }
    let request =
        PlacementRequest { service: "narrator", prompt: None, avoid: &[], version: None, only: None };
    assert!(placer.choose(&request, 1_200).is_some(), "this gateway has read no list and has no part");
}

#[test]
fn an_evacuated_data_centre_gets_no_requests_and_warms_up_when_it_is_restored() {
    let mut placer = placer_with_warmup(PER_S);
    let request =
        PlacementRequest { service: "narrator", prompt: None, avoid: &[], version: None, only: None };
    assert!(placer.evacuate("here") && !placer.evacuate("here"));
    assert_eq!(placer.choose(&request, 0), None);
    assert!(!placer.admits("engine-0", 0));
    assert!(!placer.restore("there", 0), "it was not evacuated");
    assert!(placer.restore("here", 10));
    assert!(placer.admits("engine-0", 10));
    assert!(!placer.has_room("engine-0", 10), "the other gateways may not know that it was restored");
    assert!(placer.choose(&request, 3_010).is_some());
}

/// The most requests that one upstream receives in a second when a third of them restart together, over all
/// seeds.
fn worst_return(gateways: usize, bound: LimitMethod, seeds: std::ops::Range<u64>) -> u32 {
    let scene =
        RestartScenario { gateways, upstreams: 30, per_s: 420.0, method: bound, isolated: gateways / 6 };
    seeds.map(|seed| simulate_restart(seed, &scene).max_per_second).max().unwrap_or(0)
}

/// With only its own counts at each gateway, the worst second of 20 such restarts has 28 requests, where 19.9
/// are allowed and 9.9 can be handled. With the hash ring, it has 9.
#[test]
fn in_a_thousand_restarts_of_a_third_of_all_upstreams_none_gets_more_than_its_limit() {
    assert!(worst_return(87, LimitMethod::Ring, 0..1_000) <= PER_S as u32);
    assert!(worst_return(87, LimitMethod::None, 0..10) > 20);
}
