//! Accepts bundles with a conditional transaction on the current sequence number.
//!
//! Sections and manifest are stored first, under the hash of their content. Then the head row is updated,
//! provided that it still has the sequence number that the signed manifest follows. If two operators roll
//! bundles at the same time, one succeeds and the other gets a conflict. If the answer to the transaction is
//! lost, its outcome is found by reading the log entry and comparing its token, which is unique to the roll.
//!
//! ```
//! use bundle::{Bundle, SecretKey};
//!
//! let secret = SecretKey::generate();
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

/// The key of the row that holds the currently accepted bundle.
pub const HEAD_KEY: &str = "bundle/head";
/// The prefix of the keys of the log's rows.
pub const LOG_PREFIX: &str = "bundle/log/";

/// The content of the head row and of each row of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Accepted {
    /// The sequence number, starting at 1.
    pub sequence: u64,
    /// The digest of the signed manifest.
    pub manifest: String,
    /// The public keys that signed the manifest.
    pub by: Vec<String>,
    /// The author's note on the purpose of the change.
    pub note: String,
    /// For a rollback, the sequence number of the bundle whose content was restored.
    pub rollback_to: Option<u64>,
    /// A random text, unique to this roll, that identifies its entry if the answer to the transaction was
    /// lost.
    pub token: String,
    /// The Unix time of the roll, in seconds, by the operator's clock.
    pub at: u64,
}

/// Returns the key of the log's row for a sequence number.
pub fn log_key(sequence: u64) -> String {
    format!("{LOG_PREFIX}{sequence:012}")
}

/// Returns the key of the object with this digest.
pub fn object_key(digest: &str) -> String {
    format!("bundle-{digest}")
}
