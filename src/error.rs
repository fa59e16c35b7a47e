//! How a command ends when it doesn't succeed, and the exit code that says so.

use std::io::ErrorKind;
use std::process::ExitCode;

use displaydoc::Display;

use crate::setting::Fault;

/// Exit codes, as `marigoldstage --help` documents them.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed; the message says what happened
  2  bad usage or bad settings; nothing was started or changed
  3  conflict: somebody else changed the same row first; nothing was changed
  4  unavailable: the platform or process can't be reached; nothing was changed
  5  unknown: the reply was lost, so the change may have taken effect; read before trying again
  6  timeout: the change is accepted, but not every process has confirmed it yet";

const UNAVAILABLE_ADVICE: &str = "check --platform (or MARIGOLDSTAGE_PLATFORM) and try again";
const UNKNOWN_ADVICE: &str = "read what is there before trying again";

/// Why a command didn't succeed.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Failed(String),
    /// {0}
    Usage(String),
    /// {0}
    Settings(Faults),
    /// {0}
    Conflict(String),
    /// {0}
    Unavailable(String),
    /// {0}
    Unknown(String),
    /// {0}
    Timeout(String),
    /// nobody reads the output any more
    OutputClosed,
}

impl std::error::Error for Error {}

impl Error {
    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.code())
    }

    fn code(&self) -> u8 {
        match self {
            Self::Failed(_) | Self::OutputClosed => 1,
            Self::Usage(_) | Self::Settings(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unavailable(_) => 4,
            Self::Unknown(_) => 5,
            Self::Timeout(_) => 6,
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::BrokenPipe => Self::OutputClosed,
            _ => Self::Failed(format!("can't write the output: {error}")),
        }
    }
}

impl From<mgs_platform::Error> for Error {
    fn from(error: mgs_platform::Error) -> Self {
        match error {
            mgs_platform::Error::Unavailable(_) | mgs_platform::Error::Throttled { .. } => {
                Self::Unavailable(format!("{error}; {UNAVAILABLE_ADVICE}"))
            }
            mgs_platform::Error::Unknown(_) => Self::Unknown(format!("{error}; {UNKNOWN_ADVICE}")),
            _ => Self::Failed(error.to_string()),
        }
    }
}

/// All faults that the settings of one command have.
#[derive(Debug)]
pub struct Faults(pub Vec<Fault>);

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0.len() {
            1 => write!(f, "a setting is wrong:")?,
            count => write!(f, "{count} settings are wrong:")?,
        }
        self.0.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}
