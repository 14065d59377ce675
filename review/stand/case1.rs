//! Case 1: a request that crashes its servers gets a cut-off stream that looks complete.

#[path = "client.rs"]
mod client;
#[path = "fleet.rs"]
mod fleet;
#[path = "http.rs"]
mod http;
#[path = "json.rs"]
mod json;
#[path = "parent.rs"]
mod parent;
#[path = "record.rs"]
mod record;
#[path = "store.rs"]
mod store;

use client::{Ask, Got, send};
use fleet::Folder;
use http::End;
use record::Record;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use store::Store;

const GATEWAYS: u8 = 3;
const SERVERS: usize = 8;
/// The events of a whole stream, and the one that a deadly request crashes its server at.
const EVENTS: u64 = 12;
const DEADLY_EVENT: u64 = 5;
/// The time until the first event of a run, and between two.
const FIRST_EVENT: Duration = Duration::from_millis(250);
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// A server pings at this interval. Its entry disappears after three pings, and another one takes its place.
const PING: Duration = Duration::from_millis(1_200);
const MISSED_PINGS: u32 = 3;
/// How long requests are sent, at this interval; one in `DEADLY_SHARE` is deadly.
const SENDING: Duration = Duration::from_secs(20);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const DEADLY_SHARE: usize = 34;
const DEADLINE_MS: u64 = 6_000;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, command, id, ip] = arguments.as_slice()
        && command == "server"
    {
        parent::exit_with_parent();
        serve(id, ip.parse().expect("an address"));
        return ExitCode::SUCCESS;
    }
    orchestrate(&arguments[1])
}

/// The manifest: one route with streams that may be resumed.
fn manifest() -> String {
    r#"{"version":3,"routes":[{"name":"story","host":"desk.example","path_prefix":"/story/","kind":"streaming",
    "timeout_ms":6000,"target_latency_ms":1000,"priority":0,"service":"engines","max_attempts":2,"anonymous":false,
    "session_affinity":true,"stream_resumption":true,"target_gap_ms":400}],
    "services":[{"name":"engines","health_check_path":"/health","connection_limit":360,"protocol":"h1","tls":false,
    "inference_engine":{"concurrency_slots":64,"kv_capacity_tokens":562615,"kv_token_bytes":18432,"link_mbps":550000.0,
    "migrations":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,
    "models":[{"name":"m"}]}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"desk","api_keys":["key-of-desk"],"priority":0,"reserved":40000000}]}"#
        .to_owned()
}

/// A server's entry in the store.
fn entry(address: SocketAddr, sequence: u64) -> String {
    format!(
        r#"{{"service":"engines","address":"{address}","zone":"zone-a","version":"v1","concurrency_slots":64,"state":"ready","cold_remaining_ms":0,"sequence_number":{sequence}}}"#
    )
}

/// The servers, each a process of its own, and their entries.
struct Servers {
    store: Store,
    record: Record,
    ip: IpAddr,
    running: Vec<(String, SocketAddr, Child)>,
    started: usize,
}

