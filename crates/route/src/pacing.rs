//! Paces large bodies on a gateway's link, so that short messages are not queued behind them.
//!
//! Several large bodies that are sent at once fill the queue of a slow link, and each message behind them waits
//! until it has drained: 300 KB take 240 ms at 10 Mbit/s. Bodies therefore take tokens from a bucket that is
//! filled at less than the link's rate, so the queue of the link itself stays short, and wait in the order of
//! their targets. A body that can't be sent in time is refused when it arrives, since nothing has been sent yet
//! and another gateway may have room.
//!
//! ```
//! use route::pacing::{Body, Pacer, Step, Submission};
//!
//! let mut pacer = Pacer::new(1_250_000.0);
//! let body = Body { bytes: 40_000, due: 800.0, latest: 400.0 };
//! let Submission::Accepted(first) = pacer.submit(&body, 0.0) else { panic!("the link is idle") };
//! assert!(matches!(pacer.poll(first, 0.0), Step::Send(bytes) if bytes < 40_000));
//! ```

use crate::Millis;

/// The share of the link that bodies and other traffic use together. The rest covers what is not counted:
/// headers of packets (4 %) and retransmissions.
const USED_SHARE: f64 = 0.85;
/// The share of that rate which bodies get even if other traffic takes all of it. Otherwise a gateway that
/// relays many events would send no bodies, and refuse all requests.
const FLOOR_SHARE: f64 = 0.4;
/// The time that one piece of a body takes on the link, in milliseconds, which is how long a short message may
/// wait for it. Each piece costs a timer and a write: some 140 per second on a link in full use.
const PIECE_MS: f64 = 6.0;
/// The smallest piece, in bytes: less than a packet saves nothing.
const MIN_PIECE_BYTES: f64 = 1_024.0;
/// The capacity of the bucket, as the time that it takes to fill, in milliseconds. On a VM with a share of a
/// core, timers are late by this much in normal operation, and what the bucket can't hold meanwhile is lost.
const BURST_MS: f64 = 20.0;
/// Unpaced bytes that have not been deducted from the bucket yet are limited to what the link carries in this
/// time, in milliseconds. Older ones have left the link's queue.
const MAX_DEBT_MS: f64 = 100.0;
/// The time constant of the average rate of unpaced traffic, in milliseconds: the usual gap between two events
/// of a stream, and a small part of the shortest target of a stream (400 ms).
const AVERAGING_TIME_MS: f64 = 200.0;
/// A body that has been started, and asked for no piece for this time, waits for its upstream and not for the
/// link, in milliseconds. It is left out of predictions.
const STALL_MS: f64 = 100.0;
/// How much later than predicted a body may be when its turn comes, in milliseconds. Predictions are as exact
/// as a burst.
const START_TOLERANCE_MS: f64 = BURST_MS;

/// A body to be sent. Times are milliseconds with fractions, since a piece takes less than one on a fast link.
#[derive(Clone, Copy, Debug)]
pub struct Body {
    /// Its size.
    pub bytes: u64,
    /// The target of its request. Bodies are sent in the order of their targets.
    pub due: f64,
    /// The time by which its last byte has to be sent.
    pub latest: f64,
}

/// Identifies a body that was accepted.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct BodyId(u64);

/// Whether a body was accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Submission {
    /// It may be sent when [`Pacer::poll`] says so.
    Accepted(BodyId),
    /// It can't be sent in time, or another one that was accepted would no longer be. The bodies before it will
    /// have been sent after this time, in milliseconds.
    Refused(Millis),
}

/// What to do with an accepted body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Send this many bytes now.
    Send(u64),
    /// It is the next one. Ask again after this time, in milliseconds.
    Wait(f64),
    /// Others come first. Ask again when [`Pacer::next_body`] names it.
    Queued,
    /// It can no longer be sent in time, and none of it has been sent. The bodies before it will have been sent
    /// after this time, in milliseconds.
    Refused(Millis),
    /// All of it was sent, or it was removed.
    Done,
}

