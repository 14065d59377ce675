//! A connection pool for upstreams, whose errors say whether the request may have reached the peer.
//!
//! Unlike [`Client`](crate::Client), the pool never sends a request twice, limits the connections to each
//! peer, and closes an idle connection before the peer would. Bodies are streamed in both directions.

use crate::body::Body;
use crate::client::{Error, Fault};
use crate::clock::Clock;
use crate::closing::Closing;
use crate::dial::{Dial, Transport, Way};
use crate::exec;
use crate::identifiers::{Carried, Identifiers};
use crate::metered::{Meter, Metered, Received};
use http::header::{CONNECTION, HeaderName};
use http::{HeaderMap, Request, Response};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, Write};
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The time that an idle connection is kept if the peer names none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// An idle connection is closed this long before the peer would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The maximum buffer size of a connection, in bytes.
const MAX_BUFFER: usize = 16 * 1024;

/// The time for which a tunnel may be used for further requests. A relay that stops opens no new tunnels, and its
/// open ones end before it does.
const TUNNEL_REUSE_TIME: Duration = Duration::from_secs(2);

/// An open connection.
#[derive(Debug)]
struct Line {
    number: u64,
    sender: SendRequest<Body>,
    way: Way,
    /// Whether another process opened it as one of its own connections.
    is_borrowed: bool,
    /// Whether its end in order is the peer's, as opposed to that of a relay.
    tells_end: bool,
    opened: Duration,
    meter: Arc<Meter>,
    closing: Closing,
    count: Arc<OpenConnection>,
    carried: Box<Carried>,
}

/// Where a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// The operation that the request belongs to, for errors.
    pub step: &'static str,
    /// The address.
    pub peer: SocketAddr,
    /// The most connections to the address that may be open.
    pub max_connections: usize,
    /// The identifiers by which the answer names the request. A connection carries each one once, so that an answer on it
    /// can't be the copy of an answer to an earlier request with the same identifier.
    pub identifiers: &'a Identifiers,
}

/// The connection that a request is about to be sent on.
#[derive(Clone, Copy, Debug)]
pub struct Path<'a> {
    /// How it reaches the peer.
    pub way: Way,
    /// Tells how it ends.
    pub closing: &'a Closing,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    line: Line,
    /// The time at which it expires, by the pool's clock.
    until: Duration,
}

impl Idle {
    /// Closes the connection, and waits until the peer has closed its end.
    async fn close(self) {
        let closing = self.line.closing.clone();
        closing.set_awaited(true);
        drop(self);
        closing.wait().await;
    }
}

/// The connections to one peer.
#[derive(Debug, Default)]
struct Peer {
    idle: Vec<Idle>,
    open: usize,
}

impl Peer {
    /// Takes out the last used idle connection that may carry a request, and drops those that have ended since.
    fn take_idle(&mut self, now: Duration, identifiers: &Identifiers) -> Option<Line> {
        for index in (0..self.idle.len()).rev() {
            let Idle { line, until } = &self.idle[index];
            if *until <= now || !line.sender.is_ready() {
                self.idle.remove(index);
            } else if !line.carried.contains(identifiers) {
                return Some(self.idle.remove(index).line);
            }
        }
        None
    }

    /// Takes out the first idle connection that this process opened as one of its own.
    fn take_own_idle(&mut self) -> Option<Idle> {
        let index = self.idle.iter().position(|idle| !idle.line.is_borrowed)?;
        Some(self.idle.remove(index))
    }
}

#[derive(Debug, Default)]
struct Shared {
    clock: Clock,
    /// The number of connections opened so far.
    opened: AtomicU64,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
}

/// A pool of connections to many peers; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Pool(Arc<Shared>);

/// A request that was not sent, or whose outcome is unknown.
#[derive(Debug)]
pub struct Failure {
    /// The cause, and whether the request may have reached the peer.
    pub error: Error,
    /// Whether the request used an existing connection.
    pub reused: bool,
    /// What failed.
    pub cause: Cause,
}

/// What failed when a request was not sent, or got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The request was withdrawn before it was sent.
    Withdrawn,
    /// As many connections are in use as may be opened. This tells nothing about the peer.
    NoConnection,
    /// The connection could not be opened, or broke.
    Connection,
}

