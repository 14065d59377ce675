//! The identifiers by which answers name their requests.

use smallvec::SmallVec;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// The most requests that one connection carries. Each of them is remembered.
const MAX_REQUESTS: usize = 1_024;

/// The identifiers of a request, usually one.
#[derive(Clone, Debug)]
pub struct Identifiers(SmallVec<[u64; 1]>);

impl Identifiers {
    /// The identifiers of a request. Requests that have none can't be told apart, so they share an empty one.
    pub fn new<'a>(identifiers: impl IntoIterator<Item = &'a [u8]>) -> Identifiers {
        let mut hashes: SmallVec<[u64; 1]> = identifiers.into_iter().map(xxh3_64).collect();
        if hashes.is_empty() {
            hashes.push(xxh3_64(&[]));
        }
        Identifiers(hashes)
    }
}

/// The identifiers of all requests that a connection has carried.
#[derive(Debug, Default)]
pub(crate) struct Carried {
    hashes: HashSet<u64>,
    requests: usize,
}

impl Carried {
    /// Whether the connection has carried a request with one of these identifiers.
    pub(crate) fn contains(&self, identifiers: &Identifiers) -> bool {
        identifiers.0.iter().any(|hash| self.hashes.contains(hash))
    }

    /// Records that the connection carries a request.
    pub(crate) fn insert(&mut self, identifiers: &Identifiers) {
        self.requests += 1;
        self.hashes.extend(&identifiers.0);
    }

    /// Whether the connection has carried as many requests as it may.
    pub(crate) fn is_full(&self) -> bool {
        self.requests >= MAX_REQUESTS
    }
}
