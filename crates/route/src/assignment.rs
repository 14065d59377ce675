//! Divides the upstreams' slots between routers without a central count.
//!
//! Every router computes the same assignment from the same lists. Each upstream is owned by only a few
//! routers, so that each owner has several of its slots and knows exactly how many are in use; the other
//! routers borrow slots from an owner. Owners are found by rendezvous hashing with bounded load: a router
//! that already owns its even part of the upstreams is ranked last.
//!
//! ```
//! let upstreams = [("engine-1", 8), ("engine-2", 8), ("engine-3", 7)];
//! let shares = route::assign_slots(&upstreams, &["vm-1", "vm-2", "vm-3"]);
//! let total: u32 = shares["engine-3"].iter().map(|(_, slots)| slots).sum();
//! assert_eq!(total, 7);
//! assert_eq!(shares["engine-1"].len(), 2);
//! ```

use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// The number of slots of an upstream that each owner should have at least.
const MIN_SLOTS: u32 = 4;
/// The minimum and maximum number of owners of an upstream. There are at least two, so that the upstream
/// stays in use when one owner is lost.
const OWNER_RANGE: (u32, u32) = (2, 12);

/// The owners of one upstream, each with its number of slots.
pub type Owners<'a> = Vec<(&'a str, u32)>;

fn score(router: &str, upstream: &str) -> u64 {
    let mut text = String::with_capacity(router.len() + upstream.len() + 1);
    text.push_str(router);
    text.push('|');
    text.push_str(upstream);
    xxh3_64(text.as_bytes())
}

/// Assigns each upstream, given with its number of slots, to its owners.
pub fn assign_slots<'a>(upstreams: &[(&'a str, u32)], routers: &[&'a str]) -> BTreeMap<&'a str, Owners<'a>> {
    let mut order: Vec<&(&str, u32)> = upstreams.iter().collect();
    order.sort_by_key(|(name, _)| (xxh3_64(name.as_bytes()), *name));
    let total_owners: u32 = order.iter().map(|(_, slots)| owner_count(*slots, routers.len())).sum();
    let even_load = (total_owners as usize).div_ceil(routers.len().max(1));
    let mut load: HashMap<&str, usize> = HashMap::new();
    let mut assignment = BTreeMap::new();
    for (name, slots) in order {
        let count = owner_count(*slots, routers.len()) as usize;
        let mut ranked: Vec<&str> = routers.to_vec();
        ranked.sort_by_key(|router| {
            let is_full = load.get(router).copied().unwrap_or(0) >= even_load;
            (is_full, std::cmp::Reverse(score(router, name)))
        });
        ranked.truncate(count);
        for router in &ranked {
            *load.entry(router).or_insert(0) += 1;
        }
        assignment.insert(*name, split_slots(*slots, &ranked));
    }
    assignment
}

fn owner_count(slots: u32, routers: usize) -> u32 {
    (slots / MIN_SLOTS).clamp(OWNER_RANGE.0, OWNER_RANGE.1).min(routers as u32)
}

fn split_slots<'a>(slots: u32, owners: &[&'a str]) -> Owners<'a> {
    let count = owners.len().max(1) as u32;
    let part = |index: u32| slots / count + u32::from(index < slots % count);
    owners.iter().zip(0..).map(|(owner, index)| (*owner, part(index))).collect()
}
