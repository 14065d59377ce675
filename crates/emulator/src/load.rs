//! The load: kinds of requests, how large they are and when they come.

use crate::engine::Part;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A size that varies by a factor.
#[derive(Clone, Copy, Debug)]
pub struct SizeDistribution {
    /// Its mean.
    pub mean: f64,
    /// The standard deviation of its logarithm.
    pub log_std_dev: f64,
    /// The largest.
    pub max: f64,
}

impl SizeDistribution {
    /// A size that does not vary.
    pub const fn fixed(mean: f64) -> SizeDistribution {
        SizeDistribution { mean, log_std_dev: 0.0, max: mean }
    }

    /// Draws one; at least 1.
    pub fn sample(&self, random: &mut SmallRng) -> u64 {
        // The logarithm's mean is such that the mean is as given.
        let log_mean = self.mean.ln() - self.log_std_dev * self.log_std_dev / 2.0;
        let value = (log_mean + self.log_std_dev * sample_normal(random)).exp();
        value.clamp(1.0, self.max) as u64
    }
}

/// A standard normal variable, by the sum of twelve uniform ones.
fn sample_normal(random: &mut SmallRng) -> f64 {
    (0..12).map(|_| random.r#gen::<f64>()).sum::<f64>() - 6.0
}

/// A level of shared prompt parts.
#[derive(Clone, Copy, Debug)]
pub struct SharedParts {
    /// How long each of them is.
    pub tokens: SizeDistribution,
    /// How many there are.
    pub count: u64,
}

/// A kind of request to an engine.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Its name.
    pub name: &'static str,
    /// Requests in a second at load 1.
    pub per_s: f64,
    /// The rank, 0 first.
    pub priority: u32,
    /// The part of the prompt that is its own.
    pub own_tokens: SizeDistribution,
    /// The shared parts before it, the outer level first.
    pub shared_parts: Vec<SharedParts>,
    /// Events that come out.
    pub events: SizeDistribution,
    /// The time to a first answer that is aimed at, in milliseconds.
    pub target_ms: u64,
    /// The longest pause that is aimed at, in milliseconds.
    pub gap_ms: u64,
    /// How long a caller waits for the whole, in milliseconds.
    pub timeout_ms: f64,
    /// What one answer in time is worth, and one that is late.
    pub worth: (f64, f64),
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its kind, by its place in the mix.
    pub kind: usize,
    /// When it came, in milliseconds.
    pub arrived: f64,
    /// The parts of its prompt.
    pub parts: Vec<Part>,
    /// Tokens that come out.
    pub output_tokens: u64,
}

impl RequestKind {
    /// Draws a request of this kind, which stands at `index` of the mix.
    pub fn sample(
        &self,
        index: usize,
        arrived: f64,
        tokens_per_event: u64,
        random: &mut SmallRng,
    ) -> Request {
        // Each inner part belongs to one outer part.
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

/// The identity of a shared part; its length follows from it.
fn part_id(kind: usize, level: usize, part: u64) -> u64 {
    (kind as u64 + 1) << 40 | (level as u64) << 32 | part
}
