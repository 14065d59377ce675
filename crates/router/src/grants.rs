//! The grants of this router: reservations, charges and loans, in shards with a lock each.

use budget::demand::{Demand, HoldingPolicy, is_off_target};
use budget::grant::{Grant, ReserveOutcome};
use budget::ledger::{Charge, Credit, Entry, Line, Pool};
use bundle::{Bundle, Weighing};
use event_listener::{Event, EventListener};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

/// The number of shards.
const SHARDS: usize = 16;
/// The maximum number of budgets in a batch, which bounds the size of a transaction.
const MAX_BATCH_BUDGETS: usize = 48;
/// The maximum number of charges in a batch, which bounds the size of a transaction.
const MAX_BATCH_CHARGES: usize = 48;
/// How long a pool that was found empty is assumed to be still empty, in milliseconds.
const POOL_EMPTY_MS: u64 = 250;
/// The number of loans that are remembered, so that a repeated request lends nothing more.
const MAX_LOANS: usize = 10_000;

/// The bundle's settings of a budget.
#[derive(Clone, Debug, Default, PartialEq)]
struct BudgetSettings {
    credits: Vec<Credit>,
    policy: HoldingPolicy,
}

/// Returns which kind of error to avoid first for `budget`.
pub(crate) fn weighing(bundle: &Bundle, budget: &str) -> Weighing {
    let content = budget
        .split_once('/')
        .and_then(|(team, name)| bundle.teams.get(team).and_then(|team| team.budgets.get(name)));
    content.map(|content| content.weighing).unwrap_or_default()
}

/// Returns the bundle's settings of `budget`, which is named as `team/budget`.
fn budget_settings(bundle: &Bundle, budget: &str) -> Option<BudgetSettings> {
    let (team, name) = budget.split_once('/')?;
    let content = bundle.teams.get(team)?.budgets.get(name)?;
    let limits = &bundle.limits;
    let policy = HoldingPolicy {
        cover_s: limits.cover_s(content.weighing),
        min_tokens: limits.grant_min,
        expose_s: limits.expose_s(content.weighing),
    };
    Some(BudgetSettings { credits: content.credits.clone(), policy })
}

/// The state of a budget on this router.
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

/// The state of a budget for operators, in tokens.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct BudgetView {
    pub available: u64,
    pub reserved: u64,
    pub unknown: u64,
    pub total: u64,
    /// The tokens that no router held when this one last settled.
    pub free: Option<u64>,
}

/// A reservation that failed.
#[derive(Debug)]
pub(crate) struct Shortage {
    /// The missing tokens; 0 if the grant has enough but not all of them are exposed yet.
    pub missing: u64,
    /// Notified when the budget's state changes.
    pub changed: EventListener,
}

/// Where missing tokens may be available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Availability {
    /// No settlement has read the pool yet.
    Unknown,
    /// The whole budget has fewer tokens left than the request may need.
    Exhausted,
    /// Other routers hold tokens, or requests in progress on this router may release some.
    HeldElsewhere,
    /// The pool had free tokens at the last settlement.
    InPool,
}

