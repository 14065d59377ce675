//! Upstreams that send the answer to an earlier question again, before the one that is due on the same connection.
//! Answers to cancellations, to resumed streams and of plain services name no request, so only their place tells
//! what they answer.

use crate::support::{run, stop_all};
use futures::future::join_all;
use harness::{Answer, ChatRequest, Fleet, Plan};
use serde_json::{Value, json};
use smol::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use smol::net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The header with the id of a run.
const RUN_ID: &str = "x-run-id";
/// The number of events after which a stream breaks.
const EVENTS_BEFORE_BREAK: usize = 3;
/// The number of events of a stream.
const EVENTS: usize = 6;
/// A prompt that starts with this is refused in an answer that names no run, and does not run.
const REFUSED: &str = "Refused";
/// A prompt that starts with this runs, and is answered as one that is refused.
const UNDER_WAY: &str = "Hail on quarter";

/// A request as an upstream reads it.
struct Question {
    method: String,
    path: String,
    run: String,
    body: Vec<u8>,
}

impl Question {
    /// The runs and the streams that it is about have paths of their own; their kind is the same.
    fn kind(&self) -> String {
        let path = if self.path.starts_with("/v1/streams/") { "/v1/streams/" } else { "/" };
        format!("{} {path}", self.method)
    }

