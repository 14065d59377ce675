//! Where streams began, as a gateway writes it to the store, so that its next process knows it.
//!
//! Only streams of services with several software versions need that. The origins are written in batches to a ring of rows,
//! so that old ones are replaced and nothing has to be cleaned up while streams begin.

use crate::Millis;
use crate::origin::Stream;
use crate::version::Version;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// The largest number of origins in one row. Each takes twelve bytes.
const MAX_BATCH: usize = 4_000;
/// The largest number of origins that wait to be written.
const MAX_WAITING: usize = 1 << 15;
/// The number of rows in the ring.
const ROWS: u32 = 192;
/// The most rows that are deleted at once. A change of the store has at most a hundred.
pub const MAX_DELETED: usize = 96;

/// The interval between two batches of a gateway in a small fleet, in milliseconds.
const MIN_INTERVAL_MS: Millis = 150;
/// The largest fraction of the store's writes that the batches of the whole fleet take.
const WRITES_RATIO: f64 = 0.5;

/// The interval between two batches of a gateway, in milliseconds, in a fleet of this size whose store accepts so many
/// writes in a second.
pub fn interval_ms(gateways: u64, writes_per_s: u64) -> Millis {
    MIN_INTERVAL_MS.max((gateways as f64 * 1_000.0 / (writes_per_s as f64 * WRITES_RATIO)) as Millis)
}

/// An origin that is not written.
#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Millis,
    service: u64,
    stream: Stream,
    version: Version,
}

/// A batch of origins, and the row that it belongs into.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The number of the row.
    pub row: u32,
    entries: Vec<Entry>,
}

impl Batch {
    /// The origins.
    pub fn origins(&self) -> Vec<(Stream, Version)> {
        self.entries.iter().map(|entry| (entry.stream, entry.version)).collect()
    }
}

/// The origins that a gateway has to write.
#[derive(Clone, Debug, Default)]
pub struct Log {
    waiting: VecDeque<Entry>,
    next_row: u32,
    /// When a batch was last written; `None` if there is no row.
    written: Option<Millis>,
}

impl Log {
    /// Records where a stream of a service began.
    pub fn record(&mut self, service: &str, stream: Stream, version: Version, now: Millis) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Entry { at: now, service: xxh3_64(service.as_bytes()), stream, version });
    }

    /// Continues after the rows of an earlier process, of which `newest` was written last.
    pub fn continue_after(&mut self, newest: u32, now: Millis) {
        self.next_row = (newest + 1) % ROWS;
        self.written = Some(now);
    }

    /// Takes the origins of these services that began within `lifetime`, if there are any. Those of other services wait,
    /// in case that another version is listed.
    pub fn take<'a>(
        &mut self,
        services: impl IntoIterator<Item = &'a str>,
        lifetime: Millis,
        now: Millis,
    ) -> Option<Batch> {
        let services: Vec<u64> = services.into_iter().map(|name| xxh3_64(name.as_bytes())).collect();
        self.waiting.retain(|entry| now.saturating_sub(entry.at) <= lifetime);
        let mut entries = vec![];
        self.waiting.retain(|entry| {
            let is_taken = entries.len() < MAX_BATCH && services.contains(&entry.service);
            if is_taken {
                entries.push(*entry);
            }
            !is_taken
        });
        (!entries.is_empty()).then_some(Batch { row: self.next_row, entries })
    }

    /// Records that a batch was written.
    pub fn record_written(&mut self, batch: &Batch, now: Millis) {
        self.next_row = (batch.row + 1) % ROWS;
        self.written = Some(now);
    }

    /// Puts a batch back that was not written.
    pub fn put_back(&mut self, batch: Batch) {
        batch.entries.into_iter().rev().for_each(|entry| self.waiting.push_front(entry));
    }

    /// The rows to delete, if none of their streams can be taken up any more.
    pub fn take_expired_rows(
        &mut self,
        lifetime: Millis,
        now: Millis,
    ) -> Option<impl Iterator<Item = u32> + use<>> {
        self.written.take_if(|written| now.saturating_sub(*written) > lifetime).map(|_| 0..ROWS)
    }
}
