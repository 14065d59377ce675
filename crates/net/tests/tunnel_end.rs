//! How the end of a tunnel is told: whether its target closed in order, or the relay ended.

use hyper::rt::{Read, ReadBuf, Write};
use net::{Limits, TunnelError, exec};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::time::Duration;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const LIMIT: Duration = Duration::from_secs(2);
/// The answers of relays of this build and of earlier ones.
const FRAMED: &str =
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: tcp-tunnel/2\r\n\r\n";
const PLAIN: &str = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: tcp-tunnel\r\n\r\n";
const UNKNOWN: &str = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n";
/// The frame that says that the target closed in order.
const END: &[u8] = &[2, 0, 0];
/// The size of the largest frame's content.
const MAX_CONTENT: usize = 16 * 1024;

/// The length of an answer that the requester's socket does not hold.
const LARGE_ANSWER: usize = 1 << 20;

/// A frame with bytes of the target.
fn data(content: &[u8]) -> Vec<u8> {
    let length = u16::try_from(content.len()).expect("a short frame").to_be_bytes();
    [&[1, length[0], length[1]], content].concat()
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads the head of an HTTP message, in lower case.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = vec![];
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).await.expect("a head");
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("text").to_ascii_lowercase()
}

/// Reads a tunnel to its end, which is in order or a failure.
async fn read_all(mut tunnel: impl Read + Unpin) -> (Vec<u8>, io::Result<()>) {
    let mut read = vec![];
    loop {
        let mut bytes = [0; 64];
        let mut buffer = ReadBuf::new(&mut bytes);
        match poll_fn(|context| Pin::new(&mut tunnel).poll_read(context, buffer.unfilled())).await {
            Ok(()) if buffer.filled().is_empty() => return (read, Ok(())),
            Ok(()) => read.extend_from_slice(buffer.filled()),
            Err(error) => return (read, Err(error)),
        }
    }
}

/// Opens a tunnel through a relay that answers with these parts, one after another, and closes its connection in order.
/// Returns what was read, and whether it ended in order.
async fn read_from_relay(parts: Vec<Vec<u8>>) -> (Vec<u8>, bool) {
    exec::start(2);
    let (listener, relay) = listener().await;
    let answering = exec::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        stream.set_nodelay(true).expect("an option");
        for part in parts {
            stream.write_all(&part).await.expect("bytes are taken");
            exec::sleep(Duration::from_millis(5)).await;
        }
    });
    let tunnel = net::open_tunnel(relay, "/", "target", LIMIT).await.expect("a tunnel");
    answering.await;
    let (read, end) = read_all(tunnel).await;
    (read, end.is_ok())
}

/// Reads these bytes that a relay of this build sends, at once and byte by byte.
async fn read_framed(bytes: &[u8]) -> (Vec<u8>, bool) {
    let at_once = read_from_relay(vec![[FRAMED.as_bytes(), bytes].concat()]).await;
    let mut parts = vec![FRAMED.as_bytes().to_vec()];
    parts.extend(bytes.chunks(1).take(20).map(<[u8]>::to_vec));
    parts.push(bytes.get(20..).unwrap_or_default().to_vec());
    assert_eq!(read_from_relay(parts).await, at_once, "{bytes:?}");
    at_once
}

#[test]
fn a_tunnel_ends_in_order_if_its_relay_says_so() {
    exec::block_on(async {
        let whole = [data(b"an "), data(b"answer"), END.to_vec()].concat();
        assert_eq!(read_framed(&whole).await, (b"an answer".to_vec(), true));
        assert_eq!(read_framed(END).await, (vec![], true));
        let large = vec![7; MAX_CONTENT];
        let whole = [data(&large), data(&large), END.to_vec()].concat();
        assert_eq!(read_framed(&whole).await, ([large.clone(), large].concat(), true));
    });
}

/// Guards against answers that are cut off where their relay ends, and seem complete.
#[test]
fn a_tunnel_whose_relay_ends_is_broken() {
    exec::block_on(async {
        assert_eq!(read_framed(b"").await, (vec![], false));
        assert_eq!(read_framed(&data(b"an answer")).await, (b"an answer".to_vec(), false));
        assert_eq!(read_framed(&data(b"an answer")[..5]).await, (b"an".to_vec(), false));
        assert_eq!(
            read_framed(&[data(b"an"), data(b" answer")[..2].to_vec()].concat()).await,
            (b"an".to_vec(), false)
        );
    });
}

#[test]
fn a_tunnel_with_an_invalid_frame_is_broken() {
    exec::block_on(async {
        let unknown = [data(b"an"), vec![3, 0, 1, b'x'], END.to_vec()].concat();
        let text = [data(b"an"), b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), END.to_vec()].concat();
        let too_long = [data(b"an"), data(&[7; MAX_CONTENT + 1]), END.to_vec()].concat();
        let empty = [data(b"an"), data(b""), END.to_vec()].concat();
        let end_with_content = [data(b"an"), vec![2, 0, 1, b'x']].concat();
        for bytes in [unknown, text, too_long, empty, end_with_content] {
            assert_eq!(read_framed(&bytes).await, (b"an".to_vec(), false));
        }
    });
}

