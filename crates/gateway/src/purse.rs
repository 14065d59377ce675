//! The budgets that this router draws on: what it holds of them, and what is reserved.
//!
//! Tokens are reserved within three bounds: those at hand, those that the account row exposes, and those that
//! the router noted it may use before its next note (`notes`).

use crate::settle::{self, SETTLE};
use budget::demand::{Demand, Terms, is_off_target};
use budget::exposure::{Notes, Schedule};
use budget::grant::{Grant, Reserve};
use budget::ledger::{Account, Batch, Charge, Level, Pool};
use event_listener::Event;
use net::exec;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::rows::Rows;

/// Charges settled in one batch.
const CHARGES: usize = 64;
/// Seconds of demand held, so that requests need no call to the store and outages of it are bridged.
const COVER_S: u64 = 8;
/// A budget counts as nearly spent when less than this part of it is free.
const SCARCE: f64 = 0.04;
/// How long the pool's emptiness is believed, in milliseconds: tokens come back as other routers settle.
const EMPTY_MS: u64 = 250;

/// Seconds of demand that may be used between two notes, beyond what waits for one.
const NOTED_S: f64 = 0.75;
/// The part of what is at hand that may be used between two notes at least: one large request or a few small ones.
const NOTED_PART: u64 = 12;
/// From this age on a note's limit grows: longer than a note takes to be renewed, and than a restart takes.
const NOTE_QUIET_MS: u64 = 1_500;
/// Multiple of the demand by which an old note's limit grows: demand comes unevenly.
const NOTE_GROWTH: f64 = 2.0;
/// An old note's limit also grows by all that is at hand within so many seconds, so that large requests fit.
const NOTE_GROWTH_S: u64 = 8;
/// The part of a budget that other routers hold idle at most, when none of it is to be had.
const IDLE_ELSEWHERE: f64 = 0.03;

/// How long other routers take to give idle tokens back once they are asked.
const RECALL: Duration = Duration::from_millis(40);

/// How often a router asks the others for idle tokens of one budget at most, in milliseconds: they have none left
/// right after they were asked.
const RECALL_AGAIN_MS: u64 = 1_000;

/// When a refused request should come back while the store is away: outages last for some seconds.
const READY_AWAY_MS: u64 = 3_000;
/// When it should come back if other routers hold the tokens: they give them back within a settlement or two, or the
/// operator tops the budget up.
const READY_ELSEWHERE_MS: u64 = 4_000;
/// The resolution with which the growth of a note's limit is told, in milliseconds.
const READY_STEP_MS: u64 = 200;

/// Why tokens can't be reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Denied {
    /// The budget can't hold the request at its most.
    Spent,
    /// The store does not answer, and the tokens at hand are not enough.
    Away,
    /// Other routers hold what is left; they give it back.
    Elsewhere,
}

/// The rows of a budget as last seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rowed {
    pub pool: Pool,
    pub pool_version: u64,
    pub account: Account,
    pub account_version: u64,
    pub known: bool,
}

/// How the latest settlement ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Latest {
    /// When it began, in the purse's milliseconds.
    pub began: u64,
    /// Its number, from 1.
    pub number: u64,
    pub settled: bool,
    pub free: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    started: Instant,
    grant: Grant,
    demand: Demand,
    pub level: Level,
    lowered: bool,
    waiting: u64,
    /// How long charges may wait for a settlement, in milliseconds.
    record_ms: u64,
    /// How many settlements have begun.
    pub begun: u64,
    /// Whether another router asked for idle tokens.
    recalled: bool,
    /// When this router asked the others last, in the purse's milliseconds.
    asked: Option<u64>,
    pub rows: Rowed,
    batch: Option<Batch>,
    pub latest: Latest,
    ticked: Instant,
    /// Counts the accounts that this process had: another router may close one.
    pub life: u64,
    /// The notes that bind this life.
    notes: Notes,
}

/// One team's budget as this router holds it.
#[derive(Debug)]
pub(crate) struct Purse {
    pub team: String,
    pub holder: String,
    state: Mutex<State>,
    pub changed: Event,
    kick: async_channel::Sender<()>,
    note: async_channel::Sender<()>,
    pub closed: AtomicBool,
    pub fleet: Arc<AtomicU64>,
}

