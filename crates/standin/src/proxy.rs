//! A TCP proxy that delays, cuts, swallows or truncates what passes through it, at the rate of a link.

use crate::loopback;
use async_channel::Sender;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bytes moved at once.
const CHUNK: usize = 16 * 1024;
/// How often a stuck direction looks whether the rule changed.
const RECHECK: Duration = Duration::from_millis(5);

/// What happens to the bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rule {
    /// They pass.
    #[default]
    Pass,
    /// They pass late.
    Delay(Duration),
    /// Connections are closed, new ones too.
    Cut,
    /// Connections are closed, and nothing listens: the process behind it has ended.
    Down,
    /// Nothing passes towards the target.
    HoleForward,
    /// Nothing passes back.
    HoleBack,
    /// Each connection is closed after so many bytes came back.
    DropAfter(usize),
}

/// The link of a VM: bytes towards it pass one after another, whichever connections they belong to.
#[derive(Debug)]
pub struct Link {
    bytes_per_s: f64,
    /// When the bytes that were handed over so far have passed.
    free_at: Mutex<Instant>,
}

impl Link {
    /// A link that carries so many bytes in a second.
    pub fn new(bytes_per_s: f64) -> Link {
        Link { bytes_per_s, free_at: Mutex::new(Instant::now()) }
    }

    /// Waits until so many bytes have passed, after those that were handed over before.
    pub async fn carry(&self, bytes: usize) {
        let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let until = {
            let mut free_at = self.free_at.lock().expect("the link's lock");
            *free_at = (*free_at).max(Instant::now()) + takes;
            *free_at
        };
        net::exec::sleep(until.saturating_duration_since(Instant::now())).await;
    }
}

/// A running proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    rule: Arc<Mutex<Rule>>,
    passed: Arc<AtomicU64>,
    _stop: Sender<()>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        Proxy::start_on(target, None).await
    }

    /// Starts a proxy in front of `target`, for a VM whose link carries what comes back.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_on(target: SocketAddr, link: Option<Arc<Link>>) -> io::Result<Proxy> {
        let listener = TcpListener::bind(loopback()).await?;
        let address = listener.local_addr()?;
        let rule = Arc::new(Mutex::new(Rule::Pass));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let passed = Arc::new(AtomicU64::new(0));
        let way = Way { rule: rule.clone(), passed: passed.clone(), link };
        net::exec::spawn(async move {
            let accepting = accept(listener, address, target, &way);
            smol::future::or(accepting, async {
                let _ = stopped.recv().await;
            })
            .await;
        })
        .detach();
        Ok(Proxy { address, rule, passed, _stop: stop })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that passed in both directions.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Changes what happens to the bytes, on open connections too.
    pub fn set(&self, rule: Rule) {
        *self.rule.lock().expect("the rule's lock") = rule;
    }
}

/// What lies between the two ends of each connection.
#[derive(Clone)]
struct Way {
    rule: Arc<Mutex<Rule>>,
    passed: Arc<AtomicU64>,
    link: Option<Arc<Link>>,
}

impl Way {
    fn rule(&self) -> Rule {
        *self.rule.lock().expect("the rule's lock")
    }

    /// Waits until the rule is such a one.
    async fn until(&self, is_such: impl Fn(Rule) -> bool) {
        while !is_such(self.rule()) {
            net::exec::sleep(RECHECK).await;
        }
    }
}

/// Accepts connections, but for the times in which nothing listens.
async fn accept(mut listener: TcpListener, address: SocketAddr, target: SocketAddr, way: &Way) {
    loop {
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                net::exec::spawn(relay(stream, target, way.clone())).detach();
            }
        };
        smol::future::or(accepting, way.until(|rule| rule == Rule::Down)).await;
        drop(listener);
        way.until(|rule| rule != Rule::Down).await;
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => net::exec::sleep(RECHECK).await,
            }
        };
    }
}

async fn relay(near: TcpStream, target: SocketAddr, way: Way) {
    if way.rule() == Rule::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let forward = pump(near.clone(), far.clone(), &way, Direction::Forward);
    let back = pump(far, near, &way, Direction::Back);
    let cut = way.until(|rule| matches!(rule, Rule::Cut | Rule::Down));
    let both = async {
        futures::future::join(forward, back).await;
    };
    smol::future::or(both, cut).await;
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Forward,
    Back,
}

async fn pump(mut from: TcpStream, mut to: TcpStream, way: &Way, direction: Direction) {
    let mut chunk = vec![0; CHUNK];
    let mut passed = 0;
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let mut count = count;
        while is_hole(way.rule(), direction) {
            net::exec::sleep(RECHECK).await;
        }
        if let Rule::Delay(delay) = way.rule() {
            net::exec::sleep(delay).await;
        }
        if let (Some(link), Direction::Back) = (&way.link, direction) {
            link.carry(count).await;
        }
        let mut last = false;
        if let (Rule::DropAfter(limit), Direction::Back) = (way.rule(), direction) {
            last = passed + count >= limit;
            count = count.min(limit.saturating_sub(passed));
        }
        passed += count;
        way.passed.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&chunk[..count]).await.is_err() || last {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

fn is_hole(rule: Rule, direction: Direction) -> bool {
    matches!((rule, direction), (Rule::HoleForward, Direction::Forward) | (Rule::HoleBack, Direction::Back))
}
