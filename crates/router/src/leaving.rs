//! Leaving upstreams: the platform's list, the engines' own mark and the peers' word, whichever comes first.

use crate::clock::Clock;
use crate::forward;
use crate::membership;
use crate::node::Node;
use crate::settings::millis;
use futures::future::join_all;
use net::exec;
use platform::{Role, Services, Vm};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use upstream::Engine;

/// Load reports that one router asks for in a second, however many upstreams it uses.
const REPORTS_PER_SECOND: u64 = 50;
/// Lists of VMs that all routers together ask for in a second.
const FLEET_RATE: u64 = 400;

/// Watches the upstreams and the VM list.
pub(crate) async fn run<P, E, C>(node: Arc<Node<P, E, C>>)
where
    P: Services,
    E: Engine,
    C: Clock,
{
    let lists = watch_list(&node);
    let loads = watch_loads(&node);
    futures::future::join(lists, loads).await;
}

async fn watch_list<P, E, C>(node: &Arc<Node<P, E, C>>)
where
    P: Services,
    E: Engine,
    C: Clock,
{
    let mut marked: BTreeSet<String> = BTreeSet::new();
    while !node.is_closed() {
        if let Ok(vms) = node.platform.list().await {
            membership::list(node, &vms);
            mark(node, &vms, &mut marked);
        }
        let pause = node.settings.limits.poll_ms.max(node.fleet_size() * 1_000 / FLEET_RATE);
        exec::sleep(millis(pause)).await;
    }
}

/// Marks the upstreams that the list says are leaving, and those that it no longer says so of.
fn mark<P, E, C>(node: &Node<P, E, C>, vms: &[Vm], marked: &mut BTreeSet<String>)
where
    P: Services,
    E: Engine,
    C: Clock,
{
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

fn note<P, E, C>(node: &Node<P, E, C>, name: &str, leaving: bool, source: &str)
where
    P: Services,
    E: Engine,
    C: Clock,
{
    if node.schedule.leave(name, leaving) {
        let what = if leaving { "leaves, it gets no new work" } else { "stays" };
        log::info!("upstream: {name} {what}, says {source}");
        let _ = node.news.try_send(());
    }
}

/// Takes back the slots of borrowers that are gone, once their runs must have ended.
fn reclaim<P, E, C>(node: &Node<P, E, C>)
where
    P: Services,
    E: Engine,
    C: Clock,
{
    let now = node.clock.now();
    let longest = node.settings.limits.start_ms;
    let is_gone = |borrower: &str| forward::address_of(node, borrower).is_none();
    for id in node.loans.overdue(now.saturating_sub(longest), is_gone) {
        log::warn!("route: slot {id} is taken back, its borrower is gone");
        node.loans.take_back(&node.schedule, &id, false);
    }
}

async fn watch_loads<P, E, C>(node: &Arc<Node<P, E, C>>)
where
    P: Services,
    E: Engine,
    C: Clock,
{
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
