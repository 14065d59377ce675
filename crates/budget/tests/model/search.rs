//! Exhaustive breadth-first search that finds a shortest counterexample.

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;
use std::sync::{Mutex, PoisonError};

/// A protocol, as a set of states and the transitions between them.
pub trait Model {
    /// A state of the whole system.
    type State: Clone + Debug + Eq + Hash;

    /// The initial state.
    fn start(&self) -> Self::State;

    /// All possible successors of a state.
    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// The name of an invariant that the state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// The result of a search.
#[derive(Debug)]
pub struct SearchResult<S> {
    /// The number of states visited.
    pub states: usize,
    /// The violated invariant and a shortest path to its violation.
    pub counterexample: Option<(&'static str, Vec<S>)>,
}

/// Serialises the searches, so that only one of them has its states in memory.
static SEARCH_LOCK: Mutex<()> = Mutex::new(());

/// Visits all reachable states, or stops at the first that violates an invariant.
pub fn search<M: Model>(model: &M) -> SearchResult<M::State> {
    let _guard = SEARCH_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let states = Cell::new(0);
    let path = bfs(
        &model.start(),
        |state| {
            states.set(states.get() + 1);
            model.next(state)
        },
        |state| model.violation(state).is_some(),
    );
    let counterexample = path.and_then(|path| {
        let invariant = path.last().and_then(|state| model.violation(state))?;
        Some((invariant, path))
    });
    SearchResult { states: states.get(), counterexample }
}

/// Asserts that no reachable state violates an invariant. Returns the number of reachable states.
pub fn assert_holds<M: Model>(model: &M) -> usize {
    let found = search(model);
    if let Some((invariant, path)) = found.counterexample {
        let steps: Vec<String> = path.iter().map(|state| format!("{state:?}")).collect();
        panic!("{invariant} is violated after {} steps:\n{}", path.len() - 1, steps.join("\n"));
    }
    found.states
}

/// Asserts that the search finds a violation of `invariant`.
pub fn assert_violates<M: Model>(model: &M, invariant: &str) {
    let found = search(model);
    let violation = found.counterexample.map(|(violated, path)| (violated, path.len() - 1));
    assert_eq!(violation.map(|(violated, _)| violated), Some(invariant), "after {} states", found.states);
}
