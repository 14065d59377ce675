//! How a connection ends: whether its peer closed its own end first, which shows that the peer is done with it.
//!
//! Closing a connection tells nothing about the peer's work, even if the peer closes its end in turn: what serves its
//! connections need not be what does the work.

use crate::exec;
use crate::metered::{Meter, ReadEnd};
use event_listener::Event;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use socket2::SockRef;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

/// How long a peer may take to close its end after this process: some round trips between data centres.
const LINGER_TIME: Duration = Duration::from_millis(250);
/// The most bytes that are read and discarded meanwhile.
const MAX_DISCARDED: usize = 256 * 1024;
/// The size of the buffer for them, in bytes.
const DISCARD_BUFFER: usize = 4 * 1024;

/// How a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The peer closed its end, of its own accord.
    Peer,
    /// The peer closed its end after this process had closed its own.
    Followed,
    /// It broke.
    Broken,
    /// Its peer did not close its end in time, or it leads to a relay.
    Unknown,
}

impl End {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            End::Peer => "peer",
            End::Followed => "followed",
            End::Broken => "broken",
            End::Unknown => "unknown",
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    /// The connection, if it is a direct one that has not ended.
    stream: Mutex<Option<TcpStream>>,
    /// Whether a peer that closes its end late is waited for.
    is_awaited: AtomicBool,
    end: OnceLock<End>,
    ended: Event,
}

/// Tells how a connection ends; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Closing(Arc<Shared>);

impl Closing {
    /// Observes a direct connection, or one of another kind if `stream` is `None`.
    pub(crate) fn of(stream: Option<TcpStream>) -> Closing {
        Closing(Arc::new(Shared { stream: Mutex::new(stream), ..Shared::default() }))
    }

    /// Sets whether the peer is given time to close its end when this process closes the connection.
    pub fn set_awaited(&self, is_awaited: bool) {
        self.0.is_awaited.store(is_awaited, Ordering::Relaxed);
    }

    /// How the connection ended; `None` while it has not.
    pub fn end(&self) -> Option<End> {
        self.0.end.get().copied()
    }

    /// Waits until the connection has ended.
    pub async fn wait(&self) -> End {
        loop {
            let ended = self.0.ended.listen();
            match self.end() {
                Some(end) => return end,
                None => ended.await,
            }
        }
    }

    /// Ends a connection that is not used any more. `tells_end` says whether an end in order is the peer's.
    pub(crate) async fn finish(&self, meter: &Meter, tells_end: bool) {
        let stream = self.0.stream.lock().expect("no thread panics while it holds the stream").take();
        let end = match (meter.read_end(), stream) {
            (Some(ReadEnd::InOrder), _) if tells_end => End::Peer,
            (Some(ReadEnd::Broken), Some(_)) => End::Broken,
            (None, Some(stream)) if self.0.is_awaited.load(Ordering::Relaxed) => until_closed(stream).await,
            _ => End::Unknown,
        };
        let _ = self.0.end.set(end);
        self.0.ended.notify(usize::MAX);
    }
}

/// Closes this process's end of a connection, and waits until its peer has closed the other one.
async fn until_closed(mut stream: TcpStream) -> End {
    let _ = stream.shutdown(Shutdown::Write);
    let discarding = async {
        let (mut buffer, mut discarded) = ([0; DISCARD_BUFFER], 0);
        while discarded < MAX_DISCARDED {
            match stream.read(&mut buffer).await {
                Ok(0) => return End::Followed,
                Ok(count) => discarded += count,
                Err(_) => return End::Unknown,
            }
        }
        End::Unknown
    };
    let end = exec::timeout(LINGER_TIME, discarding).await.unwrap_or(End::Unknown);
    if end == End::Unknown {
        // With a reset, the first write of the peer fails, where otherwise it would be the second one.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    end
}
