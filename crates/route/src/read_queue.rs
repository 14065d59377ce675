//! The prompts that an upstream still has to read, as far as a router knows: those that it dispatched itself,
//! and those that other routers reported.

use crate::Millis;
use std::collections::VecDeque;

/// A prompt that waits to be read.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    /// The number of this router's dispatch; `None` if another router sent the prompt.
    own: Option<u64>,
    /// The time at which the prompt should have been read, in milliseconds.
    due: f64,
    duration_ms: f64,
}

/// The prompts in the order in which they were dispatched.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadQueue {
    queue: VecDeque<PendingRead>,
}

impl ReadQueue {
    /// Adds a prompt that takes `duration_ms` to read.
    pub(crate) fn push(&mut self, own: Option<u64>, duration_ms: f64, now: Millis) {
        self.expire(now);
        let due = now as f64 + self.remaining_ms(now) + duration_ms;
        self.queue.push_back(PendingRead { own, due, duration_ms });
    }

    /// Removes one of this router's prompts, because it was read or because its request ended. If it was
    /// read, also removes all prompts before it, since prompts are read in order.
    pub(crate) fn remove(&mut self, number: u64, was_read: bool, now: Millis) {
        let Some(index) = self.queue.iter().position(|read| read.own == Some(number)) else { return };
        if !was_read {
            self.queue.remove(index);
            return;
        }
        self.queue.drain(..=index);
        // The prompts behind it are read from now on.
        let mut due = now as f64;
        for read in &mut self.queue {
            due += read.duration_ms;
            read.due = due;
        }
    }

    /// The time until all prompts are read, in milliseconds.
    pub(crate) fn remaining_ms(&self, now: Millis) -> f64 {
        let now = now as f64;
        let Some(last) = self.queue.back() else { return 0.0 };
        match self.queue.iter().find(|read| read.own.is_some()).filter(|own| own.due < now) {
            // A prompt without an answer has not been read, however late it is. It is assumed to take as much
            // longer as it is late already, and all prompts behind it wait for it.
            Some(own) => (now - own.due) + (last.due - own.due),
            None => (last.due - now).max(0.0),
        }
    }

    /// Whether no prompt is known to be waiting or being read.
    pub(crate) fn is_idle(&self, now: Millis) -> bool {
        self.remaining_ms(now) <= 0.0
    }

    /// Removes the prompts of other routers that should have been read by now.
    fn expire(&mut self, now: Millis) {
        while self.queue.front().is_some_and(|read| read.own.is_none() && read.due <= now as f64) {
            self.queue.pop_front();
        }
    }
}
