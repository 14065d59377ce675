//! Notices that routers exchange about requests which crash upstreams, and who receives them.

use crate::Millis;
use crate::poison::{self, Loss, MAX_PARTS, PartId, Parts, Run};
use crate::quarantine::{
    Crash, Crashes, DENIAL_THRESHOLD, Fingerprint, LostRun, MAX_UPSTREAMS, Presence, Presences, Quarantine,
    Span, Stage, Upstreams, Verdict,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of routers that are told of a crash if not all of them are. With three, one learns of it even
/// if another one is cut off and a message is lost.
pub const COORDINATOR_COUNT: usize = 3;
/// In a fleet of up to this many routers, all are told of each suspect that was unanswered at a crash. In a
/// larger fleet of `n` routers, all are told of this many in `n` of these suspects.
const FULL_BROADCAST_ROUTERS: u64 = 32;
/// The rate at which each router receives notices about suspects that are sent to all routers.
const BROADCASTS_PER_S: f64 = 20.0;
/// The most such notices that a router may send at once: enough for the suspects of a few crashes.
const BROADCAST_BURST: f64 = 8.0;
/// The longest name of an upstream in a notice, in bytes.
const MAX_NAME_BYTES: usize = 120;

/// The most lost runs in a notice.
const MAX_REPORTS: usize = 32;
/// The most bytes of reports in a notice, so that it fits into a datagram. A report takes at most `REPORT_BYTES`, its
/// name, and `PART_BYTES` for each part.
const MAX_REPORT_BYTES: usize = 1_200;
const REPORT_BYTES: usize = 42;
const PART_BYTES: usize = 9;

/// A run that was lost when its upstream crashed, as one router reports it to others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The name of the upstream.
    pub upstream: String,
    /// When the upstream had started, by its own clock, if it says so.
    pub started: Option<Millis>,
    /// The run.
    pub run: Run,
    /// The time from the dispatch to the end of the run, in milliseconds.
    pub ran_ms: Millis,
    /// The time since the end of the run, in milliseconds.
    pub age_ms: Millis,
}

impl Report {
    /// A report at the time `now` of the sender's clock.
    pub fn new(loss: &Loss, now: Millis) -> Report {
        Report {
            upstream: loss.upstream.clone(),
            started: loss.started,
            run: loss.run.clone(),
            ran_ms: loss.at.saturating_sub(loss.dispatched),
            age_ms: now.saturating_sub(loss.at),
        }
    }

    /// The loss by the receiver's clock.
    fn loss(&self, now: Millis) -> Loss {
        let at = now.saturating_sub(self.age_ms);
        Loss {
            upstream: self.upstream.clone(),
            started: self.started,
            run: self.run.clone(),
            dispatched: at.saturating_sub(self.ran_ms),
            at,
            is_firsthand: false,
        }
    }
}

impl From<Report> for CrashReport {
    fn from(Report { upstream, started, age_ms, .. }: Report) -> CrashReport {
        CrashReport { upstream, started, age_ms }
    }
}

/// Reports that fit into one notice.
pub type Reports = SmallVec<[Report; 2]>;

/// The crash of an upstream, as one router reports it to others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The name of the upstream.
    pub upstream: String,
    /// When the upstream had started, by its own clock, if it says so.
    pub started: Option<Millis>,
    /// The time since the crash, in milliseconds.
    pub age_ms: Millis,
}

/// A crash at which a request was present, as one router reports it to others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimedCrash {
    /// The crash.
    pub crash: Crash,
    /// The time from the dispatch of the run to its end, and the time since then, in milliseconds, if they are known.
    pub ran_ms: Option<(Millis, Millis)>,
}

impl TimedCrash {
    /// A report at the time `now` of the sender's clock.
    fn new(presence: Presence, now: Millis) -> TimedCrash {
        let Presence { crash, span } = presence;
        let times = |span: Span| (span.at.saturating_sub(span.dispatched), now.saturating_sub(span.at));
        TimedCrash { crash, ran_ms: span.map(times) }
    }

    /// The crash by the receiver's clock.
    fn presence(&self, now: Millis) -> Presence {
        let span = |(ran_ms, age_ms): (Millis, Millis)| {
            let at = now.saturating_sub(age_ms);
            Span { dispatched: at.saturating_sub(ran_ms), at }
        };
        Presence { crash: self.crash.clone(), span: self.ran_ms.map(span) }
    }
}

