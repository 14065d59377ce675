//! The processor time of a gateway's choice of an upstream, by the number of upstreams.

use route::placement::{PlacementRequest, Placer, Prompt, PromptPart, UpstreamInfo};
use route::version::Version;
use std::hint::black_box;
use std::time::Instant;

const UPSTREAMS: [usize; 5] = [100, 1_000, 3_000, 10_000, 20_000];
/// The number of upstreams for each gateway of the fleet.
const UPSTREAMS_PER_GATEWAY: usize = 10;
const DATA_CENTRES: usize = 5;
/// The number of prompts with a shared part of their own.
const SHARED_PARTS: u64 = 500;
const ROUNDS: u64 = 3_000;

/// Prints the time of one request: the choice, the dispatch, the first answer and the end.
pub(crate) fn run() {
    println!("| upstreams | candidates | us a request, with a prompt | us a request, plain |");
    println!("|---:|---:|---:|---:|");
    for upstreams in UPSTREAMS {
        let (candidates, prompt_us) = measure(upstreams, true);
        let (_, plain_us) = measure(upstreams, false);
        println!("| {upstreams} | {candidates} | {prompt_us:.1} | {plain_us:.1} |");
    }
}

/// The number of candidates, and the time of one request in microseconds.
fn measure(upstreams: usize, has_prompt: bool) -> (usize, f64) {
    let mut placer = placer(upstreams);
    let mut candidates = 0;
    let started = Instant::now();
    for round in 0..ROUNDS {
        let parts = [
            PromptPart { id: round % SHARED_PARTS, tokens: 5_382 },
            PromptPart { id: SHARED_PARTS + round, tokens: 6_610 },
        ];
        let prompt = Prompt { parts: &parts, input: 11_992, events: 32, target_ms: 800, gap_ms: 800 };
        let prompt = has_prompt.then_some(prompt);
        let request = PlacementRequest { service: "engines", prompt, avoid: &[], version: None, only: None };
        let chosen = black_box(placer.choose(&request, round)).expect("an upstream");
        let dispatch = placer.begin(&chosen, prompt.as_ref(), round);
        placer.record_first_answer(&chosen.upstream, dispatch, round + 300);
        placer.end(&chosen.upstream, dispatch, round + 600);
        candidates = chosen.candidates;
    }
    (candidates, started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64)
}

/// A gateway that knows all gateways and upstreams.
fn placer(upstreams: usize) -> Placer {
    let data_centre = |index: usize| format!("dc-{}", index % DATA_CENTRES);
    let mut placer = Placer::new(&data_centre(0)).with_gateway("vm-0");
    for index in 0..upstreams {
        let info = UpstreamInfo {
            service: "engines".to_owned(),
            data_centre: data_centre(index),
            slots: 32,
            version: Version::default(),
        };
        placer.set(&format!("engine-{index:05}"), info, false);
    }
    let gateways: Vec<String> =
        (0..upstreams / UPSTREAMS_PER_GATEWAY).map(|index| format!("vm-{index}")).collect();
    placer.roster.update_list("vm-0", gateways.iter().map(String::as_str), None, 0, 60_000);
    placer
}