    fn prompt(&self) -> String {
        let request: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        request["messages"][0]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// An engine and plain service that repeats its answers to questions of one kind.
#[derive(Clone)]
struct Repeater {
    address: SocketAddr,
    /// The kind of questions whose answers are repeated.
    repeated: &'static str,
    /// The prompts of the runs, by run id.
    runs: Arc<Mutex<HashMap<String, String>>>,
}

impl Repeater {
    async fn start(repeated: &'static str) -> Repeater {
        let listener = TcpListener::bind(standin::loopback()).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let upstream = Repeater { address, repeated, runs: Arc::default() };
        let shared = upstream.clone();
        net::exec::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = shared.clone();
                net::exec::spawn(async move { upstream.serve(stream).await }).detach();
            }
        })
        .detach();
        upstream
    }

    /// Serves a connection. An earlier answer to a question of the repeated kind precedes the due one.
    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.clone();
        let mut reader = BufReader::new(stream);
        let mut earlier: Option<Vec<u8>> = None;
        while let Some(question) = read_question(&mut reader).await? {
            let (answer, is_whole) = self.answer(&question);
            if question.kind() == self.repeated
                && let Some(copy) = earlier.replace(answer.clone()).filter(|copy| *copy != answer)
            {
                writer.write_all(&copy).await?;
            }
            writer.write_all(&answer).await?;
            if !is_whole {
                return Ok(());
            }
        }
        Ok(())
    }

    /// The answer, and whether it is whole.
    fn answer(&self, question: &Question) -> (Vec<u8>, bool) {
        if let Some(run) = question.path.strip_prefix("/v1/streams/") {
            let (run, offset) = run.split_once("?offset=").unwrap_or((run, "0"));
            let prompt = self.runs.lock().expect("the runs").get(run).cloned();
            return match (question.method.as_str(), prompt) {
                ("DELETE", None) => (sized(200, "", r#""unseen""#), true),
                ("DELETE", Some(_)) => {
                    let usage = json!({"stopped": {"prompt_tokens": 1, "completion_tokens": 1}});
                    (sized(200, "", &usage.to_string()), true)
                }
                (_, prompt) => {
                    let first = offset.parse().unwrap_or(0);
                    (stream("", &prompt.unwrap_or_default(), first..EVENTS), true)
                }
            };
        }
        match question.path.as_str() {
            "/v1/load" => {
                let models = ["narrator", "hail-flag"];
                let load =
                    json!({"slots": 8, "running": 0, "waiting": 0, "leaving": false, "models": models});
                (sized(200, "", &load.to_string()), true)
            }
            "/v1/chat/completions" => self.start_run(question),
            path => (sized(200, "", &format!("the answer to {path}")), true),
        }
    }

    fn start_run(&self, question: &Question) -> (Vec<u8>, bool) {
        let prompt = question.prompt();
        let refusal = |status| (sized(status, "", r#"{"error":{"message":"refusing"}}"#), true);
        if prompt.starts_with(REFUSED) {
            return refusal(400);
        }
        self.runs.lock().expect("the runs").insert(question.run.clone(), prompt.clone());
        if prompt.starts_with(UNDER_WAY) {
            return refusal(503);
        }
        let name = format!("{RUN_ID}: {}\r\n", question.run);
        if question.body.windows(13).any(|bytes| bytes == br#""stream":true"#) {
            return (stream(&name, &prompt, 0..EVENTS_BEFORE_BREAK), false);
        }
        let completion = json!({
            "choices": [{"index": 0, "message": {"content": standin::answer(&prompt, 1)}}],
            "usage": {"prompt_tokens": 1, "completion_tokens": 1},
        });
        (sized(200, &name, &completion.to_string()), true)
    }

    /// The number of runs of a prompt.
    fn executions(&self, prompt: &str) -> usize {
        self.runs.lock().expect("the runs").values().filter(|run| *run == prompt).count()
    }
}

async fn read_question(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Question>> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(ToOwned::to_owned);
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (mut run, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await?;
        let Some((name, value)) = line.trim().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            RUN_ID => run = value.to_owned(),
            "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    Ok(Some(Question { method, path, run, body }))
}

fn sized(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// A stream of events; it has no end unless it contains the last event.
fn stream(headers: &str, prompt: &str, events: std::ops::Range<usize>) -> Vec<u8> {
    let chunk = |event: &str| {
        let data = format!("data: {event}\n\n");
        format!("{:x}\r\n{data}\r\n", data.len())
    };
    let mut text = format!(
        "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    for index in events.clone() {
        let content = event_text(prompt, index);
        text += &chunk(&json!({"choices": [{"index": 0, "delta": {"content": content}}]}).to_string());
    }
    if events.end == EVENTS {
        let usage = json!({"prompt_tokens": 1, "completion_tokens": EVENTS});
        text += &chunk(&json!({"choices": [], "usage": usage}).to_string());
        text += &chunk("[DONE]");
        text += "0\r\n\r\n";
    }
    text.into_bytes()
}

fn event_text(prompt: &str, index: usize) -> String {
    format!("{prompt}, event {index}. ")
}

/// Starts a router whose only engine and only plain service is an upstream that repeats answers.
async fn start(repeated: &'static str) -> (Fleet, Repeater) {
    let mut plan = Plan::small();
    plan.routers = 1;
    plan.limits.retry_share = 1.0;
    let mut fleet = crate::support::start_fleet(plan).await;
    let upstream = Repeater::start(repeated).await;
    let mut bundle = fleet.bundle.clone();
    bundle.upstreams.retain(|name, _| name == "engine-1");
    bundle.upstreams.values_mut().for_each(|engine| engine.address = upstream.address);
    let services = bundle.services.values_mut();
    services.for_each(|service| service.addresses = vec![upstream.address]);
    fleet.roll(&bundle).await.expect("a bundle");
    fleet
        .wait_until("the upstream is in use", || async {
            let request = ChatRequest::new("narrator", "First", 1);
            fleet.caller(0).send_chat(&request).await;
            upstream.executions("First") > 0
        })
        .await;
    (fleet, upstream)
}

#[test]
fn the_copy_of_an_answer_to_a_cancellation_does_not_make_a_request_run_twice() {
    run(async {
        let (mut fleet, upstream) = start("DELETE /v1/streams/").await;
        let mut outcomes = vec![];
        for index in 0..10 {
            for prompt in [format!("{REFUSED} {index}"), format!("Clear {index}")] {
                fleet.caller(0).send_chat(&ChatRequest::new("hail-flag", &prompt, 1)).await;
            }
            let request = ChatRequest::new("hail-flag", &format!("{UNDER_WAY} {index}"), 1);
            let answer = fleet.caller(0).send_chat(&request).await;
            outcomes.push((upstream.executions(&request.prompt), answer.execution));
        }
        stop_all(&mut fleet).await;
        assert_eq!(outcomes, vec![(1, "ran".to_owned()); 10], "runs, and what the caller heard");
    });
}

#[test]
fn a_stream_is_not_resumed_with_the_copy_of_another_one() {
    run(async {
        let (mut fleet, _upstream) = start("GET /v1/streams/").await;
        let mut wrong = vec![];
        for round in 0..10 {
            let prompts = [format!("Cell {round}"), format!("Sweep {round}")];
            let caller = fleet.caller(0);
            let answers = join_all(prompts.iter().map(|prompt| {
                let (caller, request) = (caller.clone(), ChatRequest::new("narrator", prompt, 6).streamed());
                async move { caller.send_chat(&request).await }
            }))
            .await;
            let answers = prompts.into_iter().zip(answers);
            wrong.extend(answers.filter(|(prompt, answer)| !is_whole_stream(prompt, answer)));
        }
        stop_all(&mut fleet).await;
        assert!(wrong.is_empty(), "{wrong:?}");
    });
}

fn is_whole_stream(prompt: &str, answer: &Answer) -> bool {
    let expected: String = (0..EVENTS).map(|index| event_text(prompt, index)).collect();
    answer.complete && answer.text == expected
}

#[test]
fn a_caller_of_a_service_does_not_get_the_copy_of_an_answer_to_another_one() {
    run(async {
        let (mut fleet, _upstream) = start("GET /").await;
        let mut wrong = vec![];
        for index in 0..20 {
            let path = format!("/layer/{index}");
            let caller = fleet.caller(0);
            let answer = caller.send(caller.request("GET", &format!("/services/tiles{path}"), "")).await;
            if answer.text != format!("the answer to {path}") {
                wrong.push((path, answer.status, answer.text));
            }
        }
        stop_all(&mut fleet).await;
        assert!(wrong.is_empty(), "{wrong:?}");
    });
}