/// A part of prompts, and the time since an upstream last survived a run with it, in milliseconds.
pub type SurvivedPart = (PartId, Millis);

/// What one router tells others about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Notice {
    /// The request was present at crashes.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// All crashes that the sender knows of.
        ends: Crashes,
    },
    /// The request is denied.
    Denied {
        /// The request.
        fingerprint: Fingerprint,
        /// Upstreams that crashed while they ran it.
        upstreams: Upstreams,
        /// How long the denial lasts, in milliseconds.
        lasts_ms: Millis,
    },
    /// An upstream survived a run of the request.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// The number of crashes that the sender held against it until then.
        ends: usize,
    },
    /// Runs were lost when their upstreams crashed.
    Lost(Reports),
    /// These parts of prompts were present at several crashes.
    SuspectParts(Parts),
    /// Upstreams survived runs whose prompts have these suspected parts.
    ClearedParts(Parts),
    /// Requests whose prompts have all of these parts are denied.
    DeniedParts {
        /// The parts.
        parts: Parts,
        /// Upstreams that crashed while they ran such requests.
        upstreams: Upstreams,
        /// How long the denial lasts, in milliseconds.
        lasts_ms: Millis,
    },
    /// Upstreams crashed, and the sender lost no run there that counts against its prompt.
    Crashed(SmallVec<[CrashReport; 2]>),
    /// Upstreams survived runs with these parts before they were suspected.
    SurvivedParts(SmallVec<[SurvivedPart; 4]>),
    /// Like `Suspect`, with the times of the runs.
    SuspectRuns {
        /// The request.
        fingerprint: Fingerprint,
        /// All crashes that the sender knows of.
        ends: SmallVec<[TimedCrash; 4]>,
    },
}

/// The routers that receive a notice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// No router.
    Nobody,
    /// The [coordinators] of a fingerprint.
    Coordinators(Fingerprint),
    /// The coordinators of each of these parts of prompts.
    PartCoordinators(Parts),
    /// Every router.
    All,
}

/// What to do after a crash was recorded or a notice applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowUp {
    /// The notice to send to other routers.
    pub notice: Option<Notice>,
    /// What to tell other routers of earlier survivals.
    pub survivals: Option<Notice>,
    /// Whether to call [`Quarantine::decide`] after
    /// [`DECISION_DELAY_MS`](crate::quarantine::DECISION_DELAY_MS).
    pub is_decision_due: bool,
    /// The time after which to call [`Quarantine::decide_on_parts`], in milliseconds.
    pub parts_due_ms: Option<Millis>,
}

impl Notice {
    /// Whether a router can have sent this notice. A message that was altered may hold anything.
    pub fn is_valid(&self) -> bool {
        let is_valid_name = |name: &str| name.len() <= MAX_NAME_BYTES;
        match self {
            Notice::Suspect { ends, .. } => {
                ends.len() <= MAX_UPSTREAMS && ends.iter().all(|crash| is_valid_name(&crash.upstream))
            }
            Notice::Denied { upstreams, .. } => {
                (DENIAL_THRESHOLD..=MAX_UPSTREAMS).contains(&upstreams.len())
                    && upstreams.iter().all(|name| is_valid_name(name))
            }
            Notice::Cleared { .. } => true,
            Notice::Lost(reports) => {
                reports.len() <= MAX_REPORTS
                    && reports.iter().all(|report| is_valid_name(&report.upstream))
                    && reports.iter().all(|report| are_valid_parts(&report.run.parts))
            }
            Notice::SuspectParts(parts) | Notice::ClearedParts(parts) => are_valid_parts(parts),
            Notice::Crashed(reports) => {
                reports.len() <= MAX_REPORTS && reports.iter().all(|report| is_valid_name(&report.upstream))
            }
            Notice::SuspectRuns { ends, .. } => {
                ends.len() <= MAX_UPSTREAMS && ends.iter().all(|end| is_valid_name(&end.crash.upstream))
            }
            Notice::SurvivedParts(survived) => {
                are_valid_parts(&survived.iter().map(|(part, _)| *part).collect::<Parts>())
            }
            Notice::DeniedParts { parts, upstreams, .. } => {
                are_valid_parts(parts)
                    && (DENIAL_THRESHOLD..=MAX_UPSTREAMS).contains(&upstreams.len())
                    && upstreams.iter().all(|name| is_valid_name(name))
            }
        }
    }
}

