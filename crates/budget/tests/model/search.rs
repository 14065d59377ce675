//! Exhaustive breadth-first search with a shortest counterexample.

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;
use std::sync::{Mutex, PoisonError};

/// A protocol as states and steps between them.
pub trait Model {
    /// One state of everything.
    type State: Clone + Debug + Eq + Hash;

    /// The state at the beginning.
    fn start(&self) -> Self::State;

    /// Every state that can come next.
    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// The name of an invariant that the state breaks.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
}

/// What a search found.
#[derive(Debug)]
pub struct Found<S> {
    /// States visited.
    pub states: usize,
    /// The broken invariant and the shortest way to it.
    pub counterexample: Option<(&'static str, Vec<S>)>,
}

/// One search at a time, so that the states of one only are in memory.
static TURN: Mutex<()> = Mutex::new(());

/// Visits every reachable state until one breaks an invariant.
pub fn search<M: Model>(model: &M) -> Found<M::State> {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let states = Cell::new(0);
    let path = bfs(
        &model.start(),
        |state| {
            states.set(states.get() + 1);
            model.next(state)
        },
        |state| model.broken(state).is_some(),
    );
    let counterexample = path.and_then(|path| {
        let broken = path.last().and_then(|state| model.broken(state))?;
        Some((broken, path))
    });
    Found { states: states.get(), counterexample }
}

/// Asserts that no reachable state breaks an invariant; returns how many there are.
pub fn assert_holds<M: Model>(model: &M) -> usize {
    let found = search(model);
    if let Some((broken, path)) = found.counterexample {
        let steps: Vec<String> = path.iter().map(|state| format!("{state:?}")).collect();
        panic!("{broken} is broken after {} steps:\n{}", path.len() - 1, steps.join("\n"));
    }
    found.states
}

/// Asserts that some reachable state breaks `invariant`: the check can fail.
pub fn assert_breaks<M: Model>(model: &M, invariant: &str) {
    let found = search(model);
    let broken = found.counterexample.map(|(broken, path)| (broken, path.len() - 1));
    assert_eq!(broken.map(|(broken, _)| broken), Some(invariant), "after {} states", found.states);
}
