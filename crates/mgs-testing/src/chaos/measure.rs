//! How long streams stood still after a path had fallen silent, and how long an endpoint that is
//! leaving still gets work.

use std::collections::BTreeMap;
use std::sync::PoisonError;

use serde::Serialize;

use crate::caller::Caller;
use crate::caller::Gap;
use crate::chaos::schedule::FaultKind;
use crate::history;
use crate::history::Entry;
use crate::history::Event;
use crate::history::Recorder;
use crate::history::Request;

/// A pause between two pieces that is longer than any that a busy engine makes.
const STUCK_MS: u64 = 250;

/// Times from a path's silence to the next piece of the streams that stood still because of it, or
/// others alike.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Moves {
    /// Streams that stood still and went on.
    pub count: usize,
    /// Median.
    pub p50_ms: u64,
    /// Longest.
    pub max_ms: u64,
}

impl Moves {
    fn of(mut times_ms: Vec<u64>) -> Self {
        times_ms.sort_unstable();
        Self {
            count: times_ms.len(),
            p50_ms: times_ms.get(times_ms.len() / 2).copied().unwrap_or(0),
            max_ms: times_ms.last().copied().unwrap_or(0),
        }
    }
}

/// Measures by kind of silence and path.
pub(super) fn moves(
    entries: &[Entry],
    recorder: &Recorder,
    caller: &Caller,
) -> BTreeMap<String, Moves> {
    let gaps = caller.gaps.lock().unwrap_or_else(PoisonError::into_inner);
    let kinds = [
        FaultKind::HalfDead,
        FaultKind::Silent,
        FaultKind::SilentOneWay,
    ];
    let mut times_ms: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for silence in kinds.iter().flat_map(|kind| silences(entries, *kind)) {
        let running = running_at(entries, &silence);
        let stuck = gaps.iter().filter(|gap| running.contains(&gap.request));
        for ms in stuck.filter_map(|gap| stood_still_ms(recorder, &silence, gap)) {
            times_ms.entry(silence.name()).or_default().push(ms);
        }
    }
    let measured = times_ms.into_iter();
    measured.map(|(name, ms)| (name, Moves::of(ms))).collect()
}

/// Times from the moment when an endpoint was told to leave to the last request that it began
/// before it was back; 0 for one that began none.
pub(super) fn last_work(entries: &[Entry]) -> Moves {
    let mut leaving: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut times_ms = Vec::new();
    for entry in entries {
        match &entry.event {
            Event::Leaving { endpoint } => {
                leaving.insert(endpoint, (entry.at_ms, 0));
            }
            Event::Started { endpoint, .. } => {
                if let Some((from_ms, last_ms)) = leaving.get_mut(endpoint.as_str()) {
                    *last_ms = entry.at_ms - *from_ms;
                }
            }
            Event::Returned { endpoint } => {
                let left = leaving.remove(endpoint.as_str());
                times_ms.extend(left.map(|(_, last_ms)| last_ms));
            }
            _ => {}
        }
    }
    Moves::of(times_ms)
}

struct Silence<'a> {
    at_ms: u64,
    kind: FaultKind,
    place: &'a str,
}

impl Silence<'_> {
    fn name(&self) -> String {
        let path = match self.place.contains("sidecar") {
            true => "gateway to sidecar",
            false => "sidecar to endpoint",
        };
        format!("{}, {path}", self.kind.name())
    }
}

fn silences(entries: &[Entry], kind: FaultKind) -> impl Iterator<Item = Silence<'_>> {
    entries.iter().filter_map(move |entry| match &entry.event {
        Event::FaultBegun { place, kind: name } if name == kind.name() => Some(Silence {
            at_ms: entry.at_ms,
            kind,
            place,
        }),
        _ => None,
    })
}

/// Requests that ran behind the silent path when it fell silent.
fn running_at(entries: &[Entry], silence: &Silence<'_>) -> Vec<Request> {
    let before = entries
        .iter()
        .take_while(|entry| entry.at_ms <= silence.at_ms);
    let mut running = BTreeMap::new();
    for entry in before {
        match &entry.event {
            Event::Started {
                execution,
                request,
                endpoint,
            } if is_behind(silence, endpoint) => {
                running.insert(*execution, *request);
            }
            Event::Finished { execution, .. } => {
                running.remove(execution);
            }
            _ => {}
        }
    }
    running.into_values().collect()
}

fn is_behind(silence: &Silence<'_>, endpoint: &str) -> bool {
    let sidecar = endpoint.replace("endpoint", "sidecar");
    silence.place == history::path_to(endpoint) || silence.place == history::path_to(&sidecar)
}

fn stood_still_ms(recorder: &Recorder, silence: &Silence<'_>, gap: &Gap) -> Option<u64> {
    let from_ms = recorder.ms_of(gap.from);
    let to_ms = recorder.ms_of(gap.to);
    let over_it = from_ms <= silence.at_ms + STUCK_MS && to_ms > silence.at_ms;
    let stuck = to_ms - from_ms > STUCK_MS;
    (over_it && stuck).then(|| to_ms - silence.at_ms)
}
