//! The process-wide async executor: worker threads that share one task queue.
//!
//! ```
//! net::exec::start(1);
//! net::exec::spawn(async { log::info!("running") }).detach();
//! ```

use smol::{Executor, Task};
use std::future::Future;
use std::sync::Once;
use std::time::Duration;

static EXECUTOR: Executor<'static> = Executor::new();
static STARTED: Once = Once::new();

/// Starts `threads` worker threads, at least one. Later calls have no effect.
pub fn start(threads: usize) {
    STARTED.call_once(|| {
        for index in 0..threads.max(1) {
            std::thread::Builder::new()
                .name(format!("worker-{index}"))
                .spawn(|| smol::block_on(EXECUTOR.run(std::future::pending::<()>())))
                .expect("failed to start a worker thread");
        }
    });
}

/// Runs `future` as a task on the worker threads.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Blocks the current thread until `future` completes.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    smol::block_on(future)
}

/// Waits for `period`.
pub async fn sleep(period: Duration) {
    smol::Timer::after(period).await;
}

/// Waits for `future` for at most `limit`; returns `None` if it did not complete in time.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    smol::future::or(async { Some(future.await) }, async {
        sleep(limit).await;
        None
    })
    .await
}

/// Runs hyper's tasks on this executor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spawner;

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        spawn(future).detach();
    }
}
