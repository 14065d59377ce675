//! `tallypaddlectl bundle check`.

use super::{Error, read_bundle};
use std::path::PathBuf;

/// The arguments of `bundle check`.
#[derive(Clone, Debug)]
pub struct Check {
    /// The bundle in YAML.
    pub file: PathBuf,
}

impl Check {
    /// Validates the bundle.
    ///
    /// # Errors
    /// Returns all errors with their lines and key paths.
    pub fn execute(&self) -> Result<(), Error> {
        let bundle = read_bundle(&self.file)?;
        println!(
            "{}: the bundle is valid: {} teams, {} upstreams, {} models, {} services",
            self.file.display(),
            bundle.teams.len(),
            bundle.upstreams.len(),
            bundle.models.len(),
            bundle.services.len()
        );
        for data_centre in &bundle.evacuated {
            println!("data centre {data_centre} is evacuated: its upstreams get no new work");
        }
        Ok(())
    }
}
