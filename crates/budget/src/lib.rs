//! Prepaid token budgets: decisions on grants, charges and claims, without side effects.
//!
//! This crate does no I/O and reads no clock, so the same code runs in the router, in the model check and in
//! the benchmarks. It maintains the following invariants, described in `docs/design/budgets.md`:
//!
//! - **I1** the tokens spent and those that may still be spent never exceed the credits
//!   ([`ledger::Pool::is_balanced`]);
//! - **I2** each request identity is charged once ([`ledger::post`]);
//! - **I3** a request that must not be repeated is dispatched at most once ([`claim::decide`]);
//! - **I4** "not run" is only reported for a request that was never dispatched;
//! - **I5** each credit has an identifier, is added once and is never removed ([`ledger::Pool::credit`]);
//! - **I6** tokens are consumed only after the worst case was reserved ([`grant::Grant::reserve`]).
//!
//! ```
//! use budget::{grant::{Grant, ReserveOutcome}, ledger::{Account, Batch, Pool, post}};
//!
//! let mut pool = Pool::default();
//! pool.credit("invoice-1", 1_000);
//! let mut grant = Grant::default();
//! assert_eq!(grant.reserve(400), ReserveOutcome::Insufficient(400));
//!
//! let mut batch = Batch { sequence: 1, ..Batch::default() };
//! batch.entries.insert("radar".into(), grant.open_entry(500, 400, 0, vec![], 10).unwrap());
//! let mut account = Account::default();
//! let mut pools = [("radar".to_owned(), pool)].into();
//! post(&mut account, &mut pools, &|_| false, &batch, 1).unwrap();
//! grant.close_entry(&account.lines["radar"]);
//! assert_eq!(grant.reserve(400), ReserveOutcome::Reserved);
//! ```

pub mod claim;
pub mod demand;
pub mod exposure;
pub mod grant;
pub mod holder;
pub mod ledger;
pub mod urgency;
