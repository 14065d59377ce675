//! Brittle upstreams, and what gateways tell each other of them. The decisions are in [`route::placement`].

use crate::node::Node;
use crate::ports::Wire;
use store::rows::Rows;

/// Records that an upstream's answer says that it is brittle, and tells the other gateways if they need to know.
pub(crate) fn observe<W: Wire, S: Rows>(node: &Node<W, S>, upstream: &str, tolerated_per_s: f64) {
    let now = node.now();
    let service = node.placer().observe_brittle(upstream, tolerated_per_s, now).map(str::to_owned);
    if let Some(service) = service {
        log::info!(
            "upstream: event=brittle service={service} tolerates-per-s={tolerated_per_s} told-by={upstream}"
        );
        node.hints.announce_brittle(&service, tolerated_per_s);
    }
}

/// Records that an upstream rejected a request for want of room, and tells the gateways that share its places if they
/// need to know.
pub(crate) fn record_rejection<W: Wire, S: Rows>(node: &Node<W, S>, upstream: &str) {
    if !node.placer().record_rejection(upstream, node.now()) {
        return;
    }
    log::info!("upstream: event=full upstream={upstream}");
    let sharing = node.owners.addresses(|gateway| node.placer().shares_places(upstream, gateway));
    node.hints.announce_full(upstream, sharing);
}

/// Records what another gateway reports.
pub(crate) fn apply_hint<W: Wire, S: Rows>(node: &Node<W, S>, service: &str, tolerated_per_s: f64) {
    if node.placer().record_brittle_hint(service, tolerated_per_s, node.now()) {
        log::info!(
            "upstream: event=brittle service={service} tolerates-per-s={tolerated_per_s} told-by=gateway"
        );
    }
}
