//! Settlements with lost or late writes, and with conflicts between gateways.

use super::{AttemptOutcome, attempt, retry_delay};
use crate::budget_state::DenialReason;
use crate::node::Node;
use crate::notes::Recovery;
use crate::support::{PlainTextWire, manifest, node, recover_all};
use crate::table::{BUDGETS, POOL, RECALLS};
use crate::team_budget::TeamBudget;
use crate::watch::responders;
use assert_matches::assert_matches;
use budget::holder::MAX_HOLDERS;
use budget::ledger::Pool;
use standin::{RowsFault, TableRows};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const RESERVE_TIMEOUT: Duration = Duration::from_millis(3_000);

fn start_gateway(
    name: &str,
    rows: &TableRows,
    version: u64,
    tokens: u64,
) -> Arc<Node<PlainTextWire, TableRows>> {
    let node = node(name, 1, rows);
    assert!(node.apply_manifest(manifest(version, &[("desk", tokens)])));
    node.fleet_size.store(2, std::sync::atomic::Ordering::Relaxed);
    net::exec::spawn(crate::watch::follow_recalls(node.clone())).detach();
    node
}

fn budget(node: &Node<PlainTextWire, TableRows>) -> Arc<TeamBudget> {
    let manifest = node.manifest().expect("a manifest is in force");
    node.budget(&manifest, &manifest.teams["desk"]).expect("the team has a budget")
}

fn pool(rows: &TableRows) -> Pool {
    let bytes = rows.get(BUDGETS, "desk", POOL).expect("the pool row");
    serde_json::from_slice(&bytes).expect("a pool")
}

/// Waits until `check` accepts the pool; panics with `what` if that takes too long.
async fn wait_for_pool(rows: &TableRows, what: &str, check: impl Fn(&Pool) -> bool) {
    for _ in 0..200 {
        if rows.get(BUDGETS, "desk", POOL).is_some() && check(&pool(rows)) {
            return;
        }
        net::exec::sleep(Duration::from_millis(25)).await;
    }
    panic!("{what}: {:?}", pool(rows));
}

#[test]
fn use_is_settled_once_although_store_responses_are_lost() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", &rows, 1, 10_000);
        rows.set_fault(RowsFault::LostAnswers);
        let budget = budget(&gateway);
        let first = budget.reserve(4_000, 0, Duration::from_millis(50)).await;
        assert_matches!(first, Err(DenialReason::Away));
        rows.set_fault(RowsFault::None);
        budget.reserve(4_000, 0, RESERVE_TIMEOUT).await.expect("tokens").charge("r-1", 3_000);
        wait_for_pool(&rows, "the charge is settled", |pool| pool.spent == 3_000 && pool.is_balanced()).await;
    });
}

#[test]
fn a_late_write_does_not_grant_tokens_twice() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", &rows, 1, 10_000);
        rows.set_fault(RowsFault::LateWrites);
        let budget = budget(&gateway);
        assert_matches!(budget.reserve(4_000, 0, Duration::from_millis(50)).await, Err(DenialReason::Away));
        rows.set_fault(RowsFault::None);
        let held = budget.reserve(4_000, 0, RESERVE_TIMEOUT).await.expect("tokens");
        rows.apply_late_writes();
        held.charge("r-1", 4_000);
        wait_for_pool(&rows, "the charge is settled", |pool| pool.spent == 4_000).await;
        let pool = pool(&rows);
        assert!(pool.is_balanced() && pool.spent + pool.outstanding <= 10_000, "{pool:?}");
    });
}

#[test]
fn requests_are_denied_only_if_they_exceed_the_budget() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", &rows, 1, 10_000);
        let budget = budget(&gateway);
        assert_matches!(budget.reserve(10_001, 0, RESERVE_TIMEOUT).await, Err(DenialReason::Spent));
        let all = budget.reserve(10_000, 0, RESERVE_TIMEOUT).await.expect("the whole budget fits");
        all.charge("r-1", 10_000);
        assert_matches!(budget.reserve(1, 0, RESERVE_TIMEOUT).await, Err(DenialReason::Spent));
        gateway.apply_manifest(manifest(2, &[("desk", 12_000)]));
        net::exec::sleep(Duration::from_millis(300)).await;
        budget.reserve(2_000, 0, RESERVE_TIMEOUT).await.expect("the raised level covers the request");
    });
}

