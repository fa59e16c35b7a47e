//! Every admitted request finishes or fails within its allotted time.
//!
//! A call must end by itself, with an answer or an error. One whose own gateway had a fault may
//! break or fall silent, unless the system had promised to keep the request; the time of such a one
//! counts from the promise, which a paused gateway may give late.

use crate::check::index::CallRecord;
use crate::check::index::FaultSpan;
use crate::check::index::Index;
use crate::check::Finding;
use crate::check::Invariant;
use crate::check::Limits;
use crate::history::Ending;

pub(super) fn check(index: &Index<'_>, limits: &Limits) -> Finding {
    let mut finding = Finding::new(Invariant::InTime);
    for record in &index.calls {
        finding.judge(record.sent_ms, fault(index, limits, record));
    }
    finding
}

fn fault(index: &Index<'_>, limits: &Limits, record: &CallRecord) -> Option<String> {
    let limit_ms = record.allotted_ms + limits.slack_ms;
    let excuses = |fault: &FaultSpan| is_excuse(record, fault);
    let from_ms = record.kept_ms.unwrap_or(record.sent_ms);
    let due_ms = index.extended_ms(from_ms, limit_ms, excuses);
    let excused = record.kept_ms.is_none()
        && index
            .faults_between(record.sent_ms, record.ended_ms())
            .any(excuses);
    let call = record.call.0;
    match &record.ended {
        _ if excused => None,
        None => Some(format!("call {call} never ended")),
        Some((_, Ending::Silent)) => Some(format!("call {call} got no answer and no error")),
        Some((_, Ending::Broken { .. })) => {
            Some(format!("call {call} broke without an answer or an error"))
        }
        Some((at_ms, _)) if *at_ms > due_ms => Some(format!(
            "call {call} ended {} ms after its {} ms were over",
            at_ms - record.sent_ms - record.allotted_ms,
            record.allotted_ms
        )),
        Some(_) => None,
    }
}

/// A kept request survives any gateway, but nobody can read its result without the platform.
fn is_excuse(record: &CallRecord, fault: &FaultSpan) -> bool {
    if record.kept_ms.is_some() {
        fault.is_at_platform()
    } else {
        fault.is_at(&record.gateway)
    }
}
