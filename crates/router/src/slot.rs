//! Slots of upstreams, both this router's own and those that peers lend.
//!
//! A request waits at its own router and, if no slot is free there, also at the owners of its prefix's
//! preferred upstream and at one random peer. It takes the first slot that becomes free and withdraws from
//! the other queues. A lender counts a lent slot as occupied until it is returned, so lost messages can't
//! make an upstream exceed its limit.

use crate::clock::Clock;
use crate::front::AdmittedRequest;
use crate::model_request::ModelRequest;
use crate::node::Node;
use crate::ports::Ports;
use crate::refusal::Refusal;
use crate::schedule::Schedule;
use crate::settings::millis;
use async_channel::Sender;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use net::exec;
use peer::{LinkClient, SlotRequest};
use rand::Rng;
use route::{Choice, Reason, SubmitRequest};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use uuid::Uuid;

/// The size of a request in bytes from which a slot at the prefix's preferred upstream is worth a message to
/// its owners. It is compared with the bound on the prompt's tokens, which is slightly above the length of
/// the body.
const MIN_HOME_REQUEST_BYTES: u64 = 1_024;
/// The pause before peers are asked again after all have declined, in milliseconds.
const PEERS_RETRY_MS: u64 = 250;
/// The number of ended loans that are remembered, so that a delayed request takes no slot.
const MAX_ENDED_LOANS: usize = 10_000;
/// The number of attempts to return a slot until the lender answers, and the pause between them in
/// milliseconds.
const RETURN_ATTEMPTS: u32 = 40;
const RETURN_PAUSE_MS: u64 = 250;

/// An occupied slot.
#[derive(Debug)]
pub(crate) struct Slot {
    /// The upstream that the slot belongs to.
    pub upstream: String,
    loan: Option<BorrowedSlot>,
    failed: AtomicBool,
}

impl Slot {
    /// Records that the run failed at the upstream.
    pub(crate) fn mark_failed(&self) {
        self.failed.store(true, Ordering::Relaxed);
    }
}

/// A slot that was requested from a peer.
#[derive(Clone, Debug)]
struct BorrowedSlot {
    id: String,
    lender: SocketAddr,
}

/// Acquires a slot for a request, from this router or a peer.
pub(crate) async fn acquire<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    model_request: &ModelRequest,
    request: &SubmitRequest<'_>,
) -> Result<(Choice, Slot), Refusal> {
    let home = node.schedule.home_upstream(&admitted.bundle.content, request.model, request.prefix);
    let (home, owners) = home.unwrap_or_default();
    let is_mine = owners.contains(&node.settings.name);
    let owners = addresses(node, &owners);
    if model_request.max_prompt_tokens >= MIN_HOME_REQUEST_BYTES && !is_mine && !request.avoid.contains(&home)
    {
        for lender in &owners {
            if let Some(taken) = request_from_peer(node, *lender, request, Some(&home)).await {
                return Ok(taken);
            }
        }
    }
    let own = async {
        if !owners.is_empty() && !node.schedule.serves(request.model) {
            // With fewer upstreams than routers, some routers own no slots and depend on borrowed ones.
            exec::sleep(millis(request.deadline.saturating_sub(node.clock.now()))).await;
        }
        let choice = node.schedule.wait_for_upstream(request).await?;
        let slot = Slot { upstream: choice.upstream.clone(), loan: None, failed: AtomicBool::new(false) };
        Ok((choice, slot))
    };
    let lent = async {
        loop {
            if let Some(taken) = request_from_peers(node, &owners, request).await {
                return Ok(taken);
            }
            // No peer can serve the request now; it still waits at this router.
            exec::sleep(millis(PEERS_RETRY_MS)).await;
        }
    };
    // `own` is polled first: peers are asked only if the request has to wait here.
    smol::future::or(own, lent).await
}

/// The addresses of the routers in `names` that are considered alive.
fn addresses<W: Ports>(node: &Node<W>, names: &[String]) -> Vec<SocketAddr> {
    let alive = node.alive_peers();
    alive.into_iter().filter(|(name, _)| names.contains(name)).map(|(_, address)| address).collect()
}

