//! What a gateway that is stopping still begins.

use route::drain::Drain;

const FAR: u64 = 60_000;

#[test]
fn a_run_that_ends_before_the_stop_may_begin() {
    let drain = Drain::until(7_300);
    assert!(drain.admits(1_000.0, FAR, 2_600));
    assert!(drain.admits(0.0, FAR, 7_300));
}

/// Guards against runs that are cut off when their gateway ends.
#[test]
fn a_run_that_may_outlast_the_stop_does_not_begin() {
    let drain = Drain::until(3_300);
    assert!(!drain.admits(1_650.0, FAR, 1_650));
    assert!(!drain.admits(1_650.0, FAR, 900));
    assert!(!drain.admits(f64::INFINITY, FAR, 0));
    assert!(!drain.admits(0.0, FAR, 3_301));
}

#[test]
fn a_request_whose_time_is_over_before_the_stop_may_begin() {
    let drain = Drain::until(3_300);
    assert!(drain.admits(9_000.0, 3_300, 2_000));
    assert!(!drain.admits(9_000.0, 3_301, 2_000));
}
