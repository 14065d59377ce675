//! Which software version began a stream, so that any gateway can take the stream up.
//!
//! A gateway that begins a stream tells a few others, its keepers, which rendezvous hashing selects by the stream.
//! A gateway that is asked to take the stream up asks the keepers. The two may know different gateways: the first one tells
//! new keepers when its list of gateways changes, and the second one asks further gateways if the keepers know nothing.

use crate::Millis;
use crate::version::{Seen, Version};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of gateways that are asked where a stream began.
pub const ASKED: usize = 5;
/// The most gateways that are asked about a stream of which the first [`ASKED`] know nothing.
pub const MAX_ASKED: usize = 64;
/// The questions per second to others than the first [`ASKED`]: with headers and connections, some 3 KB.
const FURTHER_QUESTIONS_PER_S: f64 = 4.0;
/// The most such questions at once.
const FURTHER_QUESTIONS_BURST: f64 = 256.0;
/// The interval at which what there is to tell is sent, in milliseconds.
pub const FLUSH_MS: Millis = 200;
/// The largest number of streams that a gateway remembers.
const MAX_STREAMS: usize = 1 << 16;
/// The bytes per second that a gateway may spend on telling others, with the headers of IP and UDP.
const TELLING_BYTES_PER_S: f64 = 2_400.0;
/// The bytes of a datagram without its streams, with the headers of IP and UDP.
const DATAGRAM_BYTES: f64 = 40.0;
/// The bytes of a stream in a datagram.
const STREAM_BYTES: f64 = 14.0;
/// The time constant of the rate at which streams begin, in milliseconds.
const RATE_TIME_MS: f64 = 5_000.0;

/// The shortest time over which that rate is observed, in milliseconds.
const MIN_OBSERVED_MS: Millis = 250;

/// A stream over all attempts of its caller, as a digest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Stream(u64);

impl fmt::Display for Stream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl Stream {
    /// The stream whose first event came to `attempt`. Attempts of other teams have other streams, even if their
    /// names are the same.
    pub fn of(service: &str, team: &str, attempt: &str) -> Stream {
        let seed = xxh3_64_with_seed(team.as_bytes(), xxh3_64(service.as_bytes()));
        Stream(xxh3_64_with_seed(attempt.as_bytes(), seed))
    }
}

/// The versions that began streams, as far as this gateway began them or was told.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    streams: HashMap<Stream, (Record, Millis)>,
    order: VecDeque<(Millis, Stream)>,
}

/// Where a stream began, and the gateway that ran it last, as far as the recorder knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The version that began the stream.
    pub version: Version,
    /// The gateway; `None` if it is the recorder itself.
    pub runner: Option<SocketAddr>,
}

impl Origins {
    /// Records where a stream began. If the stream is known already, its time starts again.
    pub fn record(&mut self, stream: Stream, record: Record, now: Millis) {
        self.streams.insert(stream, (record, now));
        self.order.push_back((now, stream));
        while self.order.len() > MAX_STREAMS {
            self.remove_oldest();
        }
    }

    /// Records where a stream began, unless that is known.
    pub fn record_if_unknown(&mut self, stream: Stream, record: Record, now: Millis) {
        if !self.streams.contains_key(&stream) {
            self.record(stream, record, now);
        }
    }

    /// Where a stream began, if it was recorded within `lifetime`.
    pub fn get(&self, stream: Stream, lifetime: Millis, now: Millis) -> Option<Record> {
        let (record, at) = self.streams.get(&stream)?;
        (now.saturating_sub(*at) <= lifetime).then_some(*record)
    }

    /// Forgets the streams that were recorded more than `lifetime` ago.
    pub fn expire(&mut self, lifetime: Millis, now: Millis) {
        while self.order.front().is_some_and(|(at, _)| now.saturating_sub(*at) > lifetime) {
            self.remove_oldest();
        }
    }

    /// All streams, each with its record.
    pub fn iter(&self) -> impl Iterator<Item = (Stream, Record)> {
        self.streams.iter().map(|(stream, (record, _))| (*stream, *record))
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn remove_oldest(&mut self) {
        let Some((at, stream)) = self.order.pop_front() else { return };
        if self.streams.get(&stream).is_some_and(|(_, recorded)| *recorded == at) {
            self.streams.remove(&stream);
        }
    }
}

/// The first `count` keepers of a stream: each gateway gets the same ones from the same list. Each gateway comes
/// with the name by which all know it.
pub fn keepers<G, N: AsRef<[u8]>>(
    stream: Stream,
    gateways: impl IntoIterator<Item = (G, N)>,
    count: usize,
) -> SmallVec<[G; ASKED]> {
    let mut first: SmallVec<[(Reverse<u64>, G); ASKED]> = SmallVec::new();
    for (gateway, name) in gateways {
        let weight = Reverse(xxh3_64_with_seed(name.as_ref(), stream.0));
        let place = first.iter().position(|(other, _)| weight < *other).unwrap_or(first.len());
        if place < count {
            first.truncate(count.saturating_sub(1).max(place));
            first.insert(place, (weight, gateway));
        }
    }
    first.into_iter().map(|(_, gateway)| gateway).collect()
}

/// Decides how many keepers are told of a stream, by the rate at which streams begin at this gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Telling {
    /// The average rate, which counts the time before the first stream as time without streams.
    per_ms: f64,
    at: Millis,
    since: Option<Millis>,
}

