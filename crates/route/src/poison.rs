//! Detection of parts of prompts that crash the upstreams which answer them.
//!
//! Requests that differ in everything else may share such a part, so the [quarantine](crate::quarantine) of whole
//! requests never finds them. For each crash, a router records the prompts of the runs that were lost there. A part
//! is suspected by the crashes since an upstream last survived a run with it. Several parts may always occur together,
//! and most of them are harmless, so the result is a *signature*: the parts that the lost prompts have in common,
//! without those that upstreams have survived. Only prompts that contain all of them are denied.
//!
//! The last part of a prompt belongs to a single request or session, and is never suspected.
//!
//! Upstreams also crash for other reasons, often many at the same moment, and a part that is in frequent use is present at
//! most of these crashes. So a crash counts against a part only if every upstream that crashed at that moment ran it, and
//! a part is denied only if its runs take so small a share of the time that chance does not explain the crashes. A run
//! survives once its upstream has been answering it for [`EARLY_RUN_MS`], however long it goes on.
//!
//! ```
//! use route::poison::{Loss, Run, Tracker};
//!
//! let mut tracker = Tracker::default();
//! for (number, upstream) in ["engine-1", "engine-2", "engine-3"].into_iter().enumerate() {
//!     let at = 1_000 * number as u64;
//!     let run = Run { request: number as u64, parts: [1, 7].into_iter().collect() };
//!     let loss = Loss { upstream: upstream.into(), run, started: None, dispatched: at, at: at + 50, is_firsthand: true };
//!     tracker.record_loss(&loss, at + 150);
//!     tracker.record_survival(&[1, 8], at + 200);
//! }
//! assert_eq!(tracker.find_cause(|_| true).expect("a cause").parts.as_slice(), [7]);
//! ```

mod chance;
mod history;
mod support;

use self::chance::Chances;
use self::history::History;
use self::support::{Crash, MIN_EPISODES, Support};
use crate::Millis;
use crate::quarantine::{Fingerprint, Span, Upstreams};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_128;

/// The number of crashes at which a signature is denied if it explains all known crashes.
pub(crate) const DENIAL_THRESHOLD: usize = 3;
/// The number of crashes at which a signature is denied although upstreams crashed for other reasons too, or other
/// prompts were present each time. Then a part that is seldom used may be present at a few crashes by chance.
const CERTAINTY_THRESHOLD: usize = 5;
/// The number of runs that upstreams have to survive meanwhile. Otherwise they may be unable to answer anything, and
/// only [`CERTAINTY_THRESHOLD`] crashes one after the other are evidence.
const MIN_SURVIVALS: usize = 3;
/// The share of the blame for its crashes above which a signature is denied.
const MIN_BLAME_SHARE: f64 = 0.5;
/// A crash later than this after the first answer, in milliseconds, is not counted against the parts of the prompt: a
/// harmful part crashes its upstream as that begins to answer. An upstream that goes on answering has survived the run.
pub const EARLY_RUN_MS: Millis = 250;
/// The time for which requests may still be dispatched to an upstream that has crashed, in milliseconds. Such a request
/// breaks at once, and seems to have been present at the crash.
const UNNOTICED_MS: Millis = 5;
/// The time for which crashes are remembered, in milliseconds.
const RETENTION_MS: Millis = 300_000;
/// The time between two announcements that a part is suspected, in milliseconds.
const ANNOUNCEMENT_INTERVAL_MS: Millis = 1_000;
/// The most crashes to remember. The oldest one is evicted first.
const MAX_CRASHES: usize = 64;
/// The most lost runs to remember for each crash.
const MAX_RUNS: usize = 64;
/// The most parts of a prompt that are considered.
pub(crate) const MAX_PARTS: usize = 64;
/// The most suspected parts to remember. The one whose last crash is the longest ago is evicted first.
const MAX_SUSPICIONS: usize = 4_096;
/// The most upstreams that a [`Cause`] names.
const MAX_UPSTREAMS: usize = crate::quarantine::MAX_UPSTREAMS;

/// The identifier of a part of a prompt.
pub type PartId = u64;

