//! `tallypaddle check`: reads the settings and says what is wrong, without starting anything.

use super::{Error, read_settings};
use std::path::PathBuf;

/// The arguments of `check`.
#[derive(Clone, Debug)]
pub struct Check {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether they are a gateway's.
    pub gateway: bool,
}

impl Check {
    /// Checks the settings.
    ///
    /// # Errors
    /// Returns every mistake with its line and key path.
    pub fn execute(&self) -> Result<(), Error> {
        let name = match self.gateway {
            true => super::read_gateway_settings(&self.settings)?.name,
            false => read_settings(&self.settings)?.name,
        };
        println!("{}: the settings of {name} are right", self.settings.display());
        Ok(())
    }
}
