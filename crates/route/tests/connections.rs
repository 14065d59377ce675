//! Connections to upstreams that accept a limited number from all gateways together.

use route::equal_share;
use route::placement::{PlacementRequest, Placer, UpstreamInfo};
use route::version::Version;
use std::collections::HashMap;

const ACCEPTED: usize = 360;
const UPSTREAMS: usize = 160;
const READ_INTERVAL_MS: u64 = 60_000;

fn vm(index: usize) -> String {
    format!("vm-{index}")
}

fn upstream(index: usize) -> String {
    format!("engine-{index}")
}

/// A gateway whose list of gateways contains those that `is_listed` selects.
fn gateway(index: usize, gateways: usize, is_listed: impl Fn(usize) -> bool) -> Placer {
    let mut placer = Placer::new("here").with_gateway(&vm(index));
    for index in 0..UPSTREAMS {
        let info = UpstreamInfo {
            service: "narrator".into(),
            data_centre: "here".into(),
            slots: 32,
            version: Version::default(),
        };
        placer.set(&upstream(index), info, false);
    }
    placer.set_connection_limits(HashMap::from([("narrator".to_owned(), ACCEPTED)]));
    let names: Vec<String> = (0..gateways).filter(|other| is_listed(*other)).map(vm).collect();
    let listed = names.iter().map(String::as_str);
    placer.roster.update_list(&vm(index), listed, None, 0, READ_INTERVAL_MS);
    placer
}

/// The connections that all gateways together may open to each of some upstreams. The list of each gateway
/// lacks one in `missing` others, as after a restart of the fleet.
fn connections(gateways: usize, missing: usize) -> [usize; 20] {
    let mut sums = [0; 20];
    for index in 0..gateways {
        let placer = gateway(index, gateways, |other| other == index || (other + index) % missing != 0);
        let listed = gateways - gateways / missing;
        for (index, sum) in sums.iter_mut().enumerate() {
            *sum += placer.max_connections(&upstream(index), equal_share(ACCEPTED, listed as u64));
        }
    }
    sums
}

#[test]
fn gateways_open_no_more_connections_than_an_upstream_accepts() {
    for gateways in [6, 22, 87, 295, 1_400] {
        for missing in [usize::MAX, 20] {
            for sum in connections(gateways, missing) {
                assert!(sum <= ACCEPTED, "{gateways} gateways may open {sum} connections");
                assert!(sum >= ACCEPTED / 3, "{gateways} gateways use only {sum} connections");
            }
        }
    }
}

#[test]
fn a_gateway_chooses_only_upstreams_that_it_may_connect_to() {
    let request =
        PlacementRequest { service: "narrator", prompt: None, avoid: &[], version: None, only: None };
    for gateways in [87, 1_400] {
        for index in (0..gateways).step_by(10) {
            let mut placer = gateway(index, gateways, |_| true);
            for _ in 0..10 {
                let chosen = placer.choose(&request, 0).expect("an upstream");
                let share = equal_share(ACCEPTED, gateways as u64);
                assert!(placer.max_connections(&chosen.upstream, share) > 0, "{chosen:?}");
                placer.begin(&chosen, None, 0);
            }
        }
    }
}

/// A service with few upstreams can't leave each of them to a part of the gateways: most gateways would then
/// have none.
#[test]
fn a_gateway_has_an_upstream_even_if_the_connections_do_not_suffice() {
    let request = PlacementRequest { service: "tiles", prompt: None, avoid: &[], version: None, only: None };
    for index in 0..1_400 {
        let mut placer = gateway(index, 1_400, |_| true);
        let info = UpstreamInfo {
            service: "tiles".into(),
            data_centre: "here".into(),
            slots: 6,
            version: Version::default(),
        };
        placer.set("tiles-1", info, false);
        placer.set_connection_limits(HashMap::from([("tiles".to_owned(), 100)]));
        assert!(placer.choose(&request, 0).is_some(), "gateway {index}");
    }
}
