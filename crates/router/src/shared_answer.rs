//! Answers that several callers may share because they sent the same idempotency key.
//!
//! The run of a request writes its answer to a [`SharedAnswer`]. Each caller that sends the same key receives
//! the answer from the start, whether the run is in progress or has ended.

use crate::refusal::{Execution, Refusal};
use budget::claim::Answer;
use event_listener::Event;
use futures::StreamExt;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyDataStream;
use hyper::body::Bytes;
use net::{Body, Pipe};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The number of shards of the table.
const SHARDS: usize = 16;

/// The content type of answers that specify none.
const JSON: &str = "application/json";

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The answer is complete.
    Complete,
    /// The answer ended early, for this reason. The body is aborted.
    Broken(String),
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// The HTTP status.
    pub status: StatusCode,
    /// The content type.
    pub media: String,
    /// Whether the request was executed; set for refusals.
    pub execution: Option<&'static str>,
    /// The `Retry-After` header.
    pub retry_after: Option<HeaderValue>,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    chunks: Vec<Bytes>,
    end: Option<End>,
    followers: usize,
}

/// An answer that is written by one run and read by any number of callers.
#[derive(Debug)]
pub(crate) struct SharedAnswer {
    /// The id of the request that started the run.
    pub request: String,
    /// The hash of the request's body. A different body under the same key is refused.
    pub body: u64,
    /// Whether the answer is kept for later callers when nobody follows it.
    pub is_kept: bool,
    is_from_peer: AtomicBool,
    state: Mutex<State>,
    changed: Event,
}

impl SharedAnswer {
    pub(crate) fn new(request: &str, body: u64, is_kept: bool) -> Arc<SharedAnswer> {
        let request = request.to_owned();
        Arc::new(SharedAnswer {
            request,
            body,
            is_kept,
            is_from_peer: AtomicBool::new(false),
            state: Mutex::default(),
            changed: Event::new(),
        })
    }

    /// Sets the head of the answer.
    pub(crate) fn begin(&self, head: Head) {
        self.lock().head = Some(head);
        self.changed.notify(usize::MAX);
    }

    /// Appends to the body.
    pub(crate) fn write(&self, bytes: impl Into<Bytes>) {
        self.lock().chunks.push(bytes.into());
        self.changed.notify(usize::MAX);
    }

    /// Ends the answer; the first end counts.
    pub(crate) fn end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.notify(usize::MAX);
    }

    /// Ends the answer with a refusal. If the head has been written, the body is aborted instead.
    pub(crate) fn refuse(&self, refusal: &Refusal, request: &str) {
        if self.lock().head.is_some() {
            return self.end(End::Broken(refusal.code.to_owned()));
        }
        let retry_after = refusal.retry_ms.map(|millis| HeaderValue::from(millis.div_ceil(1_000).max(1)));
        self.begin(Head {
            status: refusal.status,
            media: JSON.to_owned(),
            execution: Some(refusal.execution.name()),
            retry_after,
        });
        self.write(refusal.json(request));
        self.end(End::Complete);
    }

    /// Writes a recorded answer.
    pub(crate) fn replay(&self, answer: &Answer) {
        self.begin(Head {
            status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
            media: answer.media.clone(),
            execution: None,
            retry_after: None,
        });
        self.write(answer.body.clone());
        self.end(End::Complete);
    }

    /// Copies a response as it arrives. If its body is aborted, so is the copy.
    pub(crate) async fn copy_from<B>(&self, answer: Response<B>)
    where
        B: http_body::Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let (head, body) = answer.into_parts();
        let media = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let execution = head.headers.get("x-execution").and_then(|value| value.to_str().ok());
        self.begin(Head {
            status: head.status,
            media: media.unwrap_or(JSON).to_owned(),
            execution: execution.and_then(Execution::from_name).map(Execution::name),
            retry_after: head.headers.get(RETRY_AFTER).cloned(),
        });
        let mut chunks = BodyDataStream::new(body);
        while let Some(chunk) = chunks.next().await {
            match chunk {
                Ok(chunk) => self.write(chunk),
                Err(error) => return self.end(End::Broken(error.to_string())),
            }
        }
        self.end(End::Complete);
    }

    /// Whether the answer comes or may come from another router.
    pub(crate) fn is_from_peer(&self) -> bool {
        self.is_from_peer.load(Ordering::Relaxed)
    }

    /// Sets whether the answer comes or may come from another router.
    pub(crate) fn set_from_peer(&self, is_from_peer: bool) {
        self.is_from_peer.store(is_from_peer, Ordering::Relaxed);
    }

    /// Whether the answer has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Whether nobody follows the answer and it need not be kept.
    pub(crate) fn is_abandoned(&self) -> bool {
        !self.is_kept && self.lock().followers == 0
    }

    /// Waits until the answer is abandoned. Never returns for an answer that is kept.
    pub(crate) async fn abandoned(&self) {
        loop {
            let listener = self.changed.listen();
            if self.is_abandoned() {
                return;
            }
            listener.await;
        }
    }

    /// The head and the whole body, if the answer is complete.
    pub(crate) fn complete(&self) -> Option<(Head, Vec<u8>)> {
        let state = self.lock();
        let is_complete = state.end == Some(End::Complete);
        let head = state.head.clone().filter(|_| is_complete)?;
        Some((head, state.chunks.concat()))
    }

    /// Responds to a caller with the answer from its start.
    ///
    /// The caller counts as a follower from this call on, even before the future is polled.
    pub(crate) fn follow(self: Arc<Self>) -> impl Future<Output = Response<Body>> + Send {
        let follower = Follower::new(self.clone());
        async move {
            let head = self.head().await;
            let body = match self.complete() {
                Some((_, bytes)) => Body::from(bytes),
                None => {
                    let (pipe, body) = net::pipe();
                    net::exec::spawn(write_to_caller(follower, pipe)).detach();
                    body
                }
            };
            respond(&head, body)
        }
    }

    async fn head(&self) -> Head {
        loop {
            let listener = self.changed.listen();
            if let Some(head) = self.lock().head.clone() {
                return head;
            }
            listener.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }
}

