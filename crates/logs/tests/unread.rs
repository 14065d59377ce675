//! A reader that stops reading costs lines, not requests.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that blocks until it is let go.
#[derive(Clone, Default)]
struct Pipe {
    is_read: Arc<AtomicBool>,
    text: Arc<Mutex<String>>,
}

impl Write for Pipe {
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
fn writing_never_blocks_and_what_is_left_out_is_counted() {
    let pipe = Pipe::default();
    logs::start(pipe.clone(), log::LevelFilter::Info);
    let began = Instant::now();
    for number in 0..20_000 {
        log::warn!("request: id=r-{number} event=end outcome=failed");
        log::info!("request: id=r-{number} event=dispatch");
    }
    assert!(began.elapsed() < Duration::from_secs(5), "it took {:?}", began.elapsed());
    pipe.is_read.store(true, Ordering::Relaxed);
    for _ in 0..400 {
        let text = pipe.text.lock().expect("the text").clone();
        if text.contains("event=lines-left-out") {
            let first = text.lines().next().expect("a line");
            assert!(first.contains("level=warn request: id=r-0 event=end"), "{first}");
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("nothing says that lines were left out");
}
