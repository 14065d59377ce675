//! Settling with the platform: one transaction for many budgets, repeated until its outcome is known.
//!
//! The batch has a number in this router's account row. Every attempt is conditional on that row, so at most
//! one attempt takes effect, however many answers are lost; reading the row back tells which.

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

/// Settlements a second that all routers together may ask of the platform.
const FLEET_RATE: u64 = 280;
/// The pause after a failed attempt, at first and at most, in milliseconds.
const BACKOFF_MS: (u64, u64) = (20, 1_000);

/// The row that makes a charge of a keyed request unique (I2).
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Charged {
    /// The request that charged.
    pub request: String,
    /// Tokens.
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

/// The key of a row for a request identity; the caller's text is hashed.
pub(crate) fn identity_key(table: &str, budget: &str, key: &str) -> String {
    format!("{table}/{budget}/{}", hex::encode(Sha256::digest(key.as_bytes())))
}

/// How one attempt ended.
enum Attempt {
    /// The batch is in the account; these are the pools after it, where they are known.
    Posted(Account, BTreeMap<String, Pool>),
    /// Another writer was faster.
    Conflict,
    /// The platform failed; whether it wrote is seen by reading back.
    Failed(Error),
}

/// Runs settlements until the node has stopped.
pub(crate) async fn run<W: Ports>(node: Arc<Node<W>>, kicked: async_channel::Receiver<()>) {
    let mut last = node.clock.now();
    while !node.is_closed() {
        let fleet = node.fleet_size();
        let period = Duration::from_millis(node.settings.limits.sync_ms.max(fleet * 1_000 / FLEET_RATE));
        let spacing = Duration::from_millis(fleet * 500 / FLEET_RATE);
        if !node.grants.is_short(node.clock.now()) {
            let kick = async {
                let _ = kicked.recv().await;
            };
            smol::future::or(kick, exec::sleep(period)).await;
        }
        let now = node.clock.now();
        settle(&node, now, now - last, false).await;
        last = now;
        exec::sleep(spacing).await;
    }
}

/// Settles everything that is dirty in one batch; `false` if there was nothing.
pub(crate) async fn settle<W: Ports>(node: &Node<W>, now: u64, elapsed_ms: u64, close: bool) -> bool {
    let _settling = node.settling.lock().await;
    // After the last settlement nothing may be drawn again.
    if node.is_closed() && !close {
        return false;
    }
    let bundle = node.bundle();
    let entries = node.grants.open(&bundle.content, now, elapsed_ms, close);
    if entries.is_empty() {
        return false;
    }
    let sequence = node.next_batch();
    let batch = Batch { sequence, entries, keeper: node.keep.choose(node) };
    let mut pause = BACKOFF_MS.0;
    loop {
        match attempt(node, &batch).await {
            Attempt::Posted(account, pools) => {
                for budget in batch.entries.keys() {
                    let line = account.lines.get(budget).copied().unwrap_or_default();
                    node.grants.close(budget, &line, pools.get(budget), node.clock.now());
                }
                node.set_platform_up(true);
                node.keep.settled(node, &batch.keeper, account.closed).await;
                return true;
            }
            Attempt::Conflict => node.count_platform("settle", "conflict"),
            Attempt::Failed(error) => {
                node.set_platform_up(false);
                node.count_platform("settle", "failed");
                log::warn!("settle: batch {sequence} waits: {error}");
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
    let read: BTreeMap<&str, &Row> =
        keys.iter().zip(&rows).filter_map(|(key, row)| row.as_ref().map(|row| (key.as_str(), row))).collect();
    let mut account: Account = match decode(&read, &account_key) {
        Ok(account) => account,
        Err(error) => return Attempt::Failed(error),
    };
    let mut pools = BTreeMap::new();
    for budget in batch.entries.keys() {
        match decode::<Pool>(&read, &pool_key(budget)) {
            Ok(pool) => pools.insert(budget.clone(), pool),
            Err(error) => return Attempt::Failed(error),
        };
    }
    let charged = |identity: &ChargeIdentity<'_>| {
        let key = identity_key("charge", identity.budget, identity.key);
        let row = read.get(key.as_str()).and_then(|row| row.decode::<Charged>().ok());
        row.is_some_and(|row| row.request != identity.request)
    };
    match post(&mut account, &mut pools, &charged, batch, node.fleet_size()) {
        Ok(()) => {}
        // An earlier attempt took effect and its answer was lost.
        Err(PostError::AlreadyPosted(_)) => return Attempt::Posted(account, pools),
        Err(error) => return Attempt::Failed(refused(error.to_string())),
    }

    let mut tx = Tx::default();
    tx = tx
        .require_unchanged(&account_key, read.get(account_key.as_str()).copied())
        .put(&account_key, &account);
    for (budget, pool) in &pools {
        let key = pool_key(budget);
        tx = tx.require_unchanged(&key, read.get(key.as_str()).copied()).put(&key, pool);
    }
    for (budget, entry) in &batch.entries {
        for charge in &entry.charges {
            let Some(text) = &charge.key else { continue };
            let key = identity_key("charge", budget, text);
            let row = Charged { request: charge.request.clone(), tokens: charge.tokens };
            tx = match read.get(key.as_str()) {
                Some(_) => tx.require_unchanged(&key, read.get(key.as_str()).copied()),
                None => tx.require_absent(&key).put(&key, &row),
            };
        }
    }
    match node.platform.commit(&tx).await {
        Ok(TxOutcome::Applied) => {
            node.count_platform("settle", "applied");
            Attempt::Posted(account, pools)
        }
        Ok(TxOutcome::Conflict) => Attempt::Conflict,
        Err(error) => Attempt::Failed(error),
    }
}

fn decode<T: Default + serde::de::DeserializeOwned>(
    read: &BTreeMap<&str, &Row>,
    key: &str,
) -> Result<T, Error> {
    match read.get(key) {
        None => Ok(T::default()),
        Some(row) => row.decode().map_err(|error| refused(format!("row {key} is not understood: {error}"))),
    }
}

fn refused(reason: String) -> Error {
    Error { step: "settle", peer: "table".to_owned(), fault: Fault::NotApplied, reason }
}
