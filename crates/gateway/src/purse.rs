//! The budgets that this router draws on: what it holds of them, and what is reserved.
//!
//! Tokens are reserved within three bounds: those at hand, those that the account row exposes, and those that
//! the router noted it may use before its next note (`notes`).

use crate::delegate::Pledge;
use crate::holding::{Denied, Holding};
use crate::settle;
use budget::exposure::Schedule;
use budget::ledger::{Charge, Level};
use event_listener::Event;
use net::exec;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// How long the pool's emptiness is believed, in milliseconds: tokens come back as other routers settle.
const EMPTY_MS: u64 = 250;

/// How long other routers take to give idle tokens back once they are asked.
const RECALL: Duration = Duration::from_millis(40);

/// Fleets up to this size answer a call for tokens at once: their writes fit into the time that the caller waits.
const SMALL_FLEET: u64 = 12;
/// The time over which a larger fleet spreads its answers, for each router beyond that, in milliseconds: about a
/// transaction.
const RECALL_SPREAD_MS: u64 = 6;
/// How often a waiting request looks whether the limit of the notes has grown enough.
const LOOK: Duration = Duration::from_millis(40);

/// When a refused request should come back while the store is away: outages last for some seconds.
const READY_AWAY_MS: u64 = 3_000;
/// When it should come back if other routers hold the tokens: they give them back within a settlement or two, or the
/// operator tops the budget up.
const READY_ELSEWHERE_MS: u64 = 4_000;
/// The resolution with which the growth of a note's limit is told, in milliseconds.
const READY_STEP_MS: u64 = 200;

/// One team's budget as this router holds it.
#[derive(Debug)]
pub(crate) struct Purse {
    pub team: String,
    pub holder: String,
    holding: Mutex<Holding>,
    pub changed: Event,
    kick: async_channel::Sender<()>,
    note: async_channel::Sender<()>,
    pub closed: AtomicBool,
    pub fleet: Arc<AtomicU64>,
    /// How many gateways own this budget, this one among them; 0 if others own it.
    pub owners: AtomicU64,
}

/// Where the tokens of a budget are, as one gateway knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Figures {
    /// Held here, and not reserved.
    pub available: u64,
    /// Reserved here.
    pub in_use: u64,
    /// Of the pool, in no gateway's hands.
    pub free: u64,
    /// Of the pool, held by all gateways, or written off with dead ones.
    pub outstanding: u64,
    /// Charged, by all gateways.
    pub spent: u64,
    /// Prepaid.
    pub level: u64,
}

/// What a budget is opened with.
pub(crate) struct Terms {
    /// The VM with the incarnation of this process.
    pub holder: String,
    /// How many gateways the fleet has.
    pub fleet: Arc<AtomicU64>,
    /// How many of them own the budget, this one among them.
    pub owners: u64,
    /// Where a new note is asked for.
    pub note: async_channel::Sender<()>,
    /// How long charges may wait for a settlement, in milliseconds.
    pub record_ms: u64,
}

