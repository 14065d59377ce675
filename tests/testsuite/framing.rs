//! Upstreams whose connections break in the middle of an answer: a truncated answer never reaches its caller as a complete
//! one.

use crate::support::{program, run};
use harness::{Fleet, Plan};
use standin::{Proxy, Rule};

/// A fleet with proxies that change how the answers of its upstreams are framed, and others in front of them that close
/// the connections.
struct FramedFleet {
    fleet: Fleet,
    _framing: Vec<Proxy>,
    fronts: Vec<Proxy>,
}

impl FramedFleet {
    async fn start(framing_rule: Rule) -> FramedFleet {
        let mut fleet = Fleet::start_without_routers(program(), Plan::small()).await;
        let (mut framing, mut fronts) = (vec![], vec![]);
        let mut bundle = fleet.bundle.clone();
        let upstreams = bundle.upstreams.values_mut().map(|upstream| &mut upstream.address);
        let services = bundle.services.values_mut().flat_map(|service| &mut service.addresses);
        for address in upstreams.chain(services) {
            let proxy = Proxy::start(*address).await.expect("a proxy");
            proxy.set_rule(framing_rule);
            let front = Proxy::start(proxy.address()).await.expect("a proxy");
            *address = front.address();
            framing.push(proxy);
            fronts.push(front);
        }
        fleet.roll(&bundle).await.expect("the bundle is accepted");
        for index in 0..fleet.plan.routers {
            fleet.add_node(&format!("vm-{}", index + 1), "dc-0").await;
        }
        fleet.wait_until_ready().await;
        FramedFleet { fleet, _framing: framing, fronts }
    }

    fn set_rule(&self, rule: Rule) {
        self.fronts.iter().for_each(|front| front.set_rule(rule));
    }
}

#[test]
fn an_answer_of_a_service_is_framed_whatever_version_the_service_speaks() {
    run(async {
        let site = FramedFleet::start(Rule::Http10).await;
        let caller = site.fleet.caller(0);
        let path = format!("/services/tiles/layer/{}", "x".repeat(200));
        let whole = caller.send(caller.request("GET", &path, "")).await;
        assert!(whole.complete && whole.text.ends_with(": 0 bytes"), "{whole:?}");
        // The head and a part of the body, which repeats the path.
        site.set_rule(Rule::CloseAfter(190));
        let cut = caller.send(caller.request("GET", &path, "")).await;
        assert!(!cut.complete, "the answer must be aborted: {cut:?}");
    });
}
