//! This router's grants: reservations, charges and loans, in shards under their own locks.

use budget::demand::{Demand, HoldingPolicy, is_off_target};
use budget::grant::{Grant, ReserveOutcome};
use budget::ledger::{Charge, Credit, Entry, Line, Pool};
use bundle::{Bundle, Weighing};
use event_listener::{Event, EventListener};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

/// Shards of the grants.
const SHARDS: usize = 16;
/// Budgets in one batch, so that a transaction stays small.
const BATCH_BUDGETS: usize = 48;
/// Charges in one batch, so that a transaction stays small.
const BATCH_CHARGES: usize = 48;
/// Milliseconds for which a pool that was seen empty is taken to be empty.
const EMPTY_MS: u64 = 250;
/// Loans remembered, so that a repeated request lends nothing more.
const LOANS_KEPT: usize = 10_000;

/// What the bundle says of a budget.
#[derive(Clone, Debug, Default, PartialEq)]
struct Agreed {
    credits: Vec<Credit>,
    terms: HoldingPolicy,
}

/// Which error weighs more for `budget`.
pub(crate) fn weighing(bundle: &Bundle, budget: &str) -> Weighing {
    let content = budget
        .split_once('/')
        .and_then(|(team, name)| bundle.teams.get(team).and_then(|team| team.budgets.get(name)));
    content.map(|content| content.weighing).unwrap_or_default()
}

/// Reads what was agreed on `budget`, named `team/budget`.
fn agreed(bundle: &Bundle, budget: &str) -> Option<Agreed> {
    let (team, name) = budget.split_once('/')?;
    let content = bundle.teams.get(team)?.budgets.get(name)?;
    let limits = &bundle.limits;
    let terms = HoldingPolicy {
        cover_s: limits.cover_s(content.weighing),
        min_tokens: limits.grant_min,
        expose_s: limits.expose_s(content.weighing),
    };
    Some(Agreed { credits: content.credits.clone(), terms })
}

/// One budget here.
#[derive(Debug, Default)]
struct Slot {
    grant: Grant,
    need: u64,
    capped: u64,
    demand: Demand,
    pool: Option<Pool>,
    settled: u64,
    settled_at: u64,
    changed: Arc<Event>,
}

/// One budget as operators see it; all in tokens.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct View {
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
pub(crate) enum Outlook {
    /// No settlement has said yet.
    Unseen,
    /// The budget has fewer tokens left than the request may need, wherever they are.
    Exhausted,
    /// Other routers hold tokens, or requests in progress here may give some back.
    Elsewhere,
    /// The pool had tokens left at the last settlement.
    InPool,
}

/// This router's grants.
#[derive(Debug)]
pub(crate) struct Grants {
    holder: String,
    shards: Vec<Mutex<HashMap<String, Slot>>>,
    loans: Mutex<Loans>,
}

#[derive(Debug, Default)]
struct Loans {
    given: HashMap<String, u64>,
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

