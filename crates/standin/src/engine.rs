//! A model engine with batching slots, a prefix cache of limited size, a set time per token, resumable
//! streams and orders to load models.

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
/// The number of bytes at the start of a prompt that form its prefix.
const PREFIX_BYTES: usize = 256;
/// The share of the time for a prompt that is still needed if its prefix is cached.
const CACHED_PROMPT_SHARE: f64 = 0.1;
/// The number of latest cache events that load reports contain.
const CACHE_EVENTS_REPORTED: usize = 256;

/// The configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The number of runs that are executed at the same time.
    pub slots: u32,
    /// The capacity of the prefix cache.
    pub cached_prefixes: usize,
    /// The time per prompt token if the prefix is not cached.
    pub time_per_prompt_token: Duration,
    /// The time per generated token.
    pub time_per_token: Duration,
    /// The models that are loaded at the start.
    pub models: Vec<String>,
    /// The least age of the load in a report, once there is one that old.
    pub report_lag: Duration,
    /// Whether orders with a fencing number below the highest received are refused.
    pub checks_fence: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            slots: 8,
            cached_prefixes: 32,
            time_per_prompt_token: Duration::from_micros(20),
            time_per_token: Duration::from_millis(2),
            models: vec!["narrator".to_owned()],
            report_lag: Duration::ZERO,
            checks_fence: true,
        }
    }
}

/// The header with the id of a run, in requests and answers.
const RUN_ID: &str = "x-run-id";

/// A fault of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// The engine works.
    #[default]
    None,
    /// Each token takes this many times as long.
    Slow(f64),
    /// New runs are refused with status 503.
    Refuse,
    /// Streams stay open but send nothing after this many events. The run continues, and a resumed stream
    /// works.
    Stall(usize),
    /// Streams are aborted after this many events. The run continues, and a resumed stream works.
    Break(usize),
    /// Like [`Fault::Break`], but streams can't be resumed.
    BreakPermanently(usize),
    /// Runs go on, but are answered with a refusal that names no run, as if it had been sent before.
    Misattribute,
    /// Answers that are not streamed name no length, and end in order after this many bytes. The run itself ends.
    Truncate(usize),
}

/// What an engine executed, for audits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRecord {
    /// The router that started each run, by run id.
    pub started: BTreeMap<String, String>,
    /// The usage of each run so far, by run id.
    pub usage: BTreeMap<String, Usage>,
    /// The ids of the runs that have neither ended nor been cancelled.
    pub open_runs: Vec<String>,
    /// The number of runs per prompt.
    pub executions: BTreeMap<String, u64>,
    /// The time that runs spent in the queue because all slots were taken, summed over the runs, in seconds.
    pub queued_s: f64,
    /// The number of prompts whose prefix was cached.
    pub cache_hits: u64,
    /// The number of prompts whose prefix was not cached.
    pub cache_misses: u64,
    /// The orders that were carried out.
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
    config: EngineConfig,
    fault: Fault,
    leaving: bool,
    running: u32,
    /// The runs that wait for a slot, by priority and arrival.
    queue: BTreeMap<(u8, u64), async_channel::Sender<()>>,
    arrivals: u64,
    runs: HashMap<String, Run>,
    /// Runs that were cancelled before they arrived.
    cancelled_early: Vec<String>,
    cache: VecDeque<u64>,
    cache_events: VecDeque<CacheEvent>,
    cache_sequence: u64,
    fence: u64,
    /// The time up to which the queued time is recorded; `None` if the queue is empty.
    queued_since: Option<Instant>,
    /// Load reports and the times at which they were made.
    reports: VecDeque<(Instant, Load)>,
    record: EngineRecord,
}

/// A running engine; clones share its state.
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
    pub async fn start(config: EngineConfig) -> io::Result<Engine> {
        let state = Arc::new(Mutex::new(State {
            config,
            fault: Fault::None,
            leaving: false,
            running: 0,
            queue: BTreeMap::new(),
            arrivals: 0,
            runs: HashMap::new(),
            cancelled_early: vec![],
            cache: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_sequence: 0,
            fence: 0,
            queued_since: None,
            reports: VecDeque::new(),
            record: EngineRecord::default(),
        }));
        let shared = state.clone();
        let server =
            net::serve(loopback(), Limits::default(), move |request| answer(shared.clone(), request)).await?;
        Ok(Engine { state, server: Arc::new(server) })
    }

    /// The address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Sets whether its load reports say that it is leaving, so that it should get no new work.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// What the engine executed so far.
    pub fn record(&self) -> EngineRecord {
        let mut state = lock(&self.state);
        record_queued_time(&mut state);
        let mut record = state.record.clone();
        for (id, run) in &state.runs {
            record.started.insert(id.clone(), run.router.clone());
            *record.executions.entry(run.prompt.clone()).or_insert(0) += 1;
            record.usage.insert(id.clone(), usage(run));
            if !run.ended {
                record.open_runs.push(id.clone());
            }
        }
        record
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no thread panics while it holds the engine")
}

