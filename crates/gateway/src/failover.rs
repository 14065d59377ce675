//! The store with a second way to it: where it does not answer this gateway, another gateway makes the calls.
//!
//! Cuts and refusals often concern some gateways only. A call that is made for another is the same call: its
//! conditions are those of its sender, so an answer that is lost on the way costs what one lost by the store would.

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

/// How much longer a read is waited for before another gateway is asked as well: its answer may hold more than a write's.
const READ: Duration = Duration::from_millis(400);
/// An answer of which bytes came within this time is on its way, and neither given up nor asked for again: the copy would take
/// half of the link from it.
const STANDSTILL: Duration = Duration::from_millis(1_000);
/// From so many bytes on an answer takes the link of a small VM for a while (50 ms at 10 Mbit/s): the gateway makes no calls
/// for others meanwhile.
const LARGE: u64 = 64 << 10;
/// How long a read that is late goes on beside the same call by way of others.
const LATE: Duration = Duration::from_millis(1_200);
/// Unused connections to a gateway that are kept, and how long: calls go to ever others of a large fleet, each of which holds
/// its end.
const IDLE: (usize, Duration) = (1, Duration::from_millis(1_500));
/// How often the direct way is tried while it is away.
const PROBE: Duration = Duration::from_millis(250);
/// What is read for that: a partition that holds nothing.
const PROBE_TABLE: &str = "gateways";
const PROBE_PART: &str = "probe";
/// Calls of other gateways that one gateway makes at the same time at most: each takes a descriptor and its buffers here, and
/// a store that answers takes a few milliseconds for each.
const HELPED: usize = 64;
/// The largest answer of another gateway, in bytes: a page of the store and its frame.
const ANSWER_LIMIT: usize = 4 << 20;
/// The time that an answer takes longer by way of another gateway, in milliseconds: a way within a region.
const WAY_MS: u64 = 50;

/// A call, as a gateway asks another to make it.
#[derive(Debug, Deserialize, Serialize)]
enum Call {
    Commit(Change),
    List { table: String, part: String },
    Feed { table: String, since: FeedQuery },
}

/// How a call ended that a gateway made for another.
#[derive(Debug, Deserialize, Serialize)]
enum Answer<T> {
    Done(T),
    /// The store's answer, or what became of the call.
    Failed {
        not_applied: bool,
        reason: String,
    },
    /// This gateway does not reach the store either; nothing was done.
    Away,
}

/// A store that is reached directly, or by way of another gateway.
#[derive(Clone, Debug)]
pub(crate) struct Failover<S> {
    direct: S,
    client: Client,
    access: Arc<Mutex<StoreHealth>>,
    /// Calls that are being made for other gateways.
    helped: Arc<AtomicUsize>,
    /// Reads whose answers are awaited.
    reads: Arc<Mutex<Vec<Progress>>>,
    /// Told of the bytes of answers.
    progress: Option<Progress>,
}

