//! The runs of resumable streams that this gateway has sent to upstreams, until these are known to have ended them.
//!
//! A run that this gateway closes goes on until its upstream notices, which it may do late or never. The stream must not
//! go on at another upstream before, whether this gateway resumes it or its caller takes it up, here or at another gateway.
//! [`route::silence::Contact`] decides what is known of such a run. While its upstream is alive and may still work on it,
//! the stream goes on at that upstream only.

use crate::contact::Upstream;
use crate::node::Node;
use crate::ports::Wire;
use event_listener::{Event, EventListener};
use net::{Closing, End, exec};
use route::Millis;
use route::origin::Stream;
use route::silence::{Close, ClosedRun, RunState};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;
use store::rows::Rows;

/// How long a connection that this gateway closes may take to end.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before the runs of a stream are looked at again, of which two may go on at different upstreams.
const CONFLICT_PAUSE: Duration = Duration::from_millis(100);

/// Tells a request that its caller takes its stream up with another request.
#[derive(Debug, Default)]
pub(crate) struct Takeover {
    is_taken: AtomicBool,
    event: Event,
}

impl Takeover {
    fn take(&self) {
        self.is_taken.store(true, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Whether the stream has been taken up.
    pub(crate) fn is_taken(&self) -> bool {
        self.is_taken.load(Ordering::SeqCst)
    }

    /// Notified when the stream is taken up, unless it has been before.
    pub(crate) fn listen(&self) -> EventListener {
        self.event.listen()
    }

    /// Waits until the stream is taken up.
    pub(crate) async fn wait(&self) {
        let taken = self.listen();
        if !self.is_taken() {
            taken.await;
        }
    }
}

/// The upstreams at which a stream may go on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Place {
    /// Any: no run is under way.
    #[default]
    Any,
    /// Only this one, at which an earlier run may still be under way.
    Only(String),
}

impl Place {
    /// The only upstream, if there is one.
    pub(crate) fn only(&self) -> Option<&str> {
        match self {
            Place::Any => None,
            Place::Only(upstream) => Some(upstream),
        }
    }
}

/// The connection of a run.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    /// Unset until the request is sent; `None` if another gateway sent it.
    closing: OnceLock<Option<Closing>>,
    /// When the upstream stops by itself, once it has read the request.
    stops_at: OnceLock<Millis>,
}

impl Connection {
    /// Records that the request is sent on a connection.
    pub(crate) fn record_sent(&self, closing: &Closing) {
        closing.set_awaited(true);
        let _ = self.closing.set(Some(closing.clone()));
    }

    /// Records when the upstream stops, which has read the request.
    pub(crate) fn record_read(&self, stops_at: Millis) {
        let _ = self.stops_at.set(stops_at);
    }

    /// Whether the request has been sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.closing.get().is_some()
    }

    /// How the connection ended, if the request was sent.
    pub(crate) async fn end(&self) -> Option<End> {
        match self.closing.get()? {
            Some(closing) => Some(exec::timeout(END_TIMEOUT, closing.wait()).await.unwrap_or(End::Unknown)),
            None => Some(End::Unknown),
        }
    }
}

/// A run that is not known to be over.
#[derive(Clone, Debug)]
struct Run {
    number: u64,
    upstream: Upstream,
    /// When this gateway closed it; `None` while its request is open.
    closed: Option<Millis>,
    connection: Arc<Connection>,
    takeover: Arc<Takeover>,
}

impl Run {
    /// What is known of a run that was closed.
    async fn state<W: Wire, S: Rows>(&self, node: &Node<W, S>, closed: Millis) -> Option<RunState> {
        let close = match self.connection.end().await? {
            End::Peer => Close::ByUpstream,
            End::Broken => Close::Broken,
            End::Followed | End::Unknown => Close::ByGateway,
        };
        let stops_at = self.connection.stops_at.get().copied();
        let run = ClosedRun { closed, close, is_leaving: self.upstream.is_leaving(node), stops_at };
        Some(self.upstream.until_known(node, &run).await)
    }
}

#[derive(Debug, Default)]
struct State {
    streams: HashMap<Stream, SmallVec<[Run; 1]>>,
    last_number: u64,
}

impl State {
    fn remove(&mut self, stream: Stream, number: u64) {
        let Some(runs) = self.streams.get_mut(&stream) else { return };
        runs.retain(|run| run.number != number);
        if runs.is_empty() {
            self.streams.remove(&stream);
        }
    }
}

/// The runs of all streams that are not known to be over.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    state: Mutex<State>,
    /// Notified when a run is closed or over.
    changed: Event,
}

impl Runs {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Registers a run until the guard is dropped, and further if the guard was not told that the run is over.
    pub(crate) fn begin(
        self: &Arc<Self>,
        stream: Stream,
        upstream: Upstream,
        takeover: &Arc<Takeover>,
    ) -> Guard {
        let connection = Arc::new(Connection::default());
        let number = self.add(stream, upstream, None, &connection, takeover);
        Guard { runs: self.clone(), stream, number, connection, is_over: false }
    }

