//! What routers say to each other: heartbeats, loans of tokens, bundle sections, hints on requests.
//!
//! [`View`] decides who is alive and whom to send heartbeats to; [`Handler`] is what every router
//! offers; [`Peers`] calls it at others and [`listen`] offers it. Both ends prove that they know a fleet
//! key before the first message.
//!
//! ```
//! let mut view = peer::View::new("vm-1");
//! view.list(&[peer::Member::new("vm-2", "127.0.0.1:7002".parse().unwrap())], 0);
//! assert_eq!(view.targets(6), ["vm-2"]);
//! ```

mod auth;
mod link;
mod transport;
mod view;

pub use auth::{FleetKey, KeyError};
pub use link::{Beat, Borrow, Handler, Lent, LinkClient, SlotAsk, Standing, Whereabouts};
pub use tarpc::context::Context;
pub use transport::{Error, Peers, listen};
pub use view::{Member, State, View};
