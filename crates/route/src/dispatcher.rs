//! Combines the pool of upstreams with the queues of waiting requests: dispatches each request, queues it or
//! rejects it.
//!
//! ```
//! use route::{Dispatcher, SubmitOutcome, SubmitRequest, UpstreamSpec};
//!
//! let mut dispatcher = Dispatcher::new("regina-a");
//! dispatcher.set_capacity(8);
//! let spec = UpstreamSpec { data_centre: "regina-a".into(), limit: 1, models: vec!["narrator".into()] };
//! dispatcher.pool.set("engine-1", spec);
//! let request = SubmitRequest {
//!     model: "narrator",
//!     prefix: 7,
//!     avoid: &[],
//!     team: "desk",
//!     weight: 1,
//!     priority: 5,
//!     deadline: 900,
//! };
//! assert!(matches!(dispatcher.submit(&request, "first", 0).0, SubmitOutcome::Chosen(_)));
//! assert!(matches!(dispatcher.submit(&request, "second", 1).0, SubmitOutcome::Waiting(_)));
//! dispatcher.pool.release("engine-1");
//! let dispatched = dispatcher.dispatch_waiting(2, |_| false);
//! assert_eq!(dispatched[0].0, "second");
//! ```

use crate::Millis;
use crate::pool::{Choice, Pick, PickRequest, Pool};
use crate::queue::{FairQueue, PushOutcome, QueuedRequest};
use std::collections::BTreeMap;

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SubmitRequest<'a> {
    /// The model that the request names.
    pub model: &'a str,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
    /// Upstreams that failed this request.
    pub avoid: &'a [String],
    /// The team that sent the request.
    pub team: &'a str,
    /// The team's weight in the fair queue.
    pub weight: u32,
    /// The priority; lower values are more urgent.
    pub priority: u8,
    /// The time by which the request must be dispatched.
    pub deadline: Millis,
}

/// The result of submitting a request.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The request is dispatched to this upstream now.
    Chosen(Choice),
    /// The request is queued under this number.
    Waiting(u64),
    /// The queue is full; the caller may retry after this many milliseconds.
    Full(Millis),
    /// The request could not be dispatched before its deadline; the caller may retry after this many
    /// milliseconds.
    Late(Millis),
    /// No upstream serves the model.
    NoUpstream,
}

#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    prefix: u64,
    avoid: Vec<String>,
}

/// The upstreams and the queues of requests that wait for them, one queue per model.
#[derive(Clone, Debug)]
pub struct Dispatcher<T> {
    /// The upstreams.
    pub pool: Pool,
    queues: BTreeMap<String, FairQueue<QueuedItem<T>>>,
    capacity: usize,
}

impl<T> Dispatcher<T> {
    /// Creates a dispatcher without upstreams for a router in `data_centre`.
    pub fn new(data_centre: &str) -> Dispatcher<T> {
        Dispatcher { pool: Pool::new(data_centre), queues: BTreeMap::new(), capacity: 0 }
    }

    /// Sets how many requests per model may wait.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.queues.values_mut().for_each(|queue| queue.set_capacity(capacity));
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Dispatches a request, queues it or rejects it. The second value is a less urgent request that was
    /// displaced from the queue.
    pub fn submit(
        &mut self,
        request: &SubmitRequest<'_>,
        item: T,
        now: Millis,
    ) -> (SubmitOutcome, Option<T>) {
        let Dispatcher { pool, queues, capacity } = self;
        let queue = queues.entry(request.model.to_owned()).or_insert_with(|| FairQueue::new(*capacity));
        let is_first = queue.peek().is_none_or(|(_, first)| first.priority > request.priority);
        let pick_request = PickRequest { model: request.model, prefix: request.prefix, avoid: request.avoid };
        if is_first {
            match pool.pick(&pick_request, now) {
                Pick::Take(choice) => return (SubmitOutcome::Chosen(choice), None),
                Pick::NoUpstream => return (SubmitOutcome::NoUpstream, None),
                Pick::Wait => {}
            }
        }
        let queued = QueuedRequest {
            item: QueuedItem { item, prefix: request.prefix, avoid: request.avoid.to_vec() },
            team: request.team.to_owned(),
            priority: request.priority,
            deadline: request.deadline,
        };
        match queue.push(queued, request.weight, now) {
            (PushOutcome::Waiting, number) => {
                (SubmitOutcome::Waiting(number), queue.pop_overflow().map(|queued| queued.item.item))
            }
            (PushOutcome::Full(retry_ms), _) => (SubmitOutcome::Full(retry_ms), None),
            (PushOutcome::Late(retry_ms), _) => (SubmitOutcome::Late(retry_ms), None),
        }
    }

    /// Lends a slot to a peer's request: one of the upstream `at`, or of any upstream if that is `None`.
    /// Lends nothing while an equally or more urgent request for the same model waits here.
    pub fn lend(&mut self, request: &SubmitRequest<'_>, at: Option<&str>, now: Millis) -> Option<String> {
        let queue = self.queues.get(request.model);
        let is_contended =
            queue.and_then(FairQueue::peek).is_some_and(|(_, first)| first.priority <= request.priority);
        if is_contended {
            return None;
        }
        let pick_request = PickRequest { model: request.model, prefix: request.prefix, avoid: request.avoid };
        match at {
            Some(at) => self.pool.take_at(at, &pick_request, now).then(|| at.to_owned()),
            None => match self.pool.pick(&pick_request, now) {
                Pick::Take(choice) => Some(choice.upstream),
                Pick::Wait | Pick::NoUpstream => None,
            },
        }
    }

    /// Removes a queued request that got a slot from another router. This counts as a departure, as if the
    /// request had been dispatched here.
    pub fn remove_served(&mut self, model: &str, number: u64, now: Millis) {
        if let Some(queue) = self.queues.get_mut(model) {
            queue.depart(number, now);
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<T> {
        let late = self.queues.values_mut().flat_map(|queue| queue.expire(now));
        late.map(|queued| queued.item.item).collect()
    }

    /// Dispatches waiting requests while upstreams are free. Requests for which `is_cancelled` returns true
    /// are dropped.
    pub fn dispatch_waiting(&mut self, now: Millis, is_cancelled: impl Fn(&T) -> bool) -> Vec<(T, Choice)> {
        let Dispatcher { pool, queues, .. } = self;
        let mut dispatched = vec![];
        for (model, queue) in queues.iter_mut() {
            while let Some((number, queued)) = queue.peek() {
                if is_cancelled(&queued.item.item) {
                    queue.remove(number);
                    continue;
                }
                let pick_request =
                    PickRequest { model, prefix: queued.item.prefix, avoid: &queued.item.avoid };
                let Pick::Take(choice) = pool.pick(&pick_request, now) else { break };
                if let Some(queued) = queue.depart(number, now) {
                    dispatched.push((queued.item.item, choice));
                }
            }
        }
        dispatched
    }
}
