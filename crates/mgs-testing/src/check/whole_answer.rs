//! Each caller gets the whole answer to its own request.
//!
//! An answer must be the expected text and come from a run of the request; text before an error
//! must be a start of the expected text.

use crate::check::index::CallRecord;
use crate::check::index::Index;
use crate::check::Finding;
use crate::check::Invariant;
use crate::history::Ending;

pub(super) fn check(index: &Index<'_>) -> Finding {
    let mut finding = Finding::new(Invariant::WholeAnswer);
    for record in &index.calls {
        if let Some((at_ms, ending)) = &record.ended {
            finding.judge(*at_ms, fault(index, record, *at_ms, ending));
        }
    }
    finding
}

fn fault(index: &Index<'_>, record: &CallRecord, at_ms: u64, ending: &Ending) -> Option<String> {
    let call = record.call.0;
    let expected = record.expected.as_str();
    match ending {
        Ending::Answered { text } if text != expected => Some(format!(
            "call {call} was answered with {} bytes, not its own {} bytes",
            text.len(),
            expected.len()
        )),
        Ending::Answered { .. } => {
            let mut runs = index.executions_of(record.request);
            let ran = runs.any(|run| run.started_ms <= at_ms);
            (!ran).then(|| format!("call {call} was answered, but its request never ran"))
        }
        Ending::Error { partial, .. } | Ending::Broken { partial } => {
            let strange = !expected.starts_with(partial.as_str());
            strange.then(|| format!("call {call} got text that is not of its own answer"))
        }
        Ending::Silent => None,
    }
}
