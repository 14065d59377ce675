//! Scenarios with the loads that the users describe.

use crate::engine::EngineSpec;
use crate::load::{RequestKind, SharedParts, SizeDistribution};
use crate::simulation::Scenario;
use route::HintFilter;

/// Long reports and short captions on twelve engines, a third of which are slower. Reading a long prompt
/// delays all streams on the same engine.
pub fn reports_and_captions(seed: u64) -> Scenario {
    let engine = EngineSpec {
        slots: 128,
        queue_capacity: 384,
        base_step_ms: 6.12,
        step_ms_per_run: 0.0234,
        step_ms_per_1k_context: 0.0131,
        read_tokens_per_ms: 32.4,
        step_ms_per_m_pairs: 1.18,
        max_read_tokens: 2_048,
        first_event_delay_ms: 64.0,
        tokens_per_event: 3,
        memory_tokens: 261_197,
    };
    let report = RequestKind {
        name: "report",
        per_s: 16.5,
        priority: 0,
        own_tokens: SizeDistribution { mean: 2_890.0, log_std_dev: 1.0, max: 18_300.0 },
        shared_parts: vec![
            SharedParts {
                tokens: SizeDistribution { mean: 2_520.0, log_std_dev: 0.4, max: 6_290.0 },
                count: 4,
            },
            SharedParts {
                tokens: SizeDistribution { mean: 3_780.0, log_std_dev: 0.7, max: 11_300.0 },
                count: 140,
            },
        ],
        events: SizeDistribution { mean: 17.4, log_std_dev: 1.4, max: 69.4 },
        target_ms: 1_000,
        gap_ms: 300,
        timeout_ms: 6_000.0,
        worth: (6.4, 1.9),
    };
    let caption = RequestKind {
        name: "caption",
        per_s: 56.0,
        priority: 1,
        own_tokens: SizeDistribution { mean: 628.0, log_std_dev: 1.0, max: 3_310.0 },
        shared_parts: vec![
            SharedParts { tokens: SizeDistribution { mean: 119.0, log_std_dev: 0.4, max: 298.0 }, count: 8 },
            SharedParts { tokens: SizeDistribution { mean: 79.4, log_std_dev: 0.7, max: 238.0 }, count: 475 },
        ],
        events: SizeDistribution { mean: 95.8, log_std_dev: 0.69, max: 226.0 },
        target_ms: 1_200,
        gap_ms: 300,
        timeout_ms: 15_000.0,
        worth: (1.0, 0.3),
    };
    Scenario {
        routers: 7,
        data_centres: 3,
        engine,
        slowdowns: [1.0, 1.0, 1.3].repeat(4),
        kinds: vec![report, caption],
        load: 1.0,
        duration_ms: 60_000.0,
        warmup_ms: 10_000.0,
        hint_filter: HintFilter::default(),
        faults: vec![],
        seed,
    }
}

/// Long narratives, short summaries and very short checks on eighteen faster engines. More tokens are read
/// than in [`reports_and_captions`], but the pauses that this causes are short.
pub fn narratives_and_summaries(seed: u64) -> Scenario {
    let engine = EngineSpec {
        slots: 64,
        queue_capacity: 192,
        base_step_ms: 3.79,
        step_ms_per_run: 0.0893,
        step_ms_per_1k_context: 0.001_38,
        read_tokens_per_ms: 56.6,
        step_ms_per_m_pairs: 0.124,
        max_read_tokens: 2_048,
        first_event_delay_ms: 16.0,
        tokens_per_event: 5,
        memory_tokens: 562_615,
    };
    let streaming_kind = |name,
                          per_s,
                          priority,
                          own_tokens,
                          shared_parts: Vec<SharedParts>,
                          events,
                          target_ms,
                          timeout_ms,
                          worth| RequestKind {
        name,
        per_s,
        priority,
        own_tokens,
        shared_parts,
        events,
        target_ms,
        gap_ms: 400,
        timeout_ms,
        worth,
    };
    let narrative = streaming_kind(
        "narrative",
        27.1,
        0,
        SizeDistribution { mean: 6_610.0, log_std_dev: 1.4, max: 54_600.0 },
        vec![
            SharedParts {
                tokens: SizeDistribution { mean: 512.0, log_std_dev: 0.4, max: 1_280.0 },
                count: 3,
            },
            SharedParts {
                tokens: SizeDistribution { mean: 4_870.0, log_std_dev: 0.7, max: 14_600.0 },
                count: 229,
            },
        ],
        SizeDistribution { mean: 76.4, log_std_dev: 0.44, max: 223.0 },
        800,
        15_000.0,
        (5.4, 1.6),
    );
    let summary = streaming_kind(
        "summary",
        42.6,
        1,
        SizeDistribution { mean: 628.0, log_std_dev: 1.0, max: 3_310.0 },
        vec![
            SharedParts { tokens: SizeDistribution { mean: 119.0, log_std_dev: 0.4, max: 298.0 }, count: 8 },
            SharedParts { tokens: SizeDistribution { mean: 79.4, log_std_dev: 0.7, max: 238.0 }, count: 475 },
        ],
        SizeDistribution { mean: 58.0, log_std_dev: 0.69, max: 160.0 },
        800,
        15_000.0,
        (1.0, 0.31),
    );
    let check = streaming_kind(
        "check",
        38.9,
        2,
        SizeDistribution { mean: 1_800.0, log_std_dev: 1.3, max: 6_870.0 },
        vec![
            SharedParts { tokens: SizeDistribution { mean: 341.0, log_std_dev: 0.4, max: 851.0 }, count: 20 },
            SharedParts {
                tokens: SizeDistribution { mean: 227.0, log_std_dev: 0.7, max: 681.0 },
                count: 220,
            },
        ],
        SizeDistribution { mean: 4.5, log_std_dev: 1.4, max: 18.0 },
        1_500,
        3_000.0,
        (0.39, 0.12),
    );
    Scenario {
        routers: 6,
        data_centres: 3,
        engine,
        slowdowns: vec![1.0; 18],
        kinds: vec![narrative, summary, check],
        load: 1.0,
        duration_ms: 60_000.0,
        warmup_ms: 10_000.0,
        hint_filter: HintFilter::default(),
        faults: vec![],
        seed,
    }
}

/// The kinds of requests of [`narratives_and_summaries`], at about eight times the rate, on 160 engines with
/// 32 slots each, a third of which are slower, behind `routers` routers. Each router sees few of the prompts.
pub fn large_fleet(seed: u64, routers: usize) -> Scenario {
    let base = narratives_and_summaries(seed);
    let engine = EngineSpec {
        slots: 32,
        queue_capacity: 96,
        tokens_per_event: 12,
        memory_tokens: 512_126,
        ..base.engine
    };
    let sizes = [(220.0, 31.9, 1_867), (290.0, 24.3, 1_643), (335.0, 1.88, 1_898)];
    let kinds = base.kinds.into_iter().zip(sizes).map(|(mut kind, (per_s, events, part_count))| {
        kind.per_s = per_s;
        kind.events.mean = events;
        kind.gap_ms = 800;
        if let Some(shared) = kind.shared_parts.last_mut() {
            shared.count = part_count;
        }
        kind
    });
    Scenario {
        routers,
        data_centres: 5,
        engine,
        slowdowns: [1.0, 1.0, 1.3].into_iter().cycle().take(160).collect(),
        kinds: kinds.collect(),
        duration_ms: 16_000.0,
        warmup_ms: 4_000.0,
        ..narratives_and_summaries(seed)
    }
}
