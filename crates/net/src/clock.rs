//! A monotonic clock that includes the time during which the machine is suspended.
//!
//! Deadlines, leases, back-offs and ages are agreed with other machines, whose time goes on during a
//! suspension. The usual monotonic clock stops: a request would appear to have time left after its caller's
//! deadline, and a pooled connection would appear fresh long after its peer closed it.
//!
//! Timers run on the usual monotonic clock, so a suspension delays them by its length. [`Clock::timeout`]
//! therefore compares its deadline with this clock every [`CHECK_INTERVAL`].

use crate::exec;
use boot_time::Instant;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The longest delay of a timeout after a suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The time since the clock was created, including suspensions. Clones share one time.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    skipped_ms: Arc<AtomicU64>,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { started: Instant::now(), skipped_ms: Arc::default() }
    }
}

impl Clock {
    /// The time since the clock was created.
    pub fn now(&self) -> Duration {
        self.started.elapsed() + Duration::from_millis(self.skipped_ms.load(Ordering::Relaxed))
    }

    /// Moves the clock forward by `time`, which simulates a suspension in tests.
    pub fn advance(&self, time: Duration) {
        self.skipped_ms.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Waits for `future` for at most `limit`; returns `None` if it did not complete in time.
    pub async fn timeout<T>(&self, limit: Duration, future: impl Future<Output = T>) -> Option<T> {
        let until = self.now() + limit;
        let mut future = pin!(future);
        loop {
            let left = until.saturating_sub(self.now());
            let done = exec::timeout(left.min(CHECK_INTERVAL), future.as_mut()).await;
            if done.is_some() || left <= CHECK_INTERVAL && self.now() >= until {
                return done;
            }
        }
    }
}
