//! Splits an event stream, so that only complete events reach the caller.

use hyper::body::Bytes;

/// The ends of an event: the end of its last line, and an empty line.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];
/// The length of the longest of [`EVENT_ENDS`], in bytes.
const MAX_END: usize = 3;
/// The largest event, in bytes. It is held until it is complete.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Why a stream with a larger event is broken off.
pub(crate) const EVENT_TOO_LARGE: &str = "an event of the stream is too large";
/// The beginning of a comment line, which keeps a connection alive.
const COMMENT: &[u8] = b":";
/// The name of the field that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Splits the bytes of one stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    count: u64,
}

impl EventSplitter {
    /// Adds received bytes, and returns those that complete events.
    ///
    /// Events that were already returned are left out, so that a resumed stream repeats none.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Bytes {
        // Most reads hold complete events, which are passed on without a copy.
        let whole = match self.partial.is_empty() {
            true => bytes,
            false => match self.extend_partial(&bytes) {
                Some(whole) => whole,
                None => return Bytes::new(),
            },
        };
        let Some(end) = find_last_end(&whole) else {
            self.partial = whole.to_vec();
            return Bytes::new();
        };
        self.partial = whole[end..].to_vec();
        let complete = whole.slice(..end);
        let mut start = 0;
        let mut kept: Option<Vec<u8>> = None;
        while let Some(length) = find_first_end(&complete[start..]) {
            let event = &complete[start..start + length];
            if self.is_new(event) {
                if let Some(kept) = &mut kept {
                    kept.extend_from_slice(event);
                }
            } else {
                kept.get_or_insert_with(|| complete[..start].to_vec());
            }
            start += length;
        }
        kept.map_or(complete, Bytes::from)
    }

    /// Adds bytes to a partial event, and takes all of them if an event ends there. Bytes without the end of an event are
    /// searched only once, however many there are.
    fn extend_partial(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.partial.len().saturating_sub(MAX_END - 1);
        self.partial.extend_from_slice(bytes);
        find_last_end(&self.partial[searched..])?;
        Some(Bytes::from(std::mem::take(&mut self.partial)))
    }

    /// Whether the event that the bytes so far end in is larger than any that an upstream may send.
    pub(crate) fn is_event_too_large(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    fn is_new(&mut self, event: &[u8]) -> bool {
        if let Some(id) = event_id(event) {
            if self.last_id.is_some_and(|last| id <= last) {
                return false;
            }
            self.last_id = Some(id);
        }
        self.count += 1;
        true
    }

    /// Discards the beginning of an event that was cut off.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether the bytes so far end inside an event. Empty lines and comments are no part of one.
    pub(crate) fn is_inside_event(&self) -> bool {
        let mut lines = self.partial.split(|byte| matches!(byte, b'\n' | b'\r'));
        lines.any(|line| !line.is_empty() && !line.starts_with(COMMENT))
    }

    /// The number of bytes after the last complete event.
    pub(crate) fn partial_length(&self) -> usize {
        self.partial.len()
    }

    /// The identifier of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// The number of complete events so far.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

/// The length of the first event, including its end.
fn find_first_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|start| end_at(bytes, start))
}

/// The position after the last complete event.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|start| end_at(bytes, start))
}

/// The position after the end of an event whose last line ends at `start`.
fn end_at(bytes: &[u8], start: usize) -> Option<usize> {
    EVENT_ENDS.iter().find(|end| bytes[start..].starts_with(end)).map(|end| start + end.len())
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}

#[cfg(test)]
#[path = "../tests/unit/event.rs"]
mod tests;
