//! Which engines of a service read long prompts, and which run short work beside none of them.
//!
//! The load that this answers: while an engine reads a long prompt, all streams that it runs stand still. On the slower
//! engines that can be more than callers bear, so that each long prompt makes a dozen streams late. Such engines are kept
//! for short work, as far as there is enough of it.

use crate::Millis;
use smallvec::SmallVec;

/// The part of the intended longest pause from which on reading a prompt counts as long: two such reads and the tokens
/// between them still fit.
const LONG_READ_SHARE: f64 = 0.25;
/// Short streams that are late beside long reads, from which share on an engine is kept for short work.
const MIN_LATE_SHARE: f64 = 0.1;
/// The part of all engines that is kept for short work at most.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// The time over which the load is averaged, in milliseconds.
const AVERAGING_TIME_MS: f64 = 10_000.0;
/// An engine that is so many times slower than usual is out of order, and belongs to neither part. One that is kept is
/// slower the more it has to do, and counts as no slower than this.
const FAULTY_SLOWNESS: f64 = 1.8;
/// The load from which on its shares are believed, in tokens: some hundred prompts.
const MIN_LOAD_TOKENS: f64 = 250_000.0;
/// The part of the engines whose pace has to be known.
const MIN_KNOWN_SHARE: f64 = 0.75;
/// The fewest engines that are divided.
const MIN_ENGINES: usize = 4;
/// Engines are given back to long work once so many are kept beyond what short work needs: the load varies, and each
/// change moves prompts away from where their parts are cached.
const RELEASE_MARGIN: f64 = 1.0;

/// Whether a prompt that takes so long to read is long for streams that should not pause longer than `gap_ms`.
pub(crate) fn is_long(read_ms: f64, gap_ms: f64) -> bool {
    read_ms > LONG_READ_SHARE * gap_ms
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
        let left = (-elapsed / AVERAGING_TIME_MS).exp();
        self.long = self.long * left + if is_long { f64::from(unread) } else { 0.0 };
        self.short = self.short * left + if is_long { 0.0 } else { f64::from(unread) };
    }

    /// Whether anything was dispatched.
    pub(crate) fn is_known(&self) -> bool {
        self.long + self.short > 0.0
    }

    /// The share of the load that is short, if that is known.
    fn short_share(&self) -> Option<f64> {
        let all = self.long + self.short;
        (all >= MIN_LOAD_TOKENS).then(|| self.short / all)
    }
}

/// An engine as the division sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member<'a> {
    pub name: &'a str,
    /// How many times slower than usual it is, if that is known.
    pub slowness: Option<f64>,
}

impl Member<'_> {
    /// How many times slower than usual it is taken to be.
    fn slowness_or_usual(&self) -> f64 {
        self.slowness.unwrap_or(1.0)
    }

    /// The work that it does, as a part of what a usual engine does.
    fn capacity(&self) -> f64 {
        1.0 / self.slowness_or_usual().min(FAULTY_SLOWNESS)
    }
}

/// The engines that are kept for short work.
///
/// All routers have to keep the same ones, or the long prompts of some meet the short ones of others. So one router
/// decides, and the others follow it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Division {
    reserved: Vec<String>,
}

impl Division {
    /// Follows another router's division.
    pub(crate) fn follow(reserved: Vec<String>) -> Division {
        Division { reserved }
    }

    /// Adapts the division of a service's engines to the load: those are kept for short work on which its streams are
    /// late beside long reads, the slowest first, as many as short work needs. `late_share` is the share of streams that are late on
    /// an engine so many times slower than usual, if that is known.
    ///
    /// One that is kept stays so as long as short work needs it: no long reads are seen there any more, so nothing is
    /// learned of what they would do.
    pub(crate) fn adapt<'a>(
        &mut self,
        members: impl Iterator<Item = Member<'a>>,
        load: &Load,
        late_share: impl Fn(f64) -> Option<f64>,
    ) {
        let all: SmallVec<[Member<'_>; 32]> = members.collect();
        self.reserved.retain(|name| all.iter().any(|member| member.name == name));
        let known = all.iter().filter(|member| member.slowness.is_some()).count();
        if (known as f64) < MIN_KNOWN_SHARE * all.len() as f64 {
            return;
        }
        let usable: SmallVec<[Member<'_>; 32]> = all
            .into_iter()
            .filter(|member| self.is_reserved(member.name) || member.slowness_or_usual() < FAULTY_SLOWNESS)
            .collect();
        let Some(share) = load.short_share() else { return };
        let share = if usable.len() < MIN_ENGINES { 0.0 } else { share.min(MAX_RESERVED_SHARE) };
        let target = share * usable.iter().map(Member::capacity).sum::<f64>();
        let reserved_capacity = |division: &Division| -> f64 {
            usable.iter().filter(|member| division.is_reserved(member.name)).map(Member::capacity).sum()
        };
        let by_slowness = |left: &&Member<'_>, right: &&Member<'_>| {
            left.slowness_or_usual().total_cmp(&right.slowness_or_usual())
        };
        loop {
            let others = usable.iter().filter(|member| !self.is_reserved(member.name));
            let Some(slowest) = others.max_by(by_slowness) else { break };
            let is_needed = reserved_capacity(self) + slowest.capacity() <= target;
            if !is_needed
                || late_share(slowest.slowness_or_usual()).is_none_or(|share| share < MIN_LATE_SHARE)
            {
                break;
            }
            self.reserved.push(slowest.name.to_owned());
        }
        while reserved_capacity(self) - target > RELEASE_MARGIN {
            let fastest = usable.iter().filter(|member| self.is_reserved(member.name)).min_by(by_slowness);
            let Some(fastest) = fastest else { break };
            self.reserved.retain(|name| name != fastest.name);
        }
    }

    /// Whether an engine is kept for short work.
    pub(crate) fn is_reserved(&self, name: &str) -> bool {
        self.reserved.iter().any(|reserved| reserved == name)
    }

    /// Whether the engines are divided at all.
    pub(crate) fn is_divided(&self) -> bool {
        !self.reserved.is_empty()
    }

    /// The engines that are kept for short work.
    pub(crate) fn reserved(&self) -> &[String] {
        &self.reserved
    }
}
