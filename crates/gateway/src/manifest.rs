//! What the operator has put in force: routes, services and teams.

use route::warmup::Warmup;
use std::collections::HashMap;
use std::sync::Arc;

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default)]
pub struct Manifest {
    /// Its version; a router never goes back to an older one.
    pub version: u64,
    /// The routes by host, those with the longest prefix first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: HashMap<String, Service>,
    /// The teams by access key.
    pub keys: HashMap<String, Arc<Team>>,
    /// The teams by name.
    pub teams: HashMap<String, Arc<Team>>,
    /// The largest request body, in bytes.
    pub body_limit: usize,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The paths that it takes begin so.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The time to a first answer that the operator aims at, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between events that the operator aims at, in milliseconds.
    pub gap_ms: u64,
    /// Its rank, 0 first.
    pub priority: u32,
    /// Services with their shares of the requests.
    pub split: Vec<(String, u32)>,
    /// Upstreams that may run one request.
    pub attempts: u32,
    /// Whether requests need no access key.
    pub anonymous: bool,
}

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It may run once.
    Once,
    /// It is answered by a stream and may run once.
    Stream,
    /// It is answered by a stream that another upstream may continue.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run again after it ran or may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A group of upstreams that do the same work.
#[derive(Clone, Debug)]
pub struct Service {
    /// Connections that each of its upstreams takes from all routers together.
    pub connections: usize,
    /// Tokens in one event of a stream, if its upstreams are engines.
    pub stride: u64,
    /// What each of its upstreams bears while it warms up; `None` if the operator says nothing of it.
    pub warmup: Option<Warmup>,
}

/// A team with its prepaid budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Its rank, 0 first; it goes before the route's.
    pub priority: u32,
    /// Tokens that it may use in all; `None` means that nothing bounds it.
    pub reserved: Option<u64>,
}

/// What a manifest says of a request.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// It goes this way, at the cost of this team.
    Allowed(Arc<Route>, Option<Arc<Team>>),
    /// No route takes it.
    NoRoute,
    /// It lacks a known access key.
    NoKey,
}

impl Manifest {
    /// Finds the route and the team of a request.
    pub fn lookup(&self, host: &str, path: &str, key: Option<&str>) -> Lookup {
        let routes = self.routes.get(host).map(Vec::as_slice).unwrap_or_default();
        let Some(route) = routes.iter().find(|route| path.starts_with(&route.prefix)) else {
            return Lookup::NoRoute;
        };
        let team = key.and_then(|key| self.keys.get(key)).cloned();
        if team.is_none() && !route.anonymous && !self.teams.is_empty() {
            return Lookup::NoKey;
        }
        Lookup::Allowed(route.clone(), team)
    }
}

impl Route {
    /// The service of a request: by the shares, and always the same one for the same request.
    pub fn select_service(&self, request: &str) -> Option<&str> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut point = xxhash_rust::xxh3::xxh3_64(request.as_bytes()) % total.max(1);
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}
