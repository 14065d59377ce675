//! Requests to the plain services beside the engines.
//!
//! A call without an idempotency key is streamed both ways and never repeated once a server may have seen
//! it, unless its route is repeatable and its body short. A call with a key is answered through a flight, as
//! a model request is.

use crate::claims::{self, Gate};
use crate::forward;
use crate::front::{Entry, join, read_body};
use crate::job;
use crate::node::Node;
use crate::ports::Ports;
use crate::refusal::{Execution, Refusal};
use crate::reserve::reserve;
use crate::shared_answer::Flight;
use budget::ledger::Charge;
use bundle::Service;
use http::header::{AUTHORIZATION, CONTENT_LENGTH};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use hyper::body::{Bytes, Incoming};
use net::{Body, exec};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use upstream::{Engine, Fault};
use xxhash_rust::xxh3::xxh3_64;

/// Bodies up to this many bytes are kept, so that the call can be tried at another server.
const KEPT_BYTES: u64 = 64 * 1024;
/// When a caller should come back after every server failed, in milliseconds.
const FAILED_RETRY_MS: u64 = 1_000;

/// Answers a call to a service.
pub(crate) async fn answer<W: Ports>(
    node: &Arc<Node<W>>,
    entry: Entry,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let target = Target::find(&entry, &request)?;
    node.records.begin(&entry.id, &entry.access.budget, entry.bundle.sequence);
    if entry.key.is_some() {
        return keyed(node, entry, target, request).await;
    }
    let (parts, incoming) = request.into_parts();
    let length = parts.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if length.is_none_or(|length| length <= KEPT_BYTES) && !parts.headers.contains_key("transfer-encoding") {
        let body = read_body(node, &entry.bundle, incoming).await?;
        pay(node, &entry, &target).await?;
        let result = call(node, &entry, &target, &parts, &body).await;
        settle(node, &entry, &target, result.as_ref().err());
        return result.map(|answer| forward::stream(answer, std::future::pending()));
    }
    pay(node, &entry, &target).await?;
    let body = forward::stream(Response::new(incoming), std::future::pending()).into_body();
    let address = target.addresses(&entry.id)[0];
    let result = node.engine.forward(address, target.request(&parts, body)).await;
    let result = result.map_err(|error| failed(&error.to_string(), error.fault));
    settle(node, &entry, &target, result.as_ref().err());
    result.map(|answer| forward::stream(answer, std::future::pending()))
}

/// What a call is for.
#[derive(Clone, Debug)]
struct Target {
    name: String,
    service: Service,
    /// The path and query that the server gets.
    path: String,
    repeatable: bool,
}

impl Target {
    fn find(entry: &Entry, request: &Request<Incoming>) -> Result<Target, Refusal> {
        let rest = request.uri().path().trim_start_matches("/services/");
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service = entry.bundle.content.services.get(name).cloned().ok_or_else(|| {
            let message = format!("service {name} is not known");
            Refusal::not_run(StatusCode::NOT_FOUND, "service_not_found", "parse", message)
        })?;
        let path = format!("/{path}");
        let repeatable = service.is_repeatable(&path);
        let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
        Ok(Target { name: name.to_owned(), service, path: path + &query, repeatable })
    }

    /// The servers, in an order that differs between requests.
    fn addresses(&self, request: &str) -> Vec<SocketAddr> {
        let mut addresses = self.service.addresses.clone();
        let first = xxh3_64(request.as_bytes()) as usize % addresses.len().max(1);
        addresses.rotate_left(first);
        addresses
    }

    fn request(&self, parts: &Parts, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        *request.headers_mut() = parts.headers.clone();
        forward::strip(request.headers_mut());
        request.headers_mut().remove(AUTHORIZATION);
        request
    }
}

fn failed(reason: &str, fault: Fault) -> Refusal {
    let execution = match fault {
        Fault::NotRun => Execution::NotRun,
        Fault::Unknown => Execution::Unknown,
    };
    let message = format!("the service failed: {reason}");
    Refusal::not_run(StatusCode::BAD_GATEWAY, "service_failed", "dispatch", message)
        .execution(execution)
        .retry_after(FAILED_RETRY_MS)
}

