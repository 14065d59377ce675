//! Functions that the tests share.

use harness::{Answer, Fleet, Plan, audit};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// The path of the router program.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_tallypaddle"))
}

/// How long a test may take before it fails. Without a limit, a test that waits in vain stops the whole suite.
const TEST_LIMIT: Duration = Duration::from_secs(300);

/// Runs an asynchronous test on four worker threads.
pub fn run(test: impl Future<Output = ()>) {
    net::exec::start(4);
    net::exec::block_on(async { net::exec::timeout(TEST_LIMIT, test).await.expect("the test ends in time") });
}

/// Starts a fleet and waits until it is ready.
pub async fn start_fleet(plan: Plan) -> Fleet {
    Fleet::start(program(), plan).await
}

/// The properties of an answer that are the same in every run, in one line.
pub fn answer_summary(answer: &Answer) -> String {
    let mut text = format!("{}", answer.status);
    if !answer.code.is_empty() {
        let _ = write!(text, " {} {}", answer.code, answer.execution);
    }
    if let Some(seconds) = answer.retry_after {
        let _ = write!(text, " retry-after={seconds}");
    }
    if answer.status == 200 {
        let _ = write!(text, " complete={} usage={}", answer.complete, answer.usage);
    }
    text
}

/// Asks all routers to stop and waits until their processes have ended.
pub async fn stop_all(fleet: &mut Fleet) {
    for node in &fleet.nodes {
        node.process.terminate();
    }
    for index in 0..fleet.nodes.len() {
        wait_ended(fleet, index).await;
    }
}

/// Waits until a router's process has ended, and asserts that it ended with success.
pub async fn wait_ended(fleet: &mut Fleet, index: usize) {
    let deadline = std::time::Instant::now() + Duration::from_secs(30);
    loop {
        if let Some(status) = fleet.nodes[index].process.exit_status() {
            assert!(status.success(), "{status}: {}", fleet.nodes[index].process.log());
            return;
        }
        assert!(std::time::Instant::now() < deadline, "still running: {}", fleet.nodes[index].process.log());
        net::exec::sleep(Duration::from_millis(10)).await;
    }
}

/// A line per budget, by the platform's rows. Asserts that I1 holds.
pub fn budget_summary(fleet: &Fleet) -> String {
    let mut text = String::new();
    for (budget, audit) in audit(fleet) {
        assert!(audit.balanced, "I1: {budget}: {audit:?}");
        assert!(audit.accounts_agree, "{budget}: {audit:?}");
        let _ = writeln!(
            text,
            "{budget}: prepaid {} spent {} held {} free {}",
            audit.credited, audit.spent, audit.outstanding, audit.free
        );
    }
    text
}

/// The number of tokens that the engines read and generated for all runs, by their own records.
pub fn consumed(fleet: &Fleet) -> u64 {
    fleet
        .engines
        .iter()
        .flat_map(|engine| engine.record().usage.into_values())
        .map(|usage| usage.total())
        .sum()
}

/// The number of runs that have neither ended nor been cancelled, by the engines' own records.
pub fn open_runs(fleet: &Fleet) -> usize {
    fleet.engines.iter().map(|engine| engine.record().open_runs.len()).sum()
}

/// The number of runs of a prompt, by the engines' own records.
pub fn executions(fleet: &Fleet, prompt: &str) -> u64 {
    fleet.engines.iter().filter_map(|engine| engine.record().executions.get(prompt).copied()).sum()
}
