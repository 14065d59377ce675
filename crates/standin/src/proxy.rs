//! A TCP proxy that delays, cuts, swallows or truncates what passes through it.

use crate::loopback;
use async_channel::Sender;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
    /// Connections are closed and new ones refused.
    Cut,
    /// Nothing passes towards the target.
    HoleForward,
    /// Nothing passes back.
    HoleBack,
    /// Each connection is closed after so many bytes came back.
    DropAfter(usize),
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
        let listener = TcpListener::bind(loopback()).await?;
        let address = listener.local_addr()?;
        let rule = Arc::new(Mutex::new(Rule::Pass));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let passed = Arc::new(AtomicU64::new(0));
        let shared = (rule.clone(), passed.clone());
        net::exec::spawn(async move {
            let accepting = async {
                while let Ok((stream, _)) = listener.accept().await {
                    net::exec::spawn(relay(stream, target, shared.0.clone(), shared.1.clone())).detach();
                }
            };
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

fn current(rule: &Mutex<Rule>) -> Rule {
    *rule.lock().expect("the rule's lock")
}

async fn relay(near: TcpStream, target: SocketAddr, rule: Arc<Mutex<Rule>>, total: Arc<AtomicU64>) {
    if current(&rule) == Rule::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let forward = pump(near.clone(), far.clone(), &rule, &total, Direction::Forward);
    let back = pump(far, near, &rule, &total, Direction::Back);
    let cut = async {
        while current(&rule) != Rule::Cut {
            net::exec::sleep(RECHECK).await;
        }
    };
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

async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    rule: &Mutex<Rule>,
    total: &AtomicU64,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK];
    let mut passed = 0;
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let mut count = count;
        while is_hole(current(rule), direction) {
            net::exec::sleep(RECHECK).await;
        }
        if let Rule::Delay(delay) = current(rule) {
            net::exec::sleep(delay).await;
        }
        let mut last = false;
        if let (Rule::DropAfter(limit), Direction::Back) = (current(rule), direction) {
            last = passed + count >= limit;
            count = count.min(limit.saturating_sub(passed));
        }
        passed += count;
        total.fetch_add(count as u64, Ordering::Relaxed);
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
