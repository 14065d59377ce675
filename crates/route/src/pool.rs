//! The upstreams as this router knows them, and the choice between them.

use crate::Millis;
use crate::health::{Health, HealthStatus};
use serde::Serialize;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of prefixes remembered for each upstream.
const MAX_PREFIXES: usize = 4_096;
/// The cost of one open run, as a share of the upstream's limit.
const LOAD_COST: f64 = 1.0;
/// The cost reduction for an upstream that has the prefix cached, in the same unit.
const CACHE_GAIN: f64 = 0.6;
/// The cost reduction for the prefix's home upstream if nothing is cached there yet.
const HOME_GAIN: f64 = 0.25;
/// The cost of an upstream in another data centre.
const DISTANCE_COST: f64 = 0.15;
/// The cost of generating tokens more slowly than the fastest upstream, for each doubling of the gap between
/// tokens.
const TOKEN_GAP_COST: f64 = 0.5;
/// The cost of each recent failure in a row.
const FAILURE_COST: f64 = 1.0;
/// The share of upstreams to keep available. If an ejection would leave fewer, it lasts only the shortest
/// time, however many upstreams are found to be failing.
const MIN_AVAILABLE_SHARE: f64 = 0.5;
/// The time for which a peer's message that an upstream is leaving counts, in milliseconds.
const PEER_LEAVING_MS: Millis = 5_000;

/// The settings of an upstream, from the bundle and from the assignment of slots.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// The data centre of the upstream.
    pub data_centre: String,
    /// The number of runs that this router may have on the upstream at once.
    pub limit: u32,
    /// The models that the upstream serves.
    pub models: Vec<String>,
}

/// The load that an upstream reports. Reports arrive with a delay.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// The number of runs that fit into the batch.
    pub slots: u32,
    /// The number of runs in the batch and in the upstream's queue.
    pub busy: u32,
    /// Whether the upstream accepts no new work.
    pub leaving: bool,
}

/// The requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The model that the request names.
    pub model: &'a str,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
    /// Upstreams that failed this request.
    pub avoid: &'a [String],
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It was the only free upstream.
    OnlyFree,
    /// It has the prompt's prefix cached.
    Cached,
    /// It is the prefix's home upstream.
    Home,
    /// It has the lowest cost.
    LeastCost,
    /// A peer lent one of its slots on the upstream.
    Lent,
}

impl Reason {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::OnlyFree => "only-free",
            Reason::Cached => "cached",
            Reason::Home => "home",
            Reason::LeastCost => "least-cost",
            Reason::Lent => "lent",
        }
    }
}

/// A chosen upstream. Its slot is occupied until [`Pool::release`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// The name of the upstream.
    pub upstream: String,
    /// The second-best upstream, if more than one was free.
    pub runner_up: Option<String>,
    /// Why the upstream was chosen.
    pub reason: Reason,
    /// The number of free upstreams.
    pub candidates: usize,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Dispatch it to this upstream.
    Take(Choice),
    /// Queue it: every upstream that serves the model is unavailable at the moment.
    Wait,
    /// Reject it: no upstream serves the model.
    NoUpstream,
}

/// The status of an upstream, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamStatus {
    /// The number of this router's open runs.
    pub open: u32,
    /// The number of runs that this router may have on the upstream.
    pub limit: u32,
    /// Whether the upstream gets no new work because it is leaving.
    pub leaving: bool,
    /// Whether the upstream gets no new work because it is failing.
    pub ejected: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    spec: UpstreamSpec,
    open: u32,
    is_removed: bool,
    health: Health,
    report: Option<(Millis, LoadReport)>,
    dispatched_since_report: u32,
    cached: HashSet<u64>,
    prefix_order: VecDeque<u64>,
}

/// The upstreams that one router uses.
#[derive(Clone, Debug)]
pub struct Pool {
    data_centre: String,
    entries: BTreeMap<String, Entry>,
    leaving: BTreeSet<String>,
    peer_leaving: BTreeMap<String, Millis>,
    trust_reports_until: Millis,
}

impl Pool {
    /// Creates an empty pool for a router in `data_centre`.
    pub fn new(data_centre: &str) -> Pool {
        Pool {
            data_centre: data_centre.to_owned(),
            entries: BTreeMap::new(),
            leaving: BTreeSet::new(),
            peer_leaving: BTreeMap::new(),
            trust_reports_until: 0,
        }
    }

    /// Until `until`, also treats an upstream as full if its load report and the dispatches since then say
    /// so, or if there is no report. A router that has just started does not know which runs its predecessor
    /// left behind.
    pub fn trust_reports_until(&mut self, until: Millis) {
        self.trust_reports_until = until;
    }

