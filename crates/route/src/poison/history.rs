//! What is known of parts of prompts and of upstreams before an upstream crashes.

use super::{MAX_SUSPICIONS, PartId, RETENTION_MS};
use crate::Millis;
use std::collections::HashMap;

/// When upstreams last survived runs with a part.
#[derive(Clone, Copy, Debug, Default)]
struct Survival {
    /// As far as this router knows.
    known: Option<Millis>,
    /// As far as the other routers know: one of them told this router, or this router told them.
    shared: Option<Millis>,
}

/// When an upstream was up.
#[derive(Clone, Copy, Debug)]
struct Life {
    since: Millis,
    gone: Option<Millis>,
}

/// Survivals of parts, and starts of upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// The parts that upstreams survived lately. Once there are too many, those that were not survived since the last
    /// time are forgotten.
    survivals: HashMap<PartId, Survival>,
    earlier: HashMap<PartId, Survival>,
    lives: HashMap<(String, Option<Millis>), Life>,
    /// When this router learned of the first upstream.
    begin: Option<Millis>,
}

impl History {
    pub(super) fn record_start(&mut self, upstream: &str, started: Option<Millis>, now: Millis) {
        self.begin.get_or_insert(now);
        self.lives.entry((upstream.to_owned(), started)).or_insert(Life { since: now, gone: None });
    }

    pub(super) fn record_gone(&mut self, upstream: &str, started: Option<Millis>, now: Millis) {
        if let Some(life) = self.lives.get_mut(&(upstream.to_owned(), started)) {
            life.gone.get_or_insert(now);
        }
        // Its runs may be reported for some time.
        self.lives.retain(|_, life| life.gone.is_none_or(|gone| now.saturating_sub(gone) < RETENTION_MS));
    }

    /// When this router learned of the first upstream.
    pub(super) fn begin(&self) -> Option<Millis> {
        self.begin
    }

    /// Since when an upstream has been up, as far as this router knows; `None` if it is not told of starts at all.
    pub(super) fn up_since(&self, upstream: &str, started: Option<Millis>) -> Option<Millis> {
        let life = self.lives.get(&(upstream.to_owned(), started));
        match life {
            Some(life) => Some(life.since),
            // It started a moment ago.
            None if !self.lives.is_empty() => Some(Millis::MAX),
            None => None,
        }
    }

    /// Records a survival that this router saw, and whether it tells the others.
    pub(super) fn record_survival(&mut self, part: PartId, now: Millis, is_told: bool) {
        let survival = self.survival(part);
        survival.known = survival.known.max(Some(now));
        if is_told {
            survival.shared = survival.known;
        }
    }

    pub(super) fn record_reported_survival(&mut self, part: PartId, at: Millis) {
        let survival = self.survival(part);
        survival.known = survival.known.max(Some(at));
        survival.shared = survival.shared.max(Some(at));
    }

    /// When an upstream last survived a run with a part.
    pub(super) fn survived(&self, part: PartId) -> Option<Millis> {
        self.get(part)?.known
    }

    /// When an upstream last survived a run with a part, as far as the other routers know.
    pub(super) fn survived_as_shared(&self, part: PartId) -> Option<Millis> {
        self.get(part)?.shared
    }

    /// The last survival of a part if the other routers do not know of it. They are taken to know of it from now on.
    pub(super) fn take_untold(&mut self, part: PartId, now: Millis) -> Option<Millis> {
        let survival = self.survivals.get_mut(&part).or_else(|| self.earlier.get_mut(&part))?;
        let is_recent = |at: &Millis| now.saturating_sub(*at) < RETENTION_MS;
        let untold = survival.known.filter(|known| Some(*known) > survival.shared).filter(is_recent)?;
        survival.shared = Some(untold);
        Some(untold)
    }

    fn get(&self, part: PartId) -> Option<&Survival> {
        self.survivals.get(&part).or_else(|| self.earlier.get(&part))
    }

    fn survival(&mut self, part: PartId) -> &mut Survival {
        if self.survivals.len() >= MAX_SUSPICIONS && !self.survivals.contains_key(&part) {
            self.earlier = std::mem::take(&mut self.survivals);
        }
        let earlier = &self.earlier;
        self.survivals.entry(part).or_insert_with(|| earlier.get(&part).copied().unwrap_or_default())
    }
}
