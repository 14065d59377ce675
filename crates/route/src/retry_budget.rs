//! Limits retries to a share of the requests, so that retries never make an overload worse.
//!
//! ```
//! let mut budget = route::RetryBudget::new(0.5);
//! budget.deposit();
//! budget.deposit();
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```

/// The largest number of retries that can accumulate.
const MAX_RETRIES: f64 = 10.0;

/// A budget of retries that is filled by requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates an empty budget to which each request adds `share` of a retry.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, balance: 0.0 }
    }

    /// Changes the share. When it changes from 0 to a positive share, the budget is filled up, so that a
    /// router that has just started can retry.
    pub fn set_share(&mut self, share: f64) {
        if self.share == 0.0 && share > 0.0 {
            self.balance = MAX_RETRIES;
        }
        self.share = share;
    }

    /// Records a request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget, if there is one. Returns whether there was.
    pub fn withdraw(&mut self) -> bool {
        let is_covered = self.balance >= 1.0;
        if is_covered {
            self.balance -= 1.0;
        }
        is_covered
    }
}
