//! The tokens of one budget that one router holds.
//!
//! Tokens are reserved before a request is dispatched (I6), charged when its usage is known, and settled
//! with the platform later. A grant has no expiry: what a router holds stays its own until it says what
//! became of it, so neither a pause nor a wrong clock can make two routers spend the same token (I1).

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
    open: Option<Entry>,
    raised: bool,
}

/// The outcome of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reserve {
    /// The tokens are reserved.
    Held,
    /// So many tokens are missing.
    Short(u64),
    /// The tokens are here, but using them would pass what was exposed at the last settlement.
    Capped,
}

impl Grant {
    /// Tokens that can be reserved now.
    pub fn available(&self) -> u64 {
        self.available
    }

    /// Tokens reserved by requests in progress.
    pub fn reserved(&self) -> u64 {
        self.reserved
    }

    /// Tokens of runs whose end is not known or whose answer nobody got; they are held, not spent again.
    pub fn unknown(&self) -> u64 {
        self.unknown
    }

    /// Every token this router answers for: what its death would strand.
    pub fn total(&self) -> u64 {
        let settling = self.open.as_ref().map_or(0, |entry| sum(&entry.charges) + entry.returned);
        self.available + self.reserved + self.unknown + sum(&self.charges) + settling
    }

    /// Reserves the worst case of a request.
    pub fn reserve(&mut self, tokens: u64) -> Reserve {
        match self.available.checked_sub(tokens) {
            Some(_) if tokens > self.room() => Reserve::Capped,
            Some(rest) => {
                self.available = rest;
                self.reserved += tokens;
                Reserve::Held
            }
            None => Reserve::Short(tokens - self.available),
        }
    }

    /// Tokens in use since the last settlement, beside those of an open batch.
    pub fn in_use(&self) -> u64 {
        self.reserved + self.unknown + sum(&self.charges) + self.sent
    }

    /// Everything used in this account's life: spent, charged but not settled, or reserved at the worst.
    pub fn used(&self) -> u64 {
        let settling = self.open.as_ref().map_or(0, |entry| sum(&entry.charges));
        self.line.spent + self.line.voided + settling + sum(&self.charges) + self.reserved + self.unknown
    }

    /// The part of [`used`](Grant::used) that requests which ended were charged.
    pub fn charged(&self) -> u64 {
        self.used() - self.reserved - self.unknown
    }

    /// Tokens that may still be used before the next settlement. Tokens taken over from peers since the last
    /// one are not in the account yet, so they need no exposure. While a batch is on its way both what it
    /// would expose and what was exposed before bound the use.
    fn room(&self) -> u64 {
        if self.raised {
            return u64::MAX;
        }
        let fresh = self.in_use();
        match &self.open {
            None => (self.line.exposed + self.received).saturating_sub(fresh),
            Some(entry) => {
                let settling = sum(&entry.charges) + entry.sent;
                let before = self.line.exposed + self.received + entry.received;
                let after = entry.exposed + self.received;
                before.saturating_sub(fresh + settling).min(after.saturating_sub(fresh))
            }
        }
    }

    /// Lifts the bound until the next settlement: every router that may close this account has promised not
    /// to.
    pub fn raise(&mut self) {
        self.raised = true;
    }

    /// Tokens that can be used now: those that are available, within the bound.
    pub fn usable(&self) -> u64 {
        self.available.min(self.room())
    }

    /// Whether the bound is lifted.
    pub fn is_raised(&self) -> bool {
        self.raised
    }

    /// Gives back a reservation whose request certainly consumed nothing.
    pub fn release(&mut self, tokens: u64) {
        self.reserved -= tokens;
        self.available += tokens;
    }

