//! Usage notes: a reader of the row never assumes that less was used than the router has used.
//!
//! A router uses tokens within its limit and sends notes. A note may be answered, or its answer may be lost;
//! a note without an answer may take effect later, even after the router crashed. The row may be read at any
//! time.

use crate::search::{Model, assert_holds, assert_violates};
use budget::exposure::{Schedule, UsageNotes};

/// The time step of the model, in milliseconds.
const STEP_MS: u64 = 500;

/// A bug injected into the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Bug {
    None,
    /// A note whose answer was lost is assumed not to be written.
    UnconfirmedDropped,
    /// Notes are written without a condition on the row's version.
    Unconditional,
    /// A note claims to have been sent later than it was.
    Postdated,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct NoteInFlight {
    expected_version: u64,
    schedule: Schedule,
    at: u64,
    answer_expected: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    now: u64,
    used: u64,
    uses_left: u32,
    notes_left: u32,
    dead: bool,
    notes: UsageNotes,
    /// The version of the row, as far as the router knows it.
    known_version: Option<u64>,
    version: u64,
    row: Option<(Schedule, u64)>,
    in_flight: Vec<NoteInFlight>,
    /// The pending answer to the last note: whether it took effect.
    answer: Option<bool>,
}

struct NotesModel {
    bug: Bug,
    uses: u32,
    notes: u32,
    until: u64,
}

impl NotesModel {
    fn router_steps(&self, state: &State, next: &mut Vec<State>) {
        if state.uses_left > 0 && state.used < state.notes.limit(state.now) {
            let mut used = state.clone();
            used.used += 1;
            used.uses_left -= 1;
            next.push(used);
        }
        if state.used > 0 {
            // A request ends and has used less than its reservation.
            next.push(State { used: state.used - 1, ..state.clone() });
        }
        let is_answer_expected =
            state.answer.is_some() || state.in_flight.iter().any(|note| note.answer_expected);
        match state.known_version {
            Some(known_version) if !is_answer_expected && state.notes_left > 0 => {
                next.push(self.send(state, known_version))
            }
            None => next.push(State { known_version: Some(state.version), ..state.clone() }),
            _ => {}
        }
        if let Some(applied) = state.answer {
            let mut answered = state.clone();
            answered.notes.record_result(Some(applied));
            answered.answer = None;
            answered.known_version = Some(state.version);
            next.push(answered);
        }
        if is_answer_expected {
            let mut lost = state.clone();
            lost.notes.record_result(if self.bug == Bug::UnconfirmedDropped { Some(false) } else { None });
            lost.answer = None;
            lost.known_version = None;
            lost.in_flight.iter_mut().for_each(|note| note.answer_expected = false);
            next.push(lost);
        }
        next.push(State { dead: true, ..state.clone() });
    }

    fn send(&self, state: &State, known_version: u64) -> State {
        let schedule = Schedule {
            used: state.used,
            charged: 0,
            allowance: 1,
            first_ms: 0,
            first_per_s: 0,
            early_ms: 0,
            per_s: 1,
            late_ms: STEP_MS,
            late_per_s: 1,
            late_most: 1,
        };
        let at = if self.bug == Bug::Postdated { state.now + 2 * STEP_MS } else { state.now };
        let mut sent = state.clone();
        sent.notes.record_sent(state.now, schedule);
        sent.notes_left -= 1;
        sent.in_flight.push(NoteInFlight {
            expected_version: known_version,
            schedule,
            at,
            answer_expected: true,
        });
        sent
    }

    fn deliver(&self, state: &State, index: usize) -> State {
        let mut delivered = state.clone();
        let note = delivered.in_flight.remove(index);
        let applies = note.expected_version == state.version || self.bug == Bug::Unconditional;
        if applies {
            delivered.version += 1;
            delivered.row = Some((note.schedule, note.at));
        }
        if note.answer_expected {
            delivered.answer = Some(applies);
        }
        delivered
    }
}

impl Model for NotesModel {
    type State = State;

    fn start(&self) -> State {
        State {
            now: 0,
            used: 0,
            uses_left: self.uses,
            notes_left: self.notes,
            dead: false,
            notes: UsageNotes::default(),
            known_version: Some(0),
            version: 0,
            row: None,
            in_flight: vec![],
            answer: None,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut next: Vec<State> =
            (0..state.in_flight.len()).map(|index| self.deliver(state, index)).collect();
        if state.now < self.until {
            next.push(State { now: state.now + STEP_MS, ..state.clone() });
        }
        if !state.dead {
            self.router_steps(state, &mut next);
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let (schedule, at) = state.row?;
        let assumed = schedule.limit(state.now.saturating_sub(at));
        (state.used > assumed).then_some("readers assume at least the actual use")
    }
}

fn model(bug: Bug) -> NotesModel {
    NotesModel { bug, uses: 4, notes: 3, until: 4 * STEP_MS }
}

const INVARIANT: &str = "readers assume at least the actual use";

#[test]
fn readers_of_a_note_assume_at_least_the_actual_use() {
    let states = assert_holds(&model(Bug::None));
    assert!(states > 10_000, "only {states} states were visited");
}

#[test]
fn dropping_an_unconfirmed_note_is_detected() {
    assert_violates(&model(Bug::UnconfirmedDropped), INVARIANT);
}

#[test]
fn unconditional_notes_are_detected() {
    assert_violates(&model(Bug::Unconditional), INVARIANT);
}

#[test]
fn postdated_notes_are_detected() {
    assert_violates(&model(Bug::Postdated), INVARIANT);
}
