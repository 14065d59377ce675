//! The selection of the gateways that own a team's budget.

use super::*;

const CORES: f64 = 0.25;

fn peer(index: u16, cores: f64) -> Peer {
    Peer {
        name: format!("vm-{index}"),
        address: SocketAddr::from(([127, 0, 0, 1], index)),
        cores,
        distance: Distance::Region,
    }
}

fn fleet(size: u16) -> Vec<Peer> {
    (1..=size).map(|index| peer(index, CORES)).collect()
}

/// Each gateway with its view of the fleet.
fn views(all: &[Peer]) -> Vec<(SocketAddr, Owners)> {
    let view = |own: &Peer| {
        let owners = Owners::new(&own.name, own.cores);
        let others: Vec<Peer> = all.iter().filter(|other| other.name != own.name).cloned().collect();
        owners.set_peers(&others);
        (own.address, owners)
    };
    all.iter().map(view).collect()
}

fn chosen(team: &str, views: &[(SocketAddr, Owners)]) -> Vec<SocketAddr> {
    let at = |(own, owners): &(SocketAddr, Owners)| match owners.owner_of(team) {
        Owner::Local => *own,
        Owner::Peer(peer) => peer,
    };
    let mut owners: Vec<SocketAddr> = views.iter().map(at).collect();
    owners.sort();
    owners.dedup();
    owners
}

#[test]
fn all_gateways_of_a_small_fleet_reserve_at_the_same_owner() {
    let views = views(&fleet(7));
    let mut owners = vec![];
    for team in 0..70 {
        let chosen = chosen(&format!("team-{team}"), &views);
        assert_eq!(chosen.len(), 1);
        owners.extend(chosen);
    }
    let most = views.iter().map(|(own, _)| owners.iter().filter(|owner| *owner == own).count()).max();
    assert!(most < Some(25), "{most:?} of 70 teams have the same owner");
}

#[test]
fn a_team_of_a_large_fleet_has_owners_in_proportion_to_its_share() {
    let views = views(&fleet(86));
    let levels = [("desk", 6_000_u64), ("field", 3_000), ("lab", 1_000)];
    for (team, count) in [("desk", 3), ("field", 1), ("lab", 1)] {
        views.iter().for_each(|(_, owners)| owners.set_levels(levels.into_iter()));
        let chosen = chosen(team, &views);
        assert_eq!(chosen.len(), count, "{team}");
        let share = Some(count as u64);
        let owning: Vec<SocketAddr> = views
            .iter()
            .filter(|(_, owners)| owners.owner_count(team) == share)
            .map(|(own, _)| *own)
            .collect();
        assert_eq!(owning, chosen, "the gateways that are asked to reserve know that they own the budget");
    }
}

/// Guards against costs that grow with the fleet: the number of owners determines the numbers of notes,
/// of settlements and of pieces of a budget, and should depend on the shares of the teams.
#[test]
fn ten_times_the_gateways_do_not_have_ten_times_the_owners() {
    let owners_in = |gateways| {
        let owners = Owners::new("vm-1", CORES);
        owners.set_peers(&fleet(gateways)[1..]);
        let names: Vec<String> = (0..40).map(|index| format!("team-{index}")).collect();
        owners.set_levels(names.iter().map(|name| (name.as_str(), 1_000)));
        owners.total_owners()
    };
    assert_eq!([30, 100, 300, 1_000].map(owners_in), [30, 40, 40, 40]);
}

#[test]
fn large_vms_own_budgets_if_there_are_enough_of_them() {
    let mut fleet = fleet(86);
    fleet.iter_mut().take(6).for_each(|peer| peer.cores = 2.0 * CORES + 0.1);
    let large: Vec<SocketAddr> = fleet[..6].iter().map(|peer| peer.address).collect();
    let views = views(&fleet);
    for team in 0..40 {
        let chosen = chosen(&format!("team-{team}"), &views);
        assert!(chosen.iter().all(|owner| large.contains(owner)), "{chosen:?}");
    }
}

#[test]
fn all_gateways_replace_an_owner_that_does_not_answer_by_the_same_one() {
    let views = views(&fleet(7));
    let first = chosen("desk", &views)[0];
    views.iter().for_each(|(_, owners)| owners.skip(first));
    let others: Vec<_> = views.into_iter().filter(|(own, _)| *own != first).collect();
    let second = chosen("desk", &others);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0], first);
}

#[test]
fn a_gateway_that_knows_no_other_owns_all_budgets() {
    let owners = Owners::new("vm-1", CORES);
    assert_eq!(owners.owner_of("desk"), Owner::Local);
    assert_eq!(owners.owner_count("desk"), None);
}

/// Guards against budgets that nobody is prepared to own when their owner stops, and against gateways that are excluded
/// for good because they returned before they were missed.
#[test]
fn the_successor_of_an_owner_owns_its_budgets_once_it_is_excluded() {
    let mut views = views(&fleet(7));
    let first = chosen("desk", &views)[0];
    let index = views.iter().position(|(own, _)| *own == first).expect("a gateway");
    let (_, owner) = views.remove(index);
    let successor = owner.successor("desk").expect("there are others");
    assert!(
        views.iter().all(|(_, owners)| owners.successor("desk").is_none()),
        "only owners have successors"
    );
    let name = owner.name.clone();
    views.iter().for_each(|(_, owners)| owners.exclude(&name));
    assert_eq!(chosen("desk", &views), [successor]);
    owner.exclude_self();
    assert_eq!(owner.owner_of("desk"), Owner::Peer(successor));
    assert_eq!(owner.successor("desk"), None);

    let (_, other) = &views[0];
    let listed = other.lock().peers.clone();
    other.lock().stopping_until.insert(name, Instant::now());
    other.set_peers(&listed);
    assert_eq!(
        other.owner_of("desk"),
        Owner::Peer(first),
        "the exclusion has ended, and the list is the same"
    );
}
