//! Reserving the tokens for a request: from this router's grant, the pool, or peers (I6).

use crate::clock::Clock;
use crate::grants::{self, Availability};
use crate::node::Node;
use crate::ports::Ports;
use crate::refusal::Refusal;
use crate::settings::millis;
use bundle::Weighing;
use http::StatusCode;
use net::exec;
use peer::{BorrowRequest, LinkClient};
use std::net::SocketAddr;
use std::sync::Arc;
use uuid::Uuid;

/// How long to wait for a settlement or a release before peers are asked, in milliseconds.
const CHANGE_WAIT_MS: u64 = 150;
/// The maximum number of peers that are asked in turn.
const MAX_LENDERS: usize = 8;
/// The number of attempts to learn the result of a loan whose answer was lost.
const LOAN_ATTEMPTS: u32 = 120;
/// The pause between those attempts, in milliseconds.
const LOAN_PAUSE_MS: u64 = 500;
/// The `Retry-After` time while the platform is unavailable, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 5_000;
/// The `Retry-After` time while other requests use the tokens, in milliseconds.
const BUSY_RETRY_MS: u64 = 1_000;

/// Reserves `tokens` of `budget`, and waits for them as long as the bundle's budget wait time allows.
pub(crate) async fn reserve<W: Ports>(node: &Arc<Node<W>>, budget: &str, tokens: u64) -> Result<(), Refusal> {
    let begin = node.clock.now();
    let deadline = begin + node.bundle().content.limits.budget_wait_ms;
    let settled = node.grants.settlements(budget);
    loop {
        let Err(shortage) = node.grants.reserve(budget, tokens, node.clock.now()) else { return Ok(()) };
        node.request_settlement();
        exec::timeout(millis(CHANGE_WAIT_MS), shortage.changed).await;
        let Err(shortage) = node.grants.reserve(budget, tokens, node.clock.now()) else { return Ok(()) };
        let missing = shortage.missing;
        if missing == 0 {
            // The grant has the tokens, but the platform has not yet recorded them as exposed.
            let lift = || node.grants.lift_exposure_limit(budget);
            if node.account_keeping.request_promises(node, lift).await {
                continue;
            }
            if may_exceed_exposure(node, budget) {
                node.grants.lift_exposure_limit(budget);
            } else if node.clock.now() >= deadline {
                return Err(unavailable(node, budget, tokens));
            }
            continue;
        }

        let has_settled = node.grants.settlements(budget) > settled;
        if has_settled && node.grants.availability(budget, tokens) == Availability::Exhausted {
            return Err(exhausted(budget, tokens));
        }
        if borrow(node, budget, missing).await > 0
            && node.grants.reserve(budget, tokens, node.clock.now()).is_ok()
        {
            return Ok(());
        }
        if node.clock.now() >= deadline {
            return Err(unavailable(node, budget, tokens));
        }
    }
}

/// Whether the router may use its whole grant although neither the platform nor its keeper answers. This is
/// allowed for budgets for which refusals are to be avoided first. It relies on the platform's list not
/// dropping a VM that still runs.
fn may_exceed_exposure<W: Ports>(node: &Node<W>, budget: &str) -> bool {
    let allowed =
        !node.is_platform_up() && grants::weighing(&node.bundle().content, budget) == Weighing::Refusals;
    if allowed {
        log::warn!(
            "budget: {budget} is used beyond its exposed amount: neither the platform nor the keeper answers"
        );
    }
    allowed
}

fn exhausted(budget: &str, tokens: u64) -> Refusal {
    let message = format!("budget {budget} has fewer than the {tokens} tokens that this request may need");
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "insufficient_quota", "budget", message)
}

fn unavailable<W: Ports>(node: &Node<W>, budget: &str, tokens: u64) -> Refusal {
    if node.is_platform_up() {
        let message = format!("{tokens} tokens of budget {budget} are in use by other requests");
        return Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "budget_busy", "budget", message)
            .retry_after(BUSY_RETRY_MS);
    }
    let message = format!("{tokens} tokens of budget {budget} are not at hand and the platform is away");
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "budget_unreachable", "budget", message)
        .retry_after(OUTAGE_RETRY_MS)
}

/// Borrows unused tokens from peers. Returns the number received.
async fn borrow<W: Ports>(node: &Arc<Node<W>>, budget: &str, missing: u64) -> u64 {
    let mut got = 0;
    for (name, address) in node.alive_peers().into_iter().take(MAX_LENDERS) {
        if got >= missing {
            break;
        }
        let request = BorrowRequest {
            id: format!("{}/{}", node.holder, Uuid::new_v4()),
            budget: budget.to_owned(),
            tokens: missing - got,
        };
        match request_loan(node, address, &request).await {
            Some(tokens) => {
                if tokens > 0 {
                    receive_loan(node, &name, &request, tokens);
                }
                got += tokens;
            }
            // The lender may have deducted the tokens although its answer was lost: ask again with the same
            // id.
            None => exec::spawn(retry_loan(node.clone(), name, address, request)).detach(),
        }
    }
    got
}

async fn request_loan<W: Ports>(node: &Node<W>, address: SocketAddr, request: &BorrowRequest) -> Option<u64> {
    let request = request.clone();
    let call = |client: LinkClient, context| async move { client.borrow(context, request).await };
    node.peers.call("borrow", address, call).await.ok().map(|reply| reply.tokens)
}

async fn retry_loan<W: Ports>(node: Arc<Node<W>>, name: String, address: SocketAddr, request: BorrowRequest) {
    node.metrics.loans_open.inc();
    let mut answer = None;
    for _ in 0..LOAN_ATTEMPTS {
        exec::sleep(millis(LOAN_PAUSE_MS)).await;
        answer = request_loan(&node, address, &request).await;
        if answer.is_some() {
            break;
        }
    }
    node.metrics.loans_open.dec();
    match answer {
        Some(0) => {}
        Some(tokens) => receive_loan(&node, &name, &request, tokens),
        None => log::warn!(
            "budget: loan {} of {} from {name} got no answer after all attempts",
            request.id,
            request.budget
        ),
    }
}

fn receive_loan<W: Ports>(node: &Node<W>, name: &str, request: &BorrowRequest, tokens: u64) {
    node.grants.receive(&request.budget, tokens);
    node.metrics.borrowed.inc_by(tokens);
    log::info!("budget: borrowed {tokens} tokens of {} from {name} for loan {}", request.budget, request.id);
}
