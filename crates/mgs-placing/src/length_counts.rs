//! Counts of long prompts by length, which keep any one length from being starved.
//!
//! During overload, when long prompts ask for more prefill than all engines can do for ten seconds
//! and more, some must be refused. Ordered by worth for each millisecond of prefill, the longest
//! would always be refused, since prefill grows with the square of the length and worth only
//! linearly. Gateways therefore count what they receive and what they dispatch by kind and length,
//! and a length that is dispatched less often than others of its kind moves ahead of them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Largest index of a length band. Bands grow by a factor of the square root of two, starting at
/// 4,096 tokens.
const MAX_LENGTH_BAND: f64 = 19.0;

/// Counts that have decayed below this are dropped.
const MIN_COUNT: f64 = 0.05;

/// Logarithm to base 2 of the length at which the bands begin.
const FIRST_BAND_LOG2: f64 = 12.0;

/// Number of bands for each doubling of the length.
const BANDS_PER_DOUBLING: f64 = 2.0;

/// Time constant with which counts decay, in milliseconds: two swings of the load, which last ten
/// seconds.
const DECAY_MS: f64 = 20_000.0;

/// Counts are sent to peers in hundredths.
const HUNDREDTHS: f64 = 100.0;

/// Prompts with the mean ratio of their kind that are added to each band, so that a single prompt
/// has little effect.
const PRIOR_PROMPTS: f64 = 1.0;

/// Prompts of one kind and of similar length. The kind is the first-token target that the prompts
/// ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LengthBand {
    aim_ms: u32,
    length: u8,
}

impl LengthBand {
    /// The band of a prompt.
    ///
    /// ```
    /// use mgs_placing::length_counts::LengthBand;
    ///
    /// assert_eq!(LengthBand::of(200_000, 4_000.0), LengthBand::of(210_000, 4_000.0));
    /// assert_ne!(LengthBand::of(200_000, 4_000.0), LengthBand::of(300_000, 4_000.0));
    /// assert_ne!(LengthBand::of(200_000, 4_000.0), LengthBand::of(200_000, 1_500.0));
    /// ```
    pub fn of(prompt_tokens: u64, aim_ms: f64) -> Self {
        let doublings = (prompt_tokens.max(1) as f64).log2() - FIRST_BAND_LOG2;
        let length = (doublings * BANDS_PER_DOUBLING).clamp(0.0, MAX_LENGTH_BAND);
        Self {
            aim_ms: aim_ms as u32,
            length: length as u8,
        }
    }
}

/// Prompts received and dispatched in one band, with exponential decay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct AskedAndSent {
    asked: f64,
    sent: f64,
}

impl AskedAndSent {
    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.sent += other.sent;
    }
}

/// The summed counts of several gateways.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LengthCounts {
    bands: BTreeMap<LengthBand, AskedAndSent>,
}

impl LengthCounts {
    /// Adds the counts reported by a peer.
    pub fn add(&mut self, band_counts: &[BandCount]) {
        for reported in band_counts {
            let count = AskedAndSent {
                asked: f64::from(reported.asked_hundredths) / HUNDREDTHS,
                sent: f64::from(reported.sent_hundredths) / HUNDREDTHS,
            };
            self.bands.entry(reported.band).or_default().add(count);
        }
    }

    /// Ratio of the share of this band's prompts that is dispatched to the same share over all
    /// bands of its kind; 1 if they are equal.
    pub fn sent_ratio(&self, band: LengthBand) -> f64 {
        let mut kind = AskedAndSent::default();
        let bands = self.bands.iter();
        for (_, count) in bands.filter(|(other, _)| other.aim_ms == band.aim_ms) {
            kind.add(*count);
        }
        if kind.asked <= 0.0 || kind.sent <= 0.0 {
            return 1.0;
        }
        let all = kind.sent / kind.asked;
        let own = self.bands.get(&band).copied().unwrap_or_default();
        let share = (own.sent + PRIOR_PROMPTS * all) / (own.asked + PRIOR_PROMPTS);
        share / all
    }
}

/// The counts of one band, as gateways send them to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BandCount {
    band: LengthBand,
    asked_hundredths: u16,
    sent_hundredths: u16,
}

/// The counts of one gateway.
///
/// ```
/// use mgs_placing::length_counts::LengthBand;
/// use mgs_placing::length_counts::LengthCounter;
///
/// let (shorter, longer) = (LengthBand::of(150_000, 4_000.0), LengthBand::of(400_000, 4_000.0));
/// let mut lengths = LengthCounter::default();
/// for _ in 0..4 {
///     lengths.count_asked(shorter, 0.0);
///     lengths.count_sent(shorter, 0.0);
///     lengths.count_asked(longer, 0.0);
/// }
/// let counts = lengths.counts(0.0);
/// assert!(counts.sent_ratio(shorter) > 1.0);
/// assert!(counts.sent_ratio(longer) < 0.5);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LengthCounter {
    counts: LengthCounts,
    at_ms: f64,
}

impl LengthCounter {
    /// Counts a prompt that was received.
    pub fn count_asked(&mut self, band: LengthBand, now_ms: f64) {
        self.decay(now_ms);
        self.counts.bands.entry(band).or_default().asked += 1.0;
    }

    /// Counts a prompt that was dispatched.
    pub fn count_sent(&mut self, band: LengthBand, now_ms: f64) {
        self.decay(now_ms);
        self.counts.bands.entry(band).or_default().sent += 1.0;
    }

    /// The counts decayed to `now_ms`.
    pub fn counts(&self, now_ms: f64) -> LengthCounts {
        let mut decayed = self.clone();
        decayed.decay(now_ms);
        decayed.counts
    }

    /// The counts to send to peers.
    pub fn band_counts(&self, now_ms: f64) -> Vec<BandCount> {
        let counts = self.counts(now_ms);
        let hundredths = |count: f64| (count * HUNDREDTHS).round() as u16;
        let band_counts = counts.bands.iter().map(|(band, count)| BandCount {
            band: *band,
            asked_hundredths: hundredths(count.asked),
            sent_hundredths: hundredths(count.sent),
        });
        band_counts.collect()
    }

    /// Lets the counts decay to `now_ms` and drops small ones.
    fn decay(&mut self, now_ms: f64) {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        let factor = (-age_ms / DECAY_MS).exp();
        for count in self.counts.bands.values_mut() {
            count.asked *= factor;
            count.sent *= factor;
        }
        self.counts.bands.retain(|_, count| count.asked > MIN_COUNT);
        self.at_ms = now_ms;
    }
}
