//! The state of one budget on this gateway, and the decisions on it: what may be reserved, what the next
//! settlement requests, and what the next usage note allows.

use crate::settle::SETTLE_INTERVAL;
use budget::demand::{Demand, HoldingPolicy, is_off_target};
use budget::exposure::{Schedule, ScheduleInput, UsageNotes};
use budget::grant::{Grant, ReserveOutcome};
use budget::ledger::{Account, Batch, Level, Pool};
use budget::urgency::Mix;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

// Most of the ratios and times below belong together as one set of values: see the table in
// docs/design/platform.md.

/// The largest number of charges settled in one batch.
const MAX_BATCH_CHARGES: usize = 64;
/// The demand that a gateway holds tokens for, in seconds, so that requests need no call to the store and
/// outages of it are bridged. Covers the longest network partitions that were seen on the platform.
const DEMAND_COVER_S: u64 = 10;
/// A budget counts as nearly spent if less than this fraction of it is left.
const NEARLY_SPENT_RATIO: f64 = 0.08;
/// The largest fraction of what is left of a budget that all gateways together hold; the rest stays in the
/// pool, which is out of reach during a network partition.
const MAX_HELD_RATIO: f64 = 0.75;
/// Up to this fraction left, a budget counts as scarce: the less is left, the fewer idle tokens gateways keep
/// if others need some, in proportion.
const SCARCE_BELOW_RATIO: f64 = 0.5;
/// The fraction of a budget that each gateway is assumed to have used at the start, so that the first
/// requests alone do not decide how the budget is divided.
const PRIOR_USE_RATIO: f64 = 0.005;
/// The largest fraction of its idle tokens that a gateway keeps if others need some. Below one half, since
/// only a gateway that holds more than twice its target returns tokens; above zero, since in a large fleet
/// the returns of all gateways add up to far more than one of them needs.
const MAX_KEPT_RATIO: f64 = 0.45;
/// The largest fraction of a budget that may be idle on other gateways although none of it can be had. If
/// less than this would be left beside a denied request, the budget counts as spent.
const IDLE_ELSEWHERE_RATIO: f64 = 0.03;
/// The weight of a request in the average number of tokens that requests reserve.
const REQUEST_WEIGHT: f64 = 0.2;
/// The shortest interval between two recalls of one budget, in milliseconds: right after a recall the other
/// gateways have no idle tokens left.
const RECALL_INTERVAL_MS: u64 = 1_000;
/// The same for each gateway that settles the budget: all of them respond to a recall with a write to the
/// budget's partition.
const RECALL_INTERVAL_PER_WRITER_MS: u64 = 25;

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum DenialReason {
    /// What is left of the budget does not cover the worst case of the request.
    Spent,
    /// The store does not answer, and this gateway holds too few tokens or its notes allow too little use.
    Away,
    /// Other gateways hold what is left and are going to return it.
    Elsewhere,
}

/// The rows of a budget as last read or written.
#[derive(Clone, Debug, Default)]
pub(crate) struct BudgetRows {
    pub pool: Pool,
    pub pool_version: u64,
    pub account: Account,
    pub account_version: u64,
    pub is_current: bool,
}

/// The result of a settlement.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SettlementResult {
    /// When it began, as told by [`BudgetState::now`].
    pub began_ms: u64,
    /// Its number, counted from 1.
    pub number: u64,
    pub succeeded: bool,
    pub pool_free: u64,
}

/// The state of one budget on this gateway.
#[derive(Debug)]
pub(crate) struct BudgetState {
    started: Instant,
    pub grant: Grant,
    pub demand: Demand,
    /// The growth of the use that notes limit, including reservations, and what it would have grown by without the
    /// limit. It rises before `demand` does, by the duration of the requests.
    use_growth: Demand,
    /// The highest use seen when `use_growth` was updated.
    max_used: u64,
    /// The average number of tokens that a request reserves; 0 before the first one.
    request_tokens: f64,
    /// How long a note takes to be acknowledged, and how long the last request may wait for tokens, in milliseconds.
    note_ms: u64,
    request_wait_ms: u64,
    /// The use of the budget by priority, as far as this gateway reserves its tokens.
    pub mix: Mix,
    pub level: Level,
    pub is_level_lowered: bool,
    pub waiting_tokens: u64,
    /// Whether a request waits for a settlement that tells what the pool has now.
    pub is_refresh_due: bool,
    /// The longest time for which charges may wait for a settlement, in milliseconds.
    record_ms: u64,
    /// The number of settlements begun so far.
    pub settlements_begun: u64,
    /// The most tokens that another gateway lacked in the recalls since the last batch, if there were any.
    pub recalled_tokens: Option<u64>,
    /// Tokens that earlier processes of this VM used and settled.
    pub earlier_use: u64,
    /// When any gateway last sent a recall, as far as this one knows, as told by [`BudgetState::now`].
    last_recall_ms: Option<u64>,
    pub rows: BudgetRows,
    pub open_batch: Option<Batch>,
    pub latest_settlement: SettlementResult,
    last_tick: Instant,
    /// The number of accounts of this process that other gateways have closed.
    pub generation: u64,
    /// The usage notes that apply to the current account.
    pub notes: UsageNotes,
}

