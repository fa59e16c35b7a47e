//! The transactional table service: rows by key, each with a version, changed in transactions.

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Most rows in one transaction.
pub const TXN_ROWS_MAX: usize = 500;

/// Most rows in one page of a scan.
pub const PAGE_ROWS_MAX: usize = 1000;

/// One row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Key; keys are ordered by their bytes.
    pub key: String,
    /// Value.
    pub value: String,
    /// Revision of the store at which the row was last written; never 0, never reused.
    pub version: u64,
}

/// What must hold for a transaction to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value, or nothing to delete the row.
    pub value: Option<String>,
}

/// A transaction: all conditions hold and all writes take effect, or nothing does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions, checked first.
    pub conditions: Vec<Condition>,
    /// Writes, made together.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds the condition that `key` has `version` (0: does not exist).
    ///
    /// ```
    /// use mgs_platform::table::Txn;
    ///
    /// let txn = Txn::default().when("lease", 0).put("lease", "holder-1");
    /// assert_eq!(txn.conditions.len(), 1);
    /// ```
    pub fn when(mut self, key: &str, version: u64) -> Self {
        self.conditions.push(Condition {
            key: key.to_string(),
            version,
        });
        self
    }

    /// Adds a write of `key`.
    pub fn put(mut self, key: &str, value: &str) -> Self {
        self.writes.push(Write {
            key: key.to_string(),
            value: Some(value.to_string()),
        });
        self
    }

    /// Adds a deletion of `key`.
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.to_string(),
            value: None,
        });
        self
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TxnOutcome {
    /// It took effect; each written row now has this version.
    Committed(u64),
    /// It didn't; these are the rows whose condition failed, as they are now (`None`: no row).
    Conflict(Vec<(String, Option<Row>)>),
}

/// A page of a scan.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Whether there are more rows after the last one.
    pub more: bool,
    /// Revision of the store at which the page was read.
    pub revision: u64,
}

/// The table service.
pub trait Table: Send + Sync {
    /// Makes a transaction. `Unknown` says that it may have taken effect.
    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, Error>;

    /// Reads one row.
    fn get(&self, key: &str) -> Result<Option<Row>, Error>;

    /// Reads rows whose key starts with `prefix` and is greater than `after`, at most `limit`.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Error>;
}

/// Reads all rows under a prefix, page by page.
///
/// ```no_run
/// # fn f(table: &dyn mgs_platform::table::Table) -> Result<(), mgs_platform::Error> {
/// let rows = mgs_platform::table::scan_all(table, "endpoint/")?;
/// # Ok(()) }
/// ```
pub fn scan_all(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or(String::new(), |row| row.key.clone());
        let page = table.scan(prefix, &after, PAGE_ROWS_MAX)?;
        rows.extend(page.rows);
        if !page.more {
            return Ok(rows);
        }
    }
}
