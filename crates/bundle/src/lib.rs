//! The versioned configuration bundle of the fleet.
//!
//! Operators write a bundle in YAML; [`read`] checks it and reports all errors with their lines. It is split
//! into [`Section`]s that are addressed by the hash of their content, and listed in a signed [`Manifest`].
//! Routers fetch only the sections that changed.
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
    Error, Manifest, ManifestSignature, SecretKey, Section, SignedManifest, digest, is_named_by_manifest,
    join, split, team_digests, verify,
};
pub use yaml::ConfigError;
