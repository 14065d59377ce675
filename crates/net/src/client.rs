//! An HTTP client whose errors say whether the request may have reached the peer.
//!
//! ```no_run
//! # net::exec::block_on(async {
//! let client = net::Client::new();
//! let request = http::Request::get("http://127.0.0.1:8080/live").body(net::Body::empty()).unwrap();
//! let answer = client.send("probe", request).await?;
//! # Ok::<(), net::Error>(()) }).unwrap();
//! ```

use crate::body::Body;
use crate::exec::{self, Spawner};
use crate::metered::Turn;
use crate::resumption::Resumption;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Uri, response};
use http_body::Body as _;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::{Connected, Connection};
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time limit of a complete answer, as a multiple of the time limit for its start.
const TOTAL_TIME_FACTOR: u32 = 6;
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of idle connections per peer.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The buffer size for each direction of a connection, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;

/// Whether a failed request may have reached the peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The request certainly did not reach the peer.
    Unsent,
    /// The peer may have received and executed the request.
    Unknown,
}

/// The failure of a request that got no complete answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at {peer}: {reason}")]
pub struct Error {
    /// The operation that the request belongs to.
    pub step: &'static str,
    /// The address of the peer.
    pub peer: String,
    /// Whether the request may have reached the peer.
    pub fault: Fault,
    /// The cause, as a message.
    pub reason: String,
}

/// An HTTP/1.1 client; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<Connector, Body>,
    reuses_connections: bool,
}

impl Default for Client {
    fn default() -> Self {
        Client::new()
    }
}

impl Client {
    /// Creates a client with the default limits on idle connections.
    pub fn new() -> Client {
        Client::with_idle_limits(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT)
    }

    /// Creates a client that keeps at most `max_connections` idle connections per peer, each for at most
    /// `timeout`. Meant for clients with many peers, since each peer has to hold its end open as well.
    pub fn with_idle_limits(max_connections: usize, timeout: Duration) -> Client {
        let pool = Pool::builder(Spawner)
            .pool_idle_timeout(timeout)
            .pool_max_idle_per_host(max_connections)
            .pool_timer(SmolTimer::new())
            .http1_max_buf_size(BUFFER_SIZE)
            .build(Connector);
        Client { pool, reuses_connections: max_connections > 0 }
    }

