//! The router that runs on every entry VM.
//!
//! [`Settings`] configure a router, and [`start`] runs it with adapters for the platform and the upstreams.
//! The crates `budget`, `route`, `bundle` and `peer` hold the decision logic; this crate connects it to the
//! network.
//!
//! ```no_run
//! # async fn example(text: &str) -> std::io::Result<()> {
//! let settings = router::Settings::read(text).expect("valid settings");
//! let running = router::start_with_http(settings).await?;
//! net::signal::terminated().await?;
//! running.stop().await;
//! # Ok(())
//! # }
//! ```

mod admin;
mod attempt;
mod claims;
mod clock;
mod forward;
mod front;
mod grants;
mod job;
mod keep;
mod leaving;
mod link;
mod membership;
mod metrics;
mod model_request;
mod node;
mod ports;
mod record;
mod refusal;
mod reserve;
mod schedule;
mod service;
mod settings;
mod shared_answer;
mod slot;
mod steer;
mod sync;

pub use clock::{Clock, Monotonic};
pub use node::{Addresses, Running, start};
pub use ports::Ports;
pub use settings::{Limits, Listen, Platform, Settings, Trust};

use std::time::Duration;

/// The HTTP adapters and the system clock.
#[derive(Debug)]
pub struct OnHttp;

impl Ports for OnHttp {
    type Clock = Monotonic;
    type Engine = upstream::Http;
    type Platform = store::Http;
}

/// Starts a router with the HTTP adapters and the system clock.
///
/// # Errors
/// Returns an error if an address can't be bound or the settings hold no valid fleet key.
pub async fn start_with_http(settings: Settings) -> std::io::Result<Running<OnHttp>> {
    let time = Duration::from_millis(settings.platform.timeout_ms);
    let platform = store::Http::new(net::Client::new(), settings.platform.address, time);
    let engine = upstream::Http::new(
        settings.name.clone(),
        Duration::from_millis(settings.limits.start_ms),
        Duration::from_millis(settings.limits.call_ms),
    );
    start(settings, platform, engine, Monotonic::default()).await
}
