//! From sheets to changes: what an edit of many rows would do.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_schema::settings::Change;
use mgs_schema::settings::Edit;

use crate::row;
use crate::row::RowKey;
use crate::row::RowValue;
use crate::sheet::Line;
use crate::sheet::Sheet;
use crate::table::Table;

/// Whether rows that a sheet lacks are removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// They stay.
    Keep,
    /// They are removed, unless they are newer than each row of the sheet.
    Remove,
}

/// One row that an edit would change.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// The row.
    pub key: RowKey,
    /// Its value now.
    pub before: Option<RowValue>,
    /// Its value after.
    pub after: Option<RowValue>,
}

/// What a sheet would change.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The rows that it would change.
    pub differences: Vec<Difference>,
    /// Rows that the sheet lacks and that are newer than it; they stay.
    pub newer: Vec<RowKey>,
    /// Versions of the rows that the sheet was made from, as far as it gives them.
    pub seen: BTreeMap<RowKey, u64>,
}

impl Plan {
    /// Versions of rows in the sheet that others have changed since.
    pub fn stale_versions(&self) -> BTreeSet<u64> {
        let stale = self.differences.iter().filter_map(|difference| {
            let now = difference.before.as_ref().map_or(0, RowValue::version);
            let seen = self.seen.get(&difference.key).copied();
            seen.filter(|seen| *seen != now)
        });
        stale.collect()
    }

    /// Leaves out rows that others have changed since the export and that the sheet still has as
    /// they were then: its editor didn't touch them. `edits` are those of
    /// [`Self::stale_versions`].
    pub fn leave_out_untouched(&mut self, edits: &[Edit]) {
        let seen = &self.seen;
        self.differences.retain(|difference| {
            let version = seen.get(&difference.key).copied().unwrap_or(0);
            let edit = edits.iter().find(|edit| edit.version == version);
            let old = edit.and_then(|edit| value_in(edit, &difference.key));
            let stays = |old: RowValue| Some(old.at_version(0)) == unversioned(&difference.after);
            !old.is_some_and(stays)
        });
    }

    /// The changes of the edit.
    pub fn changes(&self) -> Vec<Change> {
        let change = |difference: &Difference| match &difference.after {
            Some(value) => value.clone().set(),
            None => row::remove(&difference.key),
        };
        self.differences.iter().map(change).collect()
    }
}

/// Compares a sheet with the table.
///
/// ```
/// use mgs_settings::plan;
/// use mgs_settings::plan::Missing;
/// use mgs_settings::sheet;
/// use mgs_settings::sheet::Sheet;
/// use mgs_settings::table::Table;
///
/// let table = Table::default();
/// let lines = sheet::from_csv(Sheet::Limits, "organisation,kind\n*,*\n", &table).unwrap();
/// let plan = plan::compare(Sheet::Limits, &lines, &table, Missing::Keep);
/// assert_eq!(plan.changes().len(), 1);
/// ```
pub fn compare(sheet: Sheet, lines: &[Line], table: &Table, missing: Missing) -> Plan {
    let mut plan = Plan::default();
    for line in lines {
        let key = line.row.key();
        let before = table.row(&key);
        let version = before.as_ref().map_or(0, RowValue::version);
        let after = line.row.clone().at_version(version);
        if let Some(given) = line.version {
            plan.seen.insert(key.clone(), given);
        }
        if before.as_ref() != Some(&after) {
            plan.differences.push(Difference {
                key,
                before,
                after: Some(after),
            });
        }
    }
    if missing == Missing::Remove {
        plan_removals(sheet, lines, table, &mut plan);
    }
    plan
}

fn value_in(edit: &Edit, key: &RowKey) -> Option<RowValue> {
    let mut changes = edit.changes.iter();
    let change = changes.find(|change| row::change_key(change).as_ref() == Some(key))?;
    row::change_value(change)
}

fn unversioned(row: &Option<RowValue>) -> Option<RowValue> {
    row.clone().map(|row| row.at_version(0))
}

fn plan_removals(sheet: Sheet, lines: &[Line], table: &Table, plan: &mut Plan) {
    let kept: BTreeSet<RowKey> = lines.iter().map(|line| line.row.key()).collect();
    let newest = lines.iter().filter_map(|line| line.version).max();
    let absent = sheet.rows(table).into_iter();
    for row in absent.filter(|row| !kept.contains(&row.key())) {
        if newest.is_some_and(|newest| row.version() > newest) {
            plan.newer.push(row.key());
            continue;
        }
        plan.differences.push(Difference {
            key: row.key(),
            before: Some(row),
            after: None,
        });
    }
}
