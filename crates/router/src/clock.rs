//! The clock port: monotonic time in milliseconds. No decision about charges depends on it.

use std::time::Instant;

/// A monotonic clock.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the milliseconds since a fixed moment before the process served its first request.
    fn now(&self) -> u64;
}

/// The monotonic clock of the system.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic(Instant);

impl Default for Monotonic {
    fn default() -> Self {
        Monotonic(Instant::now())
    }
}

impl Clock for Monotonic {
    fn now(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}
