//! Recovering the tokens of routers that are gone.
//!
//! Each router names a keeper in its account row: a peer that may close the account. Closing returns, in one
//! transaction, the tokens that the router can't have used; the exposed ones stay outstanding. This is safe
//! even if the router still runs, since it never uses more than it has exposed (see
//! [`budget::ledger::close_account`]).
//!
//! While the platform is unavailable, a router can't expose more tokens. It asks its keeper to promise never
//! to close the account. With this promise it may use its whole grant.

use crate::clock::Clock;
use crate::node::Node;
use crate::ports::Ports;
use crate::sync::{account_key, pool_key};
use budget::ledger::{self, Account, Pool};
use peer::{LinkClient, MemberState};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use store::{Role, Table, Tx, TxOutcome, Vm};

/// The keepers of this router's account, and the accounts that this router keeps.
#[derive(Debug, Default)]
pub(crate) struct AccountKeeping {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The possible keepers in this router's account row: that of the last batch that took effect, and that
    /// of a batch whose outcome is unknown.
    keepers: BTreeSet<String>,
    /// The keeper that was notified of its task.
    notified_keeper: Option<String>,
    /// The keeper that promised never to close this account. Another one is named as soon as possible.
    promising_keeper: Option<String>,
    /// The holders of the accounts that this router keeps.
    kept_accounts: BTreeSet<String>,
    /// The holders of accounts that this router promised never to close.
    promised: HashSet<String>,
    /// The holders of accounts that this router has closed or tried to close.
    closing: HashSet<String>,
}

impl AccountKeeping {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Chooses the keeper for the next batch: the current one if it is alive, else the first live peer on the
    /// ring. A keeper that promised not to close the account is chosen only if there is no other. The name is
    /// empty if no peer is alive.
    pub(crate) fn choose_keeper<W: Ports>(&self, node: &Node<W>) -> String {
        let now = node.clock.now();
        let alive: Vec<String> = {
            let view = node.view();
            view.heartbeat_targets(usize::MAX)
                .into_iter()
                .filter_map(|name| view.member(name))
                .filter(|member| member.state(now) == MemberState::Alive && member.incarnation > 0)
                .map(|member| format!("{}#{}", member.name, member.incarnation))
                .collect()
        };
        let mut state = self.lock();
        let is_free = |keeper: &&String| state.promising_keeper.as_ref() != Some(*keeper);
        let present = state.keepers.iter().filter(is_free).find(|keeper| alive.contains(keeper)).cloned();
        let other = alive.iter().find(is_free).or(alive.first()).cloned();
        let chosen = present.or(other).unwrap_or_default();
        state.keepers.insert(chosen.clone());
        chosen
    }

    /// Records that a batch took effect, and notifies the keeper unless it has confirmed its task. If the
    /// keeper never learns of it, the account is never closed, which is safe.
    pub(crate) async fn record_settlement<W: Ports>(&self, node: &Node<W>, keeper: &str, closed: bool) {
        if closed {
            log::error!(
                "budget: this router's account was closed by its keeper; no new requests are accepted"
            );
            return node.stop_accepting();
        }
        let is_notified = {
            let mut state = self.lock();
            if state.promising_keeper.as_deref() != Some(keeper) {
                state.promising_keeper = None;
            }
            state.keepers.retain(|known| known == keeper);
            state.notified_keeper.as_deref() == Some(keeper)
        };
        let Some(address) = address_of(node, keeper).filter(|_| !is_notified) else { return };
        let holder = node.holder.clone();
        let call = |client: LinkClient, context| async move { client.keep(context, holder).await };
        match node.peers.call("keep", address, call).await {
            Ok(()) => self.lock().notified_keeper = Some(keeper.to_owned()),
            Err(error) => log::debug!("peer: {error}"),
        }
    }

    /// Asks all possible keepers to promise never to close this router's account. Returns whether all did, and
    /// none was added meanwhile; then `lift` is called before another one is added.
    pub(crate) async fn request_promises<W: Ports>(&self, node: &Node<W>, lift: impl FnOnce()) -> bool {
        let keepers = self.lock().keepers.clone();
        for keeper in keepers.iter().filter(|keeper| !keeper.is_empty()) {
            let Some(address) = address_of(node, keeper) else { return false };
            let holder = node.holder.clone();
            let call = |client: LinkClient, context| async move { client.spare(context, holder).await };
            if !node.peers.call("spare", address, call).await.unwrap_or(false) {
                return false;
            }
            self.lock().promising_keeper = Some(keeper.clone());
        }
        let state = self.lock();
        if !state.keepers.is_subset(&keepers) {
            return false;
        }
        lift();
        drop(state);
        let names: Vec<&str> = keepers.iter().map(String::as_str).collect();
        log::info!("budget: {} promised not to close the account", names.join(", "));
        true
    }

