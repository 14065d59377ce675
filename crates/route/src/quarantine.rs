//! Requests that end the upstreams which run them, told from those that only ran beside them.
//!
//! The load that this answers: a caller sends such a request again and again, to any router, and each upstream that begins to run it ends
//! with all that it runs. One end proves nothing: everything that ran there is suspect, and an upstream may end for reasons of
//! its own. What is there each time is not there by chance. So each router takes down under which requests upstreams ended, the
//! routers tell each other, and a request under which [`DENIAL_THRESHOLD`] ended is denied if most of the blame for them is its own: the blame
//! for an end is shared by all that had not answered yet there, the more on one the more ends it has seen.
//!
//! ```
//! use route::quarantine::{Fingerprint, Quarantine, Stage, Verdict};
//!
//! let (request, beside) = (Fingerprint::new([1; 16]), Fingerprint::new([2; 16]));
//! let mut quarantine = Quarantine::default();
//! quarantine.record_crash(beside, "engine-1", Stage::Silent, 0);
//! for upstream in ["engine-1", "engine-2", "engine-3"] {
//!     quarantine.record_crash(request, upstream, Stage::Silent, 0);
//! }
//! assert_eq!(quarantine.decide(route::quarantine::DECISION_DELAY_MS), [request]);
//! assert_eq!(quarantine.verdict(request, 200), Verdict::Denied);
//! assert_eq!(quarantine.verdict(beside, 200), Verdict::Clear);
//! ```

use crate::Millis;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

/// Upstreams that end under a request before it is denied. Two may end by chance under one that is tried again where many end; a third
/// needs the request to be there each time.
pub const DENIAL_THRESHOLD: usize = 3;
/// How long a router waits for word of what else ran at the last upstream, in milliseconds: several times a datagram's way.
pub const DECISION_DELAY_MS: Millis = 100;
/// Upstreams from which on a request is denied though others were there too, or though it had answered each time.
const CERTAINTY_THRESHOLD: usize = 5;
/// The part of the blame for its ends from which on a request is denied. What was beside the cause has less than half of it.
const MIN_BLAME_SHARE: f64 = 0.5;
/// A run that broke off later than this after its first answer, in milliseconds, doesn't speak against its request: one that
/// ends its upstream does so as it begins to run, and most of what is beside it runs for seconds.
const EARLY_RUN_MS: Millis = 1_000;
/// How long an end is held against a request, in milliseconds: some times what a patient caller waits between two tries.
const CRASH_RETENTION_MS: Millis = 300_000;
/// How long a request stays denied after it last came, in milliseconds. Then it may end three more upstreams.
pub const DENIAL_DURATION_MS: Millis = 600_000;
/// Suspects that are remembered: those whose last upstream ended the longest ago give way.
const MAX_SUSPECTS: usize = 4_096;
/// Denied requests that are remembered.
const MAX_DENIALS: usize = 1_024;
/// Upstreams remembered for each request.
const MAX_UPSTREAMS: usize = 8;

/// How a run stood when its upstream ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Stage {
    /// It had answered a moment ago: that is what most of those do that are there by chance.
    Begun,
    /// It had not answered yet.
    Silent,
}

impl Stage {
    /// The stage of a run by the time since its first answer, in milliseconds; `None` if it had run for so long that the end does not
    /// speak against its request.
    pub fn of(begun_ms: Option<Millis>) -> Option<Stage> {
        match begun_ms {
            None => Some(Stage::Silent),
            Some(ms) => (ms <= EARLY_RUN_MS).then_some(Stage::Begun),
        }
    }
}

/// The end of an upstream under a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The upstream.
    pub upstream: String,
    /// How the run stood.
    pub stage: Stage,
}

/// Crashes under one request.
pub type Crashes = SmallVec<[Crash; 4]>;

/// Names of upstreams that ended.
pub type Upstreams = SmallVec<[String; 4]>;

/// What is known of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// So many upstreams ended under it.
    Suspect(usize),
    /// It is decided on within [`DECISION_DELAY_MS`], and should not run until then.
    Undecided,
    /// It must not run again.
    Denied,
}

/// A request under which upstreams ended.
#[derive(Clone, Debug)]
struct Suspect {
    crashes: Crashes,
    last_crash: Millis,
    /// When it is decided on.
    decision_due: Option<Millis>,
    /// Whether this router saw one of the ends itself.
    is_firsthand: bool,
}

/// A request that is denied.
#[derive(Clone, Debug)]
struct Denial {
    upstreams: Upstreams,
    until: Millis,
    /// Whether this router saw one of the ends itself.
    is_firsthand: bool,
}

/// What one router knows of requests that end upstreams.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    denials: HashMap<Fingerprint, Denial>,
}

