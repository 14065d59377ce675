//! Loopback addresses that no two stand-ins share, whichever processes they run in.
//!
//! A gateway that a test leaves behind keeps calling the address of its store. If the system assigned the
//! ports, it could give the same one to a server of another test, which would then get these calls.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};

/// The second octets of the addresses. The harness gives others to its routers.
const SECOND_OCTETS: RangeInclusive<u8> = 250..=254;
/// The port that a process listens on as long as it uses an address.
const CLAIM_PORT: u16 = 9_999;
/// The first port of stand-ins. Most ports in use are below those that the system assigns.
const FIRST_PORT: u32 = 10_000;
/// Attempts to claim an address.
const ATTEMPTS: u32 = 1_000;

static HOST: LazyLock<Host> = LazyLock::new(Host::claim);

/// The IP address of this process's stand-ins.
struct Host {
    ip: IpAddr,
    next_port: AtomicU32,
    _claim: TcpListener,
}

impl Host {
    /// Claims a random address. Gateways may still call the addresses of processes that have ended, so these
    /// are not used in turn.
    fn claim() -> Host {
        let claim = (0..ATTEMPTS).find_map(|_| {
            let [third, fourth]: [u8; 2] = rand::random();
            let second = rand::Rng::gen_range(&mut rand::thread_rng(), SECOND_OCTETS);
            let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, fourth));
            Some((ip, TcpListener::bind((ip, CLAIM_PORT)).ok()?))
        });
        let (ip, claim) = claim.expect("a loopback address is free");
        Host { ip, next_port: AtomicU32::new(FIRST_PORT), _claim: claim }
    }
}

/// A free loopback address that has not been given out before, neither by this process nor by another one
/// that still runs.
///
/// # Panics
/// Panics if all ports have been given out.
pub fn loopback() -> SocketAddr {
    loop {
        let port = HOST.next_port.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::new(HOST.ip, u16::try_from(port).expect("a port is left"));
        if check_free(address).is_ok() {
            return address;
        }
    }
}

/// Fails if a server that listens on all addresses has the port.
fn check_free(address: SocketAddr) -> io::Result<()> {
    // A process that is being started may inherit the socket for a moment. As it does not listen, that prevents
    // no other socket from using the address.
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())
}
