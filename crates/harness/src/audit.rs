//! Audits of the budgets by the rows on the platform stand-in.

use crate::fleet::Fleet;
use budget::ledger::{Account, Pool};
use std::collections::BTreeMap;

/// The state of one budget by the platform's rows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Audit {
    /// Prepaid tokens.
    pub credited: u64,
    /// Tokens recorded as spent.
    pub spent: u64,
    /// Tokens granted to routers and neither spent nor returned, by the pool.
    pub outstanding: u64,
    /// Tokens in the pool that can be granted.
    pub free: u64,
    /// Whether the sums over the accounts agree with the pool.
    pub accounts_agree: bool,
    /// Whether every prepaid token is free, outstanding or spent, and only one of these (I1).
    pub balanced: bool,
}

/// Audits each budget by the platform's rows.
///
/// # Panics
/// Panics if a row can't be decoded.
pub fn audit(fleet: &Fleet) -> BTreeMap<String, Audit> {
    let accounts: Vec<Account> =
        fleet.platform.rows("account/").values().map(|row| row.decode().expect("an account row")).collect();
    let pools = fleet.platform.rows("pool/");
    pools
        .into_iter()
        .map(|(key, row)| {
            let budget = key.trim_start_matches("pool/").to_owned();
            let pool: Pool = row.decode().expect("a pool row");
            let lines = accounts.iter().filter_map(|account| account.lines.get(&budget));
            let (mut granted, mut spent, mut returned) = (0, 0, 0);
            for line in lines {
                granted += line.granted;
                spent += line.spent;
                returned += line.returned;
            }
            let accounts_agree = spent == pool.spent && granted - spent - returned == pool.outstanding;
            let audit = Audit {
                credited: pool.credited(),
                spent: pool.spent,
                outstanding: pool.outstanding,
                free: pool.free,
                accounts_agree,
                balanced: pool.is_balanced(),
            };
            (budget, audit)
        })
        .collect()
}
