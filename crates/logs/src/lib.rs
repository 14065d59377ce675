//! A non-blocking logger: lines go through a bounded queue to a thread that writes them in batches.
//!
//! Lines of the level `info` and below are rate-limited; warnings and errors are limited only by the queue.
//! The number of dropped lines is logged.
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

/// The capacity of the queue in lines, which covers some seconds.
const QUEUE_CAPACITY: usize = 4_096;
/// The maximum number of lines per second of the level `info` and below: several times what a busy router
/// writes.
const MAX_INFO_PER_S: u64 = 400;
/// The size from which a batch is written without adding further lines, in bytes.
const BATCH_BYTES: usize = 32 * 1024;
/// How long the writer waits for a line before it checks for dropped lines.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long the writer waits for further lines of a batch, so that it wakes up less often.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// How long a flush waits for the lines before it to be written. The output may block.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// What the queue holds.
enum Entry {
    Line(String),
    /// All lines before it have to be written now. The sender is dropped once they are.
    Flush(SyncSender<()>),
}

struct Logger {
    entries: SyncSender<Entry>,
    level: LevelFilter,
    started: Instant,
    second: AtomicU64,
    lines_in_second: AtomicU64,
    dropped: &'static AtomicU64,
}

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to `output`. Later calls have no effect.
pub fn start(output: impl Write + Send + 'static, level: LevelFilter) {
    let (entries, queue) = sync_channel(QUEUE_CAPACITY);
    let logger = Logger {
        entries,
        level,
        started: Instant::now(),
        second: AtomicU64::new(0),
        lines_in_second: AtomicU64::new(0),
        dropped: &DROPPED,
    };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
        std::thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write(output, &queue))
            .expect("failed to start the logging thread");
    }
}

impl Logger {
    /// Counts a line and returns whether it is within this second's rate limit.
    fn is_within_limit(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        self.lines_in_second.fetch_add(1, Ordering::Relaxed) < MAX_INFO_PER_S
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
        let is_limited = record.level() >= Level::Info;
        if is_limited && !self.is_within_limit() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
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
        if self.entries.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines so far are written, but not for long: the output may block.
    fn flush(&self) {
        let (sender, written) = sync_channel(0);
        if self.entries.try_send(Entry::Flush(sender)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug | Level::Trace => "debug",
    }
}

fn write(mut output: impl Write, queue: &Receiver<Entry>) {
    loop {
        let mut next = match queue.recv_timeout(CHECK_INTERVAL) {
            Ok(entry) => Some(entry),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if let Some(Entry::Line(_)) = next {
            std::thread::sleep(BATCH_DELAY);
        }
        let (mut batch, mut flushed) = (String::new(), None);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => batch.push_str(&line),
                Entry::Flush(sender) => {
                    flushed = Some(sender);
                    break;
                }
            }
            next = if batch.len() < BATCH_BYTES { queue.try_recv().ok() } else { None };
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch.push_str(&format!("level=warn logs: event=lines-left-out count={dropped}\n"));
        }
        // A failed write, for example to a closed standard output, can't be reported anywhere. The lines are
        // lost, but requests are not affected.
        let _ = output.write_all(batch.as_bytes()).and_then(|()| output.flush());
        drop(flushed);
    }
}
