//! Connections between routers: tarpc over TCP, opened with the fleet-key handshake.

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

/// Time for a connection and its handshake.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);
/// How long a peer is left alone after a call to it failed.
const REST: Duration = Duration::from_millis(200);
/// The largest message in bytes.
const MESSAGE_LIMIT: usize = 16 << 20;

/// A call to a peer that failed; it may have been carried out.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} at peer {peer}: {reason}")]
pub struct Error {
    /// The call.
    pub step: &'static str,
    /// The peer's address.
    pub peer: SocketAddr,
    /// The cause in words.
    pub reason: String,
}

fn framed<Item, SinkItem>(
    stream: TcpStream,
) -> tarpc::serde_transport::Transport<Compat<TcpStream>, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MESSAGE_LIMIT).new_codec();
    let frames = tokio_util::codec::Framed::new(stream.compat(), codec);
    tarpc::serde_transport::new(frames, Bincode::default())
}

/// Offers `handler` on `address`; peers that know none of `keys` are refused and logged.
///
/// # Errors
/// Fails if the address can't be bound.
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
                    exec::spawn(converse(stream, from, keys.clone(), handler.clone())).detach();
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

async fn converse<H>(mut stream: TcpStream, from: SocketAddr, keys: Arc<[FleetKey]>, handler: H)
where
    H: Handler,
{
    let _ = stream.set_nodelay(true);
    match exec::timeout(HANDSHAKE_LIMIT, auth::accept(&mut stream, &keys)).await {
        Some(Ok(())) => {}
        Some(Err(error)) => return log::warn!("peer: refused a connection from {from}: {error}"),
        None => return log::warn!("peer: refused a connection from {from}: no handshake in time"),
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

/// Connections to other routers, opened when they are needed.
#[derive(Clone, Debug)]
pub struct Peers {
    key: FleetKey,
    limit: Duration,
    clients: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

/// What is known of the connection to one peer.
#[derive(Clone, Debug)]
enum Connection {
    /// It is open.
    Open(LinkClient),
    /// It could not be opened; until then nobody tries again, so that a silent peer costs one caller a wait.
    Failed(Instant),
}

impl Peers {
    /// Calls others with `key`; each call ends after `limit`.
    pub fn new(key: FleetKey, limit: Duration) -> Peers {
        Peers { key, limit, clients: Arc::default() }
    }

    /// Makes one call.
    ///
    /// # Errors
    /// The call may have been carried out all the same.
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

    /// Makes one call that may take up to `limit`.
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
                self.rest(peer);
                return Err(failed(error.to_string()));
            }
            None => {
                self.rest(peer);
                return Err(failed("no connection in time".to_owned()));
            }
        };
        let mut context = Context::current();
        context.deadline = Instant::now() + limit;
        let answer = exec::timeout(limit, Compat::new(call(client, context))).await;
        match answer {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(error)) => {
                self.rest(peer);
                Err(failed(error.to_string()))
            }
            None => {
                self.rest(peer);
                Err(failed(format!("no answer within {} ms", limit.as_millis())))
            }
        }
    }

    async fn client(&self, peer: SocketAddr) -> io::Result<LinkClient> {
        match self.clients.lock().expect("no thread panics while it holds the lock").get(&peer) {
            Some(Connection::Open(client)) => return Ok(client.clone()),
            Some(Connection::Failed(until)) if Instant::now() < *until => {
                return Err(io::Error::new(io::ErrorKind::HostUnreachable, "it did not answer a moment ago"));
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
        self.clients
            .lock()
            .expect("no thread panics while it holds the lock")
            .insert(peer, Connection::Open(client.clone()));
        Ok(client)
    }

    /// Drops the connection to a peer that failed, and lets the peer rest.
    fn rest(&self, peer: SocketAddr) {
        let mut clients = self.clients.lock().expect("no thread panics while it holds the lock");
        if let Some(Connection::Failed(until)) = clients.get(&peer)
            && Instant::now() < *until
        {
            return;
        }
        clients.insert(peer, Connection::Failed(Instant::now() + REST));
    }
}
