//! The callers' listener: authentication, dispatch by path, and deduplication by idempotency key.

use crate::clock::Clock;
use crate::job::{self, Job};
use crate::model_request::ModelRequest;
use crate::node::{Access, ActiveBundle, Node, Phase};
use crate::ports::Ports;
use crate::refusal::Refusal;
use crate::shared_answer::{Lookup, SharedAnswer, key_mismatch};
use crate::{forward, service};
use bundle::hash_key;
use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::{Bytes, Incoming};
use net::{Body, exec};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// The `Retry-After` time of a router that is stopping or has no bundle, in milliseconds.
const RETRY_ELSEWHERE_MS: u64 = 1_000;
/// The header that holds the id of a request.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// A request with a valid access key.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    /// The id of the request, unique in the fleet.
    pub id: String,
    pub access: Access,
    pub bundle: Arc<ActiveBundle>,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Whether another router forwarded the request.
    pub forwarded: bool,
}

impl AdmittedRequest {
    /// The key of the request's shared answer; `None` without an idempotency key.
    pub(crate) fn answer_key(&self) -> Option<String> {
        self.key.as_ref().map(|key| format!("{}|{key}", self.access.budget))
    }
}

/// Answers a request of a caller.
pub(crate) async fn answer<W: Ports>(node: Arc<Node<W>>, request: Request<Incoming>) -> Response<Body> {
    let id = Uuid::new_v4().to_string();
    node.open_requests.fetch_add(1, Ordering::Relaxed);
    node.metrics.open.inc();
    // Boxed, so that the connection does not hold the memory of this future while it streams the answer.
    let mut response = match Box::pin(handle(&node, &id, request)).await {
        Ok(response) => response,
        Err(refusal) => {
            node.metrics.refusals.with_label_values(&[refusal.code]).inc();
            log::info!("caller: request={id} refused: {refusal} ({})", refusal.execution.name());
            refusal.response(&id)
        }
    };
    node.open_requests.fetch_sub(1, Ordering::Relaxed);
    node.metrics.open.dec();
    if !response.headers().contains_key(REQUEST_ID)
        && let Ok(value) = HeaderValue::from_str(&id)
    {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

async fn handle<W: Ports>(
    node: &Arc<Node<W>>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let bundle = node.bundle();
    check_phase(node, &bundle)?;
    let access = authenticate(&bundle, &request)?;
    let key = idempotency_key(&request)?;
    let forwarded = request.headers().contains_key(forward::FORWARDED);
    let admitted = AdmittedRequest { id: id.to_owned(), access, bundle, key, forwarded };
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/models") => Ok(list_models(&admitted.bundle)),
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            answer_model_request(node, admitted, path, request).await
        }
        _ if path.starts_with("/services/") => service::answer(node, admitted, request).await,
        (_, "/v1/models" | "/v1/chat/completions" | "/v1/completions") => {
            let message = format!("{} is not allowed on {path}", request.method());
            Err(Refusal::not_run(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", "parse", message))
        }
        _ => {
            let message = format!("{path} is not known");
            Err(Refusal::not_run(StatusCode::NOT_FOUND, "not_found", "parse", message))
        }
    }
}

fn check_phase<W: Ports>(node: &Node<W>, bundle: &ActiveBundle) -> Result<(), Refusal> {
    let refuse = |code, message: &str| {
        Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, code, "accept", message.to_owned())
            .retry_after(RETRY_ELSEWHERE_MS))
    };
    if node.phase() == Phase::Draining {
        return refuse("stopping", "this router is stopping; ask again and another one will answer");
    }
    if bundle.sequence == 0 {
        return refuse("no_bundle", "this router has no bundle yet; ask again and another one will answer");
    }
    Ok(())
}

fn authenticate(bundle: &ActiveBundle, request: &Request<Incoming>) -> Result<Access, Refusal> {
    let value = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let refuse = |message: &str| {
        Refusal::not_run(StatusCode::UNAUTHORIZED, "invalid_api_key", "authenticate", message.to_owned())
    };
    let token = value
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| refuse("the header must be Authorization: Bearer <key>"))?;
    bundle.keys.get(&hash_key(token)).cloned().ok_or_else(|| refuse("this key is not known"))
}

