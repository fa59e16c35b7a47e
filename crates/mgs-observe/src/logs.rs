//! The log of the process: one JSON object per line, on standard error, or on standard output
//! without ever blocking on its reader.
//!
//! Each line has `level`, `timestamp` (UTC), `thread`, `module_path`, `file`, `line`, `text`, and
//! in `kv` the key-values of the call, such as `request_id`, `organisation`, `endpoint` and
//! `reason`.

use displaydoc::Display;
use flexi_logger::json_format;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::LevelFilter;

pub mod bounded;

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct Options {
    /// Lowest level that is written, or a filter by module such as `info, mgs_transport=debug`.
    pub level: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            level: "info".to_string(),
        }
    }
}

/// Why the log didn't start.
#[derive(Debug, Display)]
pub enum Error {
    /// not a log level or filter (try `warn`, `info` or `info, mgs_transport=debug`): {0}
    Level(String),
    /// the log can't be started: {0}
    Start(String),
}

impl std::error::Error for Error {}

/// Keeps the logger running; to be dropped at the end of the process.
pub struct LogGuard {
    _handle: LoggerHandle,
}

impl std::fmt::Debug for LogGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LogGuard").finish_non_exhaustive()
    }
}

/// Starts the log of this process on standard output; once per process.
///
/// Lines pass to a writer thread through a queue of [`bounded::QUEUED_LINES_MAX`] lines. If the
/// reader of standard output is slower than the process, lines are dropped, counted and reported;
/// callers never block.
pub fn start_stdout(options: &Options) -> Result<LogGuard, Error> {
    let writer = bounded::QueueWriter::start().map_err(|error| Error::Start(error.to_string()))?;
    let handle = logger(&options.level)?
        .log_to_writer(Box::new(writer))
        .use_utc()
        .start()
        .map_err(|error| Error::Start(error.to_string()))?;
    Ok(LogGuard { _handle: handle })
}

/// Checks a level or filter without starting the log.
///
/// ```
/// assert!(mgs_observe::logs::check_filter("info, mgs_transport=debug").is_ok());
/// assert!(mgs_observe::logs::check_filter("loud").is_err());
/// ```
pub fn check_filter(level: &str) -> Result<(), Error> {
    logger(level).map(|_| ())
}

/// Starts the log of this process on standard error; once per process.
pub fn start_stderr(options: &Options) -> Result<LogGuard, Error> {
    let handle = logger(&options.level)?
        .log_to_stderr()
        .format(json_format)
        .use_utc()
        .start()
        .map_err(|error| Error::Start(error.to_string()))?;
    Ok(LogGuard { _handle: handle })
}

fn logger(level: &str) -> Result<Logger, Error> {
    let invalid_level = || Error::Level(level.to_string());
    if !level.split(',').all(is_valid_directive) {
        return Err(invalid_level());
    }
    Logger::try_with_str(level).map_err(|_| invalid_level())
}

/// Whether a part of a filter is `LEVEL` or `MODULE=LEVEL`. The library takes a single word that is
/// no level for a module name, so that a misspelt level would silence the log.
fn is_valid_directive(directive: &str) -> bool {
    let level = directive
        .split_once('=')
        .map_or(directive, |(_, level)| level);
    level.trim().parse::<LevelFilter>().is_ok()
}
