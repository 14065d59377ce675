//! The last lines of a process are written before it exits.

use std::io::Write;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Output(Arc<Mutex<String>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the text").push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn all_lines_before_a_flush_are_written() {
    let output = Output::default();
    logs::start(output.clone(), log::LevelFilter::Info);
    for number in 0..3 {
        log::info!("gateway: event=stop number={number}");
        log::logger().flush();
        let text = output.0.lock().expect("the text").clone();
        assert!(text.ends_with(&format!("gateway: event=stop number={number}\n")), "{text}");
    }
}
