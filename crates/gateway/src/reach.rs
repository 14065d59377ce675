//! How this gateway reaches the upstreams.

use crate::metrics::Metrics;
use net::Dial;
use smol::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Opens connections to upstreams, and counts the attempts by outcome.
pub(crate) struct Dialer<'a> {
    pub metrics: &'a Metrics,
}

impl Dial for Dialer<'_> {
    async fn dial(&self, peer: SocketAddr) -> io::Result<TcpStream> {
        let connected = net::connect(peer).await;
        self.metrics.connection_attempts.with_label_values(&[outcome(&connected)]).inc();
        connected
    }
}

/// The outcome of a connection attempt as a label.
fn outcome(connected: &io::Result<TcpStream>) -> &'static str {
    match connected.as_ref().map_err(io::Error::kind) {
        Ok(_) => "opened",
        Err(ErrorKind::ConnectionRefused) => "refused",
        Err(ErrorKind::TimedOut) => "timed-out",
        Err(_) => "failed",
    }
}
