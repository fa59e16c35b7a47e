//! `marigoldstage endpoint`: lists, declares, starts, stops and removes endpoints.

use std::io::Write;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use mgs_schema::settings::Change;
use mgs_schema::settings::EndpointRow;
use mgs_settings::row::RowKey;
use mgs_settings::row::RowValue;
use mgs_settings::sheet::Sheet;

use super::table;
use crate::error::Error;
use crate::error::EXIT_CODES;
use crate::operator;
use crate::operator::edit;
use crate::operator::edit::Editor;
use crate::operator::print;
use crate::operator::Session;

const NAME: &str = "name";

const EXAMPLES: &str = "\
Examples:
  marigoldstage endpoint set engine-7 kind=engine sidecar_address=10.0.1.7:7300 zone=a models=m
  marigoldstage endpoint start engine-7
  marigoldstage endpoint stop engine-7 engine-8 --wait
  marigoldstage endpoint list

A stopped endpoint finishes the requests that it has and gets no new ones.
Cells: kind (engine or service), sidecar_address, zone, models (separated by spaces; for a service
its one name), checks_orders (the endpoint itself refuses an order with an old fencing number),
span (it can hold a part of a prompt that exceeds one engine's memory), started.";

/// Declares the subcommand.
pub fn command() -> Command {
    let names = || name_argument().action(ArgAction::Append);
    Command::new("endpoint")
        .about("Declare, start and stop endpoints")
        .after_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("Show the endpoints")
                .args(operator::arguments()),
        )
        .subcommand(
            Command::new("set")
                .about("Set cells of an endpoint's row; the row is created if there is none")
                .arg(name_argument())
                .arg(table::cells_argument())
                .args(edit::arguments()),
        )
        .subcommand(
            Command::new("start")
                .about("Let endpoints take requests")
                .arg(names())
                .args(edit::arguments()),
        )
        .subcommand(
            Command::new("stop")
                .about("Let endpoints finish their requests and take no new ones")
                .arg(names())
                .args(edit::arguments()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove an endpoint's row")
                .arg(name_argument())
                .args(edit::arguments()),
        )
}

fn name_argument() -> Arg {
    Arg::new(NAME)
        .value_name("NAME")
        .help("Name of the endpoint")
        .required(true)
}

/// Runs the subcommand given in `matches`; editing commands fail with [`Error::Conflict`] if the
/// same row was changed meanwhile.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches, out),
        Some(("set", matches)) => set(matches, out),
        Some(("start", matches)) => set_started(matches, true, out),
        Some(("stop", matches)) => set_started(matches, false, out),
        Some(("remove", matches)) => {
            let key = RowKey::Endpoint(table::argument_text(matches, NAME).to_string());
            table::remove_row(matches, &key, out)
        }
        _ => Err(Error::Usage("give a subcommand of `endpoint`".to_string())),
    }
}

fn list(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let table = Session::open(matches)?.load()?;
    let rows = Sheet::Endpoints.rows(&table);
    if matches.get_flag(operator::JSON) {
        return print::json_rows(&rows, out);
    }
    print::rows(Sheet::Endpoints, &rows, out)
}

fn set(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let editor = Editor::open(matches)?;
    let table = editor.session().load()?;
    let name = table::argument_text(matches, NAME);
    let before = table.endpoint(name).cloned();
    let mut row = RowValue::Endpoint(before.clone().unwrap_or_else(|| EndpointRow {
        name: name.to_string(),
        started: true,
        ..EndpointRow::default()
    }));
    table::set_cells(&mut row, matches)?;
    if row.key() != RowKey::Endpoint(name.to_string()) {
        let text = "the name is the row's key; it can't be set";
        return Err(Error::Usage(text.to_string()));
    }
    let unchanged = before.map(RowValue::Endpoint).as_ref() == Some(&row);
    let changes = if unchanged { vec![] } else { vec![row.set()] };
    editor.submit(&table, changes, out)
}

fn set_started(matches: &ArgMatches, started: bool, out: &mut dyn Write) -> Result<(), Error> {
    let editor = Editor::open(matches)?;
    let table = editor.session().load()?;
    let names = matches.get_many::<String>(NAME).unwrap_or_default();
    let mut changes: Vec<Change> = Vec::new();
    let mut unknown = Vec::new();
    for name in names {
        match table.endpoint(name) {
            Some(row) if row.started == started => {}
            Some(row) => changes.push(with_started(row, started)),
            None => unknown.push(name.as_str()),
        }
    }
    if !unknown.is_empty() {
        let text = format!("no such endpoint: {}", unknown.join(", "));
        return Err(Error::Usage(text));
    }
    editor.submit(&table, changes, out)
}

fn with_started(row: &EndpointRow, started: bool) -> Change {
    let row = EndpointRow {
        started,
        ..row.clone()
    };
    RowValue::Endpoint(row).set()
}
