//! The story of one request, put together from the logs of several processes.

pub mod cause;
pub mod sizes;
pub mod summary;

use std::collections::HashMap;
use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

/// Name of the field that holds a request's identifier.
const REQUEST_ID: &str = "request_id";

/// Fields that are told with each line, in this order; others follow by name.
const FIRST_FIELDS: [&str; 6] = ["outcome", "detail", "status", "end", "why", "reason"];

/// A line of a log as it is written.
#[derive(Debug, Deserialize)]
struct Written {
    timestamp: String,
    #[serde(default)]
    text: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// One decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Milliseconds since midnight, by the clock of the host that wrote it.
    pub at_ms: f64,
    /// Where it was read: the host or the file.
    pub source: String,
    /// Which decision.
    pub text: String,
    /// What decided it, how old that was, and the outcome.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Understands a line if it tells of the request. What stands before the JSON, as a collector of logs puts
    /// the host there, is taken for the source, else `file`.
    ///
    /// ```
    /// use marigoldstage::explain::Line;
    ///
    /// let text = r#"front-1 {"timestamp":"2026-05-30 03:20:24.5 +00:00","text":"placed","kv":{"request_id":"a"}}"#;
    /// let line = Line::read(text, "a", "gateway.log").unwrap();
    /// assert_eq!(line.source, "front-1");
    /// assert_eq!(line.text, "placed");
    /// assert!(Line::read(text, "b", "gateway.log").is_none());
    /// ```
    pub fn read(text: &str, request_id: &str, file: &str) -> Option<Self> {
        if !text.contains(request_id) {
            return None;
        }
        Self::of_any(text, file).filter(|line| line.request_id() == request_id)
    }

    /// The same for a line of whichever request.
    pub fn of_any(text: &str, file: &str) -> Option<Self> {
        Self::of_log(text, file).filter(|line| line.fields.contains_key(REQUEST_ID))
    }

    /// The same for a line that may tell of no request.
    pub fn of_log(text: &str, file: &str) -> Option<Self> {
        let start = text.find('{')?;
        let written: Written = serde_json::from_str(&text[start..]).ok()?;
        let before = text[..start].split_whitespace().last();
        Some(Self {
            at_ms: of_day_ms(&written.timestamp)?,
            source: before.unwrap_or(file).to_string(),
            text: written.text,
            fields: written.kv,
        })
    }

    /// The request that it tells of.
    pub fn request_id(&self) -> String {
        self.field(REQUEST_ID)
    }

    /// A field as text; empty if it isn't there.
    pub fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// A field as a number; 0 if it isn't there.
    pub fn number(&self, name: &str) -> f64 {
        self.fields.get(name).and_then(Value::as_f64).unwrap_or(0.0)
    }
}

/// Milliseconds since midnight of `2026-05-30 03:20:24.000131 +00:00`.
fn of_day_ms(timestamp: &str) -> Option<f64> {
    let time = timestamp.split(' ').nth(1)?;
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(((hours * 60.0 + minutes) * 60.0 + seconds) * 1e3)
}

/// All that is known of a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Story {
    /// Its lines in order of time.
    pub lines: Vec<Line>,
}

impl Story {
    /// Puts lines in order.
    pub fn of(mut lines: Vec<Line>) -> Self {
        lines.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        Self { lines }
    }

    /// The stories of all requests that some lines tell of, in any order.
    pub fn all_of(lines: Vec<Line>) -> Vec<Self> {
        let mut by_request: HashMap<String, Vec<Line>> = HashMap::new();
        for line in lines {
            by_request.entry(line.request_id()).or_default().push(line);
        }
        by_request.into_values().map(Self::of).collect()
    }

    /// The last line of a kind.
    pub fn last(&self, text: &str) -> Option<&Line> {
        self.lines.iter().rev().find(|line| line.text == text)
    }

    /// The route that took the request; `-` if none did.
    pub fn route(&self) -> String {
        let told = self.lines.iter().map(|line| line.field("route"));
        let known = told.into_iter().find(|route| !route.is_empty());
        known.unwrap_or_else(|| "-".to_string())
    }

    /// All lines of a kind.
    pub fn all(&self, text: &str) -> Vec<&Line> {
        self.lines.iter().filter(|line| line.text == text).collect()
    }
}

impl Display for Story {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let start_ms = self.lines.first().map_or(0.0, |line| line.at_ms);
        for line in &self.lines {
            let after_ms = line.at_ms - start_ms;
            write!(f, "{after_ms:>9.1} ms  {}  {}:", line.source, line.text)?;
            for (name, value) in told(&line.fields) {
                write!(f, " {name}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// The fields to be told, the most telling first, without those that say nothing.
fn told(fields: &Map<String, Value>) -> Vec<(&str, String)> {
    let rank = |name: &str| FIRST_FIELDS.iter().position(|first| *first == name);
    let mut names: Vec<&str> = fields.keys().map(String::as_str).collect();
    names.retain(|name| *name != REQUEST_ID);
    names.sort_by_key(|name| (rank(name).unwrap_or(FIRST_FIELDS.len()), *name));
    let text = |name: &str| match &fields[name] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let all = names.into_iter().map(|name| (name, text(name)));
    all.filter(|(_, value)| !value.is_empty()).collect()
}
