//! The budget rows in the platform's store, and the transaction that moves tokens between them.
//!
//! A [`Pool`] row holds the remaining tokens of a budget. An [`Account`] row belongs to one router and holds
//! the cumulative sums of the tokens that the router drew, spent and returned. Because the sums are
//! cumulative and the account has a sequence number, a transaction whose answer was lost can be recognised or
//! repeated safely.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A grant from a level is at least this multiple of the need, so that not every request writes the pool's
/// row.
const NEED_MULTIPLE: u64 = 4;
/// This minimum is at most this fraction (1/n) of the free tokens.
const MIN_GRANT_DIVISOR: u64 = 64;
/// Once set, [`Pool::wanted`] stays set until this fraction (1/n) of the level is free again.
const WANTED_CLEAR_DIVISOR: u64 = 16;

/// A prepayment. Its identifier ensures that it is added once, however often it is applied (I5).
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Credit {
    /// The identifier, for example an invoice number; unique within its budget.
    pub id: String,
    /// Prepaid tokens.
    pub tokens: u64,
}

/// The cost of one request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Charge {
    /// The request's identifier, unique in the fleet.
    pub request: String,
    /// The caller's idempotency key, if it sent one. Each key is charged once (I2).
    pub key: Option<String>,
    /// Tokens consumed.
    pub tokens: u64,
}

/// The state of one budget in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Pool {
    /// Tokens that no router holds.
    pub free: u64,
    /// Tokens held by routers.
    pub outstanding: u64,
    /// Tokens spent.
    pub spent: u64,
    /// The credits applied so far.
    pub credits: BTreeMap<String, u64>,
    /// The total set by the operator, for budgets that are not prepaid by single credits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<Level>,
    /// The part of `outstanding` that dead routers may have used. It is neither charged nor ever returned.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub written_off: u64,
    /// For a budget with a level: a router needed more than was free, so the others should return idle
    /// tokens.
    #[serde(default)]
    pub wanted: bool,
}

fn is_zero(tokens: &u64) -> bool {
    *tokens == 0
}

/// A prepaid total, which the operator may raise or lower. The latest version of the configuration applies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Level {
    /// The version of the configuration that set the total.
    pub version: u64,
    /// The total number of tokens that may be spent.
    pub tokens: u64,
}

impl Pool {
    /// Sets the prepaid total and returns `true`, unless the same or a later version of the configuration has
    /// already set it.
    ///
    /// If the total is less than what is spent and outstanding, nothing is free until enough tokens are
    /// returned.
    pub fn set_level(&mut self, level: Level) -> bool {
        if self.level.is_some_and(|known| known.version >= level.version) {
            return false;
        }
        self.level = Some(level);
        self.recompute_free();
        true
    }

    /// For a budget with a level, derives the free tokens from those spent and outstanding.
    fn recompute_free(&mut self) {
        if let Some(level) = self.level {
            self.free = level.tokens.saturating_sub(self.outstanding + self.spent);
        }
    }

    /// Adds a credit and returns `true`, unless a credit with this identifier was added before (I5).
    pub fn credit(&mut self, id: &str, tokens: u64) -> bool {
        if self.credits.contains_key(id) {
            return false;
        }
        self.credits.insert(id.to_owned(), tokens);
        self.free += tokens;
        true
    }

    /// The sum of all credits.
    pub fn credited(&self) -> u64 {
        self.credits.values().sum()
    }

    /// Whether every prepaid token is counted exactly once as free, outstanding or spent (I1).
    pub fn is_balanced(&self) -> bool {
        let held = self.outstanding + self.spent;
        match self.level {
            // The level may have been lowered below what is outstanding and spent; then nothing is free.
            Some(level) => self.free == level.tokens.saturating_sub(held),
            None => self.credited() == self.free + held,
        }
    }
}

/// One router's cumulative sums for one budget, in tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Line {
    /// Drawn from the pool.
    pub granted: u64,
    /// Charged to the budget.
    pub spent: u64,
    /// Consumed, but not charged because another router charged the same request.
    pub voided: u64,
    /// Returned to the pool.
    pub returned: u64,
    /// Lent to other routers.
    pub sent: u64,
    /// Received from other routers.
    pub received: u64,
    /// The exposure limit: the most that the router may reserve, consume or lend before its next settlement.
    pub exposed: u64,
}

