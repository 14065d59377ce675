//! The load: kinds of requests, how large they are and when they come.

use crate::engine::Part;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A size that varies by a factor.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Its mean.
    pub mean: f64,
    /// The standard deviation of its logarithm.
    pub spread: f64,
    /// The largest.
    pub most: f64,
}

impl Size {
    /// A size that does not vary.
    pub const fn fixed(mean: f64) -> Size {
        Size { mean, spread: 0.0, most: mean }
    }

    /// Draws one; at least 1.
    pub fn draw(&self, random: &mut SmallRng) -> u64 {
        // The logarithm's mean is such that the mean is as given.
        let middle = self.mean.ln() - self.spread * self.spread / 2.0;
        let size = (middle + self.spread * normal(random)).exp();
        size.clamp(1.0, self.most) as u64
    }
}

/// A standard normal variable, by the sum of twelve uniform ones.
fn normal(random: &mut SmallRng) -> f64 {
    (0..12).map(|_| random.r#gen::<f64>()).sum::<f64>() - 6.0
}

/// A level of shared prompt parts.
#[derive(Clone, Copy, Debug)]
pub struct Shared {
    /// How long each of them is.
    pub tokens: Size,
    /// How many there are.
    pub count: u64,
}

/// A kind of request to an engine.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Requests in a second at load 1.
    pub per_s: f64,
    /// The rank, 0 first.
    pub rank: u32,
    /// The part of the prompt that is its own.
    pub own: Size,
    /// The shared parts before it, the outer level first.
    pub shared: Vec<Shared>,
    /// Events that come out.
    pub events: Size,
    /// The time to a first answer that is aimed at, in milliseconds.
    pub target_ms: u64,
    /// The longest pause that is aimed at, in milliseconds.
    pub gap_ms: u64,
    /// How long a caller waits for the whole, in milliseconds.
    pub wait_ms: f64,
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
    pub output: u64,
}

impl Kind {
    /// Draws a request of this kind, which stands at `index` of the mix.
    pub fn draw(&self, index: usize, arrived: f64, stride: u64, random: &mut SmallRng) -> Request {
        // Each inner part belongs to one outer part.
        let inner = self.shared.last().map_or(0, |shared| random.gen_range(0..shared.count));
        let shared = self.shared.iter().enumerate();
        let mut parts: Vec<Part> = shared
            .map(|(level, shared)| {
                let id = identity(index, level, inner % shared.count);
                Part { id, tokens: shared.tokens.draw(&mut SmallRng::seed_from_u64(id)) }
            })
            .collect();
        parts.push(Part { id: random.r#gen::<u64>() | 1 << 63, tokens: self.own.draw(random) });
        Request { kind: index, arrived, parts, output: self.events.draw(random) * stride }
    }
}

/// The identity of a shared part; its length follows from it.
fn identity(kind: usize, level: usize, which: u64) -> u64 {
    (kind as u64 + 1) << 40 | (level as u64) << 32 | which
}
