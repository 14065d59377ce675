//! Reads that show all that had happened by a moment.

use route::barrier::{Barrier, Step};

#[test]
fn only_a_read_that_began_after_the_moment_lets_pass() {
    let mut barrier = Barrier::default();
    let first = barrier.moment();
    assert_eq!(barrier.next(first, 0), Step::Read(1));
    let second = barrier.moment();
    assert_eq!(barrier.next(second, 1), Step::Wait, "one read at a time");
    barrier.end(1, true, 10, 5);
    assert_eq!(barrier.next(first, 5), Step::Pass);
    assert_eq!(
        barrier.next(second, 5),
        Step::Pause(10),
        "it may have happened while the first read was under way"
    );
    assert_eq!(barrier.next(second, 15), Step::Read(2));
    barrier.end(2, true, 10, 16);
    assert_eq!(barrier.next(second, 16), Step::Pass);
}

#[test]
fn those_who_wait_for_a_read_that_fails_are_told_at_once() {
    let mut barrier = Barrier::default();
    let moment = barrier.moment();
    assert_eq!(barrier.next(moment, 0), Step::Read(1));
    barrier.end(1, false, 10, 5);
    assert_eq!(barrier.next(moment, 5), Step::Fail);
    let later = barrier.moment();
    assert_eq!(barrier.next(later, 15), Step::Read(2));
    barrier.end(2, true, 10, 16);
    assert_eq!(barrier.next(moment, 16), Step::Pass, "a later read shows it too");
}

#[test]
fn those_who_come_during_a_read_share_the_next_one() {
    let mut barrier = Barrier::default();
    let first = barrier.moment();
    assert_eq!(barrier.next(first, 0), Step::Read(1));
    let others: Vec<_> = (0..1_000).map(|_| barrier.moment()).collect();
    barrier.end(1, true, 0, 5);
    assert_eq!(barrier.next(others[0], 5), Step::Read(2));
    assert!(others.iter().all(|other| barrier.next(*other, 5) == Step::Wait));
    barrier.end(2, true, 0, 6);
    assert!(others.iter().all(|other| barrier.next(*other, 6) == Step::Pass));
}