async fn pay<W: Ports>(node: &Arc<Node<W>>, entry: &Entry, target: &Target) -> Result<(), Refusal> {
    match target.service.cost {
        0 => Ok(()),
        cost => reserve(node, &entry.access.budget, cost).await,
    }
}

/// Charges a call that was or may have been executed; gives its tokens back if it certainly was not.
fn settle<W: Ports>(node: &Node<W>, entry: &Entry, target: &Target, refusal: Option<&Refusal>) {
    let tokens = target.service.cost;
    if tokens == 0 {
        return;
    }
    if refusal.is_some_and(|refusal| refusal.execution == Execution::NotRun) {
        return node.grants.release(&entry.access.budget, tokens);
    }
    let charge = Charge { request: entry.id.clone(), key: entry.key.clone(), tokens };
    node.grants.charge(&entry.access.budget, tokens, charge);
    node.metrics.charged.inc_by(tokens);
    node.records.note(&entry.id, |record| record.charge = Some(tokens));
}

/// Calls one server after the other, as long as trying again is safe.
async fn call<W: Ports>(
    node: &Node<W>,
    entry: &Entry,
    target: &Target,
    parts: &Parts,
    body: &Bytes,
) -> Result<Response<Incoming>, Refusal> {
    let mut worst = Fault::NotRun;
    let mut reason = String::new();
    for address in target.addresses(&entry.id) {
        log::info!(
            "route: request={} team={} service={} chosen={address} reason=rotation bundle={}",
            entry.id,
            entry.access.team,
            target.name,
            entry.bundle.sequence
        );
        node.metrics.decisions.with_label_values(&["rotation"]).inc();
        match node.engine.forward(address, target.request(parts, Body::from(body.clone()))).await {
            Ok(answer) => return Ok(answer),
            Err(error) => {
                node.note(&entry.id, error.to_string());
                reason = error.to_string();
                if error.fault == Fault::Unknown {
                    worst = Fault::Unknown;
                    if !target.repeatable || !node.schedule.may_retry() {
                        break;
                    }
                }
            }
        }
    }
    Err(failed(&reason, worst))
}

async fn keyed<W: Ports>(
    node: &Arc<Node<W>>,
    entry: Entry,
    target: Target,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = request.into_parts();
    let body = read_body(node, &entry.bundle, body).await?;
    let content = format!("{} {} {}", parts.method, target.path, xxh3_64(&body));
    let flight = Flight::new(&entry.id, xxh3_64(content.as_bytes()), true);
    if let Some(response) = join(node, &entry, &flight, &parts, &body).await? {
        return Ok(response);
    }
    let following = flight.clone().follow();
    node.open.fetch_add(1, Ordering::Relaxed);
    let node = node.clone();
    exec::spawn(async move {
        let result = run(&node, &entry, &target, &parts, &body, &flight).await;
        job::finish(&node, &entry, &flight, &result);
    })
    .detach();
    Ok(following.await)
}

async fn run<W: Ports>(
    node: &Arc<Node<W>>,
    entry: &Entry,
    target: &Target,
    parts: &Parts,
    body: &Bytes,
    flight: &Arc<Flight>,
) -> Result<(), Refusal> {
    if target.repeatable {
        return run_claimed(node, entry, target, parts, body, flight).await;
    }
    match claims::gate(node, entry, parts, body).await? {
        Gate::Run(claim) => {
            let result = run_claimed(node, entry, target, parts, body, flight).await;
            claims::close(node, entry, claim, &result, flight).await;
            result
        }
        Gate::Replay(answer) => {
            flight.replay(&answer);
            Ok(())
        }
        Gate::Passed(answer) => {
            flight.copy_from(answer).await;
            Ok(())
        }
    }
}

async fn run_claimed<W: Ports>(
    node: &Arc<Node<W>>,
    entry: &Entry,
    target: &Target,
    parts: &Parts,
    body: &Bytes,
    flight: &Flight,
) -> Result<(), Refusal> {
    pay(node, entry, target).await?;
    let result = call(node, entry, target, parts, body).await;
    settle(node, entry, target, result.as_ref().err());
    flight.copy_from(result?).await;
    Ok(())
}
