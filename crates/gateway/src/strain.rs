//! Observing how this VM bears its work.

use crate::node::Node;
use crate::ports::Wire;
use net::exec;
use route::{LoadSample, OverloadMonitor, ReadinessChange};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// Time between two samples: the balancer asks ten times less often.
const PERIOD: Duration = Duration::from_millis(100);
/// What a request or an answer takes on the link beside its body, in bytes: head and acknowledgements.
const HEAD_BYTES: usize = 700;

/// The bytes that passed the link, and how the gateway bears its work.
#[derive(Debug)]
pub(crate) struct Load {
    received: AtomicU64,
    sent: AtomicU64,
    strain: Mutex<OverloadMonitor>,
}

impl Load {
    pub(crate) fn new(link_mbps: Option<f64>) -> Load {
        let link_bytes_per_s = link_mbps.map(|mbps| mbps * 1e6 / 8.0);
        Load {
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            strain: Mutex::new(OverloadMonitor::new(link_bytes_per_s)),
        }
    }

    fn strain(&self) -> MutexGuard<'_, OverloadMonitor> {
        self.strain.lock().expect("the strain's lock")
    }

    /// Takes in that a message with such a body came.
    pub(crate) fn receive(&self, body: usize) {
        self.received.fetch_add((body + HEAD_BYTES) as u64, Ordering::Relaxed);
    }

    /// Takes in that a message with such a body was sent.
    pub(crate) fn send(&self, body: usize) {
        self.sent.fetch_add((body + HEAD_BYTES) as u64, Ordering::Relaxed);
    }

    /// Takes in that a part of an answer was passed on.
    pub(crate) fn relay(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Whether this gateway takes no new callers.
    pub(crate) fn is_back(&self) -> bool {
        self.strain().is_unready()
    }

    /// Whether the connection of an answer is closed after it.
    pub(crate) fn closes(&self) -> bool {
        self.strain().should_close_connection(rand::random())
    }

    fn drain(&self) -> u64 {
        self.received.swap(0, Ordering::Relaxed).max(self.sent.swap(0, Ordering::Relaxed))
    }
}

/// Samples the load.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    loop {
        let due = node.now_exact() + PERIOD.as_secs_f64() * 1_000.0;
        exec::sleep(PERIOD).await;
        let late_ms = (node.now_exact() - due).max(0.0);
        let sample = LoadSample { at: node.now(), timer_delay_ms: late_ms, link_bytes: node.load.drain() };
        let (shift, (late_ms, link)) = {
            let mut strain = node.load.strain();
            (strain.record(sample), strain.averages())
        };
        let event = match shift {
            ReadinessChange::Unchanged => continue,
            ReadinessChange::BecameUnready => "steps-back",
            ReadinessChange::BecameReady => "returns",
        };
        log::warn!("gateway: event={event} late-ms={late_ms:.1} link={link:.2}");
    }
}
