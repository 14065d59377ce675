//! Placement by estimates: caches, load, failures, and reports from other routers.

use route::placement::{
    DispatchHint, DispatchId, Placement, PlacementRequest, Placer, Prompt, PromptPart, UpstreamInfo,
};
use route::version::Version;
use route::{RepeatBound, RepeatWindow};

const PARTS: [PromptPart; 3] = [
    PromptPart { id: 1, tokens: 500 },
    PromptPart { id: 2, tokens: 5_000 },
    PromptPart { id: 3, tokens: 800 },
];
const PROMPT: Prompt<'static> =
    Prompt { parts: &PARTS, input: 6_300, events: 50, target_ms: 1_000, gap_ms: 400 };

fn placer_with(count: usize) -> Placer {
    let mut placer = Placer::new("here");
    for index in 0..count {
        let data_centre = if index % 2 == 0 { "here" } else { "there" };
        let info = UpstreamInfo {
            service: "engines".into(),
            data_centre: data_centre.into(),
            slots: 8,
            version: Version::default(),
        };
        placer.set(&format!("e-{index}"), info, false);
    }
    placer
}

/// A call to a plain service.
const CALL: PlacementRequest<'static> =
    PlacementRequest { service: "engines", prompt: None, avoid: &[], version: None, only: None };

fn choose(placer: &Placer, now: u64) -> Placement {
    placer.choose(&PlacementRequest { prompt: Some(PROMPT), ..CALL }, now).expect("an upstream")
}

/// Dispatches a prompt with this many tokens to read to an upstream.
fn send(placer: &mut Placer, upstream: &str, tokens: u32, now: u64) -> DispatchId {
    let placement = Placement { upstream: upstream.to_owned(), uncached: tokens, ..choose(placer, now) };
    placer.begin(&placement, Some(&Prompt { parts: &[], ..PROMPT }), now)
}

#[test]
fn every_router_prefers_the_same_upstream_for_a_shared_part() {
    let (one, mut two) = (placer_with(6), placer_with(6));
    let home = choose(&one, 0);
    assert_eq!(home.uncached, 800, "shared parts are assumed to be cached at their home upstream");
    send(&mut two, "e-0", 0, 0);
    assert_eq!(choose(&two, 0).upstream, home.upstream);
}

#[test]
fn a_loaded_home_upstream_is_avoided_once_rereading_elsewhere_costs_less() {
    let mut placer = placer_with(6);
    let home = choose(&placer, 0).upstream;
    send(&mut placer, &home, 3_000, 0);
    assert_eq!(
        choose(&placer, 0).upstream,
        home,
        "reading 3,000 tokens first takes less time than rereading 5,500 elsewhere"
    );
    let last = send(&mut placer, &home, 30_000, 0);
    let other = choose(&placer, 0);
    assert_ne!(other.upstream, home);
    assert_eq!(other.uncached, 6_300);
    placer.record_first_answer(&home, last, 900);
    assert_eq!(choose(&placer, 900).upstream, home, "the prompts before it were read too");
}

#[test]
fn a_long_prompt_of_another_router_is_avoided_until_it_is_read() {
    let mut placer = placer_with(6);
    let home = choose(&placer, 0).upstream;
    let hint = DispatchHint {
        unread: 40_000,
        lasts_ms: 2_000.0,
        event_ms: None,
        pauses_ms: Default::default(),
        since: Default::default(),
    };
    placer.record_dispatch_hint(&home, &hint, 0);
    assert_ne!(choose(&placer, 100).upstream, home);
    assert_eq!(choose(&placer, 1_000).upstream, home, "the prompt should have been read by then");
    placer.record_dispatch_hint("unknown", &hint, 0);
}

#[test]
fn leaving_failing_and_tried_upstreams_are_not_chosen() {
    let mut placer = placer_with(3);
    let avoid = ["e-0".to_owned()];
    let tried = PlacementRequest { avoid: &avoid, ..CALL };
    assert_eq!(placer.choose(&CALL, 0).map(|chosen| chosen.upstream), Some("e-0".to_owned()));
    assert_eq!(placer.choose(&tried, 0).map(|chosen| chosen.upstream), Some("e-2".to_owned()));
    let info = UpstreamInfo {
        service: "engines".into(),
        data_centre: "here".into(),
        slots: 8,
        version: Version::default(),
    };
    placer.set("e-0", info, true);
    assert_eq!(placer.choose(&CALL, 0).map(|chosen| chosen.candidates), Some(2));
    for _ in 0..3 {
        placer.record_failure("e-2", 10);
    }
    assert_eq!(placer.choose(&CALL, 20).map(|chosen| chosen.upstream), Some("e-1".to_owned()));
    for _ in 0..3 {
        placer.record_failure("e-1", 10);
    }
    assert!(placer.choose(&CALL, 20).is_some(), "if all upstreams fail, one is still tried");
    assert_eq!(placer.choose(&PlacementRequest { service: "tiles", ..CALL }, 0), None);
}

