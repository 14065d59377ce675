//! Whether a gateway reaches the upstreams, and which other gateways connect to them on its behalf.
//!
//! If a gateway can't connect to an upstream, either the upstream is down or the path between them is broken. The
//! gateway itself can't tell, but another one can: a relay, which is asked to connect to the upstream and to pass
//! the bytes on. [`Reach`] decides from the outcomes how connections are opened. [`Relays`] selects the gateways
//! to ask.

use crate::Millis;
use crate::silence::{CHECK_DELAY_MS, TOLERANCE_MS};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The number of different upstreams that are reached in no direct way, without one that is, from which on the
/// gateway's own path counts as broken. A partition between the gateway and a few upstreams is less than that.
const BROKEN_PATHS: usize = 3;
/// How long what was found about one upstream is relied on before it is tried directly again, in milliseconds.
const RETRY_MS: Millis = 1_000;
/// How long a relay that did not help is not asked again, in milliseconds.
const RELAY_BACKOFF_MS: Millis = 1_000;
/// The most relays that are asked for one connection.
const MAX_ASKED: usize = 4;

/// How to open a connection to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Directly, and through a relay if that fails or takes long.
    DirectFirst,
    /// Only directly: shortly before, a relay could not reach the upstream either.
    DirectOnly,
    /// Through a relay, and directly if none helps.
    RelayFirst,
}

/// How the attempt to connect to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The direct attempt succeeded.
    Direct,
    /// The direct attempt failed, and a relay reached the upstream.
    Relayed,
    /// The direct attempt, which began at `since`, got no answer while relays reach the upstreams.
    Unanswered {
        /// When the direct attempt began.
        since: Millis,
    },
    /// Neither this gateway nor a relay reached the upstream.
    Failed,
}

/// What a gateway knows of its reach.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Status {
    /// It reaches upstreams directly.
    #[default]
    Direct,
    /// Its own path to the upstreams is broken, and relays reach them.
    Relayed,
    /// It reaches no upstream, directly or through relays.
    Isolated,
}

/// How an attempt changed what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The status is the same.
    None,
    /// The status is new.
    Status(Status),
    /// The gateway may be isolated, or just these upstreams are down: other ones have to be tried.
    MaybeIsolated,
}

/// What the attempts to connect to upstreams tell about the gateway's own path.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    status: Status,
    /// The number of listed upstreams.
    upstreams: usize,
    /// Upstreams that are reached through relays only, and until when this is relied on.
    relayed: HashMap<String, Millis>,
    /// Upstreams that were not reached at all, and until when no relay is asked.
    failed: HashMap<String, Millis>,
    /// The different upstreams that were reached through relays since the last direct connection.
    broken_paths: SmallVec<[String; BROKEN_PATHS]>,
    /// The different upstreams whose addresses did not answer last, with the beginning of the latest direct attempt
    /// at each. A refusal is an answer.
    unanswered: SmallVec<[(String, Millis); BROKEN_PATHS]>,
    /// The different upstreams that were not reached since the last answer or connection of any.
    failed_in_row: SmallVec<[String; BROKEN_PATHS]>,
    /// When the first of them was not reached.
    failing_since: Millis,
}

impl Reach {
    /// What is known.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Sets the number of listed upstreams.
    pub fn set_upstreams(&mut self, count: usize) {
        self.upstreams = count;
    }

    /// How to open a connection to an upstream.
    pub fn plan(&self, upstream: &str, now: Millis) -> Plan {
        let holds = |known: &HashMap<String, Millis>| known.get(upstream).is_some_and(|until| now < *until);
        match self.status {
            Status::Relayed => Plan::RelayFirst,
            Status::Direct | Status::Isolated if holds(&self.relayed) => Plan::RelayFirst,
            Status::Direct | Status::Isolated if holds(&self.failed) => Plan::DirectOnly,
            Status::Direct | Status::Isolated => Plan::DirectFirst,
        }
    }

