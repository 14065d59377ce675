//! Pooled connections, aborted servers and connection probes.

use futures::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use net::{Body, Cause, Clock, Destination, Direct, Fault, Identifiers, Limits, Pool, ProbeResult, exec};
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a server that counts its requests.
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

/// A destination of a request with one identifier.
fn destination(peer: SocketAddr, max_connections: usize, identifiers: &Identifiers) -> Destination<'_> {
    Destination { step: "ask", peer, max_connections, identifiers }
}

fn identifiers(name: &str) -> Identifiers {
    Identifiers::new([name.as_bytes()])
}

fn request() -> Request<Body> {
    Request::get("/").body(Body::empty()).expect("a request")
}

/// Waits until `condition` holds.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        exec::sleep(Duration::from_millis(1)).await;
    }
    panic!("the condition did not hold within 1,000 checks");
}

#[test]
fn a_time_out_includes_the_time_of_a_suspension() {
    exec::block_on(async {
        exec::start(2);
        let clock = Clock::default();
        let started = std::time::Instant::now();
        let suspended = clock.clone();
        exec::spawn(async move {
            exec::sleep(Duration::from_millis(100)).await;
            suspended.advance(Duration::from_secs(60));
        })
        .detach();
        let ended = clock.timeout(Duration::from_secs(30), std::future::pending::<()>()).await;
        assert!(ended.is_none() && started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
        assert_eq!(clock.timeout(Duration::from_secs(30), async { 7 }).await, Some(7));
        let started = clock.now();
        assert!(clock.timeout(Duration::from_millis(700), std::future::pending::<()>()).await.is_none());
        assert!(clock.now() - started >= Duration::from_millis(700), "the time-out ended early");
    });
}

#[test]
fn an_idle_connection_expires_during_a_suspension() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let (clock, peer) = (Clock::default(), server.address());
        let pool = Pool::new(clock.clone());
        let (answer, lease) = pool
            .send(destination(peer, 1, &identifiers("a")), &Direct, request(), |_| true)
            .await
            .expect("an answer");
        net::collect(answer.into_body(), 100).await.expect("an empty body");
        lease.keep();
        exec::sleep(Duration::from_millis(50)).await;
        pool.evict_expired();
        assert_eq!(pool.open_connections(peer), 1, "the connection has not expired");
        clock.advance(Duration::from_secs(10));
        pool.evict_expired();
        wait_until(|| pool.open_connections(peer) == 0).await;
    });
}

#[test]
fn a_withdrawn_request_is_not_sent_and_its_connection_is_pooled() {
    exec::block_on(async {
        let (server, count) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        let failure = pool
            .send(destination(peer, 1, &identifiers("a")), &Direct, request(), |_| false)
            .await
            .expect_err("the request is withdrawn");
        assert!(failure.cause == Cause::Withdrawn && failure.error.fault == Fault::Unsent, "{failure:?}");
        assert_eq!((count.load(Ordering::Relaxed), pool.open_connections(peer)), (0, 1));
        // The connection returns to the pool only after its task has run.
        wait_until(|| pool.has_room(peer, 1)).await;
        assert!(
            pool.send(destination(peer, 1, &identifiers("a")), &Direct, request(), |_| true).await.is_ok()
        );
        assert_eq!(count.load(Ordering::Relaxed), 1);
    });
}

#[test]
fn a_loan_takes_the_place_of_an_idle_connection_and_leaves_those_that_are_kept() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        let (answer, lease) = pool
            .send(destination(peer, 2, &identifiers("a")), &Direct, request(), |_| true)
            .await
            .expect("an answer");
        assert!(pool.lend(peer, 2, 1).await.is_none(), "one is in use, and one is kept");
        net::collect(answer.into_body(), 100).await.expect("an empty body");
        lease.keep();
        wait_until(|| pool.has_room(peer, 1)).await;
        let loan = pool.lend(peer, 2, 1).await.expect("one is idle");
        assert!(pool.lend(peer, 2, 1).await.is_none(), "the idle one is kept");
        assert_eq!(pool.open_connections(peer), 2);
        drop(loan);
        let loan = pool.lend(peer, 1, 0).await.expect("the idle one is replaced");
        assert_eq!(pool.open_connections(peer), 1);
        drop(loan);
        assert_eq!(pool.open_connections(peer), 0);
    });
}

/// Sends a request, and returns the number of the connection that carried it.
async fn send(pool: &Pool, peer: SocketAddr, max_connections: usize, name: &str) -> u64 {
    let identifiers = identifiers(name);
    let destination = destination(peer, max_connections, &identifiers);
    let (answer, lease) = pool.send(destination, &Direct, request(), |_| true).await.expect("an answer");
    net::collect(answer.into_body(), 100).await.expect("an empty body");
    let number = lease.number();
    lease.keep();
    // The connection returns to the pool only after its task has run.
    exec::sleep(Duration::from_millis(20)).await;
    number
}