fn idempotency_key(request: &Request<Incoming>) -> Result<Option<String>, Refusal> {
    let Some(value) = request.headers().get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.to_owned())),
        _ => {
            let message = format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} visible ASCII characters");
            Err(Refusal::bad_request("parse", "invalid_idempotency_key", message))
        }
    }
}

fn list_models(bundle: &ActiveBundle) -> Response<Body> {
    let list: Vec<_> = bundle
        .content
        .models
        .keys()
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "tallypaddle"}))
        .collect();
    let mut response = Response::new(Body::from(json!({"object": "list", "data": list}).to_string()));
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}

/// Reads a whole body within the limits on size and time.
pub(crate) async fn read_body<W: Ports>(
    node: &Node<W>,
    bundle: &ActiveBundle,
    body: Incoming,
) -> Result<Bytes, Refusal> {
    let limit = bundle.content.limits.body_bytes;
    let time = crate::settings::millis(node.settings.limits.body_ms);
    match exec::timeout(time, net::collect(body, limit)).await {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(reason)) if reason.contains("length limit") => {
            let message = format!("the body is larger than {limit} bytes");
            Err(Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", "read", message))
        }
        Some(Err(reason)) => {
            Err(Refusal::bad_request("read", "body_broken", format!("the body broke off: {reason}")))
        }
        None => {
            let message = format!("the body did not arrive within {} ms", time.as_millis());
            Err(Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "body_too_slow", "read", message))
        }
    }
}

async fn answer_model_request<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: AdmittedRequest,
    path: String,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = request.into_parts();
    let body = read_body(node, &admitted.bundle, body).await?;
    let model_request = ModelRequest::read(&body, &admitted.bundle.content)?;
    let shared = SharedAnswer::new(&admitted.id, xxh3_64(&body), admitted.key.is_some());
    if let Some(response) = find_existing_run(node, &admitted, &shared, &parts, &body).await? {
        return Ok(response);
    }
    let response = shared.clone().follow();
    node.records.begin(&admitted.id, &admitted.access.budget, admitted.bundle.sequence);
    node.schedule.earn_retry();
    node.open_requests.fetch_add(1, Ordering::Relaxed);
    let job = Job { node: node.clone(), admitted, path, model_request, answer: shared, head: parts, body };
    exec::spawn(job::run(job)).detach();
    Ok(response.await)
}

/// Answers a request with an idempotency key from an earlier run on this or another router. Returns `None` if
/// the request has no key or must be run here.
pub(crate) async fn find_existing_run<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    shared: &Arc<SharedAnswer>,
    head: &Parts,
    body: &Bytes,
) -> Result<Option<Response<Body>>, Refusal> {
    let Some(key) = admitted.answer_key() else {
        return Ok(None);
    };
    match node.shared_answers.find_or_insert(&key, shared, node.clock.now()) {
        // The earlier request was forwarded, perhaps to the router that forwards this one: waiting for its
        // answer could be a deadlock.
        Lookup::Same(earlier) if admitted.forwarded && earlier.is_from_peer() => return Ok(None),
        Lookup::Same(earlier) => {
            log::info!("caller: request={} follows the answer of request={}", admitted.id, earlier.request);
            return Ok(Some(follow_run(earlier).await));
        }
        Lookup::Mismatch => return Err(key_mismatch()),
        Lookup::New => {}
    }
    shared.set_from_peer(true);
    let Some(answer) = forward::forward_to_runner(node, admitted, &key, head, body).await else {
        shared.set_from_peer(false);
        return Ok(None);
    };
    // Other callers may follow this answer already, so the response is copied to it.
    let response = shared.clone().follow();
    let (node, shared) = (node.clone(), shared.clone());
    exec::spawn(async move {
        shared.copy_from(answer).await;
        node.shared_answers.remove(&key);
    })
    .detach();
    Ok(Some(response.await))
}

/// Answers a caller from the run of an earlier request, whose id the response names.
async fn follow_run(shared: Arc<SharedAnswer>) -> Response<Body> {
    let first = HeaderValue::from_str(&shared.request);
    let mut response = shared.follow().await;
    if let Ok(first) = first {
        response.headers_mut().insert(REQUEST_ID, first);
    }
    response.headers_mut().insert("x-idempotent-replay", HeaderValue::from_static("true"));
    response
}
