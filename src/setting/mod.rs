//! Declares and reads settings, each of which is a flag and an environment variable.
//!
//! The variable of `--some-flag` is `MARIGOLDSTAGE_SOME_FLAG`; the flag takes precedence. The
//! parser takes values as text; [`SettingValues`] checks them at startup and collects every invalid
//! one, so that an operator sees all of them at once.

pub mod number;

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use clap::builder::BoolishValueParser;
use clap::parser::ValueSource;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;

use crate::error::Error;
use crate::error::InvalidSettings;

const VARIABLE_PREFIX: &str = "MARIGOLDSTAGE_";
const SHOWN_VALUE_CHARS_MAX: usize = 80;

/// Name of the environment variable of a flag.
///
/// ```
/// use marigoldstage::setting::variable;
///
/// assert_eq!(variable("log-level"), "MARIGOLDSTAGE_LOG_LEVEL");
/// ```
pub fn variable(flag: &str) -> String {
    let name = flag.replace('-', "_").to_ascii_uppercase();
    format!("{VARIABLE_PREFIX}{name}")
}

/// Declares a setting that takes a value.
pub fn value_argument(
    flag: &'static str,
    placeholder: &'static str,
    help: impl Into<String>,
) -> Arg {
    Arg::new(flag)
        .long(flag)
        .env(variable(flag))
        .value_name(placeholder)
        .action(ArgAction::Set)
        .allow_negative_numbers(true)
        .help(help.into())
}

/// Declares a boolean setting, which is off unless it is given.
pub fn switch_argument(flag: &'static str, help: &'static str) -> Arg {
    Arg::new(flag)
        .long(flag)
        .env(variable(flag))
        .action(ArgAction::SetTrue)
        .value_parser(BoolishValueParser::new())
        .help(help)
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Flag or variable that the value came from, and the value.
    pub given: String,
    /// What is wrong or what to give instead.
    pub advice: String,
}

impl Display for InvalidSetting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.given, self.advice)
    }
}

/// Reads the settings of one command and collects the invalid ones.
///
/// A method that reads an invalid setting records it and returns a placeholder.
/// [`SettingValues::finish`] then fails, so that no placeholder is ever used.
#[derive(Debug)]
pub struct SettingValues<'a> {
    matches: &'a ArgMatches,
    invalid: Vec<InvalidSetting>,
}

impl<'a> SettingValues<'a> {
    /// Creates a reader of the parsed arguments of a command.
    pub fn new(matches: &'a ArgMatches) -> Self {
        Self {
            matches,
            invalid: Vec::new(),
        }
    }

    /// Fails with [`Error::Settings`], which lists every invalid setting, if there is any.
    pub fn finish(self) -> Result<(), Error> {
        if self.invalid.is_empty() {
            return Ok(());
        }
        Err(Error::Settings(InvalidSettings(self.invalid)))
    }

    /// Records a setting as invalid; `advice` says what is wrong or what to give instead.
    pub fn reject(&mut self, flag: &str, advice: impl Into<String>) {
        let given = self.given_value(flag);
        let advice = advice.into();
        self.invalid.push(InvalidSetting { given, advice });
    }

    /// Whether a boolean setting is on.
    pub fn is_set(&self, flag: &str) -> bool {
        self.matches.get_flag(flag)
    }

    /// Returns the text of a setting, or `None` if it is absent.
    pub fn optional_text(&self, flag: &str) -> Option<String> {
        self.matches.get_one::<String>(flag).cloned()
    }

    /// Returns the text of a setting that must be given and not be empty.
    pub fn required_text(&mut self, flag: &str) -> String {
        let text = self.optional_text(flag).unwrap_or_default();
        if text.trim().is_empty() {
            self.reject(flag, "must be given and not be empty");
        }
        text
    }

    /// Reads an address, `IP:PORT`.
    pub fn address(&mut self, flag: &str) -> SocketAddr {
        self.parse(flag, "give IP:PORT, such as 127.0.0.1:7100")
            .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Reads any number of addresses, each `IP:PORT`.
    pub fn addresses(&mut self, flag: &str) -> Vec<SocketAddr> {
        let texts: Vec<String> = match self.matches.get_many::<String>(flag) {
            Some(values) => values.cloned().collect(),
            None => Vec::new(),
        };
        let mut addresses = Vec::new();
        for text in texts {
            match text.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.reject(flag, format!("{text:?} is no IP:PORT")),
            }
        }
        addresses
    }

    /// Reads a listen address that is advertised to other processes, so it must not be the
    /// unspecified IP address; port 0 picks a free port.
    pub fn advertised_address(&mut self, flag: &str) -> SocketAddr {
        let address = self.address(flag);
        if address.ip().is_unspecified() && !self.is_rejected(flag) {
            let advice = "it is advertised to other processes: give this host's own IP number";
            self.reject(flag, advice);
        }
        address
    }

    /// Reads the base URL of an HTTP service, `http://IP:PORT`; a trailing slash is removed.
    pub fn url(&mut self, flag: &str) -> String {
        let text = self.required_text(flag);
        let text = text.trim_end_matches('/').to_string();
        let authority = text.strip_prefix("http://");
        let is_valid = authority
            .is_some_and(|authority| !authority.is_empty() && !authority.contains(['/', ' ', '?']));
        if !is_valid && !self.is_rejected(flag) {
            self.reject(flag, "give http://IP:PORT, such as http://127.0.0.1:7400");
        }
        text
    }

    /// Reads a number within bounds, both inclusive.
    pub fn number<T>(&mut self, flag: &str, bounds: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let placeholder = *bounds.start();
        let advice = format!("give a number from {} to {}", bounds.start(), bounds.end());
        match self.parse::<T>(flag, &advice) {
            Some(number) if bounds.contains(&number) => number,
            Some(_) => {
                self.reject(flag, advice);
                placeholder
            }
            None => placeholder,
        }
    }

    /// Parses a value, or records the setting as invalid and returns `None`.
    fn parse<T: FromStr>(&mut self, flag: &str, advice: &str) -> Option<T> {
        let text = self.optional_text(flag).unwrap_or_default();
        let parsed = text.trim().parse().ok();
        if parsed.is_none() {
            self.reject(flag, advice);
        }
        parsed
    }

    fn is_rejected(&self, flag: &str) -> bool {
        let given = self.given_value(flag);
        self.invalid.iter().any(|setting| setting.given == given)
    }

    /// Flag or variable and value of a setting, as error messages show them.
    fn given_value(&self, flag: &str) -> String {
        let value = self.matches.try_get_one::<String>(flag).ok().flatten();
        let Some(text) = value else {
            return format!("--{flag} (or {})", variable(flag));
        };
        let text: String = text.chars().take(SHOWN_VALUE_CHARS_MAX).collect();
        match self.matches.value_source(flag) {
            Some(ValueSource::EnvVariable) => format!("{}={text:?}", variable(flag)),
            _ => format!("--{flag} {text:?}"),
        }
    }
}
