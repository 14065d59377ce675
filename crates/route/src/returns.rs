//! When refused callers are asked to return.
//!
//! An outage or a shortage refuses many callers within a short time. If all of them are told the same time,
//! they return together, and all but the first few are refused again, with no time left for another retry.
//! So callers that are refused for the same [`Cause`] get places in a queue, one after another, at the rate
//! at which requests of their team or service were admitted lately. The queue begins where the cause is
//! expected to end and covers at most [`MAX_DELAY_MS`].
//!
//! Each gateway keeps its own queues and knows only its own part of the requests. Its rate is that part too,
//! so the returns at all gateways together follow the rate of the whole fleet. The places are random within
//! their steps. Otherwise the first places at all gateways would coincide, which in a fleet of 1,400
//! gateways are most of the places.
//!
//! ```
//! use route::returns::{Cause, Group, Refused, Returns};
//!
//! let mut returns = Returns::default();
//! let refused = Refused {
//!     cause: Cause::BudgetUnavailable,
//!     group: Group::Team("desk"),
//!     expected_ms: 3_000,
//!     honoured_ms: 10_000,
//!     gateways: 1,
//! };
//! let first = returns.retry_after_ms(&refused, 0, 7);
//! let second = returns.retry_after_ms(&refused, 0, 7);
//! assert!((3_000..7_000).contains(&first) && first < second);
//! ```

use crate::Millis;
use smallvec::SmallVec;
use std::collections::HashMap;

/// The longest time by which a caller is asked to return after the expected end of the cause, in
/// milliseconds. A caller that waits longer usually has no time left for the request itself.
pub const MAX_DELAY_MS: Millis = 4_000;
/// The rate at which the whole fleet is assumed to admit requests of a team or service if it admitted fewer
/// lately, in requests per second. Each gateway takes an equal part. In a fleet of 71 gateways the first
/// caller then waits for 0.7 s on average; with 5 per second it would wait for about 2 s.
const MIN_FLEET_RATE_PER_S: f64 = 50.0;
/// The time over which admissions are averaged, in milliseconds. During an outage of 8 s the rate falls to
/// two thirds. At a gateway that admits 0.3 requests per second, the average still covers six of them.
const AVERAGING_MS: f64 = 20_000.0;
/// The shortest time by which admissions are divided, in milliseconds. A single request right after the start
/// would otherwise count as a high rate.
const MIN_OBSERVED_MS: f64 = 5_000.0;
/// The time after which the state of a team or service without admissions and refusals is dropped, in
/// milliseconds. Its rate has then fallen to a twentieth, and its queues have ended.
const IDLE_MS: Millis = 60_000;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The team's budget can't be reached.
    BudgetUnavailable,
    /// Other gateways hold the tokens of the team's budget.
    BudgetHeldElsewhere,
    /// All upstreams of the service back off or are at their request limits.
    UpstreamsUnavailable,
    /// The service has no upstream that can serve the request.
    NoUpstream,
    /// Every upstream that was tried refused the request or could not be reached.
    NotRun,
}

/// The requests that compete for the same capacity: those of a team, or those to a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Group<'a> {
    /// The requests that a team pays for.
    Team(&'a str),
    /// The requests to a service.
    Service(&'a str),
}

/// A refused request.
#[derive(Clone, Copy, Debug)]
pub struct Refused<'a> {
    /// Why it is refused.
    pub cause: Cause,
    /// The requests that it competes with.
    pub group: Group<'a>,
    /// How long the cause is expected to last, in milliseconds.
    pub expected_ms: Millis,
    /// The longest time that the caller waits for a retry, in milliseconds.
    pub honoured_ms: Millis,
    /// The number of gateways that admit requests of the group.
    pub gateways: u64,
}

/// The queues of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    teams: HashMap<String, State>,
    services: HashMap<String, State>,
}

/// The state of one team or service.
#[derive(Clone, Debug)]
struct State {
    rate: Rate,
    /// The next place of each queue, in milliseconds. Few causes occur at the same time.
    queues: SmallVec<[(Cause, f64); 2]>,
    used: Millis,
}

