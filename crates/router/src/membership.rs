//! Heartbeats between routers. They show which routers are alive, which bundle each has in force, and which
//! upstreams are leaving.

use crate::clock::Clock;
use crate::node::Node;
use crate::ports::Ports;
use crate::settings::millis;
use crate::steer;
use async_channel::Receiver;
use futures::future::join_all;
use net::exec;
use peer::{Heartbeat, LinkClient, Member};
use std::net::SocketAddr;
use std::sync::Arc;
use store::{Role, VmList};

/// The number of routers to which a router sends heartbeats, independent of the size of the fleet.
const HEARTBEAT_FANOUT: usize = 6;
/// The maximum number of routers that a new router contacts before it adopts a bundle.
const MAX_CONTACTED: usize = 16;

/// Sends heartbeats at regular intervals, and at once when requested.
pub(crate) async fn run<W: Ports>(node: Arc<Node<W>>, requested: Receiver<()>) {
    while !node.is_stopped() {
        let targets: Vec<(String, SocketAddr)> = {
            let view = node.view();
            let names = view.heartbeat_targets(HEARTBEAT_FANOUT);
            names
                .iter()
                .filter_map(|name| view.member(name))
                .map(|member| (member.name.clone(), member.address))
                .collect()
        };
        join_all(targets.iter().map(|(name, address)| heartbeat_member(&node, name, *address))).await;
        let request = async {
            let _ = requested.recv().await;
        };
        smol::future::or(request, exec::sleep(millis(node.settings.limits.beat_ms))).await;
    }
}

/// Sends the first heartbeats of a new router to its seeds and the routers that the platform lists, and
/// adopts the latest bundle that one of them has in force. The platform may be unavailable or return an older
/// bundle.
pub(crate) async fn join_fleet<W: Ports>(node: &Arc<Node<W>>) {
    if let Ok(vms) = node.platform.list().await {
        update_members(node, &vms);
    }
    let mut addresses: Vec<SocketAddr> = node.settings.seeds.clone();
    addresses.extend(node.alive_peers().into_iter().map(|(_, address)| address));
    addresses.sort_unstable();
    addresses.dedup();
    addresses.truncate(MAX_CONTACTED);
    let heartbeats = join_all(addresses.iter().map(|address| send_heartbeat(node, *address))).await;
    let latest = heartbeats.into_iter().flatten().max_by_key(|heartbeat| heartbeat.sequence);
    if let Some(heartbeat) = latest {
        steer::adopt_from_peer(node, &heartbeat).await;
    }
}

async fn send_heartbeat<W: Ports>(node: &Arc<Node<W>>, address: SocketAddr) -> Option<Heartbeat> {
    let heartbeat = node.heartbeat();
    let call = |client: LinkClient, context| async move { client.beat(context, heartbeat).await };
    match node.peers.call("beat", address, call).await {
        Ok(answer) => {
            record_heartbeat(node, &answer);
            Some(answer)
        }
        Err(error) => {
            log::debug!("peer: {error}");
            None
        }
    }
}

async fn heartbeat_member<W: Ports>(node: &Arc<Node<W>>, name: &str, address: SocketAddr) {
    if send_heartbeat(node, address).await.is_none() {
        let now = node.clock.now();
        node.view().record_no_answer(name, now);
    }
}

/// Records a heartbeat, and acts on what changed.
pub(crate) fn record_heartbeat<W: Ports>(node: &Arc<Node<W>>, heartbeat: &Heartbeat) {
    let now = node.clock.now();
    let is_new = node.view().record_heartbeat(heartbeat, now);
    if is_new {
        log::info!(
            "peer: {} #{} sends heartbeats from {}",
            heartbeat.name,
            heartbeat.incarnation,
            heartbeat.address
        );
        node.reassign_slots();
    }
    for name in &heartbeat.leaving {
        if node.schedule.record_leaving_hint(name) {
            log::info!(
                "upstream: {name} is leaving and gets no new requests, according to {}",
                heartbeat.name
            );
        }
    }
    if heartbeat.sequence > node.bundle().sequence {
        let (node, heartbeat) = (node.clone(), heartbeat.clone());
        exec::spawn(async move { steer::adopt_from_peer(&node, &heartbeat).await }).detach();
    }
}

/// Updates the view of the fleet from the platform's list of VMs.
pub(crate) fn update_members<W: Ports>(node: &Node<W>, vms: &[store::Vm]) {
    let routers: Vec<Member> = vms
        .iter()
        .filter(|vm| vm.role == Role::Router && vm.name != node.settings.name)
        .map(|vm| Member::new(&vm.name, vm.address))
        .collect();
    let now = node.clock.now();
    let changed = {
        let mut view = node.view();
        let before = view.router_names().len();
        view.update_listed(&routers, now);
        view.router_names().len() != before
    };
    if changed {
        node.reassign_slots();
    }
}
