//! Requests that take their upstreams down, told from those that only ran beside them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// What a request is, whichever attempt of its caller it comes in: a digest of its path, its caller and its body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// A fingerprint from the first bytes of a digest.
    pub fn new(digest: [u8; 16]) -> Fingerprint {
        Fingerprint(u128::from_be_bytes(digest))
    }

    /// Bytes that are spread evenly over fingerprints.
    pub fn seed(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> String {
        fingerprint.to_string()
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable(String);

impl fmt::Display for Unreadable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} is no fingerprint", self.0)
    }
}

impl std::error::Error for Unreadable {}

impl FromStr for Fingerprint {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Fingerprint, Unreadable> {
        u128::from_str_radix(text, 16).map(Fingerprint).map_err(|_| Unreadable(text.to_owned()))
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = Unreadable;

    fn try_from(text: String) -> Result<Fingerprint, Unreadable> {
        text.parse()
    }
}
