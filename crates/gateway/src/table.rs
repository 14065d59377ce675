//! The rows of budgets in the store: their places and contents.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use store::rows::Record;

/// The table of pools and accounts; each team has a partition of its own.
pub(crate) const BUDGETS: &str = "budgets";
/// The key of the pool row.
pub(crate) const POOL: &str = "pool";
/// What the keys of account rows begin with.
pub(crate) const ACCOUNT: &str = "account/";
/// The table in which routers ask the others for idle tokens; a row's key is the team, its value a [`Recall`].
pub(crate) const RECALLS: &str = "recalls";
/// The table of notes; each VM has a partition of its own.
pub(crate) const NOTES: &str = "notes";
/// The key of the note row.
pub(crate) const NOTE: &str = "note";

/// A router's call for idle tokens.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Recall {
    /// Who asks: the VM with the incarnation of its process.
    pub holder: String,
    /// How many tokens its waiting requests are short of.
    pub missing: u64,
}

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows serialize to JSON")
}

/// The content of a row, or that of a row which does not exist yet; `None` if it can't be read.
pub(crate) fn decode_or_default<T: Default + DeserializeOwned>(record: &Record) -> Option<T> {
    if record.value.is_none() { Some(T::default()) } else { decode(record) }
}

pub(crate) fn decode<T: DeserializeOwned>(record: &Record) -> Option<T> {
    let bytes = record.value.as_deref()?;
    match serde_json::from_slice(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(
                "store: event=unreadable row={} version={} error={error}",
                record.name,
                record.version
            );
            None
        }
    }
}
