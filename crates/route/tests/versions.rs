//! Which software versions serve, which one began a stream, and whom a gateway tells and asks.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use route::origin::{
    ASKED, Asking, Knowledge, MAX_ASKED, Origin, Origins, Record, Stream, Telling, keepers, resolve,
};
use route::version::{Lifetime, Seen, Version, Versions};
use std::collections::HashMap;

/// The longest time that a stream and its resumptions take.
const LIFETIME: u64 = 25_000;
/// The gateways and the streams that begin in a second at the target.
const GATEWAYS: u32 = 1_400;
const STREAMS_PER_S: u32 = 62_000;

fn version(name: &str) -> Version {
    Version::of(name)
}

fn record(name: &str) -> Record {
    Record { version: version(name), runner: None }
}

fn stream(index: u32) -> Stream {
    Stream::of("engines", "desk", &index.to_string())
}

/// Versions of a gateway that has followed the list from the beginning.
fn versions(listed: &[&str]) -> Versions {
    let mut versions = Versions::default();
    versions.trust_past();
    listed.iter().for_each(|name| versions.add("engines", version(name)));
    versions.confirm_changes(0);
    versions
}

#[test]
fn a_version_counts_for_as_long_as_streams_that_it_began_may_be_taken_up() {
    let mut versions = versions(&["v1", "v1"]);
    let seen = |versions: &Versions, now| versions.seen("engines", LIFETIME, now);
    assert_eq!(seen(&versions, 0), Seen::Sole(version("v1")));
    (0..2).for_each(|_| versions.add("engines", version("v2")));
    assert_eq!(seen(&versions, 10), Seen::Several);
    versions.remove("engines", version("v1"), 1_000);
    assert!(versions.is_listed("engines", version("v1")));
    versions.remove("engines", version("v1"), 2_000);
    assert!(!versions.is_listed("engines", version("v1")));
    versions.confirm_changes(2_000 + LIFETIME);
    assert_eq!(seen(&versions, 2_000 + LIFETIME), Seen::Several, "a stream of v1 may still be taken up");
    versions.expire(LIFETIME, 2_001 + LIFETIME);
    versions.confirm_changes(2_001 + LIFETIME);
    assert_eq!(seen(&versions, 2_001 + LIFETIME), Seen::Sole(version("v2")));
    assert_eq!(versions.seen("tiles", LIFETIME, 0), Seen::Unknown);
}

#[test]
fn a_gateway_that_started_does_not_know_which_versions_served_before() {
    let mut fresh = Versions::default();
    fresh.add("engines", version("v2"));
    fresh.confirm(100);
    assert_eq!(fresh.seen("engines", LIFETIME, 200), Seen::Unknown);
    (100..100 + LIFETIME).step_by(1_000).for_each(|now| fresh.confirm_changes(now));
    assert_eq!(fresh.seen("engines", LIFETIME, 100 + LIFETIME), Seen::Sole(version("v2")));
    let mut informed = Versions::default();
    informed.learn_former([("engines", version("v1")), ("engines", version("v2"))], 0);
    informed.trust_past();
    informed.add("engines", version("v2"));
    informed.confirm_changes(100);
    assert_eq!(informed.seen("engines", LIFETIME, 200), Seen::Several, "v1 may just have left");
    assert_eq!(informed.former(LIFETIME, 200).collect::<Vec<_>>(), [("engines", version("v1"))]);
    (100..1 + LIFETIME).step_by(1_000).for_each(|now| informed.confirm_changes(now));
    assert_eq!(informed.seen("engines", LIFETIME, 1 + LIFETIME), Seen::Sole(version("v2")));
}

/// Guards against streams that go on at another version, because a snapshot that was not followed to the present counts as
/// the whole past.
#[test]
fn a_gateway_that_did_not_follow_the_changes_since_a_snapshot_does_not_know_the_past() {
    let mut versions = Versions::default();
    versions.learn_former([("engines", version("v1"))], 0);
    versions.trust_past();
    versions.add("engines", version("v1"));
    versions.confirm(10);
    assert_eq!(versions.seen("engines", LIFETIME, 10), Seen::Unknown, "v2 may have come and gone");
    (10..10 + LIFETIME).step_by(1_000).for_each(|now| versions.confirm_changes(now));
    assert_eq!(versions.seen("engines", LIFETIME, 10 + LIFETIME), Seen::Sole(version("v1")));
}

/// Guards against streams that go on at another version, because a short gap in what was seen of the list counts as none.
#[test]
fn versions_may_have_come_and_gone_in_a_gap_however_short() {
    let mut versions = versions(&["v1"]);
    assert_eq!(versions.seen("engines", LIFETIME, 10), Seen::Sole(version("v1")));
    versions.confirm(20);
    assert_eq!(versions.seen("engines", LIFETIME, 20), Seen::Unknown);
    assert!(!versions.covers(LIFETIME, 20));
}

