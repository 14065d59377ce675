//! A requester: one request on a new channel.

use crate::http::{self, End};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a requester got.
pub enum Got {
    /// An answer: its status, its body, and whether it was complete.
    Answer { status: u16, signature: Option<String>, body: Vec<u8>, end: End },
    /// No answer.
    Nothing(String),
}

/// A request as a requester sends it.
pub struct Ask<'a> {
    pub id: &'a str,
    pub path: &'a str,
    pub deadline_ms: u64,
    /// Further headers, each with its line end.
    pub headers: &'a str,
    pub body: &'a [u8],
}

/// Sends a request and reads the answer to its end.
pub fn send(gateway: SocketAddr, ask: &Ask) -> Got {
    try_send(gateway, ask).unwrap_or_else(|error| Got::Nothing(error.to_string()))
}

fn try_send(gateway: SocketAddr, ask: &Ask) -> std::io::Result<Got> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(ask.deadline_ms + 500)))?;
    let mut bytes = format!(
        "POST {} HTTP/1.1\r\nHost: desk.example\r\nX-Tallypaddle-Attempt-Id: {}\r\n\
         X-Tallypaddle-Deadline-Remaining: {}\r\nAuthorization: Token key-of-desk\r\n{}Content-Length: {}\r\n\r\n",
        ask.path,
        ask.id,
        ask.deadline_ms,
        ask.headers,
        ask.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(ask.body);
    stream.write_all(&bytes)?;
    let mut input = BufReader::new(stream);
    let Some(head) = http::read_head(&mut input)? else {
        return Ok(Got::Nothing("the channel was closed".to_owned()));
    };
    let status = head.word(1).parse().unwrap_or(0);
    let signature = head.get("x-tallypaddle-response-signature").map(str::to_owned);
    let (body, end) = http::read_body(&mut input, &head);
    Ok(Got::Answer { status, signature, body, end })
}
