//! Integration tests with real router processes, stand-ins for the servers that they talk to, and faults.

mod budgets;
mod bundles;
mod callers;
mod command_line;
mod documents;
mod extra_answers;
mod framing;
mod once;
mod stops;
mod support;
mod upstreams;
