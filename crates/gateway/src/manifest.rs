//! The configuration set by the operator: routes, services and teams.

use route::warmup::Warmup;
use std::collections::HashMap;
use std::sync::Arc;

/// One complete version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Manifest {
    /// The version; a gateway never goes back to an older one.
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

/// How the requests for one host and path prefix are handled.
#[derive(Clone, Debug)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The prefix of the paths that the route matches.
    pub prefix: String,
    /// Whether a request may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// The target time to the first answer, in milliseconds.
    pub target_ms: u64,
    /// The target for the longest gap between two events of a stream, in milliseconds.
    pub gap_ms: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The services that share the requests, with their weights.
    pub split: Vec<(String, u32)>,
    /// The most upstreams that may run one request.
    pub attempts: u32,
    /// Whether requests need no access key.
    pub anonymous: bool,
}

/// Whether the requests of a route may be repeated, and whether their answers are streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run only once.
    Once,
    /// A request is answered by a stream and may run only once.
    Stream,
    /// A request is answered by a stream that another upstream may resume.
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

/// A group of interchangeable upstreams.
#[derive(Clone, Debug)]
pub struct Service {
    /// The most connections that each of its upstreams accepts from all gateways together.
    pub connections: usize,
    /// The number of tokens in one event of a stream, if its upstreams are inference engines.
    pub stride: u64,
    /// The path at which its upstreams tell whether they are well.
    pub health_path: Option<String>,
    /// The load that each of its upstreams can handle while warming up; `None` if the operator has not
    /// configured it.
    pub warmup: Option<Warmup>,
}

/// A team with its prepaid budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// The name of the team.
    pub name: String,
    /// The priority, 0 being the most urgent. It takes precedence over that of the route.
    pub priority: u32,
    /// The tokens that the team may use in total; `None` if its use is unlimited.
    pub reserved: Option<u64>,
}

/// The result of looking up a request in the manifest.
#[derive(Clone, Debug)]
pub enum Lookup {
    /// The request is allowed on this route, and this team pays for it.
    Allowed(Arc<Route>, Option<Arc<Team>>),
    /// No route matches the request.
    NoRoute,
    /// The request lacks a known access key.
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
    /// Selects the service of a request by the weights, always the same one for the same request.
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
