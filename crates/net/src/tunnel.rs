//! Tunnels: connections that another process opens on behalf of this one, and whose bytes it passes on.
//!
//! A tunnel is requested over HTTP/1.1 with an `Upgrade`. The process at the other end, the relay, connects to the
//! target by its own means, and answers `101 Switching Protocols`. The bytes of the target come in [frames](crate::frame),
//! or as they are if one of the two processes is of an earlier build.

use crate::body::Body;
use crate::exec;
use crate::frame::{self, END_FRAME, HEADER_LENGTH, MAX_CONTENT};
use crate::server::ServerIo;
use http::header::{CONNECTION, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::upgrade::Upgraded;
use smol::io::{AsyncReadExt, AsyncWriteExt, BufReader, Chain, Cursor};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// The header that names the target.
const TARGET: HeaderName = HeaderName::from_static("tunnel-target");
/// The size of the buffer for each direction of a tunnel, in bytes.
const BUFFER_SIZE: usize = MAX_CONTENT;

/// The size of the buffer for bytes that are discarded.
const DISCARD_BUFFER: usize = 2_048;
/// How long a requester may take to receive the last bytes of the target and to close the tunnel.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// How a tunnel carries the bytes of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Protocol {
    /// In frames, the last of which says that the target closed its connection in order.
    Framed,
    /// As they are, so that the end of the target can't be told from that of the relay.
    Plain,
}

impl Protocol {
    /// The better one of those that the `Upgrade` headers name.
    fn of(headers: &HeaderMap) -> Option<Protocol> {
        let named = || headers.get_all(UPGRADE).iter().filter_map(|value| value.to_str().ok());
        let is_named = |protocol: &Protocol| {
            let mut names = named().flat_map(|value| value.split(','));
            names.any(|name| name.trim_ascii().eq_ignore_ascii_case(protocol.name()))
        };
        [Protocol::Framed, Protocol::Plain].into_iter().find(is_named)
    }

    /// The name in the `Upgrade` header.
    const fn name(self) -> &'static str {
        match self {
            Protocol::Framed => "tcp-tunnel/2",
            Protocol::Plain => "tcp-tunnel",
        }
    }
}

/// The requester's end of a tunnel.
#[derive(Debug)]
pub struct Tunnel {
    input: Input,
    output: FuturesIo<TcpStream>,
}

/// What arrives from the relay: first what came with its answer.
type Arriving = Chain<Cursor<Bytes>, TcpStream>;

#[derive(Debug)]
enum Input {
    Framed(frame::Reader<BufReader<Arriving>>),
    Plain(FuturesIo<Arriving>),
}

impl Tunnel {
    fn new(upgraded: Upgraded, protocol: Protocol) -> Option<Tunnel> {
        let parts = upgraded.downcast::<FuturesIo<TcpStream>>().ok()?;
        let stream = parts.io.into_inner();
        let arriving = Cursor::new(parts.read_buf).chain(stream.clone());
        let input = match protocol {
            Protocol::Framed => {
                Input::Framed(frame::Reader::new(BufReader::with_capacity(BUFFER_SIZE, arriving)))
            }
            Protocol::Plain => Input::Plain(FuturesIo::new(arriving)),
        };
        Some(Tunnel { input, output: FuturesIo::new(stream) })
    }

    /// Whether the tunnel ends in order only if its target closed its connection so. Relays of earlier builds end a
    /// tunnel in order when they end themselves.
    pub fn tells_end(&self) -> bool {
        matches!(self.input, Input::Framed(_))
    }
}

impl Read for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut self.input {
            Input::Framed(input) => Pin::new(input).poll_read(context, buffer),
            Input::Plain(input) => Pin::new(input).poll_read(context, buffer),
        }
    }
}

