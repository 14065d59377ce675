//! The token budgets of teams on this gateway: the tokens that it holds and reserves.
//!
//! A reservation has to stay within three bounds: the tokens that this gateway holds, the tokens that its
//! account row in the store exposes, and the use that its last usage note allows until the next one (see
//! `notes`).

use crate::budget_state::{BudgetState, DenialReason};
use crate::peer_reservations::RemoteReservation;
use crate::settle;
use budget::exposure::Schedule;
use budget::ledger::{Charge, Level};
use event_listener::Event;
use net::exec;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::rows::Rows;

/// How long the result of a settlement suffices to deny a request, in milliseconds. Short, because tokens
/// return to the pool as other gateways settle.
pub(crate) const DENIAL_REUSE_MS: u64 = 250;

/// How long a request waits for other gateways to return idle tokens after a recall.
const RECALL_WAIT: Duration = Duration::from_millis(40);

/// Up to this number of gateways, all respond to a recall at once: the store completes their writes while the
/// caller waits.
const SMALL_FLEET: u64 = 12;
/// A larger number of gateways spreads its responses over this time for each gateway beyond [`SMALL_FLEET`],
/// in milliseconds: about the duration of a transaction in the store.
const RECALL_SPREAD_MS: u64 = 6;
/// How often a waiting request checks whether the note limit has grown enough.
const LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// When callers of denied requests should retry while the store is unavailable, in milliseconds: outages last
/// for some seconds.
const RETRY_STORE_DOWN_MS: u64 = 3_000;
/// When they should retry if other gateways hold the tokens, in milliseconds: these return them within one or
/// two settlements, or the operator raises the level.
const RETRY_HELD_ELSEWHERE_MS: u64 = 4_000;
/// The step in which the growth of the note limit is predicted, in milliseconds.
const RETRY_STEP_MS: u64 = 200;

/// One team's budget on this gateway.
#[derive(Debug)]
pub(crate) struct TeamBudget {
    pub team: String,
    pub holder: String,
    state: Mutex<BudgetState>,
    pub changed: Event,
    settle_requests: async_channel::Sender<()>,
    note_requests: async_channel::Sender<()>,
    pub retired: AtomicBool,
    pub fleet_size: Arc<AtomicU64>,
    /// The number of gateways that own this budget, including this one; 0 if only others own it.
    pub owners: AtomicU64,
}

/// The tokens of a budget by state, as far as this gateway knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenCounts {
    /// Held by this gateway and not reserved.
    pub available: u64,
    /// Held by this gateway and reserved, or charged but not settled yet.
    pub in_use: u64,
    /// In the pool, held by no gateway.
    pub free: u64,
    /// Held by any gateway, or stranded in the accounts of dead ones.
    pub outstanding: u64,
    /// Charged by all gateways.
    pub spent: u64,
    /// The prepaid total.
    pub level: u64,
}

/// The parameters of [`TeamBudget::open`].
pub(crate) struct BudgetOptions {
    /// The name of the VM and the incarnation of this process.
    pub holder: String,
    /// The number of gateways in the fleet.
    pub fleet_size: Arc<AtomicU64>,
    /// The number of gateways that own the budget, including this one; 0 if only others own it.
    pub owners: u64,
    /// Wakes the task that writes usage notes.
    pub note_requests: async_channel::Sender<()>,
    /// The longest time for which charges may wait for a settlement, in milliseconds.
    pub record_ms: u64,
}

