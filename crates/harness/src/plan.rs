//! What a fleet consists of.

use budget::ledger::Credit;
use bundle::{Budget, Bundle, Key, Limits, Model, Route, Service, Team, Upstream, Weighing, hash_key};
use standin::Shape;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The names of the first two teams.
pub const TEAMS: [&str; 2] = ["storm-desk", "field-office"];

/// One team of a plan.
#[derive(Clone, Debug)]
pub struct TeamPlan {
    /// Its name.
    pub name: String,
    /// Its prepaid tokens.
    pub tokens: u64,
    /// Its weight.
    pub weight: u32,
    /// Which error weighs more.
    pub weighing: Weighing,
}

impl TeamPlan {
    /// Its access key.
    pub fn key(&self) -> String {
        format!("sk-{}", self.name)
    }
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many routers.
    pub routers: usize,
    /// The engines.
    pub engines: Vec<Shape>,
    /// Whether each engine is reached through a proxy of its own.
    pub engine_proxies: bool,
    /// The teams.
    pub teams: Vec<TeamPlan>,
    /// The models beside `narrator` and `hail-flag`.
    pub models: BTreeMap<String, Model>,
    /// What bounds the routers, by the bundle.
    pub limits: Limits,
    /// What bounds the router processes, by their settings.
    pub node: router::Limits,
    /// How many signatures a bundle needs.
    pub needed: usize,
}

impl Plan {
    /// Three routers, three engines, one plain service and two teams.
    pub fn small() -> Plan {
        let team = |name: &str, tokens| TeamPlan {
            name: name.to_owned(),
            tokens,
            weight: 1,
            weighing: Weighing::Refusals,
        };
        let shape = Shape { models: vec!["narrator".to_owned(), "hail-flag".to_owned()], ..Shape::default() };
        Plan {
            routers: 3,
            engines: vec![shape; 3],
            engine_proxies: false,
            teams: vec![team(TEAMS[0], 1_000_000), team(TEAMS[1], 200_000)],
            models: BTreeMap::new(),
            limits: Limits { budget_wait_ms: 1_000, ..Limits::default() },
            node: router::Limits {
                threads: 2,
                sync_ms: 100,
                poll_ms: 50,
                beat_ms: 50,
                load_ms: 100,
                stop_delay_ms: 100,
                call_ms: 500,
                stall_ms: 1_000,
                peer_ms: 200,
                ..router::Limits::default()
            },
            needed: 1,
        }
    }

    /// The bundle of this plan with its parts at these addresses.
    pub fn bundle(&self, engines: &[SocketAddr], service: SocketAddr) -> Bundle {
        let teams = self.teams.iter().map(|team| {
            let credit = Credit { id: "prepaid-1".to_owned(), tokens: team.tokens };
            let budget = Budget { credits: vec![credit], weighing: team.weighing };
            let key = Key { hash: hash_key(&team.key()), budget: "main".to_owned() };
            let content =
                Team { weight: team.weight, keys: vec![key], budgets: [("main".to_owned(), budget)].into() };
            (team.name.clone(), Arc::new(content))
        });
        let upstreams = engines.iter().zip(&self.engines).enumerate().map(|(index, (address, shape))| {
            let upstream = Upstream {
                address: *address,
                data_centre: format!("dc-{}", index % 3),
                slots: shape.slots,
                models: shape.models.clone(),
                checks_fence: shape.fences,
            };
            (format!("engine-{}", index + 1), upstream)
        });
        let model = |priority, repeatable| Model {
            context: 32_768,
            default_max_tokens: 64,
            repeatable,
            priority,
            deadline_ms: 10_000,
        };
        let mut models: BTreeMap<String, Model> =
            [("narrator".to_owned(), model(5, true)), ("hail-flag".to_owned(), model(0, false))].into();
        models.extend(self.models.clone());
        let route = Route { prefix: "/dispatch".to_owned(), repeatable: false };
        let tiles = Service { addresses: vec![service], cost: 1, routes: vec![route] };
        Bundle {
            teams: teams.collect(),
            upstreams: upstreams.collect(),
            evacuated: BTreeSet::new(),
            models,
            services: [("tiles".to_owned(), tiles)].into(),
            limits: self.limits.clone(),
        }
    }
}
