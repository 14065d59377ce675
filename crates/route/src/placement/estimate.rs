//! Estimates how one upstream would serve one request.

use super::upstream::{Service, Upstream};
use super::{Prompt, STRETCH_RANGE};
use crate::Millis;
use crate::division::{Division, is_long};
use crate::engine::{self, Model};
use smallvec::SmallVec;

/// The cost of each prompt token that has to be read again, in addition to the time that it takes, in
/// milliseconds: other prompts wait for it, and it evicts parts from the cache that then have to be read
/// again themselves.
const REREAD_COST: f64 = 0.08;
/// The cost of a short prompt on an engine that reads long ones, as a share of the target: the stream may be
/// late because of the pauses there.
const SHORT_AMONG_LONG_COST: f64 = 0.125;
/// The cost of a long prompt on an engine that is reserved for short ones, as a share of the target: it makes
/// many streams late.
const LONG_AMONG_SHORT_COST: f64 = 1.0;
/// The cost of each run that an engine already has, in milliseconds. It is small and decides between engines
/// that are otherwise equal.
const RUN_COST: f64 = 1.0;
/// The cost of each call that a plain service already has, in milliseconds: about the duration of one call.
const CALL_COST: f64 = 60.0;
/// The ratio of a plain service's call time to the median above which it counts as slow. A smaller ratio can
/// be caused by load.
const SLOW_FACTOR: f64 = 1.6;

/// What the estimates for the engines of one service and one prompt have in common.
pub(super) struct EngineEstimator<'a> {
    pub(super) prompt: &'a Prompt<'a>,
    pub(super) model: &'a Model,
    pub(super) division: &'a Division,
    /// The usual pace of the service's engines.
    pub(super) median_pace: f64,
    pub(super) is_long: bool,
    /// The upstream that all gateways prefer for the prompt's last shared part.
    pub(super) home: Option<&'a str>,
    pub(super) run_ms: f64,
    pub(super) stretch: f64,
    pub(super) now: Millis,
}

/// The estimate for one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    pub(super) cost: f64,
    pub(super) uncached: u32,
    pub(super) first_ms: f64,
    pub(super) lasts_ms: f64,
    pub(super) events_ms: f64,
    pub(super) is_reserved: bool,
}

impl<'a> EngineEstimator<'a> {
    pub(super) fn new(
        prompt: &'a Prompt<'a>,
        engines: &[(&'a str, &'a Upstream)],
        home: Option<&'a str>,
        service: &'a Service,
        now: Millis,
    ) -> EngineEstimator<'a> {
        let Service { model, division, run_ms, stretch, .. } = service;
        let median_pace = engine::median_pace(engines.iter().map(|(_, engine)| engine.pace));
        let is_long = is_long(model.read_ms(prompt.input as f64), prompt.gap_ms as f64);
        let (run_ms, stretch) = (*run_ms, stretch.max(STRETCH_RANGE.0));
        EngineEstimator { prompt, model, division, median_pace, is_long, home, run_ms, stretch, now }
    }

    pub(super) fn estimate(&self, name: &str, engine: &Upstream) -> Estimate {
        let uncached = engine.uncached_tokens(self.prompt.parts, self.home == Some(name), self.now);
        let slowness = engine.pace.slowness(self.median_pace);
        let queue_ms = engine.reads.remaining_ms(self.now);
        let runs = engine.open_runs(self.now);
        let slot_ms = self.run_ms * slowness * slot_wait_runs(runs, engine.info.slots);
        let first_ms = slot_ms + queue_ms + self.model.first_ms(f64::from(uncached)) * slowness;
        let is_reserved = self.division.is_reserved(name);
        let mixing_cost = match (self.division.is_divided(), self.is_long, is_reserved) {
            (true, true, true) => LONG_AMONG_SHORT_COST * self.prompt.target_ms as f64,
            (true, false, false) => SHORT_AMONG_LONG_COST * self.prompt.target_ms as f64,
            _ => 0.0,
        };
        let cost = first_ms + mixing_cost + RUN_COST * f64::from(runs) + REREAD_COST * f64::from(uncached);
        let pace = engine.pace.event_ms().unwrap_or(self.median_pace);
        let events_ms = self.prompt.events as f64 * pace;
        let lasts_ms = first_ms + events_ms * self.stretch;
        Estimate { cost, uncached, first_ms, lasts_ms, events_ms, is_reserved }
    }
}

/// The wait for a slot on an engine with this many runs, as a multiple of the average run. The runs are
/// assumed to end one after another at even intervals.
pub(super) fn slot_wait_runs(runs: u32, slots: u32) -> f64 {
    f64::from((runs + 1).saturating_sub(slots)) / f64::from(slots.max(1))
}

/// The estimate for an upstream of a plain service.
pub(super) fn estimate_plain(upstream: &Upstream, median_ms: f64) -> Estimate {
    let slowness = match upstream.call_ms / median_ms.max(f64::MIN_POSITIVE) {
        ratio if median_ms > 0.0 && ratio > SLOW_FACTOR => ratio,
        _ => 1.0,
    };
    let cost = CALL_COST * ((1.0 + f64::from(upstream.open)) * slowness - 1.0);
    Estimate { cost, first_ms: cost, lasts_ms: upstream.call_ms, ..Estimate::default() }
}

/// The median of the known call times, in milliseconds; 0 if fewer than two are known.
pub(super) fn median_call_ms(serving: &[(&str, &Upstream)]) -> f64 {
    let known = serving.iter().map(|(_, upstream)| upstream.call_ms).filter(|ms| *ms > 0.0);
    let mut times: SmallVec<[f64; 32]> = known.collect();
    if times.len() < 2 {
        return 0.0;
    }
    times.sort_by(f64::total_cmp);
    times[(times.len() - 1) / 2]
}
