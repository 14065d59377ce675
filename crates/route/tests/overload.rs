//! Tests how long an overloaded gateway stays unready.

use route::overload::{Closing, Policy};
use route::{LoadSample, Millis, OverloadMonitor, ReadinessChange};

const LINK_BYTES_PER_S: f64 = 1_250_000.0;
const SAMPLE_MS: Millis = 100;

/// A monitor with the time of its next sample.
struct Played {
    monitor: OverloadMonitor,
    now: Millis,
}

impl Played {
    fn new(link_bytes_per_s: Option<f64>) -> Played {
        Played { monitor: OverloadMonitor::new(link_bytes_per_s), now: 0 }
    }

    fn step(&mut self, utilization: f64, timer_delay_ms: f64) -> ReadinessChange {
        let at = self.now;
        self.now += SAMPLE_MS;
        let link_bytes = (utilization * LINK_BYTES_PER_S * SAMPLE_MS as f64 / 1_000.0) as u64;
        self.monitor.record(LoadSample { at, timer_delay_ms, link_bytes })
    }

    /// Plays a load for a time, and returns the last change of the readiness.
    fn play(&mut self, duration_ms: Millis, utilization: f64, timer_delay_ms: f64) -> ReadinessChange {
        (0..duration_ms / SAMPLE_MS)
            .map(|_| self.step(utilization, timer_delay_ms))
            .filter(|change| *change != ReadinessChange::Unchanged)
            .last()
            .unwrap_or(ReadinessChange::Unchanged)
    }

    /// Plays a load until the gateway becomes unready, and then none until it returns. Returns how long it was
    /// said to be unready at least.
    fn become_unready_and_return(&mut self, utilization: f64, timer_delay_ms: f64) -> Millis {
        let min_unready_ms = (0..20)
            .find_map(|_| match self.step(utilization, timer_delay_ms) {
                ReadinessChange::BecameUnready { min_unready_ms } => Some(min_unready_ms),
                _ => None,
            })
            .expect("the gateway becomes unready");
        let change = self.play(min_unready_ms + SAMPLE_MS, 0.0, 0.0);
        assert_eq!(change, ReadinessChange::BecameReady { unready_ms: min_unready_ms });
        min_unready_ms
    }
}

/// Guards against a caller that gets back to the same gateway every three seconds.
#[test]
fn unready_periods_double_up_to_a_limit_and_start_again_after_calm() {
    let mut played = Played::new(Some(LINK_BYTES_PER_S));
    let periods = [(); 5].map(|()| played.become_unready_and_return(1.0, 0.0));
    assert_eq!(periods, [3_000, 6_000, 12_000, 12_000, 12_000]);
    played.play(10_000, 0.2, 0.0);
    assert_eq!(played.become_unready_and_return(1.0, 0.0), 3_000);
}

/// Guards against another behaviour of gateways whose link is not known or is never full.
#[test]
fn unready_periods_for_late_timers_do_not_grow() {
    for link in [None, Some(LINK_BYTES_PER_S), Some(100.0 * LINK_BYTES_PER_S)] {
        let mut played = Played::new(link);
        let periods = [(); 3].map(|()| played.become_unready_and_return(0.0, 80.0));
        assert_eq!(periods, [3_000; 3], "with the link {link:?}");
        played.play(1_000, 0.0, 80.0);
        assert!(played.monitor.should_close_connection(0.29) && !played.monitor.should_close_connection(0.3));
    }
}

/// Guards against gateways that stay unready for long with little load, which would make up more than half
/// of a data centre.
#[test]
fn a_gateway_that_is_unready_for_long_returns_with_a_moderate_load() {
    let mut played = Played::new(Some(LINK_BYTES_PER_S));
    played.play(1_000, 1.0, 0.0);
    assert_eq!(played.play(10_000, 0.6, 0.0), ReadinessChange::Unchanged);
    let change = played.play(2_000, 0.6, 0.0);
    assert!(matches!(change, ReadinessChange::BecameReady { unready_ms: 12_000 }), "{change:?}");
    played.play(1_000, 1.0, 0.0);
    played.play(60_000, 0.68, 0.0);
    assert!(played.monitor.is_unready(), "it carries more than it may keep");
}

#[test]
fn the_closed_share_grows_with_the_excess() {
    let mut played = Played::new(Some(LINK_BYTES_PER_S));
    let is_closed = |played: &Played, random| played.monitor.should_close_connection(random);
    played.play(2_000, 1.0, 0.0);
    assert!(is_closed(&played, 0.39) && !is_closed(&played, 0.41));
    played.play(2_000, 0.82, 0.0);
    assert!(is_closed(&played, 0.15) && !is_closed(&played, 0.25));
    played.play(2_000, 0.6, 0.0);
    assert!(!is_closed(&played, 0.0));
}

/// Guards against an unready period that outlasts the suspension of the VM, and against a relapse that is
/// counted across it.
#[test]
fn a_suspension_ends_the_unready_period_and_counts_as_calm() {
    let mut played = Played::new(Some(LINK_BYTES_PER_S));
    played.play(1_000, 1.0, 0.0);
    assert!(played.monitor.is_unready());
    played.now += 60_000;
    assert!(matches!(played.step(0.0, 60_000.0), ReadinessChange::Unchanged), "its timers were late");
    assert!(matches!(played.play(1_000, 0.0, 0.0), ReadinessChange::BecameReady { .. }));
    played.now += 60_000;
    assert_eq!(played.become_unready_and_return(1.0, 0.0), 3_000);
}

/// Thresholds follow from the wait that callers tolerate, which is shorter on wide links.
#[test]
fn wide_links_are_overloaded_later() {
    let overload = |mbps: f64| Policy::for_link(mbps * 125_000.0).overload_utilization;
    let thresholds = [1.0, 10.0, 100.0, 200.0, 1_000.0].map(|mbps| (overload(mbps) * 100.0).round());
    assert_eq!(thresholds, [60.0, 69.0, 83.0, 84.0, 85.0]);
    let Closing::Proportional { from_utilization } = Policy::for_link(LINK_BYTES_PER_S).closing else {
        panic!("connections are closed in proportion to the excess");
    };
    assert!((from_utilization - 0.64).abs() < 0.005);
}
