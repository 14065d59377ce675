use emulator::{Fault, Scene, play};
#[test]
fn try_it() {
    let scenes: Vec<(&str, Box<dyn Fn(u64) -> Scene>)> = vec![
        ("calm", Box::new(emulator::reports)),
        ("early", Box::new(|s| Scene { warm_ms: 0.0, length_ms: 15_000.0, ..emulator::reports(s) })),
        ("1.4", Box::new(|s| Scene { load: 1.4, ..emulator::reports(s) })),
        (
            "burst",
            Box::new(|s| Scene {
                warm_ms: 20_000.0,
                length_ms: 40_000.0,
                faults: vec![(20_000.0, Fault::Load(1.7)), (30_000.0, Fault::Load(1.0))],
                ..emulator::reports(s)
            }),
        ),
        ("storms", Box::new(emulator::storms)),
        ("storms1.3", Box::new(|s| Scene { load: 1.3, ..emulator::storms(s) })),
        (
            "loss",
            Box::new(|s| Scene {
                warm_ms: 10_000.0,
                length_ms: 40_000.0,
                faults: vec![
                    (15_000.0, Fault::Slow(0, 6.0)),
                    (15_000.0, Fault::Slow(1, 6.0)),
                    (15_000.0, Fault::Slow(2, 6.0)),
                    (30_000.0, Fault::Slow(0, 1.0)),
                    (30_000.0, Fault::Slow(1, 1.0)),
                    (30_000.0, Fault::Slow(2, 1.3)),
                ],
                ..emulator::reports(s)
            }),
        ),
    ];
    for (name, scene) in scenes {
        let o: Vec<_> = (0..8).map(|seed| play(&scene(100 + seed))).collect();
        let mean =
            |f: &dyn Fn(&emulator::Outcome) -> f64| o.iter().map(|x| f(x)).sum::<f64>() / o.len() as f64;
        print!("{name:10} worth {:.3} again {:.2}", mean(&|x| x.worth()), mean(&|x| x.again as f64 / 1e6));
        for k in ["report", "caption", "narrative", "summary", "check"] {
            if o[0].of(k).asked > 0 {
                print!(
                    "  {k} in {:.3} first {:.3} gap {:.3}",
                    mean(&|x| x.of(k).in_time()),
                    mean(&|x| x.of(k).late_first as f64 / x.of(k).asked as f64),
                    mean(&|x| x.of(k).late_gap as f64 / x.of(k).asked as f64)
                );
            }
        }
        println!();
    }
}
