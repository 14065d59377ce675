//! A logger that never blocks: lines go through a bounded queue to a thread that writes them in batches.
//!
//! Information lines are bounded for each second; warnings and errors are bounded by the queue only. What was
//! left out is counted, and the count is logged.
//!
//! ```
//! logs::start(std::io::sink(), log::LevelFilter::Info);
//! log::info!("gateway: event=start");
//! ```

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lines that wait for the writer at most: some seconds' worth.
const QUEUE: usize = 4_096;
/// Information lines in one second: several times what a busy router writes.
const INFO_PER_S: u64 = 400;
/// The largest batch that is written at once, in bytes.
const BATCH: usize = 32 * 1024;
/// How long the writer waits for more lines before it looks for lines left out.
const LOOK: Duration = Duration::from_millis(1_000);
/// How long the writer lets lines gather, so that it wakes up seldom.
const GATHER: Duration = Duration::from_millis(50);

struct Logger {
    lines: SyncSender<String>,
    level: LevelFilter,
    started: Instant,
    second: AtomicU64,
    in_second: AtomicU64,
    omitted: &'static AtomicU64,
}

static OMITTED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to `output`; a later call does nothing.
pub fn start(output: impl Write + Send + 'static, level: LevelFilter) {
    let (lines, queue) = sync_channel(QUEUE);
    let logger = Logger {
        lines,
        level,
        started: Instant::now(),
        second: AtomicU64::new(0),
        in_second: AtomicU64::new(0),
        omitted: &OMITTED,
    };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
        std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write(output, &queue))
            .expect("the writer's thread can be started");
    }
}

impl Logger {
    /// Whether the bound for this second leaves room for one more information line.
    fn has_room(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.in_second.store(0, Ordering::Relaxed);
        }
        self.in_second.fetch_add(1, Ordering::Relaxed) < INFO_PER_S
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let bounded = record.level() >= Level::Info;
        if bounded && !self.has_room() {
            self.omitted.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = format!(
            "t={}.{:03} level={} {}\n",
            time.as_secs(),
            time.subsec_millis(),
            name(record.level()),
            record.args()
        );
        if self.lines.try_send(line).is_err() {
            self.omitted.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug | Level::Trace => "debug",
    }
}

fn write(mut output: impl Write, queue: &Receiver<String>) {
    loop {
        let mut batch = match queue.recv_timeout(LOOK) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => String::new(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if !batch.is_empty() {
            std::thread::sleep(GATHER);
        }
        while batch.len() < BATCH
            && let Ok(line) = queue.try_recv()
        {
            batch.push_str(&line);
        }
        let omitted = OMITTED.swap(0, Ordering::Relaxed);
        if omitted > 0 {
            batch.push_str(&format!("level=warn logs: event=lines-left-out count={omitted}\n"));
        }
        // Nobody can be told that standard output is closed; the lines are lost, the requests are not.
        let _ = output.write_all(batch.as_bytes()).and_then(|()| output.flush());
    }
}