/// Guards against callers that are told to come back (`budget-away`) while the store is slow, for tokens that no gateway
/// will have: a restarted gateway had read that all tokens are spent, and still waited for its first write.
#[test]
fn requests_are_denied_as_soon_as_the_pool_shows_that_the_budget_is_spent() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", &rows, 1, 10_000);
        let all = budget(&first).reserve(9_900, 0, RESERVE_TIMEOUT).await.expect("tokens");
        all.charge("r-1", 9_900);
        wait_for_pool(&rows, "the charge is settled", |pool| pool.spent == 9_900).await;

        let second = start_gateway("vm-2", &rows, 1, 10_000);
        rows.set_fault(RowsFault::LateWrites);
        let second = budget(&second);
        let denied = second.reserve(125, 0, RESERVE_TIMEOUT).await;
        assert_matches!(denied, Err(DenialReason::Spent), "{}", second.explain(125));
        let fits = second.reserve(100, 0, Duration::from_millis(50)).await;
        assert_matches!(fits, Err(DenialReason::Away), "{}", second.explain(100));
    });
}

#[test]
fn a_gateway_returns_idle_tokens_that_another_one_needs() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (start_gateway("vm-1", &rows, 1, 10_000), start_gateway("vm-2", &rows, 1, 10_000));
        drop(budget(&one).reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        wait_for_pool(&rows, "the first gateway holds its share", |pool| pool.outstanding >= 3_000).await;
        let held = budget(&two).reserve(9_500, 0, RESERVE_TIMEOUT).await;
        assert!(held.is_ok(), "the idle tokens were not returned: {held:?}");
    });
}

#[test]
fn a_lowered_level_returns_idle_tokens_to_the_pool() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", &rows, 1, 10_000);
        let budget = budget(&gateway);
        budget.reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens").charge("r-1", 1_000);
        wait_for_pool(&rows, "a share is held", |pool| pool.spent == 1_000 && pool.outstanding > 0).await;
        gateway.apply_manifest(manifest(2, &[("desk", 1_500)]));
        wait_for_pool(&rows, "no more than the level is spent or outstanding", |pool| {
            pool.spent + pool.outstanding <= 1_500
        })
        .await;
        assert_matches!(
            budget.reserve(1_000, 0, RESERVE_TIMEOUT).await,
            Err(DenialReason::Spent | DenialReason::Elsewhere)
        );
    });
}

#[test]
fn a_stopped_gateway_returns_all_unused_tokens() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", &rows, 1, 10_000);
        let budget = budget(&gateway);
        budget.reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens").charge("r-1", 700);
        budget.close(RESERVE_TIMEOUT).await;
        let pool = pool(&rows);
        assert_eq!((pool.spent, pool.outstanding, pool.free), (700, 0, 9_300));
        let next = start_gateway("vm-1", &rows, 1, 10_000);
        recover_all(&mut Recovery::default(), &next, &next.manifest().expect("a manifest"))
            .await
            .expect("nothing is left to close");
        assert_eq!(self::pool(&rows).free, 9_300);
    });
}

#[test]
fn repeated_settlement_failures_are_retried_less_often_in_a_larger_fleet() {
    let longest =
        |failures, fleet| (0..50).map(|_| retry_delay(failures, fleet).as_millis()).max().unwrap_or(0);
    let shortest =
        |failures, fleet| (0..50).map(|_| retry_delay(failures, fleet).as_millis()).min().unwrap_or(0);
    assert!(
        longest(0, 6) <= 250 && longest(20, 6) <= 500,
        "a small fleet retries soon after the store recovers"
    );
    assert!(longest(20, 87) > 3_000 && longest(20, 87) <= 4_350);
    assert!(shortest(20, 87) >= 2_175, "a large fleet retries neither immediately nor all at the same time");
}

#[test]
fn a_gateway_without_idle_tokens_does_not_respond_to_a_recall() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", &rows, 1, 10_000);
        let budget = budget(&gateway);
        let all = budget.reserve(10_000, 0, RESERVE_TIMEOUT).await;
        let all =
            all.unwrap_or_else(|denied| panic!("{denied:?} {} {:?}", budget.explain(10_000), budget.lock()));
        net::exec::sleep(Duration::from_millis(300)).await;
        let before = rows.commits();
        budget.recall(1_000, budget.writers());
        net::exec::sleep(Duration::from_millis(300)).await;
        assert_eq!(rows.commits(), before, "a gateway without idle tokens has nothing to return");
        all.charge("r-1", 10_000);
    });
}

