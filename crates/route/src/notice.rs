//! What routers tell each other of requests that end upstreams, and whom.

use crate::Millis;
use crate::quarantine::{Crashes, DENIAL_THRESHOLD, Fingerprint, Quarantine, Stage, Upstreams, Verdict};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Routers that are told of an end under a request where not all are: one of them hears it even if another one is cut off and a
/// message is lost.
pub const COORDINATOR_COUNT: usize = 3;
/// In a fleet of up to so many routers all are told of each suspect that was silent; in a larger one of such a part of them.
const FULL_BROADCAST_ROUTERS: u64 = 32;
/// Suspects that each router hears of in a second, where all are told.
const BROADCASTS_PER_S: f64 = 20.0;
/// Suspects that each router may tell all of at once: those of some upstreams' ends.
const BROADCAST_BURST: f64 = 8.0;
/// Names of upstreams in one message at most, and the longest, in bytes.
const MAX_UPSTREAMS: usize = 8;
const MAX_NAME_BYTES: usize = 120;

/// What routers tell each other of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Notice {
    /// These ended under it.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// All ends that the sender knows of.
        ends: Crashes,
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
pub enum Recipients {
    /// The routers that a fingerprint [prefers](coordinators).
    Coordinators(Fingerprint),
    /// Every router.
    All,
}

/// What to do after word was taken in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowUp {
    /// What to tell the others.
    pub notice: Option<Notice>,
    /// Whether to [decide](Quarantine::decide) once the time for that has come.
    pub is_decision_due: bool,
}

impl Notice {
    /// Whether it can be what a router says: an altered message may hold anything.
    pub fn is_valid(&self) -> bool {
        let is_name = |name: &str| name.len() <= MAX_NAME_BYTES;
        match self {
            Notice::Suspect { ends, .. } => {
                ends.len() <= MAX_UPSTREAMS && ends.iter().all(|crash| is_name(&crash.upstream))
            }
            Notice::Denied { upstreams, .. } => {
                (DENIAL_THRESHOLD..=MAX_UPSTREAMS).contains(&upstreams.len())
                    && upstreams.iter().all(|name| is_name(name))
            }
            Notice::Cleared { .. } => true,
        }
    }
}

impl Quarantine {
    /// Takes in an end that this router saw itself.
    pub fn observe_crash(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &str,
        stage: Stage,
        now: Millis,
    ) -> FollowUp {
        if !self.record_crash(fingerprint, upstream, stage, now) {
            return FollowUp::default();
        }
        self.mark_firsthand(fingerprint);
        self.follow_up(fingerprint, true, now)
    }

    /// Takes in that an upstream outlived a request of this router: what to tell the others, if it was suspect.
    pub fn record_survival(&mut self, fingerprint: Fingerprint) -> Option<Notice> {
        let ends = self.clear(fingerprint);
        (ends > 0).then_some(Notice::Cleared { fingerprint, ends })
    }

    /// Takes in what another router says.
    pub fn apply(&mut self, notice: &Notice, now: Millis) -> FollowUp {
        match notice {
            Notice::Suspect { fingerprint, ends } => {
                let known = self.crashes(*fingerprint).len();
                for crash in ends {
                    self.record_crash(*fingerprint, &crash.upstream, crash.stage, now);
                }
                let all = self.crashes(*fingerprint).len();
                // Who can add to what was said has_news all; otherwise all have heard it.
                if all > known {
                    self.follow_up(*fingerprint, all > ends.len(), now)
                } else {
                    FollowUp::default()
                }
            }
            Notice::Denied { fingerprint, upstreams, lasts_ms } => {
                self.deny(*fingerprint, upstreams, *lasts_ms, now);
                FollowUp::default()
            }
            Notice::Cleared { fingerprint, .. } => {
                self.clear(*fingerprint);
                FollowUp::default()
            }
        }
    }

    fn follow_up(&self, fingerprint: Fingerprint, has_news: bool, now: Millis) -> FollowUp {
        let notice = Notice::Suspect { fingerprint, ends: self.crashes(fingerprint) };
        let is_decision_due = self.verdict(fingerprint, now) == Verdict::Undecided;
        FollowUp { notice: has_news.then_some(notice), is_decision_due }
    }
}

/// Bounds the word that goes to all.
///
/// All should know what was silent at an upstream that ended, since it shares the blame. But in a large fleet that loses many upstreams, each
/// router would hear of thousands. So of those with one end a part is told to all, the smaller the larger the fleet, and the others to a
/// few; and together the routers tell all of a fixed number a second.
#[derive(Clone, Copy, Debug)]
pub struct NoticeLimiter {
    tokens: f64,
    refilled: Millis,
}

impl Default for NoticeLimiter {
    fn default() -> NoticeLimiter {
        NoticeLimiter { tokens: BROADCAST_BURST, refilled: 0 }
    }
}

impl NoticeLimiter {
    /// Who is told in a fleet of so many routers.
    pub fn recipients(&mut self, notice: &Notice, routers: usize, now: Millis) -> Recipients {
        let is_sampled =
            |fingerprint: &Fingerprint| fingerprint.seed() % (routers as u64).max(1) < FULL_BROADCAST_ROUTERS;
        let (fingerprint, is_for_all) = match notice {
            Notice::Denied { .. } => return Recipients::All,
            Notice::Cleared { fingerprint, ends } => (fingerprint, *ends > 1),
            Notice::Suspect { fingerprint, ends } => {
                let is_silent = ends.iter().any(|crash| crash.stage == Stage::Silent);
                (fingerprint, ends.len() > 1 || is_silent && is_sampled(fingerprint))
            }
        };
        match is_for_all && self.take_token(routers, now) {
            true => Recipients::All,
            false => Recipients::Coordinators(*fingerprint),
        }
    }

    fn take_token(&mut self, routers: usize, now: Millis) -> bool {
        let per_ms = BROADCASTS_PER_S / 1_000.0 / routers.max(1) as f64;
        let gained = per_ms * now.saturating_sub(self.refilled) as f64;
        self.tokens = (self.tokens + gained).min(BROADCAST_BURST);
        self.refilled = self.refilled.max(now);
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(has_token));
        has_token
    }
}

/// The peers that a fingerprint prefers, whoever asks: each with the name by which all know it.
pub fn coordinators<P, N: AsRef<[u8]>>(
    fingerprint: Fingerprint,
    peers: impl IntoIterator<Item = (P, N)>,
) -> Vec<P> {
    let weight = |name: &N| xxh3_64_with_seed(name.as_ref(), fingerprint.seed());
    let mut ranked: Vec<(Reverse<u64>, P)> =
        peers.into_iter().map(|(peer, name)| (Reverse(weight(&name)), peer)).collect();
    ranked.sort_by_key(|(weight, _)| *weight);
    ranked.into_iter().map(|(_, peer)| peer).take(COORDINATOR_COUNT).collect()
}
