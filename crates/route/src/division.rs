//! Which engines of a service read long prompts, and which run short work beside none of them.
//!
//! The load that this answers: while an engine reads a long prompt, all streams that it runs stand still. On the slower
//! engines that can be more than callers bear, so that each long prompt makes a dozen streams late. Such engines are kept
//! for short work, as far as there is enough of it.

use crate::Millis;
use smallvec::SmallVec;

/// The part of the intended longest pause from which on reading a prompt counts as long: two such reads and the tokens
/// between them still fit.
const LONG: f64 = 0.25;
/// Engines kept for short work at most, for each that its share of the load would give it: the others are faster, and
/// short work may overflow to them.
const SHARE: f64 = 0.9;
/// The time over which the load is averaged, in milliseconds.
const AVERAGE_MS: f64 = 10_000.0;
/// An engine that is so many times slower than usual is out of order, and belongs to neither part.
const BROKEN: f64 = 1.8;
/// The load from which on its shares are believed, in tokens: some hundred prompts.
const ENOUGH: f64 = 250_000.0;
/// The part of the engines whose pace has to be known.
const KNOWN: f64 = 0.75;
/// The fewest engines that are divided.
const FEWEST: usize = 4;
/// Engines are given back to long work once so many are kept beyond what short work needs.
const HOLD: f64 = 0.75;

/// Whether a prompt that takes so long to read is long for streams that should not pause longer than `gap_ms`.
pub(crate) fn is_long(read_ms: f64, gap_ms: f64) -> bool {
    read_ms > LONG * gap_ms
}

/// The load of long and of short prompts: tokens that have to be read, averaged over the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    long: f64,
    short: f64,
    last: Millis,
    /// The intended longest pause of the last short prompt, in milliseconds.
    pub gap_ms: f64,
}

impl Load {
    /// Takes in a dispatch.
    pub(crate) fn add(&mut self, is_long: bool, unread: u32, now: Millis) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.last, now)) as f64;
        let left = (-elapsed / AVERAGE_MS).exp();
        self.long = self.long * left + if is_long { f64::from(unread) } else { 0.0 };
        self.short = self.short * left + if is_long { 0.0 } else { f64::from(unread) };
    }

    /// Whether anything was dispatched.
    pub(crate) fn is_known(&self) -> bool {
        self.long + self.short > 0.0
    }

    /// How many of `engines` may be kept for short work, if that is known.
    fn most(&self, engines: usize) -> Option<f64> {
        if self.long + self.short < ENOUGH {
            return None;
        }
        if engines < FEWEST {
            return Some(0.0);
        }
        let share = self.short / (self.short + self.long);
        Some((engines as f64 * SHARE * share).min(engines as f64 / 2.0))
    }
}

/// An engine as the division sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member<'a> {
    pub name: &'a str,
    /// How many times slower than usual it is, if that is known.
    pub slowness: Option<f64>,
}

/// The engines that are kept for short work.
///
/// All routers have to keep the same ones, or the long prompts of some meet the short ones of others. So one router
/// decides, and the others follow it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Division {
    short: Vec<String>,
}

impl Division {
    /// Follows another router's division.
    pub(crate) fn follow(short: Vec<String>) -> Division {
        Division { short }
    }

    /// Adapts the division of a service's engines to the load: those are kept for short work on which a stream would pause
    /// too long beside a long prompt, the slowest first. `pause` is the longest pause on an engine of the usual pace.
    ///
    /// One that is kept stays so as long as short work needs it: its pace shows the work that it does, so it can't be
    /// compared with the others.
    pub(crate) fn adapt<'a>(
        &mut self,
        members: impl Iterator<Item = Member<'a>>,
        load: &Load,
        pause: Option<f64>,
    ) {
        let all: SmallVec<[Member<'_>; 32]> = members.collect();
        let known = all.iter().filter(|member| member.slowness.is_some()).count();
        if (known as f64) < KNOWN * all.len() as f64 {
            return;
        }
        let slowness = |name: &str| {
            let member = all.iter().find(|member| member.name == name);
            member.map(|member| member.slowness.unwrap_or(1.0)).filter(|slowness| *slowness < BROKEN)
        };
        self.short.retain(|name| slowness(name).is_some());
        let sound = all.iter().filter(|member| slowness(member.name).is_some());
        let Some(most) = load.most(sound.clone().count()) else { return };
        let is_too_slow = |slowness: f64| pause.is_some_and(|pause| pause * slowness > load.gap_ms);
        while self.short.len() as f64 + 1.0 <= most {
            let others = sound.clone().filter(|member| !self.is_short(member.name));
            let pace = |member: &Member<'_>| member.slowness.unwrap_or(1.0);
            let slowest = others.max_by(|left, right| pace(left).total_cmp(&pace(right)));
            let Some(slowest) = slowest.filter(|slowest| is_too_slow(pace(slowest))) else { break };
            self.short.push(slowest.name.to_owned());
        }
        while self.short.len() as f64 - most > HOLD {
            let pace = |name: &String| slowness(name).unwrap_or(1.0);
            self.short.sort_by(|left, right| pace(right).total_cmp(&pace(left)));
            self.short.pop();
        }
    }

    /// Whether an engine is kept for short work.
    pub(crate) fn is_short(&self, name: &str) -> bool {
        self.short.iter().any(|short| short == name)
    }

    /// Whether the engines are divided at all.
    pub(crate) fn is_divided(&self) -> bool {
        !self.short.is_empty()
    }

    /// The engines that are kept for short work.
    pub(crate) fn short(&self) -> &[String] {
        &self.short
    }
}
