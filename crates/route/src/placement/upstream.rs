//! One upstream and one service as a router knows them.

use super::{DispatchId, DispatchTotals, Placement, PromptPart, STRETCH, UpstreamInfo};
use crate::Millis;
use crate::division::{Division, Load};
use crate::engine::{Model, Pace};
use crate::harm::Harm;
use crate::health::{Health, HealthStatus};
use crate::read_queue::ReadQueue;
use crate::warmup::Warming;
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// Cost of an upstream in another data centre, in milliseconds of estimated time: traffic between them is paid for.
const DISTANCE_COST: f64 = 15.0;
/// Cost of failing every request, in milliseconds.
const FAILURE_COST: f64 = 1_500.0;
/// Cost of a request that waits unusually long for its first answer, in milliseconds.
const OVERDUE_COST: f64 = 400.0;
/// Prompt parts remembered for each engine.
const PARTS: usize = 2_048;
/// How long a part is thought to stay cached without use, in milliseconds.
const PART_AGE: Millis = 60_000;
/// The weight of a new sample in the average time that a run takes.
const RUN_SAMPLE: f64 = 0.05;

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) site: UpstreamInfo,
    /// The first dispatch since it is known: those before went to an earlier one of its name.
    pub(super) first: DispatchId,
    pub(super) leaving: bool,
    pub(super) open: u32,
    pub(super) overdue: u32,
    pub(super) reads: ReadQueue,
    /// When others' runs should end, in milliseconds.
    pub(super) heard: VecDeque<f64>,
    pub(super) pace: Pace,
    pub(super) failures: f64,
    pub(super) call_ms: f64,
    pub(super) health: Health,
    pub(super) parts: HashMap<u64, Millis>,
    pub(super) order: VecDeque<u64>,
    pub(super) warming: Warming,
}

/// A dispatch whose first answer is awaited.
#[derive(Clone, Copy, Debug)]
pub(super) struct Awaited {
    pub(super) sent: Millis,
    pub(super) unread: u32,
    pub(super) events_ms: f64,
    /// Whether nothing else was known to be read before it.
    pub(super) is_alone: bool,
}

/// A dispatch whose first answer came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) since: Millis,
    /// How long its events would take while nothing is read, in milliseconds.
    pub(super) events_ms: f64,
}

/// What is known of the engines of one service together.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    pub(super) model: Model,
    pub(super) load: Load,
    pub(super) harm: Harm,
    pub(super) division: Division,
    /// How long runs take from the first answer on, on average, in milliseconds; 0 until one ended.
    pub(super) run_ms: f64,
    /// How many times longer that is than their events would take while nothing is read; 0 until one ended.
    pub(super) stretch: f64,
    /// Long pauses that the other routers were not told of.
    pub(super) untold: SmallVec<[u16; 4]>,
    /// Dispatches that they were not told of.
    pub(super) sent: DispatchTotals,
    /// The usual pace of its engines, in milliseconds, and when that was found.
    pub(super) usual: Option<(f64, Millis)>,
}

impl Service {
    /// Counts a short stream that begins beside long reads.
    pub(super) fn begin_short(&mut self, upstream: &str, now: Millis) {
        if !self.division.is_short(upstream) {
            self.harm.begin(1, now);
        }
    }

    /// Counts a dispatch in the load, and for the other routers until they are told.
    pub(super) fn send(&mut self, chosen: &Placement, now: Millis) {
        let Placement { uncached: unread, is_long, .. } = *chosen;
        self.load.add(is_long, unread, now);
        let sum = if is_long { &mut self.sent.long } else { &mut self.sent.short };
        *sum = sum.saturating_add(unread);
        if !is_long && !self.division.is_short(&chosen.upstream) {
            self.sent.streams = self.sent.streams.saturating_add(1);
        }
    }

    /// Takes in how long a run took from its first answer on.
    pub(super) fn end_run(&mut self, running: Running, now: Millis) {
        let ms = now.saturating_sub(running.since) as f64;
        let sample = if self.run_ms == 0.0 { 1.0 } else { RUN_SAMPLE };
        self.run_ms += sample * (ms - self.run_ms);
        if running.events_ms > 0.0 {
            self.stretch += sample * ((ms / running.events_ms).clamp(STRETCH.0, STRETCH.1) - self.stretch);
        }
    }
}

impl Upstream {
    pub(super) fn is_fit(&self, now: Millis) -> bool {
        match self.health.status(now) {
            HealthStatus::Ejected => false,
            HealthStatus::Probation(most) => self.open < most,
            HealthStatus::Healthy => true,
        }
    }

    /// What speaks against it whatever the request is, in milliseconds, for a router in `data_centre`.
    pub(super) fn penalty(&self, data_centre: &str, now: Millis) -> f64 {
        let distance = if self.site.data_centre == data_centre { 0.0 } else { DISTANCE_COST };
        let failures = self.failures + f64::from(self.health.recent_failures(now));
        distance + FAILURE_COST * failures + OVERDUE_COST * f64::from(self.overdue)
    }

    /// Runs that it has, this router's and others'.
    pub(super) fn runs(&self, now: Millis) -> u32 {
        let heard = self.heard.iter().filter(|until| **until > now as f64).count();
        self.open + u32::try_from(heard).unwrap_or(u32::MAX)
    }

    /// Prompt tokens that are not cached here: a part counts as cached only if every part before it does.
    pub(super) fn uncached(&self, parts: &[PromptPart], is_home: bool, now: Millis) -> u32 {
        let shared = parts.len().saturating_sub(1);
        let cached = |index: usize, part: &PromptPart| {
            let known = self.parts.get(&part.id).is_some_and(|used| now.saturating_sub(*used) < PART_AGE);
            known || (is_home && index < shared)
        };
        let first = parts.iter().enumerate().position(|(index, part)| !cached(index, part));
        parts[first.unwrap_or(parts.len())..].iter().map(|part| part.tokens).sum()
    }

    pub(super) fn remember(&mut self, part: u64, now: Millis) {
        if self.parts.insert(part, now).is_none() {
            self.order.push_back(part);
            if self.order.len() > PARTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.parts.remove(&oldest);
            }
        }
    }
}
