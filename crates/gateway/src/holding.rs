//! What this router holds of one budget, and the decisions on it: what may be reserved, what the next settlement
//! asks for, what the next note allows.

use crate::settle::SETTLE;
use budget::demand::{Demand, HoldingPolicy, is_off_target};
use budget::exposure::{Schedule, ScheduleInput, UsageNotes};
use budget::grant::{Grant, ReserveOutcome};
use budget::ledger::{Account, Batch, Level, Pool};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

// The shares, multiples and times below were chosen together on the standard days of two deployments, few of them one by
// one: see the table in docs/design/platform.md.

/// Charges settled in one batch.
const CHARGES: usize = 64;
/// Seconds of demand held, so that requests need no call to the store and outages of it are bridged: the longest
/// cuts that the platform was seen to have.
const COVER_S: u64 = 10;
/// A budget counts as nearly spent when less than this part of it is left.
const SCARCE: f64 = 0.08;
/// The part of what is left of a budget that routers hold together at most: what lies in the pool can't be had in a cut.
const SPREAD: f64 = 0.75;
/// From this part of a budget on it counts as plentiful. Below, routers keep less of it idle when others need some, in
/// proportion.
const PLENTY: f64 = 0.5;
/// The part of a budget that each router is taken to have used before it was seen to: so that the first uses do not
/// decide how all of it is shared.
const PRIOR_USE: f64 = 0.005;
/// The part of its idle tokens that a router keeps at most when others need some: below one half, so that it does give
/// some back, and not none, since in a large fleet what all give back is far more than one needs.
const KEPT: f64 = 0.45;
/// The part of a budget that other routers hold idle at most, when none of it is to be had.
const IDLE_ELSEWHERE: f64 = 0.03;
/// How often a router asks the others for idle tokens of one budget at most, in milliseconds: they have none left
/// right after they were asked.
const RECALL_AGAIN_MS: u64 = 1_000;
/// The same for each router that holds the budget: all of them answer a call with a write to the budget's partition.
const RECALL_SHARE_MS: u64 = 25;

/// Why tokens can't be reserved.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Denied {
    /// The budget can't hold the request at its most.
    Spent,
    /// The store does not answer, and the tokens at hand are not enough.
    Away,
    /// Other routers hold what is left; they give it back.
    Elsewhere,
}

/// The rows of a budget as last seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rowed {
    pub pool: Pool,
    pub pool_version: u64,
    pub account: Account,
    pub account_version: u64,
    pub known: bool,
}

/// How the latest settlement ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Latest {
    /// When it began, in the purse's milliseconds.
    pub began: u64,
    /// Its number, from 1.
    pub number: u64,
    pub settled: bool,
    pub free: u64,
}

/// One budget as this router holds it.
#[derive(Debug)]
pub(crate) struct Holding {
    started: Instant,
    pub grant: Grant,
    pub demand: Demand,
    /// How fast the use grows that notes bound, reservations included: it leads what is charged by as long as requests last.
    growth: Demand,
    /// The most that was in use or charged when the growth was last measured.
    grown: u64,
    pub level: Level,
    pub lowered: bool,
    pub waiting: u64,
    /// How long charges may wait for a settlement, in milliseconds.
    record_ms: u64,
    /// How many settlements have begun.
    pub begun: u64,
    /// How many tokens another router asked for, if one did.
    pub recalled: Option<u64>,
    /// Tokens that earlier processes of this VM used, as far as they were settled.
    pub earlier_use: u64,
    /// When a router asked the others last, as far as this one knows, in the purse's milliseconds.
    pub asked: Option<u64>,
    pub rows: Rowed,
    pub batch: Option<Batch>,
    pub latest: Latest,
    ticked: Instant,
    /// Counts the accounts that this process had: another router may close one.
    pub life: u64,
    /// The notes that bind this life.
    pub notes: UsageNotes,
}

