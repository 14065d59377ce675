//! A connection pool for upstreams, whose errors say whether the request may have reached the peer.
//!
//! Unlike [`Client`](crate::Client), the pool never sends a request twice, limits the connections to each
//! peer, and closes an idle connection before the peer would. Bodies are streamed in both directions.

use crate::body::Body;
use crate::client::{Error, Fault};
use crate::clock::Clock;
use crate::dial::Dial;
use crate::exec;
use http::header::{CONNECTION, HeaderName};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The time that an idle connection is kept if the peer names none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// An idle connection is closed this long before the peer would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The maximum buffer size of a connection, in bytes.
const MAX_BUFFER: usize = 16 * 1024;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    /// The time at which it expires, by the pool's clock.
    until: Duration,
}

/// The connections to one peer.
#[derive(Debug, Default)]
struct Peer {
    idle: Vec<Idle>,
    open: usize,
}

#[derive(Debug, Default)]
struct Shared {
    clock: Clock,
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
    /// Whether the request was withdrawn before it was sent.
    pub is_withdrawn: bool,
}

impl Pool {
    /// Creates a pool whose idle connections expire by `clock`.
    pub fn new(clock: Clock) -> Pool {
        Pool(Arc::new(Shared { clock, peers: Mutex::default() }))
    }

    /// Sends `request` to `peer` and waits for the head of the answer.
    ///
    /// A new connection is opened with `dialer`, and only if fewer than `max_connections` are open. The caller returns the
    /// connection to the pool with [`Lease::keep`] once it has read the complete answer.
    ///
    /// As soon as a connection is available, `is_wanted` is called: the reason to send the request may no
    /// longer hold by then. If it returns `false`, the request is withdrawn.
    ///
    /// # Errors
    /// [`Failure`] says whether the request may have reached the peer, and whether it was withdrawn.
    pub async fn send(
        &self,
        step: &'static str,
        peer: SocketAddr,
        max_connections: usize,
        dialer: &impl Dial,
        request: Request<Body>,
        is_wanted: impl FnOnce() -> bool,
    ) -> Result<(Response<Incoming>, Lease), Failure> {
        let (mut sender, reused) = match self.take(peer) {
            Some(sender) => (sender, true),
            None => {
                let opened = self.open(step, peer, max_connections, dialer).await;
                (opened.map_err(|error| Failure { error, reused: false, is_withdrawn: false })?, false)
            }
        };
        if !is_wanted() {
            let until = self.0.clock.now() + DEFAULT_IDLE_TIME.saturating_sub(IDLE_MARGIN);
            Lease { pool: self.0.clone(), peer, sender: Some(sender), until }.keep();
            let reason = "the request was withdrawn before it was sent".to_owned();
            let error = Error { step, peer: peer.to_string(), fault: Fault::Unsent, reason };
            return Err(Failure { error, reused, is_withdrawn: true });
        }
        let answer = sender.try_send_request(request).await.map_err(|mut failure| {
            let fault = match failure.take_message() {
                Some(_) => Fault::Unsent,
                None => Fault::Unknown,
            };
            let reason = crate::client::describe(failure.error());
            Failure {
                error: Error { step, peer: peer.to_string(), fault, reason },
                reused,
                is_withdrawn: false,
            }
        })?;
        let until = self.0.clock.now() + idle_time(answer.headers());
        let lease = Lease { pool: self.0.clone(), peer, sender: Some(sender), until };
        Ok((answer, lease))
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

    /// Closes idle connections that have expired, and removes peers without connections.
    pub fn evict_expired(&self) {
        let now = self.0.clock.now();
        let mut peers = self.0.peers.lock().expect("the pool's lock");
        for peer in peers.values_mut() {
            peer.idle.retain(|idle| idle.until > now && idle.sender.is_ready());
        }
        peers.retain(|_, peer| peer.open > 0 || !peer.idle.is_empty());
    }

    fn take(&self, peer: SocketAddr) -> Option<SendRequest<Body>> {
        let now = self.0.clock.now();
        let mut peers = self.0.peers.lock().expect("the pool's lock");
        let idle = &mut peers.get_mut(&peer)?.idle;
        while let Some(kept) = idle.pop() {
            if kept.until > now && kept.sender.is_ready() {
                return Some(kept.sender);
            }
        }
        None
    }

    async fn open(
        &self,
        step: &'static str,
        peer: SocketAddr,
        max_connections: usize,
        dialer: &impl Dial,
    ) -> Result<SendRequest<Body>, Error> {
        let unsent = |reason: String| Error { step, peer: peer.to_string(), fault: Fault::Unsent, reason };
        let count = OpenConnection::new(&self.0, peer, max_connections)
            .ok_or_else(|| unsent(format!("{max_connections} connections are in use")))?;
        let stream = dialer.dial(peer).await.map_err(|error| unsent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        exec::spawn(async move {
            let _count = count;
            // Whoever waits for an answer gets the error as well. If nobody does, the connection was idle.
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnection {
    pool: Arc<Shared>,
    peer: SocketAddr,
}

impl OpenConnection {
    fn new(pool: &Arc<Shared>, peer: SocketAddr, max_connections: usize) -> Option<OpenConnection> {
        let mut peers = pool.peers.lock().expect("the pool's lock");
        let entry = peers.entry(peer).or_default();
        if entry.open >= max_connections {
            return None;
        }
        entry.open += 1;
        Some(OpenConnection { pool: pool.clone(), peer })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut peers = self.pool.peers.lock().expect("the pool's lock");
        if let Some(entry) = peers.get_mut(&self.peer) {
            entry.open = entry.open.saturating_sub(1);
        }
    }
}

/// A connection while one request uses it. Dropping it closes the connection instead of returning it to
/// the pool.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Shared>,
    peer: SocketAddr,
    sender: Option<SendRequest<Body>>,
    until: Duration,
}

impl Lease {
    /// Closes the connection instead of keeping it.
    pub fn close(mut self) {
        self.sender = None;
    }

    /// Returns the connection to the pool as soon as it is ready for another request. Call this after reading
    /// the complete answer.
    pub fn keep(mut self) {
        let Some(mut sender) = self.sender.take() else { return };
        if self.until <= self.pool.clock.now() {
            return;
        }
        if sender.is_ready() {
            return self.put(sender);
        }
        exec::spawn(async move {
            if sender.ready().await.is_ok() {
                self.put(sender);
            }
        })
        .detach();
    }

    fn put(&self, sender: SendRequest<Body>) {
        let mut peers = self.pool.peers.lock().expect("the pool's lock");
        peers.entry(self.peer).or_default().idle.push(Idle { sender, until: self.until });
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
