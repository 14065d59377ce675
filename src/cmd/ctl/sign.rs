//! `tallypaddlectl bundle sign` and `bundle rollback`.

use super::{Error, platform, read_bundle, read_package, read_secret};
use crate::cmd::{read_file, read_settings, write_file};
use roll::Package;
use std::path::{Path, PathBuf};

/// The arguments of `bundle sign`.
#[derive(Clone, Debug)]
pub struct Sign {
    /// The bundle in YAML, or a signed package.
    pub file: PathBuf,
    /// The file with the secret key.
    pub key: PathBuf,
    /// The file for the signed package.
    pub out: PathBuf,
    /// A router's settings file.
    pub settings: PathBuf,
    /// The purpose of the change, for the log.
    pub note: String,
}

impl Sign {
    /// Signs the bundle as the successor of the accepted one, or adds a signature to a package.
    ///
    /// # Errors
    /// Fails if a file is invalid or a call to the platform fails.
    pub fn execute(&self) -> Result<(), Error> {
        let secret = read_secret(&self.key)?;
        let settings = read_settings(&self.settings)?;
        let mut package = if read_file(&self.file)?.trim_start().starts_with('{') {
            read_package(&self.file)?
        } else {
            let bundle = read_bundle(&self.file)?;
            let accepted = net::exec::block_on(roll::current(&platform(&settings)))?;
            let parent = accepted.map_or(0, |accepted| accepted.sequence);
            Package::new(&bundle, parent, None, &self.note)
        };
        package.signed.sign(&secret);
        write_package(&self.out, &package)
    }
}

/// The arguments of `bundle rollback`.
#[derive(Clone, Debug)]
pub struct Rollback {
    /// The sequence number of the bundle whose content is restored.
    pub sequence: u64,
    /// The file with the secret key.
    pub key: PathBuf,
    /// The file for the signed package.
    pub out: PathBuf,
    /// A router's settings file.
    pub settings: PathBuf,
}

impl Rollback {
    /// Signs the content of an earlier bundle as the successor of the accepted one.
    ///
    /// # Errors
    /// Fails if there is no such bundle, a file is invalid, or a call to the platform fails.
    pub fn execute(&self) -> Result<(), Error> {
        let secret = read_secret(&self.key)?;
        let settings = read_settings(&self.settings)?;
        let platform = platform(&settings);
        let (parent, content) = net::exec::block_on(async {
            let parent = roll::current(&platform).await?.map_or(0, |accepted| accepted.sequence);
            roll::load(&platform, self.sequence).await.map(|content| (parent, content))
        })?;
        let note = format!("rollback to {}", self.sequence);
        let mut package = Package::new(&content, parent, Some(self.sequence), &note);
        package.signed.sign(&secret);
        write_package(&self.out, &package)
    }
}

fn write_package(path: &Path, package: &Package) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(package).unwrap_or_default();
    write_file(path, &text)?;
    println!("{}: {} signatures", path.display(), package.signed.seals.len());
    Ok(())
}
