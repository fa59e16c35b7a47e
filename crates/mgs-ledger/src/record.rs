//! Final states of requests, and tombstones of withdrawn ones.
//!
//! Memory is bounded. A tombstone is kept until it expires; when the limit is reached, no further
//! tombstone is promised. The record of a request that ran may be evicted early. Eviction and
//! expiry raise the *floor* of the request's origin to its serial, and an unknown request at or
//! below the floor can't be said not to have started.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_schema::key::RequestId;

/// Final state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinalState {
    /// It ran, completely or in part, or may have run.
    Ran {
        /// The attempt that ran.
        attempt: u32,
        /// Size of its retained answer, in bytes; `None` once that is dropped.
        answer_bytes: Option<u64>,
    },
    /// A tombstone: no attempt up to this one has started or will start on this sidecar.
    NeverStarted {
        /// The last such attempt.
        attempt: u32,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    final_state: FinalState,
    until_ms: u64,
}

/// Limits of the records.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Maximum number of records of requests that ran.
    pub ran_max: usize,
    /// Maximum number of tombstones that are promised.
    pub tombstones_max: usize,
    /// Maximum number of origins with a floor.
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

/// Final states by request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Records {
    options: Options,
    records: BTreeMap<RequestId, Record>,
    /// Records by time of expiry.
    expiry: BTreeSet<(u64, RequestId)>,
    /// Number of tombstones among the records.
    tombstones: usize,
    /// Floor of each origin: the highest serial among its removed records of requests that ran.
    floors: BTreeMap<u64, u64>,
    /// Set when a floor exceeded the limit and was lost. From then on no unknown request can be
    /// said not to have started.
    floors_lost: bool,
}

impl Records {
    /// Creates an empty set of records.
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

    /// Number of records, tombstones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the final state of a request, if recorded.
    pub fn final_state(&self, id: RequestId) -> Option<FinalState> {
        self.records.get(&id).map(|record| record.final_state)
    }

    /// Whether a request without a record is certain not to have started on this sidecar.
    pub fn can_rule_out_start(&self, id: RequestId) -> bool {
        let floor = self.floors.get(&id.origin);
        !self.floors_lost && floor.is_none_or(|floor| id.serial > *floor)
    }

    /// Whether there is room for one more tombstone.
    pub fn has_tombstone_room(&self) -> bool {
        self.tombstones < self.options.tombstones_max
    }

    /// Records the final state of a request until `until_ms`, or until the expiry of its earlier
    /// record if that is later.
    pub fn set(&mut self, id: RequestId, final_state: FinalState, until_ms: u64) {
        let earlier = self.remove(id);
        let until_ms = earlier.map_or(until_ms, |earlier| earlier.until_ms.max(until_ms));
        if matches!(final_state, FinalState::NeverStarted { .. }) {
            self.tombstones += 1;
        }
        self.records.insert(
            id,
            Record {
                final_state,
                until_ms,
            },
        );
        self.expiry.insert((until_ms, id));
        self.enforce_ran_max();
    }

    /// Records that the answer of a request is no longer retained.
    pub fn drop_answer(&mut self, id: RequestId) {
        if let Some(record) = self.records.get_mut(&id) {
            if let FinalState::Ran { answer_bytes, .. } = &mut record.final_state {
                *answer_bytes = None;
            }
        }
    }

    /// Removes the record of a request that is dispatched again.
    pub fn discard(&mut self, id: RequestId) {
        self.remove(id);
    }

    /// Removes expired records, and returns the requests whose answer was still retained.
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

    /// Removes one record, and returns whether its answer was still retained.
    fn expire_one(&mut self, id: RequestId) -> bool {
        match self.remove(id).map(|record| record.final_state) {
            Some(FinalState::Ran { answer_bytes, .. }) => {
                self.raise_floor(id);
                answer_bytes.is_some()
            }
            _ => false,
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<Record> {
        let record = self.records.remove(&id)?;
        self.expiry.remove(&(record.until_ms, id));
        if matches!(record.final_state, FinalState::NeverStarted { .. }) {
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

    /// Evicts records of requests that ran, the first to expire first, while they exceed
    /// [`Options::ran_max`]. Those with a retained answer are few and are not evicted.
    fn enforce_ran_max(&mut self) {
        while self.records.len() - self.tombstones > self.options.ran_max {
            let oldest = self.expiry.iter().map(|(_, id)| *id).find(|id| {
                let final_state = self.records.get(id).map(|record| record.final_state);
                matches!(
                    final_state,
                    Some(FinalState::Ran {
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
