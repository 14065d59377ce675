//! UsageNotes of use: whoever reads the row never assumes less use than the router was allowed.
//!
//! A router uses tokens within its limit and sends notes. A note may be answered, its answer may be lost, and a
//! note whose answer did not come may take effect later, also after the router died. The row may be read at any
//! moment.

use crate::search::{Model, assert_breaks, assert_holds};
use budget::exposure::{Schedule, UsageNotes};

/// The model's step of time, in milliseconds.
const TICK: u64 = 500;

/// A deliberate mistake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Flaw {
    None,
    /// A note whose answer was lost counts as not written.
    ForgetUnsure,
    /// UsageNotes are written without a condition.
    Unconditional,
    /// A note says that it is younger than it is.
    Postdated,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Flying {
    condition: u64,
    schedule: Schedule,
    at: u64,
    awaited: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    now: u64,
    used: u64,
    uses_left: u32,
    notes_left: u32,
    dead: bool,
    notes: UsageNotes,
    /// The row's version, as the router knows it.
    known: Option<u64>,
    version: u64,
    row: Option<(Schedule, u64)>,
    flying: Vec<Flying>,
    /// The answer to the awaited note, once it took effect or failed.
    answer: Option<bool>,
}

struct Protocol {
    flaw: Flaw,
    uses: u32,
    notes: u32,
    until: u64,
}

impl Protocol {
    fn alive(&self, state: &State, next: &mut Vec<State>) {
        if state.uses_left > 0 && state.used < state.notes.limit(state.now) {
            let mut used = state.clone();
            used.used += 1;
            used.uses_left -= 1;
            next.push(used);
        }
        if state.used > 0 {
            // A reservation ends with less than its worst case.
            next.push(State { used: state.used - 1, ..state.clone() });
        }
        let is_awaiting = state.answer.is_some() || state.flying.iter().any(|note| note.awaited);
        match state.known {
            Some(known) if !is_awaiting && state.notes_left > 0 => next.push(self.send(state, known)),
            None => next.push(State { known: Some(state.version), ..state.clone() }),
            _ => {}
        }
        if let Some(applied) = state.answer {
            let mut answered = state.clone();
            answered.notes.record_result(Some(applied));
            answered.answer = None;
            answered.known = Some(state.version);
            next.push(answered);
        }
        if is_awaiting {
            let mut lost = state.clone();
            lost.notes.record_result(if self.flaw == Flaw::ForgetUnsure { Some(false) } else { None });
            lost.answer = None;
            lost.known = None;
            lost.flying.iter_mut().for_each(|note| note.awaited = false);
            next.push(lost);
        }
        next.push(State { dead: true, ..state.clone() });
    }

    fn send(&self, state: &State, known: u64) -> State {
        let schedule = Schedule {
            used: state.used,
            charged: 0,
            allowance: 1,
            first_ms: 0,
            first_per_s: 0,
            early_ms: 0,
            per_s: 1,
            late_ms: TICK,
            late_per_s: 1,
            late_most: 1,
        };
        let at = if self.flaw == Flaw::Postdated { state.now + 2 * TICK } else { state.now };
        let mut sent = state.clone();
        sent.notes.record_sent(state.now, schedule);
        sent.notes_left -= 1;
        sent.flying.push(Flying { condition: known, schedule, at, awaited: true });
        sent
    }

    fn land(&self, state: &State, index: usize) -> State {
        let mut landed = state.clone();
        let note = landed.flying.remove(index);
        let applies = note.condition == state.version || self.flaw == Flaw::Unconditional;
        if applies {
            landed.version += 1;
            landed.row = Some((note.schedule, note.at));
        }
        if note.awaited {
            landed.answer = Some(applies);
        }
        landed
    }
}

impl Model for Protocol {
    type State = State;

    fn start(&self) -> State {
        State {
            now: 0,
            used: 0,
            uses_left: self.uses,
            notes_left: self.notes,
            dead: false,
            notes: UsageNotes::default(),
            known: Some(0),
            version: 0,
            row: None,
            flying: vec![],
            answer: None,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut next: Vec<State> = (0..state.flying.len()).map(|index| self.land(state, index)).collect();
        if state.now < self.until {
            next.push(State { now: state.now + TICK, ..state.clone() });
        }
        if !state.dead {
            self.alive(state, &mut next);
        }
        next
    }

    fn broken(&self, state: &State) -> Option<&'static str> {
        let (schedule, at) = state.row?;
        let assumed = schedule.limit(state.now.saturating_sub(at));
        (state.used > assumed).then_some("a reader assumes at least what was used")
    }
}

fn protocol(flaw: Flaw) -> Protocol {
    Protocol { flaw, uses: 4, notes: 3, until: 4 * TICK }
}

const INVARIANT: &str = "a reader assumes at least what was used";

#[test]
fn a_reader_of_notes_assumes_at_least_what_was_used() {
    let states = assert_holds(&protocol(Flaw::None));
    assert!(states > 10_000, "only {states} states were visited");
}

#[test]
fn forgetting_an_unanswered_note_is_caught() {
    assert_breaks(&protocol(Flaw::ForgetUnsure), INVARIANT);
}

#[test]
fn unconditional_notes_are_caught() {
    assert_breaks(&protocol(Flaw::Unconditional), INVARIANT);
}

#[test]
fn postdated_notes_are_caught() {
    assert_breaks(&protocol(Flaw::Postdated), INVARIANT);
}
