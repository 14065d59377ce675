//! A TCP proxy that can delay or block bytes, close connections early, and limit the rate to that of a link.

use crate::loopback;
use async_channel::Sender;
use futures::future::{Either, select};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// The most connections that wait to be accepted.
const MAX_BACKLOG: i32 = 1_024;
/// The interval at which a task that waits for another rule checks it.
const RULE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The delay of a reset after the last bytes.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// The ends of a request line.
const REQUEST_ENDS: [&[u8]; 2] = [b" HTTP/1.1\r\n", b" HTTP/1.0\r\n"];
/// The names of the framed protocol of tunnels, and of one that nobody speaks.
const TUNNEL_PROTOCOLS: [&[u8]; 2] = [b"tcp-tunnel/2", b"tcp-tunnel/0"];
/// The beginnings of a status line.
const STATUS_STARTS: [&[u8]; 2] = [b"HTTP/1.0 ", b"HTTP/1.1 "];
/// The beginning of the head of an answer, and its end.
const HEAD_START: &[u8] = b"HTTP/1.";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The headers that frame an answer.
const FRAMING_HEADERS: [&str; 2] = ["\r\ncontent-length:", "\r\ntransfer-encoding:"];

/// How the proxy treats connections and their bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rule {
    /// Bytes pass unchanged.
    #[default]
    Pass,
    /// Each chunk is delayed by this time, in both directions.
    Delay(Duration),
    /// Open connections are closed, and new ones are closed as soon as they are accepted.
    Cut,
    /// Open connections are closed and the port no longer listens, as if the process behind it had ended.
    Down,
    /// Bytes towards the target are held back until the rule changes.
    BlockForward,
    /// Bytes from the target are held back until the rule changes.
    BlockBack,
    /// Each connection is closed after this many bytes from the target.
    CloseAfter(usize),
    /// Like [`Rule::CloseAfter`], but each connection is reset.
    ResetAfter(usize),
    /// Requests reach the target as HTTP/1.0, so that answers of unknown length come without chunks and end with
    /// their connections.
    Http10,
    /// Like [`Rule::Http10`], but the answers claim to be HTTP/1.1.
    Unframed,
    /// Requests for tunnels reach the target without the framed protocol, as if one of the two gateways were of an
    /// earlier build.
    PlainTunnels,
    /// Open connections go on, and new ones are refused.
    RefuseNew,
    /// All bytes are held back until the rule changes, and new connections are neither accepted nor refused.
    Hang,
}

/// How the port of a proxy treats connection attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Port {
    Open,
    Closed,
    /// Its queue of connections is full.
    Full,
}

impl Rule {
    fn port(self) -> Port {
        match self {
            Rule::Down | Rule::RefuseNew => Port::Closed,
            Rule::Hang => Port::Full,
            _ => Port::Open,
        }
    }
}

/// The network link of a VM. All connections share its rate for bytes towards the VM.
#[derive(Debug)]
pub struct Link {
    bytes_per_s: f64,
    /// When the link has transmitted all bytes that were handed to it so far.
    free_at: Mutex<Instant>,
    /// The bytes that were handed to it so far.
    bytes: AtomicU64,
}

impl Link {
    /// Creates a link with this rate.
    pub fn new(bytes_per_s: f64) -> Link {
        Link { bytes_per_s, free_at: Mutex::new(Instant::now()), bytes: AtomicU64::new(0) }
    }

    /// The number of bytes that were handed to the link.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Waits until the link has transmitted `bytes`, after all bytes that were handed to it before.
    pub async fn transmit(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let until = {
            let mut free_at = self.free_at.lock().expect("the link's lock");
            *free_at = (*free_at).max(Instant::now()) + duration;
            *free_at
        };
        net::exec::sleep(until.saturating_duration_since(Instant::now())).await;
    }
}

