//! Selects the gateways that own the budget of a team on behalf of the whole fleet.
//!
//! Spreading a budget over all gateways would split it into many pieces. During a network partition, some
//! gateways would deny requests that others could pay for, each piece would need its own allowance in the
//! notes of its gateway, and each settlement would conflict with those of the others. Therefore a team has
//! one owner, or a few if it is a large part of the work of a large fleet, and the other gateways reserve
//! tokens at its owners. Ownership is only a preference: tokens are safe wherever they are drawn, so it does
//! no harm if gateways have different views of the fleet.

use route::reach::Distance;
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of gateways for which one owner makes reservations. With some ten requests per second from each
/// of them, the owner's processor is not the bottleneck. A team has as many owners as its share of the
/// fleet's requests needs, so that the number of pieces of its budget depends on its use and not on the size
/// of the fleet.
const GATEWAYS_PER_OWNER: usize = 20;
/// Only VMs with at least this fraction of the cores of the largest one own budgets, if there are enough of
/// them: an owner has to answer for its teams even if its own callers keep it busy.
const LARGE_VM_RATIO: f64 = 0.5;
/// The largest number of gateways that are ranked for a team: its owners, and those that replace owners that
/// do not answer.
const MAX_RANKED: usize = 8;
/// The time for which a gateway that did not answer is skipped: about the duration of a restart.
const SKIP_DURATION: Duration = Duration::from_millis(1_000);
/// The longest time for which a gateway that stops is not ranked though it is still listed.
const STOPPING_DURATION: Duration = Duration::from_secs(10);

/// Another gateway that is alive.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Peer {
    pub name: String,
    /// The address at which it listens for other gateways.
    pub address: SocketAddr,
    /// The number of processor cores of its VM.
    pub cores: f64,
    pub distance: Distance,
}

/// Where to reserve tokens of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    /// At this gateway.
    Local,
    /// At another gateway.
    Peer(SocketAddr),
}

/// The gateways of the fleet as owners of budgets.
#[derive(Debug)]
pub(crate) struct Owners {
    name: String,
    cores: f64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    peers: Vec<Peer>,
    /// Gateways that did not answer, and until when they are skipped.
    skipped_until: HashMap<SocketAddr, Instant>,
    /// Whether this gateway stops.
    is_stopping: bool,
    /// Other gateways that stop, by name, and until when they are not ranked.
    stopping_until: HashMap<String, Instant>,
    /// Each team's share of all prepaid tokens.
    level_shares: HashMap<String, f64>,
    /// Rankings by team since the last change of the fleet or the shares. They are cached because a ranking
    /// sorts the whole fleet, and each request needs one.
    rankings: HashMap<String, Ranking>,
}

/// The gateways ranked for a team.
#[derive(Clone, Debug)]
struct Ranking {
    /// The number of gateways, from the start of the list, that own the team's budget.
    owners: usize,
    /// Their addresses; `None` stands for this gateway.
    gateways: SmallVec<[Option<SocketAddr>; MAX_RANKED]>,
}