/// A connection that this process opens on behalf of another one. It counts until this is dropped.
#[derive(Debug)]
pub struct Loan {
    _count: Arc<OpenConnection>,
}

impl Pool {
    /// Creates a pool whose idle connections expire by `clock`.
    pub fn new(clock: Clock) -> Pool {
        Pool(Arc::new(Shared { clock, ..Shared::default() }))
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// If no idle connection may carry the request, a new one is opened with `dialer`: instead of an idle one if as many are
    /// open as may be, or a borrowed one if all are in use. The caller returns the connection to the pool with
    /// [`Lease::keep`] once it has read the complete answer.
    ///
    /// As soon as a connection is available, `is_wanted` is called with it: the reason to send the request may no longer
    /// hold by then. If it returns `false`, the request is withdrawn.
    ///
    /// # Errors
    /// [`Failure`] says whether the request may have reached the peer, and whether it was withdrawn.
    pub async fn send(
        &self,
        destination: Destination<'_>,
        dialer: &impl Dial,
        request: Request<Body>,
        is_wanted: impl FnOnce(Path<'_>) -> bool,
    ) -> Result<(Response<Received>, Lease), Failure> {
        let Destination { step, peer, .. } = destination;
        let (mut line, reused) = match self.take(&destination, dialer.way()) {
            Some(line) => (line, true),
            None => (self.open(&destination, dialer).await?, false),
        };
        if !is_wanted(Path { way: line.way, closing: &line.closing }) {
            let until = self.0.clock.now() + DEFAULT_IDLE_TIME.saturating_sub(IDLE_MARGIN);
            Lease { pool: self.0.clone(), peer, line: Some(line), is_reused: reused, until }.keep();
            let reason = "the request was withdrawn before it was sent".to_owned();
            let error = Error { step, peer: peer.to_string(), fault: Fault::Unsent, reason };
            return Err(Failure { error, reused, cause: Cause::Withdrawn });
        }
        line.carried.insert(destination.identifiers);
        line.meter.begin_answer();
        let answer = line.sender.try_send_request(request).await.map_err(|mut failure| {
            let fault = match failure.take_message() {
                Some(_) => Fault::Unsent,
                None => Fault::Unknown,
            };
            let reason = crate::client::describe(failure.error());
            let error = Error { step, peer: peer.to_string(), fault, reason };
            Failure { error, reused, cause: Cause::Connection }
        })?;
        let until = self.0.clock.now() + idle_time(answer.headers());
        let meter = line.meter.clone();
        let lease = Lease { pool: self.0.clone(), peer, line: Some(line), is_reused: reused, until };
        Ok((answer.map(|body| Received::new(body, meter)), lease))
    }

    /// The number of open connections to `peer`.
    pub fn open_connections(&self, peer: SocketAddr) -> usize {
        self.0.peers.lock().expect("the pool's lock").get(&peer).map_or(0, |entry| entry.open)
    }

    /// Whether a connection to `peer` is idle or may be opened.
    pub fn has_room(&self, peer: SocketAddr, max_connections: usize) -> bool {
        let peers = self.0.peers.lock().expect("the pool's lock");
        peers.get(&peer).is_none_or(|entry| !entry.idle.is_empty() || entry.open < max_connections)
    }

    /// Counts a connection to `peer` that this process opens on behalf of another one, instead of an idle one if
    /// `max_connections` are open, which has ended then. Returns `None` if no more than `kept` of them would be left.
    pub async fn lend(&self, peer: SocketAddr, max_connections: usize, kept: usize) -> Option<Loan> {
        let replaced = {
            let mut peers = self.0.peers.lock().expect("the pool's lock");
            let entry = peers.entry(peer).or_default();
            let own = entry.idle.iter().filter(|idle| !idle.line.is_borrowed).count();
            if entry.open.saturating_sub(own) + kept >= max_connections {
                return None;
            }
            (entry.open >= max_connections).then(|| entry.take_own_idle()).flatten()
        };
        if let Some(idle) = &replaced {
            idle.line.count.end();
        }
        let loan = OpenConnection::new(&self.0, peer, max_connections).map(|count| Loan { _count: count });
        if let Some(idle) = replaced {
            idle.close().await;
        }
        loan
    }

    /// Closes idle connections that have expired, and removes peers without connections.
    pub fn evict_expired(&self) {
        let now = self.0.clock.now();
        let mut peers = self.0.peers.lock().expect("the pool's lock");
        for peer in peers.values_mut() {
            peer.idle.retain(|idle| idle.until > now && idle.line.sender.is_ready());
        }
        peers.retain(|_, peer| peer.open > 0 || !peer.idle.is_empty());
    }

    /// Takes an idle connection of this way or a borrowed one that may carry the request, and closes those of the other way.
    fn take(&self, destination: &Destination<'_>, way: Way) -> Option<Line> {
        let now = self.0.clock.now();
        let mut peers = self.0.peers.lock().expect("the pool's lock");
        let entry = peers.get_mut(&destination.peer)?;
        let is_other_way = |idle: &mut Idle| idle.line.way != way && !idle.line.is_borrowed;
        let other_way: Vec<Idle> = entry.idle.extract_if(.., is_other_way).collect();
        let taken = entry.take_idle(now, destination.identifiers);
        drop(peers);
        // The connections end later, but no longer count.
        other_way.iter().for_each(|idle| idle.line.count.end());
        taken
    }

    async fn open(&self, destination: &Destination<'_>, dialer: &impl Dial) -> Result<Line, Failure> {
        let Destination { step, peer, max_connections, .. } = *destination;
        let unsent = |cause, reason: String| {
            let error = Error { step, peer: peer.to_string(), fault: Fault::Unsent, reason };
            Failure { error, reused: false, cause }
        };
        let failed = |error: io::Error| unsent(Cause::Connection, error.to_string());
        let (count, transport, is_borrowed) = match self.count(peer, max_connections).await {
            Some(count) => (count, dialer.dial(peer).await.map_err(failed)?, false),
            None => {
                let in_use =
                    || unsent(Cause::NoConnection, format!("{max_connections} connections are in use"));
                let tunnel = dialer.borrow().await.ok_or_else(in_use)?;
                (OpenConnection::uncounted(&self.0, peer), Transport::Relayed(Box::new(tunnel)), true)
            }
        };
        let meter = Arc::new(Meter::default());
        let (way, tells_end, closing, sender) = match transport {
            Transport::Direct(stream) => {
                let closing = Closing::of(Some(stream.clone()));
                let io = Metered::new(FuturesIo::new(stream), meter.clone());
                let ending = Ending { meter: meter.clone(), closing: closing.clone(), tells_end: true };
                (Way::Direct, true, closing, handshake(io, ending, &count).await)
            }
            Transport::Relayed(tunnel) => {
                let (tells_end, closing) = (tunnel.tells_end(), Closing::of(None));
                let io = Metered::new(tunnel, meter.clone());
                let ending = Ending { meter: meter.clone(), closing: closing.clone(), tells_end };
                (Way::Relayed, tells_end, closing, handshake(io, ending, &count).await)
            }
        };
        let sender = sender.map_err(|error| unsent(Cause::Connection, error.to_string()))?;
        let number = self.0.opened.fetch_add(1, Ordering::Relaxed);
        let opened = self.0.clock.now();
        let carried = Box::default();
        Ok(Line { number, sender, way, is_borrowed, tells_end, opened, meter, closing, count, carried })
    }

    /// Counts a connection that is opened, instead of an idle one if as many are open as may be. That one has ended then:
    /// a peer that has not noticed its end might reset the new one.
    async fn count(&self, peer: SocketAddr, max_connections: usize) -> Option<Arc<OpenConnection>> {
        if let Some(count) = OpenConnection::new(&self.0, peer, max_connections) {
            return Some(count);
        }
        let replaced = self.0.peers.lock().expect("the pool's lock").get_mut(&peer)?.take_own_idle()?;
        // The place is taken again at once, so that no other request gets it meanwhile.
        replaced.line.count.end();
        let count = OpenConnection::new(&self.0, peer, max_connections);
        replaced.close().await;
        count
    }
}

/// What is needed to tell how a connection ended.
struct Ending {
    meter: Arc<Meter>,
    closing: Closing,
    tells_end: bool,
}

/// Begins HTTP on an open connection, which counts until it ends.
async fn handshake(
    io: impl Read + Send + Unpin + Write + 'static,
    ending: Ending,
    count: &Arc<OpenConnection>,
) -> hyper::Result<SendRequest<Body>> {
    let (sender, connection) = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(io).await?;
    let count = count.clone();
    exec::spawn(async move {
        // Whoever waits for an answer gets the error as well. If nobody does, the connection was idle.
        let _ = connection.await;
        let Ending { meter, closing, tells_end } = ending;
        closing.finish(&meter, tells_end).await;
        count.end();
    })
    .detach();
    Ok(sender)
}

/// Counts an open connection until it ends or is dropped.
#[derive(Debug)]
struct OpenConnection {
    pool: Arc<Shared>,
    peer: SocketAddr,
    has_ended: AtomicBool,
}

impl OpenConnection {
    fn new(pool: &Arc<Shared>, peer: SocketAddr, max_connections: usize) -> Option<Arc<OpenConnection>> {
        let mut peers = pool.peers.lock().expect("the pool's lock");
        let entry = peers.entry(peer).or_default();
        if entry.open >= max_connections {
            return None;
        }
        entry.open += 1;
        Some(Arc::new(OpenConnection { pool: pool.clone(), peer, has_ended: AtomicBool::new(false) }))
    }

    /// A connection that counts at the process that opened it.
    fn uncounted(pool: &Arc<Shared>, peer: SocketAddr) -> Arc<OpenConnection> {
        Arc::new(OpenConnection { pool: pool.clone(), peer, has_ended: AtomicBool::new(true) })
    }

    /// Stops counting the connection.
    fn end(&self) {
        if self.has_ended.swap(true, Ordering::Relaxed) {
            return;
        }
        let mut peers = self.pool.peers.lock().expect("the pool's lock");
        if let Some(entry) = peers.get_mut(&self.peer) {
            entry.open = entry.open.saturating_sub(1);
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.end();
    }
}

/// A connection while one request uses it. Dropping it closes the connection instead of returning it to
/// the pool.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Shared>,
    peer: SocketAddr,
    line: Option<Line>,
    is_reused: bool,
    until: Duration,
}

impl Lease {
    /// The number of the connection in its pool, for logs.
    pub fn number(&self) -> u64 {
        self.line.as_ref().map_or(0, |line| line.number)
    }

    /// Whether the connection served another request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Closes the connection instead of keeping it.
    pub fn close(mut self) {
        self.line = None;
    }

    /// Whether the connection leads through another process.
    pub fn is_relayed(&self) -> bool {
        self.line.as_ref().is_some_and(|line| line.way == Way::Relayed)
    }

    /// Whether the connection ends in order only if the peer closes it so. Relays of earlier builds end their tunnels
    /// in the same way themselves.
    pub fn tells_end(&self) -> bool {
        self.line.as_ref().is_some_and(|line| line.tells_end)
    }

    /// Returns the connection to the pool as soon as it is ready for another request. Call this after reading
    /// the complete answer.
    pub fn keep(mut self) {
        let Some(mut line) = self.line.take() else { return };
        line.closing.set_awaited(false);
        if line.way == Way::Relayed {
            self.until = self.until.min(line.opened + TUNNEL_REUSE_TIME);
        }
        if self.until <= self.pool.clock.now() || line.carried.is_full() {
            return;
        }
        if line.sender.is_ready() {
            return self.put(line);
        }
        exec::spawn(async move {
            if line.sender.ready().await.is_ok() {
                self.put(line);
            }
        })
        .detach();
    }

    fn put(&self, line: Line) {
        let mut peers = self.pool.peers.lock().expect("the pool's lock");
        peers.entry(self.peer).or_default().idle.push(Idle { line, until: self.until });
    }
}

/// How long a connection may stay idle after an answer with these headers.
fn idle_time(headers: &HeaderMap) -> Duration {
    let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    if text(CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let named = text(HeaderName::from_static("keep-alive")).and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    named.unwrap_or(DEFAULT_IDLE_TIME).saturating_sub(IDLE_MARGIN)
}
