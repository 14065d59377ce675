//! A simulated fleet that offers upstreams more requests than they accept, while its gateways start, end, are killed and
//! lose the connection to the store.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::Millis;
use route::placement::{PlacementRequest, Placer, UpstreamInfo};
use std::collections::BTreeMap;

pub(crate) const UPSTREAMS: usize = 3;
/// Time between two heartbeats, two reads of the list, and the part of the heartbeats' lease that is the gateway's own.
const PERIOD: Millis = 1_500;
pub(crate) const INTERVAL: Millis = 3_000;
const LEASE: Millis = 6_000;
/// After so long without a heartbeat a row is taken out of the list.
const FORGOTTEN: Millis = 12_000;
/// How old an answer of the store may be when it arrives.
const OLDEST: Millis = 1_500;

/// The names of gateways, each with how long its process had run by its row.
type Listed = Vec<(String, Millis)>;

/// Requests that an upstream got from one gateway at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received {
    pub(crate) at: Millis,
    pub(crate) count: u32,
}

/// A gateway as the play knows it.
struct Gateway {
    name: String,
    places: Placer,
    started: Millis,
    next_read: Millis,
    next_beat: Millis,
    /// An answer to a read that is on its way: when it arrives, when it was asked for, and the rows.
    reading: Option<(Millis, Millis, Listed)>,
    /// The confirmation of a heartbeat that is on its way: when it arrives, and when the heartbeat was sent.
    beating: Option<(Millis, Millis)>,
    cut: bool,
}

pub(crate) fn upstream(index: usize) -> String {
    format!("engine-{index}")
}

pub(crate) fn site() -> UpstreamInfo {
    UpstreamInfo { service: "narrator".to_owned(), data_centre: "here".to_owned(), slots: 48 }
}

impl Gateway {
    fn new(name: String, now: Millis, places: Placer, random: &mut SmallRng) -> Gateway {
        Gateway {
            name,
            places,
            started: now,
            next_read: now,
            next_beat: now + random.gen_range(100..400),
            reading: None,
            beating: None,
            cut: false,
        }
    }
}

/// Sends as many requests as a gateway may; returns how many each upstream got.
pub(crate) fn send(places: &mut Placer, now: Millis) -> [u32; UPSTREAMS] {
    let mut sent = [0; UPSTREAMS];
    let need = PlacementRequest { service: "narrator", prompt: None, avoid: &[] };
    while let Some(chosen) = places.choose(&need, now) {
        let index: usize = chosen.upstream["engine-".len()..].parse().expect("a number");
        sent[index] += 1;
        let ticket = places.begin(&chosen, None, now);
        places.end(&chosen.upstream, ticket, now);
    }
    sent
}

/// Simulates a fleet with random faults for two minutes; returns the requests that each upstream got. Each gateway starts
/// with `new_places()` and dispatches with `send`.
pub(crate) fn play(
    seed: u64,
    fleet: usize,
    new_places: impl Fn() -> Placer,
    send: impl Fn(&mut Placer, Millis) -> [u32; UPSTREAMS],
) -> [Vec<Received>; UPSTREAMS] {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut rows: BTreeMap<String, (Millis, Millis)> = BTreeMap::new();
    let mut gateways: Vec<Gateway> =
        (0..fleet).map(|index| Gateway::new(format!("vm-{index}"), 0, new_places(), &mut random)).collect();
    let mut names = fleet;
    let mut seen: [Vec<Received>; UPSTREAMS] = Default::default();
    for now in (0..120_000).step_by(20) {
        if random.gen_bool(0.01) {
            let index = random.gen_range(0..gateways.len());
            match random.gen_range(0..5) {
                // Killed, and back under its name.
                0 => {
                    gateways[index] =
                        Gateway::new(gateways[index].name.clone(), now, new_places(), &mut random)
                }
                1 => {
                    gateways[index].cut = !gateways[index].cut;
                }
                // All are cut off, or none.
                2 => {
                    let cut = random.gen_bool(0.3);
                    gateways.iter_mut().for_each(|gateway| gateway.cut = cut);
                }
                3 => {
                    names += 1;
                    gateways.push(Gateway::new(format!("vm-{names}"), now, new_places(), &mut random));
                }
                _ if gateways.len() > 2 => {
                    let gone = gateways.swap_remove(index);
                    if random.gen_bool(0.5) {
                        rows.remove(&gone.name);
                    }
                }
                _ => {}
            }
        }
        rows.retain(|_, (beaten, _)| now - *beaten < FORGOTTEN);
        for gateway in &mut gateways {
            let interval = INTERVAL + random.gen_range(0..500);
            if now >= gateway.next_read && gateway.reading.is_none() && !gateway.cut {
                let listed = rows.iter().map(|(name, (_, up))| (name.clone(), *up)).collect();
                gateway.reading = Some((now + random.gen_range(0..OLDEST), now, listed));
                gateway.next_read = now + interval;
            }
            if let Some((arrives, asked, listed)) = gateway.reading.take() {
                if now < arrives {
                    gateway.reading = Some((arrives, asked, listed));
                } else {
                    let own = listed.iter().find(|(name, _)| *name == gateway.name).map(|(_, up)| *up);
                    let names = listed.iter().map(|(name, _)| name.as_str());
                    gateway.places.roster.read(&gateway.name, names, own, asked, INTERVAL);
                }
            }
            if now >= gateway.next_beat && gateway.beating.is_none() && !gateway.cut {
                rows.insert(gateway.name.clone(), (now, now - gateway.started));
                // Of some, the answer is lost.
                let answer = random.gen_bool(0.9).then(|| (now + random.gen_range(0..OLDEST), now));
                gateway.beating = answer;
                gateway.next_beat = now + PERIOD;
            }
            if let Some((arrives, sent)) = gateway.beating.filter(|(arrives, _)| now >= *arrives) {
                gateway.places.roster.beat(sent, arrives, LEASE, INTERVAL);
                gateway.beating = None;
            }
            let sent = send(&mut gateway.places, now);
            for (seen, count) in seen.iter_mut().zip(sent).filter(|(_, count)| *count > 0) {
                seen.push(Received { at: now, count });
            }
        }
    }
    seen
}

/// The most requests within any `span_ms` milliseconds.
pub(crate) fn worst(received: &[Received], span_ms: Millis) -> u32 {
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
