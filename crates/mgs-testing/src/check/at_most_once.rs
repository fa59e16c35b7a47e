//! A non-idempotent request runs at most once.

use std::collections::BTreeSet;

use crate::check::index::Index;
use crate::check::Finding;
use crate::check::Invariant;
use crate::history::Request;

pub(super) fn check(index: &Index<'_>) -> Finding {
    let mut finding = Finding::new(Invariant::AtMostOnce);
    let calls = index.calls.iter();
    let once = calls.filter(|call| !call.idempotent);
    let requests: BTreeSet<Request> = once.map(|call| call.request).collect();
    for request in requests {
        let runs: Vec<_> = index.executions_of(request).collect();
        let at_ms = runs.last().map_or(0, |run| run.started_ms);
        let endpoints: Vec<&str> = runs.iter().map(|run| run.endpoint.as_str()).collect();
        let doubled = (runs.len() > 1).then(|| {
            format!(
                "non-idempotent request {} ran {} times, at {}",
                request.0,
                runs.len(),
                endpoints.join(", ")
            )
        });
        finding.judge(at_ms, doubled);
    }
    finding
}
