//! Subcommands of `marigoldstage table` that change rows: `set`, `remove`, `edit`, `apply` and
//! `import`.

use std::io::Write;

use clap::ArgMatches;
use clap::Command;
use mgs_schema::settings::Change;
use mgs_schema::settings::Snapshot;
use mgs_settings::plan;
use mgs_settings::plan::Missing;
use mgs_settings::row;
use mgs_settings::row::RowKey;
use mgs_settings::row::RowValue;
use mgs_settings::sheet::cell;
use mgs_settings::sheet::Sheet;
use mgs_settings::store::edit::EDIT_CHANGES_MAX;
use mgs_settings::table::Table;

use super::argument_text;
use super::cells_argument;
use super::key_arguments;
use super::read;
use super::selected_sheet;
use super::sheet_and_file_arguments;
use super::CELLS;
use super::FILE;
use super::KIND;
use super::ORGANISATION;
use crate::error::Error;
use crate::operator::edit;
use crate::operator::edit::Editor;
use crate::operator::print;

const JSON_SUFFIX: &str = ".json";

pub(super) fn commands() -> Vec<Command> {
    vec![
        Command::new("set")
            .about("Set cells of one row of limits; the row is created if there is none")
            .args(key_arguments())
            .arg(cells_argument())
            .args(edit::arguments()),
        Command::new("remove")
            .about("Remove one row of limits")
            .args(key_arguments())
            .args(edit::arguments()),
        Command::new("edit")
            .about(
                "Set the cells that a CSV gives, in one edit; other rows and cells are unchanged",
            )
            .args(sheet_and_file_arguments())
            .args(edit::arguments()),
        Command::new("apply")
            .about("Make a sheet equal to a CSV, in one edit; rows that the CSV lacks are removed")
            .args(sheet_and_file_arguments())
            .args(edit::arguments()),
        Command::new("import")
            .about("Set many rows from a CSV or an exported .json, in as many edits as needed")
            .args(sheet_and_file_arguments())
            .args(edit::arguments()),
    ]
}

/// Sets cells of a row, given as `COLUMN=VALUE`; the error lists every invalid one.
pub(crate) fn set_cells(row: &mut RowValue, matches: &ArgMatches) -> Result<(), Error> {
    let cells = matches.get_many::<String>(CELLS).unwrap_or_default();
    let mut invalid = Vec::new();
    for given in cells {
        let result = match given.split_once('=') {
            Some((column, value)) => cell::set(row, column.trim(), value.trim()),
            None => Err("give COLUMN=VALUE".to_string()),
        };
        invalid.extend(result.err().map(|detail| format!("{given}: {detail}")));
    }
    if invalid.is_empty() {
        return Ok(());
    }
    let text = invalid.join("\n  ");
    Err(Error::Usage(format!("{} faults:\n  {text}", invalid.len())))
}

pub(super) fn set(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let editor = Editor::open(matches)?;
    let table = editor.session().load()?;
    let key = RowKey::limit(
        argument_text(matches, ORGANISATION),
        argument_text(matches, KIND),
    );
    let mut row = table.row(&key).unwrap_or_else(|| new_limit_row(&key));
    let before = row.clone();
    set_cells(&mut row, matches)?;
    if row.key() != key {
        let text = "the organisation and the kind are the row's key; they can't be set";
        return Err(Error::Usage(text.to_string()));
    }
    let unchanged = table.row(&key).is_some() && row == before;
    let changes = if unchanged { vec![] } else { vec![row.set()] };
    editor.submit(&table, changes, out)
}

fn new_limit_row(key: &RowKey) -> RowValue {
    let mut row = Sheet::Limits.new_row();
    if let (RowValue::Limit(row), RowKey::Limit { organisation, kind }) = (&mut row, key) {
        row.organisation.clone_from(organisation);
        row.kind.clone_from(kind);
    }
    row
}

pub(super) fn remove(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let key = RowKey::limit(
        argument_text(matches, ORGANISATION),
        argument_text(matches, KIND),
    );
    remove_row(matches, &key, out)
}

/// Removes a row; fails if the table doesn't have it.
pub(crate) fn remove_row(
    matches: &ArgMatches,
    key: &RowKey,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let editor = Editor::open(matches)?;
    let table = editor.session().load()?;
    if table.row(key).is_none() {
        return Err(Error::Failed(format!("there is no {key}")));
    }
    editor.submit(&table, vec![row::remove(key)], out)
}

pub(super) fn edit(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    submit_sheet(matches, Missing::Keep, out)
}

pub(super) fn apply(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    submit_sheet(matches, Missing::Remove, out)
}

fn submit_sheet(matches: &ArgMatches, missing: Missing, out: &mut dyn Write) -> Result<(), Error> {
    let sheet = selected_sheet(matches)?;
    let editor = Editor::open(matches)?;
    let table = editor.session().load()?;
    let lines = read::read_sheet(sheet, &read::read_file(matches)?, &table)?;
    let plan = read::plan_changes(editor.session(), sheet, &lines, &table, missing)?;
    print::differences(sheet, &plan.differences, out)?;
    read::print_kept_rows(&plan, out)?;
    editor.submit_rows(&table, plan.changes(), plan.seen, out)
}

pub(super) fn import(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let editor = Editor::open(matches)?;
    let mut table = editor.session().load()?;
    let file = read::read_file(matches)?;
    let changes = if argument_text(matches, FILE).ends_with(JSON_SUFFIX) {
        json_changes(&file, &table)?
    } else {
        let sheet = selected_sheet(matches)?;
        let lines = read::read_sheet(sheet, &file, &table)?;
        plan::compare(sheet, &lines, &table, Missing::Keep).changes()
    };
    for chunk in changes.chunks(EDIT_CHANGES_MAX) {
        editor.submit(&table, chunk.to_vec(), out)?;
        table = editor.session().load()?;
    }
    writeln!(out, "{} rows imported", changes.len())?;
    Ok(())
}

/// Reads an exported table and returns the changes for the rows that differ. Organisations come
/// first, since rows of limits refer to them.
fn json_changes(file: &str, table: &Table) -> Result<Vec<Change>, Error> {
    let snapshot: Snapshot =
        serde_json::from_str(file).map_err(|error| Error::Usage(error.to_string()))?;
    let mut rows = Table::new(snapshot).rows();
    rows.sort_by_key(|row| !matches!(row, RowValue::Organisation(_)));
    let is_changed = |row: &RowValue| {
        let current = table.row(&row.key());
        current.map(|current| current.at_version(0)) != Some(row.clone().at_version(0))
    };
    Ok(rows
        .into_iter()
        .filter(is_changed)
        .map(RowValue::set)
        .collect())
}