#[test]
fn tokens_that_a_waiting_request_needs_are_not_returned() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", &rows, 1, 10_000);
        let budget = budget(&gateway);
        net::exec::sleep(Duration::from_millis(200)).await;
        let mut state = budget.lock();
        // A settlement draws all tokens before the request that waits for them is polled again.
        state.waiting_tokens = 10_000;
        let batch = state.next_batch("desk", 1_000, false, 2).expect("a batch that draws the rest");
        assert_eq!(batch.entries["desk"].need, 10_000 - 3_750);
        let mut account = state.rows.account.clone();
        let mut pools = std::collections::BTreeMap::from([("desk".to_owned(), state.rows.pool.clone())]);
        budget::ledger::post(&mut account, &mut pools, &|_| false, &batch, 2)
            .expect("the batch can be posted");
        state.rows.account = account;
        state.rows.pool = pools["desk"].clone();
        state.close_batch("desk");
        let next = state.next_batch("desk", 2_000, false, 2);
        assert!(
            next.is_none_or(|next| next.entries["desk"].returned == 0),
            "the tokens were returned to the pool"
        );
        assert_matches!(state.reserve(10_000), true);
    });
}

/// Guards against missing recalls: a gateway without open budgets does not follow them, and has to start
/// doing so when it opens its first budget.
#[test]
fn a_gateway_follows_recalls_as_soon_as_its_first_budget_is_open() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (start_gateway("vm-1", &rows, 1, 10_000), start_gateway("vm-2", &rows, 1, 10_000));
        net::exec::sleep(Duration::from_millis(100)).await;
        drop(budget(&one).reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        wait_for_pool(&rows, "the first gateway holds its share", |pool| pool.outstanding >= 3_000).await;
        let held = budget(&two).reserve(9_500, 0, Duration::from_millis(600)).await;
        assert!(held.is_ok(), "the recall was not followed: {held:?}");
    });
}

/// Guards against denying a request because of the result of the settlement that opened the budget, which
/// sends no recall.
#[test]
fn a_request_just_after_its_budget_was_opened_waits_for_tokens_of_other_gateways() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (start_gateway("vm-1", &rows, 1, 10_000), start_gateway("vm-2", &rows, 1, 10_000));
        drop(budget(&one).reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        wait_for_pool(&rows, "the first gateway holds its share", |pool| pool.outstanding >= 3_000).await;
        let budget = budget(&two);
        for _ in 0..2_000 {
            if budget.lock().latest_settlement.succeeded {
                break;
            }
            net::exec::sleep(Duration::from_millis(1)).await;
        }
        assert!(budget.lock().latest_settlement.succeeded, "the budget was never opened");
        let held = budget.reserve(9_500, 0, RESERVE_TIMEOUT).await;
        assert!(held.is_ok(), "denied although the other gateway holds idle tokens: {held:?}");
    });
}

/// Long requests would take the last tokens although urgent ones could go on with them.
#[test]
fn the_last_tokens_of_a_budget_are_kept_for_urgent_requests() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let budget = budget(&start_gateway("vm-1", &rows, 1, 10_000));
        budget.reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens").charge("r-1", 1_000);
        budget.reserve(8_600, 1, RESERVE_TIMEOUT).await.expect("tokens").charge("r-2", 8_600);
        assert_matches!(budget.reserve(150, 1, RESERVE_TIMEOUT).await, Err(DenialReason::Spent));
        budget.reserve(350, 0, RESERVE_TIMEOUT).await.expect("the rest is kept for this request");
    });
}

/// A gateway that owns no part of the budget holds the demand of a few seconds. If it kept as much as an owner
/// for urgent requests, it would deny all others although it holds their tokens.
#[test]
fn a_gateway_that_owns_no_part_keeps_few_tokens_for_urgent_requests() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let budget = budget(&start_gateway("vm-1", &rows, 1, 10_000));
        budget.owners.store(0, Ordering::Relaxed);
        budget.fleet_size.store(70, Ordering::Relaxed);
        budget.reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens").charge("r-1", 1_000);
        let writers = budget.writers();
        let mut state = budget.lock();
        state.rows.pool.wanted = true;
        state.latest_settlement.pool_free = 0;
        state.grant = budget::grant::Grant::default();
        state.grant.receive(200);
        assert_eq!(state.withheld_reason(100, 1, writers), None);
        assert_eq!(state.withheld_reason(200, 1, writers), Some(DenialReason::Elsewhere));
    });
}

