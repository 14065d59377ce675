//! Starting from a snapshot of the list of upstreams.
//!
//! These tests guard against starting gateways that read every row of the list. On one day, 300 gateways with
//! 3,000 upstreams read 0.67 GB from the store that way, and 30 gateways with 300 upstreams read 0.016 GB.

use super::*;
use crate::support::{PlainTextWire, node};
use crate::watch;
use standin::{RowsFault, TableRows};

const LIST: &str = "upstreams";

fn list(rows: &TableRows, count: usize) {
    for index in 0..count {
        rows.put(LIST, "", &format!("engine-{index}"), format!("narrator 127.0.0.1:{}", 9_000 + index));
    }
}

/// A node that follows the list until it is dropped. A task that outlives its test would take processor time
/// from the others.
struct Gateway {
    node: Arc<Node<PlainTextWire, TableRows>>,
    _watch: smol::Task<()>,
}

impl std::ops::Deref for Gateway {
    type Target = Node<PlainTextWire, TableRows>;

    fn deref(&self) -> &Self::Target {
        &self.node
    }
}

fn gateway(name: &str, rows: &TableRows) -> Gateway {
    let node = node(name, 1, rows);
    let watch = exec::spawn(watch::follow_upstreams(node.clone()));
    Gateway { node, _watch: watch }
}

async fn until(what: &str, is_so: impl Fn() -> bool) {
    for _ in 0..400 {
        if is_so() {
            return;
        }
        exec::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what}");
}

fn knows(node: &Node<PlainTextWire, TableRows>, count: usize) -> impl Fn() -> bool + '_ {
    move || node.listings().len() == count
}

/// The number of times that a node read the list in full.
fn full_reads(node: &Node<PlainTextWire, TableRows>) -> u64 {
    node.metrics.store_calls.with_label_values(&["list", LIST, "read"]).get()
}

fn has_snapshot(rows: &TableRows) -> bool {
    rows.get(TABLE, PART, HEAD).is_some()
}

#[test]
fn of_gateways_that_start_together_one_reads_the_list_in_full() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 50);
        let gateways: Vec<_> = (0..20).map(|index| gateway(&format!("vm-{index}"), &rows)).collect();
        for gateway in &gateways {
            until("a gateway does not know the list", knows(gateway, 50)).await;
        }
        assert_eq!(gateways.iter().map(|gateway| full_reads(gateway)).sum::<u64>(), 1);
    });
}

#[test]
fn changes_since_the_snapshot_are_followed() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 6);
        let first = gateway("vm-1", &rows);
        until("there is no snapshot", || has_snapshot(&rows)).await;
        rows.delete(LIST, "", "engine-2");
        rows.put(LIST, "", "engine-3", "narrator 127.0.0.1:9003 leaving");
        rows.put(LIST, "", "engine-9", "narrator 127.0.0.1:9009 warmup=900");
        let next = gateway("vm-2", &rows);
        for (node, failure) in [
            (&first, "the first gateway does not follow the changes"),
            (&next, "the second gateway does not follow the changes"),
        ] {
            until(failure, || {
                let listings = node.listings();
                !listings.contains_key("engine-2")
                    && listings.contains_key("engine-9")
                    && listings["engine-3"].leaving
            })
            .await;
        }
        assert_eq!(full_reads(&next), 0);
        assert_eq!(*next.listings(), *first.listings());
    });
}

/// The bytes of rows of the list that a node has read.
fn list_bytes(node: &Node<PlainTextWire, TableRows>) -> u64 {
    let bytes = |step| node.metrics.store_bytes.with_label_values(&[step, LIST]).get();
    bytes("list") + bytes("feed")
}

