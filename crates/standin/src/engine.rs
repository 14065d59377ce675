//! A model engine: batching slots, a prefix cache of limited size, a pace, resumable streams, orders.

use crate::{loopback, text};
use event_listener::Event;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use net::{Body, Handle, Limits, Pipe};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use upstream::{CacheEvent, CancelOutcome, Load, Order, OrderOutcome, Usage};
use xxhash_rust::xxh3::xxh3_64;

/// The largest request body in bytes.
const BODY_LIMIT: usize = 64 << 20;
/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 256;
/// The least share of a prompt's time that a cached prefix leaves.
const CACHED_SHARE: f64 = 0.1;
/// Cache events kept until they are reported.
const EVENTS_KEPT: usize = 256;

/// How an engine is built.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Runs in a batch.
    pub slots: u32,
    /// Prefixes in the cache.
    pub prefixes: usize,
    /// Time for each prompt token without a cached prefix.
    pub prompt_pace: Duration,
    /// Time for each generated token.
    pub pace: Duration,
    /// Models loaded at the start.
    pub models: Vec<String>,
    /// How old a load report is.
    pub lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            slots: 8,
            prefixes: 32,
            prompt_pace: Duration::from_micros(20),
            pace: Duration::from_millis(2),
            models: vec!["narrator".to_owned()],
            lag: Duration::ZERO,
            fences: true,
        }
    }
}

/// How an engine misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Each token takes so many times longer.
    Slow(f64),
    /// New runs are refused before they start.
    Refuse,
    /// Streams stop after so many events without ending; the run goes on.
    Stall(usize),
    /// Streams break after so many events; the run goes on and can be resumed.
    Break(usize),
    /// As [`Fault::Break`], and resuming fails too.
    BreakForGood(usize),
}

/// What an engine really did, for audits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Runs started by run id, with the router that started each.
    pub started: BTreeMap<String, String>,
    /// Usage of each run so far.
    pub usage: BTreeMap<String, Usage>,
    /// Runs that neither ended nor were cancelled.
    pub open: Vec<String>,
    /// Executions by prompt.
    pub prompts: BTreeMap<String, u64>,
    /// Slots beyond the limit that were asked for, times seconds.
    pub overrun: f64,
    /// Prompts found in the cache.
    pub hits: u64,
    /// Prompts not found in the cache.
    pub misses: u64,
    /// Orders that were obeyed.
    pub orders: Vec<Order>,
}

#[derive(Debug)]
struct Run {
    router: String,
    prompt: String,
    prompt_tokens: u64,
    generated: u64,
    events: Vec<String>,
    ended: bool,
    cancelled: bool,
    changed: Arc<Event>,
}

#[derive(Debug)]
struct State {
    shape: Shape,
    fault: Fault,
    leaving: bool,
    running: u32,
    queue: BTreeMap<(u8, u64), async_channel::Sender<()>>,
    arrivals: u64,
    runs: HashMap<String, Run>,
    refused: Vec<String>,
    cache: VecDeque<u64>,
    cache_events: VecDeque<CacheEvent>,
    cache_sequence: u64,
    fence: u64,
    over_since: Option<Instant>,
    reports: VecDeque<(Instant, Load)>,
    ledger: Ledger,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    server: Arc<Handle>,
}

