//! The list of upstreams and the evacuations, also during outages of the store.

use super::*;
use crate::support::{PlainTextWire, node};
use standin::{RowsFault, TableRows};

const TABLE: &str = "upstreams";

fn list(rows: &TableRows, count: usize) {
    for index in 0..count {
        rows.put(TABLE, "", &format!("engine-{index}"), format!("narrator 127.0.0.1:{}", 9_000 + index));
    }
}

async fn until(node: &Node<PlainTextWire, TableRows>, what: &str, count: usize) -> u64 {
    let began = node.now();
    for _ in 0..400 {
        if node.listings().len() == count {
            return node.now() - began;
        }
        exec::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what}: {} upstreams are listed", node.listings().len());
}

fn followed(rows: &TableRows) -> Arc<Node<PlainTextWire, TableRows>> {
    let node = node("vm-1", 1, rows);
    exec::spawn(follow_upstreams(node.clone())).detach();
    node
}

async fn outage(rows: &TableRows, during: impl FnOnce()) {
    rows.set_fault(RowsFault::Down);
    exec::sleep(Duration::from_millis(1_300)).await;
    during();
    rows.set_fault(RowsFault::None);
}

#[test]
fn an_upstream_that_vanishes_is_removed() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 6);
        let node = followed(&rows);
        until(&node, "all are listed", 6).await;
        rows.delete(TABLE, "", "engine-2");
        until(&node, "one is gone", 5).await;
    });
}

#[test]
fn an_upstream_that_left_during_an_outage_is_removed_soon_after_it() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 6);
        let node = followed(&rows);
        until(&node, "all are listed", 6).await;
        outage(&rows, || rows.delete(TABLE, "", "engine-2")).await;
        let ms = until(&node, "one is gone", 5).await;
        assert!(ms < RELIST_PERIOD_MS, "the removal took {ms} ms, as long as that of an expired entry");
    });
}

#[test]
fn entries_that_expired_together_are_kept_until_they_can_be_listed_again() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 6);
        let node = followed(&rows);
        until(&node, "all are listed", 6).await;
        outage(&rows, || (0..6).for_each(|index| rows.delete(TABLE, "", &format!("engine-{index}")))).await;
        exec::sleep(Duration::from_millis(900)).await;
        assert_eq!(node.listings().len(), 6, "expired entries were removed at once");
        list(&rows, 5);
        until(&node, "the upstream that was not listed again is removed", 5).await;
    });
}

#[test]
fn the_table_is_read_in_full_after_the_store_lost_its_history() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 3);
        let node = followed(&rows);
        until(&node, "all are listed", 3).await;
        rows.set_fault(RowsFault::HistoryGone);
        rows.delete(TABLE, "", "engine-0");
        rows.put(TABLE, "", "engine-1", "narrator 127.0.0.1:9001 leaving");
        until(&node, "one is gone", 2).await;
        assert!(node.listings()["engine-1"].leaving);
    });
}

#[test]
fn an_older_row_never_replaces_a_newer_one() {
    let rows = TableRows::default();
    let node = node("vm-1", 1, &rows);
    let mut list = UpstreamRows::default();
    let record = |version, value: &str| Record {
        table: TABLE.to_owned(),
        name: "engine-0".to_owned(),
        version,
        value: Some(value.as_bytes().to_vec()),
    };
    apply_row(&node, &mut list, &record(7, "narrator 127.0.0.1:9000 leaving"));
    apply_row(&node, &mut list, &record(5, "narrator 127.0.0.1:9000"));
    assert!(node.listings()["engine-0"].leaving);
}

fn put(rows: &TableRows, value: &str) {
    rows.put(TABLE, "", "engine-1", value);
}

#[test]
fn a_malformed_entry_removes_its_upstream_until_a_valid_one_is_written() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 3);
        let node = followed(&rows);
        until(&node, "all are listed", 3).await;
        let address = node.listings()["engine-1"].address;
        put(&rows, "\u{1}\u{2}");
        until(&node, "the malformed entry names no upstream", 2).await;
        assert!(node.metrics.entries_unfit.get() > 0);
        put(&rows, &format!("engines {address}"));
        until(&node, "the upstream is listed again", 3).await;
    });
}

