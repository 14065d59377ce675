//! What a pool remembers of upstreams and prefixes stays bounded and current.

use super::*;

#[test]
fn an_evicted_prefix_that_is_cached_again_counts_once() {
    let mut pool = Pool::new("regina-a");
    let spec = UpstreamSpec { data_centre: "regina-a".into(), limit: 1, models: vec!["narrator".into()] };
    pool.set("engine-1", spec);
    for _ in 0..2 * MAX_PREFIXES {
        pool.record_cache_event("engine-1", 1, true);
        pool.record_cache_event("engine-1", 1, false);
    }
    pool.record_cache_event("engine-1", 1, true);
    (2..=MAX_PREFIXES as u64).for_each(|prefix| pool.record_cache_event("engine-1", prefix, true));
    let entry = &pool.entries["engine-1"];
    assert_eq!((entry.cached.len(), entry.prefix_order.len()), (MAX_PREFIXES, MAX_PREFIXES));
}

#[test]
fn expired_messages_of_peers_are_not_kept() {
    let mut pool = Pool::new("regina-a");
    for index in 0..1_000 {
        pool.record_leaving_hint(&format!("engine-{index}"), index * PEER_LEAVING_MS);
    }
    assert_eq!(pool.peer_leaving.len(), 1);
}
