//! Reconstructs the course of a request from the logs of several processes.

pub mod explanation;
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

/// Fields that are printed first, in this order; others follow by name.
const LEADING_FIELDS: [&str; 6] = ["outcome", "detail", "status", "end", "why", "reason"];

/// The JSON of a log line.
#[derive(Debug, Deserialize)]
struct JsonLine {
    timestamp: String,
    #[serde(default)]
    text: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// A parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Milliseconds since midnight, by the clock of the host that wrote it.
    pub time_of_day_ms: f64,
    /// Host that wrote it, or the file that it was read from.
    pub source: String,
    /// Message text, which identifies the kind of event.
    pub text: String,
    /// Structured fields of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` if it isn't about the request. The last word before the JSON, where log collectors put
    /// the host, becomes the source; without one, `file` does.
    ///
    /// ```
    /// use marigoldstage::explain::LogLine;
    ///
    /// let text = r#"front-1 {"timestamp":"2026-05-30 03:20:24.5 +00:00","text":"placed","kv":{"request_id":"a"}}"#;
    /// let line = LogLine::parse_for_request(text, "a", "gateway.log").unwrap();
    /// assert_eq!(line.source, "front-1");
    /// assert_eq!(line.text, "placed");
    /// assert!(LogLine::parse_for_request(text, "b", "gateway.log").is_none());
    /// ```
    pub fn parse_for_request(text: &str, request_id: &str, file: &str) -> Option<Self> {
        if !text.contains(request_id) {
            return None;
        }
        Self::parse_request_line(text, file).filter(|line| line.request_id() == request_id)
    }

    /// Parses a line as [`LogLine::parse_for_request`] does; `None` if it names no request.
    pub fn parse_request_line(text: &str, file: &str) -> Option<Self> {
        Self::parse(text, file).filter(|line| line.fields.contains_key(REQUEST_ID))
    }

    /// Parses a line as [`LogLine::parse_for_request`] does, whether it names a request or not; `None` if it is no
    /// log line.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let json_start = text.find('{')?;
        let json: JsonLine = serde_json::from_str(&text[json_start..]).ok()?;
        let prefix = text[..json_start].split_whitespace().last();
        Some(Self {
            time_of_day_ms: parse_time_of_day_ms(&json.timestamp)?,
            source: prefix.unwrap_or(file).to_string(),
            text: json.text,
            fields: json.kv,
        })
    }

    /// Identifier of the request that the line is about; empty if it names none.
    pub fn request_id(&self) -> String {
        self.field(REQUEST_ID)
    }

    /// A field as text; empty if it is missing.
    pub fn field(&self, name: &str) -> String {
        match self.fields.get(name) {
            None => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
        }
    }

    /// A field as a number; 0 if it is missing or no number.
    pub fn number(&self, name: &str) -> f64 {
        self.fields.get(name).and_then(Value::as_f64).unwrap_or(0.0)
    }
}

/// Milliseconds since midnight of a timestamp such as `2026-05-30 03:20:24.000131 +00:00`.
fn parse_time_of_day_ms(timestamp: &str) -> Option<f64> {
    let time = timestamp.split(' ').nth(1)?;
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(((hours * 60.0 + minutes) * 60.0 + seconds) * 1e3)
}

/// The log lines of one request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestTrace {
    /// The lines in order of time.
    pub lines: Vec<LogLine>,
}

impl RequestTrace {
    /// Sorts the lines of one request by time.
    pub fn from_lines(mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|a, b| a.time_of_day_ms.total_cmp(&b.time_of_day_ms));
        Self { lines }
    }

    /// Groups lines by request; the traces are in arbitrary order.
    pub fn group_by_request(lines: Vec<LogLine>) -> Vec<Self> {
        let mut by_request: HashMap<String, Vec<LogLine>> = HashMap::new();
        for line in lines {
            by_request.entry(line.request_id()).or_default().push(line);
        }
        by_request.into_values().map(Self::from_lines).collect()
    }

    /// The last line with this message text.
    pub fn last_with_text(&self, text: &str) -> Option<&LogLine> {
        self.lines.iter().rev().find(|line| line.text == text)
    }

    /// The route of the request; `-` if no line names one.
    pub fn route(&self) -> String {
        let routes = self.lines.iter().map(|line| line.field("route"));
        let first = routes.into_iter().find(|route| !route.is_empty());
        first.unwrap_or_else(|| "-".to_string())
    }

    /// All lines with this message text.
    pub fn all_with_text(&self, text: &str) -> Vec<&LogLine> {
        self.lines.iter().filter(|line| line.text == text).collect()
    }
}

impl Display for RequestTrace {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let start_ms = self.lines.first().map_or(0.0, |line| line.time_of_day_ms);
        for line in &self.lines {
            let after_ms = line.time_of_day_ms - start_ms;
            write!(f, "{after_ms:>9.1} ms  {}  {}:", line.source, line.text)?;
            for (name, value) in printed_fields(&line.fields) {
                write!(f, " {name}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Fields to print: the [`LEADING_FIELDS`] first, then the others by name. Empty values and the request's identifier
/// are left out.
fn printed_fields(fields: &Map<String, Value>) -> Vec<(&str, String)> {
    let rank = |name: &str| LEADING_FIELDS.iter().position(|first| *first == name);
    let mut names: Vec<&str> = fields.keys().map(String::as_str).collect();
    names.retain(|name| *name != REQUEST_ID);
    names.sort_by_key(|name| (rank(name).unwrap_or(LEADING_FIELDS.len()), *name));
    let text = |name: &str| match &fields[name] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let all = names.into_iter().map(|name| (name, text(name)));
    all.filter(|(_, value)| !value.is_empty()).collect()
}
