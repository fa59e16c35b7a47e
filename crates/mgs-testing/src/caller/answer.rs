//! Reading answers and errors.

use serde_json::Value;

use crate::caller::plan::Kind;
use crate::history::Ending;
use crate::history::NotRun;

/// Word for an answer that none of the documented forms fits.
const UNREADABLE: &str = "unreadable";

/// How a call ended whose answer came whole.
pub(super) fn whole(kind: Kind, success: bool, body: &str) -> Ending {
    let json: Value = serde_json::from_str(body).unwrap_or_default();
    if json.get("error").is_some() {
        return error(&json, String::new());
    }
    let text = match kind {
        Kind::Service => json["body"].as_str(),
        Kind::Streamed | Kind::Whole | Kind::Durable => json["choices"][0]["text"].as_str(),
    };
    match text {
        Some(text) if success => Ending::Answered {
            text: text.to_string(),
        },
        _ => Ending::Error {
            not_run: NotRun::Unknown,
            reason: UNREADABLE.to_string(),
            partial: String::new(),
        },
    }
}

/// An error of the system, after some text of the answer.
pub(super) fn error(json: &Value, partial: String) -> Ending {
    let error = &json["error"];
    let not_run = match error["not_run"].as_bool() {
        Some(true) => NotRun::True,
        Some(false) => NotRun::False,
        None => NotRun::Unknown,
    };
    let reason = error["reason"].as_str().unwrap_or(UNREADABLE);
    Ending::Error {
        not_run,
        reason: reason.to_string(),
        partial,
    }
}
