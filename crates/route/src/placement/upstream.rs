//! The state of one upstream and of one service, as a router knows them.

use super::{DispatchId, DispatchTotals, Placement, PromptPart, STRETCH_RANGE, UpstreamInfo};
use crate::Millis;
use crate::division::{Division, Load};
use crate::engine::{Model, Pace};
use crate::health::{Health, HealthStatus};
use crate::interference::Interference;
use crate::read_queue::ReadQueue;
use crate::warmup::WarmupTracker;
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// The cost of an upstream in another data centre, in milliseconds of estimated time. Traffic between data
/// centres is charged for.
const DISTANCE_COST: f64 = 15.0;
/// The cost of an upstream that fails every request, in milliseconds. It is scaled by the sum of the share of
/// failures and the number of recent failures in a row.
const FAILURE_COST: f64 = 1_500.0;
/// The cost of each request that waits unusually long for its first answer, in milliseconds.
const OVERDUE_COST: f64 = 400.0;
/// The number of prompt parts remembered for each engine.
const MAX_PARTS: usize = 2_048;
/// The time for which a part is assumed to stay cached without being used, in milliseconds.
const PART_EXPIRY_MS: Millis = 60_000;
/// The weight of a new sample in the average duration of a run.
const RUN_TIME_WEIGHT: f64 = 0.05;

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) info: UpstreamInfo,
    /// The first dispatch to this upstream. Dispatches with lower numbers went to an earlier upstream of the
    /// same name.
    pub(super) first_dispatch: DispatchId,
    pub(super) leaving: bool,
    pub(super) open: u32,
    pub(super) overdue: u32,
    pub(super) reads: ReadQueue,
    /// The times at which the runs of other routers are expected to end, in milliseconds.
    pub(super) reported_runs: VecDeque<f64>,
    pub(super) pace: Pace,
    pub(super) failures: f64,
    pub(super) call_ms: f64,
    pub(super) health: Health,
    pub(super) parts: HashMap<u64, Millis>,
    pub(super) part_order: VecDeque<u64>,
    pub(super) warmup: WarmupTracker,
}

/// A dispatch that waits for its first answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AwaitingDispatch {
    pub(super) sent: Millis,
    pub(super) unread: u32,
    pub(super) events_ms: f64,
    /// Whether the engine had no other prompt to read, as far as this router knew.
    pub(super) was_idle: bool,
}

/// A dispatch whose first answer has arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningDispatch {
    pub(super) since: Millis,
    /// The expected duration of its events if the engine reads no prompt meanwhile, in milliseconds.
    pub(super) events_ms: f64,
}

/// What is known about the engines of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    pub(super) model: Model,
    pub(super) load: Load,
    pub(super) interference: Interference,
    pub(super) division: Division,
    /// The average duration of a run from its first answer on, in milliseconds; 0 until one ended.
    pub(super) run_ms: f64,
    /// The average factor by which runs take longer than their events alone, if the engine read no prompt; 0
    /// until one ended.
    pub(super) stretch: f64,
    /// Long pauses that were not reported to the other routers yet.
    pub(super) unreported_pauses: SmallVec<[u16; 4]>,
    /// The totals of the dispatches that were not reported to the other routers yet.
    pub(super) unreported_totals: DispatchTotals,
    /// The usual pace of the engines, in milliseconds, and the time at which it was computed.
    pub(super) cached_pace: Option<(f64, Millis)>,
}

impl Service {
    /// Counts a short stream that starts on an engine which also reads long prompts.
    pub(super) fn record_short_stream(&mut self, upstream: &str, now: Millis) {
        if !self.division.is_reserved(upstream) {
            self.interference.add_streams(1, now);
        }
    }

    /// Counts a dispatch in the load and in the totals that are due to be reported.
    pub(super) fn record_dispatch(&mut self, chosen: &Placement, now: Millis) {
        let Placement { uncached: unread, is_long, .. } = *chosen;
        self.load.add(is_long, unread, now);
        let sum = if is_long { &mut self.unreported_totals.long } else { &mut self.unreported_totals.short };
        *sum = sum.saturating_add(unread);
        if !is_long && !self.division.is_reserved(&chosen.upstream) {
            self.unreported_totals.streams = self.unreported_totals.streams.saturating_add(1);
        }
    }

    /// Records the duration of a run since its first answer.
    pub(super) fn record_run_end(&mut self, running: RunningDispatch, now: Millis) {
        let ms = now.saturating_sub(running.since) as f64;
        let weight = if self.run_ms == 0.0 { 1.0 } else { RUN_TIME_WEIGHT };
        self.run_ms += weight * (ms - self.run_ms);
        if running.events_ms > 0.0 {
            self.stretch +=
                weight * ((ms / running.events_ms).clamp(STRETCH_RANGE.0, STRETCH_RANGE.1) - self.stretch);
        }
    }
}

impl Upstream {
    pub(super) fn is_available(&self, now: Millis) -> bool {
        match self.health.status(now) {
            HealthStatus::Ejected => false,
            HealthStatus::Probation(most) => self.open < most,
            HealthStatus::Healthy => true,
        }
    }

    /// The cost of the upstream for any request from a router in `data_centre`, in milliseconds.
    pub(super) fn penalty(&self, data_centre: &str, now: Millis) -> f64 {
        let distance = if self.info.data_centre == data_centre { 0.0 } else { DISTANCE_COST };
        let failures = self.failures + f64::from(self.health.recent_failures(now));
        distance + FAILURE_COST * failures + OVERDUE_COST * f64::from(self.overdue)
    }

    /// The number of runs on the upstream, from this router and others.
    pub(super) fn open_runs(&self, now: Millis) -> u32 {
        let reported_runs = self.reported_runs.iter().filter(|until| **until > now as f64).count();
        self.open + u32::try_from(reported_runs).unwrap_or(u32::MAX)
    }

    /// The prompt tokens that are not cached on the upstream. A part counts as cached only if all parts
    /// before it do.
    pub(super) fn uncached_tokens(&self, parts: &[PromptPart], is_home: bool, now: Millis) -> u32 {
        let shared = parts.len().saturating_sub(1);
        let cached = |index: usize, part: &PromptPart| {
            let known =
                self.parts.get(&part.id).is_some_and(|used| now.saturating_sub(*used) < PART_EXPIRY_MS);
            known || (is_home && index < shared)
        };
        let first = parts.iter().enumerate().position(|(index, part)| !cached(index, part));
        parts[first.unwrap_or(parts.len())..].iter().map(|part| part.tokens).sum()
    }

    pub(super) fn remember_part(&mut self, part: u64, now: Millis) {
        if self.parts.insert(part, now).is_none() {
            self.part_order.push_back(part);
            if self.part_order.len() > MAX_PARTS
                && let Some(oldest) = self.part_order.pop_front()
            {
                self.parts.remove(&oldest);
            }
        }
    }
}
