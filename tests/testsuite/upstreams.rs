//! Upstreams that fail or leave: answers are never cut short silently, no run is left open, and leaving
//! upstreams get no new requests.

use crate::support::{answer_summary, budget_summary, executions, open_runs, run, start_fleet, stop_all};
use harness::{ChatRequest, Plan};
use standin::{Fault, Rule};
use std::fmt::Write;

#[test]
fn a_broken_stream_is_resumed() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        for engine in &fleet.engines {
            engine.set_fault(Fault::Break(3));
        }
        let request = ChatRequest::new("narrator", "Describe the storm.", 20).streamed();
        let answer = fleet.caller(0).send_chat(&request).await;
        assert!(answer.is_complete_for(&request), "{answer:?}");
        assert_eq!(executions(&fleet, &request.prompt), 1);
        stop_all(&mut fleet).await;
        insta::assert_snapshot!(format!("{}\n{}", answer_summary(&answer), budget_summary(&fleet)));
    });
}

#[test]
fn a_stream_that_cannot_be_completed_ends_with_an_error_and_an_abort() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        for engine in &fleet.engines {
            engine.set_fault(Fault::BreakPermanently(3));
        }
        let request = ChatRequest::new("narrator", "Describe the storm.", 500).streamed();
        let answer = fleet.caller(0).send_chat(&request).await;
        assert!(!answer.complete, "the answer is marked as incomplete: {answer:?}");
        let text = format!("{} {} {}", answer.status, answer.code, answer.execution);
        assert_eq!(text, "200 upstream_broke ran");
        assert_eq!(open_runs(&fleet), 0, "no run is left open");
        let consumed = crate::support::consumed(&fleet);
        stop_all(&mut fleet).await;
        assert_eq!(harness::audit(&fleet)["storm-desk/main"].spent, consumed);
    });
}

#[test]
fn an_engine_that_refuses_requests_is_avoided() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        fleet.engines[0].set_fault(Fault::Refuse);
        fleet.engines[1].set_fault(Fault::Refuse);
        let mut text = String::new();
        // Each request earns a tenth of a retry, so the first ones may be refused without a retry.
        for index in 0..60 {
            let request = ChatRequest::new("narrator", &format!("Cell {index}"), 2);
            let answer = fleet.caller(0).send_chat(&request).await;
            let ok = answer.is_complete_for(&request)
                || (answer.code == "upstream_failed" && answer.execution == "not-run");
            assert!(ok, "{answer:?}");
            if answer.execution == "not-run" {
                assert_eq!(
                    executions(&fleet, &request.prompt),
                    0,
                    "the request did not run, as the answer says (I4)"
                );
            }
        }
        let request = ChatRequest::new("narrator", "After both were ejected or passed over", 2);
        let answer = fleet.caller(0).send_chat(&request).await;
        let _ = writeln!(text, "{}", answer_summary(&answer));
        stop_all(&mut fleet).await;
        insta::assert_snapshot!(text);
    });
}

/// Guards against a refusal that names no run and is taken for that of a run which goes on.
#[test]
fn a_refusal_that_names_no_run_does_not_make_a_request_run_twice() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        fleet.engines.iter().for_each(|engine| engine.set_fault(Fault::Misattribute));
        for index in 0..10 {
            let request = ChatRequest::new("hail-flag", &format!("Hail on quarter {index}?"), 200);
            let answer = fleet.caller(index % 3).send_chat(&request).await;
            let runs = executions(&fleet, &request.prompt);
            assert!(runs <= 1, "the request ran {runs} times: {answer:?}");
            assert!(runs == 0 || answer.execution != "not-run", "the request ran: {answer:?}");
        }
        assert_eq!(open_runs(&fleet), 0, "no run is left open");
        let consumed = crate::support::consumed(&fleet);
        stop_all(&mut fleet).await;
        assert_eq!(harness::audit(&fleet)["storm-desk/main"].spent, consumed);
    });
}

