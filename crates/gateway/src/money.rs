//! The budgets that this router draws on: reservations, and their settlement with the store.
//!
//! Each team has a partition of its own with the pool row and an account row for each router. A settlement
//! writes both under the condition that they are as last seen, so a write whose answer was lost is
//! recognised by the account's sequence, however late it took effect.

use budget::demand::{Demand, Terms, is_off_target};
use budget::grant::{Grant, Reserve};
use budget::ledger::{self, Account, Batch, Charge, Level, Pool};
use event_listener::Event;
use net::exec;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::rows::{Change, Commit, Key, Record, Rows};
use store::{Error, Fault};

/// The table of pools and accounts.
const TABLE: &str = "budgets";
/// The key of the pool row.
const POOL: &str = "pool";
/// What the keys of account rows begin with.
const ACCOUNT: &str = "account/";
/// Charges settled in one batch.
const CHARGES: usize = 64;
/// The pause between settlements while nothing is urgent: what a lost router leaves unsettled grows with it.
const SETTLE: Duration = Duration::from_millis(1_000);
/// The pause after a settlement failed.
const SETTLE_AGAIN: Duration = Duration::from_millis(250);
/// Attempts at one batch before the settlement counts as failed.
const ATTEMPTS: u32 = 6;
/// Seconds of demand held, so that requests need no call to the store and outages of it are bridged.
const COVER_S: u64 = 4;
/// How long the pool's emptiness is believed, in milliseconds: tokens come back as other routers settle.
const EMPTY_MS: u64 = 250;

/// Why tokens can't be reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Denied {
    /// The budget can't hold the request at its most.
    Spent,
    /// The store does not answer, and the tokens at hand are not enough.
    Away,
}

/// The rows of a budget as last seen.
#[derive(Clone, Debug, Default)]
struct Rowed {
    pool: Pool,
    pool_version: u64,
    account: Account,
    account_version: u64,
    known: bool,
}

/// How the latest settlement ended.
#[derive(Clone, Copy, Debug, Default)]
struct Latest {
    began: u64,
    settled: bool,
    free: u64,
}

#[derive(Debug)]
struct State {
    grant: Grant,
    demand: Demand,
    level: Level,
    lowered: bool,
    waiting: u64,
    rows: Rowed,
    batch: Option<Batch>,
    latest: Latest,
    ticked: Instant,
    /// Counts the accounts that this process had: another router may close one.
    life: u64,
}

/// One team's budget as this router holds it.
#[derive(Debug)]
pub(crate) struct Purse {
    team: String,
    holder: String,
    started: Instant,
    state: Mutex<State>,
    changed: Event,
    kick: async_channel::Sender<()>,
    closed: AtomicBool,
    fleet: Arc<AtomicU64>,
}

impl Purse {
    /// Opens a budget without tokens and starts its settlement.
    pub(crate) fn open<S: Rows>(
        rows: &S,
        team: &str,
        holder: &str,
        level: Level,
        fleet: Arc<AtomicU64>,
    ) -> Arc<Purse> {
        let (kick, kicked) = async_channel::bounded(1);
        let started = Instant::now();
        let state = State {
            grant: Grant::default(),
            demand: Demand::default(),
            level,
            lowered: false,
            waiting: 0,
            rows: Rowed::default(),
            batch: None,
            latest: Latest::default(),
            ticked: started,
            life: 0,
        };
        let purse = Arc::new(Purse {
            team: team.to_owned(),
            holder: holder.to_owned(),
            started,
            state: Mutex::new(state),
            changed: Event::new(),
            kick,
            closed: AtomicBool::new(false),
            fleet,
        });
        exec::spawn(run(purse.clone(), rows.clone(), kicked)).detach();
        purse
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds a purse")
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
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
        {
            let mut state = self.lock();
            state.demand.ask(now);
            if state.grant.reserve(tokens) == Reserve::Held {
                return Ok(Reservation { purse: self.clone(), life: state.life, tokens });
            }
            if state.is_empty_for(tokens, now.saturating_sub(EMPTY_MS)) {
                return Err(Denied::Spent);
            }
        }
        let waiter = Waiter::new(self, tokens);
        let _ = self.kick.try_send(());
        let held = exec::timeout(patience, self.wait(tokens, now)).await;
        drop(waiter);
        held.unwrap_or(Err(Denied::Away))
    }

