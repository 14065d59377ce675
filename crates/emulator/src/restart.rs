//! Upstreams that come back together and warm up, before gateways that share no counts.
//!
//! To each gateway such an upstream looks idle, so every request goes to one of them if it may. The play counts what each upstream
//! gets in its worst second, and what all of them get of what they would bear.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::placement::{PlacementRequest, Placer, UpstreamInfo};
use route::roster::{Roster, SPAN_MS};
use route::warmup::Warmup;
use std::collections::{HashMap, VecDeque};

/// How long the upstreams warm up, in milliseconds.
const LASTS_MS: u64 = 3_000;
/// What an upstream bears in a second while it warms up.
const PER_S: f64 = 9.9;
/// The time that a datagram takes, in milliseconds.
const WAY_MS: u64 = 2;
/// The part of datagrams that is lost.
const LOST: f64 = 0.01;
/// The service of the upstreams.
const SERVICE: &str = "narrator";

/// How gateways keep to what an upstream bears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bound {
    /// They don't: each takes the one that got the least from itself.
    None,
    /// Each counts what it sent itself and what it hears of the others' dispatches.
    Heard,
    /// Each sends an equal part, by the number of gateways.
    EqualParts,
    /// Each takes its part by the hash ring.
    Ring,
}

/// Upstreams that come back.
#[derive(Clone, Copy, Debug)]
pub struct Return {
    /// Gateways.
    pub gateways: usize,
    /// Upstreams that come back together.
    pub upstreams: usize,
    /// Requests in a second, through all gateways.
    pub per_s: f64,
    /// How gateways keep to what they bear.
    pub bound: Bound,
    /// Gateways that hear nothing and are not heard.
    pub cut: usize,
}

/// What the upstreams got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Received {
    /// The most requests that one got in a second.
    pub worst_second: u32,
    /// The part of what they bear in all that they got.
    pub used: f64,
    /// Datagrams in a second, of all gateways together.
    pub datagrams_per_s: f64,
}

fn name(index: usize) -> String {
    format!("engine-{index}")
}

fn gateway(index: usize, scene: &Return) -> Placer {
    let mut places = Placer::new("here");
    let warmup = Warmup { per_s: PER_S, duration_ms: LASTS_MS };
    places.set_warmups(HashMap::from([(SERVICE.to_owned(), warmup)]));
    for upstream in 0..scene.upstreams {
        let site = UpstreamInfo { service: SERVICE.to_owned(), data_centre: "here".to_owned(), slots: 48 };
        places.set(&name(upstream), site, false);
        if scene.bound == Bound::Ring {
            places.warm_up(&name(upstream), SPAN_MS + LASTS_MS, 0);
        }
    }
    let own = format!("vm-{index}");
    let names: Vec<String> = (0..scene.gateways).map(|other| format!("vm-{other}")).collect();
    places.roster.update_list(&own, names.iter().map(String::as_str), Some(u64::MAX), 0, LASTS_MS);
    places.roster.confirm_heartbeat(0, 0, Roster::join_delay_ms(LASTS_MS), LASTS_MS);
    places
}

/// Plays the time for which the upstreams warm up, once the gateways have known each other for a while.
pub fn play_return(seed: u64, scene: &Return) -> Received {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut gateways: Vec<Placer> = (0..scene.gateways).map(|index| gateway(index, scene)).collect();
    // What each gateway knows that an upstream got, and when.
    let mut known: Vec<Vec<VecDeque<u64>>> = vec![vec![VecDeque::new(); scene.upstreams]; scene.gateways];
    let mut on_the_way: VecDeque<(u64, usize, usize)> = VecDeque::new();
    let mut got: Vec<Vec<u64>> = vec![vec![]; scene.upstreams];
    let mut datagrams = 0_u64;
    let (start, end) = (SPAN_MS, SPAN_MS + LASTS_MS);
    let mut clock = start as f64;
    loop {
        clock += -random.gen_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / scene.per_s;
        let now = clock as u64;
        if now >= end {
            break;
        }
        while let Some((_, to, upstream)) = on_the_way.pop_front_if(|(at, ..)| *at <= now) {
            known[to][upstream].push_back(now);
        }
        let from = random.gen_range(0..scene.gateways);
        let counts = |upstream: usize| -> usize {
            known[from][upstream].iter().filter(|at| now - **at < 1_000).count()
        };
        let chosen = match scene.bound {
            Bound::Ring => ring(&mut gateways[from], now),
            bound => {
                let least =
                    (0..scene.upstreams).map(|index| (counts(index), random.r#gen::<u32>(), index)).min();
                let (count, _, index) = least.expect("an upstream");
                let most = match bound {
                    Bound::Heard => PER_S,
                    Bound::EqualParts => (PER_S / scene.gateways as f64).max(1.0),
                    _ => f64::INFINITY,
                };
                ((count as f64) < most.floor()).then_some(index)
            }
        };
        let Some(upstream) = chosen else { continue };
        got[upstream].push(now);
        known[from][upstream].push_back(now);
        if scene.bound == Bound::Heard && from >= scene.cut {
            for to in (scene.cut..scene.gateways).filter(|to| *to != from) {
                datagrams += 1;
                if !random.gen_bool(LOST) {
                    on_the_way.push_back((now + WAY_MS, to, upstream));
                }
            }
        }
    }
    let all: usize = got.iter().map(Vec::len).sum();
    Received {
        worst_second: got.iter().map(|times| worst(times)).max().unwrap_or(0),
        used: all as f64 / (scene.upstreams as f64 * PER_S * LASTS_MS as f64 / 1_000.0),
        datagrams_per_s: datagrams as f64 * 1_000.0 / LASTS_MS as f64,
    }
}

/// Sends a request by the gateway's own choice.
fn ring(places: &mut Placer, now: u64) -> Option<usize> {
    let chosen = places.choose(&PlacementRequest { service: SERVICE, prompt: None, avoid: &[] }, now)?;
    let ticket = places.begin(&chosen, None, now);
    places.end(&chosen.upstream, ticket, now);
    chosen.upstream["engine-".len()..].parse().ok()
}

fn worst(times: &[u64]) -> u32 {
    let last = |first: &u64| times.partition_point(|at| *at < first + 1_000);
    times.iter().enumerate().map(|(index, first)| (last(first) - index) as u32).max().unwrap_or(0)
}