/// An exponentially weighted average of the rate of admissions.
#[derive(Clone, Copy, Debug)]
struct Rate {
    started: Millis,
    updated: Millis,
    count: f64,
}

impl Returns {
    /// Records that a request was admitted.
    pub fn record_admitted(&mut self, group: Group<'_>, now: Millis) {
        self.state(group, now).rate.record(now);
    }

    /// The time after which the caller of a refused request is asked to return, in milliseconds. `random` must
    /// be uniformly distributed.
    ///
    /// If the caller does not wait until the expected end of the cause, it gets that time and takes no place
    /// in the queue.
    pub fn retry_after_ms(&mut self, refused: &Refused<'_>, now: Millis, random: u64) -> Millis {
        let expected_ms = refused.expected_ms;
        let max_delay_ms = MAX_DELAY_MS.min(refused.honoured_ms.saturating_sub(expected_ms)) as f64;
        if max_delay_ms == 0.0 {
            return expected_ms;
        }
        let fraction = random as f64 / u64::MAX as f64;
        let state = self.state(refused.group, now);
        let step_ms = state.rate.step_ms(refused.gateways, now);
        let next = state.queue(refused.cause);
        let end = now.saturating_add(expected_ms) as f64;
        let place = next.max(end);
        let delay_ms = place - end + fraction * step_ms;
        if delay_ms <= max_delay_ms {
            *next = place + step_ms;
            return expected_ms + delay_ms as Millis;
        }
        // Places beyond the limit would all be cut to it, so that their callers returned together.
        expected_ms + (fraction * max_delay_ms) as Millis
    }

    /// Drops the state of teams and services that had no requests for a minute.
    pub fn expire(&mut self, now: Millis) {
        let is_used = |state: &State| now.saturating_sub(state.used) < IDLE_MS;
        self.teams.retain(|_, state| is_used(state));
        self.services.retain(|_, state| is_used(state));
    }

    /// The number of teams and services whose state is kept.
    pub fn group_count(&self) -> usize {
        self.teams.len() + self.services.len()
    }

    fn state(&mut self, group: Group<'_>, now: Millis) -> &mut State {
        let (states, name) = match group {
            Group::Team(name) => (&mut self.teams, name),
            Group::Service(name) => (&mut self.services, name),
        };
        if !states.contains_key(name) {
            states.insert(name.to_owned(), State::new(now));
        }
        let state = states.get_mut(name).expect("the state was just added");
        state.used = now;
        state
    }
}

impl State {
    fn new(now: Millis) -> State {
        State { rate: Rate { started: now, updated: now, count: 0.0 }, queues: SmallVec::new(), used: now }
    }

    /// The next place of the queue of a cause, in milliseconds.
    fn queue(&mut self, cause: Cause) -> &mut f64 {
        let index = self.queues.iter().position(|(queued, _)| *queued == cause).unwrap_or_else(|| {
            self.queues.push((cause, 0.0));
            self.queues.len() - 1
        });
        &mut self.queues[index].1
    }
}

impl Rate {
    fn record(&mut self, now: Millis) {
        self.count = self.decayed(now) + 1.0;
        self.updated = self.updated.max(now);
    }

    fn decayed(&self, now: Millis) -> f64 {
        self.count * (-(now.saturating_sub(self.updated) as f64) / AVERAGING_MS).exp()
    }

    /// The time between two returns, in milliseconds.
    fn step_ms(&self, gateways: u64, now: Millis) -> f64 {
        let observed_share = 1.0 - (-(now.saturating_sub(self.started) as f64) / AVERAGING_MS).exp();
        let observed_ms = (observed_share * AVERAGING_MS).max(MIN_OBSERVED_MS);
        let min_per_ms = MIN_FLEET_RATE_PER_S / gateways.max(1) as f64 / 1_000.0;
        let per_ms = (self.decayed(now) / observed_ms).max(min_per_ms);
        (1.0 / per_ms).min(MAX_DELAY_MS as f64)
    }
}
