//! The settings of a gateway, read from YAML and validated as a whole.
//!
//! ```
//! let mistakes = gateway::Settings::read("name: vm-1\n").unwrap_err();
//! assert!(mistakes.iter().any(|mistake| mistake.path == "store"));
//! ```

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use yaml::{ConfigError, Reader};

/// The keys that the settings may contain, as listed in error messages.
const KNOWN_KEYS: &str = "name, data-centre, region, listen, store, store-writes-per-s, threads, cpu-share, memory-mb, link-mbps, record-ms, first-start, upstream-heartbeat-ms, bounds";
/// The default time that charges may wait for settlement, in milliseconds. Notes already protect the charges,
/// so that settlement only keeps the record up to date.
const DEFAULT_RECORD_MS: u64 = 8_000;
/// The default for the writes per second that the store accepts: the number that the smallest deployments
/// have.
const DEFAULT_STORE_WRITES_PER_S: u64 = 600;
/// The default interval at which upstreams write their entries, in milliseconds.
const DEFAULT_UPSTREAM_HEARTBEAT_MS: u64 = 1_200;

/// The capacity up to which a link counts as narrow, in Mbit/s. A prompt of 12,000 tokens takes 1 ms on it, so
/// that several of them at once do not delay the messages between gateways.
const NARROW_LINK_MBPS: f64 = 100.0;

/// The settings of a gateway.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The name of this VM, unique in the fleet.
    pub name: String,
    /// The data centre of this VM.
    pub data_centre: String,
    /// The region of this VM; empty if there is only one.
    pub region: String,
    /// The addresses that the gateway listens on.
    pub listen: Listen,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The writes per second that the store accepts from all gateways together.
    pub store_writes_per_s: u64,
    /// The number of worker threads, one for each core.
    pub threads: usize,
    /// The share of each core that this VM has.
    pub cpu_share: f64,
    /// The memory of this VM, in MB; `None` if it is not known.
    pub memory_mb: Option<f64>,
    /// The capacity of this VM's link in each direction, in Mbit/s; `None` if it is not known.
    pub link_mbps: Option<f64>,
    /// How long charges may wait until they are recorded in the store, in milliseconds.
    pub record_ms: u64,
    /// Whether the whole system starts for the first time, so that no stream can have begun before.
    pub first_start: bool,
    /// The interval at which upstreams write their entries of the list, in milliseconds.
    pub upstream_heartbeat_ms: u64,
    /// The bounds that the operators have agreed with the platform.
    pub bounds: Bounds,
}

/// The addresses that a gateway listens on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// For the requests and datagrams of the other gateways.
    pub peers: SocketAddr,
    /// For metrics collectors.
    pub metrics: SocketAddr,
}

/// Bounds for the whole deployment.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Bounds {
    /// The time between the request to stop and the end of the process, in seconds.
    pub grace_s: f64,
    /// The repeated dispatches allowed for each request.
    pub retry_ratio: f64,
    /// The repeated dispatches allowed beyond that by all gateways together, in one window.
    pub retry_extra: f64,
    /// The length of that window, in seconds.
    pub retry_window_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { grace_s: 8.0, retry_ratio: 0.1, retry_extra: 10.0, retry_window_s: 10.0 }
    }
}

impl Settings {
    /// Reads and validates settings.
    ///
    /// # Errors
    /// Returns every mistake with its line.
    pub fn read(text: &str) -> Result<Settings, Vec<ConfigError>> {
        let read = yaml::read(text, |reader, mut root| {
            let name = reader.require::<String>(&mut root, "name");
            let data_centre = reader.require::<String>(&mut root, "data-centre");
            let region = reader.take::<String>(&mut root, "region").unwrap_or_default();
            let listen = reader.require::<Listen>(&mut root, "listen");
            let store = reader.require::<SocketAddr>(&mut root, "store");
            let writes = reader.take::<u64>(&mut root, "store-writes-per-s");
            let store_writes_per_s = writes.unwrap_or(DEFAULT_STORE_WRITES_PER_S);
            let threads = reader.take::<usize>(&mut root, "threads").unwrap_or(1);
            let cpu_share = reader.take::<f64>(&mut root, "cpu-share").unwrap_or(1.0);
            let memory_mb = reader.take::<f64>(&mut root, "memory-mb");
            let link_mbps = reader.take::<f64>(&mut root, "link-mbps");
            let record_ms = reader.take::<u64>(&mut root, "record-ms").unwrap_or(DEFAULT_RECORD_MS);
            let first_start = reader.take::<bool>(&mut root, "first-start").unwrap_or_default();
            let heartbeat = reader.take::<u64>(&mut root, "upstream-heartbeat-ms");
            let upstream_heartbeat_ms = heartbeat.unwrap_or(DEFAULT_UPSTREAM_HEARTBEAT_MS);
            let bounds = reader.take::<Bounds>(&mut root, "bounds").unwrap_or_default();
            for key in root.keys().filter_map(|key| key.as_str()) {
                reader.add(&[key], format!("unknown key; known are {KNOWN_KEYS}"));
            }
            check(reader, threads, &bounds);
            if store_writes_per_s == 0 {
                reader.add(&["store-writes-per-s"], "must be at least 1");
            }
            if upstream_heartbeat_ms == 0 {
                reader.add(&["upstream-heartbeat-ms"], "must be at least 1");
            }
            if !(cpu_share > 0.0 && cpu_share.is_finite()) {
                reader.add(&["cpu-share"], "must be above 0");
            }
            if memory_mb.is_some_and(|mb| !(mb > 0.0 && mb.is_finite())) {
                reader.add(&["memory-mb"], "must be above 0; leave it out if the memory is not known");
            }
            if link_mbps.is_some_and(|mbps| !(mbps > 0.0 && mbps.is_finite())) {
                reader.add(&["link-mbps"], "must be above 0; leave it out if the link is not known");
            }
            Some(Settings {
                name: name?,
                data_centre: data_centre?,
                region,
                listen: listen?,
                store: store?,
                store_writes_per_s,
                threads,
                cpu_share,
                memory_mb,
                link_mbps,
                record_ms,
                first_start,
                upstream_heartbeat_ms,
                bounds,
            })
        })?;
        Ok(read.expect("a missing key was reported as a mistake"))
    }

    /// Whether the messages between gateways may have to wait for callers' traffic on this VM's link.
    pub(crate) fn has_narrow_link(&self) -> bool {
        self.link_mbps.is_some_and(|mbps| mbps <= NARROW_LINK_MBPS)
    }

    /// The processor cores that this VM has, as a fraction if it shares them.
    pub(crate) fn cores(&self) -> f64 {
        self.cpu_share * self.threads as f64
    }

    /// The time between the request to stop and the end of the process.
    pub(crate) fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }
}

fn check(reader: &mut Reader, threads: usize, bounds: &Bounds) {
    if threads == 0 {
        reader.add(&["threads"], "must be at least 1");
    }
    if !(0.0..=1.0).contains(&bounds.retry_ratio) {
        reader.add(&["bounds", "retry-ratio"], "must be between 0 and 1");
    }
    if bounds.retry_extra < 0.0 {
        reader.add(&["bounds", "retry-extra"], "must not be negative");
    }
    for (key, seconds) in [("grace-s", bounds.grace_s), ("retry-window-s", bounds.retry_window_s)] {
        if !(seconds > 0.0 && seconds.is_finite()) {
            reader.add(&["bounds", key], "must be above 0");
        }
    }
}
