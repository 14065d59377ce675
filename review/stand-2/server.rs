//! A server of a service, in a process of its own.

use crate::wire::{Message, call, quoted, read_request};
use std::fs::OpenOptions;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How a server answers.
#[derive(Clone, Debug)]
pub struct Settings {
    pub id: String,
    pub address: SocketAddr,
    /// The number of events of a stream, and the pause between two.
    pub events: u64,
    pub pause: Duration,
    /// How long a prompt is read before the answer begins.
    pub first: Duration,
    /// One in so many answers has no length and ends with its channel; none if it is 0.
    pub unframed: u64,
    /// The file to which each run is written.
    pub runs: String,
}

/// Runs a server until the process is killed.
pub fn run(settings: Settings) -> io::Result<()> {
    let listener = loop {
        // The address is that of the process before, which has just ended.
        match TcpListener::bind(settings.address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    };
    let settings = Arc::new(settings);
    for stream in listener.incoming().flatten() {
        let settings = settings.clone();
        thread::spawn(move || serve(&settings, stream));
    }
    Ok(())
}

fn serve(settings: &Settings, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        if !answer(settings, &request, &mut output)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Answers a request. Returns whether the connection is kept.
fn answer(settings: &Settings, request: &Message, output: &mut TcpStream) -> io::Result<bool> {
    let id = &settings.id;
    let path = request.word(1);
    if path.starts_with("/health") {
        output.write_all(
            format!("HTTP/1.1 200 OK\r\nX-Tallypaddle-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                .as_bytes(),
        )?;
        return Ok(true);
    }
    let attempt = request.header("x-tallypaddle-attempt-id");
    let expected = request.header("x-tallypaddle-expected-instance");
    if !expected.is_empty() && expected != id {
        output.write_all(
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Tallypaddle-Instance-Id: {id}\r\nX-Tallypaddle-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            )
            .as_bytes(),
        )?;
        return Ok(true);
    }
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let unframed = settings.unframed > 0 && hash(attempt) % settings.unframed == 0;
    let mut runs = OpenOptions::new().create(true).append(true).open(&settings.runs)?;
    let length = if unframed { "without a length" } else { "in chunks" };
    runs.write_all(format!("{attempt} runs at {id} after event {after}, answered {length}\n").as_bytes())?;
    thread::sleep(settings.first);
    let framing = if unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
    output.write_all(
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Tallypaddle-Attempt-Id: {attempt}\r\nX-Tallypaddle-Response-Signature: s.{id}.{attempt}\r\n{framing}\r\n\r\n"
        )
        .as_bytes(),
    )?;
    for event in after + 1..=settings.events {
        thread::sleep(settings.pause);
        let event = format!("id: {event}\ndata: piece {event} of {}\n\n", settings.events);
        match unframed {
            true => output.write_all(event.as_bytes())?,
            false => output.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?,
        }
    }
    if !unframed {
        output.write_all(b"0\r\n\r\n")?;
    }
    Ok(!unframed)
}

/// A number that the text determines.
fn hash(text: &str) -> u64 {
    text.bytes().fold(7, |hash: u64, byte| hash.wrapping_mul(1_000_003) ^ u64::from(byte)) >> 3
}

/// The entry of a server in the list.
pub fn entry(service: &str, address: SocketAddr, state: &str, number: u64) -> String {
    format!(
        "{{\"service\":{},\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\"concurrency_slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence_number\":{number}}}",
        quoted(service)
    )
}

/// Whether the server at this address answers health checks under this name.
pub fn is_up(address: SocketAddr, id: &str) -> bool {
    let asked = call(address, "GET /health HTTP/1.1\r\nHost: h\r\n\r\n", Duration::from_millis(200));
    asked.is_ok_and(|(answer, _)| answer.header("x-tallypaddle-instance-id") == id)
}
