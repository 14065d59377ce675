//! Who is alive, around cuts and restarts.

use super::*;
use crate::support::{Plain, node};
use standin::TableRows;
use store::rows::Record;

const GONE_AFTER: u64 = 400;

fn page(beats: &[(&str, u64)]) -> Page {
    let record = |(name, version): &(&str, u64)| Record {
        table: TABLE.to_owned(),
        name: (*name).to_owned(),
        version: *version,
        value: None,
    };
    Page { records: beats.iter().map(record).collect(), ..Page::default() }
}

async fn pause(ms: u64) {
    exec::sleep(Duration::from_millis(ms)).await;
}

fn router() -> Arc<Node<Plain, TableRows>> {
    node("vm-1", 1, &TableRows::default())
}

#[test]
fn one_that_stops_beating_is_gone() {
    exec::block_on(async {
        let (node, mut members) = (router(), Members::default());
        for version in 1..=8 {
            let beats = page(&[("vm-1", version), ("vm-2", 1)]);
            let gone = look(&node, &mut members, &beats, GONE_AFTER);
            if !gone.is_empty() {
                assert_eq!(gone, ["vm-2"]);
                return assert_eq!(node.fleet_size(), 1);
            }
            assert_eq!(node.fleet_size(), 2);
            pause(100).await;
        }
        panic!("a silent gateway was never gone");
    });
}

#[test]
fn those_that_could_not_beat_while_all_were_cut_off_are_not_gone() {
    exec::block_on(async {
        let (node, mut members) = (router(), Members::default());
        assert_eq!(node.fleet_size(), 8, "nothing was read yet");
        let beats = [("vm-1", 1), ("vm-2", 2), ("vm-3", 3)];
        assert!(look(&node, &mut members, &page(&beats), GONE_AFTER).is_empty());
        // No read succeeds for longer than it takes to be gone, and nobody can write meanwhile.
        pause(GONE_AFTER + 200).await;
        assert!(look(&node, &mut members, &page(&beats), GONE_AFTER).is_empty());
        assert_eq!(node.fleet_size(), 3);
    });
}
