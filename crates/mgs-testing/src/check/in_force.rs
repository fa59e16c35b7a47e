//! An accepted configuration is in force everywhere within seconds and never reverts.
//!
//! The limit counts anew from the end of each fault of the process's place, of its path to the
//! platform or of the platform, and from the start of the process. Sidecars learn from gateways, so
//! theirs also counts from the end of faults of gateways and of the path from them.

use std::collections::BTreeMap;

use crate::check::index::FaultSpan;
use crate::check::index::Index;
use crate::check::Finding;
use crate::check::Invariant;
use crate::check::Limits;
use crate::history;
use crate::history::Event;

/// How the places of sidecars begin.
const SIDECAR: &str = "sidecar";

/// How the places of gateways begin.
const GATEWAY: &str = "gateway";

pub(super) fn check(index: &Index<'_>, limits: &Limits) -> Finding {
    let mut finding = Finding::new(Invariant::InForce);
    let mut last_seen: BTreeMap<&str, u64> = BTreeMap::new();
    for entry in index.entries {
        let Event::InForce { process, version } = &entry.event else {
            continue;
        };
        let sample = Sample {
            at_ms: entry.at_ms,
            process,
            version: *version,
        };
        let before = last_seen.insert(process, *version).unwrap_or(0);
        let fault = reverted(&sample, before).or_else(|| sample.late(index, limits));
        finding.judge(entry.at_ms, fault);
    }
    finding
}

struct Sample<'a> {
    at_ms: u64,
    process: &'a str,
    version: u64,
}

fn reverted(sample: &Sample<'_>, before: u64) -> Option<String> {
    let Sample {
        process, version, ..
    } = sample;
    let went_back = *version < before;
    went_back.then(|| format!("{process} went back from version {before} to {version}"))
}

impl Sample<'_> {
    fn late(&self, index: &Index<'_>, limits: &Limits) -> Option<String> {
        let mut entries = index.entries.iter();
        let missed = entries.find_map(|entry| match entry.event {
            Event::Accepted { version } if version > self.version => {
                let due_ms = self.due_ms(index, limits, entry.at_ms);
                (self.at_ms > due_ms).then_some((version, entry.at_ms))
            }
            _ => None,
        });
        let (version, accepted_ms) = missed?;
        Some(format!(
            "{} has version {} in force {} ms after version {version} was accepted",
            self.process,
            self.version,
            self.at_ms - accepted_ms
        ))
    }

    fn due_ms(&self, index: &Index<'_>, limits: &Limits, accepted_ms: u64) -> u64 {
        let place = self.process.split('#').next().unwrap_or(self.process);
        let started_ms = index.process_starts.get(self.process).copied();
        let from_ms = accepted_ms.max(started_ms.unwrap_or(0));
        let excuses = |fault: &FaultSpan| is_excuse(place, fault);
        index.extended_ms(from_ms, limits.in_force_ms, excuses)
    }
}

fn is_excuse(place: &str, fault: &FaultSpan) -> bool {
    let own = [
        place,
        &history::path_to(place),
        &history::platform_path_of(place),
    ];
    let learns_from = place.starts_with(SIDECAR) && fault.place.starts_with(GATEWAY);
    fault.is_at_platform() || own.iter().any(|own| fault.is_at(own)) || learns_from
}
