//! The resource usage of a process, read from `/proc`.

use std::time::Duration;

/// The unit of the times in `/proc/<pid>/stat`, in ticks per second, as Linux reports them to programs.
const CLOCK_TICKS_PER_S: u64 = 100;

/// The CPU time that a process has used.
pub fn cpu_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let field = |index: usize| {
        after_name.split_whitespace().nth(index).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
    };
    Duration::from_millis((field(11) + field(12)) * 1_000 / CLOCK_TICKS_PER_S)
}

/// The resident memory of a process, in bytes.
pub fn resident_memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0);
    kib * 1024
}
