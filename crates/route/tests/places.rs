//! Placing requests by estimates: caches, load, failures, and what other routers tell.

use route::placement::{
    DispatchHint, DispatchId, Placement, PlacementRequest, Placer, Prompt, PromptPart, UpstreamInfo,
};
use route::{RepeatBound, RepeatWindow};

const PARTS: [PromptPart; 3] = [
    PromptPart { id: 1, tokens: 500 },
    PromptPart { id: 2, tokens: 5_000 },
    PromptPart { id: 3, tokens: 800 },
];
const PROMPT: Prompt<'static> =
    Prompt { parts: &PARTS, input: 6_300, events: 50, target_ms: 1_000, gap_ms: 400 };

fn places(count: usize) -> Placer {
    let mut places = Placer::new("here");
    for index in 0..count {
        let data_centre = if index % 2 == 0 { "here" } else { "there" };
        let site = UpstreamInfo { service: "engines".into(), data_centre: data_centre.into(), slots: 8 };
        places.set(&format!("e-{index}"), site, false);
    }
    places
}

/// A call of a plain service.
const CALL: PlacementRequest<'static> = PlacementRequest { service: "engines", prompt: None, avoid: &[] };

fn choose(places: &Placer, now: u64) -> Placement {
    places.choose(&PlacementRequest { prompt: Some(PROMPT), ..CALL }, now).expect("an upstream")
}

/// Sends an upstream a prompt with so many tokens to read.
fn send(places: &mut Placer, upstream: &str, tokens: u32, now: u64) -> DispatchId {
    let chosen = Placement { upstream: upstream.to_owned(), uncached: tokens, ..choose(places, now) };
    places.begin(&chosen, Some(&Prompt { parts: &[], ..PROMPT }), now)
}

#[test]
fn every_router_prefers_the_same_upstream_for_a_shared_part() {
    let (one, mut two) = (places(6), places(6));
    let home = choose(&one, 0);
    assert_eq!(home.uncached, 800, "its shared parts are taken to be cached at their home");
    send(&mut two, "e-0", 0, 0);
    assert_eq!(choose(&two, 0).upstream, home.upstream);
}

#[test]
fn a_loaded_home_is_left_once_reading_anew_costs_less() {
    let mut places = places(6);
    let home = choose(&places, 0).upstream;
    send(&mut places, &home, 3_000, 0);
    assert_eq!(choose(&places, 0).upstream, home, "3,000 tokens ahead are less than 5,500 to read");
    let last = send(&mut places, &home, 30_000, 0);
    let other = choose(&places, 0);
    assert_ne!(other.upstream, home);
    assert_eq!(other.uncached, 6_300);
    places.record_first_answer(&home, last, 900);
    assert_eq!(choose(&places, 900).upstream, home, "all before it was read too");
}

#[test]
fn a_long_prompt_of_another_router_is_avoided_until_it_is_read() {
    let mut places = places(6);
    let home = choose(&places, 0).upstream;
    let told = DispatchHint {
        unread: 40_000,
        lasts_ms: 2_000.0,
        event_ms: None,
        pauses_ms: Default::default(),
        since: Default::default(),
    };
    places.hear_dispatch(&home, &told, 0);
    assert_ne!(choose(&places, 100).upstream, home);
    assert_eq!(choose(&places, 1_000).upstream, home, "by then it was read");
    places.hear_dispatch("unknown", &told, 0);
}

#[test]
fn upstreams_that_leave_fail_or_were_tried_are_passed_over() {
    let mut places = places(3);
    let avoid = ["e-0".to_owned()];
    let tried = PlacementRequest { avoid: &avoid, ..CALL };
    assert_eq!(places.choose(&CALL, 0).map(|chosen| chosen.upstream), Some("e-0".to_owned()));
    assert_eq!(places.choose(&tried, 0).map(|chosen| chosen.upstream), Some("e-2".to_owned()));
    let site = UpstreamInfo { service: "engines".into(), data_centre: "here".into(), slots: 8 };
    places.set("e-0", site, true);
    assert_eq!(places.choose(&CALL, 0).map(|chosen| chosen.candidates), Some(2));
    for _ in 0..3 {
        places.record_failure("e-2", 10);
    }
    assert_eq!(places.choose(&CALL, 20).map(|chosen| chosen.upstream), Some("e-1".to_owned()));
    for _ in 0..3 {
        places.record_failure("e-1", 10);
    }
    assert!(places.choose(&CALL, 20).is_some(), "if all fail, one is tried all the same");
    assert_eq!(places.choose(&PlacementRequest { service: "tiles", ..CALL }, 0), None);
}

#[test]
fn the_word_of_an_upstream_that_leaves_outlasts_the_list_but_not_its_life() {
    let mut places = places(2);
    let site = || UpstreamInfo { service: "engines".into(), data_centre: "here".into(), slots: 8 };
    let chosen = |places: &Placer| places.choose(&CALL, 0).map(|chosen| chosen.upstream);
    assert_eq!(chosen(&places).as_deref(), Some("e-0"));
    assert!(places.mark_leaving("e-0", 0));
    assert!(!places.mark_leaving("e-0", 10), "it is known");
    assert_eq!(chosen(&places).as_deref(), Some("e-1"));
    places.set("e-0", site(), false);
    assert_eq!(chosen(&places).as_deref(), Some("e-1"), "the list is late");
    places.remove("e-0");
    places.set("e-0", site(), false);
    assert_eq!(chosen(&places).as_deref(), Some("e-1"), "its entry lapsed and came back");
    assert!(!places.admits("e-0", 0) && places.is_leaving("e-0"));
    places.forget("e-0");
    places.set("e-0", site(), false);
    assert_eq!(chosen(&places).as_deref(), Some("e-0"), "another life of it");
    places.mark_leaving("e-0", 20);
    places.mark_leaving("e-1", 20);
    assert_eq!(chosen(&places), None, "none is tried all the same");
}

