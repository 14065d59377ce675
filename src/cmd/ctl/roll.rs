//! `tallypaddlectl bundle roll`.

use super::{Error, platform, read_package};
use crate::cmd::read_settings;
use std::path::PathBuf;

/// The arguments of `bundle roll`.
#[derive(Clone, Debug)]
pub struct Roll {
    /// The signed package.
    pub file: PathBuf,
    /// A router's settings file.
    pub settings: PathBuf,
    /// Prints JSON.
    pub json: bool,
}

impl Roll {
    /// Rolls out the package.
    ///
    /// # Errors
    /// Fails if the package lacks signatures that the settings require, or another bundle was accepted
    /// after it was signed.
    pub fn execute(&self) -> Result<(), Error> {
        let settings = read_settings(&self.settings)?;
        let package = read_package(&self.file)?;
        let trust = &settings.trust;
        let accepted =
            net::exec::block_on(::roll::roll(&platform(&settings), &package, &trust.keys, trust.needed))?;
        if self.json {
            println!("{}", serde_json::json!(accepted));
        } else {
            println!("sequence {} is accepted", accepted.sequence);
        }
        Ok(())
    }
}
