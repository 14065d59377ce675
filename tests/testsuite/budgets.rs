//! Budgets during failures: they are never overspent, and requests are served as long as a reachable router
//! has tokens.

use crate::support::{answer_summary, budget_summary, consumed, run, start_fleet, stop_all};
use harness::{Answer, ChatRequest, Fleet, Plan, audit};
use standin::Mode;
use std::collections::BTreeMap;

const BUDGET: &str = "storm-desk/main";

/// Sends `count` requests of similar size to the routers in turn, eight at a time.
async fn send_requests(fleet: &Fleet, routers: &[usize], count: usize, tokens: u64) -> Vec<Answer> {
    let mut answers = vec![];
    for batch in (0..count).collect::<Vec<_>>().chunks(8) {
        let tasks: Vec<_> = batch
            .iter()
            .map(|index| {
                let caller = fleet.caller(routers[index % routers.len()]);
                let request = ChatRequest::new("narrator", &format!("Cell {index:04}"), tokens);
                net::exec::spawn(async move { caller.send_chat(&request).await })
            })
            .collect();
        for task in tasks {
            answers.push(task.await);
        }
    }
    answers
}

fn count_served(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.status == 200).count()
}

/// Counts the answers by outcome.
fn count_outcomes(answers: &[Answer]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for answer in answers {
        let key = if answer.status == 200 {
            "served".to_owned()
        } else {
            format!("{} {}", answer.code, answer.execution)
        };
        *counts.entry(key).or_insert(0) += 1;
    }
    counts
}

/// Asserts that the recorded spend is the usage that the callers were told, and that the engines consumed no
/// more than is recorded as spent or outstanding.
fn assert_accounts(fleet: &Fleet, answers: &[Answer]) {
    let reported: u64 = answers.iter().map(|answer| answer.usage).sum();
    let audit = &audit(fleet)[BUDGET];
    assert_eq!(audit.spent, reported, "the recorded spend is the usage that callers were told");
    assert!(audit.balanced && audit.accounts_agree, "I1: {audit:?}");
    assert!(consumed(fleet) <= audit.spent + audit.outstanding, "I6: {audit:?}");
    assert!(audit.spent + audit.outstanding <= audit.credited);
}

#[test]
fn an_exhausted_budget_is_spent_completely_and_not_overspent() {
    run(async {
        let mut plan = Plan::small();
        plan.teams[0].tokens = 2_000;
        let mut fleet = start_fleet(plan).await;
        let answers = send_requests(&fleet, &[0, 1, 2], 120, 20).await;
        stop_all(&mut fleet).await;
        assert_accounts(&fleet, &answers);
        let audit = audit(&fleet)[BUDGET].clone();
        // A request here reserves about 160 tokens at most, and no more than that may be left.
        assert!(audit.free < 200, "tokens are left that requests could have used: {audit:?}");
        assert!(answers.iter().any(|answer| answer.code == "insufficient_quota"));
        assert!(answers.iter().all(|answer| answer.status == 200 || answer.execution == "not-run"));
    });
}

#[test]
fn requests_are_served_from_held_tokens_during_a_platform_outage() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let mut answers = send_requests(&fleet, &[0, 1, 2], 24, 4).await;
        fleet.platform.set_mode(Mode::Down);
        answers.extend(send_requests(&fleet, &[0, 1, 2], 60, 4).await);
        assert_eq!(count_served(&answers), 84, "{:?}", count_outcomes(&answers));
        fleet.platform.set_mode(Mode::Up);
        stop_all(&mut fleet).await;
        assert_accounts(&fleet, &answers);
        insta::assert_snapshot!(budget_summary(&fleet));
    });
}

#[test]
fn a_router_without_tokens_borrows_from_a_peer_during_a_platform_outage() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let mut answers = send_requests(&fleet, &[0], 16, 4).await;
        fleet.platform.set_mode(Mode::Down);
        answers.extend(send_requests(&fleet, &[1, 2], 16, 4).await);
        assert_eq!(count_served(&answers), 32, "{:?}", count_outcomes(&answers));
        let metrics = fleet.get(0, "/metrics").await.expect("metrics");
        assert!(!metrics.contains("tallypaddle_lent_tokens_total 0"), "the first router lent tokens");
        fleet.platform.set_mode(Mode::Up);
        stop_all(&mut fleet).await;
        assert_accounts(&fleet, &answers);
    });
}

