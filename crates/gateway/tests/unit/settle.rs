//! Settlements whose answers are lost, come late, or meet another router's.

use super::pause;
use crate::holding::Denied;
use crate::node::Node;
use crate::notes::Recovery;
use crate::purse::Purse;
use crate::support::{Plain, go_on, manifest, node};
use crate::table::{BUDGETS, POOL};
use assert_matches::assert_matches;
use budget::ledger::Pool;
use standin::{RowsFault, TableRows};
use std::sync::Arc;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(3_000);

fn started(name: &str, rows: &TableRows, version: u64, tokens: u64) -> Arc<Node<Plain, TableRows>> {
    let node = node(name, 1, rows);
    assert!(node.put_in_force(manifest(version, &[("desk", tokens)])));
    node.fleet.store(2, std::sync::atomic::Ordering::Relaxed);
    net::exec::spawn(crate::watch::recalls(node.clone())).detach();
    node
}

fn purse(node: &Node<Plain, TableRows>) -> Arc<Purse> {
    let manifest = node.manifest().expect("a manifest is in force");
    node.purse(&manifest, &manifest.teams["desk"]).expect("the team has a budget")
}

fn pool(rows: &TableRows) -> Pool {
    let bytes = rows.get(BUDGETS, "desk", POOL).expect("the pool row");
    serde_json::from_slice(&bytes).expect("a pool")
}

/// Waits until the pool is as it should be.
async fn until(rows: &TableRows, what: &str, check: impl Fn(&Pool) -> bool) {
    for _ in 0..200 {
        if rows.get(BUDGETS, "desk", POOL).is_some() && check(&pool(rows)) {
            return;
        }
        net::exec::sleep(Duration::from_millis(25)).await;
    }
    panic!("{what}: {:?}", pool(rows));
}

#[test]
fn what_was_used_is_spent_once_though_answers_are_lost() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", &rows, 1, 10_000);
        rows.set_fault(RowsFault::LostAnswers);
        let purse = purse(&router);
        let first = purse.reserve(4_000, Duration::from_millis(50)).await;
        assert_matches!(first, Err(Denied::Away));
        rows.set_fault(RowsFault::None);
        purse.reserve(4_000, PATIENCE).await.expect("tokens").charge("r-1", 3_000);
        until(&rows, "the charge is settled", |pool| pool.spent == 3_000 && pool.is_balanced()).await;
    });
}

#[test]
fn a_write_that_lands_late_grants_nothing_twice() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", &rows, 1, 10_000);
        rows.set_fault(RowsFault::LateWrites);
        let purse = purse(&router);
        assert_matches!(purse.reserve(4_000, Duration::from_millis(50)).await, Err(Denied::Away));
        rows.set_fault(RowsFault::None);
        let held = purse.reserve(4_000, PATIENCE).await.expect("tokens");
        rows.land();
        held.charge("r-1", 4_000);
        until(&rows, "the charge is settled", |pool| pool.spent == 4_000).await;
        let pool = pool(&rows);
        assert!(pool.is_balanced() && pool.spent + pool.outstanding <= 10_000, "{pool:?}");
    });
}

#[test]
fn a_request_that_does_not_fit_is_refused_and_one_that_does_is_not() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", &rows, 1, 10_000);
        let purse = purse(&router);
        assert_matches!(purse.reserve(10_001, PATIENCE).await, Err(Denied::Spent));
        let all = purse.reserve(10_000, PATIENCE).await.expect("the whole budget fits");
        all.charge("r-1", 10_000);
        assert_matches!(purse.reserve(1, PATIENCE).await, Err(Denied::Spent));
        router.put_in_force(manifest(2, &[("desk", 12_000)]));
        net::exec::sleep(Duration::from_millis(300)).await;
        purse.reserve(2_000, PATIENCE).await.expect("the top-up");
    });
}

#[test]
fn a_router_gives_its_idle_tokens_back_when_another_needs_them() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (started("vm-1", &rows, 1, 10_000), started("vm-2", &rows, 1, 10_000));
        drop(purse(&one).reserve(1_000, PATIENCE).await.expect("tokens"));
        until(&rows, "the first router holds its share", |pool| pool.outstanding >= 3_000).await;
        let held = purse(&two).reserve(9_500, PATIENCE).await;
        assert!(held.is_ok(), "the idle tokens never came back: {held:?}");
    });
}

#[test]
fn a_lowered_level_takes_idle_tokens_back() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", &rows, 1, 10_000);
        let purse = purse(&router);
        purse.reserve(1_000, PATIENCE).await.expect("tokens").charge("r-1", 1_000);
        until(&rows, "a share is held", |pool| pool.spent == 1_000 && pool.outstanding > 0).await;
        router.put_in_force(manifest(2, &[("desk", 1_500)]));
        until(&rows, "nothing beyond the level is out", |pool| pool.spent + pool.outstanding <= 1_500).await;
        assert_matches!(purse.reserve(1_000, PATIENCE).await, Err(Denied::Spent | Denied::Elsewhere));
    });
}

