//! Case 3: gateways exceed their memory when many users send bodies of an allowed size at once.

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

use fleet::{Folder, Gateway};
use http::End;
use record::Record;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use store::Store;

const GATEWAYS: u8 = 3;
const SERVERS: usize = 6;
/// A body, below the `max_body_bytes` of the manifest.
const BODY_BYTES: usize = 4_000_000;
/// A stream: its events and the time between two.
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(150);
const DEADLINE_MS: u64 = 12_000;
/// The requests for each gateway in a second, and how many times as many come in a burst.
const REQUESTS_PER_S: f64 = 7.0;
const BURST: f64 = 1.7;
/// When bursts begin, and how long they last.
const BURSTS_AT_S: [f64; 4] = [12.0, 26.0, 40.0, 54.0];
const BURST_S: f64 = 3.0;
const SENDING_S: f64 = 66.0;
/// The platform kills a process over this memory and starts it again after a short delay.
const MEMORY_MB: f64 = 260.0;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const PAGE_BYTES: f64 = 4_096.0;
/// The rule: as many ends, on as many machines.
const MOST_ENDS: usize = 3;
const MACHINES: usize = 2;

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

fn manifest() -> String {
    r#"{"version":3,"routes":[{"name":"story","host":"desk.example","path_prefix":"/story/","kind":"streaming",
    "timeout_ms":15000,"target_latency_ms":1000,"priority":0,"service":"engines","max_attempts":1,"anonymous":false,
    "session_affinity":true,"stream_resumption":false,"target_gap_ms":400}],
    "services":[{"name":"engines","health_check_path":"/health","connection_limit":360,"protocol":"h1","tls":false,
    "inference_engine":{"concurrency_slots":64,"kv_capacity_tokens":562615,"kv_token_bytes":18432,"link_mbps":550000.0,
    "migrations":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,
    "models":[{"name":"m"}]}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"desk","api_keys":["key-of-desk"],"priority":0,"reserved":4000000000}]}"#
        .to_owned()
}

fn entry(address: SocketAddr) -> String {
    format!(
        r#"{{"service":"engines","address":"{address}","zone":"zone-a","version":"v1","concurrency_slots":64,"state":"ready","cold_remaining_ms":0,"sequence_number":1}}"#
    )
}

struct Servers(Vec<Child>);

impl Drop for Servers {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The resident memory of a process in MB; `None` if it has ended.
fn memory_mb(pid: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES / 1e6)
}

/// A machine as the platform sees it.
struct Machine {
    gateway: Option<Gateway>,
    number: u8,
    ended: Option<Instant>,
    is_ready: bool,
    ends: usize,
    peak_mb: f64,
}

