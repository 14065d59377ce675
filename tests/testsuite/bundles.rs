//! Bundles: they need signatures, are accepted once, come into force at all routers and never revert.

use crate::support::{answer_summary, program, run, start_fleet};
use bundle::{Bundle, SecretKey};
use harness::{ChatRequest, Fleet, Plan};
use roll::{Accepted, HEAD_KEY, Package, object_key};
use std::fmt::Write;
use store::{Platform, Table, Tx};

/// The bundle of a fleet with another queue limit.
fn with_queue_limit(fleet: &Fleet, queue: usize) -> Bundle {
    let mut bundle = fleet.bundle.clone();
    bundle.limits.queue = queue;
    bundle
}

async fn sequence(fleet: &Fleet, index: usize) -> u64 {
    fleet.status(index).await.unwrap_or_default()["bundle"]["sequence"].as_u64().unwrap_or(0)
}

async fn wait_for_sequence(fleet: &Fleet, wanted: u64) {
    for index in 0..fleet.nodes.len() {
        fleet.wait_until("the bundle is in force", || async { sequence(fleet, index).await == wanted }).await;
    }
}

/// Records a bundle as accepted without any check, as a faulty or hostile tool could.
async fn accept_unchecked(fleet: &Fleet, sequence: u64, package: &Package) {
    let services = fleet.services();
    let signed = serde_json::to_string(&package.signed).expect("JSON");
    store(&services, &package.signed.digest(), &signed).await;
    for (digest, json) in &package.sections {
        store(&services, digest, json).await;
    }
    let accepted = Accepted {
        sequence,
        manifest: package.signed.digest(),
        by: vec![],
        note: "forced".to_owned(),
        rollback_to: None,
        token: sequence.to_string(),
        at: 0,
    };
    services.commit(&Tx::default().put(HEAD_KEY, &accepted)).await.expect("a forced head");
}

async fn store(services: &impl Platform, digest: &str, text: &str) {
    services.store(&object_key(digest), text.as_bytes().to_vec()).await.expect("an object");
}

#[test]
fn a_change_and_a_rollback_come_into_force_everywhere() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let first = fleet.bundle.clone();
        let mut second = first.clone();
        second.models.remove("hail-flag");
        second
            .upstreams
            .values_mut()
            .for_each(|upstream| upstream.models.retain(|model| model == "narrator"));
        fleet.roll(&second).await.expect("a second bundle");
        wait_for_sequence(&fleet, 2).await;
        let without_model = fleet.caller(2).chat("hail-flag", "Hail?", 2).await;
        let services = fleet.services();
        let content = roll::load(&services, 1).await.expect("the first bundle");
        assert_eq!(content, first);
        let mut package = Package::new(&content, 2, Some(1), "rollback to 1");
        package.signed.sign(&fleet.secrets[0]);
        let trusted = [fleet.secrets[0].public()];
        roll::roll(&services, &package, &trusted, 1).await.expect("a rollback");
        wait_for_sequence(&fleet, 3).await;
        let restored = fleet.caller(2).chat("hail-flag", "Hail?", 2).await;
        let history = roll::history(&services).await.expect("a log");
        let mut text = format!(
            "without the model: {}\nrolled back: {}\n",
            answer_summary(&without_model),
            answer_summary(&restored)
        );
        for accepted in history {
            let _ = writeln!(text, "{} {:?} {}", accepted.sequence, accepted.rollback_to, accepted.note);
        }
        insta::assert_snapshot!(text);
    });
}

#[test]
fn of_concurrent_rolls_one_is_accepted_and_the_others_conflict() {
    run(async {
        let fleet = start_fleet(Plan::small()).await;
        let trusted = [fleet.secrets[0].public()];
        let tasks: Vec<_> = (0..6)
            .map(|index| {
                let mut package = Package::new(&with_queue_limit(&fleet, 300 + index), 1, None, "race");
                package.signed.sign(&fleet.secrets[0]);
                let (services, trusted) = (fleet.services(), trusted.clone());
                net::exec::spawn(async move { roll::roll(&services, &package, &trusted, 1).await })
            })
            .collect();
        let (mut accepted_count, mut conflict_count) = (0, 0);
        for task in tasks {
            match task.await {
                Ok(accepted) => {
                    assert_eq!(accepted.sequence, 2);
                    accepted_count += 1;
                }
                Err(roll::Error::Conflict { parent: 1, current: 2 }) => conflict_count += 1,
                Err(error) => panic!("{error}"),
            }
        }
        assert_eq!((accepted_count, conflict_count), (1, 5));
        wait_for_sequence(&fleet, 2).await;
    });
}