/// Distinct parts of a prompt without the last one, in ascending order.
pub type Parts = SmallVec<[PartId; 4]>;

/// The parts of a prompt that other prompts may share: all but the last.
pub fn shared_parts(prompt: impl IntoIterator<Item = PartId>) -> Parts {
    let mut parts: Parts = prompt.into_iter().collect();
    parts.pop();
    parts.truncate(MAX_PARTS);
    parts.sort_unstable();
    parts.dedup();
    parts
}

/// Whether the loss of a run counts against its prompt if its first answer arrived `begun_ms` milliseconds before; `None`
/// if none had arrived.
pub fn is_early(begun_ms: Option<Millis>) -> bool {
    begun_ms.is_none_or(|ms| ms <= EARLY_RUN_MS)
}

/// The identity of a signature, by which it is denied and listed.
pub fn fingerprint(parts: &[PartId]) -> Fingerprint {
    let bytes: SmallVec<[u8; 64]> =
        b"parts".iter().copied().chain(parts.iter().flat_map(|part| part.to_be_bytes())).collect();
    Fingerprint::new(xxh3_128(&bytes).to_be_bytes())
}

/// A run of a request with a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Distinguishes requests. Repeats of a request have the same number.
    pub request: u64,
    /// The parts of its prompt that other prompts may share.
    pub parts: Parts,
}

/// A run that was lost when its upstream crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loss {
    /// The name of the upstream.
    pub upstream: String,
    /// When the upstream had started, by its own clock, if it says so. It may start again under the same name.
    pub started: Option<Millis>,
    /// The run.
    pub run: Run,
    /// When the request was dispatched.
    pub dispatched: Millis,
    /// When the run broke off.
    pub at: Millis,
    /// Whether this router observed it itself.
    pub is_firsthand: bool,
}

/// The parts that are taken to have caused crashes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cause {
    /// The signature: prompts with all of these parts crash upstreams.
    pub parts: Parts,
    /// Upstreams that crashed.
    pub upstreams: Upstreams,
    /// Whether this router observed one of the crashes itself.
    pub is_firsthand: bool,
}

/// What is known of a part that was present at a crash.
#[derive(Clone, Copy, Debug, Default)]
struct Suspicion {
    /// When it was last present at a crash, or last suspected by another router.
    since: Millis,
    /// When an upstream last survived a run with it since it is suspected.
    survived: Option<Millis>,
    /// When this router last told the others that it suspects the part.
    announced: Option<Millis>,
}

/// The crashes whose cause is not known, as far as one router has learned of them.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// In ascending order of their times.
    crashes: Vec<Crash>,
    suspicions: HashMap<PartId, Suspicion>,
    /// When upstreams last survived runs, in the order in which this router learned of it.
    survivals: VecDeque<Millis>,
    history: History,
    /// Whether this router learns only of a part of the crashes, as in a large fleet.
    is_partial: bool,
}

impl Tracker {
    /// Sets whether this router learns only of crashes at which parts were present that it coordinates.
    pub fn set_partial(&mut self, is_partial: bool) {
        self.is_partial = is_partial;
    }

    /// Whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Records that an upstream is up. `started` is as in [`Loss`].
    pub fn record_start(&mut self, upstream: &str, started: Option<Millis>, now: Millis) {
        self.history.record_start(upstream, started, now);
    }

    /// Records that an upstream is gone.
    pub fn record_gone(&mut self, upstream: &str, started: Option<Millis>, now: Millis) {
        self.history.record_gone(upstream, started, now);
    }

    /// Records a lost run. Returns whether it is new. One without parts tells only that its upstream has crashed.
    pub fn record_loss(&mut self, loss: &Loss, now: Millis) -> bool {
        self.expire(now);
        if loss.run.parts.is_empty() {
            return self.record_crash(&loss.upstream, loss.started, loss.at);
        }
        if !self.insert(loss) {
            return false;
        }
        for part in &loss.run.parts {
            self.suspect(*part, loss.at);
        }
        true
    }