/// All upstreams start after the gateways, as when the platform itself starts. Some of them leave meanwhile.
#[test]
fn a_gateway_reads_a_small_part_of_a_burst_of_changes() {
    exec::block_on(async {
        let rows = TableRows::default();
        let (first, other) = (gateway("vm-1", &rows), gateway("vm-2", &rows));
        first.is_first.store(true, std::sync::atomic::Ordering::Relaxed);
        until("there is no snapshot", || has_snapshot(&rows)).await;
        for index in 0..4_000 {
            rows.put(LIST, "", &format!("engine-{index}"), format!("narrator 127.0.0.1:{}", 9_000 + index));
            if index % 20 == 19 {
                rows.delete(LIST, "", &format!("engine-{}", index - 5));
                exec::sleep(Duration::from_millis(5)).await;
            }
        }
        until("the first gateway does not know the list", knows(&first, 3_800)).await;
        until("the other gateway does not know the list", knows(&other, 3_800)).await;
        assert_eq!(*other.listings(), *first.listings());
        let (read, all) = (list_bytes(&other), list_bytes(&first));
        assert!(read * 2 < all, "the other gateway read {read} bytes, the first one {all}");
    });
}

/// The gateway that writes snapshots may be gone.
#[test]
fn a_burst_of_changes_is_followed_without_a_newer_snapshot() {
    exec::block_on(async {
        let rows = TableRows::default();
        let gateway = gateway("vm-1", &rows);
        until("there is no snapshot", || has_snapshot(&rows)).await;
        list(&rows, 2 * watch::BURST_ROWS);
        until("the gateway does not know the list", knows(&gateway, 2 * watch::BURST_ROWS)).await;
        list(&rows, 3 * watch::BURST_ROWS);
        until("the gateway does not know the longer list", knows(&gateway, 3 * watch::BURST_ROWS)).await;
    });
}

#[test]
fn the_list_is_read_in_full_after_the_store_lost_its_history() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 6);
        let _first = gateway("vm-1", &rows);
        until("there is no snapshot", || has_snapshot(&rows)).await;
        rows.set_fault(RowsFault::HistoryGone);
        rows.delete(LIST, "", "engine-2");
        let next = gateway("vm-2", &rows);
        until("the removed upstream is still listed", knows(&next, 5)).await;
        assert!(full_reads(&next) > 0);
    });
}

#[test]
fn the_wait_for_a_gateway_that_does_not_write_the_claimed_snapshot_is_bounded() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 6);
        let claim = encode(&Claim { holder: "vm-0#1".to_owned(), at_ms: 600_000 });
        rows.put(TABLE, PART, CLAIM, claim);
        let began = std::time::Instant::now();
        let next = gateway("vm-2", &rows);
        until("the gateway does not know the list", knows(&next, 6)).await;
        assert!(began.elapsed() < Duration::from_millis(CLAIM_TIMEOUT_MS + 900), "{:?}", began.elapsed());
    });
}

/// A snapshot of `count` upstreams, whose names and addresses are as irregular as those of a platform.
fn contents(count: usize) -> Contents {
    let mut contents = Contents::default();
    for index in 0..count {
        let zone = index % 3;
        let listing = Listing {
            service: format!("service-{}", index % 2),
            address: SocketAddr::from((
                [10, zone as u8, (scatter(index) % 250) as u8, (index % 250) as u8],
                8_424,
            )),
            data_centre: format!("zone-{zone}"),
            version: "v1".to_owned(),
            slots: 48,
            leaving: index % 10 == 0,
            started: Some(1_796_287_260_000 + scatter(index) % 10_000),
            warmup_ms: 0,
        };
        contents.add(&format!("i-{:010x}", scatter(index)), 100_000 + index as u64, &listing);
    }
    contents
}

/// A number of 40 bits without a pattern.
fn scatter(index: usize) -> u64 {
    xxh3_64(&index.to_le_bytes()) >> 24
}

/// The page with a snapshot of `count` upstreams.
fn page(count: usize, written_ms: u64) -> Page {
    let bytes = compress(&contents(count)).expect("the snapshot is small enough");
    let (change, _) = change(Head { version: 100_000, written_ms, ..Head::of(&bytes) }, &bytes, None);
    let records = change.puts.into_iter().map(|(key, value)| store::rows::Record {
        table: key.table,
        name: key.name,
        version: 1,
        value: Some(value),
    });
    Page { records: records.collect(), version: 1, now_ms: 20_000 }
}

