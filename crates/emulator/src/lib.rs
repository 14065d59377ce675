//! Engines, callers and routers in virtual time, so that the decisions of [`route`] can be played on a load.
//!
//! The engine model follows what the users' pages say of their engines; nothing of it is known to the routers, which
//! run the same code as in the programs.

mod deadly;
mod engine;
mod load;
mod outcome;
mod scenes;
mod warming;
mod world;

pub use engine::{Counts, Engine, Happened, Job, Part, Spec};
pub use load::{Kind, Request, Shared, Size};
pub use outcome::{Deadly, Outcome, Share, Signals};
pub use scenes::{plains, reports, storms};
pub use warming::{Bound, Received, Return, play_return};
pub use world::{Fault, Scene, play};
