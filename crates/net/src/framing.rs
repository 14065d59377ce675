//! How the head of an answer says where its body ends.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;

/// How the end of an answer's body is recognized.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body comes in chunks, the last of which is marked.
    Chunked,
    /// The body ends with its connection, so that its end can't be told from a connection that was closed early.
    Closed,
    /// The head names the length.
    Sized,
}

impl Framing {
    /// The framing that the head of an answer names.
    pub fn of(head: &response::Parts) -> Framing {
        let codings = head.headers.get_all(TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
        let last_coding = codings.flat_map(|value| value.split(',')).last();
        match last_coding {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Framing::Chunked,
            Some(_) => Framing::Closed,
            None if head.headers.contains_key(CONTENT_LENGTH) => Framing::Sized,
            None => Framing::Closed,
        }
    }

    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Chunked => "chunked",
            Framing::Closed => "closed",
            Framing::Sized => "sized",
        }
    }
}