/// Guards against the copy of an answer that names the request which its connection carries again.
#[test]
fn a_connection_carries_each_identifier_once() {
    exec::block_on(async {
        let (server, count) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        let mut numbers = vec![];
        for name in ["a", "b", "a", "b", "c", "a", ""] {
            numbers.push(send(&pool, peer, 2, name).await);
            assert!(pool.open_connections(peer) <= 2);
        }
        assert_eq!(
            numbers,
            [0, 0, 1, 1, 1, 2, 2],
            "the last used connection that has not carried the identifier"
        );
        assert_eq!(count.load(Ordering::Relaxed), 7);
    });
}

/// Guards against requests without an identifier that can't be told apart on one connection.
#[test]
fn a_connection_carries_one_request_without_an_identifier() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        let unnamed = Identifiers::new([]);
        let mut numbers = vec![];
        for _ in 0..2 {
            let destination = destination(peer, 1, &unnamed);
            let (_, lease) = pool.send(destination, &Direct, request(), |_| true).await.expect("an answer");
            numbers.push(lease.number());
            lease.keep();
            exec::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(numbers, [0, 1]);
    });
}

/// Guards against the copy of an answer that names a request by only one of its identifiers.
#[test]
fn a_connection_carries_no_two_requests_that_share_one_of_several_identifiers() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        let mut numbers = vec![];
        for names in [&["a", "b"][..], &["c"], &["d", "b"], &["B", "a b"], &["a"]] {
            let identifiers = Identifiers::new(names.iter().map(|name| name.as_bytes()));
            let destination = destination(peer, 1, &identifiers);
            let (_, lease) = pool.send(destination, &Direct, request(), |_| true).await.expect("an answer");
            numbers.push(lease.number());
            lease.keep();
            exec::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(numbers, [0, 0, 1, 1, 1]);
    });
}

/// Guards against two requests with one identifier that are open at once and then share a connection.
#[test]
fn requests_with_one_identifier_that_are_open_at_once_never_share_a_connection() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        let same = identifiers("a");
        let (_, first) =
            pool.send(destination(peer, 2, &same), &Direct, request(), |_| true).await.expect("an answer");
        let (_, second) =
            pool.send(destination(peer, 2, &same), &Direct, request(), |_| true).await.expect("an answer");
        assert_eq!((first.number(), second.number()), (0, 1));
        first.keep();
        second.keep();
        exec::sleep(Duration::from_millis(20)).await;
        assert_eq!(send(&pool, peer, 2, "a").await, 2);
        assert_eq!(pool.open_connections(peer), 2);
    });
}

/// Guards against a new connection for a request that was withdrawn before it was sent.
#[test]
fn a_withdrawn_request_leaves_its_identifier_unused() {
    exec::block_on(async {
        let (server, count) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        assert_eq!(send(&pool, peer, 1, "a").await, 0);
        let withdrawn = identifiers("b");
        let failure = pool.send(destination(peer, 1, &withdrawn), &Direct, request(), |_| false).await;
        assert_eq!(failure.expect_err("it is withdrawn").cause, Cause::Withdrawn);
        exec::sleep(Duration::from_millis(20)).await;
        assert_eq!(send(&pool, peer, 1, "b").await, 0);
        assert_eq!(count.load(Ordering::Relaxed), 2);
    });
}

/// Guards against a pool that locks itself or opens too many connections while idle ones are replaced.
#[test]
fn connections_that_are_replaced_at_once_keep_to_the_limit() {
    const MAX_CONNECTIONS: usize = 3;
    const TASKS: usize = 8;
    const REQUESTS: usize = 150;
    exec::block_on(async {
        let (server, _) = serve().await;
        let clock = Clock::default();
        let (pool, peer) = (Pool::new(clock.clone()), server.address());
        let task = async |task: usize| {
            let mut sent = 0;
            for number in 0..REQUESTS {
                // A few names, so that most requests come again.
                let name = identifiers(&(number % 3).to_string());
                let destination = destination(peer, MAX_CONNECTIONS, &name);
                match pool.send(destination, &Direct, request(), |_| true).await {
                    Ok((answer, lease)) => {
                        net::collect(answer.into_body(), 100).await.expect("an empty body");
                        lease.keep();
                        sent += 1;
                    }
                    Err(failure) => assert_eq!(failure.cause, Cause::NoConnection, "{failure:?}"),
                }
                match (number + task) % 10 {
                    0 => drop(pool.lend(peer, MAX_CONNECTIONS, 1).await),
                    5 => pool.evict_expired(),
                    _ => {}
                }
                assert!(pool.open_connections(peer) <= MAX_CONNECTIONS);
                exec::sleep(Duration::from_micros(200)).await;
            }
            sent
        };
        let tasks = futures::future::join_all((0..TASKS).map(task));
        let sent = exec::timeout(Duration::from_secs(60), tasks).await.expect("the pool is not locked");
        assert!(sent.iter().all(|sent| *sent > 0), "each task gets connections: {sent:?}");
        wait_until(|| pool.has_room(peer, 1)).await;
        clock.advance(Duration::from_secs(10));
        pool.evict_expired();
        wait_until(|| pool.open_connections(peer) == 0).await;
    });
}