/// Guards against a stream that goes on at another upstream than the one that may still run it.
#[test]
fn a_stream_that_may_go_on_at_one_upstream_only_gets_that_one_or_none() {
    let mut placer = placer_with(3);
    let pinned = PlacementRequest { only: Some("e-2"), ..CALL };
    assert_eq!(placer.choose(&pinned, 0).map(|chosen| chosen.upstream), Some("e-2".to_owned()));
    let info = UpstreamInfo {
        service: "engines".into(),
        data_centre: "here".into(),
        slots: 8,
        version: Version::default(),
    };
    placer.set("e-2", info, true);
    assert_eq!(placer.choose(&pinned, 0), None, "it leaves");
}

#[test]
fn a_leaving_signal_outlasts_the_list_entry_but_not_the_instance() {
    let mut placer = placer_with(2);
    let info = || UpstreamInfo {
        service: "engines".into(),
        data_centre: "here".into(),
        slots: 8,
        version: Version::default(),
    };
    let chosen = |placer: &Placer| placer.choose(&CALL, 0).map(|chosen| chosen.upstream);
    assert_eq!(chosen(&placer).as_deref(), Some("e-0"));
    assert!(placer.mark_leaving("e-0", 0));
    assert!(!placer.mark_leaving("e-0", 10), "it is known already");
    assert_eq!(chosen(&placer).as_deref(), Some("e-1"));
    placer.set("e-0", info(), false);
    assert_eq!(chosen(&placer).as_deref(), Some("e-1"), "the list may lag behind the signal");
    placer.remove("e-0");
    placer.set("e-0", info(), false);
    assert_eq!(chosen(&placer).as_deref(), Some("e-1"), "the signal outlasts a missing list entry");
    assert!(!placer.admits("e-0", 0) && placer.is_leaving("e-0"));
    placer.forget("e-0");
    placer.set("e-0", info(), false);
    assert_eq!(chosen(&placer).as_deref(), Some("e-0"), "a new instance has not signalled");
    placer.mark_leaving("e-0", 20);
    placer.mark_leaving("e-1", 20);
    assert_eq!(chosen(&placer), None, "leaving upstreams are not tried");
}

#[test]
fn an_upstream_that_asks_for_a_back_off_gets_no_requests_until_it_is_over() {
    let mut placer = placer_with(2);
    let chosen = |placer: &Placer, now| placer.choose(&CALL, now).map(|chosen| chosen.upstream);
    assert_eq!(placer.back_off("e-0", 3_000, 100), 3_000);
    assert_eq!(chosen(&placer, 200).as_deref(), Some("e-1"));
    assert_eq!(placer.wait_ms("engines", 200), None, "one upstream accepts requests");
    placer.back_off("e-1", 1_000, 200);
    assert!(
        !placer.admits("e-1", 200) && !placer.is_leaving("e-1"),
        "an upstream that asks for a back-off is not leaving"
    );
    assert!(placer.is_leaving("e-9"), "an upstream that is not listed has left");
    assert_eq!((chosen(&placer, 300), placer.wait_ms("engines", 300)), (None, Some(900)));
    placer.back_off("e-1", 100, 300);
    assert_eq!(placer.wait_ms("engines", 300), Some(900), "a shorter back-off does not end a longer one");
    assert_eq!(chosen(&placer, 1_200).as_deref(), Some("e-1"));
    assert_eq!(placer.wait_ms("tiles", 300), None, "the service has no upstreams");
    assert_eq!(placer.back_off("e-0", 86_400_000, 4_000), 300_000, "the length of a back-off is limited");
    placer.mark_leaving("e-1", 5_000);
    assert_eq!(placer.wait_ms("engines", 5_000), Some(299_000), "leaving upstreams are not waited for");
    let times: Vec<u64> = (0..1_000).map(|seed| route::retry_after_ms(900, seed * 7_919)).collect();
    assert!(times.iter().all(|ms| (900..1_400).contains(ms)));
    let early = times.iter().filter(|ms| **ms < 1_000).count();
    assert!(
        (150..250).contains(&early),
        "return times are spread evenly: {early} of 1,000 in the first fifth"
    );
}

