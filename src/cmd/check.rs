//! `tallypaddle check`: reads the settings and says what is wrong, without starting anything.

use super::{Error, read_settings};
use std::path::PathBuf;

/// The arguments of `check`.
#[derive(Clone, Debug)]
pub struct Check {
    /// The settings file.
    pub settings: PathBuf,
}

impl Check {
    /// Checks the settings.
    ///
    /// # Errors
    /// Returns every mistake with its line and key path.
    pub fn execute(&self) -> Result<(), Error> {
        let settings = read_settings(&self.settings)?;
        println!("{}: the settings of {} are right", self.settings.display(), settings.name);
        Ok(())
    }
}
