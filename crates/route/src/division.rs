//! The division of a service's engines into those that read long prompts and those that are reserved for
//! short ones.
//!
//! While an engine reads a long prompt, all streams that it runs stall. On the slower engines, the stall can
//! exceed the pause that callers tolerate, so that each long prompt makes a dozen streams late. Such engines
//! are reserved for short prompts, as far as there are enough of these.

use crate::Millis;
use smallvec::SmallVec;

/// A prompt counts as long if reading it takes more than this share of the longest pause that is intended.
/// Two such reads and the tokens between them still fit into the pause.
const LONG_READ_SHARE: f64 = 0.25;
/// The share of short streams that are late beside long reads from which on an engine is reserved for short
/// prompts.
const MIN_LATE_SHARE: f64 = 0.1;
/// The largest share of the engines that is reserved for short prompts.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// The time constant with which the load decays, in milliseconds.
const AVERAGING_TIME_MS: f64 = 10_000.0;
/// An engine that is slower than usual by this factor is faulty and belongs to neither group, unless it is
/// reserved already. A reserved one is slower the more it has to do, and is counted as no slower than this.
const FAULTY_SLOWNESS: f64 = 1.8;
/// The load from which on the share of short prompts is considered known, in tokens: about a hundred prompts.
const MIN_LOAD_TOKENS: f64 = 250_000.0;
/// The share of the engines whose speed has to be known before engines are reserved or released.
const MIN_KNOWN_SHARE: f64 = 0.75;
/// The fewest engines that are divided.
const MIN_ENGINES: usize = 4;
/// The capacity beyond the need of short prompts, in engines of usual speed, above which engines are released
/// again. A margin is needed since the load varies, and each change moves prompts away from the engines that
/// have parts of them cached.
const RELEASE_MARGIN: f64 = 1.0;

/// Whether a prompt that takes `read_ms` to read is long for streams that should not pause for longer than
/// `gap_ms`.
pub(crate) fn is_long(read_ms: f64, gap_ms: f64) -> bool {
    read_ms > LONG_READ_SHARE * gap_ms
}

/// The load of long and of short prompts: tokens to read, as an exponentially decaying sum.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    long: f64,
    short: f64,
    last: Millis,
    /// The longest pause that is intended for the last short prompt, in milliseconds.
    pub gap_ms: f64,
}

impl Load {
    /// Records a dispatch that has `unread` tokens to read.
    pub(crate) fn add(&mut self, is_long: bool, unread: u32, now: Millis) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.last, now)) as f64;
        let decay = (-elapsed / AVERAGING_TIME_MS).exp();
        self.long = self.long * decay + if is_long { f64::from(unread) } else { 0.0 };
        self.short = self.short * decay + if is_long { 0.0 } else { f64::from(unread) };
    }

    /// Whether any dispatch was recorded.
    pub(crate) fn is_known(&self) -> bool {
        self.long + self.short > 0.0
    }

    /// The share of short prompts in the load; `None` if the load is too low to tell.
    fn short_share(&self) -> Option<f64> {
        let all = self.long + self.short;
        (all >= MIN_LOAD_TOKENS).then(|| self.short / all)
    }
}

/// An engine of the service to divide.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member<'a> {
    pub name: &'a str,
    /// The factor by which it is slower than usual, if that is known.
    pub slowness: Option<f64>,
}

impl Member<'_> {
    /// The factor by which it is slower than usual; 1 if that is not known.
    fn slowness_or_usual(&self) -> f64 {
        self.slowness.unwrap_or(1.0)
    }

    /// The work that it does relative to an engine of usual speed.
    fn capacity(&self) -> f64 {
        1.0 / self.slowness_or_usual().min(FAULTY_SLOWNESS)
    }
}

/// The engines that are reserved for short prompts.
///
/// All routers have to reserve the same ones, since otherwise the long prompts of some routers would run
/// beside the short ones of others. So one router decides, and the others follow it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Division {
    reserved: Vec<String>,
}

impl Division {
    /// Creates a copy of another router's division.
    pub(crate) fn follow(reserved: Vec<String>) -> Division {
        Division { reserved }
    }

    /// Adapts the division to the load. Reserves the engines on which short streams are late beside long
    /// reads, the slowest first, up to the capacity that short prompts need. `late_share` returns the share
    /// of streams that are late on an engine of the given slowness, if that is known.
    ///
    /// An engine stays reserved as long as short prompts need it. Without long reads there, nothing shows
    /// whether its streams would still be late.
    pub(crate) fn adapt<'a>(
        &mut self,
        members: impl Iterator<Item = Member<'a>>,
        load: &Load,
        late_share: impl Fn(f64) -> Option<f64>,
    ) {
        let all: SmallVec<[Member<'_>; 32]> = members.collect();
        self.reserved.retain(|name| all.iter().any(|member| member.name == name));
        let known_count = all.iter().filter(|member| member.slowness.is_some()).count();
        if (known_count as f64) < MIN_KNOWN_SHARE * all.len() as f64 {
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

    /// Whether an engine is reserved for short prompts.
    pub(crate) fn is_reserved(&self, name: &str) -> bool {
        self.reserved.iter().any(|reserved| reserved == name)
    }

    /// Whether any engine is reserved.
    pub(crate) fn is_divided(&self) -> bool {
        !self.reserved.is_empty()
    }

    /// The engines that are reserved for short prompts.
    pub(crate) fn reserved(&self) -> &[String] {
        &self.reserved
    }
}
