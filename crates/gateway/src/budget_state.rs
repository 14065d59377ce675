//! What this router holds of one budget, and the decisions on it: what may be reserved, what the next settlement
//! asks for, what the next note allows.

use crate::settle::SETTLE_INTERVAL;
use budget::demand::{Demand, Terms, is_off_target};
use budget::exposure::{Notes, Outlook, Schedule};
use budget::grant::{Grant, Reserve};
use budget::ledger::{Account, Batch, Level, Pool};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

// The shares, multiples and times below were chosen together on the standard days of two deployments, few of them one by
// one: see the table in docs/design/platform.md.

/// Charges settled in one batch.
const MAX_BATCH_CHARGES: usize = 64;
/// Seconds of demand held, so that requests need no call to the store and outages of it are bridged: the longest
/// cuts that the platform was seen to have.
const DEMAND_COVER_S: u64 = 10;
/// A budget counts as nearly spent when less than this part of it is left.
const SCARCE_RATIO: f64 = 0.08;
/// The part of what is left of a budget that routers hold together at most: what lies in the pool can't be had in a cut.
const MAX_HELD_RATIO: f64 = 0.75;
/// From this part of a budget on it counts as plentiful. Below, routers keep less of it idle when others need some, in
/// proportion.
const PLENTIFUL_RATIO: f64 = 0.5;
/// The part of a budget that each router is taken to have used before it was seen to: so that the first uses do not
/// decide how all of it is shared.
const PRIOR_USE_RATIO: f64 = 0.005;
/// The part of its idle tokens that a router keeps at most when others need some: below one half, so that it does give
/// some back, and not none, since in a large fleet what all give back is far more than one needs.
const MAX_KEPT_RATIO: f64 = 0.45;
/// The part of a budget that other routers hold idle at most, when none of it is to be had.
const IDLE_ELSEWHERE_RATIO: f64 = 0.03;
/// How often a router asks the others for idle tokens of one budget at most, in milliseconds: they have none left
/// right after they were asked.
const RECALL_INTERVAL_MS: u64 = 1_000;
/// The same for each router that holds the budget: all of them answer a call with a write to the budget's partition.
const RECALL_INTERVAL_PER_WRITER_MS: u64 = 25;

/// Why tokens can't be reserved.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum DenialReason {
    /// The budget can't hold the request at its most.
    Spent,
    /// The store does not answer, and the tokens at hand are not enough.
    Away,
    /// Other routers hold what is left; they give it back.
    Elsewhere,
}

/// The rows of a budget as last seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct BudgetRows {
    pub pool: Pool,
    pub pool_version: u64,
    pub account: Account,
    pub account_version: u64,
    pub is_current: bool,
}

/// How the latest settlement ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SettlementResult {
    /// When it began, in the budget's milliseconds.
    pub began_ms: u64,
    /// Its number, from 1.
    pub number: u64,
    pub succeeded: bool,
    pub pool_free: u64,
}

/// One budget as this router holds it.
#[derive(Debug)]
pub(crate) struct BudgetState {
    started: Instant,
    pub grant: Grant,
    pub demand: Demand,
    /// How fast the use grows that notes bound, reservations included: it leads what is charged by as long as requests last.
    use_growth: Demand,
    /// The most that was in use or charged when the use_growth was last measured.
    max_used: u64,
    pub level: Level,
    pub is_level_lowered: bool,
    pub waiting_tokens: u64,
    /// How long charges may wait for a settlement, in milliseconds.
    record_ms: u64,
    /// How many settlements have begun.
    pub settlements_begun: u64,
    /// How many tokens another router asked for, if one did.
    pub recalled_tokens: Option<u64>,
    /// Tokens that earlier processes of this VM used, as far as they were settled.
    pub earlier_use: u64,
    /// When a router asked the others last, as far as this one knows, in the budget's milliseconds.
    pub last_recall_ms: Option<u64>,
    pub rows: BudgetRows,
    pub open_batch: Option<Batch>,
    pub latest_settlement: SettlementResult,
    last_tick: Instant,
    /// Counts the accounts that this process had: another router may close one.
    pub generation: u64,
    /// The notes that bind this generation.
    pub notes: Notes,
}

