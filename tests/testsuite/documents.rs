//! Checks the documentation against the code: limits and their defaults, metrics, error codes and examples.

use std::path::PathBuf;

fn page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The first YAML example of a page.
fn example(page: &str) -> &str {
    let begin = page.find("```yaml\n").expect("an example") + "```yaml\n".len();
    let end = page[begin..].find("```").expect("the end of the example");
    &page[begin..begin + end]
}

/// Asserts that a page has a table row for each limit in `value`, with its default, and no other such rows.
fn assert_limits(page: &str, value: &serde_json::Value) {
    for (key, default) in value.as_object().expect("a mapping") {
        let row = page
            .lines()
            .find(|line| line.starts_with(&format!("| `limits.{key}` |")))
            .unwrap_or_else(|| panic!("limits.{key} is not described"));
        let cell = row.split('|').nth(3).map(str::trim);
        assert_eq!(cell, Some(default.to_string().as_str()), "the default of limits.{key}");
    }
    let rows = page.lines().filter(|line| line.starts_with("| `limits.")).count();
    assert_eq!(rows, value.as_object().expect("a mapping").len(), "rows for keys that are not there");
}

#[test]
fn the_settings_page_names_every_limit_with_its_default() {
    let page = page("settings.md");
    assert_limits(&page, &serde_json::json!(router::Limits::default()));
    router::Settings::read(example(&page)).expect("the example is valid");
}

#[test]
fn the_bundle_page_names_every_limit_with_its_default() {
    let page = page("bundle.md");
    assert_limits(&page, &serde_json::json!(bundle::Limits::default()));
    bundle::read(example(&page)).expect("the example is valid");
}

#[test]
fn every_page_of_the_summary_is_there() {
    for line in page("SUMMARY.md").lines() {
        if let Some((_, rest)) = line.split_once("](") {
            assert!(!page(rest.trim_end_matches(')')).is_empty());
        }
    }
}

#[test]
fn the_metrics_page_names_every_metric() {
    crate::support::run(async {
        let fleet = crate::support::start_fleet(harness::Plan::small()).await;
        assert_eq!(fleet.caller(0).chat("narrator", "x", 2).await.status, 200);
        let page = page("operate/metrics.md");
        let metrics = fleet.get(0, "/metrics").await.expect("metrics");
        for line in metrics.lines().filter_map(|line| line.strip_prefix("# TYPE ")) {
            let name = line.split(' ').next().unwrap_or_default();
            assert!(page.contains(name), "{name} is not described");
        }
    });
}

#[test]
fn the_callers_page_names_every_code() {
    let page = page("callers.md");
    let sources = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("crates/router/src");
    let mut codes = 0;
    for entry in std::fs::read_dir(sources).expect("the sources") {
        let text = std::fs::read_to_string(entry.expect("a file").path()).expect("a source file");
        for (at, _) in text.match_indices("Refusal::not_run(") {
            let call: String = text[at..].chars().take(300).collect();
            let before = call.split('"').next().unwrap_or_default();
            // This call passes on a code that its function was given. Such codes are listed below.
            if before.contains("code") {
                continue;
            }
            if let Some(code) = call.split('"').nth(1) {
                assert!(page.contains(&format!("`{code}`")), "{code} is not described");
                codes += 1;
            }
        }
    }
    assert!(codes > 10, "only {codes} codes were found");
    for code in ["stopping", "no_bundle", "invalid_json", "upstream_broke"] {
        assert!(page.contains(&format!("`{code}`")), "{code} is not described");
    }
}