#[test]
fn an_unreachable_budget_is_refused_as_not_run_with_a_retry_time() {
    run(async {
        let mut plan = Plan::small();
        plan.routers = 1;
        let fleet = start_fleet(plan).await;
        fleet.platform.set_mode(Mode::Down);
        let answer = fleet.caller(0).chat("narrator", "Cell", 4).await;
        assert_eq!(answer_summary(&answer), "503 budget_unreachable not-run retry-after=5");
        assert_eq!(consumed(&fleet), 0, "the request did not run, as the answer says (I4)");
    });
}

#[test]
fn lost_answers_neither_lose_nor_double_tokens() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let mut answers = vec![];
        for _ in 0..6 {
            fleet.platform.set_mode(Mode::LoseAnswers(3));
            answers.extend(send_requests(&fleet, &[0, 1, 2], 12, 4).await);
        }
        fleet.platform.set_mode(Mode::Up);
        assert_eq!(count_served(&answers), 72, "{:?}", count_outcomes(&answers));
        stop_all(&mut fleet).await;
        assert_accounts(&fleet, &answers);
        insta::assert_snapshot!(budget_summary(&fleet));
    });
}

#[test]
fn a_top_up_during_a_partition_counts_once() {
    run(async {
        let mut plan = Plan::small();
        plan.teams[0].tokens = 3_000;
        let mut fleet = start_fleet(plan).await;
        let mut answers = send_requests(&fleet, &[0, 1, 2], 30, 10).await;
        fleet.cut_platform(2, true);
        fleet.cut_peers(2, true);
        let mut bundle = fleet.bundle.clone();
        let credit = budget::ledger::Credit { id: "prepaid-2".to_owned(), tokens: 4_000 };
        let team = bundle.teams.get_mut("storm-desk").map(std::sync::Arc::make_mut);
        let budget = team.and_then(|team| team.budgets.get_mut("main"));
        budget.expect("the budget").credits.push(credit);
        fleet.roll(&bundle).await.expect("a top-up");
        answers.extend(send_requests(&fleet, &[0, 1, 2], 60, 10).await);
        fleet.cut_platform(2, false);
        fleet.cut_peers(2, false);
        fleet.wait_until_ready().await;
        fleet
            .wait_until("every router has the top-up", || async {
                let status = fleet.status(2).await.unwrap_or_default();
                status["bundle"]["sequence"] == 2
            })
            .await;
        answers.extend(send_requests(&fleet, &[0, 1, 2], 300, 30).await);
        stop_all(&mut fleet).await;
        assert_accounts(&fleet, &answers);
        let audit = &audit(&fleet)[BUDGET];
        assert_eq!(audit.credited, 7_000, "the top-up counts once (I5)");
        assert!(audit.free < 200, "the top-up can be spent: {audit:?}");
    });
}

#[test]
fn tokens_of_a_killed_router_stay_outstanding_and_are_not_spent_again() {
    run(async {
        let mut plan = Plan::small();
        plan.teams[0].tokens = 20_000;
        let mut fleet = start_fleet(plan).await;
        let mut answers = send_requests(&fleet, &[0, 1, 2], 24, 10).await;
        let long_request = ChatRequest::new("narrator", "A long sweep", 2_000).streamed();
        let caller = fleet.caller(0);
        let running = net::exec::spawn(async move { caller.send_chat(&long_request).await });
        fleet.wait_until("the run is open", || async { crate::support::open_runs(&fleet) == 1 }).await;
        fleet.nodes[0].process.kill();
        let broken = running.await;
        assert!(!broken.complete, "the caller gets an incomplete answer");
        answers.extend(send_requests(&fleet, &[1, 2], 400, 30).await);
        for index in 1..3 {
            fleet.nodes[index].process.terminate();
        }
        crate::support::wait_ended(&mut fleet, 1).await;
        crate::support::wait_ended(&mut fleet, 2).await;
        let audit = &audit(&fleet)[BUDGET];
        assert!(audit.balanced && audit.accounts_agree, "I1: {audit:?}");
        assert!(audit.outstanding > 0, "the tokens of the killed router stay outstanding");
        let reported: u64 = answers.iter().map(|answer| answer.usage).sum();
        assert!(audit.spent <= reported, "no more is charged than callers were told");
        assert!(consumed(&fleet) <= audit.credited, "no overspend: {} {audit:?}", consumed(&fleet));
    });
}

