//! Why requests weren't on time, counted over all of them.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use super::Line;
use super::Story;

/// A first token that comes this much after its prediction is later than predicted, as a factor.
const LATE_FACTOR: f64 = 1.2;

/// Why a request ended as it did, as far as its lines tell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Its first event and all pauses were in time.
    OnTime,
    /// Its first event was late; it had waited for its turn among long prompts.
    WaitedForTurn,
    /// Its first event was late; it had waited for a place of an engine.
    WaitedForPlace,
    /// Its first event was late; an endpoint before had failed it.
    DispatchedAgain,
    /// Its first event was late, as predicted when it was placed.
    PredictedLate,
    /// Its first event was late by more than predicted: its engines had work that its host didn't know of.
    LaterThanPredicted,
    /// Its answer, which isn't a stream, came late.
    AnsweredLate,
    /// Its first event was in time and a pause between two later ones was too long.
    Pause,
    /// Its client left after a silence of the endpoint.
    LeftInSilence,
    /// It ended so.
    Ended(String),
}

impl Display for Cause {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            Self::OnTime => "on time",
            Self::WaitedForTurn => "first event late: waited for its turn",
            Self::WaitedForPlace => "first event late: waited for a place",
            Self::DispatchedAgain => "first event late: dispatched again",
            Self::PredictedLate => "first event late, as predicted",
            Self::LaterThanPredicted => "first event late, later than predicted",
            Self::AnsweredLate => "answered late",
            Self::Pause => "a pause too long",
            Self::LeftInSilence => "its client left while its endpoint wrote nothing",
            Self::Ended(how) => how,
        };
        f.write_str(text)
    }
}

impl Cause {
    /// The cause told by all lines of one request.
    pub fn of(story: &Story) -> Option<Self> {
        if let Some(ended) = story.last("stream ended") {
            return Some(Self::of_stream(story, ended));
        }
        let ended = story.last("request ended")?;
        let detail = ended.field("detail");
        let how = match detail.is_empty() {
            true => ended.field("outcome"),
            false => format!("{}: {detail}", ended.field("outcome")),
        };
        Some(Self::Ended(how))
    }

    fn of_stream(story: &Story, ended: &Line) -> Self {
        let outcome = ended.field("outcome");
        if outcome == "client_left" && ended.number("silent_ms") > ended.number("pause_limit_ms") {
            return Self::LeftInSilence;
        }
        if outcome != "answered" {
            return Self::Ended(outcome);
        }
        if ended.number("first_event_ms") > ended.number("aim_ms") {
            return Self::of_late_first(story);
        }
        match ended.number("longest_pause_ms") > ended.number("pause_limit_ms") {
            true => Self::Pause,
            false => Self::OnTime,
        }
    }

    fn of_late_first(story: &Story) -> Self {
        if story.last("waits for its turn").is_some() {
            return Self::WaitedForTurn;
        }
        if story.last("waits for a place").is_some() {
            return Self::WaitedForPlace;
        }
        let dispatches = story.all("dispatch ended");
        if dispatches.len() > 1 {
            return Self::DispatchedAgain;
        }
        let is_worse = |dispatch: &&Line| {
            dispatch.number("took_ms") > dispatch.number("predicted_ms") * LATE_FACTOR
        };
        match dispatches.first().is_some_and(is_worse) {
            true => Self::LaterThanPredicted,
            false => Self::PredictedLate,
        }
    }
}

/// Counts by route and cause.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    counts: BTreeMap<String, BTreeMap<Cause, u64>>,
}

impl Summary {
    /// Counts the requests that some lines tell of.
    ///
    /// ```
    /// use marigoldstage::explain::summary::Summary;
    /// use marigoldstage::explain::Line;
    ///
    /// let text = r#"{"timestamp":"2026-05-30 03:20:24.5 +00:00","text":"request ended","kv":{"request_id":"a","outcome":"refused","detail":"full"}}"#;
    /// let summary = Summary::of(vec![Line::of_any(text, "gateway.log").unwrap()]);
    /// assert!(summary.to_string().contains("refused: full"));
    /// ```
    pub fn of(lines: Vec<Line>) -> Self {
        let mut summary = Self::default();
        for story in Story::all_of(lines) {
            summary.count(&story);
        }
        summary
    }

    fn count(&mut self, story: &Story) {
        let Some(cause) = Cause::of(story) else {
            return;
        };
        let of_route = self.counts.entry(story.route()).or_default();
        *of_route.entry(cause).or_default() += 1;
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (route, causes) in &self.counts {
            let all: u64 = causes.values().sum();
            writeln!(f, "{route}: {all} requests")?;
            for (cause, count) in causes {
                let percent = *count as f64 * 100.0 / all as f64;
                writeln!(f, "{count:>8} {percent:>5.1}%  {cause}")?;
            }
        }
        Ok(())
    }
}
