//! Placement in large fleets: gateways that know nothing of each other's dispatches must spread over the
//! upstreams, at a cost that doesn't grow with the fleet.

use route::Millis;
use route::placement::{DispatchHint, Placement, PlacementRequest, Placer, Prompt, PromptPart, UpstreamInfo};
use route::version::Version;
use std::collections::HashMap;

const GATEWAYS: usize = 300;
const UPSTREAMS: usize = 10 * GATEWAYS;
const DATA_CENTRES: usize = 5;
/// The most requests that one upstream may get if gateways choose at random among ten times as many.
const MAX_RANDOM: usize = 8;
/// How often a gateway reads the list of gateways, in milliseconds.
const READ_INTERVAL: Millis = 60_000;

const CALL: PlacementRequest<'static> =
    PlacementRequest { service: "engines", prompt: None, avoid: &[], version: None, only: None };

fn data_centre(index: usize) -> String {
    format!("dc-{}", index % DATA_CENTRES)
}

fn upstream(index: usize) -> String {
    format!("engine-{index:05}")
}

/// A gateway that has just read the list of gateways and of upstreams.
fn gateway(index: usize, gateways: usize, upstreams: usize) -> Placer {
    let name = |index: usize| format!("vm-{index}");
    let mut placer = Placer::new(&data_centre(index)).with_gateway(&name(index));
    for index in 0..upstreams {
        let info = UpstreamInfo {
            service: "engines".to_owned(),
            data_centre: data_centre(index),
            slots: 32,
            version: Version::default(),
        };
        placer.set(&upstream(index), info, false);
    }
    let names: Vec<String> = (0..gateways).map(name).collect();
    placer.roster.update_list(&name(index), names.iter().map(String::as_str), None, 0, READ_INTERVAL);
    placer
}

fn prompt(parts: &[PromptPart]) -> Prompt<'_> {
    let input = parts.iter().map(|part| u64::from(part.tokens)).sum();
    Prompt { parts, input, events: 24, target_ms: 1_000, gap_ms: 800 }
}

/// Places `count` requests one after the other, none of which ends.
fn place(placer: &mut Placer, prompt: Option<Prompt<'_>>, count: usize) -> Vec<Placement> {
    let request = PlacementRequest { prompt, ..CALL };
    let place = |_| {
        let chosen = placer.choose(&request, 0).expect("an upstream");
        placer.begin(&chosen, prompt.as_ref(), 0);
        chosen
    };
    (0..count).map(place).collect()
}

/// The number of requests that each upstream gets if each gateway places two.
fn placed_by_all(prompt: Option<Prompt<'_>>) -> HashMap<String, usize> {
    let mut received = HashMap::new();
    for index in 0..GATEWAYS {
        for placement in place(&mut gateway(index, GATEWAYS, UPSTREAMS), prompt, 2) {
            *received.entry(placement.upstream).or_default() += 1;
        }
    }
    received
}

fn max_received(received: &HashMap<String, usize>) -> usize {
    received.values().copied().max().unwrap_or(0)
}

#[test]
fn gateways_without_knowledge_of_each_other_spread_over_idle_upstreams() {
    let unshared = [PromptPart { id: 1, tokens: 1_800 }];
    for prompt in [None, Some(prompt(&unshared))] {
        let received = placed_by_all(prompt);
        assert!(max_received(&received) <= MAX_RANDOM, "{prompt:?}: {}", max_received(&received));
    }
}

#[test]
fn each_upstream_is_considered_by_some_gateways() {
    // Each gateway places as many requests as it considers upstreams.
    let mut considered: HashMap<String, usize> = HashMap::new();
    for index in 0..GATEWAYS {
        let mut placer = gateway(index, GATEWAYS, UPSTREAMS);
        let candidates = placer.choose(&CALL, 0).expect("an upstream").candidates;
        for placement in place(&mut placer, None, candidates) {
            *considered.entry(placement.upstream).or_default() += 1;
        }
    }
    assert!(considered.len() == UPSTREAMS, "{} of {UPSTREAMS}", considered.len());
}

#[test]
fn the_number_of_candidates_does_not_grow_with_the_fleet() {
    let candidates = |gateways: usize| {
        let placer = gateway(0, gateways, 10 * gateways);
        placer.choose(&CALL, 0).expect("an upstream").candidates
    };
    let small = candidates(GATEWAYS / 10);
    assert!(candidates(GATEWAYS) <= small && candidates(2_000) <= small, "more than {small}");
}

#[test]
fn all_gateways_prefer_the_same_upstream_for_a_shared_part_in_a_large_fleet() {
    let parts = |id| [PromptPart { id, tokens: 5_382 }, PromptPart { id: id + 1, tokens: 6_610 }];
    let mut placers: Vec<Placer> =
        (0..DATA_CENTRES).map(|index| gateway(index, GATEWAYS, UPSTREAMS)).collect();
    for id in 0..50 {
        let parts = parts(1_000 * id);
        let mut homes: Vec<String> = placers
            .iter_mut()
            .map(|placer| {
                let prompt = Some(prompt(&parts));
                placer.choose(&PlacementRequest { prompt, ..CALL }, 0).expect("an upstream").upstream
            })
            .collect();
        homes.dedup();
        assert!(homes.len() == 1, "part {id}: {homes:?}");
    }
}

#[test]
fn upstreams_that_fail_fast_do_not_attract_the_fleet() {
    // One in a hundred upstreams fails each request at once, and so always looks idle.
    let is_failing = |name: &str| name.ends_with("00");
    let mut received: HashMap<String, usize> = HashMap::new();
    for index in 0..GATEWAYS {
        let mut placer = gateway(index, GATEWAYS, UPSTREAMS);
        for now in (0..20_000).step_by(1_000) {
            let chosen = placer.choose(&CALL, now).expect("an upstream");
            let dispatch = placer.begin(&chosen, None, now);
            placer.end(&chosen.upstream, dispatch, now);
            *received.entry(chosen.upstream.clone()).or_default() += 1;
            if is_failing(&chosen.upstream) {
                placer.record_failure(&chosen.upstream, now);
            } else {
                placer.record_success(&chosen.upstream, Some(15.0));
            }
        }
    }
    let failing = received.iter().filter(|(name, _)| is_failing(name));
    let (sent, all): (usize, usize) = (failing.map(|(_, count)| count).sum(), received.values().sum());
    assert!(sent * 100 <= all * 2, "{sent} of {all} requests went to one in a hundred upstreams");
}

#[test]
fn an_engine_that_is_reported_to_be_fast_does_not_attract_the_fleet() {
    let report = |event_ms| DispatchHint {
        unread: 0,
        lasts_ms: 100.0,
        event_ms: Some(event_ms),
        pauses_ms: Default::default(),
        since: Default::default(),
    };
    let unshared = [PromptPart { id: 1, tokens: 628 }];
    let mut received = HashMap::new();
    for index in 0..GATEWAYS {
        let mut placer = gateway(index, GATEWAYS, UPSTREAMS);
        (0..UPSTREAMS)
            .step_by(10)
            .for_each(|other| placer.record_dispatch_hint(&upstream(other), &report(20.0), 0));
        placer.record_dispatch_hint(&upstream(7), &report(5.0), 0);
        for placement in place(&mut placer, Some(prompt(&unshared)), 1) {
            *received.entry(placement.upstream).or_default() += 1;
        }
    }
    // Some 16 gateways consider the engine.
    assert!(max_received(&received) <= 48, "{} of {GATEWAYS}", max_received(&received));
}