fn respond(head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let headers = response.headers_mut();
    if let Ok(media) = HeaderValue::from_str(&head.media) {
        headers.insert(CONTENT_TYPE, media);
    }
    if let Some(execution) = head.execution {
        headers.insert("x-execution", HeaderValue::from_static(execution));
    }
    if let Some(retry_after) = &head.retry_after {
        headers.insert(RETRY_AFTER, retry_after.clone());
    }
    response
}

/// Counts a caller as a follower until it is dropped.
struct Follower(Arc<SharedAnswer>);

impl Follower {
    fn new(answer: Arc<SharedAnswer>) -> Follower {
        answer.lock().followers += 1;
        Follower(answer)
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.0.lock().followers -= 1;
        self.0.changed.notify(usize::MAX);
    }
}

async fn write_to_caller(follower: Follower, pipe: Pipe) {
    let answer = &follower.0;
    let mut next = 0;
    loop {
        let listener = answer.changed.listen();
        let (new_chunks, end) = {
            let mut state = answer.lock();
            let new_chunks: Vec<Bytes> = state.chunks.get(next..).unwrap_or_default().to_vec();
            if !answer.is_kept {
                // Only this caller reads the chunks, so they can be dropped.
                state.chunks.clear();
                next = 0;
            } else {
                next += new_chunks.len();
            }
            (new_chunks, state.end.clone())
        };
        for chunk in new_chunks {
            if !pipe.write(chunk).await {
                return;
            }
        }
        match end {
            Some(End::Complete) => return,
            Some(End::Broken(reason)) => return pipe.abort(&reason).await,
            None => smol::future::or(listener, pipe.closed()).await,
        }
        if pipe.is_closed() {
            return;
        }
    }
}

/// The answers to requests with an idempotency key, in shards with a lock each.
#[derive(Debug)]
pub(crate) struct SharedAnswers {
    shards: Vec<Mutex<HashMap<String, TableEntry>>>,
    retention_ms: u64,
}

#[derive(Debug)]
struct TableEntry {
    answer: Arc<SharedAnswer>,
    since: u64,
}

/// The result of looking up a key.
#[derive(Debug)]
pub(crate) enum Lookup {
    /// The key is new, and the answer was inserted.
    New,
    /// The same request was sent before; this is its answer.
    Same(Arc<SharedAnswer>),
    /// A different request has this key.
    Mismatch,
}

impl SharedAnswers {
    /// Creates a table that keeps answers for `retention_ms` milliseconds.
    pub(crate) fn new(retention_ms: u64) -> SharedAnswers {
        SharedAnswers { shards: (0..SHARDS).map(|_| Mutex::default()).collect(), retention_ms }
    }

    /// Finds the answer for `key`, or inserts `answer`.
    pub(crate) fn find_or_insert(&self, key: &str, answer: &Arc<SharedAnswer>, now: u64) -> Lookup {
        let mut shard = self.shard(key);
        shard.retain(|_, entry| {
            now.saturating_sub(entry.since) < self.retention_ms || !entry.answer.has_ended()
        });
        match shard.get(key) {
            Some(entry) if entry.answer.body == answer.body => Lookup::Same(entry.answer.clone()),
            Some(_) => Lookup::Mismatch,
            None => {
                shard.insert(key.to_owned(), TableEntry { answer: answer.clone(), since: now });
                Lookup::New
            }
        }
    }

    /// Removes an answer, so that a request with the key can be run again.
    pub(crate) fn remove(&self, key: &str) {
        self.shard(key).remove(key);
    }

    fn shard(&self, key: &str) -> MutexGuard<'_, HashMap<String, TableEntry>> {
        let index = xxhash_rust::xxh3::xxh3_64(key.as_bytes()) as usize % SHARDS;
        self.shards[index].lock().expect("no thread panics while it holds the lock")
    }
}

/// The refusal of an idempotency key that was used for a different request.
pub(crate) fn key_mismatch() -> Refusal {
    let message = "this Idempotency-Key was used for another request; take a new key".to_owned();
    Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "idempotency_mismatch", "parse", message)
}
