//! `tallypaddlectl bundle log`.

use super::{Error, platform};
use crate::cmd::read_settings;
use std::path::PathBuf;

/// The number of digits of a public key that are printed.
const KEY_DIGITS: usize = 12;

/// The arguments of `bundle log`.
#[derive(Clone, Debug)]
pub struct Log {
    /// A router's settings file.
    pub settings: PathBuf,
    /// Prints JSON.
    pub json: bool,
}

impl Log {
    /// Prints the log of accepted bundles, oldest first.
    ///
    /// # Errors
    /// Fails if the settings are invalid or a call to the platform fails.
    pub fn execute(&self) -> Result<(), Error> {
        let settings = read_settings(&self.settings)?;
        let history = net::exec::block_on(roll::history(&platform(&settings)))?;
        if self.json {
            println!("{}", serde_json::json!(history));
            return Ok(());
        }
        for accepted in history {
            let by: Vec<&str> = accepted.by.iter().map(|key| key.get(..KEY_DIGITS).unwrap_or(key)).collect();
            let kind = match accepted.rollback_to {
                Some(sequence) => format!("rollback to {sequence}"),
                None => "roll".to_owned(),
            };
            println!(
                "{} {kind} at {} by {}: {}",
                accepted.sequence,
                accepted.at,
                by.join(", "),
                accepted.note
            );
        }
        Ok(())
    }
}
