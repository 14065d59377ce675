//! Checks whether a process listens at an address, and whether it answers.

use crate::body::Body;
use crate::exec;
use http::Request;
use http::header::HOST;
use hyper::client::conn::http1;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a connection attempt after a break may take: a few round trips within a region.
const BREAK_TIMEOUT: Duration = Duration::from_millis(300);
/// The delay before that attempt: a terminating process closes its connections and its listener one after the other.
const BREAK_DELAY: Duration = Duration::from_millis(100);

/// The result of a connection attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// A process accepts connections and answers requests.
    Answers,
    /// A process accepts connections.
    Listens,
    /// The host refused the connection: it is up, but no process listens.
    Refuses,
    /// The attempt timed out or the host is unreachable, which says nothing about the process.
    Silent,
}

impl ProbeResult {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            ProbeResult::Answers => "answers",
            ProbeResult::Listens => "listens",
            ProbeResult::Refuses => "refuses",
            ProbeResult::Silent => "silent",
        }
    }
}

/// Tries to connect to `peer` within `limit`, and closes the connection at once.
pub async fn probe(peer: SocketAddr, limit: Duration) -> ProbeResult {
    connect(peer, limit).await.map_or_else(|failed| failed, |_| ProbeResult::Listens)
}

/// Asks the process at `peer` for `path`. Connecting and answering may take `limit` each.
pub async fn ask(peer: SocketAddr, path: &str, limit: Duration) -> ProbeResult {
    match connect(peer, limit).await {
        Ok(stream) => match exec::timeout(limit, get(stream, peer, path)).await {
            Some(Some(())) => ProbeResult::Answers,
            Some(None) | None => ProbeResult::Listens,
        },
        Err(failed) => failed,
    }
}

async fn connect(peer: SocketAddr, limit: Duration) -> Result<TcpStream, ProbeResult> {
    match exec::timeout(limit, TcpStream::connect(peer)).await {
        Some(Ok(stream)) => Ok(stream),
        Some(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Err(ProbeResult::Refuses),
        Some(Err(_)) | None => Err(ProbeResult::Silent),
    }
}

/// Waits for the head of an answer; `None` if the connection ends before.
async fn get(stream: TcpStream, peer: SocketAddr, path: &str) -> Option<()> {
    let request = Request::get(path).header(HOST, peer.to_string()).body(Body::empty()).ok()?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await.ok()?;
    let answer = async { sender.send_request(request).await.ok().map(|_| ()) };
    let closed = async {
        let _ = connection.await;
        std::future::pending().await
    };
    smol::future::or(answer, closed).await
}

/// Tries to connect to `peer` after a connection to it ended, to tell whether its process has terminated.
pub async fn probe_after_break(peer: SocketAddr) -> ProbeResult {
    exec::sleep(BREAK_DELAY).await;
    probe(peer, BREAK_TIMEOUT).await
}
