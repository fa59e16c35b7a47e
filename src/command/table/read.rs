//! Subcommands of `marigoldstage table` that only read: `show`, `get`, `export` and `diff`; also
//! reads and compares sheets for the subcommands that change rows.

use std::io::Read;
use std::io::Write;

use clap::ArgMatches;
use clap::Command;
use mgs_settings::plan;
use mgs_settings::plan::Missing;
use mgs_settings::plan::Plan;
use mgs_settings::row::RowValue;
use mgs_settings::sheet;
use mgs_settings::sheet::Line;
use mgs_settings::sheet::Sheet;
use mgs_settings::store::read;
use mgs_settings::table::Table;

use super::argument_text;
use super::is_json;
use super::key_arguments;
use super::selected_sheet;
use super::sheet_and_file_arguments;
use super::sheet_argument;
use super::FILE;
use super::KIND;
use super::ORGANISATION;
use crate::error::Error;
use crate::operator;
use crate::operator::print;
use crate::operator::store_error;
use crate::operator::Session;

const STANDARD_INPUT: &str = "-";

pub(super) fn commands() -> Vec<Command> {
    vec![
        Command::new("show")
            .about("Show a sheet")
            .arg(sheet_argument())
            .args(operator::arguments()),
        Command::new("get")
            .about("Show the row of limits that applies to an organisation and a kind of request")
            .args(key_arguments())
            .args(operator::arguments()),
        Command::new("export")
            .about("Print a sheet as CSV, or with --json the whole table")
            .arg(sheet_argument())
            .args(operator::arguments()),
        Command::new("diff")
            .about("Show what `apply` would change, without changing anything")
            .args(sheet_and_file_arguments())
            .args(operator::arguments()),
    ]
}

pub(super) fn show(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let sheet = selected_sheet(matches)?;
    let table = Session::open(matches)?.load()?;
    let rows = sheet.rows(&table);
    if is_json(matches) {
        return print::json_rows(&rows, out);
    }
    print::rows(sheet, &rows, out)?;
    writeln!(
        out,
        "{} rows, table version {}",
        rows.len(),
        table.version()
    )?;
    Ok(())
}

pub(super) fn get(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let (organisation, kind) = (
        argument_text(matches, ORGANISATION),
        argument_text(matches, KIND),
    );
    let table = Session::open(matches)?.load()?;
    let Some(row) = table.limit(organisation, kind) else {
        let text =
            format!("no row applies to {organisation} and {kind}; there is none for `* *` either");
        return Err(Error::Failed(text));
    };
    if is_json(matches) {
        return print::json(row, out);
    }
    print::rows(Sheet::Limits, &[RowValue::Limit(row.clone())], out)
}

pub(super) fn export(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let sheet = selected_sheet(matches)?;
    let table = Session::open(matches)?.load()?;
    if is_json(matches) {
        return print::json(table.snapshot(), out);
    }
    let csv = sheet::to_csv(sheet, &sheet.rows(&table));
    let csv = csv.map_err(|error| Error::Failed(error.to_string()))?;
    out.write_all(csv.as_bytes())?;
    Ok(())
}

pub(super) fn diff(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let sheet = selected_sheet(matches)?;
    let session = Session::open(matches)?;
    let table = session.load()?;
    let lines = read_sheet(sheet, &read_file(matches)?, &table)?;
    let plan = plan_changes(&session, sheet, &lines, &table, Missing::Remove)?;
    print::differences(sheet, &plan.differences, out)?;
    print_kept_rows(&plan, out)?;
    writeln!(
        out,
        "{} rows differ from table version {}",
        plan.differences.len(),
        table.version()
    )?;
    Ok(())
}

/// Compares a sheet with the table. Rows that others changed in the table since the sheet was
/// exported are left out if the sheet still has them as exported.
pub(super) fn plan_changes(
    session: &Session,
    sheet: Sheet,
    lines: &[Line],
    table: &Table,
    missing: Missing,
) -> Result<Plan, Error> {
    let mut plan = plan::compare(sheet, lines, table, missing);
    let mut edits = Vec::new();
    for version in plan.stale_versions() {
        let edit = read::history(session.store(), version, version);
        edits.extend(edit.map_err(store_error)?);
    }
    plan.leave_out_untouched(&edits);
    Ok(plan)
}

/// Prints the rows that aren't in the sheet and are kept, since they are newer than the sheet.
pub(super) fn print_kept_rows(plan: &Plan, out: &mut dyn Write) -> Result<(), Error> {
    for key in &plan.newer {
        writeln!(
            out,
            "! {key} isn't in the sheet, but is newer than it: it is kept"
        )?;
    }
    Ok(())
}

pub(super) fn read_file(matches: &ArgMatches) -> Result<String, Error> {
    let file = argument_text(matches, FILE);
    let text = if file == STANDARD_INPUT {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|error| Error::Usage(format!("{file}: {error}")))
}

pub(super) fn read_sheet(sheet: Sheet, text: &str, table: &Table) -> Result<Vec<Line>, Error> {
    sheet::from_csv(sheet, text, table).map_err(|invalid_cells| {
        let texts: Vec<String> = invalid_cells.iter().map(ToString::to_string).collect();
        Error::Usage(format!("{} faults:\n  {}", texts.len(), texts.join("\n  ")))
    })
}