    /// Turns a reservation into a charge; what was not used becomes available.
    ///
    /// A charge above its reservation is cut to it, so a wrong report can't break I1. Returns the tokens
    /// that were cut off.
    pub fn charge(&mut self, reserved: u64, mut charge: Charge) -> u64 {
        let excess = charge.tokens.saturating_sub(reserved);
        charge.tokens -= excess;
        self.reserved -= reserved;
        self.available += reserved - charge.tokens;
        match self.charges.iter_mut().find(|known| known.key.is_none() && charge.key.is_none()) {
            // Charges without a key can't repeat, so their sum is enough.
            Some(known) => known.tokens += charge.tokens,
            None if charge.tokens > 0 => self.charges.push(charge),
            None => {}
        }
        excess
    }

    /// Keeps the reservation of a run whose end is not known.
    pub fn lose(&mut self, reserved: u64) {
        self.reserved -= reserved;
        self.unknown += reserved;
    }

    /// Ends a reservation whose run consumed `tokens` for an answer that nobody got.
    ///
    /// They are not charged, but they stay held: else the budget could pay for them a second time (I6).
    pub fn waste(&mut self, reserved: u64, tokens: u64) {
        let wasted = tokens.min(reserved);
        self.reserved -= reserved;
        self.unknown += wasted;
        self.available += reserved - wasted;
    }

    /// Makes the tokens of a [lost](Grant::lose) run a reservation again, now that its end is known.
    pub fn find(&mut self, reserved: u64) {
        self.unknown -= reserved;
        self.reserved += reserved;
    }

    /// Takes tokens out for a peer, keeping `keep` available.
    pub fn give(&mut self, tokens: u64, keep: u64) -> u64 {
        let given = tokens.min(self.available.saturating_sub(keep)).min(self.room());
        self.available -= given;
        self.sent += given;
        given
    }

    /// Adds tokens that a peer took out.
    pub fn receive(&mut self, tokens: u64) {
        self.available += tokens;
        self.received += tokens;
    }

    /// Whether there is something to settle.
    pub fn is_dirty(&self) -> bool {
        !self.charges.is_empty() || self.sent + self.received > 0
    }

    /// Whether a batch with an entry of this grant is on its way.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Tokens that the batch on its way gives back.
    pub fn returning(&self) -> u64 {
        self.open.as_ref().map_or(0, |entry| entry.returned)
    }

    /// Opens an entry for the next batch; `None` if one is on its way.
    ///
    /// `target` is how many available tokens this router should have, `need` how many are missing for
    /// waiting requests. More than twice the target is given back. At most `most` charges are settled.
    /// `spare` is how much may be used beyond what is in use now, until the next settlement.
    pub fn open(
        &mut self,
        target: u64,
        need: u64,
        spare: u64,
        credits: Vec<Credit>,
        most: usize,
    ) -> Option<Entry> {
        if self.open.is_some() {
            return None;
        }
        let excess =
            if self.available > target.saturating_mul(2) && need == 0 { self.available - target } else { 0 };
        self.available -= excess;
        let exposed = self.in_use() + need + spare;
        let entry = Entry {
            exposed,
            charges: self.charges.drain(..self.charges.len().min(most)).collect(),
            credits,
            returned: excess,
            sent: std::mem::take(&mut self.sent),
            received: std::mem::take(&mut self.received),
            want: target.saturating_sub(self.available).max(need),
            need,
        };
        self.open = Some(entry.clone());
        Some(entry)
    }

    /// Closes the open entry with the line that the platform now holds.
    ///
    /// Also right when the answer was lost and the line was read back: the sums are cumulative.
    pub fn close(&mut self, line: &Line) {
        if let Some(entry) = self.open.take() {
            self.available += line.granted - self.line.granted;
            // More returned than was asked means that the account was closed meanwhile.
            let taken = (line.returned - self.line.returned).saturating_sub(entry.returned);
            self.available = self.available.saturating_sub(taken);
            self.raised = false;
            // Consumed by a second run of a request that another router charged: not charged, but held.
            self.unknown += line.voided - self.line.voided;
            self.line = *line;
        }
    }
}

fn sum(charges: &[Charge]) -> u64 {
    charges.iter().map(|charge| charge.tokens).sum()
}
