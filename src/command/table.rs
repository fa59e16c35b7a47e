//! `marigoldstage table`: the operators' table of weights, limits and priorities.

use std::io::Write;

use clap::ArgMatches;
use clap::Command;

use crate::error::Error;

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("table").about("Show and edit the table of weights, limits and priorities")
}

/// Runs the subcommand.
pub fn run(_matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    Err(Error::Failed("`table` isn't built yet".to_string()))
}
