//! `marigoldstage request`: asynchronous requests, as the platform's store has them.

use std::io::Write;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use mgs_durable::entry::is_id;
use mgs_durable::entry::State;
use mgs_durable::request;
use mgs_durable::request::Cancelled;
use mgs_durable::request::Status;
use mgs_platform::http::Client;
use serde::Serialize;

use super::process;
use crate::error::Error;
use crate::setting::switch;
use crate::setting::value;
use crate::setting::Values;

const ID: &str = "id";
const ORGANISATION: &str = "organisation";
const STATE: &str = "state";
const JSON: &str = "json";

const STATES: [&str; 8] = [
    "submitting",
    "queued",
    "held",
    "running",
    "answered",
    "refused",
    "failed",
    "unknown",
];

const EXAMPLES: &str = "\
Examples:
  marigoldstage request list --organisation org-1 --state running
  marigoldstage request show 8c399d18f59d81a90000000000000001
  marigoldstage request answer 8c399d18f59d81a90000000000000001 > answer.json
  marigoldstage request cancel 8c399d18f59d81a90000000000000001

A request is asynchronous if its caller sent `Prefer: respond-async`; the answer 202 has its
identifier. Others live and end with the connection of their caller and aren't listed.
States: submitting, queued, held (a gateway works on it), running (dispatched to an endpoint), and
the outcomes answered, refused (not run), failed and unknown (may have run).";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("request")
        .about("Show and cancel asynchronous requests")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(list_command())
        .subcommand(
            Command::new("show")
                .about("Show where one request stands")
                .arg(id_argument())
                .args(shared_arguments()),
        )
        .subcommand(
            Command::new("answer")
                .about("Print the body of an ended request's answer")
                .arg(id_argument())
                .args(process::platform_arguments()),
        )
        .subcommand(
            Command::new("cancel")
                .about("Cancel a request; it ends as refused if it hasn't started")
                .arg(id_argument())
                .args(process::platform_arguments()),
        )
}

fn list_command() -> Command {
    Command::new("list")
        .about("List requests")
        .arg(value(
            ORGANISATION,
            "NAME",
            "Only those of this organisation",
        ))
        .arg(value(STATE, "STATE", "Only those in this state"))
        .args(shared_arguments())
}

fn id_argument() -> Arg {
    Arg::new(ID)
        .value_name("ID")
        .required(true)
        .help("Identifier, as the answer 202 gave it")
}

fn shared_arguments() -> Vec<Arg> {
    let mut arguments = process::platform_arguments();
    arguments.push(switch(JSON, "Print JSON instead of a table"));
    arguments
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches, out),
        Some(("show", matches)) => show(matches, out),
        Some(("answer", matches)) => answer(matches, out),
        Some(("cancel", matches)) => cancel(matches, out),
        _ => unreachable!("BUG: the parser requires one of them"),
    }
}

fn client(values: &mut Values<'_>) -> Client {
    Client::new(process::platform_options(values))
}

fn id(values: &mut Values<'_>) -> String {
    let id = values.optional(ID).unwrap_or_default();
    if !is_id(&id) {
        values.argument_fault(
            ID,
            "not an identifier; `marigoldstage request list` shows them",
        );
    }
    id
}

fn list(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let client = client(&mut values);
    let organisation = values.optional(ORGANISATION);
    let state = values.optional(STATE);
    if state
        .as_deref()
        .is_some_and(|state| !STATES.contains(&state))
    {
        values.fault(STATE, format!("give one of {}", STATES.join(", ")));
    }
    let json = values.switch(JSON);
    values.finish()?;

    let wanted = |status: &Status| {
        organisation
            .as_ref()
            .is_none_or(|name| *name == status.entry.organisation)
            && state.as_deref().is_none_or(|state| state == status.state())
    };
    let mut after = Some(String::new());
    let mut lines = Vec::new();
    while let Some(key) = after {
        let page = request::list(&client, &key)?;
        lines.extend(page.requests.iter().filter(|s| wanted(s)).map(Line::of));
        after = page.next;
    }
    if json {
        return process::print_json(&lines, out);
    }
    print_table(&lines, out)
}

fn show(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let client = client(&mut values);
    let id = id(&mut values);
    let json = values.switch(JSON);
    values.finish()?;

    let line = Line::of(&find(&client, &id)?);
    if json {
        return process::print_json(&line, out);
    }
    print_table(&[line], out)
}

fn answer(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let client = client(&mut values);
    let id = id(&mut values);
    values.finish()?;

    let status = find(&client, &id)?;
    let State::Done(done) = &status.entry.state else {
        let text = format!("{id} is {}; ask again later", status.state());
        return Err(Error::Failed(text));
    };
    let body = request::answer_body(&client, done)?;
    let body = body.ok_or_else(|| Error::Failed(format!("the answer of {id} is gone")))?;
    out.write_all(&body)?;
    Ok(())
}

fn cancel(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let client = client(&mut values);
    let id = id(&mut values);
    values.finish()?;

    let text = match request::cancel(&client, &id)? {
        Cancelled::NotFound => return Err(not_found(&id)),
        Cancelled::NotRun => "cancelled; it was not run",
        Cancelled::Wanted => "to be cancelled; whoever holds it ends it",
        Cancelled::Ended => return Err(Error::Failed(format!("{id} had ended before"))),
    };
    writeln!(out, "{text}")?;
    Ok(())
}

fn find(client: &Client, id: &str) -> Result<Status, Error> {
    request::status(client, id)?.ok_or_else(|| not_found(id))
}

fn not_found(id: &str) -> Error {
    Error::Failed(format!(
        "there is no asynchronous request {id}; it may have expired, see `marigoldstage request list`"
    ))
}

/// What is shown of a request.
#[derive(Debug, Clone, Serialize)]
struct Line {
    id: String,
    organisation: String,
    kind: String,
    state: &'static str,
    reason: String,
    endpoint: String,
    idempotent: bool,
    cancelled: bool,
}

impl Line {
    fn of(status: &Status) -> Self {
        let entry = &status.entry;
        let (endpoint, reason) = match &entry.state {
            State::Dispatched(target) => (target.endpoint.clone(), String::new()),
            State::Done(done) => (String::new(), done.reason.clone()),
            _ => (String::new(), String::new()),
        };
        Self {
            id: status.id.clone(),
            organisation: entry.organisation.clone(),
            kind: entry.kind.clone(),
            state: status.state(),
            reason,
            endpoint,
            idempotent: entry.idempotent,
            cancelled: entry.cancelled,
        }
    }
}

fn print_table(lines: &[Line], out: &mut dyn Write) -> Result<(), Error> {
    writeln!(
        out,
        "{:<34}{:<20}{:<14}{:<12}{:<16}reason",
        "id", "organisation", "kind", "state", "endpoint"
    )?;
    for line in lines {
        writeln!(
            out,
            "{:<34}{:<20}{:<14}{:<12}{:<16}{}",
            line.id, line.organisation, line.kind, line.state, line.endpoint, line.reason
        )?;
    }
    Ok(())
}
