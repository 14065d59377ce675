//! Discrete-event simulation of engines, callers and routers, to evaluate the decisions of [`route`] under
//! load.
//!
//! The engine model follows the descriptions of the engines on the users' pages. The routers know nothing of
//! it; they run the same decision code as the programs.

mod engine;
mod harmful;
mod load;
mod outcome;
mod restart;
mod scenarios;
mod simulation;

pub use engine::{Engine, EngineCounters, EngineSpec, Job, Part, StepEvent};
pub use load::{Request, RequestKind, SharedParts, SizeDistribution};
pub use outcome::{HarmfulOutcome, KindOutcome, Outcome, SignalOutcome};
pub use restart::{LimitMethod, RestartOutcome, RestartScenario, simulate_restart};
pub use scenarios::{large_fleet, narratives_and_summaries, reports_and_captions};
pub use simulation::{Fault, Scenario, simulate};
