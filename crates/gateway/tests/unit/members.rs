//! Detection of gateways that are gone, during network partitions and restarts.

use super::*;
use crate::support::{PlainTextWire, manifest, node};
use crate::table::{BUDGETS, POOL};
use standin::TableRows;
use store::rows::Record;

const GONE_AFTER: u64 = 400;

fn page(heartbeats: &[(&str, u64)]) -> Page {
    let record = |(name, version): &(&str, u64)| Record {
        table: TABLE.to_owned(),
        name: (*name).to_owned(),
        version: *version,
        value: None,
    };
    Page { records: heartbeats.iter().map(record).collect(), ..Page::default() }
}

async fn pause(ms: u64) {
    exec::sleep(Duration::from_millis(ms)).await;
}

fn gateway() -> Arc<Node<PlainTextWire, TableRows>> {
    node("vm-1", 1, &TableRows::default())
}

#[test]
fn a_gateway_without_heartbeats_is_gone() {
    exec::block_on(async {
        let (node, mut members) = (gateway(), Members::default());
        for version in 1..=8 {
            let heartbeats = page(&[("vm-1", version), ("vm-2", 1)]);
            let gone = update_members(&node, &mut members, &heartbeats, GONE_AFTER);
            if !gone.is_empty() {
                assert_eq!(gone, ["vm-2"]);
                return assert_eq!(node.fleet_size(), 1);
            }
            assert_eq!(node.fleet_size(), 2);
            node.clock.advance(Duration::from_millis(100));
        }
        panic!("a gateway without heartbeats still counts as alive");
    });
}

#[test]
fn gateways_that_could_not_write_heartbeats_during_an_outage_are_not_gone() {
    exec::block_on(async {
        let (node, mut members) = (gateway(), Members::default());
        assert_eq!(node.fleet_size(), 8, "the list has not been read yet");
        let heartbeats = [("vm-1", 1), ("vm-2", 2), ("vm-3", 3)];
        assert!(update_members(&node, &mut members, &page(&heartbeats), GONE_AFTER).is_empty());
        // For longer than it takes to be considered gone, no read succeeds and no gateway can write.
        pause(GONE_AFTER + 200).await;
        assert!(update_members(&node, &mut members, &page(&heartbeats), GONE_AFTER).is_empty());
        assert_eq!(node.fleet_size(), 3);
    });
}

#[test]
fn a_gateway_that_is_removed_during_a_network_partition_keeps_its_tokens() {
    exec::block_on(async {
        let rows = TableRows::default();
        let (cut_off, other) = (node("vm-1", 1, &rows), node("vm-2", 1, &rows));
        for node in [&cut_off, &other] {
            node.apply_manifest(manifest(1, &[("desk", 100_000)]));
            node.fleet_size.store(2, Ordering::Relaxed);
        }
        let teams = cut_off.manifest().expect("a manifest");
        let budget = cut_off.budget(&teams, &teams.teams["desk"]).expect("a budget");
        budget.reserve(10_000, 0, Duration::from_secs(2)).await.expect("tokens").charge("r-1", 10_000);
        let held = budget.token_counts().available;
        assert!(held > 10_000, "only {held} tokens are available");

        remove_gateway(&other, "vm-1").await;
        budget
            .reserve(held, 0, Duration::from_secs(2))
            .await
            .expect("the tokens are still available")
            .charge("r-2", held);
        budget.close(Duration::from_secs(2)).await;
        let bytes = rows.get(BUDGETS, "desk", POOL).expect("the pool row");
        let pool: budget::ledger::Pool = serde_json::from_slice(&bytes).expect("a pool");
        assert_eq!((pool.spent, pool.outstanding), (10_000 + held, 0));
    });
}

#[test]
fn gateways_of_a_large_fleet_open_no_more_connections_than_an_upstream_accepts() {
    const CONNECTION_LIMIT: usize = 360;
    exec::block_on(async {
        let node = gateway();
        for fleet in [6, 87, 295, 1_400] {
            node.fleet_size.store(fleet, Ordering::Relaxed);
            let sum = node.max_connections(CONNECTION_LIMIT) * fleet as usize;
            assert!(
                sum <= CONNECTION_LIMIT,
                "{fleet} gateways may open {sum} connections to an upstream that accepts {CONNECTION_LIMIT}"
            );
        }
    });
}
