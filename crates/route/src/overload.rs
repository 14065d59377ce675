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
/// The longest wait for the link that callers tolerate, in milliseconds. Plain calls have a target of 120 ms.
const TOLERATED_WAIT_MS: f64 = 100.0;
/// The size of a prompt of 12,000 tokens with its headers, in bytes.
const PROMPT_BYTES: f64 = 12_700.0;
/// The number of mean waits that one request in a hundred exceeds if waits are distributed exponentially: the
/// natural logarithm of 100.
const WAITS_OF_SLOWEST: f64 = 4.6;
/// The share of the link's capacity that the gateway counts on while it is saturated. Packet headers and
/// messages to the store and other gateways are not counted, and a link may be narrower than its setting: with
/// the full capacity, a link at 0.7 of its setting was never overloaded.
const COUNTED_SHARE: f64 = 0.85;
/// The least utilization from which on a gateway is overloaded. It holds for links below 5.5 Mbit/s.
const MIN_OVERLOAD_UTILIZATION: f64 = 0.6;
/// How far below overload the utilization of a recovered link is: at 0.34 on 10 Mbit/s, above what its other
/// callers usually send. A gateway that returns with more load still has connections of its heavy caller and
/// gets the others back.
const RECOVERY_MARGIN: f64 = 0.35;
/// How far below overload an unready gateway stops closing connections. With a larger margin more load moves
/// to the next gateway, which is then overloaded in turn.
const CLOSING_MARGIN: f64 = 0.05;
/// The time constant of the averages, in milliseconds. A prompt takes a tenth of it on a link of 10 Mbit/s.
const AVERAGING_TIME_MS: f64 = 200.0;
/// How long a gateway has to be overloaded before it becomes unready, in milliseconds.
const OVERLOAD_DURATION_MS: Millis = 100;
/// How long a gateway stays unready at least, in milliseconds: the balancer checks every second and acts on
/// the second consecutive answer.
const MIN_UNREADY_MS: Millis = 3_000;
/// The limit of unready periods that grow, in milliseconds: two doublings.
const MAX_UNREADY_MS: Millis = 12_000;
/// After this time a gateway stays unready only while its link is so loaded that it closes connections, in
/// milliseconds. This bounds the gateways that are unready for long by the traffic. With 20 s, more than half
/// of 15 gateways were unready.
const LONG_UNREADY_MS: Millis = 12_000;
/// A link that is overloaded again this soon after the gateway's return has got the same caller back, in
/// milliseconds: the balancer returns it within a second, and its connections follow as others end.
const RELAPSE_MS: Millis = 10_000;
/// The share of answers after which an unready gateway with a saturated link closes the connection. With 0.3,
/// fewer requests of the other callers are in time.
const SATURATED_CLOSE_PROBABILITY: f64 = 0.4;
/// The same share for a gateway whose timers are late. With a small share the load stays, and with all of them
/// it would move to the next gateway at once.
const CLOSE_PROBABILITY: f64 = 0.3;

/// When a gateway with a link of known capacity becomes unready, how long it stays so, and which connections
/// it closes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The utilization of the link, as a share, from which on a gateway is overloaded.
    pub overload_utilization: f64,
    /// The utilization of the link, as a share, up to which a gateway has recovered.
    pub recovery_utilization: f64,
    /// The limit of the unready periods, which double each time the link is overloaded again soon after the
    /// gateway's return, in milliseconds.
    pub max_unready_ms: Millis,
    /// Which connections an unready gateway closes.
    pub closing: Closing,
}

/// Which connections an unready gateway closes because of its link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Closing {
    /// A fixed share of them while the link is overloaded.
    Fixed,
    /// A share that grows linearly with the utilization of the link.
    Proportional {
        /// The utilization from which on connections are closed.
        from_utilization: f64,
    },
}

impl Policy {
    /// The policy for a link that carries `bytes_per_s`.
    pub fn for_link(bytes_per_s: f64) -> Policy {
        let transfer_ms = PROMPT_BYTES / bytes_per_s * 1_000.0;
        // Requests of the same size at random times (M/D/1) wait `transfer_ms * u / (2 * (1 - u))` on average
        // at the utilization u. This is the u at which one in a hundred waits longer than callers tolerate.
        let tolerated = 1.0 / (1.0 + WAITS_OF_SLOWEST / 2.0 * transfer_ms / TOLERATED_WAIT_MS);
        let overload_utilization = (COUNTED_SHARE * tolerated).max(MIN_OVERLOAD_UTILIZATION);
        Policy {
            overload_utilization,
            recovery_utilization: overload_utilization - RECOVERY_MARGIN,
            max_unready_ms: MAX_UNREADY_MS,
            closing: Closing::Proportional { from_utilization: overload_utilization - CLOSING_MARGIN },
        }
    }

    /// Up to which utilization a gateway that has been unready for `unready_ms` has recovered.
    fn tolerated_utilization(&self, unready_ms: Millis) -> f64 {
        match self.closing {
            Closing::Proportional { from_utilization } if unready_ms >= LONG_UNREADY_MS => from_utilization,
            _ => self.recovery_utilization,
        }
    }