    /// Registers a run that another gateway closed, and that may still be under way.
    pub(crate) fn inherit(&self, stream: Stream, upstream: Upstream, stops_at: Option<Millis>, now: Millis) {
        let connection = Connection::default();
        let _ = connection.closing.set(None);
        if let Some(stops_at) = stops_at {
            connection.record_read(stops_at);
        }
        self.add(stream, upstream, Some(now), &Arc::new(connection), &Arc::default());
    }

    fn add(
        &self,
        stream: Stream,
        upstream: Upstream,
        closed: Option<Millis>,
        connection: &Arc<Connection>,
        takeover: &Arc<Takeover>,
    ) -> u64 {
        let mut state = self.state();
        state.last_number += 1;
        let number = state.last_number;
        let (connection, takeover) = (connection.clone(), takeover.clone());
        let run = Run { number, upstream, closed, connection, takeover };
        state.streams.entry(stream).or_default().push(run);
        number
    }

    /// Forgets the runs that were closed before `limit`: their callers return no more.
    pub(crate) fn expire(&self, limit: Millis) {
        self.state().streams.retain(|_, runs| {
            runs.retain(|run| run.closed.is_none_or(|closed| closed >= limit));
            !runs.is_empty()
        });
    }

    fn close(&self, stream: Stream, number: u64, now: Millis) {
        let mut state = self.state();
        let run =
            state.streams.get_mut(&stream).and_then(|runs| runs.iter_mut().find(|run| run.number == number));
        if let Some(run) = run {
            run.closed = Some(now);
        }
    }

    /// Ends the requests for a stream that are open here, because its caller takes it up.
    pub(crate) fn take_over(&self, stream: Stream) {
        let state = self.state();
        let runs = state.streams.get(&stream).into_iter().flatten();
        runs.filter(|run| run.closed.is_none()).for_each(|run| run.takeover.take());
    }

    /// Waits until it is known where a stream may go on, as far as runs that began here decide it.
    pub(crate) async fn find_place<W: Wire, S: Rows>(&self, node: &Node<W, S>, stream: Stream) -> Place {
        self.settle(node, stream, |_| true).await
    }

    /// Waits until it is known where a stream may go on, after the runs that one request began and those that had been
    /// closed before it.
    pub(crate) async fn find_next_place<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        stream: Stream,
        takeover: &Arc<Takeover>,
        earlier: &Place,
    ) -> Place {
        let is_earlier = |run: &Run| {
            run.closed.is_some() && earlier.only().is_some_and(|upstream| run.upstream.name == upstream)
        };
        self.settle(node, stream, |run| Arc::ptr_eq(&run.takeover, takeover) || is_earlier(run)).await
    }

    /// Waits until the selected runs of a stream are over, or those that may go on are all at one upstream.
    async fn settle<W: Wire, S: Rows>(
        &self,
        node: &Node<W, S>,
        stream: Stream,
        is_selected: impl Fn(&Run) -> bool,
    ) -> Place {
        loop {
            let changed = self.changed.listen();
            let runs = self.find(stream, &is_selected);
            if runs.iter().any(|run| run.closed.is_none()) {
                changed.await;
                continue;
            }
            let mut alive: SmallVec<[&str; 1]> = SmallVec::new();
            for run in &runs {
                let closed = run.closed.unwrap_or_default();
                match run.state(node, closed).await {
                    Some(RunState::Alive | RunState::Unknown) => alive.push(&run.upstream.name),
                    Some(RunState::Over(_)) | None => self.state().remove(stream, run.number),
                }
            }
            alive.dedup();
            match alive[..] {
                [] => return Place::Any,
                [upstream] => return Place::Only(upstream.to_owned()),
                _ => exec::sleep(CONFLICT_PAUSE).await,
            }
        }
    }

    fn find(&self, stream: Stream, is_selected: impl Fn(&Run) -> bool) -> SmallVec<[Run; 1]> {
        let state = self.state();
        let runs = state.streams.get(&stream).into_iter().flatten();
        runs.filter(|run| is_selected(run)).cloned().collect()
    }

    /// The address of the upstream at which runs of a stream may go on, and when the last of them stops by itself, if that
    /// is known.
    pub(crate) fn last_stop(&self, stream: Stream, upstream: &str) -> Option<(SocketAddr, Option<Millis>)> {
        let runs = self.find(stream, |run| run.upstream.name == upstream);
        let stops_at = runs.iter().map(|run| run.connection.stops_at.get().copied());
        let stops_at: Option<SmallVec<[Millis; 1]>> = stops_at.collect();
        Some((runs.first()?.upstream.address, stops_at.and_then(|all| all.into_iter().max())))
    }
}

/// A registered run.
#[derive(Debug)]
pub(crate) struct Guard {
    runs: Arc<Runs>,
    stream: Stream,
    number: u64,
    connection: Arc<Connection>,
    is_over: bool,
}

impl Guard {
    /// The connection of the run.
    pub(crate) fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    /// Records that the upstream has ended the run.
    pub(crate) fn mark_over(&mut self) {
        self.is_over = true;
    }

    /// Ends the registration at the time `now`. Returns whether the run may still be under way.
    pub(crate) fn end(self, now: Millis) -> bool {
        match self.is_over {
            true => self.runs.state().remove(self.stream, self.number),
            false => self.runs.close(self.stream, self.number, now),
        }
        self.runs.changed.notify(usize::MAX);
        !self.is_over
    }
}
