//! The store with a second way to it: where it does not answer this gateway, another gateway makes the calls.
//!
//! Cuts and refusals often concern some gateways only. A call that is made for another is the same call: its
//! conditions are those of its sender, so an answer that is lost on the way costs what one lost by the store would.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Client, exec};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::rows::{Change, Commit, Feed, Page, Rows};
use store::{Error, Fault};

/// Calls in a row that the store refused before it counts as away: it also refuses when it is overrun, and then another
/// gateway's call would be one more.
const REFUSALS: u32 = 4;
/// A call without an answer counts as lost after this multiple of the usual time, in a range that holds a store which is
/// loaded and one that is slow, in milliseconds.
const PATIENCE: f64 = 20.0;
const PATIENCE_MS: (f64, f64) = (250.0, 1_200.0);
/// How much longer a read is waited for before another gateway is asked as well: a configuration of 1,600 routes takes 240 ms
/// on a link of 20 Mbit/s, and a read that is given up is made again.
const READ: Duration = Duration::from_millis(400);
/// How long a read that is late goes on beside the same call by way of others.
const LATE: Duration = Duration::from_millis(1_200);
/// The weight of a new sample in the usual time of a call.
const SAMPLE: f64 = 0.1;
/// How long a gateway that could not help is not asked again.
const REST: Duration = Duration::from_millis(500);
/// Gateways asked for one call at most.
const ASKED: usize = 2;
/// Unused connections to a gateway that are kept, and how long: calls go to ever others of a large fleet, each of which holds
/// its end.
const IDLE: (usize, Duration) = (1, Duration::from_millis(1_500));
/// After so many gateways in a row that could not help, none is asked for a while: all have lost the store then. A third of
/// them away, that is taken for all once in 700 times.
const HELPLESS: u32 = 6;
const HELPLESS_REST: Duration = Duration::from_millis(1_000);
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
    Feed { table: String, after: u64, wait_ms: u64 },
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

/// Whether the direct way works, as far as this gateway knows.
#[derive(Debug, Default)]
struct State {
    away_since: Option<Instant>,
    refusals: u32,
    /// The usual time of a call, in milliseconds.
    usual_ms: f64,
    /// Other gateways, with the time until which each is left alone.
    peers: Vec<(SocketAddr, Instant)>,
    /// Gateways in a row that could not help.
    helpless: u32,
    /// No gateway is asked until then.
    rests_until: Option<Instant>,
}

/// A store that is reached directly, or by way of another gateway.
#[derive(Clone, Debug)]
pub(crate) struct Failover<S> {
    direct: S,
    client: Client,
    state: Arc<Mutex<State>>,
    /// Calls that are being made for other gateways.
    helped: Arc<AtomicUsize>,
}

impl State {
    /// Whether calls go by way of other gateways, if there are any.
    fn is_away(&self) -> bool {
        self.away_since.is_some()
    }

    /// How long a direct call is waited for.
    fn patience(&self) -> Duration {
        Duration::from_millis((PATIENCE * self.usual_ms).clamp(PATIENCE_MS.0, PATIENCE_MS.1) as u64)
    }

    /// Takes in a direct answer; how long the store was away if it was.
    fn answered(&mut self, ms: Option<f64>) -> Option<Duration> {
        if let Some(ms) = ms {
            self.usual_ms += SAMPLE * (ms - self.usual_ms);
        }
        self.refusals = 0;
        self.away_since.take().map(|since| since.elapsed())
    }

    /// Takes in that a direct call had no answer; `true` if the store is away from now on.
    fn lost(&mut self) -> bool {
        // It may be slow: the next call waits longer.
        self.usual_ms = (2.0 * self.usual_ms).min(PATIENCE_MS.1 / PATIENCE);
        self.leave()
    }

    /// Takes in that the store refused a direct call; `true` if it is away from now on.
    fn refused(&mut self) -> bool {
        self.refusals += 1;
        self.refusals >= REFUSALS && self.leave()
    }

    fn leave(&mut self) -> bool {
        let was_here = self.away_since.is_none();
        self.away_since.get_or_insert_with(Instant::now);
        was_here
    }

    /// The gateways to ask: not those that could not help a moment ago.
    fn helpers(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        if self.rests_until.is_some_and(|until| until > now) {
            return vec![];
        }
        let rested = self.peers.iter().filter(|(_, until)| *until <= now);
        rested.map(|(peer, _)| *peer).take(ASKED).collect()
    }

    /// Takes in that a gateway helped.
    fn helped(&mut self) {
        self.helpless = 0;
    }

    /// Leaves a gateway alone for a while, and asks the others before it.
    fn rest(&mut self, peer: SocketAddr) {
        self.helpless += 1;
        if self.helpless >= HELPLESS {
            self.helpless = 0;
            self.rests_until = Some(Instant::now() + HELPLESS_REST);
        }
        let Some(index) = self.peers.iter().position(|(other, _)| *other == peer) else { return };
        self.peers.remove(index);
        self.peers.push((peer, Instant::now() + REST));
    }
}

