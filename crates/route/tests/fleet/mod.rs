//! A simulated fleet that offers upstreams more requests than they accept, while its gateways start, end, are
//! killed and lose the connection to the store.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::Millis;
use route::placement::{PlacementRequest, Placer, UpstreamInfo};
use route::version::Version;
use std::collections::BTreeMap;

pub(crate) const UPSTREAMS: usize = 3;
/// The interval between two heartbeats, the one between two reads of the list, and the part of the heartbeat
/// lease that a gateway itself relies on, in milliseconds.
const HEARTBEAT_INTERVAL: Millis = 1_500;
pub(crate) const READ_INTERVAL: Millis = 3_000;
const LEASE: Millis = 6_000;
/// The time without a heartbeat after which a row is removed from the list, in milliseconds.
const ROW_EXPIRY: Millis = 12_000;
/// The largest age of a response of the store on arrival, in milliseconds.
const MAX_RESPONSE_AGE: Millis = 1_500;

/// The names of gateways, each with the uptime of its process as its row states it.
type ListedGateways = Vec<(String, Millis)>;

/// Requests that an upstream received from one gateway at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received {
    pub(crate) at: Millis,
    pub(crate) count: u32,
}

/// A simulated gateway.
struct Gateway {
    name: String,
    placer: Placer,
    started: Millis,
    next_read: Millis,
    next_heartbeat: Millis,
    /// A response to a read on its way to the gateway: its arrival time, the time of the read, and the rows.
    pending_read: Option<(Millis, Millis, ListedGateways)>,
    /// A confirmation of a heartbeat on its way to the gateway: its arrival time, and the time of the
    /// heartbeat.
    pending_heartbeat: Option<(Millis, Millis)>,
    is_disconnected: bool,
}

pub(crate) fn upstream(index: usize) -> String {
    format!("engine-{index}")
}

pub(crate) fn upstream_info() -> UpstreamInfo {
    UpstreamInfo {
        service: "narrator".to_owned(),
        data_centre: "here".to_owned(),
        slots: 48,
        version: Version::default(),
    }
}

impl Gateway {
    fn new(name: String, now: Millis, placer: Placer, random: &mut SmallRng) -> Gateway {
        Gateway {
            name,
            placer,
            started: now,
            next_read: now,
            next_heartbeat: now + random.gen_range(100..400),
            pending_read: None,
            pending_heartbeat: None,
            is_disconnected: false,
        }
    }
}

/// Sends as many requests as a gateway may. Returns the number that each upstream received.
pub(crate) fn send(placer: &mut Placer, now: Millis) -> [u32; UPSTREAMS] {
    let mut sent = [0; UPSTREAMS];
    let request =
        PlacementRequest { service: "narrator", prompt: None, avoid: &[], version: None, only: None };
    while let Some(chosen) = placer.choose(&request, now) {
        let index: usize = chosen.upstream["engine-".len()..].parse().expect("a number");
        sent[index] += 1;
        let dispatch = placer.begin(&chosen, None, now);
        placer.end(&chosen.upstream, dispatch, now);
    }
    sent
}

/// Simulates a fleet with random faults for two minutes. Returns the requests that each upstream received.
/// Each gateway starts with `new_placer()` and dispatches with `send`.
pub(crate) fn simulate(
    seed: u64,
    fleet: usize,
    new_placer: impl Fn() -> Placer,
    send: impl Fn(&mut Placer, Millis) -> [u32; UPSTREAMS],
) -> [Vec<Received>; UPSTREAMS] {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut rows: BTreeMap<String, (Millis, Millis)> = BTreeMap::new();
    let mut gateways: Vec<Gateway> =
        (0..fleet).map(|index| Gateway::new(format!("vm-{index}"), 0, new_placer(), &mut random)).collect();
    let mut last_number = fleet;
    let mut received: [Vec<Received>; UPSTREAMS] = Default::default();
    for now in (0..120_000).step_by(20) {
        if random.gen_bool(0.01) {
            let index = random.gen_range(0..gateways.len());
            match random.gen_range(0..5) {
                // The gateway is killed and restarts under its name.
                0 => {
                    gateways[index] =
                        Gateway::new(gateways[index].name.clone(), now, new_placer(), &mut random)
                }
                1 => {
                    gateways[index].is_disconnected = !gateways[index].is_disconnected;
                }
                // All gateways are disconnected, or all are connected.
                2 => {
                    let is_disconnected = random.gen_bool(0.3);
                    gateways.iter_mut().for_each(|gateway| gateway.is_disconnected = is_disconnected);
                }
                3 => {
                    last_number += 1;
                    gateways.push(Gateway::new(format!("vm-{last_number}"), now, new_placer(), &mut random));
                }
                _ if gateways.len() > 2 => {
                    let removed = gateways.swap_remove(index);
                    if random.gen_bool(0.5) {
                        rows.remove(&removed.name);
                    }
                }
                _ => {}
            }
        }
        rows.retain(|_, (sent_at, _)| now - *sent_at < ROW_EXPIRY);
        for gateway in &mut gateways {
            let interval = READ_INTERVAL + random.gen_range(0..500);
            if now >= gateway.next_read && gateway.pending_read.is_none() && !gateway.is_disconnected {
                let listed = rows.iter().map(|(name, (_, up_ms))| (name.clone(), *up_ms)).collect();
                gateway.pending_read = Some((now + random.gen_range(0..MAX_RESPONSE_AGE), now, listed));
                gateway.next_read = now + interval;
            }
            if let Some((arrives, requested_at, listed)) = gateway.pending_read.take() {
                if now < arrives {
                    gateway.pending_read = Some((arrives, requested_at, listed));
                } else {
                    let own = listed.iter().find(|(name, _)| *name == gateway.name).map(|(_, up_ms)| *up_ms);
                    let names = listed.iter().map(|(name, _)| name.as_str());
                    gateway.placer.roster.update_list(&gateway.name, names, own, requested_at, READ_INTERVAL);
                }
            }
            if now >= gateway.next_heartbeat
                && gateway.pending_heartbeat.is_none()
                && !gateway.is_disconnected
            {
                rows.insert(gateway.name.clone(), (now, now - gateway.started));
                // Some confirmations are lost.
                let answer = random.gen_bool(0.9).then(|| (now + random.gen_range(0..MAX_RESPONSE_AGE), now));
                gateway.pending_heartbeat = answer;
                gateway.next_heartbeat = now + HEARTBEAT_INTERVAL;
            }
            if let Some((arrives, sent)) = gateway.pending_heartbeat.filter(|(arrives, _)| now >= *arrives) {
                gateway.placer.roster.confirm_heartbeat(sent, arrives, LEASE, READ_INTERVAL);
                gateway.pending_heartbeat = None;
            }
            let sent = send(&mut gateway.placer, now);
            for (received, count) in received.iter_mut().zip(sent).filter(|(_, count)| *count > 0) {
                received.push(Received { at: now, count });
            }
        }
    }
    received
}

/// The largest number of requests within any `span_ms` milliseconds.
pub(crate) fn max_within(received: &[Received], span_ms: Millis) -> u32 {
    let (mut first, mut sum, mut most) = (0, 0, 0);
    for Received { at, count, .. } in received {
        sum += count;
        while received[first].at + span_ms <= *at {
            sum -= received[first].count;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}
