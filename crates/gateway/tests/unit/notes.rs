//! Budgets after the death of a gateway process: the use that its notes allow stays outstanding, the rest
//! returns to the pool.

use super::*;
use crate::budget_state::DenialReason;
use crate::support::{PlainTextWire, manifest, node, recover_all};
use crate::table::{BUDGETS, POOL};
use assert_matches::assert_matches;
use budget::ledger::{Account, Pool};
use standin::{RowsFault, TableRows};

const RESERVE_TIMEOUT: Duration = Duration::from_millis(2_000);
const TEAMS: [(&str, u64); 2] = [("desk", 10_000), ("branch", 100_000)];

fn budget(node: &Node<PlainTextWire, TableRows>, team: &str) -> Arc<TeamBudget> {
    let manifest = node.manifest().expect("a manifest is in force");
    node.budget(&manifest, &manifest.teams[team]).expect("the team has a budget")
}

fn pool(rows: &TableRows, team: &str) -> Pool {
    let bytes = rows.get(BUDGETS, team, POOL).expect("the pool row");
    serde_json::from_slice(&bytes).expect("a pool")
}

/// The account of the first process on the VM.
fn account(rows: &TableRows, team: &str) -> Account {
    let is_first = |name: &String| name.contains("vm-1#1");
    let name = rows.names(BUDGETS, team).into_iter().find(is_first).expect("its row");
    serde_json::from_slice(&rows.get(BUDGETS, team, &name).expect("its row")).expect("an account")
}

fn start_gateway(name: &str, incarnation: u64, rows: &TableRows) -> Arc<Node<PlainTextWire, TableRows>> {
    let node = node(name, incarnation, rows);
    assert!(node.apply_manifest(manifest(1, &TEAMS)));
    node.set_store_clock(0);
    node
}

/// Closes the accounts of earlier processes of the VM.
async fn recover(node: &Node<PlainTextWire, TableRows>) {
    let manifest = node.manifest().expect("a manifest");
    recover_all(&mut Recovery::default(), node, &manifest).await.expect("the accounts are closed");
}

async fn write_note(node: &Node<PlainTextWire, TableRows>, version: &mut Option<u64>) -> Result<(), Error> {
    let budgets: Vec<Arc<TeamBudget>> = node.budgets().values().cloned().collect();
    write(node, &budgets, version, &mut WriteLatency::default()).await
}

#[test]
fn a_restarted_gateway_returns_what_its_previous_process_cannot_have_used() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", 1, &rows);
        let desk = budget(&first, "desk").reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("desk's tokens");
        let branch =
            budget(&first, "branch").reserve(20_000, 0, RESERVE_TIMEOUT).await.expect("branch's tokens");
        write_note(&first, &mut Some(0)).await.expect("the note is written");
        // The process dies here: its reservations are neither charged nor released.
        std::mem::forget((desk, branch));

        let second = start_gateway("vm-1", 2, &rows);
        recover(&second).await;
        let (desk, branch) = (pool(&rows, "desk"), pool(&rows, "branch"));
        assert!(desk.free <= 9_000 && desk.free > 7_500, "desk has {} free", desk.free);
        assert!(branch.free <= 80_000 && branch.free > 60_000, "branch has {} free", branch.free);
        assert!(desk.is_balanced() && branch.is_balanced());
    });
}

#[test]
fn exposed_tokens_are_not_returned_if_no_note_was_written() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", 1, &rows);
        let used = budget(&first, "desk").reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens");
        std::mem::forget(used);
        let before = account(&rows, "desk").lines["desk"];
        assert!(before.exposed >= 1_000);
        let second = start_gateway("vm-1", 2, &rows);
        recover(&second).await;
        let closed = account(&rows, "desk");
        assert!(closed.closed);
        let stays = before.held().min(before.exposed);
        assert_eq!(closed.lines["desk"].held(), stays, "all tokens that it may have used stay outstanding");
    });
}

