//! Waiting for the platform's request to stop.
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
/// Fails if the handler can't be installed.
pub async fn terminated() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    match signals.next().await {
        Some(Err(error)) => Err(error),
        _ => Ok(()),
    }
}

/// The platform's requests to read the settings again.
#[derive(Debug)]
pub struct Reloads(Signals);

/// Listens for SIGHUP, which would otherwise end the process.
///
/// # Errors
/// Fails if the handler can't be installed.
pub fn reloads() -> io::Result<Reloads> {
    Ok(Reloads(Signals::new([Signal::Hup])?))
}

impl Reloads {
    /// Waits for the next request; `false` if there can be no more.
    pub async fn next(&mut self) -> bool {
        self.0.next().await.is_some()
    }
}
