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

pub use engine::{Counts, Engine, Happened, Job, Part, Spec};
pub use load::{Kind, Request, Shared, Size};
pub use outcome::{Deadly, Outcome, Share, Signals};
pub use restart::{Bound, Received, Return, play_return};
pub use scenarios::{plains, reports, storms};
pub use simulation::{Fault, Scene, play};