async fn request_from_peers<W: Ports>(
    node: &Arc<Node<W>>,
    owners: &[SocketAddr],
    request: &SubmitRequest<'_>,
) -> Option<(Choice, Slot)> {
    let mut lenders = owners.to_vec();
    let alive = node.alive_peers();
    if !alive.is_empty() {
        let random = rand::thread_rng().gen_range(0..alive.len());
        lenders.push(alive[random].1);
    }
    lenders.sort_unstable();
    lenders.dedup();
    let mut requests: FuturesUnordered<_> =
        lenders.into_iter().map(|lender| request_from_peer(node, lender, request, None)).collect();
    while let Some(taken) = requests.next().await {
        if taken.is_some() {
            return taken;
        }
    }
    None
}

async fn request_from_peer<W: Ports>(
    node: &Arc<Node<W>>,
    lender: SocketAddr,
    request: &SubmitRequest<'_>,
    at: Option<&str>,
) -> Option<(Choice, Slot)> {
    let wait_ms = if at.is_some() { 0 } else { request.deadline.saturating_sub(node.clock.now()) };
    let slot_request = SlotRequest {
        id: Uuid::new_v4().to_string(),
        borrower: node.holder.clone(),
        model: request.model.to_owned(),
        prefix: request.prefix,
        avoid: request.avoid.to_vec(),
        team: request.team.to_owned(),
        weight: request.weight,
        priority: request.priority,
        wait_ms,
        at: at.map(ToOwned::to_owned),
    };
    // The guard returns the slot if the call fails or is dropped, since the lender may have lent it.
    let mut guard =
        LoanGuard { node: node.clone(), loan: Some(BorrowedSlot { id: slot_request.id.clone(), lender }) };
    let limit = millis(wait_ms + node.settings.limits.peer_ms);
    let call = |client: LinkClient, context| async move { client.slot(context, slot_request).await };
    let upstream = match node.peers.call_within(limit, "slot", lender, call).await {
        Ok(Some(upstream)) => upstream,
        Ok(None) => {
            guard.loan = None;
            return None;
        }
        Err(error) => {
            log::debug!("peer: {error}");
            return None;
        }
    };
    let choice = Choice { upstream: upstream.clone(), runner_up: None, reason: Reason::Lent, candidates: 1 };
    let slot = Slot { upstream, loan: guard.loan.take(), failed: AtomicBool::new(false) };
    Some((choice, slot))
}

/// Returns a borrowed slot when dropped, unless the slot was handed over.
struct LoanGuard<W: Ports> {
    node: Arc<Node<W>>,
    loan: Option<BorrowedSlot>,
}

impl<W: Ports> Drop for LoanGuard<W> {
    fn drop(&mut self) {
        if let Some(loan) = self.loan.take() {
            return_slot(&self.node, loan, false);
        }
    }
}

/// Releases a slot.
pub(crate) fn release<W: Ports>(node: &Arc<Node<W>>, slot: Slot) {
    match slot.loan {
        None => node.schedule.release(&slot.upstream),
        Some(loan) => return_slot(node, loan, slot.failed.load(Ordering::Relaxed)),
    }
}

/// Returns a slot to its lender, with retries. A lender that can't be reached reclaims the slot itself once
/// it considers this router gone.
fn return_slot<W: Ports>(node: &Arc<Node<W>>, loan: BorrowedSlot, failed: bool) {
    let node = node.clone();
    exec::spawn(async move {
        for _ in 0..RETURN_ATTEMPTS {
            let id = loan.id.clone();
            let call = |client: LinkClient, context| async move { client.free(context, id, failed).await };
            if node.peers.call("free", loan.lender, call).await.is_ok() {
                return;
            }
            exec::sleep(millis(RETURN_PAUSE_MS)).await;
        }
        log::warn!("route: slot {} could not be returned to {}", loan.id, loan.lender);
    })
    .detach();
}

/// The slots that this router has lent.
#[derive(Debug, Default)]
pub(crate) struct SlotLoans {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    loans: HashMap<String, LoanState>,
    ended: VecDeque<String>,
}

