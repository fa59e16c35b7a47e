//! What one prompt asks of the engines, and what it is worth to be on time.

/// Pauses between events that callers tolerate, by class, in milliseconds. A request belongs to the
/// widest class that doesn't exceed its own limit. Three classes, because the sheets of the
/// deployments have three: short questions, reviews and audits.
pub const PAUSE_CLASSES_MS: [f64; 3] = [250.0, 600.0, 1_000.0];

/// Number of classes of pauses.
pub const PAUSE_CLASSES: usize = PAUSE_CLASSES_MS.len();

/// Tokens of prompt and answer that count as one unit of worth: those of an average short question
/// (5,000 read, 1,680 written, a written one counted ten times).
const UNIT_TOKENS: f64 = 21_800.0;

/// A written token's share of a request's size, in read tokens.
const WRITTEN_FACTOR: f64 = 10.0;

/// Worth of an average request of each class in units, for the writers of whom only the class is known:
/// (45,000 + 10 x 1,000) and (154,000 + 10 x 820) over the unit.
pub const CLASS_UNITS: [f64; PAUSE_CLASSES] = [1.0, 2.5, 7.5];

/// One prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Longest pause between events for which the answer is on time, in milliseconds.
    pub pause_ms: f64,
    /// Time to the first token for which the answer is on time, from now, in milliseconds; 0 or less once
    /// it has passed.
    pub aim_ms: f64,
    /// Time until the request must have ended, from now, in milliseconds.
    pub left_ms: f64,
}

impl Need {
    /// Class of the pauses that it tolerates.
    pub fn pause_class(&self) -> usize {
        let fits = |limit_ms: &f64| *limit_ms <= self.pause_ms;
        PAUSE_CLASSES_MS.iter().rposition(fits).unwrap_or(0)
    }

    /// Memory that it takes, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// What its being on time counts beside other requests: its size, since operators declare no
    /// worth and callers who send more wait for more.
    pub fn units(&self) -> f64 {
        let tokens = self.prompt_tokens as f64 + WRITTEN_FACTOR * self.output_tokens as f64;
        tokens / UNIT_TOKENS
    }
}
