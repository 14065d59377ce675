//! The clock port: milliseconds that only grow, and that no decision on money depends on.

use std::time::Instant;

/// A monotonic clock.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Milliseconds since some moment before the process served anything.
    fn now(&self) -> u64;
}

/// The system's monotonic clock.
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
