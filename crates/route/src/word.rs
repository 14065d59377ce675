//! What routers tell each other of requests that end upstreams, and whom.

use crate::Millis;
use crate::quarantine::{Ends, Fingerprint, MOST_ENDED, Quarantine, Stage, Upstreams, Verdict};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Routers that are told of an end under a request where not all are: one of them hears it even if another one is cut off and a
/// message is lost.
pub const DECIDERS: usize = 3;
/// In a fleet of up to so many routers all are told of each suspect that was silent; in a larger one of such a part of them.
const ALL_ROUTERS: u64 = 32;
/// Suspects that each router hears of in a second, where all are told.
const SUSPECTS_PER_S: f64 = 20.0;
/// Suspects that each router may tell all of at once: those of some upstreams' ends.
const SUSPECTS_AT_ONCE: f64 = 8.0;
/// Names of upstreams in one message at most, and the longest, in bytes.
const MOST_NAMES: usize = 8;
const LONGEST_NAME: usize = 120;

/// What routers tell each other of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Word {
    /// These ended under it.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// All ends that the sender knows of.
        ends: Ends,
    },
    /// It is denied.
    Denied {
        /// The request.
        fingerprint: Fingerprint,
        /// Upstreams that ended under it.
        upstreams: Upstreams,
        /// For how long, in milliseconds.
        lasts_ms: Millis,
    },
    /// An upstream outlived it.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// How many ends it is cleared of, as far as the sender knows.
        ends: usize,
    },
}

/// Who is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// The routers that a fingerprint [prefers](deciders).
    Deciders(Fingerprint),
    /// Every router.
    All,
}

/// What to do after word was taken in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reaction {
    /// What to tell the others.
    pub tell: Option<Word>,
    /// Whether to [decide](Quarantine::decide) once the time for that has come.
    pub is_due: bool,
}

impl Word {
    /// Whether it can be what a router says: an altered message may hold anything.
    pub fn is_sound(&self) -> bool {
        let is_name = |name: &str| name.len() <= LONGEST_NAME;
        match self {
            Word::Suspect { ends, .. } => {
                ends.len() <= MOST_NAMES && ends.iter().all(|end| is_name(&end.upstream))
            }
            Word::Denied { upstreams, .. } => {
                (MOST_ENDED..=MOST_NAMES).contains(&upstreams.len())
                    && upstreams.iter().all(|name| is_name(name))
            }
            Word::Cleared { .. } => true,
        }
    }
}

impl Quarantine {
    /// Takes in an end that this router saw itself.
    pub fn observe(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &str,
        stage: Stage,
        now: Millis,
    ) -> Reaction {
        if !self.end(fingerprint, upstream, stage, now) {
            return Reaction::default();
        }
        self.own(fingerprint);
        self.react(fingerprint, true, now)
    }

    /// Takes in that an upstream outlived a request of this router: what to tell the others, if it was suspect.
    pub fn outlived(&mut self, fingerprint: Fingerprint) -> Option<Word> {
        let ends = self.clear(fingerprint);
        (ends > 0).then_some(Word::Cleared { fingerprint, ends })
    }

    /// Takes in what another router says.
    pub fn hear(&mut self, word: &Word, now: Millis) -> Reaction {
        match word {
            Word::Suspect { fingerprint, ends } => {
                let known = self.ends(*fingerprint).len();
                for end in ends {
                    self.end(*fingerprint, &end.upstream, end.stage, now);
                }
                let all = self.ends(*fingerprint).len();
                // Who can add to what was said tells all; otherwise all have heard it.
                if all > known {
                    self.react(*fingerprint, all > ends.len(), now)
                } else {
                    Reaction::default()
                }
            }
            Word::Denied { fingerprint, upstreams, lasts_ms } => {
                self.deny(*fingerprint, upstreams, *lasts_ms, now);
                Reaction::default()
            }
            Word::Cleared { fingerprint, .. } => {
                self.clear(*fingerprint);
                Reaction::default()
            }
        }
    }

    fn react(&self, fingerprint: Fingerprint, tells: bool, now: Millis) -> Reaction {
        let word = Word::Suspect { fingerprint, ends: self.ends(fingerprint) };
        let is_due = self.verdict(fingerprint, now) == Verdict::Undecided;
        Reaction { tell: tells.then_some(word), is_due }
    }
}

/// Bounds the word that goes to all.
///
/// All should know what was silent at an upstream that ended, since it shares the blame. But in a large fleet that loses many upstreams, each
/// router would hear of thousands. So of those with one end a part is told to all, the smaller the larger the fleet, and the others to a
/// few; and together the routers tell all of a fixed number a second.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    left: f64,
    filled: Millis,
}

impl Default for Bound {
    fn default() -> Bound {
        Bound { left: SUSPECTS_AT_ONCE, filled: 0 }
    }
}

impl Bound {
    /// Who is told in a fleet of so many routers.
    pub fn audience(&mut self, word: &Word, routers: usize, now: Millis) -> Audience {
        let is_sampled =
            |fingerprint: &Fingerprint| fingerprint.seed() % (routers as u64).max(1) < ALL_ROUTERS;
        let (fingerprint, concerns_all) = match word {
            Word::Denied { .. } => return Audience::All,
            Word::Cleared { fingerprint, ends } => (fingerprint, *ends > 1),
            Word::Suspect { fingerprint, ends } => {
                let is_silent = ends.iter().any(|end| end.stage == Stage::Silent);
                (fingerprint, ends.len() > 1 || is_silent && is_sampled(fingerprint))
            }
        };
        match concerns_all && self.take(routers, now) {
            true => Audience::All,
            false => Audience::Deciders(*fingerprint),
        }
    }

    fn take(&mut self, routers: usize, now: Millis) -> bool {
        let per_ms = SUSPECTS_PER_S / 1_000.0 / routers.max(1) as f64;
        let gained = per_ms * now.saturating_sub(self.filled) as f64;
        self.left = (self.left + gained).min(SUSPECTS_AT_ONCE);
        self.filled = self.filled.max(now);
        let is_left = self.left >= 1.0;
        self.left -= f64::from(u8::from(is_left));
        is_left
    }
}

/// The peers that a fingerprint prefers, whoever asks: each with the name by which all know it.
pub fn deciders<P, N: AsRef<[u8]>>(
    fingerprint: Fingerprint,
    peers: impl IntoIterator<Item = (P, N)>,
) -> Vec<P> {
    let weight = |name: &N| xxh3_64_with_seed(name.as_ref(), fingerprint.seed());
    let mut ranked: Vec<(Reverse<u64>, P)> =
        peers.into_iter().map(|(peer, name)| (Reverse(weight(&name)), peer)).collect();
    ranked.sort_by_key(|(weight, _)| *weight);
    ranked.into_iter().map(|(_, peer)| peer).take(DECIDERS).collect()
}
