//! Access to the store with failover: if the store does not answer this gateway, another gateway makes its
//! calls.
//!
//! Network partitions and refusals often affect only some gateways. A call is forwarded unchanged, with the
//! conditions of its sender, so an answer that is lost between gateways has the same effect as one lost
//! between gateway and store.

use crate::store_health::StoreHealth;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, exec};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::rows::{Change, Commit, Feed, FeedQuery, Page, Progress, Rows};
use store::{Error, Fault};

/// How much longer a read may take than a write before another gateway is asked as well, since its answer may
/// be larger.
const READ_ALLOWANCE: Duration = Duration::from_millis(400);
/// While bytes of an answer keep arriving at shorter intervals than this, the call is neither abandoned nor
/// repeated: a second copy would take half of the link's bandwidth from the first one.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// From this size on, an answer occupies the link of a small VM for a while (50 ms at 10 Mbit/s). Meanwhile
/// the gateway makes no calls for others.
const LARGE_ANSWER_BYTES: u64 = 64 << 10;
/// How long a late read may continue while other gateways are asked to make it too.
const LATE_READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The number of unused connections to a gateway that are kept, and for how long. In a large fleet the calls
/// go to ever different gateways, and each connection takes memory at both ends.
const IDLE_CONNECTIONS: (usize, Duration) = (1, Duration::from_millis(1_500));
/// The interval at which a direct call is tried while the store is unreachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The table and the partition that this call reads. The partition is empty.
const PROBE_TABLE: &str = "gateways";
const PROBE_PART: &str = "probe";
/// The most calls that a gateway makes for others concurrently. Each takes a descriptor and buffers, and only
/// a few milliseconds if the store answers.
const MAX_FORWARDED_CALLS: usize = 64;
/// The largest forwarded call or answer, in bytes: a page of the store and its encoding.
const MESSAGE_LIMIT: usize = 4 << 20;
/// How much longer a call through another gateway may take, in milliseconds: a round trip within a region.
const FORWARDING_ALLOWANCE_MS: u64 = 50;

/// A call that a gateway asks another one to make.
#[derive(Debug, Deserialize, Serialize)]
enum Call {
    Commit(Change),
    List { table: String, part: String },
    Feed { table: String, since: FeedQuery },
}

/// The result of a call that a gateway made for another one.
#[derive(Debug, Deserialize, Serialize)]
enum Answer<T> {
    /// The store's answer.
    Done(T),
    /// The call failed; whether the store certainly did not apply it, and why.
    Failed { not_applied: bool, reason: String },
    /// The call was not made: the gateway can't reach the store either, or is too busy.
    Away,
}

/// A store that is called directly, or through another gateway.
#[derive(Clone, Debug)]
pub(crate) struct Failover<S> {
    direct: S,
    client: Client,
    health: Arc<Mutex<StoreHealth>>,
    /// The number of calls that are being made for other gateways.
    forwarded: Arc<AtomicUsize>,
    /// The reads in progress.
    reads: Arc<Mutex<Vec<Progress>>>,
    /// If set, counts the received bytes of reads.
    progress: Option<Progress>,
}

