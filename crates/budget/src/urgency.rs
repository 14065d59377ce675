//! Keeps the last tokens of a budget for the more urgent requests of its team.
//!
//! A team that has nearly used up its budget still has requests of all priorities. Long requests of little
//! urgency would take what is left, although the urgent ones, which often need few tokens, could go on with
//! it for a long time.
//!
//! ```
//! let mut mix = budget::urgency::Mix::default();
//! mix.record(0, 1_000);
//! mix.record(1, 99_000);
//! assert_eq!(mix.withheld(1, 1_000_000), 10_000, "a hundredth is used by more urgent requests");
//! assert_eq!(mix.withheld(0, 1_000_000), 0);
//! ```

/// The most that is kept for more urgent requests, as a part of the budget. A budget counts as spent when it
/// holds less than this part besides a request (the tokens that other gateways may hold idle), so no team is
/// denied tokens on which it could count before.
const MAX_WITHHELD_RATIO: f64 = 0.03;
/// The number of priorities; higher ones count as the last.
const PRIORITIES: usize = 10;

/// The tokens that requests of each priority have asked for, 0 being the most urgent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mix {
    tokens: [u64; PRIORITIES],
}

impl Mix {
    /// Records that a request asked for tokens.
    pub fn record(&mut self, priority: u32, tokens: u64) {
        let sum = &mut self.tokens[index(priority)];
        *sum = sum.saturating_add(tokens);
    }

    /// The tokens of a budget of `level` tokens that requests of this priority have to leave: as large a part
    /// of it as more urgent requests ask for, within a bound.
    pub fn withheld(&self, priority: u32, level: u64) -> u64 {
        let sum = |tokens: &[u64]| tokens.iter().map(|tokens| *tokens as f64).sum::<f64>();
        let urgent = sum(&self.tokens[..index(priority)]);
        if urgent == 0.0 {
            return 0;
        }
        (level as f64 * (urgent / sum(&self.tokens)).min(MAX_WITHHELD_RATIO)) as u64
    }
}

fn index(priority: u32) -> usize {
    (priority as usize).min(PRIORITIES - 1)
}
