//! What routers say to each other: heartbeats, loans of tokens, bundle sections, hints on requests.
//!
//! [`FleetView`] decides who is alive and whom to send heartbeats to; [`Handler`] is what every router
//! offers; [`Peers`] calls it at others and [`listen`] offers it. Both ends prove that they know a fleet
//! key before the first message.
//!
//! ```
//! let mut view = peer::FleetView::new("vm-1");
//! view.update_listed(&[peer::Member::new("vm-2", "127.0.0.1:7002".parse().unwrap())], 0);
//! assert_eq!(view.heartbeat_targets(6), ["vm-2"]);
//! ```

mod auth;
mod link;
mod transport;
mod view;

pub use auth::{FleetKey, KeyError};
pub use link::{
    BorrowReply, BorrowRequest, BundleStatus, Handler, Heartbeat, LinkClient, RunLocation, SlotRequest,
};
pub use tarpc::context::Context;
pub use transport::{Error, Peers, listen};
pub use view::{FleetView, Member, MemberState};
