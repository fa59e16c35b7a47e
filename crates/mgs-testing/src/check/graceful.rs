//! A graceful stop cuts off no request.
//!
//! A call in flight when its gateway, or the sidecar of the endpoint that runs it, is asked to
//! stop must end with its answer, be refused as not run if it had not started, or have had all its
//! allotted time. Calls that met another fault are not judged.

use crate::check::index::CallRecord;
use crate::check::index::Index;
use crate::check::Finding;
use crate::check::Invariant;
use crate::history::Ending;
use crate::history::Event;
use crate::history::NotRun;

/// Reason of a failure because the allotted time is over.
const DEADLINE: &str = "deadline";

pub(super) fn check(index: &Index<'_>) -> Finding {
    let mut finding = Finding::new(Invariant::Graceful);
    for entry in index.entries {
        if let Event::StopAsked { place, endpoint } = &entry.event {
            let stop = Stop {
                at_ms: entry.at_ms,
                place,
                endpoint: endpoint.as_deref(),
            };
            for record in &index.calls {
                if stop.concerns(index, record) && !met_fault(index, record) {
                    finding.judge(entry.at_ms, fault(&stop, record));
                }
            }
        }
    }
    finding
}

struct Stop<'a> {
    at_ms: u64,
    place: &'a str,
    endpoint: Option<&'a str>,
}

impl Stop<'_> {
    fn concerns(&self, index: &Index<'_>, record: &CallRecord) -> bool {
        if record.sent_ms > self.at_ms || record.ended_ms() < self.at_ms {
            return false;
        }
        match self.endpoint {
            None => record.gateway == self.place,
            Some(endpoint) => index.executions_of(record.request).any(|run| {
                let there = run.endpoint == endpoint;
                there && run.started_ms <= self.at_ms && run.ended_ms >= self.at_ms
            }),
        }
    }
}

fn met_fault(index: &Index<'_>, record: &CallRecord) -> bool {
    let mut faults = index.faults_between(record.sent_ms, record.ended_ms());
    faults.next().is_some()
}

/// Whether the call had all the time that it was allotted.
fn is_over(record: &CallRecord) -> bool {
    record.ended_ms() >= record.sent_ms + record.allotted_ms
}

fn fault(stop: &Stop<'_>, record: &CallRecord) -> Option<String> {
    let how = match record.ended.as_ref().map(|(_, ending)| ending) {
        Some(Ending::Answered { .. }) => return None,
        Some(Ending::Error {
            not_run: NotRun::True,
            ..
        }) => return None,
        Some(Ending::Error { reason, .. }) if reason == DEADLINE && is_over(record) => return None,
        Some(Ending::Error { reason, .. }) => format!("failed: {reason}"),
        Some(Ending::Broken { .. }) => "broke".to_string(),
        Some(Ending::Silent) => "got no answer".to_string(),
        None => "never ended".to_string(),
    };
    let call = record.call.0;
    Some(format!("{} stopped, and call {call} {how}", stop.place))
}
