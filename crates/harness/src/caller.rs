//! A caller that checks that it got exactly its own answer.

use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::Request;
use http_body_util::BodyDataStream;
use net::{Body, Client};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(60);
/// The largest answer in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u64,
    /// Whether to stream.
    pub stream: bool,
    /// The idempotency key.
    pub key: Option<String>,
}

impl Ask {
    /// A request without a key, not streamed.
    pub fn new(model: &str, prompt: &str, tokens: u64) -> Ask {
        Ask { model: model.to_owned(), prompt: prompt.to_owned(), tokens, stream: false, key: None }
    }

    /// With an idempotency key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Ask {
        self.key = Some(key.to_owned());
        self
    }

    /// Streamed.
    #[must_use]
    pub fn streamed(mut self) -> Ask {
        self.stream = true;
        self
    }
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status; 0 if no answer came.
    pub status: u16,
    /// The text.
    pub text: String,
    /// The verdict on execution of an answer that says no.
    pub execution: String,
    /// The code of an answer that says no.
    pub code: String,
    /// The request's id.
    pub request: String,
    /// When to come back, in seconds.
    pub retry_after: Option<u64>,
    /// Prompt and generated tokens by the answer's usage.
    pub usage: u64,
    /// Whether the stream ended with its mark.
    pub complete: bool,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

impl Answer {
    /// Whether it is whole and exactly the answer to `ask`.
    pub fn is_whole(&self, ask: &Ask) -> bool {
        self.status == 200 && self.complete && self.text == standin::answer(&ask.prompt, ask.tokens)
    }
}

/// A caller at one router.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    key: String,
    straight: bool,
}

impl Caller {
    /// A caller with an access key.
    pub fn new(client: Client, address: SocketAddr, key: String) -> Caller {
        Caller { client, address, key, straight: false }
    }

    /// Asks an engine itself, as a router would.
    #[must_use]
    pub fn straight(mut self) -> Caller {
        self.straight = true;
        self
    }

    /// Asks a model without streaming.
    pub async fn chat(&self, model: &str, prompt: &str, tokens: u64) -> Answer {
        self.ask(&Ask::new(model, prompt, tokens)).await
    }

    /// Asks a model.
    pub async fn ask(&self, ask: &Ask) -> Answer {
        let mut body = json!({
            "model": ask.model,
            "messages": [{"role": "user", "content": ask.prompt}],
            "max_tokens": ask.tokens,
            "stream": ask.stream,
        });
        if ask.stream {
            body["stream_options"] = json!({"include_usage": true});
        }
        let mut request = self.request("POST", "/v1/chat/completions", body.to_string());
        if let Some(key) = &ask.key
            && let Ok(value) = key.parse()
        {
            request.headers_mut().insert("idempotency-key", value);
        }
        if self.straight
            && let Ok(run) = uuid::Uuid::new_v4().to_string().parse()
        {
            request.headers_mut().insert("x-run-id", run);
        }
        let begun = Instant::now();
        net::exec::timeout(PATIENCE, self.exchange(request, begun)).await.unwrap_or_default()
    }

    /// Sends any request with the caller's key and reads the whole answer.
    pub async fn send(&self, request: Request<Body>) -> Answer {
        net::exec::timeout(PATIENCE, self.exchange(request, Instant::now())).await.unwrap_or_default()
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

    async fn exchange(&self, request: Request<Body>, begun: Instant) -> Answer {
        let mut answer = Answer::default();
        let Ok(response) = self.client.send("ask", request).await else {
            return answer;
        };
        answer.status = response.status().as_u16();
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        answer.request = header("x-request-id");
        answer.execution = header("x-execution");
        answer.retry_after = header("retry-after").parse().ok();
        if header("content-type").starts_with("text/event-stream") {
            read_stream(response.into_body(), begun, &mut answer).await;
            return answer;
        }
        match net::collect(response.into_body(), ANSWER_LIMIT).await {
            Ok(bytes) => {
                answer.complete = true;
                answer.first = Some(begun.elapsed());
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
        answer.request = text(&error["request_id"]);
    }
}

async fn read_stream(body: hyper::body::Incoming, begun: Instant, answer: &mut Answer) {
    let mut events = Box::pin(BodyDataStream::new(body).eventsource());
    let mut last = begun;
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
            match answer.first {
                None => answer.first = Some(begun.elapsed()),
                Some(_) => answer.gaps.push(now - last),
            }
            last = now;
        }
        if let Some(total) = json["usage"]["total_tokens"].as_u64() {
            answer.usage = total;
        }
    }
}
