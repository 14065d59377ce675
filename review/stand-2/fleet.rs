//! A small deployment: gateways and servers as processes, the store, the operator, and what is recorded of them.

use crate::server::{entry, is_up};
use crate::store::Store;
use crate::wire::call;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// `file_descriptors` of the settings.
const DESCRIPTORS: u64 = 4_200;
const RLIMIT_NOFILE: i32 = 7;

unsafe extern "C" {
    fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    pub fn add(&self, line: impl std::fmt::Display) {
        let line = format!("{:8.3} {line}\n", self.began.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A process that ends with this.
#[derive(Debug)]
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The ports that are tried: below those that outgoing channels take, which might take one before its process binds it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// A free address of the loopback interface. Each is given once in a process.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() as u16).wrapping_mul(331);
    loop {
        let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    pub process: Process,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

/// Where the files of a case lie.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TEMP").expect("CASE_TEMP"))
}

/// The settings of a gateway, as the template of the deploy file gives them.
pub fn settings(
    name: &str,
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    store: SocketAddr,
) -> String {
    format!(
        "name: \"{name}\"\ndata-centre: \"z1\"\nregion: \"r1\"\nlisten:\n  callers: \"{callers}\"\n  readiness: \"{readiness}\"\n  peers: \"{peers}\"\n  metrics: \"{}\"\nstore: \"{store}\"\nstore-writes-per-s: 600\nupstream-heartbeat-ms: 1200\nthreads: 1\ncpu-share: 0.25\nmemory-mb: 260\nfirst-start: true\nlink-mbps: 1000.0\nbounds:\n  grace-s: 8\n  retry-ratio: 0.2\n  retry-extra: 52\n  retry-window-s: 10\n",
        free()
    )
}

/// Starts a gateway with the command of the deploy file.
pub fn start_gateway(name: &str, store: SocketAddr) -> io::Result<Gateway> {
    let (callers, readiness, peers) = (free(), free(), free());
    let path = folder().join(format!("{name}.yaml"));
    fs::write(&path, settings(name, callers, readiness, peers, store))?;
    let process = launch(name, &path)?;
    Ok(Gateway { process, callers, readiness })
}

/// Starts a gateway's process with a settings file.
pub fn launch(name: &str, settings: &PathBuf) -> io::Result<Process> {
    let log = OpenOptions::new().create(true).append(true).open(folder().join(format!("{name}.log")))?;
    let mut command = Command::new("target/release/tallypaddle");
    command
        .arg("gateway")
        .env("TALLYPADDLE_CONFIG", settings)
        .stdout(Stdio::from(log.try_clone()?))
        .stderr(Stdio::from(log));
    // SAFETY: `setrlimit` may be called between fork and exec, and reads only the two numbers.
    unsafe {
        command.pre_exec(|| match setrlimit(RLIMIT_NOFILE, &[DESCRIPTORS; 2]) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
    Ok(Process(command.spawn()?))
}

/// Waits until a gateway calls itself ready.
pub fn until_ready(readiness: SocketAddr) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        let asked = call(readiness, "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n", Duration::from_millis(500));
        if asked.is_ok_and(|(answer, _)| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A server's place: its address, and the process that is there now.
#[derive(Debug)]
pub struct Place {
    pub number: usize,
    pub service: String,
    pub address: SocketAddr,
    pub lifetime: u64,
    pub process: Process,
}

impl Place {
    /// Starts the first server at a free address, and has it recorded in the list.
    pub fn open(number: usize, service: &str, how: &[&str], store: &Store) -> io::Result<Place> {
        let address = free();
        let process = start_server(&name(number, 0), address, how)?;
        let place = Place { number, service: service.to_owned(), address, lifetime: 0, process };
        place.until_up();
        store.put("servers", &place.id(), &entry(service, address, "ready", 0));
        Ok(place)
    }

    /// The name of the server that is there now.
    pub fn id(&self) -> String {
        name(self.number, self.lifetime)
    }

    fn until_up(&self) {
        while !is_up(self.address, &self.id()) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Kills the server. Another one starts at its address after a pause, and records itself.
    pub fn crash(&mut self, pause: Duration, how: &[&str], store: &Store) -> io::Result<String> {
        let before = self.id();
        let _ = self.process.0.kill();
        let _ = self.process.0.wait();
        thread::sleep(pause);
        self.lifetime += 1;
        self.process = start_server(&self.id(), self.address, how)?;
        self.until_up();
        store.put("servers", &self.id(), &entry(&self.service, self.address, "ready", 0));
        Ok(before)
    }
}

fn name(number: usize, lifetime: u64) -> String {
    format!("i-{number}-{lifetime}")
}

fn start_server(id: &str, address: SocketAddr, how: &[&str]) -> io::Result<Process> {
    let program = std::env::current_exe()?;
    let runs = folder().join("runs.txt");
    let child =
        Command::new(program).arg("server").arg(id).arg(address.to_string()).arg(runs).args(how).spawn()?;
    Ok(Process(child))
}

/// Keeps the entries of servers as they were by pings, until the process ends.
pub fn ping(store: Store, places: std::sync::Arc<Mutex<Vec<(String, String, SocketAddr)>>>) {
    thread::spawn(move || {
        for number in 1.. {
            thread::sleep(Duration::from_millis(1_200));
            for (id, service, address) in places.lock().unwrap().iter() {
                store.put("servers", id, &entry(service, *address, "ready", number));
            }
        }
    });
}
