//! Statistics over the counters of a simulation.

use std::collections::BTreeMap;

/// A share in percent.
pub fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

/// The value at a quantile of sorted values.
pub fn value_at(sorted: &[u64], quantile: f64) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * quantile) as usize).copied().unwrap_or(0)
}

/// Jain's fairness index of the teams, where 1 is fair. The requests of a team that were served in time are
/// related to those that it offered or to an equal share of all that were served in time, whichever is less.
pub fn fairness(good: &[u64], offered: &[u64]) -> f64 {
    let total: u64 = good.iter().sum();
    let equal = total as f64 / good.len() as f64;
    let shares: BTreeMap<usize, f64> = good
        .iter()
        .zip(offered)
        .enumerate()
        .filter(|(_, (_, offered))| **offered > 0)
        .map(|(team, (good, offered))| (team, (*good as f64 / equal.min(*offered as f64)).min(1.0)))
        .collect();
    let sum: f64 = shares.values().sum();
    let squares: f64 = shares.values().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}
