//! Calls to plain services.
//!
//! A call without an idempotency key is retried on another server only if no server can have seen it, or if
//! its route is repeatable and its body is short enough to be buffered. Longer and chunked bodies are
//! streamed, and such calls are sent once. A call with a key is answered through a shared answer, as a model
//! request is.

use crate::claims::{self, ClaimOutcome};
use crate::forward;
use crate::front::{AdmittedRequest, find_existing_run, read_body};
use crate::job;
use crate::node::Node;
use crate::ports::Ports;
use crate::refusal::{Execution, Refusal};
use crate::reserve::reserve;
use crate::shared_answer::SharedAnswer;
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

/// The largest body in bytes that is buffered, so that the call can be retried on another server.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// The `Retry-After` time after all servers failed, in milliseconds.
const FAILED_RETRY_MS: u64 = 1_000;

/// Answers a call to a service.
pub(crate) async fn answer<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: AdmittedRequest,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let target = Target::resolve(&admitted, &request)?;
    node.records.begin(&admitted.id, &admitted.access.budget, admitted.bundle.sequence);
    if admitted.key.is_some() {
        return answer_keyed(node, admitted, target, request).await;
    }
    let (parts, incoming) = request.into_parts();
    let length = parts.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if length.is_none_or(|length| length <= MAX_BUFFERED_BYTES)
        && !parts.headers.contains_key("transfer-encoding")
    {
        let body = read_body(node, &admitted.bundle, incoming).await?;
        reserve_cost(node, &admitted, &target).await?;
        let result = call_servers(node, &admitted, &target, &parts, &body).await;
        charge_or_release(node, &admitted, &target, result.as_ref().err());
        return result;
    }
    reserve_cost(node, &admitted, &target).await?;
    let body = forward::relay(Response::new(incoming), std::future::pending()).into_body();
    let address = target.addresses(&admitted.id)[0];
    let result = node.engine.forward(address, target.upstream_request(&parts, body)).await;
    let result = result.map_err(|error| service_failure(&error.to_string(), error.fault));
    charge_or_release(node, &admitted, &target, result.as_ref().err());
    result.map(|answer| forward::relay_from_service(answer, address))
}

/// The service and the path of a call.
#[derive(Clone, Debug)]
struct Target {
    name: String,
    service: Service,
    /// The path and query that are sent to the server.
    path: String,
    repeatable: bool,
}

impl Target {
    fn resolve(admitted: &AdmittedRequest, request: &Request<Incoming>) -> Result<Target, Refusal> {
        let service_path = request.uri().path().trim_start_matches("/services/");
        let (name, path) = service_path.split_once('/').unwrap_or((service_path, ""));
        let service = admitted.bundle.content.services.get(name).cloned().ok_or_else(|| {
            let message = format!("service {name} is not known");
            Refusal::not_run(StatusCode::NOT_FOUND, "service_not_found", "parse", message)
        })?;
        let path = format!("/{path}");
        let repeatable = service.is_repeatable(&path);
        let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
        Ok(Target { name: name.to_owned(), service, path: path + &query, repeatable })
    }

    /// The servers, rotated by a hash of the request's id to distribute the load.
    fn addresses(&self, request: &str) -> Vec<SocketAddr> {
        let mut addresses = self.service.addresses.clone();
        let first = xxh3_64(request.as_bytes()) as usize % addresses.len().max(1);
        addresses.rotate_left(first);
        addresses
    }

    fn upstream_request(&self, parts: &Parts, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        *request.headers_mut() = parts.headers.clone();
        forward::strip_connection_headers(request.headers_mut());
        request.headers_mut().remove(AUTHORIZATION);
        request
    }
}

fn service_failure(reason: &str, fault: Fault) -> Refusal {
    let execution = match fault {
        Fault::NotRun => Execution::NotRun,
        Fault::Unknown => Execution::Unknown,
    };
    let message = format!("the service failed: {reason}");
    Refusal::not_run(StatusCode::BAD_GATEWAY, "service_failed", "dispatch", message)
        .execution(execution)
        .retry_after(FAILED_RETRY_MS)
}

async fn reserve_cost<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    target: &Target,
) -> Result<(), Refusal> {
    match target.service.cost {
        0 => Ok(()),
        cost => reserve(node, &admitted.access.budget, cost).await,
    }
}

