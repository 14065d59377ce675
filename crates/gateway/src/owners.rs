//! Which gateways hold the budget of a team for the whole fleet.
//!
//! A budget that is spread over all gateways is in pieces: in a cut some refuse what others could pay, each piece needs
//! room of its own in its gateway's notes, and each settlement meets the others'. So a team has one owner, or a few in a
//! large fleet, at which the others reserve. Who owns is only a matter of preference: tokens are safe wherever they are
//! drawn, so gateways that see the fleet differently do no harm.

use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Gateways for each owner of a team: so many can reserve at one without its processor being the limit, at some ten
/// requests a second each.
const GATEWAYS_PER_OWNER: usize = 20;
/// How long a gateway that did not answer is passed over: a restart takes about that.
const REST: Duration = Duration::from_millis(1_000);

/// Another gateway.
#[derive(Clone, Debug)]
struct Peer {
    name: String,
    address: SocketAddr,
    rests_until: Option<Instant>,
}

/// Where to reserve tokens of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    /// Here.
    Own,
    /// At another gateway.
    Peer(SocketAddr),
}

/// The gateways of the fleet, as owners of budgets.
#[derive(Debug)]
pub(crate) struct Owners {
    name: String,
    peers: Mutex<Vec<Peer>>,
}

impl Owners {
    /// Knows only the gateway `name`, which is this one.
    pub(crate) fn new(name: &str) -> Owners {
        Owners { name: name.to_owned(), peers: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Peer>> {
        self.peers.lock().expect("no thread panics while it holds the peers")
    }

    /// Takes in the other gateways that are alive.
    pub(crate) fn set_peers(&self, alive: &[(String, SocketAddr)]) {
        let mut peers = self.lock();
        let rests = |name: &str, address: SocketAddr| {
            let known = peers.iter().find(|peer| peer.name == name && peer.address == address);
            known.and_then(|peer| peer.rests_until)
        };
        let next = alive.iter().map(|(name, address)| Peer {
            name: name.clone(),
            address: *address,
            rests_until: rests(name, *address),
        });
        *peers = next.collect();
    }

    /// Where to reserve tokens of `team` now.
    pub(crate) fn of(&self, team: &str) -> Owner {
        let peers = self.lock();
        let now = Instant::now();
        let ranked = self.ranked(team, &peers);
        let owners = owners_in(peers.len() + 1);
        // Each gateway prefers one of the owners, so that they share the requests.
        let first = xxh3_64(self.name.as_bytes()) as usize % owners;
        let preferred = ranked[..owners].iter().cycle().skip(first).take(owners).chain(&ranked[owners..]);
        let is_awake = |peer: &Peer| peer.rests_until.is_none_or(|until| until <= now);
        for index in preferred {
            match index {
                None => return Owner::Own,
                Some(index) if is_awake(&peers[*index]) => return Owner::Peer(peers[*index].address),
                Some(_) => {}
            }
        }
        Owner::Own
    }

    /// How many gateways own `team`, if this one is among them; `None` if it knows no other.
    pub(crate) fn share(&self, team: &str) -> Option<u64> {
        let peers = self.lock();
        if peers.is_empty() {
            return None;
        }
        let owners = owners_in(peers.len() + 1);
        let is_owner = self.ranked(team, &peers)[..owners].contains(&None);
        Some(if is_owner { owners as u64 } else { 0 })
    }

    /// The gateways by their preference for `team`; `None` is this one.
    fn ranked(&self, team: &str, peers: &[Peer]) -> SmallVec<[Option<usize>; 16]> {
        let seed = xxh3_64(team.as_bytes());
        let weight = |index: &Option<usize>| {
            let name = index.map_or(self.name.as_str(), |index| peers[index].name.as_str());
            xxh3_64_with_seed(name.as_bytes(), seed)
        };
        let mut ranked: SmallVec<[Option<usize>; 16]> = (0..peers.len()).map(Some).collect();
        ranked.push(None);
        ranked.sort_by_key(|index| std::cmp::Reverse(weight(index)));
        ranked
    }

    /// Passes a gateway over for a while: it did not answer.
    pub(crate) fn rest(&self, address: SocketAddr) {
        if let Some(peer) = self.lock().iter_mut().find(|peer| peer.address == address) {
            peer.rests_until = Some(Instant::now() + REST);
        }
    }
}

/// How many gateways of so many own a team.
fn owners_in(gateways: usize) -> usize {
    gateways.div_ceil(GATEWAYS_PER_OWNER).min(gateways)
}

#[cfg(test)]
#[path = "../tests/unit/owners.rs"]
mod tests;