#[test]
fn a_router_that_was_paused_and_resumed_does_not_overspend() {
    run(async {
        let mut plan = Plan::small();
        plan.teams[0].tokens = 5_000;
        let mut fleet = start_fleet(plan).await;
        let mut answers = send_requests(&fleet, &[0, 1, 2], 24, 10).await;
        fleet.nodes[0].process.pause();
        answers.extend(send_requests(&fleet, &[1, 2], 200, 20).await);
        fleet.nodes[0].process.resume();
        answers.extend(send_requests(&fleet, &[0, 1, 2], 150, 30).await);
        stop_all(&mut fleet).await;
        assert_accounts(&fleet, &answers);
        let audit = &audit(&fleet)[BUDGET];
        assert!(audit.free < 200, "the tokens of the resumed router were spent too: {audit:?}");
    });
}

#[test]
fn a_retry_after_a_router_was_killed_during_a_platform_outage_is_served() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let mut answers = send_requests(&fleet, &[0, 1, 2], 24, 4).await;
        fleet.platform.set_mode(Mode::Down);
        let request = ChatRequest::new("narrator", "A long sweep", 600).with_key("sweep").streamed();
        let caller = fleet.caller(0);
        let first = net::exec::spawn({
            let request = request.clone();
            async move { caller.send_chat(&request).await }
        });
        fleet.wait_until("the run is open", || async { crate::support::open_runs(&fleet) == 1 }).await;
        fleet.nodes[0].process.kill();
        assert!(!first.await.complete);
        let retried = fleet.caller(1).send_chat(&request).await;
        assert!(retried.is_complete_for(&request), "{retried:?}");
        let joined = fleet.caller(2).send_chat(&request).await;
        assert!(joined.is_complete_for(&request), "{joined:?}");
        fleet.platform.set_mode(Mode::Up);
        for index in 1..3 {
            fleet.nodes[index].process.terminate();
            crate::support::wait_ended(&mut fleet, index).await;
        }
        answers.push(retried);
        let reported: u64 = answers.iter().map(|answer| answer.usage).sum();
        let audit = &audit(&fleet)[BUDGET];
        assert!(audit.balanced && audit.accounts_agree, "I1: {audit:?}");
        assert!(audit.spent <= reported, "the repeated request is charged once (I2): {audit:?}");
        assert!(consumed(&fleet) <= audit.spent + audit.outstanding, "I6: {audit:?}");
    });
}

/// The outstanding tokens of the budget.
fn outstanding(fleet: &Fleet) -> u64 {
    audit(fleet).get(BUDGET).map_or(0, |audit| audit.outstanding)
}