    /// Records that a part was present at a crash or is suspected by another router, so that survivals of it are told.
    /// Returns whether it was not suspected before.
    pub fn suspect(&mut self, part: PartId, now: Millis) -> bool {
        let is_new = !self.suspicions.contains_key(&part);
        if self.suspicions.len() >= MAX_SUSPICIONS && is_new {
            let oldest = self.suspicions.iter().min_by_key(|(part, suspicion)| (suspicion.since, **part));
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.suspicions.remove(&oldest);
            }
        }
        let suspicion = self.suspicions.entry(part).or_default();
        suspicion.since = suspicion.since.max(now);
        is_new
    }

    /// Records that an upstream survived a run with these parts. Returns those that had been suspected since the last
    /// time, which the other routers should be told of.
    pub fn record_survival(&mut self, parts: &[PartId], now: Millis) -> Parts {
        // A run without a prompt says nothing of the upstreams that answer prompts.
        if parts.is_empty() {
            return Parts::new();
        }
        self.survivals.push_back(now);
        if self.survivals.len() > MIN_SURVIVALS {
            self.survivals.pop_front();
        }
        let mut cleared = Parts::new();
        for part in parts {
            let suspicion = self.suspicions.get_mut(part);
            let is_news = |suspicion: &mut Suspicion| {
                let is_first = suspicion.survived.is_none_or(|survived| survived <= suspicion.since);
                suspicion.survived = suspicion.survived.max(Some(now));
                is_first
            };
            let is_told = suspicion.is_some_and(is_news);
            self.history.record_survival(*part, now, is_told);
            if is_told {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Records that another router saw an upstream survive a run with a part at the time `at`.
    pub fn record_reported_survival(&mut self, part: PartId, at: Millis) {
        self.history.record_reported_survival(part, at);
    }

    /// Those of these parts that upstreams survived, with the times, if other routers may decide on them without knowing
    /// of it.
    pub fn take_untold_survivals(
        &mut self,
        parts: &[PartId],
        now: Millis,
    ) -> SmallVec<[(PartId, Millis); 4]> {
        let may_be_decided = |part: &PartId| {
            let survived = self.history.survived_as_shared(*part);
            self.is_partial || self.support_since(survived, &[*part]).is_sufficient()
        };
        let decidable: Parts = parts.iter().copied().filter(may_be_decided).collect();
        let untold = |part: PartId| Some((part, self.history.take_untold(part, now)?));
        decidable.into_iter().filter_map(untold).collect()
    }

    /// Whether the crash of `upstream` had a cause in common with that of an upstream for which `was_present` is false:
    /// both crashed at the same moment.
    pub fn is_coincidental(&self, upstream: &str, was_present: impl Fn(&str) -> bool) -> bool {
        let Some(crash) = self.crashes.iter().find(|crash| crash.upstream == upstream) else { return false };
        let others = self.unexplained().filter(|other| other.is_simultaneous(crash));
        others.into_iter().any(|other| other.upstream != upstream && !was_present(&other.upstream))
    }

    /// Whether chance does not explain that a request was present at these crashes, of which the times of its runs are given
    /// where they are known.
    ///
    /// For each crash, chance explains as much as the share of the time before it in which the request ran. That time
    /// begins with the last crash of any upstream or, if that is earlier, with the start of this one.
    pub(crate) fn is_chance_excluded<'a>(
        &self,
        presences: impl Iterator<Item = (&'a str, Option<Span>)>,
    ) -> bool {
        let share = |(upstream, span): (&str, Option<Span>)| {
            let Some(Span { dispatched, at }) = span else { return 0.0 };
            let Some(calm_since) = self.calm_since(upstream, at) else { return 0.0 };
            at.saturating_sub(dispatched) as f64 / at.saturating_sub(calm_since).max(1) as f64
        };
        let chances: Chances = presences.map(share).collect();
        chance::is_excluded(&chances)
    }

    /// Since when no upstream had crashed before the time `at`, or since when `upstream` was up, whichever is earlier.
    fn calm_since(&self, upstream: &str, at: Millis) -> Option<Millis> {
        let crash = self.crashes.iter().find(|crash| crash.upstream == upstream);
        let up_since = self.history.up_since(upstream, crash.and_then(|crash| crash.started))?;
        let earlier = self.crashes.iter().filter(|crash| crash.upstream != upstream && crash.is_before(at));
        let last = earlier.map(|crash| crash.at).max().or_else(|| self.history.begin());
        Some(last.map_or(up_since, |last| up_since.min(last)))
    }

    /// The number of crashes that each part is suspected of.
    fn crash_counts(&self) -> HashMap<PartId, usize> {
        let losses = self.unexplained().flat_map(|crash| &crash.losses);
        let mut parts: Vec<PartId> = losses.flat_map(|loss| loss.run.parts.iter().copied()).collect();
        parts.sort_unstable();
        parts.dedup();
        let count = |part: PartId| (part, self.support(part, &[part]).crashes.len());
        parts.into_iter().map(count).filter(|(_, count)| *count > 0).collect()
    }

    /// Whether one of these parts may have caused crashes.
    pub fn is_suspected(&self, parts: &[PartId]) -> bool {
        parts.iter().any(|part| !self.support(*part, &[*part]).crashes.is_empty())
    }

    /// Whether one of these parts was present at enough crashes to decide on it.
    pub fn is_decidable(&self, parts: &[PartId]) -> bool {
        self.crashes.len() >= DENIAL_THRESHOLD
            && parts.iter().any(|part| self.support(*part, &[*part]).is_sufficient())
    }

    /// Those of these parts that may soon be decided on, and of which the other routers have not been told lately.
    pub fn take_unannounced(&mut self, parts: &[PartId], now: Millis) -> Parts {
        let is_due = |announced: Option<Millis>| {
            announced.is_none_or(|announced| now.saturating_sub(announced) >= ANNOUNCEMENT_INTERVAL_MS)
        };
        let mut unannounced = Parts::new();
        for part in parts {
            let is_close = self.support(*part, &[*part]).episodes() >= MIN_EPISODES;
            let Some(suspicion) = self.suspicions.get_mut(part) else { continue };
            if is_close && is_due(suspicion.announced) {
                suspicion.announced = Some(now);
                unannounced.push(*part);
            }
        }
        unannounced
    }

    /// The signature that has most likely caused crashes; `None` as long as chance explains them as well.
    ///
    /// Of several candidates the one with the most parts is returned, as it affects the fewest other requests. If a
    /// prompt without some of them is harmful too, its crashes are evidence of a shorter signature.
    ///
    /// Only signatures are considered that have a part for which this router `is_responsible`: it knows of the runs
    /// with that part which upstreams have survived.
    pub fn find_cause(&self, is_responsible: impl Fn(PartId) -> bool) -> Option<Cause> {
        let counts = self.crash_counts();
        let parts = counts.iter().filter(|(_, count)| **count >= DENIAL_THRESHOLD).map(|(part, _)| *part);
        let parts = parts.filter(|part| is_responsible(*part));
        let candidates = parts.filter_map(|part| self.candidate(part, &counts));
        let (parts, support) = candidates.max_by(|(parts, support), (other_parts, other_support)| {
            let rank = (parts.len(), support.crashes.len());
            rank.cmp(&(other_parts.len(), other_support.crashes.len())).then_with(|| other_parts.cmp(parts))
        })?;
        let upstreams = support.crashes.iter().take(MAX_UPSTREAMS).map(|(crash, _)| crash.upstream.clone());
        Some(Cause { upstreams: upstreams.collect(), is_firsthand: support.is_firsthand(), parts })
    }

    /// Marks crashes whose cause is known from the request that ran there.
    pub fn explain(&mut self, upstreams: &[&str]) {
        let crashes = self.crashes.iter_mut();
        crashes
            .filter(|crash| upstreams.contains(&crash.upstream.as_str()))
            .for_each(|crash| crash.is_explained = true);
    }

    /// Marks crashes at which a prompt with this signature was present, as its cause is known.
    pub fn explain_by(&mut self, signature: &[PartId]) {
        let crashes = self.crashes.iter_mut();
        crashes.filter(|crash| crash.has_lost(signature)).for_each(|crash| crash.is_explained = true);
    }

    /// When an upstream last survived a run with a part.
    fn survived(&self, part: PartId) -> Option<Millis> {
        self.history.survived(part)
    }

    /// Records a crash without a run that counts against its prompt. Returns whether it is new.
    pub fn record_crash(&mut self, upstream: &str, started: Option<Millis>, at: Millis) -> bool {
        let is_known = self.crashes.iter().any(|crash| crash.is_of(upstream, started));
        if !is_known {
            self.insert_crash(Crash::new(upstream, started, at));
        }
        !is_known
    }

    fn insert(&mut self, loss: &Loss) -> bool {
        let is_same = |crash: &&mut Crash| crash.is_of(&loss.upstream, loss.started);
        if let Some(crash) = self.crashes.iter_mut().find(is_same) {
            let is_known = crash.losses.iter().any(|known| known.run.request == loss.run.request);
            if is_known || crash.losses.len() >= MAX_RUNS {
                return false;
            }
            crash.losses.push(loss.clone());
            if loss.at < crash.at {
                crash.at = loss.at;
                self.crashes.sort_by_key(|crash| crash.at);
            }
            return true;
        }
        let mut crash = Crash::new(&loss.upstream, loss.started, loss.at);
        crash.losses.push(loss.clone());
        self.insert_crash(crash);
        true
    }

    fn insert_crash(&mut self, crash: Crash) {
        let index = self.crashes.partition_point(|other| other.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// The number of unexplained crashes at which a run was lost that counts against its prompt.
    fn prompt_crashes(&self) -> usize {
        self.unexplained().filter(|crash| !crash.losses.is_empty()).count()
    }

    fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_explained)
    }

    /// The crashes since a part last survived at which a prompt with this signature was present.
    fn support(&self, part: PartId, signature: &[PartId]) -> Support<'_> {
        self.support_since(self.survived(part), signature)
    }

    /// The crashes since `survived` at which a prompt with this signature was present.
    fn support_since(&self, survived: Option<Millis>, signature: &[PartId]) -> Support<'_> {
        let is_counted = |crash: &&Crash| survived.is_none_or(|survived| crash.at > survived);
        Support::new(self.unexplained().filter(is_counted), signature)
    }

    /// The signature to which a part leads, if it is taken for the cause of its crashes.
    fn candidate(&self, part: PartId, counts: &HashMap<PartId, usize>) -> Option<(Parts, Support<'_>)> {
        let mut signature: Parts = [part].into_iter().collect();
        let mut support = self.support(part, &signature);
        if !support.is_sufficient() {
            return None;
        }
        let first = support.crashes.first().map_or(0, |(crash, _)| crash.at);
        while let Some((extended, extended_support)) = self.extension(part, &signature, &support, first) {
            (signature, support) = (extended, extended_support);
        }
        self.is_conclusive(part, &signature, &support, first, counts).then_some((signature, support))
    }

    /// Whether chance does not explain that a signature was present at crashes since the time `first`.
    fn is_conclusive(
        &self,
        part: PartId,
        signature: &[PartId],
        support: &Support<'_>,
        first: Millis,
        counts: &HashMap<PartId, usize>,
    ) -> bool {
        let survivals = self.survivals.iter().filter(|at| **at > first).count();
        if survivals < MIN_SURVIVALS && support.episodes() < CERTAINTY_THRESHOLD {
            return false;
        }
        let explains_all = || !self.is_partial && support.crashes.len() == self.prompt_crashes();
        let is_sufficient = support.crashes.len() >= CERTAINTY_THRESHOLD
            || explains_all() && self.has_most_blame(signature, support, counts);
        is_sufficient && chance::is_excluded(&self.chances(part, support))
    }

    /// For each crash, the share of the time before it in which its upstream ran prompts with the signature: if that
    /// is harmless, the crash fell into this time by chance. The time begins with the start of the upstream, or with the
    /// last run with the `part` that an upstream survived. A run that broke at once may have met a crashed upstream: then
    /// chance puts the part there as often as other lost runs have it.
    fn chances(&self, part: PartId, support: &Support<'_>) -> Chances {
        let survived = self.survived(part).unwrap_or(0);
        let frequency = self.frequency(part);
        let share = |(crash, losses): &(&Crash, SmallVec<[&Loss; 2]>)| {
            let Some(up_since) = self.history.up_since(&crash.upstream, crash.started) else { return 0.0 };
            let before = crash.at.saturating_sub(up_since.max(survived));
            let dispatched = losses.iter().map(|loss| loss.dispatched).min().unwrap_or(crash.at);
            let ran = crash.at.saturating_sub(dispatched);
            let share = ran.max(UNNOTICED_MS) as f64 / before.max(1) as f64;
            // The upstream may have crashed before the run was dispatched.
            if ran < UNNOTICED_MS { share.max(frequency) } else { share }
        };
        support.crashes.iter().map(share).collect()
    }

    /// The share of the runs with a part among those that upstreams were running when they crashed.
    fn frequency(&self, part: PartId) -> f64 {
        let (mut with_part, mut all) = (0, 0);
        for crash in &self.crashes {
            let ran = crash.losses.iter().filter(|loss| loss.dispatched + UNNOTICED_MS <= crash.at);
            for loss in ran {
                with_part += u32::from(loss.run.parts.contains(&part));
                all += 1;
            }
        }
        f64::from(with_part) / f64::from(all.max(1))
    }

    /// The signature with one more part that is supported by the most crashes. Parts that upstreams have survived since
    /// the first of the crashes are not needed.
    fn extension<'a>(
        &'a self,
        part: PartId,
        signature: &[PartId],
        support: &Support<'a>,
        first: Millis,
    ) -> Option<(Parts, Support<'a>)> {
        let has_survived = |other: &PartId| self.survived(*other).is_some_and(|survived| survived > first);
        let mut others: Parts = support
            .losses()
            .flat_map(|loss| loss.run.parts.iter().copied())
            .filter(|other| !signature.contains(other) && !has_survived(other))
            .collect();
        others.sort_unstable();
        others.dedup();
        let extended = |other: PartId| {
            let mut parts: Parts = signature.iter().copied().chain([other]).collect();
            parts.sort_unstable();
            let support = self.support(part, &parts);
            (parts, support)
        };
        others
            .into_iter()
            .map(extended)
            .filter(|(_, extended)| extended.is_sufficient() && extended.covers(support))
            .max_by_key(|(_, support)| support.crashes.len())
    }

    /// Whether a signature bears most of the blame for its crashes. Each is divided between the signature and the
    /// strongest rival among the other prompts that were present, by the squares of their numbers of crashes.
    fn has_most_blame(
        &self,
        signature: &[PartId],
        support: &Support<'_>,
        counts: &HashMap<PartId, usize>,
    ) -> bool {
        let count = support.crashes.len();
        let weight = |count: usize| (count * count) as f64;
        let strongest_rival = |crash: &Crash| {
            let rivals = crash.losses.iter().filter(|loss| !contains_all(&loss.run.parts, signature));
            let parts =
                rivals.flat_map(|loss| loss.run.parts.iter()).filter(|part| !signature.contains(part));
            parts.filter_map(|part| counts.get(part).copied()).max().unwrap_or(0)
        };
        let shares = support
            .crashes
            .iter()
            .map(|(crash, _)| weight(count) / (weight(count) + weight(strongest_rival(crash))));
        shares.sum::<f64>() > MIN_BLAME_SHARE * count as f64
    }

    fn expire(&mut self, now: Millis) {
        let is_recent = |at: Millis| now.saturating_sub(at) < RETENTION_MS;
        self.crashes.retain(|crash| is_recent(crash.at));
        self.suspicions.retain(|_, suspicion| is_recent(suspicion.since));
    }
}

/// Whether a prompt with these `parts` contains the whole signature.
pub(crate) fn contains_all(parts: &[PartId], signature: &[PartId]) -> bool {
    signature.iter().all(|part| parts.binary_search(part).is_ok())
}
