//! What a gateway logs and counts about its upstreams must not grow with their number.

use super::*;
use crate::metrics::Metrics;

#[test]
fn only_upstreams_with_open_requests_have_a_gauge() {
    let metrics = Metrics::new();
    metrics.set_open_requests([("engine-1", 2), ("engine-2", 1)].into_iter());
    metrics.set_open_requests([("engine-2", 3)].into_iter());
    let text = String::from_utf8(metrics.encode()).expect("metrics are text");
    let gauges: Vec<&str> =
        text.lines().filter(|line| line.starts_with("tallypaddle_upstream_open_requests{")).collect();
    assert_eq!(gauges, ["tallypaddle_upstream_open_requests{upstream=\"engine-2\"} 3"]);
}

#[test]
fn a_log_line_names_a_bounded_number_of_engines() {
    let names: Vec<String> = (0..10_000).map(|index| format!("engine-{index}")).collect();
    let slowness = names.iter().enumerate().map(|(index, name)| (name.as_str(), index as f64 / 1_000.0));
    let text = slowest(slowness.collect());
    assert!(text.starts_with("engine-9999:10.00,engine-9998:10.00,"), "{text}");
    assert_eq!(text.split(',').count(), MAX_LOGGED_ENGINES);
}