impl BudgetState {
    /// Creates the state of a budget without tokens.
    pub(crate) fn new(level: Level, record_ms: u64) -> BudgetState {
        let started = Instant::now();
        BudgetState {
            started,
            grant: Grant::default(),
            demand: Demand::default(),
            use_growth: Demand::default(),
            max_used: 0,
            request_tokens: 0.0,
            note_ms: 0,
            request_wait_ms: u64::MAX,
            mix: Mix::default(),
            level,
            is_level_lowered: false,
            waiting_tokens: 0,
            is_refresh_due: false,
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
            notes: UsageNotes::default(),
        }
    }

    /// Records that a gateway sent a recall at this time.
    pub(crate) fn record_recall(&mut self, now: u64) {
        self.last_recall_ms = self.last_recall_ms.max(Some(now));
    }

    /// Whether the last known recall is too recent for another one.
    pub(crate) fn has_recent_recall(&self, now: u64, writers: u64) -> bool {
        let interval_ms = RECALL_INTERVAL_MS.max(writers * RECALL_INTERVAL_PER_WRITER_MS);
        self.last_recall_ms.is_some_and(|recalled_ms| now.saturating_sub(recalled_ms) < interval_ms)
    }

    /// Whether no tokens are held, in use or waiting to be settled.
    pub(crate) fn is_empty(&self) -> bool {
        self.open_batch.is_none() && self.grant.in_use() == 0 && self.grant.available() == 0
    }

    /// Why `tokens` can't be reserved if the last ones are kept for requests that are more urgent than
    /// `priority`. `writers` is the number of gateways that settle the budget.
    pub(crate) fn withheld_reason(&self, tokens: u64, priority: u32, writers: u64) -> Option<DenialReason> {
        let withheld = self.mix.withheld(priority, self.level.tokens);
        let unspent = self.unspent().saturating_sub(self.grant.in_use());
        // Once a gateway lacks tokens that the pool does not have, only those at hand count: the others may
        // be lost with dead gateways. Each gateway then keeps its part.
        let (left, part) = match self.rows.pool.wanted {
            true => (self.latest_settlement.pool_free + self.grant.available(), withheld / writers.max(1)),
            false => (unspent, withheld),
        };
        if part == 0 || left >= tokens.saturating_add(part) {
            return None;
        }
        let is_spent = unspent < tokens.saturating_add(withheld);
        Some(if is_spent { DenialReason::Spent } else { DenialReason::Elsewhere })
    }

    /// Reserves tokens if this gateway holds them and its notes allow their use.
    pub(crate) fn reserve(&mut self, tokens: u64) -> bool {
        !self.exceeds_note_limit(tokens) && self.grant.reserve(tokens) == ReserveOutcome::Reserved
    }

    /// Whether using `tokens` more would exceed the limit of the notes.
    pub(crate) fn exceeds_note_limit(&self, tokens: u64) -> bool {
        self.grant.used().saturating_add(tokens) > self.note_limit()
    }

    /// The highest use that the notes allow now.
    pub(crate) fn note_limit(&self) -> u64 {
        self.notes.limit(self.now())
    }

    /// Milliseconds since the budget was opened, starting at 1; 0 stands for "never".
    pub(crate) fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// The schedule of the next note, which takes about `note_ms` to be acknowledged. `owners` is the number
    /// of gateways that own the budget.
    pub(crate) fn schedule(&mut self, note_ms: u64, owners: u64) -> Schedule {
        self.note_ms = note_ms;
        Schedule::plan(&self.schedule_input(owners))
    }

