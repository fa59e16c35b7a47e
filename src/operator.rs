//! What the operators' commands share: reading the table, making an edit, waiting for it.

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

use crate::command::process;
use crate::error::Error;
use crate::setting::switch;
use crate::setting::Values;

/// Name of the switch for output to machines.
pub const JSON: &str = "json";

/// Declares what each operators' command has.
pub fn arguments() -> Vec<Arg> {
    let mut arguments = process::platform_arguments();
    arguments.push(switch(JSON, "Print JSON instead of a table"));
    arguments
}

/// Reads what [`arguments`] declares.
pub fn options(values: &mut Values<'_>) -> http::Options {
    process::platform_options(values)
}

/// The table service and the object store, as an operator's shell reaches them.
#[derive(Debug)]
pub struct Session {
    client: Client,
}

impl Session {
    /// A session with these settings; nothing is sent yet.
    pub fn new(options: http::Options) -> Self {
        Self {
            client: Client::new(options),
        }
    }

    /// Reads the settings of a command that only reads.
    pub fn open(matches: &ArgMatches) -> Result<Self, Error> {
        let mut values = Values::new(matches);
        let options = options(&mut values);
        values.finish()?;
        Ok(Self::new(options))
    }

    /// The services.
    pub fn store(&self) -> Store<'_> {
        Store {
            table: &self.client,
            objects: &self.client,
        }
    }

    /// The newest table.
    pub fn load(&self) -> Result<Table, Error> {
        read::load(self.store()).map_err(store_error)
    }
}

/// How an error of the store ends a command.
pub fn store_error(error: store::Error) -> Error {
    match error {
        store::Error::Platform(error) => error.into(),
        error => Error::Failed(error.to_string()),
    }
}
