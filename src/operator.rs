//! Shared parts of the operators' commands: reading the settings table, submitting an edit and
//! waiting until every process has confirmed it.

pub mod edit;
pub mod print;
pub mod wait;

use clap::Arg;
use clap::ArgMatches;
use mgs_platform::http;
use mgs_platform::http::Client;
use mgs_settings::store;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::Table;

use crate::command::common;
use crate::error::Error;
use crate::setting::switch_argument;
use crate::setting::SettingValues;

/// Flag that selects JSON output.
pub const JSON: &str = "json";

/// Declares the settings that every operators' command has.
pub fn arguments() -> Vec<Arg> {
    let mut arguments = common::platform_arguments();
    arguments.push(switch_argument(JSON, "Print JSON instead of a table"));
    arguments
}

/// Reads the platform settings that [`arguments`] declares.
pub fn options(values: &mut SettingValues<'_>) -> http::Options {
    common::platform_options(values)
}

/// Access of an operators' command to the platform's table service and object store.
#[derive(Debug)]
pub struct Session {
    client: Client,
}

impl Session {
    /// Creates a session; nothing is sent yet.
    pub fn new(options: http::Options) -> Self {
        Self {
            client: Client::new(options),
        }
    }

    /// Creates a session from the arguments of a command that only reads the table; fails if they
    /// are invalid.
    pub fn open(matches: &ArgMatches) -> Result<Self, Error> {
        let mut values = SettingValues::new(matches);
        let options = options(&mut values);
        values.finish()?;
        Ok(Self::new(options))
    }

    /// The table service and the object store.
    pub fn store(&self) -> Store<'_> {
        Store {
            table: &self.client,
            objects: &self.client,
        }
    }

    /// Loads the newest version of the settings table.
    pub fn load(&self) -> Result<Table, Error> {
        read::load(self.store()).map_err(store_error)
    }
}

/// Converts an error of the settings store into the error of the command.
pub fn store_error(error: store::Error) -> Error {
    match error {
        store::Error::Platform(error) => error.into(),
        error => Error::Failed(error.to_string()),
    }
}
