//! Upstreams that are silent: which silence is normal, and when it has to be looked into.

use crate::Millis;

/// How long an upstream may fall silent and go on afterwards, in milliseconds. Until then, silence tells nothing
/// about it.
pub(crate) const TOLERANCE_MS: Millis = 1_500;
/// How long callers wait for the next event of a stream before they give it up: the longest of this time in
/// milliseconds, and these multiples of the target latency and of the target gap between events.
const MIN_PATIENCE_MS: Millis = 2_000;
const PATIENCE_TARGETS: Millis = 4;
const PATIENCE_GAPS: Millis = 8;
/// How long requests may wait for upstreams while none answers, in milliseconds, before the path is checked. An
/// upstream that is only silent is told apart by the check.
pub(crate) const CHECK_DELAY_MS: Millis = 500;
/// The shortest time between two checks, in milliseconds.
const CHECK_INTERVAL_MS: Millis = 1_000;
/// How long nothing may arrive from an upstream with open requests until it counts as silent, in milliseconds.
const SILENT_MS: Millis = 300;
/// How long before a run is overdue its silent upstream is probed, in milliseconds, so that the result is known in time.
const PROBE_LEAD_MS: Millis = 500;
/// How long the result of a probe holds, in milliseconds.
const PROBE_VALID_MS: Millis = 700;
/// How long a host may answer no connection attempt until it counts as gone, in milliseconds. Open connections to a host that
/// is gone break in this time, so one that is suspended with a full queue of connections is told apart where there is one.
const UNREACHED_MS: Millis = 3_500;
/// How long bytes of an upstream may have been on their way when they are read, in milliseconds: the way through a region,
/// and the delay of a process on a busy VM.
const IN_FLIGHT_MS: Millis = 50;

/// What a probe told about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// It answers other requests.
    Answers,
    /// Its host accepts connections, and it does not answer.
    Silent,
    /// Its host answers no connection attempt: it is gone, or the queue of connections of a suspended process is full.
    Unreached,
    /// Its address refuses connections: its process has ended, or listens no more before it has finished.
    Refuses,
    /// This gateway's path to it is lost.
    Lost,
}

/// What to do with a run from which nothing arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Wait for this long, in milliseconds, and decide again.
    Wait(Millis),
    /// Probe the upstream, and decide again.
    Probe,
    /// The run is overdue, and its upstream goes on.
    Overdue,
    /// Give the run up. Its upstream is not reached any more.
    Gone,
}

/// How the connection of a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Close {
    /// The upstream closed its end of its own accord.
    ByUpstream,
    /// It broke.
    Broken,
    /// A gateway closed it. That the upstream closed its end in turn tells nothing of the run.
    ByGateway,
}

/// A run whose connection has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClosedRun {
    /// When the connection ended.
    pub closed: Millis,
    /// How it ended.
    pub close: Close,
    /// Whether its upstream is leaving, or not listed any more. It may have stopped listening before it has finished.
    pub is_leaving: bool,
    /// When the upstream stops by itself: the end of the time that it was told, if it has read the request.
    pub stops_at: Option<Millis>,
}

/// What is known of a run whose connection was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// It is over.
    Over(Proof),
    /// Its upstream goes on, and may still work on it. The stream must go on at no other upstream.
    Alive,
    /// Its upstream has not been heard since.
    Unknown,
}

/// What proves that a run is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Proof {
    /// The upstream closed its end of the connection of its own accord.
    ClosedByUpstream,
    /// The time that the upstream was told has passed, and it has answered since.
    Deadline,
    /// The upstream is gone, or this gateway does not reach it.
    Gone,
}

impl Proof {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Proof::ClosedByUpstream => "closed",
            Proof::Deadline => "deadline",
            Proof::Gone => "gone",
        }
    }
}

/// Whether an upstream answers at all, as far as this gateway knows.
///
/// A process that is suspended or overloaded notices that a connection was closed only when it goes on, and one that goes
/// on may notice late or never. Until the run is known to be over it may not be replaced at another upstream: both would
/// be under way at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// When something last arrived from the upstream.
    heard: Millis,
    /// When it went on after it had been silent.
    resumed: Millis,
    /// The result of the last probe, and when it came.
    probed: Option<(Probe, Millis)>,
    /// When the last probe began that was answered.
    answered: Option<Millis>,
    /// When the first probe began since which the host has answered none.
    unreached: Option<Millis>,
}

impl Contact {
    /// Records that bytes arrived, after a stream had waited for them for `gap_ms`.
    pub fn record_answer(&mut self, gap_ms: Millis, now: Millis) {
        let was_silent = gap_ms >= SILENT_MS && now.saturating_sub(self.heard) >= SILENT_MS;
        if was_silent || self.is_known_silent() {
            self.resumed = now;
        }
        self.heard = now;
        self.probed = None;
        self.unreached = None;
    }

