//! How likely chance alone explains that a part of prompts was present at crashes.

use smallvec::SmallVec;

/// The probability with which harmless parts may be denied after the least number of crashes.
const SIGNIFICANCE: f64 = 0.01;
/// The least number of crashes that are judged.
const FIRST_JUDGED: f64 = super::DENIAL_THRESHOLD as f64;
/// The smallest probability that is told from zero.
const MIN_CHANCE: f64 = 1e-12;

/// For each crash, the probability that chance explains it.
pub(super) type Chances = SmallVec<[f64; 16]>;

/// Whether chance does not explain all of these crashes together.
///
/// Each further crash is another opportunity to be wrong, so the accepted probability falls with the number of crashes
/// in such a way that the sum over all of them is bounded, however many upstreams crash.
pub(super) fn is_excluded(chances: &[f64]) -> bool {
    let judged = (FIRST_JUDGED / chances.len().max(1) as f64).min(1.0);
    combined(chances) < SIGNIFICANCE * judged * judged
}

/// The probability that the product of as many independent, evenly distributed probabilities is no larger than that of
/// these (Fisher's method).
fn combined(chances: &[f64]) -> f64 {
    let log: f64 = chances.iter().map(|chance| -chance.clamp(MIN_CHANCE, 1.0).ln()).sum();
    let mut term = (-log).exp();
    let mut total = 0.0;
    for index in 0..chances.len() {
        total += term;
        term *= log / (index + 1) as f64;
    }
    if chances.is_empty() { 1.0 } else { total }
}

#[cfg(test)]
#[path = "../../tests/unit/chance.rs"]
mod tests;
