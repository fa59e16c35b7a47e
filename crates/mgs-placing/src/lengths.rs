//! How often long prompts of each length are sent, so that none of them is passed over for good.
//!
//! The load that this answers: audits ask for more reading than all engines have, and some must be refused. By
//! reading for worth these are always the longest, since reading grows with the square of the length and worth with
//! its first power: 0.48 of the fifth below the largest tenth and 0.18 of the largest tenth were answered, of all
//! 0.80 (emulator, 8 plays). So all gateways count what is asked of them and what they send, by length, and a length
//! that is sent less often than the others goes before them.

use serde::Deserialize;
use serde::Serialize;

/// Lengths are told apart by factors of the square root of two, from 4,096 tokens on.
const BANDS: usize = 20;

/// Logarithm to the base of two of the length at which the bands begin.
const FIRST_LOG2: f64 = 12.0;

/// Bands for each doubling of the length.
const BANDS_PER_DOUBLING: f64 = 2.0;

/// How long a prompt counts, in milliseconds: two swings of a load, which last ten seconds.
const MEMORY_MS: f64 = 20_000.0;

/// Counts are told in hundredths.
const HUNDREDTHS: f32 = 100.0;

/// Prompts of any length that count besides in each band, so that a single one doesn't tell much.
const PRIOR: f32 = 1.0;

/// A band of lengths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Band(usize);

impl Band {
    /// The band of a prompt.
    ///
    /// ```
    /// use mgs_placing::lengths::Band;
    ///
    /// assert_eq!(Band::of(200_000), Band::of(210_000));
    /// assert_ne!(Band::of(200_000), Band::of(300_000));
    /// ```
    pub fn of(prompt_tokens: u64) -> Self {
        let doublings = (prompt_tokens.max(1) as f64).log2() - FIRST_LOG2;
        let band = (doublings * BANDS_PER_DOUBLING).max(0.0) as usize;
        Self(band.min(BANDS - 1))
    }
}

/// What was asked for and sent in one band, as it fades from memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Count {
    asked: f32,
    sent: f32,
}

/// The counts of some gateways together.
#[derive(Debug, Clone, PartialEq)]
pub struct Counts {
    bands: [Count; BANDS],
}

impl Counts {
    /// Nothing counted.
    const NOTHING: Self = Self {
        bands: [Count {
            asked: 0.0,
            sent: 0.0,
        }; BANDS],
    };

    /// Adds what a peer told.
    pub fn add(&mut self, told: &[Told]) {
        for told in told {
            if let Some(count) = self.bands.get_mut(usize::from(told.band)) {
                count.asked += f32::from(told.asked_hundredths) / HUNDREDTHS;
                count.sent += f32::from(told.sent_hundredths) / HUNDREDTHS;
            }
        }
    }

    /// How often prompts of a band are sent beside all others; 1 if as often.
    pub fn ratio(&self, band: Band) -> f64 {
        let asked: f32 = self.bands.iter().map(|count| count.asked).sum();
        let sent: f32 = self.bands.iter().map(|count| count.sent).sum();
        if asked <= 0.0 || sent <= 0.0 {
            return 1.0;
        }
        let all = sent / asked;
        let own = self.bands[band.0];
        let share = (own.sent + PRIOR * all) / (own.asked + PRIOR);
        f64::from(share / all)
    }
}

/// A band's count as gateways tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    band: u8,
    asked_hundredths: u16,
    sent_hundredths: u16,
}

/// What one gateway has counted.
///
/// ```
/// use mgs_placing::lengths::Band;
/// use mgs_placing::lengths::Lengths;
///
/// let mut lengths = Lengths::default();
/// for _ in 0..4 {
///     lengths.asked(Band::of(150_000), 0.0);
///     lengths.sent(Band::of(150_000), 0.0);
///     lengths.asked(Band::of(400_000), 0.0);
/// }
/// let counts = lengths.counts(0.0);
/// assert!(counts.ratio(Band::of(150_000)) > 1.0);
/// assert!(counts.ratio(Band::of(400_000)) < 0.5);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Lengths {
    counts: Counts,
    at_ms: f64,
}

impl Default for Lengths {
    fn default() -> Self {
        Self {
            counts: Counts::NOTHING,
            at_ms: 0.0,
        }
    }
}

impl Lengths {
    /// A prompt of a band came.
    pub fn asked(&mut self, band: Band, now_ms: f64) {
        self.fade(now_ms);
        self.counts.bands[band.0].asked += 1.0;
    }

    /// A prompt of a band was sent.
    pub fn sent(&mut self, band: Band, now_ms: f64) {
        self.fade(now_ms);
        self.counts.bands[band.0].sent += 1.0;
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
        let hundredths = |count: f32| (count * HUNDREDTHS).round() as u16;
        let told = counts.bands.iter().enumerate().map(|(band, count)| Told {
            band: band as u8,
            asked_hundredths: hundredths(count.asked),
            sent_hundredths: hundredths(count.sent),
        });
        told.filter(|told| told.asked_hundredths > 0).collect()
    }

    fn fade(&mut self, now_ms: f64) {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        let left = (-age_ms / MEMORY_MS).exp() as f32;
        for count in &mut self.counts.bands {
            count.asked *= left;
            count.sent *= left;
        }
        self.at_ms = now_ms;
    }
}