/// Counts the connections that a peer has at once, as the peer sees them. Returns the address and the most so far.
async fn count_connections() -> (SocketAddr, Arc<AtomicU32>) {
    exec::start(2);
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (open, most) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let counted = most.clone();
    exec::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_max(open.fetch_add(1, Ordering::Relaxed) + 1, Ordering::Relaxed);
            let open = open.clone();
            exec::spawn(async move {
                let mut bytes = [0; 1_024];
                while let Ok(1..) = stream.read(&mut bytes).await {
                    let answered = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
                    answered.expect("the answer is sent");
                }
                open.fetch_sub(1, Ordering::Relaxed);
            })
            .detach();
        }
    })
    .detach();
    (address, most)
}

/// Guards against a connection that a peer resets, because the one that it replaces has not ended yet.
#[test]
fn a_connection_is_opened_once_the_one_that_it_replaces_has_ended() {
    exec::block_on(async {
        let (peer, most) = count_connections().await;
        let pool = Pool::default();
        for number in 0..50 {
            assert_eq!(send(&pool, peer, 1, "a").await, number, "each request gets a new connection");
        }
        assert_eq!(most.load(Ordering::Relaxed), 1, "connections at once");
    });
}

/// Guards against a borrowed connection that a peer resets, because the lender's own one has not ended yet.
#[test]
fn a_connection_is_lent_once_the_one_that_it_replaces_has_ended() {
    exec::block_on(async {
        let (peer, most) = count_connections().await;
        let pool = Pool::default();
        for number in 0..50 {
            send(&pool, peer, 1, &number.to_string()).await;
            let loan = pool.lend(peer, 1, 0).await.expect("the idle one is replaced");
            let mut stream = net::connect(peer).await.expect("a connection");
            stream.close().await.expect("it is closed");
            // The peer closes its end once it has noticed.
            let _ = stream.read(&mut [0]).await;
            drop(loan);
        }
        assert_eq!(most.load(Ordering::Relaxed), 1, "connections at once");
    });
}

/// Guards against memory that grows with the requests of a connection.
#[test]
fn a_connection_ends_after_many_requests() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let (pool, peer) = (Pool::default(), server.address());
        let mut last = 0;
        for number in 0..1_500 {
            let identifiers = identifiers(&number.to_string());
            let destination = destination(peer, 1, &identifiers);
            let (answer, lease) =
                pool.send(destination, &Direct, request(), |_| true).await.expect("an answer");
            net::collect(answer.into_body(), 100).await.expect("an empty body");
            last = lease.number();
            lease.keep();
            wait_until(|| pool.has_room(peer, 1)).await;
        }
        assert_eq!(last, 1, "one connection followed another");
    });
}

#[test]
fn an_aborted_server_refuses_connections_at_once() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let address = server.address();
        assert_eq!(net::probe(address, PROBE_TIMEOUT).await, ProbeResult::Listens);
        let pool = Pool::default();
        let (_, lease) = pool
            .send(destination(address, 1, &identifiers("a")), &Direct, request(), |_| true)
            .await
            .expect("an answer");
        lease.keep();
        server.abort();
        exec::sleep(Duration::from_millis(50)).await;
        assert_eq!(net::probe(address, PROBE_TIMEOUT).await, ProbeResult::Refuses);
        assert_eq!(pool.open_connections(address), 0, "the pooled connection is closed");
    });
}

/// How long a sound peer may be silent, and how long a broken connection may go unnoticed.
const SILENCE: Duration = Duration::from_millis(1_500);
const NOTICED: Duration = Duration::from_secs(3);

/// On Linux `TCP_USER_TIMEOUT` decides when keepalive probes give up, whatever their number.
#[test]
fn a_connection_outlasts_a_silent_second_but_not_a_partition() {
    exec::block_on(async {
        let (server, _) = serve().await;
        let stream = net::connect(server.address()).await.expect("a connection");
        let socket = socket2::SockRef::from(&stream);
        let limit = socket.tcp_user_timeout().expect("an option").expect("a limit");
        let (idle, interval) = (
            socket.tcp_keepalive_time().expect("an option"),
            socket.tcp_keepalive_interval().expect("an option"),
        );
        assert!(limit > SILENCE, "bytes may be unacknowledged for {limit:?}");
        // A probe at or after the limit ends the connection.
        let last_probe = (0..).map(|probes| idle + interval * probes).find(|at| *at >= limit);
        assert!(last_probe.is_some_and(|at| at <= NOTICED), "an idle connection ends after {last_probe:?}");
    });
}