/// An accepted body.
#[derive(Clone, Copy, Debug)]
struct Entry {
    id: BodyId,
    remaining: f64,
    due: f64,
    latest: f64,
    /// When its first and its last piece were sent; `None` if it has not been started.
    started: Option<(f64, f64)>,
    /// Whether it waits for tokens. A started body doesn't while its last piece is handed to the connection.
    is_asking: bool,
}

impl Entry {
    /// Its place in the queue. Started bodies come first, in the order in which they were started: an upstream
    /// can't begin before it has all of a body. Only if a connection does not take a piece at once, the next body
    /// is started meanwhile.
    fn place(&self) -> (bool, f64, u64) {
        match self.started {
            Some((first_piece, _)) => (false, first_piece, self.id.0),
            None => (true, self.due, self.id.0),
        }
    }

    fn is_stalled(&self, now: f64) -> bool {
        !self.is_asking && self.started.is_some_and(|(_, last_piece)| now - last_piece > STALL_MS)
    }
}

/// Decides when bodies are sent on one link, and in which order.
#[derive(Clone, Debug)]
pub struct Pacer {
    /// The rate of all counted traffic, in bytes per millisecond.
    rate: f64,
    piece: f64,
    burst: f64,
    max_debt: f64,
    tokens: f64,
    updated: f64,
    /// Unpaced bytes that have yet to be deducted from the bucket.
    debt: f64,
    /// Unpaced bytes since the last update.
    unpaced: f64,
    /// The average rate of unpaced traffic, in bytes per millisecond.
    unpaced_rate: f64,
    /// In no order: at 10 Mbit/s at most some 200 bodies can be sent within the longest target.
    bodies: Vec<Entry>,
    last_id: u64,
}

impl Pacer {
    /// Creates a pacer for a link of this capacity.
    pub fn new(link_bytes_per_s: f64) -> Pacer {
        let link = link_bytes_per_s / 1_000.0;
        let piece = (link * PIECE_MS).floor().max(MIN_PIECE_BYTES);
        let burst = (USED_SHARE * link * BURST_MS).max(piece);
        Pacer {
            rate: USED_SHARE * link,
            piece,
            burst,
            max_debt: link * MAX_DEBT_MS,
            tokens: burst,
            updated: 0.0,
            debt: 0.0,
            unpaced: 0.0,
            unpaced_rate: 0.0,
            bodies: vec![],
            last_id: 0,
        }
    }

    /// Records bytes that were sent without asking.
    pub fn record_unpaced(&mut self, bytes: u64) {
        self.unpaced += bytes as f64;
        self.debt = (self.debt + bytes as f64).min(self.max_debt);
    }

    /// Accepts a body, or refuses it.
    ///
    /// On a link without other bodies every body is accepted, also a late one: refusing it would help nobody.
    pub fn submit(&mut self, body: &Body, now: f64) -> Submission {
        self.refill(now);
        self.last_id += 1;
        let entry = Entry {
            id: BodyId(self.last_id),
            remaining: body.bytes as f64,
            due: body.due,
            latest: body.latest,
            started: None,
            is_asking: true,
        };
        let is_idle = self.bodies.iter().all(|other| other.is_stalled(now));
        if !is_idle && !self.can_carry(&entry, now) {
            return Submission::Refused(self.drained_ms(now));
        }
        self.bodies.push(entry);
        Submission::Accepted(entry.id)
    }

    /// What to do with a body. After [`Step::Send`] the body asks for its next piece as soon as its connection
    /// has taken this one. With its last piece it leaves the queue.
    pub fn poll(&mut self, id: BodyId, now: f64) -> Step {
        self.refill(now);
        let Some(index) = self.bodies.iter().position(|body| body.id == id) else { return Step::Done };
        self.bodies[index].is_asking = true;
        if self.next_body() != Some(id) {
            return Step::Queued;
        }
        let Entry { remaining, started, latest, .. } = self.bodies[index];
        let is_alone = self.bodies.iter().all(|other| other.id == id || other.is_stalled(now));
        let end = now + (remaining - self.tokens).max(0.0) / self.available_rate();
        if started.is_none() && !is_alone && end > latest + START_TOLERANCE_MS {
            self.bodies.swap_remove(index);
            return Step::Refused(self.drained_ms(now));
        }
        let piece = remaining.min(self.piece);
        // The tolerance covers rounding, so that a body never waits for a millionth of a byte.
        if self.tokens + 1e-6 < piece {
            return Step::Wait(self.time_until_tokens(piece));
        }
        self.tokens -= piece;
        let body = &mut self.bodies[index];
        body.remaining -= piece;
        body.started = Some((started.map_or(now, |(first_piece, _)| first_piece), now));
        body.is_asking = false;
        if body.remaining <= 0.0 {
            self.bodies.swap_remove(index);
        }
        Step::Send(piece as u64)
    }

