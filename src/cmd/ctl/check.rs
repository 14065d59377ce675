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
    /// Checks the bundle.
    ///
    /// # Errors
    /// Returns every mistake with its line and key path.
    pub fn execute(&self) -> Result<(), Error> {
        let bundle = read_bundle(&self.file)?;
        println!(
            "{}: the bundle is right: {} teams, {} upstreams, {} models, {} services",
            self.file.display(),
            bundle.teams.len(),
            bundle.upstreams.len(),
            bundle.models.len(),
            bundle.services.len()
        );
        for data_centre in &bundle.evacuated {
            println!("upstreams in {data_centre} get nothing new: it is evacuated");
        }
        Ok(())
    }
}
