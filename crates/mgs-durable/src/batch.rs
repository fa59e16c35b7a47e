//! One group of conditional writes on its way to the table service.
//!
//! The writes of a group go in one transaction, yet each has its own outcome: a write whose
//! condition fails is answered and taken out, and the others go on. When the reply of a
//! transaction is lost, the rows are read back; since no two writes have the same value, a row
//! that holds a write's value shows that the transaction took effect.

use mgs_platform::table::Row;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_platform::Error;

/// One conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Op {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// The new value, which no other write ever has; `None` to delete the row.
    pub value: Option<String>,
}

/// How a write ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Written {
    /// It took effect, and the row has this version (0: it is deleted).
    Done(u64),
    /// It didn't and never will; this is the row as it was found.
    Conflict(Option<Row>),
    /// It didn't and never will, because the store can't be reached.
    Unavailable,
    /// It may have taken effect, or may do so yet.
    Unknown,
}

/// What is to be done next with a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Make this transaction.
    Commit(Txn),
    /// Read these rows.
    ReadBack(Vec<String>),
    /// Nothing; each write has its outcome.
    Finished,
}

/// A group of writes of different rows.
#[derive(Debug)]
pub struct Batch {
    ops: Vec<(usize, Op)>,
    ended: Vec<(usize, Written)>,
    in_doubt: bool,
    /// Whether a transaction was sent whose reply was lost; it may arrive late.
    sent: bool,
}

impl Batch {
    /// A group; the outcomes name the writes by their place here. No two may share a key.
    ///
    /// ```
    /// use mgs_durable::batch::Batch;
    /// use mgs_durable::batch::Op;
    /// use mgs_durable::batch::Step;
    /// use mgs_durable::batch::Written;
    /// use mgs_platform::table::TxnOutcome;
    ///
    /// let op = Op { key: "a".to_string(), expected: 0, value: Some("1".to_string()) };
    /// let mut batch = Batch::new(vec![op]);
    /// assert!(matches!(batch.step(), Step::Commit(_)));
    /// batch.committed(Ok(TxnOutcome::Committed(9)));
    /// assert_eq!(batch.step(), Step::Finished);
    /// assert_eq!(batch.take_ended(), vec![(0, Written::Done(9))]);
    /// ```
    pub fn new(ops: Vec<Op>) -> Self {
        Self {
            ops: ops.into_iter().enumerate().collect(),
            ended: Vec::new(),
            in_doubt: false,
            sent: false,
        }
    }

    /// What is to be done now.
    pub fn step(&self) -> Step {
        if self.ops.is_empty() {
            return Step::Finished;
        }
        if self.in_doubt {
            let keys = self.ops.iter().map(|(_, op)| op.key.clone());
            return Step::ReadBack(keys.collect());
        }
        Step::Commit(self.txn())
    }

    /// The outcomes since the last call.
    pub fn take_ended(&mut self) -> Vec<(usize, Written)> {
        std::mem::take(&mut self.ended)
    }

    /// Takes in the reply of the transaction.
    pub fn committed(&mut self, reply: Result<TxnOutcome, Error>) {
        match reply {
            Ok(TxnOutcome::Committed(version)) => self.end_all(|op| done(op, version)),
            Ok(TxnOutcome::Conflict(rows)) => self.conflicted(rows),
            Err(Error::Unknown(_)) => {
                self.in_doubt = true;
                self.sent = true;
            }
            Err(Error::Unavailable(_) | Error::Throttled { .. } | Error::Rejected(_)) => {}
        }
    }

    /// Takes in the rows that were read back, in the order of [`Step::ReadBack`].
    pub fn read_back(&mut self, rows: Vec<Option<Row>>) {
        self.in_doubt = false;
        let ops = std::mem::take(&mut self.ops);
        for ((place, op), row) in ops.into_iter().zip(rows) {
            match settle(&op, row) {
                Some(written) => self.ended.push((place, written)),
                None => self.ops.push((place, op)),
            }
        }
    }

    /// Ends the writes without an outcome for whose place `late` holds.
    pub fn give_up(&mut self, late: impl Fn(usize) -> bool) {
        let written = match self.sent {
            true => Written::Unknown,
            false => Written::Unavailable,
        };
        for (place, op) in std::mem::take(&mut self.ops) {
            if late(place) {
                self.ended.push((place, written.clone()));
            } else {
                self.ops.push((place, op));
            }
        }
    }

    fn txn(&self) -> Txn {
        let mut txn = Txn::default();
        for (_, op) in &self.ops {
            txn = txn.when(&op.key, op.expected);
            txn = match &op.value {
                Some(value) => txn.put(&op.key, value),
                None => txn.delete(&op.key),
            };
        }
        txn
    }

    fn conflicted(&mut self, rows: Vec<(String, Option<Row>)>) {
        for (key, row) in rows {
            let Some(at) = self.ops.iter().position(|(_, op)| op.key == key) else {
                continue;
            };
            let (place, op) = self.ops.swap_remove(at);
            let written = settle(&op, row.clone()).unwrap_or(Written::Conflict(row));
            self.ended.push((place, written));
        }
    }

    fn end_all(&mut self, written: impl Fn(&Op) -> Written) {
        for (place, op) in std::mem::take(&mut self.ops) {
            self.ended.push((place, written(&op)));
        }
    }
}

fn done(op: &Op, version: u64) -> Written {
    Written::Done(if op.value.is_some() { version } else { 0 })
}

/// What a row says about a write that may have taken effect; `None` when it hasn't so far.
fn settle(op: &Op, row: Option<Row>) -> Option<Written> {
    let version = row.as_ref().map_or(0, |row| row.version);
    if version == op.expected {
        return None;
    }
    let found = row.as_ref().map(|row| &row.value);
    if found == op.value.as_ref() {
        return Some(Written::Done(version));
    }
    Some(Written::Conflict(row))
}
