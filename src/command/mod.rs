//! Declares the subcommands, and parses and dispatches the command line.

use std::ffi::OsString;
use std::io;
use std::io::Write;
use std::process::ExitCode;

use clap::ArgMatches;
use clap::Command;

use crate::error::Error;
use crate::error::EXIT_CODES;

pub mod account;
pub mod common;
pub mod completions;
#[cfg(feature = "demo")]
pub mod demo;
pub mod endpoint;
pub mod explain;
pub mod gateway;
pub mod organisation;
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
  marigoldstage demo --serve              the same, kept running, with a curl command to try

On the hosts:
  marigoldstage gateway --help            the process of an entry host, to which callers connect
  marigoldstage sidecar --help            the process beside each endpoint

From an operator's shell:
  marigoldstage table get                 the rows of weights, limits and priorities
  marigoldstage endpoint stop engine-7    let an endpoint finish its requests and take no new ones
  marigoldstage status                    readiness and main counters of each process
  marigoldstage explain ID LOG...         what happened to one request
  marigoldstage account LOG...            outcomes and losses over all requests
  marigoldstage quarantine list           requests that are held because they crashed endpoints

Every setting is a flag and an environment variable: `--log-level` is MARIGOLDSTAGE_LOG_LEVEL.
The flag takes precedence. All settings are checked before anything starts.
";

/// Runs a subcommand with its parsed arguments and writes its output.
type Handler = fn(&ArgMatches, &mut dyn Write) -> Result<(), Error>;

/// A subcommand: its declaration and the function that runs it.
struct Subcommand {
    command: Command,
    run: Handler,
}

fn subcommand(command: Command, run: Handler) -> Subcommand {
    Subcommand { command, run }
}

fn subcommands() -> Vec<Subcommand> {
    vec![
        subcommand(gateway::command(), gateway::run),
        subcommand(relay::command(), relay::run),
        subcommand(sidecar::command(), sidecar::run),
        subcommand(table::command(), table::run),
        subcommand(endpoint::command(), endpoint::run),
        subcommand(organisation::command(), organisation::run),
        subcommand(request::command(), request::run),
        subcommand(status::command(), status::run),
        subcommand(explain::command(), explain::run),
        subcommand(account::command(), account::run),
        subcommand(quarantine::command(), quarantine::run),
        #[cfg(feature = "demo")]
        subcommand(demo::command(), demo::run),
        #[cfg(feature = "demo")]
        subcommand(standin::command(), standin::run),
        subcommand(completions::command(), completions::run),
    ]
}

/// Declares the whole command line.
///
/// ```
/// let command = marigoldstage::command::command();
/// assert!(command.find_subcommand("table").is_some());
/// ```
pub fn command() -> Command {
    let commands = subcommands()
        .into_iter()
        .map(|subcommand| subcommand.command);
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
        Err(error) => return print_parse_error(&error),
    };
    match dispatch(&matches, &mut io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader, such as `head`, has closed the pipe: no error message.
        Err(error @ Error::OutputClosed) => error.exit_code(),
        Err(error) => {
            // A failed write to standard error can't be reported anywhere.
            let _ = writeln!(io::stderr(), "error: {error}");
            error.exit_code()
        }
    }
}

/// Prints what the parser returned instead of arguments: the help or the version, which are a
/// success, or an error, which is bad usage.
fn print_parse_error(error: &clap::Error) -> ExitCode {
    let _ = error.print();
    match error.exit_code() {
        0 => ExitCode::SUCCESS,
        _ => Error::Usage(String::new()).exit_code(),
    }
}

/// Runs the subcommand that the parser found.
fn dispatch(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let (name, matches) = matches
        .subcommand()
        .expect("BUG: the parser requires a subcommand");
    let subcommand = subcommands()
        .into_iter()
        .find(|subcommand| subcommand.command.get_name() == name)
        .expect("BUG: the parser accepts only declared subcommands");
    (subcommand.run)(matches, out)
}
