//! Just enough HTTP/1.1 for the stand-ins: heads, and bodies with a length or in chunks.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;

/// The head of a request or an answer.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header, whose name is given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The word of the first line at this position.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }
}

/// Reads a head; `None` if the connection was closed before one.
pub fn read_head(input: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first_line = String::new();
    if input.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = vec![];
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head { first_line: first_line.trim_end().to_owned(), headers }));
        }
        let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// As its head says.
    Complete,
    /// Before that: the connection was closed or broke.
    Broken,
}

/// Reads a body with a length or in chunks. Without either, a request has none.
pub fn read_body(input: &mut BufReader<TcpStream>, head: &Head) -> (Vec<u8>, End) {
    let mut body = vec![];
    let is_chunked = head.get("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let result = if is_chunked { read_chunks(input, &mut body) } else { read_sized(input, head, &mut body) };
    (body, if result.is_ok() { End::Complete } else { End::Broken })
}

fn read_sized(input: &mut BufReader<TcpStream>, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
    let length: u64 = head.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let read = input.take(length).read_to_end(body)?;
    if read as u64 == length { Ok(()) } else { Err(ErrorKind::UnexpectedEof.into()) }
}

fn read_chunks(input: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        input.read_line(&mut line)?;
        let digits = line.trim().split(';').next().unwrap_or("");
        let length = u64::from_str_radix(digits, 16).map_err(|_| ErrorKind::InvalidData)?;
        if length == 0 {
            let mut last = String::new();
            input.read_line(&mut last)?;
            return if last.ends_with('\n') { Ok(()) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
        let before = body.len();
        input.by_ref().take(length).read_to_end(body)?;
        let mut rest = [0; 2];
        input.read_exact(&mut rest)?;
        if body.len() - before != length as usize {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Writes an answer with a length.
pub fn answer(output: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}
