//! A clock that goes on while the machine is suspended.
//!
//! Deadlines, leases, rests and ages are agreed with others, whose time goes on. The usual steady clock stands still meanwhile: by it a
//! request would have time left that its caller has not, and a kept connection would be young that its peer closed long ago.
//!
//! Timers run on the steady clock. One that was set before a suspension fires late by its length, so what waits for long looks at this
//! clock every [`LOOK`].

use crate::exec;
use boot_time::Instant;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How late a timeout ends at most if the machine was suspended meanwhile.
const LOOK: Duration = Duration::from_millis(500);

/// The time since a process started, suspension included; clones go together.
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
    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed() + Duration::from_millis(self.skipped_ms.load(Ordering::Relaxed))
    }

    /// Goes on by some time at once, as the clock of a machine does that was suspended for so long. For tests.
    pub fn advance(&self, time: Duration) {
        self.skipped_ms.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Waits for `future` for at most `limit`; `None` means that the time ran out.
    pub async fn timeout<T>(&self, limit: Duration, future: impl Future<Output = T>) -> Option<T> {
        let until = self.now() + limit;
        let mut future = pin!(future);
        loop {
            let left = until.saturating_sub(self.now());
            let done = exec::timeout(left.min(LOOK), future.as_mut()).await;
            if done.is_some() || left <= LOOK && self.now() >= until {
                return done;
            }
        }
    }
}
