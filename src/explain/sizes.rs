//! Compares how often large and small requests of a route are answered.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use super::summary::Cause;
use super::LogLine;
use super::RequestTrace;

/// Bands of a route's requests in ascending order of size.
const SIZE_BANDS: [SizeBand; 3] = [
    SizeBand {
        name: "below the largest three tenths",
        from_share: 0.0,
        to_share: 0.7,
    },
    SizeBand {
        name: "the fifth below the largest tenth",
        from_share: 0.7,
        to_share: 0.9,
    },
    SizeBand {
        name: "the largest tenth",
        from_share: 0.9,
        to_share: 1.0,
    },
];

/// A range of quantiles of the requests of a route by size.
#[derive(Debug)]
struct SizeBand {
    name: &'static str,
    from_share: f64,
    to_share: f64,
}

impl SizeBand {
    /// The requests of this band; `sorted` is in ascending order of size.
    fn slice<'a>(&self, sorted: &'a [EndedRequest]) -> &'a [EndedRequest] {
        let index_at = |share: f64| (sorted.len() as f64 * share) as usize;
        &sorted[index_at(self.from_share)..index_at(self.to_share)]
    }
}

/// A prompt whose end is in the logs.
#[derive(Debug, Clone, PartialEq)]
struct EndedRequest {
    size_tokens: u64,
    is_answered: bool,
    cause: Cause,
}

/// The prompts of each route, in ascending order of size.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SizeReport {
    routes: BTreeMap<String, Vec<EndedRequest>>,
}

impl SizeReport {
    /// Collects and sorts the prompts that the lines mention.
    ///
    /// ```
    /// use marigoldstage::explain::sizes::SizeReport;
    /// use marigoldstage::explain::LogLine;
    ///
    /// let text = r#"{"timestamp":"2026-05-30 03:20:24.5 +00:00","text":"request ended","kv":{"request_id":"a","route":"audit","size_tokens":5000,"prompt_tokens":4000,"outcome":"refused","detail":"full"}}"#;
    /// let report = SizeReport::from_lines(vec![LogLine::parse_request_line(text, "gateway.log").unwrap()]);
    /// assert!(report.to_string().contains("audit: 1 prompts"));
    /// ```
    pub fn from_lines(lines: Vec<LogLine>) -> Self {
        let mut report = Self::default();
        for trace in RequestTrace::group_by_request(lines) {
            report.add(&trace);
        }
        for ended in report.routes.values_mut() {
            ended.sort_by(|a, b| (a.size_tokens, &a.cause).cmp(&(b.size_tokens, &b.cause)));
        }
        report
    }

    fn add(&mut self, trace: &RequestTrace) {
        let size = |line: &LogLine| line.number("size_tokens") as u64;
        let largest_tokens = trace.lines.iter().map(size).max().unwrap_or(0);
        let has_prompt = trace.lines.iter().any(|l| l.number("prompt_tokens") > 0.0);
        let Some(cause) = Cause::of(trace).filter(|_| has_prompt) else {
            return;
        };
        let outcome = trace
            .last_with_text("stream ended")
            .map(|line| line.field("outcome"));
        let ended = EndedRequest {
            size_tokens: largest_tokens,
            is_answered: outcome.is_some_and(|outcome| outcome == "answered"),
            cause,
        };
        self.routes.entry(trace.route()).or_default().push(ended);
    }
}

/// Share of the requests that were answered.
fn answered_share(ended: &[EndedRequest]) -> f64 {
    let answered = ended.iter().filter(|ended| ended.is_answered).count();
    answered as f64 / ended.len().max(1) as f64
}

impl Display for SizeReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (route, ended) in &self.routes {
            let overall_share = answered_share(ended);
            writeln!(
                f,
                "{route}: {} prompts, {overall_share:.2} answered",
                ended.len()
            )?;
            for band in &SIZE_BANDS {
                write_band(f, band, band.slice(ended), overall_share)?;
            }
        }
        Ok(())
    }
}

fn write_band(
    f: &mut Formatter<'_>,
    band: &SizeBand,
    ended: &[EndedRequest],
    overall_share: f64,
) -> std::fmt::Result {
    let (Some(smallest), Some(largest)) = (ended.first(), ended.last()) else {
        return Ok(());
    };
    let answered = answered_share(ended);
    writeln!(
        f,
        "{:>8} {}: {} to {} read tokens, {answered:.2} answered, {:.2} of all",
        ended.len(),
        band.name,
        smallest.size_tokens,
        largest.size_tokens,
        answered / overall_share.max(f64::MIN_POSITIVE),
    )?;
    let mut causes: BTreeMap<&Cause, u64> = BTreeMap::new();
    for ended in ended.iter().filter(|ended| !ended.is_answered) {
        *causes.entry(&ended.cause).or_default() += 1;
    }
    for (cause, count) in causes {
        writeln!(f, "{count:>16} {cause}")?;
    }
    Ok(())
}