/// The pool lacked tokens once. Since then the other gateway has returned them, which this one learns only by
/// a settlement.
#[test]
fn tokens_returned_to_the_pool_are_available_to_all_priorities() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (start_gateway("vm-1", &rows, 1, 10_000), start_gateway("vm-2", &rows, 1, 10_000));
        let (one, two) = (budget(&one), budget(&two));
        one.reserve(100, 0, RESERVE_TIMEOUT).await.expect("tokens").charge("r-1", 100);
        let most = two.reserve(9_000, 0, RESERVE_TIMEOUT).await.expect("tokens");
        while !one.lock().rows.pool.wanted {
            assert_matches!(one.reserve(5_000, 0, Duration::from_millis(500)).await, Err(_));
            net::exec::sleep(Duration::from_millis(20)).await;
        }
        drop(most);
        two.close(RESERVE_TIMEOUT).await;
        wait_for_pool(&rows, "the second gateway returns its tokens", |pool| pool.free >= 9_000).await;
        // The result of a settlement is reused for a short time.
        let settled_ms = one.lock().latest_settlement.began_ms;
        while one.now() < settled_ms + crate::team_budget::DENIAL_REUSE_MS {
            net::exec::sleep(Duration::from_millis(20)).await;
        }
        let reserved = one.reserve(2_000, 1, RESERVE_TIMEOUT).await;
        assert!(reserved.is_ok(), "{reserved:?} {:?}", pool(&rows));
    });
}

/// The pool lacks tokens because the other gateway has reserved them. Most of them are going to be released,
/// so the caller may come back.
#[test]
fn a_budget_that_others_have_reserved_is_not_spent() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (start_gateway("vm-1", &rows, 1, 100_000), start_gateway("vm-2", &rows, 1, 100_000));
        let (one, two) = (budget(&one), budget(&two));
        one.reserve(100, 0, RESERVE_TIMEOUT).await.expect("tokens").charge("r-1", 100);
        let _others = two.reserve(90_000, 0, RESERVE_TIMEOUT).await.expect("tokens");
        while !one.lock().rows.pool.wanted {
            assert_matches!(one.reserve(50_000, 0, Duration::from_millis(500)).await, Err(_));
            net::exec::sleep(Duration::from_millis(20)).await;
        }
        let _own = one.reserve(8_600, 0, RESERVE_TIMEOUT).await.expect("tokens");
        assert_matches!(one.reserve(100, 1, RESERVE_TIMEOUT).await, Err(DenialReason::Elsewhere));
    });
}

/// A recall counted as sent although the write with it had conflicted, and was sent again a second later: at the
/// time of the next settlement of the other gateway, with which it conflicted again.
#[test]
fn a_recall_is_sent_although_the_first_write_with_it_conflicts() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (start_gateway("vm-1", &rows, 1, 10_000), start_gateway("vm-2", &rows, 1, 10_000));
        drop(budget(&one).reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        let budget = budget(&two);
        while !budget.lock().latest_settlement.succeeded {
            net::exec::sleep(Duration::from_millis(1)).await;
        }
        let batch = {
            let mut state = budget.lock();
            state.waiting_tokens = 10_000;
            let now = state.now();
            state.next_batch("desk", now, false, 2).expect("a batch that needs tokens")
        };
        assert!(rows.get(RECALLS, "desk", "desk").is_none());
        rows.set_conflicts(1);
        while let Ok(AttemptOutcome::Retry) = attempt(&budget, &rows, &batch).await {}
        assert!(pool(&rows).wanted, "the pool lacks tokens");
        assert!(rows.get(RECALLS, "desk", "desk").is_some(), "no recall was sent");
    });
}

/// A gateway with a heavy caller holds the tokens that a request waits for. If it spread its response as the
/// whole fleet would, the request would be denied before.
#[test]
fn a_holder_in_a_large_fleet_responds_to_a_recall_soon() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", &rows, 1, 10_000);
        gateway.fleet_size.store(71, Ordering::Relaxed);
        let budget = budget(&gateway);
        budget.owners.store(0, Ordering::Relaxed);
        assert_eq!(responders(&gateway, &budget), 71);
        gateway.peer_reservations.permit_holding("desk");
        assert_eq!(responders(&gateway, &budget), MAX_HOLDERS);
    });
}
