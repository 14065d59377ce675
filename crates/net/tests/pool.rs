//! Kept connections, servers that are aborted, and what a connection attempt says.

use http::{Request, Response};
use net::{Body, Fault, Limits, Pool, Reach, exec};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const LIMIT: Duration = Duration::from_millis(500);

/// A server that counts its requests.
async fn serve() -> (net::Handle, Arc<AtomicU32>) {
    exec::start(2);
    let count = Arc::new(AtomicU32::new(0));
    let counted = count.clone();
    let answer = move |_: Request<hyper::body::Incoming>| {
        counted.fetch_add(1, Ordering::Relaxed);
        std::future::ready(Response::new(Body::empty()))
    };
    let handle = net::serve(SocketAddr::from(LOOPBACK), Limits::default(), answer).await.expect("a port");
    (handle, count)
}

fn request() -> Request<Body> {
    Request::get("/").body(Body::empty()).expect("a request")
}

#[test]
fn what_is_not_wanted_any_more_is_not_sent_and_keeps_its_connection() {
    exec::block_on(async {
        let (server, count) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        let failure = pool.send("ask", peer, 1, request(), || false).await.expect_err("it is not sent");
        assert!(failure.is_unwanted && failure.error.fault == Fault::Unsent, "{failure:?}");
        assert_eq!((count.load(Ordering::Relaxed), pool.open_to(peer)), (0, 1));
        // The connection is kept once its task has run.
        for _ in 0..1_000 {
            if pool.has_room(peer, 1) {
                break;
            }
            exec::sleep(Duration::from_millis(1)).await;
        }
        assert!(pool.send("ask", peer, 1, request(), || true).await.is_ok());
        assert_eq!(count.load(Ordering::Relaxed), 1);
    });
}

#[test]
fn a_server_that_is_aborted_refuses_connections_at_once() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let address = server.address();
        assert_eq!(net::probe(address, LIMIT).await, Reach::Listens);
        let pool = Pool::default();
        let (_, lease) = pool.send("ask", address, 1, request(), || true).await.expect("an answer");
        lease.keep();
        server.abort();
        exec::sleep(Duration::from_millis(50)).await;
        assert_eq!(net::probe(address, LIMIT).await, Reach::Refuses);
        assert_eq!(pool.open_to(address), 0, "the kept connection is gone");
    });
}
