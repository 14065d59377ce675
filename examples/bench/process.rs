//! What the system says of a process.

use std::time::Duration;

/// Clock ticks of `/proc/<pid>/stat` in a second, as Linux reports them to programs.
const TICKS: u64 = 100;

/// Processor time used so far.
pub fn cpu(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let field = |index: usize| {
        after_name.split_whitespace().nth(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
    };
    Duration::from_millis((field(11) + field(12)) * 1_000 / TICKS)
}

/// Resident memory in bytes.
pub fn memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0);
    kib * 1024
}
