//! Networking and async runtime: the executor, HTTP clients and servers, a connection pool and a clock.
//!
//! ```
//! net::exec::start(2);
//! let answer = net::exec::block_on(async { net::exec::spawn(async { 6 * 7 }).await });
//! assert_eq!(answer, 42);
//! ```

mod body;
mod client;
mod clock;
mod closing;
mod dial;
pub mod exec;
mod frame;
mod framing;
mod identifiers;
mod metered;
mod pool;
mod probe;
mod resumption;
mod server;
pub mod signal;
mod tunnel;
mod watched;

pub use body::{Body, Pipe, collect, pipe, sized_pipe};
pub use client::{Answer, Client, Error, Fault};
pub use clock::Clock;
pub use closing::{Closing, End};
pub use dial::{Dial, Direct, Transport, Way, connect};
pub use framing::Framing;
pub use identifiers::Identifiers;
pub use metered::Received;
pub use pool::{Cause, Destination, Failure, Lease, Loan, Path, Pool};
pub use probe::{ProbeResult, ask, probe, probe_after_break};
pub use server::{Handle, Limits, UnreadRequest, serve};
pub use tunnel::{Tunnel, TunnelError, accept_tunnel, open_tunnel, tunnel_target};
