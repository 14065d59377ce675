//! The interface for callers: complete answers, refusals with a code, and plain services.

use crate::support::{answer_summary, budget_summary, executions, open_runs, run, start_fleet, stop_all};
use harness::{ChatRequest, Plan};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::fmt::Write;

#[test]
fn answers_are_complete_and_charged_once() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let mut text = String::new();
        for router in 0..3 {
            for (model, stream) in [("narrator", false), ("narrator", true), ("hail-flag", true)] {
                let mut request = ChatRequest::new(model, "Describe the storm.", 7);
                request.stream = stream;
                let answer = fleet.caller(router).send_chat(&request).await;
                assert!(answer.is_complete_for(&request), "{answer:?}");
                assert!(!answer.request_id.is_empty(), "every answer has a request id");
                let _ = writeln!(text, "{model} stream={stream}: {}", answer_summary(&answer));
            }
        }
        stop_all(&mut fleet).await;
        text.push_str(&budget_summary(&fleet));
        insta::assert_snapshot!(text);
    });
}

#[test]
fn invalid_requests_are_refused_with_a_code() {
    run(async {
        let fleet = start_fleet(Plan::small()).await;
        let caller = fleet.caller(0);
        let path = "/v1/chat/completions";
        let message = r#""messages":[{"role":"user","content":"x"}]"#;
        let bodies = [
            ("not json", "{nope".to_owned()),
            ("no model", format!("{{{message}}}")),
            ("unknown model", format!(r#"{{"model":"oracle",{message}}}"#)),
            ("no prompt", r#"{"model":"narrator"}"#.to_owned()),
            ("no tokens", format!(r#"{{"model":"narrator","max_tokens":0,{message}}}"#)),
            ("too many tokens", format!(r#"{{"model":"narrator","max_tokens":99999999,{message}}}"#)),
            ("tokens as text", format!(r#"{{"model":"narrator","max_tokens":"7",{message}}}"#)),
            ("too many answers", format!(r#"{{"model":"narrator","n":99,{message}}}"#)),
            ("too large", format!(r#"{{"model":"narrator","messages":"{}"}}"#, "x".repeat(5 << 20))),
        ];
        let mut text = String::new();
        for (name, body) in bodies {
            let answer = caller.send(caller.request("POST", path, body)).await;
            let _ = writeln!(text, "{name}: {}", answer_summary(&answer));
        }
        let mut request = caller.request("POST", path, "{}");
        request.headers_mut().insert("authorization", "Bearer nobody".parse().expect("a header"));
        let _ = writeln!(text, "unknown key: {}", answer_summary(&caller.send(request).await));
        let mut request = caller.request("POST", path, "{}");
        request.headers_mut().remove("authorization");
        let _ = writeln!(text, "no key: {}", answer_summary(&caller.send(request).await));
        let mut request = caller.request("POST", path, "{}");
        request.headers_mut().insert("idempotency-key", "".parse().expect("a header"));
        let _ = writeln!(text, "empty idempotency key: {}", answer_summary(&caller.send(request).await));
        for (method, path) in [("GET", path), ("GET", "/nowhere"), ("GET", "/services/oracle/x")] {
            let answer = caller.send(caller.request(method, path, "")).await;
            let _ = writeln!(text, "{method} {path}: {}", answer_summary(&answer));
        }
        let mut request = caller.request("GET", "/v1/models", "");
        for index in 0..200 {
            let name = http::HeaderName::try_from(format!("x-flood-{index}")).expect("a header name");
            request.headers_mut().insert(name, "1".parse().expect("a header"));
        }
        let _ = writeln!(text, "header flood: {}", caller.send(request).await.status);
        let after = caller.chat("narrator", "still there?", 2).await;
        let _ = writeln!(text, "afterwards: {}", answer_summary(&after));
        insta::assert_snapshot!(text);
    });
}

#[test]
fn a_slow_sender_does_not_keep_a_connection_open() {
    run(async {
        let mut plan = Plan::small();
        plan.routers = 1;
        plan.router_limits.head_ms = 200;
        plan.router_limits.body_ms = 200;
        let fleet = start_fleet(plan).await;
        let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.expect("a connection");
        stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n").await.expect("half a head");
        let mut answer = vec![];
        let ended = net::exec::timeout(std::time::Duration::from_secs(10), stream.read_to_end(&mut answer));
        assert!(ended.await.is_some(), "the router closes the connection");

        let key = fleet.plan.teams[0].key();
        let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.expect("a connection");
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: 100\r\n\r\n{{"
        );
        stream.write_all(head.as_bytes()).await.expect("a head and no body");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.expect("an answer");
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 408");
    });
}

#[test]
fn a_run_is_cancelled_and_charged_when_its_caller_disconnects() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let key = fleet.plan.teams[0].key();
        let body = r#"{"model":"narrator","max_tokens":5000,"stream":true,"messages":[{"role":"user","content":"long"}]}"#;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.expect("a connection");
        stream.write_all(head.as_bytes()).await.expect("a request");
        let mut some = [0; 512];
        stream.read_exact(&mut some).await.expect("the beginning of an answer");
        drop(stream);
        fleet.wait_until("the engine's run is cancelled", || async { open_runs(&fleet) == 0 }).await;
        assert_eq!(executions(&fleet, "long"), 1);
        let used: u64 = crate::support::consumed(&fleet);
        stop_all(&mut fleet).await;
        let spent = harness::audit(&fleet)["storm-desk/main"].spent;
        assert_eq!(spent, used, "what the engine consumed is charged");
        assert!(used < 5_000, "{used}");
    });
}

#[test]
fn plain_services_are_routed_with_any_method_and_large_bodies() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let caller = fleet.caller(0);
        let mut text = String::new();
        for (method, size) in [("GET", 0), ("PUT", 10), ("POST", 3 << 20), ("DELETE", 0)] {
            let body = "x".repeat(size);
            let answer = caller.send(caller.request(method, "/services/tiles/layer/7?z=1", body)).await;
            let _ = writeln!(text, "{} {}", answer.status, answer.text);
        }
        stop_all(&mut fleet).await;
        text.push_str(&budget_summary(&fleet));
        insta::assert_snapshot!(text);
    });
}

#[test]
fn the_record_of_a_request_lists_its_steps() {
    run(async {
        let fleet = start_fleet(Plan::small()).await;
        let answer = fleet.caller(1).chat("narrator", "Describe the storm.", 3).await;
        let path = format!("/v1/requests/{}", answer.request_id);
        fleet
            .wait_until("the request has ended", || async {
                fleet.get(1, &path).await.is_some_and(|record| record.contains("complete"))
            })
            .await;
        let record = fleet.get(1, &path).await.expect("a record");
        let record: serde_json::Value = serde_json::from_str(&record).expect("JSON");
        let steps: Vec<&str> = record["steps"]
            .as_array()
            .expect("steps")
            .iter()
            .filter_map(|step| step["what"].as_str())
            .collect();
        let text = format!(
            "budget {} bundle {} charge {} outcome {}\n{}",
            record["budget"],
            record["bundle"],
            record["charge"],
            record["outcome"],
            steps.join("\n")
        );
        insta::assert_snapshot!(text);
        let metrics = fleet.get(1, "/metrics").await.expect("metrics");
        assert!(metrics.contains("tallypaddle_charged_tokens_total 8"), "{metrics}");
    });
}