#[test]
fn a_note_whose_response_was_lost_limits_use_along_with_the_previous_one() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", 1, &rows);
        let budget = budget(&gateway, "branch");
        drop(budget.reserve(20_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        let mut version = Some(0);
        write_note(&gateway, &mut version).await.expect("the note is written");
        let noted = budget.lock().note_limit();
        rows.set_fault(RowsFault::LateWrites);
        write_note(&gateway, &mut version).await.expect_err("the response is lost");
        assert_eq!(version, None, "the row's version has to be read again");
        rows.set_fault(RowsFault::Down);
        let limit = budget.lock().note_limit();
        assert!(limit <= noted + 1_000, "an unacknowledged note raised the limit from {noted} to {limit}");
        let denied = budget.reserve(limit + 1, 0, Duration::from_millis(100)).await.err();
        assert_matches!(denied, Some(DenialReason::Away));

        // The next note is written under the condition that the late one has not taken effect.
        rows.set_fault(RowsFault::None);
        write_note(&gateway, &mut version).await.expect("the next note is written");
        assert_eq!(rows.apply_late_writes(), 0, "the late note can't overwrite the newer one");
    });
}

#[test]
fn the_note_limit_grows_during_an_outage_of_the_store() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", 1, &rows);
        let budget = budget(&gateway, "branch");
        drop(budget.reserve(20_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        write_note(&gateway, &mut Some(0)).await.expect("the note is written");
        rows.set_fault(RowsFault::Down);
        let at_once = budget.reserve(8_000, 0, Duration::from_millis(50)).await.err();
        assert_matches!(at_once, Some(DenialReason::Away));
        let before = budget.lock().note_limit();
        let mut waited = 0;
        while budget.lock().note_limit() < before + 8_000 {
            assert!(waited < 200, "the limit never grew");
            waited += 1;
            exec::sleep(Duration::from_millis(50)).await;
        }
        budget.reserve(8_000, 0, Duration::from_millis(50)).await.expect("the limit has grown");
    });
}

#[test]
fn the_time_since_the_restart_does_not_raise_the_limit_of_the_dead_process() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", 1, &rows);
        first.fleet_size.store(1, std::sync::atomic::Ordering::Relaxed);
        std::mem::forget(budget(&first, "branch").reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        exec::sleep(Duration::from_millis(200)).await;
        assert!(budget(&first, "branch").token_counts().available > 40_000, "it holds much of the budget");
        write_note(&first, &mut Some(0)).await.expect("the note is written");
        let second = start_gateway("vm-1", 2, &rows);
        // The store answers the new process late: by then, the note's limit has grown by thousands of tokens.
        exec::sleep(Duration::from_millis(2_800)).await;
        recover(&second).await;
        let exposed = account(&rows, "branch").lines["branch"].held();
        assert!((1_000..4_000).contains(&exposed), "{exposed} tokens stay outstanding");
    });
}

#[test]
fn reservations_count_as_use_before_any_request_has_ended() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", 1, &rows);
        gateway.fleet_size.store(1, std::sync::atomic::Ordering::Relaxed);
        let branch = budget(&gateway, "branch");
        let mut open = vec![];
        for _ in 0..80 {
            open.push(branch.reserve(150, 0, RESERVE_TIMEOUT).await.expect("tokens"));
            exec::sleep(Duration::from_millis(50)).await;
        }
        let (_, schedule) = branch.begin_note(5, 1);
        assert!(schedule.per_s > 1_800, "{schedule:?} for a use of 3,000 tokens per second");
    });
}

/// Guards against notes that allow only what is served while they take longer than requests wait: most requests were
/// refused although their tokens were held, and the next note allowed no more.
#[test]
fn requests_that_are_refused_for_want_of_a_note_count_in_the_next_one() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", 1, &rows);
        gateway.fleet_size.store(1, std::sync::atomic::Ordering::Relaxed);
        let branch = budget(&gateway, "branch");
        drop(branch.reserve(150, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        write_note(&gateway, &mut Some(0)).await.expect("the note is written");
        let mut refused = 0;
        for _ in 0..40 {
            match branch.reserve(150, 0, Duration::from_millis(1)).await {
                Ok(held) => held.charge("r-1", 150),
                Err(denied) => refused += u32::from(denied == DenialReason::Away),
            }
            exec::sleep(Duration::from_millis(49)).await;
        }
        assert!(refused > 20 && branch.can_reserve(150), "{refused} refused, {}", branch.explain(150));
        let (_, schedule) = branch.begin_note(5, 1);
        assert!(schedule.per_s > 1_800, "{schedule:?} for a demand of 3,000 tokens per second");
    });
}