#[test]
fn a_degraded_upstream_gets_fewer_requests() {
    let mut placer = placer_with(4);
    for _ in 0..10 {
        placer.record_error("e-0");
    }
    let chosen = placer.choose(&CALL, 0).expect("an upstream");
    assert_eq!(chosen.upstream, "e-2");
    placer.record_overdue("e-2", true);
    assert_eq!(placer.choose(&CALL, 0).map(|chosen| chosen.upstream), Some("e-1".to_owned()));
}

#[test]
fn repeats_stay_within_the_bound_of_the_fleet_in_every_window() {
    let bound = RepeatBound { ratio: 0.2, extra: 52.0, length: 10_000 };
    let routers = 6;
    let mut windows: Vec<RepeatWindow> = (0..routers).map(|_| RepeatWindow::new(bound, 0)).collect();
    let mut repeats: Vec<u64> = vec![];
    let mut requests: Vec<u64> = vec![];
    for now in (0..40_000).step_by(10) {
        let window = &mut windows[(now / 10 % routers) as usize];
        window.set_routers(Some(routers as u32));
        window.record_request(now);
        requests.push(now);
        // Dispatches are repeated as often as the window allows.
        while window.try_repeat(now, 0.5) {
            repeats.push(now);
        }
    }
    for start in (0..30_000).step_by(100) {
        let within =
            |times: &[u64]| times.iter().filter(|at| (start..start + 10_000).contains(*at)).count() as f64;
        let allowed = 0.2 * within(&requests) + 52.0;
        assert!(within(&repeats) <= allowed, "{} repeats from {start}, {allowed} allowed", within(&repeats));
    }
    assert!(repeats.len() > 400, "most of the bound is used");
}

#[test]
fn the_home_upstream_is_kept_although_rereading_elsewhere_is_slightly_faster() {
    let mut placer = placer_with(6);
    let home = choose(&placer, 0).upstream;
    // The home has 7,000 tokens to read first. Elsewhere, the 5,500 shared tokens would have to be read
    // again.
    send(&mut placer, &home, 7_000, 0);
    assert_eq!(choose(&placer, 0).upstream, home);
}

#[test]
fn an_engine_that_does_not_answer_is_avoided_although_its_prompts_are_due() {
    let mut placer = placer_with(6);
    let home = choose(&placer, 0).upstream;
    send(&mut placer, &home, 1_000, 0);
    assert_eq!(choose(&placer, 100).upstream, home);
    assert_ne!(choose(&placer, 1_500).upstream, home, "its answer is overdue");
}

#[test]
fn times_to_a_first_answer_are_learned() {
    let mut model = route::Model::default();
    for round in 0..400 {
        for tokens in [200.0, 900.0, 3_000.0, 9_000.0] {
            // One answer in five is delayed by work that this router does not know of.
            let unknown = if round % 5 == 0 { 400.0 } else { 0.0 };
            model.record_first_answer(80.0 + tokens / 30.0 + unknown, tokens);
        }
    }
    for tokens in [200.0, 900.0, 3_000.0, 9_000.0] {
        let (known, learned) = (80.0 + tokens / 30.0, model.first_ms(tokens));
        assert!((learned / known - 1.0).abs() < 0.15, "{tokens} tokens: {learned} ms of {known}");
    }
    assert!((model.read_ms(6_000.0) - 200.0).abs() < 60.0, "{}", model.read_ms(6_000.0));
}

#[test]
fn a_slower_engine_is_recognized_by_the_pace_of_its_streams() {
    let mut placer = placer_with(4);
    for round in 0..200 {
        for (upstream, ms) in [("e-0", 20.0), ("e-1", 20.0), ("e-2", 20.0), ("e-3", 26.0)] {
            // Reading other prompts meanwhile makes every third pause longer.
            placer.record_baseline_pause(upstream, if round % 3 == 0 { 3.0 * ms } else { ms });
        }
    }
    let slowness = placer.slowness("engines");
    let of = |name: &str| slowness.iter().find(|(other, _)| *other == name).expect("known").1;
    assert!((of("e-1") - 1.0).abs() < 0.1, "{slowness:?}");
    assert!((of("e-3") - 1.3).abs() < 0.1, "{slowness:?}");
}