impl Notice {
    /// The notice when it is sent `ms` milliseconds later.
    pub fn aged(mut self, ms: Millis) -> Notice {
        match &mut self {
            Notice::Lost(reports) => reports.iter_mut().for_each(|report| report.age_ms += ms),
            Notice::Crashed(reports) => reports.iter_mut().for_each(|report| report.age_ms += ms),
            Notice::SuspectRuns { ends, .. } => {
                ends.iter_mut().filter_map(|end| end.ran_ms.as_mut()).for_each(|(_, age_ms)| *age_ms += ms);
            }
            Notice::SurvivedParts(survived) => survived.iter_mut().for_each(|(_, age_ms)| *age_ms += ms),
            _ => {}
        }
        self
    }
}

/// Whether these can be parts of a prompt: a few in strictly ascending order.
fn are_valid_parts(parts: &[PartId]) -> bool {
    !parts.is_empty() && parts.len() <= MAX_PARTS && parts.is_sorted_by(|one, other| one < other)
}

/// Takes as many losses as fit into one notice. Those without parts are reported as crashes.
pub fn take_notice(losses: &mut Vec<Loss>, now: Millis) -> Notice {
    let is_crash = |loss: &Loss| loss.run.parts.is_empty();
    if losses.iter().all(is_crash) {
        return Notice::Crashed(take_reports(losses, now).into_iter().map(CrashReport::from).collect());
    }
    let mut crashes: Vec<Loss> = losses.iter().filter(|loss| is_crash(loss)).cloned().collect();
    losses.retain(|loss| !is_crash(loss));
    let reports = take_reports(losses, now);
    losses.append(&mut crashes);
    Notice::Lost(reports)
}

/// Takes the reports of as many losses as fit into one notice.
pub fn take_reports(losses: &mut Vec<Loss>, now: Millis) -> Reports {
    let mut bytes = 0;
    let fits = |loss: &&Loss| {
        bytes += REPORT_BYTES + loss.upstream.len() + PART_BYTES * loss.run.parts.len();
        bytes <= MAX_REPORT_BYTES
    };
    let count = losses.iter().take(MAX_REPORTS).take_while(fits).count();
    // A loss that does not fit into any notice is not reported.
    let taken = losses.drain(..count.max(1).min(losses.len()));
    taken.map(|loss| Report::new(&loss, now)).collect()
}

impl Quarantine {
    /// Records a crash that this router observed itself.
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

    /// Like [`Quarantine::observe_crash`], with the times of the lost run.
    pub fn observe_lost_run(&mut self, run: &LostRun, now: Millis) -> FollowUp {
        let crash = Crash { upstream: run.upstream.clone(), stage: run.stage };
        let span = Some(Span { dispatched: run.loss.dispatched, at: run.loss.at });
        if !self.record_presence(run.fingerprint, Presence { crash, span }, now) {
            return FollowUp::default();
        }
        self.mark_firsthand(run.fingerprint);
        self.follow_up(run.fingerprint, true, now)
    }

    /// Records that an upstream survived a run of a request that this router dispatched. Returns the notice
    /// to send if the request was a suspect.
    pub fn record_survival(&mut self, fingerprint: Fingerprint) -> Option<Notice> {
        let ends = self.clear(fingerprint);
        (ends > 0).then_some(Notice::Cleared { fingerprint, ends })
    }

    /// Applies a notice from another router.
    pub fn apply(&mut self, notice: &Notice, now: Millis) -> FollowUp {
        match notice {
            Notice::Suspect { fingerprint, ends } => {
                let presences = ends.iter().map(|crash| Presence { crash: crash.clone(), span: None });
                self.record_reported_presences(*fingerprint, presences.collect(), now)
            }
            Notice::SuspectRuns { fingerprint, ends } => {
                let presences = ends.iter().map(|end| end.presence(now)).collect();
                self.record_reported_presences(*fingerprint, presences, now)
            }
            Notice::Denied { fingerprint, upstreams, lasts_ms } => {
                self.deny(*fingerprint, upstreams, *lasts_ms, now);
                FollowUp::default()
            }
            Notice::Cleared { fingerprint, .. } => {
                self.clear(*fingerprint);
                FollowUp::default()
            }
            Notice::Lost(reports) => {
                let losses: SmallVec<[Loss; 2]> = reports.iter().map(|report| report.loss(now)).collect();
                self.record_reported_losses(&losses, now)
            }
            Notice::SuspectParts(parts) => {
                let new = self.suspect_parts(parts, now);
                FollowUp { survivals: self.earlier_survivals(&new, now), ..FollowUp::default() }
            }
            Notice::Crashed(reports) => {
                for CrashReport { upstream, started, age_ms } in reports {
                    self.record_reported_crash(upstream, *started, now.saturating_sub(*age_ms));
                }
                FollowUp::default()
            }
            Notice::SurvivedParts(survived) => {
                for (part, age_ms) in survived {
                    self.record_reported_survival(*part, now.saturating_sub(*age_ms));
                }
                FollowUp::default()
            }
            Notice::ClearedParts(parts) => {
                self.clear_parts(parts, now);
                FollowUp::default()
            }
            Notice::DeniedParts { parts, upstreams, lasts_ms } => {
                self.deny_parts(parts, upstreams, *lasts_ms, now);
                FollowUp::default()
            }
        }
    }