impl Purse {
    /// Opens a budget without tokens, starts its settlement, and has it noted: without a note, the death of this
    /// process would cost all that it drew.
    pub(crate) fn open<S: Rows>(rows: &S, team: &str, level: Level, terms: Terms) -> Arc<Purse> {
        let (kick, kicked) = async_channel::bounded(1);
        let purse = Arc::new(Purse {
            team: team.to_owned(),
            holder: terms.holder,
            holding: Mutex::new(Holding::new(level, terms.record_ms)),
            changed: Event::new(),
            kick,
            note: terms.note,
            closed: AtomicBool::new(false),
            fleet: terms.fleet,
            owners: AtomicU64::new(terms.owners),
        });
        let _ = purse.kick.try_send(());
        let _ = purse.note.try_send(());
        exec::spawn(settle::run(purse.clone(), rows.clone(), kicked)).detach();
        purse
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Holding> {
        self.holding.lock().expect("no thread panics while it holds a purse")
    }

    /// Milliseconds since the budget was opened, from 1: 0 means never.
    pub(crate) fn now(&self) -> u64 {
        self.lock().now()
    }

    /// Takes in what a manifest says of the prepaid total.
    pub(crate) fn set_level(&self, level: Level) {
        let mut state = self.lock();
        if level.version <= state.level.version {
            return;
        }
        let changed = level.tokens != state.level.tokens;
        state.lowered |= level.tokens < state.level.tokens;
        state.level = level;
        drop(state);
        if changed {
            log::info!(
                "budget: event=level team={} tokens={} version={}",
                self.team,
                level.tokens,
                level.version
            );
            let _ = self.kick.try_send(());
        }
    }

    /// Reserves the worst case of a request, waiting at most `patience` for the store.
    pub(crate) async fn reserve(
        self: &Arc<Purse>,
        tokens: u64,
        patience: Duration,
    ) -> Result<Reservation, Denied> {
        let now = self.now();
        let begun = {
            let mut state = self.lock();
            state.demand.record_request(now);
            if state.reserve(tokens) {
                return Ok(Reservation::here(self, state.life, tokens));
            }
            let is_fresh = now.saturating_sub(state.latest.began) < EMPTY_MS;
            let is_conclusive = |denied: &Denied| match denied {
                // A settlement without waiting requests, such as the opening one, sends no call for tokens.
                Denied::Elsewhere => state.has_recent_recall(now, self.rivals()),
                Denied::Spent | Denied::Away => true,
            };
            if let Some(denied) = state.denied(tokens).filter(|denied| is_fresh && is_conclusive(denied)) {
                return Err(denied);
            }
            state.begun
        };
        let _waiter = Waiter::new(self, tokens);
        let held = exec::timeout(patience, self.wait(tokens, begun)).await;
        held.unwrap_or_else(|| {
            let mut state = self.lock();
            match state.reserve(tokens) {
                true => Ok(Reservation::here(self, state.life, tokens)),
                false => Err(state.denied(tokens).unwrap_or(Denied::Away)),
            }
        })
    }

    /// Waits for a settlement with a higher number than `begun` to bring the tokens, or to show that they can't
    /// be had.
    async fn wait(self: &Arc<Purse>, tokens: u64, mut begun: u64) -> Result<Reservation, Denied> {
        let mut is_settlement_due = true;
        loop {
            let listener = self.changed.listen();
            let denied = {
                let mut state = self.lock();
                if state.reserve(tokens) {
                    return Ok(Reservation::here(self, state.life, tokens));
                }
                // Only what binds is renewed, and only when that is new: each call to the store is paid for.
                if state.is_noted_short(tokens) {
                    let _ = self.note.try_send(());
                }
                let is_short = state.grant.usable() < tokens;
                if is_short && std::mem::take(&mut is_settlement_due) {
                    let _ = self.kick.try_send(());
                }
                let is_new = state.latest.number > begun;
                if is_new && is_short && !state.latest.settled {
                    return Err(Denied::Away);
                }
                state.denied(tokens).filter(|_| is_new)
            };
            match denied {
                Some(Denied::Elsewhere) => {
                    // The other routers were told; what they give back is there soon.
                    exec::sleep(RECALL).await;
                    begun = self.lock().begun;
                    is_settlement_due = true;
                }
                Some(denied) => return Err(denied),
                None => {
                    let _ = exec::timeout(LOOK, listener).await;
                }
            }
        }
    }

    /// Takes in what earlier processes of this VM are known to have used: it says how much this one will need.
    pub(crate) fn set_earlier_use(&self, tokens: u64) {
        self.lock().earlier_use = tokens;
        let _ = self.kick.try_send(());
    }

    /// How many gateways settle this budget: its owners, or all of them where others own it, since all draw on it when its
    /// owners do not answer.
    pub(crate) fn rivals(&self) -> u64 {
        match self.owners.load(Ordering::Relaxed) {
            0 => self.fleet.load(Ordering::Relaxed).max(1),
            owners => owners,
        }
    }

    /// Gives idle tokens back: another router is short of so many. In a large fleet the answers are spread over some time, since
    /// each is a write to the same partition.
    pub(crate) fn recall(self: &Arc<Purse>, missing: u64) {
        {
            let mut state = self.lock();
            let now = state.now();
            state.asked = Some(now);
            if state.grant.available() == 0 {
                return;
            }
            state.recalled = Some(state.recalled.unwrap_or(0).max(missing));
        }
        let spread = self.rivals().saturating_sub(SMALL_FLEET) * RECALL_SPREAD_MS;
        if spread == 0 {
            let _ = self.kick.try_send(());
            return;
        }
        let delay = Duration::from_millis(rand::Rng::gen_range(&mut rand::thread_rng(), 0..spread));
        let purse = self.clone();
        exec::spawn(async move {
            exec::sleep(delay).await;
            let _ = purse.kick.try_send(());
        })
        .detach();
    }

    /// When so many tokens may be had, in milliseconds from now.
    pub(crate) fn ready_in(&self, tokens: u64) -> u64 {
        let state = self.lock();
        if state.grant.available() < tokens {
            return if state.latest.settled { READY_ELSEWHERE_MS } else { READY_AWAY_MS };
        }
        let wanted = state.grant.used().saturating_add(tokens);
        let ready = (READY_STEP_MS..READY_AWAY_MS).step_by(READY_STEP_MS as usize);
        let now = state.now();
        ready.into_iter().find(|ms| state.notes.limit(now + ms) >= wanted).unwrap_or(READY_AWAY_MS)
    }

    /// What decides on a reservation of so many tokens, for the log.
    pub(crate) fn explain(&self, tokens: u64) -> String {
        let now = self.now();
        let state = self.lock();
        let noted = state.limit().saturating_sub(state.grant.used());
        let note_age = state.notes.age(now).unwrap_or(0);
        let latest = &state.latest;
        format!(
            "tokens={tokens} available={} noted={} note-age-ms={note_age} pool-free={} pool-outstanding={} pool-spent={} level={} level-version={} settled={} settle-age-ms={}",
            state.grant.available(),
            noted.min(state.level.tokens),
            latest.free,
            state.rows.pool.outstanding,
            state.rows.pool.spent,
            state.level.tokens,
            state.level.version,
            latest.settled,
            now.saturating_sub(latest.began),
        )
    }

    /// What is known of the budget's tokens.
    pub(crate) fn figures(&self) -> Figures {
        let state = self.lock();
        Figures {
            available: state.grant.available(),
            in_use: state.grant.in_use(),
            free: state.latest.free,
            outstanding: state.rows.pool.outstanding,
            spent: state.rows.pool.spent,
            level: state.level.tokens,
        }
    }

    /// Gives idle tokens back from now on; requests may still draw what they need.
    pub(crate) fn retire(&self) {
        self.closed.store(true, Ordering::Relaxed);
        let _ = self.kick.try_send(());
    }

    /// Settles everything and gives unused tokens back, within `limit`.
    pub(crate) async fn close(&self, limit: Duration) {
        self.retire();
        let settled = async {
            loop {
                let listener = self.changed.listen();
                {
                    if self.lock().is_empty() {
                        return;
                    }
                }
                listener.await;
            }
        };
        if exec::timeout(limit, settled).await.is_none() {
            let Figures { available, in_use, .. } = self.figures();
            log::warn!(
                "budget: event=left-unsettled team={} available={available} in-use={in_use}",
                self.team
            );
        }
    }
}

/// Counts a request that waits for tokens.
struct Waiter<'a> {
    purse: &'a Purse,
    tokens: u64,
}

