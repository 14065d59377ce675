//! Splitting an event stream, so that only whole events reach the caller.

use hyper::body::Bytes;

/// What ends an event.
const END: &[u8] = b"\n\n";
/// What begins the line with an event's number.
const NUMBER: &[u8] = b"id:";

/// The events of one stream, as far as they came.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    rest: Vec<u8>,
    last: Option<u64>,
    count: u64,
}

impl Splitter {
    /// Takes bytes in, and returns those that complete events.
    ///
    /// After [`Splitter::restart`] events that came before are left out.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Bytes {
        // Most reads hold whole events, which are passed on without a copy.
        let whole = if self.rest.is_empty() { bytes } else { self.join(&bytes) };
        let Some(end) = find_last(&whole) else {
            self.rest = whole.to_vec();
            return Bytes::new();
        };
        self.rest = whole[end..].to_vec();
        let complete = whole.slice(..end);
        let mut start = 0;
        let mut kept: Option<Vec<u8>> = None;
        while let Some(length) = find(&complete[start..]) {
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

    fn join(&mut self, bytes: &[u8]) -> Bytes {
        let mut whole = std::mem::take(&mut self.rest);
        whole.extend_from_slice(bytes);
        Bytes::from(whole)
    }

    fn is_new(&mut self, event: &[u8]) -> bool {
        if let Some(number) = number(event) {
            if self.last.is_some_and(|last| number <= last) {
                return false;
            }
            self.last = Some(number);
        }
        self.count += 1;
        true
    }

    /// Forgets the beginning of an event whose end never came.
    pub(crate) fn restart(&mut self) {
        self.rest.clear();
    }

    /// The bytes after the last whole event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        Bytes::from(std::mem::take(&mut self.rest))
    }

    /// The number of the last whole event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whole events so far.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

/// The length of the first event, its end included.
fn find(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).position(|window| window == END).map(|index| index + END.len())
}

/// Where the last whole event ends.
fn find_last(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).rposition(|window| window == END).map(|index| index + END.len())
}

fn number(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(NUMBER))?;
    std::str::from_utf8(&line[NUMBER.len()..]).ok()?.trim().parse().ok()
}

#[cfg(test)]
#[path = "../tests/unit/event.rs"]
mod tests;
