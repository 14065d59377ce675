//! Connects to upstreams on behalf of other gateways, whose own paths are broken, or whose own connections are in use.

use crate::node::{Node, Phase};
use crate::ports::{Listing, Wire};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Loan, exec};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use store::rows::Rows;

/// The path of requests for tunnels of gateways whose own paths are broken.
pub(crate) const TUNNEL_PATH: &str = "/tunnel";
/// The path of requests for tunnels that count as connections of this gateway. Gateways of earlier builds don't know it.
pub(crate) const LOAN_PATH: &str = "/tunnel/loan";
/// How long connecting to an upstream may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The most tunnels that a gateway serves. Each takes two descriptors and 32 KB of buffers.
const MAX_TUNNELS: usize = 256;

/// Answers another gateway's request for a tunnel to an upstream.
pub(crate) async fn answer<W: Wire, S: Rows>(
    node: Arc<Node<W, S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let slot = TunnelSlot::take(&node.tunnels);
    let target =
        net::tunnel_target(&request).and_then(|name| Some((name, node.listings().get(name)?.clone())));
    let is_able = node.phase() == Phase::Serving && node.reach.is_direct() && slot.number <= MAX_TUNNELS;
    let Some((name, listing)) = target.filter(|_| is_able) else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let loan = match request.uri().path() {
        LOAN_PATH => lend(&node, name, &listing).await.map(Some),
        _ if node.load.is_shedding() => None,
        _ => Some(None),
    };
    let Some(loan) = loan else { return refuse(StatusCode::SERVICE_UNAVAILABLE) };
    match exec::timeout(CONNECT_TIMEOUT, net::connect(listing.address)).await {
        Some(Ok(stream)) => {
            let shared = node.clone();
            let on_bytes = move |bytes| shared.load.record_relayed(bytes);
            net::accept_tunnel(request, stream, on_bytes, (slot, loan))
        }
        Some(Err(_)) | None => refuse(StatusCode::BAD_GATEWAY),
    }
}

/// Counts a connection for another gateway, unless this gateway is busy or needs the rest itself.
async fn lend<W: Wire, S: Rows>(node: &Node<W, S>, upstream: &str, listing: &Listing) -> Option<Loan> {
    if !node.load.has_spare_capacity() {
        return None;
    }
    let manifest = node.manifest()?;
    let max = node.max_connections_to(upstream, &listing.service, &manifest);
    node.pool.lend(listing.address, max, route::kept(max)).await
}

fn refuse(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Counts a tunnel until it is dropped.
struct TunnelSlot {
    open: Arc<AtomicUsize>,
    /// The number of open tunnels, this one included.
    number: usize,
}

impl TunnelSlot {
    fn take(open: &Arc<AtomicUsize>) -> TunnelSlot {
        TunnelSlot { number: open.fetch_add(1, Ordering::Relaxed) + 1, open: open.clone() }
    }
}

impl Drop for TunnelSlot {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
