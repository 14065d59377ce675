//! How a gateway finds that its own path to the upstreams is broken, and which gateways it asks.

use route::Millis;
use route::reach::{Attempt, Change, Distance, Plan, Reach, Relays, Status};
use route::silence::{SilenceMonitor, stall_ms};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

fn reach(upstreams: usize) -> Reach {
    let mut reach = Reach::default();
    reach.set_upstreams(upstreams);
    reach
}

/// Records the same outcome for several upstreams; returns the last change.
fn record_all(reach: &mut Reach, upstreams: &[&str], attempt: Attempt, now: Millis) -> Change {
    upstreams.iter().map(|name| reach.record(name, attempt, 0, now)).last().expect("an upstream")
}

fn gateway(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7340))
}

/// Guards against blaming each upstream for the gateway's own broken path.
#[test]
fn a_gateway_whose_relays_reach_what_it_does_not_takes_its_own_path_for_broken() {
    let mut reach = reach(21);
    assert_eq!(record_all(&mut reach, &["a", "b"], Attempt::Relayed, 10), Change::None);
    assert_eq!((reach.plan("a", 20), reach.plan("z", 20)), (Plan::RelayFirst, Plan::DirectFirst));
    assert_eq!(record_all(&mut reach, &["b"], Attempt::Relayed, 20), Change::None, "the same one again");
    assert_eq!(record_all(&mut reach, &["c"], Attempt::Relayed, 30), Change::Status(Status::Relayed));
    assert_eq!(reach.plan("z", 9_000), Plan::RelayFirst);
    assert_eq!(reach.record("z", Attempt::Direct, 0, 9_000), Change::Status(Status::Direct));
    assert_eq!(reach.plan("z", 9_000), Plan::DirectFirst);
}

/// Guards against relays for upstreams that are down.
#[test]
fn relays_are_not_asked_again_for_an_upstream_that_they_did_not_reach() {
    let mut reach = reach(21);
    assert_eq!(reach.record("a", Attempt::Failed, 0, 10), Change::None);
    assert_eq!((reach.plan("a", 500), reach.plan("a", 1_010)), (Plan::DirectOnly, Plan::DirectFirst));
}

/// Guards against a gateway that relays everything because it lost a few upstreams.
#[test]
fn a_partition_from_some_upstreams_leaves_the_others_on_the_direct_way() {
    let mut reach = reach(21);
    for round in 0..20 {
        record_all(&mut reach, &["a", "b"], Attempt::Relayed, round * 100);
        assert_eq!(reach.record("c", Attempt::Direct, 0, round * 100), Change::None);
        record_all(&mut reach, &["d", "e"], Attempt::Relayed, round * 100);
        assert_eq!(reach.record("f", Attempt::Direct, 0, round * 100), Change::None);
    }
    assert_eq!((reach.plan("a", 1_950), reach.plan("c", 1_950)), (Plan::RelayFirst, Plan::DirectFirst));
}

#[test]
fn a_gateway_may_be_isolated_once_nobody_reaches_several_upstreams_and_none_answers() {
    let mut reach = reach(21);
    assert_eq!(record_all(&mut reach, &["a", "b"], Attempt::Failed, 100), Change::None);
    assert_eq!(reach.record("c", Attempt::Failed, 150, 200), Change::None, "another upstream answered");
    assert_eq!(record_all(&mut reach, &["a", "b"], Attempt::Failed, 1_600), Change::None, "just silent");
    assert_eq!(record_all(&mut reach, &["a", "b"], Attempt::Failed, 1_700), Change::MaybeIsolated);
    assert!(reach.confirm_isolated());
    assert_eq!(reach.status(), Status::Isolated);
    assert_eq!(reach.record("a", Attempt::Relayed, 0, 5_000), Change::Status(Status::Relayed));
}

#[test]
fn in_a_service_of_one_upstream_one_is_enough_to_judge() {
    let mut reach = reach(1);
    assert_eq!(reach.record("only", Attempt::Relayed, 0, 10), Change::Status(Status::Relayed));
}

/// Guards against neighbours that are cut off together and ask only each other.
#[test]
fn relays_are_near_at_first_and_then_from_wider_areas() {
    let mut relays = Relays::default();
    let distance = |number: u8| match number {
        0..10 => Distance::DataCentre,
        10..30 => Distance::Region,
        _ => Distance::Far,
    };
    let distances: HashMap<SocketAddr, Distance> =
        (0..60).map(|number| (gateway(number), distance(number))).collect();
    relays.set(distances.iter().map(|(gateway, distance)| (*gateway, *distance)).collect());
    let mut first = HashSet::new();
    for seed in 0..200_u64 {
        let selected = relays.select(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15), 0);
        assert_eq!(selected.iter().collect::<HashSet<_>>().len(), 4, "four different ones");
        assert_eq!(distances[&selected[0]], Distance::DataCentre);
        assert!(distances[&selected[1]] <= Distance::Region);
        first.insert(selected[0]);
    }
    assert_eq!(first.len(), 10, "all near ones get their part");
    (0..10).for_each(|number| relays.back_off(gateway(number), 0));
    assert!(relays.select(7, 500).iter().all(|relay| distances[relay] > Distance::DataCentre));
    assert_eq!(distances[&relays.select(7, 1_000)[0]], Distance::DataCentre);
}

