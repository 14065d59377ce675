//! JSON and HTTP/1.1, as far as the stand-ins need them.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(entries) => entries.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Json {
        let mut at = 0;
        value(bytes, &mut at)
    }
}

fn blank(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Json {
    blank(bytes, at);
    match bytes.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut entries = BTreeMap::new();
            loop {
                blank(bytes, at);
                match bytes.get(*at) {
                    Some(b'"') => {
                        let key = text(bytes, at);
                        blank(bytes, at);
                        *at += 1;
                        entries.insert(key, value(bytes, at));
                    }
                    Some(b',') => *at += 1,
                    _ => {
                        *at += 1;
                        return Json::Table(entries);
                    }
                }
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut entries = vec![];
            loop {
                blank(bytes, at);
                match bytes.get(*at) {
                    Some(b']') | None => {
                        *at += 1;
                        return Json::List(entries);
                    }
                    Some(b',') => *at += 1,
                    _ => entries.push(value(bytes, at)),
                }
            }
        }
        Some(b'"') => Json::Text(text(bytes, at)),
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                *at += 1;
            }
            match &bytes[from..*at] {
                b"true" => Json::Bool(true),
                b"false" => Json::Bool(false),
                word => std::str::from_utf8(word)
                    .ok()
                    .and_then(|word| word.parse().ok())
                    .map_or(Json::Null, Json::Number),
            }
        }
    }
}

fn text(bytes: &[u8], at: &mut usize) -> String {
    *at += 1;
    let mut out = vec![];
    while let Some(byte) = bytes.get(*at) {
        *at += 1;
        match byte {
            b'"' => break,
            b'\\' => {
                let escaped = bytes.get(*at).copied().unwrap_or(b'"');
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b'r' => out.push(b'\r'),
                    b't' => out.push(b'\t'),
                    b'u' => {
                        let code = bytes.get(*at..*at + 4).and_then(|hex| std::str::from_utf8(hex).ok());
                        let code =
                            code.and_then(|hex| u32::from_str_radix(hex, 16).ok()).and_then(char::from_u32);
                        *at += 4;
                        out.extend(code.unwrap_or('?').to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(*other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => {
                out.push('\\');
                out.push(letter);
            }
            '\n' => out.push_str("\\n"),
            other => out.push(other),
        }
    }
    out.push('"');
    out
}

/// The bytes of a text in base64.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word =
            part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => out.push(LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// The head of a message with its body, if it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let entry =
            query.split('&').find_map(|entry| entry.split_once('=').filter(|(key, _)| *key == name))?;
        Some(unescaped(entry.1))
    }
}

fn unescaped(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (vec![], 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body.
pub fn read_request(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(input)? else { return Ok(None) };
    message.body = vec![0; message.header("content-length").parse().unwrap_or(0)];
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It has the length that its head names, or its last chunk.
    Whole,
    /// It has neither a length nor chunks, and its connection was closed in order.
    Closed,
    /// The connection ended or broke before.
    Broken,
}

impl End {
    pub fn name(self) -> &'static str {
        match self {
            End::Whole => "whole",
            End::Closed => "closed",
            End::Broken => "broken",
        }
    }
}

/// Reads the body of an answer. `on_piece` gets each piece.
pub fn read_body(input: &mut impl BufRead, head: &Message, mut on_piece: impl FnMut(&[u8])) -> End {
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(input.read_line(&mut line), Ok(1..)) {
                return End::Broken;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return End::Broken };
            let mut piece = vec![0; length + 2];
            if input.read_exact(&mut piece).is_err() {
                return End::Broken;
            }
            if length == 0 {
                return End::Whole;
            }
            on_piece(&piece[..length]);
        }
    }
    let mut left = head.header("content-length").parse::<usize>().ok();
    let mut buffer = [0; 4096];
    loop {
        if left == Some(0) {
            return End::Whole;
        }
        let most = left.unwrap_or(buffer.len()).min(buffer.len());
        match input.read(&mut buffer[..most]) {
            Ok(0) if left.is_none() => return End::Closed,
            Ok(0) | Err(_) => return End::Broken,
            Ok(count) => {
                on_piece(&buffer[..count]);
                left = left.map(|left| left - count);
            }
        }
    }
}

/// Makes a call on a connection of its own, and reads the whole answer.
pub fn call(to: SocketAddr, request: &str, limit: Duration) -> io::Result<(Message, End)> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    let mut input = BufReader::new(stream);
    let mut head = read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = vec![];
    let end = read_body(&mut input, &head, |piece| body.extend_from_slice(piece));
    head.body = body;
    Ok((head, end))
}
