//! Which upstreams a gateway considers for a request.
//!
//! A gateway considers a bounded number of upstreams: the first ones that accept the request, in an order of
//! its own (rendezvous hashing over the names of gateway and upstream). The cost of a choice therefore doesn't
//! grow with the fleet. Gateways that know nothing of each other's dispatches spread over all upstreams, and
//! an upstream that looks better than it is attracts only those gateways that consider it.
//!
//! The home of a shared prompt part is considered at each gateway, so that the part is cached in few places.

use super::upstream::{Service, Upstream};
use super::{PlacementRequest, Placer, Prompt};
use crate::Millis;
use crate::division::{Division, is_long};
use crate::warmup::WarmupState;
use smallvec::SmallVec;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The smallest number of upstreams to consider for a request.
const MIN_CANDIDATES: usize = 160;
/// The number of gateways that consider each upstream, on average, in a fleet with more upstreams than
/// [`MIN_CANDIDATES`]. With fewer gateways for each upstream, some would get far more work than others.
const GATEWAYS_PER_UPSTREAM: usize = 16;
/// The part of the candidates that comes from other data centres: one in so many.
const FAR_PART: usize = 4;
/// The number of upstreams among which a prompt part has its home.
const HOME_CHOICES: usize = 160;

/// A name with its position in an order.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Ranked {
    rank: u64,
    name: Arc<str>,
}

impl Ranked {
    /// A name on the ring.
    fn on_ring(name: Arc<str>) -> Ranked {
        Ranked { rank: xxh3_64(name.as_bytes()), name }
    }

    /// A name in the order of the gateway with this seed.
    fn in_order(name: Arc<str>, order_seed: Option<u64>) -> Ranked {
        let rank = order_seed.map_or(0, |seed| xxh3_64_with_seed(name.as_bytes(), seed));
        Ranked { rank, name }
    }
}

/// The names of one service's upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// Those in this gateway's data centre, in this gateway's order.
    near: BTreeSet<Ranked>,
    /// Those in other data centres, in this gateway's order.
    far: BTreeSet<Ranked>,
    /// All, on a ring that is the same at every gateway.
    ring: BTreeSet<Ranked>,
}

impl Group {
    pub(super) fn insert(&mut self, name: &str, order_seed: Option<u64>, is_near: bool) {
        let name: Arc<str> = name.into();
        self.ring.insert(Ranked::on_ring(name.clone()));
        self.side_mut(is_near).insert(Ranked::in_order(name, order_seed));
    }

    pub(super) fn remove(&mut self, name: &str, order_seed: Option<u64>, is_near: bool) {
        let name: Arc<str> = name.into();
        self.ring.remove(&Ranked::on_ring(name.clone()));
        self.side_mut(is_near).remove(&Ranked::in_order(name, order_seed));
    }

    fn side_mut(&mut self, is_near: bool) -> &mut BTreeSet<Ranked> {
        if is_near { &mut self.near } else { &mut self.far }
    }

    pub(super) fn len(&self) -> usize {
        self.ring.len()
    }

    /// The first `count` names in this gateway's order.
    pub(super) fn names(&self, count: usize) -> impl Iterator<Item = &str> {
        self.near.iter().chain(&self.far).map(|ranked| &*ranked.name).take(count)
    }

    /// The first upstreams that `find` returns, at most `count`, in this gateway's order.
    fn first<'a>(
        &'a self,
        count: usize,
        find: impl Fn(&'a str) -> Option<&'a Upstream>,
    ) -> SmallVec<[(&'a str, &'a Upstream); 32]> {
        let find = |ranked: &'a Ranked| find(&ranked.name).map(|upstream| (&*ranked.name, upstream));
        let near_count = count - (count / FAR_PART).min(self.far.len());
        let mut found: SmallVec<_> = self.near.iter().filter_map(find).take(near_count).collect();
        let far_count = count - found.len();
        found.extend(self.far.iter().filter_map(find).take(far_count));
        found
    }

    /// The home of a prompt part: of the upstreams that follow the part's point on the ring, the one that
    /// rendezvous hashing prefers among those that `find` returns. Other upstreams that come and go hardly
    /// ever change it.
    fn home<'a>(
        &'a self,
        part: u64,
        find: impl Fn(&'a str) -> Option<&'a Upstream>,
    ) -> Option<(&'a str, &'a Upstream)> {
        let from = Ranked { rank: xxh3_64(&part.to_le_bytes()), name: "".into() };
        let clockwise = self.ring.range(from..).chain(&self.ring).take(self.ring.len().min(HOME_CHOICES));
        let weighted =
            clockwise.map(|Ranked { name, .. }| (xxh3_64_with_seed(name.as_bytes(), part), &**name));
        let mut weighted: BinaryHeap<(u64, &str)> = weighted.collect();
        std::iter::from_fn(|| weighted.pop())
            .find_map(|(_, name)| find(name).map(|upstream| (name, upstream)))
    }
}

