//! A model of an engine with continuous batching. Each step generates one token for each run and reads a
//! chunk of the waiting prompts. Prompt parts are cached and evicted in LRU order, and runs are preempted
//! when the memory is full.

use std::collections::{HashMap, VecDeque};

/// The size and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The largest number of runs in a batch.
    pub slots: usize,
    /// The largest number of requests that wait for a slot.
    pub queue_capacity: usize,
    /// The fixed duration of a step, in milliseconds.
    pub base_step_ms: f64,
    /// The time that each run adds to a step, in milliseconds.
    pub step_ms_per_run: f64,
    /// The time that each thousand tokens of context, over all runs, add to a step, in milliseconds.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read per millisecond.
    pub read_tokens_per_ms: f64,
    /// The time that attention adds while a prompt is read, in milliseconds per million pairs of a token that
    /// is read and one before it.
    pub step_ms_per_m_pairs: f64,
    /// The most prompt tokens read in one step.
    pub max_read_tokens: u64,
    /// The time between the end of reading and the first event, in milliseconds.
    pub first_event_delay_ms: f64,
    /// The number of tokens in an event.
    pub tokens_per_event: u64,
    /// The number of tokens that fit into memory.
    pub memory_tokens: u64,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The identity of the part.
    pub id: u64,
    /// The length of the part, in tokens.
    pub tokens: u64,
}

/// A request as an engine receives it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's identifier of the request.
    pub id: usize,
    /// The priority; the lowest number is served first.
    pub priority: u32,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The number of tokens to generate.
    pub output_tokens: u64,
}

#[derive(Clone, Debug)]
struct Run {
    job: Job,
    input_tokens: u64,
    /// The number of prompt tokens in memory.
    read_tokens: u64,
    generated: u64,
    /// The earliest time of the first event, in milliseconds; infinite until the prompt is read.
    first_event_at: f64,
    /// Whether the first event has been sent.
    has_begun: bool,
}

/// An event of a job at the end of a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StepEvent {
    /// The first event of a job.
    First(usize),
    /// An event between the first and the last one.
    Next(usize),
    /// The last event of a job.
    Last(usize),
}

/// Totals of an engine's work.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineCounters {
    /// The number of prompt tokens read.
    pub read_tokens: u64,
    /// The number of runs preempted to free memory.
    pub preemptions: u64,
}

/// A cached prompt part.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    last_used: f64,
}

