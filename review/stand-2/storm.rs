//! Many users come at once, and keep their channels to one gateway. The platform kills a process over its memory.

use crate::fleet::{Gateway, Place, Record, folder, has_trouble, launch, ping, start_gateway, until_ready};
use crate::store::Store;
use crate::wire::{End, read_body, read_head};
use std::collections::HashSet;
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 18;
/// 25 events with pauses of 100 ms, after 400 ms for the prompt; all answers in chunks.
const HOW: [&str; 4] = ["25", "100", "0", "400"];
/// The users on a usual day. Each sends a request in some 8.9 s, all together 54 a second.
const USUAL: usize = 480;
/// The users who come besides in the burst, and how long it takes: 345 requests a second more, 7.4 times the usual in all.
const MORE: usize = 2_240;
const BURST: Duration = Duration::from_millis(6_500);
const LENGTH: Duration = Duration::from_secs(45);
/// `memory_mb` of the settings.
const MEMORY_MB: f64 = 260.0;
/// The length of a request's body.
const BODY: usize = 12_000;

const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r","host":"a.example","path_prefix":"/s/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"pool","max_attempts":2,"anonymous":true,"session_affinity":false,"stream_resumption":true,"target_gap_ms":400}],
"services":[{"name":"pool","health_check_path":"/health","connection_limit":360,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// What became of a request that got no whole answer.
#[derive(Debug)]
struct Lost {
    id: String,
    on_kept: bool,
    /// Whether its answer had begun.
    has_head: bool,
}

#[derive(Debug, Default)]
struct Counts {
    open: AtomicUsize,
    whole: AtomicUsize,
    refused: AtomicUsize,
    lost: Mutex<Vec<Lost>>,
}

fn memory_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    resident.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1_024.0
}

/// Plays the case. Returns whether the rule held; `None` if it could not be played.
pub fn run(record_path: &str) -> Option<bool> {
    let record = Arc::new(Record::create(record_path).ok()?);
    let (store, address) = Store::start().ok()?;
    store.put("op", "config", MANIFEST);
    let mut places = vec![];
    for number in 0..SERVERS {
        places.push(Place::open(number, "pool", &HOW, &store).ok()?);
    }
    ping(
        store,
        Arc::new(Mutex::new(
            places.iter().map(|place| (place.id(), place.service.clone(), place.address)).collect(),
        )),
    );
    let mut gateways: Vec<Gateway> =
        (1..=6).filter_map(|number| start_gateway(&format!("g{number}"), address).ok()).collect();
    if gateways.len() < 6 || !gateways.iter().all(|gateway| until_ready(gateway.readiness)) {
        record.add("the gateways are not ready");
        return None;
    }
    thread::sleep(Duration::from_secs(4));
    let (counts, is_over) = (Arc::new(Counts::default()), Arc::new(AtomicBool::new(false)));
    let began = Instant::now();
    let to = gateways[0].callers;
    let users = if has_trouble() { USUAL + MORE } else { USUAL };
    let callers: Vec<_> = (0..users)
        .map(|user| {
            let (record, counts, is_over) = (record.clone(), counts.clone(), is_over.clone());
            // The usual users come within 9 s, and the burst begins after that.
            let comes = match user < USUAL {
                true => Duration::from_millis(9_000 * user as u64 / USUAL as u64),
                false => Duration::from_millis(9_000) + BURST * (user - USUAL) as u32 / MORE as u32,
            };
            thread::Builder::new().stack_size(128 * 1024).spawn(move || {
                thread::sleep(comes.saturating_sub(began.elapsed()));
                stay(user, to, &record, &counts, &is_over);
            })
        })
        .collect();
    let mut kills = 0;
    let mut most: f64 = 0.0;
    let mut shown = Instant::now();
    while began.elapsed() < LENGTH && kills == 0 {
        thread::sleep(Duration::from_millis(100));
        let gateway = &mut gateways[0];
        let memory = memory_mb(gateway.process.0.id());
        most = most.max(memory);
        if shown.elapsed() > Duration::from_secs(1) {
            shown = Instant::now();
            record.add(format!(
                "g1 takes {memory:.0} MB with {} channels of requesters",
                counts.open.load(Ordering::Relaxed)
            ));
        }
        if memory > MEMORY_MB {
            record.add(format!(
                "g1 takes {memory:.0} MB with {} channels of requesters: the platform kills it",
                counts.open.load(Ordering::Relaxed)
            ));
            let _ = gateway.process.0.kill();
            let _ = gateway.process.0.wait();
            kills += 1;
            thread::sleep(Duration::from_millis(500));
            gateway.process = launch("g1", &folder().join("g1.yaml")).ok()?;
            thread::sleep(Duration::from_secs(2));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().flatten().for_each(|caller| _ = caller.join());
    let runs = fs::read_to_string(folder().join("runs.txt")).unwrap_or_default();
    let ran: HashSet<&str> = runs.lines().filter_map(|line| line.split(' ').next()).collect();
    let lost = counts.lost.lock().unwrap();
    let unanswered: Vec<&Lost> =
        lost.iter().filter(|lost| lost.on_kept && !lost.has_head && ran.contains(lost.id.as_str())).collect();
    for lost in &unanswered {
        record.add(format!(
            "BROKEN {}: sent on a kept channel, run by a server, and its channel was closed with no answer",
            lost.id
        ));
    }
    record.add(format!(
        "{} whole, {} refused, {} without a whole answer, {} of them on a kept channel, run, and with no answer at all; killed {kills} times, {most:.0} MB at most",
        counts.whole.load(Ordering::Relaxed),
        counts.refused.load(Ordering::Relaxed),
        lost.len(),
        unanswered.len()
    ));
    if counts.whole.load(Ordering::Relaxed) == 0 {
        return None;
    }
    Some(unanswered.len() <= 3)
}

/// One user: a request, a rest of some seconds, and the next one on the same channel.
fn stay(user: usize, to: SocketAddr, record: &Record, counts: &Counts, is_over: &AtomicBool) {
    let mut channel: Option<BufReader<TcpStream>> = None;
    let mut on_channel = 0;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        if channel.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                thread::sleep(Duration::from_millis(500));
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
            channel = Some(BufReader::new(stream));
            counts.open.fetch_add(1, Ordering::Relaxed);
            on_channel = 0;
        }
        let Some(input) = &mut channel else { continue };
        let id = format!("u{user:04}n{number:03}");
        let mut request = format!(
            "POST /s/{id} HTTP/1.1\r\nHost: a.example\r\nX-Tallypaddle-Attempt-Id: {id}\r\nX-Tallypaddle-Deadline-Remaining: 15000\r\nContent-Length: {BODY}\r\n\r\n"
        )
        .into_bytes();
        request.resize(request.len() + BODY, b'x');
        let is_sent = input.get_mut().write_all(&request).is_ok();
        let head = if is_sent { read_head(input).ok().flatten() } else { None };
        let end = head.as_ref().map(|head| read_body(input, head, |_| ()));
        let status = head.as_ref().map_or(0, |head| head.status());
        record.add(format!("{id} sent, got {status} {}", end.map_or("none", End::name)));
        on_channel += 1;
        match (status, end) {
            (200, Some(End::Whole)) => _ = counts.whole.fetch_add(1, Ordering::Relaxed),
            (_, Some(End::Whole)) => _ = counts.refused.fetch_add(1, Ordering::Relaxed),
            _ => {
                counts.lost.lock().unwrap().push(Lost {
                    id,
                    on_kept: on_channel > 1,
                    has_head: head.is_some(),
                });
                counts.open.fetch_sub(1, Ordering::Relaxed);
                channel = None;
            }
        }
        if head.is_some_and(|head| head.header("connection").eq_ignore_ascii_case("close"))
            && channel.take().is_some()
        {
            counts.open.fetch_sub(1, Ordering::Relaxed);
        }
        // Requesters keep to the pages: a channel rests for less than four fifths of `idle_timeout_ms`.
        let rest = 3_000 + (user * 7_919 + number * 104_729) % 6_000;
        let rested = Instant::now();
        while rested.elapsed() < Duration::from_millis(rest as u64) && !is_over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(100));
        }
    }
}
