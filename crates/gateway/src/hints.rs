//! Tells the other gateways of dispatches, of upstreams that leave or limit requests, and of requests that end upstreams.
//! Otherwise prompts would queue behind those of other gateways, and further upstreams would run such requests and end.
//!
//! A hint is a datagram. One that tells of a dispatch and is lost costs a worse choice, nothing else; the other kinds are sent more than once,
//! and denials are kept in the store as well. One that can't be read, comes from a stranger or comes again changes nothing and is counted.

use crate::node::Node;
use crate::ports::Wire;
use bincode::Options;
use route::place::Told;
use route::word::{Audience, Bound, Word, deciders};
use route::{Millis, Teller};
use serde::{Deserialize, Serialize};
use smol::net::UdpSocket;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::rows::Rows;

/// The largest datagram, in bytes: one that every link carries whole.
const LARGEST: usize = 1_400;
/// What each datagram begins with: gateways of another version say other things.
const VERSION: u8 = 2;
/// Datagrams that are sent in a row before other work goes on: about a fifth of a millisecond.
const IN_A_ROW: usize = 16;
/// The pauses before each datagram that is sent more than once.
pub(crate) const SEND_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(50), Duration::from_millis(700)];

/// What one gateway tells the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
enum Hint {
    /// A dispatch.
    Dispatch { upstream: String, told: Told },
    /// The engines of a service that are kept for short work, from the gateway that decides on it.
    Division { service: String, short: Vec<String> },
    /// What is known of a request that ends upstreams.
    Quarantine(Word),
    /// An upstream said in an answer that it leaves: the life that started then, if it says when.
    Leaving { upstream: String, started: Option<u64> },
    /// The request limit that an upstream names in its answers, in requests per second from all gateways together; `None`
    /// if it no longer names one.
    Limit { upstream: String, started: Option<u64>, per_s: Option<f64> },
}

/// A hint with its place among those of its sender.
#[derive(Debug, Deserialize, Serialize)]
struct Numbered {
    /// Rises with each of a sender's hints, also across its restarts.
    number: u64,
    hint: Hint,
}

/// Why a datagram changes nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unfit {
    /// It is cut, altered, or of another version.
    Unreadable,
    /// No gateway that is known to be alive sent it.
    Stranger,
    /// It came before, or after a later one.
    Old,
}

impl Unfit {
    fn name(self) -> &'static str {
        match self {
            Unfit::Unreadable => "unreadable",
            Unfit::Stranger => "stranger",
            Unfit::Old => "old",
        }
    }
}

/// Where hints go, and where they come from.
#[derive(Debug)]
pub(crate) struct Hints {
    socket: Mutex<Option<Arc<UdpSocket>>>,
    peers: Mutex<Arc<Vec<SocketAddr>>>,
    teller: Mutex<Teller>,
    bound: Mutex<Bound>,
    next: Mutex<u64>,
    /// The last number of each peer.
    heard: Mutex<HashMap<SocketAddr, u64>>,
}

impl Default for Hints {
    fn default() -> Hints {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64);
        Hints {
            socket: Mutex::default(),
            peers: Mutex::default(),
            teller: Mutex::default(),
            bound: Mutex::default(),
            next: Mutex::new(started),
            heard: Mutex::default(),
        }
    }
}

impl Hints {
    /// Takes in where the other gateways listen.
    pub(crate) fn set_peers(&self, peers: Vec<SocketAddr>) {
        let mut heard = self.heard.lock().expect("the numbers' lock");
        let known = |peer: &SocketAddr| (*peer, heard.get(peer).copied().unwrap_or(0));
        *heard = peers.iter().map(known).collect();
        drop(heard);
        *self.peers.lock().expect("the peers' lock") = Arc::new(peers);
    }

    /// Whether the others are told of a dispatch whose engine has to read so many tokens.
    pub(crate) fn should_announce(&self, unread: u32, now: Millis) -> bool {
        let gateways = self.peers.lock().expect("the peers' lock").len() as u64 + 1;
        self.teller.lock().expect("the teller's lock").tells(unread, gateways, now)
    }

    /// Tells the others of the dispatch of a prompt.
    pub(crate) fn announce_dispatch(&self, upstream: &str, told: Told) {
        self.send(Hint::Dispatch { upstream: upstream.to_owned(), told });
    }

    /// Tells the others which engines of a service are kept for short work. They learn it from a heartbeat too, but that
    /// takes the store.
    pub(crate) fn announce_division(&self, service: &str, short: &[String]) {
        self.send(Hint::Division { service: service.to_owned(), short: short.to_vec() });
    }

    /// Tells of a request that ends upstreams.
    pub(crate) fn announce_quarantine(self: &Arc<Hints>, word: Word, now: Millis) {
        let gateways = self.peers.lock().expect("the peers' lock").len() + 1;
        let audience = self.bound.lock().expect("the bound's lock").audience(&word, gateways, now);
        self.repeat(Hint::Quarantine(word), audience);
    }

    /// Tells all that an upstream leaves.
    pub(crate) fn announce_leaving(self: &Arc<Hints>, upstream: &str, started: Option<u64>) {
        self.repeat(Hint::Leaving { upstream: upstream.to_owned(), started }, Audience::All);
    }

