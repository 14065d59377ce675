//! Not yet.
pub fn run() {}
