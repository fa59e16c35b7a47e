//! Counts the causes of all requests, by route.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use super::LogLine;
use super::RequestTrace;

/// Ratio of actual to predicted time to first token above which it counts as later than predicted.
const LATER_THAN_PREDICTED_FACTOR: f64 = 1.2;

/// Outcome of a response that was cut off because its client read too slowly.
const CLIENT_TOO_SLOW: &str = "client_too_slow";

/// Why a request ended as it did, as far as its log lines show. Its text is a cell of the exported CSV file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Its first event was on time, and no pause exceeded the limit.
    OnTime,
    /// Its first event was late; it had waited in the queue of long prompts.
    WaitedForTurn,
    /// Its first event was late; it had waited for a free slot of an engine.
    WaitedForPlace,
    /// Its first event was late; an earlier dispatch of it had failed.
    Redispatched,
    /// Its first event was late, as predicted when it was placed.
    PredictedLate,
    /// Its first event was later than predicted: its engines had work that its host didn't know of.
    LaterThanPredicted,
    /// Its answer, which isn't streamed, was late.
    LateAnswer,
    /// Its first event was on time, but a later pause between two events exceeded the limit.
    LongPause,
    /// Its client disconnected after the endpoint had been silent for longer than the pause limit.
    ClientLeftDuringSilence,
    /// Any other end: the outcome and its detail.
    Other(String),
}

impl Display for Cause {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            Self::OnTime => "on time",
            Self::WaitedForTurn => "first event late: waited for its turn",
            Self::WaitedForPlace => "first event late: waited for a place",
            Self::Redispatched => "first event late: dispatched again",
            Self::PredictedLate => "first event late, as predicted",
            Self::LaterThanPredicted => "first event late, later than predicted",
            Self::LateAnswer => "answered late",
            Self::LongPause => "a pause too long",
            Self::ClientLeftDuringSilence => "its client left while its endpoint wrote nothing",
            Self::Other(end) => end,
        };
        f.write_str(text)
    }
}

impl Cause {
    /// Determines the cause from all lines of one request; `None` if none of them reports its end.
    pub fn of(trace: &RequestTrace) -> Option<Self> {
        if let Some(ended) = trace.last_with_text("stream ended") {
            return Some(Self::of_ended_stream(trace, ended));
        }
        let ended = trace.last_with_text("request ended")?;
        if trace.last_with_text("a client reads too slowly").is_some() {
            return Some(Self::Other(CLIENT_TOO_SLOW.to_string()));
        }
        let detail = ended.field("detail");
        let end = match detail.is_empty() {
            true => ended.field("outcome"),
            false => format!("{}: {detail}", ended.field("outcome")),
        };
        Some(Self::Other(end))
    }

    fn of_ended_stream(trace: &RequestTrace, ended: &LogLine) -> Self {
        let outcome = ended.field("outcome");
        if outcome == "client_left" && ended.number("silent_ms") > ended.number("pause_limit_ms") {
            return Self::ClientLeftDuringSilence;
        }
        if outcome != "answered" {
            return Self::Other(outcome);
        }
        if ended.number("first_event_ms") > ended.number("aim_ms") {
            return Self::of_late_first_event(trace);
        }
        match ended.number("longest_pause_ms") > ended.number("pause_limit_ms") {
            true => Self::LongPause,
            false => Self::OnTime,
        }
    }

    fn of_late_first_event(trace: &RequestTrace) -> Self {
        if trace.last_with_text("waits for its turn").is_some() {
            return Self::WaitedForTurn;
        }
        if trace.last_with_text("waits for a place").is_some() {
            return Self::WaitedForPlace;
        }
        let dispatches = trace.all_with_text("dispatch ended");
        if dispatches.len() > 1 {
            return Self::Redispatched;
        }
        let is_later_than_predicted = |dispatch: &&LogLine| {
            dispatch.number("took_ms")
                > dispatch.number("predicted_ms") * LATER_THAN_PREDICTED_FACTOR
        };
        match dispatches.first().is_some_and(is_later_than_predicted) {
            true => Self::LaterThanPredicted,
            false => Self::PredictedLate,
        }
    }
}

/// Number of requests by route and cause.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    counts: BTreeMap<String, BTreeMap<Cause, u64>>,
}

impl Summary {
    /// Counts the requests that the lines mention.
    ///
    /// ```
    /// use marigoldstage::explain::summary::Summary;
    /// use marigoldstage::explain::LogLine;
    ///
    /// let text = r#"{"timestamp":"2026-05-30 03:20:24.5 +00:00","text":"request ended","kv":{"request_id":"a","outcome":"refused","detail":"full"}}"#;
    /// let summary = Summary::from_lines(vec![LogLine::parse_request_line(text, "gateway.log").unwrap()]);
    /// assert!(summary.to_string().contains("refused: full"));
    /// ```
    pub fn from_lines(lines: Vec<LogLine>) -> Self {
        let mut summary = Self::default();
        for trace in RequestTrace::group_by_request(lines) {
            summary.add(&trace);
        }
        summary
    }

    fn add(&mut self, trace: &RequestTrace) {
        let Some(cause) = Cause::of(trace) else {
            return;
        };
        let route_counts = self.counts.entry(trace.route()).or_default();
        *route_counts.entry(cause).or_default() += 1;
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (route, causes) in &self.counts {
            let total: u64 = causes.values().sum();
            writeln!(f, "{route}: {total} requests")?;
            for (cause, count) in causes {
                let percent = *count as f64 * 100.0 / total as f64;
                writeln!(f, "{count:>8} {percent:>5.1}%  {cause}")?;
            }
        }
        Ok(())
    }
}
