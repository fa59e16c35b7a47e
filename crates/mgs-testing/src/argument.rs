//! Arguments of the measuring programs.

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;

/// A whole number with a default.
///
/// ```
/// use clap::Command;
/// use mgs_testing::argument::given;
/// use mgs_testing::argument::number;
///
/// let command = Command::new("program").arg(number("run-ms", "Length of the run", "2000"));
/// let matches = command.get_matches_from(["program", "--run-ms", "50"]);
/// assert_eq!(given(&matches, "run-ms"), 50);
/// ```
pub fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// The value of a [`number`].
pub fn given(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("it has a default")
}
