//! How often long prompts of each length are sent, so that none of them is passed over for good.
//!
//! The load that this answers: audits ask for more reading than all engines have, and some must be refused. By
//! reading for worth these are always the longest, since reading grows with the square of the length and worth with
//! its first power. So all gateways count what is asked of them and what they send, by kind and length, and a length
//! that is sent less often than others of its kind goes before them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Lengths are told apart by factors of the square root of two, from 4,096 tokens on, in so many steps.
const MAX_LENGTH_BAND: f64 = 19.0;

/// What is left of a count when it is forgotten.
const MIN_COUNT: f64 = 0.05;

/// Logarithm to the base of two of the length at which the bands begin.
const FIRST_LOG2: f64 = 12.0;

/// Bands for each doubling of the length.
const BANDS_PER_DOUBLING: f64 = 2.0;

/// How long a prompt counts, in milliseconds: two swings of a load, which last ten seconds.
const DECAY_MS: f64 = 20_000.0;

/// Counts are told in hundredths.
const HUNDREDTHS: f64 = 100.0;

/// Prompts of any length that count besides in each band, so that a single one doesn't tell much.
const PRIOR: f64 = 1.0;

/// Prompts of one kind and of about one length. A kind is told by the time to the first token that it asks for.
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
        let doublings = (prompt_tokens.max(1) as f64).log2() - FIRST_LOG2;
        let length = (doublings * BANDS_PER_DOUBLING).clamp(0.0, MAX_LENGTH_BAND);
        Self {
            aim_ms: aim_ms as u32,
            length: length as u8,
        }
    }
}

/// What was asked for and sent in one band, as it fades from memory.
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

/// The counts of some gateways together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LengthCounts {
    bands: BTreeMap<LengthBand, AskedAndSent>,
}

impl LengthCounts {
    /// Adds what a peer told.
    pub fn add(&mut self, band_counts: &[BandCount]) {
        for band_counts in band_counts {
            let count = AskedAndSent {
                asked: f64::from(band_counts.asked_hundredths) / HUNDREDTHS,
                sent: f64::from(band_counts.sent_hundredths) / HUNDREDTHS,
            };
            self.bands.entry(band_counts.band).or_default().add(count);
        }
    }

    /// How often prompts of a band are sent beside all others of their kind; 1 if as often.
    pub fn sent_ratio(&self, band: LengthBand) -> f64 {
        let mut kind = AskedAndSent::default();
        let same_slack = self.bands.iter();
        for (_, count) in same_slack.filter(|(other, _)| other.aim_ms == band.aim_ms) {
            kind.add(*count);
        }
        if kind.asked <= 0.0 || kind.sent <= 0.0 {
            return 1.0;
        }
        let all = kind.sent / kind.asked;
        let own = self.bands.get(&band).copied().unwrap_or_default();
        let share = (own.sent + PRIOR * all) / (own.asked + PRIOR);
        share / all
    }
}

/// A band's count as gateways tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BandCount {
    band: LengthBand,
    asked_hundredths: u16,
    sent_hundredths: u16,
}

/// What one gateway has counted.
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
    /// A prompt of a band came.
    pub fn count_asked(&mut self, band: LengthBand, now_ms: f64) {
        self.decay(now_ms);
        self.counts.bands.entry(band).or_default().asked += 1.0;
    }

    /// A prompt of a band was sent.
    pub fn count_sent(&mut self, band: LengthBand, now_ms: f64) {
        self.decay(now_ms);
        self.counts.bands.entry(band).or_default().sent += 1.0;
    }

    /// The counts now.
    pub fn counts(&self, now_ms: f64) -> LengthCounts {
        let mut decayed = self.clone();
        decayed.decay(now_ms);
        decayed.counts
    }

    /// What peers are told.
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

    fn decay(&mut self, now_ms: f64) {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        let left = (-age_ms / DECAY_MS).exp();
        for count in self.counts.bands.values_mut() {
            count.asked *= left;
            count.sent *= left;
        }
        self.counts.bands.retain(|_, count| count.asked > MIN_COUNT);
        self.at_ms = now_ms;
    }
}
