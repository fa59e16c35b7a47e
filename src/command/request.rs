//! `marigoldstage request`: lists, shows and cancels durable requests, which are those that callers
//! sent with `Prefer: respond-async`.

use std::io::Write;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use mgs_durable::entry::is_id;
use mgs_durable::entry::State;
use mgs_durable::request;
use mgs_durable::request::Cancelled;
use mgs_durable::request::Status;
use serde::Serialize;

use crate::error::Error;
use crate::error::EXIT_CODES;
use crate::operator;
use crate::operator::print;
use crate::operator::Session;

const ID: &str = "id";
const ORGANISATION: &str = "organisation";
const STATE: &str = "state";
const LIMIT: &str = "limit";
const BODY: &str = "body";

const LIMIT_DEFAULT: &str = "100";

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
  marigoldstage request list                             durable requests and their states
  marigoldstage request list --organisation org-1 --state queued
  marigoldstage request show 0f8f…                       one request: holder, endpoint, deadline
  marigoldstage request show 0f8f… --body > answer.json  the answer of one that has ended
  marigoldstage request cancel 0f8f…                     cancel it, before it runs if possible

States: submitting (its caller has no 202 yet), queued (any gateway may take it), held (a gateway
has taken it), running (dispatched to an endpoint), then answered, refused (not run), failed (ran
or partly ran) or unknown (may have run). Times are seconds of the clock that gateways share.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("request")
        .about("List, show and cancel durable requests, sent with `Prefer: respond-async`")
        .after_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([list_command(), show_command(), cancel_command()])
}

fn list_command() -> Command {
    Command::new("list")
        .about("List durable requests")
        .arg(option_argument(
            ORGANISATION,
            "NAME",
            "Only requests of this organisation",
        ))
        .arg(option_argument(STATE, "STATE", "Only requests in this state").value_parser(STATES))
        .arg(
            option_argument(LIMIT, "COUNT", "Maximum number of requests to print")
                .value_parser(clap::value_parser!(u64).range(1..))
                .default_value(LIMIT_DEFAULT),
        )
        .args(operator::arguments())
}

fn show_command() -> Command {
    Command::new("show")
        .about("Show one durable request, or its answer")
        .arg(id_argument())
        .arg(
            Arg::new(BODY)
                .long(BODY)
                .help("Print only the answer's body")
                .action(ArgAction::SetTrue),
        )
        .args(operator::arguments())
}

fn cancel_command() -> Command {
    Command::new("cancel")
        .about("Cancel a durable request")
        .arg(id_argument())
        .args(operator::arguments())
}

fn option_argument(name: &'static str, placeholder: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(placeholder).help(help)
}

fn id_argument() -> Arg {
    Arg::new(ID)
        .value_name("ID")
        .help("Identifier, as in the 202 response and in `request list`")
        .required(true)
}

/// Runs the subcommand given in `matches`; fails if the request isn't known or the platform can't
/// be reached.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches, out),
        Some(("show", matches)) => show(matches, out),
        Some(("cancel", matches)) => cancel(matches, out),
        _ => Err(Error::Usage("give a subcommand of `request`".to_string())),
    }
}

/// A request as `--json` prints it.
#[derive(Debug, Serialize)]
struct RequestRecord {
    id: String,
    organisation: String,
    kind: String,
    state: &'static str,
    reason: String,
    idempotent: bool,
    cancelled: bool,
    endpoint: String,
    holder: String,
    fencing: u64,
    submitted_ms: u64,
    deadline_ms: u64,
    expires_ms: u64,
}

impl From<&Status> for RequestRecord {
    fn from(status: &Status) -> Self {
        let entry = &status.entry;
        let endpoint = match &entry.state {
            State::Dispatched(target) => target.endpoint.clone(),
            _ => String::new(),
        };
        let reason = match &entry.state {
            State::Done(done) => done.reason.clone(),
            _ => String::new(),
        };
        Self {
            id: status.id.clone(),
            organisation: entry.organisation.clone(),
            kind: entry.kind.clone(),
            state: status.state(),
            reason,
            idempotent: entry.idempotent,
            cancelled: entry.cancelled,
            endpoint,
            holder: format!("{:016x}", entry.holder),
            fencing: entry.fencing,
            submitted_ms: entry.submitted_ms,
            deadline_ms: entry.deadline_ms,
            expires_ms: entry.expires_ms,
        }
    }
}

