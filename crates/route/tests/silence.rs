//! When a run from which nothing arrives is given up.

use route::Millis;
use route::silence::{Contact, Decision, Probe};

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
            Decision::GiveUp | Decision::Gone => return Some(now),
            Decision::Probe if probing.is_none() => probing = Some(now + 100),
            Decision::Probe | Decision::Wait(_) => {}
        }
    }
    None
}

#[test]
fn a_run_is_given_up_in_time_if_its_upstream_answers_others() {
    let events: Vec<Millis> = (0..5_000).step_by(100).collect();
    assert_eq!(given_up_at(&events, |_| unreachable!("it is heard"), 5_000), Some(PATIENCE));
}

#[test]
fn a_run_is_given_up_in_time_if_its_upstream_answers_a_probe_or_is_gone() {
    assert_eq!(given_up_at(&[], |_| Probe::Answers, 5_000), Some(PATIENCE));
    assert_eq!(given_up_at(&[], |_| Probe::Gone, 5_000), Some(PATIENCE));
}

#[test]
fn a_run_is_kept_while_its_upstream_is_silent() {
    assert_eq!(given_up_at(&[], |_| Probe::Silent, 60_000), None);
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
fn a_run_is_given_up_soon_after_its_silent_upstream_has_ended() {
    let ended = given_up_at(&[], |now| if now < 2_000 { Probe::Silent } else { Probe::Gone }, 9_000);
    assert!(ended.is_some_and(|ended| (2_000..2_900).contains(&ended)), "{ended:?}");
}

/// Guards against a second run that begins before the upstream of the first one has noticed that it was closed.
#[test]
fn an_upstream_has_noticed_a_close_once_it_has_answered_after_it() {
    let mut contact = Contact::default();
    contact.record_answer(0, 1_010);
    assert!(!contact.has_noticed(1_000), "the bytes may have been on their way");
    contact.record_probe(Probe::Silent, 1_100, 1_350);
    assert!(!contact.has_noticed(1_000), "it is suspended");
    contact.record_probe(Probe::Answers, 999, 1_200);
    assert!(!contact.has_noticed(1_000), "the probe may have been answered before");
    contact.record_probe(Probe::Answers, 1_000, 1_400);
    assert!(contact.has_noticed(1_000));
    assert!(!contact.has_noticed(1_300));
    contact.record_probe(Probe::Gone, 1_500, 1_501);
    assert!(contact.has_noticed(1_300), "it is gone");
    contact.record_answer(0, 1_700);
    assert!(contact.has_noticed(1_600), "others are answered");
}

/// Guards against an upstream that is taken for gone because its queue of connections is full while it is suspended.
#[test]
fn an_upstream_that_accepts_no_connection_is_taken_for_gone_late() {
    assert_eq!(given_up_at(&[], |_| Probe::Unreached, 60_000), None, "its open connection would break");
    let mut contact = Contact::default();
    for began in (1_000..4_500).step_by(350) {
        contact.record_probe(Probe::Unreached, began, began + 250);
        assert_eq!(contact.has_noticed(900), began + 250 >= 4_500, "{began}");
    }
    contact.record_probe(Probe::Silent, 5_000, 5_250);
    contact.record_probe(Probe::Unreached, 5_300, 5_550);
    assert!(!contact.has_noticed(900), "its host has answered since");
}