    /// Adds an account to those that this router keeps.
    pub(crate) fn add_account(&self, holder: &str) {
        self.lock().kept_accounts.insert(holder.to_owned());
    }

    /// Promises never to close an account. Returns `false` if it may have been closed already.
    pub(crate) fn promise_not_to_close(&self, holder: &str) -> bool {
        let mut state = self.lock();
        if state.closing.contains(holder) {
            return false;
        }
        state.promised.insert(holder.to_owned());
        true
    }

    /// Returns the kept accounts whose routers are gone. No promise is given for them from now on.
    fn start_closing(&self, is_gone: impl Fn(&str) -> bool) -> Vec<String> {
        let mut state = self.lock();
        let State { kept_accounts, promised, closing, .. } = &mut *state;
        let gone: Vec<String> = kept_accounts
            .iter()
            .filter(|holder| !promised.contains(*holder) && is_gone(holder))
            .cloned()
            .collect();
        closing.extend(gone.iter().cloned());
        gone
    }

    fn remove_account(&self, holder: &str) {
        self.lock().kept_accounts.remove(holder);
    }
}

/// The address of a router for peers, if it still has the same incarnation.
fn address_of<W: Ports>(node: &Node<W>, holder: &str) -> Option<SocketAddr> {
    let (name, incarnation) = holder.split_once('#')?;
    let view = node.view();
    let member = view.member(name)?;
    (member.incarnation.to_string() == incarnation).then_some(member.address)
}

/// Closes the kept accounts of routers that the platform no longer lists and that don't answer, or that have
/// restarted with another incarnation.
pub(crate) async fn close_accounts_of_gone_routers<W: Ports>(node: &Arc<Node<W>>, vms: &[Vm]) {
    let now = node.clock.now();
    let is_listed = |name: &str| vms.iter().any(|vm| vm.role == Role::Router && vm.name == name);
    let is_gone = |holder: &str| {
        let Some((name, incarnation)) = holder.split_once('#') else { return false };
        let view = node.view();
        match view.member(name) {
            Some(member) if member.incarnation.to_string() != incarnation => true,
            Some(member) => member.state(now) == MemberState::Gone && !is_listed(name),
            None => !is_listed(name),
        }
    };
    for holder in node.account_keeping.start_closing(is_gone) {
        match close_account(node, &holder).await {
            Ok(Some(released)) => {
                node.account_keeping.remove_account(&holder);
                for (budget, tokens) in released {
                    log::info!("budget: {holder} is gone; {tokens} tokens of {budget} are returned");
                }
            }
            Ok(None) => node.account_keeping.remove_account(&holder),
            Err(error) => {
                log::warn!("budget: closing the account of {holder} failed and is retried: {error}")
            }
        }
    }
}

/// Closes an account and returns the released tokens by budget. Returns `None` if the account does not exist,
/// is closed already, or has another keeper.
async fn close_account<W: Ports>(
    node: &Node<W>,
    holder: &str,
) -> Result<Option<BTreeMap<String, u64>>, String> {
    let key = account_key(holder);
    let read = node.platform.read(std::slice::from_ref(&key)).await.map_err(|error| error.to_string())?;
    let Some(row) = read.into_iter().next().flatten() else { return Ok(None) };
    let mut account: Account = row.decode().map_err(|error| error.to_string())?;
    if account.closed || account.keeper != node.holder {
        return Ok(None);
    }
    let budgets: Vec<String> = account.lines.keys().cloned().collect();
    let keys: Vec<String> = budgets.iter().map(|budget| pool_key(budget)).collect();
    let rows = node.platform.read(&keys).await.map_err(|error| error.to_string())?;
    let mut pools = BTreeMap::new();
    for (budget, row) in budgets.iter().zip(&rows) {
        let pool = row.as_ref().map(store::Row::decode::<Pool>).transpose();
        pools.insert(budget.clone(), pool.map_err(|error| error.to_string())?.unwrap_or_default());
    }
    let released = ledger::close_account(&mut account, &mut pools).map_err(|error| error.to_string())?;
    let mut tx = Tx::default().require_unchanged(&key, Some(&row)).put(&key, &account);
    for (budget, row) in budgets.iter().zip(&rows) {
        let key = pool_key(budget);
        tx = tx.require_unchanged(&key, row.as_ref()).put(&key, &pools[budget]);
    }
    match node.platform.commit(&tx).await {
        Ok(TxOutcome::Applied) => Ok(Some(released)),
        Ok(TxOutcome::Conflict) => Err("another writer changed a row in the meantime".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}
