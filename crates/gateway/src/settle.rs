//! Settlement of a budget with the store.
//!
//! A settlement writes the pool row and this gateway's account row under the condition that both are as last
//! seen. If the answer to a write is lost, the account's sequence shows later whether it took effect, however
//! late it did.

use crate::budget_state::{BudgetRows, SettlementResult};
use crate::table::{ACCOUNT, BUDGETS, POOL, RECALLS, Recall, decode_or_default, encode};
use crate::team_budget::TeamBudget;
use budget::ledger::{self, Batch};
use net::exec;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::rows::{Change, Commit, Key, Record, Rows};
use store::{Error, Fault};

/// The interval between settlements while nothing is urgent.
pub(crate) const SETTLE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The longest delay after the first failed settlement, in milliseconds. It doubles with each further failure
/// in a row.
const RETRY_DELAY_MS: u64 = 250;
/// The bound on this delay in a small fleet, in milliseconds: gateways should notice soon that the store is
/// available again.
const MAX_RETRY_DELAY_MS: u64 = 500;
/// The bound on this delay for each gateway that settles the budget, in milliseconds. If the whole fleet
/// does, the budget's partition takes about 200 writes per second one after another, and each conflict costs
/// a further write.
const RETRY_DELAY_PER_WRITER_MS: u64 = 50;
/// Attempts at one batch before the settlement counts as failed.
const ATTEMPTS: u32 = 8;
/// The longest backoff after the first conflict, in milliseconds: the order of magnitude of a transaction's
/// duration. It doubles with each further conflict.
const BACKOFF_MS: u64 = 4;
/// The bound on the backoff in a small fleet, in milliseconds.
const MAX_BACKOFF_MS: u64 = 60;
/// The bound on the backoff for each gateway that settles the budget, in milliseconds: about the duration of
/// a transaction.
const BACKOFF_PER_WRITER_MS: u64 = 5;

/// Settles a budget at intervals and on request, until it is retired and empty.
pub(crate) async fn run<S: Rows>(budget: Arc<TeamBudget>, rows: S, requests: async_channel::Receiver<()>) {
    let mut failures = 0;
    loop {
        let _ = exec::timeout(SETTLE_INTERVAL, requests.recv()).await;
        let outcome = settle(&budget, &rows).await;
        budget.changed.notify(usize::MAX);
        match outcome {
            Outcome::Failed => {
                exec::sleep(retry_delay(failures, budget.writers())).await;
                failures += 1;
            }
            Outcome::Idle if budget.retired.load(Ordering::Relaxed) && budget.lock().is_empty() => return,
            Outcome::Idle => {}
            Outcome::Settled => failures = 0,
        }
    }
}

enum Outcome {
    Idle,
    Settled,
    Failed,
}

async fn settle<S: Rows>(budget: &TeamBudget, rows: &S) -> Outcome {
    let began = budget.now();
    let closing = budget.retired.load(Ordering::Relaxed);
    let writers = budget.writers();
    let owners = budget.owners.load(Ordering::Relaxed);
    let (number, batch) = {
        let mut state = budget.lock();
        state.settlements_begun += 1;
        (state.settlements_begun, state.next_batch(&budget.team, began, closing, owners))
    };
    let Some(mut batch) = batch else { return Outcome::Idle };
    for round in 0..ATTEMPTS {
        match attempt(budget, rows, &batch).await {
            Ok(AttemptOutcome::Done) => {
                let mut state = budget.lock();
                state.latest_settlement = SettlementResult {
                    began_ms: began,
                    number,
                    succeeded: true,
                    pool_free: state.rows.pool.free,
                };
                return Outcome::Settled;
            }
            Ok(AttemptOutcome::Retry) => exec::sleep(conflict_backoff(round, writers)).await,
            Ok(AttemptOutcome::Closed) => {
                log::warn!("budget: event=account-closed team={} holder={}", budget.team, budget.holder);
                let mut state = budget.lock();
                state.reset_account();
                match state.next_batch(&budget.team, began, closing, owners) {
                    Some(next) => batch = next,
                    None => return Outcome::Idle,
                }
            }
            Err(error) => {
                log::warn!(
                    "budget: event=settle-failed team={} batch={} {error}",
                    budget.team,
                    batch.sequence
                );
                if error.fault == Fault::Unknown {
                    budget.lock().rows.is_current = false;
                }
                break;
            }
        }
    }
    let mut state = budget.lock();
    state.latest_settlement = SettlementResult {
        began_ms: began,
        number,
        succeeded: false,
        pool_free: state.latest_settlement.pool_free,
    };
    Outcome::Failed
}

/// The delay after `failures + 1` failed settlements in a row. Its upper half is random, so that gateways
/// whose writes were refused at the same time do not retry at the same time.
pub(crate) fn retry_delay(failures: u32, writers: u64) -> Duration {
    let most = MAX_RETRY_DELAY_MS.max(writers * RETRY_DELAY_PER_WRITER_MS);
    let longest = RETRY_DELAY_MS.saturating_mul(1 << failures.min(8)).min(most);
    Duration::from_millis(rand::Rng::gen_range(&mut rand::thread_rng(), longest / 2..=longest))
}

