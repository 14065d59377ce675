//! If the output blocks because nobody reads it, lines are dropped and counted, and callers don't block.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that blocks until `is_read` is set.
#[derive(Clone, Default)]
struct BlockingOutput {
    is_read: Arc<AtomicBool>,
    text: Arc<Mutex<String>>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        while !self.is_read.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.text.lock().expect("the text").push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn logging_never_blocks_and_dropped_lines_are_counted() {
    let output = BlockingOutput::default();
    logs::start(output.clone(), log::LevelFilter::Info);
    let started = Instant::now();
    for number in 0..20_000 {
        log::warn!("request: id=r-{number} event=end outcome=failed");
        log::info!("request: id=r-{number} event=dispatch");
    }
    assert!(started.elapsed() < Duration::from_secs(5), "it took {:?}", started.elapsed());
    output.is_read.store(true, Ordering::Relaxed);
    for _ in 0..400 {
        let text = output.text.lock().expect("the text").clone();
        if text.contains("event=lines-left-out") {
            let first = text.lines().next().expect("a line");
            assert!(first.contains("level=warn request: id=r-0 event=end"), "{first}");
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the number of dropped lines was not logged");
}
