//! Requests that crash their engines, engines that crash on their own, and the quarantines of the routers,
//! which exchange notices about suspects.

use crate::engine::Engine;
use crate::outcome::HarmfulOutcome;
use rand::Rng;
use rand::rngs::SmallRng;
use route::Millis;
use route::notice::{FollowUp, Notice, NoticeLimiter, Recipients, coordinators};
use route::quarantine::{DECISION_DELAY_MS, DENIAL_THRESHOLD, Fingerprint, Quarantine, Stage, Verdict};

/// The number of the request that crashes its engines.
const HARMFUL: u64 = u64::MAX;
/// How long an engine is down after a crash, in milliseconds.
pub(crate) const DOWNTIME_MS: f64 = 3_000.0;
/// The time from the dispatch of the harmful request to the crash of its engine, in milliseconds.
pub(crate) const CRASH_DELAY_MS: f64 = 60.0;
/// The share of messages between routers that are lost.
const LOSS_RATE: f64 = 0.03;
/// The times at which each notice is sent, in milliseconds after the first one. It is repeated since messages
/// may be lost.
const SEND_DELAYS_MS: [f64; 3] = [0.0, 50.0, 750.0];
/// The time within which all routers should know what one of them knows, in milliseconds.
const PROPAGATION_MS: f64 = 3_000.0;

/// An event that a router handles at a later time.
pub(crate) struct RouterEvent {
    pub(crate) at: f64,
    pub(crate) router: usize,
    /// The notice that arrives from another router; `None` if a decision of this router is due.
    pub(crate) notice: Option<Notice>,
}

/// The quarantines of all routers, and what became of the harmful request.
pub(crate) struct QuarantineSimulation {
    quarantines: Vec<Quarantine>,
    limiters: Vec<NoticeLimiter>,
    names: Vec<String>,
    /// How often each engine has crashed. The number is part of the upstream's name, since a restarted engine
    /// counts as a different upstream.
    crash_counts: Vec<u32>,
    /// The time at which the number of engines that crashed under the harmful request reached
    /// [`DENIAL_THRESHOLD`].
    threshold_crash: Option<f64>,
    pub(crate) outcome: HarmfulOutcome,
}

fn fingerprint(number: u64) -> Fingerprint {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
    digest[8..].copy_from_slice(&number.to_be_bytes());
    Fingerprint::new(digest)
}

impl QuarantineSimulation {
    pub(crate) fn new(routers: usize, engines: usize) -> QuarantineSimulation {
        QuarantineSimulation {
            quarantines: vec![Quarantine::default(); routers],
            limiters: vec![NoticeLimiter::default(); routers],
            names: (0..routers).map(|router| format!("router-{router}")).collect(),
            crash_counts: vec![0; engines],
            threshold_crash: None,
            outcome: HarmfulOutcome::default(),
        }
    }

    /// Whether a router dispatches the harmful request.
    pub(crate) fn admits_harmful(&mut self, router: usize, now: f64) -> bool {
        self.outcome.received += 1;
        let verdict = self.quarantines[router].verdict(fingerprint(HARMFUL), now as Millis);
        let is_admitted = !matches!(verdict, Verdict::Denied | Verdict::Undecided);
        self.outcome.denied += u64::from(!is_admitted);
        is_admitted
    }

    /// Whether a router dispatches a request other than the harmful one.
    pub(crate) fn admits(&mut self, router: usize, number: u64, now: f64) -> bool {
        if self.quarantines[router].is_empty() {
            return true;
        }
        let is_denied =
            self.quarantines[router].verdict(fingerprint(number), now as Millis) == Verdict::Denied;
        self.outcome.others_denied += u64::from(is_denied);
        !is_denied
    }

    /// Records that an engine survived a request. Returns the events that follow.
    pub(crate) fn record_survival(
        &mut self,
        router: usize,
        number: u64,
        now: f64,
        random: &mut SmallRng,
    ) -> Vec<RouterEvent> {
        let mut events = vec![];
        if self.quarantines[router].is_empty() {
            return events;
        }
        if let Some(notice) = self.quarantines[router].record_survival(fingerprint(number)) {
            self.send_notice(router, &notice, now, random, &mut events);
        }
        events
    }

