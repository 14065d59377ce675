//! A server that answers with given bytes, whatever they mean in HTTP.

use crate::loopback;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;

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
