//! A part of prompts that crashes its engines, simulated with many routers that exchange notices, some of which are
//! lost.
//!
//! Guards against parts that crash engine after engine in fleets of any size, and against denials of sound prompts
//! while engines crash for other reasons.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::notice::{self, FollowUp, Notice, NoticeLimiter, Recipients, coordinators, part_fingerprint};
use route::poison::{Loss, Parts, Run};
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
/// The time from a dispatch to the crash of its engine, and to the end of a sound run.
const CRASH_MS: u64 = 60;
const RUN_MS: u64 = 500;
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
/// The number of requests with the part that may be sent afterwards.
const MAX_LATE_REQUESTS: u32 = 3;
/// The most bytes of notices that a router may receive per second: the budget of all control messages. A notice takes
/// about 150 bytes with its headers.
const MAX_NOTICE_BYTES_PER_S: f64 = 4_096.0;
const NOTICE_BYTES: f64 = 150.0;

/// A fleet, and what happens to it.
#[derive(Clone, Debug)]
struct Plan {
    routers: usize,
    engines: usize,
    sound_per_s: f64,
    bad_per_s: f64,
    /// When a share of the engines crash together.
    mass_crashes: Vec<(u64, f64)>,
    /// How many engines crash by themselves in a second, one at a time.
    crashes_per_s: f64,
    seed: u64,
}

impl Plan {
    fn new(routers: usize, seed: u64) -> Plan {
        let sound_per_s = 60.0 + routers as f64;
        let engines = (2 * routers).clamp(18, 160);
        let mass_crashes = vec![(4_000, 0.17), (8_000, 0.17)];
        Plan { routers, engines, sound_per_s, bad_per_s: BAD_PER_S, mass_crashes, crashes_per_s: 0.0, seed }
    }
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    /// When engines crashed under the bad part.
    bad_crashes: Vec<u64>,
    /// When requests with the bad part were dispatched.
    bad_dispatches: Vec<u64>,
    bad_denied: u32,
    sound: u32,
    sound_denied: u32,
    received_notices: u64,
    denied_everywhere: Option<u64>,
}

impl Outcome {
    fn late_requests(&self) -> u32 {
        let Some(known_after) = self.bad_crashes.get(KNOWN_AFTER - 1) else { return 0 };
        let is_late = |at: &&u64| **at > known_after + CONTACT_THRESHOLD_MS;
        self.bad_dispatches.iter().filter(is_late).count() as u32
    }

    fn received_bytes_per_s(&self, routers: usize) -> f64 {
        self.received_notices as f64 * NOTICE_BYTES / routers as f64 / (LENGTH_MS as f64 / 1_000.0)
    }
}

