//! The ports of a router, named together so that code which needs them all says so in one word.
//!
//! ```
//! #[derive(Debug)]
//! struct OnHttp;
//!
//! impl router::Ports for OnHttp {
//!     type Clock = router::Monotonic;
//!     type Engine = upstream::Http;
//!     type Platform = store::Http;
//! }
//! ```

use crate::clock::Clock;
use std::fmt::Debug;
use store::Platform;
use upstream::Engine;

/// A choice of adapters.
pub trait Ports: Debug + 'static {
    /// The clock.
    type Clock: Clock;
    /// The upstreams.
    type Engine: Engine;
    /// The platform's services.
    type Platform: Platform;
}
