//! Stand-ins for the servers that tallypaddle talks to: the platform, model engines and plain services, and a
//! fault-injecting TCP proxy. They record what they execute, so that a test can audit it.
//!
//! ```
//! net::exec::start(1);
//! net::exec::block_on(async {
//!     let platform = standin::Platform::start().await.unwrap();
//!     assert_eq!(platform.counts().writes, 0);
//! });
//! ```

mod address;
mod engine;
mod platform;
mod proxy;
mod raw;
mod rows;
mod service;
mod text;

pub use address::loopback;
pub use engine::{Engine, EngineConfig, EngineRecord, Fault};
pub use platform::{Counts, Mode, Platform, Rates};
pub use proxy::{Link, Proxy, Rule};
pub use raw::{Endless, serve_raw};
pub use rows::{RowsFault, TableRows};
pub use service::Service;
pub use text::{answer, prompt_tokens, token};
