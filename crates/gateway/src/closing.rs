//! Closing the accounts of routers that are gone, and giving back what they can't have used.

use crate::settle::backoff;
use crate::table::{ACCOUNT, BUDGETS, POOL, decode, encode};
use budget::ledger::{self, Account, Line, Pool};
use net::exec;
use std::collections::BTreeMap;
use store::rows::{Change, Commit, Key, Record, Rows};
use store::{Error, Fault};

/// Attempts at one account while other routers change the pool. After a kill of all of them they do so together, and
/// what is not closed stays out of use: so many attempts fail only if the store is overrun.
const ATTEMPTS: u32 = 24;

/// What is known of the use of an account that its line does not show.
pub(crate) trait Exposure {
    /// The most that the account's holder may have used beyond its line.
    fn exposed(&self, team: &str, account: &str, line: &Line) -> u64;

    /// How old the note was that says so, and the limit that it set by then; `None` without a note.
    fn noted(&self, team: &str, account: &str) -> Option<Noted>;
}

/// What the last note of a dead gateway said, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Noted {
    /// Its age at the death, in milliseconds.
    pub age_ms: u64,
    /// Tokens used when it was made.
    pub used: u64,
    /// Tokens of these that requests which had ended were charged.
    pub charged: u64,
    /// Tokens that may have been used by the death.
    pub limit: u64,
}

/// Closes the accounts of a team whose holders are gone; returns the tokens that they are known to have spent, `None`
/// if they have no account.
///
/// # Errors
/// Fails if the store does; calling it again goes on.
pub(crate) async fn close_accounts<S: Rows>(
    rows: &S,
    team: &str,
    is_gone: impl Fn(&str) -> bool,
    exposure: &impl Exposure,
    rivals: u64,
) -> Result<Option<u64>, Error> {
    let page = rows.list(BUDGETS, team).await?;
    let mut spent = None;
    for record in &page.records {
        if !record.name.strip_prefix(ACCOUNT).is_some_and(&is_gone) {
            continue;
        }
        let Some(account) = decode::<Account>(record) else { continue };
        spent = Some(spent.unwrap_or(0) + account.lines.get(team).map_or(0, |line| line.spent));
        if !account.closed {
            close_account(rows, team, &record.name, page.records.clone(), exposure, rivals).await?;
        }
    }
    Ok(spent)
}

async fn close_account<S: Rows>(
    rows: &S,
    team: &str,
    name: &str,
    mut records: Vec<Record>,
    exposure: &impl Exposure,
    rivals: u64,
) -> Result<(), Error> {
    for round in 0..ATTEMPTS {
        let find = |name: &str| records.iter().find(|record| record.name == name);
        let (Some(pool_row), Some(account_row)) = (find(POOL), find(name)) else { return Ok(()) };
        let (Some(pool), Some(mut account)) = (decode::<Pool>(pool_row), decode::<Account>(account_row))
        else {
            return Ok(());
        };
        if account.closed {
            return Ok(());
        }
        let mut pools = BTreeMap::from([(team.to_owned(), pool)]);
        let exposed = |_: &str, line: &Line| exposure.exposed(team, name, line);
        let released = match ledger::close_account_with_exposure(&mut account, &mut pools, exposed) {
            Ok(released) => released.values().sum::<u64>(),
            Err(error) => {
                log::error!("budget: event=not-closed team={team} account={name} error=\"{error}\"");
                return Ok(());
            }
        };
        let left: u64 = account.lines.values().map(Line::held).sum();
        let spent: u64 = account.lines.values().map(|line| line.spent).sum();
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
                let noted = exposure.noted(team, name).map_or("noted=none".to_owned(), |noted| {
                    let Noted { age_ms, used, charged, limit } = noted;
                    format!("note-age-ms={age_ms} noted={used} charged={charged} limit={limit}")
                });
                log::info!(
                    "budget: event=closed team={team} account={name} released={released} lost={left} spent={spent} {noted} version={version}"
                );
                return Ok(());
            }
            Commit::Conflict(current) => records = current,
        }
        exec::sleep(backoff(round, rivals)).await;
    }
    Err(Error {
        step: "close an account",
        peer: format!("{team}/{name}"),
        fault: Fault::NotApplied,
        reason: format!("{ATTEMPTS} conflicts"),
    })
}
