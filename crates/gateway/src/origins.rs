//! Where streams began. A gateway that begins a stream tells a few others at which software version, and one that is
//! asked to take a stream up asks them (see [`crate::take_up`]).
//!
//! [`route::origin`] decides whom to tell and to ask, and whether the answers suffice.

use crate::hints::Hints;
use crate::job::Job;
use crate::node::Node;
use crate::ports::Wire;
use http::Request;
use net::{Body, Client, exec};
use route::Millis;
use route::origin::{self, Asking, FLUSH_MS, Knowledge, Record, Stream, Telling, keepers};
use route::origin_log::Log;
use route::version::{Version, Versions};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// The path of questions between gateways.
pub(crate) const PATH: &str = "/origin";
/// How long the gateways that are asked may take to answer: round trips between data centres, and the delay of a
/// process on a busy VM.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// The number of unused connections to a gateway that are kept, and for how long.
const IDLE_CONNECTIONS: (usize, Duration) = (1, Duration::from_secs(5));
/// The number of streams whose new keepers are told at once: ranking a large fleet for them takes some milliseconds.
const STREAMS_PER_FLUSH: usize = 64;
/// The largest message, in bytes.
pub(crate) const MESSAGE_LIMIT: usize = 4 << 10;

/// The software version that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Told {
    pub stream: Stream,
    pub version: Version,
}

/// What a gateway that stops knows of a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HandedOver {
    pub stream: Stream,
    pub version: Version,
    /// The gateway that ran it last.
    pub runner: SocketAddr,
}

/// What a gateway knows of a stream, and which one ran it last.
pub(crate) type Answer = (Knowledge, Option<SocketAddr>);

/// What this gateway knows of the software versions of upstreams, and of the streams that they began.
#[derive(Debug)]
pub(crate) struct Origins {
    client: Client,
    versions: Mutex<Versions>,
    streams: Mutex<origin::Origins>,
    outbox: Mutex<Outbox>,
    asking: Mutex<Asking>,
    log: Mutex<Log>,
}

/// What other gateways have to be told.
#[derive(Debug, Default)]
struct Outbox {
    telling: Telling,
    pending: HashMap<SocketAddr, Vec<Told>>,
}

impl Default for Origins {
    fn default() -> Origins {
        Origins {
            client: Client::with_idle_limits(IDLE_CONNECTIONS.0, IDLE_CONNECTIONS.1),
            versions: Mutex::default(),
            streams: Mutex::default(),
            outbox: Mutex::default(),
            asking: Mutex::default(),
            log: Mutex::default(),
        }
    }
}

impl Origins {
    pub(crate) fn versions(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().expect("no thread panics while it holds the lock")
    }

