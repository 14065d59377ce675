//! Reads of the store that bring the list of upstreams up to the present, and tell which gateways there are.
//!
//! [`route::barrier`] decides when they are made.

use crate::members;
use crate::node::Node;
use crate::ports::Wire;
use event_listener::{Event, EventListener};
use net::exec;
use route::Millis;
use route::barrier::{self, Moment, Step};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::{Feed, FeedQuery, Rows};

/// The reads that all gateways make together, as a fraction of the writes that the store accepts. It accepts more reads.
const READS_RATIO: f64 = 0.5;
/// The largest fleet whose list of gateways is read. It takes 16 KB.
const MAX_LISTED: u64 = 64;
/// How long a read may take, and how long the changes that it shows may take to be applied.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

#[derive(Debug, Default)]
struct State {
    decision: barrier::Barrier,
    /// The version of the store up to which the list of upstreams is applied; `None` if it has to be read in full.
    applied: Option<u64>,
    /// The other gateways that the last read listed.
    gateways: Arc<Vec<SocketAddr>>,
}

/// Brings the lists up to the present on demand.
#[derive(Debug, Default)]
pub(crate) struct Barrier {
    state: Mutex<State>,
    /// Notified when a read has ended.
    ended: Event,
    /// Notified when changes of the list of upstreams were applied.
    changed: Event,
}

/// What is known after a barrier.
#[derive(Clone, Debug)]
pub(crate) enum Passed {
    /// The list of upstreams holds all that had happened before, and these were the other gateways.
    Known(Arc<Vec<SocketAddr>>),
    /// The store did not answer in time.
    Unknown,
}

impl Barrier {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Records that the list of upstreams is applied up to this version of the store.
    pub(crate) fn set_applied(&self, version: Option<u64>) {
        self.state().applied = version;
        self.changed.notify(usize::MAX);
    }

    fn next(&self, moment: Moment, now: Millis) -> (Step, EventListener) {
        let ended = self.ended.listen();
        (self.state().decision.next(moment, now), ended)
    }

    /// Waits until the list of upstreams is applied up to this version.
    async fn until_applied(&self, version: u64) {
        loop {
            let changed = self.changed.listen();
            if self.state().applied.is_some_and(|applied| applied >= version) {
                return;
            }
            changed.await;
        }
    }
}

/// Waits until the lists hold all that had happened when this was called, for up to `limit`.
pub(crate) async fn pass<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, limit: Duration) -> Passed {
    let moment = node.barrier.state().decision.moment();
    let until = node.now() + limit.as_millis() as Millis;
    loop {
        let now = node.now();
        let (step, ended) = node.barrier.next(moment, now);
        match step {
            Step::Pass => return Passed::Known(node.barrier.state().gateways.clone()),
            Step::Fail => return Passed::Unknown,
            // It would be too late.
            Step::Pause(ms) if now + ms >= until => return Passed::Unknown,
            Step::Pause(ms) => exec::sleep(Duration::from_millis(ms)).await,
            Step::Read(number) => exec::spawn(read_and_end(node.clone(), number)).detach(),
            Step::Wait => {
                if exec::timeout(Duration::from_millis(until.saturating_sub(now)), ended).await.is_none() {
                    return Passed::Unknown;
                }
            }
        }
    }
}

async fn read_and_end<W: Wire, S: Rows>(node: Arc<Node<W, S>>, number: u64) {
    let has_succeeded = exec::timeout(READ_LIMIT, read(&node)).await.flatten().is_some();
    node.metrics.barriers.with_label_values(&[if has_succeeded { "passed" } else { "failed" }]).inc();
    let pause_ms = pause_ms(node.fleet_size(), node.settings.store_writes_per_s);
    node.barrier.state().decision.end(number, has_succeeded, pause_ms, node.now());
    node.barrier.ended.notify(usize::MAX);
}

/// The pause between two reads of a gateway, in milliseconds.
fn pause_ms(gateways: u64, store_writes_per_s: u64) -> Millis {
    (gateways as f64 * 1_000.0 / (store_writes_per_s as f64 * READS_RATIO)) as Millis
}

/// Reads what has changed; `None` if the store does not tell.
async fn read<W: Wire, S: Rows>(node: &Node<W, S>) -> Option<()> {
    let after = node.barrier.state().applied?;
    let began = node.now();
    let query = FeedQuery { after, wait_ms: 0, most: usize::MAX };
    let changes = node.rows.feed(node.wire.upstreams_table(), query);
    let (changes, gateways) = futures::future::join(changes, list_gateways(node)).await;
    let Ok(Feed::Changes(page)) = changes else { return None };
    if let Some(newest) = page.records.iter().map(|record| record.version).max() {
        node.barrier.until_applied(newest).await;
    }
    node.origins.versions().confirm_changes(began);
    node.barrier.state().gateways = gateways?;
    Some(())
}

/// The addresses of the other gateways: those that the store lists now, or in a large fleet those that are known.
async fn list_gateways<W: Wire, S: Rows>(node: &Node<W, S>) -> Option<Arc<Vec<SocketAddr>>> {
    match node.fleet_size() > MAX_LISTED {
        true => Some(node.hints.peers()),
        false => members::list(node).await.map(Arc::new).ok(),
    }
}
