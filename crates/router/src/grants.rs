//! This router's grants: reservations, charges and loans, in shards under their own locks.

use budget::demand::{Demand, Terms, is_off_target};
use budget::grant::{Grant, Reserve};
use budget::ledger::{Charge, Credit, Entry, Line, Pool};
use bundle::{Bundle, Weighing};
use event_listener::{Event, EventListener};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

/// Shards of the grants.
const SHARDS: usize = 16;
/// Budgets in one batch, so that a transaction stays small.
const MAX_BATCH_BUDGETS: usize = 48;
/// Charges in one batch, so that a transaction stays small.
const MAX_BATCH_CHARGES: usize = 48;
/// Milliseconds for which a pool that was seen empty is taken to be empty.
const POOL_EMPTY_MS: u64 = 250;
/// Loans remembered, so that a repeated request lends nothing more.
const MAX_LOANS: usize = 10_000;

/// What the bundle says of a budget.
#[derive(Clone, Debug, Default, PartialEq)]
struct BudgetTerms {
    credits: Vec<Credit>,
    terms: Terms,
}

/// Which error weighs more for `budget`.
pub(crate) fn weighing(bundle: &Bundle, budget: &str) -> Weighing {
    let content = budget
        .split_once('/')
        .and_then(|(team, name)| bundle.teams.get(team).and_then(|team| team.budgets.get(name)));
    content.map(|content| content.weighing).unwrap_or_default()
}

/// Reads what was agreed on `budget`, named `team/budget`.
fn budget_terms(bundle: &Bundle, budget: &str) -> Option<BudgetTerms> {
    let (team, name) = budget.split_once('/')?;
    let content = bundle.teams.get(team)?.budgets.get(name)?;
    let limits = &bundle.limits;
    let terms = Terms {
        cover_s: limits.cover_s(content.weighing),
        least: limits.grant_min,
        expose_s: limits.expose_s(content.weighing),
    };
    Some(BudgetTerms { credits: content.credits.clone(), terms })
}

/// One budget here.
#[derive(Debug, Default)]
struct BudgetState {
    grant: Grant,
    missing: u64,
    unexposed: u64,
    demand: Demand,
    pool: Option<Pool>,
    settlements: u64,
    settled_at: u64,
    changed: Arc<Event>,
}

/// One budget as operators see it; all in tokens.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct BudgetView {
    pub available: u64,
    pub reserved: u64,
    pub unknown: u64,
    pub total: u64,
    /// What no router held when this one last settled.
    pub free: Option<u64>,
}

/// A reservation that fell short.
#[derive(Debug)]
pub(crate) struct Shortage {
    /// Tokens that are missing; 0 if they are here, but their use was not exposed yet.
    pub missing: u64,
    /// Notified when something changes.
    pub changed: EventListener,
}

/// What is known about tokens that are missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Availability {
    /// No settlement has said yet.
    Unknown,
    /// The budget has fewer tokens left than the request may need, wherever they are.
    Exhausted,
    /// Other routers hold tokens, or requests in progress here may give some back.
    HeldElsewhere,
    /// The pool had tokens left at the last settlement.
    InPool,
}

/// This router's grants.
#[derive(Debug)]
pub(crate) struct Grants {
    holder: String,
    shards: Vec<Mutex<HashMap<String, BudgetState>>>,
    loans: Mutex<LoanLog>,
}

#[derive(Debug, Default)]
struct LoanLog {
    lent: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl Grants {
    pub(crate) fn new(holder: &str) -> Grants {
        Grants {
            holder: holder.to_owned(),
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            loans: Mutex::default(),
        }
    }

    fn shard(&self, budget: &str) -> MutexGuard<'_, HashMap<String, BudgetState>> {
        let index = xxhash_rust::xxh3::xxh3_64(budget.as_bytes()) as usize % SHARDS;
        self.shards[index].lock().expect("no thread panics while it holds the lock")
    }

    fn with<T>(&self, budget: &str, change: impl FnOnce(&mut BudgetState) -> T) -> T {
        let mut shard = self.shard(budget);
        if !shard.contains_key(budget) {
            shard.insert(budget.to_owned(), BudgetState::default());
        }
        change(shard.get_mut(budget).expect("the slot was entered above"))
    }

