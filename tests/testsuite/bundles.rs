//! Bundles: signed, accepted once, in force everywhere, never reverted.

use crate::support::{fleet, line, program, run};
use bundle::{Bundle, Secret};
use harness::{ChatRequest, Fleet, Plan};
use roll::{Accepted, HEAD, Package, object_key};
use std::fmt::Write;
use store::{Services, Table, Tx};

/// The bundle of a fleet with another limit, so that it differs.
fn changed(fleet: &Fleet, queue: usize) -> Bundle {
    let mut bundle = fleet.bundle.clone();
    bundle.limits.queue = queue;
    bundle
}

async fn sequence(fleet: &Fleet, index: usize) -> u64 {
    fleet.status(index).await.unwrap_or_default()["bundle"]["sequence"].as_u64().unwrap_or(0)
}

async fn all_reach(fleet: &Fleet, wanted: u64) {
    for index in 0..fleet.nodes.len() {
        fleet.wait_until("the bundle is in force", || async { sequence(fleet, index).await == wanted }).await;
    }
}

/// Accepts a signed manifest without any check, as a faulty or hostile tool would.
async fn force(fleet: &Fleet, sequence: u64, package: &Package) {
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
    services.commit(&Tx::default().put(HEAD, &accepted)).await.expect("a forced head");
}

async fn store(services: &impl Services, digest: &str, text: &str) {
    services.store(&object_key(digest), text.as_bytes().to_vec()).await.expect("an object");
}

#[test]
fn a_change_and_a_rollback_come_into_force_everywhere() {
    run(async {
        let mut fleet = fleet(Plan::small()).await;
        let first = fleet.bundle.clone();
        let mut second = first.clone();
        second.models.remove("hail-flag");
        second
            .upstreams
            .values_mut()
            .for_each(|upstream| upstream.models.retain(|model| model == "narrator"));
        fleet.roll(&second).await.expect("a second bundle");
        all_reach(&fleet, 2).await;
        let gone = fleet.caller(2).chat("hail-flag", "Hail?", 2).await;
        let services = fleet.services();
        let content = roll::load(&services, 1).await.expect("the first bundle");
        assert_eq!(content, first);
        let mut package = Package::new(&content, 2, Some(1), "rollback to 1");
        package.signed.sign(&fleet.secrets[0]);
        let trusted = [fleet.secrets[0].public()];
        roll::roll(&services, &package, &trusted, 1).await.expect("a rollback");
        all_reach(&fleet, 3).await;
        let back = fleet.caller(2).chat("hail-flag", "Hail?", 2).await;
        let history = roll::history(&services).await.expect("a log");
        let mut text = format!("without the model: {}\nrolled back: {}\n", line(&gone), line(&back));
        for accepted in history {
            let _ = writeln!(text, "{} {:?} {}", accepted.sequence, accepted.rollback_to, accepted.note);
        }
        insta::assert_snapshot!(text);
    });
}

#[test]
fn of_racing_operators_one_wins_and_the_others_learn_it() {
    run(async {
        let fleet = fleet(Plan::small()).await;
        let trusted = [fleet.secrets[0].public()];
        let tasks: Vec<_> = (0..6)
            .map(|index| {
                let mut package = Package::new(&changed(&fleet, 300 + index), 1, None, "race");
                package.signed.sign(&fleet.secrets[0]);
                let (services, trusted) = (fleet.services(), trusted.clone());
                net::exec::spawn(async move { roll::roll(&services, &package, &trusted, 1).await })
            })
            .collect();
        let (mut won, mut lost) = (0, 0);
        for task in tasks {
            match task.await {
                Ok(accepted) => {
                    assert_eq!(accepted.sequence, 2);
                    won += 1;
                }
                Err(roll::Error::Conflict { parent: 1, current: 2 }) => lost += 1,
                Err(error) => panic!("{error}"),
            }
        }
        assert_eq!((won, lost), (1, 5));
        all_reach(&fleet, 2).await;
    });
}

#[test]
fn a_roll_with_a_lost_answer_knows_that_it_was_accepted() {
    run(async {
        let mut fleet = fleet(Plan::small()).await;
        for round in 0..5 {
            let bundle = changed(&fleet, 400 + round);
            fleet.platform.set_mode(standin::Mode::LoseAnswers(1));
            // Storing a section may meet the lost answer; asking again is what an operator does.
            let mut accepted = fleet.roll(&bundle).await;
            if matches!(accepted, Err(roll::Error::Platform(_))) {
                accepted = fleet.roll(&bundle).await;
            }
            assert_eq!(accepted.expect("accepted").sequence, 2 + round as u64);
        }
        let history = roll::history(&fleet.services()).await.expect("a log");
        assert_eq!(history.len(), 6, "each was accepted once");
    });
}