    /// Creates a client that sends each request on a new connection and asks the peer to close it after the answer.
    /// Meant for peers that may send an answer twice or late: on a connection with several requests, nothing but an
    /// identifier in the answer would tell which of them it belongs to.
    pub fn without_reuse() -> Client {
        Client::with_idle_limits(0, IDLE_TIMEOUT)
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    /// [`Error::fault`] says whether the request may have reached the peer.
    pub async fn send(
        &self,
        step: &'static str,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, Error> {
        let peer = request.uri().authority().map(ToString::to_string).unwrap_or_default();
        if !self.reuses_connections {
            request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.pool.request(request).await.map_err(|error| Error {
            step,
            peer,
            fault: if error.is_connect() { Fault::Unsent } else { Fault::Unknown },
            reason: describe(&error),
        })
    }

    /// Sends `request` and reads the complete answer of at most `limit` bytes.
    ///
    /// The answer must begin within `time`, and may not pause for longer. The whole answer may take several
    /// times as long: a large one needs it on a slow link, and would otherwise be discarded and requested
    /// again.
    ///
    /// # Errors
    /// As [`Client::send`]; a timeout counts as [`Fault::Unknown`].
    pub async fn exchange(
        &self,
        step: &'static str,
        request: Request<Body>,
        limit: usize,
        time: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let answer = self.begin(step, request, time).await?;
        answer.read(limit, time * TOTAL_TIME_FACTOR, |_| ()).await
    }

    /// Sends `request` and waits at most `time` for the head of the answer.
    ///
    /// # Errors
    /// As [`Client::send`]; a timeout counts as [`Fault::Unknown`].
    pub async fn begin(
        &self,
        step: &'static str,
        request: Request<Body>,
        time: Duration,
    ) -> Result<Answer, Error> {
        let peer = request.uri().authority().map(ToString::to_string).unwrap_or_default();
        let answer = exec::timeout(time, self.send(step, request)).await;
        let (head, body) = answer.ok_or_else(|| timeout_error(step, &peer, time))??.into_parts();
        Ok(Answer { step, peer, time, head, body })
    }
}

fn timeout_error(step: &'static str, peer: &str, time: Duration) -> Error {
    let reason = format!("no answer within {} ms", time.as_millis());
    Error { step, peer: peer.to_owned(), fault: Fault::Unknown, reason }
}

/// An answer whose head was received.
#[derive(Debug)]
pub struct Answer {
    step: &'static str,
    peer: String,
    /// The longest pause between two chunks.
    time: Duration,
    head: response::Parts,
    body: Incoming,
}

impl Answer {
    /// The length of the body in bytes, if the head names it.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the body of at most `limit` bytes within at most `max_time`. `on_data` is called with the length
    /// of each chunk.
    ///
    /// # Errors
    /// Fails if the answer is incomplete, too slow or too long.
    pub async fn read(
        self,
        limit: usize,
        max_time: Duration,
        mut on_data: impl FnMut(usize),
    ) -> Result<Response<Bytes>, Error> {
        let Answer { step, peer, time, head, body } = self;
        let mut body = Limited::new(body, limit);
        let mut read =
            PartialAnswer { step, peer: &peer, bytes: vec![], started: Instant::now(), is_complete: false };
        while let Some(frame) =
            exec::timeout(time, body.frame()).await.ok_or_else(|| timeout_error(step, &peer, time))?
        {
            let frame = frame.map_err(|error| Error {
                step,
                peer: peer.clone(),
                fault: Fault::Unknown,
                reason: error.to_string(),
            })?;
            if let Some(data) = frame.data_ref() {
                on_data(data.len());
                read.bytes.extend_from_slice(data);
            }
            if read.started.elapsed() > max_time {
                return Err(timeout_error(step, &peer, max_time));
            }
        }
        Ok(Response::from_parts(head, Bytes::from(read.finish())))
    }
}

/// The part of an answer that was received so far. Dropping it before the answer is complete logs a warning,
/// whether a time limit or the caller ended the read: the bytes used the link for nothing, and most of them
/// are requested again.
struct PartialAnswer<'a> {
    step: &'static str,
    peer: &'a str,
    bytes: Vec<u8>,
    started: Instant,
    is_complete: bool,
}

impl PartialAnswer<'_> {
    fn finish(mut self) -> Vec<u8> {
        self.is_complete = true;
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for PartialAnswer<'_> {
    fn drop(&mut self) {
        if self.is_complete || self.bytes.is_empty() {
            return;
        }
        let (step, peer, bytes) = (self.step, self.peer, self.bytes.len());
        let ms = self.started.elapsed().as_millis();
        log::warn!("net: event=answer-given-up step={step} peer={peer} bytes={bytes} ms={ms}");
    }
}

/// Formats an error together with its causes.
pub(crate) fn describe(error: &(dyn std::error::Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}

/// Opens TCP connections to IP addresses; resolves no host names.
#[derive(Clone, Copy, Debug)]
struct Connector;

impl tower_service::Service<Uri> for Connector {
    type Response = TcpConnection;
    type Error = io::Error;
    type Future = futures::future::BoxFuture<'static, io::Result<TcpConnection>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        Box::pin(async move {
            let address = uri.authority().map(ToString::to_string).unwrap_or_default();
            let connecting = TcpStream::connect(&address);
            let stream = exec::timeout(CONNECT_TIMEOUT, connecting)
                .await
                .ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
            stream.set_nodelay(true)?;
            Ok(TcpConnection {
                io: FuturesIo::new(stream),
                turn: Turn::default(),
                resumption: Resumption::default(),
            })
        })
    }
}

pin_project_lite::pin_project! {
    /// A TCP connection that implements hyper's I/O traits.
    #[derive(Debug)]
    struct TcpConnection {
        #[pin]
        io: FuturesIo<TcpStream>,
        turn: Turn,
        resumption: Resumption,
    }
}

impl Connection for TcpConnection {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Read for TcpConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.project();
        this.turn.poll(context, |context| this.io.poll_read(context, buffer))
    }
}

impl Write for TcpConnection {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.project();
        let written = this.io.poll_write(context, bytes);
        this.resumption.record(context, &written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.project().io.poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.project().io.poll_shutdown(context)
    }
}