impl Holding {
    /// A budget without tokens.
    pub(crate) fn new(level: Level, record_ms: u64) -> Holding {
        let started = Instant::now();
        Holding {
            started,
            grant: Grant::default(),
            demand: Demand::default(),
            growth: Demand::default(),
            grown: 0,
            level,
            lowered: false,
            waiting: 0,
            record_ms,
            begun: 0,
            recalled: None,
            earlier_use: 0,
            asked: None,
            rows: Rowed::default(),
            batch: None,
            latest: Latest::default(),
            ticked: started,
            life: 0,
            notes: UsageNotes::default(),
        }
    }

    /// Whether the other routers should be asked for idle tokens now. If so, records the time of the call.
    pub(crate) fn may_recall(&mut self, now: u64, rivals: u64) -> bool {
        let may = !self.has_recent_recall(now, rivals);
        if may {
            self.asked = Some(now);
        }
        may
    }

    /// Whether the latest known call for idle tokens is too recent for another one.
    pub(crate) fn has_recent_recall(&self, now: u64, rivals: u64) -> bool {
        let again = RECALL_AGAIN_MS.max(rivals * RECALL_SHARE_MS);
        self.asked.is_some_and(|asked| now.saturating_sub(asked) < again)
    }

    /// Whether nothing is held, in use or unsettled.
    pub(crate) fn is_empty(&self) -> bool {
        self.batch.is_none() && self.grant.in_use() == 0 && self.grant.available() == 0
    }

    /// Reserves tokens, if they are at hand and within what was noted.
    pub(crate) fn reserve(&mut self, tokens: u64) -> bool {
        !self.is_noted_short(tokens) && self.grant.reserve(tokens) == ReserveOutcome::Reserved
    }

    /// Whether the notes leave no room for so many tokens.
    pub(crate) fn is_noted_short(&self, tokens: u64) -> bool {
        self.grant.used().saturating_add(tokens) > self.limit()
    }

    /// The most that may be used now.
    pub(crate) fn limit(&self) -> u64 {
        self.notes.limit(self.now())
    }

    /// Milliseconds since the budget was opened, from 1: 0 means never.
    pub(crate) fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// The schedule for the next note, which takes about `note_ms` to be acknowledged, where so many gateways own the budget.
    pub(crate) fn schedule(&self, note_ms: u64, owners: u64) -> Schedule {
        Schedule::plan(&ScheduleInput {
            used: self.grant.used(),
            charged: self.grant.charged(),
            waiting: self.waiting,
            available: self.grant.available(),
            unspent: self.left(),
            owners,
            rate: self.demand.rate().max(self.growth.rate()),
            note_latency_ms: note_ms,
        })
    }

    /// Takes what was used in the last `elapsed_ms` milliseconds into the averages.
    fn tick(&mut self, elapsed_ms: u64) {
        let used = self.grant.used();
        self.growth.record_consumption(used.saturating_sub(self.grown));
        self.grown = self.grown.max(used);
        self.growth.update_rate(elapsed_ms);
        self.demand.update_rate(elapsed_ms);
        self.ticked = Instant::now();
    }

    /// Why tokens can't be had, if the latest settlement showed that.
    pub(crate) fn denied(&self, tokens: u64) -> Option<Denied> {
        let latest = &self.latest;
        if !latest.settled || latest.free + self.grant.available() + self.grant.pending_return() >= tokens {
            return None;
        }
        let idle = (self.level.tokens as f64 * IDLE_ELSEWHERE) as u64;
        let pool = &self.rows.pool;
        let left = self.level.tokens.saturating_sub(pool.spent + self.grant.in_use());
        Some(if left < tokens + idle { Denied::Spent } else { Denied::Elsewhere })
    }

    /// Tokens that should be at hand: this router's share of what is left, so that it serves through a cut or an
    /// outage of the store, but none of a budget that is nearly spent, where every token must be reachable from
    /// everywhere. One that does not own the budget holds only what its own requests used lately: it drew while the
    /// owner did not answer.
    fn target(&self, now: u64, team: &str, terms: &HoldingPolicy, owners: u64) -> u64 {
        let left = self.left() as f64;
        if left < self.level.tokens as f64 * SCARCE {
            return 0;
        }
        let spread = left * SPREAD;
        let share = if owners == 0 { 0.0 } else { self.share(team, owners) };
        let target = self.demand.target(now, terms).min(spread as u64).max((spread * share) as u64);
        match self.rows.pool.wanted {
            // What is free is for those that wait.
            true => self.kept(target).min(self.grant.available()),
            false => target,
        }
    }

