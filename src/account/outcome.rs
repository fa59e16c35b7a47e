//! What became of one request, and how much of its worth was lost.

use std::collections::HashMap;

use mgs_placing::need;

use crate::explain::summary::Cause;
use crate::explain::Line;
use crate::explain::Story;

/// What a prompt is worth whatever its size, in units; the rest goes by its size beside the mean of its kind.
const UNITS_LEAST: f64 = 0.3;

/// Lengths by which prompts are told apart, in tokens, with their labels.
const LENGTHS: [(u64, &str); 4] = [
    (1, "no prompt"),
    (16_000, "under 16k"),
    (100_000, "16k to 100k"),
    (u64::MAX, "over 100k"),
];

/// How a request ended of which the logs tell no end.
const CUT: &str = "open when its host ended";

/// Ends of requests that were never to be served: the client's key or route was wrong, or what it sent was.
const NOT_OWED: [&str; 5] = [
    "no_route",
    "unknown_key",
    "malformed",
    "body_too_long",
    "body_too_slow",
];

/// One request.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// What was asked for: how it may be repeated, its aim and its limit on pauses.
    pub kind: String,
    /// Label of its prompt's length.
    pub length: &'static str,
    /// Availability zone of its gateway; empty if its start isn't in the logs.
    pub zone: String,
    /// When it came, in seconds after the first line.
    pub at_s: f64,
    /// Size in read tokens; 0 without a prompt.
    pub size_tokens: f64,
    /// Tokens of its prompt; 0 without one.
    pub prompt_tokens: f64,
    /// Time to its first event or its answer that is on time, in milliseconds.
    pub aim_ms: f64,
    /// Time that it had, in milliseconds; 0 if that isn't known.
    pub timeout_ms: f64,
    /// Whether an endpoint failed it: ended, broke off, or answered with a failure of its own.
    pub met_fault: bool,
    /// Why it ended as it did.
    pub cause: Cause,
    /// What it was worth: 1 for the mean of its kind.
    pub units: f64,
    /// How much of that was lost.
    pub lost_units: f64,
    /// Whether it was to be served.
    pub is_owed: bool,
}

/// How a request ended, in the words of a table's columns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// Within its aim and its limit on pauses.
    OnTime,
    /// Whole, but late.
    Late,
    /// Refused: it hasn't run.
    Refused,
    /// Anything else.
    Failed,
}

impl Outcome {
    /// What some lines of one request tell of it; `None` if there are none.
    pub fn of(
        story: &Story,
        kinds: &HashMap<String, String>,
        zones: &HashMap<String, String>,
        start_ms: f64,
    ) -> Option<Self> {
        let cut = || Cause::Ended(CUT.to_string());
        let mut cause = Cause::of(story).unwrap_or_else(cut);
        let ended = story.last("request ended");
        let last = story.lines.last()?;
        let told = |name: &str| {
            story
                .lines
                .iter()
                .map(|line| line.number(name))
                .fold(0.0, f64::max)
        };
        let prompt_tokens = told("prompt_tokens");
        let expected_tokens = need::size_tokens(prompt_tokens, told("expected_tokens"));
        if cause == Cause::Ended("answered".to_string()) {
            cause = plain_cause(ended?);
        }
        let mut kinds_told = story.lines.iter().map(kind_of);
        let kind = kinds_told.find(|kind| !kind.is_empty());
        let kind = kind.or_else(|| kinds.get(&story.route()).cloned());
        let arrived_ms = arrival_ms(story, ended.unwrap_or(last));
        Some(Self {
            kind: kind.unwrap_or_else(|| "unknown".to_string()),
            length: label(prompt_tokens as u64),
            zone: zones.get(&last.source).cloned().unwrap_or_default(),
            at_s: (arrived_ms - start_ms) / 1e3,
            size_tokens: told("size_tokens").max(expected_tokens),
            prompt_tokens,
            aim_ms: told("aim_ms"),
            timeout_ms: told("timeout_ms"),
            met_fault: story.lines.iter().any(is_fault),
            is_owed: is_owed(&cause, ended),
            cause,
            units: 1.0,
            lost_units: 0.0,
        })
    }

