//! A plain HTTP service: it describes each request in its answer and counts executions by method, path and
//! body.

use crate::loopback;
use http::{Request, Response};
use hyper::body::Incoming;
use net::{Body, Handle, Limits};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The largest request body in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// A running service; clones share its state.
#[derive(Clone, Debug)]
pub struct Service {
    executed: Arc<Mutex<BTreeMap<String, u64>>>,
    delay: Arc<Mutex<Duration>>,
    server: Arc<Handle>,
}

impl Service {
    /// Starts a service on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Service> {
        let executed = Arc::new(Mutex::new(BTreeMap::new()));
        let delay = Arc::new(Mutex::new(Duration::ZERO));
        let shared = (executed.clone(), delay.clone());
        let server = net::serve(loopback(), Limits::default(), move |request| {
            let (executed, delay) = shared.clone();
            answer(executed, delay, request)
        })
        .await?;
        Ok(Service { executed, delay, server: Arc::new(server) })
    }

    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The number of executions per `METHOD path body`.
    pub fn executed(&self) -> BTreeMap<String, u64> {
        self.executed.lock().expect("the service's lock").clone()
    }

    /// Delays the answers to all later requests by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        *self.delay.lock().expect("the service's lock") = delay;
    }
}

async fn answer(
    executed: Arc<Mutex<BTreeMap<String, u64>>>,
    delay: Arc<Mutex<Duration>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let line = format!("{} {}", request.method(), request.uri());
    let body = net::collect(request.into_body(), BODY_LIMIT).await.unwrap_or_default();
    let execution = format!("{line} {}", String::from_utf8_lossy(&body));
    *executed.lock().expect("the service's lock").entry(execution).or_insert(0) += 1;
    let delay = *delay.lock().expect("the service's lock");
    net::exec::sleep(delay).await;
    Response::new(Body::from(format!("{line}: {} bytes", body.len())))
}
