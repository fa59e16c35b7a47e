//! Reading a streamed answer.

use std::io::BufRead;
use std::time::Instant;

use serde_json::Value;

use crate::caller::answer;
use crate::history::Ending;

const DATA: &str = "data: ";

const DONE: &str = "[DONE]";

/// Reads events until the last one; `pieces` takes the time of each piece of text.
pub(super) fn read(lines: impl BufRead, pieces: &mut Vec<Instant>) -> Ending {
    let mut partial = String::new();
    for line in lines.lines() {
        let Ok(line) = line else {
            break;
        };
        let Some(data) = line.strip_prefix(DATA) else {
            continue;
        };
        if data == DONE {
            return Ending::Answered { text: partial };
        }
        let json: Value = serde_json::from_str(data).unwrap_or_default();
        if json.get("error").is_some() {
            return answer::error(&json, partial);
        }
        let piece = json["choices"][0]["text"].as_str().unwrap_or_default();
        if !piece.is_empty() {
            pieces.push(Instant::now());
            partial.push_str(piece);
        }
    }
    Ending::Broken { partial }
}
