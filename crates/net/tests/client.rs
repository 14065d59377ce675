//! Slow answers, and answers that stall.

use futures::{AsyncReadExt, AsyncWriteExt};
use net::{Body, Client, exec};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PAUSE_LIMIT: Duration = Duration::from_millis(300);
const CHUNK: &[u8] = &[b'x'; 1_000];

/// Answers one request with a head that announces `chunks` chunks, and sends `sent` of them with a pause
/// before each. The connection then stays open.
async fn serve(
    listener: TcpListener,
    chunks: usize,
    sent: usize,
    pause: Duration,
) -> std::io::Result<TcpStream> {
    let (mut stream, _) = listener.accept().await?;
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).await?;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", chunks * CHUNK.len());
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..sent {
        exec::sleep(pause).await;
        stream.write_all(CHUNK).await?;
    }
    Ok(stream)
}

/// Returns the length of the answer, or the reason of the failure, and the elapsed time.
async fn request_chunks(chunks: usize, sent: usize, pause: Duration) -> (Result<usize, String>, Duration) {
    exec::start(2);
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serving = exec::spawn(serve(listener, chunks, sent, pause));
    let request = http::Request::get(format!("http://{address}/")).body(Body::empty()).expect("a request");
    let started = Instant::now();
    let answer = Client::new().exchange("read", request, 1 << 20, PAUSE_LIMIT).await;
    let elapsed = started.elapsed();
    drop(serving);
    (answer.map(|answer| answer.body().len()).map_err(|error| error.reason), elapsed)
}

#[test]
fn a_slow_answer_may_take_longer_than_the_pause_limit() {
    exec::block_on(async {
        let (answer, elapsed) = request_chunks(8, 8, Duration::from_millis(100)).await;
        assert_eq!(answer, Ok(8 * CHUNK.len()));
        assert!(elapsed > PAUSE_LIMIT, "{elapsed:?}");
    });
}

#[test]
fn an_answer_that_stalls_times_out() {
    exec::block_on(async {
        let (answer, _) = request_chunks(8, 2, Duration::ZERO).await;
        assert_eq!(answer, Err("no answer within 300 ms".to_owned()));
    });
}

/// Answers the requests on each connection with the path, the one for `/late` after the time limit.
async fn echo(listener: TcpListener) -> std::io::Result<()> {
    loop {
        let (mut stream, _) = listener.accept().await?;
        exec::spawn(async move {
            let mut bytes = [0; 1_024];
            while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
                let path = text.split(' ').nth(1).unwrap_or_default();
                if path == "/late" {
                    exec::sleep(PAUSE_LIMIT * 2).await;
                }
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}", path.len());
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
        .detach();
    }
}

/// Guards against an answer that comes after its time limit and is taken for that to the next request.
#[test]
fn an_answer_that_is_late_is_not_taken_for_that_to_the_next_request() {
    exec::block_on(async {
        exec::start(2);
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        exec::spawn(echo(listener)).detach();
        let client = Client::new();
        let mut answers = vec![];
        for path in ["/1", "/late", "/2", "/late", "/late", "/3"] {
            let request =
                http::Request::get(format!("http://{address}{path}")).body(Body::empty()).expect("a request");
            let answer = client.exchange("ask", request, 1 << 20, PAUSE_LIMIT).await;
            answers.push(
                answer.map_or("-".to_owned(), |answer| String::from_utf8_lossy(answer.body()).into_owned()),
            );
        }
        assert_eq!(answers, ["/1", "-", "/2", "-", "-", "/3"]);
    });
}
