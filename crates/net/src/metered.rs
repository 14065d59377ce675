//! The I/O of a connection whose peer may send bytes without end that are no answer.
//!
//! A message parser consumes such bytes, for instance the digits of a chunk's size, for as long as they arrive, within a
//! single poll, and no time limit takes effect meanwhile. So reads let other tasks have their turn, and a client reads
//! only a bounded number of bytes that it can't pass on.

use crate::resumption::Resumption;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};

/// The number of reads after which other tasks get their turn.
const READS_PER_TURN: u32 = 16;
/// The size of the buffer for one read, in bytes.
const READ_BUFFER: usize = 8 * 1024;
/// The most bytes before the body of an answer: interim answers, and a head of the largest size that is parsed.
const MAX_HEAD_BYTES: u64 = 64 * 1024;
/// The most bytes of framing, per byte of the body: a chunk of one byte has six, and may have an extension.
const FRAMING_FACTOR: u64 = 16;
/// The most bytes of framing besides, and of data that is buffered.
const FRAMING_SLACK: u64 = 128 * 1024;

/// Interrupts a task that finds bytes at each read.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    reads: u32,
}

impl Turn {
    /// Polls a read, unless it is the turn of other tasks.
    pub(crate) fn poll(
        &mut self,
        context: &mut Context<'_>,
        read: impl FnOnce(&mut Context<'_>) -> Poll<io::Result<()>>,
    ) -> Poll<io::Result<()>> {
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = read(context);
        self.reads = if polled.is_ready() { self.reads + 1 } else { 0 };
        polled
    }
}

/// How the bytes of a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadEnd {
    /// The other end closed the connection.
    InOrder,
    /// The connection broke.
    Broken,
}

/// Bounds the bytes that are read for one answer.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    read: AtomicU64,
    allowed: AtomicU64,
    read_end: OnceLock<ReadEnd>,
}

impl Meter {
    /// An answer is expected.
    pub(crate) fn begin_answer(&self) {
        self.allowed.store(self.read.load(Ordering::Relaxed) + MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// The head of the answer has been read.
    fn begin_body(&self) {
        self.allowed.store(self.read.load(Ordering::Relaxed) + FRAMING_SLACK, Ordering::Relaxed);
    }

    /// A part of the body has been read.
    fn record_data(&self, bytes: usize) {
        self.allowed.fetch_add(bytes as u64 * (1 + FRAMING_FACTOR), Ordering::Relaxed);
    }

    /// Records that a connection broke, if a write on it failed for another reason than its own half-close.
    fn record_written(&self, written: &io::Result<usize>) {
        if written.as_ref().is_err_and(|error| error.kind() != ErrorKind::BrokenPipe) {
            let _ = self.read_end.set(ReadEnd::Broken);
        }
    }

    /// How the bytes ended, if they have.
    pub(crate) fn read_end(&self) -> Option<ReadEnd> {
        self.read_end.get().copied()
    }

    /// Records that bytes have been read.
    ///
    /// # Errors
    /// There are too many of them.
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        let read = self.read.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        match read > self.allowed.load(Ordering::Relaxed) {
            true => Err(io::Error::new(ErrorKind::InvalidData, "the peer sends bytes that are no answer")),
            false => Ok(()),
        }
    }
}

/// The I/O of a client's connection.
#[derive(Debug)]
pub(crate) struct Metered<T> {
    io: T,
    turn: Turn,
    resumption: Resumption,
    meter: Arc<Meter>,
}

impl<T> Metered<T> {
    pub(crate) fn new(io: T, meter: Arc<Meter>) -> Metered<T> {
        Metered { io, turn: Turn::default(), resumption: Resumption::default(), meter }
    }
}

impl<T: Read + Unpin> Read for Metered<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Metered { io, turn, meter, .. } = self.get_mut();
        // What was read into a cursor can't be told from it.
        let mut bytes = [const { MaybeUninit::uninit() }; READ_BUFFER];
        let size = buffer.remaining().min(READ_BUFFER);
        let mut read = ReadBuf::uninit(&mut bytes[..size]);
        let polled = ready!(turn.poll(context, |context| Pin::new(io).poll_read(context, read.unfilled())));
        match &polled {
            Ok(()) if read.filled().is_empty() && size > 0 => _ = meter.read_end.set(ReadEnd::InOrder),
            Ok(()) => {}
            Err(_) => _ = meter.read_end.set(ReadEnd::Broken),
        }
        polled?;
        buffer.put_slice(read.filled());
        Poll::Ready(meter.record_read(read.filled().len()))
    }
}

impl<T: Unpin + Write> Write for Metered<T> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let Metered { io, resumption, meter, .. } = self.get_mut();
        let written = Pin::new(io).poll_write(context, bytes);
        resumption.record(context, &written);
        let written = ready!(written);
        meter.record_written(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Metered { io, resumption, meter, .. } = self.get_mut();
        let written = Pin::new(io).poll_write_vectored(context, bytes);
        resumption.record(context, &written);
        let written = ready!(written);
        meter.record_written(&written);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(context)
    }
}

/// The body of an answer on a metered connection.
#[derive(Debug)]
pub struct Received {
    body: Incoming,
    meter: Arc<Meter>,
}

impl Received {
    pub(crate) fn new(body: Incoming, meter: Arc<Meter>) -> Received {
        meter.begin_body();
        Received { body, meter }
    }
}

impl Body for Received {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Received { body, meter } = self.get_mut();
        let frame = ready!(Pin::new(body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            meter.record_data(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
