//! The connections that a gateway may open to an upstream, which accepts a limited number from all gateways
//! together.
//!
//! Gateways divide the connections evenly. Where that leaves less than [`MIN_CONNECTIONS`] for each, only as
//! many gateways connect to the upstream as can have that many: the first ones after its point on the hash
//! ring of [`crate::roster`]. The others choose other upstreams.
//!
//! A gateway whose share is in use asks others for connections out of theirs, and a gateway lends what it does not need
//! itself. So callers are served wherever they connect, and an upstream has no more connections than before.

/// The fraction of an upstream's accepted connections that the gateways use together. The rest is a margin,
/// since gateways learn of each other with a delay.
const USED_FRACTION: f64 = 0.9;
/// The fewest connections that a gateway has to an upstream which it uses: one for a stream, and one for the
/// next request.
const MIN_CONNECTIONS: usize = 2;
/// The fraction of its connections to an upstream that a gateway keeps for its own requests.
const KEPT_FRACTION: f64 = 0.25;
/// The fewest upstreams of a service that a gateway should be able to connect to. If the connections don't
/// suffice for that, all gateways connect to all upstreams.
const MIN_UPSTREAMS: usize = 16;

/// An equal share of the connections that an upstream accepts, which may be none.
pub fn equal_share(accepted: usize, gateways: u64) -> usize {
    (accepted as f64 * USED_FRACTION / gateways.max(1) as f64) as usize
}

/// The number of connections to an upstream, out of the `max` that a gateway may open, which it does not lend.
pub fn kept(max: usize) -> usize {
    (max as f64 * KEPT_FRACTION).ceil() as usize
}

/// The number of gateways that connect to each of a service's upstreams.
pub(crate) fn connecting_gateways(accepted: usize, upstreams: usize, gateways: usize) -> usize {
    let connecting = equal_share(accepted, MIN_CONNECTIONS as u64);
    let is_enough = connecting.saturating_mul(upstreams) >= MIN_UPSTREAMS * gateways;
    if is_enough { connecting } else { gateways }
}

/// The connections that a gateway may open to an upstream if its equal share is `share`.
pub(crate) fn max_connections(share: usize, is_connecting: bool) -> usize {
    match (share, is_connecting) {
        (MIN_CONNECTIONS.., _) => share,
        (_, true) => MIN_CONNECTIONS,
        (_, false) => 0,
    }
}