    fn shard(&self, budget: &str) -> MutexGuard<'_, HashMap<String, Slot>> {
        let index = xxhash_rust::xxh3::xxh3_64(budget.as_bytes()) as usize % SHARDS;
        self.shards[index].lock().expect("the grants' lock")
    }

    fn with<T>(&self, budget: &str, change: impl FnOnce(&mut Slot) -> T) -> T {
        let mut shard = self.shard(budget);
        if !shard.contains_key(budget) {
            shard.insert(budget.to_owned(), Slot::default());
        }
        change(shard.get_mut(budget).expect("the slot was entered above"))
    }

    /// Reserves the worst case of a request (I6), or notes what is missing.
    pub(crate) fn reserve(&self, budget: &str, tokens: u64, now: u64) -> Result<(), Shortage> {
        self.with(budget, |slot| {
            slot.demand.record_request(now);
            match slot.grant.reserve(tokens) {
                ReserveOutcome::Reserved => Ok(()),
                ReserveOutcome::Insufficient(missing) => {
                    slot.need = slot.need.max(missing);
                    Err(Shortage { missing, changed: slot.changed.listen() })
                }
                ReserveOutcome::ExposureExceeded => {
                    slot.capped = slot.capped.max(tokens);
                    Err(Shortage { missing: 0, changed: slot.changed.listen() })
                }
            }
        })
    }

    /// Gives back a reservation whose request certainly consumed nothing.
    pub(crate) fn release(&self, budget: &str, tokens: u64) {
        self.with(budget, |slot| {
            slot.grant.release(tokens);
            slot.changed.notify(usize::MAX);
        });
    }

    /// Charges a reservation; returns the tokens above it that were cut off.
    pub(crate) fn charge(&self, budget: &str, reserved: u64, charge: Charge) -> u64 {
        self.with(budget, |slot| {
            slot.demand.record_consumption(charge.tokens);
            let excess = slot.grant.charge(reserved, charge);
            slot.changed.notify(usize::MAX);
            excess
        })
    }

    /// Keeps the reservation of a run whose end is not known.
    pub(crate) fn lose(&self, budget: &str, reserved: u64) {
        self.with(budget, |slot| slot.grant.hold_unknown(reserved));
    }

    /// Ends a reservation whose run consumed `tokens` for an answer that nobody got.
    pub(crate) fn waste(&self, budget: &str, reserved: u64, tokens: u64) {
        self.with(budget, |slot| {
            slot.grant.write_off(reserved, tokens);
            slot.changed.notify(usize::MAX);
        });
    }

    /// Ends a lost run once it is known that it consumed `tokens`: charged by `bill`, or wasted.
    pub(crate) fn find(&self, budget: &str, reserved: u64, tokens: u64, bill: Option<Charge>) {
        self.with(budget, |slot| {
            slot.grant.reclaim_unknown(reserved);
            match bill {
                Some(charge) => {
                    slot.grant.charge(reserved, charge);
                }
                None => slot.grant.write_off(reserved, tokens),
            }
            slot.changed.notify(usize::MAX);
        });
    }

    /// What is known about tokens that are missing for a request of `tokens`.
    pub(crate) fn outlook(&self, budget: &str, tokens: u64) -> Outlook {
        self.with(budget, |slot| {
            let Some(pool) = &slot.pool else {
                return Outlook::Unseen;
            };
            if pool.free > 0 {
                return if pool.free + pool.outstanding < tokens {
                    Outlook::Exhausted
                } else {
                    Outlook::InPool
                };
            }
            let mine = slot.grant.total();
            let elsewhere = pool.outstanding.saturating_sub(mine);
            let coming = slot.grant.available() + slot.grant.reserved() + elsewhere;
            if coming < tokens || (elsewhere == 0 && slot.grant.reserved() == 0) {
                Outlook::Exhausted
            } else {
                Outlook::Elsewhere
            }
        })
    }

    /// How often this budget was settled: a caller sees by it whether a settlement came after its request.
    pub(crate) fn settlements(&self, budget: &str) -> u64 {
        self.with(budget, |slot| slot.settled)
    }

    /// Whether any budget misses tokens that the pool may have: one that was just seen empty is not asked
    /// again for every request.
    pub(crate) fn is_short(&self, now: u64) -> bool {
        let is_short = |slot: &Slot| {
            let empty = slot.pool.as_ref().is_some_and(|pool| pool.free == 0);
            let capped = slot.capped > 0 && !slot.grant.has_open_entry();
            let known_empty = empty && now.saturating_sub(slot.settled_at) < EMPTY_MS;
            capped || (slot.need > 0 && !slot.grant.has_open_entry() && !known_empty)
        };
        self.shards.iter().any(|shard| shard.lock().expect("the grants' lock").values().any(is_short))
    }

    /// Opens the entries of the next batch. `elapsed_ms` is the time since the last one; with `close`
    /// everything unused is given back.
    pub(crate) fn open(
        &self,
        bundle: &Bundle,
        now: u64,
        elapsed_ms: u64,
        close: bool,
    ) -> BTreeMap<String, Entry> {
        let mut entries = BTreeMap::new();
        let mut room = BATCH_CHARGES;
        for shard in &self.shards {
            let mut shard = shard.lock().expect("the grants' lock");
            for (budget, slot) in shard.iter_mut() {
                if entries.len() >= BATCH_BUDGETS || room == 0 {
                    return entries;
                }
                let pace = Pace { now, elapsed_ms, close };
                if let Some(entry) = open_slot(bundle, budget, slot, pace, room) {
                    room -= entry.charges.len();
                    entries.insert(budget.clone(), entry);
                }
            }
        }
        entries
    }

    /// Closes the entries of a batch that took effect.
    pub(crate) fn close(&self, budget: &str, line: &Line, pool: Option<&Pool>, now: u64) {
        self.with(budget, |slot| {
            slot.grant.close_entry(line);
            if let Some(pool) = pool {
                slot.pool = Some(Pool { credits: BTreeMap::new(), ..pool.clone() });
            }
            slot.settled += 1;
            slot.settled_at = now;
            slot.changed.notify(usize::MAX);
        });
    }

    /// Lifts the bound on what may be used of a budget until the next settlement.
    pub(crate) fn raise(&self, budget: &str) {
        self.with(budget, |slot| {
            slot.grant.lift_exposure_limit();
            slot.changed.notify(usize::MAX);
        });
    }

    /// Lends tokens to a peer; the same `id` lends nothing more.
    pub(crate) fn lend(&self, id: &str, budget: &str, tokens: u64) -> u64 {
        let mut loans = self.loans.lock().expect("the loans' lock");
        if let Some(given) = loans.given.get(id) {
            return *given;
        }
        // Of two routers that both miss tokens one must yield, or both refuse what together they could serve.
        let yields = id < self.holder.as_str();
        let given = self.with(budget, |slot| match slot.need > 0 && !yields {
            true => 0,
            false => slot.grant.lend(tokens, 0),
        });
        loans.given.insert(id.to_owned(), given);
        loans.order.push_back(id.to_owned());
        if loans.order.len() > LOANS_KEPT
            && let Some(oldest) = loans.order.pop_front()
        {
            loans.given.remove(&oldest);
        }
        given
    }

    /// Adds tokens that a peer lent.
    pub(crate) fn receive(&self, budget: &str, tokens: u64) {
        self.with(budget, |slot| {
            slot.grant.receive(tokens);
            slot.changed.notify(usize::MAX);
        });
    }

    /// The budgets here.
    pub(crate) fn view(&self) -> BTreeMap<String, View> {
        let mut view = BTreeMap::new();
        for shard in &self.shards {
            for (budget, slot) in shard.lock().expect("the grants' lock").iter() {
                let grant = &slot.grant;
                let one = View {
                    available: grant.available(),
                    reserved: grant.reserved(),
                    unknown: grant.unknown(),
                    total: grant.total(),
                    free: slot.pool.as_ref().map(|pool| pool.free),
                };
                view.insert(budget.clone(), one);
            }
        }
        view
    }
}

/// When a batch is opened.
#[derive(Clone, Copy, Debug)]
struct Pace {
    now: u64,
    elapsed_ms: u64,
    close: bool,
}

fn open_slot(bundle: &Bundle, budget: &str, slot: &mut Slot, pace: Pace, room: usize) -> Option<Entry> {
    if slot.grant.has_open_entry() {
        return None;
    }
    let Agreed { credits, terms } = agreed(bundle, budget).unwrap_or_default();
    slot.demand.update_rate(pace.elapsed_ms);
    let target = if pace.close { 0 } else { slot.demand.target(pace.now, &terms) };
    let need = std::mem::take(&mut slot.need);
    let pool_free = slot.pool.as_ref().map(|pool| pool.free);
    let off_target = is_off_target(slot.grant.available(), target, pool_free);
    let capped = std::mem::take(&mut slot.capped);
    if need == 0 && capped == 0 && !slot.grant.has_unsettled_changes() && !off_target {
        return None;
    }
    slot.grant.open_entry(target, need, slot.demand.exposure_headroom(&terms) + capped, credits, room)
}
