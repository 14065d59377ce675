//! The results of a simulation.

use crate::load::RequestKind;

/// The results for one kind of request.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindOutcome {
    /// The number of requests.
    pub requests: u64,
    /// Requests answered in time.
    pub in_time: u64,
    /// Requests answered with a late first event.
    pub late_first: u64,
    /// Requests answered with a first event in time, but a pause that was too long.
    pub late_gap: u64,
    /// Requests not answered completely.
    pub failed: u64,
}

impl KindOutcome {
    /// The share of requests that were answered in time.
    pub fn in_time(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

/// The results of a scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The results for each kind of request, in the order of the scenario.
    pub kinds: Vec<KindOutcome>,
    names: Vec<&'static str>,
    worths: Vec<(f64, f64)>,
    /// Prompt tokens that the engines read.
    pub read_tokens: u64,
    /// Tokens of shared parts that an engine had to read although the part had been used shortly before, so
    /// that some engine should still have had it in its cache.
    pub reread_tokens: u64,
    /// Runs preempted to free memory.
    pub preemptions: u64,
    /// Reports of other routers' dispatches, summed over all routers that receive them.
    pub received_hints: u64,
    /// The results for the request that crashes its engines.
    pub harmful: HarmfulOutcome,
    /// The results for engines that report that they leave or back off.
    pub signals: SignalOutcome,
}

/// The results for engines that report that they leave or back off.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignalOutcome {
    /// Requests that an engine refused while it backed off.
    pub refused: u64,
    /// The part of these that came from a router which the engine had already told of the back-off.
    pub refused_again: u64,
    /// Requests that reached a leaving engine from a router which one of its answers had told that it leaves.
    pub sent_while_leaving: u64,
    /// Runs lost when a leaving engine ended.
    pub lost_runs: u64,
}

/// The results for the request that crashes its engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct HarmfulOutcome {
    /// Attempts that reached a router.
    pub received: u64,
    /// Attempts that a router denied.
    pub denied: u64,
    /// Engines that crashed under it.
    pub crashed: u64,
    /// Engines that crashed under it although enough had crashed to deny it and all routers had had the time
    /// to learn of that.
    pub crashed_late: u64,
    /// Denials of other requests.
    pub others_denied: u64,
    /// Notices from other routers, summed over all routers that received them.
    pub received_notices: u64,
    /// The time from the crash that reached the denial threshold until all routers denied the request, in
    /// milliseconds; 0 if they never all did.
    pub denied_everywhere_ms: f64,
}

impl Outcome {
    pub(crate) fn new(kinds: &[RequestKind]) -> Outcome {
        Outcome {
            kinds: vec![KindOutcome::default(); kinds.len()],
            names: kinds.iter().map(|kind| kind.name).collect(),
            worths: kinds.iter().map(|kind| kind.worth).collect(),
            read_tokens: 0,
            reread_tokens: 0,
            preemptions: 0,
            received_hints: 0,
            harmful: HarmfulOutcome::default(),
            signals: SignalOutcome::default(),
        }
    }

    /// The results for the kind of request with this name.
    pub fn kind(&self, name: &str) -> KindOutcome {
        let index = self.names.iter().position(|other| *other == name);
        index.map_or(KindOutcome::default(), |index| self.kinds[index])
    }

    /// The earned share of the worth that all requests have if answered in time.
    pub fn worth(&self) -> f64 {
        let pairs = || self.kinds.iter().zip(&self.worths);
        let earned: f64 = pairs()
            .map(|(kind, (full, late))| {
                kind.in_time as f64 * full + (kind.late_first + kind.late_gap) as f64 * late
            })
            .sum();
        let possible: f64 = pairs().map(|(kind, (full, _))| kind.requests as f64 * full).sum();
        earned / possible.max(f64::MIN_POSITIVE)
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "worth {:.3}, {:.1} M tokens read, {:.2} M reread",
            self.worth(),
            self.read_tokens as f64 / 1e6,
            self.reread_tokens as f64 / 1e6
        )?;
        for (name, kind) in self.names.iter().zip(&self.kinds) {
            let percent = |count: u64| 100.0 * count as f64 / kind.requests.max(1) as f64;
            write!(
                f,
                "; {name}: {} requests, in time {:.1}%, first late {:.1}%, pause {:.1}%, failed {:.1}%",
                kind.requests,
                percent(kind.in_time),
                percent(kind.late_first),
                percent(kind.late_gap),
                percent(kind.failed)
            )?;
        }
        Ok(())
    }
}
