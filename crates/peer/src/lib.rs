//! The protocol between routers: heartbeats, loans of tokens and slots, parts of bundles, and hints on
//! requests and upstreams.
//!
//! [`FleetView`] tracks which routers are alive and selects those to send heartbeats to. Each router
//! implements [`Handler`] and serves it with [`listen`]; [`Peers`] calls it at other routers. Both ends of a
//! connection prove that they know a fleet key before the first message.
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
