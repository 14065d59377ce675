//! The subcommands of `tallypaddlectl`.

mod check;
mod diff;
mod explain;
mod key;
mod log;
mod quarantine;
mod roll;
mod sign;
mod status;

pub use check::Check;
pub use diff::Diff;
pub use explain::Explain;
pub use key::NewKey;
pub use log::Log;
pub use quarantine::{LiftDenials, ListDenials};
pub use roll::Roll;
pub use sign::{Rollback, Sign};
pub use status::Status;

use super::{Error, invalid_file, read_file};
use ::roll::Package;
use bundle::{Bundle, SecretKey};
use router::Settings;
use std::path::Path;
use std::time::Duration;

/// Creates a client of the platform that the settings name.
fn platform(settings: &Settings) -> store::Http {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    store::Http::new(net::Client::new(), settings.platform.address, timeout)
}

fn read_bundle(path: &Path) -> Result<Bundle, Error> {
    bundle::read(&read_file(path)?).map_err(|errors| invalid_file(path, &errors))
}

fn read_secret(path: &Path) -> Result<SecretKey, Error> {
    SecretKey::from_hex(&read_file(path)?)
        .map_err(|error| Error::Invalid(format!("{}: {error}", path.display())))
}

fn read_package(path: &Path) -> Result<Package, Error> {
    serde_json::from_str(&read_file(path)?)
        .map_err(|error| Error::Invalid(format!("{}: not a signed package: {error}", path.display())))
}
