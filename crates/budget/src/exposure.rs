//! What a router may use between two notes of its use, so that little is lost with it.
//!
//! A router notes how much it has used of a budget, and the [`Schedule`] that it keeps until its next note. A
//! later life of the same VM knows that the earlier one is dead, and how long ago the note was made; so it can
//! give back everything that the schedule did not allow by then, without knowing when the router died.
//!
//! The router measures the time from before it sent the note, and whoever reads it from a moment no later than
//! that, so the reader never assumes less than the router was allowed.
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
//! assert_eq!(schedule.limit(500), 120, "notes are written more often than that");
//! assert_eq!(schedule.limit(1_500), 130, "without new ones the limit grows, so that an outage is bridged");
//! assert_eq!(schedule.limit(2_500), 190, "faster for a while, since some requests are large");
//! assert_eq!(schedule.limit(9_500), 290, "and then no faster than the demand: a death costs what was allowed");
//! ```

use crate::ledger::Line;
use serde::{Deserialize, Serialize};

/// The time whose demand may be used at once after a note, beyond what waits for one, in milliseconds. Little: while the
/// store answers, a request that needs more has a new note written first, and a death costs it.
const NOTED_MS: u64 = 100;
/// Where notes take longer: this multiple of the time that they take, one that is on its way and the next, and that time
/// at the most. It is what the store takes when it is slow or loses answers, and a cut shows as such a time too.
const NOTED_TIMES: u64 = 2;
const NOTED_MOST_MS: u64 = 1_500;
/// The part of what is at hand that may be used at once after a note.
const NOTED_PART: u64 = 256;
/// From this age on a note's limit grows by this part of the demand, in milliseconds: a note that old was due before, so the
/// store is away, and of those that ask now about a quarter would be refused or told to come back too late. Little, since
/// each death costs it (`tests/outages.rs` holds the bound).
const FIRST_MS: u64 = 300;
const FIRST_GROWTH: f64 = 0.3;
/// From this age on it grows faster, in milliseconds: longer than most restarts take, since a death costs what the limit
/// grew by until the next start.
const EARLY_MS: u64 = 1_800;
/// Multiple of the demand by which a note's limit grows from then on. So near to one because a death in an outage costs
/// what the limit passes the use by (`tests/outages.rs` holds the bound).
const GROWTH: f64 = 1.1;
/// It grows at least by an owner's part of what is left within so many seconds: a team that has asked for little so far is
/// served through an outage too, and what a death costs then lasts it for about that time.
const LEAST_S: u64 = 80;
/// From this age on it also grows by the demand once more, in milliseconds.
const LATE_MS: u64 = 2_000;
/// And by all that is at hand within so many seconds, so that large requests fit soon.
const LATE_S: u64 = 8;
/// The most by which it grows late: the demand of so many seconds, for what was refused before, and one part in so many of an
/// owner's part of what is left, for requests that are larger than most.
const LATE_DEMAND_S: f64 = 0.6;
const LATE_PART: u64 = 60;

/// A time in milliseconds of a clock that neither stops nor jumps.
pub type Millis = u64;

/// How much a router may have used of a budget, by the time since its note.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Schedule {
    /// Used when the note was made: charged, or reserved at the worst.
    pub used: u64,
    /// The part of it that requests which ended were charged: what a death costs beyond this was reserved, or allowed.
    #[serde(default)]
    pub charged: u64,
    /// Allowed beyond that by `early_ms`. A process of an earlier version, which may read this one's note, takes it to be
    /// allowed at once, and so never assumes less than was.
    pub allowance: u64,
    /// From then on the limit grows a little, in milliseconds since the note.
    #[serde(default)]
    pub first_ms: u64,
    /// How much of the allowance is added in a second from then on; before, all of that is held back.
    #[serde(default)]
    pub first_per_s: u64,
    /// From then on it grows in place of that so that an outage is bridged, in milliseconds since the note.
    #[serde(default)]
    pub early_ms: u64,
    /// How much it grows in a second.
    pub per_s: u64,
    /// From then on it grows faster, in milliseconds since the note.
    pub late_ms: u64,
    /// How much more it grows in a second from then on.
    pub late_per_s: u64,
    /// The most by which it grows in that way.
    #[serde(default = "unbounded")]
    pub late_most: u64,
}