    /// Records the result of a probe that began at `began`.
    pub fn record_probe(&mut self, probe: Probe, began: Millis, now: Millis) {
        if probe == Probe::Answers && self.is_known_silent() {
            self.resumed = now;
        }
        if probe == Probe::Answers {
            self.answered = self.answered.max(Some(began));
        }
        self.unreached = (probe == Probe::Unreached).then(|| self.unreached.unwrap_or(began));
        self.probed = Some((probe, now));
    }

    /// What is known at `now` of a run whose connection was closed.
    pub fn state_of(&self, run: &ClosedRun, now: Millis) -> RunState {
        let stopped_at = run.stops_at.map(|at| at.saturating_add(IN_FLIGHT_MS)).filter(|at| now >= *at);
        match stopped_at {
            _ if run.close == Close::ByUpstream => RunState::Over(Proof::ClosedByUpstream),
            _ if self.is_gone(run) => RunState::Over(Proof::Gone),
            // A process that is suspended stops when it goes on.
            Some(at) if self.has_answered_since(at) => RunState::Over(Proof::Deadline),
            None if self.has_answered_since(run.closed) || self.refuses() => RunState::Alive,
            Some(_) | None => RunState::Unknown,
        }
    }

    /// Whether the upstream has answered anything that was asked after `closed`.
    fn has_answered_since(&self, closed: Millis) -> bool {
        self.answered.is_some_and(|began| began >= closed)
            || self.heard >= closed.saturating_add(IN_FLIGHT_MS)
    }

    /// Whether its process has ended, its host has answered nothing for long, or the path to it is lost. A process that ends
    /// breaks its connections.
    fn is_gone(&self, run: &ClosedRun) -> bool {
        match (self.probed, self.unreached) {
            (Some((Probe::Lost, _)), _) => true,
            (Some((Probe::Refuses, _)), _) => run.close == Close::Broken || !run.is_leaving,
            (Some((Probe::Unreached, at)), Some(since)) => at.saturating_sub(since) >= UNREACHED_MS,
            _ => false,
        }
    }

    fn refuses(&self) -> bool {
        matches!(self.probed, Some((Probe::Refuses, _)))
    }

    fn is_known_silent(&self) -> bool {
        matches!(self.probed, Some((Probe::Silent | Probe::Unreached | Probe::Refuses, _)))
    }

    /// Decides on a run from which nothing has arrived since `since`, and which is overdue after `patience_ms`. The time
    /// for which the upstream was silent does not count.
    pub fn decide(&self, since: Millis, patience_ms: Millis, now: Millis) -> Decision {
        let due = since.max(self.resumed).saturating_add(patience_ms);
        let probe_at = due.saturating_sub(PROBE_LEAD_MS);
        if now < probe_at {
            return Decision::Wait(probe_at - now);
        }
        let is_silent = now.saturating_sub(since.max(self.heard)) >= SILENT_MS;
        let has_time = now < due;
        match self.probed.filter(|(_, at)| now.saturating_sub(*at) < PROBE_VALID_MS) {
            _ if !is_silent && has_time => Decision::Wait(due - now),
            _ if !is_silent => Decision::Overdue,
            None => Decision::Probe,
            // The connection of a run to a host or a process that is gone breaks by itself.
            Some((Probe::Silent | Probe::Unreached | Probe::Refuses, at)) => {
                Decision::Wait(at + PROBE_VALID_MS - now)
            }
            Some((Probe::Answers | Probe::Lost, _)) if has_time => Decision::Wait(due - now),
            Some((Probe::Answers, _)) => Decision::Overdue,
            Some((Probe::Lost, _)) => Decision::Gone,
        }
    }
}

/// Notices that no upstream answers any more. Connections that a partition has left without a reset give no other
/// sign.
#[derive(Clone, Debug, Default)]
pub struct SilenceMonitor {
    waiting_since: Option<Millis>,
    checked: Option<Millis>,
}

impl SilenceMonitor {
    /// Whether the path to the upstreams has to be checked now. `is_waiting` says whether requests are waiting for
    /// upstreams, `heard` is when an upstream last answered.
    pub fn is_check_due(&mut self, is_waiting: bool, heard: Millis, now: Millis) -> bool {
        if !is_waiting {
            self.waiting_since = None;
            return false;
        }
        let since = (*self.waiting_since.get_or_insert(now)).max(heard);
        let is_recent = self.checked.is_some_and(|checked| now.saturating_sub(checked) < CHECK_INTERVAL_MS);
        let is_due = now.saturating_sub(since) >= CHECK_DELAY_MS && !is_recent;
        if is_due {
            self.checked = Some(now);
        }
        is_due
    }
}

/// The silence after which a stream is resumed at another upstream, in milliseconds: late enough for an upstream to go
/// on by itself, and early enough for another one to continue before the caller gives up.
pub fn stall_ms(target_ms: Millis, gap_ms: Millis) -> Millis {
    let patience_ms = MIN_PATIENCE_MS
        .max(PATIENCE_TARGETS.saturating_mul(target_ms))
        .max(PATIENCE_GAPS.saturating_mul(gap_ms));
    TOLERANCE_MS.max(patience_ms / 2)
}
