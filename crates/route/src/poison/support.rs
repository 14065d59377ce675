//! Crashes, and those that support a signature.

use super::{DENIAL_THRESHOLD, Loss, PartId, contains_all};
use crate::Millis;
use smallvec::SmallVec;

/// The number of times at which upstreams have to crash one after the other. Upstreams that crash at the same time
/// have a cause in common, and any part that is in frequent use was present at several of them.
pub(super) const MIN_EPISODES: usize = 2;
/// Upstreams that crash within this time of each other, in milliseconds, may have crashed together.
const EPISODE_MS: Millis = 200;
/// Upstreams that crash within this time of each other, in milliseconds, crash at the same moment.
const MOMENT_MS: Millis = 100;
/// The share of its crashes for which a longer signature has to account to take the place of a shorter one.
const MIN_EXTENSION_SHARE: f64 = 1.0 / 3.0;

/// The crash of an upstream, with the runs that were lost there.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) upstream: String,
    pub(super) started: Option<Millis>,
    pub(super) at: Millis,
    pub(super) losses: SmallVec<[Loss; 2]>,
    /// Whether its cause is known. It is kept, as more of its lost runs may be reported.
    pub(super) is_explained: bool,
}

/// The crashes that support a signature.
#[derive(Clone, Debug, Default)]
pub(super) struct Support<'a> {
    /// The lost runs that contain the signature, by crash, in the order of the crashes.
    pub(super) crashes: Vec<(&'a Crash, SmallVec<[&'a Loss; 2]>)>,
}

impl Crash {
    pub(super) fn new(upstream: &str, started: Option<Millis>, at: Millis) -> Crash {
        Crash { upstream: upstream.to_owned(), started, at, losses: SmallVec::new(), is_explained: false }
    }

    pub(super) fn is_of(&self, upstream: &str, started: Option<Millis>) -> bool {
        self.upstream == upstream && self.started == started
    }

    /// Whether it happened at an earlier moment than `at`.
    pub(super) fn is_before(&self, at: Millis) -> bool {
        self.at + MOMENT_MS <= at
    }

    pub(super) fn is_simultaneous(&self, other: &Crash) -> bool {
        self.at.abs_diff(other.at) < MOMENT_MS
    }

    /// Whether a run whose prompt has this signature was lost there.
    pub(super) fn has_lost(&self, signature: &[PartId]) -> bool {
        self.losses.iter().any(|loss| contains_all(&loss.run.parts, signature))
    }
}

impl<'a> Support<'a> {
    /// The crashes among these at which a prompt with this signature was present, unless an upstream without one
    /// crashed at the same moment: then they have another cause in common.
    pub(super) fn new(crashes: impl Iterator<Item = &'a Crash>, signature: &[PartId]) -> Support<'a> {
        let lost = |crash: &'a Crash| {
            let losses = crash.losses.iter().filter(|loss| contains_all(&loss.run.parts, signature));
            let losses = losses.filter(|loss| loss.dispatched < crash.at);
            (crash, losses.collect::<SmallVec<[&Loss; 2]>>())
        };
        let (present, absent): (Vec<_>, Vec<_>) =
            crashes.map(lost).partition(|(_, losses)| !losses.is_empty());
        let is_coincidental = |crash: &Crash| absent.iter().any(|(other, _)| other.is_simultaneous(crash));
        Support { crashes: present.into_iter().filter(|(crash, _)| !is_coincidental(crash)).collect() }
    }

    pub(super) fn losses(&self) -> impl Iterator<Item = &'a Loss> {
        self.crashes.iter().flat_map(|(_, losses)| losses.iter().copied())
    }

    pub(super) fn is_firsthand(&self) -> bool {
        self.losses().any(|loss| loss.is_firsthand)
    }

    /// Whether enough upstreams crashed, one after the other, under different requests. A single request that is
    /// repeated says nothing of the parts of its prompt.
    pub(super) fn is_sufficient(&self) -> bool {
        let mut requests: SmallVec<[u64; 16]> = self.losses().map(|loss| loss.run.request).collect();
        requests.sort_unstable();
        requests.dedup();
        self.crashes.len() >= DENIAL_THRESHOLD
            && requests.len() >= DENIAL_THRESHOLD
            && self.episodes() >= MIN_EPISODES
    }

    /// Whether this support of a longer signature accounts for enough of the crashes of a shorter one.
    pub(super) fn covers(&self, shorter: &Support<'_>) -> bool {
        self.crashes.len() as f64 >= MIN_EXTENSION_SHARE * shorter.crashes.len() as f64
    }

    /// The number of times at which upstreams crashed one after the other: some time later, and under runs that were
    /// dispatched after the upstreams of the earlier time had crashed.
    pub(super) fn episodes(&self) -> usize {
        let (mut count, mut began) = (0, None);
        for (crash, losses) in &self.crashes {
            let dispatched = losses.iter().map(|loss| loss.dispatched).max().unwrap_or(0);
            if began.is_none_or(|began| crash.at >= began + EPISODE_MS && dispatched >= began) {
                (count, began) = (count + 1, Some(crash.at));
            }
        }
        count
    }
}
