//! `marigoldstage table`: shows and edits the settings table, which holds weights, limits and
//! priorities.

pub(crate) use change::remove_row;
pub(crate) use change::set_cells;

mod change;
mod history;
mod read;

use std::io::Write;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use mgs_settings::sheet::Sheet;

use crate::error::Error;
use crate::error::EXIT_CODES;
use crate::operator;

pub(crate) const SHEET: &str = "sheet";
pub(crate) const FILE: &str = "file";
pub(crate) const CELLS: &str = "cells";
pub(crate) const ORGANISATION: &str = "organisation";
pub(crate) const KIND: &str = "kind";

const EXAMPLES: &str = "\
Examples:
  marigoldstage table show                               every row of limits
  marigoldstage table get org-1 chat                     the row that applies to these requests
  marigoldstage table set org-1 chat priority=0 weight=8 --wait
  marigoldstage table export limits > limits.csv         edit it in a spreadsheet, then
  marigoldstage table diff limits limits.csv             see what it would change, and
  marigoldstage table apply limits limits.csv --wait     make the sheet equal to it
  marigoldstage table history --last 20                  who changed what, when, from what

A limit of 0 is no limit; `*` stands for any organisation or kind without a row of its own.
Of the matching rows, the most specific applies: organisation and kind, organisation, kind, neither.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("table")
        .about("Show and edit the table of weights, limits and priorities")
        .after_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(read::commands())
        .subcommands(change::commands())
        .subcommand(history::command())
}

/// Runs the subcommand given in `matches`; editing commands fail with [`Error::Conflict`] if the
/// same row was changed meanwhile.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("show", matches)) => read::show(matches, out),
        Some(("get", matches)) => read::get(matches, out),
        Some(("export", matches)) => read::export(matches, out),
        Some(("diff", matches)) => read::diff(matches, out),
        Some(("set", matches)) => change::set(matches, out),
        Some(("remove", matches)) => change::remove(matches, out),
        Some(("edit", matches)) => change::edit(matches, out),
        Some(("apply", matches)) => change::apply(matches, out),
        Some(("import", matches)) => change::import(matches, out),
        Some(("history", matches)) => history::run(matches, out),
        _ => Err(Error::Usage("give a subcommand of `table`".to_string())),
    }
}

fn sheet_argument() -> Arg {
    Arg::new(SHEET)
        .value_name("SHEET")
        .help("limits, organisations or endpoints")
        .default_value("limits")
}

/// Declares a sheet and a file. The sheet is required here: with a default, a single argument could
/// be either of the two.
fn sheet_and_file_arguments() -> [Arg; 2] {
    let none: Option<&str> = None;
    let sheet = sheet_argument().default_value(none).required(true);
    [sheet, file_argument()]
}

fn file_argument() -> Arg {
    Arg::new(FILE)
        .value_name("FILE")
        .help("CSV with a header; `-` reads standard input")
        .required(true)
}

fn key_arguments() -> [Arg; 2] {
    [
        Arg::new(ORGANISATION)
            .value_name("ORGANISATION")
            .help("Name of the organisation, or `*`")
            .required(true),
        Arg::new(KIND)
            .value_name("KIND")
            .help("Kind of request, or `*`")
            .required(true),
    ]
}

pub(crate) fn cells_argument() -> Arg {
    Arg::new(CELLS)
        .value_name("COLUMN=VALUE")
        .help("Cells to set; the others are unchanged")
        .action(ArgAction::Append)
        .required(true)
}

fn selected_sheet(matches: &ArgMatches) -> Result<Sheet, Error> {
    let text = argument_text(matches, SHEET);
    text.parse::<Sheet>()
        .map_err(|error| Error::Usage(error.to_string()))
}

pub(crate) fn argument_text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn is_json(matches: &ArgMatches) -> bool {
    matches.get_flag(operator::JSON)
}
