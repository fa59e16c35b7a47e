//! `marigoldstage completions`: prints a completion script for a shell.

use std::io::Write;

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap_complete::generate;
use clap_complete::Shell;

use crate::error::Error;

const SHELL: &str = "shell";

const EXAMPLES: &str = "\
Examples:
  marigoldstage completions bash > ~/.local/share/bash-completion/completions/marigoldstage
  marigoldstage completions fish > ~/.config/fish/completions/marigoldstage.fish";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("completions")
        .about("Print a completion script for a shell")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(SHELL)
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell to print the script for"),
        )
}

/// Prints the completion script of the shell that is given.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let shell = matches
        .get_one::<Shell>(SHELL)
        .expect("BUG: the parser requires a shell");
    let mut script = Vec::new();
    generate(*shell, &mut super::command(), "marigoldstage", &mut script);
    out.write_all(&script)?;
    Ok(())
}