/// A relay of this build that opens tunnels to the address that the target's name is.
async fn relay() -> net::Handle {
    exec::start(2);
    let limits = Limits { allows_upgrades: true, ..Limits::default() };
    let answer = async |request: http::Request<hyper::body::Incoming>| {
        let target =
            net::tunnel_target(&request).expect("a request for a tunnel").parse().expect("an address");
        let stream = net::connect(target).await.expect("a connection");
        net::accept_tunnel(request, stream, |_| (), ())
    };
    net::serve(SocketAddr::from(LOOPBACK), limits, answer).await.expect("a port")
}

#[test]
fn a_target_that_closes_in_order_is_told_from_one_that_resets() {
    exec::block_on(async {
        let relay = relay().await;
        for closes_in_order in [true, false] {
            let (target, address) = listener().await;
            let tunnel = net::open_tunnel(relay.address(), "/", &address.to_string(), LIMIT).await;
            let (mut target, _) = target.accept().await.expect("a connection");
            target.write_all(b"an answer").await.expect("bytes are taken");
            if !closes_in_order {
                SockRef::from(&target).set_linger(Some(Duration::ZERO)).expect("an option");
            }
            drop(target);
            let (read, end) = read_all(tunnel.expect("a tunnel")).await;
            assert_eq!(end.is_ok(), closes_in_order, "{end:?}");
            assert!(!closes_in_order || read == b"an answer", "{read:?}");
        }
    });
}

/// Guards against the loss of answers that a target sends before it has read the whole request.
#[test]
fn an_answer_arrives_whole_although_its_request_is_not_read() {
    exec::block_on(async {
        let relay = relay().await;
        let (target, address) = listener().await;
        let tunnel = net::open_tunnel(relay.address(), "/", &address.to_string(), LIMIT).await;
        let mut tunnel = tunnel.expect("a tunnel");
        let (mut target, _) = target.accept().await.expect("a connection");
        // The sockets on the way fill up, so that a part of the request is unread at the relay.
        let chunk = [7; 64 * 1024];
        while let Some(written) = exec::timeout(
            Duration::from_millis(100),
            poll_fn(|context| Pin::new(&mut tunnel).poll_write(context, &chunk)),
        )
        .await
        {
            written.expect("bytes are taken");
        }
        let answer = vec![9; LARGE_ANSWER];
        target.write_all(&answer).await.expect("bytes are taken");
        target.shutdown(Shutdown::Write).expect("an open connection");
        // The relay has passed on all that it can.
        exec::sleep(Duration::from_millis(100)).await;
        let (read, end) = read_all(tunnel).await;
        assert!(end.is_ok(), "{end:?} after {} bytes", read.len());
        assert_eq!(read.len(), answer.len());
    });
}

/// Opens a tunnel through a relay that answers with this head. Returns the head of the request too.
async fn open_at(answer: &'static str) -> (Result<net::Tunnel, TunnelError>, String) {
    exec::start(2);
    let (listener, relay) = listener().await;
    let answering = exec::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let head = read_head(&mut stream).await;
        stream.write_all(answer.as_bytes()).await.expect("bytes are taken");
        stream.write_all(b"an answer").await.expect("bytes are taken");
        head
    });
    let tunnel = net::open_tunnel(relay, "/", "target", LIMIT).await;
    (tunnel, answering.await)
}

#[test]
fn a_relay_of_an_earlier_build_is_asked_in_its_way_and_tells_no_end() {
    exec::block_on(async {
        let (tunnel, request) = open_at(PLAIN).await;
        let upgrade = request.lines().find(|line| line.starts_with("upgrade:"));
        assert_eq!(upgrade, Some("upgrade: tcp-tunnel"), "the first header is the only one that it reads");
        let tunnel = tunnel.expect("a tunnel");
        assert!(!tunnel.tells_end());
        let (read, end) = read_all(tunnel).await;
        assert!(end.is_ok() && read == b"an answer", "{end:?} {read:?}");
    });
}

#[test]
fn a_relay_of_this_build_tells_the_end_and_one_of_another_protocol_gets_nothing() {
    exec::block_on(async {
        assert!(open_at(FRAMED).await.0.expect("a tunnel").tells_end());
        let (tunnel, _) = open_at(UNKNOWN).await;
        assert!(matches!(tunnel, Err(TunnelError::NoAnswer(..))), "{tunnel:?}");
    });
}

/// A requester of an earlier build.
#[test]
fn a_requester_that_asks_for_a_plain_tunnel_gets_one() {
    exec::block_on(async {
        let relay = relay().await;
        let (target, address) = listener().await;
        let mut requester = TcpStream::connect(relay.address()).await.expect("a connection");
        let request = format!(
            "GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: tcp-tunnel\r\ntunnel-target: {address}\r\n\r\n"
        );
        requester.write_all(request.as_bytes()).await.expect("bytes are taken");
        assert!(read_head(&mut requester).await.contains("\r\nupgrade: tcp-tunnel\r\n"));
        let (mut target, _) = target.accept().await.expect("a connection");
        target.write_all(b"an answer").await.expect("bytes are taken");
        drop(target);
        let mut read = vec![];
        requester.read_to_end(&mut read).await.expect("an end in order");
        assert_eq!(read, b"an answer");
    });
}
