//! Starts the project's program as the deploy file does, with settings made from its template.

use crate::record::Record;
use crate::store::Store;
use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The program and its argument in the deploy file.
const PROGRAM: &str = "target/release/tallypaddle";
const ARGUMENT: &str = "gateway";
const TEMPLATE: &str = "deploy/gateway.yaml";
/// The platform asks for readiness this often, and a process may take this long to start.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
const START_TIME: Duration = Duration::from_secs(20);

/// A loopback address of its own for each machine, so that ports do not clash.
pub fn machine_ip(number: u8) -> IpAddr {
    let seed = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 60 + (seed % 97) as u8, 1 + (seed / 97 % 251) as u8, number))
}

/// A free port of an address.
pub fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// A running gateway, which is ended when this is dropped.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub child: Child,
}

impl Gateway {
    /// Starts `frontend-zone-a-NUMBER`, whose settings and log lie in `folder`.
    pub fn start(number: u8, store: &Store, folder: &Path) -> Gateway {
        let ip = machine_ip(number);
        let name = format!("frontend-zone-a-{number}");
        let (callers, readiness) = (free_port(ip), free_port(ip));
        let values = [
            ("node_name", name.clone()),
            ("zone", "zone-a".to_owned()),
            ("region", "area".to_owned()),
            ("listen_addresses.frontend", format!("{ip}:{callers}")),
            ("listen_addresses.readiness", format!("{ip}:{readiness}")),
            ("ip_address", ip.to_string()),
            ("internal_port_range.0", free_port(ip).to_string()),
            ("platform.address", store.address.to_string()),
            ("platform.writes_per_s", "600".to_owned()),
            ("limits.cpu_cores", "1".to_owned()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("bounds.grace_period_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_extra", "52".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
        ];
        let mut settings = fs::read_to_string(TEMPLATE).expect("the template, at the root of the repository");
        for (field, value) in &values {
            settings = settings
                .replace(&format!("{{{{{field}}}}}"), value)
                .replace(&format!("{{{{#{field}}}}}"), "")
                .replace(&format!("{{{{/{field}}}}}"), "");
        }
        assert!(!settings.contains("{{"), "the template has an unknown gap: {settings}");
        let file = folder.join(format!("{name}.yaml"));
        fs::write(&file, settings).expect("a settings file");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env("TALLYPADDLE_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        let address = |port| SocketAddr::new(ip, port);
        Gateway { name, callers: address(callers), readiness: address(readiness), child }
    }

    /// Whether the gateway calls itself ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }

    /// Waits until the gateway is ready; `false` if that takes too long.
    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + START_TIME;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(READINESS_INTERVAL);
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts `count` gateways and waits until they are ready. Exits with 2 if they are not.
pub fn start(count: u8, store: &Store, folder: &Path, record: &Record) -> Vec<Gateway> {
    let gateways: Vec<Gateway> = (1..=count).map(|number| Gateway::start(number, store, folder)).collect();
    if !gateways.iter().all(Gateway::await_ready) {
        record.line("a gateway is not ready: the case can't run");
        drop(gateways);
        std::process::exit(2);
    }
    // Each learns of the others from their pings.
    thread::sleep(Duration::from_secs(4));
    gateways
}

/// A temporary folder, which is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("tallypaddle-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
