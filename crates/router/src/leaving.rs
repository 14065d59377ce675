//! Detection of leaving upstreams from the platform's list, the upstreams' load reports and the hints of
//! peers, whichever comes first. Also reclaims lent slots of borrowers that are gone.

use crate::clock::Clock;
use crate::forward;
use crate::keep;
use crate::membership;
use crate::node::Node;
use crate::ports::Ports;
use crate::settings::millis;
use async_channel::Receiver;
use futures::future::join_all;
use net::exec;
use peer::LinkClient;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use store::{Role, Vm, VmList};
use upstream::Engine;

/// The maximum number of load reports per second that a router reads, however many upstreams it uses.
const LOAD_READS_PER_S: u64 = 50;
/// The maximum number of VM lists per second that all routers together read.
const FLEET_LIST_READS_PER_S: u64 = 400;
/// The size of an entry of the list in bytes, and the bytes of the list per second that a router reads on
/// average.
const ENTRY_BYTES: u64 = 120;
const LIST_BYTES_PER_S: u64 = 1_500;

/// Polls the VM list and the load of the upstreams until the router has stopped.
pub(crate) async fn run<W: Ports>(node: Arc<Node<W>>, requested: Receiver<()>) {
    let lists = poll_vm_list(&node, &requested);
    let loads = poll_loads(&node);
    futures::future::join(lists, loads).await;
}

async fn poll_vm_list<W: Ports>(node: &Arc<Node<W>>, requested: &Receiver<()>) {
    let mut known_leaving: BTreeSet<String> = BTreeSet::new();
    while !node.is_stopped() {
        let mut listed = 0;
        if let Ok(vms) = node.platform.list().await {
            listed = vms.len() as u64;
            membership::update_members(node, &vms);
            apply_list(node, &vms, &mut known_leaving);
            keep::close_accounts_of_gone_routers(node, &vms).await;
        }
        let by_rate = node.fleet_size() * 1_000 / FLEET_LIST_READS_PER_S;
        let by_bytes = listed * ENTRY_BYTES * 1_000 / LIST_BYTES_PER_S;
        let pause = node.settings.limits.poll_ms.max(by_rate).max(by_bytes);
        let request = async {
            let _ = requested.recv().await;
        };
        smol::future::or(request, exec::sleep(millis(pause))).await;
    }
}

/// Records the upstreams that the list newly shows as leaving, and those that it no longer does.
fn apply_list<W: Ports>(node: &Arc<Node<W>>, vms: &[Vm], known_leaving: &mut BTreeSet<String>) {
    let upstreams: BTreeMap<&str, bool> =
        vms.iter().filter(|vm| vm.role == Role::Upstream).map(|vm| (vm.name.as_str(), vm.leaving)).collect();
    for (name, leaving) in upstreams {
        let was = known_leaving.contains(name);
        if leaving == was {
            continue;
        }
        if leaving {
            known_leaving.insert(name.to_owned());
        } else {
            known_leaving.remove(name);
        }
        set_leaving(node, name, leaving, "the platform's list");
    }
}

fn set_leaving<W: Ports>(node: &Arc<Node<W>>, name: &str, leaving: bool, source: &str) {
    if node.schedule.set_leaving(name, leaving) {
        let what = if leaving { "is leaving and gets no new requests" } else { "is no longer leaving" };
        log::info!("upstream: {name} {what}, according to {source}");
        let _ = node.heartbeat_now.try_send(());
        if leaving {
            notify_owners(node, name);
        }
    }
}

/// Notifies the routers that own slots of an upstream, since they may read the list only much later.
fn notify_owners<W: Ports>(node: &Arc<Node<W>>, name: &str) {
    let owners = node.schedule.owners(name);
    for (_, address) in node.alive_peers().into_iter().filter(|(owner, _)| owners.contains(owner)) {
        let (node, name) = (node.clone(), name.to_owned());
        exec::spawn(async move {
            let me = node.settings.name.clone();
            let call =
                |client: LinkClient, context| async move { client.hint_leaving(context, name, me).await };
            if let Err(error) = node.peers.call("hint", address, call).await {
                log::debug!("peer: {error}");
            }
        })
        .detach();
    }
}

/// Takes back the slots of borrowers that are gone. A slot is first kept for the timeout for the start of an
/// answer, after which the borrower's run is assumed to have ended.
fn reclaim_slots<W: Ports>(node: &Node<W>) {
    let now = node.clock.now();
    let longest = node.settings.limits.start_ms;
    let is_gone = |borrower: &str| forward::address_of(node, borrower).is_none();
    for id in node.slot_loans.overdue(now.saturating_sub(longest), is_gone) {
        log::warn!("route: slot {id} is taken back because its borrower is gone");
        node.slot_loans.take_back(&node.schedule, &id, false);
    }
}

async fn poll_loads<W: Ports>(node: &Arc<Node<W>>) {
    let mut known_leaving: BTreeSet<String> = BTreeSet::new();
    while !node.is_stopped() {
        let bundle = node.bundle();
        let used: Vec<String> = node.schedule.upstream_statuses().into_keys().collect();
        let calls = used.iter().filter_map(|name| {
            let upstream = bundle.content.upstreams.get(name)?;
            Some(async { (name.clone(), node.engine.load(upstream.address).await) })
        });
        for (name, load) in join_all(calls).await {
            match load {
                Ok(load) => {
                    if load.leaving != known_leaving.contains(&name) {
                        set_leaving(node, &name, load.leaving, "its load report");
                        if load.leaving {
                            known_leaving.insert(name.clone());
                        } else {
                            known_leaving.remove(&name);
                        }
                    }
                    node.schedule.record_report(&name, &load);
                }
                Err(error) => log::debug!("upstream: {name}: {error}"),
            }
        }
        if bundle.sequence > 0 {
            node.has_read_loads.store(true, Ordering::Relaxed);
        }
        reclaim_slots(node);
        let pause = node.settings.limits.load_ms.max(used.len() as u64 * 1_000 / LOAD_READS_PER_S);
        exec::sleep(millis(pause)).await;
    }
}
