//! Interfaces of the platform's services: a transactional table, an object store and a list of VMs.
//!
//! [`Http`] implements them over HTTP. Every error says whether a write may have taken effect, because the
//! platform sometimes loses the answer to a write that succeeded.
//!
//! ```
//! use store::Tx;
//! let tx = Tx::default().require_absent("claim/radar/k1").put("claim/radar/k1", &"holder");
//! assert_eq!(tx.puts[0].value, "\"holder\"");
//! ```

mod http_adapter;
pub mod rows;

pub use http_adapter::Http;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;

/// Whether a failed write may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It did not take effect, and will not.
    NotApplied,
    /// It may have taken effect, or may yet do so. The caller has to read the data to find out.
    Unknown,
}

/// A call to the platform that failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at platform {peer}: {reason}")]
pub struct Error {
    /// The operation that failed.
    pub step: &'static str,
    /// The platform's address.
    pub peer: String,
    /// Whether a write may have taken effect.
    pub fault: Fault,
    /// The cause, as a message.
    pub reason: String,
}

/// One row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Increases with each write of the row; never 0.
    pub version: u64,
    /// The content as JSON.
    pub value: String,
}

impl Row {
    /// Decodes the content.
    ///
    /// # Errors
    /// Fails if the content is not the JSON of a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(&self.value)
    }
}

/// A condition of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version that the row must have; 0 if it must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// The new content as JSON.
    pub value: String,
}

/// A conditional transaction: if all checks hold, all writes are applied, otherwise none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tx {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub puts: Vec<Put>,
}

impl Tx {
    /// Requires that the row has not changed since it was read.
    #[must_use]
    pub fn require_unchanged(mut self, key: impl Into<String>, read: Option<&Row>) -> Tx {
        let version = read.map_or(0, |row| row.version);
        self.checks.push(Check { key: key.into(), version });
        self
    }

    /// Requires that the row does not exist.
    #[must_use]
    pub fn require_absent(self, key: impl Into<String>) -> Tx {
        self.require_unchanged(key, None)
    }

    /// Writes a row.
    ///
    /// # Panics
    /// Panics if `value` can't be serialized to JSON.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: &impl Serialize) -> Tx {
        let value = serde_json::to_string(value).expect("rows serialize to JSON");
        self.puts.push(Put { key: key.into(), value });
        self
    }
}

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TxOutcome {
    /// All writes were applied.
    Applied,
    /// A check failed, and nothing was written.
    Conflict,
}

/// The transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads rows in one consistent snapshot; returns them in the order of `keys`.
    fn read(&self, keys: &[String]) -> impl Future<Output = Result<Vec<Option<Row>>, Error>> + Send;

    /// Reads all rows whose key starts with `prefix`.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<BTreeMap<String, Row>, Error>> + Send;

    /// Executes a transaction.
    fn commit(&self, tx: &Tx) -> impl Future<Output = Result<TxOutcome, Error>> + Send;
}

/// The object store.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Writes a complete object.
    fn store(&self, key: &str, bytes: Vec<u8>) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads an object; returns `None` if it does not exist.
    fn load(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;
}

/// The purpose of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It runs a router; its address is the one for other routers.
    Router,
    /// It runs a model engine or a plain service.
    Upstream,
}

/// An entry of the list of VMs. The list may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Vm {
    /// The name of the VM, or of the upstream.
    pub name: String,
    /// Its purpose.
    pub role: Role,
    /// Its data centre.
    pub data_centre: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// The list of running VMs, including those about to be removed.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list of all routers and upstreams.
    fn list(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;
}

/// All services of the platform.
pub trait Platform: VmList + ObjectStore + Table {}

impl<T: VmList + ObjectStore + Table> Platform for T {}
