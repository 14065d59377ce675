//! Connections between routers: tarpc over TCP, with a handshake that proves knowledge of the fleet key.

use crate::auth::{self, FleetKey};
use crate::link::{Handler, Link, LinkClient, Server};
use async_compat::{Compat, CompatExt};
use futures::StreamExt;
use net::exec;
use smol::net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

/// The timeout of the handshake on accepted connections.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which no new connection to a peer is opened after a call to it failed.
const BACKOFF: Duration = Duration::from_millis(200);
/// The maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// A failed call to a peer. The peer may have executed it.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at peer {peer}: {reason}")]
pub struct Error {
    /// The name of the call.
    pub step: &'static str,
    /// The peer's address.
    pub peer: SocketAddr,
    /// A description of the cause.
    pub reason: String,
}

fn framed<Item, SinkItem>(
    stream: TcpStream,
) -> tarpc::serde_transport::Transport<Compat<TcpStream>, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec();
    let frames = tokio_util::codec::Framed::new(stream.compat(), codec);
    tarpc::serde_transport::new(frames, Bincode::default())
}

/// Serves `handler` on `address`, and returns the bound address. Peers that know none of `keys` are refused
/// and logged.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn listen<H>(address: SocketAddr, keys: Vec<FleetKey>, handler: H) -> io::Result<SocketAddr>
where
    H: Handler,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let keys: Arc<[FleetKey]> = keys.into();
    exec::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    exec::spawn(serve_connection(stream, from, keys.clone(), handler.clone())).detach();
                }
                Err(error) => {
                    log::warn!("peer: accept failed: {error}");
                    exec::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    })
    .detach();
    Ok(bound)
}

async fn serve_connection<H>(mut stream: TcpStream, from: SocketAddr, keys: Arc<[FleetKey]>, handler: H)
where
    H: Handler,
{
    let _ = stream.set_nodelay(true);
    match exec::timeout(HANDSHAKE_TIMEOUT, auth::accept(&mut stream, &keys)).await {
        Some(Ok(())) => {}
        Some(Err(error)) => return log::warn!("peer: refused a connection from {from}: {error}"),
        None => return log::warn!("peer: refused a connection from {from}: the handshake timed out"),
    }
    let serving = async move {
        let channel = BaseChannel::with_defaults(framed(stream));
        channel
            .execute(Server(handler).serve())
            .for_each(|answer| async move {
                exec::spawn(Compat::new(answer)).detach();
            })
            .await;
    };
    Compat::new(serving).await;
}

/// Connections to other routers, opened on demand.
#[derive(Clone, Debug)]
pub struct Peers {
    key: FleetKey,
    limit: Duration,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

/// The state of the connection to a peer.
#[derive(Clone, Debug)]
enum Connection {
    /// The connection is open.
    Open(LinkClient),
    /// A call failed. No connection is opened before this time, so that an unresponsive peer delays only one
    /// caller.
    Failed(Instant),
}

impl Peers {
    /// Creates a client that authenticates with `key`; `limit` is the default timeout of a call.
    pub fn new(key: FleetKey, limit: Duration) -> Peers {
        Peers { key, limit, connections: Arc::default() }
    }

    /// Calls a peer.
    ///
    /// # Errors
    /// Returns an error if the call failed. The peer may have executed it nevertheless.
    pub async fn call<T, F>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        call: impl FnOnce(LinkClient, Context) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        self.call_within(self.limit, step, peer, call).await
    }

    /// Calls a peer with the timeout `limit`. The timeout for opening a connection remains the default.
    ///
    /// # Errors
    /// As [`Peers::call`].
    pub async fn call_within<T, F>(
        &self,
        limit: Duration,
        step: &'static str,
        peer: SocketAddr,
        call: impl FnOnce(LinkClient, Context) -> F,
    ) -> Result<T, Error>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let failed = |reason: String| Error { step, peer, reason };
        let client = match exec::timeout(self.limit, self.client(peer)).await {
            Some(Ok(client)) => client,
            Some(Err(error)) => {
                self.back_off(peer);
                return Err(failed(error.to_string()));
            }
            None => {
                self.back_off(peer);
                return Err(failed("connecting timed out".to_owned()));
            }
        };
        let mut context = Context::current();
        context.deadline = Instant::now() + limit;
        let answer = exec::timeout(limit, Compat::new(call(client, context))).await;
        match answer {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(error)) => {
                self.back_off(peer);
                Err(failed(error.to_string()))
            }
            None => {
                self.back_off(peer);
                Err(failed(format!("no answer within {} ms", limit.as_millis())))
            }
        }
    }

    async fn client(&self, peer: SocketAddr) -> io::Result<LinkClient> {
        match self.connections.lock().expect("no thread panics while it holds the lock").get(&peer) {
            Some(Connection::Open(client)) => return Ok(client.clone()),
            Some(Connection::Failed(until)) if Instant::now() < *until => {
                return Err(io::Error::new(
                    io::ErrorKind::HostUnreachable,
                    "a recent call to the peer failed",
                ));
            }
            _ => {}
        }
        let mut stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        auth::connect(&mut stream, &self.key).await?;
        let tarpc::client::NewClient { client, dispatch } =
            LinkClient::new(tarpc::client::Config::default(), framed(stream));
        exec::spawn(Compat::new(async move {
            let _ = dispatch.await;
        }))
        .detach();
        self.connections
            .lock()
            .expect("no thread panics while it holds the lock")
            .insert(peer, Connection::Open(client.clone()));
        Ok(client)
    }

    /// Drops the connection to a peer that failed, and opens no new one for a while.
    fn back_off(&self, peer: SocketAddr) {
        let mut connections = self.connections.lock().expect("no thread panics while it holds the lock");
        if let Some(Connection::Failed(until)) = connections.get(&peer)
            && Instant::now() < *until
        {
            return;
        }
        connections.insert(peer, Connection::Failed(Instant::now() + BACKOFF));
    }
}
