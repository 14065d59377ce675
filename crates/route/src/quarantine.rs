//! Detection of requests that crash the upstreams which run them.
//!
//! A caller may send such a request repeatedly, through any router, and each upstream that begins to run it
//! crashes, together with everything else that runs there. A single crash does not identify the cause: every
//! request that ran there is suspect, and the upstream may have crashed for another reason. But a request
//! that is present at each crash is not there by chance. So each router records which requests were running
//! when an upstream crashed, and the routers exchange these records. A request that was unanswered at
//! [`DENIAL_THRESHOLD`] crashes is denied if it bears most of the blame for them. The blame for a crash is
//! shared by all requests that were unanswered there; the more crashes a request was present at, the larger
//! its share.
//!
//! Requests that differ may have a part of their prompts in common that crashes upstreams. These parts are found
//! in the same way by [`poison`](crate::poison), and denied here.
//!
//! ```
//! use route::quarantine::{DECISION_DELAY_MS, Fingerprint, Quarantine, Stage, Verdict};
//!
//! let (request, bystander) = (Fingerprint::new([1; 16]), Fingerprint::new([2; 16]));
//! let mut quarantine = Quarantine::default();
//! quarantine.record_crash(bystander, "engine-1", Stage::Silent, 0);
//! for upstream in ["engine-1", "engine-2", "engine-3"] {
//!     quarantine.record_crash(request, upstream, Stage::Silent, 0);
//! }
//! assert_eq!(quarantine.decide(DECISION_DELAY_MS), [request]);
//! assert_eq!(quarantine.verdict(request, 200), Verdict::Denied);
//! assert_eq!(quarantine.verdict(bystander, 200), Verdict::Clear);
//! ```

use crate::Millis;
use crate::poison::{self, Cause, Loss, PartId, Parts, Tracker};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;

/// The number of crashes before its first answer at which a request may be denied. While many upstreams
/// crash, a request that is retried may be present at two crashes by chance; three are only reached if it is
/// present each time.
pub const DENIAL_THRESHOLD: usize = 3;
/// The time for which a router waits for reports on what else ran at the last crashed upstream, in
/// milliseconds: several times the latency of a datagram.
pub const DECISION_DELAY_MS: Millis = 100;
/// The time for which the coordinators of a part of prompts wait for reports that upstreams survive it, in milliseconds:
/// the duration of most runs.
const SURVIVAL_DELAY_MS: Millis = 1_000;
/// The number of crashes at which a request is denied even if other requests were present each time, or if it
/// had been answered each time.
const CERTAINTY_THRESHOLD: usize = 5;
/// The share of the blame for its crashes above which a request is denied. Requests that ran beside the cause
/// bear less than half.
const MIN_BLAME_SHARE: f64 = 0.5;
/// A crash later than this after the first answer, in milliseconds, is not counted against the request: a
/// harmful request crashes its upstream as it begins to run, and most requests beside it run for seconds.
const EARLY_RUN_MS: Millis = 1_000;
/// The time after the last crash for which the crashes are held against a request, in milliseconds: several
/// times the interval between the retries of a patient caller.
const CRASH_RETENTION_MS: Millis = 300_000;
/// How long a denial lasts, in milliseconds. It is renewed if the request is received again in the second
/// half of this time. A request whose denial has expired may crash [`DENIAL_THRESHOLD`] more upstreams.
pub const DENIAL_DURATION_MS: Millis = 600_000;
/// The most suspects to remember. The one whose last crash is the longest ago is evicted first.
const MAX_SUSPECTS: usize = 4_096;
/// The most denied requests to remember. The one whose denial expires first is evicted first.
const MAX_DENIALS: usize = 1_024;
/// How long after a run was lost the replacement of its upstream shows that it had crashed, in milliseconds.
const REPLACEMENT_MS: Millis = 2_000;
/// The most time between the breaks of the runs that one crash ends, as a router observes them, in milliseconds.
const SIMULTANEOUS_MS: Millis = 100;
/// The most lost runs to remember whose upstreams may be replaced. The oldest one is evicted first.
const MAX_LOST_RUNS: usize = 1_024;
/// The most upstreams to remember for each request, and to name in a notice.
pub(crate) const MAX_UPSTREAMS: usize = 8;

