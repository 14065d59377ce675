//! The names and contents of the rows that budgets have in the store.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use store::rows::Record;

/// The table of pool and account rows; each team has its own partition.
pub(crate) const BUDGETS: &str = "budgets";
/// The name of the pool row.
pub(crate) const POOL: &str = "pool";
/// The prefix of the names of account rows.
pub(crate) const ACCOUNT: &str = "account/";
/// The table of recalls. Each row is named after a team and contains a [`Recall`].
pub(crate) const RECALLS: &str = "recalls";
/// The table of usage notes; each VM has its own partition.
pub(crate) const NOTES: &str = "notes";
/// The name of the row that contains a VM's usage note.
pub(crate) const NOTE: &str = "note";

/// A request to all other gateways to return idle tokens of a team's budget.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Recall {
    /// The requesting process: the name of its VM and its incarnation.
    pub holder: String,
    /// The number of tokens that its waiting requests lack.
    pub missing: u64,
}

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows serialize to JSON")
}

/// The content of a row, or the default if the row does not exist; `None` if it can't be parsed.
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