impl<S: Rows> Failover<S> {
    pub(crate) fn new(direct: S) -> Failover<S> {
        Failover {
            direct,
            client: Client::with_idle_limits(IDLE.0, IDLE.1),
            access: Arc::default(),
            helped: Arc::default(),
            reads: Arc::default(),
            progress: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreHealth> {
        self.access.lock().expect("no thread panics while it holds the access")
    }

    /// Begins to follow a read.
    fn read(&self) -> Read<'_> {
        let progress = self.progress.clone().unwrap_or_default();
        self.reads.lock().expect("no thread panics while it holds the reads").push(progress.clone());
        Read { progress, reads: &self.reads }
    }

    /// Whether the answer to a read takes the link now.
    fn is_reading(&self) -> bool {
        let reads = self.reads.lock().expect("no thread panics while it holds the reads");
        reads.iter().any(|read| read.bytes() >= LARGE)
    }

    /// Takes in where the other gateways listen.
    pub(crate) fn set_peers(&self, peers: &[SocketAddr]) {
        self.lock().set_peers(peers);
    }

    /// Makes a call directly, or has another gateway make it.
    ///
    /// A call that writes is made once: if its fate is not known, whoever made it has to look.
    async fn reach<T: DeserializeOwned>(
        &self,
        step: &'static str,
        call: &Call,
        progress: &Progress,
        direct: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let mut direct = pin!(direct);
        if self.lock().is_unreachable() {
            return match self.reach_by_others(step, call).await {
                Some(result) => result,
                None => self.reach_directly(step, call, progress, direct).await.unwrap_or_else(Err),
            };
        }
        match self.reach_directly(step, call, progress, direct.as_mut()).await {
            Err(late) if call.is_read() => self.race(step, call, progress, direct, late).await,
            Err(late) => Err(late),
            Ok(Err(error)) if self.lock().is_unreachable() && call.may_be_made_again(&error) => {
                self.reach_by_others(step, call).await.unwrap_or(Err(error))
            }
            Ok(result) => result,
        }
    }

    /// Makes a call directly; `Err` says that it is late.
    async fn reach_directly<T>(
        &self,
        step: &'static str,
        call: &Call,
        progress: &Progress,
        mut direct: Pin<&mut impl Future<Output = Result<T, Error>>>,
    ) -> Result<Result<T, Error>, Error> {
        let more = if call.is_read() { READ } else { Duration::ZERO };
        let limit = self.lock().call_timeout() + call.wait() + more;
        let began = Instant::now();
        let result = arriving(progress, limit, STANDSTILL, direct.as_mut()).await.ok_or_else(|| {
            let reason = format!("no answer within {} ms", limit.as_millis());
            Error { step, peer: "the store".to_owned(), fault: Fault::Unknown, reason }
        });
        match &result {
            Ok(Ok(_)) => {
                // What a large answer takes says nothing of others.
                let is_usual = call.wait().is_zero() && progress.bytes() < LARGE;
                self.answered(is_usual.then(|| began.elapsed().as_secs_f64() * 1_000.0));
            }
            Ok(Err(error)) | Err(error) => self.failed(error),
        }
        result
    }

    /// Waits on for a read that is late, and has another gateway make it too.
    async fn race<T: DeserializeOwned>(
        &self,
        step: &'static str,
        call: &Call,
        progress: &Progress,
        direct: Pin<&mut impl Future<Output = Result<T, Error>>>,
        late: Error,
    ) -> Result<T, Error> {
        let rest = async {
            let result = arriving(progress, LATE, STANDSTILL, direct).await.unwrap_or(Err(late));
            if result.is_ok() {
                self.answered(None);
            }
            result
        };
        let by_others = async {
            match self.reach_by_others(step, call).await {
                Some(Ok(value)) => Ok(value),
                _ => std::future::pending().await,
            }
        };
        smol::future::or(rest, by_others).await
    }

    fn answered(&self, ms: Option<f64>) {
        if let Some(away) = self.lock().record_answer(ms) {
            log::info!("store: event=direct-way-regained after-ms={}", away.as_millis());
        }
    }

    fn failed(&self, error: &Error) {
        let has_left = match error.fault {
            Fault::Unknown => self.lock().record_no_answer(),
            Fault::NotApplied => self.lock().record_refusal(),
        };
        if has_left {
            log::warn!("store: event=direct-way-lost peers={} {error}", self.lock().peers.len());
            exec::spawn(self.clone().probe()).detach();
        }
    }

    /// Tries the direct way until it works again.
    async fn probe(self) {
        while self.lock().is_unreachable() {
            exec::sleep(PROBE).await;
            let limit = self.lock().call_timeout();
            if let Some(Ok(_)) = exec::timeout(limit, self.direct.list(PROBE_TABLE, PROBE_PART)).await {
                self.answered(None);
            }
        }
    }

    /// Has another gateway make a call; `None` if none could.
    async fn reach_by_others<T: DeserializeOwned>(
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
                    if !call.may_be_made_again(&error) {
                        return Some(Err(error));
                    }
                }
            }
        }
        None
    }

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
        let limit = self.lock().call_timeout() + call.wait() + Duration::from_millis(WAY_MS);
        let answer = self.client.exchange(step, request, ANSWER_LIMIT, limit).await.map_err(|failed| {
            let fault = match failed.fault {
                net::Fault::Unsent => Fault::NotApplied,
                net::Fault::Unknown => Fault::Unknown,
            };
            error(fault, failed.reason)
        })?;
        bincode::deserialize(answer.body()).map_err(|reason| error(Fault::Unknown, reason.to_string()))
    }

    /// Makes another gateway's call, if this gateway reaches the store itself.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let Ok(bytes) = net::collect(request.into_body(), ANSWER_LIMIT).await else { return refuse() };
        let Ok(call) = bincode::deserialize::<Call>(&bytes) else { return refuse() };
        match call {
            Call::Commit(change) => self.make("commit", &change, self.direct.commit(&change)).await,
            Call::List { table, part } => {
                let read = self.read();
                let direct = self.direct.with_progress(&read.progress);
                self.make("list", &table, direct.list(&table, &part)).await
            }
            Call::Feed { table, since } => {
                let read = self.read();
                let direct = self.direct.with_progress(&read.progress);
                self.make("feed", &table, direct.feed(&table, since)).await
            }
        }
    }

    async fn make<T: Serialize>(
        &self,
        step: &'static str,
        what: &impl std::fmt::Debug,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Response<Body> {
        let place = Place::take(&self.helped);
        if self.lock().is_unreachable() || self.is_reading() || place.number > HELPED {
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

/// A read whose answer is awaited, until it is dropped.
struct Read<'a> {
    progress: Progress,
    reads: &'a Mutex<Vec<Progress>>,
}

impl Drop for Read<'_> {
    fn drop(&mut self) {
        let mut reads = self.reads.lock().expect("no thread panics while it holds the reads");
        if let Some(index) = reads.iter().position(|read| read.is_same(&self.progress)) {
            reads.swap_remove(index);
        }
    }
}

/// Waits for an answer that comes within `limit`, and as long as its bytes come without a pause of `standstill` after that;
/// `None` if they don't.
async fn arriving<T>(
    progress: &Progress,
    limit: Duration,
    standstill: Duration,
    mut answer: Pin<&mut impl Future<Output = T>>,
) -> Option<T> {
    let (mut wait, mut seen) = (limit, 0);
    loop {
        if let Some(answer) = exec::timeout(wait, answer.as_mut()).await {
            return Some(answer);
        }
        let come = progress.bytes();
        if come == seen {
            return None;
        }
        (wait, seen) = (standstill, come);
    }
}

/// A place among the calls that are made for others, until it is dropped.
struct Place<'a> {
    helped: &'a AtomicUsize,
    number: usize,
}

