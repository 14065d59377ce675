//! The parts and limits of a fleet.

use budget::ledger::Credit;
use bundle::{Budget, Bundle, Key, Limits, Model, Route, Service, Team, Upstream, Weighing, hash_key};
use standin::EngineConfig;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The names of the two teams of [`Plan::small`].
pub const TEAMS: [&str; 2] = ["storm-desk", "field-office"];

/// A team of a fleet.
#[derive(Clone, Debug)]
pub struct TeamPlan {
    /// The name.
    pub name: String,
    /// The number of prepaid tokens.
    pub tokens: u64,
    /// The weight.
    pub weight: u32,
    /// Which kind of error to avoid first for the team's budget.
    pub weighing: Weighing,
}

impl TeamPlan {
    /// The access key.
    pub fn key(&self) -> String {
        format!("sk-{}", self.name)
    }
}

/// The parts and limits of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of routers.
    pub routers: usize,
    /// The configurations of the engines.
    pub engines: Vec<EngineConfig>,
    /// Whether routers reach each engine through a proxy.
    pub engine_proxies: bool,
    /// The teams.
    pub teams: Vec<TeamPlan>,
    /// The models in addition to `narrator` and `hail-flag`.
    pub models: BTreeMap<String, Model>,
    /// The limits in the bundle.
    pub limits: Limits,
    /// The limits in the settings of the routers.
    pub router_limits: router::Limits,
    /// The number of signatures that a bundle needs.
    pub needed_signatures: usize,
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
        let config = EngineConfig {
            models: vec!["narrator".to_owned(), "hail-flag".to_owned()],
            ..EngineConfig::default()
        };
        Plan {
            routers: 3,
            engines: vec![config; 3],
            engine_proxies: false,
            teams: vec![team(TEAMS[0], 1_000_000), team(TEAMS[1], 200_000)],
            models: BTreeMap::new(),
            limits: Limits { budget_wait_ms: 1_000, ..Limits::default() },
            router_limits: router::Limits {
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
            needed_signatures: 1,
        }
    }

    /// Builds the bundle for engines and a plain service at these addresses.
    pub fn bundle(&self, engines: &[SocketAddr], service: SocketAddr) -> Bundle {
        let teams = self.teams.iter().map(|team| {
            let credit = Credit { id: "prepaid-1".to_owned(), tokens: team.tokens };
            let budget = Budget { credits: vec![credit], weighing: team.weighing };
            let key = Key { hash: hash_key(&team.key()), budget: "main".to_owned() };
            let content =
                Team { weight: team.weight, keys: vec![key], budgets: [("main".to_owned(), budget)].into() };
            (team.name.clone(), Arc::new(content))
        });
        let upstreams = engines.iter().zip(&self.engines).enumerate().map(|(index, (address, config))| {
            let upstream = Upstream {
                address: *address,
                data_centre: format!("dc-{}", index % 3),
                slots: config.slots,
                models: config.models.clone(),
                checks_fence: config.checks_fence,
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
