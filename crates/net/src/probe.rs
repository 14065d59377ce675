//! Whether a process listens at an address.

use crate::exec;
use smol::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// What a connection attempt says of its peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// A process accepts connections.
    Listens,
    /// The host is there, and no process listens.
    Refuses,
    /// Nothing answered in time, or the host can't be reached: that says nothing of the process.
    Silent,
}

impl ProbeResult {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ProbeResult::Listens => "listens",
            ProbeResult::Refuses => "refuses",
            ProbeResult::Silent => "silent",
        }
    }
}

/// Opens a connection to `peer` and closes it again, within `limit`.
pub async fn probe(peer: SocketAddr, limit: Duration) -> ProbeResult {
    match exec::timeout(limit, TcpStream::connect(peer)).await {
        Some(Ok(_)) => ProbeResult::Listens,
        Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refuses,
        Some(Err(_)) | None => ProbeResult::Silent,
    }
}
