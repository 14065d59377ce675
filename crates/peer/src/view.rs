//! Who is in the fleet: the platform's lagging list, corrected by heartbeats.
//!
//! Each router sends heartbeats to a bounded number of others, its successors on a ring of hashed names, so
//! the traffic of a node does not grow with the fleet.

use crate::link::Heartbeat;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Milliseconds without a heartbeat after which a router that sent some is suspected.
const SUSPECT_AFTER: u64 = 2_000;
/// Milliseconds without a heartbeat after which it counts as gone.
const GONE_AFTER: u64 = 10_000;

/// What is thought of a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It sends heartbeats, or is listed and was not asked yet.
    Alive,
    /// It has been silent; it may be cut off.
    Suspect,
    /// It has been silent for long, or is stopping.
    Gone,
}

/// One router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The VM.
    pub name: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Where its callers reach it, once it said so.
    pub callers: Option<SocketAddr>,
    /// Its incarnation, once it said so.
    pub incarnation: u64,
    /// The bundle sequence in force there, as last heard.
    pub sequence: u64,
    /// Whether it said that it is stopping.
    pub stopping: bool,
    listed: bool,
    last_heartbeat: Option<u64>,
    silent_since: Option<u64>,
}

impl Member {
    /// A router that is known by name only.
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

    /// What is thought of it at time `now` in milliseconds.
    pub fn state(&self, now: u64) -> MemberState {
        if self.stopping {
            return MemberState::Gone;
        }
        match self.silent_since.map(|since| now.saturating_sub(since)) {
            Some(GONE_AFTER..) => MemberState::Gone,
            Some(SUSPECT_AFTER..) => MemberState::Suspect,
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
    /// The view of router `me`, which knows nobody yet.
    pub fn new(own_name: &str) -> FleetView {
        FleetView { own_name: own_name.to_owned(), members: BTreeMap::new() }
    }

    /// Takes in the platform's list of other routers.
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

    /// Takes in a heartbeat; `true` if the router is new or restarted.
    pub fn record_heartbeat(&mut self, beat: &Heartbeat, now: u64) -> bool {
        if beat.name == self.own_name {
            return false;
        }
        let member = self
            .members
            .entry(beat.name.clone())
            .or_insert_with(|| Member { listed: false, ..Member::new(&beat.name, beat.address) });
        if beat.incarnation < member.incarnation {
            return false;
        }
        let news = beat.incarnation > member.incarnation;
        member.address = beat.address;
        member.callers = Some(beat.callers);
        member.incarnation = beat.incarnation;
        member.sequence = beat.sequence;
        member.stopping = beat.stopping;
        member.last_heartbeat = Some(now);
        member.silent_since = None;
        news
    }

    /// Notes that a heartbeat to `name` got no answer.
    pub fn record_no_answer(&mut self, name: &str, now: u64) {
        if let Some(member) = self.members.get_mut(name) {
            member.silent_since.get_or_insert(now);
        }
    }

    /// The routers to send a heartbeat to: at most `count` successors on the ring.
    pub fn heartbeat_targets(&self, count: usize) -> Vec<&str> {
        let mine = xxh3_64(self.own_name.as_bytes());
        let mut ring: Vec<(u64, &str)> = self
            .members
            .keys()
            .map(|name| (xxh3_64(name.as_bytes()).wrapping_sub(mine), name.as_str()))
            .collect();
        ring.sort_unstable();
        ring.into_iter().take(count).map(|(_, name)| name).collect()
    }

    /// The routers of a state.
    pub fn members(&self, state: MemberState, now: u64) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.state(now) == state)
    }

    /// One router.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The names by which upstreams are shared out: this router and all that are listed or heard, suspects
    /// included, so that a partition makes nobody's share grow.
    pub fn router_names(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.members.keys().map(String::as_str).collect();
        names.push(&self.own_name);
        names.sort_unstable();
        names
    }

    /// The router that keeps the hint for `key`, if it is another one.
    pub fn hint_router(&self, key: &str, now: u64) -> Option<&Member> {
        let score = |name: &str| xxh3_64(format!("{name}|{key}").as_bytes());
        let best = self.members(MemberState::Alive, now).max_by_key(|member| score(&member.name))?;
        (score(&best.name) > score(&self.own_name)).then_some(best)
    }
}
