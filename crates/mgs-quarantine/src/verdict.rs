//! Whether requests with a key may be dispatched, by the crashes under it.

use crate::blame::Blame;
use crate::fingerprint::Fingerprint;
use crate::record::Crash;
use crate::record::Record;
use crate::table::Quarantine;

/// How a request may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// To any endpoint.
    Allowed,
    /// To one endpoint only, the same for all gateways: the request may be crashing endpoints.
    Confined,
    /// To no endpoint.
    Held,
}

impl Quarantine {
    /// Crashes that no other held request explains, where `counted` is the number of all that
    /// count.
    pub(crate) fn unexplained_crashes(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
        counted: usize,
    ) -> usize {
        let is_explained = |crash: &Crash| self.is_explained(fingerprint, counted, crash);
        record.counted_crashes_except(&self.recent_ends, is_explained)
    }

    /// The verdict on a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        match self.records.get(&fingerprint) {
            None => Verdict::Allowed,
            Some(record) => self.evaluate(fingerprint, record),
        }
    }

    fn evaluate(&self, fingerprint: Fingerprint, record: &Record) -> Verdict {
        let counted = record.counted_crashes(&self.recent_ends);
        if counted < self.options.confine_crashes {
            return Verdict::Allowed;
        }
        let unexplained = self.unexplained_crashes(fingerprint, record, counted);
        let is_repeated_request = record.part.is_none()
            && record.uncleared_crashes(&self.recent_ends) >= self.options.hold_crashes_total;
        let is_held = unexplained >= self.hold_threshold(record) && self.is_settled(record);
        match unexplained >= self.options.confine_crashes && !record.has_begun() {
            _ if is_held || is_repeated_request => Verdict::Held,
            true => Verdict::Confined,
            false => Verdict::Allowed,
        }
    }

    /// Whether other requests with the same part had the time to begin to write.
    fn is_settled(&self, record: &Record) -> bool {
        !record.has_begun()
            || self.now_ms - record.first_counted_ms() >= self.options.begun_settle_ms
    }

    /// Whether another key is the more likely cause of a crash: a run with it was on that endpoint
    /// too, and it is held and has more crashes. Between a part of a prompt and another key, of as many
    /// crashes, [`Blame`] decides.
    ///
    /// A request that has completed before is less likely the cause than one that never has, however
    /// many crashes each has: calls of an often used path run on every endpoint of a small fleet.
    fn is_explained(&self, fingerprint: Fingerprint, crashes: usize, crash: &Crash) -> bool {
        let shares_crash = |other: &&Fingerprint| {
            let record = self.records.get(other);
            **other != fingerprint && record.is_some_and(|r| r.has_counted_crash(crash.incarnation))
        };
        if self.completed.last_ms(fingerprint).is_some() {
            // Whichever of them is recorded first must not be held for a moment.
            let mut suspects = self.suspects.iter().filter(shares_crash);
            if suspects.any(|other| self.has_never_succeeded(*other)) {
                return true;
            }
        }
        let mut held = self.held.iter().filter(shares_crash);
        held.any(|other| self.explains(*other, &self.records[other], fingerprint, crashes))
    }

    /// Whether no run with a key is known here that completed or, for a part of prompts, began to write.
    fn has_never_succeeded(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        let has_begun = record.is_some_and(Record::has_begun);
        !has_begun && self.completed.last_ms(fingerprint).is_none()
    }

    fn explains(
        &self,
        other: Fingerprint,
        other_record: &Record,
        fingerprint: Fingerprint,
        crashes: usize,
    ) -> bool {
        let other_crashes = other_record.counted_crashes(&self.recent_ends);
        let Some(record) = self.records.get(&fingerprint).filter(|r| r.part.is_some()) else {
            return other_crashes > crashes;
        };
        Blame::new(other, other_record, other_crashes) > Blame::new(fingerprint, record, crashes)
    }

    /// Crashes required for a hold, depending on how many unrelated endpoints ended.
    fn hold_threshold(&self, record: &Record) -> usize {
        if record.has_begun() {
            return self.options.begun_hold_crashes;
        }
        if record.has_recurred {
            return self.options.hold_crashes;
        }
        let last_crash_ms = record.last_crash_ms();
        let from_ms = last_crash_ms - self.options.unrelated_window_ms;
        let unrelated = self
            .recent_ends
            .unrelated_ends(&record.crashes, from_ms, last_crash_ms);
        let share = unrelated as f64 / self.endpoint_count.max(1) as f64;
        let additional = match unrelated {
            0 => 0,
            _ if share < self.options.many_unrelated_share => 1,
            _ => 2,
        };
        self.options.hold_crashes + additional
    }
}