    /// Records how an attempt to connect to an upstream ended. `heard` is when an upstream last answered.
    pub fn record(&mut self, upstream: &str, attempt: Attempt, heard: Millis, now: Millis) -> Change {
        self.relayed.retain(|_, until| now < *until);
        self.failed.retain(|_, until| now < *until);
        match attempt {
            Attempt::Direct => {
                self.relayed.remove(upstream);
                self.failed.remove(upstream);
                self.broken_paths.clear();
                self.unanswered.clear();
                self.failed_in_row.clear();
                self.set_status(Status::Direct)
            }
            Attempt::Relayed => {
                self.unanswered.clear();
                self.record_relayed(upstream, now)
            }
            Attempt::Unanswered { since } => {
                self.unanswered.retain(|(known, _)| known != upstream);
                self.unanswered.truncate(BROKEN_PATHS - 1);
                self.unanswered.insert(0, (upstream.to_owned(), since));
                self.record_relayed(upstream, now)
            }
            Attempt::Failed => {
                self.failed.insert(upstream.to_owned(), now + RETRY_MS);
                if self.failed_in_row.is_empty() || heard >= self.failing_since {
                    self.failed_in_row.clear();
                    self.failing_since = now;
                }
                insert(&mut self.failed_in_row, upstream);
                let outlasts_silence = now.saturating_sub(self.failing_since) >= TOLERANCE_MS;
                let is_suspect = self.failed_in_row.len() >= self.required()
                    && outlasts_silence
                    && self.status != Status::Isolated;
                if is_suspect { Change::MaybeIsolated } else { Change::None }
            }
        }
    }

    fn record_relayed(&mut self, upstream: &str, now: Millis) -> Change {
        self.relayed.insert(upstream.to_owned(), now + RETRY_MS);
        self.failed.remove(upstream);
        self.failed_in_row.clear();
        insert(&mut self.broken_paths, upstream);
        let is_broken = self.broken_paths.len() >= self.required() || self.status == Status::Isolated;
        if is_broken { self.set_status(Status::Relayed) } else { Change::None }
    }

    /// The time until a direct connection counts as lost on which a request has waited since `since`, in
    /// milliseconds; `None` while the path is not known to be silent. `heard` is when anything last arrived on a
    /// direct connection.
    ///
    /// Where new connections are refused, open ones may go on. A path is silent only if it answers no attempt, nothing
    /// arrives on open connections, and relays reach the upstreams meanwhile.
    pub fn loss_delay_ms(&self, since: Millis, heard: Millis, now: Millis) -> Option<Millis> {
        let unanswered = self.unanswered.iter().filter(|(_, began)| *began > heard).count();
        let is_silent = self.status == Status::Relayed && unanswered >= self.required();
        is_silent.then(|| (since.max(heard) + CHECK_DELAY_MS).saturating_sub(now))
    }

    /// Records that no other upstream was reached either. Returns whether the gateway is isolated from now on.
    pub fn confirm_isolated(&mut self) -> bool {
        self.set_status(Status::Isolated) != Change::None
    }

    /// The number of upstreams that it takes to judge the gateway's own path.
    fn required(&self) -> usize {
        BROKEN_PATHS.min(self.upstreams).max(1)
    }

    fn set_status(&mut self, status: Status) -> Change {
        match std::mem::replace(&mut self.status, status) == status {
            true => Change::None,
            false => Change::Status(status),
        }
    }
}

fn insert(names: &mut SmallVec<[String; BROKEN_PATHS]>, name: &str) {
    if names.len() < BROKEN_PATHS && names.iter().all(|known| known != name) {
        names.push(name.to_owned());
    }
}

/// How far another gateway is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In another data centre of the same region.
    Region,
    /// In another region.
    Far,
}

/// The other gateways as relays.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    gateways: Vec<(SocketAddr, Distance)>,
    /// Gateways that did not help, and until when they are not asked.
    backoff: HashMap<SocketAddr, Millis>,
}

impl Relays {
    /// Sets the other gateways.
    pub fn set(&mut self, gateways: Vec<(SocketAddr, Distance)>) {
        self.gateways = gateways;
    }

    /// The gateways to ask for one connection, in this order. `seed` varies the selection, so that connections
    /// spread over the gateways. After the first one, which is near, each further one is from a wider area: what
    /// cut off this gateway may have cut off its neighbours as well.
    pub fn select(&self, seed: u64, now: Millis) -> SmallVec<[SocketAddr; MAX_ASKED]> {
        let is_available = |gateway: &SocketAddr| self.backoff.get(gateway).is_none_or(|until| *until <= now);
        let mut selected = SmallVec::new();
        for widest in [Distance::DataCentre, Distance::Region, Distance::Region, Distance::Far] {
            let fits = |(gateway, distance): &&(SocketAddr, Distance)| {
                *distance <= widest && is_available(gateway) && !selected.contains(gateway)
            };
            let count = self.gateways.iter().filter(fits).count() as u64;
            let index = seed.rotate_left(selected.len() as u32 * 16).checked_rem(count);
            let chosen = index.and_then(|index| self.gateways.iter().filter(fits).nth(index as usize));
            if let Some((gateway, _)) = chosen {
                selected.push(*gateway);
            }
        }
        selected
    }

    /// Records that a gateway did not help.
    pub fn back_off(&mut self, gateway: SocketAddr, now: Millis) {
        self.backoff.retain(|_, until| now < *until);
        self.backoff.insert(gateway, now + RELAY_BACKOFF_MS);
    }
}