impl BudgetState {
    /// A budget without tokens.
    pub(crate) fn new(level: Level, record_ms: u64) -> BudgetState {
        let started = Instant::now();
        BudgetState {
            started,
            grant: Grant::default(),
            demand: Demand::default(),
            use_growth: Demand::default(),
            max_used: 0,
            level,
            is_level_lowered: false,
            waiting_tokens: 0,
            record_ms,
            settlements_begun: 0,
            recalled_tokens: None,
            earlier_use: 0,
            last_recall_ms: None,
            rows: BudgetRows::default(),
            open_batch: None,
            latest_settlement: SettlementResult::default(),
            last_tick: started,
            generation: 0,
            notes: Notes::default(),
        }
    }

    /// Whether the other routers should be asked for idle tokens now. If so, records the time of the call.
    pub(crate) fn try_start_recall(&mut self, now: u64, writers: u64) -> bool {
        let is_due = !self.has_recent_recall(now, writers);
        if is_due {
            self.last_recall_ms = Some(now);
        }
        is_due
    }

    /// Whether the latest known call for idle tokens is too recent for another one.
    pub(crate) fn has_recent_recall(&self, now: u64, writers: u64) -> bool {
        let again = RECALL_INTERVAL_MS.max(writers * RECALL_INTERVAL_PER_WRITER_MS);
        self.last_recall_ms.is_some_and(|asked_ms| now.saturating_sub(asked_ms) < again)
    }

    /// Whether nothing is held, in use or unsettled.
    pub(crate) fn is_empty(&self) -> bool {
        self.open_batch.is_none() && self.grant.in_use() == 0 && self.grant.available() == 0
    }

    /// Reserves tokens, if they are at hand and within what was noted.
    pub(crate) fn reserve(&mut self, tokens: u64) -> bool {
        !self.exceeds_note_limit(tokens) && self.grant.reserve(tokens) == Reserve::Held
    }

    /// Whether the notes leave no room for so many tokens.
    pub(crate) fn exceeds_note_limit(&self, tokens: u64) -> bool {
        self.grant.used().saturating_add(tokens) > self.note_limit()
    }

    /// The most that may be used now.
    pub(crate) fn note_limit(&self) -> u64 {
        self.notes.limit(self.now())
    }

    /// Milliseconds since the budget was opened, from 1: 0 means never.
    pub(crate) fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// The schedule for the next note, which takes about `note_ms` to be acknowledged, where so many gateways own the budget.
    pub(crate) fn schedule(&self, note_ms: u64, owners: u64) -> Schedule {
        Schedule::plan(&Outlook {
            used: self.grant.used(),
            charged: self.grant.charged(),
            waiting: self.waiting_tokens,
            available: self.grant.available(),
            left: self.unspent(),
            owners,
            rate: self.demand.rate().max(self.use_growth.rate()),
            note_ms,
        })
    }

    /// Takes what was used in the last `elapsed_ms` milliseconds into the averages.
    fn update_averages(&mut self, elapsed_ms: u64) {
        let used = self.grant.used();
        self.use_growth.consume(used.saturating_sub(self.max_used));
        self.max_used = self.max_used.max(used);
        self.use_growth.tick(elapsed_ms);
        self.demand.tick(elapsed_ms);
        self.last_tick = Instant::now();
    }

    /// Why tokens can't be had, if the latest settlement showed that.
    pub(crate) fn denial_reason(&self, tokens: u64) -> Option<DenialReason> {
        let latest = &self.latest_settlement;
        if !latest.succeeded || latest.pool_free + self.grant.available() + self.grant.returning() >= tokens {
            return None;
        }
        let idle = (self.level.tokens as f64 * IDLE_ELSEWHERE_RATIO) as u64;
        let pool = &self.rows.pool;
        let left = self.level.tokens.saturating_sub(pool.spent + self.grant.in_use());
        Some(if left < tokens + idle { DenialReason::Spent } else { DenialReason::Elsewhere })
    }

    /// Tokens that should be at hand: this router's share of what is left, so that it serves through a cut or an
    /// outage of the store, but none of a budget that is nearly spent, where every token must be reachable from
    /// everywhere. One that does not own the budget holds only what its own requests used lately: it drew while the
    /// owner did not answer.
    fn target_tokens(&self, now: u64, team: &str, terms: &Terms, owners: u64) -> u64 {
        let left = self.unspent() as f64;
        if left < self.level.tokens as f64 * SCARCE_RATIO {
            return 0;
        }
        let max_held = left * MAX_HELD_RATIO;
        let share = if owners == 0 { 0.0 } else { self.use_share(team, owners) };
        let target = self.demand.target(now, terms).min(max_held as u64).max((max_held * share) as u64);
        match self.rows.pool.wanted {
            // What is free is for those that wait.
            true => self.kept(target).min(self.grant.available()),
            false => target,
        }
    }

