//! The frames in which a tunnel carries the bytes of its target, so that their end is told from the end of the tunnel.
//!
//! A frame is a header of three bytes, which are the kind and the length of the content in network byte order, and the
//! content. The last frame of a target that closes in order has no content.

use hyper::rt::{Read, ReadBufCursor};
use smol::io::AsyncBufRead;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The length of a frame's header.
pub(crate) const HEADER_LENGTH: usize = 3;
/// The largest length of a frame's content.
pub(crate) const MAX_CONTENT: usize = 16 * 1024;
/// The frame that says that the target closed its connection in order.
pub(crate) const END_FRAME: [u8; HEADER_LENGTH] = [END, 0, 0];
/// The kinds of frames.
const DATA: u8 = 1;
const END: u8 = 2;

/// The header of a frame with `length` bytes of the target, of which there are at most [`MAX_CONTENT`].
pub(crate) fn data_header(length: usize) -> [u8; HEADER_LENGTH] {
    let [high, low] = u16::try_from(length).expect("a length of at most `MAX_CONTENT`").to_be_bytes();
    [DATA, high, low]
}

/// Reads the bytes of a target from frames. The end of the input is an error unless the last frame came before.
#[derive(Debug)]
pub(crate) struct Reader<R> {
    input: R,
    state: State,
}

/// What a reader reads next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// A header, of which this many bytes were read.
    Header([u8; HEADER_LENGTH], usize),
    /// This many bytes of content.
    Content(usize),
    /// Nothing, since the target closed its connection in order.
    Ended,
}

impl State {
    /// What follows a complete header.
    fn after(header: [u8; HEADER_LENGTH]) -> io::Result<State> {
        let [kind, high, low] = header;
        match (kind, usize::from(u16::from_be_bytes([high, low]))) {
            (DATA, length @ 1..=MAX_CONTENT) => Ok(State::Content(length)),
            (END, 0) => Ok(State::Ended),
            (kind, length) => {
                let reason = format!("the tunnel has a frame of kind {kind} and length {length}");
                Err(io::Error::new(ErrorKind::InvalidData, reason))
            }
        }
    }
}

impl<R: AsyncBufRead + Unpin> Reader<R> {
    pub(crate) fn new(input: R) -> Reader<R> {
        Reader { input, state: State::Header([0; HEADER_LENGTH], 0) }
    }

    /// Passes bytes that have arrived to `take`, which returns how many it took.
    fn poll_take(
        &mut self,
        context: &mut Context<'_>,
        take: impl FnOnce(&[u8]) -> usize,
    ) -> Poll<io::Result<usize>> {
        let arrived = ready!(Pin::new(&mut self.input).poll_fill_buf(context))?;
        if arrived.is_empty() {
            let reason = "the tunnel ended before its target";
            return Poll::Ready(Err(io::Error::new(ErrorKind::UnexpectedEof, reason)));
        }
        let taken = take(arrived);
        Pin::new(&mut self.input).consume(taken);
        Poll::Ready(Ok(taken))
    }
}

impl<R: AsyncBufRead + Unpin> Read for Reader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            self.state = match self.state {
                State::Header(header, HEADER_LENGTH) => State::after(header)?,
                State::Header(mut header, read) => {
                    let taken = ready!(self.poll_take(context, |arrived| {
                        let count = arrived.len().min(HEADER_LENGTH - read);
                        header[read..read + count].copy_from_slice(&arrived[..count]);
                        count
                    }))?;
                    State::Header(header, read + taken)
                }
                State::Content(0) => State::Header([0; HEADER_LENGTH], 0),
                State::Content(length) => {
                    let taken = ready!(self.poll_take(context, |arrived| {
                        let count = arrived.len().min(length).min(buffer.remaining());
                        buffer.put_slice(&arrived[..count]);
                        count
                    }))?;
                    self.state = State::Content(length - taken);
                    return Poll::Ready(Ok(()));
                }
                State::Ended => return Poll::Ready(Ok(())),
            };
        }
    }
}
