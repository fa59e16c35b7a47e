//! The process's log: one JSON object a line on standard error, or on standard output without ever
//! waiting for its reader.
//!
//! Each line has `level`, `timestamp` (UTC), `thread`, `module_path`, `file`, `line`, `text`, and in
//! `kv` the key-values of the call, such as `request_id`, `organisation`, `endpoint` and `reason`.

use displaydoc::Display;
use flexi_logger::json_format;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::LevelFilter;

pub mod bounded;

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct Options {
    /// Least level that is written, or a filter by module such as `info, mgs_transport=debug`.
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

/// Keeps the log going; drop it at the end of the process.
pub struct Logs {
    _handle: LoggerHandle,
}

impl std::fmt::Debug for Logs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Logs").finish_non_exhaustive()
    }
}

/// Starts the log of this process on standard output; once per process.
///
/// Lines are handed over to a thread through a queue of [`bounded::LINES_MAX`] lines. Where the reader of
/// standard output is slower than the process, lines are dropped, counted and reported; nobody waits.
pub fn start_bounded(options: &Options) -> Result<Logs, Error> {
    let writer = bounded::Writer::start().map_err(|error| Error::Start(error.to_string()))?;
    let handle = logger(&options.level)?
        .log_to_writer(Box::new(writer))
        .use_utc()
        .start()
        .map_err(|error| Error::Start(error.to_string()))?;
    Ok(Logs { _handle: handle })
}

/// Checks a level or filter without starting anything.
///
/// ```
/// assert!(mgs_observe::logs::check("info, mgs_transport=debug").is_ok());
/// assert!(mgs_observe::logs::check("loud").is_err());
/// ```
pub fn check(level: &str) -> Result<(), Error> {
    logger(level).map(|_| ())
}

/// Starts the log of this process; once per process.
pub fn start(options: &Options) -> Result<Logs, Error> {
    let handle = logger(&options.level)?
        .log_to_stderr()
        .format(json_format)
        .use_utc()
        .start()
        .map_err(|error| Error::Start(error.to_string()))?;
    Ok(Logs { _handle: handle })
}

fn logger(level: &str) -> Result<Logger, Error> {
    let fail = || Error::Level(level.to_string());
    if !level.split(',').all(is_filter) {
        return Err(fail());
    }
    Logger::try_with_str(level).map_err(|_| fail())
}

/// Whether a part is `LEVEL` or `MODULE=LEVEL`. The library takes a lone word that is no level for
/// a module, which would turn a misspelt level into a silent log.
fn is_filter(part: &str) -> bool {
    let level = part.split_once('=').map_or(part, |(_, level)| level);
    level.trim().parse::<LevelFilter>().is_ok()
}
