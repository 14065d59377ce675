//! What is expected of one upstream for one request.

use super::upstream::{Service, Upstream};
use super::{Prompt, STRETCH};
use crate::Millis;
use crate::division::{Division, is_long};
use crate::engine::{self, Model};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Cost of each prompt token that has to be read again beside the time it takes, in milliseconds: other prompts wait for
/// it, and it pushes parts out of the cache that are then read again themselves.
const REREAD_COST: f64 = 0.08;
/// Cost of short work at an engine that reads long prompts, as a share of the target: a stream there may be
/// late for its pauses.
const AMONG_LONG: f64 = 0.125;
/// Cost of long work at an engine that is kept for short work, as a share of the target: it makes many streams late.
const AMONG_SHORT: f64 = 1.0;
/// Cost of each run that an engine already has, in milliseconds: it decides where nothing else does.
const RUN_COST: f64 = 1.0;
/// Cost of each call that a plain service already has, in milliseconds: the order of one call's work.
const CALL_COST: f64 = 60.0;
/// A plain service counts as slow from this multiple of the typical pace on: less is the load's doing.
const SLOW: f64 = 1.6;

/// What decides between the engines of one service for one prompt.
pub(super) struct Scene<'a> {
    pub(super) prompt: &'a Prompt<'a>,
    pub(super) model: &'a Model,
    pub(super) division: &'a Division,
    /// The usual pace of the service's engines.
    pub(super) usual: f64,
    pub(super) is_long: bool,
    pub(super) home: Option<&'a str>,
    pub(super) run_ms: f64,
    pub(super) stretch: f64,
    pub(super) now: Millis,
}

/// What is expected of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    pub(super) cost: f64,
    pub(super) uncached: u32,
    pub(super) first_ms: f64,
    pub(super) lasts_ms: f64,
    pub(super) events_ms: f64,
    pub(super) is_kept: bool,
}

impl<'a> Scene<'a> {
    pub(super) fn new(
        prompt: &'a Prompt<'a>,
        engines: &[(&'a str, &'a Upstream)],
        service: &'a Service,
        now: Millis,
    ) -> Scene<'a> {
        let Service { model, division, run_ms, stretch, .. } = service;
        let usual = engine::median_pace(engines.iter().map(|(_, engine)| engine.pace));
        let is_long = is_long(model.read_ms(prompt.input as f64), prompt.gap_ms as f64);
        let (run_ms, stretch) = (*run_ms, stretch.max(STRETCH.0));
        let mut scene = Scene { prompt, model, division, usual, is_long, home: None, run_ms, stretch, now };
        scene.home = scene.home(engines);
        scene
    }

    /// The upstream that every router prefers for the prompt's last shared part: read once, it is cached there
    /// for all. Another data centre is worth it, since a prompt is read in far more time than it is sent.
    pub(super) fn home(&self, engines: &[(&'a str, &Upstream)]) -> Option<&'a str> {
        let shared = &self.prompt.parts[..self.prompt.parts.len().saturating_sub(1)];
        let part = shared.last()?;
        engines
            .iter()
            .filter(|(name, _)| !self.division.is_divided() || self.division.is_short(name) != self.is_long)
            .max_by_key(|(name, _)| xxh3_64_with_seed(name.as_bytes(), part.id))
            .map(|(name, _)| *name)
    }

    pub(super) fn estimate(&self, name: &str, engine: &Upstream) -> Estimate {
        let uncached = engine.uncached(self.prompt.parts, self.home == Some(name), self.now);
        let slowness = engine.pace.slowness(self.usual);
        let ahead_ms = engine.reads.remaining_ms(self.now);
        let runs = engine.runs(self.now);
        let slot_ms = self.run_ms * slowness * runs_to_end(runs, engine.site.slots);
        let first_ms = slot_ms + ahead_ms + self.model.first_ms(f64::from(uncached)) * slowness;
        let is_kept = self.division.is_short(name);
        let mixed = match (self.division.is_divided(), self.is_long, is_kept) {
            (true, true, true) => AMONG_SHORT * self.prompt.target_ms as f64,
            (true, false, false) => AMONG_LONG * self.prompt.target_ms as f64,
            _ => 0.0,
        };
        let cost = first_ms + mixed + RUN_COST * f64::from(runs) + REREAD_COST * f64::from(uncached);
        let pace = engine.pace.event_ms().unwrap_or(self.usual);
        let events_ms = self.prompt.events as f64 * pace;
        let lasts_ms = first_ms + events_ms * self.stretch;
        Estimate { cost, uncached, first_ms, lasts_ms, events_ms, is_kept }
    }
}

/// The part of an average run that passes until an engine with so many runs has a slot for one more: its runs end one
/// after the other.
pub(super) fn runs_to_end(runs: u32, slots: u32) -> f64 {
    f64::from((runs + 1).saturating_sub(slots)) / f64::from(slots.max(1))
}

/// What is expected of an upstream of a plain service.
pub(super) fn plain(upstream: &Upstream, typical: f64) -> Estimate {
    let slow = match upstream.call_ms / typical.max(f64::MIN_POSITIVE) {
        ratio if typical > 0.0 && ratio > SLOW => ratio,
        _ => 1.0,
    };
    let cost = CALL_COST * ((1.0 + f64::from(upstream.open)) * slow - 1.0);
    Estimate { cost, first_ms: cost, ..Estimate::default() }
}

/// The middle of the known times of calls; 0 if fewer than two are known.
pub(super) fn typical_call(serving: &[(&str, &Upstream)]) -> f64 {
    let known = serving.iter().map(|(_, upstream)| upstream.call_ms).filter(|ms| *ms > 0.0);
    let mut times: SmallVec<[f64; 32]> = known.collect();
    if times.len() < 2 {
        return 0.0;
    }
    times.sort_by(f64::total_cmp);
    times[(times.len() - 1) / 2]
}
