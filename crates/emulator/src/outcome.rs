//! What callers got.

use crate::load::Kind;

/// What the callers of one kind of request got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// Requests.
    pub asked: u64,
    /// Answered in time.
    pub in_time: u64,
    /// Answered, the first answer late.
    pub late_first: u64,
    /// Answered, a pause too long.
    pub late_gap: u64,
    /// Not answered.
    pub failed: u64,
}

impl Share {
    /// The share that was answered in time.
    pub fn in_time(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// What a scene showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// By kind of request, with the names and worths.
    pub kinds: Vec<Share>,
    names: Vec<&'static str>,
    worths: Vec<(f64, f64)>,
    /// Prompt tokens that were read.
    pub read: u64,
    /// Tokens of shared parts that were read again.
    pub again: u64,
    /// Runs that lost their memory to others.
    pub preempted: u64,
    /// Dispatches that routers heard of from others, by all of them together.
    pub told: u64,
    /// What came of requests that end their engines.
    pub deadly: Deadly,
    /// What came of engines that leave or rest by their own word.
    pub signals: Signals,
}

/// What came of engines that leave or rest by their own word.
#[derive(Clone, Copy, Debug, Default)]
pub struct Signals {
    /// Requests that an engine refused since it rests.
    pub refused: u64,
    /// Of these, those that came from a router which it had told so.
    pub refused_again: u64,
    /// Requests that reached an engine from a router which an answer of it had told that it leaves.
    pub late: u64,
    /// Runs that were lost when an engine which had said that it leaves ended.
    pub cut: u64,
}

/// What came of requests that end their engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Deadly {
    /// Attempts that came.
    pub came: u64,
    /// Attempts that were denied.
    pub denied: u64,
    /// Engines that ended under them.
    pub ended: u64,
    /// Engines that ended under them later than the time in which all routers know what one knows, after the third.
    pub ended_late: u64,
    /// Other requests that were denied.
    pub innocent: u64,
    /// Words on them that routers heard from others, by all of them together.
    pub words: u64,
    /// From the third end until each router denies it, in milliseconds; 0 if that was not reached.
    pub known_ms: f64,
}

impl Outcome {
    pub(crate) fn new(kinds: &[Kind]) -> Outcome {
        Outcome {
            kinds: vec![Share::default(); kinds.len()],
            names: kinds.iter().map(|kind| kind.name).collect(),
            worths: kinds.iter().map(|kind| kind.worth).collect(),
            read: 0,
            again: 0,
            preempted: 0,
            told: 0,
            deadly: Deadly::default(),
            signals: Signals::default(),
        }
    }

    /// What the callers of one kind got.
    pub fn of(&self, name: &str) -> Share {
        let index = self.names.iter().position(|other| *other == name);
        index.map_or(Share::default(), |index| self.kinds[index])
    }

    /// The share of the worth of all requests that was earned.
    pub fn worth(&self) -> f64 {
        let each = || self.kinds.iter().zip(&self.worths);
        let earned: f64 = each()
            .map(|(share, (full, late))| {
                share.in_time as f64 * full + (share.late_first + share.late_gap) as f64 * late
            })
            .sum();
        let owed: f64 = each().map(|(share, (full, _))| share.asked as f64 * full).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "worth {:.3}, {:.1} M tokens read, {:.2} M again",
            self.worth(),
            self.read as f64 / 1e6,
            self.again as f64 / 1e6
        )?;
        for (name, share) in self.names.iter().zip(&self.kinds) {
            let of = |count: u64| 100.0 * count as f64 / share.asked.max(1) as f64;
            write!(
                f,
                "; {name}: {} asked, in time {:.1}%, first late {:.1}%, pause {:.1}%, failed {:.1}%",
                share.asked,
                of(share.in_time),
                of(share.late_first),
                of(share.late_gap),
                of(share.failed)
            )?;
        }
        Ok(())
    }
}