    /// What this router keeps of its idle tokens if another is short of so many.
    fn kept_after_recall(&self, missing: u64) -> u64 {
        let idle = self.grant.available();
        self.kept(idle).min(idle.saturating_sub(missing))
    }

    /// What a router keeps of so many tokens if others need some: less, the less is left of the budget.
    fn kept(&self, tokens: u64) -> u64 {
        (tokens as f64 * MAX_KEPT_RATIO * self.kept_ratio_scale()) as u64
    }

    /// What is left of the budget in the pool and at all routers, as far as this one knows.
    fn unspent(&self) -> u64 {
        self.level.tokens.saturating_sub(self.rows.pool.spent)
    }

    /// How plentiful the budget is, from 0 to 1.
    fn kept_ratio_scale(&self) -> f64 {
        (self.unspent() as f64 / (self.level.tokens as f64 * PLENTIFUL_RATIO).max(1.0)).min(1.0)
    }

    /// This router's share of the owners' use so far: requests of a team keep coming to the same routers.
    fn use_share(&self, team: &str, owners: u64) -> f64 {
        let own = self.rows.account.lines.get(team).map_or(0, |line| line.spent) + self.earlier_use;
        let prior = (self.level.tokens as f64 * PRIOR_USE_RATIO).max(1.0);
        let all = (self.rows.pool.spent.max(own)) as f64 + prior * owners as f64;
        (own as f64 + prior) / all
    }

    /// Opens the next batch, or takes up the one that is on its way.
    pub(crate) fn next_batch(&mut self, team: &str, now: u64, closing: bool, owners: u64) -> Option<Batch> {
        if let Some(batch) = &self.open_batch {
            return Some(batch.clone());
        }
        let elapsed = self.last_tick.elapsed();
        if elapsed >= SETTLE_INTERVAL / 2 {
            self.update_averages(elapsed.as_millis() as u64);
        }
        let terms = Terms { cover_s: DEMAND_COVER_S, least: 0, expose_s: DEMAND_COVER_S };
        let target = match self.target_tokens(now, team, &terms, owners) {
            _ if closing || self.is_level_lowered => 0,
            target => match self.recalled_tokens {
                Some(missing) => target.min(self.kept_after_recall(missing)),
                None => target,
            },
        };
        // What waiting requests are about to reserve is no excess.
        let target = target.max(self.waiting_tokens.min(self.grant.available()));
        let need = self.waiting_tokens.saturating_sub(self.grant.usable());
        let is_off = is_off_target(self.grant.available(), target, Some(self.latest_settlement.pool_free));
        let level_is_new = self.rows.pool.level.is_none_or(|known| known.version < self.level.version)
            && self.rows.pool.level.is_none_or(|known| known.tokens != self.level.tokens);
        let is_overdue = closing || now.saturating_sub(self.latest_settlement.began_ms) >= self.record_ms;
        let is_due = need > 0 || is_off || level_is_new || (is_overdue && self.grant.is_dirty());
        if !is_due {
            return None;
        }
        self.is_level_lowered = false;
        self.recalled_tokens = None;
        let spare = target.max(self.grant.available());
        let entry = self.grant.open(target, need, spare, vec![], MAX_BATCH_CHARGES)?;
        let sequence = self.rows.account.sequence + 1;
        let batch =
            Batch { sequence, entries: BTreeMap::from([(team.to_owned(), entry)]), ..Batch::default() };
        self.open_batch = Some(batch.clone());
        Some(batch)
    }

    /// Ends the open batch: the account's row shows it.
    pub(crate) fn close_batch(&mut self, team: &str) {
        self.open_batch = None;
        let line = self.rows.account.lines.get(team).copied().unwrap_or_default();
        self.grant.close(&line);
    }

    /// Starts an account anew after another router closed this one: what it exposed stays spent.
    pub(crate) fn reset_account(&mut self) {
        self.generation += 1;
        self.notes = Notes::default();
        self.grant = Grant::default();
        self.max_used = 0;
        self.open_batch = None;
        self.rows.account = Account::default();
        self.rows.account_version = 0;
    }
}