impl TeamBudget {
    /// Opens a budget without tokens, starts its settlement task and requests a usage note. Until the first
    /// note is written, a crash of this process would strand all tokens that it drew.
    pub(crate) fn open<S: Rows>(
        rows: &S,
        team: &str,
        level: Level,
        options: BudgetOptions,
    ) -> Arc<TeamBudget> {
        let (settle_requests, requested) = async_channel::bounded(1);
        let budget = Arc::new(TeamBudget {
            team: team.to_owned(),
            holder: options.holder,
            state: Mutex::new(BudgetState::new(level, options.record_ms)),
            changed: Event::new(),
            settle_requests,
            note_requests: options.note_requests,
            retired: AtomicBool::new(false),
            fleet_size: options.fleet_size,
            owners: AtomicU64::new(options.owners),
        });
        let _ = budget.settle_requests.try_send(());
        let _ = budget.note_requests.try_send(());
        exec::spawn(settle::run(budget.clone(), rows.clone(), requested)).detach();
        budget
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Milliseconds since the budget was opened, starting at 1; 0 stands for "never".
    pub(crate) fn now(&self) -> u64 {
        self.lock().now()
    }

    /// The prepaid total.
    pub(crate) fn level(&self) -> Level {
        self.lock().level
    }

    /// Sets the prepaid total, unless the current one comes from the same manifest or a newer one.
    pub(crate) fn set_level(&self, level: Level) {
        let mut state = self.lock();
        if level.version <= state.level.version {
            return;
        }
        let changed = level.tokens != state.level.tokens;
        state.is_level_lowered |= level.tokens < state.level.tokens;
        state.level = level;
        drop(state);
        if changed {
            log::info!(
                "budget: event=level team={} tokens={} version={}",
                self.team,
                level.tokens,
                level.version
            );
            let _ = self.settle_requests.try_send(());
        }
    }

    /// Reserves the worst-case cost of a request, waiting for tokens for at most `timeout`. The last tokens of
    /// a budget are kept for the more urgent requests.
    pub(crate) async fn reserve(
        self: &Arc<TeamBudget>,
        tokens: u64,
        priority: u32,
        timeout: Duration,
    ) -> Result<Reservation, DenialReason> {
        let now = self.now();
        let begun = {
            let mut state = self.lock();
            state.record_request(tokens, timeout.as_millis() as u64, now);
            let is_fresh = now.saturating_sub(state.latest_settlement.began_ms) < DENIAL_REUSE_MS;
            let withheld = self.withheld_reason(&state, tokens, priority);
            // If the pool lacked tokens, other gateways may have returned some since. Without a settlement
            // this gateway would never learn of them.
            if let Some(denied) = withheld
                && (is_fresh || denied == DenialReason::Spent)
            {
                return Err(denied);
            }
            state.mix.record(priority, tokens);
            if withheld.is_none() && state.reserve(tokens) {
                if state.is_note_due() {
                    let _ = self.note_requests.try_send(());
                }
                return Ok(Reservation::local(self, state.generation, tokens));
            }
            let is_conclusive = |denied: &DenialReason| match denied {
                // Not every settlement sends a recall: the one that opens the budget, for example, has no
                // waiting requests.
                DenialReason::Elsewhere => state.has_recent_recall(now, self.writers()),
                DenialReason::Spent | DenialReason::Away => true,
            };
            let is_final = is_fresh || state.is_spent(tokens);
            if let Some(denied) =
                state.denial_reason(tokens).filter(|denied| is_final && is_conclusive(denied))
            {
                return Err(denied);
            }
            state.settlements_begun
        };
        let _guard = WaitGuard::new(self, tokens);
        let held = exec::timeout(timeout, self.wait_for_tokens(tokens, priority, begun)).await;
        held.unwrap_or_else(|| {
            let mut state = self.lock();
            let withheld = self.withheld_reason(&state, tokens, priority);
            match withheld.is_none() && state.reserve(tokens) {
                true => Ok(Reservation::local(self, state.generation, tokens)),
                false => {
                    let denied = state.denial_reason(tokens).or(withheld).unwrap_or(DenialReason::Away);
                    if denied == DenialReason::Away && state.exceeds_note_limit(tokens) {
                        state.record_unnoted(tokens);
                    }
                    Err(denied)
                }
            }
        })
    }

    fn withheld_reason(&self, state: &BudgetState, tokens: u64, priority: u32) -> Option<DenialReason> {
        state.withheld_reason(tokens, priority, self.writers())
    }

    /// Waits until the tokens can be reserved, or until a settlement with a number above `begun` shows that
    /// they can't.
    async fn wait_for_tokens(
        self: &Arc<TeamBudget>,
        tokens: u64,
        priority: u32,
        mut begun: u64,
    ) -> Result<Reservation, DenialReason> {
        let mut is_settlement_due = true;
        loop {
            let listener = self.changed.listen();
            let denied = {
                let mut state = self.lock();
                let withheld = self.withheld_reason(&state, tokens, priority);
                if withheld.is_none() && state.reserve(tokens) {
                    return Ok(Reservation::local(self, state.generation, tokens));
                }
                if state.is_spent(tokens) {
                    return Err(DenialReason::Spent);
                }
                // Requests only the write that the reservation lacks, and one settlement until the next
                // recall, since each call to the store has a cost.
                if state.exceeds_note_limit(tokens) {
                    let _ = self.note_requests.try_send(());
                }
                let is_short = withheld.is_some() || state.grant.usable() < tokens;
                if is_short && std::mem::take(&mut is_settlement_due) {
                    state.is_refresh_due |= withheld.is_some();
                    let _ = self.settle_requests.try_send(());
                }
                let is_new = state.latest_settlement.number > begun;
                if is_new && is_short && !state.latest_settlement.succeeded {
                    return Err(DenialReason::Away);
                }
                if let Some(denied) = withheld.filter(|_| is_new) {
                    return Err(denied);
                }
                state.denial_reason(tokens).filter(|_| is_new)
            };
            match denied {
                Some(DenialReason::Elsewhere) => {
                    // The settlement has recalled the idle tokens of other gateways, which return them soon.
                    exec::sleep(RECALL_WAIT).await;
                    begun = self.lock().settlements_begun;
                    is_settlement_due = true;
                }
                Some(denied) => return Err(denied),
                None => {
                    let _ = exec::timeout(LIMIT_POLL_INTERVAL, listener).await;
                }
            }
        }
    }

    /// Whether this gateway holds the tokens that a request needs. The notes may still have to allow their use.
    pub(crate) fn can_reserve(&self, tokens: u64) -> bool {
        let state = self.lock();
        state.notes.age(state.now()).is_some() && state.grant.usable() >= tokens
    }

    /// Records the demand of a request whose tokens another gateway reserves although this one holds some, and
    /// has more drawn.
    pub(crate) fn record_demand(&self, tokens: u64) {
        let mut state = self.lock();
        let now = state.now();
        state.demand.record_request(now);
        state.demand.record_consumption(tokens);
        drop(state);
        let _ = self.settle_requests.try_send(());
    }

    /// Sets the tokens that earlier processes of this VM used. They predict how many this process will need.
    pub(crate) fn set_earlier_use(&self, tokens: u64) {
        self.lock().earlier_use = tokens;
        let _ = self.settle_requests.try_send(());
    }

    /// The number of gateways that settle this budget and so write its pool row: its owners, or the whole
    /// fleet if only other gateways own it, since all of them draw on it while its owners do not answer.
    pub(crate) fn writers(&self) -> u64 {
        match self.owners.load(Ordering::Relaxed) {
            0 => self.fleet_size.load(Ordering::Relaxed).max(1),
            owners => owners,
        }
    }

    /// Returns idle tokens because another gateway lacks `missing` tokens. In a large fleet the gateways
    /// spread their responses over time, since each is a write to the same partition; `responders` is their
    /// number.
    pub(crate) fn recall(self: &Arc<TeamBudget>, missing: u64, responders: u64) {
        {
            let mut state = self.lock();
            let now = state.now();
            state.record_recall(now);
            if state.grant.available() == 0 {
                return;
            }
            state.recalled_tokens = Some(state.recalled_tokens.unwrap_or(0).max(missing));
        }
        let spread = responders.saturating_sub(SMALL_FLEET) * RECALL_SPREAD_MS;
        if spread == 0 {
            let _ = self.settle_requests.try_send(());
            return;
        }
        let delay = Duration::from_millis(rand::Rng::gen_range(&mut rand::thread_rng(), 0..spread));
        let budget = self.clone();
        exec::spawn(async move {
            exec::sleep(delay).await;
            let _ = budget.settle_requests.try_send(());
        })
        .detach();
    }

    /// The time after which `tokens` may be available, in milliseconds from now.
    pub(crate) fn retry_after_ms(&self, tokens: u64) -> u64 {
        let state = self.lock();
        if state.grant.available() < tokens {
            return if state.latest_settlement.succeeded {
                RETRY_HELD_ELSEWHERE_MS
            } else {
                RETRY_STORE_DOWN_MS
            };
        }
        let wanted = state.grant.used().saturating_add(tokens);
        let ready = (RETRY_STEP_MS..RETRY_STORE_DOWN_MS).step_by(RETRY_STEP_MS as usize);
        let now = state.now();
        ready.into_iter().find(|ms| state.notes.limit(now + ms) >= wanted).unwrap_or(RETRY_STORE_DOWN_MS)
    }

    /// The state that decides on a reservation of `tokens`, for the log.
    pub(crate) fn explain(&self, tokens: u64) -> String {
        let now = self.now();
        let state = self.lock();
        let noted = state.note_limit().saturating_sub(state.grant.used());
        let note_age = state.notes.age(now).unwrap_or(0);
        let latest = &state.latest_settlement;
        format!(
            "tokens={tokens} available={} noted={} note-age-ms={note_age} pool-free={} pool-outstanding={} pool-spent={} level={} level-version={} settled={} settle-age-ms={}",
            state.grant.available(),
            noted.min(state.level.tokens),
            latest.pool_free,
            state.rows.pool.outstanding,
            state.rows.pool.spent,
            state.level.tokens,
            state.level.version,
            latest.succeeded,
            now.saturating_sub(latest.began_ms),
        )
    }

    pub(crate) fn token_counts(&self) -> TokenCounts {
        let state = self.lock();
        TokenCounts {
            available: state.grant.available(),
            in_use: state.grant.in_use(),
            free: state.latest_settlement.pool_free,
            outstanding: state.rows.pool.outstanding,
            spent: state.rows.pool.spent,
            level: state.level.tokens,
        }
    }

    /// The tokens used per second here.
    pub(crate) fn tokens_per_s(&self) -> f64 {
        self.lock().rate()
    }

    /// Gets ready for requests whose tokens another gateway reserved so far, which waits at most `patience`. Returns
    /// whether there are tokens for them.
    pub(crate) async fn take_over(self: &Arc<TeamBudget>, tokens_per_s: f64, patience: Duration) -> bool {
        self.lock().take_over(tokens_per_s);
        let _ = self.note_requests.try_send(());
        // The reservation ends at once, and its tokens remain here.
        self.reserve(tokens_per_s as u64, 0, patience).await.is_ok()
    }

    pub(crate) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::Relaxed)
    }

    /// Returns idle tokens from now on; requests may still draw what they need.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
        let _ = self.settle_requests.try_send(());
    }

    /// Retires the budget and waits for at most `limit` until everything is settled and all unused tokens are
    /// returned.
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
            let TokenCounts { available, in_use, .. } = self.token_counts();
            log::warn!(
                "budget: event=left-unsettled team={} available={available} in-use={in_use}",
                self.team
            );
        }
    }
}

