//! No engine loses memory permanently.

use crate::check::index::Index;
use crate::check::index::MemoryRecord;
use crate::check::Finding;
use crate::check::Invariant;

pub(super) fn check(index: &Index<'_>) -> Finding {
    let mut finding = Finding::new(Invariant::Memory);
    for (endpoint, record) in &index.memory {
        let at_ms = record.end.map_or(0, |(at_ms, _)| at_ms);
        finding.judge(at_ms, fault(endpoint, record));
    }
    finding
}

fn fault(endpoint: &str, record: &MemoryRecord) -> Option<String> {
    let begin_tokens = record.begin_tokens.unwrap_or(0);
    match record.end {
        None => Some(format!("{endpoint}: memory was not read at the end")),
        Some((_, end_tokens)) if end_tokens > begin_tokens => Some(format!(
            "{endpoint}: {end_tokens} tokens held at the end, {begin_tokens} at the start"
        )),
        Some(_) => None,
    }
}
