//! Accepting bundles: one conditional transaction on the current sequence.
//!
//! Sections and manifest are stored first, under the hash of their content; then the head row moves on, if
//! it still is what the signed manifest follows. Of two operators who race, one wins and the other learns
//! what it raced against. A lost answer is resolved by reading back a text that only this roll wrote.
//!
//! ```
//! use bundle::{Bundle, Secret};
//!
//! let secret = Secret::generate();
//! let mut package = roll::Package::new(&Bundle::default(), 0, None, "first");
//! package.signed.sign(&secret);
//! assert!(package.verify(&[secret.public()], 1).is_ok());
//! assert!(package.verify(&[secret.public()], 2).is_err());
//! ```

mod accept;
mod package;

pub use accept::{Error, current, history, load, roll};
pub use package::Package;

use serde::{Deserialize, Serialize};

/// The row of the accepted sequence.
pub const HEAD_KEY: &str = "bundle/head";
/// The start of the keys of the log.
pub const LOG_PREFIX: &str = "bundle/log/";

/// The content of the head row, and of each row of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Accepted {
    /// The accepted sequence, from 1.
    pub sequence: u64,
    /// The digest of the signed manifest.
    pub manifest: String,
    /// The public keys that signed.
    pub by: Vec<String>,
    /// Why, in the author's words.
    pub note: String,
    /// The sequence whose content is taken up again, for a rollback.
    pub rollback_to: Option<u64>,
    /// A text that only this roll wrote, to recognise it when an answer was lost.
    pub token: String,
    /// When it was rolled, in seconds since 1970, by the operator's clock.
    pub at: u64,
}

/// The key of a row of the log.
pub fn log_key(sequence: u64) -> String {
    format!("{LOG_PREFIX}{sequence:012}")
}

/// The key of an object by its digest.
pub fn object_key(digest: &str) -> String {
    format!("bundle-{digest}")
}