#[derive(Clone, Debug)]
enum Event {
    SoundArrival,
    BadArrival,
    Crash { engine: usize, starts: u32, is_bad: bool },
    SpontaneousCrash,
    Restart(usize),
    Complete(u64),
    Proof { router: usize, loss: Loss },
    Report(usize),
    Deliver { router: usize, notice: Notice },
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

fn simulate(plan: &Plan) -> Outcome {
    let mut quarantine = Quarantine::default();
    quarantine.set_routers(plan.routers);
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
                self.arrive([COMMON, document].into_iter().collect(), false);
                let pause = self.pause(self.plan.sound_per_s);
                self.push(self.now + pause, Event::SoundArrival);
            }
            Event::BadArrival => {
                self.arrive([COMMON, BAD].into_iter().collect(), true);
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
            Event::Restart(engine) => self.engines[engine].1 = true,
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
                let reports = notice::take_reports(&mut self.routers[router].unreported, self.now);
                self.send(router, Notice::Lost(reports));
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

    fn arrive(&mut self, parts: Parts, is_bad: bool) {
        let router = self.random.gen_range(0..self.routers.len());
        let is_denied = self.routers[router].quarantine.denied_parts(&parts, self.now).is_some();
        let outcome = &mut self.outcome;
        match is_bad {
            true => outcome.bad_denied += u32::from(is_denied),
            false => {
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
        self.runs.insert(number, OpenRun { router, engine, parts, dispatched: self.now });
        if is_bad {
            self.outcome.bad_dispatches.push(self.now);
            let starts = self.engines[engine].0;
            self.push(self.now + CRASH_MS, Event::Crash { engine, starts, is_bad: true });
        } else {
            self.push(self.now + RUN_MS, Event::Complete(number));
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
        self.push(self.now + DOWNTIME_MS, Event::Restart(engine));
        let lost: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.engine == engine).map(|(number, _)| *number).collect();
        for number in lost {
            let OpenRun { router, parts, dispatched, .. } = self.runs.remove(&number).expect("a run");
            let run = Run { request: number, parts };
            let (upstream, at) = (upstream.clone(), self.now);
            let loss = Loss { upstream, started: None, run, dispatched, at, is_firsthand: true };
            self.push(self.now + PROBE_MS, Event::Proof { router, loss });
        }
    }

    fn complete(&mut self, number: u64) {
        let Some(run) = self.runs.remove(&number) else { return };
        let notice = self.routers[run.router].quarantine.record_prompt_survival(&run.parts, self.now);
        if let Some(notice) = notice {
            self.send(run.router, notice);
        }
    }

    fn follow_up(&mut self, router: usize, follow_up: FollowUp) {
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

fn check(plan: &Plan) {
    let outcome = simulate(plan);
    println!("{}", row(plan, &outcome));
    assert!(outcome.late_requests() <= MAX_LATE_REQUESTS, "{plan:?}: {} late", outcome.late_requests());
    assert!(outcome.denied_everywhere.is_some(), "{plan:?}: some routers do not deny it");
    assert_eq!(outcome.sound_denied, 0, "{plan:?}: of {}", outcome.sound);
    let bytes = outcome.received_bytes_per_s(plan.routers);
    assert!(bytes <= MAX_NOTICE_BYTES_PER_S, "{plan:?}: each router receives {bytes} bytes per second");
}

fn row(plan: &Plan, outcome: &Outcome) -> String {
    let third = outcome.bad_crashes.get(2).copied().unwrap_or(0);
    format!(
        "| {} | {} | {} | {} | {:?} | {} of {} | {:.0} |",
        plan.routers,
        plan.engines,
        outcome.bad_crashes.len(),
        outcome.late_requests(),
        outcome.denied_everywhere.map(|at| at - third),
        outcome.sound_denied,
        outcome.sound,
        outcome.received_bytes_per_s(plan.routers),
    )
}

#[test]
fn a_part_that_crashes_engines_is_denied_in_fleets_of_every_size_and_sound_prompts_are_not() {
    for (routers, seeds) in
        [(1, 0..6), (3, 0..6), (6, 0..6), (22, 0..4), (75, 0..3), (295, 0..2), (1_400, 0..1)]
    {
        for seed in seeds {
            check(&Plan::new(routers, seed));
        }
    }
}

#[test]
fn engines_that_crash_by_themselves_incriminate_no_part() {
    for (routers, seeds) in [(3, 0..10), (6, 0..10), (22, 0..4), (75, 0..2)] {
        for seed in seeds {
            let plan = Plan { bad_per_s: 0.0, crashes_per_s: 2.0, ..Plan::new(routers, seed) };
            let outcome = simulate(&plan);
            assert_eq!(outcome.sound_denied, 0, "{plan:?}: of {}", outcome.sound);
        }
    }
}

#[test]
fn engines_that_crash_together_again_and_again_incriminate_no_part() {
    for (routers, share, seeds) in [(6, 0.18, 0..20), (6, 0.5, 0..10), (22, 0.3, 0..6), (75, 0.3, 0..2)] {
        for seed in seeds {
            // Some of the engines crash a little later than the others.
            let mass_crashes = (0..10).flat_map(|wave| {
                let at = 2_000 + 1_300 * wave;
                [(at, share), (at + 30, share + 0.1), (at + 250 * (wave % 2), share + 0.15)]
            });
            let plan =
                Plan { bad_per_s: 0.0, mass_crashes: mass_crashes.collect(), ..Plan::new(routers, seed) };
            let outcome = simulate(&plan);
            assert_eq!(outcome.sound_denied, 0, "{plan:?}: of {}", outcome.sound);
        }
    }
}

#[test]
#[ignore = "run manually for the figures of the design page"]
fn figures() {
    println!(
        "| routers | engines | crashes under the part | requests too late | ms until all deny it | sound denied | bytes/s heard |"
    );
    for routers in [3, 6, 22, 75, 295, 1_400] {
        let plan = Plan::new(routers, 1);
        println!("{}", row(&plan, &simulate(&plan)));
    }
}
