//! An HTTP client whose errors say whether the request can have reached the peer.
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
use http::{Request, Response, Uri, response};
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

/// How long a connection attempt may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(1000);
/// An answer that takes longer than this multiple of the time in which it has to begin is given up.
const SLOWEST: u32 = 6;
/// How long an unused connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Unused connections kept for one peer.
const IDLE_CONNECTIONS: usize = 64;

/// Bytes buffered for each direction of a connection.
const BUFFER: usize = 16 * 1024;

/// Whether a failed request can have reached the peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The peer certainly never saw the request.
    Unsent,
    /// The peer may have seen and executed it.
    Unknown,
}

/// A request that got no complete answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at {peer}: {reason}")]
pub struct Error {
    /// What the caller was doing.
    pub step: &'static str,
    /// The address of the peer.
    pub peer: String,
    /// Whether the request can have reached the peer.
    pub fault: Fault,
    /// The cause in words.
    pub reason: String,
}

/// A connection-reusing HTTP/1.1 client; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<Connector, Body>,
}

impl Default for Client {
    fn default() -> Self {
        Client::new()
    }
}

impl Client {
    /// Makes a client without connections.
    pub fn new() -> Client {
        Client::with_idle_limits(IDLE_CONNECTIONS, IDLE_LIMIT)
    }

    /// Makes a client that keeps at most so many unused connections to each peer, for at most `limit`: for those with many
    /// peers, each of which has to hold its end.
    pub fn with_idle_limits(connections: usize, limit: Duration) -> Client {
        let pool = Pool::builder(Spawner)
            .pool_idle_timeout(limit)
            .pool_max_idle_per_host(connections)
            .pool_timer(SmolTimer::new())
            .http1_max_buf_size(BUFFER)
            .build(Connector);
        Client { pool }
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    /// Says whether the request was certainly not sent.
    pub async fn send(
        &self,
        step: &'static str,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, Error> {
        let peer = request.uri().authority().map(ToString::to_string).unwrap_or_default();
        self.pool.request(request).await.map_err(|error| Error {
            step,
            peer,
            fault: if error.is_connect() { Fault::Unsent } else { Fault::Unknown },
            reason: describe(&error),
        })
    }

    /// Sends `request` and reads the whole answer of at most `limit` bytes. The answer has to begin within `time`, and may
    /// not stand still for longer: a large one takes longer than that on a slow link, and would be lost and read again.
    ///
    /// # Errors
    /// As [`Client::send`]; silence counts as [`Fault::Unknown`].
    pub async fn exchange(
        &self,
        step: &'static str,
        request: Request<Body>,
        limit: usize,
        time: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let answer = self.begin(step, request, time).await?;
        answer.read(limit, time * SLOWEST, |_| ()).await
    }

    /// Sends `request` and waits until the answer begins, at most for `time`.
    ///
    /// # Errors
    /// As [`Client::send`]; silence counts as [`Fault::Unknown`].
    pub async fn begin(
        &self,
        step: &'static str,
        request: Request<Body>,
        time: Duration,
    ) -> Result<Answer, Error> {
        let peer = request.uri().authority().map(ToString::to_string).unwrap_or_default();
        let answer = exec::timeout(time, self.send(step, request)).await;
        let (head, body) = answer.ok_or_else(|| silent(step, &peer, time))??.into_parts();
        Ok(Answer { step, peer, time, head, body })
    }
}

fn silent(step: &'static str, peer: &str, time: Duration) -> Error {
    let reason = format!("no answer within {} ms", time.as_millis());
    Error { step, peer: peer.to_owned(), fault: Fault::Unknown, reason }
}

/// An answer that has begun.
#[derive(Debug)]
pub struct Answer {
    step: &'static str,
    peer: String,
    /// How long it may stand still.
    time: Duration,
    head: response::Parts,
    body: Incoming,
}

impl Answer {
    /// The length of its body in bytes, if its head tells it.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the rest, which may take `longest` and be of at most `limit` bytes; `heard` is told of the bytes as they come.
    ///
    /// # Errors
    /// Says why the answer is not whole.
    pub async fn read(
        self,
        limit: usize,
        longest: Duration,
        mut heard: impl FnMut(usize),
    ) -> Result<Response<Bytes>, Error> {
        let Answer { step, peer, time, head, body } = self;
        let mut body = Limited::new(body, limit);
        let mut read = Partial { step, peer: &peer, bytes: vec![], began: Instant::now(), is_whole: false };
        while let Some(frame) =
            exec::timeout(time, body.frame()).await.ok_or_else(|| silent(step, &peer, time))?
        {
            let frame = frame.map_err(|error| Error {
                step,
                peer: peer.clone(),
                fault: Fault::Unknown,
                reason: error.to_string(),
            })?;
            if let Some(data) = frame.data_ref() {
                heard(data.len());
                read.bytes.extend_from_slice(data);
            }
            if read.began.elapsed() > longest {
                return Err(silent(step, &peer, longest));
            }
        }
        Ok(Response::from_parts(head, Bytes::from(read.finish())))
    }
}

/// The bytes of an answer that have come so far. One that is given up midway is told, whoever gave it up: its bytes
/// took their time on the link, and are mostly asked for again.
struct Partial<'a> {
    step: &'static str,
    peer: &'a str,
    bytes: Vec<u8>,
    began: Instant,
    is_whole: bool,
}

impl Partial<'_> {
    fn finish(mut self) -> Vec<u8> {
        self.is_whole = true;
        std::mem::take(&mut self.bytes)
    }
}

impl Drop for Partial<'_> {
    fn drop(&mut self) {
        if self.is_whole || self.bytes.is_empty() {
            return;
        }
        let (step, peer, bytes) = (self.step, self.peer, self.bytes.len());
        let ms = self.began.elapsed().as_millis();
        log::warn!("net: event=answer-given-up step={step} peer={peer} bytes={bytes} ms={ms}");
    }
}

/// Joins an error with its causes.
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

/// Opens TCP connections by IP number.
#[derive(Clone, Copy, Debug)]
struct Connector;

impl tower_service::Service<Uri> for Connector {
    type Response = Wire;
    type Error = io::Error;
    type Future = futures::future::BoxFuture<'static, io::Result<Wire>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        Box::pin(async move {
            let address = uri.authority().map(ToString::to_string).unwrap_or_default();
            let connecting = TcpStream::connect(&address);
            let stream = exec::timeout(CONNECT_LIMIT, connecting)
                .await
                .ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
            stream.set_nodelay(true)?;
            Ok(Wire { io: FuturesIo::new(stream) })
        })
    }
}

pin_project_lite::pin_project! {
    /// A client connection as hyper wants it.
    #[derive(Debug)]
    struct Wire {
        #[pin]
        io: FuturesIo<TcpStream>,
    }
}

impl Connection for Wire {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Read for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.project().io.poll_read(context, buffer)
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.project().io.poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.project().io.poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.project().io.poll_shutdown(context)
    }
}
