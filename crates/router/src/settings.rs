//! The router's settings, read from YAML and checked as a whole.
//!
//! ```
//! let mistakes = router::Settings::read("name: vm-1\n").unwrap_err();
//! assert!(mistakes.iter().any(|mistake| mistake.path == "platform"));
//! ```

use peer::FleetKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use yaml::{ConfigError, Reader};

/// The keys of the settings.
const KEYS: &str = "name, data-centre, listen, platform, seeds, fleet-keys, trust, limits";
/// Hex digits of a public key.
const KEY_DIGITS: usize = 64;

/// Everything a router learns from its settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The name of this VM, unique in the fleet.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Peers to ask while the platform is away at the start.
    pub seeds: Vec<SocketAddr>,
    /// Secrets shared by the routers; the first is used, all are accepted.
    pub fleet_keys: Vec<String>,
    /// Who may sign bundles.
    pub trust: Trust,
    /// What bounds this process.
    pub limits: Limits,
}

/// Where a router listens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// Where peers reach this VM, if it is not where it listens for them.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
    /// Where peers pass callers' requests on to, if it is not where this VM listens for callers.
    #[serde(default)]
    pub advertise_callers: Option<SocketAddr>,
}

/// How the platform is reached.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    /// When a call is given up, in milliseconds.
    #[serde(default = "second")]
    pub timeout_ms: u64,
}

/// Who may sign bundles.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Trust {
    /// Public keys in hex.
    pub keys: Vec<String>,
    /// How many of them must have signed.
    pub needed: usize,
}

/// What bounds a router process; all times in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Limits {
    /// Worker threads.
    pub threads: usize,
    /// Caller connections open at once.
    pub connections: usize,
    /// Time for a request's head to arrive.
    pub head_ms: u64,
    /// Time for a request's body to arrive.
    pub body_ms: u64,
    /// Time for an upstream to begin its answer.
    pub start_ms: u64,
    /// Time between two events of a stream.
    pub stall_ms: u64,
    /// Time for any other call to an upstream.
    pub call_ms: u64,
    /// Time for a call to a peer.
    pub peer_ms: u64,
    /// Time between two settlements with the platform.
    pub sync_ms: u64,
    /// Time between two looks at the platform's bundle and VM list.
    pub poll_ms: u64,
    /// Time between two heartbeats.
    pub beat_ms: u64,
    /// Time between two looks at an upstream's load.
    pub load_ms: u64,
    /// How long new work is still taken after a request to stop, until the balancer has noticed.
    pub stop_delay_ms: u64,
    /// How long the answer to a request with an idempotency key is kept in memory.
    pub answer_ms: u64,
    /// Requests explained on the operators' listener.
    pub records: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            threads: 4,
            connections: 20_000,
            head_ms: 10_000,
            body_ms: 30_000,
            start_ms: 120_000,
            stall_ms: 20_000,
            call_ms: 2_000,
            peer_ms: 500,
            sync_ms: 1_000,
            poll_ms: 500,
            beat_ms: 1_000,
            load_ms: 500,
            stop_delay_ms: 2_000,
            answer_ms: 600_000,
            records: 4_096,
        }
    }
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Returns every mistake, in the order of the lines.
    pub fn read(text: &str) -> Result<Settings, Vec<ConfigError>> {
        let built = yaml::read(text, |reader, mut root| {
            let name = reader.require(&mut root, "name");
            let data_centre = reader.require(&mut root, "data-centre");
            let listen = reader.require(&mut root, "listen");
            let platform = reader.require(&mut root, "platform");
            let trust = reader.require(&mut root, "trust");
            let fleet_keys = reader.require(&mut root, "fleet-keys");
            let seeds = reader.take(&mut root, "seeds").unwrap_or_default();
            let limits = reader.take(&mut root, "limits").unwrap_or_default();
            reader.finish(&root, KEYS);
            let settings = Settings {
                name: name?,
                data_centre: data_centre?,
                listen: listen?,
                platform: platform?,
                seeds,
                fleet_keys: fleet_keys?,
                trust: trust?,
                limits,
            };
            check(reader, &settings);
            Some(settings)
        })?;
        built.ok_or_else(Vec::new)
    }

    /// The fleet keys.
    pub(crate) fn keys(&self) -> Vec<FleetKey> {
        self.fleet_keys.iter().filter_map(|key| FleetKey::new(key).ok()).collect()
    }
}

fn check(reader: &mut Reader, settings: &Settings) {
    if !yaml::is_name(&settings.name) {
        reader.add(&["name"], "a name has 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'");
    }
    if settings.fleet_keys.is_empty() {
        reader.add(&["fleet-keys"], "at least one key is needed");
    }
    for (index, key) in settings.fleet_keys.iter().enumerate() {
        if let Err(error) = FleetKey::new(key) {
            reader.add(&["fleet-keys", &index.to_string()], error.to_string());
        }
    }
    for (index, key) in settings.trust.keys.iter().enumerate() {
        let is_hex = key.bytes().all(|byte| byte.is_ascii_hexdigit());
        if key.len() != KEY_DIGITS || !is_hex {
            reader.add(&["trust", "keys", &index.to_string()], "must be a public key in 64 hex digits");
        }
    }
    if settings.trust.needed == 0 || settings.trust.needed > settings.trust.keys.len() {
        let reason =
            format!("{} is not allowed; 1 to the {} keys", settings.trust.needed, settings.trust.keys.len());
        reader.add(&["trust", "needed"], reason);
    }
    let limits = &settings.limits;
    let times = [
        ("body-ms", limits.body_ms),
        ("call-ms", limits.call_ms),
        ("beat-ms", limits.beat_ms),
        ("head-ms", limits.head_ms),
        ("load-ms", limits.load_ms),
        ("peer-ms", limits.peer_ms),
        ("poll-ms", limits.poll_ms),
        ("stall-ms", limits.stall_ms),
        ("start-ms", limits.start_ms),
        ("sync-ms", limits.sync_ms),
        ("threads", limits.threads as u64),
        ("connections", limits.connections as u64),
        ("records", limits.records as u64),
    ];
    for (key, value) in times {
        if value == 0 {
            reader.add(&["limits", key], "0 is not allowed; at least 1");
        }
    }
}

/// A setting in milliseconds as a duration.
pub(crate) fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn second() -> u64 {
    1_000
}
