//! Splitting upstreams between routers without counting centrally.
//!
//! Every router computes the same split from the same list of routers, by rendezvous hashing: slots that
//! don't divide evenly go to the routers that rank first for that upstream.
//!
//! ```
//! let routers = ["vm-1", "vm-2", "vm-3"];
//! let total: u32 = routers.iter().map(|me| route::share(8, &routers, me, "engine-1")).sum();
//! assert_eq!(total, 8);
//! ```

use xxhash_rust::xxh3::xxh3_64;

fn score(router: &str, upstream: &str) -> u64 {
    let mut text = String::with_capacity(router.len() + upstream.len() + 1);
    text.push_str(router);
    text.push('|');
    text.push_str(upstream);
    xxh3_64(text.as_bytes())
}

/// How many of an upstream's `slots` belong to router `me`.
pub fn share(slots: u32, routers: &[&str], me: &str, upstream: &str) -> u32 {
    let count = routers.len().max(1) as u32;
    let mine = score(me, upstream);
    let ahead = routers.iter().filter(|router| **router != me && score(router, upstream) > mine).count();
    let rest = slots % count;
    slots / count + u32::from((ahead as u32) < rest)
}

/// The upstreams that router `me` uses: each upstream is used by its `width` first-ranking routers, so all
/// are covered evenly whatever routers come and go.
pub fn subset<'a>(upstreams: &[&'a str], routers: &[&str], me: &str, width: usize) -> Vec<&'a str> {
    let uses = |upstream: &&&str| {
        let mine = score(me, upstream);
        let ahead = routers.iter().filter(|router| **router != me && score(router, upstream) > mine);
        ahead.count() < width
    };
    upstreams.iter().filter(uses).copied().collect()
}