impl<S: Rows> Failover<S> {
    pub(crate) fn new(direct: S) -> Failover<S> {
        Failover {
            direct,
            client: Client::with_idle_limits(IDLE_CONNECTIONS.0, IDLE_CONNECTIONS.1),
            health: Arc::default(),
            forwarded: Arc::default(),
            reads: Arc::default(),
            progress: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreHealth> {
        self.health.lock().expect("the health lock is not poisoned")
    }

    /// Registers a read.
    fn begin_read(&self) -> ActiveRead<'_> {
        let progress = self.progress.clone().unwrap_or_default();
        self.reads.lock().expect("no thread panics while it holds the reads").push(progress.clone());
        ActiveRead { progress, reads: &self.reads }
    }

    /// Whether a large answer to a read is occupying the link.
    fn is_link_busy(&self) -> bool {
        let reads = self.reads.lock().expect("no thread panics while it holds the reads");
        reads.iter().any(|read| read.bytes() >= LARGE_ANSWER_BYTES)
    }

    /// Sets the addresses of the other gateways.
    pub(crate) fn set_peers(&self, peers: &[SocketAddr]) {
        self.lock().set_peers(peers);
    }

    /// Makes a call directly, or has another gateway make it.
    ///
    /// A write with an unknown outcome is not repeated; the caller has to determine whether it was applied.
    async fn call<T: DeserializeOwned>(
        &self,
        step: &'static str,
        call: &Call,
        progress: &Progress,
        direct: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let mut direct = pin!(direct);
        if self.lock().is_unreachable() {
            return match self.call_through_peers(step, call).await {
                Some(result) => result,
                None => self.call_directly(step, call, progress, direct).await.unwrap_or_else(Err),
            };
        }
        match self.call_directly(step, call, progress, direct.as_mut()).await {
            Err(late) if call.is_read() => self.race_late_read(step, call, progress, direct, late).await,
            Err(late) => Err(late),
            Ok(Err(error)) if self.lock().is_unreachable() && call.may_be_repeated(&error) => {
                self.call_through_peers(step, call).await.unwrap_or(Err(error))
            }
            Ok(result) => result,
        }
    }

    /// Makes a call directly. The outer error means that there is no answer yet.
    async fn call_directly<T>(
        &self,
        step: &'static str,
        call: &Call,
        progress: &Progress,
        mut direct: Pin<&mut impl Future<Output = Result<T, Error>>>,
    ) -> Result<Result<T, Error>, Error> {
        let allowance = if call.is_read() { READ_ALLOWANCE } else { Duration::ZERO };
        let limit = self.lock().call_timeout() + call.wait() + allowance;
        let began = Instant::now();
        let result = await_answer(progress, limit, STALL_TIMEOUT, direct.as_mut()).await.ok_or_else(|| {
            let reason = format!("no answer within {} ms", limit.as_millis());
            Error { step, peer: "the store".to_owned(), fault: Fault::Unknown, reason }
        });
        match &result {
            Ok(Ok(_)) => {
                // The time of a large answer, or of one that the store held back, is not typical of other
                // calls.
                let is_typical = call.wait().is_zero() && progress.bytes() < LARGE_ANSWER_BYTES;
                self.record_answer(is_typical.then(|| began.elapsed().as_secs_f64() * 1_000.0));
            }
            Ok(Err(error)) | Err(error) => self.record_failure(error),
        }
        result
    }

    /// Continues to wait for a late read while other gateways are asked to make it too.
    async fn race_late_read<T: DeserializeOwned>(
        &self,
        step: &'static str,
        call: &Call,
        progress: &Progress,
        direct: Pin<&mut impl Future<Output = Result<T, Error>>>,
        late: Error,
    ) -> Result<T, Error> {
        let direct = async {
            let result =
                await_answer(progress, LATE_READ_TIMEOUT, STALL_TIMEOUT, direct).await.unwrap_or(Err(late));
            if result.is_ok() {
                self.record_answer(None);
            }
            result
        };
        let forwarded = async {
            match self.call_through_peers(step, call).await {
                Some(Ok(value)) => Ok(value),
                _ => std::future::pending().await,
            }
        };
        smol::future::or(direct, forwarded).await
    }

    fn record_answer(&self, ms: Option<f64>) {
        if let Some(outage) = self.lock().record_answer(ms) {
            log::info!("store: event=direct-way-regained after-ms={}", outage.as_millis());
        }
    }

    fn record_failure(&self, error: &Error) {
        let is_lost = match error.fault {
            Fault::Unknown => self.lock().record_no_answer(),
            Fault::NotApplied => self.lock().record_refusal(),
        };
        if is_lost {
            log::warn!("store: event=direct-way-lost peers={} {error}", self.lock().peers.len());
            exec::spawn(self.clone().probe()).detach();
        }
    }

    /// Tries a direct call periodically until the store answers.
    async fn probe(self) {
        while self.lock().is_unreachable() {
            exec::sleep(PROBE_INTERVAL).await;
            let limit = self.lock().call_timeout();
            if let Some(Ok(_)) = exec::timeout(limit, self.direct.list(PROBE_TABLE, PROBE_PART)).await {
                self.record_answer(None);
            }
        }
    }

    /// Asks other gateways to make a call; `None` if none of them made it.
    async fn call_through_peers<T: DeserializeOwned>(
        &self,
        step: &'static str,
        call: &Call,
    ) -> Option<Result<T, Error>> {
        let helpers = self.lock().helpers();
        for peer in helpers {
            match self.ask(step, peer, call).await {
                Ok(Answer::Done(value)) => {
                    self.lock().record_helped();
                    return Some(Ok(value));
                }
                Ok(Answer::Failed { not_applied, reason }) => {
                    let fault = if not_applied { Fault::NotApplied } else { Fault::Unknown };
                    return Some(Err(Error { step, peer: peer.to_string(), fault, reason }));
                }
                Ok(Answer::Away) => self.lock().back_off(peer),
                Err(error) => {
                    self.lock().back_off(peer);
                    if !call.may_be_repeated(&error) {
                        return Some(Err(error));
                    }
                }
            }
        }
        None
    }

    /// Asks one gateway to make a call.
    async fn ask<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        call: &Call,
    ) -> Result<Answer<T>, Error> {
        let error = |fault, reason: String| Error { step, peer: peer.to_string(), fault, reason };
        let body = bincode::serialize(call).map_err(|reason| error(Fault::NotApplied, reason.to_string()))?;
        let request = Request::post(format!("http://{peer}/")).body(Body::from(body));
        let request = request.map_err(|reason| error(Fault::NotApplied, reason.to_string()))?;
        let limit = self.lock().call_timeout() + call.wait() + Duration::from_millis(FORWARDING_ALLOWANCE_MS);
        let answer = self.client.exchange(step, request, MESSAGE_LIMIT, limit).await.map_err(|failed| {
            let fault = match failed.fault {
                net::Fault::Unsent => Fault::NotApplied,
                net::Fault::Unknown => Fault::Unknown,
            };
            error(fault, failed.reason)
        })?;
        bincode::deserialize(answer.body()).map_err(|reason| error(Fault::Unknown, reason.to_string()))
    }

