//! The gateway's settings, read from YAML and checked as a whole.
//!
//! ```
//! let mistakes = gateway::Settings::read("name: vm-1\n").unwrap_err();
//! assert!(mistakes.iter().any(|mistake| mistake.path == "store"));
//! ```

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use yaml::{Mistake, Reader};

/// The keys of the settings.
const KNOWN_KEYS: &str =
    "name, data-centre, listen, store, store-writes-per-s, threads, cpu-share, link-mbps, record-ms, bounds";
/// How long charges may wait for a settlement: notes tell of them, so it only keeps the record.
const DEFAULT_RECORD_MS: u64 = 8_000;
/// Writes that the store takes in a second where the settings don't say: today's smallest deployments have so many.
const DEFAULT_STORE_WRITES_PER_S: u64 = 600;

/// Everything a gateway learns from its settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The name of this VM, unique in the fleet.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it listens.
    pub listen: Listen,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Writes that the store takes in a second, from all gateways together.
    pub store_writes_per_s: u64,
    /// Worker threads: one for each core.
    pub threads: usize,
    /// The part of each core that this VM has.
    pub cpu_share: f64,
    /// What this VM's link carries in each direction, in Mbit/s; `None` if that is not known.
    pub link_mbps: Option<f64>,
    /// How long charges may wait until they are recorded in the store, in milliseconds.
    pub record_ms: u64,
    /// What the operators agreed with the platform.
    pub bounds: Bounds,
}

/// Where a gateway listens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// For the other gateways' datagrams.
    pub peers: SocketAddr,
    /// For whoever collects metrics.
    pub metrics: SocketAddr,
}

/// Bounds that the whole deployment keeps.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Bounds {
    /// Time between the request to stop and the end of the process, in seconds.
    pub grace_s: f64,
    /// Repeated dispatches allowed for each request.
    pub retry_ratio: f64,
    /// Repeated dispatches allowed beyond that, by all routers together, in one window.
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
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Returns every mistake with its line.
    pub fn read(text: &str) -> Result<Settings, Vec<Mistake>> {
        let read = yaml::read(text, |reader, mut root| {
            let name = reader.need::<String>(&mut root, "name");
            let data_centre = reader.need::<String>(&mut root, "data-centre");
            let listen = reader.need::<Listen>(&mut root, "listen");
            let store = reader.need::<SocketAddr>(&mut root, "store");
            let writes = reader.take::<u64>(&mut root, "store-writes-per-s");
            let store_writes_per_s = writes.unwrap_or(DEFAULT_STORE_WRITES_PER_S);
            let threads = reader.take::<usize>(&mut root, "threads").unwrap_or(1);
            let cpu_share = reader.take::<f64>(&mut root, "cpu-share").unwrap_or(1.0);
            let link_mbps = reader.take::<f64>(&mut root, "link-mbps");
            let record_ms = reader.take::<u64>(&mut root, "record-ms").unwrap_or(DEFAULT_RECORD_MS);
            let bounds = reader.take::<Bounds>(&mut root, "bounds").unwrap_or_default();
            for key in root.keys().filter_map(|key| key.as_str()) {
                reader.add(&[key], format!("unknown key; known are {KNOWN_KEYS}"));
            }
            check(reader, threads, &bounds);
            if store_writes_per_s == 0 {
                reader.add(&["store-writes-per-s"], "must be at least 1");
            }
            if !(cpu_share > 0.0 && cpu_share.is_finite()) {
                reader.add(&["cpu-share"], "must be above 0");
            }
            if link_mbps.is_some_and(|mbps| !(mbps > 0.0 && mbps.is_finite())) {
                reader.add(&["link-mbps"], "must be above 0; leave it out if the link is not known");
            }
            Some(Settings {
                name: name?,
                data_centre: data_centre?,
                listen: listen?,
                store: store?,
                store_writes_per_s,
                threads,
                cpu_share,
                link_mbps,
                record_ms,
                bounds,
            })
        })?;
        Ok(read.expect("what is missing was named as a mistake"))
    }

    /// Processor cores that this VM has.
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