fn usage(run: &Run) -> Usage {
    Usage { prompt_tokens: run.prompt_tokens, completion_tokens: run.generated }
}

fn record_queued_time(state: &mut State) {
    let now = Instant::now();
    if let Some(since) = state.queued_since.take() {
        state.record.queued_s += now.duration_since(since).as_secs_f64() * state.queue.len() as f64;
    }
    if !state.queue.is_empty() {
        state.queued_since = Some(now);
    }
}

/// The fields of a completion request that the engine reads.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
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

impl CompletionRequest {
    fn prompt_text(&self) -> String {
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
        "/v1/load" => report_load(&state),
        "/v1/orders" => apply_order(&state, request).await,
        "/v1/chat/completions" | "/v1/completions" => start(state, request).await,
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = json_response(&json!({"error": {"message": message}}));
    *response.status_mut() = status;
    response
}

fn json_response(value: &impl serde::Serialize) -> Response<Body> {
    Response::new(Body::from(serde_json::to_vec(value).expect("answers serialize to JSON")))
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(ToOwned::to_owned)
}

async fn start(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let run = request.headers().get(RUN_ID).cloned();
    let mut response = run_request(state.clone(), request).await;
    if lock(&state).fault == Fault::Misattribute {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "refusing");
    }
    if let Some(run) = run {
        response.headers_mut().insert(RUN_ID, run);
    }
    response
}

async fn run_request(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let chat = request.uri().path().contains("/chat/");
    let Some(run) = header(&request, RUN_ID) else {
        return error_response(StatusCode::BAD_REQUEST, "x-run-id is missing");
    };
    let router = header(&request, "x-router").unwrap_or_default();
    let priority = header(&request, "x-priority").and_then(|text| text.parse().ok()).unwrap_or(u8::MAX);
    let Ok(body) = net::collect(request.into_body(), BODY_LIMIT).await else {
        return error_response(StatusCode::BAD_REQUEST, "the body broke off");
    };
    let Ok(completion) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return error_response(StatusCode::BAD_REQUEST, "the body is not understood");
    };
    let slot = match accept(&mut lock(&state), &run, &router, &completion, priority) {
        Ok(slot) => slot,
        Err(Rejection(status, message)) => return error_response(status, message),
    };
    net::exec::spawn(generate(
        state.clone(),
        run.clone(),
        completion.model.clone(),
        chat,
        completion.max_tokens,
        slot,
    ))
    .detach();
    if completion.stream {
        return stream_events(&state, &run, 0);
    }
    respond_when_ended(&state, &run, &completion.model, chat).await
}

