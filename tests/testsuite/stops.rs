//! Planned stops of routers: open requests are finished and unused tokens are returned.

use crate::support::{open_runs, run, start_fleet, stop_all, wait_ended};
use harness::{ChatRequest, Plan};

#[test]
fn a_planned_stop_finishes_open_streams_and_refuses_new_work_as_not_run() {
    run(async {
        let mut plan = Plan::small();
        plan.router_limits.stop_delay_ms = 200;
        let mut fleet = start_fleet(plan).await;
        let long_request = ChatRequest::new("narrator", "A long sweep", 700).streamed();
        let caller = fleet.caller(0);
        let running = net::exec::spawn({
            let long_request = long_request.clone();
            async move { caller.send_chat(&long_request).await }
        });
        fleet.wait_until("the run is open", || async { open_runs(&fleet) == 1 }).await;
        fleet.nodes[0].process.terminate();
        fleet
            .wait_until("the stopping router is not ready", || async {
                fleet.get(0, "/ready").await.is_none()
            })
            .await;
        let path = "/v1/status";
        fleet
            .wait_until("a peer lists the stopping router as gone", || async {
                fleet.get(1, path).await.is_some_and(|status| status.contains(r#""gone":["vm-1"]"#))
            })
            .await;
        let refused = fleet.caller(0).chat("narrator", "new work", 2).await;
        assert!(refused.status == 0 || refused.execution == "not-run", "{refused:?}");
        let answer = running.await;
        assert!(answer.is_complete_for(&long_request), "the open stream is finished: {answer:?}");
        wait_ended(&mut fleet, 0).await;
        for index in 1..3 {
            let request = ChatRequest::new("narrator", "Go on", 3);
            assert!(fleet.caller(index).send_chat(&request).await.is_complete_for(&request));
        }
        stop_all_but_first(&mut fleet).await;
        let audit = &harness::audit(&fleet)["storm-desk/main"];
        assert_eq!(audit.outstanding, 0, "every unused token is returned: {audit:?}");
    });
}

async fn stop_all_but_first(fleet: &mut harness::Fleet) {
    for index in 1..fleet.nodes.len() {
        fleet.nodes[index].process.terminate();
    }
    for index in 1..fleet.nodes.len() {
        wait_ended(fleet, index).await;
    }
}

#[test]
fn a_stop_during_a_platform_outage_waits_until_the_tokens_are_settled() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let request = ChatRequest::new("narrator", "Describe the storm.", 3);
        assert!(fleet.caller(0).send_chat(&request).await.is_complete_for(&request));
        fleet.platform.set_mode(standin::Mode::Down);
        assert!(fleet.caller(0).send_chat(&request).await.is_complete_for(&request));
        for node in &fleet.nodes {
            node.process.terminate();
        }
        fleet
            .wait_until("a settlement was tried and failed", || async {
                fleet.nodes[0].process.log().contains("settle: batch")
            })
            .await;
        assert!(fleet.nodes[0].process.exit_status().is_none());
        fleet.platform.set_mode(standin::Mode::Up);
        stop_all(&mut fleet).await;
        let audit = &harness::audit(&fleet)["storm-desk/main"];
        assert_eq!((audit.spent, audit.outstanding), (16, 0), "{audit:?}");
    });
}

#[test]
fn a_rolling_restart_of_all_routers_loses_no_request() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        for index in 0..3 {
            fleet.nodes[index].process.terminate();
            for round in 0..9 {
                let request = ChatRequest::new("narrator", &format!("Cell {index} {round}"), 4);
                let mut answer = fleet.caller(round % 3).send_chat(&request).await;
                if answer.status != 200 {
                    // On "not run" or a refused connection, callers retry at another router.
                    assert!(answer.status == 0 || answer.execution == "not-run", "{answer:?}");
                    answer = fleet.caller((index + 1) % 3).send_chat(&request).await;
                }
                assert!(answer.is_complete_for(&request), "{answer:?}");
            }
            wait_ended(&mut fleet, index).await;
            fleet.restart(index);
            fleet.wait_until_ready().await;
        }
        stop_all(&mut fleet).await;
        let audit = &harness::audit(&fleet)["storm-desk/main"];
        assert_eq!(audit.outstanding, 0, "{audit:?}");
        assert_eq!(audit.spent, crate::support::consumed(&fleet));
    });
}
