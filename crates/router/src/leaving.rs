//! Leaving upstreams: the platform's list, the engines' own mark and the peers' word, whichever comes first.

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

/// Load reports that one router asks for in a second, however many upstreams it uses.
const REPORTS_PER_SECOND: u64 = 50;
/// Lists of VMs that all routers together ask for in a second.
const FLEET_RATE: u64 = 400;
/// Bytes of one entry of the list, and bytes of the list that one router reads in a second on average.
const ENTRY_BYTES: u64 = 120;
const LIST_BYTES_PER_SECOND: u64 = 1_500;

/// Watches the upstreams and the VM list.
pub(crate) async fn run<W: Ports>(node: Arc<Node<W>>, looked: Receiver<()>) {
    let lists = watch_list(&node, &looked);
    let loads = watch_loads(&node);
    futures::future::join(lists, loads).await;
}

async fn watch_list<W: Ports>(node: &Arc<Node<W>>, looked: &Receiver<()>) {
    let mut marked: BTreeSet<String> = BTreeSet::new();
    while !node.is_closed() {
        let mut listed = 0;
        if let Ok(vms) = node.platform.list().await {
            listed = vms.len() as u64;
            membership::list(node, &vms);
            mark(node, &vms, &mut marked);
            keep::release_gone(node, &vms).await;
        }
        let by_rate = node.fleet_size() * 1_000 / FLEET_RATE;
        let by_bytes = listed * ENTRY_BYTES * 1_000 / LIST_BYTES_PER_SECOND;
        let pause = node.settings.limits.poll_ms.max(by_rate).max(by_bytes);
        let hint = async {
            let _ = looked.recv().await;
        };
        smol::future::or(hint, exec::sleep(millis(pause))).await;
    }
}

/// Marks the upstreams that the list says are leaving, and those that it no longer says so of.
fn mark<W: Ports>(node: &Arc<Node<W>>, vms: &[Vm], marked: &mut BTreeSet<String>) {
    let upstreams: BTreeMap<&str, bool> =
        vms.iter().filter(|vm| vm.role == Role::Upstream).map(|vm| (vm.name.as_str(), vm.leaving)).collect();
    for (name, leaving) in upstreams {
        let was = marked.contains(name);
        if leaving == was {
            continue;
        }
        if leaving {
            marked.insert(name.to_owned());
        } else {
            marked.remove(name);
        }
        note(node, name, leaving, "the platform's list");
    }
}

fn note<W: Ports>(node: &Arc<Node<W>>, name: &str, leaving: bool, source: &str) {
    if node.schedule.leave(name, leaving) {
        let what = if leaving { "leaves, it gets no new work" } else { "stays" };
        log::info!("upstream: {name} {what}, says {source}");
        let _ = node.news.try_send(());
        if leaving {
            hint_owners(node, name);
        }
    }
}

/// Tells the routers that send work to an upstream: they may look at the list only much later.
fn hint_owners<W: Ports>(node: &Arc<Node<W>>, name: &str) {
    let owners = node.schedule.owners(name);
    for (_, address) in node.alive().into_iter().filter(|(owner, _)| owners.contains(owner)) {
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

/// Takes back the slots of borrowers that are gone, once their runs must have ended.
fn reclaim<W: Ports>(node: &Node<W>) {
    let now = node.clock.now();
    let longest = node.settings.limits.start_ms;
    let is_gone = |borrower: &str| forward::address_of(node, borrower).is_none();
    for id in node.loans.overdue(now.saturating_sub(longest), is_gone) {
        log::warn!("route: slot {id} is taken back, its borrower is gone");
        node.loans.take_back(&node.schedule, &id, false);
    }
}

async fn watch_loads<W: Ports>(node: &Arc<Node<W>>) {
    let mut marked: BTreeSet<String> = BTreeSet::new();
    while !node.is_closed() {
        let bundle = node.bundle();
        let used: Vec<String> = node.schedule.view().into_keys().collect();
        let calls = used.iter().filter_map(|name| {
            let upstream = bundle.content.upstreams.get(name)?;
            Some(async { (name.clone(), node.engine.load(upstream.address).await) })
        });
        for (name, load) in join_all(calls).await {
            match load {
                Ok(load) => {
                    if load.leaving != marked.contains(&name) {
                        note(node, &name, load.leaving, "its own mark");
                        if load.leaving {
                            marked.insert(name.clone());
                        } else {
                            marked.remove(&name);
                        }
                    }
                    node.schedule.report(&name, &load);
                }
                Err(error) => log::debug!("upstream: {name}: {error}"),
            }
        }
        if bundle.sequence > 0 {
            node.surveyed.store(true, Ordering::Relaxed);
        }
        reclaim(node);
        let pause = node.settings.limits.load_ms.max(used.len() as u64 * 1_000 / REPORTS_PER_SECOND);
        exec::sleep(millis(pause)).await;
    }
}
