//! The platform's store: rows under a condition, lists and feeds.

use crate::wire::{Json, Message, base64, quoted, read_request};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a transaction and a read take.
const TRANSACTION: Duration = Duration::from_millis(5);
const READ: Duration = Duration::from_millis(4);

/// Table, part and key.
type Key = (String, String, String);

#[derive(Debug, Default)]
struct State {
    version: u64,
    /// With the version of the last write; `None` if the row was dropped.
    rows: BTreeMap<Key, (u64, Option<String>)>,
}

/// A running store; clones share it.
#[derive(Clone, Debug)]
pub struct Store(Arc<(Mutex<State>, Condvar, Instant)>);

impl Store {
    /// Starts a store at a free port.
    pub fn start() -> io::Result<(Store, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Store(Arc::new((
            Mutex::new(State { version: 1, ..State::default() }),
            Condvar::new(),
            Instant::now(),
        )));
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(request) = read_request(&mut input)? {
            let (status, body) = self.answer(&request);
            let length = body.len();
            output.write_all(
                format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes(),
            )?;
        }
        Ok(())
    }

    /// Writes a row as the operator or a server does. Returns the version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(table, key, Some(base64(value.as_bytes())))
    }

    /// Drops a row as the platform does.
    pub fn drop_row(&self, table: &str, key: &str) -> u64 {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let (state, changed, _) = &*self.0;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), String::new(), key.to_owned()), (version, value));
        changed.notify_all();
        version
    }

    fn times(&self, version: u64) -> String {
        format!(
            "\"schema_version\":{version},\"current_time_ms\":{}",
            50_000 + self.0.2.elapsed().as_millis()
        )
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let parameter = |name: &str| request.parameter(name).unwrap_or_default();
        match request.word(1).split('?').next().unwrap_or("") {
            "/rows-tx" => self.commit(&Json::parse(&request.body)),
            "/rows-get" => {
                thread::sleep(READ);
                self.list(&parameter("table_name"), &parameter("part"), &parameter("source"))
            }
            "/rows-feed" => {
                thread::sleep(READ);
                let number = |name: &str| parameter(name).parse().unwrap_or(0);
                self.feed(&parameter("table_name"), number("after"), Duration::from_millis(number("wait_ms")))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn commit(&self, change: &Json) -> (u16, String) {
        thread::sleep(TRANSACTION);
        let key = |entry: &Json| -> Key {
            (
                entry.get("table_name").text().into(),
                entry.get("part").text().into(),
                entry.get("private_key").text().into(),
            )
        };
        let (state, changed, _) = &*self.0;
        let mut state = state.lock().unwrap();
        let current = |state: &State, key: &Key| match state.rows.get(key) {
            Some((version, Some(_))) => *version,
            _ => 0,
        };
        let expected = change.get("expected_revision").list();
        if expected
            .iter()
            .any(|entry| Some(current(&state, &key(entry))) != entry.get("schema_version").number())
        {
            let rows: Vec<String> = expected
                .iter()
                .map(|entry| {
                    let key = key(entry);
                    row(
                        &key,
                        state
                            .rows
                            .get(&key)
                            .filter(|(_, value)| value.is_some())
                            .cloned()
                            .unwrap_or((0, None)),
                    )
                })
                .collect();
            return (412, format!("{{\"rows\":[{}],{}}}", rows.join(","), self.times(state.version)));
        }
        state.version += 1;
        let version = state.version;
        for entry in change.get("put_request").list() {
            state.rows.insert(key(entry), (version, Some(entry.get("value").text().to_owned())));
        }
        for entry in change.get("removals").list() {
            state.rows.insert(key(entry), (version, None));
        }
        changed.notify_all();
        (200, format!("{{{}}}", self.times(version)))
    }

    fn list(&self, table: &str, part: &str, source: &str) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let rows = state.rows.iter().filter(|((known, of, name), (_, value))| {
            known == table && of == part && name.as_str() >= source && value.is_some()
        });
        let rows: Vec<String> = rows.map(|(key, value)| row(key, value.clone())).collect();
        (200, format!("{{\"rows\":[{}],\"has_more\":false,{}}}", rows.join(","), self.times(state.version)))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let (state, changed, _) = &*self.0;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let mut rows: Vec<(u64, String)> = state
                .rows
                .iter()
                .filter(|((known, ..), (version, _))| known == table && *version > after)
                .map(|(key, value)| (value.0, row(key, value.clone())))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort();
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                return (200, format!("{{\"rows\":[{}],{}}}", rows.join(","), self.times(state.version)));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row((table, part, key): &Key, (version, value): (u64, Option<String>)) -> String {
    let names =
        format!("\"table_name\":{},\"part\":{},\"private_key\":{}", quoted(table), quoted(part), quoted(key));
    match value {
        Some(value) => format!("{{{names},\"value\":\"{value}\",\"schema_version\":{version}}}"),
        None => format!("{{{names},\"schema_version\":{version},\"compacted\":true}}"),
    }
}
