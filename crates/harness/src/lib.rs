//! A fleet on loopback for the demo, the tests and the benches: real router processes, stand-ins for the
//! servers that they talk to, and fault-injecting proxies on the connections that a test may break.
//!
//! ```no_run
//! # net::exec::start(2);
//! # net::exec::block_on(async {
//! let plan = harness::Plan::small();
//! let fleet = harness::Fleet::start("target/debug/tallypaddle".as_ref(), plan).await;
//! let answer = fleet.caller(0).chat("narrator", "hail?", 8).await;
//! assert_eq!(answer.status, 200);
//! # });
//! ```

mod audit;
mod caller;
mod fleet;
mod plan;
mod process;

pub use audit::{Audit, audit};
pub use caller::{Answer, Caller, ChatRequest};
pub use fleet::{Fleet, Node};
pub use plan::{Plan, TEAMS, TeamPlan};
pub use process::Process;
