//! Requests that end their engines, engines that end by themselves, and what routers make of both.

use crate::engine::Engine;
use crate::outcome::Deadly;
use rand::Rng;
use rand::rngs::SmallRng;
use route::Millis;
use route::notice::{FollowUp, Notice, NoticeLimiter, Recipients, coordinators};
use route::quarantine::{DECISION_DELAY_MS, DENIAL_THRESHOLD, Fingerprint, Quarantine, Stage, Verdict};

/// The request that ends its engines.
const DEADLY: u64 = u64::MAX;
/// How long an engine is down, in milliseconds.
pub(crate) const DOWN_MS: f64 = 3_000.0;
/// From a dispatch until the engine ends that begins to run it, in milliseconds.
pub(crate) const BEGINS_MS: f64 = 60.0;
/// Messages between routers that are lost.
const LOSS: f64 = 0.03;
/// When each word is sent, in milliseconds after the first time.
const SENDS_MS: [f64; 3] = [0.0, 50.0, 750.0];
/// The time within which all routers know what one knows, in milliseconds.
const CONTACT_MS: f64 = 3_000.0;

/// What a router is to take in later.
pub(crate) struct Message {
    pub(crate) at: f64,
    pub(crate) router: usize,
    /// Another one's word; `None` if its own time to decide has come.
    pub(crate) word: Option<Notice>,
}

/// What the routers know, and what came of it.
pub(crate) struct Watch {
    quarantines: Vec<Quarantine>,
    bounds: Vec<NoticeLimiter>,
    names: Vec<String>,
    /// How often each engine ended: another life of it has another name.
    lives: Vec<u32>,
    /// When the third engine ended.
    third: Option<f64>,
    pub(crate) outcome: Deadly,
}

fn fingerprint(number: u64) -> Fingerprint {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
    digest[8..].copy_from_slice(&number.to_be_bytes());
    Fingerprint::new(digest)
}

impl Watch {
    pub(crate) fn new(routers: usize, engines: usize) -> Watch {
        Watch {
            quarantines: vec![Quarantine::default(); routers],
            bounds: vec![NoticeLimiter::default(); routers],
            names: (0..routers).map(|router| format!("router-{router}")).collect(),
            lives: vec![0; engines],
            third: None,
            outcome: Deadly::default(),
        }
    }

    /// Whether a router lets a deadly request run.
    pub(crate) fn admits_deadly(&mut self, router: usize, now: f64) -> bool {
        self.outcome.came += 1;
        let verdict = self.quarantines[router].verdict(fingerprint(DEADLY), now as Millis);
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
        self.outcome.innocent += u64::from(is_denied);
        !is_denied
    }

    /// Takes in that an engine outlived a request.
    pub(crate) fn outlived(
        &mut self,
        router: usize,
        number: u64,
        now: f64,
        random: &mut SmallRng,
    ) -> Vec<Message> {
        let mut messages = vec![];
        if self.quarantines[router].is_empty() {
            return messages;
        }
        if let Some(word) = self.quarantines[router].record_survival(fingerprint(number)) {
            self.tell(router, &word, now, random, &mut messages);
        }
        messages
    }

    /// Ends an engine under the deadly request of a router, or by itself, with the runs of others there: their routers, numbers and the
    /// time since their first answers. What the routers say then.
    pub(crate) fn end(
        &mut self,
        engine: usize,
        of: Option<usize>,
        beside: &[(usize, u64, Option<Millis>)],
        now: f64,
        random: &mut SmallRng,
    ) -> Vec<Message> {
        let upstream = format!("engine-{engine}.{}", self.lives[engine]);
        self.lives[engine] += 1;
        if of.is_some() {
            self.outcome.ended += 1;
            if self.outcome.ended == DENIAL_THRESHOLD as u64 {
                self.third = Some(now);
            }
            let is_late = self.third.is_some_and(|third| now > third + CONTACT_MS);
            self.outcome.ended_late += u64::from(is_late);
        }
        let mut messages = vec![];
        let deadly = of.map(|router| (router, DEADLY, None));
        for (router, number, begun_ms) in deadly.into_iter().chain(beside.iter().copied()) {
            let Some(stage) = Stage::of(begun_ms) else { continue };
            let now_ms = now as Millis;
            let reaction =
                self.quarantines[router].observe_crash(fingerprint(number), &upstream, stage, now_ms);
            self.react(router, reaction, now, random, &mut messages);
        }
        messages
    }

    /// Takes in what another router said.
    pub(crate) fn hear(
        &mut self,
        router: usize,
        word: &Notice,
        now: f64,
        random: &mut SmallRng,
    ) -> Vec<Message> {
        self.outcome.words += 1;
        let reaction = self.quarantines[router].apply(word, now as Millis);
        let mut messages = vec![];
        self.react(router, reaction, now, random, &mut messages);
        self.look(now);
        messages
    }

    /// Decides on suspects whose time has come.
    pub(crate) fn decide(&mut self, router: usize, now: f64, random: &mut SmallRng) -> Vec<Message> {
        let mut messages = vec![];
        for denied in self.quarantines[router].decide(now as Millis) {
            self.outcome.innocent += u64::from(denied != fingerprint(DEADLY));
            if !self.quarantines[router].is_firsthand(denied) {
                continue;
            }
            let upstreams = self.quarantines[router].denied_upstreams(denied).unwrap_or_default();
            let lasts_ms = route::quarantine::DENIAL_DURATION_MS;
            let word = Notice::Denied { fingerprint: denied, upstreams, lasts_ms };
            self.tell(router, &word, now, random, &mut messages);
        }
        self.look(now);
        messages
    }

    /// Takes down when all routers deny the deadly request.
    fn look(&mut self, now: f64) {
        let Some(third) = self.third.filter(|_| self.outcome.known_ms == 0.0) else { return };
        let is_denied = |quarantine: &Quarantine| {
            quarantine.verdict(fingerprint(DEADLY), now as Millis) == Verdict::Denied
        };
        if self.quarantines.iter().all(is_denied) {
            self.outcome.known_ms = now - third;
        }
    }

    fn react(
        &mut self,
        router: usize,
        reaction: FollowUp,
        now: f64,
        random: &mut SmallRng,
        messages: &mut Vec<Message>,
    ) {
        if let Some(word) = &reaction.notice {
            self.tell(router, word, now, random, messages);
        }
        if reaction.is_decision_due {
            messages.push(Message { at: now + DECISION_DELAY_MS as f64 + 1.0, router, word: None });
        }
    }

    fn tell(
        &mut self,
        from: usize,
        word: &Notice,
        now: f64,
        random: &mut SmallRng,
        messages: &mut Vec<Message>,
    ) {
        let routers = self.names.len();
        let others = (0..routers).filter(|router| *router != from);
        let chosen: Vec<usize> = match self.bounds[from].recipients(word, routers, now as Millis) {
            Recipients::All => others.collect(),
            Recipients::Coordinators(request) => {
                coordinators(request, others.map(|router| (router, self.names[router].as_str())))
            }
        };
        for router in chosen {
            for pause in SENDS_MS {
                if !random.gen_bool(LOSS) {
                    messages.push(Message { at: now + pause + 1.0, router, word: Some(word.clone()) });
                }
            }
        }
    }
}

/// The runs that an engine loses when it ends, with whether it was up.
pub(crate) fn crash(engine: &mut Engine) -> Vec<usize> {
    engine.is_dead = true;
    engine.crash()
}
