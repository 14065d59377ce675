//! `tallypaddlectl bundle diff`.

use super::{Error, platform, read_bundle};
use crate::cmd::read_settings;
use bundle::Bundle;
use std::path::PathBuf;

/// The arguments of `bundle diff`.
#[derive(Clone, Debug)]
pub struct Diff {
    /// The bundle in YAML.
    pub file: PathBuf,
    /// A router's settings file.
    pub settings: PathBuf,
    /// Prints JSON.
    pub json: bool,
}

impl Diff {
    /// Prints the changes from the accepted bundle to this one.
    ///
    /// # Errors
    /// Fails if a file is invalid or a call to the platform fails.
    pub fn execute(&self) -> Result<(), Error> {
        let settings = read_settings(&self.settings)?;
        let new_bundle = read_bundle(&self.file)?;
        let platform = platform(&settings);
        let old_bundle = net::exec::block_on(async {
            match roll::current(&platform).await? {
                Some(accepted) => roll::load(&platform, accepted.sequence).await,
                None => Ok(Bundle::default()),
            }
        })?;
        let changes = bundle::diff(&old_bundle, &new_bundle);
        if self.json {
            println!("{}", serde_json::json!(changes));
            return Ok(());
        }
        if changes.is_empty() {
            println!("no changes");
        }
        for change in changes {
            println!("{change}");
        }
        Ok(())
    }
}
