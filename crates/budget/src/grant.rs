//! The tokens of one budget that one router holds.
//!
//! Tokens are reserved before a request is dispatched (I6), charged once its usage is known, and later
//! settled with the platform. Grants don't expire: a router keeps its tokens until it reports what became of
//! them, so neither a pause nor a wrong clock can make two routers spend the same token (I1).

use crate::ledger::{Charge, Credit, Entry, Line};

/// The tokens of one budget held by this router.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Grant {
    available: u64,
    reserved: u64,
    unknown: u64,
    charges: Vec<Charge>,
    sent: u64,
    received: u64,
    line: Line,
    /// The entry in the batch that is being settled.
    open_entry: Option<Entry>,
    exposure_limit_lifted: bool,
}

/// The outcome of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved,
    /// The router holds too few tokens; this many are missing.
    Insufficient(u64),
    /// The tokens are available, but using them would exceed the exposure limit of the last settlement.
    ExposureExceeded,
}

impl Grant {
    /// Tokens that are neither reserved nor used. The exposure limit may allow fewer to be reserved (see
    /// [`usable`](Grant::usable)).
    pub fn available(&self) -> u64 {
        self.available
    }

    /// Tokens reserved by requests in progress.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Tokens of runs whose outcome is unknown or that are not charged, such as those whose answer reached no
    /// caller. They are held, so that they are not spent a second time.
    pub fn unknown(&self) -> u64 {
        self.unknown
    }

    /// All tokens that this router holds, including those of unsettled charges: what a crash would lose.
    pub fn total(&self) -> u64 {
        let settling = self.open_entry.as_ref().map_or(0, |entry| sum(&entry.charges) + entry.returned);
        self.available + self.reserved + self.unknown + sum(&self.charges) + settling
    }

    /// Reserves the worst-case usage of a request.
    pub fn reserve(&mut self, tokens: u64) -> ReserveOutcome {
        match self.available.checked_sub(tokens) {
            Some(_) if tokens > self.remaining_exposure() => ReserveOutcome::ExposureExceeded,
            Some(rest) => {
                self.available = rest;
                self.reserved += tokens;
                ReserveOutcome::Reserved
            }
            None => ReserveOutcome::Insufficient(tokens - self.available),
        }
    }

    /// Tokens in use that are not part of an open batch: reserved, unknown, charged or lent.
    pub fn in_use(&self) -> u64 {
        self.reserved + self.unknown + sum(&self.charges) + self.sent
    }

    /// All tokens used since the account was opened: settled, charged but not settled, or reserved at their
    /// worst case.
    pub fn used(&self) -> u64 {
        let settling = self.open_entry.as_ref().map_or(0, |entry| sum(&entry.charges));
        self.line.spent + self.line.voided + settling + sum(&self.charges) + self.reserved + self.unknown
    }

    /// The part of [`used`](Grant::used) that was charged for completed requests.
    pub fn charged(&self) -> u64 {
        self.used() - self.reserved - self.unknown
    }

    /// Tokens that may still be used before the next settlement. Tokens received from peers since the last
    /// settlement are not in the account yet, so they add to the exposure limit. While a batch is being
    /// settled, both its exposure limit and the previous one apply, since it is not known which of them is in
    /// the account.
    fn remaining_exposure(&self) -> u64 {
        if self.exposure_limit_lifted {
            return u64::MAX;
        }
        let in_use = self.in_use();
        match &self.open_entry {
            None => (self.line.exposed + self.received).saturating_sub(in_use),
            Some(entry) => {
                let settling = sum(&entry.charges) + entry.sent;
                let before = self.line.exposed + self.received + entry.received;
                let after = entry.exposed + self.received;
                before.saturating_sub(in_use + settling).min(after.saturating_sub(in_use))
            }
        }
    }

    /// Lifts the exposure limit until the open batch is settled or the next one is opened. This is safe once
    /// every router that may close this account has promised not to; the next batch may name another one.
    pub fn lift_exposure_limit(&mut self) {
        self.exposure_limit_lifted = true;
    }

    /// Restores the exposure limit, since a batch names a router that may close this account and has not
    /// promised not to.
    pub fn restore_exposure_limit(&mut self) {
        self.exposure_limit_lifted = false;
    }

    /// Tokens that can be reserved now: those available, within the exposure limit.
    pub fn usable(&self) -> u64 {
        self.available.min(self.remaining_exposure())
    }

    /// Whether the exposure limit is lifted.
    pub fn is_exposure_limit_lifted(&self) -> bool {
        self.exposure_limit_lifted
    }

    /// Cancels a reservation whose request is known to have consumed nothing.
    pub fn release(&mut self, tokens: u64) {
        self.reserved -= tokens;
        self.available += tokens;
    }