impl<'a> Waiter<'a> {
    fn new(purse: &'a Purse, tokens: u64) -> Waiter<'a> {
        purse.lock().waiting += tokens;
        Waiter { purse, tokens }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.purse.lock().waiting -= self.tokens;
    }
}

/// Tokens set aside for one request, until it is charged or dropped.
#[derive(Debug)]
pub(crate) enum Reservation {
    /// At this gateway.
    Here(Reserved),
    /// At the gateway that owns the team's budget.
    Elsewhere(Pledge),
}

/// Tokens of this gateway that are set aside.
#[derive(Debug)]
pub(crate) struct Reserved {
    purse: Arc<Purse>,
    life: u64,
    tokens: u64,
}

impl Reservation {
    fn here(purse: &Arc<Purse>, life: u64, tokens: u64) -> Reservation {
        Reservation::Here(Reserved { purse: purse.clone(), life, tokens })
    }

    /// Charges what the request used; the rest becomes available again.
    pub(crate) fn charge(self, request: &str, tokens: u64) {
        match self {
            Reservation::Here(reserved) => reserved.charge(request, tokens),
            Reservation::Elsewhere(pledge) => pledge.charge(request, tokens),
        }
    }

    /// Charges all that was reserved: nobody knows what was used.
    pub(crate) fn charge_all(self, request: &str) {
        match self {
            Reservation::Here(reserved) => {
                let tokens = reserved.tokens;
                reserved.charge(request, tokens);
            }
            Reservation::Elsewhere(pledge) => drop(pledge),
        }
    }
}

impl Reserved {
    fn charge(mut self, request: &str, tokens: u64) {
        let reserved = std::mem::take(&mut self.tokens);
        let mut state = self.purse.lock();
        if state.life != self.life {
            return;
        }
        let charge = Charge { request: request.to_owned(), key: None, tokens };
        state.demand.record_consumption(tokens);
        state.grant.charge(reserved, charge);
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if self.tokens > 0 {
            let mut state = self.purse.lock();
            if state.life == self.life {
                state.grant.release(self.tokens);
            }
        }
    }
}

impl Purse {
    /// Makes the schedule for a note that is about to be sent; it binds from now on.
    ///
    /// `note_ms` is how long a note takes to be acknowledged, `owners` how many gateways own the budget.
    pub(crate) fn begin_note(&self, note_ms: u64, owners: u64) -> (u64, Schedule) {
        let mut state = self.lock();
        let schedule = state.schedule(note_ms, owners);
        let now = state.now();
        state.notes.record_sent(now, schedule);
        (state.life, schedule)
    }

    /// Takes in how the newest note ended: `Some(true)` if it took effect, `Some(false)` if it certainly did not,
    /// `None` if that is not known.
    pub(crate) fn end_note(&self, life: u64, took_effect: Option<bool>) {
        let mut state = self.lock();
        if state.life != life {
            return;
        }
        state.notes.record_result(took_effect);
        drop(state);
        self.changed.notify(usize::MAX);
    }
}