impl Engine {
    /// Starts an engine on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(shape: Shape) -> io::Result<Engine> {
        let state = Arc::new(Mutex::new(State {
            shape,
            fault: Fault::None,
            leaving: false,
            running: 0,
            queue: BTreeMap::new(),
            arrivals: 0,
            runs: HashMap::new(),
            refused: vec![],
            cache: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_sequence: 0,
            fence: 0,
            over_since: None,
            reports: VecDeque::new(),
            ledger: Ledger::default(),
        }));
        let shared = state.clone();
        let server =
            net::serve(loopback(), Limits::default(), move |request| answer(shared.clone(), request)).await?;
        Ok(Engine { state, server: Arc::new(server) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Makes it misbehave, or behave again.
    pub fn set(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Marks it as leaving: it wants no new work.
    pub fn leave(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// What it did so far.
    pub fn ledger(&self) -> Ledger {
        let mut state = lock(&self.state);
        track_overrun(&mut state);
        let mut ledger = state.ledger.clone();
        for (id, run) in &state.runs {
            ledger.started.insert(id.clone(), run.router.clone());
            *ledger.prompts.entry(run.prompt.clone()).or_insert(0) += 1;
            ledger.usage.insert(id.clone(), usage(run));
            if !run.ended {
                ledger.open.push(id.clone());
            }
        }
        ledger
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no thread panics while it holds the engine")
}

fn usage(run: &Run) -> Usage {
    Usage { prompt_tokens: run.prompt_tokens, completion_tokens: run.generated }
}

fn track_overrun(state: &mut State) {
    let now = Instant::now();
    if let Some(since) = state.over_since.take() {
        state.ledger.overrun += now.duration_since(since).as_secs_f64() * state.queue.len() as f64;
    }
    if !state.queue.is_empty() {
        state.over_since = Some(now);
    }
}

/// The part of a request's body that the engine reads.
#[derive(Debug, Deserialize)]
struct Ask {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl Ask {
    fn text(&self) -> String {
        let messages = self.messages.iter().map(|message| message.content.as_str());
        messages.chain([self.prompt.as_str()]).collect()
    }
}

async fn answer(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    if let Some(run) = path.strip_prefix("/v1/streams/") {
        return match method {
            Method::DELETE => cancel(&state, run),
            _ => resume(&state, run, request.uri().query().unwrap_or_default()),
        };
    }
    match path.as_str() {
        "/v1/load" => report(&state),
        "/v1/orders" => obey(&state, request).await,
        "/v1/chat/completions" | "/v1/completions" => start(state, request).await,
        _ => failure(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn failure(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = reply(&json!({"error": {"message": message}}));
    *response.status_mut() = status;
    response
}

fn reply(value: &impl serde::Serialize) -> Response<Body> {
    Response::new(Body::from(serde_json::to_vec(value).expect("answers serialize to JSON")))
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(ToOwned::to_owned)
}

async fn start(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let chat = request.uri().path().contains("/chat/");
    let Some(run) = header(&request, "x-run-id") else {
        return failure(StatusCode::BAD_REQUEST, "x-run-id is missing");
    };
    let router = header(&request, "x-router").unwrap_or_default();
    let priority = header(&request, "x-priority").and_then(|text| text.parse().ok()).unwrap_or(u8::MAX);
    let Ok(body) = net::collect(request.into_body(), BODY_LIMIT).await else {
        return failure(StatusCode::BAD_REQUEST, "the body broke off");
    };
    let Ok(ask) = serde_json::from_slice::<Ask>(&body) else {
        return failure(StatusCode::BAD_REQUEST, "the body is not understood");
    };
    let slot = match accept(&mut lock(&state), &run, &router, &ask, priority) {
        Ok(slot) => slot,
        Err(Refused(status, message)) => return failure(status, message),
    };
    net::exec::spawn(generate(state.clone(), run.clone(), ask.model.clone(), chat, ask.max_tokens, slot))
        .detach();
    if ask.stream {
        return follow(&state, &run, 0);
    }
    whole(&state, &run, &ask.model, chat).await
}

/// A run that is not accepted, and why.
struct Refused(StatusCode, &'static str);

/// A place in the batch, or in the queue for one.
type Slot = Option<async_channel::Receiver<()>>;

fn accept(state: &mut State, run: &str, router: &str, ask: &Ask, priority: u8) -> Result<Slot, Refused> {
    if state.fault == Fault::Refuse {
        return Err(Refused(StatusCode::SERVICE_UNAVAILABLE, "refusing"));
    }
    if state.refused.iter().any(|refused| refused == run) {
        return Err(Refused(StatusCode::CONFLICT, "the run was cancelled before it came"));
    }
    if !state.shape.models.contains(&ask.model) {
        return Err(Refused(StatusCode::NOT_FOUND, "the model is not loaded"));
    }
    let prompt = ask.text();
    let new = Run {
        router: router.to_owned(),
        prompt_tokens: text::prompt_tokens(&prompt),
        prompt,
        generated: 0,
        events: vec![],
        ended: false,
        cancelled: false,
        changed: Arc::new(Event::new()),
    };
    state.runs.insert(run.to_owned(), new);
    track_overrun(state);
    if state.running < state.shape.slots {
        state.running += 1;
        return Ok(None);
    }
    let (sender, receiver) = async_channel::bounded(1);
    state.arrivals += 1;
    state.queue.insert((priority, state.arrivals), sender);
    state.over_since.get_or_insert_with(Instant::now);
    Ok(Some(receiver))
}

fn free_slot(state: &mut State) {
    track_overrun(state);
    while let Some((_, waiter)) = state.queue.pop_first() {
        if waiter.try_send(()).is_ok() {
            return;
        }
    }
    state.running -= 1;
}

async fn generate(state: Arc<Mutex<State>>, id: String, model: String, chat: bool, most: u64, slot: Slot) {
    if let Some(slot) = slot {
        let _ = slot.recv().await;
    }
    let prefill = look_up(&mut lock(&state), &id);
    net::exec::sleep(prefill).await;
    let mut next = Instant::now();
    loop {
        let pace = {
            let mut state = lock(&state);
            let pace = match state.fault {
                Fault::Slow(factor) => state.shape.pace.mul_f64(factor),
                _ => state.shape.pace,
            };
            if !emit(&mut state, &id, &model, chat, most) {
                free_slot(&mut state);
                return;
            }
            pace
        };
        next += pace;
        smol::Timer::at(next).await;
    }
}

/// Finds a run's prefix in the cache, or adds it; returns the time for the prompt.
fn look_up(state: &mut State, id: &str) -> Duration {
    let Some(run) = state.runs.get(id) else {
        return Duration::ZERO;
    };
    let prefix = prefix_of(&run.prompt);
    let time = state.shape.prompt_pace.mul_f64(run.prompt_tokens as f64);
    if let Some(at) = state.cache.iter().position(|cached| *cached == prefix) {
        state.cache.remove(at);
        state.cache.push_back(prefix);
        state.ledger.hits += 1;
        return time.mul_f64(CACHED_SHARE);
    }
    state.ledger.misses += 1;
    state.cache.push_back(prefix);
    note_cache(state, prefix, true);
    if state.cache.len() > state.shape.prefixes
        && let Some(evicted) = state.cache.pop_front()
    {
        note_cache(state, evicted, false);
    }
    time
}

fn note_cache(state: &mut State, prefix: u64, added: bool) {
    state.cache_sequence += 1;
    state.cache_events.push_back(CacheEvent { sequence: state.cache_sequence, prefix, added });
    if state.cache_events.len() > EVENTS_KEPT {
        state.cache_events.pop_front();
    }
}

/// The hash by which engines and routers name a prompt's prefix.
fn prefix_of(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Emits the next event of a run; `false` once it has ended.
fn emit(state: &mut State, id: &str, model: &str, chat: bool, most: u64) -> bool {
    let Some(run) = state.runs.get_mut(id) else {
        return false;
    };
    if run.cancelled {
        run.ended = true;
    } else if run.generated < most {
        let token = text::token(&run.prompt, run.generated);
        run.generated += 1;
        let choice = if chat {
            json!({"index": 0, "delta": {"content": token}, "finish_reason": null})
        } else {
            json!({"index": 0, "text": token, "finish_reason": null})
        };
        run.events.push(chunk(id, model, &json!([choice]), &Value::Null));
    } else {
        let usage = json!({
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": run.generated,
            "total_tokens": run.prompt_tokens + run.generated,
        });
        let finish = if chat {
            json!([{"index": 0, "delta": {}, "finish_reason": "length"}])
        } else {
            json!([{"index": 0, "text": "", "finish_reason": "length"}])
        };
        run.events.push(chunk(id, model, &finish, &Value::Null));
        run.events.push(chunk(id, model, &json!([]), &usage));
        run.events.push("[DONE]".to_owned());
        run.ended = true;
    }
    run.changed.notify(usize::MAX);
    !run.ended
}

fn chunk(id: &str, model: &str, choices: &Value, usage: &Value) -> String {
    json!({"id": id, "object": "chat.completion.chunk", "created": 0, "model": model, "choices": choices, "usage": usage})
        .to_string()
}

/// Streams a run's events from `offset` on.
fn follow(state: &Arc<Mutex<State>>, id: &str, offset: usize) -> Response<Body> {
    let (pipe, body) = net::pipe();
    net::exec::spawn(write_events(state.clone(), id.to_owned(), offset, pipe)).detach();
    let mut response = Response::new(body);
    response.headers_mut().insert("content-type", http::HeaderValue::from_static("text/event-stream"));
    response
}

async fn write_events(state: Arc<Mutex<State>>, id: String, mut offset: usize, pipe: Pipe) {
    let resumed = offset > 0;
    loop {
        let (fresh, ended, cancelled, fault, listener) = {
            let state = lock(&state);
            let Some(run) = state.runs.get(&id) else { return };
            let listener = run.changed.listen();
            let fresh = run.events.get(offset..).unwrap_or_default().to_vec();
            (fresh, run.ended, run.cancelled, state.fault, listener)
        };
        for event in fresh {
            match fault {
                Fault::Break(after) if !resumed && offset >= after => return pipe.abort("broken").await,
                Fault::BreakForGood(after) if offset >= after => return pipe.abort("broken").await,
                Fault::Stall(after) if !resumed && offset >= after => {
                    pipe.closed().await;
                    return;
                }
                _ => {}
            }
            if !pipe.write(format!("data: {event}\n\n")).await {
                return;
            }
            offset += 1;
        }
        if cancelled {
            return pipe.abort("cancelled").await;
        }
        if ended {
            return;
        }
        listener.await;
    }
}

async fn whole(state: &Arc<Mutex<State>>, id: &str, model: &str, chat: bool) -> Response<Body> {
    loop {
        let listener = {
            let state = lock(state);
            let Some(run) = state.runs.get(id) else {
                return failure(StatusCode::INTERNAL_SERVER_ERROR, "the run is gone");
            };
            if run.cancelled {
                return failure(StatusCode::INTERNAL_SERVER_ERROR, "the run was cancelled");
            }
            if run.ended {
                let content = text::answer(&run.prompt, run.generated);
                let usage = json!({
                    "prompt_tokens": run.prompt_tokens,
                    "completion_tokens": run.generated,
                    "total_tokens": run.prompt_tokens + run.generated,
                });
                let (object, choice) = if chat {
                    let message = json!({"role": "assistant", "content": content});
                    ("chat.completion", json!({"index": 0, "message": message, "finish_reason": "length"}))
                } else {
                    ("text_completion", json!({"index": 0, "text": content, "finish_reason": "length"}))
                };
                return reply(&json!({
                    "id": id, "object": object, "created": 0, "model": model, "choices": [choice], "usage": usage
                }));
            }
            run.changed.listen()
        };
        listener.await;
    }
}

fn resume(state: &Arc<Mutex<State>>, id: &str, query: &str) -> Response<Body> {
    let offset = query.strip_prefix("offset=").and_then(|text| text.parse().ok()).unwrap_or(0);
    let gone = {
        let state = lock(state);
        matches!(state.fault, Fault::BreakForGood(_)) || !state.runs.contains_key(id)
    };
    if gone { failure(StatusCode::NOT_FOUND, "no such stream") } else { follow(state, id, offset) }
}

fn cancel(state: &Arc<Mutex<State>>, id: &str) -> Response<Body> {
    let mut state = lock(state);
    match state.runs.get_mut(id) {
        Some(run) => {
            if !run.ended {
                run.cancelled = true;
                run.ended = true;
                run.changed.notify(usize::MAX);
            }
            reply(&CancelOutcome::Stopped(usage(run)))
        }
        None => {
            state.refused.push(id.to_owned());
            reply(&CancelOutcome::Unseen)
        }
    }
}

fn report(state: &Arc<Mutex<State>>) -> Response<Body> {
    let mut state = lock(state);
    let now = Instant::now();
    let load = Load {
        slots: state.shape.slots,
        running: state.running,
        waiting: state.queue.len() as u32,
        leaving: state.leaving,
        models: state.shape.models.clone(),
        cache: state.cache_events.iter().cloned().collect(),
    };
    let lag = state.shape.lag;
    state.reports.push_back((now, load.clone()));
    while state.reports.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
        state.reports.pop_front();
    }
    let old = state.reports.front().map_or(load, |(_, load)| load.clone());
    reply(&old)
}

async fn obey(state: &Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let body = net::collect(request.into_body(), BODY_LIMIT).await.unwrap_or_default();
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return failure(StatusCode::BAD_REQUEST, "the order is not understood");
    };
    let mut state = lock(state);
    if state.shape.fences && order.fence < state.fence {
        return reply(&OrderOutcome::Stale);
    }
    state.fence = state.fence.max(order.fence);
    state.shape.models.clone_from(&order.models);
    state.ledger.orders.push(order);
    reply(&OrderOutcome::Yes)
}