impl Purse {
    /// Opens a budget without tokens and starts its settlement.
    pub(crate) fn open<S: Rows>(
        rows: &S,
        team: &str,
        holder: &str,
        level: Level,
        fleet: Arc<AtomicU64>,
        note: async_channel::Sender<()>,
        record_ms: u64,
    ) -> Arc<Purse> {
        let (kick, kicked) = async_channel::bounded(1);
        let started = Instant::now();
        let state = State {
            started,
            grant: Grant::default(),
            demand: Demand::default(),
            level,
            lowered: false,
            waiting: 0,
            record_ms,
            begun: 0,
            recalled: false,
            asked: None,
            rows: Rowed::default(),
            batch: None,
            latest: Latest::default(),
            ticked: started,
            life: 0,
            notes: Notes::default(),
        };
        let purse = Arc::new(Purse {
            team: team.to_owned(),
            holder: holder.to_owned(),
            state: Mutex::new(state),
            changed: Event::new(),
            kick,
            note,
            closed: AtomicBool::new(false),
            fleet,
        });
        exec::spawn(settle::run(purse.clone(), rows.clone(), kicked)).detach();
        purse
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds a purse")
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
            state.demand.ask(now);
            if state.reserve(tokens) {
                return Ok(Reservation { purse: self.clone(), life: state.life, tokens });
            }
            let is_fresh = now.saturating_sub(state.latest.began) < EMPTY_MS;
            if let Some(denied) = state.denied(tokens).filter(|_| is_fresh) {
                return Err(denied);
            }
            state.begun
        };
        let _waiter = Waiter::new(self, tokens);
        let held = exec::timeout(patience, self.wait(tokens, begun)).await;
        held.unwrap_or_else(|| Err(self.lock().denied(tokens).unwrap_or(Denied::Away)))
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
                    return Ok(Reservation { purse: self.clone(), life: state.life, tokens });
                }
                // Only what binds is renewed, and only when that is new: each call to the store is paid for.
                if state.is_noted_short(tokens) {
                    let _ = self.note.try_send(());
                }
                if state.grant.usable() < tokens && std::mem::take(&mut is_settlement_due) {
                    let _ = self.kick.try_send(());
                }
                let is_new = state.latest.number > begun;
                if is_new && !state.latest.settled {
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
                None => listener.await,
            }
        }
    }

    /// Gives idle tokens back: another router needs them.
    pub(crate) fn recall(&self) {
        self.lock().recalled = true;
        let _ = self.kick.try_send(());
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
            "tokens={tokens} available={} noted={} note-age-ms={note_age} pool-free={} pool-spent={} level={} level-version={} settled={} settle-age-ms={}",
            state.grant.available(),
            noted.min(state.level.tokens),
            latest.free,
            state.rows.pool.spent,
            state.level.tokens,
            state.level.version,
            latest.settled,
            now.saturating_sub(latest.began),
        )
    }

    /// Tokens available here, and tokens of the pool that no router holds.
    pub(crate) fn figures(&self) -> (u64, u64, u64) {
        let state = self.lock();
        (state.grant.available(), state.grant.in_use(), state.latest.free)
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
            let (available, in_use, _) = self.figures();
            log::warn!(
                "budget: event=left-unsettled team={} available={available} in-use={in_use}",
                self.team
            );
        }
    }
}

impl State {
    /// Whether the other routers should be asked for idle tokens now.
    pub(crate) fn may_recall(&mut self, now: u64) -> bool {
        let may = self.asked.is_none_or(|asked| now.saturating_sub(asked) >= RECALL_AGAIN_MS);
        if may {
            self.asked = Some(now);
        }
        may
    }

    /// Whether nothing is held, in use or unsettled.
    pub(crate) fn is_empty(&self) -> bool {
        self.batch.is_none() && self.grant.in_use() == 0 && self.grant.available() == 0
    }

    /// Reserves tokens, if they are at hand and within what was noted.
    fn reserve(&mut self, tokens: u64) -> bool {
        !self.is_noted_short(tokens) && self.grant.reserve(tokens) == Reserve::Held
    }

    /// Whether the notes leave no room for so many tokens.
    fn is_noted_short(&self, tokens: u64) -> bool {
        self.grant.used().saturating_add(tokens) > self.limit()
    }

    /// The most that may be used now.
    pub(crate) fn limit(&self) -> u64 {
        self.notes.limit(self.now())
    }

    /// Milliseconds since the budget was opened, from 1: 0 means never.
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// The schedule for the next note.
    pub(crate) fn schedule(&self) -> Schedule {
        let rate = self.demand.rate();
        Schedule {
            used: self.grant.used(),
            allowance: self.waiting + ((rate * NOTED_S) as u64).max(self.grant.available() / NOTED_PART),
            quiet_ms: NOTE_QUIET_MS,
            per_s: (rate * NOTE_GROWTH) as u64 + self.grant.available() / NOTE_GROWTH_S,
        }
    }