/// The progress of a run at the time of the crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Stage {
    /// The first answer had arrived shortly before, as for most requests that are present by chance.
    Begun,
    /// No answer had arrived yet.
    Silent,
}

impl Stage {
    /// The stage of a run whose first answer arrived `begun_ms` milliseconds before the crash; `None` if none
    /// had arrived. Returns `None` if the run had lasted for so long that the crash is not counted against
    /// its request.
    pub fn of(begun_ms: Option<Millis>) -> Option<Stage> {
        match begun_ms {
            None => Some(Stage::Silent),
            Some(ms) => (ms <= EARLY_RUN_MS).then_some(Stage::Begun),
        }
    }
}

/// The crash of an upstream while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The name of the upstream.
    pub upstream: String,
    /// The progress of the run.
    pub stage: Stage,
}

/// The crashes at which one request was present.
pub type Crashes = SmallVec<[Crash; 4]>;

/// The times of a run that was lost at a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// When the request was dispatched.
    pub dispatched: Millis,
    /// When the run broke off.
    pub at: Millis,
}

/// A crash at which a request was present, and the times of its run, as far as they are known.
#[derive(Clone, Debug)]
pub(crate) struct Presence {
    pub(crate) crash: Crash,
    pub(crate) span: Option<Span>,
}

/// The crashes at which one request was present, with the times of its runs.
pub(crate) type Presences = SmallVec<[Presence; 4]>;

/// Names of crashed upstreams.
pub type Upstreams = SmallVec<[String; 4]>;

/// The state of a request in the quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing is held against it.
    Clear,
    /// It was present at this many crashes.
    Suspect(usize),
    /// A decision is due within [`DECISION_DELAY_MS`], and the request should not run until then.
    Undecided,
    /// It must not run again.
    Denied,
}

/// A request that was present at crashes.
#[derive(Clone, Debug)]
struct Suspect {
    presences: Presences,
    last_crash: Millis,
    /// When to decide on it, if it was present at enough crashes.
    decision_due: Option<Millis>,
    /// Whether this router observed one of the crashes itself.
    is_firsthand: bool,
}

/// A denied request, or all requests whose prompts have certain parts.
#[derive(Clone, Debug)]
struct Denial {
    /// The parts; empty if a single request is denied.
    parts: Parts,
    upstreams: Upstreams,
    until: Millis,
    /// Whether this router observed one of the crashes itself.
    is_firsthand: bool,
}

/// A run that broke at an upstream which may not have crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The name of the upstream.
    pub upstream: String,
    /// The progress of the run.
    pub stage: Stage,
    /// What is known of its prompt.
    pub loss: Loss,
}

impl LostRun {
    /// Whether the run broke off together with the last one of its upstream, and so by its crash.
    pub fn broke_with(&self, last: Millis) -> bool {
        last.saturating_sub(self.loss.at) < SIMULTANEOUS_MS
    }
}

/// What one router knows of requests that crash upstreams.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    denials: HashMap<Fingerprint, Denial>,
    /// With the times at which they were recorded, in ascending order.
    lost_runs: VecDeque<(Millis, LostRun)>,
    poison: Tracker,
    /// When a decision on parts of prompts is due.
    poison_due: Option<Millis>,
    /// Whether the coordinators of parts of prompts decide on them.
    is_coordinated: bool,
}