/// A running proxy. Once all clones are dropped, it no longer listens.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    rule: Arc<Mutex<Rule>>,
    resets_unframed: Arc<AtomicBool>,
    passed: Arc<AtomicU64>,
    _stop: Sender<()>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        Proxy::start_with(target, None, None).await
    }

    /// Starts a second path to the target of `other`. While it passes bytes, it follows the rules of `other`.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_beside(other: &Proxy, target: SocketAddr) -> io::Result<Proxy> {
        Proxy::start_with(target, None, Some(other.rule.clone())).await
    }

    /// Starts a proxy in front of `target` for a client VM: bytes from the target are transmitted over
    /// `link`.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_with_link(target: SocketAddr, link: Option<Arc<Link>>) -> io::Result<Proxy> {
        Proxy::start_with(target, link, None).await
    }

    async fn start_with(
        target: SocketAddr,
        link: Option<Arc<Link>>,
        base: Option<Arc<Mutex<Rule>>>,
    ) -> io::Result<Proxy> {
        let listener = TcpListener::bind(loopback()).await?;
        let address = listener.local_addr()?;
        let rule = Arc::new(Mutex::new(Rule::Pass));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (passed, resets_unframed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let shared = Shared {
            rule: rule.clone(),
            base,
            resets_unframed: resets_unframed.clone(),
            passed: passed.clone(),
            link,
        };
        net::exec::spawn(async move {
            let accepting = accept(listener, address, target, &shared);
            smol::future::or(accepting, async {
                let _ = stopped.recv().await;
            })
            .await;
        })
        .detach();
        Ok(Proxy { address, rule, resets_unframed, passed, _stop: stop })
    }

    /// The address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of bytes passed on in both directions.
    pub fn bytes_passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Sets the rule for open and new connections.
    pub fn set_rule(&self, rule: Rule) {
        *self.rule.lock().expect("the rule's lock") = rule;
    }

    /// Makes rules that close a connection reset it while its answer has no framing. A close would be the proper end
    /// of such an answer, wherever it comes.
    pub fn reset_unframed(&self) {
        self.resets_unframed.store(true, Ordering::Relaxed);
    }
}

/// The state that the connections of a proxy share.
#[derive(Clone)]
struct Shared {
    rule: Arc<Mutex<Rule>>,
    /// The rule that holds while the own one is [`Rule::Pass`].
    base: Option<Arc<Mutex<Rule>>>,
    resets_unframed: Arc<AtomicBool>,
    passed: Arc<AtomicU64>,
    link: Option<Arc<Link>>,
}

impl Shared {
    fn rule(&self) -> Rule {
        let own = *self.rule.lock().expect("the rule's lock");
        match &self.base {
            Some(base) if own == Rule::Pass => *base.lock().expect("the rule's lock"),
            _ => own,
        }
    }

    /// Waits until the rule satisfies `predicate`.
    async fn wait_for_rule(&self, predicate: impl Fn(Rule) -> bool) {
        while !predicate(self.rule()) {
            net::exec::sleep(RULE_POLL_INTERVAL).await;
        }
    }
}

/// Accepts connections as the rule allows.
async fn accept(listener: TcpListener, address: SocketAddr, target: SocketAddr, shared: &Shared) {
    let mut listener = Some(listener);
    loop {
        match shared.rule().port() {
            Port::Open => {
                let listener = match listener.take() {
                    Some(listener) => listener,
                    None => retry(|| bind(address, MAX_BACKLOG)).await,
                };
                let accepting = async {
                    while let Ok((stream, _)) = listener.accept().await {
                        net::exec::spawn(relay(stream, target, shared.clone())).detach();
                    }
                };
                smol::future::or(accepting, shared.wait_for_rule(|rule| rule.port() != Port::Open)).await;
            }
            Port::Closed => shared.wait_for_rule(|rule| rule.port() != Port::Closed).await,
            Port::Full => {
                let full = retry(|| bind(address, 0)).await;
                // One connection fills a queue of length 0.
                let filler = TcpStream::connect(address).await;
                shared.wait_for_rule(|rule| rule.port() != Port::Full).await;
                drop((filler, full));
            }
        }
    }
}

fn bind(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::try_from(std::net::TcpListener::from(socket))
}

