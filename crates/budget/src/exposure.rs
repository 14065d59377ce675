//! Limits on the tokens that a router may use between two usage notes, so that few are lost if it crashes.
//!
//! A usage note is a row in the store. It records how much of a budget a router has used, and the
//! [`Schedule`] that limits its use until the next note. When the VM starts again, its new process knows that
//! the previous one is dead and how old the note is. So it can return all tokens that the schedule did not
//! allow by then, without knowing when the previous process died.
//!
//! The router counts the age of a note from before it was sent, and a reader counts it from the same time or
//! earlier. So the reader never assumes that less was used than the router was allowed to use.
//!
//! ```
//! let schedule = budget::exposure::Schedule {
//!     used: 100,
//!     charged: 60,
//!     allowance: 20,
//!     first_ms: 100,
//!     first_per_s: 0,
//!     early_ms: 500,
//!     per_s: 10,
//!     late_ms: 1_500,
//!     late_per_s: 50,
//!     late_most: 80,
//! };
//! assert_eq!(schedule.limit(500), 120, "the next note is usually written before this age");
//! assert_eq!(schedule.limit(1_500), 130, "without a new note the limit grows, to bridge an outage");
//! assert_eq!(schedule.limit(2_500), 190, "it grows faster for a while, since some requests are large");
//! assert_eq!(schedule.limit(9_500), 290, "then by demand only, since a crash loses what was allowed");
//! ```

use crate::ledger::{Exposed, Line};
use serde::{Deserialize, Serialize};

/// A new note allows the demand of at least this time, in milliseconds, in addition to the tokens that
/// requests wait for. The time is short because a crash loses these tokens; as long as the store answers in
/// time, a request that needs more has a new note written first.
const MIN_NOTE_WINDOW_MS: u64 = 100;
/// If notes take longer to be acknowledged, this time is this multiple of their latency: for the note in
/// progress and the next one.
const NOTE_WINDOW_LATENCIES: u64 = 2;
/// The upper bound of this time, in milliseconds. A note takes about this long when the store is slow or
/// loses answers; an outage shows as such a latency too.
const MAX_NOTE_WINDOW_MS: u64 = 1_500;
/// A new note also allows this fraction (1/n) of the available tokens.
const NOTE_AVAILABLE_DIVISOR: u64 = 256;
/// The age of a note, in milliseconds, from which its limit grows slowly. The next note was due before, so
/// the store does not answer. Without this growth about a quarter of the requests arriving now would be
/// refused or told to retry too late.
const FIRST_GROWTH_AFTER_MS: u64 = 300;
/// The slow growth, as a multiple of the demand. It is small because each crash loses the tokens by which the
/// limit grew (`tests/outages.rs` checks the bound).
const FIRST_GROWTH: f64 = 0.3;
/// The age of a note, in milliseconds, from which its limit grows faster. Most restarts take less time, and a
/// crash loses the tokens by which the limit grew until the next start.
const EARLY_GROWTH_AFTER_MS: u64 = 1_800;
/// The faster growth, as a multiple of the demand. It is close to 1 because a crash during an outage loses
/// the difference between the limit and the tokens used (`tests/outages.rs` checks the bound).
const EARLY_GROWTH: f64 = 1.1;
/// The faster growth is at least an owner's share of the unspent tokens within this many seconds. So a team
/// with little demand so far is served during an outage too. The tokens that a crash then loses would last it
/// for about that time.
const MIN_EARLY_GROWTH_S: u64 = 80;
/// The age of a note, in milliseconds, from which its limit grows faster still, by the demand once more.
const LATE_GROWTH_AFTER_MS: u64 = 2_000;
/// The late growth also adds all available tokens within this many seconds, so that large requests soon fit.
const LATE_GROWTH_S: u64 = 8;
/// The late growth is at most the demand of this many seconds, for the requests that were refused before,
/// plus a part of the unspent tokens (see below).
const LATE_GROWTH_DEMAND_S: f64 = 0.6;
/// The fraction (1/n) of an owner's share of the unspent tokens by which the limit may also grow late, for
/// unusually large requests.
const LATE_GROWTH_DIVISOR: u64 = 60;

/// A time or duration in milliseconds, measured by a monotonic clock that does not stop.
pub type Millis = u64;

/// The number of tokens of a budget that a router may use, as a function of the age of its note.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Schedule {
    /// Tokens used when the note was made: charged, or reserved at their worst case.
    pub used: u64,
    /// The part of `used` that was charged for completed requests. The rest of what a crash loses was
    /// reserved or allowed.
    #[serde(default)]
    pub charged: u64,
    /// Tokens allowed in addition to `used` by the age `early_ms`. A process of an earlier version that reads
    /// the note takes them to be allowed from the start, so it never assumes less than was allowed.
    pub allowance: u64,
    /// The age of the note, in milliseconds, from which the limit grows slowly.
    #[serde(default)]
    pub first_ms: u64,
    /// The slow growth per second until `early_ms`. It is part of the allowance and held back before
    /// `first_ms`.
    #[serde(default)]
    pub first_per_s: u64,
    /// The age of the note, in milliseconds, from which the limit grows by `per_s` instead, to serve requests
    /// during an outage.
    #[serde(default)]
    pub early_ms: u64,
    /// The growth per second from `early_ms` on.
    pub per_s: u64,
    /// The age of the note, in milliseconds, from which the limit grows faster.
    pub late_ms: u64,
    /// The additional growth per second from `late_ms` on.
    pub late_per_s: u64,
    /// The upper bound of this additional growth.
    #[serde(default = "unbounded")]
    pub late_most: u64,
}

/// The default for notes of earlier versions, which did not limit their late growth.
fn unbounded() -> u64 {
    u64::MAX
}