#[test]
fn a_run_that_stalls_before_its_first_token_is_stopped_and_run_elsewhere() {
    run(async {
        let mut plan = Plan::small();
        plan.routers = 1;
        plan.router_limits.stall_ms = 200;
        plan.limits.retry_share = 1.0;
        let mut fleet = start_fleet(plan).await;
        for engine in &fleet.engines[..2] {
            engine.set_fault(Fault::Stall(0));
        }
        for index in 0..6 {
            let request = ChatRequest::new("narrator", &format!("Sweep {index}"), 5).streamed();
            let answer = fleet.caller(0).send_chat(&request).await;
            assert!(answer.is_complete_for(&request), "{answer:?}");
        }
        assert_eq!(open_runs(&fleet), 0, "no run is left open");
        stop_all(&mut fleet).await;
        let audit = &harness::audit(&fleet)["storm-desk/main"];
        let consumed = crate::support::consumed(&fleet);
        assert!(consumed <= audit.spent + audit.outstanding, "I6: {consumed} {audit:?}");
    });
}

#[test]
fn tokens_stay_held_until_an_unreachable_engine_reports_the_usage() {
    run(async {
        let mut plan = Plan::small();
        plan.routers = 1;
        plan.engines.truncate(1);
        plan.engine_proxies = true;
        plan.router_limits.stall_ms = 300;
        plan.router_limits.call_ms = 200;
        let mut fleet = start_fleet(plan).await;
        let request = ChatRequest::new("hail-flag", "Is there hail?", 50).streamed();
        let caller = fleet.caller(0);
        let pending = net::exec::spawn({
            let request = request.clone();
            async move { caller.send_chat(&request).await }
        });
        fleet
            .wait_until("the engine runs the request", || async { executions(&fleet, &request.prompt) == 1 })
            .await;
        // Before the first token, the answer would be a whole 502 in place of a broken stream.
        fleet
            .wait_until("the first token is relayed", || async {
                let metrics = fleet.get(0, "/metrics").await.unwrap_or_default();
                metrics.contains("tallypaddle_first_token_seconds_count 1")
            })
            .await;
        fleet.engine_proxies[0].set_rule(Rule::Cut);
        let answer = pending.await;
        assert!(!answer.complete, "{answer:?}");
        let held = fleet.status(0).await.expect("a status")["budgets"]["storm-desk/main"]["unknown"].as_u64();
        assert!(held.is_some_and(|held| held > 0), "{held:?}");
        fleet.engine_proxies[0].set_rule(Rule::Pass);
        fleet
            .wait_until("the engine has reported the usage of the run", || async {
                let status = fleet.status(0).await.unwrap_or_default();
                status["budgets"]["storm-desk/main"]["unknown"].as_u64() == Some(0)
            })
            .await;
        let consumed = crate::support::consumed(&fleet);
        stop_all(&mut fleet).await;
        assert_eq!(harness::audit(&fleet)["storm-desk/main"].spent, consumed);
    });
}

/// Only a request that may be repeated is, and the first run ends once its engine hears of the cancellation.
#[test]
fn a_run_whose_engine_answers_nothing_is_stopped_once_the_engine_answers() {
    run(async {
        let mut text = String::new();
        for model in ["narrator", "hail-flag"] {
            let mut plan = Plan::small();
            plan.routers = 1;
            plan.engine_proxies = true;
            plan.router_limits.start_ms = 1_500;
            plan.router_limits.call_ms = 200;
            plan.limits.retry_share = 1.0;
            let mut fleet = start_fleet(plan).await;
            fleet.engines.iter().for_each(|engine| engine.set_fault(Fault::Slow(100.0)));
            let request = ChatRequest::new(model, "Describe the storm.", 100);
            let pending = net::exec::spawn({
                let (caller, request) = (fleet.caller(0), request.clone());
                async move { caller.send_chat(&request).await }
            });
            fleet.wait_until("an engine runs the request", || async { open_runs(&fleet) == 1 }).await;
            let runs = fleet.engines.iter().map(|engine| engine.record().open_runs.len());
            let first = runs.into_iter().position(|open| open == 1).expect("an engine");
            fleet.engine_proxies[first].set_rule(Rule::Hang);
            let others = fleet.engines.iter().enumerate().filter(|(index, _)| *index != first);
            others.for_each(|(_, engine)| engine.set_fault(Fault::None));
            let answer = pending.await;
            let _ = writeln!(
                text,
                "{model}: {}; {} runs, {} of them open",
                answer_summary(&answer),
                executions(&fleet, &request.prompt),
                open_runs(&fleet)
            );
            fleet.engine_proxies[first].set_rule(Rule::Pass);
            fleet.wait_until("the first run is stopped", || async { open_runs(&fleet) == 0 }).await;
            fleet
                .wait_until("the engine has reported the usage of the run", || async {
                    let metrics = fleet.get(0, "/metrics").await.unwrap_or_default();
                    metrics.lines().any(|line| line == "tallypaddle_unknown_tokens 0")
                })
                .await;
            stop_all(&mut fleet).await;
            let audit = &harness::audit(&fleet)["storm-desk/main"];
            let consumed = crate::support::consumed(&fleet);
            assert!(consumed <= audit.spent + audit.outstanding, "I6: {consumed} {audit:?}");
        }
        insta::assert_snapshot!(text);
    });
}

