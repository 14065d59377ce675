//! Loads of the kinds that the users describe.

use crate::engine::Spec;
use crate::load::{Kind, Shared, Size};
use crate::simulation::Scene;
use route::HintFilter;

/// Long reports and short captions on twelve engines, a third of them slower: long reads hold up all streams.
pub fn reports(seed: u64) -> Scene {
    let engine = Spec {
        slots: 128,
        queue: 384,
        step_ms: 6.12,
        run_ms: 0.0234,
        context_ms: 0.0131,
        read_rate: 32.4,
        pairs_ms: 1.18,
        chunk: 2_048,
        first_ms: 64.0,
        stride: 3,
        memory: 261_197,
    };
    let report = Kind {
        name: "report",
        per_s: 16.5,
        rank: 0,
        own: Size { mean: 2_890.0, spread: 1.0, most: 18_300.0 },
        shared: vec![
            Shared { tokens: Size { mean: 2_520.0, spread: 0.4, most: 6_290.0 }, count: 4 },
            Shared { tokens: Size { mean: 3_780.0, spread: 0.7, most: 11_300.0 }, count: 140 },
        ],
        events: Size { mean: 17.4, spread: 1.4, most: 69.4 },
        target_ms: 1_000,
        gap_ms: 300,
        wait_ms: 6_000.0,
        worth: (6.4, 1.9),
    };
    let caption = Kind {
        name: "caption",
        per_s: 56.0,
        rank: 1,
        own: Size { mean: 628.0, spread: 1.0, most: 3_310.0 },
        shared: vec![
            Shared { tokens: Size { mean: 119.0, spread: 0.4, most: 298.0 }, count: 8 },
            Shared { tokens: Size { mean: 79.4, spread: 0.7, most: 238.0 }, count: 475 },
        ],
        events: Size { mean: 95.8, spread: 0.69, most: 226.0 },
        target_ms: 1_200,
        gap_ms: 300,
        wait_ms: 15_000.0,
        worth: (1.0, 0.3),
    };
    Scene {
        routers: 7,
        data_centres: 3,
        engine,
        slow: [1.0, 1.0, 1.3].repeat(4),
        kinds: vec![report, caption],
        load: 1.0,
        length_ms: 60_000.0,
        warm_ms: 10_000.0,
        teller: HintFilter::default(),
        faults: vec![],
        seed,
    }
}

/// Long narratives, short summaries and tiny checks on eighteen faster engines: what is read is more, the pauses that it
/// causes are short.
pub fn storms(seed: u64) -> Scene {
    let engine = Spec {
        slots: 64,
        queue: 192,
        step_ms: 3.79,
        run_ms: 0.0893,
        context_ms: 0.001_38,
        read_rate: 56.6,
        pairs_ms: 0.124,
        chunk: 2_048,
        first_ms: 16.0,
        stride: 5,
        memory: 562_615,
    };
    let stream = |name, per_s, rank, own, shared: Vec<Shared>, events, target_ms, wait_ms, worth| Kind {
        name,
        per_s,
        rank,
        own,
        shared,
        events,
        target_ms,
        gap_ms: 400,
        wait_ms,
        worth,
    };
    let narrative = stream(
        "narrative",
        27.1,
        0,
        Size { mean: 6_610.0, spread: 1.4, most: 54_600.0 },
        vec![
            Shared { tokens: Size { mean: 512.0, spread: 0.4, most: 1_280.0 }, count: 3 },
            Shared { tokens: Size { mean: 4_870.0, spread: 0.7, most: 14_600.0 }, count: 229 },
        ],
        Size { mean: 76.4, spread: 0.44, most: 223.0 },
        800,
        15_000.0,
        (5.4, 1.6),
    );
    let summary = stream(
        "summary",
        42.6,
        1,
        Size { mean: 628.0, spread: 1.0, most: 3_310.0 },
        vec![
            Shared { tokens: Size { mean: 119.0, spread: 0.4, most: 298.0 }, count: 8 },
            Shared { tokens: Size { mean: 79.4, spread: 0.7, most: 238.0 }, count: 475 },
        ],
        Size { mean: 58.0, spread: 0.69, most: 160.0 },
        800,
        15_000.0,
        (1.0, 0.31),
    );
    let check = stream(
        "check",
        38.9,
        2,
        Size { mean: 1_800.0, spread: 1.3, most: 6_870.0 },
        vec![
            Shared { tokens: Size { mean: 341.0, spread: 0.4, most: 851.0 }, count: 20 },
            Shared { tokens: Size { mean: 227.0, spread: 0.7, most: 681.0 }, count: 220 },
        ],
        Size { mean: 4.5, spread: 1.4, most: 18.0 },
        1_500,
        3_000.0,
        (0.39, 0.12),
    );
    Scene {
        routers: 6,
        data_centres: 3,
        engine,
        slow: vec![1.0; 18],
        kinds: vec![narrative, summary, check],
        load: 1.0,
        length_ms: 60_000.0,
        warm_ms: 10_000.0,
        teller: HintFilter::default(),
        faults: vec![],
        seed,
    }
}

/// The same kinds of requests, eight times as many, on 160 engines with 32 slots each, a third of them slower, through so
/// many routers: each sees few of the prompts.
pub fn plains(seed: u64, routers: usize) -> Scene {
    let small = storms(seed);
    let engine = Spec { slots: 32, queue: 96, stride: 12, memory: 512_126, ..small.engine };
    let sizes = [(220.0, 31.9, 1_867), (290.0, 24.3, 1_643), (335.0, 1.88, 1_898)];
    let kinds = small.kinds.into_iter().zip(sizes).map(|(mut kind, (per_s, events, things))| {
        kind.per_s = per_s;
        kind.events.mean = events;
        kind.gap_ms = 800;
        if let Some(shared) = kind.shared.last_mut() {
            shared.count = things;
        }
        kind
    });
    Scene {
        routers,
        data_centres: 5,
        engine,
        slow: [1.0, 1.0, 1.3].into_iter().cycle().take(160).collect(),
        kinds: kinds.collect(),
        length_ms: 16_000.0,
        warm_ms: 4_000.0,
        ..storms(seed)
    }
}
