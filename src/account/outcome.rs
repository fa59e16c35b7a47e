//! How one request ended, and how much of its worth was lost.

use std::collections::HashMap;

use mgs_placing::need;

use crate::explain::summary::Cause;
use crate::explain::LogLine;
use crate::explain::RequestTrace;

/// Worth of a request regardless of its size, in units; the rest is proportional to its size relative to the mean of
/// its kind.
const MIN_UNITS: f64 = 0.3;

/// Classes of prompt length: exclusive upper bound in tokens, and label.
const LENGTH_CLASSES: [(u64, &str); 4] = [
    (1, "no prompt"),
    (16_000, "under 16k"),
    (100_000, "16k to 100k"),
    (u64::MAX, "over 100k"),
];

/// Cause of a request whose end no log line reports.
const UNFINISHED: &str = "open when its host ended";

/// Refusal details that are the client's fault: a wrong key or route, or a request that is malformed, too long or too
/// slow. Such requests aren't eligible.
const INELIGIBLE_DETAILS: [&str; 5] = [
    "no_route",
    "unknown_key",
    "malformed",
    "body_too_long",
    "body_too_slow",
];

/// Outcome of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Kind label: how the request may be repeated, its aim and its limit on pauses.
    pub kind: String,
    /// Label of its class of prompt length.
    pub length_label: &'static str,
    /// Availability zone of its gateway; empty if the logs don't contain the gateway's start.
    pub zone: String,
    /// Arrival time, in seconds after the first line.
    pub arrived_s: f64,
    /// Size of prompt and answer, in prompt tokens of equal cost; 0 without a prompt.
    pub size_tokens: f64,
    /// Prompt length, in tokens; 0 without a prompt.
    pub prompt_tokens: f64,
    /// Longest time to the first event or the answer that counts as on time, in milliseconds.
    pub aim_ms: f64,
    /// Timeout, in milliseconds; 0 if it isn't known.
    pub timeout_ms: f64,
    /// Whether an endpoint failed while it had the request: it ended, broke off the stream or returned an error.
    pub had_endpoint_fault: bool,
    /// Why the request ended as it did.
    pub cause: Cause,
    /// Worth, in units; 1 is the mean of its kind.
    pub units: f64,
    /// Part of `units` that was lost.
    pub lost_units: f64,
    /// Whether the request counts: it wasn't refused by its client's fault nor cancelled by the client.
    pub is_eligible: bool,
}

/// Class of a request's end, as in the columns of the printed tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndClass {
    /// Answered within its aim and its limit on pauses.
    OnTime,
    /// Answered completely, but late or with a pause over the limit.
    Late,
    /// Refused without having run.
    Refused,
    /// Anything else.
    Failed,
}

impl Outcome {
    /// Outcome of the request of `trace`; `None` if it has no lines. `kinds` are kind labels by route, `zones`
    /// availability zones by host. Worth and loss are set by [`assign_worth`].
    pub fn from_trace(
        trace: &RequestTrace,
        kinds: &HashMap<String, String>,
        zones: &HashMap<String, String>,
        start_ms: f64,
    ) -> Option<Self> {
        let unfinished = || Cause::Other(UNFINISHED.to_string());
        let mut cause = Cause::of(trace).unwrap_or_else(unfinished);
        let end_line = trace.last_with_text("request ended");
        let last_line = trace.lines.last()?;
        let largest = |name: &str| {
            trace
                .lines
                .iter()
                .map(|line| line.number(name))
                .fold(0.0, f64::max)
        };
        let prompt_tokens = largest("prompt_tokens");
        let expected_tokens = need::size_tokens(prompt_tokens, largest("expected_tokens"));
        if cause == Cause::Other("answered".to_string()) {
            cause = cause_of_answered(end_line?);
        }
        let mut reported_kinds = trace.lines.iter().map(kind_label);
        let kind = reported_kinds.find(|kind| !kind.is_empty());
        let kind = kind.or_else(|| kinds.get(&trace.route()).cloned());
        let arrived_ms = arrival_ms(trace, end_line.unwrap_or(last_line));
        Some(Self {
            kind: kind.unwrap_or_else(|| "unknown".to_string()),
            length_label: length_label(prompt_tokens as u64),
            zone: zones.get(&last_line.source).cloned().unwrap_or_default(),
            arrived_s: (arrived_ms - start_ms) / 1e3,
            size_tokens: largest("size_tokens").max(expected_tokens),
            prompt_tokens,
            aim_ms: largest("aim_ms"),
            timeout_ms: largest("timeout_ms"),
            had_endpoint_fault: trace.lines.iter().any(is_endpoint_fault),
            is_eligible: is_eligible(&cause, end_line),
            cause,
            units: 1.0,
            lost_units: 0.0,
        })
    }

