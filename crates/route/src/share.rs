//! Splitting upstreams between routers without counting centrally.
//!
//! Every router computes the same assignment from the same lists. An upstream is owned by a few routers only,
//! so that each has several of its slots and knows them exactly; the others borrow from an owner. Owners are
//! found by rendezvous hashing with bounded load: a router that has its even part already is passed over.
//!
//! ```
//! let upstreams = [("engine-1", 8), ("engine-2", 8), ("engine-3", 7)];
//! let shares = route::assign(&upstreams, &["vm-1", "vm-2", "vm-3"]);
//! let total: u32 = shares["engine-3"].iter().map(|(_, slots)| slots).sum();
//! assert_eq!(total, 7);
//! assert_eq!(shares["engine-1"].len(), 2);
//! ```

use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// The least slots that an owner should have of an upstream.
const SLOTS_LEAST: u32 = 4;
/// Owners of an upstream at least, so that it stays in use when one is lost, and at most.
const OWNERS: (u32, u32) = (2, 12);

/// The owners of one upstream, each with its slots.
pub type Owners<'a> = Vec<(&'a str, u32)>;

fn score(router: &str, upstream: &str) -> u64 {
    let mut text = String::with_capacity(router.len() + upstream.len() + 1);
    text.push_str(router);
    text.push('|');
    text.push_str(upstream);
    xxh3_64(text.as_bytes())
}

/// Assigns each upstream, given with its slots, to its owners.
pub fn assign<'a>(upstreams: &[(&'a str, u32)], routers: &[&'a str]) -> BTreeMap<&'a str, Owners<'a>> {
    let mut order: Vec<&(&str, u32)> = upstreams.iter().collect();
    order.sort_by_key(|(name, _)| (xxh3_64(name.as_bytes()), *name));
    let wanted: u32 = order.iter().map(|(_, slots)| owners(*slots, routers.len())).sum();
    let even = (wanted as usize).div_ceil(routers.len().max(1));
    let mut load: HashMap<&str, usize> = HashMap::new();
    let mut shares = BTreeMap::new();
    for (name, slots) in order {
        let count = owners(*slots, routers.len()) as usize;
        let mut ranked: Vec<&str> = routers.to_vec();
        ranked.sort_by_key(|router| {
            let full = load.get(router).copied().unwrap_or(0) >= even;
            (full, std::cmp::Reverse(score(router, name)))
        });
        ranked.truncate(count);
        for router in &ranked {
            *load.entry(router).or_insert(0) += 1;
        }
        shares.insert(*name, split(*slots, &ranked));
    }
    shares
}

fn owners(slots: u32, routers: usize) -> u32 {
    (slots / SLOTS_LEAST).clamp(OWNERS.0, OWNERS.1).min(routers as u32)
}

fn split<'a>(slots: u32, owners: &[&'a str]) -> Owners<'a> {
    let count = owners.len().max(1) as u32;
    let part = |index: u32| slots / count + u32::from(index < slots % count);
    owners.iter().zip(0..).map(|(owner, index)| (*owner, part(index))).collect()
}