    fn schedule_input(&self, owners: u64) -> ScheduleInput {
        ScheduleInput {
            used: self.grant.used(),
            charged: self.grant.charged(),
            waiting: self.waiting_tokens,
            available: self.grant.available(),
            unspent: self.unspent(),
            owners,
            rate: self.rate(),
            request: if self.note_ms >= self.request_wait_ms { self.request_tokens as u64 } else { 0 },
            note_latency_ms: self.note_ms,
        }
    }

    /// Whether a new note has to be written now, so that the next request does not wait for it.
    pub(crate) fn is_note_due(&self) -> bool {
        let left = self.note_limit().saturating_sub(self.grant.used());
        // A note can't allow the use of tokens that this gateway does not hold.
        left < self.grant.available() && self.schedule_input(1).is_note_due(left)
    }

    /// Records a request that is going to reserve tokens, and may wait for them for `wait_ms`.
    pub(crate) fn record_request(&mut self, tokens: u64, wait_ms: u64, now: u64) {
        self.demand.record_request(now);
        self.request_wait_ms = wait_ms;
        self.request_tokens = match self.request_tokens {
            0.0 => tokens as f64,
            average => average + REQUEST_WEIGHT * (tokens as f64 - average),
        };
    }

    /// Records a request that was refused because the notes did not allow its use in time. Unless the next notes count
    /// on such requests, they allow only what is served, and a store that stays slow keeps most of them refused.
    pub(crate) fn record_unnoted(&mut self, tokens: u64) {
        self.use_growth.record_consumption(tokens);
    }

    /// The tokens used per second here.
    pub(crate) fn rate(&self) -> f64 {
        self.demand.rate().max(self.use_growth.rate())
    }

    /// Expects requests that use `tokens_per_s` in addition, because another gateway stops to reserve their tokens.
    pub(crate) fn take_over(&mut self, tokens_per_s: f64) {
        let now = self.now();
        self.demand.record_request(now);
        self.demand.take_over(tokens_per_s);
        self.use_growth.take_over(tokens_per_s);
    }

    /// Updates the averages with the use of the last `elapsed_ms` milliseconds.
    fn update_averages(&mut self, elapsed_ms: u64) {
        let used = self.grant.used();
        self.use_growth.record_consumption(used.saturating_sub(self.max_used));
        self.max_used = self.max_used.max(used);
        self.use_growth.update_rate(elapsed_ms);
        self.demand.update_rate(elapsed_ms);
        self.last_tick = Instant::now();
    }

    /// Whether the budget no longer covers `tokens`. A settlement can't change that, since what is spent or written off
    /// never returns.
    pub(crate) fn is_spent(&self, tokens: u64) -> bool {
        self.unspent() < tokens
    }

    /// Why `tokens` can't be reserved, if the rows or the latest settlement show that.
    pub(crate) fn denial_reason(&self, tokens: u64) -> Option<DenialReason> {
        if self.is_spent(tokens) {
            return Some(DenialReason::Spent);
        }
        let latest = &self.latest_settlement;
        if !latest.succeeded
            || latest.pool_free + self.grant.available() + self.grant.pending_return() >= tokens
        {
            return None;
        }
        let idle = (self.level.tokens as f64 * IDLE_ELSEWHERE_RATIO) as u64;
        let pool = &self.rows.pool;
        let left = self.level.tokens.saturating_sub(pool.spent + pool.written_off + self.grant.in_use());
        Some(if left < tokens + idle { DenialReason::Spent } else { DenialReason::Elsewhere })
    }

    /// The number of available tokens that this gateway should have: its share of what is left, so that it
    /// can serve requests during a network partition or an outage of the store. Zero if the budget is nearly
    /// spent, since then every token has to be within reach of every gateway. A gateway that does not own the
    /// budget holds what its own requests used recently: it has a heavy caller, or the owners did not answer.
    fn target_tokens(&self, now: u64, team: &str, policy: &HoldingPolicy, owners: u64) -> u64 {
        let left = self.unspent() as f64;
        if left < self.level.tokens as f64 * NEARLY_SPENT_RATIO {
            return 0;
        }
        let max_held = left * MAX_HELD_RATIO;
        let share = if owners == 0 { 0.0 } else { self.use_share(team, owners) };
        let target = self.demand.target(now, policy).min(max_held as u64).max((max_held * share) as u64);
        match self.rows.pool.wanted {
            // Free tokens are left to the requests that wait for them.
            true => self.kept(target).min(self.grant.available()),
            false => target,
        }
    }

