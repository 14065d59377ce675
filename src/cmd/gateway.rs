//! `tallypaddle gateway`: runs the gateway on the users' platform.

use super::{Error, read_gateway_settings as read};
use gateway::Settings;
use std::path::PathBuf;

/// The arguments of `gateway`.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// The settings file; if absent, its path is read from the platform's environment variable.
    pub settings: Option<PathBuf>,
}

impl Gateway {
    /// Runs the gateway until SIGTERM or SIGINT, then stops it without interrupting requests in progress.
    ///
    /// # Errors
    /// Fails if the settings are invalid or an address can't be bound.
    pub fn execute(&self) -> Result<(), Error> {
        let path = self.path()?;
        let settings = read(&path)?;
        logs::start(std::io::stdout(), log::LevelFilter::Info);
        net::exec::start(settings.threads);
        net::exec::block_on(async {
            let rows = platform::HttpRows::new(settings.store);
            net::exec::spawn(log_reloads(path, settings.clone())).detach();
            let running = gateway::start(settings, platform::PlatformWire, rows)
                .await
                .map_err(|source| Error::Run { step: "start the gateway", source })?;
            net::signal::terminated()
                .await
                .map_err(|source| Error::Run { step: "wait for a signal", source })?;
            running.stop().await;
            log::logger().flush();
            Ok(())
        })
    }

    fn path(&self) -> Result<PathBuf, Error> {
        let from_environment = || std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
        self.settings.clone().or_else(from_environment).ok_or_else(|| {
            Error::Invalid(format!(
                "no settings file is given, and {} is not set",
                platform::SETTINGS_VARIABLE
            ))
        })
    }
}

/// Reads the settings again on each SIGHUP and logs whether they changed. No setting can change while the
/// process runs.
async fn log_reloads(path: PathBuf, current: Settings) {
    let Ok(mut reloads) = net::signal::reloads() else {
        log::error!("gateway: event=no-reloads reason=\"the handler can't be installed\"");
        return;
    };
    while reloads.next().await {
        match read(&path) {
            Ok(next) if format!("{next:?}") == format!("{current:?}") => {
                log::info!("gateway: event=reload changed=nothing");
            }
            Ok(_) => log::warn!("gateway: event=reload changed=settings effect=after-restart"),
            Err(error) => log::error!("gateway: event=reload kept=old reason=\"{error}\""),
        }
    }
}