impl Line {
    /// Tokens that the router held when the line was written. If the router crashes, no more than these are
    /// lost, except for transfers that no line shows yet.
    pub fn held(&self) -> u64 {
        (self.granted + self.received).saturating_sub(self.spent + self.returned + self.sent)
    }
}

/// The row of one router.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Account {
    /// The sequence of the last batch that took effect.
    pub sequence: u64,
    /// The sums for each budget.
    pub lines: BTreeMap<String, Line>,
    /// The router that may close this account once its owner is gone.
    pub keeper: String,
    /// Whether the account was closed. Nothing is granted to a closed account.
    pub closed: bool,
}

/// Closes the account of a router that is gone, and returns the tokens that it can't have used to their
/// pools. Returns these tokens by budget.
///
/// This is safe even if the router is still running and doesn't know that its account was closed: between
/// settlements it never uses more than `exposed`, and these tokens stay outstanding. Safety (I1, I6)
/// therefore depends neither on clocks nor on a list of live routers.
///
/// # Errors
/// Fails if a pool has fewer tokens outstanding than would be returned; the rows must not be written then.
pub fn close_account(
    account: &mut Account,
    pools: &mut BTreeMap<String, Pool>,
) -> Result<BTreeMap<String, u64>, Error> {
    close_account_with_exposure(account, pools, |_, line| Exposed { charged: 0, at_most: line.exposed })
}

/// What a router may have used of a budget beyond the spent tokens that its line shows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Exposed {
    /// Tokens that were certainly charged.
    pub charged: u64,
    /// The most tokens that were used, including those charged.
    pub at_most: u64,
}

/// Like [`close_account`], for a router that is known to be dead: `exposed` gives what it may have used of
/// each budget beyond what its line shows. What was certainly charged is spent; the rest is written off.
///
/// # Errors
/// See [`close_account`].
pub fn close_account_with_exposure(
    account: &mut Account,
    pools: &mut BTreeMap<String, Pool>,
    exposed: impl Fn(&str, &Line) -> Exposed,
) -> Result<BTreeMap<String, u64>, Error> {
    let mut released = BTreeMap::new();
    for (budget, line) in &mut account.lines {
        let Exposed { charged, at_most } = exposed(budget, line);
        let held = line.held();
        let tokens = held.saturating_sub(at_most);
        let charged = charged.min(held - tokens);
        let pool = pools.entry(budget.clone()).or_default();
        let imbalance = || Error::Imbalance(budget.clone());
        pool.outstanding = pool.outstanding.checked_sub(tokens + charged).ok_or_else(imbalance)?;
        pool.free += tokens;
        pool.spent += charged;
        pool.recompute_free();
        line.returned += tokens;
        line.spent += charged;
        pool.written_off += line.held();
        released.insert(budget.clone(), tokens);
    }
    account.closed = true;
    Ok(released)
}

/// The part of a batch that concerns one budget.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Entry {
    /// Charges to settle.
    pub charges: Vec<Charge>,
    /// The budget's credits in the active bundle.
    pub credits: Vec<Credit>,
    /// Unused tokens to return to the pool.
    pub returned: u64,
    /// Tokens lent to other routers since the last batch.
    pub sent: u64,
    /// Tokens received from other routers since the last batch.
    pub received: u64,
    /// Tokens wanted, so that requests can be served during an outage of the store.
    pub want: u64,
    /// Tokens that waiting requests need in order not to be refused.
    pub need: u64,
    /// The exposure limit: the most that the router will use before its next settlement.
    pub exposed: u64,
}

/// What one router settles in one transaction.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Batch {
    /// The sequence number of this batch in its account, starting at 1.
    pub sequence: u64,
    /// The entries by budget.
    pub entries: BTreeMap<String, Entry>,
    /// The router that may close the account once its owner is gone.
    pub keeper: String,
}

/// Why a batch can't be posted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The batch was already posted.
    #[error("batch {0} was already posted")]
    AlreadyPosted(u64),
    /// An earlier batch of the account is missing.
    #[error("batch {0} does not follow the account's last batch")]
    SequenceGap(u64),
    /// Tokens would be lost or created, so nothing is written.
    #[error("pool {0} does not hold the tokens that the batch settles")]
    Imbalance(String),
}

