//! A router's view of the fleet: the platform's list, which lags behind, corrected by heartbeats.
//!
//! Each router sends heartbeats to a bounded number of others, its successors on a ring of hashed names. So
//! the traffic per router does not grow with the fleet.

use crate::link::Heartbeat;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The time in milliseconds after the first unanswered heartbeat at which a router becomes suspect.
const SUSPECT_AFTER_MS: u64 = 2_000;
/// The time in milliseconds after the first unanswered heartbeat at which a router counts as gone.
const GONE_AFTER_MS: u64 = 10_000;

/// The state of a router, as seen by another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// The router has not failed to answer heartbeats recently, or none was sent to it.
    Alive,
    /// The router has not answered for a while; the network may be partitioned.
    Suspect,
    /// The router has not answered for long, or is stopping.
    Gone,
}

/// A router in the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The name of the VM.
    pub name: String,
    /// The address for peers.
    pub address: SocketAddr,
    /// The address for callers; `None` before the first heartbeat.
    pub callers: Option<SocketAddr>,
    /// The incarnation; 0 before the first heartbeat.
    pub incarnation: u64,
    /// The sequence of the bundle in force there, as of the last heartbeat.
    pub sequence: u64,
    /// Whether the last heartbeat said that the router is stopping.
    pub stopping: bool,
    listed: bool,
    last_heartbeat: Option<u64>,
    silent_since: Option<u64>,
}

impl Member {
    /// Creates a member that is known from the platform's list only.
    pub fn new(name: &str, address: SocketAddr) -> Member {
        Member {
            name: name.to_owned(),
            address,
            callers: None,
            incarnation: 0,
            sequence: 0,
            stopping: false,
            listed: true,
            last_heartbeat: None,
            silent_since: None,
        }
    }

    /// The state at time `now` in milliseconds.
    pub fn state(&self, now: u64) -> MemberState {
        if self.stopping {
            return MemberState::Gone;
        }
        match self.silent_since.map(|since| now.saturating_sub(since)) {
            Some(GONE_AFTER_MS..) => MemberState::Gone,
            Some(SUSPECT_AFTER_MS..) => MemberState::Suspect,
            _ => MemberState::Alive,
        }
    }
}

/// The fleet as one router sees it.
#[derive(Clone, Debug)]
pub struct FleetView {
    own_name: String,
    members: BTreeMap<String, Member>,
}

impl FleetView {
    /// Creates the view of router `own_name`, without other members.
    pub fn new(own_name: &str) -> FleetView {
        FleetView { own_name: own_name.to_owned(), members: BTreeMap::new() }
    }

    /// Updates the members from the platform's list of routers. Members that are not listed are removed once
    /// they are gone.
    pub fn update_listed(&mut self, listed: &[Member], now: u64) {
        for member in self.members.values_mut() {
            member.listed = listed.iter().any(|one| one.name == member.name);
        }
        for one in listed.iter().filter(|one| one.name != self.own_name) {
            let known = self.members.entry(one.name.clone()).or_insert_with(|| one.clone());
            if known.address != one.address {
                *known = one.clone();
            }
        }
        self.members.retain(|_, member| member.listed || member.state(now) != MemberState::Gone);
    }

    /// Records a heartbeat. Returns whether the router is new or has restarted.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: u64) -> bool {
        if heartbeat.name == self.own_name {
            return false;
        }
        let member = self
            .members
            .entry(heartbeat.name.clone())
            .or_insert_with(|| Member { listed: false, ..Member::new(&heartbeat.name, heartbeat.address) });
        if heartbeat.incarnation < member.incarnation {
            return false;
        }
        let is_new = heartbeat.incarnation > member.incarnation;
        member.address = heartbeat.address;
        member.callers = Some(heartbeat.callers);
        member.incarnation = heartbeat.incarnation;
        member.sequence = heartbeat.sequence;
        member.stopping = heartbeat.stopping;
        member.last_heartbeat = Some(now);
        member.silent_since = None;
        is_new
    }

    /// Records that a heartbeat to `name` was not answered.
    pub fn record_no_answer(&mut self, name: &str, now: u64) {
        if let Some(member) = self.members.get_mut(name) {
            member.silent_since.get_or_insert(now);
        }
    }

    /// The routers to send heartbeats to: at most `count` successors on the ring.
    pub fn heartbeat_targets(&self, count: usize) -> Vec<&str> {
        let own_hash = xxh3_64(self.own_name.as_bytes());
        let mut ring: Vec<(u64, &str)> = self
            .members
            .keys()
            .map(|name| (xxh3_64(name.as_bytes()).wrapping_sub(own_hash), name.as_str()))
            .collect();
        ring.sort_unstable();
        ring.into_iter().take(count).map(|(_, name)| name).collect()
    }

    /// The members in the given state.
    pub fn members(&self, state: MemberState, now: u64) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.state(now) == state)
    }

    /// Returns the member with the given name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The names of the routers among which upstreams are divided: this router and all members. Suspects are
    /// included, so that no router's share grows during a network partition.
    pub fn router_names(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.members.keys().map(String::as_str).collect();
        names.push(&self.own_name);
        names.sort_unstable();
        names
    }

    /// The router that stores the hint for `key`; `None` if it is this one.
    pub fn hint_router(&self, key: &str, now: u64) -> Option<&Member> {
        let score = |name: &str| xxh3_64(format!("{name}|{key}").as_bytes());
        let best = self.members(MemberState::Alive, now).max_by_key(|member| score(&member.name))?;
        (score(&best.name) > score(&self.own_name)).then_some(best)
    }
}
