//! Settlement with the platform: one transaction for many budgets, repeated until its outcome is known.
//!
//! Each batch has a sequence number, which is stored in this router's account row. All attempts are
//! conditional on that row, so at most one takes effect even if answers are lost. Reading the row back shows
//! whether one did.

use crate::clock::Clock;
use crate::node::Node;
use crate::ports::Ports;
use crate::settings::millis;
use budget::ledger::{Account, Batch, ChargeIdentity, Error as PostError, Pool, post};
use net::exec;
use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use store::{Error, Fault, Row, Table, Tx, TxOutcome};

/// The maximum number of settlements per second of all routers together.
const FLEET_SETTLEMENTS_PER_S: u64 = 280;
/// The first and the longest bound of the random pause after a failed attempt, in milliseconds.
const BACKOFF_MS: (u64, u64) = (20, 1_000);

/// The row that makes a charge of a keyed request unique (I2).
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ChargeRow {
    /// The id of the request that was charged.
    pub request: String,
    /// The tokens charged.
    pub tokens: u64,
}

/// The key of a pool row.
pub(crate) fn pool_key(budget: &str) -> String {
    format!("pool/{budget}")
}

/// The key of an account row.
pub(crate) fn account_key(holder: &str) -> String {
    format!("account/{holder}")
}

/// The key of a row for an idempotency key, which is hashed.
pub(crate) fn identity_key(table: &str, budget: &str, key: &str) -> String {
    format!("{table}/{budget}/{}", hex::encode(Sha256::digest(key.as_bytes())))
}

/// The outcome of an attempt.
enum Attempt {
    /// The batch has taken effect. The pools are those read or written by the last attempt.
    Posted(Account, BTreeMap<String, Pool>),
    /// Another writer changed a row in the meantime.
    Conflict,
    /// A call to the platform failed. The next attempt finds out whether the write took effect.
    Failed(Error),
}

/// Settles at regular intervals, or when requested, until the router has stopped.
pub(crate) async fn run<W: Ports>(node: Arc<Node<W>>, requested: async_channel::Receiver<()>) {
    let mut last = node.clock.now();
    while !node.is_stopped() {
        let fleet_size = node.fleet_size();
        let period = Duration::from_millis(
            node.settings.limits.sync_ms.max(fleet_size * 1_000 / FLEET_SETTLEMENTS_PER_S),
        );
        let spacing = Duration::from_millis(fleet_size * 500 / FLEET_SETTLEMENTS_PER_S);
        if !node.grants.needs_settlement(node.clock.now()) {
            let request = async {
                let _ = requested.recv().await;
            };
            smol::future::or(request, exec::sleep(period)).await;
        }
        let now = node.clock.now();
        settle(&node, now, now - last, false).await;
        last = now;
        exec::sleep(spacing).await;
    }
}

/// Settles one batch of the budgets that need it. Returns `false` if none does.
pub(crate) async fn settle<W: Ports>(node: &Node<W>, now: u64, elapsed_ms: u64, close: bool) -> bool {
    let _settling = node.settlement_lock.lock().await;
    // No tokens may be drawn after the last settlement.
    if node.is_stopped() && !close {
        return false;
    }
    let bundle = node.bundle();
    let entries = node.grants.open_entries(&bundle.content, now, elapsed_ms, close);
    if entries.is_empty() {
        return false;
    }
    let sequence = node.next_batch();
    let batch = Batch { sequence, entries, keeper: node.account_keeping.choose_keeper(node) };
    node.grants.restore_exposure_limits();
    let mut pause = BACKOFF_MS.0;
    loop {
        match attempt(node, &batch).await {
            Attempt::Posted(account, pools) => {
                for budget in batch.entries.keys() {
                    let line = account.lines.get(budget).copied().unwrap_or_default();
                    node.grants.close_entry(budget, &line, pools.get(budget), node.clock.now());
                }
                node.set_platform_up(true);
                node.account_keeping.record_settlement(node, &batch.keeper, account.closed).await;
                return true;
            }
            Attempt::Conflict => node.count_platform_call("settle", "conflict"),
            Attempt::Failed(error) => {
                node.set_platform_up(false);
                node.count_platform_call("settle", "failed");
                log::warn!("settle: batch {sequence} failed and is retried: {error}");
                pause = (pause * 2).min(BACKOFF_MS.1);
            }
        }
        let jitter = rand::thread_rng().gen_range(0..pause);
        exec::sleep(millis(1 + jitter)).await;
    }
}