/// Posts `batch` to the rows. On an error the rows must not be written.
///
/// `charged` tells whether another request already charged this key of this budget (I2). `fleet_size` is the
/// number of routers that draw on the pools; for a budget prepaid by credits, it limits what each is granted
/// beyond its need.
///
/// # Errors
/// See [`Error`].
pub fn post(
    account: &mut Account,
    pools: &mut BTreeMap<String, Pool>,
    charged: &impl Fn(&ChargeIdentity<'_>) -> bool,
    batch: &Batch,
    fleet_size: u64,
) -> Result<(), Error> {
    if batch.sequence <= account.sequence {
        return Err(Error::AlreadyPosted(batch.sequence));
    }
    if batch.sequence > account.sequence + 1 {
        return Err(Error::SequenceGap(batch.sequence));
    }
    for (budget, entry) in &batch.entries {
        let pool = pools.entry(budget.clone()).or_default();
        let line = account.lines.entry(budget.clone()).or_default();
        let max_transfer = if account.closed { 0 } else { u64::MAX };
        post_entry(budget, pool, line, charged, entry, (fleet_size, max_transfer))
            .ok_or_else(|| Error::Imbalance(budget.clone()))?;
    }
    account.sequence = batch.sequence;
    if !account.closed {
        account.keeper.clone_from(&batch.keeper);
    }
    Ok(())
}

/// The identity of a charged request within a budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChargeIdentity<'a> {
    /// The budget.
    pub budget: &'a str,
    /// The caller's idempotency key.
    pub key: &'a str,
    /// The request that the charge is for.
    pub request: &'a str,
}

fn post_entry(
    budget: &str,
    pool: &mut Pool,
    line: &mut Line,
    charged: &impl Fn(&ChargeIdentity<'_>) -> bool,
    entry: &Entry,
    (fleet_size, max_transfer): (u64, u64),
) -> Option<()> {
    for credit in &entry.credits {
        pool.credit(&credit.id, credit.tokens);
    }
    let mut seen = BTreeSet::new();
    for charge in &entry.charges {
        let identity =
            charge.key.as_deref().map(|key| ChargeIdentity { budget, key, request: &charge.request });
        if identity.is_some_and(|identity| charged(&identity) || !seen.insert(identity.key)) {
            line.voided += charge.tokens;
        } else {
            line.spent += charge.tokens;
            pool.spent += charge.tokens;
            pool.outstanding = pool.outstanding.checked_sub(charge.tokens)?;
        }
    }
    // Closing the account already returned everything that was not exposed, including what this batch
    // returns.
    let returned = entry.returned.min(max_transfer);
    pool.outstanding = pool.outstanding.checked_sub(returned)?;
    pool.free += returned;
    pool.recompute_free();
    line.returned += returned;
    line.sent += entry.sent;
    line.received += entry.received;

    if max_transfer > 0 {
        line.exposed = entry.exposed;
    }
    let grant = match pool.level {
        Some(_) => grant_from_level(pool.free, entry.want, entry.need),
        None => grant_from_credits(pool.free, entry.want, entry.need, fleet_size),
    }
    .min(max_transfer);
    pool.free -= grant;
    pool.outstanding += grant;
    if let Some(level) = pool.level {
        let is_short = pool.wanted && pool.free < level.tokens / WANTED_CLEAR_DIVISOR;
        pool.wanted = grant < entry.need || is_short;
    }
    line.granted += grant;
    pool.is_balanced().then_some(())
}

/// The size of a grant from a budget with a level: the need, or what the router wants up to half of the free
/// tokens, so that the other routers get their shares too. A grant is at least several times the need, within
/// a small part of the free tokens, so that not every request writes the pool's row.
fn grant_from_level(free: u64, want: u64, need: u64) -> u64 {
    let minimum = need.saturating_mul(NEED_MULTIPLE).min(free / MIN_GRANT_DIVISOR);
    let share = (free / 2).max(minimum);
    want.min(share).max(minimum).max(need).min(free)
}

/// The size of a grant from a budget prepaid by credits: the need, as far as the pool has it, or what the
/// router wants, up to half of an equal share of the free tokens.
fn grant_from_credits(free: u64, want: u64, need: u64, fleet_size: u64) -> u64 {
    let share = free / (2 * fleet_size.max(1));
    want.min(share).max(need).min(free)
}
