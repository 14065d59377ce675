//! `tallypaddlectl key new`.

use super::Error;
use bundle::SecretKey;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;

/// The file mode of secret keys: only the owner may read them.
const SECRET_MODE: u32 = 0o600;

/// The arguments of `key new`.
#[derive(Clone, Debug)]
pub struct NewKey {
    /// The file for the secret key.
    pub out: PathBuf,
}

impl NewKey {
    /// Generates a key, writes the secret key to the file and prints the public key.
    ///
    /// # Errors
    /// Fails if the file exists or can't be written.
    pub fn execute(&self) -> Result<(), Error> {
        let secret = SecretKey::generate();
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