    /// Records the crash of an engine: under the harmful request, which the router `cause` dispatched, or on
    /// its own if there is no `cause`. `bystanders` holds the router and the number of each other job that
    /// ran or waited on the engine, and the time since its first answer. Returns the events that follow.
    pub(crate) fn record_crash(
        &mut self,
        engine: usize,
        cause: Option<usize>,
        bystanders: &[(usize, u64, Option<Millis>)],
        now: f64,
        random: &mut SmallRng,
    ) -> Vec<RouterEvent> {
        let upstream = format!("engine-{engine}.{}", self.crash_counts[engine]);
        self.crash_counts[engine] += 1;
        if cause.is_some() {
            self.outcome.crashed += 1;
            if self.outcome.crashed == DENIAL_THRESHOLD as u64 {
                self.threshold_crash = Some(now);
            }
            let is_late = self.threshold_crash.is_some_and(|at| now > at + PROPAGATION_MS);
            self.outcome.crashed_late += u64::from(is_late);
        }
        let mut events = vec![];
        let harmful = cause.map(|router| (router, HARMFUL, None));
        for (router, number, begun_ms) in harmful.into_iter().chain(bystanders.iter().copied()) {
            let Some(stage) = Stage::of(begun_ms) else { continue };
            let now_ms = now as Millis;
            let follow_up =
                self.quarantines[router].observe_crash(fingerprint(number), &upstream, stage, now_ms);
            self.follow_up(router, follow_up, now, random, &mut events);
        }
        events
    }

    /// Applies a notice from another router. Returns the events that follow.
    pub(crate) fn receive(
        &mut self,
        router: usize,
        notice: &Notice,
        now: f64,
        random: &mut SmallRng,
    ) -> Vec<RouterEvent> {
        self.outcome.received_notices += 1;
        let follow_up = self.quarantines[router].apply(notice, now as Millis);
        let mut events = vec![];
        self.follow_up(router, follow_up, now, random, &mut events);
        self.update_denied_everywhere(now);
        events
    }

    /// Decides on the suspects whose decision is due. Returns the events that follow.
    pub(crate) fn decide(&mut self, router: usize, now: f64, random: &mut SmallRng) -> Vec<RouterEvent> {
        let mut events = vec![];
        for denied in self.quarantines[router].decide(now as Millis) {
            self.outcome.others_denied += u64::from(denied != fingerprint(HARMFUL));
            if !self.quarantines[router].is_firsthand(denied) {
                continue;
            }
            let upstreams = self.quarantines[router].denied_upstreams(denied).unwrap_or_default();
            let lasts_ms = route::quarantine::DENIAL_DURATION_MS;
            let notice = Notice::Denied { fingerprint: denied, upstreams, lasts_ms };
            self.send_notice(router, &notice, now, random, &mut events);
        }
        self.update_denied_everywhere(now);
        events
    }

    /// Records the time at which all routers deny the harmful request for the first time.
    fn update_denied_everywhere(&mut self, now: f64) {
        let Some(threshold_crash) = self.threshold_crash.filter(|_| self.outcome.denied_everywhere_ms == 0.0)
        else {
            return;
        };
        let is_denied = |quarantine: &Quarantine| {
            quarantine.verdict(fingerprint(HARMFUL), now as Millis) == Verdict::Denied
        };
        if self.quarantines.iter().all(is_denied) {
            self.outcome.denied_everywhere_ms = now - threshold_crash;
        }
    }

    fn follow_up(
        &mut self,
        router: usize,
        follow_up: FollowUp,
        now: f64,
        random: &mut SmallRng,
        events: &mut Vec<RouterEvent>,
    ) {
        if let Some(notice) = &follow_up.notice {
            self.send_notice(router, notice, now, random, events);
        }
        if follow_up.is_decision_due {
            events.push(RouterEvent { at: now + DECISION_DELAY_MS as f64 + 1.0, router, notice: None });
        }
    }

    fn send_notice(
        &mut self,
        from: usize,
        notice: &Notice,
        now: f64,
        random: &mut SmallRng,
        events: &mut Vec<RouterEvent>,
    ) {
        let routers = self.names.len();
        let others = (0..routers).filter(|router| *router != from);
        let recipients: Vec<usize> = match self.limiters[from].recipients(notice, routers, now as Millis) {
            Recipients::All => others.collect(),
            // Its requests have no prompts.
            Recipients::Nobody | Recipients::PartCoordinators(_) => return,
            Recipients::Coordinators(request) => {
                coordinators(request, others.map(|router| (router, self.names[router].as_str())))
            }
        };
        for router in recipients {
            for delay in SEND_DELAYS_MS {
                if !random.gen_bool(LOSS_RATE) {
                    events.push(RouterEvent { at: now + delay + 1.0, router, notice: Some(notice.clone()) });
                }
            }
        }
    }
}

/// Takes an engine down. Returns the identifiers of the jobs that it loses.
pub(crate) fn crash(engine: &mut Engine) -> Vec<usize> {
    engine.is_down = true;
    engine.crash()
}
