//! Arrivals with a fixed seed.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::load::scenario::Length;
use crate::load::scenario::Options;
use crate::load::scenario::Phase;

/// Tokens a second that one engine takes when prefill and decode share its steps.
pub const ENGINE_TOKENS_PER_S: f64 = 13_500.0;

/// Longest prompt that counts as short, in tokens.
pub const SHORT_TOKENS: u64 = 16_384;

/// Bands of prompt length in the report, by their upper bounds in tokens.
pub const BANDS: [(u64, &str); 4] = [
    (4_096, "1k-4k"),
    (SHORT_TOKENS, "4k-16k"),
    (100_000, "16k-100k"),
    (u64::MAX, "100k-1M"),
];

/// Requests in a sample from which the mean length is taken.
const SAMPLE: usize = 50_000;

/// One request to come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When, in the model's seconds from the start.
    pub at_s: f64,
    /// Organisation, by its number.
    pub organisation: usize,
    /// Gateway that the balancer gives it to.
    pub gateway: usize,
    /// Prompt length.
    pub prompt_tokens: u64,
    /// Answer length.
    pub answer_tokens: u64,
    /// Shared prefix, by its number within the organisation.
    pub prefix: u64,
    /// Length of that prefix.
    pub prefix_tokens: u64,
    /// Makes the rest of the prompt its own.
    pub seed: u64,
    /// Phase, by its number.
    pub phase: usize,
}

impl Arrival {
    /// Whether the prompt is short.
    pub fn is_short(&self) -> bool {
        self.prompt_tokens <= SHORT_TOKENS
    }

    /// Number of its band.
    pub fn band(&self) -> usize {
        band(self.prompt_tokens)
    }

    /// Time allotted, in the model's milliseconds.
    pub fn allotted_ms(&self) -> u64 {
        [15_000, 15_000, 60_000, 300_000][self.band()]
    }
}

/// Number of the band of a length.
///
/// ```
/// assert_eq!(mgs_testing::load::workload::band(500_000), 3);
/// ```
pub fn band(prompt_tokens: u64) -> usize {
    let found = BANDS.iter().position(|(most, _)| prompt_tokens <= *most);
    found.unwrap_or(BANDS.len() - 1)
}

fn log_uniform(rng: &mut ChaCha8Rng, length: &Length) -> u64 {
    let ratio = length.most_tokens / length.least_tokens;
    (length.least_tokens.ln() + rng.random::<f64>() * ratio.ln()).exp() as u64
}

fn lengths(rng: &mut ChaCha8Rng, bands: &[Length; 3]) -> (u64, u64) {
    let draw: f64 = rng.random();
    let [short, medium, long] = bands;
    if draw < long.share {
        (log_uniform(rng, long), rng.random_range(256..1_024))
    } else if draw < long.share + medium.share {
        (log_uniform(rng, medium), rng.random_range(128..512))
    } else {
        (log_uniform(rng, short), rng.random_range(32..256))
    }
}

fn mean_tokens(bands: &[Length; 3]) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let sum: u64 = (0..SAMPLE).map(|_| lengths(&mut rng, bands).0).sum();
    sum as f64 / SAMPLE as f64
}

/// All arrivals of a run, in order. The same options give the same arrivals.
pub fn generate(options: &Options) -> Vec<Arrival> {
    let scenario = options.scenario;
    let capacity_per_s = ENGINE_TOKENS_PER_S * options.engines as f64;
    let requests_per_s = capacity_per_s / mean_tokens(&scenario.lengths());
    let parts = scenario.parts(options.organisations);
    let mut arrivals = Vec::new();
    let mut start_s = 0.0;
    for (number, phase) in scenario.phases().iter().enumerate() {
        let end_s = start_s + phase.share * options.run_s;
        for (organisation, part) in parts.iter().enumerate() {
            let stretch = Stretch {
                phase: number,
                organisation,
                start_s,
                end_s,
                per_s: requests_per_s * rate(phase, organisation) * part,
            };
            stretch.fill(options, &mut arrivals);
        }
        start_s = end_s;
    }
    arrivals.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    arrivals
}

fn rate(phase: &Phase, organisation: usize) -> f64 {
    let flood_factor = if organisation == 0 {
        phase.flood_factor
    } else {
        1.0
    };
    phase.load_share * flood_factor
}

/// The arrivals of one organisation in one phase.
struct Stretch {
    phase: usize,
    organisation: usize,
    start_s: f64,
    end_s: f64,
    per_s: f64,
}

impl Stretch {
    fn fill(&self, options: &Options, arrivals: &mut Vec<Arrival>) {
        let scenario = options.scenario;
        let stream = (self.phase * 1_000 + self.organisation) as u64;
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed * 1_000_000 + stream);
        let mut at_s = self.start_s;
        loop {
            at_s += -(1.0 - rng.random::<f64>()).ln() / self.per_s;
            if at_s >= self.end_s {
                return;
            }
            let (prompt_tokens, answer_tokens) = lengths(&mut rng, &scenario.lengths());
            let prefix = rng.random_range(0..scenario.prefixes());
            let prefix_tokens = 1_024 << (prefix % 4);
            arrivals.push(Arrival {
                at_s,
                organisation: self.organisation,
                gateway: rng.random_range(0..options.gateways),
                prompt_tokens,
                answer_tokens,
                prefix,
                prefix_tokens: prefix_tokens.min(prompt_tokens),
                seed: rng.random(),
                phase: self.phase,
            });
        }
    }
}

/// The prompt of an arrival: its shared prefix, then text of its own; four bytes for each token.
pub fn prompt(arrival: &Arrival) -> String {
    let prefix_seed = arrival.organisation as u64 * 1_000 + arrival.prefix;
    let mut text = String::with_capacity(arrival.prompt_tokens as usize * 4);
    fill(&mut text, prefix_seed, arrival.prefix_tokens);
    fill(
        &mut text,
        arrival.seed,
        arrival.prompt_tokens - arrival.prefix_tokens,
    );
    text
}

fn fill(text: &mut String, seed: u64, tokens: u64) {
    let mut state = seed | 1;
    for _ in 0..tokens {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        for shift in [33, 39, 45] {
            text.push(char::from(b'a' + (state >> shift) as u8 % 26));
        }
        text.push(' ');
    }
}
