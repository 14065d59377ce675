//! Large bodies share a slow link: whom it refuses, in which order it sends, and what it does when callers leave.

use super::*;
use crate::load::{Load, RELAY_OVERHEAD_BYTES};
use crate::refusal::Refusal;
use futures::FutureExt;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

/// The time after which a test that waits for a turn has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The time limit of requests.
const LIMIT: Duration = Duration::from_secs(600);
/// A link on which a piece takes 10 s, so that no turn comes while a test runs.
const SLOW_MBPS: f64 = 0.001;

/// A link with its clock.
fn link(mbps: f64) -> (Link, Clock) {
    exec::start(2);
    let clock = Clock::default();
    (Link::new(Some(mbps), clock.clone(), Arc::default()), clock)
}

/// A body whose target is in `due` milliseconds and which has to be sent within half of that.
fn body(bytes: u64, due: f64) -> Body {
    Body { bytes, due, latest: due / 2.0 }
}

async fn take(link: &Link, body: &Body) -> Turn {
    let turn = exec::timeout(TEST_TIMEOUT, link.take_turn(body, LIMIT)).await.expect("its turn comes");
    turn.expect("it is not refused").expect("it is paced")
}

/// Waits until the link has this number of bodies that were not sent completely.
async fn wait_for_bodies(link: &Link, count: usize) {
    let waiting = async {
        while link.open_bodies() != count {
            exec::sleep(Duration::from_millis(1)).await;
        }
    };
    exec::timeout(TEST_TIMEOUT, waiting).await.expect("the number of bodies is reached");
}

/// Guards against a change for deployments whose settings name no link, and against control messages that wait.
#[test]
fn only_large_bodies_on_a_known_link_are_paced() {
    let unknown = Link::new(None, Clock::default(), Arc::default());
    let turn = unknown.take_turn(&body(1 << 20, 100.0), LIMIT).now_or_never().expect("at once");
    assert!(matches!(turn, Ok(None)));
    let (link, _) = link(0.01);
    let turn = link.take_turn(&body(MAX_UNPACED_BYTES, 100.0), LIMIT).now_or_never().expect("at once");
    assert!(matches!(turn, Ok(None)));
}

/// Guards against pacing that costs time on a fast link: the turn comes without waiting, and the body is sent as
/// a whole.
#[test]
fn a_fast_link_sends_bodies_whole_and_at_once() {
    let (link, _) = link(1_000.0);
    for _ in 0..20 {
        let turn = link.take_turn(&body(72_000, 400.0), LIMIT).now_or_never().expect("at once");
        let turn = turn.expect("it is not refused").expect("it is paced");
        let (body, writing) = turn.send(Bytes::from(vec![7; 72_000]));
        assert!(writing.is_none() && matches!(body, net::Body::Whole(Some(_))));
    }
}

/// Guards against a pacer that gives bodies the whole link beside events and short messages, or deducts paced
/// bodies twice.
#[test]
fn traffic_that_is_not_paced_is_deducted() {
    let load = Load::new(Some(0.1));
    let unpaced = || load.unpaced().load(Ordering::Relaxed);
    load.record_sent(72_000, 72_000);
    let overhead = unpaced();
    assert!((1..1_000).contains(&overhead), "only the head is not paced: {overhead}");
    load.record_sent(300, 0);
    load.record_relayed(250);
    load.record_message(400);
    let relayed = 250 + RELAY_OVERHEAD_BYTES as u64;
    assert_eq!(unpaced(), 3 * overhead + 300 + relayed + 400);

    let link = Link::new(Some(0.1), Clock::default(), load.unpaced().clone());
    let turn = link.take_turn(&body(5_000, 1e6), LIMIT).now_or_never();
    assert!(matches!(turn, Some(Ok(Some(_)))), "an idle link accepts it");
    assert_eq!(unpaced(), 0, "the pacer has taken the bytes");
}

/// Guards against a request that is held although its body can't be sent in time.
#[test]
fn a_body_that_can_not_be_sent_in_time_is_refused_at_once() {
    let (link, _) = link(SLOW_MBPS);
    let _first = link.take_turn(&body(20_000, 1e9), LIMIT).now_or_never();
    let waiting = body(20_000, 1e9);
    let mut queued = Box::pin(link.take_turn(&waiting, LIMIT));
    assert!(queued.as_mut().now_or_never().is_none(), "it waits for its turn");
    let refused = link.take_turn(&body(8_000, 400.0), LIMIT).now_or_never().expect("at once");
    // The queued 40 KB take 376 s, and the first one is left out once it has asked for nothing for a while.
    assert!(matches!(refused, Err(150_000..=400_000)), "{refused:?}");
    assert_eq!(link.open_bodies(), 2, "the refused one leaves nothing behind");
    drop(queued);
    assert_eq!(link.open_bodies(), 1);

    let response = Refusal::LinkFull(1_234).response();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["retry-after"], "1.234");
    assert_eq!(response.into_body().expect("a body"), r#"{"error":"link-full"}"#);
}