    /// Adds or changes an upstream.
    pub fn set(&mut self, name: &str, spec: UpstreamSpec) {
        match self.entries.get_mut(name) {
            Some(entry) => {
                entry.spec = spec;
                entry.is_removed = false;
            }
            None => {
                let entry = Entry {
                    spec,
                    open: 0,
                    is_removed: false,
                    health: Health::default(),
                    report: None,
                    dispatched_since_report: 0,
                    cached: HashSet::new(),
                    prefix_order: VecDeque::new(),
                };
                self.entries.insert(name.to_owned(), entry);
            }
        }
    }

    /// Removes the upstreams for which `keep` returns false, once their runs have ended.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        for (name, entry) in &mut self.entries {
            entry.is_removed = !keep(name);
        }
        self.entries.retain(|_, entry| !entry.is_removed || entry.open > 0);
    }

    /// Marks an upstream as leaving or staying, whether or not this router uses it yet. Returns whether the
    /// mark changed.
    pub fn set_leaving(&mut self, name: &str, leaving: bool) -> bool {
        match leaving {
            true => self.leaving.insert(name.to_owned()),
            false => self.leaving.remove(name),
        }
    }

    /// Records that a peer knows an upstream to be leaving. Returns whether this was not known yet. The mark
    /// expires unless the peer repeats it, and is never passed on: otherwise routers would keep a withdrawn
    /// mark alive between them.
    pub fn record_leaving_hint(&mut self, name: &str, now: Millis) -> bool {
        let is_new = !self.is_leaving(name, now);
        self.peer_leaving.retain(|_, until| now < *until);
        self.peer_leaving.insert(name.to_owned(), now + PEER_LEAVING_MS);
        is_new
    }

    /// The upstreams that this router itself found to be leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &str> {
        self.leaving.iter().map(String::as_str)
    }

    fn is_leaving(&self, name: &str, now: Millis) -> bool {
        self.leaving.contains(name) || self.peer_leaving.get(name).is_some_and(|until| now < *until)
    }

    /// Records a load report of an upstream.
    pub fn record_report(&mut self, name: &str, report: LoadReport, now: Millis) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.report = Some((now, report));
            entry.dispatched_since_report = 0;
        }
    }

    /// Records that an upstream added a prefix to its cache or evicted it.
    pub fn record_cache_event(&mut self, name: &str, prefix: u64, added: bool) {
        if let Some(entry) = self.entries.get_mut(name) {
            if added {
                remember_prefix(entry, prefix);
            } else {
                entry.cached.remove(&prefix);
                entry.prefix_order.retain(|known| *known != prefix);
            }
        }
    }

    /// The status of each upstream, by name.
    pub fn statuses(&self, now: Millis) -> BTreeMap<String, UpstreamStatus> {
        let status = |name: &str, entry: &Entry| UpstreamStatus {
            open: entry.open,
            limit: entry.spec.limit,
            leaving: self.is_leaving(name, now) || entry.is_removed,
            ejected: entry.health.status(now) == HealthStatus::Ejected,
        };
        self.entries.iter().map(|(name, entry)| (name.clone(), status(name, entry))).collect()
    }

    /// Whether an upstream of this router serves the model, even if none is free.
    pub fn serves(&self, model: &str) -> bool {
        self.entries
            .values()
            .any(|entry| !entry.is_removed && entry.spec.models.iter().any(|served| served == model))
    }

    /// Chooses an upstream and occupies one of its slots.
    pub fn pick(&mut self, request: &PickRequest<'_>, now: Millis) -> Pick {
        let pick = self.choose(request, now);
        if let Pick::Take(choice) = &pick {
            self.occupy(&choice.upstream, request.prefix);
        }
        pick
    }

    fn choose(&self, request: &PickRequest<'_>, now: Millis) -> Pick {
        let serving: SmallVec<[&str; 32]> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                !entry.is_removed && entry.spec.models.iter().any(|model| model == request.model)
            })
            .map(|(name, _)| name.as_str())
            .collect();
        if serving.is_empty() {
            return Pick::NoUpstream;
        }
        let home = home_upstream(&serving, request.prefix);
        let fastest = self.fastest(&serving);
        let mut free: SmallVec<[(f64, &str); 32]> = serving
            .iter()
            .filter(|name| self.is_free(name, request, now))
            .map(|name| (self.cost(name, request, home, fastest, now), *name))
            .collect();
        free.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(right.1)));
        let Some((_, best)) = free.first() else {
            return Pick::Wait;
        };
        let reason = if free.len() == 1 {
            Reason::OnlyFree
        } else if self.entries[*best].cached.contains(&request.prefix) {
            Reason::Cached
        } else if *best == home {
            Reason::Home
        } else {
            Reason::LeastCost
        };
        Pick::Take(Choice {
            upstream: (*best).to_owned(),
            runner_up: free.get(1).map(|(_, name)| (*name).to_owned()),
            reason,
            candidates: free.len(),
        })
    }

    /// Occupies a slot of one upstream for a peer, if one is free. Returns whether it was.
    pub fn take_at(&mut self, name: &str, request: &PickRequest<'_>, now: Millis) -> bool {
        let serves =
            |entry: &Entry| !entry.is_removed && entry.spec.models.iter().any(|model| model == request.model);
        let is_free = self.entries.get(name).is_some_and(serves) && self.is_free(name, request, now);
        if is_free {
            self.occupy(name, request.prefix);
        }
        is_free
    }

    /// Releases the slot of a run that ended.
    pub fn release(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.open = entry.open.saturating_sub(1);
        }
    }

    /// Records a successful run, with the average gap between its tokens in milliseconds.
    pub fn record_success(&mut self, name: &str, gap_ms: Option<f64>) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.health.record_success();
            if let Some(gap_ms) = gap_ms {
                entry.health.record_gap(gap_ms);
            }
        }
    }

    /// Records a failure. Returns whether the upstream is ejected. If more than half of the pool would be
    /// ejected, the ejection lasts only the shortest time, so that a fault in failure detection can't empty
    /// the pool.
    pub fn record_failure(&mut self, name: &str, now: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        if !entry.health.record_failure(now) {
            return false;
        }
        let total = self.entries.len();
        let ejected = |entry: &&Entry| entry.health.status(now) == HealthStatus::Ejected;
        let ejected_count = self.entries.values().filter(ejected).count();
        let is_shortened = ((ejected_count + 1) as f64) > (total as f64) * (1.0 - MIN_AVAILABLE_SHARE);
        if let Some(entry) = self.entries.get_mut(name) {
            entry.health.eject(now, is_shortened);
        }
        true
    }

    fn is_free(&self, name: &str, request: &PickRequest<'_>, now: Millis) -> bool {
        let entry = &self.entries[name];
        let limit = match entry.health.status(now) {
            HealthStatus::Ejected => 0,
            HealthStatus::Probation(most) => entry.spec.limit.min(most),
            HealthStatus::Healthy => entry.spec.limit,
        };
        let is_reported_leaving = entry.report.is_some_and(|(_, report)| report.leaving);
        let is_reported_full = now < self.trust_reports_until
            && entry
                .report
                .is_none_or(|(_, report)| report.busy + entry.dispatched_since_report >= report.slots);
        let is_avoided = request.avoid.iter().any(|avoid| avoid == name);
        entry.open < limit
            && !self.is_leaving(name, now)
            && !is_reported_leaving
            && !is_reported_full
            && !is_avoided
    }

    fn cost(&self, name: &str, request: &PickRequest<'_>, home: &str, fastest: f64, now: Millis) -> f64 {
        // Only this router's open runs count: it knows them exactly, while load reports lag behind.
        let entry = &self.entries[name];
        let own_load = f64::from(entry.open) / f64::from(entry.spec.limit.max(1));
        let mut cost = LOAD_COST * own_load;
        if entry.cached.contains(&request.prefix) {
            cost -= CACHE_GAIN;
        } else if name == home {
            cost -= HOME_GAIN;
        }
        if entry.spec.data_centre != self.data_centre {
            cost += DISTANCE_COST;
        }
        if entry.health.token_gap_ms() > 0.0 && fastest > 0.0 {
            cost += TOKEN_GAP_COST * (entry.health.token_gap_ms() / fastest).log2().max(0.0);
        }
        cost + FAILURE_COST * f64::from(entry.health.recent_failures(now))
    }

    fn fastest(&self, serving: &[&str]) -> f64 {
        let gaps_ms = serving
            .iter()
            .map(|name| self.entries[*name].health.token_gap_ms())
            .filter(|gap_ms| *gap_ms > 0.0);
        gaps_ms.fold(f64::INFINITY, f64::min)
    }

    fn occupy(&mut self, name: &str, prefix: u64) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.open += 1;
            entry.dispatched_since_report += 1;
            remember_prefix(entry, prefix);
        }
    }
}

fn remember_prefix(entry: &mut Entry, prefix: u64) {
    if entry.cached.insert(prefix) {
        entry.prefix_order.push_back(prefix);
        if entry.prefix_order.len() > MAX_PREFIXES
            && let Some(oldest) = entry.prefix_order.pop_front()
        {
            entry.cached.remove(&oldest);
        }
    }
}

/// The home upstream of a prefix: the one that every router prefers for it, by rendezvous hashing.
pub fn home_upstream<'a>(serving: &[&'a str], prefix: u64) -> &'a str {
    let score = |name: &&&str| xxh3_64_with_seed(name.as_bytes(), prefix);
    serving.iter().max_by_key(score).copied().unwrap_or_default()
}

#[cfg(test)]
#[path = "../tests/unit/pool.rs"]
mod tests;
