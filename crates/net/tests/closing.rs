//! What the end of a connection tells about its peer.

use http::Request;
use net::{Body, Destination, Direct, End, Identifiers, Pool, exec};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// An answer that is not complete yet.
const BEGUN: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
const REST: &[u8] = b"6\r\nsecond\r\n0\r\n\r\n";
/// A part of the rest, after which a peer breaks its answer off.
const PART: &[u8] = b"6\r\nsec";
/// How long a peer works on an answer after it has begun it.
const WORK_TIME: Duration = Duration::from_millis(600);

/// What a peer does after it has begun its answer.
#[derive(Clone, Copy, Debug)]
enum Peer {
    /// It closes its end when the other one is closed.
    Notices,
    /// It completes the answer, whatever happens to the connection.
    Ignores,
    /// It breaks the answer off and closes the connection.
    BreaksOff,
    /// It resets the connection.
    Resets,
}

async fn start(peer: Peer) -> SocketAddr {
    exec::start(2);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    exec::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = answer(stream, peer).await;
        }
    })
    .detach();
    address
}

async fn answer(mut stream: TcpStream, peer: Peer) -> std::io::Result<()> {
    let mut request = [0; 1_024];
    stream.read(&mut request).await?;
    stream.write_all(BEGUN).await?;
    match peer {
        Peer::Notices => while stream.read(&mut request).await? > 0 {},
        Peer::Ignores => {
            exec::sleep(WORK_TIME).await;
            stream.write_all(REST).await?;
        }
        Peer::BreaksOff => stream.write_all(PART).await?,
        Peer::Resets => SockRef::from(&stream).set_linger(Some(Duration::ZERO))?,
    }
    Ok(())
}

/// Sends a request, and calls `finish` with its answer. Returns how the connection ended.
async fn end_of(peer: Peer, finish: impl AsyncFnOnce(http::Response<net::Received>)) -> End {
    let address = start(peer).await;
    let pool = Pool::default();
    let request = Request::get("/").header("host", "test").body(Body::empty()).expect("a request");
    let observed = Mutex::new(None);
    let observe = |path: net::Path<'_>| {
        path.closing.set_awaited(true);
        *observed.lock().expect("the lock is not poisoned") = Some(path.closing.clone());
        true
    };
    let identifiers = Identifiers::new([]);
    let destination =
        Destination { step: "ask", peer: address, max_connections: 1, identifiers: &identifiers };
    let (answer, lease) =
        pool.send(destination, &Direct, request, observe).await.expect("the head of an answer");
    let closing = observed.into_inner().expect("the lock is not poisoned").expect("a connection");
    finish(answer).await;
    drop(lease);
    closing.wait().await
}

#[test]
fn a_peer_that_closes_its_end_after_the_other_one_is_told_apart() {
    let end = exec::block_on(end_of(Peer::Notices, async |answer| drop(answer)));
    assert_eq!(end, End::Followed);
}

#[test]
fn a_peer_that_closes_its_end_of_its_own_accord_is_told_apart() {
    let end = exec::block_on(end_of(Peer::BreaksOff, async |answer| {
        assert!(net::collect(answer.into_body(), 1_024).await.is_err(), "the answer breaks off");
    }));
    assert_eq!(end, End::Peer);
}

/// Guards against a run that is taken for over because its connection was closed.
#[test]
fn nothing_is_known_of_a_peer_that_ignores_the_end_of_its_connection() {
    let end = exec::block_on(end_of(Peer::Ignores, async |answer| drop(answer)));
    assert_eq!(end, End::Unknown);
}

/// Guards against a run that is taken for over because its connection broke.
#[test]
fn a_connection_that_broke_is_not_taken_for_closed_by_its_peer() {
    let end = exec::block_on(end_of(Peer::Resets, async |answer| {
        assert!(net::collect(answer.into_body(), 1_024).await.is_err(), "the answer breaks off");
    }));
    assert_eq!(end, End::Broken);
}
