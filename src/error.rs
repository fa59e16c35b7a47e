//! Errors of commands and the exit code of each.

use std::io::ErrorKind;
use std::process::ExitCode;

use displaydoc::Display;

use crate::setting::InvalidSetting;

/// Description of the exit codes for the help.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  failed; the message says what happened
  2  invalid arguments or settings; nothing was started or changed
  3  conflict: another edit changed the same row first; nothing was changed
  4  unavailable: the platform or process can't be reached; nothing was changed
  5  unknown: the reply was lost, so the change may have taken effect; check before trying again
  6  timeout: the change is accepted, but not every process has confirmed it yet";

const UNAVAILABLE_ADVICE: &str = "check --platform (or MARIGOLDSTAGE_PLATFORM) and try again";
const UNKNOWN_ADVICE: &str = "read the current state before trying again";

/// Why a command failed; each variant has an exit code, see [`EXIT_CODES`].
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Failed(String),
    /// {0}
    Usage(String),
    /// {0}
    Settings(InvalidSettings),
    /// {0}
    Conflict(String),
    /// {0}
    Unavailable(String),
    /// {0}
    Unknown(String),
    /// {0}
    Timeout(String),
    /// the reader closed the output
    OutputClosed,
}

impl std::error::Error for Error {}

impl Error {
    /// Exit code of the process for this error.
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

/// All invalid settings of one command.
#[derive(Debug)]
pub struct InvalidSettings(pub Vec<InvalidSetting>);

impl std::fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0.len() {
            1 => write!(f, "a setting is wrong:")?,
            count => write!(f, "{count} settings are wrong:")?,
        }
        self.0
            .iter()
            .try_for_each(|setting| write!(f, "\n  {setting}"))
    }
}
