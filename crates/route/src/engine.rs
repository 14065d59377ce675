//! What a router learns about the engines of one service: how fast they read prompts (prefill), and how fast
//! each of them is.

/// The number of prompt tokens that an engine is assumed to read per millisecond until answers were observed.
/// Current engines read 32 to 57.
const READ_TOKENS_PER_MS: f64 = 40.0;
/// The assumed time to the first answer without reading, until answers were observed, in milliseconds.
const BASE_MS: f64 = 50.0;
/// The assumed time between two events of a stream while the engine reads no prompt, until one was observed,
/// in milliseconds.
const DEFAULT_EVENT_MS: f64 = 20.0;
/// The longest prompt of each size class, in tokens. The time of a class is that of a prompt of this size.
const CLASS_SIZES: [f64; 7] = [250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0];
/// The relative step by which an answer moves the time of its size class, for the first answers and for later
/// ones.
/// The time moves by a fixed step up or down and so approaches the median: answers that waited behind work
/// unknown to this router don't count more than others.
const INITIAL_STEP: f64 = 0.1;
const STEP: f64 = 0.03;
/// The number of answers after which a size class changes by the smaller step.
const INITIAL_ANSWERS: u32 = 8;

/// The time to the first answer for prompts of one size class.
#[derive(Clone, Copy, Debug)]
struct SizeClass {
    ms: f64,
    answers: u32,
}

/// The engines of one service, at their usual speed.
#[derive(Clone, Debug)]
pub struct Model {
    /// The size classes, in the order of [`CLASS_SIZES`].
    classes: [SizeClass; CLASS_SIZES.len()],
}

impl Default for Model {
    fn default() -> Model {
        let class = |size: f64| SizeClass { ms: BASE_MS + size / READ_TOKENS_PER_MS, answers: 0 };
        Model { classes: CLASS_SIZES.map(class) }
    }
}

impl std::fmt::Display for Model {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let times: Vec<String> = self.classes.iter().map(|class| format!("{:.0}", class.ms)).collect();
        write!(f, "first-ms={}", times.join(","))
    }
}

impl Model {
    /// The time that an idle engine takes to the first answer if it has to read this many prompt tokens, in
    /// milliseconds.
    pub fn first_ms(&self, tokens: f64) -> f64 {
        let at = |index: usize| self.classes[..=index].iter().map(|class| class.ms).fold(0.0, f64::max);
        let above = class_of(tokens);
        // Interpolates between two classes; below the first and beyond the last class, extrapolates the
        // nearest line.
        let (low, high) = if above == 0 { (0, 1) } else { (above - 1, above) };
        let slope = (at(high) - at(low)) / (CLASS_SIZES[high] - CLASS_SIZES[low]);
        (at(low) + slope * (tokens - CLASS_SIZES[low])).max(0.0)
    }

    /// The time that reading this many prompt tokens takes, in milliseconds.
    pub fn read_ms(&self, tokens: f64) -> f64 {
        (self.first_ms(tokens) - self.first_ms(0.0)).max(0.0)
    }

    /// Records the time to the first answer of an engine at its usual speed that had to read this many prompt
    /// tokens and had no other work.
    pub fn record_first_answer(&mut self, ms: f64, tokens: f64) {
        let expected = self.first_ms(tokens);
        let class = &mut self.classes[class_of(tokens)];
        let step = if class.answers < INITIAL_ANSWERS { INITIAL_STEP } else { STEP };
        class.answers = class.answers.saturating_add(1);
        class.ms *= if ms > expected { 1.0 + step } else { 1.0 - step };
    }
}

/// The size class of a prompt with this many tokens to read.
fn class_of(tokens: f64) -> usize {
    CLASS_SIZES.iter().position(|size| *size >= tokens).unwrap_or(CLASS_SIZES.len() - 1)
}

/// The weight of a new sample in the pace of an engine, for samples that are faster and for slower ones.
/// Prompts that the engine reads meanwhile make a sample slower, but nothing makes it faster than the engine
/// is.
const FASTER_WEIGHT: f64 = 0.3;
const SLOWER_WEIGHT: f64 = 0.03;
/// The weight of the pace that another router observed. It is low because each of that router's dispatches
/// reports the pace anew.
const HINT_WEIGHT: f64 = 0.1;
/// The range of slowness factors: an engine counts as at most twice as fast and eight times as slow as the
/// others.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);

/// The pace of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    event_ms: f64,
}

impl Pace {
    /// Records the shortest of several times between two events, in milliseconds.
    pub(crate) fn record(&mut self, ms: f64) {
        if self.event_ms == 0.0 {
            self.event_ms = ms;
            return;
        }
        let weight = if ms < self.event_ms { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        self.event_ms += weight * (ms - self.event_ms);
    }

    /// Records the pace that another router reports, in milliseconds.
    pub(crate) fn record_hint(&mut self, ms: f64) {
        self.event_ms =
            if self.event_ms == 0.0 { ms } else { self.event_ms + HINT_WEIGHT * (ms - self.event_ms) };
    }

    /// The time between two events while the engine reads no prompt, in milliseconds, if it is known.
    pub(crate) fn event_ms(&self) -> Option<f64> {
        (self.event_ms > 0.0).then_some(self.event_ms)
    }

    /// The factor by which the engine is slower than one with the `usual` pace.
    pub(crate) fn slowness(&self, usual: f64) -> f64 {
        self.event_ms().map_or(1.0, |event_ms| (event_ms / usual).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1))
    }
}

/// The usual pace of engines: the median of the known ones, in milliseconds.
pub(crate) fn median_pace(paces: impl Iterator<Item = Pace>) -> f64 {
    let mut known: smallvec::SmallVec<[f64; 32]> = paces.filter_map(|pace| pace.event_ms()).collect();
    if known.is_empty() {
        return DEFAULT_EVENT_MS;
    }
    known.sort_by(f64::total_cmp);
    known[(known.len() - 1) / 2]
}
