//! Detection of a gateway that has more work than its VM can handle, and shedding of its connections.
//!
//! The balancer assigns callers to gateways by a hash of the caller, so one large caller can overload a small
//! VM while its neighbours have spare capacity. Only the balancer can move callers elsewhere, and it follows
//! readiness. An overloaded gateway therefore reports that it is not ready, which directs new connections to
//! other gateways, and closes some of its connections after their answers, which makes callers open new ones.
//!
//! ```
//! use route::{LoadSample, OverloadMonitor};
//!
//! let mut monitor = OverloadMonitor::new(None);
//! for at in (0..2_000).step_by(100) {
//!     monitor.record(LoadSample { at, timer_delay_ms: 80.0, link_bytes: 0 });
//! }
//! assert!(monitor.is_unready(), "its timers were late all the time");
//! ```

use crate::Millis;

/// The timer delay from which on a gateway is overloaded, in milliseconds. A request passes the event loop
/// about five times, so this delay takes up half of the time allowed for the shortest calls.
const OVERLOAD_DELAY_MS: f64 = 30.0;
/// The timer delay up to which a gateway has recovered, in milliseconds.
const RECOVERY_DELAY_MS: f64 = 8.0;
/// Longer timer delays are counted as this one, in milliseconds: a VM that was paused for seconds is not
/// overloaded.
const MAX_DELAY_MS: f64 = 40.0;
/// The utilization of the link, as a share, from which on a gateway is overloaded. Below 1, since the
/// balancer keeps sending new connections for two more seconds.
const OVERLOAD_UTILIZATION: f64 = 0.6;
/// The utilization of the link, as a share, up to which a gateway has recovered.
const RECOVERY_UTILIZATION: f64 = 0.35;
/// The time constant of the averages, in milliseconds. A prompt takes a tenth of it on a link of 10 Mbit/s.
const AVERAGING_TIME_MS: f64 = 200.0;
/// How long a gateway has to be overloaded before it becomes unready, in milliseconds.
const OVERLOAD_DURATION_MS: Millis = 100;
/// How long a gateway stays unready at least, in milliseconds: the balancer checks every second and acts on
/// the second consecutive answer.
const MIN_UNREADY_MS: Millis = 3_000;
/// The share of answers after which an overloaded, unready gateway closes the connection. With a small share
/// the load stays, and with all of them it would move to the next gateway at once.
const CLOSE_PROBABILITY: f64 = 0.3;

/// The load of a gateway at one moment.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// When the sample was taken.
    pub at: Millis,
    /// How late the gateway's timer fired, in milliseconds.
    pub timer_delay_ms: f64,
    /// Bytes in the busier direction of the link since the previous sample.
    pub link_bytes: u64,
}

/// How a sample changed the readiness of a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadinessChange {
    /// The readiness is unchanged.
    Unchanged,
    /// The gateway takes no new connections from now on.
    BecameUnready,
    /// The gateway takes new connections again.
    BecameReady,
}

/// Determines from averaged samples whether a gateway is ready for new connections.
#[derive(Clone, Debug)]
pub struct OverloadMonitor {
    link_bytes_per_s: Option<f64>,
    last_sample: Option<Millis>,
    timer_delay_ms: f64,
    /// As a share of the capacity of the link.
    link_utilization: f64,
    overloaded_since: Option<Millis>,
    unready_since: Option<Millis>,
}

impl OverloadMonitor {
    /// Creates a monitor for a gateway whose link carries `link_bytes_per_s`, if that is known.
    pub fn new(link_bytes_per_s: Option<f64>) -> OverloadMonitor {
        OverloadMonitor {
            link_bytes_per_s,
            last_sample: None,
            timer_delay_ms: 0.0,
            link_utilization: 0.0,
            overloaded_since: None,
            unready_since: None,
        }
    }

    /// Updates the averages with a sample, and the readiness.
    pub fn record(&mut self, sample: LoadSample) -> ReadinessChange {
        let LoadSample { at, timer_delay_ms, link_bytes } = sample;
        let elapsed_ms = at.saturating_sub(self.last_sample.replace(at).unwrap_or(at)) as f64;
        let weight = 1.0 - (-elapsed_ms / AVERAGING_TIME_MS).exp();
        self.timer_delay_ms += weight * (timer_delay_ms.min(MAX_DELAY_MS) - self.timer_delay_ms);
        if let Some(rate) = self.link_bytes_per_s.filter(|_| elapsed_ms > 0.0) {
            self.link_utilization +=
                weight * (link_bytes as f64 * 1_000.0 / elapsed_ms / rate - self.link_utilization);
        }
        if !self.is_overloaded() {
            self.overloaded_since = None;
        } else {
            self.overloaded_since.get_or_insert(at);
        }
        self.decide(at)
    }

    fn decide(&mut self, now: Millis) -> ReadinessChange {
        match self.unready_since {
            None if self.overloaded_since.is_some_and(|since| now - since >= OVERLOAD_DURATION_MS) => {
                self.unready_since = Some(now);
                ReadinessChange::BecameUnready
            }
            Some(since) if now - since >= MIN_UNREADY_MS && self.has_recovered() => {
                self.unready_since = None;
                ReadinessChange::BecameReady
            }
            _ => ReadinessChange::Unchanged,
        }
    }

    fn is_overloaded(&self) -> bool {
        self.timer_delay_ms >= OVERLOAD_DELAY_MS || self.link_utilization >= OVERLOAD_UTILIZATION
    }

    fn has_recovered(&self) -> bool {
        self.timer_delay_ms <= RECOVERY_DELAY_MS && self.link_utilization <= RECOVERY_UTILIZATION
    }

    /// Whether the gateway takes no new connections.
    pub fn is_unready(&self) -> bool {
        self.unready_since.is_some()
    }

    /// Whether to close a connection after its answer; `random` is uniformly distributed between 0 and 1.
    pub fn should_close_connection(&self, random: f64) -> bool {
        self.is_unready() && self.is_overloaded() && random < CLOSE_PROBABILITY
    }

    /// The average timer delay, in milliseconds, and the average utilization of the link, as a share.
    pub fn averages(&self) -> (f64, f64) {
        (self.timer_delay_ms, self.link_utilization)
    }
}
