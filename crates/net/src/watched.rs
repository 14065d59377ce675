//! The I/O of a server's connection, which is closed if its peer accepts no bytes, and is not reset if its peer
//! still sends.
//!
//! A peer that does not read its response otherwise holds the connection, what is buffered for it, and
//! whatever produces the response, for as long as it likes. And a connection that is closed while bytes of its
//! peer are unread is reset, so that the peer may lose a response that was already sent.

use crate::clock::Clock;
use crate::metered::Turn;
use crate::resumption::Resumption;
use futures::Stream;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use smol::Timer;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// How often a blocked write is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A longer time between two checks means that the machine was suspended or had no processor time. The
/// peer's acknowledgements may then still be on their way, so the write gets another interval.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(1_000);

/// How long a peer may continue to send a request after the response. Most of the body is then already on its
/// way.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The size of the buffer for bytes that are discarded.
const DISCARD_BUFFER: usize = 2_048;
/// The reads after which other connections get their turn.
const READS_PER_TURN: usize = 16;

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
/// the connection and the response. When it is shut down, it discards what the peer still sends, if requested.
#[derive(Debug)]
pub(crate) struct Watched<T> {
    io: T,
    peer: Option<SocketAddr>,
    limit: Option<StallLimit>,
    blocked: Option<(BlockedWrite, Timer)>,
    lingers: Arc<AtomicBool>,
    /// When the connection is closed, once it was shut down.
    lingering: Option<Timer>,
    resumption: Resumption,
    turn: Turn,
}

impl<T> Watched<T> {
    /// Watches the writes of `io`; without a limit they may block forever.
    pub(crate) fn new(io: T, peer: Option<SocketAddr>, limit: Option<StallLimit>) -> Watched<T> {
        Watched {
            io,
            peer,
            limit,
            blocked: None,
            lingers: Arc::default(),
            lingering: None,
            resumption: Resumption::default(),
            turn: Turn::default(),
        }
    }

    /// The I/O without the checks.
    pub(crate) fn into_inner(self) -> T {
        self.io
    }

    /// The flag that makes the connection discard what its peer still sends when it is shut down.
    pub(crate) fn lingers(&self) -> Arc<AtomicBool> {
        self.lingers.clone()
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

impl<T: Read + Unpin> Watched<T> {
    /// Discards what the peer sends until it closes the connection or the time is over.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(timer) = &mut self.lingering else { return Poll::Ready(()) };
        let mut bytes = [0; DISCARD_BUFFER];
        for _ in 0..READS_PER_TURN {
            if Pin::new(&mut *timer).poll(context).is_ready() {
                return Poll::Ready(());
            }
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.io).poll_read(context, buffer.unfilled()));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl<T: Read + Unpin> Read for Watched<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Watched { io, turn, .. } = self.get_mut();
        turn.poll(context, |context| Pin::new(io).poll_read(context, buffer))
    }
}

impl<T: Read + Unpin + Write> Write for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.resumption.record(context, &written);
        self.check(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, buffers);
        self.resumption.record(context, &written);
        self.check(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.lingering.is_none() {
            ready!(Pin::new(&mut self.io).poll_shutdown(context))?;
            if !self.lingers.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
            self.lingering = Some(Timer::after(LINGER_TIME));
        }
        self.poll_linger(context).map(Ok)
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
