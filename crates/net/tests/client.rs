//! Answers that come slowly, and those that stand still.

use futures::{AsyncReadExt, AsyncWriteExt};
use net::{Body, Client, exec};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const QUIET: Duration = Duration::from_millis(300);
const PIECE: &[u8] = &[b'x'; 1_000];

/// Answers one request with so many pieces, with a pause before each; then it stands still, with as much to come.
async fn serve(
    listener: TcpListener,
    pieces: usize,
    sent: usize,
    pause: Duration,
) -> std::io::Result<TcpStream> {
    let (mut stream, _) = listener.accept().await?;
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).await?;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", pieces * PIECE.len());
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..sent {
        exec::sleep(pause).await;
        stream.write_all(PIECE).await?;
    }
    Ok(stream)
}

/// The length of the answer, or the reason why there is none, and how long that took.
async fn ask(pieces: usize, sent: usize, pause: Duration) -> (Result<usize, String>, Duration) {
    exec::start(2);
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let serving = exec::spawn(serve(listener, pieces, sent, pause));
    let request = http::Request::get(format!("http://{address}/")).body(Body::empty()).expect("a request");
    let began = Instant::now();
    let answer = Client::new().exchange("read", request, 1 << 20, QUIET).await;
    let took = began.elapsed();
    drop(serving);
    (answer.map(|answer| answer.body().len()).map_err(|error| error.reason), took)
}

#[test]
fn a_large_answer_may_take_longer_than_it_may_stand_still() {
    exec::block_on(async {
        let (answer, took) = ask(8, 8, Duration::from_millis(100)).await;
        assert_eq!(answer, Ok(8 * PIECE.len()));
        assert!(took > QUIET, "{took:?}");
    });
}

#[test]
fn an_answer_that_stands_still_is_given_up() {
    exec::block_on(async {
        let (answer, _) = ask(8, 2, Duration::ZERO).await;
        assert_eq!(answer, Err("no answer within 300 ms".to_owned()));
    });
}