    /// Makes a call for another gateway, if this gateway can reach the store directly.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let Ok(bytes) = net::collect(request.into_body(), MESSAGE_LIMIT).await else { return refuse() };
        let Ok(call) = bincode::deserialize::<Call>(&bytes) else { return refuse() };
        match call {
            Call::Commit(change) => self.make_for_peer("commit", &change, self.direct.commit(&change)).await,
            Call::List { table, part } => {
                let read = self.begin_read();
                let direct = self.direct.with_progress(&read.progress);
                self.make_for_peer("list", &table, direct.list(&table, &part)).await
            }
            Call::Feed { table, since } => {
                let read = self.begin_read();
                let direct = self.direct.with_progress(&read.progress);
                self.make_for_peer("feed", &table, direct.feed(&table, since)).await
            }
        }
    }

    async fn make_for_peer<T: Serialize>(
        &self,
        step: &'static str,
        what: &impl std::fmt::Debug,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Response<Body> {
        let slot = CallSlot::take(&self.forwarded);
        if self.lock().is_unreachable() || self.is_link_busy() || slot.number > MAX_FORWARDED_CALLS {
            return encode(&Answer::<T>::Away);
        }
        let answer = match call.await {
            Ok(value) => Answer::Done(value),
            Err(error) => {
                log::debug!("store: event=call-for-another-failed step={step} of={what:?} {error}");
                Answer::Failed { not_applied: error.fault == Fault::NotApplied, reason: error.reason }
            }
        };
        encode(&answer)
    }
}

