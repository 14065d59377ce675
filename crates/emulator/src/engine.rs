//! A model of a continuously batching engine: steps that make one token for each run and read a piece of a prompt,
//! a cache of prompt parts that gives way by age, and preemption when its memory is full.

use std::collections::{HashMap, VecDeque};

/// What an engine is built of.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Runs in a batch.
    pub slots: usize,
    /// Requests that may wait beside them.
    pub queue: usize,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that each run adds to a step.
    pub run_ms: f64,
    /// Milliseconds that each thousand tokens of the runs' memory add to a step.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_rate: f64,
    /// Milliseconds for a million pairs of a token that is read and one before it.
    pub pairs_ms: f64,
    /// Prompt tokens read in one step at most.
    pub chunk: u64,
    /// Milliseconds between the end of reading and the first event.
    pub first_ms: f64,
    /// Tokens in an event.
    pub stride: u64,
    /// Tokens that fit into memory.
    pub memory: u64,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Its identity.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A request as an engine gets it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's number of it.
    pub id: usize,
    /// Its rank, 0 first.
    pub rank: u32,
    /// The parts of its prompt.
    pub parts: Vec<Part>,
    /// Tokens that come out.
    pub output: u64,
}

#[derive(Clone, Debug)]
struct Run {
    job: Job,
    input: u64,
    /// Prompt tokens in memory so far.
    read: u64,
    made: u64,
    /// When its first event may come, in milliseconds.
    ready: f64,
    /// Whether its first event came.
    has_begun: bool,
}

/// What a step brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Happened {
    /// The first event of a job.
    First(usize),
    /// A further event.
    Event(usize),
    /// The last event of a job.
    End(usize),
}

/// Counts of what an engine did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Prompt tokens read.
    pub read: u64,
    /// Runs that lost their memory to others.
    pub preempted: u64,
}

