//! One body type for both directions: whole bytes, or a bounded pipe.

use async_channel::{Receiver, Sender};
use http_body::Frame;
use http_body_util::{BodyExt, Limited};
use hyper::body::Bytes;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Chunks a pipe holds before its writer has to wait.
const PIPE_DEPTH: usize = 8;

/// A message body.
#[derive(Debug)]
pub enum Body {
    /// Everything at once.
    Whole(Option<Bytes>),
    /// Chunks as they are written to the other end; an error aborts the connection.
    Piped(Pin<Box<Receiver<io::Result<Bytes>>>>),
    /// A piped body that ends with this error, once what came before it was flushed.
    Failing(Option<io::Error>),
}

/// The writing end of a piped body.
#[derive(Clone, Debug)]
pub struct Pipe(Sender<io::Result<Bytes>>);

/// Makes a pipe and the body that reads from it.
pub fn pipe() -> (Pipe, Body) {
    let (sender, chunks) = async_channel::bounded(PIPE_DEPTH);
    (Pipe(sender), Body::Piped(Box::pin(chunks)))
}

impl Pipe {
    /// Writes one chunk; `false` means that the reader is gone.
    pub async fn write(&self, bytes: impl Into<Bytes>) -> bool {
        self.0.send(Ok(bytes.into())).await.is_ok()
    }

    /// Aborts the body, so that the reader sees a broken message and not a short one.
    pub async fn abort(&self, reason: &str) {
        let _ = self.0.send(Err(io::Error::other(reason.to_owned()))).await;
    }

    /// Whether the reader is gone.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the reader is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl Body {
    /// A body without bytes.
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
                        // An error at once would drop the chunks that the connection still buffers.
                        *self = Body::Failing(Some(error));
                        context.waker().wake_by_ref();
                        Poll::Pending
                    }
                    chunk => Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data))),
                }
            }
            Body::Failing(error) => Poll::Ready(error.take().map(Err)),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Whole(bytes) => {
                http_body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Body::Piped(_) | Body::Failing(_) => http_body::SizeHint::default(),
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// Returns a text that says whether the body was too long or broke off.
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