/// An engine and its state.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: EngineSpec,
    /// The factor by which the engine is slower than its specification.
    pub slowdown: f64,
    /// Whether the engine is down, so that no step begins.
    pub is_down: bool,
    runs: Vec<Run>,
    waiting: VecDeque<Job>,
    cache: HashMap<u64, CachedPart>,
    counters: EngineCounters,
    /// The number of the current step. A crash increments it too, so that the end of a step that began before
    /// the crash is ignored.
    step: u64,
    is_stepping: bool,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(spec: EngineSpec, slowdown: f64) -> Engine {
        Engine {
            spec,
            slowdown,
            is_down: false,
            runs: vec![],
            waiting: VecDeque::new(),
            cache: HashMap::new(),
            counters: EngineCounters::default(),
            step: 0,
            is_stepping: false,
        }
    }

    /// The totals of the work so far.
    pub fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// The number of jobs in the batch.
    pub fn running_count(&self) -> usize {
        self.runs.len()
    }

    /// Runs a job, or queues it by priority if all slots are taken. Returns `false` if the queue is full.
    pub fn accept(&mut self, job: Job, now: f64) -> bool {
        if self.runs.len() < self.spec.slots {
            self.start(job, now);
            return true;
        }
        if self.waiting.len() >= self.spec.queue_capacity {
            return false;
        }
        let position =
            self.waiting.iter().position(|other| other.priority > job.priority).unwrap_or(self.waiting.len());
        self.waiting.insert(position, job);
        true
    }

    /// Removes a job whose caller disconnected.
    pub fn cancel(&mut self, id: usize) {
        self.runs.retain(|run| run.job.id != id);
        self.waiting.retain(|job| job.id != id);
    }

    /// Drops all jobs and the cache. Returns the identifiers of the jobs.
    pub fn crash(&mut self) -> Vec<usize> {
        let lost = self.runs.drain(..).map(|run| run.job.id).chain(self.waiting.drain(..).map(|job| job.id));
        let lost = lost.collect();
        self.cache.clear();
        self.is_stepping = false;
        self.step += 1;
        lost
    }

    /// Begins a step if there is work and none is in progress. Returns the number of the step, and the time
    /// at which it ends, in milliseconds.
    pub fn begin_step(&mut self, now: f64) -> Option<(u64, f64)> {
        if self.is_stepping || self.is_down || self.runs.is_empty() {
            return None;
        }
        self.is_stepping = true;
        self.step += 1;
        let reads = self.plan_reads();
        let pairs: f64 = reads
            .iter()
            .map(|(index, tokens)| {
                *tokens as f64 * (self.runs[*index].read_tokens as f64 + *tokens as f64 / 2.0)
            })
            .sum();
        let tokens: u64 = reads.iter().map(|(_, tokens)| tokens).sum();
        let context: u64 = self.runs.iter().map(|run| run.read_tokens + run.generated).sum();
        let spec = &self.spec;
        let ms = spec.base_step_ms
            + spec.step_ms_per_run * self.runs.len() as f64
            + spec.step_ms_per_1k_context * context as f64 / 1e3
            + tokens as f64 / spec.read_tokens_per_ms
            + spec.step_ms_per_m_pairs * pairs / 1e6;
        Some((self.step, now + ms * self.slowdown))
    }

    /// The prompt tokens to read in a step, by index of the run. Prompts are read in the order in which their
    /// runs started.
    fn plan_reads(&self) -> Vec<(usize, u64)> {
        let mut remaining = self.spec.max_read_tokens;
        let mut plan = vec![];
        for (index, run) in self.runs.iter().enumerate() {
            let tokens = (run.input_tokens - run.read_tokens).min(remaining);
            if tokens > 0 {
                plan.push((index, tokens));
                remaining -= tokens;
            }
        }
        plan
    }

    /// Ends a step and returns the events that it generated.
    pub fn end_step(&mut self, step: u64, now: f64) -> Vec<StepEvent> {
        if step != self.step || !self.is_stepping {
            return vec![];
        }
        self.is_stepping = false;
        let was_reading: Vec<bool> = self.runs.iter().map(|run| run.read_tokens < run.input_tokens).collect();
        for (index, tokens) in self.plan_reads() {
            let run = &mut self.runs[index];
            run.read_tokens += tokens;
            self.counters.read_tokens += tokens;
            if run.read_tokens == run.input_tokens {
                run.first_event_at = now + self.spec.first_event_delay_ms;
            }
        }
        let mut events = vec![];
        for (run, was_reading) in self.runs.iter_mut().zip(was_reading) {
            if !was_reading {
                events.extend(advance(run, self.spec.tokens_per_event, now));
            }
        }
        let completed: Vec<usize> = events
            .iter()
            .filter_map(|event| if let StepEvent::Last(id) = event { Some(*id) } else { None })
            .collect();
        for id in completed {
            self.complete(id, now);
        }
        self.free_memory();
        while self.runs.len() < self.spec.slots
            && let Some(job) = self.waiting.pop_front()
        {
            self.start(job, now);
        }
        events
    }

    fn start(&mut self, job: Job, now: f64) {
        let input_tokens = job.parts.iter().map(|part| part.tokens).sum();
        let cached = self.touch_cached(&job.parts, now);
        // At least one token has to be read to generate the first output token.
        let read_tokens = cached.min(input_tokens - 1);
        self.runs.push(Run {
            job,
            input_tokens,
            read_tokens,
            generated: 0,
            first_event_at: f64::INFINITY,
            has_begun: false,
        });
    }

    /// The parts of a prompt after its longest cached prefix.
    pub fn uncached_parts<'a>(&self, parts: &'a [Part]) -> &'a [Part] {
        let cached = parts.iter().take_while(|part| self.cache.contains_key(&part.id)).count();
        &parts[cached..]
    }

    /// Marks the longest cached prefix of a prompt as used and returns its length in tokens. A part that
    /// follows an uncached one does not count.
    fn touch_cached(&mut self, parts: &[Part], now: f64) -> u64 {
        let mut tokens = 0;
        for part in parts {
            let Some(cached) = self.cache.get_mut(&part.id) else { break };
            cached.last_used = now;
            tokens += part.tokens;
        }
        tokens
    }

    fn complete(&mut self, id: usize, now: f64) {
        let Some(index) = self.runs.iter().position(|run| run.job.id == id) else { return };
        let run = self.runs.remove(index);
        for part in &run.job.parts {
            self.cache.insert(part.id, CachedPart { tokens: part.tokens, last_used: now });
        }
    }

    /// Evicts the least recently used parts, then preempts the runs with the lowest priority, the newest ones
    /// first, until the rest fits into memory.
    fn free_memory(&mut self) {
        let running: u64 = self.runs.iter().map(|run| run.read_tokens + run.generated).sum();
        let mut cached: u64 = self.cache.values().map(|cached| cached.tokens).sum();
        while running + cached > self.spec.memory_tokens && cached > 0 {
            let oldest =
                self.cache.iter().min_by(|left, right| left.1.last_used.total_cmp(&right.1.last_used));
            let Some(id) = oldest.map(|(id, _)| *id) else { break };
            cached -= self.cache.remove(&id).map_or(0, |cached| cached.tokens);
        }
        let mut running = running;
        while running > self.spec.memory_tokens && self.runs.len() > 1 {
            let newest = self.runs.iter().enumerate().max_by_key(|(index, run)| (run.job.priority, *index));
            let Some((index, _)) = newest else { break };
            let run = self.runs.remove(index);
            running -= run.read_tokens + run.generated;
            self.counters.preemptions += 1;
            self.waiting.push_front(run.job);
        }
    }
}

/// Generates a token, unless the first event is not due yet. Returns the event that the token completes, if
/// any.
fn advance(run: &mut Run, tokens_per_event: u64, now: f64) -> Option<StepEvent> {
    if now < run.first_event_at {
        return None;
    }
    run.generated += 1;
    if run.generated >= run.job.output_tokens {
        return Some(StepEvent::Last(run.job.id));
    }
    if !run.has_begun {
        run.has_begun = true;
        return Some(StepEvent::First(run.job.id));
    }
    run.generated.is_multiple_of(tokens_per_event).then_some(StepEvent::Next(run.job.id))
}
