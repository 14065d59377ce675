//! The body type of HTTP requests and answers: complete bytes, or a bounded pipe of chunks.

use async_channel::{Receiver, Sender};
use http_body::Frame;
use http_body_util::{BodyExt, Limited};
use hyper::body::Bytes;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The number of chunks that a pipe buffers before its writer has to wait.
const PIPE_CAPACITY: usize = 8;

/// A message body.
#[derive(Debug)]
pub enum Body {
    /// A complete body; `None` once it was read, or if it is empty.
    Whole(Option<Bytes>),
    /// The chunks written to a [`Pipe`]; an error aborts the connection.
    Piped(Pin<Box<Receiver<io::Result<Bytes>>>>),
    /// The chunks written to a [`Pipe`], and the number of bytes that are still to come.
    Sized(Pin<Box<Receiver<io::Result<Bytes>>>>, u64),
    /// A piped body that ends with this error once the chunks before it were flushed.
    Failing(Option<io::Error>),
}

/// The writing end of a piped body.
#[derive(Clone, Debug)]
pub struct Pipe(Sender<io::Result<Bytes>>);

/// Creates a pipe and the body that reads from it.
pub fn pipe() -> (Pipe, Body) {
    let (sender, chunks) = async_channel::bounded(PIPE_CAPACITY);
    (Pipe(sender), Body::Piped(Box::pin(chunks)))
}

/// Creates a pipe for a body of `length` bytes, which is sent with this `Content-Length`. Its writer waits until
/// the connection has taken the previous chunk, so that a connection which is opened late or read slowly does
/// not collect chunks. A body that ends early aborts the connection.
pub fn sized_pipe(length: u64) -> (Pipe, Body) {
    let (sender, chunks) = async_channel::bounded(1);
    (Pipe(sender), Body::Sized(Box::pin(chunks), length))
}

impl Pipe {
    /// Writes one chunk; returns `false` if the body was dropped.
    pub async fn write(&self, bytes: impl Into<Bytes>) -> bool {
        self.0.send(Ok(bytes.into())).await.is_ok()
    }

    /// Aborts the body with an error, so that the recipient doesn't take the truncated message for a
    /// complete one.
    pub async fn abort(&self, reason: &str) {
        let _ = self.0.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Whether the body was dropped.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Body {
        Body::Whole(None)
    }
}

impl<T: Into<Bytes>> From<T> for Body {
    fn from(bytes: T) -> Body {
        Body::Whole(Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(Frame::data).map(Ok)),
            Body::Piped(chunks) => {
                match ready!(futures::Stream::poll_next(chunks.as_mut(), context)) {
                    Some(Err(error)) => {
                        // Returning the error now would drop the chunks that the connection still buffers.
                        *self = Body::Failing(Some(error));
                        context.waker().wake_by_ref();
                        Poll::Pending
                    }
                    chunk => Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data))),
                }
            }
            Body::Sized(chunks, remaining) => {
                let chunk = ready!(futures::Stream::poll_next(chunks.as_mut(), context));
                if let Some(Ok(bytes)) = &chunk {
                    *remaining = remaining.saturating_sub(bytes.len() as u64);
                }
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
            Body::Failing(error) => Poll::Ready(error.take().map(Err)),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None) | Body::Sized(_, 0))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Whole(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Body::Sized(_, remaining) => http_body::SizeHint::with_exact(*remaining),
            Body::Piped(_) | Body::Failing(_) => http_body::SizeHint::default(),
        }
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// Returns a message that says whether the body exceeds the limit or could not be read to its end.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, String>
where
    B: http_body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error.to_string()),
    }
}