    /// Tells all gateways once of an upstream's request limit, or of its end.
    pub(crate) fn announce_limit(&self, upstream: &str, started: Option<u64>, per_s: Option<f64>) {
        self.send(Hint::Limit { upstream: upstream.to_owned(), started, per_s });
    }

    /// Sends a hint more than once, since datagrams are lost.
    fn repeat(self: &Arc<Hints>, hint: Hint, audience: Audience) {
        let hints = self.clone();
        net::exec::spawn(async move {
            for pause in SEND_DELAYS {
                net::exec::sleep(pause).await;
                hints.send_to(hint.clone(), hints.audience(audience));
            }
        })
        .detach();
    }

    fn audience(&self, audience: Audience) -> Arc<Vec<SocketAddr>> {
        let peers = self.peers.lock().expect("the peers' lock").clone();
        match audience {
            Audience::All => peers,
            Audience::Deciders(fingerprint) => {
                Arc::new(deciders(fingerprint, peers.iter().map(|peer| (*peer, peer.to_string()))))
            }
        }
    }

    /// Sends a hint to all peers.
    fn send(&self, hint: Hint) {
        self.send_to(hint, self.audience(Audience::All));
    }

    /// Sends a hint, beside other work: no request waits for that.
    fn send_to(&self, hint: Hint, peers: Arc<Vec<SocketAddr>>) {
        let Some(socket) = self.socket.lock().expect("the socket's lock").clone() else { return };
        if peers.is_empty() {
            return;
        }
        let bytes = encode(&Numbered { number: self.number(), hint });
        if bytes.len() > LARGEST {
            log::debug!("hints: event=too-large bytes={}", bytes.len());
            return;
        }
        net::exec::spawn(async move {
            for (index, peer) in peers.iter().enumerate() {
                if let Err(error) = socket.send_to(&bytes, peer).await {
                    log::debug!("hints: event=not-sent peer={peer} error=\"{error}\"");
                }
                if index % IN_A_ROW == IN_A_ROW - 1 {
                    smol::future::yield_now().await;
                }
            }
        })
        .detach();
    }

    fn number(&self) -> u64 {
        let mut next = self.next.lock().expect("the number's lock");
        *next += 1;
        *next
    }

    /// Decides whether a datagram counts.
    fn accept(&self, bytes: &[u8], from: SocketAddr) -> Result<Hint, Unfit> {
        let mut heard = self.heard.lock().expect("the numbers' lock");
        let last = heard.get_mut(&from).ok_or(Unfit::Stranger)?;
        let Numbered { number, hint } = decode(bytes)?;
        if number <= *last {
            return Err(Unfit::Old);
        }
        *last = number;
        Ok(hint)
    }
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(LARGEST as u64)
}

fn encode(hint: &Numbered) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    let encoded = bincode::DefaultOptions::new().serialize(hint).expect("a hint is plain data");
    bytes.extend(encoded);
    bytes
}

fn decode(bytes: &[u8]) -> Result<Numbered, Unfit> {
    let [VERSION, rest @ ..] = bytes else { return Err(Unfit::Unreadable) };
    let hint: Numbered = options().deserialize(rest).map_err(|_| Unfit::Unreadable)?;
    match &hint.hint {
        Hint::Dispatch { told, .. } if !told.is_sound() => Err(Unfit::Unreadable),
        Hint::Quarantine(word) if !word.is_sound() => Err(Unfit::Unreadable),
        Hint::Limit { per_s: Some(per_s), .. } if !(per_s.is_finite() && *per_s >= 0.0) => {
            Err(Unfit::Unreadable)
        }
        _ => Ok(hint),
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
            Ok((length, from)) => match node.hints.accept(&buffer[..length], from) {
                Ok(Hint::Dispatch { upstream, told }) => node.places().hear(&upstream, &told, node.now()),
                Ok(Hint::Division { service, short }) => node.apply_division(&service, &short),
                Ok(Hint::Quarantine(word)) => crate::quarantine::hear(&node, &word),
                Ok(Hint::Leaving { upstream, started }) => hear_leaving(&node, &upstream, started),
                Ok(Hint::Limit { upstream, started, per_s }) => {
                    crate::limits::hear(&node, &upstream, started, per_s);
                }
                Err(unfit) => {
                    log::debug!("hints: event=dropped reason={} from={from}", unfit.name());
                    node.metrics.hints_dropped.with_label_values(&[unfit.name()]).inc();
                }
            },
            Err(error) => {
                log::warn!("hints: event=not-received error=\"{error}\"");
                net::exec::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Takes in that an upstream leaves, if it is the life that is listed here.
fn hear_leaving<W: Wire, S: Rows>(node: &Node<W, S>, upstream: &str, started: Option<u64>) {
    let is_meant = node.listings().get(upstream).is_some_and(|listing| listing.started == started);
    if is_meant && node.places().leave(upstream, node.now()) {
        log::info!("upstream: event=leaves upstream={upstream} told-by=gateway");
    }
}

#[cfg(test)]
#[path = "../tests/unit/hints.rs"]
mod tests;
