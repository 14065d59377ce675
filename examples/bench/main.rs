//! Benchmarks with real router processes and stand-in engines, or in virtual time.
//!
//! Usage: `cargo run --release --example bench -- NAME`
//!
//! Each benchmark prints tables in Markdown. It sends load to loopback addresses only, and ends by itself.

mod budgets;
mod control;
mod placement;
mod policy;
mod process;
mod router;

use std::path::PathBuf;
use std::process::ExitCode;
use tallypaddle::cmd::{Serve, finish};

const USAGE: &str = "usage: bench router | budgets | policy [ROUNDS] | control | placement";

fn main() -> ExitCode {
    let owned: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = owned.iter().map(String::as_str).collect();
    if let ["serve", settings] = arguments.as_slice() {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
        return finish(Serve { settings: PathBuf::from(settings) }.execute());
    }
    net::exec::start(6);
    let program = std::env::current_exe().expect("this program's own path");
    match arguments.as_slice() {
        ["router"] => net::exec::block_on(router::run(&program)),
        ["budgets"] => budgets::run(),
        ["placement"] => placement::run(),
        ["policy"] => policy::run(),
        ["control"] => net::exec::block_on(control::run(&program)),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
