//! Servers that answer with given bytes, whatever they mean in HTTP.

use crate::loopback;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// The least number of bytes that an endless answer is written in at once.
const REPEATED_BYTES: usize = 4_096;

/// Starts a server on a free port that answers each connection's first request with `bytes`, and closes the connection
/// in order.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn serve_raw(bytes: impl Into<Vec<u8>>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(loopback()).await?;
    let address = listener.local_addr()?;
    let bytes: Arc<[u8]> = bytes.into().into();
    net::exec::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            net::exec::spawn(answer(stream, bytes.clone())).detach();
        }
    })
    .detach();
    Ok(address)
}

async fn answer(mut stream: TcpStream, bytes: Arc<[u8]>) -> io::Result<()> {
    let mut request = [0; 4_096];
    stream.read(&mut request).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown(Shutdown::Write)?;
    // Closing the connection while bytes of the request are unread would reset it.
    while stream.read(&mut request).await? > 0 {}
    Ok(())
}

/// A server whose answers do not end.
#[derive(Clone, Debug)]
pub struct Endless {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<EndlessState>,
}

#[derive(Debug, Default)]
struct EndlessState {
    written: AtomicU64,
    open: AtomicU32,
}

impl Endless {
    /// Starts a server on a free port that answers the first request of each connection with the bytes that `begin`
    /// returns for it, and then with `repeated` until the connection is closed.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(
        begin: impl Fn(&str) -> String + Send + Sync + 'static,
        repeated: impl Into<Vec<u8>>,
    ) -> io::Result<Endless> {
        let listener = TcpListener::bind(loopback()).await?;
        let server = Endless { address: listener.local_addr()?, state: Arc::default() };
        let (begin, repeated, state) = (Arc::new(begin), repeated.into(), server.state.clone());
        let repeated: Arc<[u8]> = repeated.repeat(REPEATED_BYTES / repeated.len()).into();
        net::exec::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (begin, repeated, state) = (begin.clone(), repeated.clone(), state.clone());
                net::exec::spawn(async move {
                    state.open.fetch_add(1, Ordering::Relaxed);
                    let _ = write_endlessly(stream, &*begin, &repeated, &state).await;
                    state.open.fetch_sub(1, Ordering::Relaxed);
                })
                .detach();
            }
        })
        .detach();
        Ok(server)
    }

    /// The number of bytes that were taken from it.
    pub fn written(&self) -> u64 {
        self.state.written.load(Ordering::Relaxed)
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.state.open.load(Ordering::Relaxed)
    }
}

async fn write_endlessly(
    mut stream: TcpStream,
    begin: &(impl Fn(&str) -> String + Sync),
    repeated: &[u8],
    state: &EndlessState,
) -> io::Result<()> {
    let mut request = [0; 4_096];
    let length = stream.read(&mut request).await?;
    stream.write_all(begin(&String::from_utf8_lossy(&request[..length])).as_bytes()).await?;
    loop {
        let written = stream.write(repeated).await?;
        state.written.fetch_add(written as u64, Ordering::Relaxed);
    }
}