#[test]
fn a_restart_under_the_same_name_discards_measurements_and_a_late_entry_is_ignored() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 3);
        let node = followed(&rows);
        until(&node, "all are listed", 3).await;
        let address = node.listings()["engine-1"].address;
        put(&rows, &format!("engines {address} leaving started=100"));
        let state = async |what: &str, started: u64, leaving: bool| {
            for _ in 0..200 {
                let listing = node.listings().get("engine-1").cloned();
                if listing.is_some_and(|known| known.started == Some(started) && known.leaving == leaving) {
                    return;
                }
                exec::sleep(Duration::from_millis(10)).await;
            }
            panic!("{what}: {:?}", node.listings().get("engine-1"));
        };
        state("the upstream is leaving", 100, true).await;
        for _ in 0..3 {
            node.placer().record_failure("engine-1", node.now());
        }
        let status = || node.placer().health_status("engine-1", node.now());
        assert_eq!(status(), Some(route::HealthStatus::Ejected));

        put(&rows, &format!("engines {address} started=200"));
        state("the upstream restarted", 200, false).await;
        assert_eq!(
            status(),
            Some(route::HealthStatus::Healthy),
            "the failures before the restart still count"
        );

        put(&rows, &format!("engines {address} leaving started=100"));
        exec::sleep(Duration::from_millis(300)).await;
        state("an entry from before the restart was applied", 200, false).await;
    });
}

/// Guards against an upstream that stays hidden, because another writer put an entry with a later start under its name.
#[test]
fn an_entry_with_a_start_in_the_far_future_hides_its_upstream_for_a_short_time_only() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 3);
        let node = followed(&rows);
        until(&node, "all are listed", 3).await;
        let address = node.listings()["engine-1"].address;
        put(&rows, &format!("engines {address} started=100"));
        put(&rows, &format!("engines 127.0.0.1:1 started={}", u64::MAX));
        let listed = || node.listings().get("engine-1").and_then(|listing| listing.started);
        let state = async |started: u64| {
            for _ in 0..1_000 {
                if listed() == Some(started) {
                    return;
                }
                exec::sleep(Duration::from_millis(10)).await;
            }
            panic!("{started}: {:?}", node.listings().get("engine-1"));
        };
        state(u64::MAX).await;
        put(&rows, &format!("engines {address} started=100"));
        state(100).await;
        assert_eq!(node.listings()["engine-1"].address, address);
    });
}

/// Guards against an entry of an earlier instance that is applied because the store did not show the later one's writes.
#[test]
fn a_late_entry_is_not_applied_during_an_outage_nor_soon_after_it() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 3);
        let node = followed(&rows);
        until(&node, "all are listed", 3).await;
        let address = node.listings()["engine-1"].address;
        put(&rows, &format!("engines {address} started=200"));
        put(&rows, &format!("engines {address} started=100"));
        exec::sleep(Duration::from_millis(300)).await;
        rows.set_fault(RowsFault::Down);
        exec::sleep(Duration::from_millis(late_period_ms(&node) + 300)).await;
        assert_eq!(node.listings()["engine-1"].started, Some(200));
        rows.set_fault(RowsFault::None);
        exec::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(node.listings()["engine-1"].started, Some(200));
        put(&rows, &format!("engines {address} leaving started=200"));
        exec::sleep(Duration::from_millis(late_period_ms(&node))).await;
        assert_eq!(node.listings()["engine-1"].started, Some(200));
        assert!(node.listings()["engine-1"].leaving);
    });
}

/// Guards against an upstream that a starting gateway does not list, because a snapshot left out an entry that seemed late.
#[test]
fn a_snapshot_holds_an_entry_that_seems_late() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 1);
        let node = node("vm-1", 1, &rows);
        let mut known = UpstreamRows::default();
        let listing = |started| {
            let text = format!("engines 127.0.0.1:9000 started={started}");
            node.wire.decode_listing(text.as_bytes()).expect("an entry")
        };
        list_upstream(&node, &mut known, "engine-0", 1, listing(u64::MAX));
        list_upstream(&node, &mut known, "engine-0", 2, listing(100));
        write_snapshot(&node, &known, &mut Writer::default(), 2);
        for _ in 0..200 {
            if let Some(snapshot) = snapshot::load(&node).await {
                assert_eq!(snapshot.upstreams[0].listing.started, Some(100));
                return;
            }
            exec::sleep(Duration::from_millis(10)).await;
        }
        panic!("no snapshot was written");
    });
}

async fn evacuated(node: &Node<PlainTextWire, TableRows>, what: &str, expected: &[&str]) {
    for _ in 0..300 {
        if node.placer().evacuated().eq(expected.iter().copied()) {
            return;
        }
        exec::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what}: evacuated are {:?}", node.placer().evacuated().collect::<Vec<_>>());
}

fn operator(rows: &TableRows, name: &str, value: &str) {
    rows.put("operator", "", name, value);
}

