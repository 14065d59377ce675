//! Whether a gateway has more work than its VM bears, and what it does about it.
//!
//! Callers reach a gateway by a hash of who they are, so one large caller overruns one small VM while its neighbours have room. Only
//! the balancer can bring callers elsewhere, and it follows readiness: an overrun gateway steps back, so that new connections go to
//! others, and closes some of those that it has after their answers, so that there are new ones.
//!
//! ```
//! use route::{LoadSample, OverloadMonitor};
//!
//! let mut strain = OverloadMonitor::new(None);
//! for at in (0..2_000).step_by(100) {
//!     strain.record(LoadSample { at, timer_delay_ms: 80.0, link_bytes: 0 });
//! }
//! assert!(strain.is_unready(), "it was late all the time");
//! ```

use crate::Millis;

/// A gateway whose timers are so late is overrun, in milliseconds: a request passes its event loop some five times, so this takes
/// half of the time that the shortest calls have.
const OVERLOAD_DELAY_MS: f64 = 30.0;
/// A gateway whose timers are no later than this has room again, in milliseconds.
const RECOVERY_DELAY_MS: f64 = 8.0;
/// Timers that are later than this count as so late, in milliseconds: a VM that stood still for seconds is not overrun.
const MAX_DELAY_MS: f64 = 40.0;
/// A link of which so much is used is full soon, as a share: for two seconds more the balancer sends whoever comes.
const OVERLOAD_UTILIZATION: f64 = 0.6;
/// A link of which no more than this is used has room again, as a share.
const RECOVERY_UTILIZATION: f64 = 0.35;
/// The time over which samples count, in milliseconds: a prompt takes a tenth of it on a link of 10 Mbit/s.
const AVERAGING_TIME_MS: f64 = 200.0;
/// How long a gateway is overrun before it steps back, in milliseconds.
const OVERLOAD_DURATION_MS: Millis = 100;
/// How long a gateway stays back at least, in milliseconds: the balancer asks each second and believes the second answer.
const MIN_UNREADY_MS: Millis = 3_000;
/// The part of the answers after which an overrun gateway that has stepped back closes the connection: with few the load stays, and
/// with all of them it moves on to the next gateway at once.
const CLOSE_PROBABILITY: f64 = 0.3;

/// What was observed of a gateway at one moment.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// When.
    pub at: Millis,
    /// How late its timer was, in milliseconds.
    pub timer_delay_ms: f64,
    /// Bytes that elapsed_ms the fuller direction of its link since the sample before.
    pub link_bytes: u64,
}

/// What changed with a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadinessChange {
    /// Nothing.
    Unchanged,
    /// The gateway takes no new callers from now on.
    BecameUnready,
    /// It takes new callers again.
    BecameReady,
}

/// How a gateway bears its work.
#[derive(Clone, Debug)]
pub struct OverloadMonitor {
    link_bytes_per_s: Option<f64>,
    last_sample: Option<Millis>,
    timer_delay_ms: f64,
    /// The share of the link that is used.
    link_utilization: f64,
    overloaded_since: Option<Millis>,
    unready_since: Option<Millis>,
}

impl OverloadMonitor {
    /// A gateway with a link that carries so many bytes in a second, if that is known.
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

    /// Takes in what was observed.
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

    /// Whether the gateway takes no new callers.
    pub fn is_unready(&self) -> bool {
        self.unready_since.is_some()
    }

    /// Whether the connection of an answer is closed after it; `random` is drawn evenly between 0 and 1.
    pub fn should_close_connection(&self, random: f64) -> bool {
        self.is_unready() && self.is_overloaded() && random < CLOSE_PROBABILITY
    }

    /// How late timers are, in milliseconds, and the share of the link that is used.
    pub fn averages(&self) -> (f64, f64) {
        (self.timer_delay_ms, self.link_utilization)
    }
}
