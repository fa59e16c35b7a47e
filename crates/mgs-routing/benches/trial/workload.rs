//! Generates request arrivals from a fixed seed.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of organisations.
pub(crate) const ORGANISATIONS: usize = 10;

/// Prompt length bands: upper bound in tokens, and name.
pub(crate) const LENGTH_BANDS: [(u64, &str); 3] =
    [(16_384, "short"), (100_000, "medium"), (u64::MAX, "long")];

/// A request, with its time of arrival and the gateway that it arrives at.
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

/// Settings of [`generate`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    /// Prompt tokens offered per second by all organisations, without the excess of `flood_factor`.
    pub(crate) tokens_per_s: f64,
    /// Whether to drop all but short prompts. The arrivals of short prompts don't depend on it.
    pub(crate) short_only: bool,
    /// Factor on the request rate of organisation 0.
    pub(crate) flood_factor: f64,
    pub(crate) gateways: usize,
}

/// Index in [`LENGTH_BANDS`] of the band of a prompt.
pub(crate) fn length_band(prompt_tokens: u64) -> usize {
    let found = LENGTH_BANDS
        .iter()
        .position(|(upper, _)| prompt_tokens <= *upper);
    found.unwrap_or(LENGTH_BANDS.len() - 1)
}

fn log_uniform(rng: &mut ChaCha8Rng, low: f64, high: f64) -> u64 {
    (low.ln() + rng.random::<f64>() * (high / low).ln()).exp() as u64
}

/// Mean prompt length, in tokens, of a sample of requests.
fn mean_prompt_tokens() -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let lengths = (0..20_000).map(|_| draw_lengths(&mut rng));
    lengths.map(|(prompt, _)| prompt as f64).sum::<f64>() / 20_000.0
}

/// Draws prompt and answer lengths, in tokens: 2 % long, 10 % medium and 88 % short prompts.
fn draw_lengths(rng: &mut ChaCha8Rng) -> (u64, u64) {
    let class: f64 = rng.random();
    if class < 0.02 {
        (
            log_uniform(rng, 100_001.0, 380_000.0),
            rng.random_range(256..1_024),
        )
    } else if class < 0.12 {
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

/// Block hashes of a prompt that shares its prefix with other prompts of the organisation.
fn hashes(rng: &mut ChaCha8Rng, organisation: usize, prompt_tokens: u64, serial: u64) -> Vec<u64> {
    let blocks = prompt_tokens / 256;
    let prefix = rng.random_range(0..4u64);
    let shared_blocks = [4, 8, 16, 32][prefix as usize].min(blocks);
    let shared_hash = 1 + (organisation as u64 * 4 + prefix) * 1_000_000;
    let own_hash = (1 << 40) + serial * 10_000;
    (0..blocks)
        .map(|i| {
            if i < shared_blocks {
                shared_hash + i
            } else {
                own_hash + i
            }
        })
        .collect()
}

/// Generates all arrivals, ordered by time.
pub(crate) fn generate(options: &Options) -> Vec<Arrival> {
    let mean_prompt_tokens = mean_prompt_tokens();
    let weights: Vec<f64> = (0..ORGANISATIONS)
        .map(|o| if o < 3 { 3.0 } else { 1.0 })
        .collect();
    let weight_sum: f64 = weights.iter().sum();
    let mut arrivals = Vec::new();
    for (organisation, weight) in weights.iter().enumerate() {
        let rate_factor = if organisation == 0 {
            options.flood_factor
        } else {
            1.0
        };
        let requests_per_s =
            options.tokens_per_s * weight / weight_sum / mean_prompt_tokens * rate_factor;
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed * 1_000 + organisation as u64);
        let mut at_s = 0.0;
        let mut serial = organisation as u64 * 1_000_000;
        loop {
            at_s += -(1.0 - rng.random::<f64>()).ln() / requests_per_s;
            if at_s > options.seconds as f64 {
                break;
            }
            serial += 1;
            let (prompt_tokens, answer_tokens) = draw_lengths(&mut rng);
            let hashes = hashes(&mut rng, organisation, prompt_tokens, serial);
            let gateway = rng.random_range(0..options.gateways);
            if options.short_only && length_band(prompt_tokens) > 0 {
                continue;
            }
            let allotted_ms = [10_000, 60_000, 300_000][length_band(prompt_tokens)];
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
