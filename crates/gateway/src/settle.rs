//! Settling a budget with the store.
//!
//! A settlement writes the pool row and this router's account row under the condition that they are as last
//! seen, so a write whose answer was lost is recognised by the account's sequence, however late it took effect.

use crate::holding::{Latest, Rowed};
use crate::purse::Purse;
use crate::table::{ACCOUNT, BUDGETS, POOL, RECALLS, Recall, decode_or_absent, encode};
use budget::ledger::{self, Batch};
use net::exec;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::rows::{Change, Commit, Key, Record, Rows};
use store::{Error, Fault};

/// The pause between settlements while nothing is urgent.
pub(crate) const SETTLE: Duration = Duration::from_millis(1_000);
/// The pause after a settlement failed, in milliseconds. It doubles with each failure in a row.
const SETTLE_AGAIN_MS: u64 = 250;
/// The longest such pause in a small fleet, in milliseconds: a store that is back should be noticed soon.
const SETTLE_AGAIN_MOST_MS: u64 = 500;
/// The longest such pause for each gateway that settles the budget, in milliseconds: when a whole fleet does, its
/// partition takes about 200 writes a second in turn, and each conflict costs another.
const SETTLE_AGAIN_SHARE_MS: u64 = 50;
/// Attempts at one batch before the settlement counts as failed.
const ATTEMPTS: u32 = 8;
/// The longest pause after the first conflict, in milliseconds: the order of a transaction. It doubles with each.
const BACKOFF_MS: u64 = 4;
/// The longest pause after a conflict in a small fleet, in milliseconds.
const BACKOFF_MOST_MS: u64 = 60;
/// The longest pause after a conflict for each gateway that settles the budget, in milliseconds: about a transaction.
const BACKOFF_SHARE_MS: u64 = 5;

/// Settles a budget whenever something is due.
pub(crate) async fn run<S: Rows>(purse: Arc<Purse>, rows: S, kicked: async_channel::Receiver<()>) {
    let mut failures = 0;
    loop {
        let _ = exec::timeout(SETTLE, kicked.recv()).await;
        let ended = settle(&purse, &rows).await;
        purse.changed.notify(usize::MAX);
        match ended {
            Ended::Failed => {
                exec::sleep(pause(failures, purse.rivals())).await;
                failures += 1;
            }
            Ended::Idle if purse.closed.load(Ordering::Relaxed) && purse.lock().is_empty() => return,
            Ended::Idle => {}
            Ended::Settled => failures = 0,
        }
    }
}

enum Ended {
    Idle,
    Settled,
    Failed,
}

async fn settle<S: Rows>(purse: &Purse, rows: &S) -> Ended {
    let began = purse.now();
    let closing = purse.closed.load(Ordering::Relaxed);
    let rivals = purse.rivals();
    let owners = purse.owners.load(Ordering::Relaxed);
    let (number, batch) = {
        let mut state = purse.lock();
        state.begun += 1;
        (state.begun, state.next_batch(&purse.team, began, closing, owners))
    };
    let Some(mut batch) = batch else { return Ended::Idle };
    for round in 0..ATTEMPTS {
        match attempt(purse, rows, &batch).await {
            Ok(Attempt::Done) => {
                let mut state = purse.lock();
                state.latest = Latest { began, number, settled: true, free: state.rows.pool.free };
                return Ended::Settled;
            }
            Ok(Attempt::Again) => exec::sleep(backoff(round, rivals)).await,
            Ok(Attempt::Closed) => {
                log::warn!("budget: event=account-closed team={} holder={}", purse.team, purse.holder);
                let mut state = purse.lock();
                state.start_over();
                match state.next_batch(&purse.team, began, closing, owners) {
                    Some(next) => batch = next,
                    None => return Ended::Idle,
                }
            }
            Err(error) => {
                log::warn!(
                    "budget: event=settle-failed team={} batch={} {error}",
                    purse.team,
                    batch.sequence
                );
                if error.fault == Fault::Unknown {
                    purse.lock().rows.known = false;
                }
                break;
            }
        }
    }
    let mut state = purse.lock();
    state.latest = Latest { began, number, settled: false, free: state.latest.free };
    Ended::Failed
}

