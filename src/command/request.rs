//! `marigoldstage request`: asynchronous requests.

use std::io::Write;

use clap::ArgMatches;
use clap::Command;

use crate::error::Error;

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("request").about("Show and cancel asynchronous requests")
}

/// Runs the subcommand.
pub fn run(_matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    Err(Error::Failed("`request` isn't built yet".to_string()))
}
