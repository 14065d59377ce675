//! A client of routers that can check whether it got the complete answer to its own request.

use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::Request;
use http_body_util::BodyDataStream;
use net::{Body, Client};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The longest time for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The largest answer in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// A chat request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens to generate.
    pub max_tokens: u64,
    /// Whether to stream.
    pub stream: bool,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
}

impl ChatRequest {
    /// Creates a request that is not streamed and has no idempotency key.
    pub fn new(model: &str, prompt: &str, max_tokens: u64) -> ChatRequest {
        ChatRequest {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            stream: false,
            idempotency_key: None,
        }
    }

    /// Adds an idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> ChatRequest {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// Asks for a streamed answer.
    #[must_use]
    pub fn streamed(mut self) -> ChatRequest {
        self.stream = true;
        self
    }
}

/// The answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status; 0 if there was no answer.
    pub status: u16,
    /// The generated text, or the body of an answer that is not JSON.
    pub text: String,
    /// Whether a request that failed was executed, as the answer says.
    pub execution: String,
    /// The error code of a request that failed.
    pub code: String,
    /// The id that the router gave to the request.
    pub request_id: String,
    /// The time after which to retry, in seconds.
    pub retry_after: Option<u64>,
    /// The number of prompt and generated tokens, as the answer says.
    pub usage: u64,
    /// Whether the body was received completely; a stream must end with `[DONE]`.
    pub complete: bool,
    /// The time to the first token, or to the whole answer if it is not streamed.
    pub time_to_first_token: Option<Duration>,
    /// The times between consecutive tokens of a stream.
    pub token_intervals: Vec<Duration>,
}

impl Answer {
    /// Whether this is the complete answer to `request`, with exactly the expected text.
    pub fn is_complete_for(&self, request: &ChatRequest) -> bool {
        self.status == 200
            && self.complete
            && self.text == standin::answer(&request.prompt, request.max_tokens)
    }
}

/// A client of one router or engine.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    key: String,
    sends_run_id: bool,
}

impl Caller {
    /// Creates a caller with an access key.
    pub fn new(client: Client, address: SocketAddr, key: String) -> Caller {
        Caller { client, address, key, sends_run_id: false }
    }

    /// Adds a run id to each chat request, as a router does, so that an engine accepts it.
    #[must_use]
    pub fn with_run_ids(mut self) -> Caller {
        self.sends_run_id = true;
        self
    }

    /// Sends a chat request without streaming.
    pub async fn chat(&self, model: &str, prompt: &str, tokens: u64) -> Answer {
        self.send_chat(&ChatRequest::new(model, prompt, tokens)).await
    }

    /// Sends a chat request and reads the whole answer.
    pub async fn send_chat(&self, chat: &ChatRequest) -> Answer {
        let mut body = json!({
            "model": chat.model,
            "messages": [{"role": "user", "content": chat.prompt}],
            "max_tokens": chat.max_tokens,
            "stream": chat.stream,
        });
        if chat.stream {
            body["stream_options"] = json!({"include_usage": true});
        }
        let mut request = self.request("POST", "/v1/chat/completions", body.to_string());
        if let Some(key) = &chat.idempotency_key
            && let Ok(value) = key.parse()
        {
            request.headers_mut().insert("idempotency-key", value);
        }
        if self.sends_run_id
            && let Ok(run) = uuid::Uuid::new_v4().to_string().parse()
        {
            request.headers_mut().insert("x-run-id", run);
        }
        let started = Instant::now();
        net::exec::timeout(REQUEST_TIMEOUT, self.exchange(request, started)).await.unwrap_or_default()
    }

    /// Sends a request built with [`Caller::request`] and reads the whole answer.
    pub async fn send(&self, request: Request<Body>) -> Answer {
        net::exec::timeout(REQUEST_TIMEOUT, self.exchange(request, Instant::now())).await.unwrap_or_default()
    }

    /// Builds a request with the caller's key.
    ///
    /// # Panics
    /// Panics if the method or the path is not valid.
    pub fn request(&self, method: &str, path: &str, body: impl Into<Body>) -> Request<Body> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(body.into())
            .expect("a valid request")
    }

    async fn exchange(&self, request: Request<Body>, started: Instant) -> Answer {
        let mut answer = Answer::default();
        let Ok(response) = self.client.send("ask", request).await else {
            return answer;
        };
        answer.status = response.status().as_u16();
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        answer.request_id = header("x-request-id");
        answer.execution = header("x-execution");
        answer.retry_after = header("retry-after").parse().ok();
        if header("content-type").starts_with("text/event-stream") {
            read_stream(response.into_body(), started, &mut answer).await;
            return answer;
        }
        match net::collect(response.into_body(), ANSWER_LIMIT).await {
            Ok(bytes) => {
                answer.complete = true;
                answer.time_to_first_token = Some(started.elapsed());
                match serde_json::from_slice::<Value>(&bytes) {
                    Ok(json) => read_json(&json, &mut answer),
                    Err(_) => answer.text = String::from_utf8_lossy(&bytes).into_owned(),
                }
            }
            Err(reason) => answer.code = reason,
        }
        answer
    }
}

fn read_json(json: &Value, answer: &mut Answer) {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let choice = &json["choices"][0];
    answer.text = match choice.get("message") {
        Some(message) => text(&message["content"]),
        None => text(&choice["text"]),
    };
    answer.usage = json["usage"]["total_tokens"].as_u64().unwrap_or(0);
    if let Some(error) = json.get("error") {
        answer.code = text(&error["code"]);
        answer.execution = text(&error["execution"]);
        answer.request_id = text(&error["request_id"]);
    }
}

async fn read_stream(body: hyper::body::Incoming, started: Instant, answer: &mut Answer) {
    let mut events = Box::pin(BodyDataStream::new(body).eventsource());
    let mut last = started;
    while let Some(Ok(event)) = events.next().await {
        let now = Instant::now();
        if event.data == "[DONE]" {
            answer.complete = true;
            continue;
        }
        let Ok(json) = serde_json::from_str::<Value>(&event.data) else {
            continue;
        };
        if event.event == "error" {
            read_json(&json, answer);
            continue;
        }
        if let Some(content) = json["choices"][0]["delta"]["content"].as_str() {
            answer.text.push_str(content);
            match answer.time_to_first_token {
                None => answer.time_to_first_token = Some(started.elapsed()),
                Some(_) => answer.token_intervals.push(now - last),
            }
            last = now;
        }
        if let Some(total) = json["usage"]["total_tokens"].as_u64() {
            answer.usage = total;
        }
    }
}
