//! Selects the dispatches that a router reports to the others.
//!
//! A prompt that is sent behind a long one waits until the long one is read, so routers report their
//! dispatches to each other. If all were reported, each router of a large fleet would receive as many reports
//! as the whole fleet dispatches, and would spend more on them than on its own requests. So each router
//! reports the dispatches that occupy an engine the longest, and only so many that each router receives a
//! fixed number per second, however many routers there are.

use crate::Millis;

/// While the whole fleet makes at most this many dispatches per second, each router receives reports of all
/// of them: the number of free slots is known only if all dispatches are.
const MAX_UNFILTERED_PER_S: f64 = 400.0;
/// In a larger fleet, each router receives reports of this many dispatches per second: the longest ones, with
/// the totals of all others, which the load and the division of engines need.
const FILTERED_PER_S: f64 = 50.0;
/// A router also receives reports of at most this many times its own dispatches, since receiving reports
/// costs as much as sending them.
const MAX_OWN_RATE_FACTOR: f64 = 4.0;
/// The time over which a router's own dispatch rate is averaged, in milliseconds.
const AVERAGE_MS: f64 = 10_000.0;
/// The shortest time over which the first dispatches are assumed to have come, in milliseconds.
const MIN_KNOWN_MS: Millis = 500;
/// The relative step by which each dispatch changes the length of the shortest prompt that is reported.
const THRESHOLD_STEP: f64 = 0.7;
/// The initial length of the shortest prompt that is reported, in tokens to be read.
const INITIAL_THRESHOLD: f64 = 16_000.0;

/// Decides which dispatches are reported to the other routers.
#[derive(Clone, Copy, Debug)]
pub struct HintFilter {
    all_per_s: f64,
    longest_per_s: f64,
    /// Prompts with at least this many tokens to be read are reported.
    threshold: f64,
    /// The exponentially decayed number of recent dispatches.
    recent_dispatches: f64,
    last_dispatch: Millis,
    first_dispatch: Option<Millis>,
}

impl Default for HintFilter {
    fn default() -> HintFilter {
        HintFilter::with_rates(MAX_UNFILTERED_PER_S, FILTERED_PER_S)
    }
}

impl HintFilter {
    /// Lets each router receive reports of all dispatches while there are at most `all_per_s`, and otherwise
    /// of the `longest_per_s` longest ones.
    pub fn with_rates(all_per_s: f64, longest_per_s: f64) -> HintFilter {
        HintFilter {
            all_per_s,
            longest_per_s,
            threshold: INITIAL_THRESHOLD,
            recent_dispatches: 0.0,
            last_dispatch: 0,
            first_dispatch: None,
        }
    }

    /// Whether to report a dispatch whose engine has to read `unread` tokens, in a fleet of `routers`
    /// routers. Also records the dispatch.
    pub fn should_send(&mut self, unread: u32, routers: u64, now: Millis) -> bool {
        let own_per_s = self.update_own_rate(now);
        let fleet_per_s = routers.max(1) as f64 * own_per_s;
        if fleet_per_s <= self.all_per_s {
            return true;
        }
        let target_share = (self.longest_per_s.min(MAX_OWN_RATE_FACTOR * own_per_s) / fleet_per_s).min(1.0);
        let is_reported = f64::from(unread) >= self.threshold;
        // The share of dispatches that are reported settles where the steps up and down balance.
        self.threshold *= if is_reported {
            1.0 + THRESHOLD_STEP * (1.0 - target_share)
        } else {
            1.0 - THRESHOLD_STEP * target_share
        };
        self.threshold = self.threshold.max(1.0);
        is_reported
    }

    /// Records a dispatch and returns this router's average number of dispatches per second.
    fn update_own_rate(&mut self, now: Millis) -> f64 {
        let decay = |ms: Millis| (-(ms as f64) / AVERAGE_MS).exp();
        let first_dispatch = *self.first_dispatch.get_or_insert(now);
        self.recent_dispatches = self.recent_dispatches
            * decay(now.saturating_sub(std::mem::replace(&mut self.last_dispatch, now)))
            + 1.0;
        // At first, the known time is shorter than the averaging time.
        let known_ms = AVERAGE_MS * (1.0 - decay(now.saturating_sub(first_dispatch).max(MIN_KNOWN_MS)));
        self.recent_dispatches * 1_000.0 / known_ms
    }
}
