//! Telling the other gateways of dispatches: whoever sends a prompt behind others' would wait for them.
//!
//! A hint is a datagram. One that is lost costs a worse choice, nothing else.

use crate::node::Node;
use crate::ports::Wire;
use route::place::Told;
use serde::{Deserialize, Serialize};
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use store::rows::Rows;

/// The largest datagram, in bytes: one that every link carries whole.
const LARGEST: usize = 1_400;

/// The largest fleet in which each dispatch is told to all: a gateway hears of all requests of the fleet, so with more it
/// spends more on hearing than on its own requests. At 295 gateways telling all took 565 s of processor time on a day of
/// 58,688 requests, and 124 s without, and served 60 in 100 of them in place of 79.
const TOLD_MOST: usize = 30;

/// What one gateway tells the others.
#[derive(Debug, Deserialize, Serialize)]
enum Hint {
    /// A dispatch.
    Dispatch { upstream: String, told: Told },
    /// The engines of a service that are kept for short work, from the gateway that decides on it.
    Division { service: String, short: Vec<String> },
}

/// Where hints go.
#[derive(Debug, Default)]
pub(crate) struct Hints {
    socket: Mutex<Option<Arc<UdpSocket>>>,
    peers: Mutex<Arc<Vec<SocketAddr>>>,
}

impl Hints {
    /// Takes in where the other gateways listen.
    pub(crate) fn set_peers(&self, peers: Vec<SocketAddr>) {
        *self.peers.lock().expect("the peers' lock") = Arc::new(peers);
    }

    /// Tells the others of the dispatch of a prompt.
    pub(crate) async fn tell(&self, upstream: &str, told: Told) {
        self.send(&Hint::Dispatch { upstream: upstream.to_owned(), told }).await;
    }

    /// Tells the others which engines of a service are kept for short work. They learn it from a heartbeat too, but that
    /// takes the store.
    pub(crate) async fn divide(&self, service: &str, short: &[String]) {
        self.send(&Hint::Division { service: service.to_owned(), short: short.to_vec() }).await;
    }

    async fn send(&self, hint: &Hint) {
        let Some(socket) = self.socket.lock().expect("the socket's lock").clone() else { return };
        let peers = self.peers.lock().expect("the peers' lock").clone();
        if peers.len() > TOLD_MOST {
            return;
        }
        let bytes = serde_json::to_vec(hint).expect("a hint serializes to JSON");
        if bytes.len() > LARGEST {
            log::debug!("hints: event=too-large bytes={}", bytes.len());
            return;
        }
        for peer in peers.iter() {
            if let Err(error) = socket.send_to(&bytes, peer).await {
                log::debug!("hints: event=not-sent peer={peer} error=\"{error}\"");
            }
        }
    }
}

/// Listens for the others' hints.
pub(crate) async fn run<W: Wire, S: Rows>(node: Arc<Node<W, S>>) {
    let address = node.settings.listen.peers;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::error!("hints: event=not-bound address={address} error=\"{error}\"");
            return;
        }
    };
    *node.hints.socket.lock().expect("the socket's lock") = Some(socket.clone());
    let mut buffer = [0; LARGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, peer)) => match serde_json::from_slice::<Hint>(&buffer[..length]) {
                Ok(Hint::Dispatch { upstream, told }) => node.places().hear(&upstream, &told, node.now()),
                Ok(Hint::Division { service, short }) => node.follow_division(&service, &short),
                Err(error) => log::warn!("hints: event=unreadable peer={peer} error=\"{error}\""),
            },
            Err(error) => {
                log::warn!("hints: event=not-received error=\"{error}\"");
                net::exec::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}
