//! Request limits of upstreams, divided among gateways that share no counts.
//!
//! Guards against upstreams that get more requests than they accept from all gateways together.

mod fleet;

use fleet::{READ_INTERVAL, Received, UPSTREAMS, max_within, send, upstream, upstream_info};
use route::placement::{PlacementRequest, Placer};
use route::roster::Roster;
use route::{LimitUpdate, Millis};

/// The window in which requests are counted, in milliseconds, and what an upstream may get in it beyond its
/// limit.
const WINDOW_MS: Millis = 4_000;
const OVERSHOOT: f64 = 1.5;
const EXTRA: f64 = 5.0;
const RATES: [f64; 6] = [0.0, 0.4, 1.5, 2.2, 9.9, 40.0];

fn allowed(per_s: f64) -> u32 {
    (OVERSHOOT * per_s * WINDOW_MS as f64 / 1_000.0 + EXTRA) as u32
}

/// A placer for which each upstream has named a limit.
fn limited_placer(per_s: f64) -> Placer {
    let mut placer = unlimited_placer();
    (0..UPSTREAMS).for_each(|index| _ = placer.update_limit(&upstream(index), Some(per_s), 0, 0));
    placer
}

fn unlimited_placer() -> Placer {
    let mut placer = Placer::new("here");
    (0..UPSTREAMS).for_each(|index| placer.set(&upstream(index), upstream_info(), false));
    placer
}

/// The placer of one gateway in a fleet whose gateways all list each other.
fn fleet_member(number: usize, fleet: usize, mut placer: Placer) -> Placer {
    let names: Vec<String> = (0..fleet).map(|number| format!("vm-{number}")).collect();
    let own = &names[number];
    placer.roster.update_list(
        own,
        names.iter().map(String::as_str),
        Some(Roster::join_delay_ms(READ_INTERVAL)),
        0,
        1_000_000,
    );
    placer.roster.update_list(own, names.iter().map(String::as_str), Some(u64::MAX), 0, 1_000_000);
    placer.roster.confirm_heartbeat(0, 0, 1_000_000, READ_INTERVAL);
    placer
}

fn can_dispatch(placer: &Placer, now: Millis) -> bool {
    placer
        .choose(
            &PlacementRequest { service: "narrator", prompt: None, avoid: &[], version: None, only: None },
            now,
        )
        .is_some()
}

#[test]
fn no_upstream_gets_more_than_its_limit_allows_whatever_gateways_know_of_each_other() {
    for seed in 0..60 {
        let fleet = [1, 2, 3, 6, 12, 30][seed as usize % 6];
        let per_s = RATES[seed as usize / 6 % RATES.len()];
        // Each dispatch gets an answer that names the limit.
        let dispatch = |placer: &mut Placer, now: Millis| {
            let sent = send(placer, now);
            for index in (0..UPSTREAMS).filter(|index| sent[*index] > 0) {
                placer.update_limit(&upstream(index), Some(per_s), now, now);
            }
            sent
        };
        let received = fleet::simulate(seed, fleet, || limited_placer(per_s), dispatch);
        let most = received.iter().map(|received| max_within(received, WINDOW_MS)).max().unwrap_or(0);
        assert!(
            most <= allowed(per_s),
            "seed {seed}: {fleet} gateways sent {most}, {per_s} per second allowed"
        );
    }
}

#[test]
fn fleets_of_every_size_use_most_of_a_limit() {
    let mut lines = vec![];
    for fleet in [1, 6, 22, 87, 295, 1_400] {
        for per_s in RATES {
            let mut gateways: Vec<Placer> =
                (0..fleet).map(|number| fleet_member(number, fleet, limited_placer(per_s))).collect();
            let mut received = 0;
            for now in (0..40_000).step_by(100) {
                received += gateways.iter_mut().flat_map(|placer| send(placer, now)).sum::<u32>();
            }
            let part = f64::from(received) / (UPSTREAMS as f64 * per_s * 40.0);
            lines.push(format!(
                "{fleet} gateways, {per_s} per second: {received} requests, {part:.2} of the limit"
            ));
        }
    }
    insta::assert_debug_snapshot!(lines);
}

#[test]
fn a_limit_ends_with_an_answer_to_a_later_request_that_names_none() {
    let mut placer = unlimited_placer();
    let name = upstream(0);
    assert_eq!(placer.update_limit(&name, None, 0, 10), LimitUpdate::Unchanged);
    assert_eq!(placer.update_limit(&name, Some(2.2), 0, 100), LimitUpdate::Named);
    assert_eq!(placer.update_limit(&name, Some(2.2), 50, 200), LimitUpdate::Unchanged);
    assert_eq!(
        placer.update_limit(&name, None, 150, 210),
        LimitUpdate::Unchanged,
        "its request was dispatched before the limit was confirmed"
    );
    assert!(!placer.has_room(&name, 220), "this gateway is not listed and has no part");
    assert_eq!(placer.update_limit(&name, None, 201, 230), LimitUpdate::Lifted);
    assert!(placer.has_room(&name, 240));
}

