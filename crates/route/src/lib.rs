//! Which upstream a request goes to, and when: pure decisions on what this router knows.
//!
//! Time comes in as milliseconds of the caller's monotonic clock, so that tests and benches drive the same
//! code. [`Board`] chooses the upstream, [`Line`] orders the requests that wait, [`assign`] splits
//! the upstreams' slots between routers, and [`Budget`] bounds retries.
//!
//! ```
//! use route::{Ask, Board, Pick, Spec};
//!
//! let mut board = Board::new("regina-a");
//! board.set("engine-1", Spec { data_centre: "regina-a".into(), limit: 1, models: vec!["narrator".into()] });
//! let ask = Ask { model: "narrator", prefix: 7, avoid: &[] };
//! let Pick::Take(choice) = board.pick(&ask, 0) else { panic!("one is free") };
//! assert_eq!(choice.upstream, "engine-1");
//! assert!(matches!(board.pick(&ask, 1), Pick::Wait));
//! ```

mod board;
mod desk;
mod division;
mod engine;
mod health;
mod interference;
mod limit;
mod line;
pub mod notice;
mod overload;
mod pause;
pub mod place;
pub mod quarantine;
mod reads;
mod retry;
pub mod roster;
mod share;
mod signals;
mod teller;
pub mod warmup;
mod window;

pub use board::{Ask, Board, Choice, Pick, Reason, Report, Spec, View, home};
pub use desk::{Desk, Entered, Want};
pub use engine::Model;
pub use health::Standing;
pub use limit::LimitUpdate;
pub use line::{Admit, Line, Ticket};
pub use overload::{LoadSample, OverloadMonitor, ReadinessChange};
pub use pause::{Pause, Pauses};
pub use retry::Budget;
pub use share::{Owners, assign};
pub use signals::retry_after_ms;
pub use teller::Teller;
pub use window::{Count, Terms, Window};

/// A time in milliseconds of a monotonic clock.
pub type Millis = u64;