#[test]
fn what_is_not_rightly_signed_is_never_in_force() {
    run(async {
        let mut plan = Plan::small();
        plan.needed_signatures = 2;
        let fleet = fleet(plan).await;
        let bundle = changed(&fleet, 999);
        let sign = |package: &mut Package, secrets: &[&Secret]| {
            secrets.iter().for_each(|secret| package.signed.sign(secret));
        };
        let both = [&fleet.secrets[0], &fleet.secrets[1]];
        let stranger = Secret::generate();
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
        let mut strange = Package::new(&bundle, 1, None, "");
        sign(&mut strange, &[both[0], &stranger]);
        cases.push(("a stranger's signature", strange));
        let mut tampered = Package::new(&bundle, 1, None, "");
        sign(&mut tampered, &both);
        tampered.signed.manifest = tampered.signed.manifest.replace("\"parent\":1", "\"parent\": 1");
        cases.push(("a manifest that was changed", tampered));
        // A content of its own: the next case stores the right sections of the bundle that the others share,
        // and then this one, rightly signed but for them, would be whole.
        let mut section = Package::new(&changed(&fleet, 997), 1, None, "");
        sign(&mut section, &both);
        for json in section.sections.values_mut() {
            *json = json.replace("997", "996");
        }
        cases.push(("a section that was changed", section));
        let mut replayed = Package::new(&bundle, 0, None, "");
        sign(&mut replayed, &both);
        cases.push(("signed for another place in the history", replayed));

        let trusted: Vec<String> = fleet.secrets.iter().map(Secret::public).collect();
        let mut text = String::new();
        for (name, package) in &cases {
            let refused = roll::roll(&fleet.services(), package, &trusted, 2).await.expect_err("refused");
            let what = match refused {
                roll::Error::Bundle(error) => error.to_string(),
                other => other.to_string(),
            };
            let what = what.split(" was changed").next().unwrap_or_default().to_owned();
            let _ = writeln!(text, "{name}: {what}");
        }
        // Even when a hostile tool moves the head on, no router takes it.
        for (count, (name, package)) in cases.iter().enumerate() {
            force(&fleet, 2, package).await;
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
        let mut fleet = fleet(Plan::small()).await;
        fleet.cut_platform(0, true);
        fleet.cut_platform(1, true);
        fleet.roll(&changed(&fleet, 500)).await.expect("a bundle");
        all_reach(&fleet, 2).await;
    });
}

#[test]
fn a_bundle_never_reverts_over_restarts_and_old_answers() {
    run(async {
        let mut fleet = fleet(Plan::small()).await;
        let services = fleet.services();
        let old = services.read(&[HEAD.to_owned()]).await.expect("a read")[0].clone().expect("a head");
        let old: Accepted = old.decode().expect("a head");
        fleet.roll(&changed(&fleet, 500)).await.expect("a bundle");
        all_reach(&fleet, 2).await;
        // The platform answers with an old head, as a lagging read would.
        services.commit(&Tx::default().put(HEAD, &old)).await.expect("an old head");
        fleet.restart(0);
        fleet.wait_until("it is back", || async { sequence(&fleet, 0).await == 2 }).await;
        for index in 0..3 {
            assert_eq!(sequence(&fleet, index).await, 2);
        }
    });
}

#[test]
fn a_router_that_boots_without_the_platform_gets_the_bundle_from_its_peers() {
    run(async {
        let mut fleet = fleet(Plan::small()).await;
        fleet.platform.set_mode(standin::Mode::Down);
        fleet.add_node("vm-4", "dc-1").await;
        all_reach(&fleet, 1).await;
        fleet.wait_until("it is ready", || async { fleet.get(3, "/ready").await.is_some() }).await;
    });
}

#[test]
fn a_router_without_any_bundle_is_not_ready_and_says_why() {
    run(async {
        let mut fleet = Fleet::start_without_routers(program(), Plan::small()).await;
        fleet.platform.set_mode(standin::Mode::Down);
        fleet.add_node("vm-1", "dc-0").await;
        fleet.wait_until("it lives", || async { fleet.get(0, "/live").await.is_some() }).await;
        let request = http::Request::get(format!("http://{}/ready", fleet.nodes[0].operators))
            .body(net::Body::empty())
            .expect("a request");
        let answer = net::Client::new()
            .exchange("ready", request, 1 << 16, std::time::Duration::from_secs(5))
            .await
            .expect("an answer");
        let refused = fleet.caller(0).chat("narrator", "x", 2).await;
        let text =
            format!("{} {}\n{}\n", answer.status(), String::from_utf8_lossy(answer.body()), line(&refused));
        insta::assert_snapshot!(text);
    });
}

#[test]
fn a_stranger_without_the_fleet_key_is_refused_and_logged() {
    run(async {
        let fleet = fleet(Plan::small()).await;
        let key = peer::FleetKey::new("another-fleet-key-0002").expect("a key");
        let peers = peer::Peers::new(key, std::time::Duration::from_secs(2));
        let address = fleet.nodes[0].from_peers.address();
        let call = |client: peer::LinkClient, context| async move { client.standing(context).await };
        assert!(peers.call("standing", address, call).await.is_err());
        fleet
            .wait_until("it is logged", || async {
                fleet.nodes[0].process.log().contains("the peer does not know a fleet key")
            })
            .await;
    });
}

#[test]
fn requests_in_progress_run_wholly_under_their_bundle() {
    run(async {
        let mut fleet = fleet(Plan::small()).await;
        let long = ChatRequest::new("narrator", "A long sweep", 300).streamed();
        let caller = fleet.caller(0);
        let running = net::exec::spawn({
            let long = long.clone();
            async move { caller.send_chat(&long).await }
        });
        fleet.wait_until("the run is open", || async { crate::support::open_runs(&fleet) == 1 }).await;
        let mut bundle = fleet.bundle.clone();
        bundle.models.remove("narrator");
        bundle
            .upstreams
            .values_mut()
            .for_each(|upstream| upstream.models.retain(|model| model != "narrator"));
        fleet.roll(&bundle).await.expect("a bundle without the model");
        all_reach(&fleet, 2).await;
        assert!(running.await.is_complete_for(&long));
    });
}
