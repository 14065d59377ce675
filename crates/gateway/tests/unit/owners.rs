//! Which gateway owns a team's budget.

use super::*;

fn fleet(size: u16) -> Vec<(String, SocketAddr)> {
    (1..=size).map(|index| (format!("vm-{index}"), SocketAddr::from(([127, 0, 0, 1], index)))).collect()
}

/// Each gateway's view of the fleet.
fn views(all: &[(String, SocketAddr)]) -> Vec<(SocketAddr, Owners)> {
    let view = |(name, address): &(String, SocketAddr)| {
        let owners = Owners::new(name);
        let others: Vec<_> = all.iter().filter(|(other, _)| other != name).cloned().collect();
        owners.set_peers(&others);
        (*address, owners)
    };
    all.iter().map(view).collect()
}

fn chosen(team: &str, views: &[(SocketAddr, Owners)]) -> Vec<SocketAddr> {
    let at = |(own, owners): &(SocketAddr, Owners)| match owners.of(team) {
        Owner::Own => *own,
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
fn a_large_fleet_has_a_few_owners_for_each_team() {
    let views = views(&fleet(86));
    for team in ["desk", "field", "lab"] {
        let chosen = chosen(team, &views);
        assert_eq!(chosen.len(), 5);
        let owning: Vec<SocketAddr> =
            views.iter().filter(|(_, owners)| owners.share(team) == Some(5)).map(|(own, _)| *own).collect();
        assert_eq!(owning, chosen, "those that are asked know that they own it");
    }
}

#[test]
fn an_owner_that_does_not_answer_is_passed_over_by_all_alike() {
    let views = views(&fleet(7));
    let first = chosen("desk", &views)[0];
    views.iter().for_each(|(_, owners)| owners.rest(first));
    let others: Vec<_> = views.into_iter().filter(|(own, _)| *own != first).collect();
    let second = chosen("desk", &others);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0], first);
}

#[test]
fn a_gateway_that_knows_no_other_owns_all() {
    let owners = Owners::new("vm-1");
    assert_eq!(owners.of("desk"), Owner::Own);
    assert_eq!(owners.share("desk"), None);
}