/// The status and message for a run that is not accepted.
struct Rejection(StatusCode, &'static str);

/// `None` if the run has a slot, or the channel that announces its slot.
type SlotWait = Option<async_channel::Receiver<()>>;

fn accept(
    state: &mut State,
    run: &str,
    router: &str,
    completion: &CompletionRequest,
    priority: u8,
) -> Result<SlotWait, Rejection> {
    if state.fault == Fault::Refuse {
        return Err(Rejection(StatusCode::SERVICE_UNAVAILABLE, "refusing"));
    }
    if state.cancelled_early.iter().any(|cancelled| cancelled == run) {
        return Err(Rejection(StatusCode::CONFLICT, "the run was cancelled before it came"));
    }
    if !state.config.models.contains(&completion.model) {
        return Err(Rejection(StatusCode::NOT_FOUND, "the model is not loaded"));
    }
    let prompt = completion.prompt_text();
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
    record_queued_time(state);
    if state.running < state.config.slots {
        state.running += 1;
        return Ok(None);
    }
    let (sender, receiver) = async_channel::bounded(1);
    state.arrivals += 1;
    state.queue.insert((priority, state.arrivals), sender);
    state.queued_since.get_or_insert_with(Instant::now);
    Ok(Some(receiver))
}

fn free_slot(state: &mut State) {
    record_queued_time(state);
    while let Some((_, waiter)) = state.queue.pop_first() {
        if waiter.try_send(()).is_ok() {
            return;
        }
    }
    state.running -= 1;
}

async fn generate(
    state: Arc<Mutex<State>>,
    id: String,
    model: String,
    chat: bool,
    max_tokens: u64,
    slot: SlotWait,
) {
    if let Some(slot) = slot {
        let _ = slot.recv().await;
    }
    let prefill = look_up_prefix(&mut lock(&state), &id);
    net::exec::sleep(prefill).await;
    let mut next = Instant::now();
    loop {
        let pace = {
            let mut state = lock(&state);
            let pace = match state.fault {
                Fault::Slow(factor) => state.config.time_per_token.mul_f64(factor),
                _ => state.config.time_per_token,
            };
            if !emit(&mut state, &id, &model, chat, max_tokens) {
                free_slot(&mut state);
                return;
            }
            pace
        };
        next += pace;
        smol::Timer::at(next).await;
    }
}

/// Looks up a run's prefix in the cache, adds it if it is missing, and returns the time for the prompt.
fn look_up_prefix(state: &mut State, id: &str) -> Duration {
    let Some(run) = state.runs.get(id) else {
        return Duration::ZERO;
    };
    let prefix = prefix_hash(&run.prompt);
    let time = state.config.time_per_prompt_token.mul_f64(run.prompt_tokens as f64);
    if let Some(at) = state.cache.iter().position(|cached| *cached == prefix) {
        state.cache.remove(at);
        state.cache.push_back(prefix);
        state.record.cache_hits += 1;
        return time.mul_f64(CACHED_PROMPT_SHARE);
    }
    state.record.cache_misses += 1;
    state.cache.push_back(prefix);
    record_cache_event(state, prefix, true);
    if state.cache.len() > state.config.cached_prefixes
        && let Some(evicted) = state.cache.pop_front()
    {
        record_cache_event(state, evicted, false);
    }
    time
}

fn record_cache_event(state: &mut State, prefix: u64, added: bool) {
    state.cache_sequence += 1;
    state.cache_events.push_back(CacheEvent { sequence: state.cache_sequence, prefix, added });
    if state.cache_events.len() > CACHE_EVENTS_REPORTED {
        state.cache_events.pop_front();
    }
}

/// The hash of a prompt's prefix, as in cache events.
fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Generates the next events of a run; `false` once the run has ended.
fn emit(state: &mut State, id: &str, model: &str, chat: bool, max_tokens: u64) -> bool {
    let Some(run) = state.runs.get_mut(id) else {
        return false;
    };
    if run.cancelled {
        run.ended = true;
    } else if run.generated < max_tokens {
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

/// Answers with a stream of a run's events from `offset` on.
fn stream_events(state: &Arc<Mutex<State>>, id: &str, offset: usize) -> Response<Body> {
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
                Fault::BreakPermanently(after) if offset >= after => return pipe.abort("broken").await,
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

/// Answers with the complete text of a run once it has ended.
async fn respond_when_ended(state: &Arc<Mutex<State>>, id: &str, model: &str, chat: bool) -> Response<Body> {
    loop {
        let listener = {
            let state = lock(state);
            let Some(run) = state.runs.get(id) else {
                return error_response(StatusCode::INTERNAL_SERVER_ERROR, "the run is gone");
            };
            if run.cancelled {
                return error_response(StatusCode::INTERNAL_SERVER_ERROR, "the run was cancelled");
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
                let answer = json!({
                    "id": id, "object": object, "created": 0, "model": model, "choices": [choice], "usage": usage
                });
                return match state.fault {
                    Fault::Truncate(length) => truncated_response(&answer, length),
                    _ => json_response(&answer),
                };
            }
            run.changed.listen()
        };
        listener.await;
    }
}

/// A response without a length that ends in order after `length` bytes.
fn truncated_response(value: &Value, length: usize) -> Response<Body> {
    let mut bytes = value.to_string().into_bytes();
    bytes.truncate(length);
    let (pipe, body) = net::pipe();
    net::exec::spawn(async move {
        pipe.write(bytes).await;
    })
    .detach();
    Response::new(body)
}

fn resume(state: &Arc<Mutex<State>>, id: &str, query: &str) -> Response<Body> {
    let offset = query.strip_prefix("offset=").and_then(|text| text.parse().ok()).unwrap_or(0);
    let gone = {
        let state = lock(state);
        matches!(state.fault, Fault::BreakPermanently(_)) || !state.runs.contains_key(id)
    };
    if gone {
        error_response(StatusCode::NOT_FOUND, "no such stream")
    } else {
        stream_events(state, id, offset)
    }
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
            json_response(&CancelOutcome::Stopped(usage(run)))
        }
        None => {
            state.cancelled_early.push(id.to_owned());
            json_response(&CancelOutcome::Unseen)
        }
    }
}

fn report_load(state: &Arc<Mutex<State>>) -> Response<Body> {
    let mut state = lock(state);
    let now = Instant::now();
    let load = Load {
        slots: state.config.slots,
        running: state.running,
        waiting: state.queue.len() as u32,
        leaving: state.leaving,
        models: state.config.models.clone(),
        cache: state.cache_events.iter().cloned().collect(),
    };
    let lag = state.config.report_lag;
    state.reports.push_back((now, load.clone()));
    while state.reports.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
        state.reports.pop_front();
    }
    let lagged = state.reports.front().map_or(load, |(_, load)| load.clone());
    json_response(&lagged)
}

async fn apply_order(state: &Arc<Mutex<State>>, request: Request<Incoming>) -> Response<Body> {
    let body = net::collect(request.into_body(), BODY_LIMIT).await.unwrap_or_default();
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return error_response(StatusCode::BAD_REQUEST, "the order is not understood");
    };
    let mut state = lock(state);
    if state.config.checks_fence && order.fence < state.fence {
        return json_response(&OrderOutcome::Stale);
    }
    state.fence = state.fence.max(order.fence);
    state.config.models.clone_from(&order.models);
    state.record.orders.push(order);
    json_response(&OrderOutcome::Yes)
}
