//! Servers crash while their answers, which end with their channels, are under way, and are back soon.

use crate::fleet::{Place, Record, has_trouble, ping, start_gateway, until_ready};
use crate::store::Store;
use crate::wire::{End, read_body, read_head};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 6;
const EVENTS: u64 = 50;
const CALLERS: usize = 120;
const LENGTH: Duration = Duration::from_secs(40);
/// How long a server is down.
const DOWN: Duration = Duration::from_millis(50);
/// 50 events with pauses of 40 ms, all in chunks.
const FRAMED: [&str; 3] = ["50", "40", "0"];
/// The same, but one answer in 20 has no length.
const UNFRAMED: [&str; 3] = ["50", "40", "20"];

/// How a server answers: every second one leaves lengths out now and then.
fn how(number: usize) -> &'static [&'static str] {
    if number % 2 == 0 { &FRAMED } else { &UNFRAMED }
}

const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r-once","host":"a.example","path_prefix":"/once/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"pool","max_attempts":1,"anonymous":true,"session_affinity":false,"stream_resumption":false,"target_gap_ms":400},
{"name":"r-resumed","host":"a.example","path_prefix":"/resumed/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"pool","max_attempts":2,"anonymous":true,"session_affinity":false,"stream_resumption":true,"target_gap_ms":400}],
"services":[{"name":"pool","health_check_path":"/health","connection_limit":360,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// Plays the case. Returns whether the rule held; `None` if it could not be played.
pub fn run(record_path: &str) -> Option<bool> {
    let record = Arc::new(Record::create(record_path).ok()?);
    let (store, address) = Store::start().ok()?;
    store.put("op", "config", MANIFEST);
    let mut places = vec![];
    for number in 0..SERVERS {
        places.push(Place::open(number, "pool", how(number), &store).ok()?);
    }
    let listed = |places: &[Place]| {
        places.iter().map(|place| (place.id(), place.service.clone(), place.address)).collect()
    };
    let pinging = Arc::new(Mutex::new(listed(&places)));
    ping(store.clone(), pinging.clone());
    let gateways = [start_gateway("g1", address).ok()?, start_gateway("g2", address).ok()?];
    if !gateways.iter().all(|gateway| until_ready(gateway.readiness)) {
        record.add("the gateways are not ready");
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let (broken, complete) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let gateway = gateways[caller % 2].callers;
            let (record, is_over, broken, complete) =
                (record.clone(), is_over.clone(), broken.clone(), complete.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{caller:02}n{number:04}");
                    let route = if (caller / 2) % 2 == 0 { "once" } else { "resumed" };
                    match ask(gateway, &id, &format!("/{route}/{id}"), &record) {
                        Some(false) => broken.fetch_add(1, Ordering::Relaxed),
                        Some(true) => complete.fetch_add(1, Ordering::Relaxed),
                        None => {
                            thread::sleep(Duration::from_millis(100));
                            continue;
                        }
                    };
                }
            })
        })
        .collect();
    let until = Instant::now() + LENGTH;
    let mut gone: HashMap<String, Instant> = HashMap::new();
    for next in 0.. {
        thread::sleep(Duration::from_millis(1_500));
        gone.retain(|id, at| {
            let is_listed = at.elapsed() < Duration::from_millis(3_600);
            if !is_listed {
                store.drop_row("servers", id);
            }
            is_listed
        });
        if Instant::now() >= until {
            break;
        }
        if has_trouble() {
            let place = &mut places[next % SERVERS];
            let at = Instant::now();
            let before = place.crash(DOWN, how(next % SERVERS), &store).ok()?;
            record.add(format!(
                "server {before} crashed; {} answers at its address {} ms later",
                place.id(),
                at.elapsed().as_millis()
            ));
            gone.insert(before, at);
            *pinging.lock().unwrap() = listed(&places);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| _ = caller.join());
    let (broken, complete) = (broken.load(Ordering::Relaxed), complete.load(Ordering::Relaxed));
    record.add(format!("{complete} streams were whole, {broken} looked complete and were not"));
    if complete == 0 {
        return None;
    }
    Some(broken == 0)
}

/// Sends a request. Returns whether an answer that looks complete is whole; `None` if there is none.
fn ask(gateway: SocketAddr, id: &str, path: &str, record: &Record) -> Option<bool> {
    record.add(format!("{id} sent to {gateway} {path}"));
    let mut stream = TcpStream::connect(gateway).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(15))).ok()?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Tallypaddle-Attempt-Id: {id}\r\nX-Tallypaddle-Deadline-Remaining: 15000\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let head = read_head(&mut input).ok()??;
    let mut text = vec![];
    let end = read_body(&mut input, &head, |piece| text.extend_from_slice(piece));
    let text = String::from_utf8_lossy(&text).into_owned();
    let ids: Vec<u64> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let is_whole = ids == (1..=EVENTS).collect::<Vec<_>>();
    let last = ids.last().copied().unwrap_or(0);
    record.add(format!(
        "{id} got {} {} with {} events, the last is {last} of {EVENTS}, signature {:?}",
        head.status(),
        end.name(),
        ids.len(),
        head.header("x-tallypaddle-response-signature")
    ));
    if head.status() != 200 || end != End::Whole {
        return None;
    }
    if !is_whole {
        record.add(format!("BROKEN {id}: the stream ends as complete after event {last} of {EVENTS}"));
    }
    Some(is_whole)
}
