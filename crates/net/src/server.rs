//! An HTTP/1.1 server that can shut down without interrupting answers in progress.

use crate::clock::Clock;
use crate::exec;
use crate::watched::{StallLimit, Watched};
use async_channel::{Receiver, Sender};
use http::header::CONTENT_LENGTH;
use http::{Request, Response, Version};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1::{self, Connection, UpgradeableConnection};
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::{Domain, SockRef, Socket, Type};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// The maximum number of connections that wait to be accepted.
const MAX_BACKLOG: i32 = 4_096;

/// Resource limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of header fields in a request.
    pub headers: usize,
    /// The read buffer of a connection, in bytes.
    pub buffer: usize,
    /// The time limit for receiving the head of a request.
    pub head_time: Duration,
    /// The maximum number of open connections.
    pub connections: usize,
    /// A connection is closed if its peer accepts no bytes of a response for this long; `None` if it may
    /// block forever.
    pub write_stall: Option<Duration>,
    /// Whether a request may turn its connection into a tunnel.
    pub allows_upgrades: bool,
    /// The kernel's send buffer of a connection, in bytes; `None` lets the kernel adapt it, to several
    /// megabytes.
    pub send_buffer: Option<usize>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            headers: 64,
            buffer: 16 * 1024,
            head_time: Duration::from_secs(10),
            connections: 20_000,
            write_stall: None,
            allows_upgrades: false,
            send_buffer: None,
        }
    }
}

/// The I/O of a server's connection.
pub(crate) type ServerIo = Watched<FuturesIo<TcpStream>>;

/// Marks a response to a request whose body was not read to its end, as an extension of the response. After the
/// response, what the peer still sends is discarded for up to a second: closing the connection at once would
/// reset it, and the peer might lose the response.
#[derive(Clone, Copy, Debug)]
pub struct UnreadRequest;

/// Controls a running server.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    stalled: Arc<AtomicU64>,
    stop: Sender<()>,
    is_aborted: Arc<AtomicBool>,
}

impl Handle {
    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts the connections that were closed because their peer accepted no bytes.
    pub fn stalled_connections(&self) -> Arc<AtomicU64> {
        self.stalled.clone()
    }

    /// Closes the listener at once, and each connection when its current answer is complete.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Closes the listener and all connections at once, as if the process had ended. Connections that
    /// [`Handle::stop`] is already closing still complete their answers.
    pub fn abort(&self) {
        self.is_aborted.store(true, Ordering::Relaxed);
        self.stop.close();
    }
}

/// Tells the tasks of a server that it was stopped or aborted.
#[derive(Clone, Debug)]
struct StopSignal {
    stopped: Receiver<()>,
    is_aborted: Arc<AtomicBool>,
}

impl StopSignal {
    /// Waits until the server is stopped or aborted.
    async fn wait(&self) {
        let _ = self.stopped.recv().await;
    }
}

/// Listens on `address` and answers each request with `service`.
///
/// # Errors
/// Fails if the address can't be bound.
pub async fn serve<S, F, B>(address: SocketAddr, limits: Limits, service: S) -> io::Result<Handle>
where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let is_aborted = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicUsize::new(0));
    let stalled = Arc::new(AtomicU64::new(0));
    let handle = Handle {
        address,
        open: open.clone(),
        stalled: stalled.clone(),
        stop,
        is_aborted: is_aborted.clone(),
    };
    let stopped = StopSignal { stopped, is_aborted };
    let clock = Clock::default();
    let stall_limit = limits.write_stall.map(|limit| StallLimit { limit, clock, stalled });
    exec::spawn(accept(listener, limits, stall_limit, service, stopped, open)).detach();
    Ok(handle)
}

/// Binds with a backlog that holds a burst of connections: with the usual 128, further callers wait for a
/// second.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(MAX_BACKLOG)?;
    TcpListener::try_from(std::net::TcpListener::from(socket))
}

