//! Request limits that upstreams name in their answers, and the exchange of these limits between gateways.

use crate::hints::SEND_DELAYS;
use crate::node::Node;
use crate::ports::Wire;
use net::exec;
use route::{LimitUpdate, Millis};
use std::sync::Arc;
use std::time::Duration;
use store::rows::Rows;

/// An answer of an upstream, and the request limit that it names.
pub(crate) struct Answer<'a> {
    pub upstream: &'a str,
    /// The identifier of the request.
    pub request: &'a str,
    /// When the request was dispatched.
    pub dispatched: Millis,
    /// The limit, in requests per second from all gateways together; `None` if the answer names none.
    pub per_s: Option<f64>,
}

/// Records the limit that an answer names, or that it names none, and tells the other gateways if they need
/// to know.
pub(crate) fn observe<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, answer: &Answer<'_>) {
    let Answer { upstream, request, dispatched, per_s } = *answer;
    let update = node.placer().update_limit(upstream, per_s, dispatched, node.now());
    match update {
        LimitUpdate::Unchanged => {}
        LimitUpdate::Renewed => announce(node, upstream, &SEND_DELAYS[..1]),
        LimitUpdate::Named => {
            let per_s = per_s.unwrap_or_default();
            log::info!(
                "upstream: event=limit-named upstream={upstream} per-s={per_s} told-by=answer request={request}"
            );
            node.metrics.limits_named.inc();
            announce(node, upstream, &SEND_DELAYS);
        }
        LimitUpdate::Lifted => {
            log::info!("upstream: event=limit-lifted upstream={upstream} told-by=answer request={request}");
            announce(node, upstream, &SEND_DELAYS);
        }
    }
}

/// Tells the other gateways of an upstream's limit after each of `delays`, since datagrams can be lost. Each
/// datagram carries the limit known when it is sent.
fn announce<W: Wire, S: Rows>(node: &Arc<Node<W, S>>, upstream: &str, delays: &'static [Duration]) {
    let (node, upstream) = (node.clone(), upstream.to_owned());
    exec::spawn(async move {
        for delay in delays {
            exec::sleep(*delay).await;
            let started = node.listings().get(&upstream).and_then(|listing| listing.started);
            let per_s = node.placer().limit_per_s(&upstream);
            node.hints.announce_limit(&upstream, started, per_s);
        }
    })
    .detach();
}

/// Records what another gateway reports about an upstream's limit, if the report is about the same start of
/// the upstream that is listed here.
pub(crate) fn apply_hint<W: Wire, S: Rows>(
    node: &Node<W, S>,
    upstream: &str,
    started: Option<u64>,
    per_s: Option<f64>,
) {
    let is_same_start = node.listings().get(upstream).is_some_and(|listing| listing.started == started);
    if !is_same_start || !node.placer().record_limit_hint(upstream, per_s, node.now()) {
        return;
    }
    match per_s {
        Some(per_s) => {
            log::info!("upstream: event=limit-named upstream={upstream} per-s={per_s} told-by=gateway");
        }
        None => log::info!("upstream: event=limit-lifted upstream={upstream} told-by=gateway"),
    }
}