#[test]
fn a_gateway_without_others_has_no_relays() {
    assert!(Relays::default().select(1, 0).is_empty());
}

/// Guards against requests that wait for hanging connections until their deadlines.
#[test]
fn a_path_on_which_nothing_arrives_is_checked_once_a_second() {
    let mut silence = SilenceMonitor::default();
    let mut due = |heard, now| silence.is_check_due(true, heard, now);
    assert!(!due(0, 1_000), "requests have just begun to wait");
    assert!(!due(1_300, 1_600) && !due(1_300, 1_799), "an upstream answered");
    assert!(due(1_300, 1_800) && !due(1_300, 2_700) && due(1_300, 2_800));
    assert!(!silence.is_check_due(false, 1_300, 9_000), "nobody waits");
    assert!(!silence.is_check_due(true, 1_300, 9_100));
}

/// Guards against streams that are taken away from an upstream which would have gone on.
#[test]
fn a_stalled_stream_is_resumed_before_its_caller_gives_up_and_no_sooner_than_upstreams_go_on() {
    assert_eq!(stall_ms(800, 400), 1_600);
    assert_eq!(stall_ms(300, 100), 1_500);
    assert_eq!(stall_ms(2_000, 400), 4_000);
    assert!(stall_ms(u64::MAX, u64::MAX) > 0);
}

/// Records direct attempts at several upstreams that got no answer while relays reached them; returns the last change.
fn record_unanswered(reach: &mut Reach, upstreams: &[&str], since: Millis, now: Millis) -> Change {
    record_all(reach, upstreams, Attempt::Unanswered { since }, now)
}

/// Guards against requests that wait on dead connections until their deadlines.
#[test]
fn a_direct_connection_is_lost_once_relays_reach_what_does_not_answer_and_nothing_arrives() {
    let mut reach = reach(21);
    record_unanswered(&mut reach, &["a", "b"], 1_000, 1_150);
    assert_eq!(reach.loss_delay_ms(900, 800, 1_150), None, "two upstreams may be cut off");
    let change = record_unanswered(&mut reach, &["c"], 1_050, 1_200);
    assert_eq!(change, Change::Status(Status::Relayed));
    assert_eq!(reach.loss_delay_ms(900, 800, 1_200), Some(200), "it has waited for 300 ms");
    assert_eq!(reach.loss_delay_ms(700, 950, 1_200), Some(250), "something arrived 250 ms ago");
    assert_eq!(reach.loss_delay_ms(500, 600, 1_200), Some(0));
    reach.record("a", Attempt::Direct, 0, 1_300);
    assert_eq!(reach.loss_delay_ms(500, 600, 1_300), None, "the path is whole");
}

/// Guards against giving up requests whose connections live on while new ones are refused.
#[test]
fn where_new_connections_are_refused_no_open_one_is_lost() {
    let mut reach = reach(21);
    record_unanswered(&mut reach, &["a", "b"], 1_000, 1_150);
    record_all(&mut reach, &["c"], Attempt::Relayed, 1_160);
    assert_eq!(reach.status(), Status::Relayed);
    assert_eq!(reach.loss_delay_ms(500, 600, 3_000), None);
    record_unanswered(&mut reach, &["a", "b", "c"], 3_000, 3_150);
    assert_eq!(reach.loss_delay_ms(500, 600, 3_150), Some(0), "now they get no answer either");
}

/// Guards against giving up requests because of attempts that were slow, on a path on which answers arrive.
#[test]
fn no_connection_is_lost_while_something_arrives_on_any_direct_one() {
    let mut reach = reach(21);
    record_unanswered(&mut reach, &["a", "b", "c"], 1_000, 1_150);
    assert_eq!(reach.loss_delay_ms(100, 1_100, 9_000), None);
    record_unanswered(&mut reach, &["a", "a", "b"], 2_000, 2_150);
    assert_eq!(reach.loss_delay_ms(100, 1_100, 9_000), None, "two different upstreams since then");
    record_unanswered(&mut reach, &["d"], 2_000, 2_150);
    assert_eq!(reach.loss_delay_ms(100, 1_100, 9_000), Some(0));
}

#[test]
fn an_isolated_gateway_gives_no_connection_up() {
    let mut reach = reach(21);
    record_unanswered(&mut reach, &["a", "b", "c"], 1_000, 1_150);
    assert!(reach.confirm_isolated());
    assert_eq!(reach.loss_delay_ms(500, 600, 3_000), None);
}
