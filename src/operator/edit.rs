//! Making an edit, with its lost replies settled.

use std::collections::BTreeMap;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::Arg;
use clap::ArgMatches;
use mgs_platform::http;
use mgs_schema::settings::Change;
use mgs_settings::row::RowKey;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::edit::Conflict;
use mgs_settings::store::edit::Outcome;
use mgs_settings::store::read;
use mgs_settings::table::Table;

use super::store_error;
use super::wait;
use super::Session;
use crate::error::Error;
use crate::setting::switch;
use crate::setting::value;
use crate::setting::Values;

const AUTHOR: &str = "author";
const EDIT_ID: &str = "edit-id";
const SETTLE_MS: &str = "settle-ms";
const WAIT: &str = "wait";
const WAIT_MS: &str = "wait-ms";

const TIMEOUT_MS_MAX: u64 = 3_600_000;
const PAUSE: Duration = Duration::from_millis(300);

/// Variable of the shell that names its user.
const USER_VARIABLE: &str = "USER";

/// Declares what each command has that edits the table.
pub fn arguments() -> Vec<Arg> {
    let mut arguments = super::arguments();
    arguments.extend([
        value(
            AUTHOR,
            "NAME",
            "Who makes the edit, for the history; the shell's USER if not given",
        ),
        value(
            EDIT_ID,
            "ID",
            "Identifier of an edit whose reply was lost, to settle it",
        ),
        value(SETTLE_MS, "MS", "Longest time to settle a lost reply").default_value("10000"),
        switch(
            WAIT,
            "Wait until every live process has the edit in force; name those that haven't",
        ),
        value(WAIT_MS, "MS", "Longest time to wait for them").default_value("30000"),
    ]);
    arguments
}

/// How edits are made.
#[derive(Debug, Clone)]
pub struct Options {
    /// Who makes them.
    pub author: String,
    /// Identifier of an edit that was tried before.
    pub edit_id: Option<String>,
    /// Longest time to settle a lost reply, in milliseconds.
    pub settle_ms: u64,
    /// How long to wait until the edit is in force, in milliseconds; not at all if absent.
    pub wait_ms: Option<u64>,
    /// The platform.
    pub platform: http::Options,
}

/// Reads what [`arguments`] declares.
pub fn options(matches: &ArgMatches) -> Result<Options, Error> {
    let mut values = Values::new(matches);
    let wait_ms = values.number(WAIT_MS, 1..=TIMEOUT_MS_MAX);
    let options = Options {
        author: author(&values),
        edit_id: values.optional(EDIT_ID),
        settle_ms: values.number(SETTLE_MS, 0..=TIMEOUT_MS_MAX),
        wait_ms: values.switch(WAIT).then_some(wait_ms),
        platform: super::options(&mut values),
    };
    values.finish()?;
    Ok(options)
}

fn author(values: &Values<'_>) -> String {
    let given = values.optional(AUTHOR);
    let user = || std::env::var(USER_VARIABLE).ok();
    given.or_else(user).unwrap_or_else(|| "unknown".to_string())
}

/// Makes edits for one command.
#[derive(Debug)]
pub struct Editor {
    session: Session,
    options: Options,
}

impl Editor {
    /// An editor with the settings of a command.
    pub fn open(matches: &ArgMatches) -> Result<Self, Error> {
        let options = options(matches)?;
        let session = Session::new(options.platform.clone());
        Ok(Self { session, options })
    }

    /// The services.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// Makes an edit that was begun on `base`, says its version, and waits if that is asked for.
    pub fn make(
        &self,
        base: &Table,
        changes: Vec<Change>,
        out: &mut dyn Write,
    ) -> Result<(), Error> {
        self.make_sheet(base, changes, BTreeMap::new(), out)
    }

    /// Makes an edit whose rows were seen at the versions given.
    pub fn make_sheet(
        &self,
        base: &Table,
        changes: Vec<Change>,
        seen: BTreeMap<RowKey, u64>,
        out: &mut dyn Write,
    ) -> Result<(), Error> {
        let outcome = match self.made_before()? {
            Some(version) => Outcome {
                version,
                already: true,
            },
            None if changes.is_empty() => {
                let version = base.version();
                writeln!(out, "nothing changes; the table stays at version {version}")?;
                return Ok(());
            }
            None => self.commit(base, self.edit_options(changes, seen))?,
        };
        let already = if outcome.already { " before" } else { "" };
        writeln!(out, "accepted{already} as version {}", outcome.version)?;
        match self.options.wait_ms {
            Some(wait_ms) => wait::in_force(&self.session, outcome.version, wait_ms, out),
            None => Ok(()),
        }
    }

    fn edit_options(&self, changes: Vec<Change>, seen: BTreeMap<RowKey, u64>) -> edit::Options {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_ms = now.map_or(0, |since| since.as_millis() as u64);
        let edit_id = self.options.edit_id.clone();
        edit::Options {
            edit_id: edit_id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>())),
            author: self.options.author.clone(),
            at_ms,
            changes,
            seen,
            retried: self.options.edit_id.is_some(),
        }
    }

    fn made_before(&self) -> Result<Option<u64>, Error> {
        let Some(edit_id) = &self.options.edit_id else {
            return Ok(None);
        };
        let found = read::find_edit(self.session.store().table, edit_id);
        found.map_err(|error| Error::Unknown(unknown(&error.to_string(), edit_id)))
    }

    fn commit(&self, base: &Table, mut options: edit::Options) -> Result<Outcome, Error> {
        let end = Instant::now() + Duration::from_millis(self.options.settle_ms);
        loop {
            match commit(self.session.store(), base, &options) {
                Err(edit::Error::Unknown(_)) if Instant::now() < end => {
                    options.retried = true;
                    thread::sleep(PAUSE);
                }
                result => return result.map_err(|error| edit_error(error, &options.edit_id)),
            }
        }
    }
}

fn unknown(reason: &str, edit_id: &str) -> String {
    format!(
        "{reason}\nthe edit may have been accepted; the same command with --edit-id {edit_id} settles it"
    )
}

fn edit_error(error: edit::Error, edit_id: &str) -> Error {
    match error {
        edit::Error::Conflict(count, conflicts) => {
            Error::Conflict(conflict_text(count, &conflicts))
        }
        edit::Error::Faults(count, faults) => Error::Usage(format!(
            "not accepted, {count} faults:\n  {}",
            faults.join("\n  ")
        )),
        edit::Error::Refused(error) => store_error(error),
        edit::Error::Unknown(error) => Error::Unknown(unknown(&error.to_string(), edit_id)),
    }
}

fn conflict_text(count: usize, conflicts: &[Conflict]) -> String {
    let texts: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
    format!(
        "not accepted, {count} rows in conflict:\n{}",
        texts.join("\n")
    )
}
