//! The board and the lines together: who is sent where, and who waits.
//!
//! ```
//! use route::{Desk, Entered, Spec, Want};
//!
//! let mut desk = Desk::new("regina-a");
//! desk.set_most(8);
//! let spec = Spec { data_centre: "regina-a".into(), limit: 1, models: vec!["narrator".into()] };
//! desk.board.set("engine-1", spec);
//! let want = Want { model: "narrator", prefix: 7, avoid: &[], team: "desk", weight: 1, priority: 5, deadline: 900 };
//! assert!(matches!(desk.enter(&want, "first", 0).0, Entered::Chosen(_)));
//! assert!(matches!(desk.enter(&want, "second", 1).0, Entered::Waiting(_)));
//! desk.board.end("engine-1");
//! let sent = desk.advance(2, |_| false);
//! assert_eq!(sent[0].0, "second");
//! ```

use crate::Millis;
use crate::board::{Ask, Board, Choice, Pick};
use crate::line::{Admit, Line, Ticket};
use std::collections::BTreeMap;

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The model.
    pub model: &'a str,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
    /// Upstreams that failed this request.
    pub avoid: &'a [String],
    /// The team.
    pub team: &'a str,
    /// The team's weight.
    pub weight: u32,
    /// Lower is more urgent.
    pub priority: u8,
    /// When it must have been sent.
    pub deadline: Millis,
}

/// What becomes of a request that enters.
#[derive(Clone, Debug, PartialEq)]
pub enum Entered {
    /// It is sent there now.
    Chosen(Choice),
    /// It waits under this number.
    Waiting(u64),
    /// Too many wait; come back after so many milliseconds.
    Full(Millis),
    /// It could not be sent before its deadline; come back after so many milliseconds.
    Late(Millis),
    /// No upstream serves its model.
    Nowhere,
}

#[derive(Clone, Debug)]
struct Waiter<T> {
    item: T,
    prefix: u64,
    avoid: Vec<String>,
}

/// The upstreams and the requests that wait for them.
#[derive(Clone, Debug)]
pub struct Desk<T> {
    /// The upstreams.
    pub board: Board,
    lines: BTreeMap<String, Line<Waiter<T>>>,
    most: usize,
}

impl<T> Desk<T> {
    /// A desk of a router in `data_centre`.
    pub fn new(data_centre: &str) -> Desk<T> {
        Desk { board: Board::new(data_centre), lines: BTreeMap::new(), most: 0 }
    }

    /// Sets how many requests of one model may wait.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
        self.lines.values_mut().for_each(|line| line.set_most(most));
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.lines.values().map(Line::len).sum()
    }

    /// Sends a request off, lets it wait or turns it away. The second value is a less urgent request that
    /// lost its place to it.
    pub fn enter(&mut self, want: &Want<'_>, item: T, now: Millis) -> (Entered, Option<T>) {
        let Desk { board, lines, most } = self;
        let line = lines.entry(want.model.to_owned()).or_insert_with(|| Line::new(*most));
        let is_first = line.first().is_none_or(|(_, first)| first.priority > want.priority);
        let ask = Ask { model: want.model, prefix: want.prefix, avoid: want.avoid };
        if is_first {
            match board.pick(&ask, now) {
                Pick::Take(choice) => return (Entered::Chosen(choice), None),
                Pick::Nowhere => return (Entered::Nowhere, None),
                Pick::Wait => {}
            }
        }
        let ticket = Ticket {
            item: Waiter { item, prefix: want.prefix, avoid: want.avoid.to_vec() },
            team: want.team.to_owned(),
            priority: want.priority,
            deadline: want.deadline,
        };
        match line.push(ticket, want.weight, now) {
            (Admit::Waiting, number) => {
                (Entered::Waiting(number), line.overflow().map(|ticket| ticket.item.item))
            }
            (Admit::Full(millis), _) => (Entered::Full(millis), None),
            (Admit::Late(millis), _) => (Entered::Late(millis), None),
        }
    }

    /// Lends a slot to a peer's request, unless a request here that is as urgent waits for one: of the
    /// upstream `at`, or of any.
    pub fn lend(&mut self, want: &Want<'_>, at: Option<&str>, now: Millis) -> Option<String> {
        let line = self.lines.get(want.model);
        let awaited = line.and_then(Line::first).is_some_and(|(_, first)| first.priority <= want.priority);
        if awaited {
            return None;
        }
        let ask = Ask { model: want.model, prefix: want.prefix, avoid: want.avoid };
        match at {
            Some(at) => self.board.take_at(at, &ask, now).then(|| at.to_owned()),
            None => match self.board.pick(&ask, now) {
                Pick::Take(choice) => Some(choice.upstream),
                Pick::Wait | Pick::Nowhere => None,
            },
        }
    }

    /// Takes out a request that got a slot of another router: the line moves on as if it had left here.
    pub fn served(&mut self, model: &str, number: u64, now: Millis) {
        if let Some(line) = self.lines.get_mut(model) {
            line.depart(number, now);
        }
    }

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<T> {
        let late = self.lines.values_mut().flat_map(|line| line.expire(now));
        late.map(|ticket| ticket.item.item).collect()
    }

    /// Sends waiting requests off while upstreams are free; those that are `gone` are dropped.
    pub fn advance(&mut self, now: Millis, gone: impl Fn(&T) -> bool) -> Vec<(T, Choice)> {
        let Desk { board, lines, .. } = self;
        let mut sent = vec![];
        for (model, line) in lines.iter_mut() {
            while let Some((number, ticket)) = line.first() {
                if gone(&ticket.item.item) {
                    line.remove(number);
                    continue;
                }
                let ask = Ask { model, prefix: ticket.item.prefix, avoid: &ticket.item.avoid };
                let Pick::Take(choice) = board.pick(&ask, now) else { break };
                if let Some(ticket) = line.depart(number, now) {
                    sent.push((ticket.item.item, choice));
                }
            }
        }
        sent
    }
}