#[test]
fn a_leaving_upstream_gets_no_new_requests_and_finishes_its_runs() {
    run(async {
        for by_list in [true, false] {
            let mut fleet = start_fleet(Plan::small()).await;
            let long_request = ChatRequest::new("narrator", "A long sweep", 300).streamed();
            let mut running = vec![];
            for router in 0..3 {
                let (caller, long_request) = (fleet.caller(router), long_request.clone());
                running.push(net::exec::spawn(async move { caller.send_chat(&long_request).await }));
            }
            fleet.wait_until("three runs are open", || async { open_runs(&fleet) == 3 }).await;
            if by_list {
                fleet.publish_vms(&["engine-1"]);
            } else {
                fleet.engines[0].set_leaving(true);
            }
            for index in 0..3 {
                fleet
                    .wait_until("each router knows that the engine is leaving", || {
                        sees_leaving(&fleet, index, true)
                    })
                    .await;
            }
            let before = fleet.engines[0].record().started.len();
            for index in 0..12 {
                let request = ChatRequest::new("narrator", &format!("Cell {index}"), 2);
                assert!(fleet.caller(index % 3).send_chat(&request).await.is_complete_for(&request));
            }
            assert_eq!(fleet.engines[0].record().started.len(), before, "no new runs");
            for answer in running {
                let answer = answer.await;
                assert!(answer.is_complete_for(&long_request), "{answer:?}");
            }
            fleet.publish_vms(&[]);
            fleet.engines[0].set_leaving(false);
            for index in 0..3 {
                fleet
                    .wait_until("each router knows that the engine is no longer leaving", || {
                        sees_leaving(&fleet, index, false)
                    })
                    .await;
            }
            stop_all(&mut fleet).await;
        }
    });
}

/// Whether the status of a router shows the first engine as leaving, or as not leaving. It is also true if
/// the router has no slot of the engine, because it sends nothing there by itself.
async fn sees_leaving(fleet: &harness::Fleet, index: usize, leaving: bool) -> bool {
    let status = fleet.status(index).await.unwrap_or_default();
    let own = &status["upstreams"]["engine-1"];
    own.is_null() || own["leaving"] == leaving
}

#[test]
fn upstreams_of_an_evacuated_data_centre_get_no_new_requests() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let mut bundle = fleet.bundle.clone();
        let all: Vec<String> =
            bundle.upstreams.values().map(|upstream| upstream.data_centre.clone()).collect();
        let (first, others) = all.split_first().expect("upstreams");
        assert!(others.iter().any(|other| other != first), "one data centre only: {all:?}");
        bundle.evacuated.insert(first.clone());
        fleet.roll(&bundle).await.expect("a bundle");
        for index in 0..fleet.nodes.len() {
            fleet
                .wait_until("the bundle is in force", || async {
                    fleet.status(index).await.unwrap_or_default()["bundle"]["sequence"].as_u64() == Some(2)
                })
                .await;
        }
        let started = |fleet: &harness::Fleet| -> Vec<usize> {
            fleet.engines.iter().map(|engine| engine.record().started.len()).collect()
        };
        for index in 0..fleet.nodes.len() {
            // It takes a short time until the routers know the new assignment of slots.
            fleet
                .wait_until("each router serves", || async {
                    let request = ChatRequest::new("narrator", &format!("First {index}"), 2);
                    fleet.caller(index).send_chat(&request).await.is_complete_for(&request)
                })
                .await;
        }
        let before = started(&fleet);
        for index in 0..24 {
            let request = ChatRequest::new("narrator", &format!("Cell {index}"), 2);
            let answer = fleet.caller(index % fleet.nodes.len()).send_chat(&request).await;
            assert!(answer.is_complete_for(&request), "{answer:?}");
        }
        let after = started(&fleet);
        for (index, data_centre) in all.iter().enumerate().filter(|(_, data_centre)| *data_centre == first) {
            assert_eq!(after[index], before[index], "engine {index} is in {data_centre}");
        }
        stop_all(&mut fleet).await;
    });
}