/// Counts the tokens of a waiting request until it is dropped.
struct WaitGuard<'a> {
    budget: &'a TeamBudget,
    tokens: u64,
}

impl<'a> WaitGuard<'a> {
    fn new(budget: &'a TeamBudget, tokens: u64) -> WaitGuard<'a> {
        budget.lock().waiting_tokens += tokens;
        WaitGuard { budget, tokens }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.budget.lock().waiting_tokens -= self.tokens;
    }
}

/// Tokens reserved for one request, until they are charged or the reservation is dropped.
#[derive(Debug)]
pub(crate) enum Reservation {
    /// Reserved from the tokens of this gateway.
    Local(LocalReservation),
    /// Reserved by a gateway that owns the team's budget.
    Remote(RemoteReservation),
}

/// A reservation from the tokens of this gateway.
#[derive(Debug)]
pub(crate) struct LocalReservation {
    budget: Arc<TeamBudget>,
    generation: u64,
    tokens: u64,
}

impl Reservation {
    fn local(budget: &Arc<TeamBudget>, generation: u64, tokens: u64) -> Reservation {
        Reservation::Local(LocalReservation { budget: budget.clone(), generation, tokens })
    }

    /// Charges what the request used; the rest becomes available again.
    pub(crate) fn charge(self, request: &str, tokens: u64) {
        match self {
            Reservation::Local(reserved) => reserved.charge(request, tokens),
            Reservation::Remote(reservation) => reservation.charge(request, tokens),
        }
    }