#[test]
fn a_version_that_is_learned_late_counts_unless_it_is_listed() {
    let mut versions = versions(&["v1"]);
    versions.learn_former([("engines", version("v1"))], 10);
    assert_eq!(versions.seen("engines", LIFETIME, 10), Seen::Sole(version("v1")));
    versions.learn_former([("engines", version("v2"))], 10);
    assert_eq!(versions.seen("engines", LIFETIME, 10), Seen::Several);
}

#[test]
fn a_snapshot_that_is_too_old_to_follow_tells_only_some_of_the_past() {
    let mut versions = Versions::default();
    versions.learn_former([("engines", version("v1"))], 0);
    versions.add("engines", version("v2"));
    versions.confirm(10);
    assert_eq!(versions.seen("engines", LIFETIME, 10), Seen::Several);
    versions.add("engines", version("v1"));
    versions.remove("engines", version("v2"), 20);
    versions.expire(0, 30);
    assert_eq!(versions.seen("engines", LIFETIME, 30), Seen::Unknown);
}

/// Guards against streams that go on at another version, because the time for which versions count ends before they do.
#[test]
fn streams_keep_the_lifetime_of_the_manifest_under_which_they_began() {
    let mut lifetime = Lifetime::default();
    assert_eq!(lifetime.at(0), u64::MAX, "no manifest is known yet");
    lifetime.set(25_000, 1_000);
    assert_eq!(lifetime.at(1_000), 25_000);
    lifetime.set(11_000, 5_000);
    assert_eq!((lifetime.at(5_000), lifetime.at(29_999), lifetime.at(30_000)), (25_000, 25_000, 11_000));
    lifetime.set(12_000, 6_000);
    lifetime.set(11_000, 6_500);
    assert_eq!((lifetime.at(29_999), lifetime.at(30_000)), (25_000, 11_000), "later ones do not prolong it");
    lifetime.set(40_000, 7_000);
    assert_eq!(lifetime.at(7_000), 40_000);
}

/// A sequence of starts, stops and releases, against a plain record of what was listed.
#[test]
fn drawn_sequences_never_lead_to_a_version_that_was_not_the_only_one() {
    for seed in 0..3_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let names = ["v1", "v2", "v3"];
        // When each version was listed last, by the plain record, and how many upstreams of it there are.
        let mut listed = [1, 0, 0];
        let mut last_listed = [Some(0), None, None];
        let mut versions = versions(&["v1"]);
        let mut now = 0;
        for _ in 0..60 {
            now += random.gen_range(1..4_000);
            let index = random.gen_range(0..names.len());
            let is_following = random.gen_bool(0.7);
            let before = listed;
            match random.gen_bool(0.5) {
                true => listed[index] += 1,
                false if listed.iter().sum::<usize>() > 1 && listed[index] > 0 => listed[index] -= 1,
                false => {}
            }
            for (last, count) in last_listed.iter_mut().zip(before.iter().zip(&listed)) {
                if *count.0 > 0 || *count.1 > 0 {
                    *last = Some(now);
                }
            }
            if random.gen_bool(0.15) {
                // It starts again, from a snapshot of the list as it was before this change or from none.
                versions = Versions::default();
                let former = names.iter().zip(before).filter(|(_, count)| *count > 0);
                if random.gen_bool(0.5) {
                    versions.learn_former(former.map(|(name, _)| ("engines", version(name))), now);
                }
                let all =
                    names.iter().zip(listed).flat_map(|(name, count)| std::iter::repeat_n(*name, count));
                all.for_each(|name| versions.add("engines", version(name)));
                versions.confirm(now);
            } else {
                for (name, (was, is)) in names.iter().zip(before.iter().zip(&listed)) {
                    (*was..*is).for_each(|_| versions.add("engines", version(name)));
                    (*is..*was).for_each(|_| versions.remove("engines", version(name), now));
                }
                if is_following { versions.confirm_changes(now) } else { versions.confirm(now) }
            }
            versions.expire(LIFETIME, now);
            if let Seen::Sole(sole) = versions.seen("engines", LIFETIME, now) {
                let recent = names.iter().zip(last_listed);
                let others = recent.filter(|(name, last)| {
                    version(name) != sole && last.is_some_and(|last| now - last < LIFETIME)
                });
                assert_eq!(others.count(), 0, "seed {seed} at {now}");
            }
        }
    }
}

#[test]
fn a_version_that_is_listed_again_is_no_former_one() {
    let mut versions = versions(&["v1"]);
    versions.remove("engines", version("v1"), 10);
    versions.add("engines", version("v1"));
    assert_eq!(versions.seen("engines", LIFETIME, 20), Seen::Sole(version("v1")));
}