    fn streams(&self) -> MutexGuard<'_, origin::Origins> {
        self.streams.lock().expect("no thread panics while it holds the lock")
    }

    /// What has to be written to the store.
    pub(crate) fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().expect("no thread panics while it holds the lock")
    }

    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().expect("no thread panics while it holds the lock")
    }

    /// Whether this gateway may ask so many others beyond the first keepers of a stream.
    pub(crate) fn may_ask(&self, questions: usize, now: Millis) -> bool {
        self.asking.lock().expect("no thread panics while it holds the lock").take(questions, now)
    }

    /// The number of streams whose origin is known.
    pub(crate) fn stream_count(&self) -> usize {
        self.streams().len()
    }

    /// Forgets what no stream needs any more.
    pub(crate) fn expire(&self, lifetime: Millis, now: Millis) {
        self.versions().expire(lifetime, now);
        self.streams().expire(lifetime, now);
    }

    /// Records what another gateway told, which runs the streams.
    pub(crate) fn apply(&self, told: &[Told], from: SocketAddr, now: Millis) {
        let mut streams = self.streams();
        for Told { stream, version } in told {
            streams.record(*stream, Record { version: *version, runner: Some(from) }, now);
        }
    }

    pub(crate) fn record(&self, stream: Option<Stream>, lifetime: Millis, now: Millis) -> Option<Record> {
        self.streams().get(stream?, lifetime, now)
    }

    pub(crate) fn knowledge(
        &self,
        service: &str,
        stream: Option<Stream>,
        lifetime: Millis,
        now: Millis,
    ) -> Knowledge {
        Knowledge {
            version: self.record(stream, lifetime, now).map(|record| record.version),
            seen: self.versions().seen(service, lifetime, now),
        }
    }

    /// Tells the keepers of a stream where it began, with what else there is to tell soon.
    fn tell(self: &Arc<Self>, hints: &Arc<Hints>, told: Told, now: Millis) {
        if !self.queue(hints, told, now) {
            return;
        }
        let (origins, hints) = (self.clone(), hints.clone());
        exec::spawn(async move {
            exec::sleep(Duration::from_millis(FLUSH_MS)).await;
            origins.flush(&hints);
        })
        .detach();
    }

    /// Queues the origin of a stream for its keepers. Returns whether the queue was empty before.
    fn queue(&self, hints: &Hints, told: Told, now: Millis) -> bool {
        let peers = hints.peers();
        let mut outbox = self.outbox();
        let count = outbox.telling.record(peers.len(), now);
        let was_empty = outbox.pending.is_empty();
        for keeper in keepers(told.stream, peers.iter().map(|peer| (*peer, key(*peer))), count) {
            outbox.pending.entry(keeper).or_default().push(told);
        }
        was_empty && !outbox.pending.is_empty()
    }

    /// Tells the keepers what there is to tell.
    pub(crate) fn flush(&self, hints: &Hints) {
        let pending = std::mem::take(&mut self.outbox().pending);
        pending.into_iter().for_each(|(keeper, told)| hints.announce_origins(keeper, &told));
    }

    /// Tells the keepers of all streams that this gateway knows of, because it stops.
    pub(crate) fn hand_over(&self, hints: &Hints, own_address: SocketAddr, now: Millis) {
        self.flush(hints);
        let known: Vec<(Stream, Record)> = self.streams().iter().collect();
        let hand_over = |(stream, Record { version, runner })| HandedOver {
            stream,
            version,
            runner: runner.unwrap_or(own_address),
        };
        self.tell_handed_over(hints, known.into_iter().map(hand_over), now);
    }

    /// Tells the keepers of streams that an earlier process of this VM ran.
    pub(crate) fn tell_known(
        &self,
        hints: &Hints,
        own_address: SocketAddr,
        known: &[(Stream, Version)],
        now: Millis,
    ) {
        let hand_over = |(stream, version): &(Stream, Version)| HandedOver {
            stream: *stream,
            version: *version,
            runner: own_address,
        };
        self.tell_handed_over(hints, known.iter().map(hand_over), now);
    }

    /// Tells those that have become keepers of this gateway's streams since the other gateways were `before`.
    pub(crate) fn tell_new_keepers(
        self: &Arc<Self>,
        hints: &Arc<Hints>,
        own_address: SocketAddr,
        before: Arc<Vec<SocketAddr>>,
    ) {
        let peers = hints.peers();
        let joined = peers.iter().filter(|peer| !before.contains(peer)).count();
        if joined == 0 && peers.len() == before.len() {
            return;
        }
        let own: Vec<(Stream, Version)> = self
            .streams()
            .iter()
            .filter(|(_, record)| record.runner.is_none())
            .map(|(stream, record)| (stream, record.version))
            .collect();
        let (origins, hints) = (self.clone(), hints.clone());
        exec::spawn(async move {
            for part in own.chunks(STREAMS_PER_FLUSH) {
                let count = origins.outbox().telling.keepers(peers.len());
                let mut pending: HashMap<SocketAddr, Vec<HandedOver>> = HashMap::new();
                for (stream, version) in part {
                    let ranked = |gateways: &[SocketAddr]| {
                        keepers(*stream, gateways.iter().map(|peer| (*peer, key(*peer))), count)
                    };
                    let told = ranked(&before);
                    let handed_over = HandedOver { stream: *stream, version: *version, runner: own_address };
                    for keeper in ranked(&peers).into_iter().filter(|keeper| !told.contains(keeper)) {
                        pending.entry(keeper).or_default().push(handed_over);
                    }
                }
                pending.into_iter().for_each(|(keeper, known)| hints.hand_over_origins(keeper, &known));
                exec::sleep(Duration::from_millis(FLUSH_MS)).await;
            }
        })
        .detach();
    }

    fn tell_handed_over(&self, hints: &Hints, known: impl Iterator<Item = HandedOver>, now: Millis) {
        let peers = hints.peers();
        let mut pending: HashMap<SocketAddr, Vec<HandedOver>> = HashMap::new();
        for handed_over in known {
            let (stream, count) = (handed_over.stream, self.outbox().telling.record(peers.len(), now));
            for keeper in keepers(stream, peers.iter().map(|peer| (*peer, key(*peer))), count) {
                pending.entry(keeper).or_default().push(handed_over);
            }
        }
        pending.into_iter().for_each(|(keeper, known)| hints.hand_over_origins(keeper, &known));
    }

    /// Records where streams began that an earlier process of this VM ran.
    pub(crate) fn learn(&self, known: &[(Stream, Version)], now: Millis) {
        let mut streams = self.streams();
        for (stream, version) in known {
            streams.record_if_unknown(*stream, Record { version: *version, runner: None }, now);
        }
    }

    /// Records what a gateway that stops knew of streams, as far as nothing is known of them.
    pub(crate) fn apply_hand_over(&self, known: &[HandedOver], now: Millis) {
        let mut streams = self.streams();
        for HandedOver { stream, version, runner } in known {
            streams.record_if_unknown(*stream, Record { version: *version, runner: Some(*runner) }, now);
        }
    }

    /// Records that this gateway runs a stream that its caller takes up, and tells others before it does.
    pub(crate) fn begin_again<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        service: &str,
        stream: Stream,
        version: Version,
    ) {
        self.log().record(service, stream, version, node.now());
        self.streams().record(stream, Record { version, runner: None }, node.now());
        self.queue(&node.hints, Told { stream, version }, node.now());
        self.flush(&node.hints);
    }

    /// Records the gateway that ran a stream last, as far as this one knows.
    pub(crate) fn record_runner(&self, stream: Stream, version: Version, runner: SocketAddr, now: Millis) {
        self.streams().record(stream, Record { version, runner: Some(runner) }, now);
    }

    /// Asks another gateway what it knows of a stream; `None` if there is no answer.
    pub(crate) async fn ask(&self, peer: SocketAddr, question: Vec<u8>) -> Option<Answer> {
        let request = Request::post(format!("http://{peer}{PATH}")).body(Body::from(question)).ok()?;
        let answer = self.client.exchange("origin", request, MESSAGE_LIMIT, ASK_TIMEOUT).await.ok()?;
        // A gateway of an earlier build does not name the runner.
        let unnamed = || Some((bincode::deserialize(answer.body()).ok()?, None));
        bincode::deserialize(answer.body()).ok().or_else(unnamed)
    }
}

