//! The integration suite: real router processes, stand-ins for what they meet, and faults in between.

mod budgets;
mod bundles;
mod callers;
mod command_line;
mod documents;
mod once;
mod stops;
mod support;
mod upstreams;
