//! A platform in memory: table, objects and VM list, with rate limits, outages and lost answers.

use crate::loopback;
use http::{Request, Response, StatusCode};
use hyper::body::{Bytes, Incoming};
use net::{Body, Handle, Limits};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::{Row, Tx, TxOutcome, Vm};

/// The largest request body in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// How the platform answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// Calls are answered at once.
    #[default]
    Up,
    /// Every call is refused with status 503.
    Down,
    /// Every call is delayed by this time before it takes effect.
    Slow(Duration),
    /// This many of the next writes take effect, but are answered with status 504. Then the mode is
    /// [`Mode::Up`].
    LoseAnswers(u32),
}

/// The calls per second above which the platform answers with status 429.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Commits and object writes.
    pub writes: f64,
    /// Reads and scans.
    pub reads: f64,
}

/// Counts of the calls to the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Commits and object writes that took effect.
    pub writes: u64,
    /// Rows written.
    pub rows: u64,
    /// Reads and scans.
    pub reads: u64,
    /// Commits whose checks failed.
    pub conflicts: u64,
    /// Calls refused because of the rate limits.
    pub limited: u64,
    /// Bytes of all request bodies and answers.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: HashMap<String, Bytes>,
    vms: Vec<Vm>,
    mode: Mode,
    counts: Counts,
    limits: Option<(Bucket, Bucket)>,
}

/// A token bucket that holds the calls of one second.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, tokens: rate, refilled_at: Instant::now() }
    }

    /// Takes a token; `false` if there is none.
    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let added = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(self.rate);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// A running platform; clones share its state.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    server: Arc<Handle>,
}

impl Platform {
    /// Starts an empty platform on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Platform> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let server =
            net::serve(loopback(), Limits::default(), move |request| answer(shared.clone(), request)).await?;
        Ok(Platform { state, server: Arc::new(server) })
    }

    /// The address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how calls are answered from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Sets the rate limits.
    pub fn set_rates(&self, rates: Rates) {
        self.lock().limits = Some((Bucket::new(rates.writes), Bucket::new(rates.reads)));
    }

    /// Replaces the VM list. It does not change by itself when VMs come or go.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    /// The calls so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// The rows whose keys start with `prefix`, for audits.
    pub fn rows(&self, prefix: &str) -> BTreeMap<String, Row> {
        scan(&self.lock().rows, prefix)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the platform")
    }
}

fn scan(rows: &BTreeMap<String, Row>, prefix: &str) -> BTreeMap<String, Row> {
    rows.range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .map(|(key, row)| (key.clone(), row.clone()))
        .collect()
}

/// The decision on a call before it is executed.
enum Admission {
    Serve { delay: Duration, lose_answer: bool },
    Refuse(StatusCode),
}

fn admit(state: &mut State, write: bool) -> Admission {
    if let Some((writes, reads)) = &mut state.limits {
        let bucket = if write { writes } else { reads };
        if !bucket.try_take() {
            state.counts.limited += 1;
            return Admission::Refuse(StatusCode::TOO_MANY_REQUESTS);
        }
    }
    match state.mode {
        Mode::Up => Admission::Serve { delay: Duration::ZERO, lose_answer: false },
        Mode::Down => Admission::Refuse(StatusCode::SERVICE_UNAVAILABLE),
        Mode::Slow(delay) => Admission::Serve { delay, lose_answer: false },
        Mode::LoseAnswers(left) if write => {
            state.mode = if left > 1 { Mode::LoseAnswers(left - 1) } else { Mode::Up };
            Admission::Serve { delay: Duration::ZERO, lose_answer: true }
        }
        Mode::LoseAnswers(_) => Admission::Serve { delay: Duration::ZERO, lose_answer: false },
    }
}

async fn answer(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let write = path == "/table/commit" || request.method() == http::Method::PUT;
    let Ok(body) = net::collect(request.into_body(), BODY_LIMIT).await else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let admission = admit(&mut state.lock().expect("the platform's lock"), write);
    let (delay, lose_answer) = match admission {
        Admission::Refuse(status) => return status_response(status),
        Admission::Serve { delay, lose_answer } => (delay, lose_answer),
    };
    if !delay.is_zero() {
        net::exec::sleep(delay).await;
    }
    let response = execute(&mut state.lock().expect("the platform's lock"), &path, write, &body);
    if lose_answer { status_response(StatusCode::GATEWAY_TIMEOUT) } else { response }
}

fn execute(state: &mut State, path: &str, write: bool, body: &Bytes) -> Response<Body> {
    state.counts.bytes += body.len() as u64;
    if !write {
        state.counts.reads += 1;
    }
    match path {
        "/table/read" => match serde_json::from_slice::<Vec<String>>(body) {
            Ok(keys) => {
                let rows: Vec<_> = keys.iter().map(|key| state.rows.get(key).cloned()).collect();
                json_response(state, &rows)
            }
            Err(_) => status_response(StatusCode::BAD_REQUEST),
        },
        "/table/scan" => match serde_json::from_slice::<String>(body) {
            Ok(prefix) => {
                let rows = scan(&state.rows, &prefix);
                json_response(state, &rows)
            }
            Err(_) => status_response(StatusCode::BAD_REQUEST),
        },
        "/table/commit" => match serde_json::from_slice::<Tx>(body) {
            Ok(tx) => {
                let outcome = commit(state, tx);
                json_response(state, &outcome)
            }
            Err(_) => status_response(StatusCode::BAD_REQUEST),
        },
        "/vms" => {
            let vms = state.vms.clone();
            json_response(state, &vms)
        }
        _ => object(state, path, write, body),
    }
}

fn commit(state: &mut State, tx: Tx) -> TxOutcome {
    let version = |key: &str| state.rows.get(key).map_or(0, |row| row.version);
    if !tx.checks.iter().all(|check| version(&check.key) == check.version) {
        state.counts.conflicts += 1;
        return TxOutcome::Conflict;
    }
    state.counts.writes += 1;
    state.counts.rows += tx.puts.len() as u64;
    for put in tx.puts {
        let version = state.rows.get(&put.key).map_or(0, |row| row.version) + 1;
        state.rows.insert(put.key, Row { version, value: put.value });
    }
    TxOutcome::Applied
}

fn object(state: &mut State, path: &str, write: bool, body: &Bytes) -> Response<Body> {
    let Some(key) = path.strip_prefix("/object/") else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    if write {
        state.counts.writes += 1;
        state.objects.insert(key.to_owned(), body.clone());
        return status_response(StatusCode::OK);
    }
    match state.objects.get(key) {
        Some(bytes) => {
            state.counts.bytes += bytes.len() as u64;
            Response::new(Body::from(bytes.clone()))
        }
        None => status_response(StatusCode::NOT_FOUND),
    }
}

fn json_response(state: &mut State, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("answers serialize to JSON");
    state.counts.bytes += bytes.len() as u64;
    Response::new(Body::from(bytes))
}

fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
