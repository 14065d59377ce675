//! The time without new connections must be visible to operators, also before the gateway returns.

use super::*;
use crate::support;
use standin::TableRows;

#[test]
fn unready_time_is_counted_while_the_gateway_is_overloaded() {
    let node = support::node("gateway-1", 1, &TableRows::default());
    for at in (0..2_000).step_by(100) {
        record(&node, LoadSample { at, timer_delay_ms: 80.0, link_bytes: 0 }, 100.0);
    }
    assert!(node.load.is_shedding());
    let counted = node.metrics.unready_time.get();
    assert!(counted > 1.0 && counted < 2.0, "{counted} s");
    let text = String::from_utf8(node.metrics.encode()).expect("metrics are text");
    for name in ["tallypaddle_unready_seconds_total", "tallypaddle_link_utilization"] {
        assert!(text.lines().any(|line| line.starts_with(name)), "{name} is missing");
    }
}
