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
const LENGTH_MAX: f64 = 19.0;

/// What is left of a count when it is forgotten.
const FORGOTTEN: f64 = 0.05;

/// Logarithm to the base of two of the length at which the bands begin.
const FIRST_LOG2: f64 = 12.0;

/// Bands for each doubling of the length.
const BANDS_PER_DOUBLING: f64 = 2.0;

/// How long a prompt counts, in milliseconds: two swings of a load, which last ten seconds.
const MEMORY_MS: f64 = 20_000.0;

/// Counts are told in hundredths.
const HUNDREDTHS: f64 = 100.0;

/// Prompts of any length that count besides in each band, so that a single one doesn't tell much.
const PRIOR: f64 = 1.0;

/// Prompts of one kind and of about one length. A kind is told by the time to the first token that it asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Band {
    aim_ms: u32,
    length: u8,
}

impl Band {
    /// The band of a prompt.
    ///
    /// ```
    /// use mgs_placing::lengths::Band;
    ///
    /// assert_eq!(Band::of(200_000, 4_000.0), Band::of(210_000, 4_000.0));
    /// assert_ne!(Band::of(200_000, 4_000.0), Band::of(300_000, 4_000.0));
    /// assert_ne!(Band::of(200_000, 4_000.0), Band::of(200_000, 1_500.0));
    /// ```
    pub fn of(prompt_tokens: u64, aim_ms: f64) -> Self {
        let doublings = (prompt_tokens.max(1) as f64).log2() - FIRST_LOG2;
        let length = (doublings * BANDS_PER_DOUBLING).clamp(0.0, LENGTH_MAX);
        Self {
            aim_ms: aim_ms as u32,
            length: length as u8,
        }
    }
}

/// What was asked for and sent in one band, as it fades from memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Count {
    asked: f64,
    sent: f64,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.sent += other.sent;
    }
}

/// The counts of some gateways together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    bands: BTreeMap<Band, Count>,
}

impl Counts {
    /// Adds what a peer told.
    pub fn add(&mut self, told: &[Told]) {
        for told in told {
            let count = Count {
                asked: f64::from(told.asked_hundredths) / HUNDREDTHS,
                sent: f64::from(told.sent_hundredths) / HUNDREDTHS,
            };
            self.bands.entry(told.band).or_default().add(count);
        }
    }

    /// How often prompts of a band are sent beside all others of their kind; 1 if as often.
    pub fn ratio(&self, band: Band) -> f64 {
        let mut kind = Count::default();
        let alike = self.bands.iter();
        for (_, count) in alike.filter(|(other, _)| other.aim_ms == band.aim_ms) {
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
pub struct Told {
    band: Band,
    asked_hundredths: u16,
    sent_hundredths: u16,
}

/// What one gateway has counted.
///
/// ```
/// use mgs_placing::lengths::Band;
/// use mgs_placing::lengths::Lengths;
///
/// let (shorter, longer) = (Band::of(150_000, 4_000.0), Band::of(400_000, 4_000.0));
/// let mut lengths = Lengths::default();
/// for _ in 0..4 {
///     lengths.asked(shorter, 0.0);
///     lengths.sent(shorter, 0.0);
///     lengths.asked(longer, 0.0);
/// }
/// let counts = lengths.counts(0.0);
/// assert!(counts.ratio(shorter) > 1.0);
/// assert!(counts.ratio(longer) < 0.5);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lengths {
    counts: Counts,
    at_ms: f64,
}

impl Lengths {
    /// A prompt of a band came.
    pub fn asked(&mut self, band: Band, now_ms: f64) {
        self.fade(now_ms);
        self.counts.bands.entry(band).or_default().asked += 1.0;
    }

    /// A prompt of a band was sent.
    pub fn sent(&mut self, band: Band, now_ms: f64) {
        self.fade(now_ms);
        self.counts.bands.entry(band).or_default().sent += 1.0;
    }

    /// The counts now.
    pub fn counts(&self, now_ms: f64) -> Counts {
        let mut faded = self.clone();
        faded.fade(now_ms);
        faded.counts
    }

    /// What peers are told.
    pub fn told(&self, now_ms: f64) -> Vec<Told> {
        let counts = self.counts(now_ms);
        let hundredths = |count: f64| (count * HUNDREDTHS).round() as u16;
        let told = counts.bands.iter().map(|(band, count)| Told {
            band: *band,
            asked_hundredths: hundredths(count.asked),
            sent_hundredths: hundredths(count.sent),
        });
        told.collect()
    }

    fn fade(&mut self, now_ms: f64) {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        let left = (-age_ms / MEMORY_MS).exp();
        for count in self.counts.bands.values_mut() {
            count.asked *= left;
            count.sent *= left;
        }
        self.counts.bands.retain(|_, count| count.asked > FORGOTTEN);
        self.at_ms = now_ms;
    }
}
