//! Model check of the budget protocol. It tries every order of events within small bounds, on the same
//! decision code that the router runs. For each invariant there are also variants with an injected bug that
//! the check must find.
//!
//! `cargo test -p budget --test model` checks the bounds of CI; `-- --ignored` checks larger ones.

mod claims;
mod grants;
mod notes;
mod search;
