//! Peers of a server that do not read their responses, that still send a request when it is answered, or that speak
//! HTTP/1.0, so that they can't tell a response that was broken off from a complete one unless the connection is reset.

use futures::{AsyncReadExt, AsyncWriteExt};
use net::{Body, Limits, exec};
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Short, so that the tests are, and several times the interval between two checks.
const WRITE_STALL: Duration = Duration::from_millis(1_000);
/// How long a test waits for the server before it fails.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const CHUNK: &[u8] = &[b'x'; 64 * 1024];

/// Starts a server whose responses have no end. Returns its handle, a channel that closes when the producer of
/// a response has ended, and the number of chunks produced.
async fn serve(limits: Limits) -> (net::Handle, async_channel::Receiver<()>, Arc<AtomicU64>) {
    exec::start(2);
    let (running, ended) = async_channel::bounded::<()>(1);
    let produced = Arc::new(AtomicU64::new(0));
    let count = produced.clone();
    let service = move |_| {
        let (pipe, body) = net::pipe();
        let (running, count) = (running.clone(), count.clone());
        exec::spawn(async move {
            while pipe.write(CHUNK).await {
                count.fetch_add(1, Ordering::Relaxed);
            }
            running.close();
        })
        .detach();
        std::future::ready(http::Response::new(body))
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = net::serve::<_, _, Body>(address, limits, service).await.expect("a free port");
    (handle, ended, produced)
}

async fn connect(handle: &net::Handle) -> TcpStream {
    let mut stream = TcpStream::connect(handle.address()).await.expect("a connection");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").await.expect("a request");
    stream
}

/// Guards against responses that a peer never reads: they would hold the connection and their producer for as
/// long as the peer likes.
#[test]
fn a_connection_whose_peer_does_not_read_is_closed() {
    exec::block_on(async {
        let limits = Limits { write_stall: Some(WRITE_STALL), ..Limits::default() };
        let (handle, ended, _) = serve(limits).await;
        let stream = connect(&handle).await;
        assert!(
            exec::timeout(WAIT_LIMIT, ended.recv()).await.is_some(),
            "the producer of the response still runs"
        );
        while handle.open_connections() > 0 {
            exec::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(handle.stalled_connections().load(Ordering::Relaxed), 1);
        drop(stream);
    });
}

/// Guards against a limit on the duration of a response: a peer that reads slowly, but reads, is served.
#[test]
fn a_connection_whose_peer_reads_slowly_stays_open() {
    exec::block_on(async {
        let limits =
            Limits { write_stall: Some(WRITE_STALL), send_buffer: Some(64 * 1024), ..Limits::default() };
        let (handle, ended, produced) = serve(limits).await;
        let mut stream = connect(&handle).await;
        let mut buffer = vec![0; 512 * 1024];
        // Twelve reads take three times the limit.
        for _ in 0..12 {
            let before = produced.load(Ordering::Relaxed);
            let mut read = 0;
            while produced.load(Ordering::Relaxed) == before || read < buffer.len() {
                read += stream.read(&mut buffer).await.expect("the connection is open");
            }
            exec::sleep(WRITE_STALL / 4).await;
        }
        assert!(!ended.is_closed());
        assert_eq!(handle.stalled_connections().load(Ordering::Relaxed), 0);
    });
}

/// Guards against kernel buffers of several megabytes for each peer that does not read.
#[test]
fn the_send_buffer_of_a_connection_is_bounded() {
    exec::block_on(async {
        let limits =
            Limits { write_stall: Some(WRITE_STALL), send_buffer: Some(64 * 1024), ..Limits::default() };
        let (handle, ended, produced) = serve(limits).await;
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(16 * 1024).expect("an option");
        socket.connect(&handle.address().into()).expect("a connection");
        let stream = std::net::TcpStream::from(socket);
        std::io::Write::write_all(&mut &stream, b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").expect("a request");
        assert!(exec::timeout(WAIT_LIMIT, ended.recv()).await.is_some(), "the connection is not closed");
        // The kernel doubles the sizes. Nine chunks are in the pipe and one in the server.
        let bytes = produced.load(Ordering::Relaxed) * CHUNK.len() as u64;
        assert!(bytes <= 1 << 20, "{bytes} bytes were buffered");
    });
}

/// Guards against a response that is lost because the connection is reset: the peer still sends the body of
/// the request, which the server does not read.
#[test]
fn a_response_to_a_request_that_was_not_read_arrives() {
    exec::block_on(async {
        exec::start(2);
        let service = |_| {
            let mut response = http::Response::new(Body::from("refused"));
            response.headers_mut().insert("connection", "close".parse().expect("a header"));
            response.extensions_mut().insert(net::UnreadRequest);
            std::future::ready(response)
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let handle = net::serve(address, Limits::default(), service).await.expect("a free port");
        let mut stream = TcpStream::connect(handle.address()).await.expect("a connection");
        let head = format!("POST / HTTP/1.1\r\nhost: test\r\ncontent-length: {}\r\n\r\n", 8 * CHUNK.len());
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        for _ in 0..8 {
            exec::sleep(Duration::from_millis(20)).await;
            stream.write_all(CHUNK).await.expect("the connection was reset while the body was sent");
        }
        let mut answer = vec![];
        stream.read_to_end(&mut answer).await.expect("the connection was reset before the answer was read");
        assert!(answer.ends_with(b"refused"), "{}", String::from_utf8_lossy(&answer));
        drop(stream);
        while handle.open_connections() > 0 {
            exec::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// How a response of a server under test ends.
#[derive(Clone, Copy, Debug)]
enum ResponseEnd {
    Complete,
    /// The body fails.
    Failed,
    /// The body never ends, and the server is aborted.
    Aborted,
}

/// Requests `version` of a response that ends in this way, and returns the bytes that were received and how the
/// connection ended.
async fn read_response(version: &str, end: ResponseEnd) -> (String, io::Result<()>) {
    exec::start(2);
    let service = move |_| {
        let (pipe, body) = net::pipe();
        exec::spawn(async move {
            pipe.write("part").await;
            match end {
                ResponseEnd::Complete => {}
                ResponseEnd::Failed => pipe.abort("aborted by the test").await,
                ResponseEnd::Aborted => pipe.closed().await,
            }
        })
        .detach();
        std::future::ready(http::Response::new(body))
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = net::serve::<_, _, Body>(address, Limits::default(), service).await.expect("a free port");
    let mut stream = TcpStream::connect(handle.address()).await.expect("a connection");
    let head = format!("GET / HTTP/{version}\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("a request");
    let mut received = vec![];
    let result = loop {
        let mut chunk = [0; 512];
        match stream.read(&mut chunk).await {
            Ok(0) => break Ok(()),
            Ok(count) => received.extend_from_slice(&chunk[..count]),
            Err(error) => break Err(error),
        }
        let has_body = received.windows(4).any(|window| window == b"part");
        if matches!(end, ResponseEnd::Aborted) && has_body {
            handle.abort();
        }
    };
    (String::from_utf8(received).expect("UTF-8"), result)
}

/// Guards against a response that ends with its connection and seems complete although its body failed.
#[test]
fn a_failed_response_to_an_http_1_0_request_resets_the_connection() {
    exec::block_on(async {
        let (text, result) = read_response("1.0", ResponseEnd::Failed).await;
        assert!(text.ends_with("\r\n\r\npart"), "{text}");
        assert_eq!(result.map_err(|error| error.kind()), Err(io::ErrorKind::ConnectionReset));
    });
}

/// Guards against a response that seems complete although its server was aborted.
#[test]
fn an_aborted_server_resets_connections_with_open_responses_to_http_1_0_requests() {
    exec::block_on(async {
        let (text, result) = read_response("1.0", ResponseEnd::Aborted).await;
        assert!(text.ends_with("\r\n\r\npart"), "{text}");
        assert_eq!(result.map_err(|error| error.kind()), Err(io::ErrorKind::ConnectionReset));
    });
}

#[test]
fn a_complete_response_to_an_http_1_0_request_closes_the_connection_in_order() {
    exec::block_on(async {
        let (text, result) = read_response("1.0", ResponseEnd::Complete).await;
        assert!(text.ends_with("\r\n\r\npart"), "{text}");
        assert!(!text.contains("transfer-encoding"), "{text}");
        result.expect("an end in order");
    });
}

/// The chunks tell a peer that speaks HTTP/1.1 that the response is not complete. It is not reset, since that could
/// discard what the peer has not read yet.
#[test]
fn a_failed_response_to_an_http_1_1_request_ends_without_its_last_chunk() {
    exec::block_on(async {
        for end in [ResponseEnd::Failed, ResponseEnd::Aborted] {
            let (text, result) = read_response("1.1", end).await;
            assert!(text.ends_with("\r\n\r\n4\r\npart\r\n"), "{end:?}: {text}");
            result.expect("an end in order");
        }
        let (text, _) = read_response("1.1", ResponseEnd::Complete).await;
        assert!(text.ends_with("4\r\npart\r\n0\r\n\r\n"), "{text}");
    });
}
