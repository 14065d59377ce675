//! Measures the load of this VM.

use crate::node::Node;
use crate::ports::Wire;
use net::exec;
use route::{LoadSample, OverloadMonitor, ReadinessChange};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// The time between two samples: a tenth of the balancer's interval between readiness checks.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The bytes that a request or an answer takes on the link in addition to its body: headers and
/// acknowledgements.
const OVERHEAD_BYTES: usize = 700;
/// The bytes that a relayed part of an answer takes in addition: chunk framing, and the headers of its
/// packet.
pub(crate) const RELAY_OVERHEAD_BYTES: usize = 60;

/// Counts the bytes that passed the link, and tells whether the gateway is overloaded.
#[derive(Debug)]
pub(crate) struct Load {
    received: AtomicU64,
    sent: AtomicU64,
    /// Sent bytes that were not paced, which [`crate::link`] takes.
    unpaced: Arc<AtomicU64>,
    monitor: Mutex<OverloadMonitor>,
}

impl Load {
    pub(crate) fn new(link_mbps: Option<f64>) -> Load {
        let link_bytes_per_s = link_mbps.map(|mbps| mbps * 1e6 / 8.0);
        Load {
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            unpaced: Arc::default(),
            monitor: Mutex::new(OverloadMonitor::new(link_bytes_per_s)),
        }
    }

    fn monitor(&self) -> MutexGuard<'_, OverloadMonitor> {
        self.monitor.lock().expect("the lock is not poisoned")
    }

    /// Records that a message with a body of this size arrived.
    pub(crate) fn record_received(&self, body: usize) {
        self.received.fetch_add((body + OVERHEAD_BYTES) as u64, Ordering::Relaxed);
    }

    /// Records that a message with a body of this size was sent, of which `paced` bytes were paced.
    pub(crate) fn record_sent(&self, body: usize, paced: usize) {
        let bytes = (body + OVERHEAD_BYTES) as u64;
        self.sent.fetch_add(bytes, Ordering::Relaxed);
        self.unpaced.fetch_add(bytes.saturating_sub(paced as u64), Ordering::Relaxed);
    }

    /// The counter of sent bytes that were not paced.
    pub(crate) fn unpaced(&self) -> &Arc<AtomicU64> {
        &self.unpaced
    }

    /// Records that a message which the monitor does not count was sent, such as one to another gateway.
    pub(crate) fn record_message(&self, body: usize) {
        self.unpaced.fetch_add((body + OVERHEAD_BYTES) as u64, Ordering::Relaxed);
    }

    /// Records that a part of an answer was relayed.
    pub(crate) fn record_relayed(&self, bytes: usize) {
        let bytes = (bytes + RELAY_OVERHEAD_BYTES) as u64;
        self.received.fetch_add(bytes, Ordering::Relaxed);
        self.sent.fetch_add(bytes, Ordering::Relaxed);
        self.unpaced.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Whether this gateway is overloaded and accepts no new callers.
    pub(crate) fn is_shedding(&self) -> bool {
        self.monitor().is_unready()
    }

    /// Whether this VM could handle more work now.
    pub(crate) fn has_spare_capacity(&self) -> bool {
        self.monitor().has_spare_capacity()
    }

    /// Whether to close the connection after an answer, so that the balancer sends its caller to another
    /// gateway.
    pub(crate) fn should_close_connection(&self) -> bool {
        self.monitor().should_close_connection(rand::random())
    }

    fn take_bytes(&self) -> u64 {
        self.received.swap(0, Ordering::Relaxed).max(self.sent.swap(0, Ordering::Relaxed))
    }
}

/// Samples the load periodically.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let mut previous = node.now_exact();
    loop {
        let due = node.now_exact() + SAMPLE_INTERVAL.as_secs_f64() * 1_000.0;
        exec::sleep(SAMPLE_INTERVAL).await;
        let now = node.now_exact();
        let timer_delay_ms = (now - due).max(0.0);
        let sample = LoadSample { at: node.now(), timer_delay_ms, link_bytes: node.load.take_bytes() };
        record(&node, sample, now - previous);
        previous = now;
    }
}

/// Records a sample that was taken `elapsed_ms` after the previous one.
fn record<W: Wire, S: Rows>(node: &Node<W, S>, sample: LoadSample, elapsed_ms: f64) {
    let (was_unready, change, (late_ms, link)) = {
        let mut monitor = node.load.monitor();
        (monitor.is_unready(), monitor.record(sample), monitor.averages())
    };
    node.metrics.link_utilization.set(link);
    if was_unready {
        node.metrics.unready_time.inc_by(elapsed_ms / 1_000.0);
    }
    match change {
        ReadinessChange::Unchanged => {}
        ReadinessChange::BecameUnready { min_unready_ms } => {
            log::warn!(
                "gateway: event=steps-back late-ms={late_ms:.1} link={link:.2} for-ms={min_unready_ms}"
            );
        }
        ReadinessChange::BecameReady { unready_ms } => {
            log::warn!("gateway: event=returns late-ms={late_ms:.1} link={link:.2} after-ms={unready_ms}");
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/load.rs"]
mod tests;
