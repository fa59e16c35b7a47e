//! The crashes under one fingerprint.
//!
//! A record is a grow-only set of crashes, keyed by the incarnation that ended, and the status of
//! each crash only moves from counting towards not counting. So records of several gateways
//! converge in whatever order they are merged, and a message that is duplicated, late or lost only
//! delays that.
//!
//! A crash stops counting when another run of the same request makes more progress than the run
//! that ended with it, or completes. A request that crashes each endpoint that starts it does
//! neither. Nearly all requests that merely ran on a crashed endpoint do both within a second, by
//! their own retry.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::PromptPart;
use crate::times::forget_oldest;

/// Whether a crash counts against its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashStatus {
    /// No other run is known to have made more progress.
    Counts,
    /// Another run made more progress, and isn't known to have completed.
    Passed,
    /// Another run completed.
    Cleared,
}

/// The end of an endpoint that was running the request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the incarnation that ended.
    pub incarnation: u64,
    /// When it ended, in milliseconds on the clock of the process that keeps the record.
    pub at_ms: f64,
    /// Stream events that the run had produced by then.
    #[serde(rename = "reached")]
    pub events: u32,
    /// Whether it counts against the request.
    #[serde(rename = "bearing")]
    pub status: CrashStatus,
}

/// Most crashes kept in one record, helpers included: enough for three runs of a prompt that is
/// prefilled by as many engines as allowed. All of them still fit a datagram.
pub const CRASHES_PER_RECORD_MAX: usize = 64;

/// Most ends of endpoints that are kept, whatever the endpoints were running.
pub const RECENT_ENDS_MAX: usize = 4_096;

/// What is known of a part of prompts besides the crashes under it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartFacts {
    /// Which part it is.
    pub name: PromptPart,
    /// Largest number of parts that come before it in a prompt. Parts that come first are shared by
    /// the most requests.
    pub depth: u16,
    /// Whether a run is known that began to write on it.
    pub has_begun: bool,
}

impl PartFacts {
    /// Merges what another gateway knows of the part. Returns whether anything changes.
    fn merge(&mut self, other: &Self) -> bool {
        let is_new = other.depth > self.depth || (other.has_begun && !self.has_begun);
        self.depth = self.depth.max(other.depth);
        self.has_begun |= other.has_begun;
        is_new
    }
}

/// The crashes under one fingerprint.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Record {
    /// Crashes in no particular order, one for each incarnation.
    pub crashes: Vec<Crash>,
    /// Whether the request has used the trial run that it gets while it is held.
    pub trial_taken: bool,
    /// Whether the request was repeated some time after crashes that would have held it but for
    /// unrelated ends.
    pub has_recurred: bool,
    /// The part of prompts that this record is about; `None` if it is about a request.
    pub part: Option<PartFacts>,
}

impl Record {
    /// Adds what is known of the part that the record is about. Returns whether anything changes.
    pub fn add_part(&mut self, part: &PartFacts) -> bool {
        match &mut self.part {
            Some(known) => known.merge(part),
            None => {
                self.part = Some(part.clone());
                true
            }
        }
    }

    /// Number of parts that come before the part in a prompt; more than any part has for a request,
    /// which has more in it than each part of its prompt.
    pub fn depth(&self) -> u16 {
        let part = self.part.as_ref();
        part.map_or(u16::MAX, |part| part.depth.min(u16::MAX - 1))
    }

    /// Whether this is about a part of prompts on which some run began to write.
    pub fn has_begun(&self) -> bool {
        self.part.as_ref().is_some_and(|part| part.has_begun)
    }

    /// When the first crash that counts occurred, in milliseconds.
    pub fn first_counted_ms(&self) -> f64 {
        let counted = self.crashes.iter();
        let counted = counted.filter(|crash| crash.status == CrashStatus::Counts);
        counted
            .map(|crash| crash.at_ms)
            .fold(f64::INFINITY, f64::min)
    }

