//! Routers that exchange notices of crashed engines, some of which are lost, in virtual time.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::notice::{self, FollowUp, Notice, NoticeLimiter, Recipients, coordinators, part_fingerprint};
use route::poison::{EARLY_RUN_MS, Loss, Parts, Run};
use route::quarantine::{DENIAL_DURATION_MS, Quarantine};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A part that all prompts have, and one that crashes engines.
const COMMON: u64 = 1;
const BAD: u64 = 66;
/// The number of other parts, of which each sound prompt has one.
const DOCUMENTS: u64 = 40;
/// The length of a simulation.
const LENGTH_MS: u64 = 15_000;
/// When requests with the bad part begin to arrive, and how many arrive in a second.
const BAD_FROM_MS: u64 = 1_000;
const BAD_PER_S: f64 = 8.0;
/// The time from a dispatch to the crash of its engine.
const CRASH_MS: u64 = 60;
/// The time from a crash to its proof, and to the restart of the engine.
const PROBE_MS: u64 = 100;
const DOWNTIME_MS: u64 = 3_000;
/// The time for which requests are still dispatched to an engine that has crashed, and the time until they break.
const UNNOTICED_MS: u64 = 20;
const BREAK_MS: u64 = 2;
/// The interval between reports of lost runs.
const REPORT_MS: u64 = 50;
/// The delays of the transmissions of a notice, and the share of them that is lost.
const SEND_DELAYS_MS: [u64; 3] = [1, 51, 751];
const LOSS_RATE: f64 = 0.03;
/// The number of crashes from which the routers must know the part, and the time in which they must.
const KNOWN_AFTER: usize = 5;
const CONTACT_THRESHOLD_MS: u64 = 3_000;

/// A kind of sound requests: the part that all of their prompts have, and how long a run takes up to its first answer
/// and to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) part: u64,
    pub(crate) answers_ms: u64,
    pub(crate) run_ms: u64,
}

/// Short runs that are answered as a whole.
const SHORT: Kind = Kind { part: COMMON, answers_ms: 500, run_ms: 500 };

/// A fleet, and what happens to it.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) sound_per_s: f64,
    pub(crate) bad_per_s: f64,
    /// When a share of the engines crash together.
    pub(crate) mass_crashes: Vec<(u64, f64)>,
    /// How many engines crash by themselves in a second, one at a time.
    pub(crate) crashes_per_s: f64,
    /// When which engines crash.
    pub(crate) crashes: Vec<(u64, Vec<usize>)>,
    pub(crate) downtime_ms: u64,
    /// The kinds of sound requests, all of them as frequent.
    pub(crate) kinds: Vec<Kind>,
    pub(crate) seed: u64,
}

