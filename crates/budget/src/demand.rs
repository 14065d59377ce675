//! How many tokens of a budget a router should hold: by its demand, and by what is left.
//!
//! ```
//! let mut demand = budget::demand::Demand::default();
//! let terms = budget::demand::Terms { cover_s: 60, least: 1_000, expose_s: 10 };
//! demand.ask(0);
//! for second in 1..=100 {
//!     demand.ask(second * 1_000);
//!     demand.consume(50);
//!     demand.tick(1_000);
//! }
//! let target = demand.target(100_000, &terms);
//! assert!((2_900..=3_000).contains(&target), "{target}");
//! assert_eq!(demand.target(200_000, &terms), 0, "an idle budget's tokens go back");
//! ```

/// The weight of a new sample in the average demand.
const SAMPLE: f64 = 0.2;
/// Milliseconds without a request after which a budget's tokens are given back.
const IDLE_MS: u64 = 60_000;

/// What the bundle says of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Seconds of demand to hold.
    pub cover_s: u64,
    /// The least to draw at once, in tokens.
    pub least: u64,
    /// Seconds of demand that may be used between two settlements.
    pub expose_s: u64,
}

/// One router's demand for one budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    consumed: u64,
    asked: u64,
    samples: u32,
}

impl Demand {
    /// Notes a request at time `now` in milliseconds.
    pub fn ask(&mut self, now: u64) {
        self.asked = now;
    }

    /// Notes tokens that were charged.
    pub fn consume(&mut self, tokens: u64) {
        self.consumed += tokens;
    }

    /// Takes what was charged in the last `elapsed_ms` milliseconds into the average.
    pub fn tick(&mut self, elapsed_ms: u64) {
        let rate = self.consumed as f64 * 1_000.0 / elapsed_ms.max(1) as f64;
        // The first samples count alike, so that the average is right from the start.
        self.samples = self.samples.saturating_add(1);
        self.rate += SAMPLE.max(1.0 / f64::from(self.samples)) * (rate - self.rate);
        self.consumed = 0;
    }

    /// Tokens consumed in a second, on average.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// The tokens that may be used between two settlements beyond what is in use: what a lost VM strands.
    pub fn spare(&self, terms: &Terms) -> u64 {
        ((self.rate * terms.expose_s as f64) as u64).max(terms.least)
    }

    /// The tokens that should be available here at time `now`.
    pub fn target(&self, now: u64, terms: &Terms) -> u64 {
        if now.saturating_sub(self.asked) > IDLE_MS {
            return 0;
        }
        ((self.rate * terms.cover_s as f64) as u64).max(terms.least)
    }
}

/// Whether a batch should be opened although nothing has to be settled: to draw, or to give back.
pub fn is_off_target(available: u64, target: u64, pool_free: Option<u64>) -> bool {
    let has_excess = available > target.saturating_mul(2);
    let wants_more = available < target / 2 && pool_free.is_none_or(|free| free > 0);
    has_excess || wants_more
}