    /// What this router keeps of its idle tokens if another is short of so many.
    fn kept_of_idle(&self, missing: u64) -> u64 {
        let idle = self.grant.available();
        self.kept(idle).min(idle.saturating_sub(missing))
    }

    /// What a router keeps of so many tokens if others need some: less, the less is left of the budget.
    fn kept(&self, tokens: u64) -> u64 {
        (tokens as f64 * KEPT * self.plenty()) as u64
    }

    /// What is left of the budget in the pool and at all routers, as far as this one knows.
    fn left(&self) -> u64 {
        self.level.tokens.saturating_sub(self.rows.pool.spent)
    }

    /// How plentiful the budget is, from 0 to 1.
    fn plenty(&self) -> f64 {
        (self.left() as f64 / (self.level.tokens as f64 * PLENTY).max(1.0)).min(1.0)
    }

    /// This router's share of the owners' use so far: requests of a team keep coming to the same routers.
    fn share(&self, team: &str, owners: u64) -> f64 {
        let own = self.rows.account.lines.get(team).map_or(0, |line| line.spent) + self.earlier_use;
        let prior = (self.level.tokens as f64 * PRIOR_USE).max(1.0);
        let all = (self.rows.pool.spent.max(own)) as f64 + prior * owners as f64;
        (own as f64 + prior) / all
    }

    /// Opens the next batch, or takes up the one that is on its way.
    pub(crate) fn next_batch(&mut self, team: &str, now: u64, closing: bool, owners: u64) -> Option<Batch> {
        if let Some(batch) = &self.batch {
            return Some(batch.clone());
        }
        let elapsed = self.ticked.elapsed();
        if elapsed >= SETTLE / 2 {
            self.tick(elapsed.as_millis() as u64);
        }
        let terms = HoldingPolicy { cover_s: COVER_S, min_tokens: 0, expose_s: COVER_S };
        let target = match self.target(now, team, &terms, owners) {
            _ if closing || self.lowered => 0,
            target => match self.recalled {
                Some(missing) => target.min(self.kept_of_idle(missing)),
                None => target,
            },
        };
        // What waiting requests are about to reserve is no excess.
        let target = target.max(self.waiting.min(self.grant.available()));
        let need = self.waiting.saturating_sub(self.grant.usable());
        let off = is_off_target(self.grant.available(), target, Some(self.latest.free));
        let level_is_new = self.rows.pool.level.is_none_or(|known| known.version < self.level.version)
            && self.rows.pool.level.is_none_or(|known| known.tokens != self.level.tokens);
        let is_overdue = closing || now.saturating_sub(self.latest.began) >= self.record_ms;
        let is_due = need > 0 || off || level_is_new || (is_overdue && self.grant.has_unsettled_changes());
        if !is_due {
            return None;
        }
        self.lowered = false;
        self.recalled = None;
        let spare = target.max(self.grant.available());
        let entry = self.grant.open_entry(target, need, spare, vec![], CHARGES)?;
        let sequence = self.rows.account.sequence + 1;
        let batch =
            Batch { sequence, entries: BTreeMap::from([(team.to_owned(), entry)]), ..Batch::default() };
        self.batch = Some(batch.clone());
        Some(batch)
    }

    /// Ends the open batch: the account's row shows it.
    pub(crate) fn close_batch(&mut self, team: &str) {
        self.batch = None;
        let line = self.rows.account.lines.get(team).copied().unwrap_or_default();
        self.grant.close_entry(&line);
    }

    /// Starts an account anew after another router closed this one: what it exposed stays spent.
    pub(crate) fn start_over(&mut self) {
        self.life += 1;
        self.notes = UsageNotes::default();
        self.grant = Grant::default();
        self.grown = 0;
        self.batch = None;
        self.rows.account = Account::default();
        self.rows.account_version = 0;
    }
}
