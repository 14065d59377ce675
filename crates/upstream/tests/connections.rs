//! Answers that name no request are told apart by their connections, so each request has one of its own.

use http::Request;
use net::{Body, exec};
use smol::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use upstream::{Call, Engine, Http, Order};

/// How long a test waits for an answer before it fails.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// The request lines that a server has read, by connection.
type Connections = Arc<Mutex<Vec<Vec<String>>>>;

/// Starts a server that keeps its connections open, whatever its peers ask for.
async fn serve(connections: &Connections) -> SocketAddr {
    let listener = TcpListener::bind(standin::loopback()).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections = connections.clone();
    exec::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connections = connections.clone();
            exec::spawn(async move { answer_all(stream, &connections).await }).detach();
        }
    })
    .detach();
    address
}

async fn answer_all(mut stream: TcpStream, connections: &Connections) -> io::Result<()> {
    let mut reader = BufReader::new(stream.clone());
    let index = {
        let mut connections = connections.lock().expect("the connections");
        connections.push(vec![]);
        connections.len() - 1
    };
    loop {
        let mut request = String::new();
        if reader.read_line(&mut request).await? == 0 {
            return Ok(());
        }
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).await?;
            let Some((name, value)) = line.trim().split_once(": ") else { break };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.parse().unwrap_or(0);
            }
        }
        reader.read_exact(&mut vec![0; length]).await?;
        connections.lock().expect("the connections")[index].push(request.trim().to_owned());
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await?;
    }
}

#[test]
fn each_request_has_a_connection_of_its_own() {
    exec::start(2);
    exec::block_on(async {
        let connections = Connections::default();
        let peer = serve(&connections).await;
        let engine = Http::new("vm-1".to_owned(), WAIT_LIMIT, WAIT_LIMIT);
        let path = "/v1/chat/completions".to_owned();
        let call = Call { run: "r-0".to_owned(), path, body: "{}".into(), priority: 0 };
        let order = Order { fence: 1, models: vec![] };
        for _ in 0..2 {
            let _ = engine.start(peer, &call).await;
            let _ = engine.resume(peer, "r-0", 1).await;
            let _ = engine.cancel(peer, "r-0").await;
            let _ = engine.load(peer).await;
            let _ = engine.order(peer, &order).await;
            let request = Request::get("/layer/7").body(Body::empty()).expect("a request");
            let answer = engine.forward(peer, request).await.expect("an answer");
            net::collect(answer.into_body(), 1_024).await.expect("a whole answer");
        }
        let requests = [
            "POST /v1/chat/completions HTTP/1.1",
            "GET /v1/streams/r-0?offset=1 HTTP/1.1",
            "DELETE /v1/streams/r-0 HTTP/1.1",
            "GET /v1/load HTTP/1.1",
            "POST /v1/orders HTTP/1.1",
            "GET /layer/7 HTTP/1.1",
        ];
        let expected: Vec<_> =
            requests.iter().cycle().take(12).map(|line| vec![(*line).to_owned()]).collect();
        assert_eq!(*connections.lock().expect("the connections"), expected);
    });
}
