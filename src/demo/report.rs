//! What the demonstration counted: a table by prompt length and one JSON line.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::Delivery;
use super::client::Ended;
use super::load::Record;
use super::plan::Call;

const US_PER_MS: f64 = 1_000.0;
const MAX_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Upper bounds of the rows of the table, in prompt tokens.
const ROWS: [(u64, &str); 5] = [
    (4_000, "1k to 4k"),
    (16_000, "4k to 16k"),
    (64_000, "16k to 64k"),
    (256_000, "64k to 256k"),
    (u64::MAX, "256k to 1M"),
];

/// The last line of the demonstration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Requests that a gateway admitted.
    pub admitted: u64,
    /// Callers that got a whole answer.
    pub answered: u64,
    /// Requests that were refused, so not run.
    pub refused: u64,
    /// Callers told that their request ran without a whole answer.
    pub failed: u64,
    /// Callers told that their request may have run.
    pub unknown: u64,
    /// Requests that were sent and got no outcome.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: u64,
}

impl Summary {
    /// Counts the ends that callers saw.
    pub fn of(records: &[Record]) -> Self {
        let mut summary = Self::default();
        for record in records {
            match &record.outcome.ended {
                Ended::Answered { .. } => summary.answered += 1,
                Ended::Refused(_) => summary.refused += 1,
                Ended::Failed(_) => summary.failed += 1,
                Ended::Unknown(_) => summary.unknown += 1,
                Ended::Lost(_) => summary.lost += 1,
            }
        }
        summary
    }

    /// Whether nothing was lost and nothing non-idempotent ran twice.
    pub fn is_good(&self) -> bool {
        self.lost == 0 && self.ran_twice == 0
    }
}

/// Prints time to first token by prompt length.
pub fn print_first_tokens(records: &[Record], out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "time to first token of streamed answers, in ms, by prompt length in tokens"
    )?;
    writeln!(
        out,
        "{:<14}{:>8}{:>10}{:>10}{:>10}",
        "prompt", "count", "p50", "p90", "max"
    )?;
    let mut least = 0;
    for (bound, name) in ROWS {
        let histogram = first_tokens(records, least, bound);
        least = bound;
        let at = |quantile| ms(histogram.value_at_quantile(quantile));
        let (p50, p90, max) = (at(0.5), at(0.9), ms(histogram.max()));
        let count = histogram.len();
        writeln!(out, "{name:<14}{count:>8}{p50:>10.1}{p90:>10.1}{max:>10.1}")?;
    }
    Ok(())
}

/// Prints how much slower short prompts are answered beside the mix than alone.
pub fn print_slowdown(alone: &[Record], mixed: &[Record], out: &mut dyn Write) -> io::Result<()> {
    let (bound, name) = ROWS[0];
    let alone = first_tokens(alone, 0, bound);
    let mixed = first_tokens(mixed, 0, bound);
    if alone.is_empty() || mixed.is_empty() {
        return Ok(());
    }
    let p50_p90 = |histogram: &Histogram<u64>| {
        let at = |quantile| ms(histogram.value_at_quantile(quantile));
        (at(0.5), at(0.9))
    };
    let (alone, mixed) = (p50_p90(&alone), p50_p90(&mixed));
    writeln!(
        out,
        "prompts of {name} alone: p50 {:.1} ms, p90 {:.1} ms; beside the mix: {:.1} and {:.1} times that",
        alone.0,
        alone.1,
        mixed.0 / alone.0,
        mixed.1 / alone.1
    )
}

fn first_tokens(records: &[Record], least: u64, bound: u64) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS)
        .expect("BUG: the bounds are ones that the library takes");
    for record in records {
        let Call::Completion {
            prompt_tokens,
            delivery: Delivery::Streamed,
            ..
        } = record.planned.call
        else {
            continue;
        };
        let Ended::Answered { first_token_ms, .. } = record.outcome.ended else {
            continue;
        };
        if least < prompt_tokens && prompt_tokens <= bound {
            histogram.saturating_record((first_token_ms * US_PER_MS) as u64);
        }
    }
    histogram
}

fn ms(us: u64) -> f64 {
    us as f64 / US_PER_MS
}

/// Prints how many requests ended otherwise than answered, by reason.
pub fn print_reasons(records: &[Record], out: &mut dyn Write) -> io::Result<()> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for record in records {
        let name = match &record.outcome.ended {
            Ended::Answered { .. } => continue,
            Ended::Refused(reason) => format!("refused, {reason}"),
            Ended::Failed(reason) => format!("failed, {reason}"),
            Ended::Unknown(reason) => format!("unknown, {reason}"),
            Ended::Lost(what) => format!("lost, {what}"),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
        .iter()
        .try_for_each(|(name, count)| writeln!(out, "{count:>6} {name}"))
}
