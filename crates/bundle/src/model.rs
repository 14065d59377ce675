//! The data model of a bundle. The bundle reference in the book describes each key.

use budget::ledger::Credit;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration of the fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Bundle {
    /// The teams by name.
    pub teams: BTreeMap<String, Arc<Team>>,
    /// The model servers by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Data centres whose upstreams get no new work.
    pub evacuated: BTreeSet<String>,
    /// The models, by the names that callers use.
    pub models: BTreeMap<String, Model>,
    /// The plain HTTP services, by the names in their paths.
    pub services: BTreeMap<String, Service>,
    /// The limits of the routers.
    pub limits: Limits,
}

impl Bundle {
    /// The upstreams that may get new work. Those in evacuated data centres only finish their runs.
    pub fn active_upstreams(&self) -> impl Iterator<Item = (&str, &Upstream)> {
        let all = self.upstreams.iter().map(|(name, upstream)| (name.as_str(), upstream));
        all.filter(|(_, upstream)| !self.evacuated.contains(&upstream.data_centre))
    }
}

/// A team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Team {
    /// Its share of an overloaded upstream, relative to the weights of the other teams.
    #[serde(default = "one")]
    pub weight: u32,
    /// Its access keys.
    pub keys: Vec<Key>,
    /// Its prepaid budgets by name.
    pub budgets: BTreeMap<String, Budget>,
}

/// An access key, of which only the hash is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Key {
    /// The SHA-256 hash of the key, in hex.
    pub hash: String,
    /// The budget that requests with this key are charged to.
    pub budget: String,
}

/// A prepaid budget.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Budget {
    /// The prepayments. Each counts once, even though successive bundles list it again.
    pub credits: Vec<Credit>,
    /// Which kind of error to avoid first.
    #[serde(default)]
    pub weighing: Weighing,
}

/// Which kind of error to avoid first for a budget, which determines how many tokens routers hold in
/// advance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Weighing {
    /// Refusals of requests that the budget covers: routers hold enough tokens for a long outage.
    #[default]
    Refusals,
    /// Overspend, and tokens lost with a VM: routers hold few tokens.
    Overspend,
}

/// A model server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Upstream {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The maximum number of concurrent runs from all routers together.
    pub slots: u32,
    /// The models that it serves.
    pub models: Vec<String>,
    /// Whether it rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Model {
    /// The maximum number of tokens in prompt and answer together.
    pub context: u64,
    /// The maximum length of the answer in tokens if the request names none.
    pub default_max_tokens: u64,
    /// Whether a request may be executed more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// The priority; lower values are more urgent.
    #[serde(default = "middle")]
    pub priority: u8,
    /// The time limit for the first token, in milliseconds. Requests that can't meet it are refused.
    #[serde(default = "half_minute")]
    pub deadline_ms: u64,
}

/// A plain HTTP service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// The addresses of its servers.
    pub addresses: Vec<SocketAddr>,
    /// The tokens charged per call.
    #[serde(default)]
    pub cost: u64,
    /// Rules for paths. The rule with the longest matching prefix applies; a path without a rule is
    /// repeatable.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A rule for the paths of a service that start with a prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// The prefix of the path, without the service's name.
    pub prefix: String,
    /// Whether a call may be executed more than once.
    pub repeatable: bool,
}

impl Service {
    /// Whether a call to `path` may be executed more than once.
    pub fn is_repeatable(&self, path: &str) -> bool {
        let rules = self.routes.iter().filter(|route| path.starts_with(&route.prefix));
        rules.max_by_key(|route| route.prefix.len()).is_none_or(|route| route.repeatable)
    }
}

/// The limits of the routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Limits {
    /// The demand, in seconds, that a router holds tokens for if refusals are to be avoided first.
    pub cover_refusals_s: u64,
    /// The demand, in seconds, that a router holds tokens for if overspend is to be avoided first.
    pub cover_overspend_s: u64,
    /// The demand, in seconds, that a router may use between two settlements if refusals are to be avoided
    /// first. Tokens up to this amount are lost for good with a VM.
    pub expose_refusals_s: u64,
    /// The same if overspend and lost tokens are to be avoided first.
    pub expose_overspend_s: u64,
    /// The fewest tokens of a budget in use that a router aims to hold, and may use between two settlements.
    pub grant_min: u64,
    /// The longest time that a request may wait for tokens, in milliseconds.
    pub budget_wait_ms: u64,
    /// The maximum number of requests that wait for an upstream in one router.
    pub queue: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum number of retries, as a share of the requests.
    pub retry_share: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cover_refusals_s: 1_200,
            cover_overspend_s: 900,
            expose_refusals_s: 120,
            expose_overspend_s: 30,
            grant_min: 4_096,
            budget_wait_ms: 2_000,
            queue: 256,
            body_bytes: 4 << 20,
            retry_share: 0.1,
        }
    }
}

impl Limits {
    /// The demand, in seconds, that a router holds tokens for.
    pub fn cover_s(&self, weighing: Weighing) -> u64 {
        match weighing {
            Weighing::Refusals => self.cover_refusals_s,
            Weighing::Overspend => self.cover_overspend_s,
        }
    }
}

impl Limits {
    /// The demand, in seconds, that a router may use between two settlements.
    pub fn expose_s(&self, weighing: Weighing) -> u64 {
        match weighing {
            Weighing::Refusals => self.expose_refusals_s,
            Weighing::Overspend => self.expose_overspend_s,
        }
    }
}

/// Returns the hash that identifies an access key in a bundle.
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

fn middle() -> u8 {
    5
}

fn half_minute() -> u64 {
    30_000
}
