//! What becomes of the tokens of a router that is gone.
//!
//! Each router names a keeper in its account row: a peer that may close the account. Closing gives back what
//! the router can't have used, in one transaction; what it exposed stays outstanding. That is safe even if the
//! router lives on, since it never uses more than it exposed (see [`budget::ledger::close_account`]).
//!
//! While the platform is away a router can't expose more. It asks its keeper for the promise never to close
//! the account; then it may use all it holds.

use crate::clock::Clock;
use crate::node::Node;
use crate::ports::Ports;
use crate::sync::{account_key, pool_key};
use budget::ledger::{Account, Pool, close_account};
use peer::{LinkClient, State as Life};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use store::{Role, Table, Tx, TxOutcome, Vm};

/// Keepings and promises.
#[derive(Debug, Default)]
pub(crate) struct Keep {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The routers that the platform may name as this one's keeper: the one of the last batch that took
    /// effect, and that of a batch whose outcome is not known yet.
    keepers: BTreeSet<String>,
    /// The keeper that was told of its task.
    told: Option<String>,
    /// The keeper that promised never to close this account: another one is named as soon as possible.
    bound: Option<String>,
    /// The routers whose accounts this one keeps.
    kept: BTreeSet<String>,
    /// Accounts that this one promised never to close.
    spared: HashSet<String>,
    /// Accounts that this one has closed, or tried to.
    closing: HashSet<String>,
}

impl Keep {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the keepings")
    }

    /// The keeper for the next batch: the present one if it is alive, else the first alive on the ring.
    pub(crate) fn choose<W: Ports>(&self, node: &Node<W>) -> String {
        let now = node.clock.now();
        let alive: Vec<String> = {
            let view = node.view();
            view.targets(usize::MAX)
                .into_iter()
                .filter_map(|name| view.member(name))
                .filter(|member| member.state(now) == Life::Alive && member.incarnation > 0)
                .map(|member| format!("{}#{}", member.name, member.incarnation))
                .collect()
        };
        let mut state = self.lock();
        let is_free = |keeper: &&String| state.bound.as_ref() != Some(*keeper);
        let present = state.keepers.iter().filter(is_free).find(|keeper| alive.contains(keeper)).cloned();
        let other = alive.iter().find(is_free).or(alive.first()).cloned();
        let chosen = present.or(other).unwrap_or_default();
        state.keepers.insert(chosen.clone());
        chosen
    }

    /// Notes that a batch took effect, and tells the keeper of its task until it has heard. If it never
    /// hears, the account is never closed, which is safe.
    pub(crate) async fn settled<W: Ports>(&self, node: &Node<W>, keeper: &str, closed: bool) {
        if closed {
            log::error!("budget: this router's account was closed by its keeper; it takes no new work");
            return node.fence();
        }
        let is_told = {
            let mut state = self.lock();
            if state.bound.as_deref() != Some(keeper) {
                state.bound = None;
            }
            state.keepers.retain(|known| known == keeper);
            state.told.as_deref() == Some(keeper)
        };
        let Some(address) = address_of(node, keeper).filter(|_| !is_told) else { return };
        let holder = node.holder.clone();
        let call = |client: LinkClient, context| async move { client.keep(context, holder).await };
        match node.peers.call("keep", address, call).await {
            Ok(()) => self.lock().told = Some(keeper.to_owned()),
            Err(error) => log::debug!("peer: {error}"),
        }
    }

    /// Gets the promise of every possible keeper that this router's account is not closed.
    pub(crate) async fn raise<W: Ports>(&self, node: &Node<W>) -> bool {
        let keepers: Vec<String> = self.lock().keepers.iter().cloned().collect();
        for keeper in keepers.iter().filter(|keeper| !keeper.is_empty()) {
            let Some(address) = address_of(node, keeper) else { return false };
            let holder = node.holder.clone();
            let call = |client: LinkClient, context| async move { client.spare(context, holder).await };
            if !node.peers.call("spare", address, call).await.unwrap_or(false) {
                return false;
            }
            self.lock().bound = Some(keeper.clone());
        }
        log::info!("budget: {} promised not to close the account", keepers.join(", "));
        true
    }

    /// Takes a router's account into keeping.
    pub(crate) fn take_in(&self, holder: &str) {
        self.lock().kept.insert(holder.to_owned());
    }

    /// Promises never to close an account, unless it may be closed already.
    pub(crate) fn spare(&self, holder: &str) -> bool {
        let mut state = self.lock();
        if state.closing.contains(holder) {
            return false;
        }
        state.spared.insert(holder.to_owned());
        true
    }

    /// The kept accounts whose routers are gone; from now on no promise is given for them.
    fn gone(&self, is_gone: impl Fn(&str) -> bool) -> Vec<String> {
        let mut state = self.lock();
        let State { kept, spared, closing, .. } = &mut *state;
        let gone: Vec<String> =
            kept.iter().filter(|holder| !spared.contains(*holder) && is_gone(holder)).cloned().collect();
        closing.extend(gone.iter().cloned());
        gone
    }

    fn forget(&self, holder: &str) {
        self.lock().kept.remove(holder);
    }
}

/// Where a router of this incarnation is reached by its peers.
fn address_of<W: Ports>(node: &Node<W>, holder: &str) -> Option<SocketAddr> {
    let (name, incarnation) = holder.split_once('#')?;
    let view = node.view();
    let member = view.member(name)?;
    (member.incarnation.to_string() == incarnation).then_some(member.address)
}

/// Closes the accounts of kept routers that the platform no longer lists and that don't answer, or that came
/// back as another incarnation.
pub(crate) async fn release_gone<W: Ports>(node: &Arc<Node<W>>, vms: &[Vm]) {
    let now = node.clock.now();
    let is_listed = |name: &str| vms.iter().any(|vm| vm.role == Role::Router && vm.name == name);
    let is_gone = |holder: &str| {
        let Some((name, incarnation)) = holder.split_once('#') else { return false };
        let view = node.view();
        match view.member(name) {
            Some(member) if member.incarnation.to_string() != incarnation => true,
            Some(member) => member.state(now) == Life::Gone && !is_listed(name),
            None => !is_listed(name),
        }
    };
    for holder in node.keep.gone(is_gone) {
        match close(node, &holder).await {
            Ok(Some(released)) => {
                node.keep.forget(&holder);
                for (budget, tokens) in released {
                    log::info!("budget: {holder} is gone, {tokens} tokens of {budget} are given back");
                }
            }
            Ok(None) => node.keep.forget(&holder),
            Err(error) => log::warn!("budget: the account of {holder} can't be closed yet: {error}"),
        }
    }
}

/// Closes one account; `None` if it is closed already or another router keeps it.
async fn close<W: Ports>(node: &Node<W>, holder: &str) -> Result<Option<BTreeMap<String, u64>>, String> {
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
    let released = close_account(&mut account, &mut pools).map_err(|error| error.to_string())?;
    let mut tx = Tx::default().require_unchanged(&key, Some(&row)).put(&key, &account);
    for (budget, row) in budgets.iter().zip(&rows) {
        let key = pool_key(budget);
        tx = tx.require_unchanged(&key, row.as_ref()).put(&key, &pools[budget]);
    }
    match node.platform.commit(&tx).await {
        Ok(TxOutcome::Applied) => Ok(Some(released)),
        Ok(TxOutcome::Conflict) => Err("another write was faster".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}