#[test]
fn a_stopped_router_gives_everything_back() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", &rows, 1, 10_000);
        let purse = purse(&router);
        purse.reserve(1_000, PATIENCE).await.expect("tokens").charge("r-1", 700);
        purse.close(PATIENCE).await;
        let pool = pool(&rows);
        assert_eq!((pool.spent, pool.outstanding, pool.free), (700, 0, 9_300));
        let next = started("vm-1", &rows, 1, 10_000);
        go_on(&mut Recovery::default(), &next, &next.manifest().expect("a manifest"))
            .await
            .expect("nothing is left to close");
        assert_eq!(self::pool(&rows).free, 9_300);
    });
}

#[test]
fn settlements_that_keep_failing_pause_longer_the_larger_the_fleet() {
    let longest = |failures, fleet| (0..50).map(|_| pause(failures, fleet).as_millis()).max().unwrap_or(0);
    let shortest = |failures, fleet| (0..50).map(|_| pause(failures, fleet).as_millis()).min().unwrap_or(0);
    assert!(
        longest(0, 6) <= 250 && longest(20, 6) <= 500,
        "a small fleet notices soon that the store is back"
    );
    assert!(longest(20, 87) > 3_000 && longest(20, 87) <= 4_350);
    assert!(shortest(20, 87) >= 2_175, "they don't all come back at once, nor at once at all");
}

#[test]
fn a_router_without_idle_tokens_answers_no_call_for_them() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", &rows, 1, 10_000);
        let purse = purse(&router);
        let all = purse.reserve(10_000, PATIENCE).await;
        let all =
            all.unwrap_or_else(|denied| panic!("{denied:?} {} {:?}", purse.explain(10_000), purse.lock()));
        net::exec::sleep(Duration::from_millis(300)).await;
        let before = rows.commits();
        purse.recall(1_000);
        net::exec::sleep(Duration::from_millis(300)).await;
        assert_eq!(rows.commits(), before, "it has nothing to give back");
        all.charge("r-1", 10_000);
    });
}

#[test]
fn what_a_waiting_request_is_about_to_reserve_is_not_given_back() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", &rows, 1, 10_000);
        let purse = purse(&router);
        net::exec::sleep(Duration::from_millis(200)).await;
        let mut state = purse.lock();
        // A settlement brought all tokens; the request that waits for them has not run yet.
        state.waiting = 10_000;
        let batch = state.next_batch("desk", 1_000, false, 2).expect("the rest is drawn");
        assert_eq!(batch.entries["desk"].need, 10_000 - 3_750);
        let mut account = state.rows.account.clone();
        let mut pools = std::collections::BTreeMap::from([("desk".to_owned(), state.rows.pool.clone())]);
        budget::ledger::post(&mut account, &mut pools, &|_| false, &batch, 2).expect("it is posted");
        state.rows.account = account;
        state.rows.pool = pools["desk"].clone();
        state.close_batch("desk");
        let next = state.next_batch("desk", 2_000, false, 2);
        assert!(next.is_none_or(|next| next.entries["desk"].returned == 0), "it was given back");
        assert_matches!(state.reserve(10_000), true);
    });
}

/// A gateway that holds no budget does not watch calls for tokens; from its first budget on it has to.
#[test]
fn a_router_hears_a_call_for_tokens_right_after_its_first_budget_was_opened() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (started("vm-1", &rows, 1, 10_000), started("vm-2", &rows, 1, 10_000));
        net::exec::sleep(Duration::from_millis(100)).await;
        drop(purse(&one).reserve(1_000, PATIENCE).await.expect("tokens"));
        until(&rows, "the first router holds its share", |pool| pool.outstanding >= 3_000).await;
        let held = purse(&two).reserve(9_500, Duration::from_millis(600)).await;
        assert!(held.is_ok(), "the call was not heard: {held:?}");
    });
}

/// Guards against refusing a request on the result of the settlement that opened the budget, which sends no call for
/// tokens.
#[test]
fn a_request_just_after_its_budget_was_opened_waits_for_tokens_of_other_routers() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let (one, two) = (started("vm-1", &rows, 1, 10_000), started("vm-2", &rows, 1, 10_000));
        drop(purse(&one).reserve(1_000, PATIENCE).await.expect("tokens"));
        until(&rows, "the first router holds its share", |pool| pool.outstanding >= 3_000).await;
        let purse = purse(&two);
        for _ in 0..2_000 {
            if purse.lock().latest.settled {
                break;
            }
            net::exec::sleep(Duration::from_millis(1)).await;
        }
        assert!(purse.lock().latest.settled, "the budget was never opened");
        let held = purse.reserve(9_500, PATIENCE).await;
        assert!(held.is_ok(), "refused although the other router holds idle tokens: {held:?}");
    });
}