    /// Turns a reservation into a charge; unused tokens become available again.
    ///
    /// A charge is limited to its reservation, so that an incorrect usage report can't violate I1. Returns
    /// the number of tokens by which the charge exceeded the reservation.
    pub fn charge(&mut self, reserved: u64, mut charge: Charge) -> u64 {
        let excess = charge.tokens.saturating_sub(reserved);
        charge.tokens -= excess;
        self.reserved -= reserved;
        self.available += reserved - charge.tokens;
        match self.charges.iter_mut().find(|known| known.key.is_none() && charge.key.is_none()) {
            // Charges without a key need no deduplication, so they are merged into one.
            Some(known) => known.tokens += charge.tokens,
            None if charge.tokens > 0 => self.charges.push(charge),
            None => {}
        }
        excess
    }

    /// Keeps holding the reservation of a run whose outcome is unknown.
    pub fn hold_unknown(&mut self, reserved: u64) {
        self.reserved -= reserved;
        self.unknown += reserved;
    }

    /// Ends a reservation whose run consumed `tokens` for an answer that reached no caller.
    ///
    /// The tokens are not charged, but they stay held; otherwise the budget could pay for them a second time
    /// (I6).
    pub fn write_off(&mut self, reserved: u64, tokens: u64) {
        let written_off = tokens.min(reserved);
        self.reserved -= reserved;
        self.unknown += written_off;
        self.available += reserved - written_off;
    }

    /// Turns tokens held by [`hold_unknown`](Grant::hold_unknown) back into a reservation, once the outcome
    /// of the run is known.
    pub fn reclaim_unknown(&mut self, reserved: u64) {
        self.unknown -= reserved;
        self.reserved += reserved;
    }

    /// Takes out at most `tokens` to lend to a peer, leaving at least `keep` available. Returns how many were
    /// taken out.
    pub fn lend(&mut self, tokens: u64, keep: u64) -> u64 {
        let lent = tokens.min(self.available.saturating_sub(keep)).min(self.remaining_exposure());
        self.available -= lent;
        self.sent += lent;
        lent
    }

    /// Adds tokens that a peer lent.
    pub fn receive(&mut self, tokens: u64) {
        self.available += tokens;
        self.received += tokens;
    }

    /// Whether there are charges or loans to settle.
    pub fn has_unsettled_changes(&self) -> bool {
        !self.charges.is_empty() || self.sent + self.received > 0
    }

    /// Whether a batch with an entry of this grant is being settled.
    pub fn has_open_entry(&self) -> bool {
        self.open_entry.is_some()
    }

    /// Tokens that the open entry returns to the pool.
    pub fn pending_return(&self) -> u64 {
        self.open_entry.as_ref().map_or(0, |entry| entry.returned)
    }

    /// Opens an entry for the next batch. Returns `None` if an entry is already open.
    ///
    /// `target` is the number of available tokens that this router should hold, `need` the number that
    /// waiting requests lack. If more than twice the target is available and nothing is needed, the excess
    /// over the target is returned. At most `max_charges` charges are settled. `headroom` is the number of
    /// tokens that may be used, in addition to those in use and needed, before the next settlement.
    pub fn open_entry(
        &mut self,
        target: u64,
        need: u64,
        headroom: u64,
        credits: Vec<Credit>,
        max_charges: usize,
    ) -> Option<Entry> {
        if self.open_entry.is_some() {
            return None;
        }
        let excess =
            if self.available > target.saturating_mul(2) && need == 0 { self.available - target } else { 0 };
        self.available -= excess;
        self.restore_exposure_limit();
        let exposed = self.in_use() + need + headroom;
        let entry = Entry {
            exposed,
            charges: self.charges.drain(..self.charges.len().min(max_charges)).collect(),
            credits,
            returned: excess,
            sent: std::mem::take(&mut self.sent),
            received: std::mem::take(&mut self.received),
            want: target.saturating_sub(self.available).max(need),
            need,
        };
        self.open_entry = Some(entry.clone());
        Some(entry)
    }

    /// Closes the open entry with the line that the platform now holds.
    ///
    /// The line may also have been read back after the answer was lost, since its sums are cumulative.
    pub fn close_entry(&mut self, line: &Line) {
        if let Some(entry) = self.open_entry.take() {
            self.available += line.granted - self.line.granted;
            // If more was returned than the entry asked for, the account was closed in the meantime.
            let taken = (line.returned - self.line.returned).saturating_sub(entry.returned);
            self.available = self.available.saturating_sub(taken);
            self.exposure_limit_lifted = false;
            // Consumed by a repeated run of a request that was already charged, so held but not charged.
            self.unknown += line.voided - self.line.voided;
            self.line = *line;
        }
    }
}

fn sum(charges: &[Charge]) -> u64 {
    charges.iter().map(|charge| charge.tokens).sum()
}
