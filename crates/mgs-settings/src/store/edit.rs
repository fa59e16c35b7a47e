//! Making edits: optimistic by row, conflicts that show both values, lost replies settled.

use std::collections::BTreeMap;
use std::fmt;

use displaydoc::Display;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_schema::settings::Change;
use mgs_schema::settings::Edit;

use super::encode;
use super::log_key;
use super::read;
use super::read::Store;
use super::Error as StoreError;
use super::Head;
use super::HeadRow;
use super::HEAD_KEY;
use crate::check;
use crate::row::change_key;
use crate::row::change_value;
use crate::row::RowKey;
use crate::row::RowValue;
use crate::table::Table;

/// Most changes in one edit, so that an entry of the log stays a few hundred kilobytes.
pub const EDIT_CHANGES_MAX: usize = 2_000;

/// How often an edit is tried against edits of others before it gives up.
const ATTEMPTS: usize = 32;

/// An edit that is to be made.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Identifier, unique over all edits; the same one when the edit is tried again.
    pub edit_id: String,
    /// Who makes it.
    pub author: String,
    /// When it is made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The rows that it changes, each at most once.
    pub changes: Vec<Change>,
    /// Versions of rows that the editor looked at, where they aren't those of the base: those of
    /// a sheet that was exported earlier.
    pub seen: BTreeMap<RowKey, u64>,
    /// Whether it was tried before under this identifier and that try's answer was lost.
    pub retried: bool,
}

/// How an edit that is in force ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Version of the table that has it.
    pub version: u64,
    /// Whether it had been accepted before this call.
    pub already: bool,
}

/// Two operators changed one row.
#[derive(Debug, Clone, PartialEq)]
pub struct Conflict {
    /// The row.
    pub key: RowKey,
    /// Version of the row that the editor looked at; 0 if there was no row.
    pub seen: u64,
    /// Its value then, where it is known.
    pub base: Option<RowValue>,
    /// Its value now.
    pub theirs: Option<RowValue>,
    /// The value that the edit would give it; `None` to remove it.
    pub ours: Option<RowValue>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<RowValue>| match value {
            Some(value) => value.to_string(),
            None => "(no row)".to_string(),
        };
        writeln!(f, "{} was changed by another edit", self.key)?;
        match &self.base {
            Some(base) => writeln!(f, "  before: {base}")?,
            None if self.seen > 0 => writeln!(f, "  before: as of version {}", self.seen)?,
            None => writeln!(f, "  before: (no row)")?,
        }
        writeln!(f, "  theirs: {}", text(&self.theirs))?;
        write!(f, "  yours:  {}", text(&self.ours))
    }
}

/// Why an edit isn't known to be in force.
#[derive(Debug, Display)]
pub enum Error {
    /// not accepted: {0} rows were changed by others since
    Conflict(usize, Vec<Conflict>),
    /// not accepted: {0} faults
    Faults(usize, Vec<String>),
    /// not accepted: {0}
    Refused(StoreError),
    /// the edit may have been accepted; try again with the same identifier: {0}
    Unknown(StoreError),
}

impl std::error::Error for Error {}

/// Makes an edit that was begun on `base`. Rows that others changed meanwhile end in a conflict;
/// edits of other rows don't matter. The table as it would become must pass [`check::faults`].
///
/// An answer that was lost is settled by reading the log: the transaction was made on a version
/// of the head, so it either is in the log after that version or never will be once the head
/// has moved.
pub fn commit(store: Store<'_>, base: &Table, options: &Options) -> Result<Outcome, Error> {
    let mut attempt = Attempt {
        store,
        base,
        options,
        current: base.clone(),
        unsettled: None,
    };
    attempt.check_form()?;
    for _ in 0..ATTEMPTS {
        if let Some(outcome) = attempt.step()? {
            return Ok(outcome);
        }
    }
    Err(attempt.fail(mgs_platform::Error::Rejected("too many edits at once".to_string()).into()))
}

struct Attempt<'a> {
    store: Store<'a>,
    base: &'a Table,
    options: &'a Options,
    /// The newest table that was read.
    current: Table,
    /// Version of the head's row on which a transaction was made whose answer was lost.
    unsettled: Option<u64>,
}

