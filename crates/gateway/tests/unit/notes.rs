//! Budgets across the death of a router: what its notes allow stays spent, the rest comes back.

use super::*;
use crate::holding::Denied;
use crate::support::{Plain, go_on, manifest, node};
use crate::table::{BUDGETS, POOL};
use assert_matches::assert_matches;
use budget::ledger::{Account, Pool};
use standin::{RowsFault, TableRows};

const PATIENCE: Duration = Duration::from_millis(2_000);
const TEAMS: [(&str, u64); 2] = [("desk", 10_000), ("branch", 100_000)];

fn purse(node: &Node<Plain, TableRows>, team: &str) -> Arc<Purse> {
    let manifest = node.manifest().expect("a manifest is in force");
    node.purse(&manifest, &manifest.teams[team]).expect("the team has a budget")
}

fn pool(rows: &TableRows, team: &str) -> Pool {
    let bytes = rows.get(BUDGETS, team, POOL).expect("the pool row");
    serde_json::from_slice(&bytes).expect("a pool")
}

/// The account of the first life of the VM.
fn account(rows: &TableRows, team: &str) -> Account {
    let is_first = |name: &String| name.contains("vm-1#1");
    let name = rows.names(BUDGETS, team).into_iter().find(is_first).expect("its row");
    serde_json::from_slice(&rows.get(BUDGETS, team, &name).expect("its row")).expect("an account")
}

fn started(name: &str, incarnation: u64, rows: &TableRows) -> Arc<Node<Plain, TableRows>> {
    let node = node(name, incarnation, rows);
    assert!(node.put_in_force(manifest(1, &TEAMS)));
    node.set_store_clock(0);
    node
}

/// Closes what earlier processes of the VM left.
async fn recover(node: &Node<Plain, TableRows>) {
    let manifest = node.manifest().expect("a manifest");
    go_on(&mut Recovery::default(), node, &manifest).await.expect("the accounts are closed");
}

async fn note(node: &Node<Plain, TableRows>, version: &mut Option<u64>) -> Result<(), Error> {
    let purses: Vec<Arc<Purse>> = node.purses().values().cloned().collect();
    write(node, &purses, version, &mut Takes::default()).await
}

#[test]
fn a_restarted_router_gives_back_what_its_earlier_process_cannot_have_used() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = started("vm-1", 1, &rows);
        let desk = purse(&first, "desk").reserve(1_000, PATIENCE).await.expect("desk's tokens");
        let branch = purse(&first, "branch").reserve(20_000, PATIENCE).await.expect("branch's tokens");
        note(&first, &mut Some(0)).await.expect("the note is written");
        // The process dies here: nothing that it reserved is charged or given back.
        std::mem::forget((desk, branch));

        let second = started("vm-1", 2, &rows);
        recover(&second).await;
        let (desk, branch) = (pool(&rows, "desk"), pool(&rows, "branch"));
        assert!(desk.free <= 9_000 && desk.free > 7_500, "desk has {} free", desk.free);
        assert!(branch.free <= 80_000 && branch.free > 60_000, "branch has {} free", branch.free);
        assert!(desk.is_balanced() && branch.is_balanced());
    });
}

#[test]
fn a_restarted_router_gives_nothing_back_if_nothing_was_noted() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = started("vm-1", 1, &rows);
        let used = purse(&first, "desk").reserve(1_000, PATIENCE).await.expect("tokens");
        std::mem::forget(used);
        let before = account(&rows, "desk").lines["desk"];
        assert!(before.exposed >= 1_000);
        let second = started("vm-1", 2, &rows);
        recover(&second).await;
        let closed = account(&rows, "desk");
        assert!(closed.closed);
        let stays = before.held().min(before.exposed);
        assert_eq!(closed.lines["desk"].held(), stays, "all that it may have used stays out");
    });
}