    /// Why tokens can't be had, if the latest settlement showed that.
    fn denied(&self, tokens: u64) -> Option<Denied> {
        let latest = &self.latest;
        if !latest.settled || latest.free + self.grant.available() >= tokens {
            return None;
        }
        let idle = (self.level.tokens as f64 * IDLE_ELSEWHERE) as u64;
        let pool = &self.rows.pool;
        let left = self.level.tokens.saturating_sub(pool.spent + self.grant.in_use());
        Some(if left < tokens + idle { Denied::Spent } else { Denied::Elsewhere })
    }

    /// Tokens that should be at hand: this router's share of what is left, so that it serves through an outage of
    /// the store, but none of a budget that is nearly spent, where every token must be reachable from everywhere.
    fn target(&self, now: u64, terms: &Terms, fleet: u64) -> u64 {
        let free = self.free(fleet);
        if (free as f64) < self.level.tokens as f64 * SCARCE || self.rows.pool.wanted {
            return 0;
        }
        self.demand.target(now, terms).max(free / fleet)
    }

    /// Tokens that no router holds, as far as this one knows: before the pool was read, what it would be if all
    /// routers held their shares.
    fn free(&self, fleet: u64) -> u64 {
        match self.rows.pool.level {
            Some(_) => self.rows.pool.free,
            None => self.level.tokens / (2 * fleet),
        }
    }

    /// Opens the next batch, or takes up the one that is on its way.
    pub(crate) fn next_batch(&mut self, team: &str, now: u64, closing: bool, fleet: u64) -> Option<Batch> {
        if let Some(batch) = &self.batch {
            return Some(batch.clone());
        }
        let elapsed = self.ticked.elapsed();
        if elapsed >= SETTLE / 2 {
            self.demand.tick(elapsed.as_millis() as u64);
            self.ticked = Instant::now();
        }
        let terms = Terms { cover_s: COVER_S, least: 0, expose_s: COVER_S };
        let target =
            if closing || self.lowered || self.recalled { 0 } else { self.target(now, &terms, fleet) };
        let need = self.waiting.saturating_sub(self.grant.usable());
        let off = is_off_target(self.grant.available(), target, Some(self.latest.free));
        let level_is_new = self.rows.pool.level.is_none_or(|known| known.version < self.level.version)
            && self.rows.pool.level.is_none_or(|known| known.tokens != self.level.tokens);
        let is_overdue = closing || now.saturating_sub(self.latest.began) >= self.record_ms;
        let is_due = need > 0 || off || level_is_new || (is_overdue && self.grant.is_dirty());
        if !is_due {
            return None;
        }
        self.lowered = false;
        self.recalled = false;
        let spare = target.max(self.grant.available());
        let entry = self.grant.open(target, need, spare, vec![], CHARGES)?;
        let sequence = self.rows.account.sequence + 1;
        let batch =
            Batch { sequence, entries: BTreeMap::from([(team.to_owned(), entry)]), ..Batch::default() };
        self.batch = Some(batch.clone());
        Some(batch)
    }

    /// Ends the open batch: the account's row shows it.
    pub(crate) fn close_batch(&mut self, team: &str) {
        self.batch = None;
        let line = self.rows.account.lines.get(team).copied().unwrap_or_default();
        self.grant.close(&line);
    }

    /// Starts an account anew after another router closed this one: what it exposed stays spent.
    pub(crate) fn start_over(&mut self) {
        self.life += 1;
        self.notes = Notes::default();
        self.grant = Grant::default();
        self.batch = None;
        self.rows.account = Account::default();
        self.rows.account_version = 0;
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
pub(crate) struct Reservation {
    purse: Arc<Purse>,
    life: u64,
    tokens: u64,
}

impl Reservation {
    /// Charges what the request used; the rest becomes available again.
    pub(crate) fn charge(mut self, request: &str, tokens: u64) {
        let reserved = std::mem::take(&mut self.tokens);
        let mut state = self.purse.lock();
        if state.life != self.life {
            return;
        }
        let charge = Charge { request: request.to_owned(), key: None, tokens };
        state.demand.consume(tokens);
        state.grant.charge(reserved, charge);
    }
}

impl Drop for Reservation {
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
    pub(crate) fn begin_note(&self) -> (u64, Schedule) {
        let mut state = self.lock();
        let schedule = state.schedule();
        let now = state.now();
        state.notes.begin(now, schedule);
        (state.life, schedule)
    }

    /// Takes in how the newest note ended: `Some(true)` if it took effect, `Some(false)` if it certainly did not,
    /// `None` if that is not known.
    pub(crate) fn end_note(&self, life: u64, took_effect: Option<bool>) {
        let mut state = self.lock();
        if state.life != life {
            return;
        }
        state.notes.end(took_effect);
        drop(state);
        self.changed.notify(usize::MAX);
    }
}
