//! Closes connections whose peer accepts no bytes.
//!
//! A peer that does not read its response otherwise holds the connection, what is buffered for it, and
//! whatever produces the response, for as long as it likes.

use crate::clock::Clock;
use futures::Stream;
use hyper::rt::{Read, ReadBufCursor, Write};
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// How often a blocked write is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A longer time between two checks means that the machine was suspended or had no processor time. The
/// peer's acknowledgements may then still be on their way, so the write gets another interval.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(1_000);

/// Decides when a blocked write has stalled.
#[derive(Clone, Copy, Debug)]
struct BlockedWrite {
    since: Duration,
    checked: Duration,
}

impl BlockedWrite {
    fn new(now: Duration) -> BlockedWrite {
        BlockedWrite { since: now, checked: now }
    }

    /// Whether the write has been blocked for `limit`, and could have continued since the last check.
    fn is_stalled(&mut self, now: Duration, limit: Duration) -> bool {
        let since_check = now.saturating_sub(std::mem::replace(&mut self.checked, now));
        since_check <= MAX_CHECK_DELAY && now.saturating_sub(self.since) >= limit
    }
}

/// What the connections of a server share to detect stalled peers.
#[derive(Clone, Debug)]
pub(crate) struct StallLimit {
    /// How long a peer may accept no bytes.
    pub limit: Duration,
    pub clock: Clock,
    /// The number of connections that were closed.
    pub stalled: Arc<AtomicU64>,
}

/// The I/O of a connection. A write fails if the peer accepts no bytes for the limit, which makes hyper drop
/// the connection and the response.
#[derive(Debug)]
pub(crate) struct Watched<T> {
    io: T,
    peer: Option<SocketAddr>,
    limit: Option<StallLimit>,
    blocked: Option<(BlockedWrite, Timer)>,
}

impl<T> Watched<T> {
    /// Watches the writes of `io`; without a limit they may block forever.
    pub(crate) fn new(io: T, peer: Option<SocketAddr>, limit: Option<StallLimit>) -> Watched<T> {
        Watched { io, peer, limit, blocked: None }
    }

    /// Fails a pending write if the peer has stalled, and makes sure that the write is checked again.
    fn check(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let Some(StallLimit { limit, clock, stalled }) = &self.limit else { return written };
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let (blocked, timer) = self
            .blocked
            .get_or_insert_with(|| (BlockedWrite::new(clock.now()), Timer::interval(CHECK_INTERVAL)));
        while Pin::new(&mut *timer).poll_next(context).is_ready() {
            let now = clock.now();
            let blocked_ms = now.saturating_sub(blocked.since).as_millis();
            if blocked.is_stalled(now, *limit) {
                stalled.fetch_add(1, Ordering::Relaxed);
                let peer = self.peer.map_or_else(|| "-".to_owned(), |peer| peer.to_string());
                log::warn!("net: event=caller-stalled peer={peer} blocked-ms={blocked_ms}");
                let reason = format!("the peer accepted no bytes for {blocked_ms} ms");
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
            }
        }
        Poll::Pending
    }
}

impl<T: Read + Unpin> Read for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl<T: Unpin + Write> Write for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.check(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, buffers);
        self.check(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMIT: Duration = Duration::from_secs(5);

    /// When a write that is checked every `CHECK_INTERVAL` is found to have stalled.
    fn stalled_at(blocked: &mut BlockedWrite, from: Duration) -> Duration {
        (1u32..)
            .map(|check| from + CHECK_INTERVAL * check)
            .find(|now| blocked.is_stalled(*now, LIMIT))
            .expect("the write stalls")
    }

    /// Guards against peers that hold a connection without reading.
    #[test]
    fn a_write_stalls_after_the_limit() {
        let began = Duration::from_secs(100);
        assert_eq!(stalled_at(&mut BlockedWrite::new(began), began), began + LIMIT);
    }

    /// Guards against the loss of all connections with pending writes after a suspension, before their peers'
    /// acknowledgements could be received.
    #[test]
    fn a_write_may_continue_after_a_suspension() {
        let began = Duration::from_secs(100);
        let mut blocked = BlockedWrite::new(began);
        let resumed = began + Duration::from_secs(60);
        assert!(!blocked.is_stalled(resumed, LIMIT), "the peer had no chance to accept bytes");
        assert_eq!(stalled_at(&mut blocked, resumed), resumed + CHECK_INTERVAL);
    }
}