    /// Tokens that its answer was expected to have.
    pub fn answer_tokens(&self) -> f64 {
        (self.size_tokens - self.prompt_tokens).max(0.0) / need::DECODE_COST_FACTOR
    }

    /// How it ended, in a word.
    pub fn end(&self) -> End {
        match &self.cause {
            Cause::OnTime => End::OnTime,
            Cause::Ended(how) if how.starts_with("refused") && !may_have_run(how) => End::Refused,
            Cause::Ended(_) | Cause::LeftInSilence => End::Failed,
            _ => End::Late,
        }
    }
}

/// Whether an endpoint failed the request of a line.
fn is_fault(line: &Line) -> bool {
    let ends = ["unknown", "endpoint_error"];
    let has_failed = line.text == "dispatch ended" && ends.contains(&line.field("end").as_str());
    has_failed || line.text == "stream broke off" || line.text == "run lost"
}

/// Whether a request that was answered by a failure may have run.
fn may_have_run(how: &str) -> bool {
    ["unknown", "timeout_running"]
        .iter()
        .any(|fault| how.ends_with(fault))
}

/// When a request came, on the clock of its host.
fn arrival_ms(story: &Story, ended: &Line) -> f64 {
    let first = story.lines.first().map_or(ended.at_ms, |line| line.at_ms);
    first.min(ended.at_ms - ended.number("total_ms"))
}

/// Of a call that was answered whole, whether that was in time.
fn plain_cause(ended: &Line) -> Cause {
    if ended.number("status") >= 500.0 {
        return Cause::Ended("failed at its endpoint".to_string());
    }
    let aim_ms = ended.number("aim_ms");
    match aim_ms > 0.0 && ended.number("total_ms") > aim_ms {
        true => Cause::AnsweredLate,
        false => Cause::OnTime,
    }
}

fn is_owed(cause: &Cause, ended: Option<&Line>) -> bool {
    let detail = ended.map(|line| line.field("detail")).unwrap_or_default();
    let has_left = *cause == Cause::Ended("client_left".to_string());
    !has_left && !NOT_OWED.contains(&detail.as_str())
}

/// A request's kind by the line of its end: how it may be repeated, its aim and its limit on pauses.
fn kind_of(line: &Line) -> String {
    let name = line.field("kind");
    let pause_ms = line.number("pause_limit_ms");
    match (name.is_empty(), pause_ms > 0.0) {
        (true, _) => name,
        (false, true) => format!("{name} {}/{pause_ms} ms", line.number("aim_ms")),
        (false, false) => format!("{name} {} ms", line.number("aim_ms")),
    }
}

/// Kinds by route, for requests whose own lines don't tell theirs.
pub fn kinds_by_route(lines: &[Line]) -> HashMap<String, String> {
    let told = lines
        .iter()
        .map(|line| (line.field("route"), kind_of(line)));
    told.filter(|(route, kind)| !route.is_empty() && !kind.is_empty())
        .collect()
}

/// Sets what each request was worth and what of that was lost: prompts by their size beside the mean of their kind.
pub fn weigh(outcomes: &mut [Outcome]) {
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
            outcome.units = UNITS_LEAST + (1.0 - UNITS_LEAST) * relative;
        }
        let lost_share = match outcome.end() {
            End::OnTime => 0.0,
            End::Late => need::LATE_LOSS_SHARE,
            End::Refused | End::Failed => 1.0,
        };
        outcome.lost_units = outcome.units * lost_share;
    }
}

fn label(prompt_tokens: u64) -> &'static str {
    let fits = |(below, _): &&(u64, &'static str)| prompt_tokens < *below;
    LENGTHS.iter().find(fits).map_or("", |(_, label)| label)
}
