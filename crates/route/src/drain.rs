//! What a gateway that is stopping still begins, so that it is answered before the gateway ends.

use crate::Millis;

/// How much longer than expected a run may take, as a factor: upstreams fill up while callers move to other gateways.
const MARGIN: f64 = 1.5;

/// A stop that is under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    cut_off: Millis,
}

impl Drain {
    /// A stop that cuts off what is still open at `cut_off`.
    pub fn until(cut_off: Millis) -> Drain {
        Drain { cut_off }
    }

    /// Whether a run may begin at `now` that is expected to take `lasts_ms`, for a request that is answered by `deadline`
    /// in any case.
    pub fn admits(&self, lasts_ms: f64, deadline: Millis, now: Millis) -> bool {
        deadline <= self.cut_off || now as f64 + MARGIN * lasts_ms <= self.cut_off as f64
    }
}
