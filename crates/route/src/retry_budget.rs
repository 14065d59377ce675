//! Retries as a bounded share of traffic, so that they never make an overload worse.
//!
//! ```
//! let mut budget = route::RetryBudget::new(0.5);
//! budget.deposit();
//! budget.deposit();
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```

/// Retries that can be saved up.
const SAVINGS: f64 = 10.0;

/// The retries that recent requests have earned.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    level: f64,
}

impl RetryBudget {
    /// Earns `share` of a retry with each request.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, level: 0.0 }
    }

    /// Changes the share. The first one above 0 fills the savings, so that a new router can retry.
    pub fn set_share(&mut self, share: f64) {
        if self.share == 0.0 && share > 0.0 {
            self.level = SAVINGS;
        }
        self.share = share;
    }

    /// Notes a request.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.share).min(SAVINGS);
    }

    /// Takes one retry, if one was earned.
    pub fn withdraw(&mut self) -> bool {
        let earned = self.level >= 1.0;
        if earned {
            self.level -= 1.0;
        }
        earned
    }
}
