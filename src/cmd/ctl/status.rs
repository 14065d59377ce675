//! `tallypaddlectl bundle status`.

use super::{Error, platform};
use crate::cmd::read_settings;
use peer::{FleetKey, LinkClient, Peers};
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;
use store::{Role, VmList};

/// The arguments of `bundle status`.
#[derive(Clone, Debug)]
pub struct Status {
    /// A router's settings file.
    pub settings: PathBuf,
    /// Prints JSON.
    pub json: bool,
}

impl Status {
    /// Asks each router on the platform's list of VMs which sequence number it has in force.
    ///
    /// # Errors
    /// Fails if the settings are invalid or the list can't be read. For a router that can't be reached,
    /// the error is printed instead.
    pub fn execute(&self) -> Result<(), Error> {
        let settings = read_settings(&self.settings)?;
        let key = settings.fleet_keys.first().map(String::as_str).unwrap_or_default();
        let key = FleetKey::new(key).map_err(|error| Error::Invalid(error.to_string()))?;
        let peers = Peers::new(key, Duration::from_millis(settings.limits.peer_ms));
        let rows = net::exec::block_on(async {
            let mut rows = vec![];
            for vm in platform(&settings).list().await?.into_iter().filter(|vm| vm.role == Role::Router) {
                let call = |client: LinkClient, context| async move { client.standing(context).await };
                rows.push((vm.name, peers.call("standing", vm.address, call).await));
            }
            Ok::<_, Error>(rows)
        })?;
        for (name, status) in rows {
            let row = match (&status, self.json) {
                (Ok(status), true) => {
                    json!({"name": name, "sequence": status.sequence, "in-force-ms": status.in_force_ms})
                        .to_string()
                }
                (Err(error), true) => json!({"name": name, "error": error.to_string()}).to_string(),
                (Ok(status), false) => {
                    format!("{name}: sequence {} for {} ms", status.sequence, status.in_force_ms)
                }
                (Err(error), false) => format!("{name}: no answer: {error}"),
            };
            println!("{row}");
        }
        Ok(())
    }
}
