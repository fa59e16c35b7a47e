//! Arrivals with a fixed seed.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Organisations.
pub(crate) const ORGANISATIONS: usize = 10;

/// Bands of prompt length, by their upper bounds in tokens.
pub(crate) const BANDS: [(u64, &str); 3] =
    [(16_384, "short"), (100_000, "medium"), (u64::MAX, "long")];

/// One request.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) organisation: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) hashes: Vec<u64>,
    pub(crate) gateway: usize,
    pub(crate) allotted_ms: u64,
}

/// What to generate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    /// Offered tokens a second, of all organisations but for what a flood adds.
    pub(crate) tokens_per_s: f64,
    /// Only short prompts are kept; the arrivals of these are the same.
    pub(crate) short_only: bool,
    /// Factor by which organisation 0 offers more.
    pub(crate) flood: f64,
    pub(crate) gateways: usize,
}

/// Index of the band of a length.
pub(crate) fn band(prompt_tokens: u64) -> usize {
    let found = BANDS.iter().position(|(most, _)| prompt_tokens <= *most);
    found.unwrap_or(BANDS.len() - 1)
}

fn log_uniform(rng: &mut ChaCha8Rng, low: f64, high: f64) -> u64 {
    (low.ln() + rng.random::<f64>() * (high / low).ln()).exp() as u64
}

/// Mean tokens of a request, from a sample.
fn mean_tokens() -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let lengths = (0..20_000).map(|_| length(&mut rng));
    lengths.map(|(prompt, _)| prompt as f64).sum::<f64>() / 20_000.0
}

fn length(rng: &mut ChaCha8Rng) -> (u64, u64) {
    let draw: f64 = rng.random();
    if draw < 0.02 {
        (
            log_uniform(rng, 100_001.0, 380_000.0),
            rng.random_range(256..1_024),
        )
    } else if draw < 0.12 {
        (
            log_uniform(rng, 16_385.0, 100_000.0),
            rng.random_range(128..512),
        )
    } else {
        (
            log_uniform(rng, 1_000.0, 16_384.0),
            rng.random_range(32..256),
        )
    }
}

/// Hashes of a prompt whose first part is shared with others of its organisation.
fn hashes(rng: &mut ChaCha8Rng, organisation: usize, prompt_tokens: u64, serial: u64) -> Vec<u64> {
    let blocks = prompt_tokens / 256;
    let prefix = rng.random_range(0..4u64);
    let shared = [4, 8, 16, 32][prefix as usize].min(blocks);
    let common = 1 + (organisation as u64 * 4 + prefix) * 1_000_000;
    let own = (1 << 40) + serial * 10_000;
    (0..blocks)
        .map(|i| if i < shared { common + i } else { own + i })
        .collect()
}

/// All arrivals in order.
pub(crate) fn generate(options: &Options) -> Vec<Arrival> {
    let mean = mean_tokens();
    let weights: Vec<f64> = (0..ORGANISATIONS)
        .map(|o| if o < 3 { 3.0 } else { 1.0 })
        .collect();
    let all: f64 = weights.iter().sum();
    let mut arrivals = Vec::new();
    for (organisation, weight) in weights.iter().enumerate() {
        let factor = if organisation == 0 {
            options.flood
        } else {
            1.0
        };
        let per_s = options.tokens_per_s * weight / all / mean * factor;
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed * 1_000 + organisation as u64);
        let mut at_s = 0.0;
        let mut serial = organisation as u64 * 1_000_000;
        loop {
            at_s += -(1.0 - rng.random::<f64>()).ln() / per_s;
            if at_s > options.seconds as f64 {
                break;
            }
            serial += 1;
            let (prompt_tokens, answer_tokens) = length(&mut rng);
            let hashes = hashes(&mut rng, organisation, prompt_tokens, serial);
            let gateway = rng.random_range(0..options.gateways);
            if options.short_only && band(prompt_tokens) > 0 {
                continue;
            }
            let allotted_ms = [10_000, 60_000, 300_000][band(prompt_tokens)];
            arrivals.push(Arrival {
                at_ms: (at_s * 1_000.0) as u64,
                organisation,
                prompt_tokens,
                answer_tokens,
                hashes,
                gateway,
                allotted_ms,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}
