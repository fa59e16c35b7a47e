//! The tree of subcommands.

use std::ffi::OsString;
use std::io;
use std::io::Write;
use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;

use crate::error::Error;
use crate::error::EXIT_CODES;

pub mod account;
pub mod completions;
#[cfg(feature = "demo")]
pub mod demo;
pub mod endpoint;
pub mod explain;
pub mod gateway;
pub mod organisation;
pub mod process;
pub mod quarantine;
pub mod relay;
pub mod request;
pub mod sidecar;
#[cfg(feature = "demo")]
pub mod standin;
pub mod status;
pub mod table;

const ABOUT: &str =
    "A serving layer between callers and model engines, for prompts of very unlike lengths";

const EXAMPLES: &str = "\
Start here:
  marigoldstage demo                      the whole system in one process, under a mixed load
  marigoldstage demo --serve              the same, kept up, with a curl line to try

On the hosts:
  marigoldstage gateway --help            the entry host's process, which callers talk to
  marigoldstage sidecar --help            the process beside each endpoint

From an operator's shell:
  marigoldstage table get                 the rows of weights, limits and priorities
  marigoldstage endpoint stop engine-7    let an endpoint finish its work and take no more
  marigoldstage status                    what each process says of itself
  marigoldstage explain ID LOG...         what happened to one request
  marigoldstage account LOG...            what a day came to
  marigoldstage quarantine list           requests that are held since they crash endpoints

Every setting is a flag and an environment variable: `--log-level` is MARIGOLDSTAGE_LOG_LEVEL.
The flag goes first. All settings are checked before anything starts.
";

/// What runs a subcommand.
type Run = fn(&ArgMatches, &mut dyn Write) -> Result<(), Error>;

/// A subcommand: its declaration and what runs it.
struct Entry {
    command: Command,
    run: Run,
}

fn entry(command: Command, run: Run) -> Entry {
    Entry { command, run }
}

fn entries() -> Vec<Entry> {
    vec![
        entry(gateway::command(), gateway::run),
        entry(relay::command(), relay::run),
        entry(sidecar::command(), sidecar::run),
        entry(table::command(), table::run),
        entry(endpoint::command(), endpoint::run),
        entry(organisation::command(), organisation::run),
        entry(request::command(), request::run),
        entry(status::command(), status::run),
        entry(explain::command(), explain::run),
        entry(account::command(), account::run),
        entry(quarantine::command(), quarantine::run),
        #[cfg(feature = "demo")]
        entry(demo::command(), demo::run),
        #[cfg(feature = "demo")]
        entry(standin::command(), standin::run),
        entry(completions::command(), completions::run),
    ]
}

/// The whole command line.
///
/// ```
/// let command = marigoldstage::command::command();
/// assert!(command.find_subcommand("table").is_some());
/// ```
pub fn command() -> Command {
    let commands = entries().into_iter().map(|entry| entry.command);
    Command::new("marigoldstage")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT)
        .after_help(format!("{EXAMPLES}\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .disable_help_subcommand(false)
        .subcommands(commands)
}

/// Parses the arguments, runs the subcommand and reports on standard error if it fails.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error),
    };
    match dispatch(&matches, &mut io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        // As when `head` has read enough: nothing to tell.
        Err(error @ Error::OutputClosed) => error.exit_code(),
        Err(error) => {
            // Standard error may be closed; there is nobody left to tell.
            let _ = writeln!(io::stderr(), "error: {error}");
            error.exit_code()
        }
    }
}

/// Help and version are a success, anything else that the parser ends with is bad usage.
fn usage(error: &clap::Error) -> ExitCode {
    let _ = error.print();
    match error.exit_code() {
        0 => ExitCode::SUCCESS,
        _ => Error::Usage(String::new()).exit_code(),
    }
}

fn dispatch(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let (name, matches) = matches
        .subcommand()
        .expect("BUG: the parser requires a subcommand");
    let entry = entries()
        .into_iter()
        .find(|entry| entry.command.get_name() == name)
        .expect("BUG: the parser knows only the subcommands of the list");
    (entry.run)(matches, out)
}