#[test]
fn an_upstream_that_rests_gets_nothing_until_its_time_is_over() {
    let mut places = places(2);
    let chosen = |places: &Placer, now| places.choose(&CALL, now).map(|chosen| chosen.upstream);
    assert_eq!(places.back_off("e-0", 3_000, 100), 3_000);
    assert_eq!(chosen(&places, 200).as_deref(), Some("e-1"));
    assert_eq!(places.wait_ms("engines", 200), None, "one takes work");
    places.back_off("e-1", 1_000, 200);
    assert!(!places.admits("e-1", 200) && !places.is_leaving("e-1"), "one that rests does not leave");
    assert!(places.is_leaving("e-9"), "one that is not listed has left");
    assert_eq!((chosen(&places, 300), places.wait_ms("engines", 300)), (None, Some(900)));
    places.back_off("e-1", 100, 300);
    assert_eq!(places.wait_ms("engines", 300), Some(900), "a shorter rest takes nothing back");
    assert_eq!(chosen(&places, 1_200).as_deref(), Some("e-1"));
    assert_eq!(places.wait_ms("tiles", 300), None, "none is there");
    assert_eq!(places.back_off("e-0", 86_400_000, 4_000), 300_000, "a day is bounded");
    places.mark_leaving("e-1", 5_000);
    assert_eq!(places.wait_ms("engines", 5_000), Some(299_000), "one that leaves is not waited for");
    let times: Vec<u64> = (0..1_000).map(|seed| route::return_ms(900, seed * 7_919)).collect();
    assert!(times.iter().all(|ms| (900..1_400).contains(ms)));
    let early = times.iter().filter(|ms| **ms < 1_000).count();
    assert!((150..250).contains(&early), "they come back evenly: {early} of 1,000 in the first fifth");
}

#[test]
fn a_grey_upstream_gets_less() {
    let mut places = places(4);
    for _ in 0..10 {
        places.record_error("e-0");
    }
    let chosen = places.choose(&CALL, 0).expect("an upstream");
    assert_eq!(chosen.upstream, "e-2");
    places.set_overdue("e-2", true);
    assert_eq!(places.choose(&CALL, 0).map(|chosen| chosen.upstream), Some("e-1".to_owned()));
}

#[test]
fn repeats_stay_within_the_fleets_allowance_over_every_window() {
    let terms = RepeatBound { ratio: 0.2, extra: 52.0, length: 10_000 };
    let routers = 6;
    let mut windows: Vec<RepeatWindow> = (0..routers).map(|_| RepeatWindow::new(terms, 0)).collect();
    let mut repeats: Vec<u64> = vec![];
    let mut requests: Vec<u64> = vec![];
    for now in (0..40_000).step_by(10) {
        let window = &mut windows[(now / 10 % routers) as usize];
        window.set_routers(Some(routers as u32));
        window.record_request(now);
        requests.push(now);
        // Everything is tried again as often as it may be.
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
    assert!(repeats.len() > 400, "the allowance is used");
}

#[test]
fn a_home_is_kept_although_reading_anew_elsewhere_is_a_little_faster() {
    let mut places = places(6);
    let home = choose(&places, 0).upstream;
    // A prompt of 7,000 tokens is ahead; elsewhere the 5,500 shared tokens would have to be read again.
    send(&mut places, &home, 7_000, 0);
    assert_eq!(choose(&places, 0).upstream, home);
}

#[test]
fn an_engine_that_does_not_answer_is_left_although_its_prompts_should_be_read() {
    let mut places = places(6);
    let home = choose(&places, 0).upstream;
    send(&mut places, &home, 1_000, 0);
    assert_eq!(choose(&places, 100).upstream, home);
    assert_ne!(choose(&places, 1_500).upstream, home, "it should have answered long ago");
}

#[test]
fn times_to_a_first_answer_are_learned() {
    let mut model = route::Model::default();
    for round in 0..400 {
        for tokens in [200.0, 900.0, 3_000.0, 9_000.0] {
            // One in five waits behind work that this router does not know of.
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
fn a_slower_engine_is_told_by_the_pace_of_its_streams() {
    let mut places = places(4);
    for round in 0..200 {
        for (upstream, ms) in [("e-0", 20.0), ("e-1", 20.0), ("e-2", 20.0), ("e-3", 26.0)] {
            // Prompts that were read beside a stream make every third time longer.
            places.record_baseline_pause(upstream, if round % 3 == 0 { 3.0 * ms } else { ms });
        }
    }
    let slowness = places.slowness("engines");
    let of = |name: &str| slowness.iter().find(|(other, _)| *other == name).expect("known").1;
    assert!((of("e-1") - 1.0).abs() < 0.1, "{slowness:?}");
    assert!((of("e-3") - 1.3).abs() < 0.1, "{slowness:?}");
}