impl Servers {
    fn start_one(&mut self) {
        self.started += 1;
        let id = format!("i-{:08x}", 0x1a00_0000 + self.started);
        let mut child = Command::new(std::env::current_exe().expect("this program"))
            .args(["server", &id, &self.ip.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server");
        let mut output = BufReader::new(child.stdout.take().expect("its output"));
        let mut line = String::new();
        output.read_line(&mut line).expect("its address");
        let address: SocketAddr = line.trim().parse().expect("its address");
        let (record, name) = (self.record.clone(), id.clone());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.line(&format!("server {name}: {line}"));
            }
        });
        self.store.put("servers", &id, &entry(address, 1));
        self.running.push((id, address, child));
    }

    /// Lets the entries of crashed servers disappear after three pings, and starts others in their place.
    fn replace_crashed(&mut self, silent: &mut HashMap<String, Instant>) {
        let mut gone = vec![];
        for (id, _, child) in &mut self.running {
            if child.try_wait().expect("its state").is_none() {
                continue;
            }
            let since = *silent.entry(id.clone()).or_insert_with(|| {
                self.record.line(&format!("server {id} has crashed"));
                Instant::now()
            });
            if since.elapsed() >= PING * MISSED_PINGS {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.running.retain(|(known, ..)| *known != id);
            self.store.drop_row("servers", &id);
            self.start_one();
        }
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn orchestrate(record_path: &str) -> ExitCode {
    let record = Record::create(record_path);
    let is_calm = record::is_calm();
    let folder = Folder::create();
    let ip = fleet::machine_ip(200);
    let store = Store::start(ip);
    store.put("op", "config", &manifest());
    let mut servers =
        Servers { store: store.clone(), record: record.clone(), ip, running: vec![], started: 0 };
    (0..SERVERS).for_each(|_| servers.start_one());
    let gateways = fleet::start(GATEWAYS, &store, &folder.0, &record);
    record.line(&format!("{GATEWAYS} gateways are ready, {SERVERS} servers are listed, disruption={}", !is_calm));

    let violations = Arc::new(Mutex::new(vec![]));
    let served = Arc::new(Mutex::new(0u32));
    let mut requests = vec![];
    let mut silent = HashMap::new();
    let began = Instant::now();
    for number in 0.. {
        if began.elapsed() >= SENDING {
            break;
        }
        let gateway = gateways[number % gateways.len()].callers;
        let is_deadly = number % DEADLY_SHARE == DEADLY_SHARE / 2 && !is_calm;
        let (record, violations, served) = (record.clone(), violations.clone(), served.clone());
        requests.push(thread::spawn(move || request(number, gateway, is_deadly, &record, &violations, &served)));
        servers.replace_crashed(&mut silent);
        thread::sleep(REQUEST_INTERVAL);
    }
    let sent = requests.len();
    requests.into_iter().for_each(|request| request.join().expect("a requester"));
    drop(gateways);
    drop(servers);
    let violations = violations.lock().expect("the violations");
    let served = *served.lock().expect("the count");
    record.line(&format!("{sent} requests sent, {served} served whole, {} cut off as complete", violations.len()));
    if (served as usize) < sent / 2 {
        record.line("less than half were served: the case can't be judged");
        return ExitCode::from(2);
    }
    match violations.is_empty() {
        true => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        false => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
    }
}

/// Sends one request, and checks that an answer that ends as complete holds all events.
fn request(
    number: usize,
    gateway: SocketAddr,
    is_deadly: bool,
    record: &Record,
    violations: &Mutex<Vec<String>>,
    served: &Mutex<u32>,
) {
    let id = format!("{:016x}", 0x9c41_0000 + number);
    let body = format!("{} {id}", if is_deadly { "deadly" } else { "sound" });
    let headers = format!(
        "X-Tallypaddle-Model: m\r\nX-Tallypaddle-Token-Usage: 300,{}\r\nX-Tallypaddle-Prefix-Hash: a1:200,{:x}:100\r\n",
        EVENTS * 5,
        0xb000 + number
    );
    record.line(&format!("request {id} ({body}) is sent to {gateway}"));
    let ask = Ask { id: &id, path: "/story/1", deadline_ms: DEADLINE_MS, headers: &headers, body: body.as_bytes() };
    let got = send(gateway, &ask);
    let Got::Answer { status, signature, body, end } = got else {
        let Got::Nothing(reason) = got else { unreachable!() };
        record.line(&format!("request {id} gets no answer: {reason}"));
        return;
    };
    let text = String::from_utf8_lossy(&body);
    let events: Vec<u64> =
        text.lines().filter_map(|line| line.strip_prefix("id: ")).filter_map(|id| id.parse().ok()).collect();
    record.line(&format!(
        "request {id} gets {status}, signature {}, {end:?}, events {events:?}",
        signature.as_deref().unwrap_or("none")
    ));
    let is_whole = events == (1..=EVENTS).collect::<Vec<_>>();
    if status == 200 && end == End::Complete {
        if is_whole {
            *served.lock().expect("the count") += 1;
        } else {
            record.line(&format!("ORDER: request {id} ends as complete with {} of {EVENTS} events", events.len()));
            violations.lock().expect("the violations").push(id);
        }
    }
}

/// Runs a server: a stream of events in an answer without a length, which ends with its channel.
fn serve(id: &str, ip: IpAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    println!("{}", listener.local_addr().expect("an address"));
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            let _ = handle(&id, stream);
        });
    }
}

fn handle(id: &str, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut input)? {
        let (body, _) = http::read_body(&mut input, &head);
        if head.word(1) == "/health" {
            http::answer(&mut output, "200 OK", &format!("X-Tallypaddle-Instance-Id: {id}\r\n"), b"")?;
            continue;
        }
        let request = head.get("x-tallypaddle-attempt-id").unwrap_or("").to_owned();
        let echo = format!("X-Tallypaddle-Attempt-Id: {request}\r\n");
        if head.get("x-tallypaddle-expected-instance").is_some_and(|expected| expected != id) {
            http::answer(&mut output, "421 Misdirected Request", &echo, b"")?;
            continue;
        }
        let after: u64 = head.get("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
        println!("runs {request} after event {after}");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Tallypaddle-Response-Signature: 3e1b.{id}.{request}\r\n\
             X-Tallypaddle-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        output.write_all(head.as_bytes())?;
        let is_deadly = body.starts_with(b"deadly");
        thread::sleep(FIRST_EVENT);
        for event in after + 1..=EVENTS {
            if is_deadly && event == DEADLY_EVENT {
                println!("{request} crashes the server at event {event}");
                std::process::abort();
            }
            output.write_all(format!("id: {event}\ndata: {request} {event}\n\n").as_bytes())?;
            thread::sleep(EVENT_PAUSE);
        }
        println!("has run {request} to its end");
        return Ok(());
    }
    Ok(())
}
