//! The prompts that an upstream has to read, as far as a router knows: those that it sent, and those that others
//! told it of.

use crate::Millis;
use std::collections::VecDeque;

/// A prompt on its way to being read.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// The number of this router's dispatch; `None` if another router sent it.
    own: Option<u64>,
    /// When it should be read, in milliseconds.
    due: f64,
    takes: f64,
}

/// Prompts in the order in which they were sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadQueue {
    queue: VecDeque<Read>,
}

impl ReadQueue {
    /// Adds a prompt that takes so many milliseconds to read.
    pub(crate) fn push(&mut self, own: Option<u64>, takes: f64, now: Millis) {
        self.expire(now);
        let due = now as f64 + self.left_ms(now) + takes;
        self.queue.push_back(Read { own, due, takes });
    }

    /// Takes out a prompt of this router's that was read, or whose request ended, with all before it if it was read:
    /// they are read in order.
    pub(crate) fn remove(&mut self, number: u64, was_read: bool, now: Millis) {
        let Some(index) = self.queue.iter().position(|read| read.own == Some(number)) else { return };
        if !was_read {
            self.queue.remove(index);
            return;
        }
        self.queue.drain(..=index);
        // Those behind it begin now.
        let mut due = now as f64;
        for read in &mut self.queue {
            due += read.takes;
            read.due = due;
        }
    }

    /// Milliseconds until all is read.
    pub(crate) fn left_ms(&self, now: Millis) -> f64 {
        let now = now as f64;
        let Some(last) = self.queue.back() else { return 0.0 };
        match self.queue.iter().find(|read| read.own.is_some()).filter(|own| own.due < now) {
            // What is not answered is not read, however late it is, and is taken to be late by as much again; all behind
            // it waits for it.
            Some(own) => (now - own.due) + (last.due - own.due),
            None => (last.due - now).max(0.0),
        }
    }

    /// Whether nothing is known to be read.
    pub(crate) fn is_idle(&self, now: Millis) -> bool {
        self.left_ms(now) <= 0.0
    }

    /// Forgets others' prompts that must have been read by now.
    fn expire(&mut self, now: Millis) {
        while self.queue.front().is_some_and(|read| read.own.is_none() && read.due <= now as f64) {
            self.queue.pop_front();
        }
    }
}