#[test]
fn a_roll_whose_answer_was_lost_reports_that_it_was_accepted() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        for round in 0..5 {
            let bundle = with_queue_limit(&fleet, 400 + round);
            fleet.platform.set_mode(standin::Mode::LoseAnswers(1));
            // If the lost answer is that to storing a section, the roll fails, and the operator repeats it.
            let mut accepted = fleet.roll(&bundle).await;
            if matches!(accepted, Err(roll::Error::Platform(_))) {
                accepted = fleet.roll(&bundle).await;
            }
            assert_eq!(accepted.expect("accepted").sequence, 2 + round as u64);
        }
        let history = roll::history(&fleet.services()).await.expect("a log");
        assert_eq!(history.len(), 6, "each bundle was accepted once");
    });
}

#[test]
fn a_bundle_without_valid_signatures_never_comes_into_force() {
    run(async {
        let mut plan = Plan::small();
        plan.needed_signatures = 2;
        let fleet = start_fleet(plan).await;
        let bundle = with_queue_limit(&fleet, 999);
        let sign = |package: &mut Package, secrets: &[&SecretKey]| {
            secrets.iter().for_each(|secret| package.signed.sign(secret));
        };
        let both = [&fleet.secrets[0], &fleet.secrets[1]];
        let untrusted = SecretKey::generate();
        let mut cases = vec![];
        cases.push(("unsigned", Package::new(&bundle, 1, None, "")));
        let mut one = Package::new(&bundle, 1, None, "");
        sign(&mut one, &both[..1]);
        cases.push(("one signature of two", one));
        let mut twice = Package::new(&bundle, 1, None, "");
        sign(&mut twice, &both[..1]);
        let seal = twice.signed.seals[0].clone();
        twice.signed.seals.push(seal);
        cases.push(("the same signature twice", twice));
        let mut foreign = Package::new(&bundle, 1, None, "");
        sign(&mut foreign, &[both[0], &untrusted]);
        cases.push(("a signature of an untrusted key", foreign));
        let mut tampered = Package::new(&bundle, 1, None, "");
        sign(&mut tampered, &both);
        tampered.signed.manifest = tampered.signed.manifest.replace("\"parent\":1", "\"parent\": 1");
        cases.push(("a manifest that was changed", tampered));
        // This bundle differs from that of the other cases. Otherwise the next case would store the correct
        // sections under the same digests, and this bundle, whose signatures are valid, would be accepted.
        let mut section = Package::new(&with_queue_limit(&fleet, 997), 1, None, "");
        sign(&mut section, &both);
        for json in section.sections.values_mut() {
            *json = json.replace("997", "996");
        }
        cases.push(("a section that was changed", section));
        let mut replayed = Package::new(&bundle, 0, None, "");
        sign(&mut replayed, &both);
        cases.push(("signed for another place in the history", replayed));

        let trusted: Vec<String> = fleet.secrets.iter().map(SecretKey::public).collect();
        let mut text = String::new();
        for (name, package) in &cases {
            let refused = roll::roll(&fleet.services(), package, &trusted, 2).await.expect_err("refused");
            let reason = match refused {
                roll::Error::Bundle(error) => error.to_string(),
                other => other.to_string(),
            };
            let reason = reason.split(" was changed").next().unwrap_or_default().to_owned();
            let _ = writeln!(text, "{name}: {reason}");
        }
        // Routers also reject the bundle if it is recorded as accepted without a check.
        for (count, (name, package)) in cases.iter().enumerate() {
            accept_unchecked(&fleet, 2, package).await;
            fleet
                .wait_until(name, || async {
                    let metrics = fleet.get(0, "/metrics").await.unwrap_or_default();
                    let rejected = metrics
                        .lines()
                        .find_map(|line| line.strip_prefix("tallypaddle_bundles_rejected_total "))
                        .and_then(|count| count.parse::<usize>().ok());
                    rejected.is_some_and(|rejected| rejected > count)
                })
                .await;
            for index in 0..3 {
                assert_eq!(sequence(&fleet, index).await, 1, "{name}");
            }
        }
        insta::assert_snapshot!(text);
    });
}

