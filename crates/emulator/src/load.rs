//! The load: kinds of requests, their sizes and their rates.

use crate::engine::Part;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A log-normal distribution of sizes with a maximum.
#[derive(Clone, Copy, Debug)]
pub struct SizeDistribution {
    /// The mean before the maximum is applied.
    pub mean: f64,
    /// The standard deviation of the logarithm.
    pub log_std_dev: f64,
    /// The maximum; larger samples are reduced to it.
    pub max: f64,
}

impl SizeDistribution {
    /// A distribution of a single value.
    pub const fn fixed(mean: f64) -> SizeDistribution {
        SizeDistribution { mean, log_std_dev: 0.0, max: mean }
    }

    /// Samples a size of at least 1.
    pub fn sample(&self, random: &mut SmallRng) -> u64 {
        // The mean of the logarithm at which the sizes have the given mean.
        let log_mean = self.mean.ln() - self.log_std_dev * self.log_std_dev / 2.0;
        let value = (log_mean + self.log_std_dev * sample_normal(random)).exp();
        value.clamp(1.0, self.max) as u64
    }
}

/// Samples an approximate standard normal distribution, as the sum of twelve uniform variables.
fn sample_normal(random: &mut SmallRng) -> f64 {
    (0..12).map(|_| random.r#gen::<f64>()).sum::<f64>() - 6.0
}

/// One level of prompt parts that several requests share.
#[derive(Clone, Copy, Debug)]
pub struct SharedParts {
    /// The length of each part, in tokens.
    pub tokens: SizeDistribution,
    /// The number of different parts.
    pub count: u64,
}

/// A kind of request to an engine.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The name of the kind.
    pub name: &'static str,
    /// Requests per second at load 1.
    pub per_s: f64,
    /// The priority; the lowest number is served first.
    pub priority: u32,
    /// The length of the part that belongs to one request alone, in tokens.
    pub own_tokens: SizeDistribution,
    /// The shared parts before it, from the outermost level to the innermost one.
    pub shared_parts: Vec<SharedParts>,
    /// The number of events in the answer.
    pub events: SizeDistribution,
    /// The target for the time to the first answer, in milliseconds.
    pub target_ms: u64,
    /// The target for the longest pause between events, in milliseconds.
    pub gap_ms: u64,
    /// How long a caller waits for the whole answer, in milliseconds.
    pub timeout_ms: f64,
    /// The worth of an answer in time, and that of a late one.
    pub worth: (f64, f64),
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The index of its kind in the scenario.
    pub kind: usize,
    /// When it arrived, in milliseconds.
    pub arrived: f64,
    /// The parts of its prompt, in order.
    pub parts: Vec<Part>,
    /// The number of tokens to generate.
    pub output_tokens: u64,
}

impl RequestKind {
    /// Samples a request of this kind, whose index in the scenario is `index`.
    pub fn sample(
        &self,
        index: usize,
        arrived: f64,
        tokens_per_event: u64,
        random: &mut SmallRng,
    ) -> Request {
        // Each innermost part always follows the same outer parts.
        let inner = self.shared_parts.last().map_or(0, |shared| random.gen_range(0..shared.count));
        let shared = self.shared_parts.iter().enumerate();
        let mut parts: Vec<Part> = shared
            .map(|(level, shared)| {
                let id = part_id(index, level, inner % shared.count);
                Part { id, tokens: shared.tokens.sample(&mut SmallRng::seed_from_u64(id)) }
            })
            .collect();
        parts.push(Part { id: random.r#gen::<u64>() | 1 << 63, tokens: self.own_tokens.sample(random) });
        Request { kind: index, arrived, parts, output_tokens: self.events.sample(random) * tokens_per_event }
    }
}

/// The identity of a shared part, which is also the seed of its length.
fn part_id(kind: usize, level: usize, part: u64) -> u64 {
    (kind as u64 + 1) << 40 | (level as u64) << 32 | part
}