#[test]
fn evacuations_are_followed_across_outages_a_lost_history_and_a_restart() {
    exec::block_on(async {
        let rows = TableRows::default();
        operator(&rows, "manifest", "1");
        let first = node("vm-1", 1, &rows);
        exec::spawn(follow_manifest(first.clone())).detach();
        operator(&rows, "evacuated here", "{}");
        operator(&rows, "evacuated nowhere", "not what it should be");
        evacuated(&first, "two rows", &["here", "nowhere"]).await;
        rows.delete("operator", "", "evacuated nowhere");
        evacuated(&first, "one data centre is restored", &["here"]).await;

        outage(&rows, || {
            rows.delete("operator", "", "evacuated here");
            operator(&rows, "evacuated there", "{}");
        })
        .await;
        evacuated(&first, "changes during an outage", &["there"]).await;

        rows.set_fault(RowsFault::HistoryGone);
        rows.delete("operator", "", "evacuated there");
        operator(&rows, "evacuated here", "{}");
        evacuated(&first, "after a full read", &["here"]).await;
        rows.set_fault(RowsFault::None);
        assert_eq!(first.metrics.data_centres_evacuated.get(), 1);

        let next = node("vm-1", 2, &rows);
        exec::spawn(follow_manifest(next.clone())).detach();
        evacuated(&next, "after a restart", &["here"]).await;
    });
}

#[test]
fn an_older_row_restores_no_data_centre() {
    let rows = TableRows::default();
    let node = node("vm-1", 1, &rows);
    let mut evacuations = Evacuations::default();
    let record = |version, value: Option<&str>| Record {
        table: "operator".to_owned(),
        name: "evacuated here".to_owned(),
        version,
        value: value.map(|value| value.as_bytes().to_vec()),
    };
    evacuations.apply(&node, &record(7, Some("{}")));
    evacuations.apply(&node, &record(5, None));
    evacuations.apply_all(&node, &Page { version: 6, ..Page::default() });
    assert!(node.placer().evacuated().eq(["here"]), "a stale read restored a data centre");
    evacuations.apply_all(&node, &Page { version: 8, ..Page::default() });
    assert_eq!(node.placer().evacuated().count(), 0);
}

#[test]
fn an_entry_tells_that_its_upstream_is_warming_up() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 2);
        let node = followed(&rows);
        until(&node, "all are listed", 2).await;
        node.placer().set_warmups(std::collections::HashMap::from([(
            "narrator".to_owned(),
            route::warmup::Warmup { per_s: 5.0, duration_ms: 100 },
        )]));
        let address = node.listings()["engine-1"].address;
        put(&rows, &format!("narrator {address} warmup=700"));
        exec::sleep(Duration::from_millis(300)).await;
        assert!(
            !node.placer().has_room("engine-1", node.now()),
            "a gateway that is on no list yet has no part of the requests"
        );
        assert!(node.placer().has_room("engine-0", node.now()));
        exec::sleep(Duration::from_millis(700)).await;
        assert!(node.placer().has_room("engine-1", node.now()));
    });
}

#[test]
fn a_store_that_loses_its_history_at_once_is_not_read_in_a_tight_loop() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 3);
        rows.set_fault(RowsFault::HistoryGone);
        let node = followed(&rows);
        exec::sleep(Duration::from_millis(1_000)).await;
        let reads = node.metrics.store_calls.with_label_values(&["list", TABLE, "read"]).get();
        assert!((2..=11).contains(&reads), "{reads} reads in a second");
        rows.set_fault(RowsFault::None);
    });
}

/// The time in which a node applies a full read of `count` upstreams, sees them all expire in an outage and
/// decides on them.
fn expiry_time(count: usize) -> Duration {
    let rows = TableRows::default();
    let node = node("vm-1", 1, &rows);
    let record = |index: usize| Record {
        table: TABLE.to_owned(),
        name: format!("engine-{index}"),
        version: 1,
        value: Some(format!("narrator 127.0.0.1:{}", 9_000 + index).into_bytes()),
    };
    let full = Page { records: (0..count).map(record).collect(), version: 1, now_ms: 0 };
    let mut list = UpstreamRows { regained_at: Some(node.now()), ..UpstreamRows::default() };
    let began = std::time::Instant::now();
    apply_list(&node, &mut list, &full);
    apply_list(&node, &mut list, &full);
    apply_list(&node, &mut list, &Page { version: 2, ..Page::default() });
    list.vanished.values_mut().for_each(|until| *until = 0);
    resolve_vanished(&node, &mut list);
    let elapsed = began.elapsed();
    assert_eq!((node.listings().len(), list.vanished.len()), (count, count), "all may be listed again");
    elapsed
}

/// With a walk over all upstreams for each of them, ten times the upstreams would take a hundred times as
/// long.
#[test]
fn the_time_of_an_outage_does_not_grow_faster_than_the_list() {
    exec::block_on(async {
        let least = |count| (0..3).map(|_| expiry_time(count)).min().expect("three times");
        let (small, large) = (least(600), least(6_000));
        assert!(large < small * 30, "600 upstreams take {small:?}, 6,000 take {large:?}");
    });
}
