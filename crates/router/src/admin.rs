//! The operators' listener: liveness, readiness, metrics, status, and the records of recent requests.

use crate::clock::Clock;
use crate::node::{Node, Phase};
use crate::ports::Ports;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use net::Body;
use peer::MemberState;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Answers a request of an operator.
pub(crate) async fn answer<W: Ports>(node: Arc<Node<W>>, request: Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return reply(StatusCode::METHOD_NOT_ALLOWED, &json!({"error": "only GET is known here"}));
    }
    let path = request.uri().path();
    if let Some(id) = path.strip_prefix("/v1/requests/") {
        return match node.records.find(id) {
            Some(record) => reply(StatusCode::OK, &json!(record)),
            None => reply(
                StatusCode::NOT_FOUND,
                &json!({"error": "this router did not serve it, or too long ago"}),
            ),
        };
    }
    match path {
        "/live" => reply(StatusCode::OK, &json!({"live": true})),
        "/ready" => match not_ready_reason(&node) {
            None => reply(StatusCode::OK, &json!({"ready": true})),
            Some(reason) => {
                reply(StatusCode::SERVICE_UNAVAILABLE, &json!({"ready": false, "reason": reason}))
            }
        },
        "/metrics" => {
            let mut response = Response::new(Body::from(node.metrics.encode()));
            let media = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert("content-type", media);
            response
        }
        "/v1/status" => reply(StatusCode::OK, &status(&node)),
        _ => reply(
            StatusCode::NOT_FOUND,
            &json!({
                "error": "known are /live, /ready, /metrics, /v1/status and /v1/requests/<id>"
            }),
        ),
    }
}

fn not_ready_reason<W: Ports>(node: &Node<W>) -> Option<&'static str> {
    match node.phase() {
        Phase::Leaving | Phase::Draining => Some("it is stopping"),
        Phase::Serving if node.bundle().sequence == 0 => {
            Some("it has no bundle: neither the platform nor a peer has given one yet")
        }
        Phase::Serving if !node.has_read_loads.load(Ordering::Relaxed) => {
            Some("it has not yet asked its upstreams for their load")
        }
        Phase::Serving => None,
    }
}

fn status<W: Ports>(node: &Node<W>) -> Value {
    let now = node.clock.now();
    let bundle = node.bundle();
    let view = node.view();
    let names = |state| view.members(state, now).map(|member| member.name.clone()).collect::<Vec<_>>();
    json!({
        "name": node.settings.name,
        "incarnation": node.incarnation,
        "data-centre": node.settings.data_centre,
        "bundle": {
            "sequence": bundle.sequence,
            "manifest": bundle.manifest,
            "in-force-ms": now.saturating_sub(bundle.since),
        },
        "platform-up": node.is_platform_up(),
        "peers": {
            "alive": names(MemberState::Alive),
            "suspect": names(MemberState::Suspect),
            "gone": names(MemberState::Gone),
        },
        "upstreams": node.schedule.upstream_statuses(),
        "waiting": node.schedule.waiting(),
        "open": node.open_requests.load(Ordering::Relaxed),
        "budgets": node.grants.views(),
    })
}

fn reply(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(Body::from(value.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    response
}