/// Processes of an earlier version did not bound their late growth.
fn unbounded() -> u64 {
    u64::MAX
}

/// What a schedule is made from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Tokens used so far: charged, or reserved at the worst.
    pub used: u64,
    /// Tokens charged so far.
    pub charged: u64,
    /// Tokens that requests wait for.
    pub waiting: u64,
    /// Tokens at hand.
    pub available: u64,
    /// Tokens of the budget that nobody has spent.
    pub left: u64,
    /// Gateways that own the budget: each takes its part of what is left.
    pub owners: u64,
    /// Tokens consumed in a second, on average.
    pub rate: f64,
    /// How long a note takes to be acknowledged, in milliseconds.
    pub note_ms: u64,
}

impl Schedule {
    /// The schedule of a note that is about to be written.
    pub fn plan(outlook: &Outlook) -> Schedule {
        let Outlook { used, charged, waiting, available, left, owners, rate, note_ms } = *outlook;
        let left = left / owners.max(1);
        let noted_ms = (NOTED_TIMES * note_ms).clamp(NOTED_MS, NOTED_MOST_MS);
        let noted = (rate * noted_ms as f64 / 1_000.0) as u64;
        let first_per_s = (rate * FIRST_GROWTH) as u64;
        Schedule {
            used,
            charged,
            allowance: waiting + noted + available / NOTED_PART + growth(first_per_s, EARLY_MS - FIRST_MS),
            first_ms: FIRST_MS,
            first_per_s,
            early_ms: EARLY_MS,
            per_s: ((rate * GROWTH) as u64).max(left / LEAST_S),
            late_ms: LATE_MS,
            late_per_s: rate as u64 + available / LATE_S,
            late_most: (rate * LATE_DEMAND_S) as u64 + left / LATE_PART,
        }
    }

    /// The most that may have been used so long after the note.
    pub fn limit(&self, elapsed_ms: u64) -> u64 {
        let held_back = growth(self.first_per_s, self.early_ms.saturating_sub(elapsed_ms.max(self.first_ms)));
        let early = growth(self.per_s, elapsed_ms.saturating_sub(self.early_ms));
        let late = growth(self.late_per_s, elapsed_ms.saturating_sub(self.late_ms)).min(self.late_most);
        [self.allowance.saturating_sub(held_back), early, late]
            .into_iter()
            .fold(self.used, u64::saturating_add)
    }

    /// What a dead router may hold in use beyond what its account's line says is spent.
    pub fn exposed(&self, line: &Line, elapsed_ms: u64) -> u64 {
        self.limit(elapsed_ms).saturating_sub(line.spent)
    }
}

fn growth(per_s: u64, elapsed_ms: u64) -> u64 {
    let grown = u128::from(per_s) * u128::from(elapsed_ms) / 1_000;
    u64::try_from(grown).unwrap_or(u64::MAX)
}

/// The notes of one budget that bind this router: the newest that was acknowledged, and those sent since whose
/// fate is not known.
///
/// Each note is written under the condition that the row is as last seen. So once one took effect, those before
/// it either were overwritten or never will take effect.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Notes {
    noted: Option<(Millis, Schedule)>,
    unsure: Vec<(Millis, Schedule)>,
}

impl Notes {
    /// Adds a note that is about to be sent; it binds from now on.
    pub fn begin(&mut self, now: Millis, schedule: Schedule) {
        self.unsure.push((now, schedule));
    }

    /// Takes in how the newest note ended: `Some(true)` if it took effect, `Some(false)` if it certainly did not
    /// and never will, `None` if that is not known.
    pub fn end(&mut self, took_effect: Option<bool>) {
        match took_effect {
            Some(true) => {
                self.noted = self.unsure.pop().or(self.noted);
                self.unsure.clear();
            }
            Some(false) => {
                self.unsure.pop();
            }
            None => {}
        }
    }

    /// The most that may be used now; without any note nothing bounds it, and whoever closes the account finds
    /// none.
    pub fn limit(&self, now: Millis) -> u64 {
        let limit = |(sent, schedule): &(Millis, Schedule)| schedule.limit(now.saturating_sub(*sent));
        self.noted.iter().chain(&self.unsure).map(limit).min().unwrap_or(u64::MAX)
    }

    /// How long ago the acknowledged note was sent.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.noted.map(|(sent, _)| now.saturating_sub(sent))
    }
}
