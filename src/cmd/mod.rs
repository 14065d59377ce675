//! The subcommands. Each has a struct with its arguments, whose `execute` runs it.
//!
//! ```no_run
//! tallypaddle::cmd::Check { settings: "router.yaml".into(), gateway: false }.execute().unwrap();
//! ```

mod check;
pub mod ctl;
mod gateway;
mod serve;

pub use check::Check;
pub use gateway::Gateway;
pub use serve::Serve;

use router::Settings;
use std::path::Path;
use std::process::ExitCode;

/// The exit code for a failure that a later retry may resolve.
pub const EXIT_FAILED: u8 = 1;
/// The exit code for an invalid file or command line.
pub const EXIT_INVALID: u8 = 2;
/// The exit code for a bundle that conflicts with one accepted after it was signed.
pub const EXIT_CONFLICT: u8 = 3;
/// The exit code for an unknown outcome.
pub const EXIT_UNKNOWN: u8 = 4;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A file or argument is invalid. The message has a line for each error.
    #[error("{0}")]
    Invalid(String),
    /// The router or gateway could not be run.
    #[error("{step}: {source}")]
    Run {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// A bundle was not accepted.
    #[error("{0}")]
    Roll(#[from] roll::Error),
    /// A call to the platform failed.
    #[error("{0}")]
    Platform(#[from] store::Error),
}

impl Error {
    /// The exit code, from which scripts determine how to proceed.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Error::File { .. } | Error::Invalid(_) => EXIT_INVALID,
            Error::Roll(roll::Error::Conflict { .. }) => EXIT_CONFLICT,
            Error::Roll(roll::Error::Unknown(_)) => EXIT_UNKNOWN,
            Error::Roll(roll::Error::Bundle(_) | roll::Error::Refused(_)) => EXIT_INVALID,
            Error::Run { .. } | Error::Roll(_) | Error::Platform(_) => EXIT_FAILED,
        };
        ExitCode::from(code)
    }
}

/// Prints the error, if any, and returns the exit code.
pub fn finish(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}

fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.display().to_string(), source })
}

fn write_file(path: &Path, text: &str) -> Result<(), Error> {
    std::fs::write(path, text).map_err(|source| Error::File { path: path.display().to_string(), source })
}

fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text = read_file(path)?;
    Settings::read(&text).map_err(|errors| invalid_file(path, &errors))
}

fn read_gateway_settings(path: &Path) -> Result<::gateway::Settings, Error> {
    let text = read_file(path)?;
    ::gateway::Settings::read(&text).map_err(|errors| invalid_file(path, &errors))
}

fn invalid_file(path: &Path, errors: &[bundle::ConfigError]) -> Error {
    let lines = errors.iter().map(|error| format!("{}: {error}", path.display()));
    Error::Invalid(lines.collect::<Vec<_>>().join("\n"))
}
