//! Which of its dispatches a router tells the others.
//!
//! The load that this answers: whoever sends a prompt behind a long one waits until that is read, so routers tell each
//! other of dispatches. Told of all, each router of a large fleet would spend more on hearing than on its own requests:
//! it would hear as many as the whole fleet sends. So each tells those that hold an engine up the longest, and so many
//! that each router hears a fixed number a second, however many routers there are.

use crate::Millis;

/// Up to so many dispatches of the whole fleet in a second, each router hears of all of them: to know how many slots are free
/// takes all.
const ALL_PER_S: f64 = 400.0;
/// In a larger fleet each router hears of so many in a second: the longest, with the sums of all others, which the load and the
/// division of engines need.
const LONGEST_PER_S: f64 = 50.0;
/// And not more than this multiple of what it sends itself, since it also spends as much on hearing.
const TIMES_OWN: f64 = 4.0;
/// The time over which a router's own rate of dispatches is averaged, in milliseconds.
const AVERAGE_MS: f64 = 10_000.0;
/// The first dispatches are taken to have come over at least so long, in milliseconds.
const KNOWN_MS: Millis = 500;
/// The step by which the shortest prompt that is told changes with each dispatch, as a part of it.
const STEP: f64 = 0.7;
/// Where that starts, in tokens to be read.
const FIRST: f64 = 16_000.0;

/// Decides which dispatches are told.
#[derive(Clone, Copy, Debug)]
pub struct HintFilter {
    all_per_s: f64,
    longest_per_s: f64,
    /// Prompts from so many tokens on are told.
    least: f64,
    /// Dispatches of the last seconds.
    recent: f64,
    last: Millis,
    began: Option<Millis>,
}

impl Default for HintFilter {
    fn default() -> HintFilter {
        HintFilter::with_rates(ALL_PER_S, LONGEST_PER_S)
    }
}

impl HintFilter {
    /// Lets each router hear of all dispatches up to `all_per_s`, and of the longest `longest_per_s` where there are more.
    pub fn with_rates(all_per_s: f64, longest_per_s: f64) -> HintFilter {
        HintFilter { all_per_s, longest_per_s, least: FIRST, recent: 0.0, last: 0, began: None }
    }

    /// Whether the others are told of a dispatch whose engine has to read so many tokens, in a fleet of so many routers.
    pub fn should_send(&mut self, unread: u32, routers: u64, now: Millis) -> bool {
        let own_per_s = self.own_per_s(now);
        let fleet_per_s = routers.max(1) as f64 * own_per_s;
        if fleet_per_s <= self.all_per_s {
            return true;
        }
        let part = (self.longest_per_s.min(TIMES_OWN * own_per_s) / fleet_per_s).min(1.0);
        let is_told = f64::from(unread) >= self.least;
        // The part of all dispatches that is told settles where both steps are equal.
        self.least *= if is_told { 1.0 + STEP * (1.0 - part) } else { 1.0 - STEP * part };
        self.least = self.least.max(1.0);
        is_told
    }

    /// Takes in a dispatch; this router's own in a second, on average.
    fn own_per_s(&mut self, now: Millis) -> f64 {
        let left = |ms: Millis| (-(ms as f64) / AVERAGE_MS).exp();
        let began = *self.began.get_or_insert(now);
        self.recent = self.recent * left(now.saturating_sub(std::mem::replace(&mut self.last, now))) + 1.0;
        // At first less than the whole average is known.
        let known_ms = AVERAGE_MS * (1.0 - left(now.saturating_sub(began).max(KNOWN_MS)));
        self.recent * 1_000.0 / known_ms
    }
}