impl Write for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.output).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.output).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.output.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.output).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.output).poll_shutdown(context)
    }
}

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
) -> Result<Tunnel, TunnelError> {
    let no_answer = |reason: String| TunnelError::NoAnswer(relay, reason);
    let opening = async {
        let stream = TcpStream::connect(relay).await.map_err(|error| no_answer(error.to_string()))?;
        crate::dial::configure_socket(&stream).map_err(|error| no_answer(error.to_string()))?;
        let request = Request::get(path)
            .header(CONNECTION, "upgrade")
            // Relays of earlier builds read the first header only.
            .header(UPGRADE, Protocol::Plain.name())
            .header(UPGRADE, Protocol::Framed.name())
            .header(TARGET, target)
            .body(Body::empty())
            .map_err(|error| no_answer(error.to_string()))?;
        let (mut sender, connection) =
            http1::handshake(FuturesIo::new(stream)).await.map_err(|error| no_answer(error.to_string()))?;
        exec::spawn(connection.with_upgrades()).detach();
        let response = sender.send_request(request).await.map_err(|error| no_answer(error.to_string()))?;
        match response.status() {
            StatusCode::SWITCHING_PROTOCOLS => {
                let protocol = Protocol::of(response.headers());
                let upgraded =
                    hyper::upgrade::on(response).await.map_err(|error| no_answer(error.to_string()))?;
                protocol
                    .and_then(|protocol| Tunnel::new(upgraded, protocol))
                    .ok_or_else(|| no_answer("it speaks another protocol".to_owned()))
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
    Protocol::of(request.headers())?;
    request.headers().get(TARGET)?.to_str().ok()
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
    let protocol = Protocol::of(request.headers()).unwrap_or(Protocol::Plain);
    exec::spawn(async move {
        let _held = held;
        let Ok(upgraded) = hyper::upgrade::on(request).await else { return };
        let Ok(parts) = upgraded.downcast::<ServerIo>() else { return };
        let mut target = target;
        if target.write_all(&parts.read_buf).await.is_ok() {
            forward(parts.io.into_inner().into_inner(), target, protocol, &on_bytes).await;
        }
    })
    .detach();
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("upgrade"));
    response.headers_mut().insert(UPGRADE, HeaderValue::from_static(protocol.name()));
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
async fn forward(origin: TcpStream, target: TcpStream, protocol: Protocol, on_bytes: &impl Fn(usize)) {
    let back = pump_back(target.clone(), origin.clone(), protocol, on_bytes);
    let there = async {
        match pump(origin.clone(), target, Protocol::Plain, on_bytes).await {
            // The target may have answered before it closed its connection.
            End::ReceiverBroke => std::future::pending().await,
            End::Closed | End::SenderBroke => End::Closed,
        }
    };
    match smol::future::or(back, there).await {
        End::Closed => {
            // A connection that is closed while bytes of its requester are unread is reset, and what the requester
            // has not received yet is lost.
            let _ = origin.shutdown(Shutdown::Write);
            exec::timeout(LINGER_TIME, discard(origin)).await;
        }
        End::SenderBroke => {
            // An answer that ends with its connection must not seem to be complete, so the break is passed on.
            let _ = SockRef::from(&origin).set_linger(Some(Duration::ZERO));
        }
        End::ReceiverBroke => {}
    }
}

/// Reads a connection until it is closed.
async fn discard(mut from: TcpStream) {
    let mut buffer = [0; DISCARD_BUFFER];
    while let Ok(1..) = from.read(&mut buffer).await {}
}

/// Passes the bytes of the target on, and says that it closed in order if the protocol can.
async fn pump_back(
    target: TcpStream,
    mut origin: TcpStream,
    protocol: Protocol,
    on_bytes: &impl Fn(usize),
) -> End {
    let end = pump(target, origin.clone(), protocol, on_bytes).await;
    if (end, protocol) == (End::Closed, Protocol::Framed) && origin.write_all(&END_FRAME).await.is_err() {
        return End::ReceiverBroke;
    }
    end
}

/// Passes bytes on until the sender or the receiver ends, and puts each chunk into a frame if the protocol has them.
async fn pump(mut from: TcpStream, mut to: TcpStream, protocol: Protocol, on_bytes: &impl Fn(usize)) -> End {
    let start = match protocol {
        Protocol::Framed => HEADER_LENGTH,
        Protocol::Plain => 0,
    };
    let mut buffer = vec![0; start + BUFFER_SIZE];
    loop {
        let count = match from.read(&mut buffer[start..]).await {
            Ok(0) => return End::Closed,
            Ok(count) => count,
            Err(_) => return End::SenderBroke,
        };
        on_bytes(count);
        buffer[..start].copy_from_slice(&frame::data_header(count)[..start]);
        if to.write_all(&buffer[..start + count]).await.is_err() {
            return End::ReceiverBroke;
        }
    }
}