#[test]
fn origins_are_forgotten_in_time_and_bounded() {
    let mut origins = Origins::default();
    origins.record(stream(1), record("v1"), 0);
    origins.record(stream(1), record("v1"), 5_000);
    assert_eq!(origins.get(stream(1), LIFETIME, 5_000 + LIFETIME), Some(record("v1")));
    assert_eq!(origins.get(stream(1), LIFETIME, 5_001 + LIFETIME), None);
    origins.expire(LIFETIME, 1 + LIFETIME);
    assert_eq!(origins.len(), 1, "it was recorded again");
    origins.expire(LIFETIME, 5_001 + LIFETIME);
    assert!(origins.is_empty());
    (0..200_000).for_each(|index| origins.record(stream(index), record("v1"), 0));
    assert!(origins.len() < 100_000);
    assert_eq!(origins.get(stream(199_999), LIFETIME, 0), Some(record("v1")));
}

#[test]
fn attempts_of_other_teams_and_services_are_other_streams() {
    let ids = [("engines", "desk"), ("engines", "lab"), ("tiles", "desk"), ("desk", "engines")];
    let streams = ids.map(|(service, team)| Stream::of(service, team, "a-1"));
    for (index, one) in streams.iter().enumerate() {
        assert!(streams[index + 1..].iter().all(|other| one != other));
    }
}

#[test]
fn what_gateways_know_decides_whether_a_stream_is_taken_up() {
    let known = |version: Option<&str>, seen| Knowledge { version: version.map(Version::of), seen };
    let sole = known(None, Seen::Sole(version("v1")));
    let other = known(None, Seen::Sole(version("v2")));
    let several = known(None, Seen::Several);
    let fresh = known(None, Seen::Unknown);
    let began = known(Some("v2"), Seen::Several);
    let cases = [
        ("its own list is current", resolve(sole, &[])),
        ("others do not know", resolve(sole, &[fresh, fresh])),
        ("another one confirms it", resolve(sole, &[fresh, sole])),
        ("another one knows better", resolve(sole, &[several])),
        ("another one has another version", resolve(sole, &[other])),
        ("another one was told", resolve(sole, &[sole, began])),
        ("nobody was told", resolve(several, &[several, several])),
        ("it has just started", resolve(fresh, &[])),
        ("it has just started, another one has not", resolve(fresh, &[fresh, sole])),
    ];
    insta::assert_debug_snapshot!(cases.map(|(name, origin)| match origin {
        Origin::At(version) if version == Version::of("v1") => (name, "v1"),
        Origin::At(_) => (name, "v2"),
        Origin::Unknown => (name, "unknown"),
    }));
}

/// Guards against streams that go on at another version, because a list that is behind counts as the present one.
#[test]
fn a_list_that_may_be_behind_leaves_a_stream_without_a_record_unknown() {
    let sole = Knowledge { version: None, seen: Seen::Sole(version("v1")) };
    assert_eq!(resolve(sole.at_present(true), &[]), Origin::At(version("v1")));
    assert_eq!(resolve(sole.at_present(false), &[sole.at_present(false)]), Origin::Unknown);
    assert_eq!(resolve(sole.at_present(false), &[sole.at_present(true)]), Origin::At(version("v1")));
    let recorded = Knowledge { version: Some(version("v2")), ..sole };
    assert_eq!(resolve(recorded.at_present(false), &[]), Origin::At(version("v2")));
}

/// Of each stream, the gateway that began it and the one that takes it up are missing from the lists of the others.
#[test]
fn gateways_that_tell_and_ask_agree_on_the_keepers() {
    let names = || (0..40u32).map(|gateway| (gateway, gateway.to_be_bytes()));
    for index in 0..500 {
        let (began, asks) = (index % 40, (index * 7 + 3) % 40);
        let told = keepers(stream(index), names().filter(|(gateway, _)| *gateway != began), 1);
        let asked = keepers(stream(index), names().filter(|(gateway, _)| *gateway != asks), ASKED);
        assert!(told[0] == asks || asked.contains(&told[0]), "stream {index}: {told:?} {asked:?}");
        assert_eq!(asked.len(), ASKED);
    }
}