#[test]
fn a_note_whose_answer_was_lost_binds_as_well_as_the_one_before() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", 1, &rows);
        let purse = purse(&router, "branch");
        drop(purse.reserve(20_000, PATIENCE).await.expect("tokens"));
        let mut version = Some(0);
        note(&router, &mut version).await.expect("the note is written");
        let noted = purse.lock().limit();
        rows.set_fault(RowsFault::LateWrites);
        note(&router, &mut version).await.expect_err("no answer");
        assert_eq!(version, None, "the row's version has to be read again");
        rows.set_fault(RowsFault::Down);
        let limit = purse.lock().limit();
        assert!(limit <= noted + 1_000, "an unanswered note raises nothing: {noted} to {limit}");
        let denied = purse.reserve(limit + 1, Duration::from_millis(100)).await.err();
        assert_matches!(denied, Some(Denied::Away));

        // The next note is written under the condition that the late one has not landed.
        rows.set_fault(RowsFault::None);
        note(&router, &mut version).await.expect("the next note is written");
        assert_eq!(rows.land(), 0, "the late note can't undo the newer one");
    });
}

#[test]
fn without_notes_the_limit_grows_so_that_an_outage_is_bridged() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", 1, &rows);
        let purse = purse(&router, "branch");
        drop(purse.reserve(20_000, PATIENCE).await.expect("tokens"));
        note(&router, &mut Some(0)).await.expect("the note is written");
        rows.set_fault(RowsFault::Down);
        let at_once = purse.reserve(8_000, Duration::from_millis(50)).await.err();
        assert_matches!(at_once, Some(Denied::Away));
        let before = purse.lock().limit();
        let mut waited = 0;
        while purse.lock().limit() < before + 8_000 {
            assert!(waited < 200, "the limit never grew");
            waited += 1;
            exec::sleep(Duration::from_millis(50)).await;
        }
        purse.reserve(8_000, Duration::from_millis(50)).await.expect("the limit has grown");
    });
}

#[test]
fn the_time_since_the_next_start_gives_a_dead_router_nothing() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = started("vm-1", 1, &rows);
        first.fleet.store(1, std::sync::atomic::Ordering::Relaxed);
        std::mem::forget(purse(&first, "branch").reserve(1_000, PATIENCE).await.expect("tokens"));
        exec::sleep(Duration::from_millis(200)).await;
        assert!(purse(&first, "branch").figures().available > 40_000, "it holds much of the budget");
        note(&first, &mut Some(0)).await.expect("the note is written");
        let second = started("vm-1", 2, &rows);
        // The store answers the new process late: by this time the limit of the note has grown by thousands.
        exec::sleep(Duration::from_millis(2_800)).await;
        recover(&second).await;
        let exposed = account(&rows, "branch").lines["branch"].held();
        assert!((1_000..4_000).contains(&exposed), "{exposed} tokens stay out");
    });
}

#[test]
fn what_requests_reserve_counts_before_any_of_them_ends() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", 1, &rows);
        router.fleet.store(1, std::sync::atomic::Ordering::Relaxed);
        let branch = purse(&router, "branch");
        let mut open = vec![];
        for _ in 0..80 {
            open.push(branch.reserve(150, PATIENCE).await.expect("tokens"));
            exec::sleep(Duration::from_millis(50)).await;
        }
        let (_, schedule) = branch.begin_note(5, 1);
        assert!(schedule.per_s > 1_800, "{schedule:?} of 3,000 tokens a second");
    });
}

/// Uses 500 tokens every 50 ms until the end of `lasts`, as requests do that end at once; returns what was used.
async fn use_steadily(purse: &Arc<Purse>, lasts: Duration) -> u64 {
    let began = std::time::Instant::now();
    let mut used = 0;
    while began.elapsed() < lasts {
        if let Ok(held) = purse.reserve(500, Duration::from_millis(50)).await {
            held.charge("r-1", 500);
            used += 500;
        }
        exec::sleep(Duration::from_millis(50)).await;
    }
    used
}

