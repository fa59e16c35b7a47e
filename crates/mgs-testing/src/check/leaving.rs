//! A leaving endpoint gets no new work after a few seconds.

use crate::check::index::Index;
use crate::check::Finding;
use crate::check::Invariant;
use crate::check::Limits;
use crate::history::Event;

pub(super) fn check(index: &Index<'_>, limits: &Limits) -> Finding {
    let mut finding = Finding::new(Invariant::Leaving);
    for entry in index.entries {
        if let Event::Leaving { endpoint } = &entry.event {
            let from_ms = entry.at_ms + limits.leaving_ms;
            let to_ms = returned_ms(index, endpoint, entry.at_ms);
            finding.judge(entry.at_ms, fault(index, endpoint, from_ms, to_ms));
        }
    }
    finding
}

fn returned_ms(index: &Index<'_>, endpoint: &str, left_ms: u64) -> u64 {
    let mut entries = index.entries.iter();
    let returned = entries.find(|entry| {
        let is_return = matches!(&entry.event, Event::Returned { endpoint: e } if e == endpoint);
        is_return && entry.at_ms >= left_ms
    });
    returned.map_or(u64::MAX, |entry| entry.at_ms)
}

fn fault(index: &Index<'_>, endpoint: &str, from_ms: u64, to_ms: u64) -> Option<String> {
    let mut runs = index.executions.iter();
    let late = runs.find(|run| {
        let there = run.endpoint == endpoint;
        there && run.started_ms > from_ms && run.started_ms < to_ms
    })?;
    Some(format!(
        "{endpoint} was leaving and began request {} at {} ms",
        late.request.0, late.started_ms
    ))
}
