//! A request refused as not run was not run.
//!
//! Each run needs a call of its request that had been sent when it began and that was not refused
//! as not run. A call refused because its key is in use may not be told that it was not run if the
//! request has run under that key: its caller asks for the request, not for the call.

use crate::check::index::CallRecord;
use crate::check::index::Execution;
use crate::check::index::Index;
use crate::check::Finding;
use crate::check::Invariant;
use crate::history::Ending;
use crate::history::NotRun;

/// Reason of a refusal because of an earlier call under the same key.
const KEY_IN_USE: &str = "key_conflict";

pub(super) fn check(index: &Index<'_>) -> Finding {
    let mut finding = Finding::new(Invariant::NotRun);
    for refused in index.calls.iter().filter(|record| is_refused(record)) {
        let mut runs = index.executions_of(refused.request);
        let untrue = runs.find(|run| !is_explained(index, run) || is_known(refused, run));
        let fault = untrue.map(|run| {
            format!(
                "call {} was refused as not run, but request {} ran at {}",
                refused.call.0, refused.request.0, run.endpoint
            )
        });
        finding.judge(refused.ended_ms(), fault);
    }
    finding
}

fn is_explained(index: &Index<'_>, run: &Execution) -> bool {
    let mut calls = index.calls_of(run.request);
    calls.any(|call| call.sent_ms <= run.started_ms && !is_refused(call))
}

/// Whether the system knew of the run when it refused the call.
fn is_known(refused: &CallRecord, run: &Execution) -> bool {
    let in_use = matches!(
        &refused.ended,
        Some((_, Ending::Error { reason, .. })) if reason == KEY_IN_USE
    );
    in_use && run.started_ms < refused.sent_ms
}

fn is_refused(record: &CallRecord) -> bool {
    matches!(
        record.ended,
        Some((
            _,
            Ending::Error {
                not_run: NotRun::True,
                ..
            }
        ))
    )
}
