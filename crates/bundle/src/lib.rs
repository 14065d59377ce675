//! The versioned bundle by which operators steer the fleet.
//!
//! A bundle is written in YAML ([`read`] checks it and reports every error with its line), split into
//! [`Section`]s that are named by the hash of their content, and signed as a [`Manifest`]. Routers fetch
//! only the sections that changed.
//!
//! ```
//! let text = "teams: {}\nupstreams: {}\nmodels: {}\n";
//! assert!(bundle::read(text).is_ok());
//! let errors = bundle::read("teams: {}\nmodels:\n  narrator: {context: no}\n").unwrap_err();
//! assert_eq!(errors[0].line, 3);
//! ```

mod check;
mod diff;
mod model;
mod sign;

pub use check::read;
pub use diff::{Change, diff};
pub use model::{Budget, Bundle, Key, Limits, Model, Route, Service, Team, Upstream, Weighing, hash_key};
pub use sign::{
    Error, Manifest, Seal, Secret, Section, Signed, digest, is_named_by_manifest, join, split, team_digests,
    verify,
};
pub use yaml::Mistake;
