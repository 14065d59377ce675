//! Prepaid budgets: pure decisions on grants, charges and claims.
//!
//! Nothing here does I/O or reads a clock, so the same code runs in the router, in the model check and in
//! the benches. The invariants, named as in the design note `docs/design/budgets.md`:
//!
//! - **I1** spent + still possible spend ≤ credits, at all times ([`ledger::Pool::balance`]);
//! - **I2** one charge for each request identity ([`ledger::post`]);
//! - **I3** at most one dispatch of a request that must not be repeated ([`claim::decide`]);
//! - **I4** "not run" is only said of a request that was never dispatched;
//! - **I5** credits are identified entries that are added once and never taken away ([`ledger::Pool::credit`]);
//! - **I6** tokens are consumed only under a reservation of the worst case ([`grant::Grant::reserve`]).
//!
//! ```
//! use budget::{grant::{Grant, Reserve}, ledger::{Account, Batch, Pool, post}};
//!
//! let mut pool = Pool::default();
//! pool.credit("invoice-1", 1_000);
//! let mut grant = Grant::default();
//! assert_eq!(grant.reserve(400), Reserve::Short(400));
//!
//! let mut batch = Batch { sequence: 1, ..Batch::default() };
//! batch.entries.insert("radar".into(), grant.open(500, 400, 0, vec![], 10).unwrap());
//! let mut account = Account::default();
//! let mut pools = [("radar".to_owned(), pool)].into();
//! post(&mut account, &mut pools, &|_| false, &batch, 1).unwrap();
//! grant.close(&account.lines["radar"]);
//! assert_eq!(grant.reserve(400), Reserve::Held);
//! ```

pub mod claim;
pub mod demand;
pub mod exposure;
pub mod grant;
pub mod ledger;
