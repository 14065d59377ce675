//! Whether a gateway has more work than its VM bears, and what it does about it.
//!
//! Callers reach a gateway by a hash of who they are, so one large caller overruns one small VM while its neighbours have room. Only
//! the balancer can bring callers elsewhere, and it follows readiness: an overrun gateway steps back, so that new connections go to
//! others, and closes some of those that it has after their answers, so that there are new ones.
//!
//! ```
//! use route::{Sample, Strain};
//!
//! let mut strain = Strain::new(None);
//! for at in (0..2_000).step_by(100) {
//!     strain.take(Sample { at, late_ms: 80.0, bytes: 0 });
//! }
//! assert!(strain.is_back(), "it was late all the time");
//! ```

use crate::Millis;

/// A gateway whose timers are so late is overrun, in milliseconds: a request passes its event loop some five times, so this takes
/// half of the time that the shortest calls have.
const LATE_MS: f64 = 30.0;
/// A gateway whose timers are no later than this has room again, in milliseconds.
const EASY_MS: f64 = 8.0;
/// Timers that are later than this count as so late, in milliseconds: a VM that stood still for seconds is not overrun.
const LATEST_MS: f64 = 40.0;
/// A link of which so much is used is full soon, as a share: for two seconds more the balancer sends whoever comes.
const FULL: f64 = 0.6;
/// A link of which no more than this is used has room again, as a share.
const ROOM: f64 = 0.35;
/// The time over which samples count, in milliseconds: a prompt takes a tenth of it on a link of 10 Mbit/s.
const MEMORY_MS: f64 = 200.0;
/// How long a gateway is overrun before it steps back, in milliseconds.
const OVERRUN_MS: Millis = 100;
/// How long a gateway stays back at least, in milliseconds: the balancer asks each second and believes the second answer.
const BACK_MS: Millis = 3_000;
/// The part of the answers after which an overrun gateway that has stepped back closes the connection: with few the load stays, and
/// with all of them it moves on to the next gateway at once.
const CLOSED: f64 = 0.3;

/// What was observed of a gateway at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When.
    pub at: Millis,
    /// How late its timer was, in milliseconds.
    pub late_ms: f64,
    /// Bytes that passed the fuller direction of its link since the sample before.
    pub bytes: u64,
}

/// What changed with a sample.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shift {
    /// Nothing.
    Stays,
    /// The gateway takes no new callers from now on.
    StepsBack,
    /// It takes new callers again.
    Returns,
}

/// How a gateway bears its work.
#[derive(Clone, Debug)]
pub struct Strain {
    link_bytes_per_s: Option<f64>,
    sampled: Option<Millis>,
    late_ms: f64,
    /// The share of the link that is used.
    link: f64,
    overrun_since: Option<Millis>,
    back_since: Option<Millis>,
}

impl Strain {
    /// A gateway with a link that carries so many bytes in a second, if that is known.
    pub fn new(link_bytes_per_s: Option<f64>) -> Strain {
        Strain {
            link_bytes_per_s,
            sampled: None,
            late_ms: 0.0,
            link: 0.0,
            overrun_since: None,
            back_since: None,
        }
    }

    /// Takes in what was observed.
    pub fn take(&mut self, sample: Sample) -> Shift {
        let Sample { at, late_ms, bytes } = sample;
        let passed = at.saturating_sub(self.sampled.replace(at).unwrap_or(at)) as f64;
        let weight = 1.0 - (-passed / MEMORY_MS).exp();
        self.late_ms += weight * (late_ms.min(LATEST_MS) - self.late_ms);
        if let Some(rate) = self.link_bytes_per_s.filter(|_| passed > 0.0) {
            self.link += weight * (bytes as f64 * 1_000.0 / passed / rate - self.link);
        }
        if !self.is_overrun() {
            self.overrun_since = None;
        } else {
            self.overrun_since.get_or_insert(at);
        }
        self.decide(at)
    }

    fn decide(&mut self, now: Millis) -> Shift {
        match self.back_since {
            None if self.overrun_since.is_some_and(|since| now - since >= OVERRUN_MS) => {
                self.back_since = Some(now);
                Shift::StepsBack
            }
            Some(since) if now - since >= BACK_MS && self.has_room() => {
                self.back_since = None;
                Shift::Returns
            }
            _ => Shift::Stays,
        }
    }

    fn is_overrun(&self) -> bool {
        self.late_ms >= LATE_MS || self.link >= FULL
    }

    fn has_room(&self) -> bool {
        self.late_ms <= EASY_MS && self.link <= ROOM
    }

    /// Whether the gateway takes no new callers.
    pub fn is_back(&self) -> bool {
        self.back_since.is_some()
    }

    /// Whether the connection of an answer is closed after it; `chance` is drawn evenly between 0 and 1.
    pub fn closes(&self, chance: f64) -> bool {
        self.is_back() && self.is_overrun() && chance < CLOSED
    }

    /// How late timers are, in milliseconds, and the share of the link that is used.
    pub fn figures(&self) -> (f64, f64) {
        (self.late_ms, self.link)
    }
}
