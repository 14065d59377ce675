//! Answers of engines whose heads name neither a length nor chunks, so that they end with their connections, and that are
//! cut off at any byte by connections that are closed in order.

use assert_matches::assert_matches;
use net::exec;
use std::net::SocketAddr;
use std::time::Duration;
use upstream::{Call, CancelOutcome, Engine, Error, Event, Fault, Http, Reply};

/// How long a test waits for an answer before it fails.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

const WHOLE: &str = concat!(
    r#"{"id":"r-0","object":"chat.completion","choices":[{"index":0,"message":{"content":"hail"}}],"#,
    r#""usage":{"prompt_tokens":3,"completion_tokens":4}}"#
);
const STREAM: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"hail\"}}]}\n\ndata: [DONE]\n\n";

/// Starts an engine that answers with `body`, and closes the connection.
async fn serve(status: u16, media: &'static str, body: &str) -> SocketAddr {
    exec::start(2);
    let answer = format!("HTTP/1.1 {status} Status\r\ncontent-type: {media}\r\n\r\n{body}");
    standin::serve_raw(answer).await.expect("a free port")
}

fn engine() -> Http {
    Http::new("vm-1".to_owned(), WAIT_LIMIT, WAIT_LIMIT)
}

async fn start(status: u16, media: &'static str, body: &str) -> Result<Reply, Error> {
    let address = serve(status, media, body).await;
    let path = "/v1/chat/completions".to_owned();
    let call = Call { run: "r-0".to_owned(), path, body: "{}".into(), priority: 0 };
    engine().start(address, &call).await
}

/// Reads a stream up to its end mark or its error.
async fn read(reply: Result<Reply, Error>) -> (Vec<String>, Result<(), Error>) {
    let mut chunks = vec![];
    let mut events = match reply {
        Ok(Reply::Stream(events)) => events,
        other => panic!("not a stream: {other:?}"),
    };
    loop {
        match events.next(WAIT_LIMIT).await {
            Ok(Event::Chunk(chunk)) => chunks.push(chunk),
            Ok(Event::Done) => return (chunks, Ok(())),
            Err(error) => return (chunks, Err(error)),
        }
    }
}

#[test]
fn a_truncated_answer_is_an_error_with_an_unknown_outcome() {
    exec::block_on(async {
        let whole = start(200, "application/json", WHOLE).await;
        assert_matches!(whole, Ok(Reply::Whole(bytes)) if bytes == WHOLE);
        for length in 0..WHOLE.len() {
            let reply = start(200, "application/json", &WHOLE[..length]).await;
            let error = reply.expect_err("the answer is truncated");
            assert_eq!(error.fault, Fault::Unknown, "{length}: {error}");
        }
    });
}

#[test]
fn an_answer_that_is_no_completion_is_an_error_with_an_unknown_outcome() {
    exec::block_on(async {
        for body in ["<html>", "{}", "[]", "null", r#"{"choices":null}"#, r#"{"error":{"message":"busy"}}"#] {
            let error = start(200, "application/json", body).await.expect_err(body);
            assert_eq!(error.fault, Fault::Unknown, "{body}: {error}");
        }
    });
}

/// The status tells the outcome, whatever is left of the message.
#[test]
fn a_truncated_refusal_is_a_refusal() {
    exec::block_on(async {
        let reply = start(400, "application/json", r#"{"error":{"mess"#).await;
        assert_matches!(reply, Ok(Reply::Refused { status: 400, .. }));
    });
}

#[test]
fn a_stream_without_its_end_mark_is_never_complete() {
    exec::block_on(async {
        for length in 0..=STREAM.len() {
            let (chunks, end) = read(start(200, "text/event-stream", &STREAM[..length]).await).await;
            assert_eq!(end.is_ok(), length == STREAM.len(), "{length}: {end:?}");
            let is_first_whole = length >= STREAM.find("data: [DONE]").expect("the end mark");
            assert_eq!(chunks.len(), usize::from(is_first_whole), "{length}: {chunks:?}");
        }
    });
}

#[test]
fn a_truncated_outcome_of_a_cancelled_run_is_an_error() {
    exec::block_on(async {
        let whole = r#"{"stopped":{"prompt_tokens":3,"completion_tokens":45}}"#;
        for length in 0..=whole.len() {
            let address = serve(200, "application/json", &whole[..length]).await;
            let outcome = engine().cancel(address, "r-0").await;
            match length == whole.len() {
                true => assert_matches!(outcome, Ok(CancelOutcome::Stopped(usage)) if usage.total() == 48),
                false => {
                    assert_matches!(outcome, Err(Error { fault: Fault::Unknown, .. }), "{length}");
                }
            }
        }
    });
}
