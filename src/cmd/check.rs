//! `tallypaddle check`: validates a settings file without starting anything.

use super::{Error, read_settings};
use std::path::PathBuf;

/// The arguments of `check`.
#[derive(Clone, Debug)]
pub struct Check {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether the file holds the settings of a gateway instead of a router.
    pub gateway: bool,
}

impl Check {
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns all errors with their lines and key paths.
    pub fn execute(&self) -> Result<(), Error> {
        let name = match self.gateway {
            true => super::read_gateway_settings(&self.settings)?.name,
            false => read_settings(&self.settings)?.name,
        };
        println!("{}: the settings of {name} are valid", self.settings.display());
        Ok(())
    }
}