/// Guards against a caller that has left and still occupies the link: the next ones would be refused or wait.
#[test]
fn a_caller_that_leaves_gives_up_its_place_at_once() {
    let (link, _) = link(SLOW_MBPS);
    exec::block_on(async {
        let started = take(&link, &body(1_000_000, 1e9)).await;
        let waiting = body(1_000_000, 2e9);
        let mut gone = Box::pin(link.take_turn(&waiting, LIMIT));
        assert!(gone.as_mut().now_or_never().is_none(), "it waits for its turn");
        assert_eq!(link.open_bodies(), 2);
        drop(gone);
        assert_eq!(link.open_bodies(), 1);
        // The connection is open, and its caller leaves while the body is sent.
        let (_open, writing) = started.send(Bytes::from(vec![7; 1_000_000]));
        drop(writing);
        wait_for_bodies(&link, 0).await;
    });
}

/// Guards against a task that goes on to hand over a body whose connection is closed.
#[test]
fn a_closed_connection_gives_up_the_place() {
    let (link, _) = link(0.1);
    exec::block_on(async {
        let turn = take(&link, &body(1_000_000, 1e9)).await;
        let (body, writing) = turn.send(Bytes::from(vec![7; 1_000_000]));
        writing.expect("it is sent in pieces").detach();
        drop(body);
        wait_for_bodies(&link, 0).await;
    });
}

/// Guards against an urgent body that waits behind less urgent ones.
#[test]
fn turns_come_in_the_order_of_the_time_left() {
    // Only the clock that the test advances brings the next turn.
    let (link, clock) = link(SLOW_MBPS);
    let link = Arc::new(link);
    let (sender, turns) = async_channel::unbounded();
    exec::block_on(async {
        let started = take(&link, &body(5_000, 1e9)).await;
        for (count, (due, name)) in [(9e8, "third"), (7e8, "second"), (5e8, "first")].iter().enumerate() {
            let (waiting, sender, body) = (link.clone(), sender.clone(), body(5_000, *due));
            exec::spawn(async move {
                let turn = take(&waiting, &body).await;
                sender.send((turn, *name)).await.expect("the test waits");
            })
            .detach();
            wait_for_bodies(&link, count + 2).await;
        }
        let mut previous = started;
        for expected in ["first", "second", "third"] {
            clock.advance(Duration::from_secs(10));
            // The next one is woken when the previous one has ended.
            drop(previous);
            let turn = exec::timeout(TEST_TIMEOUT, turns.recv()).await.expect("in time");
            let (turn, name) = turn.expect("a turn");
            assert_eq!(name, expected);
            previous = turn;
        }
    });
}

/// Guards against a body that reaches the upstream in another form because it was sent in pieces.
#[test]
fn a_body_in_pieces_has_its_content_length_and_arrives_unchanged() {
    let (link, _) = link(10.0);
    let bytes = Bytes::from((0..72_000_u32).map(|index| (index % 251) as u8).collect::<Vec<u8>>());
    exec::block_on(async {
        let echo = |request: Request<Incoming>| async move {
            let length = request.headers().get("content-length").cloned();
            let is_chunked = request.headers().contains_key("transfer-encoding");
            let bytes = net::collect(request.into_body(), usize::MAX).await.expect("the whole body");
            let mut response = Response::new(net::Body::from(bytes));
            length.map(|length| response.headers_mut().insert("request-length", length));
            assert!(!is_chunked);
            response
        };
        let server = net::serve(standin::loopback(), net::Limits::default(), echo).await.expect("an address");
        let pool = net::Pool::new(Clock::default());
        for name in ["first", "second"] {
            let turn = take(&link, &body(bytes.len() as u64, 1e6)).await;
            let (body, writing) = turn.send(bytes.clone());
            writing.expect("it is sent in pieces").detach();
            let request = Request::post("/").header("host", "upstream").body(body).expect("a request");
            let identifiers = net::Identifiers::new([name.as_bytes()]);
            let destination = net::Destination {
                step: "test",
                peer: server.address(),
                max_connections: 1,
                identifiers: &identifiers,
            };
            let sent = pool.send(destination, &net::Direct, request, |_| true).await;
            let (response, lease) = sent.expect("an answer");
            assert_eq!(response.headers()["request-length"], "72000");
            let echoed = net::collect(response.into_body(), usize::MAX).await.expect("the whole answer");
            assert_eq!(echoed, bytes);
            lease.keep();
        }
    });
    assert_eq!(link.open_bodies(), 0);
}
