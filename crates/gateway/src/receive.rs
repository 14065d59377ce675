//! Reads the bodies of callers' requests, in bounded time and memory.
//!
//! A body is copied into one buffer that grows with what has arrived, so that small pieces cost no more than
//! their bytes: a piece as it is received keeps a whole read buffer of its connection alive. All buffers
//! together are bounded by a [`ByteBudget`], and so are the bodies that are held while their requests run. While it is used
//! up, requests are refused on their head.

use crate::manifest::Lookup;
use crate::node::Node;
use crate::ports::{Ask, Wire};
use crate::refusal::Refusal;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use prometheus::IntGauge;
use std::fmt::Display;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use store::rows::Rows;

/// The time limit of a request that names none and matches no route.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(30);
/// The largest request body that is read before a manifest is known, in bytes.
const DEFAULT_BODY_LIMIT: usize = 4 << 20;
/// The initial capacity of the buffer for a body of unknown size, in bytes.
const INITIAL_CAPACITY: usize = 1 << 10;
/// The part of the VM's memory that bodies may take while they are received. The rest is for requests that
/// run, answers, and the gateway itself.
const MEMORY_SHARE: f64 = 0.125;
/// The part of the VM's memory that all bodies may take, with those of requests that run. A body is held until its request
/// has ended: it may be sent again, or turn out to have crashed its upstream.
const TOTAL_MEMORY_SHARE: f64 = 0.7;
/// The bytes of a megabyte.
pub(crate) const MEGABYTE: f64 = 1e6;

/// The memory that bodies may take: those that are being received, and those that are held for running requests.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
    gauge: IntGauge,
    total_limit: usize,
    held: Arc<AtomicUsize>,
}

/// The memory of a body that is held for a running request, until it is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    bytes: usize,
    held: Arc<AtomicUsize>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl ByteBudget {
    /// Creates the budget of a VM; without its memory, there is no bound. `gauge` shows the bytes in use.
    pub(crate) fn new(memory_mb: Option<f64>, gauge: IntGauge) -> ByteBudget {
        let limit = |share: f64| memory_mb.map_or(usize::MAX, |mb| (mb * MEGABYTE * share) as usize);
        let (total_limit, limit) = (limit(TOTAL_MEMORY_SHARE), limit(MEMORY_SHARE));
        ByteBudget { limit, used: AtomicUsize::new(0), gauge, total_limit, held: Arc::default() }
    }

    /// The memory of bodies of running requests, and of what else is counted with them.
    pub(crate) fn held(&self) -> &Arc<AtomicUsize> {
        &self.held
    }

    /// Counts a body that has been received for as long as its request runs.
    pub(crate) fn hold(&self, bytes: usize) -> Held {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        Held { bytes, held: self.held.clone() }
    }

    /// Whether this many bytes of bodies that are being received fit beside those that are held.
    fn fits(&self, receiving: usize) -> bool {
        let total = receiving.saturating_add(self.held.load(Ordering::Relaxed));
        receiving <= self.limit && total <= self.total_limit
    }

    /// Whether a body of this size fits now.
    fn has_room(&self, bytes: usize) -> bool {
        self.fits(self.used.load(Ordering::Relaxed).saturating_add(bytes))
    }

    fn try_take(&self, bytes: usize) -> bool {
        let take = |used: usize| used.checked_add(bytes).filter(|used| self.fits(*used));
        let is_taken = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok();
        if is_taken {
            self.gauge.add(bytes as i64);
        }
        is_taken
    }

    fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        self.gauge.sub(bytes as i64);
    }
}

/// Why a body was not received.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Failure {
    /// The byte budget is used up.
    Crowded,
    /// The body exceeds the limit on its size.
    TooLarge,
    /// The caller's connection broke.
    Broken(String),
}

/// The received part of a body. Its capacity is taken from the byte budget until it is dropped.
struct Buffer<'a> {
    bytes: Vec<u8>,
    /// The size of the body, if known, or else the largest size allowed.
    max: usize,
    /// The capacity that was taken from the budget.
    taken: usize,
    budget: &'a ByteBudget,
}