/// Charges a call that was or may have been executed; releases its tokens if it certainly was not.
fn charge_or_release<W: Ports>(
    node: &Node<W>,
    admitted: &AdmittedRequest,
    target: &Target,
    refusal: Option<&Refusal>,
) {
    let tokens = target.service.cost;
    if tokens == 0 {
        return;
    }
    if refusal.is_some_and(|refusal| refusal.execution == Execution::NotRun) {
        return node.grants.release(&admitted.access.budget, tokens);
    }
    let charge = Charge { request: admitted.id.clone(), key: admitted.key.clone(), tokens };
    node.grants.charge(&admitted.access.budget, tokens, charge);
    node.metrics.charged.inc_by(tokens);
    node.records.update(&admitted.id, |record| record.charge = Some(tokens));
}

/// Calls the servers in turn until one answers, as long as a retry is safe.
async fn call_servers<W: Ports>(
    node: &Node<W>,
    admitted: &AdmittedRequest,
    target: &Target,
    parts: &Parts,
    body: &Bytes,
) -> Result<Response<Body>, Refusal> {
    let mut worst = Fault::NotRun;
    let mut reason = String::new();
    for address in target.addresses(&admitted.id) {
        log::info!(
            "route: request={} team={} service={} chosen={address} reason=rotation bundle={}",
            admitted.id,
            admitted.access.team,
            target.name,
            admitted.bundle.sequence
        );
        node.metrics.decisions.with_label_values(&["rotation"]).inc();
        match node.engine.forward(address, target.upstream_request(parts, Body::from(body.clone()))).await {
            Ok(answer) => return Ok(forward::relay_from_service(answer, address)),
            Err(error) => {
                node.record_step(&admitted.id, error.to_string());
                reason = error.to_string();
                if error.fault == Fault::Unknown {
                    worst = Fault::Unknown;
                    if !target.repeatable || !node.schedule.take_retry() {
                        break;
                    }
                }
            }
        }
    }
    Err(service_failure(&reason, worst))
}

async fn answer_keyed<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: AdmittedRequest,
    target: Target,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = request.into_parts();
    let body = read_body(node, &admitted.bundle, body).await?;
    let content = format!("{} {} {}", parts.method, target.path, xxh3_64(&body));
    let shared = SharedAnswer::new(&admitted.id, xxh3_64(content.as_bytes()), true);
    if let Some(response) = find_existing_run(node, &admitted, &shared, &parts, &body).await? {
        return Ok(response);
    }
    let response = shared.clone().follow();
    node.open_requests.fetch_add(1, Ordering::Relaxed);
    let node = node.clone();
    exec::spawn(async move {
        let result = run_or_replay(&node, &admitted, &target, &parts, &body, &shared).await;
        job::finish_request(&node, &admitted, &shared, &result);
    })
    .detach();
    Ok(response.await)
}

async fn run_or_replay<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    target: &Target,
    parts: &Parts,
    body: &Bytes,
    shared: &Arc<SharedAnswer>,
) -> Result<(), Refusal> {
    if target.repeatable {
        return run_claimed(node, admitted, target, parts, body, shared).await;
    }
    match claims::claim_or_find(node, admitted, shared, parts, body).await? {
        ClaimOutcome::Run(claim) => {
            let result = run_claimed(node, admitted, target, parts, body, shared).await;
            claims::record_outcome(node, admitted, claim, &result, shared).await;
            result
        }
        ClaimOutcome::Replay(answer) => {
            shared.replay(&answer);
            Ok(())
        }
        ClaimOutcome::Relayed(answer) => {
            claims::relay_run(node, admitted, shared, answer).await;
            Ok(())
        }
    }
}

async fn run_claimed<W: Ports>(
    node: &Arc<Node<W>>,
    admitted: &AdmittedRequest,
    target: &Target,
    parts: &Parts,
    body: &Bytes,
    shared: &SharedAnswer,
) -> Result<(), Refusal> {
    reserve_cost(node, admitted, target).await?;
    let result = call_servers(node, admitted, target, parts, body).await;
    charge_or_release(node, admitted, target, result.as_ref().err());
    shared.copy_from(result?).await;
    Ok(())
}
