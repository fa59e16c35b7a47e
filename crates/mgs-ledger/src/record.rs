//! What became of requests that are over, and the tombstones of withdrawn ones.
//!
//! Memory is bounded. A tombstone is kept for its whole time; when there is no room for another,
//! none is promised. The record of a request that ran may be forgotten early, but then its
//! origin's *floor* rises to its serial, and nothing is claimed of unknown requests at or below a
//! floor.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_schema::key::RequestId;

/// What is known of a request that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fate {
    /// It ran, in whole or in part, or may have.
    Ran {
        /// The attempt that ran.
        attempt: u32,
        /// Bytes of its kept answer; `None` once that is dropped.
        answer_bytes: Option<u64>,
    },
    /// No attempt up to this one started here, and none of them ever will.
    NeverStarted {
        /// The last such attempt.
        attempt: u32,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    fate: Fate,
    until_ms: u64,
}

/// Settings of the records.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Most records of requests that ran.
    pub ran_max: usize,
    /// Most tombstones.
    pub tombstones_max: usize,
    /// Most origins with a floor.
    pub floors_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ran_max: 1 << 18,
            tombstones_max: 1 << 16,
            floors_max: 1 << 12,
        }
    }
}

/// Records by request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Records {
    options: Options,
    records: BTreeMap<RequestId, Record>,
    expiry: BTreeSet<(u64, RequestId)>,
    tombstones: usize,
    floors: BTreeMap<u64, u64>,
    /// Set when a floor had to be dropped: from then on nothing is claimed of unknown requests.
    floors_lost: bool,
}

impl Records {
    /// No records.
    ///
    /// ```
    /// use mgs_ledger::record::Options;
    /// use mgs_ledger::record::Records;
    ///
    /// let records = Records::new(Options { tombstones_max: 10, ..Options::default() });
    /// assert_eq!(records.len(), 0);
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Count of records and tombstones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What is known of a request.
    pub fn fate(&self, id: RequestId) -> Option<Fate> {
        self.records.get(&id).map(|record| record.fate)
    }

    /// Whether an unknown request may be said never to have started here.
    pub fn may_vouch_for(&self, id: RequestId) -> bool {
        let floor = self.floors.get(&id.origin);
        !self.floors_lost && floor.is_none_or(|floor| id.serial > *floor)
    }

    /// Whether one more tombstone fits.
    pub fn has_tombstone_room(&self) -> bool {
        self.tombstones < self.options.tombstones_max
    }

    /// Sets what is known of a request, at least until `until_ms`.
    pub fn set(&mut self, id: RequestId, fate: Fate, until_ms: u64) {
        let earlier = self.remove(id);
        let until_ms = earlier.map_or(until_ms, |earlier| earlier.until_ms.max(until_ms));
        if matches!(fate, Fate::NeverStarted { .. }) {
            self.tombstones += 1;
        }
        self.records.insert(id, Record { fate, until_ms });
        self.expiry.insert((until_ms, id));
        self.bound();
    }

    /// Notes that the answer of a request is no longer kept.
    pub fn drop_answer(&mut self, id: RequestId) {
        if let Some(record) = self.records.get_mut(&id) {
            if let Fate::Ran { answer_bytes, .. } = &mut record.fate {
                *answer_bytes = None;
            }
        }
    }

    /// Forgets a request, which then may be dispatched again.
    pub fn forget(&mut self, id: RequestId) {
        self.remove(id);
    }

    /// Forgets what has expired, and returns those whose answer was still kept.
    pub fn expire(&mut self, now_ms: u64) -> Vec<RequestId> {
        let mut with_answer = Vec::new();
        while let Some(&(until_ms, id)) = self.expiry.first() {
            if until_ms > now_ms {
                break;
            }
            if self.expire_one(id) {
                with_answer.push(id);
            }
        }
        with_answer
    }

    /// Forgets one record; whether its answer was still kept.
    fn expire_one(&mut self, id: RequestId) -> bool {
        match self.remove(id).map(|record| record.fate) {
            Some(Fate::Ran { answer_bytes, .. }) => {
                self.raise_floor(id);
                answer_bytes.is_some()
            }
            _ => false,
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<Record> {
        let record = self.records.remove(&id)?;
        self.expiry.remove(&(record.until_ms, id));
        if matches!(record.fate, Fate::NeverStarted { .. }) {
            self.tombstones -= 1;
        }
        Some(record)
    }

    fn raise_floor(&mut self, id: RequestId) {
        let known = self.floors.contains_key(&id.origin);
        if !known && self.floors.len() >= self.options.floors_max {
            self.floors_lost = true;
            return;
        }
        let floor = self.floors.entry(id.origin).or_insert(id.serial);
        *floor = id.serial.max(*floor);
    }

    /// Forgets the records of the oldest requests that ran while there are too many. Those whose
    /// answer is still kept are few and stay.
    fn bound(&mut self) {
        while self.records.len() - self.tombstones > self.options.ran_max {
            let oldest = self.expiry.iter().map(|(_, id)| *id).find(|id| {
                let fate = self.records.get(id).map(|record| record.fate);
                matches!(
                    fate,
                    Some(Fate::Ran {
                        answer_bytes: None,
                        ..
                    })
                )
            });
            let Some(oldest) = oldest else { return };
            self.expire_one(oldest);
        }
    }
}
