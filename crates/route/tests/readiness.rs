//! A model of one data centre in which a heavy caller exceeds the link of its gateway, and tests of the
//! decision how long that gateway takes no new connections.
//!
//! Guards against a heavy caller that oscillates between small gateways: each became unready, lost the caller,
//! returned after three seconds and got the same caller back, while its requests were late.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::overload::{Closing, Policy};
use route::{LoadSample, Millis, OverloadMonitor, ReadinessChange};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const STEP_MS: Millis = 20;
const DURATION_MS: Millis = 90_000;
/// When heavy callers start, and when a burst of all traffic starts and ends, in milliseconds.
const HEAVY_FROM_MS: Millis = 3_000;
const BURST_MS: std::ops::Range<Millis> = 12_000..16_000;
/// The capacities of links: 10 Mbit/s, and 200 Mbit/s for one gateway in ten.
const SMALL_BYTES_PER_S: f64 = 1.25e6;
const LARGE_BYTES_PER_S: f64 = 25e6;
/// The mean size of a request. Sizes are uniformly distributed between 0.4 and 1.6 times the mean.
const REQUEST_BYTES: f64 = 12_700.0;
/// The time from the end of a request's transfer to its answer, in milliseconds.
const WORK_MS: f64 = 80.0;
/// A request is in time if it waits for the link for less than this, in milliseconds.
const TARGET_MS: f64 = 100.0;
/// The number of other callers for each gateway, and the requests per second of each: 0.2 of a small link.
const OTHERS: (usize, f64) = (4, 5.0);
/// The requests per second for which a caller keeps one connection, beside three in reserve.
const PER_CONNECTION: f64 = 4.0;
/// The share of answers after which a caller closes the connection itself.
const CHURN: f64 = 0.005;

struct Gateway {
    monitor: OverloadMonitor,
    bytes_per_s: f64,
    queued_bytes: f64,
    sent_bytes: f64,
    failed_checks: u32,
}

struct Caller {
    per_s: f64,
    /// The gateway of each connection, and whether a request is in progress on it.
    connections: Vec<(usize, bool)>,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    gateways: usize,
    heavy: usize,
    /// What a heavy caller sends, as a multiple of 0.6 of a small link.
    times: f64,
    burst: bool,
    /// What links carry, as a share of what the gateways are told.
    capacity: f64,
}

/// Shares of the requests that are in time, and shares of unready gateways.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    others: f64,
    heavy: f64,
    /// Of the heavy callers from second 50 on.
    settled: f64,
    unready: f64,
    most_unready: f64,
    /// The number of times that a gateway became unready.
    withdrawals: f64,
}

struct DataCentre {
    gateways: Vec<Gateway>,
    callers: Vec<Caller>,
    heavy: usize,
    seed: u64,
    random: SmallRng,
    /// Requests in progress, by the step of their answers: caller and connection.
    answers: Vec<Vec<(usize, usize)>>,
    /// Requests and requests in time of the others, the heavy callers, and the heavy callers from second 50 on.
    counts: [(f64, f64); 3],
}

impl DataCentre {
    fn new(load: Load, policy: LinkPolicy, seed: u64) -> DataCentre {
        let gateway = |index| {
            let bytes_per_s = if index % 10 == 0 { LARGE_BYTES_PER_S } else { SMALL_BYTES_PER_S };
            let monitor = OverloadMonitor::with_policy(bytes_per_s, policy(bytes_per_s));
            let bytes_per_s = load.capacity * bytes_per_s;
            Gateway { monitor, bytes_per_s, queued_bytes: 0.0, sent_bytes: 0.0, failed_checks: 0 }
        };
        let mut data_centre = DataCentre {
            gateways: (0..load.gateways).map(gateway).collect(),
            callers: vec![],
            heavy: load.heavy,
            seed,
            random: SmallRng::seed_from_u64(seed),
            answers: vec![vec![]; (DURATION_MS / STEP_MS) as usize],
            counts: [(0.0, 0.0); 3],
        };
        for caller in 0..load.heavy + OTHERS.0 * load.gateways {
            let heavy_per_s = load.times * 0.6 * SMALL_BYTES_PER_S / REQUEST_BYTES;
            let per_s = if caller < load.heavy { heavy_per_s } else { OTHERS.1 };
            let home = data_centre.select(caller);
            let connections = vec![(home, false); (per_s / PER_CONNECTION) as usize + 3];
            data_centre.callers.push(Caller { per_s, connections });
        }
        data_centre
    }

    /// The gateway that the balancer selects for a new connection of a caller.
    fn select(&self, caller: usize) -> usize {
        let is_in_rotation = |index: &usize| self.gateways[*index].failed_checks < 2;
        let all = 0..self.gateways.len();
        let uses_all = all.clone().filter(is_in_rotation).count() * 2 < self.gateways.len();
        let rank =
            |index: &usize| xxh3_64_with_seed(&((caller << 20 | index) as u64).to_le_bytes(), self.seed);
        all.filter(|index| uses_all || is_in_rotation(index)).max_by_key(rank).expect("there are gateways")
    }

