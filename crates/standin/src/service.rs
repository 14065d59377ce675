//! A plain HTTP service: it describes each request in its answer and counts executions by method, path and
//! body.

use crate::loopback;
use http::{Request, Response};
use hyper::body::Incoming;
use net::{Body, Handle, Limits};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The largest request body in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// A running service; clones share its state.
#[derive(Clone, Debug)]
pub struct Service {
    state: Arc<State>,
    server: Arc<Handle>,
}

#[derive(Debug, Default)]
struct State {
    executed: Mutex<BTreeMap<String, u64>>,
    delay: Mutex<Duration>,
    is_streaming: AtomicBool,
}

impl Service {
    /// Starts a service on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Service> {
        let state = Arc::new(State::default());
        let shared = state.clone();
        let server =
            net::serve(loopback(), Limits::default(), move |request| answer(shared.clone(), request));
        Ok(Service { state, server: Arc::new(server.await?) })
    }

    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The number of executions per `METHOD path body`.
    pub fn executed(&self) -> BTreeMap<String, u64> {
        self.state.executed.lock().expect("the service's lock").clone()
    }

    /// Delays the answers to all later requests by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        *self.state.delay.lock().expect("the service's lock") = delay;
    }

    /// Streams the answers to all later requests, whose heads then name no length.
    pub fn stream_answers(&self) {
        self.state.is_streaming.store(true, Ordering::Relaxed);
    }
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let line = format!("{} {}", request.method(), request.uri());
    let body = net::collect(request.into_body(), BODY_LIMIT).await.unwrap_or_default();
    let execution = format!("{line} {}", String::from_utf8_lossy(&body));
    *state.executed.lock().expect("the service's lock").entry(execution).or_insert(0) += 1;
    let delay = *state.delay.lock().expect("the service's lock");
    net::exec::sleep(delay).await;
    let text = format!("{line}: {} bytes", body.len());
    if !state.is_streaming.load(Ordering::Relaxed) {
        return Response::new(Body::from(text));
    }
    let (pipe, body) = net::pipe();
    pipe.write(text).await;
    Response::new(body)
}
