//! The body of an answer: complete, or relayed from an upstream as it arrives.

use crate::ports::Wire;
use crate::relay::Relay;
use http_body::{Frame, SizeHint};
use hyper::body::Bytes;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use store::rows::Rows;

/// A complete body.
pub(crate) type WholeBody = Option<Bytes>;

/// The body of an answer to a caller.
pub(crate) enum AnswerBody<W: Wire, S: Rows> {
    /// A complete body, sent at once.
    Whole(WholeBody),
    /// A stream of events from an upstream.
    Stream(Box<Relay<W, S>>),
}

impl<W: Wire, S: Rows> http_body::Body for AnswerBody<W, S> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(Frame::data).map(Ok))
            }
            AnswerBody::Stream(relay) => {
                relay.poll_next(context).map(|next| next.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