impl Quarantine {
    /// Whether it knows of any request: as long as it doesn't, none has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.denials.is_empty()
    }

    /// How many requests are denied.
    pub fn denied_count(&self) -> usize {
        self.denials.len()
    }

    /// Takes in that an upstream ended under a request; `true` if that is new and not explained by a denied request that ran there too.
    pub fn record_crash(&mut self, request: Fingerprint, upstream: &str, stage: Stage, now: Millis) -> bool {
        self.expire(now);
        if let Some(denial) = self.denials.get_mut(&request) {
            insert_upstream(&mut denial.upstreams, upstream);
            self.clear_explained(&[upstream]);
            return false;
        }
        if self.denials.values().any(|denial| denial.contains(upstream)) {
            return false;
        }
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            self.evict_oldest_suspect();
        }
        let new =
            || Suspect { crashes: Crashes::new(), last_crash: now, decision_due: None, is_firsthand: false };
        let suspect = self.suspects.entry(request).or_insert_with(new);
        if suspect.crashes.len() >= MAX_UPSTREAMS || suspect.stage(upstream).is_some() {
            return false;
        }
        suspect.crashes.push(Crash { upstream: upstream.to_owned(), stage });
        suspect.last_crash = now;
        if suspect.is_decidable() {
            suspect.decision_due.get_or_insert(now + DECISION_DELAY_MS);
        }
        true
    }

    /// The ends under a suspect.
    pub fn crashes(&self, request: Fingerprint) -> Crashes {
        self.suspects.get(&request).map(|suspect| suspect.crashes.clone()).unwrap_or_default()
    }

    /// The upstreams that ended under a denied request; `None` if it isn't denied.
    pub fn denied_upstreams(&self, request: Fingerprint) -> Option<Upstreams> {
        self.denials.get(&request).map(|denial| denial.upstreams.clone())
    }

    /// Lets a denied request run again, as operators say; `true` if it was denied. Its earlier ends count no more.
    pub fn lift(&mut self, request: Fingerprint) -> bool {
        self.suspects.remove(&request);
        self.denials.remove(&request).is_some()
    }

    /// Whether this router saw one of the ends under a denied request itself. Those that did, a few, tell the others and keep it; all that
    /// heard of the ends decide alike.
    pub fn is_firsthand(&self, request: Fingerprint) -> bool {
        self.denials.get(&request).is_some_and(|denial| denial.is_firsthand)
    }

    /// Takes in that this router saw an end of a suspect itself.
    pub(crate) fn mark_firsthand(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.is_firsthand = true;
        }
    }

    /// Takes in that an upstream outlived a run of a request: it ends no upstream. How many ends it is cleared of.
    pub fn clear(&mut self, request: Fingerprint) -> usize {
        self.suspects.remove(&request).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Decides on those whose time has come, and names those that are denied from now on.
    ///
    /// One that has not most of the blame stays suspect: what was beside it may be the cause. The next upstream that ends tells them apart.
    pub fn decide(&mut self, now: Millis) -> Vec<Fingerprint> {
        let is_due = |suspect: &Suspect| suspect.decision_due.is_some_and(|due| due <= now);
        let mut due: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .map(|(request, _)| *request)
            .collect();
        due.sort_unstable();
        let denied: Vec<Fingerprint> =
            due.iter().copied().filter(|request| self.is_cause(*request)).collect();
        for request in &due {
            if let Some(suspect) = self.suspects.get_mut(request) {
                suspect.decision_due = None;
            }
        }
        for request in &denied {
            let upstreams = self.crashes(*request).into_iter().map(|crash| crash.upstream).collect();
            let is_firsthand = self.suspects.get(request).is_some_and(|suspect| suspect.is_firsthand);
            self.deny(*request, &upstreams, DENIAL_DURATION_MS, now);
            if let Some(denial) = self.denials.get_mut(request) {
                denial.is_firsthand = is_firsthand;
            }
        }
        denied
    }

    /// Denies a request for so many milliseconds; `true` if it was not denied before. What else ran at these upstreams is cleared of their
    /// ends.
    pub fn deny(
        &mut self,
        request: Fingerprint,
        upstreams: &Upstreams,
        lasts_ms: Millis,
        now: Millis,
    ) -> bool {
        self.expire(now);
        self.suspects.remove(&request);
        let is_new = !self.denials.contains_key(&request);
        if is_new && self.denials.len() >= MAX_DENIALS {
            self.evict_first_expiring_denial();
        }
        let until = now + lasts_ms.min(DENIAL_DURATION_MS);
        let denial = self.denials.entry(request).or_insert_with(|| Denial {
            upstreams: Upstreams::new(),
            until,
            is_firsthand: false,
        });
        denial.until = denial.until.max(until);
        upstreams.iter().for_each(|upstream| insert_upstream(&mut denial.upstreams, upstream));
        let names: SmallVec<[&str; 8]> = upstreams.iter().map(String::as_str).collect();
        self.clear_explained(&names);
        is_new
    }

    /// What is known of a request that came.
    pub fn verdict(&self, request: Fingerprint, now: Millis) -> Verdict {
        if self.denials.get(&request).is_some_and(|denial| denial.until > now) {
            return Verdict::Denied;
        }
        match self.suspects.get(&request) {
            Some(Suspect { decision_due: Some(_), .. }) => Verdict::Undecided,
            Some(suspect) => Verdict::Suspect(suspect.crashes.len()),
            None => Verdict::Clear,
        }
    }

    /// Denies a request that came again for longer; its upstreams if that should be told, since half of the time was over.
    pub fn renew(&mut self, request: Fingerprint, now: Millis) -> Option<Upstreams> {
        let denial = self.denials.get_mut(&request).filter(|denial| denial.until > now)?;
        if denial.until - now > DENIAL_DURATION_MS / 2 {
            return None;
        }
        denial.until = now + DENIAL_DURATION_MS;
        Some(denial.upstreams.clone())
    }

    /// Whether a suspect is the cause of its ends, as far as is known.
    fn is_cause(&self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&request) else { return false };
        let silent = suspect.silent_crashes();
        let has_most_blame =
            silent >= DENIAL_THRESHOLD && self.blame(suspect) > MIN_BLAME_SHARE * silent as f64;
        has_most_blame || suspect.crashes.len() >= CERTAINTY_THRESHOLD
    }

    /// The ends that are a suspect's doing: each is shared by all that were silent there, by the square of the ends that
    /// they have: the cause is there each time, and what is beside it seldom more than once.
    fn blame(&self, suspect: &Suspect) -> f64 {
        let own = suspect.silent_crashes().pow(2) as f64;
        let total = |upstream: &str| -> usize {
            let was_silent_there = |other: &&Suspect| other.stage(upstream) == Some(Stage::Silent);
            self.suspects.values().filter(was_silent_there).map(|other| other.silent_crashes().pow(2)).sum()
        };
        let shares = suspect.crashes.iter().filter(|crash| crash.stage == Stage::Silent);
        shares.map(|crash| own / total(&crash.upstream) as f64).sum()
    }

    /// Takes ends whose cause is known from the others that ran there.
    fn clear_explained(&mut self, ended: &[&str]) {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|crash| !ended.contains(&crash.upstream.as_str()));
            if !suspect.is_decidable() {
                suspect.decision_due = None;
            }
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
    }

    fn expire(&mut self, now: Millis) {
        self.suspects.retain(|_, suspect| now.saturating_sub(suspect.last_crash) < CRASH_RETENTION_MS);
        self.denials.retain(|_, denial| denial.until > now);
    }

    fn evict_oldest_suspect(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(request, suspect)| (suspect.last_crash, **request));
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }

    fn evict_first_expiring_denial(&mut self) {
        let first_expiring = self.denials.iter().min_by_key(|(request, denial)| (denial.until, **request));
        if let Some(request) = first_expiring.map(|(request, _)| *request) {
            self.denials.remove(&request);
        }
    }
}

