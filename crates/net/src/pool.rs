//! Kept connections to upstreams, whose errors say whether the request can have reached the peer.
//!
//! Unlike [`Client`](crate::Client) the pool never sends a request twice, bounds the connections to each
//! peer, gives a kept connection up before the peer would, and passes bodies on as they come.

use crate::body::Body;
use crate::client::{Error, Fault};
use crate::clock::Clock;
use crate::exec;
use http::header::{CONNECTION, HeaderName};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a connection attempt may take: several round trips within a region.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);
/// How long a silent connection is left alone before it is probed, and the pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// How long an unused connection is kept if the peer names no time.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A kept connection is given up this long before the peer would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The largest read buffer of a connection, in bytes.
const BUFFER: usize = 16 * 1024;

/// A connection that is not in use.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    /// Until when it is kept, by the pool's clock.
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

/// Connections to many peers; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Pool(Arc<Shared>);

/// A request that was not sent, or whose fate is not known.
#[derive(Debug)]
pub struct Failure {
    /// What went wrong.
    pub error: Error,
    /// Whether the request used a connection that had served others before.
    pub reused: bool,
    /// Whether it was not sent because it was not wanted any more.
    pub is_withdrawn: bool,
}

impl Pool {
    /// A pool that keeps connections by this clock.
    pub fn new(clock: Clock) -> Pool {
        Pool(Arc::new(Shared { clock, peers: Mutex::default() }))
    }

    /// Sends `request` to `peer` and waits for the head of the answer.
    ///
    /// A new connection is opened only if fewer than `most` are open. The connection returns to the pool once
    /// the [`Lease`] is dropped and the answer was read whole. With a connection at hand it asks `is_wanted`: what was decided before may
    /// be wrong by then.
    ///
    /// # Errors
    /// Says whether the request was certainly not sent, and whether it was not wanted any more.
    pub async fn send(
        &self,
        step: &'static str,
        peer: SocketAddr,
        most: usize,
        request: Request<Body>,
        is_wanted: impl FnOnce() -> bool,
    ) -> Result<(Response<Incoming>, Lease), Failure> {
        let (mut sender, reused) = match self.take(peer) {
            Some(sender) => (sender, true),
            None => {
                let opened = self.open(step, peer, most).await;
                (opened.map_err(|error| Failure { error, reused: false, is_withdrawn: false })?, false)
            }
        };
        if !is_wanted() {
            let until = self.0.clock.now() + IDLE_LIMIT.saturating_sub(IDLE_MARGIN);
            Lease { pool: self.0.clone(), peer, sender: Some(sender), until }.keep();
            let reason = "it is not wanted any more".to_owned();
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

    /// Connections to `peer` that are open now.
    pub fn open_connections(&self, peer: SocketAddr) -> usize {
        self.0.peers.lock().expect("the pool's lock").get(&peer).map_or(0, |entry| entry.open)
    }

    /// Whether a connection to `peer` is at hand or may be opened.
    pub fn has_room(&self, peer: SocketAddr, most: usize) -> bool {
        let peers = self.0.peers.lock().expect("the pool's lock");
        peers.get(&peer).is_none_or(|entry| !entry.idle.is_empty() || entry.open < most)
    }

    /// Closes connections whose time has come, and forgets peers without any.
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
        most: usize,
    ) -> Result<SendRequest<Body>, Error> {
        let unsent = |reason: String| Error { step, peer: peer.to_string(), fault: Fault::Unsent, reason };
        let count = Count::new(&self.0, peer, most)
            .ok_or_else(|| unsent(format!("{most} connections are in use")))?;
        let stream = exec::timeout(CONNECT_LIMIT, TcpStream::connect(peer))
            .await
            .ok_or_else(|| unsent(format!("no connection within {} ms", CONNECT_LIMIT.as_millis())))?
            .map_err(|error| unsent(error.to_string()))?;
        if let Err(error) = watch(&stream) {
            log::warn!("net: event=socket-option peer={peer} error={error}");
        }
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        exec::spawn(async move {
            let _count = count;
            // The error reaches whoever waits for the answer; without one the connection was idle.
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }
}

/// Sets what lets a dead peer be noticed: small writes at once, probes, and a bound on unacknowledged bytes.
pub(crate) fn watch(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Counts an open connection for as long as it lives.
struct Count {
    pool: Arc<Shared>,
    peer: SocketAddr,
}

impl Count {
    fn new(pool: &Arc<Shared>, peer: SocketAddr, most: usize) -> Option<Count> {
        let mut peers = pool.peers.lock().expect("the pool's lock");
        let entry = peers.entry(peer).or_default();
        if entry.open >= most {
            return None;
        }
        entry.open += 1;
        Some(Count { pool: pool.clone(), peer })
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        let mut peers = self.pool.peers.lock().expect("the pool's lock");
        if let Some(entry) = peers.get_mut(&self.peer) {
            entry.open = entry.open.saturating_sub(1);
        }
    }
}

/// The use of a connection by one request.
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

    /// Keeps the connection for later requests, once it has nothing more to read; call it after the whole
    /// answer was read.
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

/// How long the connection of an answer with these headers may be kept.
fn idle_time(headers: &HeaderMap) -> Duration {
    let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    if text(CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let named = text(HeaderName::from_static("keep-alive")).and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    named.unwrap_or(IDLE_LIMIT).saturating_sub(IDLE_MARGIN)
}
