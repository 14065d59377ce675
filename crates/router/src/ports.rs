//! The set of a router's ports as one trait, so that generic code needs a single type parameter.
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

/// A set of adapters for the router's ports.
pub trait Ports: Debug + 'static {
    /// The adapter for the clock.
    type Clock: Clock;
    /// The adapter for the upstreams.
    type Engine: Engine;
    /// The adapter for the platform's services.
    type Platform: Platform;
}
