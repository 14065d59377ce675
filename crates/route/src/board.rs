//! The upstreams as this router sees them, and the choice between them.

use crate::Millis;
use crate::health::{Health, Standing};
use serde::Serialize;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prefixes remembered for each upstream.
const PREFIXES: usize = 4_096;
/// The cost of a run that waits or runs, as a share of the upstream's limit.
const LOAD_COST: f64 = 1.0;
/// What a cached prefix is worth, in the same unit.
const CACHE_GAIN: f64 = 0.6;
/// What the prefix's preferred upstream is worth where nothing is cached yet.
const HOME_GAIN: f64 = 0.25;
/// The cost of another data centre.
const DISTANCE_COST: f64 = 0.15;
/// The cost of tokens that come slower than the fastest upstream's, for each doubling.
const PACE_COST: f64 = 0.5;
/// The cost of each failure in a row.
const FAILURE_COST: f64 = 1.0;
/// Of the upstreams at least this share is ejected for a moment only, however many are found failing.
const FLOOR: f64 = 0.5;
/// How long a peer's word that an upstream leaves counts.
const HEARSAY_AGE: Millis = 5_000;

/// What the bundle and the share say of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its data centre.
    pub data_centre: String,
    /// Runs that this router may have there at once.
    pub limit: u32,
    /// Models that it serves.
    pub models: Vec<String>,
}

/// What an upstream says of itself, late.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Runs that it can batch.
    pub slots: u32,
    /// Runs in the batch and in its queue.
    pub busy: u32,
    /// Whether it wants no new work.
    pub leaving: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The model.
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
    /// It was the only one free.
    OnlyFree,
    /// It has the prompt's prefix cached.
    Cached,
    /// It is the prefix's preferred upstream.
    Home,
    /// It costs least.
    LeastCost,
    /// A peer lent one of its slots there.
    Lent,
}

impl Reason {
    /// The reason as it is logged and counted.
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

/// A chosen upstream; its slot is taken until [`Board::end`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// The upstream.
    pub upstream: String,
    /// The second best.
    pub runner_up: Option<String>,
    /// Why.
    pub reason: Reason,
    /// How many were free.
    pub candidates: usize,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Send it there.
    Take(Choice),
    /// Let it wait: every upstream that serves it is full.
    Wait,
    /// Refuse it: no upstream serves it.
    Nowhere,
}

/// An upstream as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// Runs of this router.
    pub open: u32,
    /// Runs that this router may have there.
    pub limit: u32,
    /// Whether it gets no new work because it leaves.
    pub leaving: bool,
    /// Whether it gets no new work because it fails.
    pub ejected: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    spec: Spec,
    open: u32,
    gone: bool,
    health: Health,
    report: Option<(Millis, Report)>,
    sent_since: u32,
    cached: HashSet<u64>,
    order: VecDeque<u64>,
}

/// The upstreams as one router sees them.
#[derive(Clone, Debug)]
pub struct Board {
    data_centre: String,
    entries: BTreeMap<String, Entry>,
    leaving: BTreeSet<String>,
    hearsay: BTreeMap<String, Millis>,
    warm_until: Millis,
}

impl Board {
    /// An empty board of a router in `data_centre`.
    pub fn new(data_centre: &str) -> Board {
        Board {
            data_centre: data_centre.to_owned(),
            entries: BTreeMap::new(),
            leaving: BTreeSet::new(),
            hearsay: BTreeMap::new(),
            warm_until: 0,
        }
    }

    /// Trusts the upstreams' reports more than itself until `until`: a router that has just started does not
    /// know what its predecessor left running.
    pub fn warm_up(&mut self, until: Millis) {
        self.warm_until = until;
    }

    /// Adds or changes an upstream.
    pub fn set(&mut self, name: &str, spec: Spec) {
        match self.entries.get_mut(name) {
            Some(entry) => {
                entry.spec = spec;
                entry.gone = false;
            }
            None => {
                let entry = Entry {
                    spec,
                    open: 0,
                    gone: false,
                    health: Health::default(),
                    report: None,
                    sent_since: 0,
                    cached: HashSet::new(),
                    order: VecDeque::new(),
                };
                self.entries.insert(name.to_owned(), entry);
            }
        }
    }