/// A part in the cache.
#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u64,
    used: f64,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: Spec,
    /// How many times slower than its specification it is.
    pub slow: f64,
    /// Whether it answers nothing.
    pub is_dead: bool,
    runs: Vec<Run>,
    waiting: VecDeque<Job>,
    cache: HashMap<u64, Kept>,
    counts: Counts,
    /// The step that is under way: its number, and tokens that it reads by run.
    step: u64,
    is_stepping: bool,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: Spec, slow: f64) -> Engine {
        Engine {
            spec,
            slow,
            is_dead: false,
            runs: vec![],
            waiting: VecDeque::new(),
            cache: HashMap::new(),
            counts: Counts::default(),
            step: 0,
            is_stepping: false,
        }
    }

    /// What it read.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Jobs that run.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Takes a job; `false` if it is full.
    pub fn accept(&mut self, job: Job, now: f64) -> bool {
        if self.runs.len() < self.spec.slots {
            self.start(job, now);
            return true;
        }
        if self.waiting.len() >= self.spec.queue {
            return false;
        }
        let place = self.waiting.iter().position(|other| other.rank > job.rank).unwrap_or(self.waiting.len());
        self.waiting.insert(place, job);
        true
    }

    /// Ends a job whose caller left.
    pub fn cancel(&mut self, id: usize) {
        self.runs.retain(|run| run.job.id != id);
        self.waiting.retain(|job| job.id != id);
    }

    /// Loses all that it has; the ids of the jobs.
    pub fn crash(&mut self) -> Vec<usize> {
        let lost = self.runs.drain(..).map(|run| run.job.id).chain(self.waiting.drain(..).map(|job| job.id));
        let lost = lost.collect();
        self.cache.clear();
        self.is_stepping = false;
        self.step += 1;
        lost
    }

    /// Begins a step, if there is work and none is under way: its number and its end in milliseconds.
    pub fn begin(&mut self, now: f64) -> Option<(u64, f64)> {
        if self.is_stepping || self.is_dead || self.runs.is_empty() {
            return None;
        }
        self.is_stepping = true;
        self.step += 1;
        let read = self.plan();
        let pairs: f64 = read
            .iter()
            .map(|(index, tokens)| *tokens as f64 * (self.runs[*index].read as f64 + *tokens as f64 / 2.0))
            .sum();
        let tokens: u64 = read.iter().map(|(_, tokens)| tokens).sum();
        let context: u64 = self.runs.iter().map(|run| run.read + run.made).sum();
        let spec = &self.spec;
        let ms = spec.step_ms
            + spec.run_ms * self.runs.len() as f64
            + spec.context_ms * context as f64 / 1e3
            + tokens as f64 / spec.read_rate
            + spec.pairs_ms * pairs / 1e6;
        Some((self.step, now + ms * self.slow))
    }

    /// The prompt tokens that the next step reads, by run: prompts are read in the order in which they came.
    fn plan(&self) -> Vec<(usize, u64)> {
        let mut left = self.spec.chunk;
        let mut plan = vec![];
        for (index, run) in self.runs.iter().enumerate() {
            let tokens = (run.input - run.read).min(left);
            if tokens > 0 {
                plan.push((index, tokens));
                left -= tokens;
            }
        }
        plan
    }

    /// Ends a step; what it brought.
    pub fn end(&mut self, step: u64, now: f64) -> Vec<Happened> {
        if step != self.step || !self.is_stepping {
            return vec![];
        }
        self.is_stepping = false;
        let was_reading: Vec<bool> = self.runs.iter().map(|run| run.read < run.input).collect();
        for (index, tokens) in self.plan() {
            let run = &mut self.runs[index];
            run.read += tokens;
            self.counts.read += tokens;
            if run.read == run.input {
                run.ready = now + self.spec.first_ms;
            }
        }
        let mut happened = vec![];
        for (run, was_reading) in self.runs.iter_mut().zip(was_reading) {
            if !was_reading {
                happened.extend(advance(run, self.spec.stride, now));
            }
        }
        let ended: Vec<usize> = happened
            .iter()
            .filter_map(|happened| if let Happened::End(id) = happened { Some(*id) } else { None })
            .collect();
        for id in ended {
            self.finish(id, now);
        }
        self.make_room();
        while self.runs.len() < self.spec.slots
            && let Some(job) = self.waiting.pop_front()
        {
            self.start(job, now);
        }
        happened
    }

    fn start(&mut self, job: Job, now: f64) {
        let input = job.parts.iter().map(|part| part.tokens).sum();
        let cached = self.cached(&job.parts, now);
        // At least one token is read, so that there is a first answer.
        let read = cached.min(input - 1);
        self.runs.push(Run { job, input, read, made: 0, ready: f64::INFINITY, has_begun: false });
    }

    /// The parts of a prompt that would have to be read.
    pub fn unread<'a>(&self, parts: &'a [Part]) -> &'a [Part] {
        let kept = parts.iter().take_while(|part| self.cache.contains_key(&part.id)).count();
        &parts[kept..]
    }

    /// Prompt tokens that are kept: a part counts only if all parts before it are kept.
    fn cached(&mut self, parts: &[Part], now: f64) -> u64 {
        let mut tokens = 0;
        for part in parts {
            let Some(kept) = self.cache.get_mut(&part.id) else { break };
            kept.used = now;
            tokens += part.tokens;
        }
        tokens
    }

    fn finish(&mut self, id: usize, now: f64) {
        let Some(index) = self.runs.iter().position(|run| run.job.id == id) else { return };
        let run = self.runs.remove(index);
        for part in &run.job.parts {
            self.cache.insert(part.id, Kept { tokens: part.tokens, used: now });
        }
    }

    /// Drops the parts that were unused the longest, then preempts, until all fits.
    fn make_room(&mut self) {
        let running: u64 = self.runs.iter().map(|run| run.read + run.made).sum();
        let mut kept: u64 = self.cache.values().map(|kept| kept.tokens).sum();
        while running + kept > self.spec.memory && kept > 0 {
            let oldest = self.cache.iter().min_by(|left, right| left.1.used.total_cmp(&right.1.used));
            let Some(id) = oldest.map(|(id, _)| *id) else { break };
            kept -= self.cache.remove(&id).map_or(0, |kept| kept.tokens);
        }
        let mut running = running;
        while running > self.spec.memory && self.runs.len() > 1 {
            let newest = self.runs.iter().enumerate().max_by_key(|(index, run)| (run.job.rank, *index));
            let Some((index, _)) = newest else { break };
            let run = self.runs.remove(index);
            running -= run.read + run.made;
            self.counts.preempted += 1;
            self.waiting.push_front(run.job);
        }
    }
}

/// Makes a token, unless the first one is not ready.
fn advance(run: &mut Run, stride: u64, now: f64) -> Option<Happened> {
    if now < run.ready {
        return None;
    }
    run.made += 1;
    if run.made >= run.job.output {
        return Some(Happened::End(run.job.id));
    }
    if !run.has_begun {
        run.has_begun = true;
        return Some(Happened::First(run.job.id));
    }
    run.made.is_multiple_of(stride).then_some(Happened::Event(run.job.id))
}
