//! Results of the demonstration: latencies by prompt length, failure reasons and the summary.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::Delivery;
use super::client::EndState;
use super::load::Record;
use super::plan::Call;

const US_PER_MS: f64 = 1_000.0;
const MAX_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Rows of the latency table: inclusive upper bound in prompt tokens, and label.
const LENGTH_ROWS: [(u64, &str); 5] = [
    (4_000, "1k to 4k"),
    (16_000, "4k to 16k"),
    (64_000, "16k to 64k"),
    (256_000, "64k to 256k"),
    (u64::MAX, "256k to 1M"),
];

/// Counts of all requests, printed as JSON in the last line of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Requests that gateways admitted; one that was sent to two gateways may count at both.
    pub admitted: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests that were refused without having run.
    pub refused: u64,
    /// Requests that ran, at least in part, without a complete answer.
    pub failed: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without an outcome.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: u64,
}

impl Summary {
    /// Counts the outcomes that callers saw.
    pub fn of(records: &[Record]) -> Self {
        let mut summary = Self::default();
        for record in records {
            match &record.outcome.end_state {
                EndState::Answered { .. } => summary.answered += 1,
                EndState::Refused(_) => summary.refused += 1,
                EndState::Failed(_) => summary.failed += 1,
                EndState::Unknown(_) => summary.unknown += 1,
                EndState::Lost(_) => summary.lost += 1,
            }
        }
        summary
    }

    /// Whether no request was lost and no non-idempotent one ran twice.
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.ran_twice == 0
    }
}

/// Prints the time to first token by prompt length.
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
    let mut lower = 0;
    for (upper, label) in LENGTH_ROWS {
        let histogram = first_token_histogram(records, lower, upper);
        lower = upper;
        let at = |quantile| us_to_ms(histogram.value_at_quantile(quantile));
        let (p50, p90, max) = (at(0.5), at(0.9), us_to_ms(histogram.max()));
        let count = histogram.len();
        writeln!(
            out,
            "{label:<14}{count:>8}{p50:>10.1}{p90:>10.1}{max:>10.1}"
        )?;
    }
    Ok(())
}

/// Prints the time to first token of short prompts on an idle fleet and its increase under the mixed load.
pub fn print_slowdown(
    baseline: &[Record],
    mixed: &[Record],
    out: &mut dyn Write,
) -> io::Result<()> {
    let (upper, label) = LENGTH_ROWS[0];
    let baseline = first_token_histogram(baseline, 0, upper);
    let mixed = first_token_histogram(mixed, 0, upper);
    if baseline.is_empty() || mixed.is_empty() {
        return Ok(());
    }
    let p50_p90 = |histogram: &Histogram<u64>| {
        let at = |quantile| us_to_ms(histogram.value_at_quantile(quantile));
        (at(0.5), at(0.9))
    };
    let (baseline, mixed) = (p50_p90(&baseline), p50_p90(&mixed));
    writeln!(
        out,
        "prompts of {label} on an idle fleet: p50 {:.1} ms, p90 {:.1} ms; under the mixed load: {:.1} and {:.1} times that",
        baseline.0,
        baseline.1,
        mixed.0 / baseline.0,
        mixed.1 / baseline.1
    )
}

fn first_token_histogram(records: &[Record], lower: u64, upper: u64) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS)
        .expect("BUG: the histogram rejects its bounds");
    for record in records {
        let Call::Completion {
            prompt_tokens,
            delivery: Delivery::Streamed,
            ..
        } = record.planned.call
        else {
            continue;
        };
        let EndState::Answered { first_token_ms, .. } = record.outcome.end_state else {
            continue;
        };
        if lower < prompt_tokens && prompt_tokens <= upper {
            histogram.saturating_record((first_token_ms * US_PER_MS) as u64);
        }
    }
    histogram
}

fn us_to_ms(us: u64) -> f64 {
    us as f64 / US_PER_MS
}

/// Prints the number of requests without an answer, by reason.
pub fn print_reasons(records: &[Record], out: &mut dyn Write) -> io::Result<()> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for record in records {
        let label = match &record.outcome.end_state {
            EndState::Answered { .. } => continue,
            EndState::Refused(reason) => format!("refused, {reason}"),
            EndState::Failed(reason) => format!("failed, {reason}"),
            EndState::Unknown(reason) => format!("unknown, {reason}"),
            EndState::Lost(description) => format!("lost, {description}"),
        };
        *counts.entry(label).or_default() += 1;
    }
    counts
        .iter()
        .try_for_each(|(label, count)| writeln!(out, "{count:>6} {label}"))
}
