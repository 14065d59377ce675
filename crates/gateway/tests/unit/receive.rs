//! Bodies that arrive slowly, in small pieces, or in large numbers.

use super::*;
use crate::manifest::Manifest;
use crate::support::{self, PlainTextWire};
use futures::StreamExt;
use http_body::Frame;
use http_body_util::StreamBody;
use standin::TableRows;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

const KB: usize = 1_000;

fn budget(memory_mb: Option<f64>) -> ByteBudget {
    ByteBudget::new(memory_mb, IntGauge::new("receiving_bytes", "test").expect("a gauge"))
}

/// A piece of a body that keeps a larger read buffer alive, as those of a connection do.
struct Piece {
    bytes: Vec<u8>,
    alive: Arc<AtomicUsize>,
}

impl Piece {
    fn bytes(bytes: &[u8], alive: &Arc<AtomicUsize>) -> Bytes {
        alive.fetch_add(1, Ordering::Relaxed);
        Bytes::from_owner(Piece { bytes: bytes.to_vec(), alive: alive.clone() })
    }
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.alive.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body of unknown size that consists of these pieces.
fn body(pieces: impl Iterator<Item = Bytes>) -> impl Body<Data = Bytes, Error = Infallible> {
    StreamBody::new(futures::stream::iter(pieces.map(|piece| Ok(Frame::data(piece)))))
}

/// A body that never ends after its first byte.
fn endless_body() -> impl Body<Data = Bytes, Error = Infallible> {
    let first = futures::stream::iter([Ok(Frame::data(Bytes::from_static(b"x")))]);
    StreamBody::new(first.chain(futures::stream::pending()))
}

fn collect_now<B>(body: B, limit: usize, budget: &ByteBudget) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes>,
    B::Error: Display,
{
    net::exec::block_on(collect(body, limit, budget))
}

/// Guards against bodies whose pieces are kept as they arrive: each then holds a whole read buffer, and a body
/// of 4,000 bytes took 8.8 MB.
#[test]
fn small_pieces_are_merged() {
    let alive = Arc::new(AtomicUsize::new(0));
    let most = Arc::new(AtomicUsize::new(0));
    let text: Vec<u8> = (0..4_000).map(|index| index as u8).collect();
    let pieces = text.chunks(1).map(|piece| {
        let piece = Piece::bytes(piece, &alive);
        most.fetch_max(alive.load(Ordering::Relaxed), Ordering::Relaxed);
        piece
    });
    let budget = budget(None);
    let received = collect_now(body(pieces), 10 * KB, &budget).expect("a body");
    assert_eq!(received, text);
    assert!(most.load(Ordering::Relaxed) <= 2, "{most:?} pieces were kept");
    assert_eq!(budget.gauge.get(), 0);
}

/// Guards against buffers that are much larger than what has arrived.
#[test]
fn a_buffer_is_at_most_twice_as_large_as_what_has_arrived() {
    let budget = budget(None);
    let mut buffer = Buffer::new(1 << 20, &budget);
    for received in 1..=20 * KB {
        buffer.push(b"x").expect("room");
        assert!(buffer.bytes.capacity() <= (2 * received).max(INITIAL_CAPACITY), "{received}");
        assert_eq!(budget.used.load(Ordering::Relaxed), buffer.bytes.capacity());
    }
    let mut exact = Buffer::new(5 * KB, &budget);
    (0..5 * KB).for_each(|_| exact.push(b"x").expect("room"));
    assert_eq!(exact.finish().len(), 5 * KB);
    drop(buffer);
    assert_eq!((budget.used.load(Ordering::Relaxed), budget.gauge.get()), (0, 0));
}

/// Guards against a process that exceeds its memory: the bodies of all connections share one budget.
#[test]
fn bodies_beyond_the_budget_are_refused() {
    // An eighth of 0.8 MB are 100 KB.
    let budget = budget(Some(0.8));
    let mut first = Buffer::new(90 * KB, &budget);
    first.push(&[0; 90 * KB]).expect("room");
    assert!(budget.has_room(10 * KB));
    assert!(!budget.has_room(11 * KB));
    let second = body([Bytes::from(vec![0; 11 * KB])].into_iter());
    assert_eq!(collect_now(second, 20 * KB, &budget), Err(Failure::Crowded));
    drop(first);
    let third = body([Bytes::from(vec![0; 11 * KB])].into_iter());
    assert_eq!(collect_now(third, 20 * KB, &budget).map(|body| body.len()), Ok(11 * KB));
    assert_eq!(budget.gauge.get(), 0);
}

/// Guards against a process that exceeds its memory by the bodies of running requests.
#[test]
fn bodies_of_running_requests_count_until_their_requests_end() {
    // Of 0.8 MB, bodies may take 560 KB, an eighth of 0.8 MB while they are received.
    let budget = budget(Some(0.8));
    let mut held: Vec<Held> = (0..5).map(|_| budget.hold(100 * KB)).collect();
    assert!(budget.has_room(60 * KB) && !budget.has_room(70 * KB));
    let next = || body([Bytes::from(vec![0; 70 * KB])].into_iter());
    assert_eq!(collect_now(next(), 100 * KB, &budget), Err(Failure::Crowded));
    held.pop();
    assert_eq!(collect_now(next(), 100 * KB, &budget).map(|body| body.len()), Ok(70 * KB));
}

#[test]
fn a_body_that_exceeds_the_limit_on_its_size_is_refused() {
    let budget = budget(None);
    let pieces = || [Bytes::from(vec![0; 5]), Bytes::from(vec![0; 6])].into_iter();
    assert_eq!(collect_now(body(pieces()), 10, &budget), Err(Failure::TooLarge));
    assert_eq!(collect_now(body(pieces()), 11, &budget).map(|body| body.len()), Ok(11));
}

/// Guards against bodies that are read for ever.
#[test]
fn a_body_is_given_up_at_the_time_limit_of_its_request() {
    let node = support::node("vm-1", 1, &TableRows::default());
    let (head, _) = http::Request::new(()).into_parts();
    let ask = Ask { wait_ms: Some(300), ..Ask::default() };
    let refused = net::exec::block_on(super::body(&*node, &ask, &head, endless_body(), node.now()));
    assert_eq!(refused.map_err(|(refusal, _)| refusal), Err(Refusal::BodyTimedOut));
    assert_eq!(node.metrics.slow_callers.with_label_values(&["sending"]).get(), 1);
    assert_eq!(node.metrics.receiving_bytes.get(), 0);
}

/// Guards against time limits that a suspension extends.
#[test]
fn the_time_limit_passes_during_a_suspension() {
    let node = support::node("vm-1", 1, &TableRows::default());
    let (head, _) = http::Request::new(()).into_parts();
    let clock = node.clock.clone();
    let suspension = net::exec::spawn(async move {
        net::exec::sleep(Duration::from_millis(50)).await;
        clock.advance(DEFAULT_TIME_LIMIT);
    });
    let ask = Ask::default();
    let began = Instant::now();
    let refused = net::exec::block_on(super::body(&*node, &ask, &head, endless_body(), node.now()));
    assert_eq!(refused.map_err(|(refusal, _)| refusal), Err(Refusal::BodyTimedOut));
    assert!(began.elapsed() < DEFAULT_TIME_LIMIT / 2, "the suspension did not count");
    net::exec::block_on(suspension);
}

/// Guards against a time limit that is longer than what the caller or the route allows.
#[test]
fn the_time_limit_is_the_shortest_one_known() {
    let node = support::node("vm-1", 1, &TableRows::default());
    let limit = |wait_ms: Option<u64>| {
        let ask = Ask { wait_ms, host: "desk.example".to_owned(), ..Ask::default() };
        time_limit::<PlainTextWire, TableRows>(&node, &ask, "/story/1")
    };
    assert_eq!(limit(None), DEFAULT_TIME_LIMIT);
    assert_eq!(limit(Some(700)), Duration::from_millis(700));
    let mut manifest = Manifest { version: 1, ..Manifest::default() };
    manifest.routes.insert("desk.example".to_owned(), vec![Arc::new(support::route("/story/", 500))]);
    node.apply_manifest(manifest);
    assert_eq!(limit(None), Duration::from_millis(500));
    assert_eq!(limit(Some(700)), Duration::from_millis(500));
    assert_eq!(limit(Some(300)), Duration::from_millis(300));
}
