//! When a run from which nothing arrives is given up.

use route::Millis;
use route::silence::{Close, ClosedRun, Contact, Decision, Probe, Proof, RunState};

/// How long a run may be overdue, in milliseconds.
const PATIENCE: Millis = 1_000;

/// When a run that began at 0 is given up, if each probe takes 100 ms and finds what `probe` says at its time, and other
/// streams of the upstream bring an event at each of `events`.
fn given_up_at(events: &[Millis], probe: impl Fn(Millis) -> Probe, until: Millis) -> Option<Millis> {
    let mut contact = Contact::default();
    let mut heard = 0;
    let mut probing = None;
    for now in 0..until {
        if events.contains(&now) {
            contact.record_answer(now - heard, now);
            heard = now;
        }
        if probing == Some(now) {
            contact.record_probe(probe(now), now - 100, now);
            probing = None;
        }
        match contact.decide(0, PATIENCE, now) {
            Decision::Overdue | Decision::Gone => return Some(now),
            Decision::Probe if probing.is_none() => probing = Some(now + 100),
            Decision::Probe | Decision::Wait(_) => {}
        }
    }
    None
}

#[test]
fn a_run_is_overdue_in_time_if_its_upstream_answers_others() {
    let events: Vec<Millis> = (0..5_000).step_by(100).collect();
    assert_eq!(given_up_at(&events, |_| unreachable!("it is heard"), 5_000), Some(PATIENCE));
}

#[test]
fn a_run_is_overdue_in_time_if_its_upstream_answers_a_probe_or_the_path_is_lost() {
    assert_eq!(given_up_at(&[], |_| Probe::Answers, 5_000), Some(PATIENCE));
    assert_eq!(given_up_at(&[], |_| Probe::Lost, 5_000), Some(PATIENCE));
}

#[test]
fn a_run_is_kept_while_its_upstream_is_silent() {
    assert_eq!(given_up_at(&[], |_| Probe::Silent, 60_000), None);
}

/// Guards against a second run while the first one is finished by a process that does not listen any more.
#[test]
fn a_run_is_kept_while_its_connection_is_open_though_the_address_refuses_others() {
    assert_eq!(given_up_at(&[], |_| Probe::Refuses, 60_000), None);
    let mut contact = Contact::default();
    contact.record_probe(Probe::Refuses, 1_500, 1_501);
    for (close, is_leaving, is_over) in [
        (Close::ByGateway, true, false),
        (Close::ByGateway, false, true),
        (Close::Broken, true, true),
        (Close::Broken, false, true),
    ] {
        let run = ClosedRun { closed: 1_000, close, is_leaving, stops_at: None };
        let expected = if is_over { RunState::Over(Proof::Gone) } else { RunState::Alive };
        assert_eq!(contact.state_of(&run, 1_501), expected, "{run:?}");
    }
}

/// Guards against runs that are given up at the moment at which their upstream goes on with them.
#[test]
fn a_run_gets_its_time_again_when_its_upstream_goes_on() {
    let probe = |now| if now < 1_400 { Probe::Silent } else { Probe::Answers };
    let silent_until = |resumed: Millis| (resumed..9_000).step_by(100).collect::<Vec<Millis>>();
    assert_eq!(
        given_up_at(&silent_until(1_400), probe, 9_000),
        Some(1_400 + PATIENCE),
        "other streams go on"
    );
    let answered = given_up_at(&[], probe, 9_000).expect("given up");
    assert!((1_400 + PATIENCE..1_400 + 2 * PATIENCE).contains(&answered), "a probe is answered: {answered}");
}

#[test]
fn a_run_is_given_up_soon_after_the_path_to_its_silent_upstream_is_lost() {
    let ended = given_up_at(&[], |now| if now < 2_000 { Probe::Silent } else { Probe::Lost }, 9_000);
    assert!(ended.is_some_and(|ended| (2_000..2_900).contains(&ended)), "{ended:?}");
}

/// What is known of a run that was closed at `closed`, of which the upstream has not ended the connection.
fn state(contact: &Contact, closed: Millis, now: Millis) -> RunState {
    contact.state_of(&ClosedRun { closed, close: Close::ByGateway, is_leaving: false, stops_at: None }, now)
}

/// Guards against a second run that begins while the first one may go on, because its upstream answers others.
#[test]
fn an_upstream_that_answers_after_a_close_is_alive_and_its_run_is_not_over() {
    let mut contact = Contact::default();
    contact.record_answer(0, 1_010);
    assert_eq!(state(&contact, 1_000, 1_010), RunState::Unknown, "the bytes may have been on their way");
    contact.record_probe(Probe::Silent, 1_100, 1_350);
    assert_eq!(state(&contact, 1_000, 1_350), RunState::Unknown, "it is suspended");
    contact.record_probe(Probe::Answers, 999, 1_400);
    assert_eq!(state(&contact, 1_000, 1_400), RunState::Unknown, "it may have been answered before");
    contact.record_probe(Probe::Answers, 1_000, 1_450);
    assert_eq!(state(&contact, 1_000, 1_450), RunState::Alive);
    assert_eq!(state(&contact, 1_300, 1_450), RunState::Unknown);
    contact.record_answer(0, 1_700);
    assert_eq!(state(&contact, 1_600, 60_000), RunState::Alive, "others are answered");
    contact.record_probe(Probe::Refuses, 1_800, 1_801);
    assert_eq!(state(&contact, 1_600, 1_801), RunState::Over(Proof::Gone));
}

#[test]
fn a_closed_run_is_over_once_its_upstream_closes_the_connection_or_its_time_has_passed() {
    let mut contact = Contact::default();
    let mut run = ClosedRun { closed: 1_000, close: Close::ByUpstream, is_leaving: false, stops_at: None };
    assert_eq!(contact.state_of(&run, 1_001), RunState::Over(Proof::ClosedByUpstream));
    run = ClosedRun { close: Close::ByGateway, stops_at: Some(3_000), ..run };
    contact.record_probe(Probe::Answers, 1_500, 1_510);
    assert_eq!(contact.state_of(&run, 3_000), RunState::Alive, "it read the request a little later");
    assert_eq!(contact.state_of(&run, 3_050), RunState::Unknown, "it may be suspended");
    contact.record_probe(Probe::Answers, 3_040, 3_060);
    assert_eq!(
        contact.state_of(&run, 3_060),
        RunState::Unknown,
        "it may have been asked before its time was over"
    );
    contact.record_probe(Probe::Answers, 3_060, 3_070);
    assert_eq!(contact.state_of(&run, 3_070), RunState::Over(Proof::Deadline));
}

/// Guards against an upstream that is taken for gone because its queue of connections is full while it is suspended.
#[test]
fn an_upstream_that_accepts_no_connection_is_taken_for_gone_late() {
    assert_eq!(given_up_at(&[], |_| Probe::Unreached, 60_000), None, "its open connection would break");
    let mut contact = Contact::default();
    for began in (1_000..4_500).step_by(350) {
        let now = began + 250;
        contact.record_probe(Probe::Unreached, began, now);
        let is_over = state(&contact, 900, now) == RunState::Over(Proof::Gone);
        assert_eq!(is_over, now >= 4_500, "{began}");
    }
    contact.record_probe(Probe::Silent, 5_000, 5_250);
    contact.record_probe(Probe::Unreached, 5_300, 5_550);
    assert_eq!(state(&contact, 900, 5_550), RunState::Unknown, "its host has answered since");
}
