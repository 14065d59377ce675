//! Heartbeats between routers: who is alive, which bundle is in force, which upstreams leave.

use crate::clock::Clock;
use crate::node::Node;
use crate::ports::Ports;
use crate::settings::millis;
use crate::steer;
use async_channel::Receiver;
use futures::future::join_all;
use net::exec;
use peer::{Beat, LinkClient, Member};
use std::net::SocketAddr;
use std::sync::Arc;
use store::{Role, VmList};

/// Routers that get heartbeats from one router, whatever the size of the fleet.
const FANOUT: usize = 6;
/// Routers that a new one greets before it takes up a bundle.
const GREETED: usize = 16;

/// Sends heartbeats in regular intervals, and at once when there is news.
pub(crate) async fn run<W: Ports>(node: Arc<Node<W>>, heard: Receiver<()>) {
    while !node.is_closed() {
        let targets: Vec<(String, SocketAddr)> = {
            let view = node.view();
            let names = view.targets(FANOUT);
            names
                .iter()
                .filter_map(|name| view.member(name))
                .map(|member| (member.name.clone(), member.address))
                .collect()
        };
        join_all(targets.iter().map(|(name, address)| exchange(&node, name, *address))).await;
        let news = async {
            let _ = heard.recv().await;
        };
        smol::future::or(news, exec::sleep(millis(node.settings.limits.beat_ms))).await;
    }
}

/// Makes a new router known to its seeds and to those that the platform lists, and takes up the latest
/// bundle that one of them has in force: the platform may be away, or answer with an older one.
pub(crate) async fn introduce<W: Ports>(node: &Arc<Node<W>>) {
    if let Ok(vms) = node.platform.list().await {
        list(node, &vms);
    }
    let mut addresses: Vec<SocketAddr> = node.settings.seeds.clone();
    addresses.extend(node.alive().into_iter().map(|(_, address)| address));
    addresses.sort_unstable();
    addresses.dedup();
    addresses.truncate(GREETED);
    let beats = join_all(addresses.iter().map(|address| greet(node, *address))).await;
    let latest = beats.into_iter().flatten().max_by_key(|beat| beat.sequence);
    if let Some(beat) = latest {
        steer::adopt_from_peer(node, &beat).await;
    }
}

async fn greet<W: Ports>(node: &Arc<Node<W>>, address: SocketAddr) -> Option<Beat> {
    let beat = node.beat();
    let call = |client: LinkClient, context| async move { client.beat(context, beat).await };
    match node.peers.call("beat", address, call).await {
        Ok(answer) => {
            hear(node, &answer);
            Some(answer)
        }
        Err(error) => {
            log::debug!("peer: {error}");
            None
        }
    }
}

async fn exchange<W: Ports>(node: &Arc<Node<W>>, name: &str, address: SocketAddr) {
    if greet(node, address).await.is_none() {
        let now = node.clock.now();
        node.view().miss(name, now);
    }
}

/// Takes in a heartbeat.
pub(crate) fn hear<W: Ports>(node: &Arc<Node<W>>, beat: &Beat) {
    let now = node.clock.now();
    let news = node.view().hear(beat, now);
    if news {
        log::info!("peer: {} #{} is heard from {}", beat.name, beat.incarnation, beat.address);
        node.share_out();
    }
    for name in &beat.leaving {
        if node.schedule.hear_leaving(name) {
            log::info!("upstream: {name} leaves, it gets no new work, says {}", beat.name);
        }
    }
    if beat.sequence > node.bundle().sequence {
        let (node, beat) = (node.clone(), beat.clone());
        exec::spawn(async move { steer::adopt_from_peer(&node, &beat).await }).detach();
    }
}

/// Takes in the platform's list of VMs.
pub(crate) fn list<W: Ports>(node: &Node<W>, vms: &[store::Vm]) {
    let routers: Vec<Member> = vms
        .iter()
        .filter(|vm| vm.role == Role::Router && vm.name != node.settings.name)
        .map(|vm| Member::new(&vm.name, vm.address))
        .collect();
    let now = node.clock.now();
    let changed = {
        let mut view = node.view();
        let before = view.sharers().len();
        view.list(&routers, now);
        view.sharers().len() != before
    };
    if changed {
        node.share_out();
    }
}