async fn attempt<W: Ports>(node: &Node<W>, batch: &Batch) -> Attempt {
    let account_key = account_key(&node.holder);
    let identities: Vec<(&str, &str)> = batch
        .entries
        .iter()
        .flat_map(|(budget, entry)| {
            let keys = entry.charges.iter().filter_map(|charge| charge.key.as_deref());
            keys.map(move |key| (budget.as_str(), key))
        })
        .collect();
    let mut keys = vec![account_key.clone()];
    keys.extend(batch.entries.keys().map(|budget| pool_key(budget)));
    keys.extend(identities.iter().map(|(budget, key)| identity_key("charge", budget, key)));

    let rows = match node.platform.read(&keys).await {
        Ok(rows) => rows,
        Err(error) => return Attempt::Failed(error),
    };
    let current: BTreeMap<&str, &Row> =
        keys.iter().zip(&rows).filter_map(|(key, row)| row.as_ref().map(|row| (key.as_str(), row))).collect();
    let mut account: Account = match decode(&current, &account_key) {
        Ok(account) => account,
        Err(error) => return Attempt::Failed(error),
    };
    let mut pools = BTreeMap::new();
    for budget in batch.entries.keys() {
        match decode::<Pool>(&current, &pool_key(budget)) {
            Ok(pool) => pools.insert(budget.clone(), pool),
            Err(error) => return Attempt::Failed(error),
        };
    }
    let charged = |identity: &ChargeIdentity<'_>| {
        let key = identity_key("charge", identity.budget, identity.key);
        let row = current.get(key.as_str()).and_then(|row| row.decode::<ChargeRow>().ok());
        row.is_some_and(|row| row.request != identity.request)
    };
    match post(&mut account, &mut pools, &charged, batch, node.fleet_size()) {
        Ok(()) => {}
        // An earlier attempt took effect, but its answer was lost.
        Err(PostError::AlreadyPosted(_)) => return Attempt::Posted(account, pools),
        Err(error) => return Attempt::Failed(settle_error(error.to_string())),
    }

    let mut tx = Tx::default();
    tx = tx
        .require_unchanged(&account_key, current.get(account_key.as_str()).copied())
        .put(&account_key, &account);
    for (budget, pool) in &pools {
        let key = pool_key(budget);
        tx = tx.require_unchanged(&key, current.get(key.as_str()).copied()).put(&key, pool);
    }
    for (budget, entry) in &batch.entries {
        for charge in &entry.charges {
            let Some(text) = &charge.key else { continue };
            let key = identity_key("charge", budget, text);
            let row = ChargeRow { request: charge.request.clone(), tokens: charge.tokens };
            tx = match current.get(key.as_str()) {
                Some(_) => tx.require_unchanged(&key, current.get(key.as_str()).copied()),
                None => tx.require_absent(&key).put(&key, &row),
            };
        }
    }
    match node.platform.commit(&tx).await {
        Ok(TxOutcome::Applied) => {
            node.count_platform_call("settle", "applied");
            Attempt::Posted(account, pools)
        }
        Ok(TxOutcome::Conflict) => Attempt::Conflict,
        Err(error) => Attempt::Failed(error),
    }
}

fn decode<T: Default + serde::de::DeserializeOwned>(
    current: &BTreeMap<&str, &Row>,
    key: &str,
) -> Result<T, Error> {
    match current.get(key) {
        None => Ok(T::default()),
        Some(row) => {
            row.decode().map_err(|error| settle_error(format!("row {key} can't be decoded: {error}")))
        }
    }
}

fn settle_error(reason: String) -> Error {
    Error { step: "settle", peer: "table".to_owned(), fault: Fault::NotApplied, reason }
}