const LIST_HEADER: [&str; 7] = [
    "id",
    "organisation",
    "kind",
    "state",
    "reason",
    "endpoint",
    "deadline_s",
];

const MS_PER_S: u64 = 1_000;

impl RequestRecord {
    fn list_cells(&self) -> Vec<String> {
        vec![
            self.id.clone(),
            self.organisation.clone(),
            self.kind.clone(),
            self.state.to_string(),
            self.reason.clone(),
            self.endpoint.clone(),
            (self.deadline_ms / MS_PER_S).to_string(),
        ]
    }
}

fn list(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let session = Session::open(matches)?;
    let limit = matches.get_one::<u64>(LIMIT).copied().unwrap_or(u64::MAX);
    let mut records: Vec<RequestRecord> = Vec::new();
    let mut after = Some(String::new());
    while let Some(from) = after {
        let page = request::list(session.store().table, &from)?;
        let wanted = page
            .requests
            .iter()
            .filter(|status| matches_filters(matches, status));
        records.extend(wanted.map(RequestRecord::from));
        after = page.next.filter(|_| (records.len() as u64) < limit);
    }
    records.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    if matches.get_flag(operator::JSON) {
        return print::json(&records, out);
    }
    let mut table = vec![LIST_HEADER.map(String::from).to_vec()];
    table.extend(records.iter().map(RequestRecord::list_cells));
    print::aligned_columns(&table, out)?;
    writeln!(out, "{} requests", records.len())?;
    Ok(())
}

fn matches_filters(matches: &ArgMatches, status: &Status) -> bool {
    let filter = |name: &str| matches.get_one::<String>(name);
    let organisation_matches =
        filter(ORGANISATION).is_none_or(|name| *name == status.entry.organisation);
    let state_matches = filter(STATE).is_none_or(|state| state == status.state());
    organisation_matches && state_matches
}

fn checked_id(matches: &ArgMatches) -> Result<&str, Error> {
    let id = matches.get_one::<String>(ID).map_or("", String::as_str);
    if is_id(id) {
        return Ok(id);
    }
    let text =
        format!("`{id}` is not an identifier: give 32 hexadecimal digits, see `request list`");
    Err(Error::Usage(text))
}

fn not_found(id: &str) -> Error {
    Error::Failed(format!(
        "there is no durable request {id}; it may have expired"
    ))
}

fn show(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let id = checked_id(matches)?;
    let session = Session::open(matches)?;
    let store = session.store();
    let status = request::status(store.table, id)?.ok_or_else(|| not_found(id))?;
    if matches.get_flag(BODY) {
        let State::Done(done) = &status.entry.state else {
            let text = format!("{id} is {}: it has no answer yet", status.state());
            return Err(Error::Failed(text));
        };
        let body = request::answer_body(store.objects, done)?;
        let body =
            body.ok_or_else(|| Error::Failed(format!("the answer of {id} is no longer stored")))?;
        out.write_all(&body)?;
        return Ok(());
    }
    let record = RequestRecord::from(&status);
    if matches.get_flag(operator::JSON) {
        return print::json(&record, out);
    }
    let value = serde_json::to_value(&record).map_err(|error| Error::Failed(error.to_string()))?;
    let fields = value.as_object().into_iter().flatten();
    let rows: Vec<Vec<String>> = fields
        .map(|(name, value)| vec![name.clone(), json_as_text(value)])
        .collect();
    print::aligned_columns(&rows, out)
}

fn json_as_text(value: &serde_json::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}

fn cancel(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let id = checked_id(matches)?;
    let session = Session::open(matches)?;
    let text = match request::cancel(session.store().table, id)? {
        Cancelled::NotFound => return Err(not_found(id)),
        Cancelled::NotRun => "cancelled: it was not run",
        Cancelled::Wanted => "cancellation requested; its gateway will end it; see `request show`",
        Cancelled::Ended => "it had already ended; nothing was changed",
    };
    writeln!(out, "{text}")?;
    Ok(())
}
