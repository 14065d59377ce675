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
