//! Sends large bodies at the pace of this VM's link, see [`route::pacing`].

use event_listener::Event;
use hyper::body::Bytes;
use net::{Clock, Pipe, exec};
use route::pacing::{Body, BodyId, Pacer, Step, Submission};
use smol::Task;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Smaller bodies are not paced, in bytes: they take 3 ms at 10 Mbit/s, less than one piece of a larger one.
const MAX_UNPACED_BYTES: u64 = 4 << 10;

/// This VM's link.
#[derive(Debug)]
pub(crate) struct Link(Option<Arc<Shared>>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    /// Sent bytes that were not paced and that the pacer does not know of yet.
    unpaced: Arc<AtomicU64>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    pacer: Pacer,
    /// Notified when the body is the next one.
    events: HashMap<BodyId, Arc<Event>>,
}

/// The place of a body in the queue of the link, which dropping it gives up.
#[derive(Debug)]
struct Place {
    shared: Arc<Shared>,
    id: BodyId,
    event: Arc<Event>,
}

/// The turn of a body: its first piece may be sent.
#[derive(Debug)]
pub(crate) struct Turn {
    place: Place,
    first_bytes: u64,
    /// How long the body waited for its turn.
    pub waited: Duration,
}

impl Link {
    /// Creates a link that paces if its capacity is known. Other traffic is counted in `unpaced`.
    pub(crate) fn new(link_mbps: Option<f64>, clock: Clock, unpaced: Arc<AtomicU64>) -> Link {
        Link(link_mbps.map(|mbps| {
            let state = State { pacer: Pacer::new(mbps * 1e6 / 8.0), events: HashMap::new() };
            Arc::new(Shared { clock, unpaced, state: Mutex::new(state) })
        }))
    }

    /// Waits for the turn of a body for at most `limit`; `None` if the body is not paced.
    ///
    /// # Errors
    /// The body can't be sent in time. The error is the time until those before it will have been sent, in
    /// milliseconds.
    pub(crate) async fn take_turn(&self, body: &Body, limit: Duration) -> Result<Option<Turn>, u64> {
        let Some(shared) = self.0.as_ref().filter(|_| body.bytes > MAX_UNPACED_BYTES) else {
            return Ok(None);
        };
        let began = shared.clock.now();
        let place = shared.submit(body)?;
        let first_bytes = match shared.clock.timeout(limit, place.wait()).await {
            Some(turn) => turn?,
            None => return Err(1),
        };
        Ok(Some(Turn { first_bytes, waited: shared.clock.now().saturating_sub(began), place }))
    }

    /// The number of bodies that have not been sent completely.
    #[cfg(test)]
    fn open_bodies(&self) -> usize {
        self.0.as_ref().map_or(0, |shared| shared.lock().pacer.len())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("the link's lock is not poisoned");
        state.pacer.record_unpaced(self.unpaced.swap(0, Ordering::Relaxed));
        state
    }

    fn now(&self) -> f64 {
        self.clock.now().as_secs_f64() * 1_000.0
    }

    fn submit(self: &Arc<Self>, body: &Body) -> Result<Place, u64> {
        let mut state = self.lock();
        match state.pacer.submit(body, self.now()) {
            Submission::Accepted(id) => {
                let event = Arc::new(Event::new());
                state.events.insert(id, event.clone());
                Ok(Place { shared: self.clone(), id, event })
            }
            Submission::Refused(drained_ms) => Err(drained_ms),
        }
    }
}

impl State {
    /// Wakes the task of the body that gets the next tokens.
    fn notify_next(&self) {
        let next = self.pacer.next_body().and_then(|id| self.events.get(&id));
        next.inspect(|event| {
            event.notify(1);
        });
    }
}

impl Place {
    /// Waits until a piece may be sent, and returns its size. Fails if the body was not started yet and can't be
    /// sent in time any more.
    async fn wait(&self) -> Result<u64, u64> {
        loop {
            // The listener is registered first, so that no notification after the decision is lost.
            let listener = self.event.listen();
            match self.poll() {
                Step::Send(bytes) => return Ok(bytes),
                Step::Done => return Ok(u64::MAX),
                Step::Refused(drained_ms) => return Err(drained_ms),
                Step::Queued => listener.await,
                Step::Wait(ms) => {
                    exec::timeout(Duration::from_secs_f64(ms / 1_000.0), listener).await;
                }
            }
        }
    }

    fn poll(&self) -> Step {
        let mut state = self.shared.lock();
        let step = state.pacer.poll(self.id, self.shared.now());
        if !matches!(step, Step::Wait(_) | Step::Queued) {
            state.notify_next();
        }
        step
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.pacer.remove(self.id);
        state.events.remove(&self.id);
        state.notify_next();
    }
}

impl Turn {
    /// Returns the body to send, and the task that hands it over in pieces, unless it may be sent at once.
    /// Dropping the task gives up the place; the body then ends early, which aborts its connection.
    pub(crate) fn send(self, bytes: Bytes) -> (net::Body, Option<Task<()>>) {
        if self.first_bytes >= bytes.len() as u64 {
            return (net::Body::from(bytes), None);
        }
        let (pipe, body) = net::sized_pipe(bytes.len() as u64);
        (body, Some(exec::spawn(self.write(bytes, pipe))))
    }

    async fn write(self, mut bytes: Bytes, pipe: Pipe) {
        let mut piece = self.first_bytes;
        loop {
            let part = bytes.split_to(bytes.len().min(usize::try_from(piece).unwrap_or(usize::MAX)));
            if !pipe.write(part).await || bytes.is_empty() {
                return;
            }
            let next = async { self.place.wait().await.ok() };
            let closed = async {
                pipe.closed().await;
                None
            };
            match smol::future::or(closed, next).await {
                Some(next) => piece = next,
                None => return,
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/link.rs"]
mod tests;
