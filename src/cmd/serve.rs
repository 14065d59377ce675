//! `tallypaddle serve`: runs the router.

use super::{Error, read_settings};
use std::path::PathBuf;

/// The arguments of `serve`.
#[derive(Clone, Debug)]
pub struct Serve {
    /// The settings file.
    pub settings: PathBuf,
}

impl Serve {
    /// Runs the router until SIGTERM or SIGINT, then stops it without interrupting requests in progress.
    ///
    /// # Errors
    /// Fails if the settings are invalid or an address can't be bound.
    pub fn execute(&self) -> Result<(), Error> {
        let settings = read_settings(&self.settings)?;
        net::exec::start(settings.limits.threads);
        net::exec::block_on(async {
            let running = router::start_with_http(settings)
                .await
                .map_err(|source| Error::Run { step: "start the router", source })?;
            net::signal::terminated()
                .await
                .map_err(|source| Error::Run { step: "wait for a signal", source })?;
            running.stop().await;
            Ok(())
        })
    }
}