impl<'a> Buffer<'a> {
    fn new(max: usize, budget: &'a ByteBudget) -> Buffer<'a> {
        Buffer { bytes: vec![], max, taken: 0, budget }
    }

    /// Adds a piece. The capacity doubles as needed, but never exceeds the size of the body if it is known.
    fn push(&mut self, piece: &[u8]) -> Result<(), Failure> {
        let length = self.bytes.len() + piece.len();
        if length > self.max {
            return Err(Failure::TooLarge);
        }
        if length > self.taken {
            let capacity = length.max(INITIAL_CAPACITY).max(2 * self.taken).min(self.max);
            if !self.budget.try_take(capacity - self.taken) {
                return Err(Failure::Crowded);
            }
            self.taken = capacity;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    fn finish(mut self) -> Bytes {
        Bytes::from(std::mem::take(&mut self.bytes))
    }
}

impl Drop for Buffer<'_> {
    fn drop(&mut self) {
        self.budget.release(self.taken);
    }
}

/// Reads a complete body of at most `limit` bytes.
async fn collect<B>(body: B, limit: usize, budget: &ByteBudget) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes>,
    B::Error: Display,
{
    let declared = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
    let mut buffer = Buffer::new(declared.map_or(limit, |size| size.min(limit)), budget);
    let mut body = pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Failure::Broken(error.to_string()))?;
        // Trailers are not forwarded.
        if let Ok(piece) = frame.into_data() {
            buffer.push(&piece)?;
        }
    }
    Ok(buffer.finish())
}

/// The size that the head of a request declares, or 1 if the body is not empty and its size is unknown.
fn declared_size(body: &impl Body) -> usize {
    let least = u64::from(!body.is_end_stream());
    usize::try_from(body.size_hint().lower().max(least)).unwrap_or(usize::MAX)
}

/// The time limit of a request: the caller's, the route's, or a default if neither is known.
fn time_limit<W: Wire, S: Rows>(node: &Node<W, S>, ask: &Ask, path: &str) -> Duration {
    let route_ms =
        node.manifest().and_then(|manifest| match manifest.lookup(&ask.host, path, ask.key.as_deref()) {
            Lookup::Allowed(route, _) => Some(route.timeout_ms),
            Lookup::NoRoute | Lookup::NoKey => None,
        });
    let limits = [ask.wait_ms, route_ms];
    limits.into_iter().flatten().min().map_or(DEFAULT_TIME_LIMIT, Duration::from_millis)
}

/// Reads the body of a request that arrived at `arrived`. Otherwise returns the refusal of the request and
/// details for the log.
pub(crate) async fn body<W, S, B>(
    node: &Node<W, S>,
    ask: &Ask,
    head: &http::request::Parts,
    body: B,
    arrived: u64,
) -> Result<Bytes, (Refusal, String)>
where
    W: Wire,
    S: Rows,
    B: Body<Data = Bytes>,
    B::Error: Display,
{
    let budget = &node.receiving;
    let declared = declared_size(&body);
    let crowded = || {
        let (used, held) = (budget.used.load(Ordering::Relaxed), budget.held.load(Ordering::Relaxed));
        let (limit, total) = (budget.limit, budget.total_limit);
        let detail = format!(
            "bytes={declared} receiving-bytes={used} limit={limit} held-bytes={held} total-limit={total}"
        );
        (Refusal::Crowded, detail)
    };
    if !budget.has_room(declared) {
        return Err(crowded());
    }
    let limit = node.manifest().map_or(DEFAULT_BODY_LIMIT, |manifest| manifest.body_limit);
    let time_limit = time_limit(node, ask, head.uri.path());
    let elapsed = Duration::from_millis(node.now().saturating_sub(arrived));
    let receiving = collect(body, limit, budget);
    match node.clock.timeout(time_limit.saturating_sub(elapsed), receiving).await {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(Failure::Crowded)) => Err(crowded()),
        Some(Err(Failure::TooLarge)) => Err((Refusal::BodyTooLarge, format!("limit={limit}"))),
        Some(Err(Failure::Broken(reason))) => Err((Refusal::BodyIncomplete, reason)),
        None => {
            node.metrics.slow_callers.with_label_values(&["sending"]).inc();
            Err((Refusal::BodyTimedOut, format!("bytes={declared} ms={}", time_limit.as_millis())))
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/receive.rs"]
mod tests;