    fn send(&mut self, caller: usize, now: Millis) {
        let connections = &mut self.callers[caller].connections;
        let start = self.random.gen_range(0..connections.len());
        let mut indices = (start..connections.len()).chain(0..start);
        // Without an idle connection the request waits at its caller and is late.
        let mut in_time = false;
        if let Some(index) = indices.find(|index| !connections[*index].1) {
            connections[index].1 = true;
            let gateway = &mut self.gateways[connections[index].0];
            let wait_ms = gateway.queued_bytes / gateway.bytes_per_s * 1_000.0;
            gateway.queued_bytes += REQUEST_BYTES * self.random.gen_range(0.4..1.6);
            in_time = wait_ms < TARGET_MS;
            let answered = (now + (wait_ms + WORK_MS) as Millis) / STEP_MS + 1;
            if let Some(answers) = self.answers.get_mut(answered as usize) {
                answers.push((caller, index));
            }
        }
        let is_heavy = caller < self.heavy;
        let kinds = [!is_heavy && now >= HEAVY_FROM_MS, is_heavy, is_heavy && now >= 50_000];
        for (count, _) in self.counts.iter_mut().zip(kinds).filter(|(_, counts)| *counts) {
            *count = (count.0 + 1.0, count.1 + f64::from(u8::from(in_time)));
        }
    }

    fn answer(&mut self, now: Millis) {
        for (caller, index) in std::mem::take(&mut self.answers[(now / STEP_MS) as usize]) {
            let (gateway, _) = self.callers[caller].connections[index];
            let is_closed = self.gateways[gateway].monitor.should_close_connection(self.random.r#gen())
                || self.random.r#gen::<f64>() < CHURN;
            let next = if is_closed { self.select(caller) } else { gateway };
            self.callers[caller].connections[index] = (next, false);
        }
    }

    fn transfer(&mut self) {
        for gateway in &mut self.gateways {
            let sent = gateway.queued_bytes.min(gateway.bytes_per_s * STEP_MS as f64 / 1_000.0);
            gateway.queued_bytes -= sent;
            gateway.sent_bytes += sent;
        }
    }

    /// Records a sample at each gateway, and a readiness check each second. Returns the number of gateways that
    /// became unready.
    fn sample(&mut self, now: Millis) -> usize {
        let mut withdrawals = 0;
        for gateway in &mut self.gateways {
            let link_bytes = std::mem::take(&mut gateway.sent_bytes) as u64;
            let change = gateway.monitor.record(LoadSample { at: now, timer_delay_ms: 0.0, link_bytes });
            withdrawals += usize::from(matches!(change, ReadinessChange::BecameUnready { .. }));
            if now.is_multiple_of(1_000) {
                let is_unready = gateway.monitor.is_unready();
                gateway.failed_checks = if is_unready { gateway.failed_checks + 1 } else { 0 };
            }
        }
        withdrawals
    }
}

fn simulate(load: Load, policy: LinkPolicy, seed: u64) -> Outcome {
    let mut data_centre = DataCentre::new(load, policy, seed);
    let burst = if load.burst { data_centre.random.gen_range(1.7..2.5) } else { 1.0 };
    let mut due = [0.0; 2];
    let mut outcome = Outcome::default();
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let factor = if BURST_MS.contains(&now) { burst } else { 1.0 };
        for (due, callers) in due.iter_mut().zip([0..load.heavy, load.heavy..data_centre.callers.len()]) {
            if callers.is_empty() || (callers.start < load.heavy && now < HEAVY_FROM_MS) {
                continue;
            }
            let per_s = data_centre.callers[callers.start].per_s * callers.len() as f64;
            *due += factor * per_s * STEP_MS as f64 / 1_000.0;
            while *due >= 1.0 {
                *due -= 1.0;
                let caller = data_centre.random.gen_range(callers.clone());
                data_centre.send(caller, now);
            }
        }
        data_centre.transfer();
        data_centre.answer(now);
        if now.is_multiple_of(100) {
            outcome.withdrawals += data_centre.sample(now) as f64;
            let unready = data_centre.gateways.iter().filter(|gateway| gateway.monitor.is_unready()).count();
            let share = unready as f64 / load.gateways as f64;
            outcome.unready += share * 100.0 / DURATION_MS as f64;
            outcome.most_unready = outcome.most_unready.max(share);
        }
    }
    let [others, heavy, settled] = data_centre.counts.map(|(requests, in_time)| in_time / requests);
    Outcome { others, heavy, settled, ..outcome }
}

