//! `marigoldstage organisation`: organisations and their bearer keys.

use std::io::Write;

use clap::ArgMatches;
use clap::Command;

use crate::error::Error;

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("organisation").about("Create organisations and their bearer keys")
}

/// Runs the subcommand.
pub fn run(_matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    Err(Error::Failed("`organisation` isn't built yet".to_string()))
}
