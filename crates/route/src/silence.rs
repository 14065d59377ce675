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