impl Place<'_> {
    fn take(helped: &AtomicUsize) -> Place<'_> {
        Place { helped, number: helped.fetch_add(1, Ordering::Relaxed) + 1 }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.helped.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Call {
    /// How long the store may hold it.
    fn wait(&self) -> Duration {
        match self {
            Call::Feed { since, .. } => Duration::from_millis(since.wait_ms),
            Call::Commit(_) | Call::List { .. } => Duration::ZERO,
        }
    }

    fn is_read(&self) -> bool {
        !matches!(self, Call::Commit(_))
    }

    /// Whether it may be made again after it failed so.
    fn may_be_made_again(&self, error: &Error) -> bool {
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
        self.reach("commit", &call, &Progress::default(), self.direct.commit(change)).await
    }

    async fn list(&self, table: &str, part: &str) -> Result<Page, Error> {
        let call = Call::List { table: table.to_owned(), part: part.to_owned() };
        let read = self.read();
        let direct = self.direct.with_progress(&read.progress);
        self.reach("list", &call, &read.progress, direct.list(table, part)).await
    }

    async fn feed(&self, table: &str, since: FeedQuery) -> Result<Feed, Error> {
        let call = Call::Feed { table: table.to_owned(), since };
        let read = self.read();
        let direct = self.direct.with_progress(&read.progress);
        self.reach("feed", &call, &read.progress, direct.feed(table, since)).await
    }

    fn with_progress(&self, progress: &Progress) -> Failover<S> {
        Failover { progress: Some(progress.clone()), ..self.clone() }
    }
}

#[cfg(test)]
#[path = "../tests/unit/failover.rs"]
mod tests;
