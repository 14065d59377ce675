//! The platform's metadata store: tables over HTTP, as the pages describe them.

use crate::http::{self, Head};
use crate::json::{Json, quote};
use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(5);
/// How long any other call takes.
const CALL: Duration = Duration::from_millis(4);
/// The most rows in an answer.
const PAGE: usize = 500;

/// Table, part and key of a row.
type Key = (String, String, String);

#[derive(Default)]
struct State {
    /// The version and the value in base64 of each row; no value if it was dropped.
    rows: BTreeMap<Key, (u64, Option<String>)>,
    version: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: IpAddr) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                thread::spawn(move || serve(&shared, stream));
            }
        });
        Store { shared, address }
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    /// Drops a row as a server that has left, or the platform after missing pings.
    pub fn drop_row(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.shared.state.lock().expect("the rows");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), String::new(), key.to_owned()), (version, value));
        self.shared.changed.notify_all();
    }
}

fn serve(shared: &Shared, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut output = stream.try_clone().expect("a second handle");
    let mut input = BufReader::new(stream);
    while let Ok(Some(head)) = http::read_head(&mut input) {
        let (body, _) = http::read_body(&mut input, &head);
        let (status, answer) = handle(shared, &head, &body);
        let type_header = "Content-Type: application/json\r\n";
        if http::answer(&mut output, status, type_header, answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn handle(shared: &Shared, head: &Head, body: &[u8]) -> (&'static str, String) {
    let target = head.word(1);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query: HashMap<String, String> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
        .collect();
    let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
    match path {
        "/rows-tx" => {
            thread::sleep(TRANSACTION);
            match std::str::from_utf8(body).ok().and_then(Json::parse) {
                Some(call) => transact(shared, &call),
                None => ("400 Bad Request", "{}".to_owned()),
            }
        }
        "/rows-get" => {
            thread::sleep(CALL);
            list(shared, &parameter("table_name"), &parameter("part"), &parameter("source"))
        }
        "/rows-feed" => {
            thread::sleep(CALL);
            let after = parameter("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
            feed(shared, &parameter("table_name"), after, wait)
        }
        _ => ("404 Not Found", "{}".to_owned()),
    }
}

fn transact(shared: &Shared, call: &Json) -> (&'static str, String) {
    let key = |entry: &Json| {
        (
            entry.text("table_name").to_owned(),
            entry.text("part").to_owned(),
            entry.text("private_key").to_owned(),
        )
    };
    let mut state = shared.state.lock().expect("the rows");
    let version = |state: &State, key: &Key| {
        state.rows.get(key).filter(|(_, value)| value.is_some()).map_or(0, |(version, _)| *version)
    };
    let expected = call.list("expected_revision");
    let holds = |entry: &Json| entry.number("schema_version") == Some(version(&state, &key(entry)) as f64);
    if !expected.iter().all(holds) {
        let rows: Vec<String> = expected
            .iter()
            .map(|entry| {
                let key = key(entry);
                let row = state.rows.get(&key).filter(|(_, value)| value.is_some());
                row_text(&key, row.map_or(0, |row| row.0), row.and_then(|row| row.1.as_deref()), false)
            })
            .collect();
        return ("412 Precondition Failed", answer(shared, &state, &rows));
    }
    state.version += 1;
    let version = state.version;
    for entry in call.list("put_request") {
        state.rows.insert(key(entry), (version, Some(entry.text("value").to_owned())));
    }
    for entry in call.list("removals") {
        state.rows.insert(key(entry), (version, None));
    }
    shared.changed.notify_all();
    ("200 OK", answer(shared, &state, &[]))
}

fn list(shared: &Shared, table: &str, part: &str, source: &str) -> (&'static str, String) {
    let state = shared.state.lock().expect("the rows");
    let from = (table.to_owned(), part.to_owned(), source.to_owned());
    let rows: Vec<String> = state
        .rows
        .range(from..)
        .take_while(|(key, _)| key.0 == table && key.1 == part)
        .filter(|(_, (_, value))| value.is_some())
        .take(PAGE)
        .map(|(key, (version, value))| row_text(key, *version, value.as_deref(), false))
        .collect();
    ("200 OK", answer(shared, &state, &rows))
}

fn feed(shared: &Shared, table: &str, after: u64, wait: Duration) -> (&'static str, String) {
    let until = Instant::now() + wait;
    let mut state = shared.state.lock().expect("the rows");
    loop {
        let mut changed: Vec<_> =
            state.rows.iter().filter(|(key, (version, _))| key.0 == table && *version > after).collect();
        let left = until.saturating_duration_since(Instant::now());
        if !changed.is_empty() || left.is_zero() {
            changed.sort_by_key(|(_, (version, _))| *version);
            let rows: Vec<String> = changed
                .iter()
                .map(|(key, (version, value))| row_text(key, *version, value.as_deref(), value.is_none()))
                .collect();
            return ("200 OK", answer(shared, &state, &rows));
        }
        state = shared.changed.wait_timeout(state, left).expect("the rows").0;
    }
}

fn row_text(key: &Key, version: u64, value: Option<&str>, is_dropped: bool) -> String {
    let mut text = format!(
        "{{\"table_name\":{},\"part\":{},\"private_key\":{},\"schema_version\":{version}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2)
    );
    if let Some(value) = value {
        text += &format!(",\"value\":{}", quote(value));
    }
    if is_dropped {
        text += ",\"compacted\":true";
    }
    text + "}"
}

fn answer(shared: &Shared, state: &State, rows: &[String]) -> String {
    format!(
        "{{\"rows\":[{}],\"has_more\":false,\"schema_version\":{},\"current_time_ms\":{}}}",
        rows.join(","),
        state.version,
        1_000_000 + shared.started.elapsed().as_millis()
    )
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = vec![];
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(LETTERS[(bits >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