impl Telling {
    /// Records a stream that began. Returns the number of keepers to tell, out of `others` gateways.
    pub fn record(&mut self, others: usize, now: Millis) -> usize {
        self.since.get_or_insert(now);
        let elapsed = now.saturating_sub(self.at) as f64;
        self.per_ms = self.per_ms * (-elapsed / RATE_TIME_MS).exp() + 1.0 / RATE_TIME_MS;
        self.at = now;
        self.keepers(others)
    }

    /// The streams that begin in a second.
    fn per_s(&self) -> f64 {
        let observed = self.at.saturating_sub(self.since.unwrap_or(self.at)).max(MIN_OBSERVED_MS) as f64;
        self.per_ms * 1_000.0 / (1.0 - (-observed / RATE_TIME_MS).exp())
    }

    /// As many keepers as the bytes allow, and at least one.
    pub fn keepers(&self, others: usize) -> usize {
        let per_s = self.per_s();
        let bytes_per_s = |keepers: usize| {
            let streams_per_s = per_s * keepers as f64;
            let datagrams_per_s = streams_per_s.min(others as f64 * 1_000.0 / FLUSH_MS as f64);
            datagrams_per_s * DATAGRAM_BYTES + streams_per_s * STREAM_BYTES
        };
        let most = others.min(ASKED);
        (2..=most)
            .take_while(|keepers| bytes_per_s(*keepers) <= TELLING_BYTES_PER_S)
            .last()
            .unwrap_or(most.min(1))
    }
}

/// Bounds the questions to gateways beyond the first [`ASKED`] keepers of streams.
#[derive(Clone, Copy, Debug)]
pub struct Asking {
    available: f64,
    at: Millis,
}

impl Default for Asking {
    fn default() -> Asking {
        Asking { available: FURTHER_QUESTIONS_BURST, at: 0 }
    }
}

impl Asking {
    /// Whether so many gateways may be asked now, which are counted then.
    pub fn take(&mut self, questions: usize, now: Millis) -> bool {
        let gained = now.saturating_sub(self.at) as f64 * FURTHER_QUESTIONS_PER_S / 1_000.0;
        self.available = (self.available + gained).min(FURTHER_QUESTIONS_BURST);
        self.at = self.at.max(now);
        let is_allowed = questions as f64 <= self.available;
        if is_allowed {
            self.available -= questions as f64;
        }
        is_allowed
    }
}

/// What a gateway knows of a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Knowledge {
    /// The version that began the stream, if it is recorded.
    pub version: Option<Version>,
    /// The versions of the stream's service.
    pub seen: Seen,
}

impl Knowledge {
    /// What is known at present, which the list tells only if it holds all that has happened.
    pub fn at_present(self, is_list_present: bool) -> Knowledge {
        match is_list_present {
            true => self,
            false => Knowledge { seen: self.seen.behind(), ..self },
        }
    }
}

/// Whether a stream can be taken up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// At upstreams of this version.
    At(Version),
    /// It is not known which version began it.
    Unknown,
}

/// Decides where a stream began. `own` is what this gateway knows, and `others` what those know that were asked and
/// answered.
///
/// A recorded version decides. Without one, the stream began at the only version that any of them has seen, unless
/// one of them has seen another.
pub fn resolve(own: Knowledge, others: &[Knowledge]) -> Origin {
    let all = || std::iter::once(&own).chain(others);
    if let Some(version) = all().find_map(|known| known.version) {
        return Origin::At(version);
    }
    let mut soles = all().filter_map(|known| match known.seen {
        Seen::Sole(version) => Some(version),
        Seen::Several | Seen::Unknown => None,
    });
    let Some(sole) = soles.next() else { return Origin::Unknown };
    let is_contradicted = all().any(|known| known.seen == Seen::Several) || soles.any(|other| other != sole);
    match is_contradicted {
        true => Origin::Unknown,
        false => Origin::At(sole),
    }
}