    async fn wait(self: &Arc<Purse>, tokens: u64, since: u64) -> Result<Reservation, Denied> {
        loop {
            let listener = self.changed.listen();
            {
                let mut state = self.lock();
                if state.grant.reserve(tokens) == Reserve::Held {
                    return Ok(Reservation { purse: self.clone(), life: state.life, tokens });
                }
                if state.is_empty_for(tokens, since) {
                    return Err(Denied::Spent);
                }
                if state.latest.began >= since && !state.latest.settled {
                    return Err(Denied::Away);
                }
            }
            listener.await;
        }
    }

    /// Tokens available here, and tokens of the pool that no router holds.
    pub(crate) fn figures(&self) -> (u64, u64, u64) {
        let state = self.lock();
        (state.grant.available(), state.grant.in_use(), state.latest.free)
    }

    /// Settles everything and gives unused tokens back, within `limit`.
    pub(crate) async fn close(&self, limit: Duration) {
        self.closed.store(true, Ordering::Relaxed);
        let _ = self.kick.try_send(());
        let settled = async {
            loop {
                let listener = self.changed.listen();
                {
                    let state = self.lock();
                    if state.batch.is_none() && !state.grant.is_dirty() && state.grant.available() == 0 {
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
    /// Whether a settlement that began after `since` showed that the tokens can't be had.
    fn is_empty_for(&self, tokens: u64, since: u64) -> bool {
        self.latest.settled
            && self.latest.began >= since
            && self.latest.began > 0
            && self.latest.free + self.grant.usable() < tokens
    }

    /// Opens the next batch, or takes up the one that is on its way.
    fn next_batch(&mut self, team: &str, now: u64, closing: bool) -> Option<Batch> {
        if let Some(batch) = &self.batch {
            return Some(batch.clone());
        }
        let elapsed = self.ticked.elapsed();
        if elapsed >= SETTLE / 2 {
            self.demand.tick(elapsed.as_millis() as u64);
            self.ticked = Instant::now();
        }
        let terms = Terms { cover_s: COVER_S, least: 0, expose_s: COVER_S };
        let target = if closing || self.lowered { 0 } else { self.demand.target(now, &terms) };
        let need = self.waiting.saturating_sub(self.grant.usable());
        let off = is_off_target(self.grant.available(), target, Some(self.latest.free));
        let level_is_new = self.rows.pool.level.is_none_or(|known| known.version < self.level.version)
            && self.rows.pool.level.is_none_or(|known| known.tokens != self.level.tokens);
        if !self.grant.is_dirty() && need == 0 && !off && !level_is_new {
            return None;
        }
        self.lowered = false;
        let spare = target.max(self.grant.available());
        let entry = self.grant.open(target, need, spare, vec![], CHARGES)?;
        let sequence = self.rows.account.sequence + 1;
        let batch =
            Batch { sequence, entries: BTreeMap::from([(team.to_owned(), entry)]), ..Batch::default() };
        self.batch = Some(batch.clone());
        Some(batch)
    }

    /// Ends the open batch: the account's row shows it.
    fn close_batch(&mut self, team: &str) {
        self.batch = None;
        let line = self.rows.account.lines.get(team).copied().unwrap_or_default();
        self.grant.close(&line);
    }

    /// Starts an account anew after another router closed this one: what it exposed stays spent.
    fn start_over(&mut self) {
        self.life += 1;
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

/// Settles a budget whenever something is due.
async fn run<S: Rows>(purse: Arc<Purse>, rows: S, kicked: async_channel::Receiver<()>) {
    loop {
        let _ = exec::timeout(SETTLE, kicked.recv()).await;
        let ended = settle(&purse, &rows).await;
        purse.changed.notify(usize::MAX);
        match ended {
            Ended::Failed => exec::sleep(SETTLE_AGAIN).await,
            Ended::Idle if purse.closed.load(Ordering::Relaxed) => return,
            Ended::Idle | Ended::Settled => {}
        }
    }
}

enum Ended {
    Idle,
    Settled,
    Failed,
}

async fn settle<S: Rows>(purse: &Purse, rows: &S) -> Ended {
    let began = purse.now().max(1);
    let closing = purse.closed.load(Ordering::Relaxed);
    let Some(mut batch) = purse.lock().next_batch(&purse.team, began, closing) else {
        return Ended::Idle;
    };
    for _ in 0..ATTEMPTS {
        match attempt(purse, rows, &batch).await {
            Ok(Attempt::Done) => {
                let mut state = purse.lock();
                state.latest = Latest { began, settled: true, free: state.rows.pool.free };
                return Ended::Settled;
            }
            Ok(Attempt::Again) => {}
            Ok(Attempt::Closed) => {
                log::warn!("budget: event=account-closed team={} holder={}", purse.team, purse.holder);
                let mut state = purse.lock();
                state.start_over();
                match state.next_batch(&purse.team, began, closing) {
                    Some(next) => batch = next,
                    None => return Ended::Idle,
                }
            }
            Err(error) => {
                log::warn!(
                    "budget: event=settle-failed team={} batch={} {error}",
                    purse.team,
                    batch.sequence
                );
                if error.fault == Fault::Unknown {
                    purse.lock().rows.known = false;
                }
                break;
            }
        }
    }
    let mut state = purse.lock();
    state.latest = Latest { began, settled: false, free: state.latest.free };
    Ended::Failed
}

enum Attempt {
    Done,
    Again,
    Closed,
}

/// Tries a batch once on the rows as last seen, and learns them anew if they changed.
async fn attempt<S: Rows>(purse: &Purse, rows: &S, batch: &Batch) -> Result<Attempt, Error> {
    let known = purse.lock().rows.known;
    if !known {
        let page = rows.list(TABLE, &purse.team).await?;
        purse.learn(&page.records);
    }
    let (mut pool, mut account, versions, level, life) = {
        let state = purse.lock();
        let versions = (state.rows.pool_version, state.rows.account_version);
        (state.rows.pool.clone(), state.rows.account.clone(), versions, state.level, state.life)
    };
    if account.closed {
        return Ok(Attempt::Closed);
    }
    if account.sequence >= batch.sequence {
        purse.lock().close_batch(&purse.team);
        return Ok(Attempt::Done);
    }
    pool.set_level(level);
    let fleet = purse.fleet.load(Ordering::Relaxed);
    let mut pools = BTreeMap::from([(purse.team.clone(), pool)]);
    if let Err(error) = ledger::post(&mut account, &mut pools, &|_| false, batch, fleet) {
        log::error!("budget: event=not-posted team={} batch={} error={error}", purse.team, batch.sequence);
        purse.lock().rows.known = false;
        return Ok(Attempt::Again);
    }
    let pool = pools.remove(&purse.team).unwrap_or_default();
    let pool_key = Key::new(TABLE, POOL);
    let account_key = Key::new(TABLE, purse.account_name(life));
    let change = Change {
        part: purse.team.clone(),
        checks: vec![(pool_key.clone(), versions.0), (account_key.clone(), versions.1)],
        puts: vec![(pool_key, encode(&pool)), (account_key, encode(&account))],
        drops: vec![],
    };
    match rows.commit(&change).await? {
        Commit::Applied(version) => {
            let mut state = purse.lock();
            state.rows =
                Rowed { pool, pool_version: version, account, account_version: version, known: true };
            state.close_batch(&purse.team);
            Ok(Attempt::Done)
        }
        Commit::Conflict(records) => {
            purse.learn(&records);
            Ok(Attempt::Again)
        }
    }
}

impl Purse {
    fn account_name(&self, life: u64) -> String {
        format!("{ACCOUNT}{}.{life}", self.holder)
    }

    /// Takes in rows of this budget as they were read.
    fn learn(&self, records: &[Record]) {
        let mut state = self.lock();
        let account_name = self.account_name(state.life);
        for record in records {
            if record.name == POOL && record.version >= state.rows.pool_version {
                // An unreadable row keeps the old version, so that it is never overwritten.
                let Some(pool) = decode_or_absent(record) else { continue };
                state.rows.pool = pool;
                state.rows.pool_version = record.version;
            } else if record.name == account_name && record.version >= state.rows.account_version {
                let Some(account) = decode_or_absent(record) else { continue };
                state.rows.account = account;
                state.rows.account_version = record.version;
            }
        }
        state.rows.known = true;
    }
}

/// Closes the accounts of a team whose holders are gone, and gives back what they can't have used.
///
/// # Errors
/// Fails if the store does; the next call goes on.
pub(crate) async fn close_accounts<S: Rows>(
    rows: &S,
    team: &str,
    is_gone: impl Fn(&str) -> bool,
) -> Result<(), Error> {
    let page = rows.list(TABLE, team).await?;
    for record in &page.records {
        let Some(holder) = record.name.strip_prefix(ACCOUNT) else { continue };
        if is_gone(holder) {
            close_account(rows, team, record).await?;
        }
    }
    Ok(())
}

async fn close_account<S: Rows>(rows: &S, team: &str, record: &Record) -> Result<(), Error> {
    let name = record.name.clone();
    for _ in 0..ATTEMPTS {
        let page = rows.list(TABLE, team).await?;
        let find = |name: &str| page.records.iter().find(|record| record.name == name);
        let (Some(pool_row), Some(account_row)) = (find(POOL), find(&name)) else { return Ok(()) };
        let (Some(pool), Some(mut account)) = (decode::<Pool>(pool_row), decode::<Account>(account_row))
        else {
            return Ok(());
        };
        if account.closed {
            return Ok(());
        }
        let mut pools = BTreeMap::from([(team.to_owned(), pool)]);
        let released = match ledger::release(&mut account, &mut pools) {
            Ok(released) => released.values().sum::<u64>(),
            Err(error) => {
                log::error!("budget: event=not-closed team={team} account={name} error={error}");
                return Ok(());
            }
        };
        let pool_key = Key::new(TABLE, POOL);
        let account_key = Key::new(TABLE, name.clone());
        let change = Change {
            part: team.to_owned(),
            checks: vec![(pool_key.clone(), pool_row.version), (account_key.clone(), account_row.version)],
            puts: vec![(pool_key, encode(&pools[team])), (account_key, encode(&account))],
            drops: vec![],
        };
        if let Commit::Applied(version) = rows.commit(&change).await? {
            log::info!(
                "budget: event=closed team={team} account={name} released={released} version={version}"
            );
            return Ok(());
        }
    }
    Ok(())
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows serialize to JSON")
}

/// The content of a row, or that of a row which does not exist yet; `None` if it can't be read.
fn decode_or_absent<T: Default + DeserializeOwned>(record: &Record) -> Option<T> {
    if record.value.is_none() { Some(T::default()) } else { decode(record) }
}

fn decode<T: DeserializeOwned>(record: &Record) -> Option<T> {
    let bytes = record.value.as_deref()?;
    match serde_json::from_slice(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(
                "budget: event=unreadable row={} version={} error={error}",
                record.name,
                record.version
            );
            None
        }
    }
}