#[test]
fn a_snapshot_of_three_thousand_upstreams_is_read_whole_if_it_is_fresh() {
    let snapshot = read(&page(3_000, 15_000)).expect("a snapshot");
    assert_eq!(snapshot.upstreams.len(), 3_000);
    insta::assert_debug_snapshot!((snapshot.version, &snapshot.upstreams[2_990]));
    assert!(
        read(&page(3_000, 20_000 - MAX_AGE_MS - 1)).is_none(),
        "the store may have discarded the changes since"
    );
    // Rows of 400 bytes each would take 1.2 MB.
    let bytes: usize = page(3_000, 0).records.iter().map(|row| row.value.as_ref().map_or(0, Vec::len)).sum();
    assert!(bytes < 100_000, "{bytes} bytes");
}

/// Twice the upstreams of the target. Without compression, 11,900 upstreams are the most.
#[test]
fn a_snapshot_of_twenty_four_thousand_upstreams_fits_into_a_transaction() {
    let bytes = compress(&contents(24_000)).expect("the snapshot is small enough");
    println!("{} bytes", bytes.len());
    assert_eq!(decompress(&bytes).and_then(Contents::upstreams).map(|all| all.len()), Some(24_000));
}

#[test]
fn bytes_that_expand_beyond_the_limit_are_not_used() {
    let mut encoder = DeflateEncoder::new(vec![], Compression::best());
    let zeros = vec![0; 2 * MAX_CONTENTS_BYTES as usize];
    std::io::Write::write_all(&mut encoder, &zeros).expect("memory accepts all bytes");
    assert!(decompress(&encoder.finish().expect("memory accepts all bytes")).is_none());
    assert!(decompress(b"not compressed").is_none());
}

#[test]
fn a_snapshot_with_altered_or_missing_rows_is_not_used() {
    for row in 0..3 {
        let mut altered = page(6_000, 15_000);
        if let Some(byte) = altered.records[row].value.as_mut().and_then(|value| value.last_mut()) {
            *byte ^= 1;
        }
        assert!(read(&altered).is_none(), "row {row} altered");
        let mut missing = page(6_000, 15_000);
        missing.records.remove(row);
        assert!(read(&missing).is_none(), "row {row} missing");
    }
    assert!(read(&Page::default()).is_none());
}

#[test]
fn bytes_that_did_not_change_are_written_once() {
    let head = |version, written_ms, bytes| Head { version, written_ms, ..Head::of(bytes) };
    let (first, edition) = change(head(7, 100, b"bytes"), b"bytes", None);
    let (same, _) = change(head(9, 200, b"bytes"), b"bytes", Some((edition, 41)));
    let (other, _) = change(head(9, 200, b"others"), b"others", Some((edition, 41)));
    let shape = |change: &Change| (change.puts.len(), change.checks.clone());
    insta::assert_debug_snapshot!([shape(&first), shape(&same), shape(&other)]);
}

#[test]
fn an_upstream_whose_entry_expired_is_not_in_the_snapshot() {
    exec::block_on(async {
        let rows = TableRows::default();
        list(&rows, 6);
        let first = gateway("vm-1", &rows);
        until("the gateway does not know the list", knows(&first, 6)).await;
        until("there is no snapshot", || has_snapshot(&rows)).await;
        rows.set_fault(RowsFault::Down);
        exec::sleep(Duration::from_millis(1_300)).await;
        (0..6).for_each(|index| rows.delete(LIST, "", &format!("engine-{index}")));
        rows.delete(TABLE, PART, HEAD);
        rows.set_fault(RowsFault::None);
        first.is_first.store(true, std::sync::atomic::Ordering::Relaxed);
        for _ in 0..40 {
            exec::sleep(Duration::from_millis(50)).await;
            let next = node("vm-2", 1, &rows);
            if let Start::FromSnapshot(snapshot) = load_or_claim(&next).await {
                assert_eq!(snapshot.upstreams, vec![], "the snapshot contains an expired entry");
            }
        }
    });
}
