//! Closes the accounts of gateways that are gone, and returns the tokens that these can't have used to the
//! pool.

use crate::settle::conflict_backoff;
use crate::table::{ACCOUNT, BUDGETS, POOL, decode, encode};
use budget::ledger::{self, Account, Exposed, Line, Pool};
use net::exec;
use std::collections::BTreeMap;
use store::rows::{Change, Commit, Key, Record, Rows};
use store::{Error, Fault};

/// Attempts to close one account while other gateways write the pool row. If all gateways were killed, they
/// restart and do so at the same time, and the tokens of an account that is not closed stay unusable. With
/// this many attempts, closing fails only if the store is overloaded.
const ATTEMPTS: u32 = 24;

/// What is known about the use of an account beyond the line in its row.
pub(crate) trait Exposure {
    /// What the account's holder may have used beyond its line.
    fn exposed(&self, team: &str, account: &str, line: &Line) -> Exposed;

    /// The usage note that `exposed` is based on; `None` if there is none.
    fn note_summary(&self, team: &str, account: &str) -> Option<NoteSummary>;
}

/// The last usage note of a dead gateway, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoteSummary {
    /// The age of the note when the gateway died, in milliseconds.
    pub age_ms: u64,
    /// Tokens used when the note was made.
    pub used: u64,
    /// The part of `used` that was charged to requests that had ended.
    pub charged: u64,
    /// The most tokens that the note allowed the gateway to use until it died.
    pub limit: u64,
}

/// Closes the accounts of a team whose holders are gone. Returns the tokens that these have spent, including
/// charges that only their notes show; `None` if they have no account.
///
/// # Errors
/// Fails if the store does. A further call closes the accounts that are left.
pub(crate) async fn close_accounts<S: Rows>(
    rows: &S,
    team: &str,
    is_gone: impl Fn(&str) -> bool,
    exposure: &impl Exposure,
    writers: u64,
) -> Result<Option<u64>, Error> {
    let page = rows.list(BUDGETS, team).await?;
    let mut spent = None;
    for record in &page.records {
        if !record.name.strip_prefix(ACCOUNT).is_some_and(&is_gone) {
            continue;
        }
        let Some(account) = decode::<Account>(record) else { continue };
        let spent_by_holder = match account.closed {
            true => spent_tokens(&account, team),
            false => close_account(rows, team, &record.name, page.records.clone(), exposure, writers).await?,
        };
        spent = Some(spent.unwrap_or(0) + spent_by_holder);
    }
    Ok(spent)
}

/// The tokens of a team's budget that an account has spent.
fn spent_tokens(account: &Account, team: &str) -> u64 {
    account.lines.get(team).map_or(0, |line| line.spent)
}

/// Closes one account. Returns the tokens that it has spent.
async fn close_account<S: Rows>(
    rows: &S,
    team: &str,
    name: &str,
    mut records: Vec<Record>,
    exposure: &impl Exposure,
    writers: u64,
) -> Result<u64, Error> {
    let mut spent = 0;
    for round in 0..ATTEMPTS {
        let find = |name: &str| records.iter().find(|record| record.name == name);
        let Some(account_row) = find(name) else { return Ok(spent) };
        let Some(mut account) = decode::<Account>(account_row) else { return Ok(spent) };
        spent = spent_tokens(&account, team);
        if account.closed {
            return Ok(spent);
        }
        let Some(pool_row) = find(POOL) else { return Ok(spent) };
        let Some(pool) = decode::<Pool>(pool_row) else { return Ok(spent) };
        let mut pools = BTreeMap::from([(team.to_owned(), pool)]);
        let exposed = |_: &str, line: &Line| exposure.exposed(team, name, line);
        let released = match ledger::close_account_with_exposure(&mut account, &mut pools, exposed) {
            Ok(released) => released.values().sum::<u64>(),
            Err(error) => {
                log::error!("budget: event=not-closed team={team} account={name} error=\"{error}\"");
                return Ok(spent);
            }
        };
        let left: u64 = account.lines.values().map(Line::held).sum();
        let spent = spent_tokens(&account, team);
        let pool_key = Key::new(BUDGETS, POOL);
        let account_key = Key::new(BUDGETS, name);
        let change = Change {
            part: team.to_owned(),
            checks: vec![(pool_key.clone(), pool_row.version), (account_key.clone(), account_row.version)],
            puts: vec![(pool_key, encode(&pools[team])), (account_key, encode(&account))],
            drops: vec![],
        };
        match rows.commit(&change).await? {
            Commit::Applied(version) => {
                let noted = exposure.note_summary(team, name).map_or("noted=none".to_owned(), |noted| {
                    let NoteSummary { age_ms, used, charged, limit } = noted;
                    format!("note-age-ms={age_ms} noted={used} charged={charged} limit={limit}")
                });
                log::info!(
                    "budget: event=closed team={team} account={name} released={released} lost={left} spent={spent} {noted} version={version}"
                );
                return Ok(spent);
            }
            Commit::Conflict(current) => records = current,
        }
        exec::sleep(conflict_backoff(round, writers)).await;
    }
    Err(Error {
        step: "close an account",
        peer: format!("{team}/{name}"),
        fault: Fault::NotApplied,
        reason: format!("{ATTEMPTS} conflicts"),
    })
}
