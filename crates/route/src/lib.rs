//! Decides which upstream a request goes to, and when. The decisions perform no I/O and depend only on what
//! this router knows.
//!
//! Times are passed in as milliseconds of the caller's monotonic clock, so that tests and benchmarks run the
//! same code. [`Pool`] chooses the upstream, [`FairQueue`] orders the waiting requests, [`assign_slots`]
//! divides the upstreams' slots between routers, and [`RetryBudget`] limits retries.
//!
//! ```
//! use route::{Pick, PickRequest, Pool, UpstreamSpec};
//!
//! let mut pool = Pool::new("regina-a");
//! let spec = UpstreamSpec { data_centre: "regina-a".into(), limit: 1, models: vec!["narrator".into()] };
//! pool.set("engine-1", spec);
//! let request = PickRequest { model: "narrator", prefix: 7, avoid: &[] };
//! let Pick::Take(choice) = pool.pick(&request, 0) else { panic!("one is free") };
//! assert_eq!(choice.upstream, "engine-1");
//! assert!(matches!(pool.pick(&request, 1), Pick::Wait));
//! ```

pub mod answer;
mod assignment;
pub mod barrier;
mod brittle;
mod connections;
mod dispatcher;
mod division;
pub mod drain;
mod engine;
mod health;
mod hint_filter;
mod interference;
mod limit;
pub mod notice;
pub mod origin;
pub mod origin_log;
pub mod overload;
pub mod pacing;
mod pauses;
pub mod placement;
pub mod poison;
mod pool;
pub mod quarantine;
mod queue;
pub mod reach;
mod read_queue;
mod reading;
mod repeat_window;
mod retry_budget;
pub mod returns;
pub mod roster;
mod signals;
pub mod silence;
pub mod version;
pub mod warmup;

pub use assignment::{Owners, assign_slots};
pub use connections::{equal_share, kept};
pub use dispatcher::{Dispatcher, SubmitOutcome, SubmitRequest};
pub use engine::Model;
pub use health::HealthStatus;
pub use hint_filter::HintFilter;
pub use limit::LimitUpdate;
pub use overload::{LoadSample, OverloadMonitor, ReadinessChange};
pub use pauses::{PauseKind, PauseTracker};
pub use pool::{
    Choice, LoadReport, Pick, PickRequest, Pool, Reason, UpstreamSpec, UpstreamStatus, home_upstream,
};
pub use queue::{FairQueue, PushOutcome, QueuedRequest};
pub use reading::ReadTracker;
pub use repeat_window::{Confirmation, RepeatBound, RepeatCount, RepeatWindow};
pub use retry_budget::RetryBudget;
pub use signals::retry_after_ms;

/// A time in milliseconds of a monotonic clock.
pub type Millis = u64;
