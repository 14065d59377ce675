//! Tunnels between processes.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::rt::{Read, ReadBuf};
use net::{Body, Limits, Tunnel, TunnelError, exec};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const LIMIT: Duration = Duration::from_secs(2);

/// Starts a relay that opens tunnels to the address that the target's name is.
async fn relay() -> net::Handle {
    exec::start(2);
    let limits = Limits { allows_upgrades: true, ..Limits::default() };
    net::serve(SocketAddr::from(LOOPBACK), limits, answer).await.expect("a port")
}

async fn answer(request: Request<Incoming>) -> Response<Body> {
    let refuse = |status| {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = status;
        response
    };
    let Some(address) = net::tunnel_target(&request).and_then(|target| target.parse().ok()) else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    match net::connect(address).await {
        Ok(stream) => net::accept_tunnel(request, stream, |_| (), ()),
        Err(_) => refuse(StatusCode::BAD_GATEWAY),
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn open(relay: &net::Handle, target: &str) -> Result<Tunnel, TunnelError> {
    net::open_tunnel(relay.address(), "/", target, LIMIT).await
}

/// Reads once from a tunnel; an empty result is its end.
async fn read(tunnel: &mut Tunnel) -> std::io::Result<Vec<u8>> {
    let mut bytes = [0; 64];
    let mut buffer = ReadBuf::new(&mut bytes);
    poll_fn(|context| Pin::new(&mut *tunnel).poll_read(context, buffer.unfilled())).await?;
    Ok(buffer.filled().to_vec())
}

/// A tunnel, and the target's end of it.
async fn tunnel(relay: &net::Handle) -> (Tunnel, TcpStream) {
    let (target, address) = listener().await;
    let tunnel = open(relay, &address.to_string()).await.expect("a tunnel");
    (tunnel, target.accept().await.expect("a connection").0)
}

#[test]
fn a_tunnel_passes_bytes_on_and_ends_with_its_target() {
    exec::block_on(async {
        let relay = relay().await;
        let (mut tunnel, mut target) = tunnel(&relay).await;
        target.write_all(b"answer").await.expect("bytes are passed on");
        assert_eq!(read(&mut tunnel).await.expect("bytes"), b"answer");
        drop(target);
        assert_eq!(read(&mut tunnel).await.expect("an end"), b"");
    });
}

/// Guards against an answer that ends with its connection and seems complete although its server broke off.
#[test]
fn a_target_that_breaks_off_does_not_end_the_tunnel_regularly() {
    exec::block_on(async {
        let relay = relay().await;
        let (mut tunnel, target) = tunnel(&relay).await;
        SockRef::from(&target).set_linger(Some(Duration::ZERO)).expect("an option");
        drop(target);
        assert!(read(&mut tunnel).await.is_err());
    });
}

/// Guards against upstreams that go on working for callers that have left.
#[test]
fn a_target_notices_that_the_tunnel_was_closed() {
    exec::block_on(async {
        let relay = relay().await;
        let (tunnel, mut target) = tunnel(&relay).await;
        drop(tunnel);
        let read = exec::timeout(LIMIT, target.read(&mut [0; 8])).await.expect("the connection ends");
        assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
    });
}

#[test]
fn a_relay_says_whether_the_target_or_itself_is_the_reason() {
    exec::block_on(async {
        let relay = relay().await;
        let (target, address) = listener().await;
        drop(target);
        let unreachable = open(&relay, &address.to_string()).await.expect_err("nobody listens");
        assert_eq!(unreachable, TunnelError::TargetUnreachable(relay.address()));
        let declined = open(&relay, "unknown").await.expect_err("no such target");
        assert_eq!(declined, TunnelError::Declined(relay.address()));
        relay.abort();
        exec::sleep(Duration::from_millis(50)).await;
        let silent = open(&relay, &address.to_string()).await.expect_err("the relay is gone");
        assert!(matches!(silent, TunnelError::NoAnswer(..)), "{silent}");
    });
}
