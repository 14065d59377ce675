//! The signals by which the platform stops a process or makes it reload its settings.
//!
//! ```no_run
//! net::exec::block_on(net::signal::terminated()).unwrap();
//! ```

use async_signal::{Signal, Signals};
use futures::StreamExt;
use std::io;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the signal handler can't be installed.
pub async fn terminated() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(Err(error)) => Err(error),
        _ => Ok(()),
    }
}

/// A stream of requests to reload the settings.
#[derive(Debug)]
pub struct Reloads(Signals);

/// Listens for SIGHUP, which would otherwise terminate the process.
///
/// # Errors
/// Fails if the signal handler can't be installed.
pub fn reloads() -> io::Result<Reloads> {
    Ok(Reloads(Signals::new([Signal::Hup])?))
}

impl Reloads {
    /// Waits for the next request; returns `false` if there will be no more.
    pub async fn next(&mut self) -> bool {
        self.0.next().await.is_some()
    }
}
