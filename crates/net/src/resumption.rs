//! Wakes a connection whose blocked write could continue.
//!
//! hyper flushes once more after the write of a body was blocked, and then yields even if this flush has written
//! everything. The socket has then forgotten the task, and the body was not polled, so that nothing would wake it again.

use std::io;
use std::mem;
use std::task::{Context, Poll};

/// Detects that the write of a connection was blocked and succeeded afterwards.
#[derive(Debug, Default)]
pub(crate) struct Resumption {
    is_blocked: bool,
}

impl Resumption {
    /// Records the result of a write, and has the connection polled again if the write before it was blocked.
    pub(crate) fn record(&mut self, context: &Context<'_>, written: &Poll<io::Result<usize>>) {
        if mem::replace(&mut self.is_blocked, written.is_pending()) && written.is_ready() {
            context.waker().wake_by_ref();
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/resumption.rs"]
mod tests;