/// The pause after a settlement failed for the `failures + 1`st time in a row: random in its upper half, so that
/// gateways which were refused together do not come back together.
pub(crate) fn pause(failures: u32, rivals: u64) -> Duration {
    let most = SETTLE_AGAIN_MOST_MS.max(rivals * SETTLE_AGAIN_SHARE_MS);
    let longest = SETTLE_AGAIN_MS.saturating_mul(1 << failures.min(8)).min(most);
    Duration::from_millis(rand::Rng::gen_range(&mut rand::thread_rng(), longest / 2..=longest))
}

/// The pause after a conflict: random, so that routers which met do not meet again.
pub(crate) fn backoff(round: u32, rivals: u64) -> Duration {
    let first = BACKOFF_MS.max(rivals * BACKOFF_SHARE_MS / 16);
    let most = (first << round.min(16)).min(BACKOFF_MOST_MS.max(rivals * BACKOFF_SHARE_MS));
    Duration::from_micros(rand::Rng::gen_range(&mut rand::thread_rng(), 0..most * 1_000))
}

enum Attempt {
    Done,
    Again,
    Closed,
}

/// Tries a batch once on the rows as last seen, and learns them anew if they changed.
async fn attempt<S: Rows>(purse: &Purse, rows: &S, batch: &Batch) -> Result<Attempt, Error> {
    let known = purse.lock().rows.known;
    if !known {
        let page = rows.list(BUDGETS, &purse.team).await?;
        purse.learn(&page.records);
    }
    let (mut pool, mut account, versions, level, life) = {
        let state = purse.lock();
        let versions = (state.rows.pool_version, state.rows.account_version);
        (state.rows.pool.clone(), state.rows.account.clone(), versions, state.level, state.life)
    };
    if account.closed {
        return Ok(Attempt::Closed);
    }
    if account.sequence >= batch.sequence {
        purse.lock().close_batch(&purse.team);
        return Ok(Attempt::Done);
    }
    pool.set_level(level);
    let fleet = purse.fleet.load(Ordering::Relaxed);
    let mut pools = BTreeMap::from([(purse.team.clone(), pool)]);
    if let Err(error) = ledger::post(&mut account, &mut pools, &|_| false, batch, fleet) {
        log::error!("budget: event=not-posted team={} batch={} error={error}", purse.team, batch.sequence);
        purse.lock().rows.known = false;
        return Ok(Attempt::Again);
    }
    let pool = pools.remove(&purse.team).unwrap_or_default();
    let pool_key = Key::new(BUDGETS, POOL);
    let account_key = Key::new(BUDGETS, purse.account_name(life));
    let mut change = Change {
        part: purse.team.clone(),
        checks: vec![(pool_key.clone(), versions.0), (account_key.clone(), versions.1)],
        puts: vec![(pool_key, encode(&pool)), (account_key, encode(&account))],
        drops: vec![],
    };
    let missing = batch.entries.get(&purse.team).map_or(0, |entry| entry.need);
    let now = purse.now();
    if missing > 0 && pool.wanted && pool.outstanding > 0 && purse.lock().may_recall(now, purse.rivals()) {
        let recall = Recall { holder: purse.holder.clone(), missing };
        change.puts.push((Key::new(RECALLS, &purse.team), encode(&recall)));
    }
    match rows.commit(&change).await? {
        Commit::Applied(version) => {
            let mut state = purse.lock();
            state.rows =
                Rowed { pool, pool_version: version, account, account_version: version, known: true };
            state.close_batch(&purse.team);
            Ok(Attempt::Done)
        }
        Commit::Conflict(records) => {
            purse.learn(&records);
            Ok(Attempt::Again)
        }
    }
}

impl Purse {
    pub(crate) fn account_name(&self, life: u64) -> String {
        format!("{ACCOUNT}{}.{life}", self.holder)
    }

    /// Takes in rows of this budget as they were read.
    fn learn(&self, records: &[Record]) {
        let mut state = self.lock();
        let account_name = self.account_name(state.life);
        for record in records {
            if record.name == POOL && record.version >= state.rows.pool_version {
                // An unreadable row keeps the old version, so that it is never overwritten.
                let Some(pool) = decode_or_absent(record) else { continue };
                state.rows.pool = pool;
                state.rows.pool_version = record.version;
            } else if record.name == account_name && record.version >= state.rows.account_version {
                let Some(account) = decode_or_absent(record) else { continue };
                state.rows.account = account;
                state.rows.account_version = record.version;
            }
        }
        state.rows.known = true;
    }
}

#[cfg(test)]
#[path = "../tests/unit/settle.rs"]
mod tests;
