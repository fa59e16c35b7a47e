//! Submits edits of the settings table; an edit whose reply was lost is retried under the same
//! identifier, so that it is made once.

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
use crate::setting::switch_argument;
use crate::setting::value_argument;
use crate::setting::SettingValues;

const AUTHOR: &str = "author";
const EDIT_ID: &str = "edit-id";
const SETTLE_MS: &str = "settle-ms";
const WAIT: &str = "wait";
const WAIT_MS: &str = "wait-ms";

const WAIT_MS_MAX: u64 = 3_600_000;
/// Delay between attempts to commit an edit whose reply was lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Environment variable that holds the user's name.
const USER_VARIABLE: &str = "USER";

/// Declares the settings of every command that edits the table.
pub fn arguments() -> Vec<Arg> {
    let mut arguments = super::arguments();
    arguments.extend([
        value_argument(
            AUTHOR,
            "NAME",
            "Author of the edit in the history; the environment's USER if not given",
        ),
        value_argument(
            EDIT_ID,
            "ID",
            "Identifier of an edit whose reply was lost, to look it up and retry it if it was not accepted",
        ),
        value_argument(SETTLE_MS, "MS", "Maximum time to retry an edit whose reply was lost")
            .default_value("10000"),
        switch_argument(
            WAIT,
            "Wait until every live process has confirmed the edit; list those that haven't",
        ),
        value_argument(WAIT_MS, "MS", "Maximum time to wait for them").default_value("30000"),
    ]);
    arguments
}

/// Settings of a command that edits the table.
#[derive(Debug, Clone)]
pub struct Options {
    /// Author that the history records.
    pub author: String,
    /// Identifier of an earlier edit whose reply was lost.
    pub edit_id: Option<String>,
    /// Maximum time to retry an edit whose reply was lost, in milliseconds.
    pub settle_ms: u64,
    /// Maximum time to wait until every process has confirmed the edit, in milliseconds; `None` to
    /// not wait.
    pub wait_ms: Option<u64>,
    /// Address and timeouts of the platform.
    pub platform: http::Options,
}

/// Reads the settings that [`arguments`] declares; fails if any is invalid.
pub fn options(matches: &ArgMatches) -> Result<Options, Error> {
    let mut values = SettingValues::new(matches);
    let wait_ms = values.number(WAIT_MS, 1..=WAIT_MS_MAX);
    let options = Options {
        author: author_or_user(&values),
        edit_id: values.optional_text(EDIT_ID),
        settle_ms: values.number(SETTLE_MS, 0..=WAIT_MS_MAX),
        wait_ms: values.is_set(WAIT).then_some(wait_ms),
        platform: super::options(&mut values),
    };
    values.finish()?;
    Ok(options)
}

fn author_or_user(values: &SettingValues<'_>) -> String {
    let given = values.optional_text(AUTHOR);
    let user = || std::env::var(USER_VARIABLE).ok();
    given.or_else(user).unwrap_or_else(|| "unknown".to_string())
}

/// Submits the edits of one command.
#[derive(Debug)]
pub struct Editor {
    session: Session,
    options: Options,
}

impl Editor {
    /// Creates an editor from the settings of a command; fails if they are invalid.
    pub fn open(matches: &ArgMatches) -> Result<Self, Error> {
        let options = options(matches)?;
        let session = Session::new(options.platform.clone());
        Ok(Self { session, options })
    }

    /// The session through which the editor reads and writes the table.
    pub fn session(&self) -> &Session {
        &self.session
    }

    /// Submits an edit that is based on the table `base`, prints its version and, with `--wait`,
    /// waits until every process has confirmed it.
    pub fn submit(
        &self,
        base: &Table,
        changes: Vec<Change>,
        out: &mut dyn Write,
    ) -> Result<(), Error> {
        self.submit_rows(base, changes, BTreeMap::new(), out)
    }

    /// Like [`submit`](Self::submit), for rows that come from an earlier export; `seen` holds the
    /// versions that they had then. The edit conflicts if one of them has changed since.
    pub fn submit_rows(
        &self,
        base: &Table,
        changes: Vec<Change>,
        seen: BTreeMap<RowKey, u64>,
        out: &mut dyn Write,
    ) -> Result<(), Error> {
        let outcome = match self.committed_version()? {
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
            Some(wait_ms) => wait::until_confirmed(&self.session, outcome.version, wait_ms, out),
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

    /// Version of the edit that `--edit-id` gives, if it was accepted earlier.
    fn committed_version(&self) -> Result<Option<u64>, Error> {
        let Some(edit_id) = &self.options.edit_id else {
            return Ok(None);
        };
        let found = read::find_edit(self.session.store().table, edit_id);
        found.map_err(|error| Error::Unknown(unknown_text(&error.to_string(), edit_id)))
    }

    /// Commits the edit; retries while its outcome is unknown, for at most `settle_ms`.
    fn commit(&self, base: &Table, mut options: edit::Options) -> Result<Outcome, Error> {
        let deadline = Instant::now() + Duration::from_millis(self.options.settle_ms);
        loop {
            match commit(self.session.store(), base, &options) {
                Err(edit::Error::Unknown(_)) if Instant::now() < deadline => {
                    options.retried = true;
                    thread::sleep(RETRY_INTERVAL);
                }
                result => return result.map_err(|error| edit_error(error, &options.edit_id)),
            }
        }
    }
}

fn unknown_text(reason: &str, edit_id: &str) -> String {
    format!(
        "{reason}\nthe edit may have been accepted; repeat the command with --edit-id {edit_id} to look it up and retry it"
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
        edit::Error::Unknown(error) => Error::Unknown(unknown_text(&error.to_string(), edit_id)),
    }
}

fn conflict_text(count: usize, conflicts: &[Conflict]) -> String {
    let texts: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
    format!(
        "not accepted, {count} rows in conflict:\n{}",
        texts.join("\n")
    )
}