impl<S: Rows> Failover<S> {
    pub(crate) fn new(direct: S) -> Failover<S> {
        let usual_ms = PATIENCE_MS.0 / PATIENCE;
        let state = State { usual_ms, ..State::default() };
        let (state, helped) = (Arc::new(Mutex::new(state)), Arc::default());
        Failover { direct, client: Client::with_idle(IDLE.0, IDLE.1), state, helped }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Takes in where the other gateways listen. Each gateway asks them in an order of its own, so that those of a fleet
    /// which lost the store together do not all ask the same one.
    pub(crate) fn set_peers(&self, peers: &[SocketAddr]) {
        let mut state = self.lock();
        let alive: HashSet<&SocketAddr> = peers.iter().collect();
        state.peers.retain(|(peer, _)| alive.contains(peer));
        let known: HashSet<SocketAddr> = state.peers.iter().map(|(peer, _)| *peer).collect();
        for peer in peers.iter().filter(|peer| !known.contains(*peer)) {
            let place = rand::thread_rng().gen_range(0..=state.peers.len());
            state.peers.insert(place, (*peer, Instant::now()));
        }
    }

    /// Makes a call directly, or has another gateway make it.
    ///
    /// A call that writes is made once: if its fate is not known, whoever made it has to look.
    async fn reach<T: DeserializeOwned>(
        &self,
        step: &'static str,
        call: &Call,
        direct: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        if self.lock().is_away() {
            return match self.reach_by_others(step, call).await {
                Some(result) => result,
                None => self.reach_directly(step, call, direct).await.unwrap_or_else(Err),
            };
        }
        let mut direct = pin!(direct);
        match self.reach_directly(step, call, direct.as_mut()).await {
            Err(late) if call.is_read() => self.race(step, call, direct, late).await,
            Err(late) => Err(late),
            Ok(Err(error)) if self.lock().is_away() && call.may_be_made_again(&error) => {
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
        direct: impl Future<Output = Result<T, Error>>,
    ) -> Result<Result<T, Error>, Error> {
        let more = if call.is_read() { READ } else { Duration::ZERO };
        let limit = self.lock().patience() + call.wait() + more;
        let began = Instant::now();
        let result = exec::timeout(limit, direct).await.ok_or_else(|| {
            let reason = format!("no answer within {} ms", limit.as_millis());
            Error { step, peer: "the store".to_owned(), fault: Fault::Unknown, reason }
        });
        match &result {
            Ok(Ok(_)) => {
                let ms = call.wait().is_zero().then(|| began.elapsed().as_secs_f64() * 1_000.0);
                self.answered(ms);
            }
            Ok(Err(error)) | Err(error) => self.failed(error),
        }
        result
    }

    /// Waits on for a read that is late, and has another gateway make it too: a large answer may be on its way.
    async fn race<T: DeserializeOwned>(
        &self,
        step: &'static str,
        call: &Call,
        direct: impl Future<Output = Result<T, Error>>,
        late: Error,
    ) -> Result<T, Error> {
        let rest = async {
            let result = exec::timeout(LATE, direct).await.unwrap_or(Err(late));
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
        if let Some(away) = self.lock().answered(ms) {
            log::info!("store: event=direct-way-regained after-ms={}", away.as_millis());
        }
    }

    fn failed(&self, error: &Error) {
        let has_left = match error.fault {
            Fault::Unknown => self.lock().lost(),
            Fault::NotApplied => self.lock().refused(),
        };
        if has_left {
            log::warn!("store: event=direct-way-lost peers={} {error}", self.lock().peers.len());
            exec::spawn(self.clone().probe()).detach();
        }
    }

    /// Tries the direct way until it works again.
    async fn probe(self) {
        while self.lock().is_away() {
            exec::sleep(PROBE).await;
            let limit = self.lock().patience();
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
                    self.lock().helped();
                    return Some(Ok(value));
                }
                Ok(Answer::Failed { not_applied, reason }) => {
                    let fault = if not_applied { Fault::NotApplied } else { Fault::Unknown };
                    return Some(Err(Error { step, peer: peer.to_string(), fault, reason }));
                }
                Ok(Answer::Away) => self.lock().rest(peer),
                Err(error) => {
                    self.lock().rest(peer);
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
        let limit = self.lock().patience() + call.wait() + Duration::from_millis(WAY_MS);
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
            Call::List { table, part } => self.make("list", &table, self.direct.list(&table, &part)).await,
            Call::Feed { table, after, wait_ms } => {
                self.make("feed", &table, self.direct.feed(&table, after, wait_ms)).await
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
        if self.lock().is_away() || place.number > HELPED {
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
            Call::Feed { wait_ms, .. } => Duration::from_millis(*wait_ms),
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
        self.reach("commit", &Call::Commit(change.clone()), self.direct.commit(change)).await
    }

    async fn list(&self, table: &str, part: &str) -> Result<Page, Error> {
        let call = Call::List { table: table.to_owned(), part: part.to_owned() };
        self.reach("list", &call, self.direct.list(table, part)).await
    }

    async fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Result<Feed, Error> {
        let call = Call::Feed { table: table.to_owned(), after, wait_ms };
        self.reach("feed", &call, self.direct.feed(table, after, wait_ms)).await
    }
}

#[cfg(test)]
#[path = "../tests/unit/failover.rs"]
mod tests;