impl Plan {
    pub(crate) fn new(routers: usize, seed: u64) -> Plan {
        let sound_per_s = 60.0 + routers as f64;
        let engines = (2 * routers).clamp(18, 160);
        let mass_crashes = vec![(4_000, 0.17), (8_000, 0.17)];
        Plan {
            routers,
            engines,
            sound_per_s,
            bad_per_s: BAD_PER_S,
            mass_crashes,
            crashes_per_s: 0.0,
            crashes: vec![],
            downtime_ms: DOWNTIME_MS,
            kinds: vec![SHORT],
            seed,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// When engines crashed under the bad part.
    pub(crate) bad_crashes: Vec<u64>,
    /// When requests with the bad part were dispatched.
    bad_dispatches: Vec<u64>,
    bad_denied: u32,
    pub(crate) sound: u32,
    pub(crate) sound_denied: u32,
    received_notices: u64,
    pub(crate) denied_everywhere: Option<u64>,
}

impl Outcome {
    pub(crate) fn late_requests(&self) -> u32 {
        let Some(known_after) = self.bad_crashes.get(KNOWN_AFTER - 1) else { return 0 };
        let is_late = |at: &&u64| **at > known_after + CONTACT_THRESHOLD_MS;
        self.bad_dispatches.iter().filter(is_late).count() as u32
    }

    /// The notices that each router received per second, on average.
    pub(crate) fn received_per_s(&self, routers: usize) -> f64 {
        self.received_notices as f64 / routers as f64 / (LENGTH_MS as f64 / 1_000.0)
    }
}

#[derive(Clone, Debug)]
enum Event {
    SoundArrival,
    BadArrival,
    Crash {
        engine: usize,
        starts: u32,
        is_bad: bool,
    },
    SpontaneousCrash,
    Restart(usize),
    /// A run has been answered for so long that its engine has survived it, or it is complete.
    Survive(u64),
    Complete(u64),
    Proof {
        router: usize,
        loss: Loss,
    },
    Report(usize),
    Deliver {
        router: usize,
        notice: Notice,
    },
    Decide(usize),
}

struct Router {
    quarantine: Quarantine,
    limiter: NoticeLimiter,
    unreported: Vec<Loss>,
}

#[derive(Clone, Debug)]
struct OpenRun {
    router: usize,
    engine: usize,
    parts: Parts,
    dispatched: u64,
    answers: u64,
    has_survived: bool,
}

struct Simulation {
    plan: Plan,
    now: u64,
    random: SmallRng,
    routers: Vec<Router>,
    names: Vec<String>,
    /// The number of starts of each engine, and whether it is up.
    engines: Vec<(u32, bool)>,
    /// When each engine last crashed.
    crashed: Vec<Option<u64>>,
    runs: BTreeMap<u64, OpenRun>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    outcome: Outcome,
}

pub(crate) fn simulate(plan: &Plan) -> Outcome {
    let mut quarantine = Quarantine::default();
    quarantine.set_routers(plan.routers);
    (0..plan.engines).for_each(|engine| quarantine.record_start(&format!("engine-{engine}.0"), None, 0));
    let router =
        || Router { quarantine: quarantine.clone(), limiter: NoticeLimiter::default(), unreported: vec![] };
    let mut simulation = Simulation {
        now: 0,
        random: SmallRng::seed_from_u64(plan.seed),
        routers: (0..plan.routers).map(|_| router()).collect(),
        names: (0..plan.routers).map(|router| format!("router-{router}")).collect(),
        engines: vec![(0, true); plan.engines],
        crashed: vec![None; plan.engines],
        runs: BTreeMap::new(),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        next: 0,
        outcome: Outcome::default(),
        plan: plan.clone(),
    };
    simulation.push(0, Event::SoundArrival);
    if plan.bad_per_s > 0.0 {
        simulation.push(BAD_FROM_MS, Event::BadArrival);
    }
    if plan.crashes_per_s > 0.0 {
        simulation.push(BAD_FROM_MS, Event::SpontaneousCrash);
    }
    for (at, share) in &plan.mass_crashes {
        for engine in 0..(plan.engines as f64 * share) as usize {
            simulation.push(*at, Event::Crash { engine, starts: u32::MAX, is_bad: false });
        }
    }
    for (at, engines) in &plan.crashes {
        for engine in engines.iter().copied() {
            simulation.push(*at, Event::Crash { engine, starts: u32::MAX, is_bad: false });
        }
    }
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > LENGTH_MS {
                return;
            }
            self.now = at;
            let event = self.events.remove(&number).expect("an event");
            self.handle(event);
        }
    }