#[test]
fn a_router_cut_off_from_the_platform_gets_the_bundle_from_its_peers() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        fleet.cut_platform(0, true);
        fleet.cut_platform(1, true);
        fleet.roll(&with_queue_limit(&fleet, 500)).await.expect("a bundle");
        wait_for_sequence(&fleet, 2).await;
    });
}

#[test]
fn a_bundle_never_reverts_after_a_restart_or_an_outdated_read() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let services = fleet.services();
        let old = services.read(&[HEAD_KEY.to_owned()]).await.expect("a read")[0].clone().expect("a head");
        let old: Accepted = old.decode().expect("a head");
        fleet.roll(&with_queue_limit(&fleet, 500)).await.expect("a bundle");
        wait_for_sequence(&fleet, 2).await;
        // The platform answers with an old head, like an outdated read.
        services.commit(&Tx::default().put(HEAD_KEY, &old)).await.expect("an old head");
        fleet.restart(0);
        fleet
            .wait_until("the restarted router has the bundle", || async { sequence(&fleet, 0).await == 2 })
            .await;
        for index in 0..3 {
            assert_eq!(sequence(&fleet, index).await, 2);
        }
    });
}

#[test]
fn a_router_that_boots_without_the_platform_gets_the_bundle_from_its_peers() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        fleet.platform.set_mode(standin::Mode::Down);
        fleet.add_node("vm-4", "dc-1").await;
        wait_for_sequence(&fleet, 1).await;
        fleet
            .wait_until("the new router is ready", || async { fleet.get(3, "/ready").await.is_some() })
            .await;
    });
}

#[test]
fn a_router_without_any_bundle_is_not_ready_and_says_why() {
    run(async {
        let mut fleet = Fleet::start_without_routers(program(), Plan::small()).await;
        fleet.platform.set_mode(standin::Mode::Down);
        fleet.add_node("vm-1", "dc-0").await;
        fleet.wait_until("the router is live", || async { fleet.get(0, "/live").await.is_some() }).await;
        let request = http::Request::get(format!("http://{}/ready", fleet.nodes[0].operators))
            .body(net::Body::empty())
            .expect("a request");
        let answer = net::Client::new()
            .exchange("ready", request, 1 << 16, std::time::Duration::from_secs(5))
            .await
            .expect("an answer");
        let refused = fleet.caller(0).chat("narrator", "x", 2).await;
        let text = format!(
            "{} {}\n{}\n",
            answer.status(),
            String::from_utf8_lossy(answer.body()),
            answer_summary(&refused)
        );
        insta::assert_snapshot!(text);
    });
}

#[test]
fn a_peer_without_the_fleet_key_is_refused_and_logged() {
    run(async {
        let fleet = start_fleet(Plan::small()).await;
        let key = peer::FleetKey::new("another-fleet-key-0002").expect("a key");
        let peers = peer::Peers::new(key, std::time::Duration::from_secs(2));
        let address = fleet.nodes[0].from_peers.address();
        let call = |client: peer::LinkClient, context| async move { client.standing(context).await };
        assert!(peers.call("standing", address, call).await.is_err());
        fleet
            .wait_until("the refusal is logged", || async {
                fleet.nodes[0].process.log().contains("the peer does not know a fleet key")
            })
            .await;
    });
}

#[test]
fn requests_in_progress_complete_under_the_bundle_they_started_with() {
    run(async {
        let mut fleet = start_fleet(Plan::small()).await;
        let long_request = ChatRequest::new("narrator", "A long sweep", 300).streamed();
        let caller = fleet.caller(0);
        let running = net::exec::spawn({
            let long_request = long_request.clone();
            async move { caller.send_chat(&long_request).await }
        });
        fleet.wait_until("the run is open", || async { crate::support::open_runs(&fleet) == 1 }).await;
        let mut bundle = fleet.bundle.clone();
        bundle.models.remove("narrator");
        bundle
            .upstreams
            .values_mut()
            .for_each(|upstream| upstream.models.retain(|model| model != "narrator"));
        fleet.roll(&bundle).await.expect("a bundle without the model");
        wait_for_sequence(&fleet, 2).await;
        assert!(running.await.is_complete_for(&long_request));
    });
}