    /// Expected length of the answer, in tokens.
    pub fn answer_tokens(&self) -> f64 {
        (self.size_tokens - self.prompt_tokens).max(0.0) / need::DECODE_COST_FACTOR
    }

    /// Class of the end, which determines the lost share.
    pub fn end_class(&self) -> EndClass {
        match &self.cause {
            Cause::OnTime => EndClass::OnTime,
            Cause::Other(end) if end.starts_with("refused") && !may_have_run(end) => {
                EndClass::Refused
            }
            Cause::Other(_) | Cause::ClientLeftDuringSilence => EndClass::Failed,
            _ => EndClass::Late,
        }
    }
}

/// Whether a line reports a failure of the request's endpoint.
fn is_endpoint_fault(line: &LogLine) -> bool {
    let ends = ["unknown", "endpoint_error"];
    let has_failed = line.text == "dispatch ended" && ends.contains(&line.field("end").as_str());
    has_failed || line.text == "stream broke off" || line.text == "run lost"
}

/// Whether a request that ended with this error may have run.
fn may_have_run(end: &str) -> bool {
    ["unknown", "timeout_running", "stopped"]
        .iter()
        .any(|fault| end.ends_with(fault))
}

/// Arrival time of a request by its host's clock, in milliseconds since midnight.
fn arrival_ms(trace: &RequestTrace, end_line: &LogLine) -> f64 {
    let first_line_ms = trace
        .lines
        .first()
        .map_or(end_line.time_of_day_ms, |line| line.time_of_day_ms);
    first_line_ms.min(end_line.time_of_day_ms - end_line.number("total_ms"))
}

/// Cause of an answered request that has no stream.
fn cause_of_answered(end_line: &LogLine) -> Cause {
    if end_line.number("status") >= 500.0 {
        return Cause::Other("failed at its endpoint".to_string());
    }
    let aim_ms = end_line.number("aim_ms");
    match aim_ms > 0.0 && end_line.number("total_ms") > aim_ms {
        true => Cause::LateAnswer,
        false => Cause::OnTime,
    }
}

fn is_eligible(cause: &Cause, end_line: Option<&LogLine>) -> bool {
    let detail = end_line
        .map(|line| line.field("detail"))
        .unwrap_or_default();
    let client_left = *cause == Cause::Other("client_left".to_string());
    !client_left && !INELIGIBLE_DETAILS.contains(&detail.as_str())
}

/// Label of a request's kind from one of its lines: how it may be repeated, its aim and its limit on pauses. Empty if
/// the line names no kind.
fn kind_label(line: &LogLine) -> String {
    let name = line.field("kind");
    let pause_ms = line.number("pause_limit_ms");
    match (name.is_empty(), pause_ms > 0.0) {
        (true, _) => name,
        (false, true) => format!("{name} {}/{pause_ms} ms", line.number("aim_ms")),
        (false, false) => format!("{name} {} ms", line.number("aim_ms")),
    }
}

/// Kind labels by route, for requests whose own lines name no kind.
pub fn kinds_by_route(lines: &[LogLine]) -> HashMap<String, String> {
    let labels = lines
        .iter()
        .map(|line| (line.field("route"), kind_label(line)));
    labels
        .filter(|(route, kind)| !route.is_empty() && !kind.is_empty())
        .collect()
}

/// Sets the worth and the loss of each request. The worth depends on the size relative to the mean of the kind.
pub fn assign_worth(outcomes: &mut [Outcome]) {
    let mut sizes: HashMap<String, (f64, f64)> = HashMap::new();
    for outcome in outcomes.iter() {
        let (sum, count) = sizes.entry(outcome.kind.clone()).or_default();
        *sum += outcome.size_tokens;
        *count += 1.0;
    }
    for outcome in outcomes {
        let (sum, count) = sizes[&outcome.kind];
        if sum > 0.0 {
            let relative = outcome.size_tokens * count / sum;
            outcome.units = MIN_UNITS + (1.0 - MIN_UNITS) * relative;
        }
        let lost_share = match outcome.end_class() {
            EndClass::OnTime => 0.0,
            EndClass::Late => need::LATE_LOSS_SHARE,
            EndClass::Refused | EndClass::Failed => 1.0,
        };
        outcome.lost_units = outcome.units * lost_share;
    }
}

fn length_label(prompt_tokens: u64) -> &'static str {
    let is_within = |(below, _): &&(u64, &'static str)| prompt_tokens < *below;
    LENGTH_CLASSES
        .iter()
        .find(is_within)
        .map_or("", |(_, label)| label)
}
