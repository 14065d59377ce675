//! Engines, callers and routers in virtual time, so that the decisions of [`route`] can be played on a load.
//!
//! The engine model follows what the users' pages say of their engines; nothing of it is known to the routers, which
//! run the same code as in the programs.

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
