//! `tallypaddlectl key new`.

use super::Error;
use bundle::Secret;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;

/// Only the owner may read a secret.
const SECRET_MODE: u32 = 0o600;

/// The arguments of `key new`.
#[derive(Clone, Debug)]
pub struct NewKey {
    /// The file for the secret.
    pub out: PathBuf,
}

impl NewKey {
    /// Makes a key.
    ///
    /// # Errors
    /// Fails if the file exists or can't be written.
    pub fn execute(&self) -> Result<(), Error> {
        let secret = Secret::generate();
        let failed = |source| Error::File { path: self.out.display().to_string(), source };
        let mut file = OpenOptions::new()
            .create_new(true)
            .mode(SECRET_MODE)
            .write(true)
            .open(&self.out)
            .map_err(failed)?;
        file.write_all(secret.to_hex().as_bytes()).map_err(failed)?;
        println!("{}", secret.public());
        Ok(())
    }
}