/// The delay after a conflict. It is random, so that the gateways that conflicted do not conflict again.
pub(crate) fn conflict_backoff(round: u32, writers: u64) -> Duration {
    let first = BACKOFF_MS.max(writers * BACKOFF_PER_WRITER_MS / 16);
    let most = (first << round.min(16)).min(MAX_BACKOFF_MS.max(writers * BACKOFF_PER_WRITER_MS));
    Duration::from_micros(rand::Rng::gen_range(&mut rand::thread_rng(), 0..most * 1_000))
}

enum AttemptOutcome {
    Done,
    Retry,
    Closed,
}

/// Tries to commit a batch once, based on the rows as last seen, and updates these if they have changed.
async fn attempt<S: Rows>(budget: &TeamBudget, rows: &S, batch: &Batch) -> Result<AttemptOutcome, Error> {
    let known = budget.lock().rows.is_current;
    if !known {
        let page = rows.list(BUDGETS, &budget.team).await?;
        budget.update_rows(&page.records);
        // A waiting request may now be known not to fit.
        budget.changed.notify(usize::MAX);
    }
    let (mut pool, mut account, versions, level, generation) = {
        let state = budget.lock();
        let versions = (state.rows.pool_version, state.rows.account_version);
        (state.rows.pool.clone(), state.rows.account.clone(), versions, state.level, state.generation)
    };
    if account.closed {
        return Ok(AttemptOutcome::Closed);
    }
    if account.sequence >= batch.sequence {
        budget.lock().close_batch(&budget.team);
        return Ok(AttemptOutcome::Done);
    }
    pool.set_level(level);
    let fleet = budget.fleet_size.load(Ordering::Relaxed);
    let mut pools = BTreeMap::from([(budget.team.clone(), pool)]);
    if let Err(error) = ledger::post(&mut account, &mut pools, &|_| false, batch, fleet) {
        log::error!("budget: event=not-posted team={} batch={} error={error}", budget.team, batch.sequence);
        budget.lock().rows.is_current = false;
        return Ok(AttemptOutcome::Retry);
    }
    let pool = pools.remove(&budget.team).unwrap_or_default();
    let pool_key = Key::new(BUDGETS, POOL);
    let account_key = Key::new(BUDGETS, budget.account_name(generation));
    let mut change = Change {
        part: budget.team.clone(),
        checks: vec![(pool_key.clone(), versions.0), (account_key.clone(), versions.1)],
        puts: vec![(pool_key, encode(&pool)), (account_key, encode(&account))],
        drops: vec![],
    };
    let missing = batch.entries.get(&budget.team).map_or(0, |entry| entry.need);
    let now = budget.now();
    let is_recall_due = missing > 0
        && pool.wanted
        && pool.outstanding > 0
        && !budget.lock().has_recent_recall(now, budget.writers());
    if is_recall_due {
        let recall = Recall { holder: budget.holder.clone(), missing };
        change.puts.push((Key::new(RECALLS, &budget.team), encode(&recall)));
    }
    let result = rows.commit(&change).await;
    if is_recall_due && may_have_taken_effect(&result) {
        budget.lock().record_recall(now);
    }
    match result? {
        Commit::Applied(version) => {
            let mut state = budget.lock();
            state.rows = BudgetRows {
                pool,
                pool_version: version,
                account,
                account_version: version,
                is_current: true,
            };
            state.close_batch(&budget.team);
            Ok(AttemptOutcome::Done)
        }
        Commit::Conflict(records) => {
            budget.update_rows(&records);
            Ok(AttemptOutcome::Retry)
        }
    }
}

fn may_have_taken_effect(result: &Result<Commit, Error>) -> bool {
    match result {
        Ok(Commit::Applied(_)) => true,
        Ok(Commit::Conflict(_)) => false,
        Err(error) => error.fault == Fault::Unknown,
    }
}

impl TeamBudget {
    /// The name of this process's account row in a generation of the account.
    pub(crate) fn account_name(&self, generation: u64) -> String {
        format!("{ACCOUNT}{}.{generation}", self.holder)
    }

    /// Updates the rows of this budget from the store's records, as far as these are not older.
    fn update_rows(&self, records: &[Record]) {
        let mut state = self.lock();
        let account_name = self.account_name(state.generation);
        for record in records {
            if record.name == POOL && record.version >= state.rows.pool_version {
                // An unreadable row keeps its old version, so no write can replace it.
                let Some(pool) = decode_or_default(record) else { continue };
                state.rows.pool = pool;
                state.rows.pool_version = record.version;
            } else if record.name == account_name && record.version >= state.rows.account_version {
                let Some(account) = decode_or_default(record) else { continue };
                state.rows.account = account;
                state.rows.account_version = record.version;
            }
        }
        state.rows.is_current = true;
    }
}

#[cfg(test)]
#[path = "../tests/unit/settle.rs"]
mod tests;
