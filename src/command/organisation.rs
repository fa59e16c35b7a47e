//! `marigoldstage organisation`: lists, creates and removes organisations and manages their bearer
//! keys.

use std::io::Write;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use mgs_schema::settings::OrganisationRow;
use mgs_settings::row::RowKey;
use mgs_settings::row::RowValue;
use mgs_settings::sheet::Sheet;
use mgs_settings::table::key_digest;

use super::table;
use crate::error::Error;
use crate::error::EXIT_CODES;
use crate::operator;
use crate::operator::edit;
use crate::operator::edit::Editor;
use crate::operator::print;
use crate::operator::Session;

const NAME: &str = "name";
const REVOKE: &str = "revoke";

/// Prefix of every bearer key, by which secret scanners can recognise a leaked key.
const KEY_PREFIX: &str = "mgs_";

/// Minimum number of leading digits of a digest that identify a key to revoke.
const REVOKE_DIGITS_MIN: usize = 8;

const EXAMPLES: &str = "\
Examples:
  marigoldstage organisation create org-1       prints its first bearer key, once
  marigoldstage organisation key org-1          prints another one, for key rotation
  marigoldstage organisation list               digests of the keys, never the keys
  marigoldstage organisation key org-1 --revoke 3f9a2c01 --wait

Only the SHA-256 digest of a key is stored; a lost key can't be shown again.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("organisation")
        .about("Create organisations and their bearer keys")
        .after_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("Show the organisations and the digests of their keys")
                .args(operator::arguments()),
        )
        .subcommand(
            Command::new("create")
                .about("Create an organisation and print its first key")
                .arg(name_argument())
                .args(edit::arguments()),
        )
        .subcommand(
            Command::new("key")
                .about("Add a key and print it, or revoke one")
                .arg(name_argument())
                .arg(
                    Arg::new(REVOKE).long(REVOKE).value_name("DIGEST").help(
                        "Revoke the key whose digest begins with DIGEST, instead of adding one",
                    ),
                )
                .args(edit::arguments()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove an organisation; its rows of limits must be removed first")
                .arg(name_argument())
                .args(edit::arguments()),
        )
}

fn name_argument() -> Arg {
    Arg::new(NAME)
        .value_name("NAME")
        .help("Name of the organisation")
        .required(true)
}

/// Runs the subcommand given in `matches`; editing commands fail with [`Error::Conflict`] if the
/// same row was changed meanwhile.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches, out),
        Some(("create", matches)) => create(matches, out),
        Some(("key", matches)) => key(matches, out),
        Some(("remove", matches)) => {
            let key = RowKey::Organisation(table::argument_text(matches, NAME).to_string());
            table::remove_row(matches, &key, out)
        }
        _ => Err(Error::Usage(
            "give a subcommand of `organisation`".to_string(),
        )),
    }
}

fn list(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let table = Session::open(matches)?.load()?;
    let rows = Sheet::Organisations.rows(&table);
    if matches.get_flag(operator::JSON) {
        return print::json_rows(&rows, out);
    }
    print::rows(Sheet::Organisations, &rows, out)
}

fn create(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let editor = Editor::open(matches)?;
    let table = editor.session().load()?;
    let name = table::argument_text(matches, NAME);
    if table.organisation(name).is_some() {
        let text = format!("{name} exists; `organisation key {name}` adds a key");
        return Err(Error::Conflict(text));
    }
    let bearer_key = new_key();
    let row = OrganisationRow {
        name: name.to_string(),
        key_digests: vec![key_digest(&bearer_key)],
        ..OrganisationRow::default()
    };
    let changes = vec![RowValue::Organisation(row).set()];
    print_key(&bearer_key, editor.submit(&table, changes, out), out)
}

fn key(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let editor = Editor::open(matches)?;
    let table = editor.session().load()?;
    let name = table::argument_text(matches, NAME);
    let Some(row) = table.organisation(name) else {
        return Err(Error::Usage(format!("no such organisation: {name}")));
    };
    let mut row = row.clone();
    if let Some(digest) = matches.get_one::<String>(REVOKE) {
        revoke(&mut row, digest)?;
        let changes = vec![RowValue::Organisation(row).set()];
        return editor.submit(&table, changes, out);
    }
    let bearer_key = new_key();
    row.key_digests.push(key_digest(&bearer_key));
    let changes = vec![RowValue::Organisation(row).set()];
    print_key(&bearer_key, editor.submit(&table, changes, out), out)
}

fn revoke(row: &mut OrganisationRow, digest: &str) -> Result<(), Error> {
    let found = row.key_digests.iter().filter(|d| d.starts_with(digest));
    if digest.len() < REVOKE_DIGITS_MIN || found.count() != 1 {
        let text = format!(
            "give at least {REVOKE_DIGITS_MIN} leading digits that match exactly one digest"
        );
        return Err(Error::Usage(text));
    }
    row.key_digests.retain(|d| !d.starts_with(digest));
    Ok(())
}

/// Generates a bearer key with 256 random bits.
fn new_key() -> String {
    format!(
        "{KEY_PREFIX}{:032x}{:032x}",
        rand::random::<u128>(),
        rand::random::<u128>()
    )
}

/// Prints the key if the edit may have taken effect: on success, and also if the reply was lost or
/// not every process has confirmed the edit in time.
fn print_key(
    bearer_key: &str,
    result: Result<(), Error>,
    out: &mut dyn Write,
) -> Result<(), Error> {
    if matches!(result, Ok(()) | Err(Error::Unknown(_) | Error::Timeout(_))) {
        writeln!(out, "bearer key, shown only now: {bearer_key}")?;
    }
    result
}
