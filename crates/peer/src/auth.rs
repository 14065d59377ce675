//! Mutual authentication by the fleet key at the start of each connection.
//!
//! Each side sends a random challenge and answers the other's with an HMAC. Several keys may be accepted at
//! once, so that keys can be rotated without an outage: add the new key on all routers, then move it to the
//! front, then remove the old one. The data after the handshake is not encrypted, since the network between
//! the VMs is the platform's private one.

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::fmt;
use std::io;

/// The length of a challenge in bytes.
const CHALLENGE_BYTES: usize = 16;
/// The length of a proof in bytes.
const PROOF_BYTES: usize = 32;
/// The minimum length of a key in bytes.
const MIN_KEY_BYTES: usize = 16;

/// A secret shared by the routers of a fleet.
#[derive(Clone)]
pub struct FleetKey(Vec<u8>);

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}

/// The error for a fleet key that is too short.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a fleet key has at least {MIN_KEY_BYTES} bytes, this one has {0}")]
pub struct KeyError(usize);

impl FleetKey {
    /// Creates a key from its text.
    ///
    /// # Errors
    /// Returns an error if the text is shorter than 16 bytes.
    pub fn new(text: &str) -> Result<FleetKey, KeyError> {
        if text.len() < MIN_KEY_BYTES {
            return Err(KeyError(text.len()));
        }
        Ok(FleetKey(text.as_bytes().to_vec()))
    }

    fn mac(&self, role: &[u8], parts: [&[u8]; 2]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(role);
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

fn challenge() -> [u8; CHALLENGE_BYTES] {
    let mut bytes = [0; CHALLENGE_BYTES];
    rand::thread_rng().fill_bytes(&mut bytes);
    bytes
}

fn refused() -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, "the peer does not know a fleet key")
}

/// Performs the handshake of the accepting side.
pub(crate) async fn accept(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    keys: &[FleetKey],
) -> io::Result<()> {
    let ours = challenge();
    stream.write_all(&ours).await?;
    let mut theirs = [0; CHALLENGE_BYTES];
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut theirs).await?;
    stream.read_exact(&mut proof).await?;
    let known = |key: &&FleetKey| key.mac(b"connect", [&ours, &theirs]).verify_slice(&proof).is_ok();
    let key = keys.iter().find(known).ok_or_else(refused)?;
    stream.write_all(&key.mac(b"accept", [&theirs, &ours]).finalize().into_bytes()).await
}

/// Performs the handshake of the connecting side.
pub(crate) async fn connect(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &FleetKey,
) -> io::Result<()> {
    let ours = challenge();
    let mut theirs = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut theirs).await?;
    stream.write_all(&ours).await?;
    stream.write_all(&key.mac(b"connect", [&theirs, &ours]).finalize().into_bytes()).await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    key.mac(b"accept", [&ours, &theirs]).verify_slice(&proof).map_err(|_| refused())
}
