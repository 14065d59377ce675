//! The bundle's content as plain structs; every key is described in the bundle reference of the book.

use budget::ledger::Credit;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Everything that operators decide.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Bundle {
    /// The teams by name.
    pub teams: BTreeMap<String, Arc<Team>>,
    /// The model servers by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Data centres whose upstreams get nothing new.
    pub evacuated: BTreeSet<String>,
    /// The models by the name that callers use.
    pub models: BTreeMap<String, Model>,
    /// The plain services by the name in their path.
    pub services: BTreeMap<String, Service>,
    /// What bounds the routers.
    pub limits: Limits,
}

impl Bundle {
    /// The upstreams that may get work: those of evacuated data centres finish what they have.
    pub fn active_upstreams(&self) -> impl Iterator<Item = (&str, &Upstream)> {
        let all = self.upstreams.iter().map(|(name, upstream)| (name.as_str(), upstream));
        all.filter(|(_, upstream)| !self.evacuated.contains(&upstream.data_centre))
    }
}

/// One team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Team {
    /// Its share of a crowded upstream, against the other teams' weights.
    #[serde(default = "one")]
    pub weight: u32,
    /// Its access keys.
    pub keys: Vec<Key>,
    /// Its prepaid budgets by name.
    pub budgets: BTreeMap<String, Budget>,
}

/// One access key, known by its hash only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Key {
    /// SHA-256 of the key in hex.
    pub hash: String,
    /// The budget that its requests are charged to.
    pub budget: String,
}

/// One prepaid budget.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Budget {
    /// The prepayments; each counts once, however often a bundle names it.
    pub credits: Vec<Credit>,
    /// Which error weighs more.
    #[serde(default)]
    pub weighing: Weighing,
}

/// Which error weighs more for a budget: it decides how many tokens routers hold in advance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Weighing {
    /// False refusals: routers hold enough for a long outage.
    #[default]
    Refusals,
    /// Overspend and tokens stranded by a lost VM: routers hold little.
    Overspend,
}

/// One model server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Runs that it may be given at once, by all routers together.
    pub slots: u32,
    /// Models it serves.
    pub models: Vec<String>,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// One model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Model {
    /// The most tokens of prompt and answer together.
    pub context: u64,
    /// The answer's limit where a request names none, in tokens.
    pub default_max_tokens: u64,
    /// Whether a request may be run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Lower is more urgent.
    #[serde(default = "middle")]
    pub priority: u8,
    /// Time until the first token, in milliseconds; work that can't meet it is refused.
    #[serde(default = "half_minute")]
    pub deadline_ms: u64,
}

/// One plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// The servers.
    pub addresses: Vec<SocketAddr>,
    /// Tokens charged for each call.
    #[serde(default)]
    pub cost: u64,
    /// Rules by path; the longest prefix counts, and a path without a rule is repeatable.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A rule for some paths of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// The start of the path, below the service's name.
    pub prefix: String,
    /// Whether a call may be executed more than once.
    pub repeatable: bool,
}

impl Service {
    /// Whether a call of `path` may be executed more than once.
    pub fn is_repeatable(&self, path: &str) -> bool {
        let rules = self.routes.iter().filter(|route| path.starts_with(&route.prefix));
        rules.max_by_key(|route| route.prefix.len()).is_none_or(|route| route.repeatable)
    }
}

/// What bounds the routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Limits {
    /// Seconds of demand that a router holds in tokens, where refusals weigh more.
    pub cover_refusals_s: u64,
    /// Seconds of demand that a router holds in tokens, where overspend weighs more.
    pub cover_overspend_s: u64,
    /// Seconds of demand that a router may use between two settlements, where refusals weigh more: what a
    /// lost VM strands for good.
    pub expose_refusals_s: u64,
    /// The same, where overspend and stranded tokens weigh more.
    pub expose_overspend_s: u64,
    /// The least that a router draws at once, in tokens.
    pub grant_min: u64,
    /// How long a request may wait for tokens, in milliseconds.
    pub budget_wait_ms: u64,
    /// Requests that may wait for an upstream in one router.
    pub queue: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// Retries as a share of requests.
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
    /// Seconds of demand that a router holds of a budget.
    pub fn cover_s(&self, weighing: Weighing) -> u64 {
        match weighing {
            Weighing::Refusals => self.cover_refusals_s,
            Weighing::Overspend => self.cover_overspend_s,
        }
    }
}

impl Limits {
    /// Seconds of demand that a router may use of a budget between two settlements.
    pub fn expose_s(&self, weighing: Weighing) -> u64 {
        match weighing {
            Weighing::Refusals => self.expose_refusals_s,
            Weighing::Overspend => self.expose_overspend_s,
        }
    }
}

/// The hash by which the bundle names an access key.
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
