//! The number of tokens of a budget that a router should hold, depending on its demand.
//!
//! ```
//! let mut demand = budget::demand::Demand::default();
//! let policy = budget::demand::HoldingPolicy { cover_s: 60, min_tokens: 1_000, expose_s: 10 };
//! demand.record_request(0);
//! for second in 1..=100 {
//!     demand.record_request(second * 1_000);
//!     demand.record_consumption(50);
//!     demand.update_rate(1_000);
//! }
//! let target = demand.target(100_000, &policy);
//! assert!((2_900..=3_000).contains(&target), "{target}");
//! assert_eq!(demand.target(200_000, &policy), 0, "the tokens of an idle budget are returned");
//! ```

/// The weight of a new sample in the average demand, after the first samples.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The time without a request, in milliseconds, after which a budget's tokens are returned to the pool.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// How many tokens of a budget a router holds and may use between settlements.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HoldingPolicy {
    /// The number of seconds of demand to hold.
    pub cover_s: u64,
    /// The fewest tokens to hold, and to be able to use between two settlements.
    pub min_tokens: u64,
    /// The number of seconds of demand that may be used between two settlements.
    pub expose_s: u64,
}

/// One router's demand for one budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    consumed: u64,
    /// The time of the last request, in milliseconds.
    last_request: u64,
    samples: u32,
}

impl Demand {
    /// Records a request at time `now`, in milliseconds.
    pub fn record_request(&mut self, now: u64) {
        self.last_request = now;
    }

    /// Records consumed tokens for the next update of the rate.
    pub fn record_consumption(&mut self, tokens: u64) {
        self.consumed += tokens;
    }

    /// Updates the average rate with the tokens consumed in the last `elapsed_ms` milliseconds.
    pub fn update_rate(&mut self, elapsed_ms: u64) {
        let rate = self.consumed as f64 * 1_000.0 / elapsed_ms.max(1) as f64;
        // The first samples have equal weights, so that the average does not start from a rate of zero.
        self.samples = self.samples.saturating_add(1);
        self.rate += SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples)) * (rate - self.rate);
        self.consumed = 0;
    }

    /// Assumes that a rate which was observed elsewhere comes in addition to that of this router.
    pub fn take_over(&mut self, rate: f64) {
        self.rate += rate;
        self.samples = self.samples.max((1.0 / SAMPLE_WEIGHT) as u32);
    }

    /// The average number of tokens consumed per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Tokens that may be used between two settlements in addition to those in use. If the VM is lost, up to
    /// this many unused tokens are lost with it.
    pub fn exposure_headroom(&self, policy: &HoldingPolicy) -> u64 {
        ((self.rate * policy.expose_s as f64) as u64).max(policy.min_tokens)
    }

    /// The number of available tokens that this router should hold at time `now`, in milliseconds.
    pub fn target(&self, now: u64, policy: &HoldingPolicy) -> u64 {
        if now.saturating_sub(self.last_request) > IDLE_TIMEOUT_MS {
            return 0;
        }
        ((self.rate * policy.cover_s as f64) as u64).max(policy.min_tokens)
    }
}

/// Whether a batch should be opened although nothing has to be settled, because this router holds too many or
/// too few tokens. `pool_free` is the last known number of free tokens in the pool.
pub fn is_off_target(available: u64, target: u64, pool_free: Option<u64>) -> bool {
    let has_excess = available > target.saturating_mul(2);
    let wants_more = available < target / 2 && pool_free.is_none_or(|free| free > 0);
    has_excess || wants_more
}