impl Attempt<'_> {
    fn check_form(&self) -> Result<(), Error> {
        let changes = &self.options.changes;
        let mut faults = Vec::new();
        if self.options.edit_id.is_empty() {
            faults.push("the edit has no identifier".to_string());
        }
        if changes.is_empty() {
            faults.push("the edit changes nothing".to_string());
        }
        if changes.len() > EDIT_CHANGES_MAX {
            faults.push(format!(
                "{} changes, at most {EDIT_CHANGES_MAX}",
                changes.len()
            ));
        }
        let mut keys: Vec<_> = changes.iter().filter_map(change_key).collect();
        keys.sort();
        let doubled = keys.windows(2).filter(|pair| pair[0] == pair[1]);
        faults.extend(doubled.map(|pair| format!("{} is changed twice", pair[0])));
        refuse_faults(faults)
    }

    fn step(&mut self) -> Result<Option<Outcome>, Error> {
        let head = read::head(self.store.table).map_err(|error| self.fail(error))?;
        if let Some(version) = self.bring_up_to(&head)? {
            return Ok(Some(Outcome {
                version,
                already: true,
            }));
        }
        self.settle(&head);
        if self.current.version() != head.head.version {
            return Ok(None);
        }
        self.check_conflicts()?;
        let edit = self.next_edit();
        self.check_faults(&edit)?;
        self.transact(&head, &edit)
    }

    /// The log was read up to the head and lacks this edit; a transaction on a version of the
    /// head that has passed can't take effect any more.
    fn settle(&mut self, head: &HeadRow) {
        if self
            .unsettled
            .is_some_and(|revision| revision != head.revision)
        {
            self.unsettled = None;
        }
    }

    /// Reads the log up to the head; returns the version of this edit if the log has it.
    fn bring_up_to(&mut self, head: &HeadRow) -> Result<Option<u64>, Error> {
        if self.current.version() >= head.head.version {
            return Ok(None);
        }
        let first = self.current.version() + 1;
        let edits = read::history(self.store, first, head.head.version);
        let edits = edits.map_err(|error| self.fail(error))?;
        let ours = edits
            .iter()
            .find(|edit| edit.edit_id == self.options.edit_id);
        if let Some(edit) = ours {
            return Ok(Some(edit.version));
        }
        let next = self.current.after(&edits);
        self.current = next.map_err(|_| self.fail(StoreError::Gap(first)))?;
        Ok(None)
    }

    fn check_conflicts(&self) -> Result<(), Error> {
        let changes = self.options.changes.iter();
        let conflicts: Vec<_> = changes.filter_map(|change| self.conflict(change)).collect();
        if conflicts.is_empty() {
            return Ok(());
        }
        Err(Error::Conflict(conflicts.len(), conflicts))
    }

    fn conflict(&self, change: &Change) -> Option<Conflict> {
        let key = change_key(change)?;
        let version = |row: &Option<RowValue>| row.as_ref().map_or(0, RowValue::version);
        let base = self.base.row(&key);
        let theirs = self.current.row(&key);
        let given = self.options.seen.get(&key).copied();
        let seen = given.unwrap_or(version(&base));
        if seen == version(&theirs) {
            return None;
        }
        let ours = change_value(change);
        Some(Conflict {
            key,
            seen,
            base: base.filter(|row| row.version() == seen),
            theirs,
            ours,
        })
    }

    fn next_edit(&self) -> Edit {
        Edit {
            version: self.current.version() + 1,
            edit_id: self.options.edit_id.clone(),
            author: self.options.author.clone(),
            at_ms: self.options.at_ms,
            based_on: self.base.version(),
            changes: self.options.changes.clone(),
        }
    }

    fn check_faults(&self, edit: &Edit) -> Result<(), Error> {
        let edits = std::slice::from_ref(edit);
        let next = self.current.after(edits);
        let next = next.map_err(|_| self.fail(StoreError::Gap(edit.version)))?;
        let faults = check::faults(next.snapshot());
        refuse_faults(faults.iter().map(ToString::to_string).collect())
    }

    fn transact(&mut self, head: &HeadRow, edit: &Edit) -> Result<Option<Outcome>, Error> {
        let txn = txn(head, edit).map_err(Error::Refused)?;
        match self.store.table.commit(&txn) {
            Ok(TxnOutcome::Committed(_)) => Ok(Some(Outcome {
                version: edit.version,
                already: false,
            })),
            Ok(TxnOutcome::Conflict(_)) => Ok(None),
            Err(mgs_platform::Error::Unknown(_)) => {
                self.unsettled = Some(head.revision);
                Ok(None)
            }
            Err(error) => Err(self.fail(error.into())),
        }
    }

    fn fail(&self, error: StoreError) -> Error {
        if self.options.retried || self.unsettled.is_some() {
            Error::Unknown(error)
        } else {
            Error::Refused(error)
        }
    }
}

fn refuse_faults(faults: Vec<String>) -> Result<(), Error> {
    if faults.is_empty() {
        return Ok(());
    }
    Err(Error::Faults(faults.len(), faults))
}

fn txn(head: &HeadRow, edit: &Edit) -> Result<Txn, StoreError> {
    let next = Head {
        version: edit.version,
        edit_id: edit.edit_id.clone(),
    };
    let log = log_key(edit.version);
    let txn = Txn::default()
        .when(HEAD_KEY, head.revision)
        .when(&log, 0)
        .put(HEAD_KEY, &encode(HEAD_KEY, &next)?)
        .put(&log, &encode(&log, edit)?);
    Ok(txn)
}