    /// Removes a body: its request has ended.
    pub fn remove(&mut self, id: BodyId) {
        self.bodies.retain(|body| body.id != id);
    }

    /// The body that gets the next tokens.
    pub fn next_body(&self) -> Option<BodyId> {
        let asking = self.bodies.iter().filter(|body| body.is_asking);
        asking.min_by(|left, right| compare(left, right)).map(|body| body.id)
    }

    /// The number of accepted bodies that have not been sent completely.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Whether all accepted bodies were sent.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }

    /// Whether a new body and all that come after it would be sent in time.
    fn can_carry(&self, new: &Entry, now: f64) -> bool {
        let mut queue: Vec<&Entry> = self.bodies.iter().filter(|body| !body.is_stalled(now)).collect();
        queue.push(new);
        queue.sort_unstable_by(|left, right| compare(left, right));
        let rate = self.available_rate();
        let is_late = |body: &Entry, bytes: f64| now + bytes.max(0.0) / rate > body.latest;
        let (mut bytes, mut added) = (-self.tokens, 0.0);
        queue.iter().all(|body| {
            bytes += body.remaining;
            if body.id == new.id {
                added = new.remaining;
                return !is_late(body, bytes);
            }
            // The others are only held against the new body if they would be in time without it. A started one
            // is sent to its end in either case.
            body.started.is_some() || !is_late(body, bytes) || is_late(body, bytes - added)
        })
    }

    /// The time until the accepted bodies will have been sent, in whole milliseconds.
    fn drained_ms(&self, now: f64) -> Millis {
        let queued = self.bodies.iter().filter(|body| !body.is_stalled(now));
        let bytes: f64 = queued.map(|body| body.remaining).sum();
        ((bytes - self.tokens).max(0.0) / self.available_rate()).ceil().max(1.0) as Millis
    }

    /// The predicted rate of bodies, in bytes per millisecond.
    fn available_rate(&self) -> f64 {
        (self.rate - self.unpaced_rate).max(FLOOR_SHARE * self.rate)
    }

    /// The time until the bucket holds `tokens` if there is no more unpaced traffic, in milliseconds.
    fn time_until_tokens(&self, tokens: f64) -> f64 {
        let (missing, slow) = (tokens - self.tokens, FLOOR_SHARE * self.rate);
        let slow_ms = self.debt / (self.rate - slow);
        match missing - slow_ms * slow {
            rest if rest > 0.0 => slow_ms + rest / self.rate,
            _ => missing / slow,
        }
    }

    /// Fills the bucket for the time since the last update, less the unpaced bytes. A clock that jumps forward
    /// fills it once, and one that jumps back doesn't fill it.
    fn refill(&mut self, now: f64) {
        let elapsed = now - std::mem::replace(&mut self.updated, now);
        if elapsed <= 0.0 {
            return;
        }
        let gain = self.rate * elapsed;
        let paid = self.debt.min(gain * (1.0 - FLOOR_SHARE));
        self.debt -= paid;
        self.tokens = (self.tokens + gain - paid).min(self.burst);
        let weight = 1.0 - (-elapsed / AVERAGING_TIME_MS).exp();
        self.unpaced_rate += weight * (std::mem::take(&mut self.unpaced) / elapsed - self.unpaced_rate);
    }
}

/// Compares the places of two bodies in the queue.
fn compare(left: &Entry, right: &Entry) -> std::cmp::Ordering {
    let (left, right) = (left.place(), right.place());
    left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)).then(left.2.cmp(&right.2))
}
