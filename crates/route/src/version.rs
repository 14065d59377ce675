//! Which software versions the upstreams of each service run, now and lately.
//!
//! Versions have no order, and several may serve side by side. A stream may go on only at the version that began
//! it, so a gateway has to know whether there was a choice when a stream began.

use crate::Millis;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The age up to which a gateway's view of the list counts as current, in milliseconds: twice the time for which the
/// store holds a request for changes.
const CURRENT_MS: Millis = 2_000;

/// A software version, as a digest of its name.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version(u32);

impl Version {
    /// The version with this name.
    pub fn of(name: &str) -> Version {
        Version(xxh3_64(name.as_bytes()) as u32)
    }
}

/// The versions of a service that a gateway has seen for as long as a stream may last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Seen {
    /// It has followed the list for too short a time, its list is not current, or it knows no upstream.
    Unknown,
    /// Only this one.
    Sole(Version),
    /// Two or more.
    Several,
}

impl Seen {
    /// What is known at present, if the list may be behind: another version may have joined.
    pub fn behind(self) -> Seen {
        match self {
            Seen::Sole(_) => Seen::Unknown,
            Seen::Several | Seen::Unknown => self,
        }
    }
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    /// The number of listed upstreams of each version.
    listed: HashMap<Version, usize>,
    /// When the last upstream of a version left the list.
    former: HashMap<Version, Millis>,
}

/// The versions of all services, as the list of upstreams shows them.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    services: HashMap<String, Service>,
    /// When the list was first read.
    since: Option<Millis>,
    /// When the list was last known to be complete.
    confirmed: Option<Millis>,
    /// Whether the versions from before the list was first read are known.
    knows_past: bool,
}

impl Versions {
    /// Records that the list is known as of `now`. Other versions may have come and gone unseen before.
    pub fn confirm(&mut self, now: Millis) {
        self.since = Some(now);
        self.knows_past = false;
        self.confirm_changes(now);
    }

    /// Records that the list is known as of `now`, with all versions that were listed since the last time.
    pub fn confirm_changes(&mut self, now: Millis) {
        self.since.get_or_insert(now);
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Records versions that were listed before, unseen by this gateway.
    pub fn learn_former<'a>(&mut self, former: impl IntoIterator<Item = (&'a str, Version)>, now: Millis) {
        for (service, version) in former {
            let service = self.service(service);
            if !service.listed.contains_key(&version) {
                service.former.insert(version, now);
            }
        }
    }

    /// Records that all versions are known that were listed before this gateway began to follow the list.
    pub fn trust_past(&mut self) {
        self.knows_past = true;
    }

    /// The versions of all services that are no longer listed, but were within `lifetime`.
    pub fn former(&self, lifetime: Millis, now: Millis) -> impl Iterator<Item = (&str, Version)> {
        self.services.iter().flat_map(move |(name, service)| {
            let recent =
                service.former.iter().filter(move |(_, left)| now.saturating_sub(**left) <= lifetime);
            recent.map(move |(version, _)| (name.as_str(), *version))
        })
    }

    fn service(&mut self, name: &str) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), Service::default());
        }
        self.services.get_mut(name).expect("it was just added")
    }

    /// Whether the list was confirmed a short time ago.
    fn is_current(&self, now: Millis) -> bool {
        self.confirmed.is_some_and(|at| now.saturating_sub(at) <= CURRENT_MS)
    }

    /// Records that an upstream is listed.
    pub fn add(&mut self, service: &str, version: Version) {
        let service = self.service(service);
        *service.listed.entry(version).or_default() += 1;
        service.former.remove(&version);
    }

    /// Records that an upstream is no longer listed.
    pub fn remove(&mut self, service: &str, version: Version, now: Millis) {
        let Some(service) = self.services.get_mut(service) else { return };
        let Some(count) = service.listed.get_mut(&version) else { return };
        *count -= 1;
        if *count == 0 {
            service.listed.remove(&version);
            service.former.insert(version, now);
        }
    }

    /// The versions of a service seen within `lifetime`, the longest time that a stream and its resumptions take.
    pub fn seen(&self, service: &str, lifetime: Millis, now: Millis) -> Seen {
        let Some(service) = self.services.get(service) else { return Seen::Unknown };
        let former = service.former.iter().filter(|(_, left)| now.saturating_sub(**left) <= lifetime);
        let mut versions = service.listed.keys().chain(former.map(|(version, _)| version));
        match (versions.next(), versions.next()) {
            (Some(_), Some(_)) => Seen::Several,
            (Some(version), None) if self.is_current(now) && self.covers(lifetime, now) => {
                Seen::Sole(*version)
            }
            _ => Seen::Unknown,
        }
    }

    /// Whether all versions that were listed within `lifetime` are known.
    pub fn covers(&self, lifetime: Millis, now: Millis) -> bool {
        self.since.is_some_and(|since| self.knows_past || now.saturating_sub(since) >= lifetime)
    }

    /// Whether an upstream of this version is listed.
    pub fn is_listed(&self, service: &str, version: Version) -> bool {
        self.services.get(service).is_some_and(|service| service.listed.contains_key(&version))
    }

    /// Forgets the versions that left the list more than `lifetime` ago.
    pub fn expire(&mut self, lifetime: Millis, now: Millis) {
        for service in self.services.values_mut() {
            service.former.retain(|_, left| now.saturating_sub(*left) <= lifetime);
        }
        self.services.retain(|_, service| !(service.listed.is_empty() && service.former.is_empty()));
    }
}

/// The longest time that a stream and its resumptions take.
///
/// Streams keep the time limit of the manifest under which they began. Until a manifest is known, no time is long enough.
#[derive(Clone, Debug, Default)]
pub struct Lifetime {
    /// That of the manifest in force, in milliseconds.
    current: Option<Millis>,
    /// Longer ones of earlier manifests, each with the time until which streams that began under it may last.
    earlier: SmallVec<[(Millis, Millis); 2]>,
}

impl Lifetime {
    /// Sets the time of the manifest that comes into force.
    pub fn set(&mut self, lifetime: Millis, now: Millis) {
        let before = self.current.replace(lifetime);
        let until = before.map(|before| (before, now.saturating_add(before)));
        self.earlier.extend(until);
        self.earlier.retain(|(longer, until)| *longer > lifetime && now < *until);
    }

    /// The time that counts at `now`, in milliseconds.
    pub fn at(&self, now: Millis) -> Millis {
        let Some(current) = self.current else { return Millis::MAX };
        let earlier = self.earlier.iter().filter(|(_, until)| now < *until).map(|(lifetime, _)| *lifetime);
        earlier.fold(current, Millis::max)
    }
}