/// Charges requests of 500 tokens that end at once, one every 50 ms, for `duration`; returns the tokens used.
async fn use_steadily(budget: &Arc<TeamBudget>, duration: Duration) -> u64 {
    let began = std::time::Instant::now();
    let mut used = 0;
    while began.elapsed() < duration {
        if let Ok(held) = budget.reserve(500, 0, Duration::from_millis(50)).await {
            held.charge("r-1", 500);
            used += 500;
        }
        exec::sleep(Duration::from_millis(50)).await;
    }
    used
}

/// The same check as in `budget/tests/outages.rs`, with the budget, the notes and the recovery of a gateway.
#[test]
fn a_crash_after_an_outage_strands_little_more_than_was_used() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", 1, &rows);
        first.fleet_size.store(1, std::sync::atomic::Ordering::Relaxed);
        assert!(first.apply_manifest(manifest(2, &[("branch", 1_000_000)])));
        let branch = budget(&first, "branch");
        use_steadily(&branch, Duration::from_secs(3)).await;
        write_note(&first, &mut Some(0)).await.expect("the note is written");
        rows.set_fault(RowsFault::Down);
        let used = use_steadily(&branch, Duration::from_secs(6)).await;

        let rows = rows.snapshot();
        let second = node("vm-1", 2, &rows);
        assert!(second.apply_manifest(manifest(2, &[("branch", 1_000_000)])));
        recover(&second).await;
        let lost = account(&rows, "branch").lines["branch"].held();
        assert!(used > 20_000, "the outage was bridged: {used} tokens");
        assert!(
            lost >= used && lost < used + 100_000,
            "{used} tokens were used, and {lost} stay outstanding"
        );
    });
}

#[test]
fn a_restarted_gateway_opens_the_budgets_that_its_previous_process_used() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", 1, &rows);
        budget(&first, "branch")
            .reserve(20_000, 0, RESERVE_TIMEOUT)
            .await
            .expect("tokens")
            .charge("r-1", 20_000);
        write_note(&first, &mut Some(0)).await.expect("the note is written");
        let second = start_gateway("vm-1", 2, &rows);
        recover(&second).await;
        let opened: Vec<String> = second.budgets().keys().cloned().collect();
        assert_eq!(opened, ["branch"]);
        // The budget draws tokens as soon as it is opened.
        let opened = budget(&second, "branch");
        for _ in 0..200 {
            if opened.lock().grant.usable() >= 5_000 {
                break;
            }
            exec::sleep(Duration::from_millis(20)).await;
        }
        rows.set_fault(RowsFault::Down);
        budget(&second, "branch").reserve(5_000, 0, RESERVE_TIMEOUT).await.unwrap_or_else(|denied| {
            panic!("no tokens were drawn before the first request: {denied:?}, {}", opened.explain(5_000))
        });
    });
}

#[test]
fn a_request_waits_until_the_note_limit_has_grown() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let gateway = start_gateway("vm-1", 1, &rows);
        let budget = budget(&gateway, "branch");
        drop(budget.reserve(20_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        write_note(&gateway, &mut Some(0)).await.expect("the note is written");
        rows.set_fault(RowsFault::Down);
        assert_matches!(
            budget.reserve(3_000, 0, Duration::from_millis(10)).await.err(),
            Some(DenialReason::Away)
        );
        budget.reserve(3_000, 0, Duration::from_millis(4_000)).await.expect("the limit grows while it waits");
    });
}