    fn pause(&mut self, per_s: f64) -> u64 {
        (-self.random.r#gen::<f64>().max(1e-12).ln() * 1_000.0 / per_s).round() as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SoundArrival => {
                let document = 100 + self.random.gen_range(0..DOCUMENTS);
                let kind = self.plan.kinds[self.random.gen_range(0..self.plan.kinds.len())];
                self.arrive([kind.part, document].into_iter().collect(), Some(kind));
                let pause = self.pause(self.plan.sound_per_s);
                self.push(self.now + pause, Event::SoundArrival);
            }
            Event::BadArrival => {
                self.arrive([COMMON, BAD].into_iter().collect(), None);
                let pause = self.pause(self.plan.bad_per_s);
                self.push(self.now + pause, Event::BadArrival);
            }
            Event::SpontaneousCrash => {
                let engine = self.random.gen_range(0..self.engines.len());
                self.crash(engine);
                let pause = self.pause(self.plan.crashes_per_s);
                self.push(self.now + pause, Event::SpontaneousCrash);
            }
            Event::Crash { engine, starts, is_bad } => {
                let (current, is_up) = self.engines[engine];
                if is_up && (starts == u32::MAX || starts == current) {
                    if is_bad {
                        self.outcome.bad_crashes.push(self.now);
                    }
                    self.crash(engine);
                }
            }
            Event::Restart(engine) => self.restart(engine),
            Event::Survive(number) => self.survive(number),
            Event::Complete(number) => self.complete(number),
            Event::Proof { router, loss } => {
                let (is_new, follow_up) = self.routers[router].quarantine.observe_loss(&loss, self.now);
                self.follow_up(router, follow_up);
                if is_new {
                    self.routers[router].unreported.push(loss);
                    if self.routers[router].unreported.len() == 1 {
                        self.push(self.now + REPORT_MS, Event::Report(router));
                    }
                }
            }
            Event::Report(router) => {
                let notice = notice::take_notice(&mut self.routers[router].unreported, self.now);
                self.send(router, notice);
                if !self.routers[router].unreported.is_empty() {
                    self.push(self.now + REPORT_MS, Event::Report(router));
                }
            }
            Event::Deliver { router, notice } => {
                self.outcome.received_notices += 1;
                assert!(notice.is_valid(), "{notice:?}");
                let follow_up = self.routers[router].quarantine.apply(&notice, self.now);
                self.follow_up(router, follow_up);
                self.update_denied_everywhere();
            }
            Event::Decide(router) => self.decide(router),
        }
    }

    /// A sound request of a kind arrives, or one with the bad part.
    fn arrive(&mut self, parts: Parts, kind: Option<Kind>) {
        let router = self.random.gen_range(0..self.routers.len());
        let is_denied = self.routers[router].quarantine.denied_parts(&parts, self.now).is_some();
        let outcome = &mut self.outcome;
        match kind {
            None => outcome.bad_denied += u32::from(is_denied),
            Some(_) => {
                outcome.sound += 1;
                outcome.sound_denied += u32::from(is_denied);
            }
        }
        let is_unnoticed =
            |engine: usize| self.crashed[engine].is_some_and(|at| self.now - at < UNNOTICED_MS);
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].1 || is_unnoticed(*engine))
            .collect();
        if is_denied || up.is_empty() {
            return;
        }
        let engine = up[self.random.gen_range(0..up.len())];
        self.next += 1;
        let number = self.next;
        if !self.engines[engine].1 {
            let upstream = format!("engine-{engine}.{}", self.engines[engine].0 - 1);
            let (run, dispatched, at) = (Run { request: number, parts }, self.now, self.now + BREAK_MS);
            let loss = Loss { upstream, started: None, run, dispatched, at, is_firsthand: true };
            return self.push(at + PROBE_MS, Event::Proof { router, loss });
        }
        let answers = self.now + kind.map_or(u64::MAX / 2, |kind| kind.answers_ms);
        let run = OpenRun { router, engine, parts, dispatched: self.now, answers, has_survived: false };
        self.runs.insert(number, run);
        match kind {
            None => {
                self.outcome.bad_dispatches.push(self.now);
                let starts = self.engines[engine].0;
                self.push(self.now + CRASH_MS, Event::Crash { engine, starts, is_bad: true });
            }
            Some(kind) => {
                let ends = self.now + kind.run_ms;
                self.push(ends.min(answers + EARLY_RUN_MS + 1), Event::Survive(number));
                self.push(ends, Event::Complete(number));
            }
        }
    }

    fn restart(&mut self, engine: usize) {
        let (starts, is_up) = &mut self.engines[engine];
        *is_up = true;
        let (former, name) =
            (format!("engine-{engine}.{}", *starts - 1), format!("engine-{engine}.{starts}"));
        for router in &mut self.routers {
            router.quarantine.record_gone(&former, None, self.now);
            router.quarantine.record_start(&name, None, self.now);
        }
    }

    fn crash(&mut self, engine: usize) {
        let (starts, is_up) = &mut self.engines[engine];
        if !std::mem::replace(is_up, false) {
            return;
        }
        let upstream = format!("engine-{engine}.{starts}");
        *starts += 1;
        self.crashed[engine] = Some(self.now);
        self.push(self.now + self.plan.downtime_ms, Event::Restart(engine));
        let lost: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.engine == engine).map(|(number, _)| *number).collect();
        for number in lost {
            let OpenRun { router, parts, dispatched, answers, .. } =
                self.runs.remove(&number).expect("a run");
            let is_early = self.now <= answers.saturating_add(EARLY_RUN_MS);
            let run = Run { request: number, parts: if is_early { parts } else { Parts::new() } };
            let (upstream, at) = (upstream.clone(), self.now);
            let loss = Loss { upstream, started: None, run, dispatched, at, is_firsthand: true };
            self.push(self.now + PROBE_MS, Event::Proof { router, loss });
        }
    }

    fn survive(&mut self, number: u64) {
        let Some(run) = self.runs.get_mut(&number).filter(|run| !run.has_survived) else { return };
        run.has_survived = true;
        let run = run.clone();
        let notice = self.routers[run.router].quarantine.record_prompt_survival(&run.parts, self.now);
        if let Some(notice) = notice {
            self.send(run.router, notice);
        }
    }

    fn complete(&mut self, number: u64) {
        self.survive(number);
        self.runs.remove(&number);
    }

    fn follow_up(&mut self, router: usize, follow_up: FollowUp) {
        if let Some(survivals) = follow_up.survivals {
            self.send(router, survivals);
        }
        if let Some(notice) = follow_up.notice {
            self.send(router, notice);
        }
        if let Some(delay) = follow_up.parts_due_ms {
            self.push(self.now + delay, Event::Decide(router));
        }
    }

    fn decide(&mut self, router: usize) {
        let is_coordinated = notice::is_coordinated(self.routers.len());
        let names = self.names.clone();
        let is_responsible = |part: u64| is_responsible(&names, router, part);
        for cause in self.routers[router].quarantine.decide_on_parts(self.now, is_responsible) {
            if cause.is_firsthand || is_coordinated {
                let (parts, upstreams) = (cause.parts, cause.upstreams);
                let lasts_ms = DENIAL_DURATION_MS;
                self.send(router, Notice::DeniedParts { parts, upstreams, lasts_ms });
            }
        }
        self.update_denied_everywhere();
    }

    fn update_denied_everywhere(&mut self) {
        let is_denied = |router: &Router| router.quarantine.denied_parts(&[COMMON, BAD], self.now).is_some();
        if self.outcome.denied_everywhere.is_none() && self.routers.iter().all(is_denied) {
            self.outcome.denied_everywhere = Some(self.now);
        }
    }

    fn send(&mut self, from: usize, mut notice: Notice) {
        if let Notice::SuspectParts(parts) = &mut notice {
            parts.retain(|part| is_responsible(&self.names, from, *part));
            if parts.is_empty() {
                return;
            }
        }
        let routers = self.routers.len();
        let names = &self.names;
        let others = || (0..routers).filter(|router| *router != from).map(|router| (router, &names[router]));
        let recipients: Vec<usize> = match self.routers[from].limiter.recipients(&notice, routers, self.now) {
            Recipients::Nobody => vec![],
            Recipients::All => others().map(|(router, _)| router).collect(),
            Recipients::Coordinators(fingerprint) => coordinators(fingerprint, others()),
            Recipients::PartCoordinators(parts) => {
                let of = |part: &u64| coordinators(part_fingerprint(*part), others());
                let mut all: Vec<usize> = parts.iter().flat_map(of).collect();
                all.sort_unstable();
                all.dedup();
                all
            }
        };
        for router in recipients {
            for delay in SEND_DELAYS_MS {
                if !self.random.gen_bool(LOSS_RATE) {
                    let notice = notice.clone().aged(delay - SEND_DELAYS_MS[0]);
                    self.push(self.now + delay, Event::Deliver { router, notice });
                }
            }
        }
    }
}

fn is_responsible(names: &[String], router: usize, part: u64) -> bool {
    let others: Vec<&str> =
        names.iter().enumerate().filter(|(other, _)| *other != router).map(|(_, name)| &**name).collect();
    notice::is_responsible(part, names[router].as_str(), others.into_iter())
}