    /// Adds a crash or updates a known one. Returns whether anything changes.
    pub fn add(&mut self, crash: Crash) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.incarnation == crash.incarnation) {
            let is_new = crash.status > known.status || crash.events > known.events;
            known.status = known.status.max(crash.status);
            known.events = known.events.max(crash.events);
            return is_new;
        }
        self.crashes.push(crash);
        self.evict_excess();
        true
    }

    /// Merges another record of the same fingerprint. Returns whether anything changes.
    pub fn merge(&mut self, other: &Record) -> bool {
        let mut is_new = other.trial_taken && !self.trial_taken;
        is_new |= other.has_recurred && !self.has_recurred;
        self.trial_taken |= other.trial_taken;
        self.has_recurred |= other.has_recurred;
        if let Some(part) = &other.part {
            is_new |= self.add_part(part);
        }
        for crash in &other.crashes {
            is_new |= self.add(*crash);
        }
        is_new
    }

    /// Evicts the crash with the least effect on the verdict, the oldest among equals.
    fn evict_excess(&mut self) {
        if self.crashes.len() <= CRASHES_PER_RECORD_MAX {
            return;
        }
        let by_relevance = |a: &&Crash, b: &&Crash| {
            let by_status = b.status.cmp(&a.status);
            by_status.then(a.at_ms.total_cmp(&b.at_ms))
        };
        let evicted = self.crashes.iter().min_by(by_relevance);
        if let Some(incarnation) = evicted.map(|crash| crash.incarnation) {
            self.crashes
                .retain(|crash| crash.incarnation != incarnation);
        }
    }

    /// A run has produced this number of events. Returns whether a crash stops counting.
    pub fn mark_passed(&mut self, events: u32) -> bool {
        self.raise_status(CrashStatus::Passed, |crash| crash.events < events)
    }

    /// A run has completed. Returns whether a crash stops counting.
    pub fn mark_cleared(&mut self) -> bool {
        self.raise_status(CrashStatus::Cleared, |_| true)
    }

    /// A run completed at this time: crashes before it stop counting. Returns whether one does.
    pub fn mark_cleared_before(&mut self, completed_ms: f64) -> bool {
        self.raise_status(CrashStatus::Cleared, |crash| crash.at_ms < completed_ms)
    }

    fn raise_status(&mut self, status: CrashStatus, is_affected: impl Fn(&Crash) -> bool) -> bool {
        let mut is_new = false;
        for crash in &mut self.crashes {
            if is_affected(crash) && crash.status < status {
                crash.status = status;
                is_new = true;
            }
        }
        is_new
    }

    /// Number of crashes that count. Simultaneous ones count once or each, as `recent_ends`
    /// decides.
    pub fn counted_crashes(&self, recent_ends: &RecentEnds) -> usize {
        self.counted_crashes_except(recent_ends, |_| false)
    }

    /// As [`Self::counted_crashes`], without the excluded ones.
    pub fn counted_crashes_except(
        &self,
        recent_ends: &RecentEnds,
        is_excluded: impl Fn(&Crash) -> bool,
    ) -> usize {
        let counted = self.crashes.iter();
        let counted =
            counted.filter(|crash| crash.status == CrashStatus::Counts && !is_excluded(crash));
        recent_ends.count_crashes(counted)
    }

    /// Whether this incarnation ended under the request, and its crash counts.
    pub fn has_counted_crash(&self, incarnation: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.incarnation == incarnation && crash.status == CrashStatus::Counts)
    }

    /// As [`Self::counted_crashes`], including crashes that are [`CrashStatus::Passed`].
    pub fn uncleared_crashes(&self, recent_ends: &RecentEnds) -> usize {
        let uncleared = self.crashes.iter();
        let uncleared = uncleared.filter(|crash| crash.status != CrashStatus::Cleared);
        recent_ends.count_crashes(uncleared)
    }

    /// When the last crash occurred, in milliseconds.
    pub fn last_crash_ms(&self) -> f64 {
        let times_ms = self.crashes.iter().map(|crash| crash.at_ms);
        times_ms.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Recent ends of endpoints, whatever they were running. If several endpoints end at one moment and
/// a request ran on only some of them, the ends have another cause.
#[derive(Debug, Clone, Default)]
pub struct RecentEnds {
    /// When incarnations ended, in milliseconds.
    ended_ms: HashMap<u64, f64>,
    simultaneous_ms: f64,
}

impl RecentEnds {
    /// Creates an empty set; ends less than `simultaneous_ms` apart belong together.
    pub fn new(simultaneous_ms: f64) -> Self {
        Self {
            ended_ms: HashMap::new(),
            simultaneous_ms,
        }
    }

    /// Records that an endpoint has ended.
    pub fn record_end(&mut self, incarnation: u64, at_ms: f64) {
        let known_ms = self.ended_ms.entry(incarnation).or_insert(at_ms);
        // Reports arrive with a delay, so the earliest time is the closest.
        *known_ms = known_ms.min(at_ms);
    }

    /// Whether this incarnation is known to have ended.
    pub fn has_ended(&self, incarnation: u64) -> bool {
        self.ended_ms.contains_key(&incarnation)
    }

    /// Removes ends before `before_ms`, and the oldest beyond [`RECENT_ENDS_MAX`]. Returns the time
    /// from which on all ends are kept.
    pub fn prune(&mut self, before_ms: f64) -> f64 {
        forget_oldest(&mut self.ended_ms, before_ms, RECENT_ENDS_MAX)
    }

    /// Number of endpoints that ended in a period, other than by these crashes.
    pub fn unrelated_ends(&self, crashes: &[Crash], from_ms: f64, to_ms: f64) -> usize {
        let span = from_ms..=to_ms;
        let is_own = |incarnation: &u64| crashes.iter().any(|c| c.incarnation == *incarnation);
        let ended_ms = self.ended_ms.iter();
        let unrelated = ended_ms.filter(|(id, at_ms)| span.contains(at_ms) && !is_own(id));
        unrelated.count()
    }

    /// Counts crashes: those of one moment each if no other endpoint ended then, otherwise once.
    fn count_crashes<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> usize {
        let at_ms = |crash: &Crash| {
            let ended_ms = self.ended_ms.get(&crash.incarnation);
            ended_ms.copied().unwrap_or(crash.at_ms)
        };
        let mut times_ms: Vec<f64> = crashes.map(at_ms).collect();
        times_ms.sort_by(f64::total_cmp);
        let mut count = 0;
        let mut remaining = times_ms.as_slice();
        while let Some(first_ms) = remaining.first() {
            let group_len = self.simultaneous_prefix_len(remaining);
            let last_ms = remaining[group_len - 1];
            count += match self.ends_between(*first_ms, last_ms) > group_len {
                true => 1,
                false => group_len,
            };
            remaining = &remaining[group_len..];
        }
        count
    }

    /// How many of these times belong to the moment of the first: each is close to the one before
    /// it.
    fn simultaneous_prefix_len(&self, times_ms: &[f64]) -> usize {
        let is_close = |pair: &&[f64]| pair[1] - pair[0] <= self.simultaneous_ms;
        1 + times_ms.windows(2).take_while(is_close).count()
    }

    /// Number of endpoints that ended in about this period.
    fn ends_between(&self, first_ms: f64, last_ms: f64) -> usize {
        let span = first_ms - self.simultaneous_ms..=last_ms + self.simultaneous_ms;
        let ended_ms = self.ended_ms.values();
        ended_ms.filter(|at_ms| span.contains(at_ms)).count()
    }
}