impl Suspect {
    fn stage(&self, upstream: &str) -> Option<Stage> {
        self.crashes.iter().find(|crash| crash.upstream == upstream).map(|crash| crash.stage)
    }

    /// Crashes before it had answered.
    fn silent_crashes(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.stage == Stage::Silent).count()
    }

    /// Whether there are enough ends to decide on it.
    fn is_decidable(&self) -> bool {
        self.silent_crashes() >= DENIAL_THRESHOLD || self.crashes.len() >= CERTAINTY_THRESHOLD
    }
}

impl Denial {
    fn contains(&self, upstream: &str) -> bool {
        self.upstreams.iter().any(|known| known == upstream)
    }
}

/// Adds a name that is not held yet, if there is room.
fn insert_upstream(upstreams: &mut Upstreams, name: &str) {
    if upstreams.len() < MAX_UPSTREAMS && !upstreams.iter().any(|known| known == name) {
        upstreams.push(name.to_owned());
    }
}

/// What a request is, whichever attempt of its caller it comes in: a digest of its path, its caller and its body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// A fingerprint from the first bytes of a digest.
    pub fn new(digest: [u8; 16]) -> Fingerprint {
        Fingerprint(u128::from_be_bytes(digest))
    }

    /// Bytes that are spread evenly over fingerprints.
    pub fn seed(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> String {
        fingerprint.to_string()
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseFingerprintError(String);

impl fmt::Display for ParseFingerprintError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} is no fingerprint", self.0)
    }
}

impl std::error::Error for ParseFingerprintError {}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseFingerprintError> {
        u128::from_str_radix(text, 16).map(Fingerprint).map_err(|_| ParseFingerprintError(text.to_owned()))
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = ParseFingerprintError;

    fn try_from(text: String) -> Result<Fingerprint, ParseFingerprintError> {
        text.parse()
    }
}
