//! `marigoldstage endpoint`: declaring, starting and stopping endpoints.

use std::io::Write;

use clap::ArgMatches;
use clap::Command;

use crate::error::Error;

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("endpoint").about("Declare, start and stop endpoints")
}

/// Runs the subcommand.
pub fn run(_matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    Err(Error::Failed("`endpoint` isn't built yet".to_string()))
}