/// A read in progress. Dropping it ends the registration.
struct ActiveRead<'a> {
    progress: Progress,
    reads: &'a Mutex<Vec<Progress>>,
}

impl Drop for ActiveRead<'_> {
    fn drop(&mut self) {
        let mut reads = self.reads.lock().expect("no thread panics while it holds the reads");
        if let Some(index) = reads.iter().position(|read| read.is_same(&self.progress)) {
            reads.swap_remove(index);
        }
    }
}

/// Waits for an answer for `limit`, and after that for as long as its bytes arrive without a gap of
/// `stall_timeout`. Returns `None` on a time-out.
async fn await_answer<T>(
    progress: &Progress,
    limit: Duration,
    stall_timeout: Duration,
    mut answer: Pin<&mut impl Future<Output = T>>,
) -> Option<T> {
    let (mut wait, mut seen) = (limit, 0);
    loop {
        if let Some(answer) = exec::timeout(wait, answer.as_mut()).await {
            return Some(answer);
        }
        let received = progress.bytes();
        if received == seen {
            return None;
        }
        (wait, seen) = (stall_timeout, received);
    }
}

/// Counts a call that is made for another gateway until it is dropped.
struct CallSlot<'a> {
    forwarded: &'a AtomicUsize,
    /// The number of such calls, this one included.
    number: usize,
}

impl CallSlot<'_> {
    fn take(forwarded: &AtomicUsize) -> CallSlot<'_> {
        CallSlot { forwarded, number: forwarded.fetch_add(1, Ordering::Relaxed) + 1 }
    }
}

impl Drop for CallSlot<'_> {
    fn drop(&mut self) {
        self.forwarded.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Call {
    /// How long the store may hold the call before it answers.
    fn wait(&self) -> Duration {
        match self {
            Call::Feed { since, .. } => Duration::from_millis(since.wait_ms),
            Call::Commit(_) | Call::List { .. } => Duration::ZERO,
        }
    }

    fn is_read(&self) -> bool {
        !matches!(self, Call::Commit(_))
    }

    /// Whether the call may be repeated after this error.
    fn may_be_repeated(&self, error: &Error) -> bool {
        self.is_read() || error.fault == Fault::NotApplied
    }
}

fn encode<T: Serialize>(answer: &Answer<T>) -> Response<Body> {
    match bincode::serialize(answer) {
        Ok(bytes) => Response::new(Body::from(bytes)),
        Err(error) => {
            log::error!("store: event=answer-not-encoded error=\"{error}\"");
            refuse()
        }
    }
}

fn refuse() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

impl<S: Rows> Rows for Failover<S> {
    async fn commit(&self, change: &Change) -> Result<Commit, Error> {
        let call = Call::Commit(change.clone());
        self.call("commit", &call, &Progress::default(), self.direct.commit(change)).await
    }

    async fn list(&self, table: &str, part: &str) -> Result<Page, Error> {
        let call = Call::List { table: table.to_owned(), part: part.to_owned() };
        let read = self.begin_read();
        let direct = self.direct.with_progress(&read.progress);
        self.call("list", &call, &read.progress, direct.list(table, part)).await
    }

    async fn feed(&self, table: &str, since: FeedQuery) -> Result<Feed, Error> {
        let call = Call::Feed { table: table.to_owned(), since };
        let read = self.begin_read();
        let direct = self.direct.with_progress(&read.progress);
        self.call("feed", &call, &read.progress, direct.feed(table, since)).await
    }

    fn with_progress(&self, progress: &Progress) -> Failover<S> {
        Failover { progress: Some(progress.clone()), ..self.clone() }
    }
}

#[cfg(test)]
#[path = "../tests/unit/failover.rs"]
mod tests;