/// The state of a budget from which a schedule is made.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScheduleInput {
    /// Tokens used so far: charged, or reserved at their worst case.
    pub used: u64,
    /// Tokens charged so far.
    pub charged: u64,
    /// Tokens that requests wait for.
    pub waiting: u64,
    /// Tokens that the router holds and has not reserved.
    pub available: u64,
    /// Tokens of the budget that no router has spent.
    pub unspent: u64,
    /// The number of gateways that own the budget; each counts on an equal share of the unspent tokens.
    pub owners: u64,
    /// The average number of tokens consumed per second.
    pub rate: f64,
    /// The tokens that an average request reserves, if notes take longer than requests wait for them; else 0. A note
    /// then has to be written before the request comes.
    pub request: u64,
    /// The time until a note is acknowledged, in milliseconds.
    pub note_latency_ms: u64,
}

impl ScheduleInput {
    /// The tokens that are used until a note that is written now is acknowledged, and by one request then.
    fn used_until_noted(&self) -> u64 {
        self.request.saturating_add((self.rate * self.note_latency_ms as f64 / 1_000.0) as u64)
    }

    /// Whether a note has to be written ahead of the next request, if the last one allows `left` more tokens now.
    pub fn is_note_due(&self, left: u64) -> bool {
        self.request > 0 && left < self.used_until_noted()
    }
}

impl Schedule {
    /// The schedule of a note that is about to be written.
    pub fn plan(input: &ScheduleInput) -> Schedule {
        let ScheduleInput {
            used,
            charged,
            waiting,
            available,
            unspent,
            owners,
            rate,
            request,
            note_latency_ms,
        } = *input;
        let share = unspent / owners.max(1);
        let window_ms =
            (NOTE_WINDOW_LATENCIES * note_latency_ms).clamp(MIN_NOTE_WINDOW_MS, MAX_NOTE_WINDOW_MS);
        let window_demand = (rate * window_ms as f64 / 1_000.0) as u64;
        let first_per_s = (rate * FIRST_GROWTH) as u64;
        Schedule {
            used,
            charged,
            allowance: waiting
                + request
                + window_demand
                + available / NOTE_AVAILABLE_DIVISOR
                + growth(first_per_s, EARLY_GROWTH_AFTER_MS - FIRST_GROWTH_AFTER_MS),
            first_ms: FIRST_GROWTH_AFTER_MS,
            first_per_s,
            early_ms: EARLY_GROWTH_AFTER_MS,
            per_s: ((rate * EARLY_GROWTH) as u64).max(share / MIN_EARLY_GROWTH_S),
            late_ms: LATE_GROWTH_AFTER_MS,
            late_per_s: rate as u64 + available / LATE_GROWTH_S,
            late_most: (rate * LATE_GROWTH_DEMAND_S) as u64 + share / LATE_GROWTH_DIVISOR,
        }
    }

    /// The most that may have been used when the note is `elapsed_ms` milliseconds old.
    pub fn limit(&self, elapsed_ms: u64) -> u64 {
        let held_back = growth(self.first_per_s, self.early_ms.saturating_sub(elapsed_ms.max(self.first_ms)));
        let early = growth(self.per_s, elapsed_ms.saturating_sub(self.early_ms));
        let late = growth(self.late_per_s, elapsed_ms.saturating_sub(self.late_ms)).min(self.late_most);
        [self.allowance.saturating_sub(held_back), early, late]
            .into_iter()
            .fold(self.used, u64::saturating_add)
    }

    /// What a dead router may have used in addition to the spent tokens that its account's line shows.
    pub fn exposed(&self, line: &Line, elapsed_ms: u64) -> Exposed {
        Exposed {
            charged: self.charged.saturating_sub(line.spent),
            at_most: self.limit(elapsed_ms).saturating_sub(line.spent),
        }
    }
}

fn growth(per_s: u64, elapsed_ms: u64) -> u64 {
    let grown = u128::from(per_s) * u128::from(elapsed_ms) / 1_000;
    u64::try_from(grown).unwrap_or(u64::MAX)
}

/// The usage notes that limit what this router may use of one budget: the last acknowledged one, and those
/// sent since whose outcome is unknown.
///
/// Each note is written on condition that the row has not changed since it was last read. So once a note has
/// taken effect, each earlier one has been overwritten or never takes effect.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct UsageNotes {
    acknowledged: Option<(Millis, Schedule)>,
    unconfirmed: Vec<(Millis, Schedule)>,
}

impl UsageNotes {
    /// Records a note that is about to be sent. Its limit applies from now on.
    pub fn record_sent(&mut self, now: Millis, schedule: Schedule) {
        self.unconfirmed.push((now, schedule));
    }

    /// Records the outcome of the last note: `Some(true)` if it took effect, `Some(false)` if it never will,
    /// and `None` if its outcome is unknown.
    pub fn record_result(&mut self, took_effect: Option<bool>) {
        match took_effect {
            Some(true) => {
                self.acknowledged = self.unconfirmed.pop().or(self.acknowledged);
                self.unconfirmed.clear();
            }
            Some(false) => {
                self.unconfirmed.pop();
            }
            None => {}
        }
    }

    /// The most that may be used now. Without any note there is no limit, and a process that closes the
    /// account finds no note either.
    pub fn limit(&self, now: Millis) -> u64 {
        let limit = |(sent, schedule): &(Millis, Schedule)| schedule.limit(now.saturating_sub(*sent));
        self.acknowledged.iter().chain(&self.unconfirmed).map(limit).min().unwrap_or(u64::MAX)
    }

    /// The time since the last acknowledged note was sent.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.acknowledged.map(|(sent, _)| now.saturating_sub(sent))
    }
}