async fn accept<S, F, B>(
    listener: TcpListener,
    limits: Limits,
    stall_limit: Option<StallLimit>,
    service: S,
    stopped: StopSignal,
    open: Arc<AtomicUsize>,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    loop {
        let next = async { Some(listener.accept().await) };
        let ended = async {
            stopped.wait().await;
            None
        };
        match smol::future::or(next, ended).await {
            None => return,
            Some(Err(error)) => {
                log::warn!("net: accept failed: {error}");
                exec::sleep(Duration::from_millis(50)).await;
            }
            Some(Ok((stream, _))) if open.load(Ordering::Relaxed) >= limits.connections => {
                log::warn!("net: connection refused, {} are open", limits.connections);
                drop(stream);
            }
            Some(Ok((stream, peer))) => {
                open.fetch_add(1, Ordering::Relaxed);
                set_options(&stream, &limits);
                let io = Watched::new(FuturesIo::new(stream.clone()), Some(peer), stall_limit.clone());
                let connection = serve_connection_until_stopped(io, limits, service.clone(), stopped.clone());
                let open = open.clone();
                exec::spawn(async move {
                    if connection.await == Close::Reset {
                        // The error of a socket that is closed already does not matter.
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    }
                    drop(stream);
                    open.fetch_sub(1, Ordering::Relaxed);
                })
                .detach();
            }
        }
    }
}

/// Sets the options of an accepted socket. A connection without them works as well.
fn set_options(stream: &TcpStream, limits: &Limits) {
    let _ = stream.set_nodelay(true);
    if let Some(bytes) = limits.send_buffer {
        let _ = SockRef::from(stream).set_send_buffer_size(bytes);
    }
}

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Close {
    InOrder,
    /// The peer would otherwise take a response that was broken off for a complete one.
    Reset,
}

/// Whether a response to a request of this version ends with its connection, since it has neither a length nor chunks.
fn ends_with_connection<B: http_body::Body>(version: Version, response: &Response<B>) -> bool {
    let has_length =
        response.headers().contains_key(CONTENT_LENGTH) || response.body().size_hint().exact().is_some();
    version == Version::HTTP_10 && !has_length
}

async fn serve_connection_until_stopped<S, F, B>(
    io: ServerIo,
    limits: Limits,
    service: S,
    stopped: StopSignal,
) -> Close
where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let lingers = io.lingers();
    let is_unframed = Arc::new(AtomicBool::new(false));
    let is_response_unframed = is_unframed.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        let answer = service(request);
        let (lingers, is_unframed) = (lingers.clone(), is_response_unframed.clone());
        async move {
            let response = answer.await;
            is_unframed.store(ends_with_connection(version, &response), Ordering::Relaxed);
            if response.extensions().get::<UnreadRequest>().is_some() {
                lingers.store(true, Ordering::Relaxed);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_time)
        .max_headers(limits.headers)
        .max_buf_size(limits.buffer)
        .serve_connection(io, service);
    let result = match limits.allows_upgrades {
        true => {
            run_until_stopped(connection.with_upgrades(), UpgradeableConnection::graceful_shutdown, stopped)
                .await
        }
        false => run_until_stopped(connection, Connection::graceful_shutdown, stopped).await,
    };
    match result {
        Some(Ok(())) => Close::InOrder,
        Some(Err(_)) | None if is_unframed.load(Ordering::Relaxed) => Close::Reset,
        Some(Err(_)) | None => Close::InOrder,
    }
}

/// Runs a connection until it ends, and shuts it down if the server is stopped before. Returns `None` if the server
/// is aborted before.
async fn run_until_stopped<C: Future>(
    connection: C,
    shut_down: impl FnOnce(Pin<&mut C>),
    stopped: StopSignal,
) -> Option<C::Output> {
    let mut connection = pin!(connection);
    let ended = async {
        stopped.wait().await;
        None
    };
    let result = smol::future::or(async { Some(connection.as_mut().await) }, ended).await;
    if result.is_some() || stopped.is_aborted.load(Ordering::Relaxed) {
        return result;
    }
    shut_down(connection.as_mut());
    Some(connection.await)
}