/// The means over several seeds, but the largest of `most_unready`.
fn mean(load: Load, policy: LinkPolicy, seeds: u64) -> Outcome {
    let run =
        |thread| (thread..seeds).step_by(4).map(|seed| simulate(load, policy, seed)).collect::<Vec<_>>();
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|thread| scope.spawn(move || run(thread))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("it does not panic")).collect()
    });
    let mean = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64;
    Outcome {
        others: mean(|outcome| outcome.others),
        heavy: mean(|outcome| outcome.heavy),
        settled: mean(|outcome| outcome.settled),
        unready: mean(|outcome| outcome.unready),
        most_unready: outcomes.iter().map(|outcome| outcome.most_unready).fold(0.0, f64::max),
        withdrawals: mean(|outcome| outcome.withdrawals),
    }
}

/// The policy before this model.
fn earlier(_: f64) -> Policy {
    Policy {
        overload_utilization: 0.6,
        recovery_utilization: 0.35,
        max_unready_ms: 3_000,
        closing: Closing::Fixed,
    }
}

fn growing(bytes_per_s: f64) -> Policy {
    Policy { max_unready_ms: 24_000, ..earlier(bytes_per_s) }
}

fn nearly_full(bytes_per_s: f64) -> Policy {
    Policy { overload_utilization: 0.85, recovery_utilization: 0.6, ..earlier(bytes_per_s) }
}

fn full(bytes_per_s: f64) -> Policy {
    Policy { overload_utilization: 0.95, ..nearly_full(bytes_per_s) }
}

fn proportional(bytes_per_s: f64) -> Policy {
    Policy { closing: Closing::Proportional { from_utilization: 0.6 }, ..earlier(bytes_per_s) }
}

/// A policy for a link that carries this many bytes per second.
type LinkPolicy = fn(f64) -> Policy;

const POLICIES: [(&str, LinkPolicy); 6] = [
    ("earlier", earlier),
    ("growing periods", growing),
    ("nearly full, 0.85", nearly_full),
    ("nearly full, 0.95", full),
    ("closing in proportion", proportional),
    ("chosen", Policy::for_link),
];

const HEAVY: Load = Load { gateways: 20, heavy: 1, times: 10.0, burst: false, capacity: 1.0 };
const NARROW: Load = Load { capacity: 0.7, ..HEAVY };
const LOADS: [Load; 5] = [
    Load { times: 3.0, ..HEAVY },
    HEAVY,
    Load { times: 30.0, ..HEAVY },
    Load { heavy: 3, ..HEAVY },
    Load { burst: true, ..HEAVY },
];

/// Prints the table of `docs/design/readiness.md`. `READINESS_GATEWAYS` selects one size.
#[test]
#[ignore = "takes minutes; compares the policies over 20 seeds"]
fn compare_policies() {
    let selected: Option<usize> = std::env::var("READINESS_GATEWAYS").ok().and_then(|size| size.parse().ok());
    for gateways in [20, 100, 1_000].into_iter().filter(|size| selected.is_none_or(|only| only == *size)) {
        for load in LOADS.into_iter().chain([NARROW]) {
            for (name, policy) in POLICIES {
                let Outcome { others, heavy, settled, unready, most_unready, withdrawals } =
                    mean(Load { gateways, ..load }, policy, 20);
                println!(
                    "| {gateways} | {} | {} | {} | {} | {name} | {heavy:.3} | {settled:.3} | {others:.4} | \
                     {unready:.3} | {most_unready:.2} | {withdrawals:.0} |",
                    load.heavy, load.times, load.burst, load.capacity
                );
            }
        }
    }
}

/// Guards against the oscillation of a heavy caller, and against serving it at the expense of the others.
#[test]
fn heavy_callers_settle_and_the_others_keep_their_service() {
    // With 1,000 gateways four seeds decide little: some of the callers find a large gateway at once.
    for (gateways, seeds, late) in [(20, 12, 0.8), (100, 8, 0.8), (1_000, 4, 0.95)] {
        for load in LOADS {
            let load = Load { gateways, ..load };
            let [before, now] = [earlier, Policy::for_link].map(|policy| mean(load, policy, seeds));
            assert!(1.0 - now.heavy <= late * (1.0 - before.heavy), "{load:?}: {now:?}, earlier {before:?}");
            assert!(now.others >= before.others - 0.005, "{load:?}: {now:?}, earlier {before:?}");
            assert!(now.withdrawals < before.withdrawals, "{load:?}: {now:?}, earlier {before:?}");
            assert!(now.unready < 0.5, "{load:?}: {now:?}");
        }
    }
}

/// Guards against thresholds that a link narrower than its setting never reaches: all requests of a heavy
/// caller would pass one saturated link.
#[test]
fn a_link_that_is_narrower_than_its_setting_is_overloaded() {
    let [without_reserve, now] = [full, Policy::for_link].map(|policy| mean(NARROW, policy, 12));
    assert_eq!(without_reserve.withdrawals, 0.0);
    assert!(now.heavy >= without_reserve.heavy + 0.2, "{now:?}, without a reserve {without_reserve:?}");
}