#[test]
fn most_tokens_of_a_killed_router_are_recovered_and_none_is_spent_twice() {
    run(async {
        let mut plan = Plan::small();
        plan.limits.grant_min = 500;
        plan.limits.expose_refusals_s = 5;
        let mut fleet = start_fleet(plan).await;
        let mut answers = send_requests(&fleet, &[0, 1, 2], 240, 20).await;
        fleet.wait_until("grants have grown with demand", || async { outstanding(&fleet) > 30_000 }).await;
        fleet
            .wait_until("the account of vm-1 names a keeper", || async {
                let kept = fleet.platform.rows("account/");
                kept.iter().any(|(key, row)| key.contains("vm-1#") && row.value.contains(r#""keeper":"vm-"#))
            })
            .await;
        let held_by = |fleet: &Fleet| {
            let rows = fleet.platform.rows("account/vm-1#");
            let row = rows.values().next().expect("the account of vm-1");
            let account: budget::ledger::Account = row.decode().expect("an account");
            (account.lines[BUDGET].held(), account.lines[BUDGET].exposed, account.closed)
        };
        fleet.nodes[0].process.kill();
        let (before, exposed, _) = held_by(&fleet);
        assert!(before > 3 * exposed, "too few tokens to recover: {before}, exposed {exposed}");
        fleet.remove_from_vms(0);
        fleet.wait_until("the account is closed", || async { held_by(&fleet).2 }).await;
        let (after, _, _) = held_by(&fleet);
        assert!(after <= exposed, "more than the exposed tokens stay held: {after}, exposed {exposed}");
        answers.extend(send_requests(&fleet, &[1, 2], 40, 20).await);
        for index in 1..3 {
            fleet.nodes[index].process.terminate();
            crate::support::wait_ended(&mut fleet, index).await;
        }
        let audit = &audit(&fleet)[BUDGET];
        assert!(audit.balanced && audit.accounts_agree, "I1: {audit:?}");
        assert!(consumed(&fleet) <= audit.spent + audit.outstanding, "I6: {audit:?}");
    });
}

#[test]
fn a_router_whose_account_was_closed_while_it_was_paused_spends_nothing_twice() {
    run(async {
        let mut plan = Plan::small();
        plan.teams[0].tokens = 20_000;
        plan.limits.grant_min = 500;
        let mut fleet = start_fleet(plan).await;
        let mut answers = send_requests(&fleet, &[0, 1, 2], 60, 20).await;
        fleet.nodes[0].process.pause();
        fleet.remove_from_vms(0);
        fleet
            .wait_until("the account of the paused router is closed", || async {
                fleet
                    .platform
                    .rows("account/vm-1#")
                    .values()
                    .any(|row| row.value.contains(r#""closed":true"#))
            })
            .await;
        answers.extend(send_requests(&fleet, &[1, 2], 200, 30).await);
        fleet.nodes[0].process.resume();
        answers.extend(send_requests(&fleet, &[0], 40, 30).await);
        answers.extend(send_requests(&fleet, &[1, 2], 300, 40).await);
        stop_all(&mut fleet).await;
        assert_accounts(&fleet, &answers);
        assert!(consumed(&fleet) <= 20_000, "no overspend");
        assert!(
            fleet.nodes[0].process.log().contains("account was closed"),
            "the router logs that its account was closed"
        );
    });
}

#[test]
fn the_weighing_decides_whether_an_isolated_router_serves_or_refuses() {
    run(async {
        for weighing in [bundle::Weighing::Refusals, bundle::Weighing::Overspend] {
            let mut plan = Plan::small();
            plan.teams[0].weighing = weighing;
            plan.limits.grant_min = 400;
            plan.limits.expose_refusals_s = 0;
            plan.limits.expose_overspend_s = 0;
            let mut fleet = start_fleet(plan).await;
            // The load makes each router hold far more tokens than it may expose.
            let mut answers = send_requests(&fleet, &[0, 1, 2], 240, 20).await;
            fleet
                .wait_until("the grant of the router has grown", || async {
                    let status = fleet.status(0).await.unwrap_or_default();
                    status["budgets"][BUDGET]["available"].as_u64() > Some(20_000)
                })
                .await;
            for index in 0..3 {
                fleet.cut_platform(index, true);
                fleet.cut_peers(index, true);
            }
            // This takes far more tokens than were in use at the router's last settlement.
            answers.extend(send_requests(&fleet, &[0], 120, 20).await);
            let served = count_served(&answers) - 240;
            match weighing {
                bundle::Weighing::Refusals => assert_eq!(served, 120, "{:?}", count_outcomes(&answers)),
                bundle::Weighing::Overspend => {
                    assert!(served < 120, "{:?}", count_outcomes(&answers));
                    assert!(
                        answers.iter().all(|answer| answer.status == 200 || answer.execution == "not-run")
                    );
                }
            }
            for index in 0..3 {
                fleet.cut_platform(index, false);
                fleet.cut_peers(index, false);
            }
            stop_all(&mut fleet).await;
            assert_accounts(&fleet, &answers);
        }
    });
}
