//! What a router learns of the engines of one service: how fast they read prompts, and how fast each of them is.

/// Prompt tokens that an engine reads in a millisecond, until answers were seen: today's engines read 32 to 57.
const READ_RATE: f64 = 40.0;
/// Time to a first answer beside reading, until answers were seen, in milliseconds.
const BASE_MS: f64 = 50.0;
/// Time between two events of a stream while nothing is read, until one was seen, in milliseconds.
const QUIET_MS: f64 = 20.0;
/// The longest prompt of each class of sizes, in tokens; a class's time is that of a prompt of this size.
const SIZES: [f64; 7] = [250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0];
/// The part by which an answer changes the time of its class, in the first answers and later: the time is that which
/// half of the answers take, so that those which waited behind unknown work don't count more than others.
const STEP_FIRST: f64 = 0.1;
const STEP: f64 = 0.03;
/// Answers after which a class changes by the smaller part.
const FIRST: u32 = 8;
/// The time to a first answer of prompts of one class of sizes.
#[derive(Clone, Copy, Debug)]
struct Class {
    ms: f64,
    seen: u32,
}

/// The engines of one service at their usual speed.
#[derive(Clone, Debug)]
pub struct Model {
    /// By class of sizes.
    first: [Class; SIZES.len()],
}

impl Default for Model {
    fn default() -> Model {
        let class = |size: f64| Class { ms: BASE_MS + size / READ_RATE, seen: 0 };
        Model { first: SIZES.map(class) }
    }
}

impl std::fmt::Display for Model {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let times: Vec<String> = self.first.iter().map(|class| format!("{:.0}", class.ms)).collect();
        write!(f, "first-ms={}", times.join(","))
    }
}

impl Model {
    /// Milliseconds that an idle engine takes to the first answer behind so many prompt tokens.
    pub fn first_ms(&self, tokens: f64) -> f64 {
        let at = |index: usize| self.first[..=index].iter().map(|class| class.ms).fold(0.0, f64::max);
        let above = class_of(tokens);
        // Between two classes, below the first and beyond the last, on the line through two of them.
        let (low, high) = if above == 0 { (0, 1) } else { (above - 1, above) };
        let slope = (at(high) - at(low)) / (SIZES[high] - SIZES[low]);
        (at(low) + slope * (tokens - SIZES[low])).max(0.0)
    }

    /// Milliseconds that reading so many prompt tokens takes.
    pub fn read_ms(&self, tokens: f64) -> f64 {
        (self.first_ms(tokens) - self.first_ms(0.0)).max(0.0)
    }

    /// Takes in how long an engine at its usual speed took to a first answer behind so many prompt tokens and no other
    /// work.
    pub fn learn_first(&mut self, ms: f64, tokens: f64) {
        let foreseen = self.first_ms(tokens);
        let class = &mut self.first[class_of(tokens)];
        let step = if class.seen < FIRST { STEP_FIRST } else { STEP };
        class.seen = class.seen.saturating_add(1);
        class.ms *= if ms > foreseen { 1.0 + step } else { 1.0 - step };
    }
}

/// The class of a prompt with so many tokens to read.
fn class_of(tokens: f64) -> usize {
    SIZES.iter().position(|size| *size >= tokens).unwrap_or(SIZES.len() - 1)
}

/// The weight of a new sample in the pace of an engine, if it is faster and if it is slower: prompts that were read
/// beside it make it slower, nothing makes it faster.
const FASTER: f64 = 0.3;
const SLOWER: f64 = 0.03;
/// The weight of what another router takes an engine's pace to be: each of its dispatches tells it anew.
const TOLD: f64 = 0.1;
/// How many times slower or faster than its like an engine is taken to be at most.
const SPEED: (f64, f64) = (0.5, 8.0);

/// How fast one engine is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    quiet: f64,
}

impl Pace {
    /// Takes in the shortest of a few times between two events.
    pub(crate) fn learn(&mut self, ms: f64) {
        if self.quiet == 0.0 {
            self.quiet = ms;
            return;
        }
        let weight = if ms < self.quiet { FASTER } else { SLOWER };
        self.quiet += weight * (ms - self.quiet);
    }

    /// Takes in what another router takes the pace to be.
    pub(crate) fn hear(&mut self, ms: f64) {
        self.quiet = if self.quiet == 0.0 { ms } else { self.quiet + TOLD * (ms - self.quiet) };
    }

    /// The time between two events while nothing is read, if it is known.
    pub(crate) fn quiet(&self) -> Option<f64> {
        (self.quiet > 0.0).then_some(self.quiet)
    }

    /// How many times slower it is than an engine with the `usual` pace.
    pub(crate) fn slowness(&self, usual: f64) -> f64 {
        self.quiet().map_or(1.0, |quiet| (quiet / usual).clamp(SPEED.0, SPEED.1))
    }
}

/// The usual pace: the middle of those that are known.
pub(crate) fn median_pace(paces: impl Iterator<Item = Pace>) -> f64 {
    let mut known: smallvec::SmallVec<[f64; 32]> = paces.filter_map(|pace| pace.quiet()).collect();
    if known.is_empty() {
        return QUIET_MS;
    }
    known.sort_by(f64::total_cmp);
    known[(known.len() - 1) / 2]
}