/// The same as in `budget/tests/outages.rs`, through a gateway's own purse, notes and recovery.
#[test]
fn a_death_after_an_outage_costs_little_more_than_was_used() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = started("vm-1", 1, &rows);
        first.fleet.store(1, std::sync::atomic::Ordering::Relaxed);
        assert!(first.put_in_force(manifest(2, &[("branch", 1_000_000)])));
        let branch = purse(&first, "branch");
        use_steadily(&branch, Duration::from_secs(3)).await;
        note(&first, &mut Some(0)).await.expect("the note is written");
        rows.set_fault(RowsFault::Down);
        let used = use_steadily(&branch, Duration::from_secs(6)).await;

        let rows = rows.snapshot();
        let second = node("vm-1", 2, &rows);
        assert!(second.put_in_force(manifest(2, &[("branch", 1_000_000)])));
        recover(&second).await;
        let lost = account(&rows, "branch").lines["branch"].held();
        assert!(used > 20_000, "the outage was bridged: {used} tokens");
        assert!(lost >= used && lost < used + 100_000, "{used} tokens were used, and {lost} stay out");
    });
}

#[test]
fn a_restarted_router_opens_the_budgets_that_its_earlier_process_used() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = started("vm-1", 1, &rows);
        purse(&first, "branch").reserve(20_000, PATIENCE).await.expect("tokens").charge("r-1", 20_000);
        note(&first, &mut Some(0)).await.expect("the note is written");
        let second = started("vm-1", 2, &rows);
        recover(&second).await;
        let opened: Vec<String> = second.purses().keys().cloned().collect();
        assert_eq!(opened, ["branch"]);
        exec::sleep(Duration::from_millis(300)).await;
        rows.set_fault(RowsFault::Down);
        purse(&second, "branch")
            .reserve(5_000, PATIENCE)
            .await
            .expect("tokens were drawn before they were asked for");
    });
}

#[test]
fn a_request_waits_until_the_limit_of_the_note_has_grown() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let router = started("vm-1", 1, &rows);
        let purse = purse(&router, "branch");
        drop(purse.reserve(20_000, PATIENCE).await.expect("tokens"));
        note(&router, &mut Some(0)).await.expect("the note is written");
        rows.set_fault(RowsFault::Down);
        assert_matches!(purse.reserve(3_000, Duration::from_millis(10)).await.err(), Some(Denied::Away));
        purse.reserve(3_000, Duration::from_millis(4_000)).await.expect("the limit grows while it waits");
    });
}

#[test]
fn an_account_is_closed_although_many_close_theirs_at_the_same_time() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = started("vm-1", 1, &rows);
        std::mem::forget(purse(&first, "branch").reserve(1_000, PATIENCE).await.expect("tokens"));
        note(&first, &mut Some(0)).await.expect("the note is written");
        let before = pool(&rows, "branch").outstanding;
        let second = started("vm-1", 2, &rows);
        rows.set_conflicts(12);
        recover(&second).await;
        assert!(account(&rows, "branch").closed, "{before} tokens stay out of use");
    });
}

#[test]
fn a_recovery_goes_on_where_the_store_refused_it() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = started("vm-1", 1, &rows);
        for (team, _) in TEAMS {
            std::mem::forget(purse(&first, team).reserve(1_000, PATIENCE).await.expect("tokens"));
        }
        note(&first, &mut Some(0)).await.expect("the note is written");
        let second = started("vm-1", 2, &rows);
        let manifest = second.manifest().expect("a manifest");
        let mut recovery = Recovery::default();
        rows.set_fault(RowsFault::Down);
        go_on(&mut recovery, &second, &manifest).await.expect_err("the store is away");
        rows.set_fault(RowsFault::None);
        recovery.closed.insert("branch".to_owned());
        go_on(&mut recovery, &second, &manifest).await.expect("the rest is closed");
        assert!(account(&rows, "desk").closed);
        assert!(!account(&rows, "branch").closed, "what counts as closed is not read again");
    });
}
