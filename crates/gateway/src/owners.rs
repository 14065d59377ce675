//! Which gateways hold the budget of a team for the whole fleet.
//!
//! A budget that is spread over all gateways is in pieces: in a cut some refuse what others could pay, each piece needs
//! room of its own in its gateway's notes, and each settlement meets the others'. So a team has one owner, or a few if it
//! is a large part of a large fleet's work, at which the others reserve. Who owns is only a matter of preference: tokens
//! are safe wherever they are drawn, so gateways that see the fleet differently do no harm.

use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Gateways whose requests one owner takes at most: so many can reserve at one without its processor being the limit, at
/// some ten requests a second each. A team has as many owners as its part of the fleet's requests takes, so the pieces of
/// a budget follow its use and not the number of gateways.
const GATEWAYS_PER_OWNER: usize = 20;
/// Only VMs with at least this part of the largest one's processor own budgets, if there are enough of them: an owner
/// answers for its teams however busy its own callers keep it.
const LARGE_VM_RATIO: f64 = 0.5;
/// How many gateways are ranked for a team at most: its owners, and those that stand in while owners do not answer.
const MAX_RANKED: usize = 8;
/// How long a gateway that did not answer is passed over: a restart takes about that.
const SKIP_DURATION: Duration = Duration::from_millis(1_000);

/// Another gateway that is alive.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Peer {
    pub name: String,
    /// Where it listens for other gateways.
    pub address: SocketAddr,
    /// Processor cores that its VM has.
    pub cores: f64,
}

/// Where to reserve tokens of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    /// Here.
    Local,
    /// At another gateway.
    Peer(SocketAddr),
}

/// The gateways of the fleet, as owners of budgets.
#[derive(Debug)]
pub(crate) struct Owners {
    name: String,
    cores: f64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    peers: Vec<Peer>,
    /// Gateways that did not answer, until when they are passed over.
    skipped_until: HashMap<SocketAddr, Instant>,
    /// The part of all prepaid tokens that each team has.
    level_shares: HashMap<String, f64>,
    /// Rankings that were made since the fleet or the shares changed: one sorts the whole fleet, and each request needs one.
    rankings: HashMap<String, Ranking>,
}

/// The gateways that a team prefers.
#[derive(Clone, Debug)]
struct Ranking {
    /// How many of them own it.
    owners: usize,
    /// `None` is this gateway.
    gateways: SmallVec<[Option<SocketAddr>; MAX_RANKED]>,
}

impl Owners {
    /// Knows only the gateway `name`, which is this one, with so many cores.
    pub(crate) fn new(name: &str, cores: f64) -> Owners {
        Owners { name: name.to_owned(), cores, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the peers")
    }

    /// Takes in the other gateways that are alive.
    pub(crate) fn set_peers(&self, alive: &[Peer]) {
        let mut state = self.lock();
        if state.peers == alive {
            return;
        }
        state.peers = alive.to_vec();
        state.rankings.clear();
        let now = Instant::now();
        state.skipped_until.retain(|_, until| *until > now);
    }

    /// Takes in the prepaid tokens of each team.
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
        // Each gateway prefers one of the owners, so that they share the requests.
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

    /// How many gateways own `team`, if this one is among them; `None` if it knows no other.
    pub(crate) fn owner_count(&self, team: &str) -> Option<u64> {
        let mut state = self.lock();
        if state.peers.is_empty() {
            return None;
        }
        let Ranking { owners, gateways } = self.ranking(&mut state, team);
        Some(if gateways[..owners].contains(&None) { owners as u64 } else { 0 })
    }

    /// How many gateways own a budget: each owner of each team counted, up to the size of the fleet.
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

    /// Ranks the gateways for `team`: the large ones first, each by its own preference.
    fn rank(&self, state: &State, team: &str) -> Ranking {
        let seed = xxh3_64(team.as_bytes());
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let least = self.least_cores(&state.peers);
        let key = |name: &str, cores: f64| (cores < least, Reverse(weight(name)));
        let mut ranked: Vec<_> =
            state.peers.iter().map(|peer| (key(&peer.name, peer.cores), Some(peer.address))).collect();
        ranked.push((key(&self.name, self.cores), None));
        ranked.sort_unstable_by_key(|(key, _)| *key);
        let share = state.level_shares.get(team).copied().unwrap_or(0.0);
        let owners = owners_for_share(share, ranked.len()).min(MAX_RANKED);
        Ranking {
            owners,
            gateways: ranked.into_iter().map(|(_, gateway)| gateway).take(MAX_RANKED).collect(),
        }
    }

    /// The cores that a VM needs to own budgets: half of the largest one's, or less if too few have that.
    fn least_cores(&self, peers: &[Peer]) -> f64 {
        let mut cores: Vec<f64> = peers.iter().map(|peer| peer.cores).collect();
        cores.push(self.cores);
        cores.sort_unstable_by(|left, right| right.total_cmp(left));
        let needed = cores.len().div_ceil(GATEWAYS_PER_OWNER);
        (cores[0] * LARGE_VM_RATIO).min(cores[needed - 1])
    }

    /// Passes a gateway over for a while: it did not answer.
    pub(crate) fn skip(&self, address: SocketAddr) {
        self.lock().skipped_until.insert(address, Instant::now() + SKIP_DURATION);
    }
}

/// How many gateways of so many own a team that has this part of all prepaid tokens.
fn owners_for_share(share: f64, gateways: usize) -> usize {
    let needed = share * gateways as f64 / GATEWAYS_PER_OWNER as f64;
    (needed.round() as usize).clamp(1, gateways)
}

#[cfg(test)]
#[path = "../tests/unit/owners.rs"]
mod tests;