/// The bytes by which all gateways know a gateway.
pub(crate) fn key(gateway: SocketAddr) -> [u8; 18] {
    let mut key = [0; 18];
    let address = match gateway.ip() {
        std::net::IpAddr::V4(address) => address.to_ipv6_mapped(),
        std::net::IpAddr::V6(address) => address,
    };
    key[..16].copy_from_slice(&address.octets());
    key[16..].copy_from_slice(&gateway.port().to_be_bytes());
    key
}

impl<W: Wire, S: Rows> Job<W, S> {
    /// The stream over all attempts of its caller.
    pub(crate) fn stream(&self) -> Stream {
        let ask = &self.request.ask;
        let first = ask.resumption.as_ref().and_then(|resumption| resumption.attempt.as_deref());
        let team = self.request.team.as_ref().map_or("", |team| team.name.as_str());
        Stream::of(&self.request.service, team, first.unwrap_or(&ask.id))
    }

    /// Records that upstreams of this software version began the stream, and tells others. From now on the stream may
    /// go on at that version only.
    pub(crate) fn begin_stream(&self, version: Version) {
        let (node, stream) = (&self.node, self.stream());
        self.progress().version = Some(version);
        node.origins.streams().record(stream, Record { version, runner: None }, node.now());
        node.origins.log().record(&self.request.service, stream, version, node.now());
        node.origins.tell(&node.hints, Told { stream, version }, node.now());
    }
}
