//! The table of denied requests, as a gateway follows it.

use super::*;
use crate::support::node;
use standin::{RowsFault, TableRows};

/// A heartbeat names the version of a table that can't be read at the moment: the denial must not be missed.
#[test]
fn a_denial_that_another_gateway_knows_is_read_once_the_store_answers_again() {
    exec::block_on(async {
        let rows = TableRows::default();
        let node = node("vm-1", 1, &rows);
        let _follower = exec::spawn(run(node.clone()));
        exec::sleep(Duration::from_millis(50)).await;
        let upstreams = ["i-1", "i-2", "i-3"].map(str::to_owned).into_iter().collect();
        denials::insert(&rows, Fingerprint::new([7; 16]), &Parts::new(), &upstreams)
            .await
            .expect("the store answers");
        let version = denials::read(&rows).await.expect("the store answers").version;

        rows.set_fault(RowsFault::Down);
        observe_version(&node, version);
        exec::sleep(Duration::from_millis(300)).await;
        assert_eq!(node.quarantine().denied_count(), 0, "the table can't be read");
        rows.set_fault(RowsFault::None);
        for _ in 0..300 {
            if node.quarantine().denied_count() == 1 {
                return;
            }
            exec::sleep(Duration::from_millis(10)).await;
        }
        panic!("the denial was not read");
    });
}