    /// Reserves the worst case of a request (I6), or notes what is missing.
    pub(crate) fn reserve(&self, budget: &str, tokens: u64, now: u64) -> Result<(), Shortage> {
        self.with(budget, |state| {
            state.demand.ask(now);
            match state.grant.reserve(tokens) {
                Reserve::Held => Ok(()),
                Reserve::Short(missing) => {
                    state.missing = state.missing.max(missing);
                    Err(Shortage { missing, changed: state.changed.listen() })
                }
                Reserve::Capped => {
                    state.unexposed = state.unexposed.max(tokens);
                    Err(Shortage { missing: 0, changed: state.changed.listen() })
                }
            }
        })
    }

    /// Gives back a reservation whose request certainly consumed nothing.
    pub(crate) fn release(&self, budget: &str, tokens: u64) {
        self.with(budget, |state| {
            state.grant.release(tokens);
            state.changed.notify(usize::MAX);
        });
    }

    /// Charges a reservation; returns the tokens above it that were cut off.
    pub(crate) fn charge(&self, budget: &str, reserved: u64, charge: Charge) -> u64 {
        self.with(budget, |state| {
            state.demand.consume(charge.tokens);
            let excess = state.grant.charge(reserved, charge);
            state.changed.notify(usize::MAX);
            excess
        })
    }

    /// Keeps the reservation of a run whose end is not known.
    pub(crate) fn hold_unknown(&self, budget: &str, reserved: u64) {
        self.with(budget, |state| state.grant.lose(reserved));
    }

    /// Ends a reservation whose run consumed `tokens` for an answer that nobody got.
    pub(crate) fn write_off(&self, budget: &str, reserved: u64, tokens: u64) {
        self.with(budget, |state| {
            state.grant.waste(reserved, tokens);
            state.changed.notify(usize::MAX);
        });
    }

    /// Ends a lost run once it is known that it consumed `tokens`: charged by `bill`, or wasted.
    pub(crate) fn resolve_unknown(&self, budget: &str, reserved: u64, tokens: u64, bill: Option<Charge>) {
        self.with(budget, |state| {
            state.grant.find(reserved);
            match bill {
                Some(charge) => {
                    state.grant.charge(reserved, charge);
                }
                None => state.grant.waste(reserved, tokens),
            }
            state.changed.notify(usize::MAX);
        });
    }

    /// What is known about tokens that are missing for a request of `tokens`.
    pub(crate) fn availability(&self, budget: &str, tokens: u64) -> Availability {
        self.with(budget, |state| {
            let Some(pool) = &state.pool else {
                return Availability::Unknown;
            };
            if pool.free > 0 {
                return if pool.free + pool.outstanding < tokens {
                    Availability::Exhausted
                } else {
                    Availability::InPool
                };
            }
            let mine = state.grant.total();
            let elsewhere = pool.outstanding.saturating_sub(mine);
            let obtainable = state.grant.available() + state.grant.reserved() + elsewhere;
            if obtainable < tokens || (elsewhere == 0 && state.grant.reserved() == 0) {
                Availability::Exhausted
            } else {
                Availability::HeldElsewhere
            }
        })
    }

    /// How often this budget was settled: a caller sees by it whether a settlement came after its request.
    pub(crate) fn settlements(&self, budget: &str) -> u64 {
        self.with(budget, |state| state.settlements)
    }

    /// Whether any budget misses tokens that the pool may have: one that was just seen empty is not asked
    /// again for every request.
    pub(crate) fn needs_settlement(&self, now: u64) -> bool {
        let is_short = |state: &BudgetState| {
            let empty = state.pool.as_ref().is_some_and(|pool| pool.free == 0);
            let unexposed = state.unexposed > 0 && !state.grant.is_open();
            let known_empty = empty && now.saturating_sub(state.settled_at) < POOL_EMPTY_MS;
            unexposed || (state.missing > 0 && !state.grant.is_open() && !known_empty)
        };
        self.shards.iter().any(|shard| {
            shard.lock().expect("no thread panics while it holds the lock").values().any(is_short)
        })
    }

