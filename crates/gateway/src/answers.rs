//! Reads whole answers of upstreams, in bounded memory.
//!
//! An answer is held until its caller has read it. All answers together take a part of the VM's memory; while that is used
//! up, the answers fail that grow further, and small ones are read all the same.

use crate::receive::ByteBudget;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use net::Received;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;

/// The largest answer that is not a stream, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// The size up to which an answer is read even if the memory for answers is used up, in bytes.
const SMALL_ANSWER: usize = 16 << 10;
/// The part of the VM's memory that all answers may take.
const MEMORY_SHARE: f64 = 0.2;

/// The memory that the answers of upstreams may take.
#[derive(Debug)]
pub(crate) struct Budget {
    limit: usize,
    used: Arc<AtomicUsize>,
    /// The memory of answers and of the bodies of running requests.
    held: Arc<AtomicUsize>,
}

/// Why an answer was not read to its end.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// It is too large.
    #[error("it has more than {MAX_ANSWER} bytes")]
    TooLarge,
    /// The memory for answers is used up.
    #[error("the memory for answers is used up")]
    Crowded,
    /// The connection broke.
    #[error("{0}")]
    Broken(hyper::Error),
}

impl Budget {
    /// Creates the budget of a VM; without its memory, there is no bound. Answers leave less room for the bodies of
    /// requests.
    pub(crate) fn new(memory_bytes: Option<f64>, bodies: &ByteBudget) -> Budget {
        let limit = memory_bytes.map_or(usize::MAX, |bytes| (bytes * MEMORY_SHARE) as usize);
        Budget { limit, used: Arc::default(), held: bodies.held().clone() }
    }

    /// Reads an answer.
    ///
    /// # Errors
    /// Fails if the answer is too large or breaks off, or if there is no memory left for it.
    pub(crate) async fn collect(&self, mut body: Received) -> Result<Bytes, Failure> {
        let mut buffer = Buffer { bytes: vec![], used: self.used.clone(), held: self.held.clone() };
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            if let Ok(piece) = frame.map_err(Failure::Broken)?.into_data() {
                buffer.push(&piece, self.limit)?;
            }
        }
        Ok(Bytes::from_owner(buffer))
    }
}

/// The bytes of an answer, which count until they are dropped.
#[derive(Debug)]
struct Buffer {
    bytes: Vec<u8>,
    used: Arc<AtomicUsize>,
    held: Arc<AtomicUsize>,
}

impl Buffer {
    fn push(&mut self, piece: &[u8], limit: usize) -> Result<(), Failure> {
        let (before, length) = (self.bytes.capacity(), self.bytes.len() + piece.len());
        if length > MAX_ANSWER {
            return Err(Failure::TooLarge);
        }
        if length > before {
            let capacity = length.max(2 * before).min(MAX_ANSWER);
            let used = self.used.load(Ordering::Relaxed).saturating_add(capacity);
            if capacity > SMALL_ANSWER && used > limit {
                return Err(Failure::Crowded);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
            self.count(self.bytes.capacity() - before);
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    fn count(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let bytes = self.bytes.capacity();
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}
