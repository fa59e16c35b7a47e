//! Deliberate faults, to show that the check finds them.

use std::str::FromStr;
use std::sync::Arc;

use displaydoc::Display;
use mgs_platform::table::Page;
use mgs_platform::table::Row;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_platform::Error;

/// A deliberate fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Plant {
    /// None.
    #[default]
    Nothing,
    /// Transactions ignore their conditions.
    BlindWrites,
    /// An operator's tool takes the newest table for the one that the operator saw.
    BlindRebase,
    /// An operator's tool tries again on the newest table, under a new identifier, after a lost
    /// reply.
    NewIdentifier,
    /// A process takes whatever table it is given, older ones too.
    GoesBack,
    /// A process serves before it is as new as the store.
    ServesEarly,
}

/// Names of the faults.
pub const NAMES: [&str; 5] = [
    "blind-writes",
    "blind-rebase",
    "new-identifier",
    "goes-back",
    "serves-early",
];

/// no such fault: {0}
#[derive(Debug, Display)]
pub struct Unknown(String);

impl std::error::Error for Unknown {}

impl FromStr for Plant {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "" => Ok(Self::Nothing),
            "blind-writes" => Ok(Self::BlindWrites),
            "blind-rebase" => Ok(Self::BlindRebase),
            "new-identifier" => Ok(Self::NewIdentifier),
            "goes-back" => Ok(Self::GoesBack),
            "serves-early" => Ok(Self::ServesEarly),
            _ => Err(Unknown(text.to_string())),
        }
    }
}

/// A table service whose transactions ignore their conditions.
pub struct Blind(pub Arc<dyn Table>);

impl Table for Blind {
    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, Error> {
        let txn = Txn {
            conditions: Vec::new(),
            writes: txn.writes.clone(),
        };
        self.0.commit(&txn)
    }

    fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.0.get(key)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Error> {
        self.0.scan(prefix, after, limit)
    }
}
