//! The router's settings, read from YAML and validated; all errors are reported at once.
//!
//! ```
//! let errors = router::Settings::read("name: vm-1\n").unwrap_err();
//! assert!(errors.iter().any(|error| error.path == "platform"));
//! ```

use peer::FleetKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use yaml::{ConfigError, Reader};

/// The top-level keys, for error messages.
const KNOWN_KEYS: &str = "name, data-centre, listen, platform, seeds, fleet-keys, trust, limits";
/// The number of hex digits of a public key.
const KEY_DIGITS: usize = 64;

/// The settings of a router.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The name of this VM, unique in the fleet.
    pub name: String,
    /// The data centre of this VM.
    pub data_centre: String,
    /// The addresses to listen on.
    pub listen: Listen,
    /// How the platform's services are reached.
    pub platform: Platform,
    /// Peers to contact at the start, in case the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Secrets shared by the routers. The first one is used for outgoing connections; all are accepted.
    pub fleet_keys: Vec<String>,
    /// The keys that may sign bundles.
    pub trust: Trust,
    /// The limits and intervals of this process.
    pub limits: Limits,
}

/// The addresses on which a router listens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other routers.
    pub peers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address at which peers reach this VM, if it differs from the one it listens on.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
    /// The address to which peers forward callers' requests, if it differs from the one this VM listens on.
    #[serde(default)]
    pub advertise_callers: Option<SocketAddr>,
}

/// How the platform is reached.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    /// The platform's address.
    pub address: SocketAddr,
    /// The timeout of a call, in milliseconds.
    #[serde(default = "second")]
    pub timeout_ms: u64,
}

/// The keys that may sign bundles.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Trust {
    /// The public keys in hex.
    pub keys: Vec<String>,
    /// The number of keys that must have signed a bundle.
    pub needed: usize,
}

/// Limits and intervals of a router process; all times are in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Limits {
    /// The number of worker threads.
    pub threads: usize,
    /// The maximum number of open caller connections.
    pub connections: usize,
    /// The timeout for receiving a request's head.
    pub head_ms: u64,
    /// The timeout for receiving a request's body.
    pub body_ms: u64,
    /// The timeout for the start of an upstream's answer.
    pub start_ms: u64,
    /// The longest time between two events of a stream.
    pub stall_ms: u64,
    /// The timeout of any other call to an upstream.
    pub call_ms: u64,
    /// The timeout of a call to a peer.
    pub peer_ms: u64,
    /// The interval between settlements with the platform.
    pub sync_ms: u64,
    /// The interval at which the platform's bundle head and VM list are read.
    pub poll_ms: u64,
    /// The interval between heartbeats.
    pub beat_ms: u64,
    /// The interval at which the load of each upstream is read.
    pub load_ms: u64,
    /// How long a stopping router still accepts requests, until the load balancer has noticed.
    pub stop_delay_ms: u64,
    /// How long the answer to a request with an idempotency key stays in memory.
    pub answer_ms: u64,
    /// The number of recent requests whose records operators can read.
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
    /// Parses and validates settings.
    ///
    /// # Errors
    /// Returns all errors, sorted by line.
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
            reader.finish(&root, KNOWN_KEYS);
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

/// Converts a setting in milliseconds to a duration.
pub(crate) fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn second() -> u64 {
    1_000
}
