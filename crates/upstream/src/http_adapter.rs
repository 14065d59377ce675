//! A client of engines with an OpenAI-compatible HTTP API.

use crate::{Call, CancelOutcome, Engine, Error, Events, Fault, Load, Order, OrderOutcome, Reply};
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use net::{Body, Client};
use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// The header with the id of a run, which engines repeat in their answers.
const RUN_ID: &str = "x-run-id";
/// The media type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Calls engines and plain services over HTTP.
///
/// Only the answer to the start of a run names what it answers. Each request therefore has a connection of its own, on
/// which no answer to another request can arrive.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    router: String,
    start_timeout: Duration,
    call_timeout: Duration,
}

impl Http {
    /// Creates a client that identifies itself as `router`. The answer to a run, a resumed stream or a
    /// forwarded request must begin within `start_timeout`, and the answer to any other call within
    /// `call_timeout`.
    pub fn new(router: String, start_timeout: Duration, call_timeout: Duration) -> Http {
        Http { client: Client::without_reuse(), router, start_timeout, call_timeout }
    }

    async fn begin(&self, peer: SocketAddr, request: Request<Body>) -> Result<Response<Incoming>, Error> {
        match net::exec::timeout(self.start_timeout, self.client.send("start", request)).await {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(error)) => Err(convert(peer, error)),
            None => Err(Error {
                step: "start",
                peer,
                fault: Fault::Unknown,
                reason: format!("no answer within {} ms", self.start_timeout.as_millis()),
            }),
        }
    }

    async fn json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        let request = build(step, peer, method, path, Body::from(body))?;
        let answer = self
            .client
            .exchange(step, request, MAX_ANSWER_BYTES, self.call_timeout)
            .await
            .map_err(|error| convert(peer, error))?;
        serde_json::from_slice(answer.body()).map_err(|error| Error {
            step,
            peer,
            fault: Fault::Unknown,
            reason: format!("status {}: {error}", answer.status()),
        })
    }
}

fn build(
    step: &'static str,
    peer: SocketAddr,
    method: Method,
    path: &str,
    body: Body,
) -> Result<Request<Body>, Error> {
    Request::builder()
        .method(method)
        .uri(format!("http://{peer}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|error| Error { step, peer, fault: Fault::NotRun, reason: error.to_string() })
}

fn convert(peer: SocketAddr, error: net::Error) -> Error {
    let fault = match error.fault {
        net::Fault::Unsent => Fault::NotRun,
        net::Fault::Unknown => Fault::Unknown,
    };
    Error { step: error.step, peer, fault, reason: error.reason }
}

fn is_stream(answer: &Response<Incoming>) -> bool {
    let media = answer.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    media.is_some_and(|media| media.starts_with(EVENT_STREAM))
}

/// What the answer to a run must contain.
#[derive(Deserialize)]
struct Completion {
    #[serde(rename = "choices")]
    _choices: Vec<IgnoredAny>,
}

/// Checks that an answer is a whole completion. One without a length ends with its connection, so that only its form
/// tells whether it was cut off.
fn check_completion(bytes: &[u8]) -> Result<(), String> {
    let completion = serde_json::from_slice::<Completion>(bytes);
    completion.map(drop).map_err(|error| format!("not a whole completion: {error}"))
}

impl Engine for Http {
    async fn start(&self, peer: SocketAddr, call: &Call) -> Result<Reply, Error> {
        let mut request = build("start", peer, Method::POST, &call.path, Body::from(call.body.clone()))?;
        let headers = request.headers_mut();
        let texts =
            [(RUN_ID, &call.run), ("x-router", &self.router), ("x-priority", &call.priority.to_string())];
        for (name, text) in texts {
            if let Ok(value) = text.parse() {
                headers.insert(name, value);
            }
        }
        let answer = self.begin(peer, request).await?;
        let unknown = |reason: String| Error { step: "answer", peer, fault: Fault::Unknown, reason };
        let named = answer.headers().get(RUN_ID);
        let is_named = named.is_some();
        if named.is_some_and(|named| named.as_bytes() != call.run.as_bytes()) {
            return Err(unknown("the answer belongs to another run".to_owned()));
        }
        match answer.status().as_u16() {
            200 if is_stream(&answer) => Ok(Reply::Stream(Events::new(peer, answer.into_body()))),
            200 => {
                let bytes = net::collect(answer.into_body(), MAX_ANSWER_BYTES).await.map_err(unknown)?;
                check_completion(&bytes).map_err(unknown)?;
                Ok(Reply::Whole(bytes))
            }
            // Engines return a 4xx or a 503 only before they start any work.
            status @ (400..=499 | 503) => {
                let body = net::collect(answer.into_body(), MAX_ANSWER_BYTES).await.map_err(unknown)?;
                Ok(Reply::Refused { is_named, status, body })
            }
            status => Err(unknown(format!("status {status}"))),
        }
    }

    async fn resume(&self, peer: SocketAddr, run: &str, offset: u64) -> Result<Events, Error> {
        let path = format!("/v1/streams/{run}?offset={offset}");
        let request = build("resume", peer, Method::GET, &path, Body::empty())?;
        let answer = self.begin(peer, request).await?;
        if answer.status() == 200 && is_stream(&answer) {
            return Ok(Events::new(peer, answer.into_body()));
        }
        let reason = format!("status {}", answer.status());
        Err(Error { step: "resume", peer, fault: Fault::Unknown, reason })
    }

    async fn cancel(&self, peer: SocketAddr, run: &str) -> Result<CancelOutcome, Error> {
        self.json("cancel", peer, Method::DELETE, &format!("/v1/streams/{run}"), vec![]).await
    }

    async fn load(&self, peer: SocketAddr) -> Result<Load, Error> {
        self.json("load", peer, Method::GET, "/v1/load", vec![]).await
    }

    async fn order(&self, peer: SocketAddr, order: &Order) -> Result<OrderOutcome, Error> {
        let body = serde_json::to_vec(order).unwrap_or_default();
        self.json("order", peer, Method::POST, "/v1/orders", body).await
    }

    async fn forward(
        &self,
        peer: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, Error> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = format!("http://{peer}{path}").parse().map_err(|_| Error {
            step: "forward",
            peer,
            fault: Fault::NotRun,
            reason: "the path is not valid".to_owned(),
        })?;
        self.begin(peer, request).await
    }
}