    /// Opens the entries of the next batch. `elapsed_ms` is the time since the last one; with `close`
    /// everything unused is given back.
    pub(crate) fn open_entries(
        &self,
        bundle: &Bundle,
        now: u64,
        elapsed_ms: u64,
        close: bool,
    ) -> BTreeMap<String, Entry> {
        let mut entries = BTreeMap::new();
        let mut room = MAX_BATCH_CHARGES;
        for shard in &self.shards {
            let mut shard = shard.lock().expect("no thread panics while it holds the lock");
            for (budget, state) in shard.iter_mut() {
                if entries.len() >= MAX_BATCH_BUDGETS || room == 0 {
                    return entries;
                }
                let timing = BatchTiming { now, elapsed_ms, close };
                if let Some(entry) = open_entry(bundle, budget, state, timing, room) {
                    room -= entry.charges.len();
                    entries.insert(budget.clone(), entry);
                }
            }
        }
        entries
    }

    /// Closes the entries of a batch that took effect.
    pub(crate) fn close_entry(&self, budget: &str, line: &Line, pool: Option<&Pool>, now: u64) {
        self.with(budget, |state| {
            state.grant.close(line);
            if let Some(pool) = pool {
                state.pool = Some(Pool { credits: BTreeMap::new(), ..pool.clone() });
            }
            state.settlements += 1;
            state.settled_at = now;
            state.changed.notify(usize::MAX);
        });
    }

    /// Lifts the bound on what may be used of a budget until the next settlement.
    pub(crate) fn lift_exposure_limit(&self, budget: &str) {
        self.with(budget, |state| {
            state.grant.raise();
            state.changed.notify(usize::MAX);
        });
    }

    /// Lends tokens to a peer; the same `id` lends nothing more.
    pub(crate) fn lend(&self, id: &str, budget: &str, tokens: u64) -> u64 {
        let mut loans = self.loans.lock().expect("no thread panics while it holds the lock");
        if let Some(lent) = loans.lent.get(id) {
            return *lent;
        }
        // Of two routers that both miss tokens one must yield, or both refuse what together they could serve.
        let must_yield = id < self.holder.as_str();
        let lent = self.with(budget, |state| match state.missing > 0 && !must_yield {
            true => 0,
            false => state.grant.give(tokens, 0),
        });
        loans.lent.insert(id.to_owned(), lent);
        loans.order.push_back(id.to_owned());
        if loans.order.len() > MAX_LOANS
            && let Some(oldest) = loans.order.pop_front()
        {
            loans.lent.remove(&oldest);
        }
        lent
    }

    /// Adds tokens that a peer lent.
    pub(crate) fn receive(&self, budget: &str, tokens: u64) {
        self.with(budget, |state| {
            state.grant.receive(tokens);
            state.changed.notify(usize::MAX);
        });
    }

    /// The budgets here.
    pub(crate) fn views(&self) -> BTreeMap<String, BudgetView> {
        let mut view = BTreeMap::new();
        for shard in &self.shards {
            for (budget, state) in shard.lock().expect("no thread panics while it holds the lock").iter() {
                let grant = &state.grant;
                let budget_view = BudgetView {
                    available: grant.available(),
                    reserved: grant.reserved(),
                    unknown: grant.unknown(),
                    total: grant.total(),
                    free: state.pool.as_ref().map(|pool| pool.free),
                };
                view.insert(budget.clone(), budget_view);
            }
        }
        view
    }
}

/// When a batch is opened.
#[derive(Clone, Copy, Debug)]
struct BatchTiming {
    now: u64,
    elapsed_ms: u64,
    close: bool,
}

fn open_entry(
    bundle: &Bundle,
    budget: &str,
    state: &mut BudgetState,
    timing: BatchTiming,
    room: usize,
) -> Option<Entry> {
    if state.grant.is_open() {
        return None;
    }
    let BudgetTerms { credits, terms } = budget_terms(bundle, budget).unwrap_or_default();
    state.demand.tick(timing.elapsed_ms);
    let target = if timing.close { 0 } else { state.demand.target(timing.now, &terms) };
    let missing = std::mem::take(&mut state.missing);
    let pool_free = state.pool.as_ref().map(|pool| pool.free);
    let off_target = is_off_target(state.grant.available(), target, pool_free);
    let unexposed = std::mem::take(&mut state.unexposed);
    if missing == 0 && unexposed == 0 && !state.grant.is_dirty() && !off_target {
        return None;
    }
    state.grant.open(target, missing, state.demand.spare(&terms) + unexposed, credits, room)
}