impl Owners {
    /// Creates the state of the gateway `name`, whose VM has `cores` cores and which knows no other gateway
    /// yet.
    pub(crate) fn new(name: &str, cores: f64) -> Owners {
        Owners { name: name.to_owned(), cores, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the peers")
    }

    /// Sets the other gateways that are alive.
    pub(crate) fn set_peers(&self, alive: &[Peer]) {
        let mut state = self.lock();
        let now = Instant::now();
        let excluded = state.stopping_until.len();
        state.stopping_until.retain(|_, until| *until > now);
        if state.peers == alive && state.stopping_until.len() == excluded {
            return;
        }
        state.peers = alive.to_vec();
        state.rankings.clear();
        state.skipped_until.retain(|_, until| *until > now);
    }

    /// The addresses of the other gateways whose name satisfies `is_wanted`.
    pub(crate) fn addresses(&self, is_wanted: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let peers = self.lock().peers.clone();
        peers.iter().filter(|peer| is_wanted(&peer.name)).map(|peer| peer.address).collect()
    }

    /// Sets the prepaid tokens of each team.
    pub(crate) fn set_levels<'a>(&self, levels: impl Iterator<Item = (&'a str, u64)> + Clone) {
        let all = levels.clone().map(|(_, tokens)| tokens as f64).sum::<f64>().max(1.0);
        let mut state = self.lock();
        state.level_shares = levels.map(|(team, tokens)| (team.to_owned(), tokens as f64 / all)).collect();
        state.rankings.clear();
    }

    /// Where to reserve tokens of `team` now.
    pub(crate) fn owner_of(&self, team: &str) -> Owner {
        let mut state = self.lock();
        let now = Instant::now();
        let Ranking { owners, gateways } = self.ranking(&mut state, team);
        // Each gateway prefers one of the owners, so that the requests are spread over them.
        let first = xxh3_64(self.name.as_bytes()) as usize % owners;
        let preferred = gateways[..owners].iter().cycle().skip(first).take(owners).chain(&gateways[owners..]);
        let is_usable =
            |address: &SocketAddr| state.skipped_until.get(address).is_none_or(|until| *until <= now);
        for gateway in preferred {
            match gateway {
                None => return Owner::Local,
                Some(address) if is_usable(address) => return Owner::Peer(*address),
                Some(_) => {}
            }
        }
        Owner::Local
    }

    /// The gateway that takes this one's place among the owners of `team` once this one has stopped; `None` if this one
    /// is no owner, or there is no other gateway left.
    pub(crate) fn successor(&self, team: &str) -> Option<SocketAddr> {
        let mut state = self.lock();
        let Ranking { owners, gateways } = self.ranking(&mut state, team);
        gateways[..owners].contains(&None).then(|| gateways.get(owners).copied().flatten()).flatten()
    }

    /// The number of gateways that own the budget of `team`, or 0 if this gateway is not among them; `None`
    /// if no other gateway is known.
    pub(crate) fn owner_count(&self, team: &str) -> Option<u64> {
        let mut state = self.lock();
        if state.peers.is_empty() {
            return None;
        }
        let Ranking { owners, gateways } = self.ranking(&mut state, team);
        Some(if gateways[..owners].contains(&None) { owners as u64 } else { 0 })
    }

    /// The number of gateways that own a budget, as an upper bound: the owners of all teams, but no more than
    /// there are gateways.
    pub(crate) fn total_owners(&self) -> u64 {
        let state = self.lock();
        let gateways = state.peers.len() + 1;
        let owners: usize = state.level_shares.values().map(|share| owners_for_share(*share, gateways)).sum();
        owners.clamp(1, gateways) as u64
    }

    fn ranking(&self, state: &mut State, team: &str) -> Ranking {
        if let Some(known) = state.rankings.get(team) {
            return known.clone();
        }
        let ranking = self.rank(state, team);
        state.rankings.insert(team.to_owned(), ranking.clone());
        ranking
    }

    /// Ranks the gateways for `team` by rendezvous hashing, those on large VMs first.
    fn rank(&self, state: &State, team: &str) -> Ranking {
        let seed = xxh3_64(team.as_bytes());
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let least = self.least_cores(&state.peers);
        let key = |name: &str, cores: f64| (cores < least, Reverse(weight(name)));
        let staying = state.peers.iter().filter(|peer| !state.stopping_until.contains_key(&peer.name));
        let mut ranked: Vec<_> =
            staying.map(|peer| (key(&peer.name, peer.cores), Some(peer.address))).collect();
        if !state.is_stopping || ranked.is_empty() {
            ranked.push((key(&self.name, self.cores), None));
        }
        ranked.sort_unstable_by_key(|(key, _)| *key);
        let share = state.level_shares.get(team).copied().unwrap_or(0.0);
        let owners = owners_for_share(share, ranked.len()).min(MAX_RANKED);
        Ranking {
            owners,
            gateways: ranked.into_iter().map(|(_, gateway)| gateway).take(MAX_RANKED).collect(),
        }
    }

    /// The cores that a VM needs to own budgets: [`LARGE_VM_RATIO`] of those of the largest VM, or fewer if
    /// too few VMs have that many.
    fn least_cores(&self, peers: &[Peer]) -> f64 {
        let mut cores: Vec<f64> = peers.iter().map(|peer| peer.cores).collect();
        cores.push(self.cores);
        cores.sort_unstable_by(|left, right| right.total_cmp(left));
        let needed = cores.len().div_ceil(GATEWAYS_PER_OWNER);
        (cores[0] * LARGE_VM_RATIO).min(cores[needed - 1])
    }

    /// No longer ranks this gateway, because it stops. It reserves tokens at others, if there are any.
    pub(crate) fn exclude_self(&self) {
        let mut state = self.lock();
        state.is_stopping = true;
        state.rankings.clear();
    }

    /// No longer ranks another gateway that stops, so that others own its budgets.
    pub(crate) fn exclude(&self, name: &str) {
        let mut state = self.lock();
        state.stopping_until.insert(name.to_owned(), Instant::now() + STOPPING_DURATION);
        state.rankings.clear();
    }

    /// Skips a gateway that did not answer for [`SKIP_DURATION`].
    pub(crate) fn skip(&self, address: SocketAddr) {
        self.lock().skipped_until.insert(address, Instant::now() + SKIP_DURATION);
    }
}

/// The number of owners, out of `gateways`, of a team that has this share of all prepaid tokens.
fn owners_for_share(share: f64, gateways: usize) -> usize {
    let needed = share * gateways as f64 / GATEWAYS_PER_OWNER as f64;
    (needed.round() as usize).clamp(1, gateways)
}

#[cfg(test)]
#[path = "../tests/unit/owners.rs"]
mod tests;