    /// Charges all reserved tokens, because the actual use is unknown.
    pub(crate) fn charge_all(self, request: &str) {
        match self {
            Reservation::Local(reserved) => {
                let tokens = reserved.tokens;
                reserved.charge(request, tokens);
            }
            Reservation::Remote(reservation) => drop(reservation),
        }
    }
}

impl LocalReservation {
    fn charge(mut self, request: &str, tokens: u64) {
        let reserved = std::mem::take(&mut self.tokens);
        let mut state = self.budget.lock();
        if state.generation != self.generation {
            return;
        }
        let charge = Charge { request: request.to_owned(), key: None, tokens };
        state.demand.record_consumption(tokens);
        state.grant.charge(reserved, charge);
    }
}

impl Drop for LocalReservation {
    fn drop(&mut self) {
        if self.tokens > 0 {
            let mut state = self.budget.lock();
            if state.generation == self.generation {
                state.grant.release(self.tokens);
            }
        }
    }
}

impl TeamBudget {
    /// Plans the schedule of a usage note that is about to be sent; it applies from now on. Returns the
    /// account's generation with it.
    ///
    /// `note_ms` is how long a note takes to be acknowledged, `owners` the number of gateways that own the
    /// budget.
    pub(crate) fn begin_note(&self, note_ms: u64, owners: u64) -> (u64, Schedule) {
        let mut state = self.lock();
        let schedule = state.schedule(note_ms, owners);
        let now = state.now();
        state.notes.record_sent(now, schedule);
        (state.generation, schedule)
    }

    /// Records the outcome of the latest note: `Some(true)` if it was written, `Some(false)` if it certainly
    /// was not, `None` if that is unknown.
    pub(crate) fn end_note(&self, generation: u64, took_effect: Option<bool>) {
        let mut state = self.lock();
        if state.generation != generation {
            return;
        }
        state.notes.record_result(took_effect);
        drop(state);
        self.changed.notify(usize::MAX);
    }
}
