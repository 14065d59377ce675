//! Model check of the budget protocol: every order of events within small bounds, on the same decision code
//! that the router runs. Each invariant also has a broken variant that the check must catch.
//!
//! `cargo test -p budget --test model` runs the bounds of CI; `-- --ignored` runs the larger ones.

mod claims;
mod money;
mod notes;
mod search;
