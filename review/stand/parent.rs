//! Ends a stand-in when the script that started it has ended.

use std::os::unix::process::parent_id;
use std::thread;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Exits as soon as this process has another parent.
pub fn exit_with_parent() {
    let parent = parent_id();
    thread::spawn(move || {
        while parent_id() == parent {
            thread::sleep(CHECK_INTERVAL);
        }
        std::process::exit(0);
    });
}