impl Machine {
    /// Kills the process if it is over its memory, and starts it again later.
    fn check(&mut self, store: &Store, folder: &Folder, record: &Record) {
        if let Some(gateway) = &mut self.gateway {
            let used = memory_mb(gateway.child.id()).unwrap_or(0.0);
            self.peak_mb = self.peak_mb.max(used);
            let has_ended = gateway.child.try_wait().expect("its state").is_some();
            if used <= MEMORY_MB && !has_ended {
                return;
            }
            record.line(&format!("{} has {used:.0} MB, over {MEMORY_MB} MB: the platform kills it", gateway.name));
            self.gateway = None;
            self.ends += 1;
            self.is_ready = false;
            self.ended = Some(Instant::now());
        } else if self.ended.is_some_and(|ended| ended.elapsed() >= RESTART_DELAY) {
            let gateway = Gateway::start(self.number, store, &folder.0);
            record.line(&format!("{} is started again", gateway.name));
            self.gateway = Some(gateway);
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
    let mut servers = Servers(vec![]);
    for number in 1..=SERVERS {
        let id = format!("i-{:08x}", 0x3c00_0000 + number);
        let mut child = Command::new(std::env::current_exe().expect("this program"))
            .args(["server", &id, &ip.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server");
        let mut output = BufReader::new(child.stdout.take().expect("its output"));
        let mut line = String::new();
        output.read_line(&mut line).expect("its address");
        store.put("servers", &id, &entry(line.trim().parse().expect("its address")));
        let record = record.clone();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.line(&format!("server {id}: {line}"));
            }
        });
        servers.0.push(child);
    }
    let gateways = fleet::start(GATEWAYS, &store, &folder.0, &record);
    record.line(&format!("{GATEWAYS} gateways are ready, {SERVERS} servers are listed, disruption={}", !is_calm));
    let mut machines: Vec<Machine> = gateways
        .into_iter()
        .zip(1..)
        .map(|(gateway, number)| Machine {
            gateway: Some(gateway),
            number,
            ended: None,
            is_ready: true,
            ends: 0,
            peak_mb: 0.0,
        })
        .collect();

    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let served = Arc::new(AtomicUsize::new(0));
    let mut requests = vec![];
    let (began, mut due_s, mut number) = (Instant::now(), 0.0, 0usize);
    let mut last_asked = Instant::now();
    let mut was_burst = false;
    while began.elapsed().as_secs_f64() < SENDING_S {
        let now_s = began.elapsed().as_secs_f64();
        machines.iter_mut().for_each(|machine| machine.check(&store, &folder, &record));
        if last_asked.elapsed() >= Duration::from_millis(1_000) {
            last_asked = Instant::now();
            for machine in &mut machines {
                machine.is_ready = machine.gateway.as_ref().is_some_and(Gateway::is_ready);
            }
        }
        let is_burst = !is_calm && BURSTS_AT_S.iter().any(|at| (*at..at + BURST_S).contains(&now_s));
        if is_burst != was_burst {
            record.line(if is_burst { "a burst begins" } else { "the burst ends" });
            was_burst = is_burst;
        }
        if now_s < due_s {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        let per_s = REQUESTS_PER_S * f64::from(GATEWAYS) * if is_burst { BURST } else { 1.0 };
        due_s = due_s.max(now_s - 0.1) + 1.0 / per_s;
        // The platform gives a new channel to a node that is ready.
        let ready: Vec<SocketAddr> = machines
            .iter()
            .filter(|machine| machine.is_ready)
            .filter_map(|machine| machine.gateway.as_ref().map(|gateway| gateway.callers))
            .collect();
        number += 1;
        let Some(gateway) = ready.get(number % ready.len().max(1)).copied() else {
            record.line(&format!("request {number}: no gateway is ready"));
            continue;
        };
        let (body, served, record) = (body.clone(), served.clone(), record.clone());
        let request = move || request(number, gateway, &body, &served, &record);
        requests.push(thread::Builder::new().stack_size(256 << 10).spawn(request).expect("a thread"));
    }
    let sent = requests.len();
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
    while Instant::now() < until && requests.iter().any(|request| !request.is_finished()) {
        machines.iter_mut().for_each(|machine| machine.check(&store, &folder, &record));
        thread::sleep(Duration::from_millis(10));
    }
    let ends: Vec<usize> = machines.iter().map(|machine| machine.ends).collect();
    let peaks: Vec<String> = machines.iter().map(|machine| format!("{:.0}", machine.peak_mb)).collect();
    drop(machines);
    drop(servers);
    let served = served.load(Ordering::Relaxed);
    record.line(&format!(
        "{sent} requests sent, {served} served whole; ends by gateway {ends:?}, peak MB {}",
        peaks.join(", ")
    ));
    if served < sent / 4 {
        record.line("less than a quarter were served: the case can't be judged");
        return ExitCode::from(2);
    }
    match ends.iter().filter(|ends| **ends >= MOST_ENDS).count() < MACHINES {
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

/// Sends one request and reads its stream.
fn request(number: usize, gateway: SocketAddr, body: &[u8], served: &AtomicUsize, record: &Record) {
    let outcome = match try_request(number, gateway, body) {
        Ok(outcome) => outcome,
        Err(error) => format!("no answer: {error}"),
    };
    if outcome.starts_with("200 Complete") {
        served.fetch_add(1, Ordering::Relaxed);
    }
    record.line(&format!("request {number} to {gateway}: {outcome}"));
}

fn try_request(number: usize, gateway: SocketAddr, body: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let head = format!(
        "POST /story/1 HTTP/1.1\r\nHost: desk.example\r\nX-Tallypaddle-Attempt-Id: {number:016x}\r\n\
         X-Tallypaddle-Deadline-Remaining: {DEADLINE_MS}\r\nAuthorization: Token key-of-desk\r\n\
         X-Tallypaddle-Model: m\r\nX-Tallypaddle-Token-Usage: 3000,{}\r\n\
         X-Tallypaddle-Prefix-Hash: a1:2000,{:x}:1000\r\nContent-Length: {}\r\n\r\n",
        EVENTS * 5,
        0xc000 + number,
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut input = BufReader::new(stream);
    let Some(head) = http::read_head(&mut input)? else { return Ok("the channel was closed".to_owned()) };
    let (body, end) = http::read_body(&mut input, &head);
    let events = String::from_utf8_lossy(&body).lines().filter(|line| line.starts_with("id: ")).count();
    Ok(format!("{} {end:?}, {events} events", head.word(1)))
}

/// Runs a server, which streams events.
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
        let (body, end) = http::read_body(&mut input, &head);
        if end == End::Broken {
            return Ok(());
        }
        drop(body);
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
        println!("runs {request}");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Tallypaddle-Response-Signature: 3e1b.{id}.{request}\r\n\
             X-Tallypaddle-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        output.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: {request} {event}\n\n");
            output.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        output.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