    /// The share of answers after which an unready gateway closes the connection.
    fn close_probability(&self, utilization: f64) -> f64 {
        match self.closing {
            Closing::Fixed if utilization >= self.overload_utilization => CLOSE_PROBABILITY,
            Closing::Fixed => 0.0,
            Closing::Proportional { from_utilization } => {
                let excess = (utilization - from_utilization) / (1.0 - from_utilization);
                SATURATED_CLOSE_PROBABILITY * excess.clamp(0.0, 1.0)
            }
        }
    }
}

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
    BecameUnready {
        /// How long it stays unready at least, in milliseconds. It returns then if it has recovered.
        min_unready_ms: Millis,
    },
    /// The gateway takes new connections again.
    BecameReady {
        /// How long it was unready, in milliseconds.
        unready_ms: Millis,
    },
}

/// A link of known capacity.
#[derive(Clone, Copy, Debug)]
struct Link {
    bytes_per_s: f64,
    policy: Policy,
}

/// Determines from averaged samples whether a gateway is ready for new connections.
#[derive(Clone, Debug)]
pub struct OverloadMonitor {
    link: Option<Link>,
    last_sample: Option<Millis>,
    timer_delay_ms: f64,
    /// As a share of the capacity of the link.
    link_utilization: f64,
    overloaded_since: Option<Millis>,
    unready_since: Option<Millis>,
    /// How long the gateway stays unready at least, this time or the last time.
    min_unready_ms: Millis,
    returned_at: Option<Millis>,
}

impl OverloadMonitor {
    /// Creates a monitor for a gateway whose link carries `link_bytes_per_s`, if that is known.
    pub fn new(link_bytes_per_s: Option<f64>) -> OverloadMonitor {
        OverloadMonitor {
            link: link_bytes_per_s
                .map(|bytes_per_s| Link { bytes_per_s, policy: Policy::for_link(bytes_per_s) }),
            last_sample: None,
            timer_delay_ms: 0.0,
            link_utilization: 0.0,
            overloaded_since: None,
            unready_since: None,
            min_unready_ms: MIN_UNREADY_MS,
            returned_at: None,
        }
    }

    /// Creates a monitor for a gateway whose link carries `bytes_per_s`, with another policy than the link's
    /// own.
    pub fn with_policy(bytes_per_s: f64, policy: Policy) -> OverloadMonitor {
        OverloadMonitor { link: Some(Link { bytes_per_s, policy }), ..OverloadMonitor::new(None) }
    }

    /// Updates the averages with a sample, and the readiness.
    pub fn record(&mut self, sample: LoadSample) -> ReadinessChange {
        let LoadSample { at, timer_delay_ms, link_bytes } = sample;
        let elapsed_ms = at.saturating_sub(self.last_sample.replace(at).unwrap_or(at)) as f64;
        let weight = 1.0 - (-elapsed_ms / AVERAGING_TIME_MS).exp();
        self.timer_delay_ms += weight * (timer_delay_ms.min(MAX_DELAY_MS) - self.timer_delay_ms);
        if let Some(link) = self.link.filter(|_| elapsed_ms > 0.0) {
            self.link_utilization += weight
                * (link_bytes as f64 * 1_000.0 / elapsed_ms / link.bytes_per_s - self.link_utilization);
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
                self.min_unready_ms = self.next_unready_ms(now);
                ReadinessChange::BecameUnready { min_unready_ms: self.min_unready_ms }
            }
            Some(since) if now - since >= self.min_unready_ms && self.has_recovered(now - since) => {
                self.unready_since = None;
                self.returned_at = Some(now);
                ReadinessChange::BecameReady { unready_ms: now - since }
            }
            _ => ReadinessChange::Unchanged,
        }
    }

    /// How long a gateway that becomes unready now stays so at least: twice as long as the last time if its
    /// link is overloaded again soon after its return.
    fn next_unready_ms(&self, now: Millis) -> Millis {
        let has_relapsed = self.returned_at.is_some_and(|at| now - at < RELAPSE_MS);
        match self.link {
            Some(Link { policy, .. }) if has_relapsed && self.is_link_overloaded() => {
                (2 * self.min_unready_ms).min(policy.max_unready_ms)
            }
            _ => MIN_UNREADY_MS,
        }
    }

    fn is_overloaded(&self) -> bool {
        self.has_late_timers() || self.is_link_overloaded()
    }

    fn has_late_timers(&self) -> bool {
        self.timer_delay_ms >= OVERLOAD_DELAY_MS
    }

    fn is_link_overloaded(&self) -> bool {
        self.link.is_some_and(|link| self.link_utilization >= link.policy.overload_utilization)
    }

    fn has_recovered(&self, unready_ms: Millis) -> bool {
        let has_link_recovered = self
            .link
            .is_none_or(|link| self.link_utilization <= link.policy.tolerated_utilization(unready_ms));
        self.timer_delay_ms <= RECOVERY_DELAY_MS && has_link_recovered
    }

    /// Whether the gateway takes no new connections.
    pub fn is_unready(&self) -> bool {
        self.unready_since.is_some()
    }

    /// Whether the VM could handle more work now. A gateway stays unready for some time longer.
    pub fn has_spare_capacity(&self) -> bool {
        self.has_recovered(0)
    }

    /// Whether to close a connection after its answer; `random` is uniformly distributed between 0 and 1.
    pub fn should_close_connection(&self, random: f64) -> bool {
        let for_timers = if self.has_late_timers() { CLOSE_PROBABILITY } else { 0.0 };
        let for_link = self.link.map_or(0.0, |link| link.policy.close_probability(self.link_utilization));
        self.is_unready() && random < for_timers.max(for_link)
    }

    /// The average timer delay, in milliseconds, and the average utilization of the link, as a share.
    pub fn averages(&self) -> (f64, f64) {
        (self.timer_delay_ms, self.link_utilization)
    }
}
