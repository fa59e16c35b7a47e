//! From sheets to changes: what an edit of many rows would do.

use std::collections::BTreeSet;

use mgs_schema::settings::Change;

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
    /// The table that the sheet was made from, as far as it says: a row whose version isn't the
    /// one in the sheet is left as the sheet has it, so that the edit ends in a conflict.
    pub base: Table,
}

impl Plan {
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
    let mut base = table.snapshot().clone();
    for line in lines {
        let key = line.row.key();
        let before = table.row(&key);
        let version = before.as_ref().map_or(0, RowValue::version);
        let after = line.row.clone().at_version(version);
        if line.version.is_some_and(|given| given != version) {
            let given = line.version.unwrap_or_default();
            let change = line.row.clone().set();
            crate::table::apply_change(&mut base, &change, given);
        }
        if before.as_ref() != Some(&after) {
            plan.differences.push(Difference {
                key,
                before,
                after: Some(after),
            });
        }
    }
    plan.base = Table::new(base);
    if missing == Missing::Remove {
        plan_removals(sheet, lines, table, &mut plan);
    }
    plan
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
