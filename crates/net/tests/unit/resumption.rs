use crate::metered::{Meter, Metered};
use crate::watched::Watched;
use crate::{Body, pipe};
use http::{Request, Response};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::service::service_fn;
use std::convert::Infallible;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

/// A chunk fills hyper's buffer.
const CHUNK: &[u8] = &[b'x'; 512 * 1024];
const CHUNKS: usize = 6;

/// I/O that blocks every other write. Its peer makes room at once, so that the next write succeeds and the task is
/// not woken.
struct Congested {
    input: &'static [u8],
    is_blocked: bool,
    written: Arc<AtomicUsize>,
}

impl Congested {
    fn new(input: &'static [u8]) -> (Congested, Arc<AtomicUsize>) {
        let written = Arc::new(AtomicUsize::new(0));
        (Congested { input, is_blocked: false, written: written.clone() }, written)
    }
}

impl Read for Congested {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        match std::mem::take(&mut self.input) {
            [] => Poll::Pending,
            input => {
                buffer.put_slice(input);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl Write for Congested {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_blocked = !self.is_blocked;
        if self.is_blocked {
            return Poll::Pending;
        }
        let length = buffers.iter().map(|buffer| buffer.len()).sum();
        self.written.fetch_add(length, Ordering::Relaxed);
        Poll::Ready(Ok(length))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

struct Woken(AtomicBool);

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Polls a connection for as long as it is woken.
fn poll_while_woken(connection: impl Future) {
    let mut connection = pin!(connection);
    let woken = Arc::new(Woken(AtomicBool::new(true)));
    let waker = Waker::from(woken.clone());
    while woken.0.swap(false, Ordering::Relaxed) {
        if connection.as_mut().poll(&mut Context::from_waker(&waker)).is_ready() {
            return;
        }
    }
}

/// A body whose chunks are all there, and whose end is not.
fn body() -> (crate::Pipe, Body) {
    let (pipe, body) = pipe();
    for _ in 0..CHUNKS {
        assert!(smol::block_on(pipe.write(CHUNK)));
    }
    (pipe, body)
}

/// Guards against responses that hang, with both ends open, since their peer read between two writes.
#[test]
fn a_response_goes_on_if_its_peer_reads_between_two_writes() {
    let (_pipe, body) = body();
    let (io, written) = Congested::new(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n");
    let response = Mutex::new(Some(Response::new(body)));
    let service = service_fn(move |_| {
        std::future::ready(Ok::<_, Infallible>(
            response.lock().expect("no panic").take().expect("one request"),
        ))
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(Watched::new(io, None, None), service);
    poll_while_woken(connection);
    assert_eq!(written.load(Ordering::Relaxed) / CHUNK.len(), CHUNKS);
}

/// Guards against requests that hang in the same way.
#[test]
fn a_request_goes_on_if_its_peer_reads_between_two_writes() {
    let (_pipe, body) = body();
    let (io, written) = Congested::new(b"");
    let io = Metered::new(io, Arc::<Meter>::default());
    let (mut sender, connection) =
        smol::block_on(hyper::client::conn::http1::handshake(io)).expect("a connection");
    let _answer = sender.send_request(Request::post("/").body(body).expect("a request"));
    poll_while_woken(connection);
    assert_eq!(written.load(Ordering::Relaxed) / CHUNK.len(), CHUNKS);
}
