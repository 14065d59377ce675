//! A heavy caller at one router: that router has to stop asking an owner for each request.

use budget::holder::{Holders, Holding, Place};

/// One router of a fleet and its requests per second.
struct Router {
    name: String,
    requests_per_s: f64,
    due: f64,
    holding: Holding,
    /// Requests reserved at an owner and at the router itself.
    reserved: [u32; 2],
}

/// Plays some seconds of requests, evenly spaced, of routers that ask the same owner.
fn play(routers: &mut [Router], holders: &mut Holders, from_s: u64, to_s: u64) {
    for now in from_s * 1_000..to_s * 1_000 {
        for router in routers.iter_mut() {
            router.due += router.requests_per_s / 1_000.0;
            while router.due >= 1.0 {
                router.due -= 1.0;
                let place = router.holding.record_request(now);
                router.reserved[usize::from(place == Place::Holder)] += 1;
                if place == Place::Owner {
                    let stated = router.holding.requests_per_s(now);
                    let may_hold = holders.record(&router.name, stated, now);
                    router.holding.record_answer(may_hold, now);
                }
            }
        }
    }
}

fn fleet(rates: impl IntoIterator<Item = f64>) -> Vec<Router> {
    let router = |(index, requests_per_s): (usize, f64)| Router {
        name: format!("vm-{index}"),
        requests_per_s,
        due: 0.0,
        holding: Holding::default(),
        reserved: [0; 2],
    };
    rates.into_iter().enumerate().map(router).collect()
}

#[test]
fn a_router_with_a_heavy_caller_asks_an_owner_for_less_than_a_tenth_of_its_requests() {
    let mut fleet = fleet([40.0].into_iter().chain([0.5; 60]));
    play(&mut fleet, &mut Holders::default(), 0, 20);
    let [at_owner, at_holder] = fleet[0].reserved;
    assert!(at_owner * 10 < at_owner + at_holder, "{at_owner} of {}", at_owner + at_holder);
    assert!(fleet[1..].iter().all(|router| router.reserved[1] == 0), "the others make few requests");
}

#[test]
fn the_number_of_holders_does_not_grow_with_the_fleet() {
    for size in [6, 71, 295, 1_400] {
        for spread in [0.0, 1.0] {
            // Either equal rates, or rates that fall with the rank of the router.
            let rates = (1..=size).map(|rank| 20.0 / f64::from(rank).powf(spread));
            let (mut fleet, mut holders) = (fleet(rates), Holders::default());
            play(&mut fleet, &mut holders, 0, 12);
            assert!(holders.count(12_000) <= 16, "{} of {size} routers hold tokens", holders.count(12_000));
        }
    }
}

/// Routers that make a request now and then state their rate right after it. Counted with that request, it is
/// at least one per second, and many such routers hide the share of a heavy caller.
#[test]
fn many_routers_with_few_requests_do_not_hide_a_heavy_caller() {
    let (mut fleet, mut holders) = (fleet([0.0].into_iter().chain([0.1; 1_400])), Holders::default());
    for (index, router) in fleet.iter_mut().enumerate() {
        router.due = (index % 100) as f64 / 100.0;
    }
    play(&mut fleet, &mut holders, 0, 20);
    // These are 42 % of the requests.
    fleet[0].requests_per_s = 100.0;
    play(&mut fleet, &mut holders, 20, 30);
    let [at_owner, at_holder] = fleet[0].reserved;
    assert!(at_owner * 4 < at_holder, "{at_owner} at an owner, {at_holder} at the router itself");
}

/// Otherwise a team whose requests stopped counts as held for good, and takes memory.
#[test]
fn a_holder_without_requests_becomes_idle() {
    let mut holding = Holding::default();
    holding.record_request(0);
    holding.record_answer(true, 0);
    assert!(!holding.is_idle(10_000));
    assert!(holding.is_idle(10_001));
}

#[test]
fn a_router_whose_heavy_caller_leaves_asks_an_owner_again() {
    let mut fleet = fleet([40.0].into_iter().chain([2.0; 20]));
    let mut holders = Holders::default();
    play(&mut fleet, &mut holders, 0, 10);
    assert!(fleet[0].holding.holds());
    fleet[0].requests_per_s = 1.0;
    play(&mut fleet, &mut holders, 10, 20);
    assert!(!fleet[0].holding.holds());
}

#[test]
fn implausible_rates_make_no_holder() {
    let mut holders = Holders::default();
    for rate in [f64::NAN, f64::INFINITY, -5.0, 1e9] {
        assert!(!holders.record("vm-1", rate, 0), "{rate}");
    }
    // They leave the share of the others as it is.
    assert!(holders.record("vm-2", 10.0, 0));
}

#[test]
fn a_holder_without_an_answer_keeps_its_tokens() {
    let mut holding = Holding::default();
    holding.record_answer(true, 0);
    assert_eq!(holding.record_request(1_000), Place::Holder);
    // The renewal is not answered; the requests after it are not delayed by another attempt.
    assert_eq!(holding.record_request(6_000), Place::Owner);
    assert_eq!(holding.record_request(6_001), Place::Holder);
}

/// In a small fleet every gateway makes an eighth of the requests or more.
#[test]
fn routers_with_equal_rates_hold_no_tokens() {
    for size in 2..=12 {
        let (mut fleet, mut holders) = (fleet(vec![20.0; size]), Holders::default());
        play(&mut fleet, &mut holders, 0, 12);
        assert_eq!(holders.count(12_000), 0, "of {size} routers");
    }
}