impl Quarantine {
    /// Whether there are neither suspects nor denials, so that requests need not be looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.denials.is_empty()
    }

    /// Whether single requests are suspects or denied, so that fingerprints need to be looked up.
    pub fn concerns_requests(&self) -> bool {
        !self.suspects.is_empty() || self.denials.values().any(|denial| denial.parts.is_empty())
    }

    /// Whether parts of prompts are suspected, so that survivals need to be recorded.
    pub fn suspects_parts(&self) -> bool {
        !self.poison.is_empty()
    }

    /// The number of denied requests.
    pub fn denied_count(&self) -> usize {
        self.denials.len()
    }

    /// Records the crash of an upstream while it ran a request. Returns whether it is new and not explained
    /// by a denied request that ran there too.
    pub fn record_crash(&mut self, request: Fingerprint, upstream: &str, stage: Stage, now: Millis) -> bool {
        let crash = Crash { upstream: upstream.to_owned(), stage };
        self.record_presence(request, Presence { crash, span: None }, now)
    }

    /// Like [`Quarantine::record_crash`], with the times of the run if they are known.
    pub(crate) fn record_presence(&mut self, request: Fingerprint, presence: Presence, now: Millis) -> bool {
        let upstream = presence.crash.upstream.as_str();
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
        let new = || Suspect {
            presences: Presences::new(),
            last_crash: now,
            decision_due: None,
            is_firsthand: false,
        };
        let suspect = self.suspects.entry(request).or_insert_with(new);
        if suspect.presences.len() >= MAX_UPSTREAMS || suspect.stage(upstream).is_some() {
            return false;
        }
        suspect.presences.push(presence);
        suspect.last_crash = now;
        if suspect.is_decidable() {
            suspect.decision_due.get_or_insert(now + DECISION_DELAY_MS);
        }
        true
    }

    /// Remembers a lost run without proof that its upstream has crashed.
    pub fn record_lost_run(&mut self, run: LostRun, now: Millis) {
        self.lost_runs.push_back((now, run));
        if self.lost_runs.len() > MAX_LOST_RUNS {
            self.lost_runs.pop_front();
        }
    }

    /// Removes and returns the runs that were lost at an upstream shortly before it was replaced, which proves that it
    /// has crashed.
    pub fn take_lost_runs(&mut self, upstream: &str, now: Millis) -> SmallVec<[LostRun; 4]> {
        let is_recent = |lost: Millis| now.saturating_sub(lost) < REPLACEMENT_MS;
        let (mut taken, mut kept) = (SmallVec::new(), VecDeque::new());
        for (lost, run) in self.lost_runs.drain(..).filter(|(lost, _)| is_recent(*lost)) {
            match run.upstream == upstream {
                true => taken.push(run),
                false => kept.push_back((lost, run)),
            }
        }
        self.lost_runs = kept;
        taken
    }

    /// Records that an upstream is up. `started` is when it started by its own clock, if it says so.
    pub fn record_start(&mut self, upstream: &str, started: Option<Millis>, now: Millis) {
        self.poison.record_start(upstream, started, now);
    }

    /// Records that an upstream is gone.
    pub fn record_gone(&mut self, upstream: &str, started: Option<Millis>, now: Millis) {
        self.poison.record_gone(upstream, started, now);
    }

    /// Records that another router saw an upstream crash.
    pub(crate) fn record_reported_crash(&mut self, upstream: &str, started: Option<Millis>, at: Millis) {
        self.poison.record_crash(upstream, started, at);
    }

    /// Records that another router saw an upstream survive a run with a part of prompts.
    pub(crate) fn record_reported_survival(&mut self, part: PartId, at: Millis) {
        self.poison.record_reported_survival(part, at);
    }

    /// Those of these parts that upstreams survived, with the times, if other routers may not know of it.
    pub(crate) fn take_untold_survivals(
        &mut self,
        parts: &[PartId],
        now: Millis,
    ) -> SmallVec<[(PartId, Millis); 4]> {
        self.poison.take_untold_survivals(parts, now)
    }

    /// Records a run that was lost when its upstream crashed, as evidence against the parts of its prompt. Returns
    /// whether it is new and not explained by denied parts.
    pub fn record_loss(&mut self, loss: &Loss, now: Millis) -> bool {
        self.expire(now);
        let is_new = self.poison.record_loss(loss, now);
        let explaining = |denial: &&mut Denial| {
            !denial.parts.is_empty() && poison::contains_all(&loss.run.parts, &denial.parts)
        };
        let Some(denial) = self.denials.values_mut().find(explaining) else { return is_new };
        insert_upstream(&mut denial.upstreams, &loss.upstream);
        let parts = denial.parts.clone();
        self.poison.explain_by(&parts);
        self.clear_explained(&[&loss.upstream]);
        false
    }

    /// Records that another router suspects these parts of prompts. Returns those that were not suspected before.
    pub(crate) fn suspect_parts(&mut self, parts: &[PartId], now: Millis) -> Parts {
        let new = parts.iter().copied().filter(|part| self.poison.suspect(*part, now));
        new.collect()
    }

    /// Records that an upstream survived a run whose prompt has these parts. Returns those that other routers should be
    /// told of.
    pub fn clear_parts(&mut self, parts: &[PartId], now: Millis) -> Parts {
        self.poison.record_survival(parts, now)
    }

    /// Whether one of these parts of a prompt may have caused crashes.
    pub fn is_prompt_suspected(&self, parts: &[PartId]) -> bool {
        self.poison.is_suspected(parts)
    }

    /// The suspected parts among these of which to tell all routers of a large fleet.
    pub(crate) fn take_unannounced_parts(&mut self, parts: &[PartId], now: Millis) -> Parts {
        self.poison.take_unannounced(parts, now)
    }

    /// Sets whether the fleet is so large that the coordinators of parts of prompts decide on them.
    pub(crate) fn set_coordinated(&mut self, is_coordinated: bool) {
        self.is_coordinated = is_coordinated;
        self.poison.set_partial(is_coordinated);
    }

    /// Schedules a decision on parts of prompts if one of these was present at enough crashes. Returns the time until
    /// then, unless it was scheduled before.
    pub(crate) fn schedule_poison_decision(&mut self, parts: &[PartId], now: Millis) -> Option<Millis> {
        if self.poison_due.is_some() || !self.poison.is_decidable(parts) {
            return None;
        }
        let delay = if self.is_coordinated { SURVIVAL_DELAY_MS } else { DECISION_DELAY_MS };
        self.poison_due = Some(now + delay);
        Some(delay)
    }

    /// Decides which parts of prompts are denied from now on, as far as this router `is_responsible` for them.
    pub fn decide_on_parts(&mut self, now: Millis, is_responsible: impl Fn(PartId) -> bool) -> Vec<Cause> {
        if self.poison_due.take_if(|due| *due <= now).is_none() {
            return vec![];
        }
        let mut causes = vec![];
        while let Some(cause) = self.poison.find_cause(&is_responsible) {
            self.deny_parts(&cause.parts, &cause.upstreams, DENIAL_DURATION_MS, now);
            causes.push(cause);
        }
        causes
    }

    /// Denies all requests whose prompts have these parts, like [`Quarantine::deny`].
    pub fn deny_parts(
        &mut self,
        parts: &[PartId],
        upstreams: &Upstreams,
        lasts_ms: Millis,
        now: Millis,
    ) -> bool {
        let fingerprint = poison::fingerprint(parts);
        let is_new = self.deny(fingerprint, upstreams, lasts_ms, now);
        if let Some(denial) = self.denials.get_mut(&fingerprint) {
            denial.parts = parts.iter().copied().collect();
        }
        self.poison.explain_by(parts);
        is_new
    }

    /// The denial that applies to a prompt with these parts; `None` if there is none.
    pub fn denied_parts(&self, parts: &[PartId], now: Millis) -> Option<Fingerprint> {
        let applies = |denial: &Denial| {
            !denial.parts.is_empty() && denial.until > now && poison::contains_all(parts, &denial.parts)
        };
        let denials = self.denials.iter().filter(|(_, denial)| applies(denial));
        denials.map(|(fingerprint, _)| *fingerprint).min()
    }

    /// The parts to which a denial applies; empty if it applies to a single request.
    pub fn parts_of(&self, denied: Fingerprint) -> Parts {
        self.denials.get(&denied).map(|denial| denial.parts.clone()).unwrap_or_default()
    }

    /// The crashes at which a suspect was present.
    pub fn crashes(&self, request: Fingerprint) -> Crashes {
        self.presences(request).into_iter().map(|presence| presence.crash).collect()
    }

    /// The crashes at which a suspect was present, with the times of its runs.
    pub(crate) fn presences(&self, request: Fingerprint) -> Presences {
        self.suspects.get(&request).map(|suspect| suspect.presences.clone()).unwrap_or_default()
    }

    /// The upstreams that crashed while they ran a denied request; `None` if the request is not denied.
    pub fn denied_upstreams(&self, request: Fingerprint) -> Option<Upstreams> {
        self.denials.get(&request).map(|denial| denial.upstreams.clone())
    }

    /// Lifts a denial on behalf of an operator, and discards the crashes recorded so far. Returns whether the
    /// request was denied.
    pub fn lift(&mut self, request: Fingerprint) -> bool {
        self.suspects.remove(&request);
        self.denials.remove(&request).is_some()
    }

    /// Whether this router observed one of the crashes of a denied request itself. Only the few routers that
    /// did tell the others and store the denial, since all routers that know of the crashes reach the same
    /// decision.
    pub fn is_firsthand(&self, request: Fingerprint) -> bool {
        self.denials.get(&request).is_some_and(|denial| denial.is_firsthand)
    }

    /// Records that this router observed a crash of a suspect itself.
    pub(crate) fn mark_firsthand(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.is_firsthand = true;
        }
    }

    /// Records that an upstream survived a run of a request, so that the request is not harmful. Returns the
    /// number of crashes that are no longer held against it.
    pub fn clear(&mut self, request: Fingerprint) -> usize {
        self.suspects.remove(&request).map_or(0, |suspect| suspect.presences.len())
    }

    /// Decides on all suspects that are due. Returns the requests that are denied from now on.
    ///
    /// A request that does not bear most of the blame stays suspect, since one that ran beside it may be the
    /// cause. The next crash tells them apart.
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

    /// Denies a request for `lasts_ms` milliseconds, at most [`DENIAL_DURATION_MS`]. Returns whether it was
    /// not denied before. The crashes of `upstreams` are no longer held against other requests.
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
            parts: Parts::new(),
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

    /// The state of a received request.
    pub fn verdict(&self, request: Fingerprint, now: Millis) -> Verdict {
        if self.denials.get(&request).is_some_and(|denial| denial.until > now) {
            return Verdict::Denied;
        }
        match self.suspects.get(&request) {
            Some(Suspect { decision_due: Some(_), .. }) => Verdict::Undecided,
            Some(suspect) => Verdict::Suspect(suspect.presences.len()),
            None => Verdict::Clear,
        }
    }

    /// Prolongs the denial of a request that was received again, if at most half of [`DENIAL_DURATION_MS`]
    /// remains. If it was prolonged, returns the upstreams, so that the other routers can be told.
    pub fn renew(&mut self, request: Fingerprint, now: Millis) -> Option<Upstreams> {
        let denial = self.denials.get_mut(&request).filter(|denial| denial.until > now)?;
        if denial.until - now > DENIAL_DURATION_MS / 2 {
            return None;
        }
        denial.until = now + DENIAL_DURATION_MS;
        Some(denial.upstreams.clone())
    }

    /// Whether a suspect is taken to be the cause of its crashes.
    fn is_cause(&self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&request) else { return false };
        let presences = self.selective_presences(suspect);
        let runs = presences.iter().map(|presence| (&*presence.crash.upstream, presence.span));
        if suspect.has_concurrent_runs() && !self.poison.is_chance_excluded(runs) {
            return false;
        }
        let suspect = &Suspect { presences, ..suspect.clone() };
        let silent = suspect.silent_crashes();
        let has_most_blame =
            silent >= DENIAL_THRESHOLD && self.blame(suspect) > MIN_BLAME_SHARE * silent as f64;
        has_most_blame || suspect.presences.len() >= CERTAINTY_THRESHOLD
    }

    /// The crashes that a suspect can have caused one by one. Where an upstream that did not run it crashed at the same
    /// moment, both crashes have another cause. Of the crashes of a moment under runs that were all dispatched before,
    /// as those of a request that is often sent, one counts.
    fn selective_presences(&self, suspect: &Suspect) -> Presences {
        let was_present = |upstream: &str| suspect.stage(upstream).is_some();
        let is_selective =
            |presence: &&Presence| !self.poison.is_coincidental(&presence.crash.upstream, was_present);
        let mut selective: Presences = suspect.presences.iter().filter(is_selective).cloned().collect();
        selective.sort_by_key(|presence| presence.span.map(|span| span.at));
        let mut last: Option<Millis> = None;
        selective.retain(|Presence { span, .. }| {
            let Some(span) = span else { return true };
            let is_separate =
                last.is_none_or(|last| span.at >= last + SIMULTANEOUS_MS || span.dispatched >= last);
            if is_separate {
                last = Some(span.at);
            }
            is_separate
        });
        selective
    }

    /// The number of crashes that are put down to a suspect. Each crash is divided among the requests that
    /// were unanswered there, weighted by the squares of their numbers of crashes: the cause is present each
    /// time, and another request seldom more than once.
    fn blame(&self, suspect: &Suspect) -> f64 {
        let own_weight = suspect.silent_crashes().pow(2) as f64;
        let total_weight = |upstream: &str| -> usize {
            let was_silent_there = |other: &&Suspect| other.stage(upstream) == Some(Stage::Silent);
            self.suspects.values().filter(was_silent_there).map(|other| other.silent_crashes().pow(2)).sum()
        };
        let crashes = suspect.presences.iter().map(|presence| &presence.crash);
        let shares = crashes.filter(|crash| crash.stage == Stage::Silent);
        shares.map(|crash| own_weight / total_weight(&crash.upstream) as f64).sum()
    }

    /// Discards the crashes of upstreams whose cause is known from the other requests that ran there.
    fn clear_explained(&mut self, upstreams: &[&str]) {
        for suspect in self.suspects.values_mut() {
            suspect.presences.retain(|presence| !upstreams.contains(&presence.crash.upstream.as_str()));
            if !suspect.is_decidable() {
                suspect.decision_due = None;
            }
        }
        self.suspects.retain(|_, suspect| !suspect.presences.is_empty());
        self.poison.explain(upstreams);
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
        let mut crashes = self.presences.iter().map(|presence| &presence.crash);
        crashes.find(|crash| crash.upstream == upstream).map(|crash| crash.stage)
    }

    /// Whether two of its runs were lost that had run at the same time: the request is sent often, and by chance present
    /// at crashes.
    fn has_concurrent_runs(&self) -> bool {
        let spans: SmallVec<[Span; 4]> = self.presences.iter().filter_map(|presence| presence.span).collect();
        let overlaps = |one: &Span, other: &Span| one.dispatched < other.at && other.dispatched < one.at;
        spans.iter().enumerate().any(|(index, span)| spans[..index].iter().any(|other| overlaps(span, other)))
    }

    /// The number of crashes before its first answer.
    fn silent_crashes(&self) -> usize {
        self.presences.iter().filter(|presence| presence.crash.stage == Stage::Silent).count()
    }

    /// Whether there are enough crashes to decide on it.
    fn is_decidable(&self) -> bool {
        self.silent_crashes() >= DENIAL_THRESHOLD || self.presences.len() >= CERTAINTY_THRESHOLD
    }
}

impl Denial {
    fn contains(&self, upstream: &str) -> bool {
        self.upstreams.iter().any(|known| known == upstream)
    }
}

/// Adds a name if it is not there yet and there is room.
fn insert_upstream(upstreams: &mut Upstreams, name: &str) {
    if upstreams.len() < MAX_UPSTREAMS && !upstreams.iter().any(|known| known == name) {
        upstreams.push(name.to_owned());
    }
}

/// The identity of a request across all attempts of its caller: a digest of its host, path, caller and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Creates a fingerprint from the first bytes of a digest.
    pub fn new(digest: [u8; 16]) -> Fingerprint {
        Fingerprint(u128::from_be_bytes(digest))
    }

    /// A seed for hashing and sampling; seeds of different fingerprints are evenly distributed.
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

/// The error for a text that is not a fingerprint.
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