#[test]
fn other_gateways_are_told_of_changes_and_periodically_of_an_unchanged_limit() {
    let mut placer = unlimited_placer();
    let name = upstream(0);
    let named = [
        (2.0, 0),
        (2.2, 100),
        (2.6, 200),
        (2.5, 300),
        (1.9, 400),
        (1.9, 20_300),
        (1.9, 20_400),
        (1.9, 20_500),
    ];
    let updates: Vec<LimitUpdate> =
        named.iter().map(|(per_s, now)| placer.update_limit(&name, Some(*per_s), *now, *now)).collect();
    insta::assert_debug_snapshot!(updates);
}

#[test]
fn a_limit_outlasts_the_entry_in_the_list_but_not_a_restart_of_the_upstream() {
    let mut placer = unlimited_placer();
    let name = upstream(0);
    placer.update_limit(&name, Some(0.0), 0, 0);
    placer.remove(&name);
    placer.set(&name, upstream_info(), false);
    assert!(!placer.has_room(&name, 1));
    placer.forget(&name);
    placer.set(&name, upstream_info(), false);
    assert!(placer.has_room(&name, 2));
}

#[test]
fn a_gateway_without_a_part_is_told_of_a_limit_and_of_its_end() {
    let mut placer = unlimited_placer();
    let name = upstream(0);
    assert!(placer.record_limit_hint(&name, Some(1.5), 0));
    assert!(!placer.record_limit_hint(&name, Some(1.0), 1), "only the rate changed");
    assert_eq!(placer.limit_per_s(&name), Some(1.0));
    assert!(!placer.has_room(&name, 2));
    assert!(placer.record_limit_hint(&name, None, 3));
    assert!(!placer.record_limit_hint(&name, None, 4));
    assert!(placer.has_room(&name, 5));
}

#[test]
fn gateways_without_news_check_one_after_the_other_whether_a_limit_still_holds() {
    const FLEET: usize = 20;
    let mut gateways: Vec<Placer> =
        (0..FLEET).map(|number| fleet_member(number, FLEET, limited_placer(0.1))).collect();
    let mut received = vec![];
    for now in (0..240_000).step_by(100) {
        for placer in &mut gateways {
            received.push(Received { at: now, count: send(placer, now)[0] });
        }
    }
    let mut last = 0;
    let checks: Vec<Millis> = received
        .iter()
        .filter(|received| received.count > 0)
        .map(|received| received.at - std::mem::replace(&mut last, received.at))
        .collect();
    assert!(checks.len() > 20, "{checks:?}");
    assert!(max_within(&received, WINDOW_MS) <= allowed(0.1), "{checks:?}");
}

#[test]
fn a_store_outage_leaves_upstreams_half_of_their_limits() {
    let (fleet, per_s) = (6, 9.9);
    let mut gateways: Vec<Placer> = (0..fleet)
        .map(|number| {
            let mut placer = limited_placer(per_s);
            let names: Vec<String> = (0..fleet).map(|number| format!("vm-{number}")).collect();
            placer.roster.update_list(
                &names[number],
                names.iter().map(String::as_str),
                Some(u64::MAX),
                0,
                READ_INTERVAL,
            );
            placer.roster.confirm_heartbeat(0, 0, READ_INTERVAL, READ_INTERVAL);
            placer
        })
        .collect();
    let mut received = vec![];
    for now in (20_000..40_000).step_by(100) {
        for placer in &mut gateways {
            received.push(Received { at: now, count: send(placer, now)[0] });
        }
    }
    let sum: u32 = received.iter().map(|received| received.count).sum();
    assert!((40..=99).contains(&sum), "{sum} of 198 in 20 s");
    assert!(can_dispatch(&gateways[0], 41_300) || can_dispatch(&gateways[1], 41_300));
}

#[test]
fn callers_are_told_when_the_first_upstream_accepts_a_request_again() {
    let mut placer = fleet_member(0, 1, limited_placer(2.0));
    assert_eq!(placer.wait_ms("narrator", 5_000), None, "there is room");
    assert_eq!(send(&mut placer, 5_000), [4; UPSTREAMS]);
    assert_eq!(placer.wait_ms("narrator", 5_250), Some(2_000));
    assert!(!can_dispatch(&placer, 7_249) && can_dispatch(&placer, 7_250));
}

#[test]
fn dispatches_just_before_a_limit_count_toward_it() {
    let mut placer = fleet_member(0, 1, unlimited_placer());
    let request = PlacementRequest {
        service: "narrator",
        prompt: None,
        avoid: &[upstream(1), upstream(2)],
        version: None,
        only: None,
    };
    for _ in 0..4 {
        let chosen = placer.choose(&request, 5_000).expect("an upstream");
        placer.begin(&chosen, None, 5_000);
    }
    placer.update_limit(&upstream(0), Some(2.0), 5_000, 5_100);
    assert_eq!(placer.choose(&request, 5_200), None);
}
