//! Prints rows as aligned columns or as JSON.

use std::io::Write;

use mgs_settings::plan::Difference;
use mgs_settings::row::RowValue;
use mgs_settings::sheet;
use mgs_settings::sheet::Sheet;
use serde::Serialize;

use crate::error::Error;

/// Prints a value as indented JSON.
pub fn json<T: Serialize>(value: &T, out: &mut dyn Write) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value);
    let text = text.map_err(|error| Error::Failed(error.to_string()))?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Prints rows of one sheet with their columns aligned.
pub fn rows(sheet: Sheet, rows: &[RowValue], out: &mut dyn Write) -> Result<(), Error> {
    let header: Vec<String> = sheet::header(sheet).map(String::from).collect();
    let mut lines = vec![header];
    lines.extend(rows.iter().map(|row| sheet::cells(sheet, row)));
    aligned_columns(&lines, out)
}

/// Prints rows of one sheet as JSON.
pub fn json_rows(rows: &[RowValue], out: &mut dyn Write) -> Result<(), Error> {
    let values: Result<Vec<serde_json::Value>, serde_json::Error> =
        rows.iter().map(row_to_json).collect();
    let values = values.map_err(|error| Error::Failed(error.to_string()))?;
    json(&values, out)
}

fn row_to_json(row: &RowValue) -> Result<serde_json::Value, serde_json::Error> {
    match row {
        RowValue::Limit(row) => serde_json::to_value(row),
        RowValue::Organisation(row) => serde_json::to_value(row),
        RowValue::Endpoint(row) => serde_json::to_value(row),
    }
}

/// Prints lines of cells with their columns aligned.
pub fn aligned_columns(lines: &[Vec<String>], out: &mut dyn Write) -> Result<(), Error> {
    let columns = lines.first().map_or(0, Vec::len);
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for line in lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}", width = *width))
            .collect();
        writeln!(out, "{}", cells.join("  ").trim_end())?;
    }
    Ok(())
}

/// Prints each difference as an added, removed or changed row, the latter cell by cell.
pub fn differences(
    sheet: Sheet,
    differences: &[Difference],
    out: &mut dyn Write,
) -> Result<(), Error> {
    for difference in differences {
        match (&difference.before, &difference.after) {
            (None, Some(after)) => writeln!(out, "+ {} {after}", difference.key)?,
            (Some(_), None) => writeln!(out, "- {}", difference.key)?,
            (Some(before), Some(after)) => {
                let changed = changed_cells(sheet, before, after);
                writeln!(out, "~ {} {}", difference.key, changed.join(" "))?;
            }
            (None, None) => {}
        }
    }
    Ok(())
}

fn changed_cells(sheet: Sheet, before: &RowValue, after: &RowValue) -> Vec<String> {
    let mut changed = Vec::new();
    for column in sheet.columns() {
        let old = sheet::cell::text(before, column);
        let new = sheet::cell::text(after, column);
        if old != new {
            changed.push(format!("{column}: {old:?} -> {new:?}"));
        }
    }
    changed
}