    /// Sets the number of routers in the fleet.
    pub fn set_routers(&mut self, routers: usize) {
        self.set_coordinated(is_coordinated(routers));
    }

    /// Records a run that this router lost when its upstream crashed. Returns whether to report it.
    pub fn observe_loss(&mut self, loss: &Loss, now: Millis) -> (bool, FollowUp) {
        let is_new = self.record_loss(loss, now);
        let parts_due_ms = is_new.then(|| self.schedule_poison_decision(&loss.run.parts, now)).flatten();
        (is_new, FollowUp { parts_due_ms, ..FollowUp::default() })
    }

    /// Records that an upstream survived a run that this router dispatched. Returns the notice to send if parts of its
    /// prompt were suspected.
    pub fn record_prompt_survival(&mut self, parts: &[PartId], now: Millis) -> Option<Notice> {
        let cleared = self.clear_parts(parts, now);
        (!cleared.is_empty()).then_some(Notice::ClearedParts(cleared))
    }

    /// Records runs that another router lost.
    fn record_reported_losses(&mut self, losses: &[Loss], now: Millis) -> FollowUp {
        let new = losses.iter().filter(|loss| self.record_loss(loss, now));
        let mut parts: Parts = new.flat_map(|loss| loss.run.parts.iter().copied()).collect();
        parts.sort_unstable();
        parts.dedup();
        let survivals = self.earlier_survivals(&parts, now);
        let mut suspected = self.take_unannounced_parts(&parts, now);
        suspected.truncate(MAX_PARTS);
        FollowUp {
            notice: (!suspected.is_empty()).then_some(Notice::SuspectParts(suspected)),
            survivals,
            parts_due_ms: self.schedule_poison_decision(&parts, now),
            ..FollowUp::default()
        }
    }

    /// The notice of those of these parts that this router saw upstreams survive.
    fn earlier_survivals(&mut self, parts: &[PartId], now: Millis) -> Option<Notice> {
        let survived = self.take_untold_survivals(parts, now).into_iter().take(MAX_PARTS);
        let survived: SmallVec<[SurvivedPart; 4]> =
            survived.map(|(part, at)| (part, now.saturating_sub(at))).collect();
        (!survived.is_empty()).then_some(Notice::SurvivedParts(survived))
    }

    /// Records crashes of which another router reports that a request was present.
    fn record_reported_presences(
        &mut self,
        fingerprint: Fingerprint,
        presences: Presences,
        now: Millis,
    ) -> FollowUp {
        let (known_before, reported) = (self.crashes(fingerprint).len(), presences.len());
        for presence in presences {
            self.record_presence(fingerprint, presence, now);
        }
        let known_now = self.crashes(fingerprint).len();
        // A router that knows of more crashes than the notice names sends all of them. Otherwise the sender has already
        // told those concerned.
        match known_now > known_before {
            true => self.follow_up(fingerprint, known_now > reported, now),
            false => FollowUp::default(),
        }
    }

    fn follow_up(&self, fingerprint: Fingerprint, has_news: bool, now: Millis) -> FollowUp {
        let presences = self.presences(fingerprint);
        let notice = match presences.iter().any(|presence| presence.span.is_some()) {
            true => {
                let ends = presences.into_iter().map(|presence| TimedCrash::new(presence, now)).collect();
                Notice::SuspectRuns { fingerprint, ends }
            }
            false => Notice::Suspect { fingerprint, ends: self.crashes(fingerprint) },
        };
        let is_decision_due = self.verdict(fingerprint, now) == Verdict::Undecided;
        FollowUp { notice: has_news.then_some(notice), is_decision_due, ..FollowUp::default() }
    }
}

