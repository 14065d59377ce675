//! What callers got.

use crate::load::RequestKind;

/// What the callers of one kind of request got.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindOutcome {
    /// Requests.
    pub requests: u64,
    /// Answered in time.
    pub in_time: u64,
    /// Answered, the first answer late.
    pub late_first: u64,
    /// Answered, a pause too long.
    pub late_gap: u64,
    /// Not answered.
    pub failed: u64,
}

impl KindOutcome {
    /// The share that was answered in time.
    pub fn in_time(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

/// What a scene showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// By kind of request, with the names and worths.
    pub kinds: Vec<KindOutcome>,
    names: Vec<&'static str>,
    worths: Vec<(f64, f64)>,
    /// Prompt tokens that were read.
    pub read_tokens: u64,
    /// Tokens of shared parts that were read again.
    pub reread_tokens: u64,
    /// Runs that lost their memory to others.
    pub preemptions: u64,
    /// Dispatches that routers heard of from others, by all of them together.
    pub received_hints: u64,
    /// What came of requests that end their engines.
    pub harmful: HarmfulOutcome,
    /// What came of engines that leave or rest by their own word.
    pub signals: SignalOutcome,
}

/// What came of engines that leave or rest by their own word.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignalOutcome {
    /// Requests that an engine refused since it rests.
    pub refused: u64,
    /// Of these, those that came from a router which it had told so.
    pub refused_again: u64,
    /// Requests that reached an engine from a router which an answer of it had told that it leaves.
    pub sent_while_leaving: u64,
    /// Runs that were lost when an engine which had said that it leaves ended.
    pub lost_runs: u64,
}

/// What came of requests that end their engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct HarmfulOutcome {
    /// Attempts that came.
    pub received: u64,
    /// Attempts that were denied.
    pub denied: u64,
    /// Engines that ended under them.
    pub crashed: u64,
    /// Engines that ended under them later than the time in which all routers know what one knows, after the third.
    pub crashed_late: u64,
    /// Other requests that were denied.
    pub others_denied: u64,
    /// Words on them that routers heard from others, by all of them together.
    pub received_notices: u64,
    /// From the third end until each router denies it, in milliseconds; 0 if that was not reached.
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

    /// What the callers of one kind got.
    pub fn kind(&self, name: &str) -> KindOutcome {
        let index = self.names.iter().position(|other| *other == name);
        index.map_or(KindOutcome::default(), |index| self.kinds[index])
    }

    /// The share of the worth of all requests that was earned.
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
