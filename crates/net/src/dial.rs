//! Opens TCP connections to upstreams.

use crate::exec;
use crate::tunnel::Tunnel;
use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

/// The time limit of a connection attempt: several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after which a connection counts as broken whose peer acknowledges neither bytes nor keepalive probes
/// (`TCP_USER_TIMEOUT`). On Linux it takes the place of the number of probes. It is longer than the silence that is
/// expected of a sound peer.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How a connection reaches its peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Directly.
    Direct,
    /// Through another process.
    Relayed,
}

/// An open connection.
#[derive(Debug)]
pub enum Transport {
    /// A TCP connection to the peer.
    Direct(TcpStream),
    /// A tunnel to the peer.
    Relayed(Box<Tunnel>),
}

/// Opens the connections of a [`Pool`](crate::Pool).
pub trait Dial: Send + Sync {
    /// The way of the idle connections that may be used. Those of the other way are closed.
    fn way(&self) -> Way;

    /// Opens a connection to `peer`.
    ///
    /// # Errors
    /// Fails if no connection could be opened. Nothing was sent then.
    fn dial(&self, peer: SocketAddr) -> impl Future<Output = io::Result<Transport>> + Send;

    /// Asks another process to open a connection, which counts as one of its own. Called while as many connections are
    /// open as this process may open itself. Nothing was sent if there is none.
    fn borrow(&self) -> impl Future<Output = Option<Tunnel>> + Send {
        async { None }
    }
}

/// Opens connections directly.
#[derive(Clone, Copy, Debug, Default)]
pub struct Direct;

impl Dial for Direct {
    fn way(&self) -> Way {
        Way::Direct
    }

    async fn dial(&self, peer: SocketAddr) -> io::Result<Transport> {
        connect(peer).await.map(Transport::Direct)
    }
}

/// Connects to `peer` directly.
///
/// # Errors
/// Fails with [`ErrorKind::TimedOut`] if the peer does not answer within half a second.
pub async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    let stream = exec::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await.ok_or_else(|| {
        let reason = format!("no connection within {} ms", CONNECT_TIMEOUT.as_millis());
        io::Error::new(ErrorKind::TimedOut, reason)
    })??;
    if let Err(error) = configure_socket(&stream) {
        log::warn!("net: event=socket-option peer={peer} error={error}");
    }
    Ok(stream)
}

/// Sets the socket options that detect a dead peer early: no delay of small writes, keepalive probes, and a
/// time limit on unacknowledged bytes.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}