#[derive(Debug)]
enum LoanState {
    /// The peer's request waits; closing the channel withdraws it.
    Waiting(Sender<()>),
    /// The slot is lent.
    Held { upstream: String, borrower: String, since: u64 },
    /// The loan has ended; a delayed request takes no slot.
    Ended,
}

impl SlotLoans {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Lends a slot as soon as one is free. Returns its upstream.
    pub(crate) async fn lend<C: Clock>(
        &self,
        schedule: &Schedule<C>,
        now: u64,
        slot_request: SlotRequest,
    ) -> Option<String> {
        let (withdraw, withdrawn) = async_channel::bounded::<()>(1);
        {
            let mut state = self.lock();
            match state.loans.get(&slot_request.id) {
                Some(LoanState::Held { upstream, .. }) => return Some(upstream.clone()),
                Some(_) => return None,
                None => state.loans.insert(slot_request.id.clone(), LoanState::Waiting(withdraw)),
            };
        }
        let request = SubmitRequest {
            model: &slot_request.model,
            prefix: slot_request.prefix,
            avoid: &slot_request.avoid,
            team: &slot_request.team,
            weight: slot_request.weight,
            priority: slot_request.priority,
            deadline: now + slot_request.wait_ms,
        };
        let upstream = match &slot_request.at {
            Some(at) => schedule.try_take_slot(&request, at),
            None => {
                let chosen =
                    async { schedule.wait_for_upstream(&request).await.ok().map(|choice| choice.upstream) };
                let over = async {
                    let _ = withdrawn.recv().await;
                    None
                };
                smol::future::or(chosen, over).await
            }
        };
        self.complete_loan(schedule, now, slot_request, upstream)
    }

    /// Records the result of a peer's request, or releases the slot if the request was withdrawn meanwhile.
    fn complete_loan<C: Clock>(
        &self,
        schedule: &Schedule<C>,
        now: u64,
        slot_request: SlotRequest,
        upstream: Option<String>,
    ) -> Option<String> {
        let mut state = self.lock();
        let waits = matches!(state.loans.get(&slot_request.id), Some(LoanState::Waiting(_)));
        match upstream {
            Some(upstream) if waits => {
                let held = LoanState::Held {
                    upstream: upstream.clone(),
                    borrower: slot_request.borrower,
                    since: now,
                };
                state.loans.insert(slot_request.id, held);
                Some(upstream)
            }
            Some(upstream) => {
                drop(state);
                schedule.release(&upstream);
                None
            }
            None => {
                if waits {
                    state.loans.remove(&slot_request.id);
                }
                None
            }
        }
    }

    /// Takes back a slot, or withdraws a waiting request.
    pub(crate) fn take_back<C: Clock>(&self, schedule: &Schedule<C>, id: &str, failed: bool) {
        let before = {
            let mut state = self.lock();
            let before = state.loans.insert(id.to_owned(), LoanState::Ended);
            if !matches!(before, Some(LoanState::Ended)) {
                state.ended.push_back(id.to_owned());
            }
            if state.ended.len() > MAX_ENDED_LOANS
                && let Some(oldest) = state.ended.pop_front()
            {
                state.loans.remove(&oldest);
            }
            before
        };
        match before {
            Some(LoanState::Held { upstream, .. }) => {
                if failed {
                    schedule.record_failure(&upstream);
                }
                schedule.release(&upstream);
            }
            Some(LoanState::Waiting(withdraw)) => {
                withdraw.close();
            }
            Some(LoanState::Ended) | None => {}
        }
    }

    /// The ids of slots that were lent before `then` and whose borrower is gone.
    pub(crate) fn overdue(&self, then: u64, is_gone: impl Fn(&str) -> bool) -> Vec<String> {
        let state = self.lock();
        let overdue = |loan: &LoanState| match loan {
            LoanState::Held { borrower, since, .. } => *since < then && is_gone(borrower),
            LoanState::Waiting(_) | LoanState::Ended => false,
        };
        state.loans.iter().filter(|(_, loan)| overdue(loan)).map(|(id, _)| id.clone()).collect()
    }
}