/// The grants of this router.
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
        change(shard.get_mut(budget).expect("the budget was inserted above"))
    }

    /// Reserves the maximum that a request can consume (I6), or records the shortage for the next settlement.
    pub(crate) fn reserve(&self, budget: &str, tokens: u64, now: u64) -> Result<(), Shortage> {
        self.with(budget, |state| {
            state.demand.record_request(now);
            match state.grant.reserve(tokens) {
                ReserveOutcome::Reserved => Ok(()),
                ReserveOutcome::Insufficient(missing) => {
                    state.missing = state.missing.max(missing);
                    Err(Shortage { missing, changed: state.changed.listen() })
                }
                ReserveOutcome::ExposureExceeded => {
                    state.unexposed = state.unexposed.max(tokens);
                    Err(Shortage { missing: 0, changed: state.changed.listen() })
                }
            }
        })
    }

    /// Releases a reservation whose request certainly consumed nothing.
    pub(crate) fn release(&self, budget: &str, tokens: u64) {
        self.with(budget, |state| {
            state.grant.release(tokens);
            state.changed.notify(usize::MAX);
        });
    }

    /// Charges a reservation. Returns the tokens above the reservation, which are not charged.
    pub(crate) fn charge(&self, budget: &str, reserved: u64, charge: Charge) -> u64 {
        self.with(budget, |state| {
            state.demand.record_consumption(charge.tokens);
            let excess = state.grant.charge(reserved, charge);
            state.changed.notify(usize::MAX);
            excess
        })
    }

    /// Holds the reservation of a run whose outcome is unknown.
    pub(crate) fn hold_unknown(&self, budget: &str, reserved: u64) {
        self.with(budget, |state| state.grant.hold_unknown(reserved));
    }

    /// Ends a reservation whose run consumed `tokens` for an answer that nobody received.
    pub(crate) fn write_off(&self, budget: &str, reserved: u64, tokens: u64) {
        self.with(budget, |state| {
            state.grant.write_off(reserved, tokens);
            state.changed.notify(usize::MAX);
        });
    }

    /// Ends the held reservation of a run that is now known to have consumed `tokens`. They are charged
    /// with `charge`, or written off if it is `None`.
    pub(crate) fn resolve_unknown(&self, budget: &str, reserved: u64, tokens: u64, charge: Option<Charge>) {
        self.with(budget, |state| {
            state.grant.reclaim_unknown(reserved);
            match charge {
                Some(charge) => {
                    state.grant.charge(reserved, charge);
                }
                None => state.grant.write_off(reserved, tokens),
            }
            state.changed.notify(usize::MAX);
        });
    }

    /// Where the tokens that are missing for a request of `tokens` may be available.
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

    /// The number of settlements of the budget. Callers compare it to detect a settlement after their
    /// request.
    pub(crate) fn settlements(&self, budget: &str) -> u64 {
        self.with(budget, |state| state.settlements)
    }

    /// Whether a budget needs a settlement now to get tokens from the pool or to expose more. A pool that was
    /// just found empty is not asked again for every request.
    pub(crate) fn needs_settlement(&self, now: u64) -> bool {
        let is_short = |state: &BudgetState| {
            let empty = state.pool.as_ref().is_some_and(|pool| pool.free == 0);
            let unexposed = state.unexposed > 0 && !state.grant.has_open_entry();
            let known_empty = empty && now.saturating_sub(state.settled_at) < POOL_EMPTY_MS;
            unexposed || (state.missing > 0 && !state.grant.has_open_entry() && !known_empty)
        };
        self.shards.iter().any(|shard| {
            shard.lock().expect("no thread panics while it holds the lock").values().any(is_short)
        })
    }

    /// Opens the entries of the next batch. `elapsed_ms` is the time since the last batch. With `close`, all
    /// unused tokens are returned.
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

    /// Closes the entry of a budget in a batch that took effect.
    pub(crate) fn close_entry(&self, budget: &str, line: &Line, pool: Option<&Pool>, now: u64) {
        self.with(budget, |state| {
            state.grant.close_entry(line);
            if let Some(pool) = pool {
                state.pool = Some(Pool { credits: BTreeMap::new(), ..pool.clone() });
            }
            state.settlements += 1;
            state.settled_at = now;
            state.changed.notify(usize::MAX);
        });
    }

    /// Restores the exposure limits of all budgets, also of those that the batch which names a new keeper does
    /// not settle: the keeper closes the whole account.
    pub(crate) fn restore_exposure_limits(&self) {
        for shard in &self.shards {
            let mut shard = shard.lock().expect("no thread panics while it holds the lock");
            shard.values_mut().for_each(|state| state.grant.restore_exposure_limit());
        }
    }

    /// Lifts the exposure limit of a budget until the open batch is settled or the next one is opened.
    pub(crate) fn lift_exposure_limit(&self, budget: &str) {
        self.with(budget, |state| {
            state.grant.lift_exposure_limit();
            state.changed.notify(usize::MAX);
        });
    }

    /// Lends tokens to a peer. A repeated `id` lends nothing more and returns the same result.
    pub(crate) fn lend(&self, id: &str, budget: &str, tokens: u64) -> u64 {
        let mut loans = self.loans.lock().expect("no thread panics while it holds the lock");
        if let Some(lent) = loans.lent.get(id) {
            return *lent;
        }
        // If two routers both miss tokens, one must yield. Otherwise both would refuse requests although
        // their tokens together suffice for one of them.
        let must_yield = id < self.holder.as_str();
        let lent = self.with(budget, |state| match state.missing > 0 && !must_yield {
            true => 0,
            false => state.grant.lend(tokens, 0),
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

    /// Adds tokens that were borrowed from a peer.
    pub(crate) fn receive(&self, budget: &str, tokens: u64) {
        self.with(budget, |state| {
            state.grant.receive(tokens);
            state.changed.notify(usize::MAX);
        });
    }

    /// The budgets on this router, for operators.
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

/// The time at which a batch is opened, and whether it is the last one.
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
    if state.grant.has_open_entry() {
        return None;
    }
    let BudgetSettings { credits, policy } = budget_settings(bundle, budget).unwrap_or_default();
    state.demand.update_rate(timing.elapsed_ms);
    let target = if timing.close { 0 } else { state.demand.target(timing.now, &policy) };
    let missing = std::mem::take(&mut state.missing);
    let pool_free = state.pool.as_ref().map(|pool| pool.free);
    let off_target = is_off_target(state.grant.available(), target, pool_free);
    let unexposed = std::mem::take(&mut state.unexposed);
    if missing == 0 && unexposed == 0 && !state.grant.has_unsettled_changes() && !off_target {
        return None;
    }
    state.grant.open_entry(
        target,
        missing,
        state.demand.exposure_headroom(&policy) + unexposed,
        credits,
        room,
    )
}