    /// The idle tokens that this gateway keeps if another one lacks `missing` tokens.
    fn kept_after_recall(&self, missing: u64) -> u64 {
        let idle = self.grant.available();
        self.kept(idle).min(idle.saturating_sub(missing))
    }

    /// The part of `tokens` that a gateway keeps if others need some: the less of the budget is left, the
    /// smaller.
    fn kept(&self, tokens: u64) -> u64 {
        (tokens as f64 * MAX_KEPT_RATIO * self.abundance()) as u64
    }

    /// The tokens of the budget that are neither spent nor written off, in the pool and on all gateways, as far
    /// as this gateway knows.
    fn unspent(&self) -> u64 {
        self.level.tokens.saturating_sub(self.rows.pool.spent + self.rows.pool.written_off)
    }

    /// From 0 for a spent budget to 1 for one that is not scarce.
    fn abundance(&self) -> f64 {
        (self.unspent() as f64 / (self.level.tokens as f64 * SCARCE_BELOW_RATIO).max(1.0)).min(1.0)
    }

    /// This gateway's share of the use of all owners so far. It predicts future use, since the requests of a
    /// team keep arriving at the same gateways.
    fn use_share(&self, team: &str, owners: u64) -> f64 {
        let own = self.rows.account.lines.get(team).map_or(0, |line| line.spent) + self.earlier_use;
        let prior = (self.level.tokens as f64 * PRIOR_USE_RATIO).max(1.0);
        let all = (self.rows.pool.spent.max(own)) as f64 + prior * owners as f64;
        (own as f64 + prior) / all
    }

    /// Opens the next batch if one is due, or returns the one that is already open.
    pub(crate) fn next_batch(&mut self, team: &str, now: u64, closing: bool, owners: u64) -> Option<Batch> {
        if let Some(batch) = &self.open_batch {
            return Some(batch.clone());
        }
        let elapsed = self.last_tick.elapsed();
        if elapsed >= SETTLE_INTERVAL / 2 {
            self.update_averages(elapsed.as_millis() as u64);
        }
        let policy = HoldingPolicy { cover_s: DEMAND_COVER_S, min_tokens: 0, expose_s: DEMAND_COVER_S };
        let target = match self.target_tokens(now, team, &policy, owners) {
            _ if closing || self.is_level_lowered => 0,
            target => match self.recalled_tokens {
                Some(missing) => target.min(self.kept_after_recall(missing)),
                None => target,
            },
        };
        // Tokens that waiting requests are about to reserve are not excess.
        let target = target.max(self.waiting_tokens.min(self.grant.available()));
        let need = self.waiting_tokens.saturating_sub(self.grant.usable());
        let is_off = is_off_target(self.grant.available(), target, Some(self.latest_settlement.pool_free));
        let level_is_new = self.rows.pool.level.is_none_or(|known| known.version < self.level.version)
            && self.rows.pool.level.is_none_or(|known| known.tokens != self.level.tokens);
        let is_overdue = closing || now.saturating_sub(self.latest_settlement.began_ms) >= self.record_ms;
        let is_due = need > 0 || is_off || level_is_new || (is_overdue && self.grant.has_unsettled_changes());
        if !std::mem::take(&mut self.is_refresh_due) && !is_due {
            return None;
        }
        self.is_level_lowered = false;
        self.recalled_tokens = None;
        let spare = target.max(self.grant.available());
        let entry = self.grant.open_entry(target, need, spare, vec![], MAX_BATCH_CHARGES)?;
        let sequence = self.rows.account.sequence + 1;
        let batch =
            Batch { sequence, entries: BTreeMap::from([(team.to_owned(), entry)]), ..Batch::default() };
        self.open_batch = Some(batch.clone());
        Some(batch)
    }

    /// Closes the open batch, which the account row now contains.
    pub(crate) fn close_batch(&mut self, team: &str) {
        self.open_batch = None;
        let line = self.rows.account.lines.get(team).copied().unwrap_or_default();
        self.grant.close_entry(&line);
    }

    /// Starts a new account after another gateway closed the current one. What that one exposed does not
    /// return to the pool.
    pub(crate) fn reset_account(&mut self) {
        self.generation += 1;
        self.notes = UsageNotes::default();
        self.grant = Grant::default();
        self.max_used = 0;
        self.open_batch = None;
        self.rows.account = Account::default();
        self.rows.account_version = 0;
    }
}