/// Repeats an operation until it succeeds.
async fn retry<T>(mut operation: impl FnMut() -> io::Result<T>) -> T {
    loop {
        match operation() {
            Ok(done) => return done,
            Err(_) => net::exec::sleep(RULE_POLL_INTERVAL).await,
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, shared: Shared) {
    if shared.rule() == Rule::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let is_unframed = AtomicBool::new(false);
    let forward = pin!(pump(client.clone(), server.clone(), &shared, Direction::Forward, &is_unframed));
    let back = pin!(pump(server, client.clone(), &shared, Direction::Back, &is_unframed));
    let closed = async {
        shared.wait_for_rule(|rule| matches!(rule, Rule::Cut | Rule::Down)).await;
        if shared.resets_unframed.load(Ordering::Relaxed) && is_unframed.load(Ordering::Relaxed) {
            let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
        }
    };
    let transfer = async {
        match select(back, forward).await {
            // Dropping both connections resets that of the client.
            Either::Left((End::Reset, _)) => {}
            Either::Left((End::Closed, forward)) => {
                forward.await;
            }
            Either::Right((_, back)) => {
                back.await;
            }
        }
    };
    smol::future::or(transfer, closed).await;
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Forward,
    Back,
}

/// How a direction of a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Closed,
    /// The receiver's connection is to be reset.
    Reset,
}

/// Passes on the bytes of one direction. `is_unframed` tells whether the last answer of the connection has no framing.
async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: &Shared,
    direction: Direction,
    is_unframed: &AtomicBool,
) -> End {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut passed = 0;
    loop {
        let mut count = match from.read(&mut chunk).await {
            // The other direction stays open, as on a path between the two.
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return End::Closed;
            }
            Ok(count) => count,
            Err(_) => break,
        };
        while is_blocked(shared.rule(), direction) {
            net::exec::sleep(RULE_POLL_INTERVAL).await;
        }
        if let Rule::Delay(delay) = shared.rule() {
            net::exec::sleep(delay).await;
        }
        if let (Some(link), Direction::Back) = (&shared.link, direction) {
            link.transmit(count).await;
        }
        match (shared.rule(), direction) {
            (Rule::Http10 | Rule::Unframed, Direction::Forward) => replace(&mut chunk[..count], REQUEST_ENDS),
            (Rule::PlainTunnels, Direction::Forward) => replace(&mut chunk[..count], TUNNEL_PROTOCOLS),
            (Rule::Unframed, Direction::Back) if passed == 0 => replace(&mut chunk[..count], STATUS_STARTS),
            _ => {}
        }
        if direction == Direction::Back && chunk[..count].starts_with(HEAD_START) {
            is_unframed.store(!names_framing(&chunk[..count]), Ordering::Relaxed);
        }
        let mut is_last = false;
        let rule = shared.rule();
        if let (Rule::CloseAfter(limit) | Rule::ResetAfter(limit), Direction::Back) = (rule, direction) {
            is_last = passed + count >= limit;
            count = count.min(limit.saturating_sub(passed));
        }
        passed += count;
        shared.passed.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&chunk[..count]).await.is_err() || is_last {
            let resets = matches!(rule, Rule::ResetAfter(_))
                || (shared.resets_unframed.load(Ordering::Relaxed) && is_unframed.load(Ordering::Relaxed));
            if is_last && resets {
                // A reset discards what the receiver has not read yet.
                net::exec::sleep(RESET_DELAY).await;
                let _ = SockRef::from(&to).set_linger(Some(Duration::ZERO));
                return End::Reset;
            }
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
    End::Closed
}

/// Whether a chunk with the head of an answer names the framing of its body.
fn names_framing(chunk: &[u8]) -> bool {
    let end = chunk.windows(HEAD_END.len()).position(|window| window == HEAD_END).unwrap_or(chunk.len());
    let head = String::from_utf8_lossy(&chunk[..end]).to_ascii_lowercase();
    FRAMING_HEADERS.iter().any(|header| head.contains(header))
}

/// Replaces the first occurrence of `old` by `new`, which is as long.
fn replace(chunk: &mut [u8], [old, new]: [&[u8]; 2]) {
    if let Some(start) = chunk.windows(old.len()).position(|window| window == old) {
        chunk[start..start + old.len()].copy_from_slice(new);
    }
}

fn is_blocked(rule: Rule, direction: Direction) -> bool {
    matches!(
        (rule, direction),
        (Rule::BlockForward, Direction::Forward) | (Rule::BlockBack, Direction::Back) | (Rule::Hang, _)
    )
}
