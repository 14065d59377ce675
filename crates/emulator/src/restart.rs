//! Upstreams that restart together and warm up, behind gateways that share no counts.
//!
//! Such an upstream looks idle to each gateway, so every request goes to one of them if it is allowed to. The
//! simulation counts the requests that an upstream receives in its worst second, and how much of their
//! capacity all of them use.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::placement::{PlacementRequest, Placer, UpstreamInfo};
use route::roster::{Roster, SPAN_MS};
use route::version::Version;
use route::warmup::Warmup;
use std::collections::{HashMap, VecDeque};

/// How long the upstreams warm up, in milliseconds.
const WARMUP_MS: u64 = 3_000;
/// The requests per second that an upstream can handle while it warms up.
const LIMIT_PER_S: f64 = 9.9;
/// The latency of a datagram, in milliseconds.
const LATENCY_MS: u64 = 2;
/// The share of datagrams that are lost.
const LOSS_RATE: f64 = 0.01;
/// The service of the upstreams.
const SERVICE: &str = "narrator";

/// How gateways limit the requests to an upstream that warms up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitMethod {
    /// Without a limit: each gateway chooses the upstream that received the fewest requests from it.
    None,
    /// Each gateway counts its own dispatches and those that other gateways report to it.
    Heard,
    /// Each gateway sends an equal part of the limit, but at least one request per second.
    EqualParts,
    /// Each gateway sends the part that the hash ring of [`route::roster`] assigns to it.
    Ring,
}

/// Upstreams that restart together.
#[derive(Clone, Copy, Debug)]
pub struct RestartScenario {
    /// The number of gateways.
    pub gateways: usize,
    /// The number of upstreams that restart together.
    pub upstreams: usize,
    /// Requests per second, through all gateways together.
    pub per_s: f64,
    /// How the gateways limit the requests to an upstream.
    pub method: LimitMethod,
    /// The number of gateways that neither receive nor send reports of dispatches.
    pub isolated: usize,
}

/// What the upstreams received while they warmed up.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartOutcome {
    /// The most requests that one upstream received in a second.
    pub max_per_second: u32,
    /// The requests that all upstreams received, as a share of those that they could handle.
    pub used_share: f64,
    /// Datagrams per second, from all gateways together.
    pub datagrams_per_s: f64,
}

fn upstream_name(index: usize) -> String {
    format!("engine-{index}")
}

fn new_gateway(index: usize, scenario: &RestartScenario) -> Placer {
    let mut placer = Placer::new("here");
    let warmup = Warmup { per_s: LIMIT_PER_S, duration_ms: WARMUP_MS };
    placer.set_warmups(HashMap::from([(SERVICE.to_owned(), warmup)]));
    for upstream in 0..scenario.upstreams {
        let info = UpstreamInfo {
            service: SERVICE.to_owned(),
            data_centre: "here".to_owned(),
            slots: 48,
            version: Version::default(),
        };
        placer.set(&upstream_name(upstream), info, false);
        if scenario.method == LimitMethod::Ring {
            placer.warm_up(&upstream_name(upstream), SPAN_MS + WARMUP_MS, 0);
        }
    }
    let own = format!("vm-{index}");
    let names: Vec<String> = (0..scenario.gateways).map(|other| format!("vm-{other}")).collect();
    placer.roster.update_list(&own, names.iter().map(String::as_str), Some(u64::MAX), 0, WARMUP_MS);
    placer.roster.confirm_heartbeat(0, 0, Roster::join_delay_ms(WARMUP_MS), WARMUP_MS);
    placer
}

/// Simulates the warm-up of the upstreams, from the time at which the gateways have known each other for
/// [`SPAN_MS`] on.
pub fn simulate_restart(seed: u64, scenario: &RestartScenario) -> RestartOutcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut gateways: Vec<Placer> =
        (0..scenario.gateways).map(|index| new_gateway(index, scenario)).collect();
    // The times of the dispatches to each upstream that each gateway knows of.
    let mut known_dispatches: Vec<Vec<VecDeque<u64>>> =
        vec![vec![VecDeque::new(); scenario.upstreams]; scenario.gateways];
    let mut in_flight: VecDeque<(u64, usize, usize)> = VecDeque::new();
    let mut received: Vec<Vec<u64>> = vec![vec![]; scenario.upstreams];
    let mut datagrams = 0_u64;
    let (start, end) = (SPAN_MS, SPAN_MS + WARMUP_MS);
    let mut clock = start as f64;
    loop {
        clock += -random.gen_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / scenario.per_s;
        let now = clock as u64;
        if now >= end {
            break;
        }
        while let Some((_, to, upstream)) = in_flight.pop_front_if(|(at, ..)| *at <= now) {
            known_dispatches[to][upstream].push_back(now);
        }
        let from = random.gen_range(0..scenario.gateways);
        let counts = |upstream: usize| -> usize {
            known_dispatches[from][upstream].iter().filter(|at| now - **at < 1_000).count()
        };
        let chosen = match scenario.method {
            LimitMethod::Ring => choose_by_ring(&mut gateways[from], now),
            method => {
                let least =
                    (0..scenario.upstreams).map(|index| (counts(index), random.r#gen::<u32>(), index)).min();
                let (count, _, index) = least.expect("an upstream");
                let limit = match method {
                    LimitMethod::Heard => LIMIT_PER_S,
                    LimitMethod::EqualParts => (LIMIT_PER_S / scenario.gateways as f64).max(1.0),
                    _ => f64::INFINITY,
                };
                ((count as f64) < limit.floor()).then_some(index)
            }
        };
        let Some(upstream) = chosen else { continue };
        received[upstream].push(now);
        known_dispatches[from][upstream].push_back(now);
        if scenario.method == LimitMethod::Heard && from >= scenario.isolated {
            for to in (scenario.isolated..scenario.gateways).filter(|to| *to != from) {
                datagrams += 1;
                if !random.gen_bool(LOSS_RATE) {
                    in_flight.push_back((now + LATENCY_MS, to, upstream));
                }
            }
        }
    }
    let all: usize = received.iter().map(Vec::len).sum();
    RestartOutcome {
        max_per_second: received.iter().map(|times| max_in_one_second(times)).max().unwrap_or(0),
        used_share: all as f64 / (scenario.upstreams as f64 * LIMIT_PER_S * WARMUP_MS as f64 / 1_000.0),
        datagrams_per_s: datagrams as f64 * 1_000.0 / WARMUP_MS as f64,
    }
}

/// Dispatches a request by the gateway's own choice.
fn choose_by_ring(placer: &mut Placer, now: u64) -> Option<usize> {
    let chosen = placer.choose(
        &PlacementRequest { service: SERVICE, prompt: None, avoid: &[], version: None, only: None },
        now,
    )?;
    let ticket = placer.begin(&chosen, None, now);
    placer.end(&chosen.upstream, ticket, now);
    chosen.upstream["engine-".len()..].parse().ok()
}

fn max_in_one_second(times: &[u64]) -> u32 {
    let last = |first: &u64| times.partition_point(|at| *at < first + 1_000);
    times.iter().enumerate().map(|(index, first)| (last(first) - index) as u32).max().unwrap_or(0)
}