    /// Drops the upstreams that `keep` does not name, once their runs have ended.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        for (name, entry) in &mut self.entries {
            entry.gone = !keep(name);
        }
        self.entries.retain(|_, entry| !entry.gone || entry.open > 0);
    }

    /// Marks an upstream as leaving or staying, whether this router uses it now or only later; `true` if
    /// that is news.
    pub fn leave(&mut self, name: &str, leaving: bool) -> bool {
        match leaving {
            true => self.leaving.insert(name.to_owned()),
            false => self.leaving.remove(name),
        }
    }

    /// Takes in that a peer knows an upstream to be leaving; `true` if that is news. It is forgotten unless
    /// the peer says it again, and never passed on, so that a mark which is taken back does not echo.
    pub fn hear_leaving(&mut self, name: &str, now: Millis) -> bool {
        let news = !self.is_leaving(name, now);
        self.hearsay.insert(name.to_owned(), now + HEARSAY_AGE);
        news
    }

    /// The upstreams that this router itself found to be leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &str> {
        self.leaving.iter().map(String::as_str)
    }

    fn is_leaving(&self, name: &str, now: Millis) -> bool {
        self.leaving.contains(name) || self.hearsay.get(name).is_some_and(|until| now < *until)
    }

    /// Takes in a load report.
    pub fn report(&mut self, name: &str, report: Report, now: Millis) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.report = Some((now, report));
            entry.sent_since = 0;
        }
    }

    /// Takes in a cache event.
    pub fn cache(&mut self, name: &str, prefix: u64, added: bool) {
        if let Some(entry) = self.entries.get_mut(name) {
            if added {
                remember(entry, prefix);
            } else {
                entry.cached.remove(&prefix);
            }
        }
    }

    /// The upstreams by name.
    pub fn view(&self, now: Millis) -> BTreeMap<String, View> {
        let view = |name: &str, entry: &Entry| View {
            open: entry.open,
            limit: entry.spec.limit,
            leaving: self.is_leaving(name, now) || entry.gone,
            ejected: entry.health.standing(now) == Standing::Ejected,
        };
        self.entries.iter().map(|(name, entry)| (name.clone(), view(name, entry))).collect()
    }

    /// Whether one of its upstreams serves a model, be it busy.
    pub fn serves(&self, model: &str) -> bool {
        self.entries.values().any(|entry| !entry.gone && entry.spec.models.iter().any(|one| one == model))
    }

    /// Chooses an upstream and takes one of its slots.
    pub fn pick(&mut self, ask: &Ask<'_>, now: Millis) -> Pick {
        let pick = self.choose(ask, now);
        if let Pick::Take(choice) = &pick {
            self.take(&choice.upstream, ask.prefix);
        }
        pick
    }

    fn choose(&self, ask: &Ask<'_>, now: Millis) -> Pick {
        let serving: SmallVec<[&str; 32]> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.gone && entry.spec.models.iter().any(|model| model == ask.model))
            .map(|(name, _)| name.as_str())
            .collect();
        if serving.is_empty() {
            return Pick::Nowhere;
        }
        let home = home(&serving, ask.prefix);
        let fastest = self.fastest(&serving);
        let mut free: SmallVec<[(f64, &str); 32]> = serving
            .iter()
            .filter(|name| self.is_free(name, ask, now))
            .map(|name| (self.cost(name, ask, home, fastest, now), *name))
            .collect();
        free.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(right.1)));
        let Some((_, best)) = free.first() else {
            return Pick::Wait;
        };
        let reason = if free.len() == 1 {
            Reason::OnlyFree
        } else if self.entries[*best].cached.contains(&ask.prefix) {
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

    /// Takes a slot of one upstream for a peer, if it is free.
    pub fn take_at(&mut self, name: &str, ask: &Ask<'_>, now: Millis) -> bool {
        let serves = |entry: &Entry| !entry.gone && entry.spec.models.iter().any(|model| model == ask.model);
        let free = self.entries.get(name).is_some_and(serves) && self.is_free(name, ask, now);
        if free {
            self.take(name, ask.prefix);
        }
        free
    }

    /// Gives back the slot of a run that ended.
    pub fn end(&mut self, name: &str) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.open = entry.open.saturating_sub(1);
        }
    }

    /// Notes that a run went well, with the average gap between its tokens in milliseconds.
    pub fn succeed(&mut self, name: &str, gap: Option<f64>) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.health.succeed();
            if let Some(gap) = gap {
                entry.health.pace(gap);
            }
        }
    }

    /// Notes a failure; `true` if the upstream is ejected for it. Where more than a part of the pool would be
    /// out, the ejection is as short as can be, so that a fault of the detector can't empty the pool.
    pub fn fail(&mut self, name: &str, now: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        if !entry.health.fail(now) {
            return false;
        }
        let total = self.entries.len();
        let ejected = |entry: &&Entry| entry.health.standing(now) == Standing::Ejected;
        let out = self.entries.values().filter(ejected).count();
        let spared = ((out + 1) as f64) > (total as f64) * (1.0 - FLOOR);
        if let Some(entry) = self.entries.get_mut(name) {
            entry.health.eject(now, spared);
        }
        true
    }

    fn is_free(&self, name: &str, ask: &Ask<'_>, now: Millis) -> bool {
        let entry = &self.entries[name];
        let limit = match entry.health.standing(now) {
            Standing::Ejected => 0,
            Standing::Probation(most) => entry.spec.limit.min(most),
            Standing::Fit => entry.spec.limit,
        };
        let reported_leaving = entry.report.is_some_and(|(_, report)| report.leaving);
        let reported_full = now < self.warm_until
            && entry.report.is_none_or(|(_, report)| report.busy + entry.sent_since >= report.slots);
        let avoided = ask.avoid.iter().any(|avoid| avoid == name);
        entry.open < limit && !self.is_leaving(name, now) && !reported_leaving && !reported_full && !avoided
    }

    fn cost(&self, name: &str, ask: &Ask<'_>, home: &str, fastest: f64, now: Millis) -> f64 {
        // Only this router's own slots count: it knows them exactly, while reports lag.
        let entry = &self.entries[name];
        let own = f64::from(entry.open) / f64::from(entry.spec.limit.max(1));
        let mut cost = LOAD_COST * own;
        if entry.cached.contains(&ask.prefix) {
            cost -= CACHE_GAIN;
        } else if name == home {
            cost -= HOME_GAIN;
        }
        if entry.spec.data_centre != self.data_centre {
            cost += DISTANCE_COST;
        }
        if entry.health.gap() > 0.0 && fastest > 0.0 {
            cost += PACE_COST * (entry.health.gap() / fastest).log2().max(0.0);
        }
        cost + FAILURE_COST * f64::from(entry.health.recent_failures(now))
    }

    fn fastest(&self, serving: &[&str]) -> f64 {
        let gaps = serving.iter().map(|name| self.entries[*name].health.gap()).filter(|gap| *gap > 0.0);
        gaps.fold(f64::INFINITY, f64::min)
    }

    fn take(&mut self, name: &str, prefix: u64) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.open += 1;
            entry.sent_since += 1;
            remember(entry, prefix);
        }
    }
}

fn remember(entry: &mut Entry, prefix: u64) {
    if entry.cached.insert(prefix) {
        entry.order.push_back(prefix);
        if entry.order.len() > PREFIXES
            && let Some(oldest) = entry.order.pop_front()
        {
            entry.cached.remove(&oldest);
        }
    }
}

/// The upstream that every router prefers for a prefix.
pub fn home<'a>(serving: &[&'a str], prefix: u64) -> &'a str {
    let score = |name: &&&str| xxh3_64_with_seed(name.as_bytes(), prefix);
    serving.iter().max_by_key(score).copied().unwrap_or_default()
}