/// The upstreams to consider for a request.
pub(super) struct Candidates<'a> {
    pub(super) upstreams: SmallVec<[(&'a str, &'a Upstream); 32]>,
    /// The home of the prompt's last shared part, which is one of the upstreams.
    pub(super) home: Option<&'a str>,
}

impl Placer {
    /// The upstreams to consider for a request; `None` if none accepts it.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest<'_>,
        service: &Service,
        now: Millis,
    ) -> Option<Candidates<'_>> {
        let connecting = self.connecting_gateways(request.service);
        let candidates = self.candidates_among(request, service, connecting, now);
        // A stream can't go on at the upstreams that other gateways connect to less often.
        candidates
            .or_else(|| request.version.and_then(|_| self.candidates_among(request, service, None, now)))
    }

    /// The upstreams to consider out of those that this gateway connects to, if `connecting` gateways connect to each.
    fn candidates_among(
        &self,
        request: &PlacementRequest<'_>,
        service: &Service,
        connecting: Option<usize>,
        now: Millis,
    ) -> Option<Candidates<'_>> {
        // If all upstreams may have restarted, those that are not known to have done so are not limited:
        // otherwise none would accept the request.
        [WarmupState::Uncertain, WarmupState::WarmingUp].into_iter().find_map(|limited_from| {
            let find = |name| {
                self.serving(name, request, limited_from, now).filter(|_| self.connects_to(name, connecting))
            };
            let find_available = |name| find(name).filter(|upstream| upstream.is_available(now));
            let available = self.find_candidates(request, service, find_available);
            available.or_else(|| self.find_candidates(request, service, find))
        })
    }

    fn find_candidates<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        service: &Service,
        find: impl Fn(&'a str) -> Option<&'a Upstream>,
    ) -> Option<Candidates<'a>> {
        let group = self.groups.get(request.service)?;
        let mut upstreams = group.first(self.max_candidates(group), &find);
        if upstreams.is_empty() {
            return None;
        }
        let home = request.prompt.as_ref().and_then(|prompt| home(group, prompt, service, find));
        if let Some(home) = home.filter(|(home, _)| upstreams.iter().all(|(name, _)| name != home)) {
            upstreams.push(home);
        }
        Some(Candidates { upstreams, home: home.map(|(name, _)| name) })
    }

    /// The number of upstreams of a service to consider.
    pub(super) fn max_candidates(&self, group: &Group) -> usize {
        MIN_CANDIDATES.max(GATEWAYS_PER_UPSTREAM * group.len() / self.roster.gateways())
    }

    /// An upstream, if it accepts the request. Upstreams that are at least as cold as `limited_from` count as
    /// warming up.
    fn serving(
        &self,
        name: &str,
        request: &PlacementRequest<'_>,
        limited_from: WarmupState,
        now: Millis,
    ) -> Option<&Upstream> {
        let upstream = self.upstreams.get(name)?;
        let is_serving = !upstream.leaving
            && request.version.is_none_or(|version| upstream.info.version == version)
            && request.only.is_none_or(|only| only == name)
            && !self.is_evacuated(upstream)
            && self.signals.admits(name, now)
            && self.has_capacity(name, upstream, limited_from, now)
            && !request.avoid.iter().any(|avoid| avoid == name);
        is_serving.then_some(upstream)
    }
}

/// The upstream that every gateway prefers for the prompt's last shared part: once it was read there, it is
/// cached for all gateways. The upstream may be in another data centre, since reading a prompt takes far
/// longer than sending it.
fn home<'a>(
    group: &'a Group,
    prompt: &Prompt<'_>,
    service: &Service,
    find: impl Fn(&'a str) -> Option<&'a Upstream>,
) -> Option<(&'a str, &'a Upstream)> {
    let Service { model, division, .. } = service;
    let (_, shared) = prompt.parts.split_last()?;
    let part = shared.last()?;
    let is_long = is_long(model.read_ms(prompt.input as f64), prompt.gap_ms as f64);
    group.home(part.id, |name| find(name).filter(|_| fits_division(division, name, is_long)))
}

/// Whether the division of the engines provides for a prompt of this length on an engine.
fn fits_division(division: &Division, name: &str, is_long: bool) -> bool {
    !division.is_divided() || division.is_reserved(name) != is_long
}
