//! Not yet.
pub async fn run(_: &std::path::Path) {}
