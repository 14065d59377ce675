//! The server-sent events of a run.

use crate::{Error, Fault};
use eventsource_stream::{EventStream, Eventsource};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

/// The data of the event that ends a complete stream.
const END_MARKER: &str = "[DONE]";

/// An event in the stream of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A chunk of the answer, exactly as the engine sent it.
    Chunk(String),
    /// The answer is complete.
    Done,
}

/// The event stream of a run.
pub struct Events {
    inner: Pin<Box<EventStream<BodyDataStream<Incoming>>>>,
    peer: SocketAddr,
}

impl std::fmt::Debug for Events {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Events").field("peer", &self.peer).finish_non_exhaustive()
    }
}

impl Events {
    pub(crate) fn new(peer: SocketAddr, body: Incoming) -> Events {
        Events { inner: Box::pin(BodyDataStream::new(body).eventsource()), peer }
    }

    /// Waits at most `limit` for the next event.
    ///
    /// # Errors
    /// Fails if the stream breaks, stalls or ends without its end marker, so that a truncated answer is never
    /// taken for a complete one.
    pub async fn next(&mut self, limit: Duration) -> Result<Event, Error> {
        match net::exec::timeout(limit, self.inner.next()).await {
            Some(Some(Ok(event))) if event.data == END_MARKER => Ok(Event::Done),
            Some(Some(Ok(event))) => Ok(Event::Chunk(event.data)),
            Some(Some(Err(error))) => Err(self.broken(error.to_string())),
            Some(None) => Err(self.broken("it ended without its mark".to_owned())),
            None => Err(self.broken(format!("nothing came for {} ms", limit.as_millis()))),
        }
    }

    fn broken(&self, reason: String) -> Error {
        Error { step: "stream", peer: self.peer, fault: Fault::Unknown, reason }
    }
}
