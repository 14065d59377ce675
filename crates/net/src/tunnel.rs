//! Tunnels: connections that another process opens on behalf of this one, and whose bytes it passes on.
//!
//! A tunnel is requested over HTTP/1.1 with an `Upgrade`. The process at the other end, the relay, connects to the
//! target by its own means, and answers `101 Switching Protocols`.

use crate::body::Body;
use crate::exec;
use crate::server::ServerIo;
use http::header::{CONNECTION, UPGRADE};
use http::{HeaderName, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::upgrade::Upgraded;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;

/// The name of the protocol in the `Upgrade` header.
const PROTOCOL: &str = "tcp-tunnel";
/// The header that names the target.
const TARGET: HeaderName = HeaderName::from_static("tunnel-target");
/// The size of the buffer for each direction of a tunnel, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;

/// Why a tunnel was not opened.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TunnelError {
    /// The relay opens no tunnel to this target now.
    #[error("{0} opens no tunnel")]
    Declined(SocketAddr),
    /// The relay can't reach the target.
    #[error("{0} can't reach the target")]
    TargetUnreachable(SocketAddr),
    /// The relay does not answer.
    #[error("no answer of {0}: {1}")]
    NoAnswer(SocketAddr, String),
}

/// Opens a tunnel to `target` through the process that listens at `relay`.
///
/// # Errors
/// Fails if the relay opens no tunnel within `limit`. Nothing was sent to the target then.
pub async fn open_tunnel(
    relay: SocketAddr,
    path: &str,
    target: &str,
    limit: Duration,
) -> Result<Upgraded, TunnelError> {
    let no_answer = |reason: String| TunnelError::NoAnswer(relay, reason);
    let opening = async {
        let stream = TcpStream::connect(relay).await.map_err(|error| no_answer(error.to_string()))?;
        crate::dial::configure_socket(&stream).map_err(|error| no_answer(error.to_string()))?;
        let request = Request::get(path)
            .header(CONNECTION, "upgrade")
            .header(UPGRADE, PROTOCOL)
            .header(TARGET, target)
            .body(Body::empty())
            .map_err(|error| no_answer(error.to_string()))?;
        let (mut sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(|error| no_answer(error.to_string()))?;
        exec::spawn(connection.with_upgrades()).detach();
        let response = sender.send_request(request).await.map_err(|error| no_answer(error.to_string()))?;
        match response.status() {
            StatusCode::SWITCHING_PROTOCOLS => {
                hyper::upgrade::on(response).await.map_err(|error| no_answer(error.to_string()))
            }
            StatusCode::BAD_GATEWAY => Err(TunnelError::TargetUnreachable(relay)),
            _ => Err(TunnelError::Declined(relay)),
        }
    };
    let timeout = || no_answer(format!("none within {} ms", limit.as_millis()));
    exec::timeout(limit, opening).await.unwrap_or_else(|| Err(timeout()))
}

/// The target that a request for a tunnel names; `None` if this is no such request.
pub fn tunnel_target(request: &Request<Incoming>) -> Option<&str> {
    let is_tunnel = request.headers().get(UPGRADE)?.as_bytes().eq_ignore_ascii_case(PROTOCOL.as_bytes());
    request.headers().get(TARGET).filter(|_| is_tunnel)?.to_str().ok()
}

/// Accepts a request for a tunnel to `target`, and passes bytes on until either end closes. Calls `on_bytes` with
/// the length of each chunk. `held` is dropped when the tunnel is closed.
///
/// The server that received the request must allow upgrades.
pub fn accept_tunnel(
    request: Request<Incoming>,
    target: TcpStream,
    on_bytes: impl Fn(usize) + Send + Sync + 'static,
    held: impl Send + 'static,
) -> Response<Body> {
    exec::spawn(async move {
        let _held = held;
        let Ok(upgraded) = hyper::upgrade::on(request).await else { return };
        let Ok(parts) = upgraded.downcast::<ServerIo>() else { return };
        let mut target = target;
        if target.write_all(&parts.read_buf).await.is_ok() {
            forward(parts.io.into_inner().into_inner(), target, &on_bytes).await;
        }
    })
    .detach();
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    response.headers_mut().insert(CONNECTION, http::HeaderValue::from_static("upgrade"));
    response.headers_mut().insert(UPGRADE, http::HeaderValue::from_static(PROTOCOL));
    response
}

/// How one direction of a tunnel ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// The sender closed its connection.
    Closed,
    /// The sender's connection broke.
    SenderBroke,
    /// The receiver accepts no more bytes.
    ReceiverBroke,
}

/// Passes bytes on between the process that requested a tunnel and its target.
async fn forward(origin: TcpStream, target: TcpStream, on_bytes: &impl Fn(usize)) {
    let back = async { pump(target.clone(), origin.clone(), on_bytes).await };
    let there = async {
        match pump(origin.clone(), target.clone(), on_bytes).await {
            // The target may have answered before it closed its connection.
            End::ReceiverBroke => std::future::pending().await,
            End::Closed | End::SenderBroke => End::Closed,
        }
    };
    let end = smol::future::or(back, there).await;
    if end == End::SenderBroke {
        // An answer that ends with its connection must not seem to be complete, so the break is passed on.
        let _ = SockRef::from(&origin).set_linger(Some(Duration::ZERO));
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, on_bytes: &impl Fn(usize)) -> End {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) => return End::Closed,
            Ok(count) => count,
            Err(_) => return End::SenderBroke,
        };
        on_bytes(count);
        if to.write_all(&buffer[..count]).await.is_err() {
            return End::ReceiverBroke;
        }
    }
}
