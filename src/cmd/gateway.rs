//! `tallypaddle gateway`: runs the gateway on the users' platform until it is asked to stop.

use super::{Error, read_gateway_settings as read};
use gateway::Settings;
use std::path::PathBuf;

/// The arguments of `gateway`.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// The settings file; if absent, the platform's environment variable names it.
    pub settings: Option<PathBuf>,
}

impl Gateway {
    /// Runs the gateway until SIGTERM or SIGINT, then stops it without cutting off a request.
    ///
    /// # Errors
    /// Fails if the settings are wrong or an address can't be bound.
    pub fn execute(&self) -> Result<(), Error> {
        let path = self.path()?;
        let settings = read(&path)?;
        logs::start(std::io::stdout(), log::LevelFilter::Info);
        net::exec::start(settings.threads);
        net::exec::block_on(async {
            let rows = platform::Http::new(settings.store);
            net::exec::spawn(follow_reloads(path, settings.clone())).detach();
            let running = gateway::start(settings, platform::Names, rows)
                .await
                .map_err(|source| Error::Run { step: "start the gateway", source })?;
            net::signal::terminated()
                .await
                .map_err(|source| Error::Run { step: "wait for a signal", source })?;
            running.stop().await;
            Ok(())
        })
    }

    fn path(&self) -> Result<PathBuf, Error> {
        let named = || std::env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
        self.settings.clone().or_else(named).ok_or_else(|| {
            Error::Invalid(format!(
                "no settings file is named, and {} is not set",
                platform::SETTINGS_VARIABLE
            ))
        })
    }
}

/// On SIGHUP, reads the settings again and says what changed: none of them can change while the process runs.
async fn follow_reloads(path: PathBuf, current: Settings) {
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