#[test]
fn an_account_is_closed_although_many_gateways_write_the_pool_row() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", 1, &rows);
        std::mem::forget(budget(&first, "branch").reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        write_note(&first, &mut Some(0)).await.expect("the note is written");
        let before = pool(&rows, "branch").outstanding;
        let second = start_gateway("vm-1", 2, &rows);
        rows.set_conflicts(12);
        recover(&second).await;
        assert!(
            account(&rows, "branch").closed,
            "the account is still open, so {before} tokens stay unusable"
        );
    });
}

#[test]
fn a_recovery_resumes_after_the_store_failed() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", 1, &rows);
        for (team, _) in TEAMS {
            std::mem::forget(budget(&first, team).reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens"));
        }
        write_note(&first, &mut Some(0)).await.expect("the note is written");
        let second = start_gateway("vm-1", 2, &rows);
        let manifest = second.manifest().expect("a manifest");
        let mut recovery = Recovery::default();
        rows.set_fault(RowsFault::Down);
        recover_all(&mut recovery, &second, &manifest).await.expect_err("the store is unavailable");
        rows.set_fault(RowsFault::None);
        recovery.closed.insert("branch".to_owned());
        recover_all(&mut recovery, &second, &manifest).await.expect("the rest is closed");
        assert!(account(&rows, "desk").closed);
        assert!(!account(&rows, "branch").closed, "an account that counts as closed is not read again");
    });
}

/// Charges that were not settled stayed outstanding for good: they were never recorded as spent, and callers
/// were told to come back for them.
#[test]
fn charges_that_a_dead_process_noted_are_spent_and_the_rest_is_written_off() {
    net::exec::block_on(async {
        let rows = TableRows::default();
        let first = start_gateway("vm-1", 1, &rows);
        let open = budget(&first, "desk").reserve(7_000, 0, RESERVE_TIMEOUT).await.expect("tokens");
        let ended = budget(&first, "desk").reserve(1_000, 0, RESERVE_TIMEOUT).await.expect("tokens");
        ended.charge("r-1", 600);
        write_note(&first, &mut Some(0)).await.expect("the note is written");
        // The process dies before it settles the charge.
        let unsettled = pool(&rows, "desk").spent;
        std::mem::forget(open);

        let second = start_gateway("vm-1", 2, &rows);
        recover(&second).await;
        let pool = pool(&rows, "desk");
        assert!(unsettled < 600 && pool.spent == 600, "{unsettled}, then {} are spent", pool.spent);
        assert!(pool.written_off >= 7_000, "{} are written off", pool.written_off);
        let closed = account(&rows, "desk").lines["desk"];
        assert_eq!(closed.held(), pool.written_off, "the rest of the account is written off");
        assert!(pool.is_balanced());
        let denied = budget(&second, "desk").reserve(4_000, 0, RESERVE_TIMEOUT).await.err();
        assert_matches!(denied, Some(DenialReason::Spent), "what is written off never returns");
    });
}

/// A charge that was noted but not settled did not count as earlier use. The new process then held the share
/// of a gateway without requests, although it is expected to get those of the dead one.
#[test]
fn charges_that_a_dead_process_noted_count_as_earlier_use() {
    net::exec::block_on(async {
        let live = TableRows::default();
        let first = start_gateway("vm-1", 1, &live);
        let used = budget(&first, "branch").reserve(20_000, 0, RESERVE_TIMEOUT).await.expect("tokens");
        // The process dies before it settles the charge, and after it noted it.
        let rows = live.snapshot();
        used.charge("r-1", 20_000);
        write_note(&first, &mut Some(0)).await.expect("the note is written");
        rows.put(NOTES, "vm-1", NOTE, live.get(NOTES, "vm-1", NOTE).expect("the note"));
        assert_eq!(account(&rows, "branch").lines["branch"].spent, 0);

        let second = start_gateway("vm-1", 2, &rows);
        recover(&second).await;
        assert_eq!(budget(&second, "branch").lock().earlier_use, 20_000);
    });
}