#[test]
fn telling_fits_the_bytes_of_a_gateway_at_the_target() {
    const SECONDS: u32 = 20;
    /// A datagram with one stream: the headers of IP and UDP, and what the gateway sends.
    const DATAGRAM: usize = 54;
    const LIMIT_PER_S: usize = 4_000;
    let names: Vec<(u32, [u8; 4])> = (1..GATEWAYS).map(|gateway| (gateway, gateway.to_be_bytes())).collect();
    let per_s = STREAMS_PER_S / GATEWAYS;
    let (mut telling, mut heard, mut sent) = (Telling::default(), HashMap::<u32, usize>::new(), 0);
    for index in 0..per_s * SECONDS {
        let count = telling.record(names.len(), u64::from(index * 1_000 / per_s));
        assert!(count >= 1, "somebody has to outlive this gateway");
        for keeper in keepers(stream(index), names.iter().copied(), count) {
            *heard.entry(keeper).or_default() += 1;
            sent += 1;
        }
    }
    let bytes_per_s = sent * DATAGRAM / SECONDS as usize;
    println!("{bytes_per_s} bytes a second, {} keepers", heard.len());
    assert!(bytes_per_s < LIMIT_PER_S, "{bytes_per_s} bytes a second");
    // All gateways send alike, so each hears as much as it sends, spread over the fleet.
    let busiest = heard.values().max().copied().unwrap_or(0);
    assert!(busiest < 10, "one gateway keeps {busiest} of {sent} streams");
}

#[test]
fn a_small_fleet_tells_all_of_its_gateways() {
    let mut telling = Telling::default();
    // Twelve streams a second at each of six gateways.
    let counts: Vec<usize> = (0..400).map(|index| telling.record(5, index * 80)).collect();
    assert_eq!(counts.last(), Some(&5));
    assert_eq!(Telling::default().record(0, 0), 0, "there is nobody");
}

/// Streams of gateways that know a part of the fleet, which others take up that know all of it.
#[test]
fn streams_are_found_by_gateways_that_know_another_part_of_the_fleet() {
    const ROUNDS: u32 = 400;
    let mut random = StdRng::seed_from_u64(1);
    // The gateways of the fleet, those of them that the first one knows, and the keepers that it tells.
    let cases = [(12_u32, 1, 1), (12, 6, 5), (64, 1, 1), (64, 32, 5), (1_400, 140, 1), (1_400, 140, 5)];
    let cases = cases.into_iter().chain([(1_400, 700, 1), (1_400, 1_330, 1), (1_400, 1_396, 1)]);
    let shares = cases.map(|(fleet, known, told)| {
        let mut gateways: Vec<(u32, [u8; 4])> =
            (0..fleet).map(|gateway| (gateway, gateway.to_be_bytes())).collect();
        let (mut first, mut further) = (0, 0);
        for index in 0..ROUNDS {
            gateways.shuffle(&mut random);
            let keep = keepers(stream(index), gateways[1..].iter().copied().take(known), told);
            // The last one takes the stream up.
            let others = &gateways[..gateways.len() - 1];
            let asked = keepers(stream(index), others.iter().copied(), MAX_ASKED);
            let knows = |gateway: &u32| *gateway == gateways[0].0 || keep.contains(gateway);
            first += u32::from(asked.iter().take(ASKED).any(knows));
            further += u32::from(asked.iter().any(knows));
        }
        let share = |found: u32| f64::from(found) / f64::from(ROUNDS);
        (fleet, known, told, share(first), share(further))
    });
    insta::assert_debug_snapshot!(shares.collect::<Vec<_>>());
}

#[test]
fn questions_to_further_gateways_are_bounded() {
    let mut asking = Asking::default();
    let further = MAX_ASKED - ASKED;
    let allowed = |asking: &mut Asking, now| (0..100).filter(|_| asking.take(further, now)).count();
    assert_eq!(allowed(&mut asking, 0), 4, "all streams of a lost data centre that a gateway takes up");
    assert_eq!(allowed(&mut asking, 1_000), 0);
    let later = (1..=600).map(|second| allowed(&mut asking, 1_000 + second * 1_000));
    let per_s = (later.sum::<usize>() * further) as f64 / 600.0;
    assert!((3.5..=4.5).contains(&per_s), "{per_s} questions a second");
    assert!(asking.take(0, 601_000), "a fleet of up to five others is not bounded");
}

/// Two gateways that the store has not reached for long have the same old list.
#[test]
fn gateways_whose_lists_are_old_do_not_confirm_each_other() {
    let cut_off = versions(&["v1"]);
    let now = 60_000;
    let known = Knowledge { version: None, seen: cut_off.seen("engines", LIFETIME, now) };
    assert_eq!(resolve(known, &[known, known]), Origin::Unknown);
}

#[test]
fn a_gateway_that_lost_the_list_for_a_time_does_not_know_which_versions_served_meanwhile() {
    let mut versions = versions(&["v1"]);
    // The list is out of reach for a minute. Upstreams of v2 come and go, and the list that is read then has v1 only.
    let back = 60_000;
    versions.confirm(back);
    let seen = versions.seen("engines", LIFETIME, back);
    assert_eq!(seen, Seen::Unknown, "v2 may have left a moment ago");
    let own = Knowledge { version: None, seen };
    assert_eq!(resolve(own, &[]), Origin::Unknown);
}
