//! Measured rates of the engine, and predictions made from them.
//!
//! Sums of tokens (or steps) and time decay with each sample, so that their quotient is a weighted
//! mean of the latest samples. They are integers, so that the state can be compared and hashed.

/// The weight of a sample falls by 1 part in this many with each later sample.
const DECAY_DIVISOR: u64 = 8;

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

/// Initial rates.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Prefill rate in tokens per second, used until measured.
    pub prefill_tokens_per_s: u64,
    /// Time of one decoding step in microseconds, used until measured.
    pub decode_step_us: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 20_000,
            decode_step_us: 20_000,
        }
    }
}

/// Measured rates of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Rates {
    options: Options,
    prefill_tokens: u64,
    prefill_us: u64,
    decode_steps: u64,
    decode_us: u64,
}

impl Rates {
    /// Creates rates without a sample.
    ///
    /// ```
    /// use mgs_ledger::rate::Options;
    /// use mgs_ledger::rate::Rates;
    ///
    /// let mut rates = Rates::new(Options { prefill_tokens_per_s: 1_000, ..Options::default() });
    /// assert_eq!(rates.prefill_ms(500), 500);
    /// rates.record_prefill(4_000, 1_000);
    /// assert_eq!(rates.prefill_ms(500), 125);
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            options,
            prefill_tokens: 0,
            prefill_us: 0,
            decode_steps: 0,
            decode_us: 0,
        }
    }

    /// Records that the engine processed prompt tokens during `busy_ms`.
    pub fn record_prefill(&mut self, tokens: u64, busy_ms: u64) {
        self.prefill_tokens += tokens;
        self.prefill_us += busy_ms * US_PER_MS;
        self.prefill_tokens -= self.prefill_tokens / DECAY_DIVISOR;
        self.prefill_us -= self.prefill_us / DECAY_DIVISOR;
    }

    /// Records that a stream took `took_ms` for its decoding steps after the first token.
    pub fn record_decode(&mut self, steps: u64, took_ms: u64) {
        self.decode_steps += steps;
        self.decode_us += took_ms * US_PER_MS;
        self.decode_steps -= self.decode_steps / DECAY_DIVISOR;
        self.decode_us -= self.decode_us / DECAY_DIVISOR;
    }

    /// Prefill rate, in tokens per second.
    pub fn prefill_tokens_per_s(&self) -> f64 {
        if self.prefill_us == 0 || self.prefill_tokens == 0 {
            return self.options.prefill_tokens_per_s as f64;
        }
        self.prefill_tokens as f64 * US_PER_S as f64 / self.prefill_us as f64
    }

    /// Time of one decoding step, in milliseconds.
    pub fn decode_step_ms(&self) -> f64 {
        let step_us = match self.decode_steps {
            0 => self.options.decode_step_us as f64,
            steps => self.decode_us as f64 / steps as f64,
        };
        step_us / US_PER_MS as f64
    }

    /// Predicted time to process prompt tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> u64 {
        (tokens as f64 * 1_000.0 / self.prefill_tokens_per_s()) as u64
    }
}
