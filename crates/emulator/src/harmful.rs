//! Requests that end their engines, engines that end by themselves, and what routers make of both.

use crate::engine::Engine;
use crate::outcome::HarmfulOutcome;
use rand::Rng;
use rand::rngs::SmallRng;
use route::Millis;
use route::notice::{FollowUp, Notice, NoticeLimiter, Recipients, coordinators};
use route::quarantine::{DECISION_DELAY_MS, DENIAL_THRESHOLD, Fingerprint, Quarantine, Stage, Verdict};

/// The request that ends its engines.
const HARMFUL: u64 = u64::MAX;
/// How long an engine is down, in milliseconds.
pub(crate) const DOWNTIME_MS: f64 = 3_000.0;
/// From a dispatch until the engine ends that begins to run it, in milliseconds.
pub(crate) const CRASH_DELAY_MS: f64 = 60.0;
/// Messages between routers that are lost.
const LOSS_RATE: f64 = 0.03;
/// When each word is sent, in milliseconds after the first time.
const SEND_DELAYS_MS: [f64; 3] = [0.0, 50.0, 750.0];
/// The time within which all routers know what one knows, in milliseconds.
const PROPAGATION_MS: f64 = 3_000.0;

/// What a router is to take in later.
pub(crate) struct RouterEvent {
    pub(crate) at: f64,
    pub(crate) router: usize,
    /// Another one's word; `None` if its own time to decide has come.
    pub(crate) notice: Option<Notice>,
}

/// What the routers know, and what came of it.
pub(crate) struct QuarantineSimulation {
    quarantines: Vec<Quarantine>,
    limiters: Vec<NoticeLimiter>,
    names: Vec<String>,
    /// How often each engine ended: another life of it has another name.
    crash_counts: Vec<u32>,
    /// When the third engine ended.
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

    /// Whether a router lets a deadly request run.
    pub(crate) fn admits_harmful(&mut self, router: usize, now: f64) -> bool {
        self.outcome.received += 1;
        let verdict = self.quarantines[router].verdict(fingerprint(HARMFUL), now as Millis);
        let is_admitted = !matches!(verdict, Verdict::Denied | Verdict::Undecided);
        self.outcome.denied += u64::from(!is_admitted);
        is_admitted
    }

    /// Whether a router lets another request run.
    pub(crate) fn admits(&mut self, router: usize, number: u64, now: f64) -> bool {
        if self.quarantines[router].is_empty() {
            return true;
        }
        let is_denied =
            self.quarantines[router].verdict(fingerprint(number), now as Millis) == Verdict::Denied;
        self.outcome.others_denied += u64::from(is_denied);
        !is_denied
    }

    /// Takes in that an engine outlived a request.
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

    /// Ends an engine under the deadly request of a router, or by itself, with the runs of others there: their routers, numbers and the
    /// time since their first answers. What the routers say then.
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

    /// Takes in what another router said.
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

    /// Decides on suspects whose time has come.
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

    /// Takes down when all routers deny the deadly request.
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

/// The runs that an engine loses when it ends, with whether it was up.
pub(crate) fn crash(engine: &mut Engine) -> Vec<usize> {
    engine.is_down = true;
    engine.crash()
}