/// Limits the notices that are sent to all routers.
///
/// All routers should know which requests were unanswered at a crash, since these share the blame for it. But
/// if a large fleet loses many upstreams, each router would receive thousands of notices. So of the suspects
/// with a single crash, only a sample is sent to all routers, a smaller part the larger the fleet, and the
/// rest to a few routers. In addition, the rate of notices to all routers is fixed for the fleet as a whole, for those
/// about requests and for those about parts of prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoticeLimiter {
    requests: Bucket,
    parts: Bucket,
}

/// The notices that a router may send to all others.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled: Millis,
}

impl Default for Bucket {
    fn default() -> Bucket {
        Bucket { tokens: BROADCAST_BURST, refilled: 0 }
    }
}

impl NoticeLimiter {
    /// The recipients of a notice in a fleet of `routers` routers.
    pub fn recipients(&mut self, notice: &Notice, routers: usize, now: Millis) -> Recipients {
        let is_sampled =
            |fingerprint: &Fingerprint| fingerprint.seed() % (routers as u64).max(1) < FULL_BROADCAST_ROUTERS;
        let (fingerprint, is_for_all) = match notice {
            Notice::Denied { .. } | Notice::DeniedParts { .. } => return Recipients::All,
            Notice::Lost(_)
            | Notice::SuspectParts(_)
            | Notice::ClearedParts(_)
            | Notice::Crashed(_)
            | Notice::SurvivedParts(_) => {
                return self.part_recipients(notice, routers, now);
            }
            Notice::Cleared { fingerprint, ends } => (fingerprint, *ends > 1),
            Notice::Suspect { fingerprint, ends } => {
                let is_silent = ends.iter().any(|crash| crash.stage == Stage::Silent);
                (fingerprint, ends.len() > 1 || is_silent && is_sampled(fingerprint))
            }
            Notice::SuspectRuns { fingerprint, ends } => {
                let is_silent = ends.iter().any(|end| end.crash.stage == Stage::Silent);
                (fingerprint, ends.len() > 1 || is_silent && is_sampled(fingerprint))
            }
        };
        match is_for_all && self.requests.take_token(routers, now) {
            true => Recipients::All,
            false => Recipients::Coordinators(*fingerprint),
        }
    }

    /// In a small fleet all routers learn of lost runs and of survivals. In a larger one the coordinators of the parts
    /// do, and decide on them. They tell all routers which parts they suspect, so that survivals are reported.
    fn part_recipients(&mut self, notice: &Notice, routers: usize, now: Millis) -> Recipients {
        let is_small = !is_coordinated(routers);
        match notice {
            Notice::Lost(_) | Notice::ClearedParts(_) | Notice::Crashed(_) | Notice::SurvivedParts(_)
                if is_small =>
            {
                Recipients::All
            }
            Notice::Lost(reports) => {
                let mut parts: Parts =
                    reports.iter().flat_map(|report| report.run.parts.iter().copied()).collect();
                parts.sort_unstable();
                parts.dedup();
                Recipients::PartCoordinators(parts)
            }
            Notice::ClearedParts(parts) => Recipients::PartCoordinators(parts.clone()),
            Notice::SurvivedParts(survived) => {
                Recipients::PartCoordinators(survived.iter().map(|(part, _)| *part).collect())
            }
            Notice::SuspectParts(_) if !is_small && self.parts.take_token(routers, now) => Recipients::All,
            _ => Recipients::Nobody,
        }
    }
}

impl Bucket {
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

/// Whether the coordinators of parts of prompts decide on them, as the other routers of a large fleet know of few
/// lost runs.
pub fn is_coordinated(routers: usize) -> bool {
    routers as u64 > FULL_BROADCAST_ROUTERS
}

/// The fingerprint by which the coordinators of a part of prompts are chosen.
pub fn part_fingerprint(part: PartId) -> Fingerprint {
    poison::fingerprint(&[part])
}

/// Whether the router with the name `own` decides on a part of prompts. `peers` are the names of the others.
pub fn is_responsible<N: AsRef<[u8]>>(part: PartId, own: N, peers: impl ExactSizeIterator<Item = N>) -> bool {
    let is_small = !is_coordinated(peers.len() + 1);
    let routers = peers.map(|name| (false, name)).chain([(true, own)]);
    is_small || coordinators(part_fingerprint(part), routers).contains(&true)
}

/// The peers that coordinate the decision on a fingerprint, by rendezvous hashing: every router gets the same
/// ones from the same names. Each peer comes with the name by which all routers know it.
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
