//! Settings: each a flag and an environment variable, checked together at the start.
//!
//! The variable of `--some-flag` is `MARIGOLDSTAGE_SOME_FLAG`; the flag goes first. Values are taken
//! as text by the parser and read through [`Values`], which collects every fault, so that an
//! operator sees all of them at once.

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
use crate::error::Faults;

const VARIABLE_PREFIX: &str = "MARIGOLDSTAGE_";
const SHOWN_CHARS_MAX: usize = 80;

/// The environment variable of a flag.
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

/// Declares a setting with a value.
pub fn value(flag: &'static str, placeholder: &'static str, help: impl Into<String>) -> Arg {
    Arg::new(flag)
        .long(flag)
        .env(variable(flag))
        .value_name(placeholder)
        .action(ArgAction::Set)
        .allow_negative_numbers(true)
        .help(help.into())
}

/// Declares a setting that is either given or not.
pub fn switch(flag: &'static str, help: &'static str) -> Arg {
    Arg::new(flag)
        .long(flag)
        .env(variable(flag))
        .action(ArgAction::SetTrue)
        .value_parser(BoolishValueParser::new())
        .help(help)
}

/// One wrong setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where the value came from and what it was.
    pub given: String,
    /// What is wrong and what to give instead.
    pub advice: String,
}

impl Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.given, self.advice)
    }
}

/// Reads the settings of one command and collects their faults.
///
/// A reader that meets a fault notes it and returns a filler; [`Values::finish`] then fails, so no
/// filler is ever used.
#[derive(Debug)]
pub struct Values<'a> {
    matches: &'a ArgMatches,
    faults: Vec<Fault>,
}

impl<'a> Values<'a> {
    /// Starts to read.
    pub fn new(matches: &'a ArgMatches) -> Self {
        Self {
            matches,
            faults: Vec::new(),
        }
    }

    /// Fails with every fault noted so far, if there is one.
    pub fn finish(self) -> Result<(), Error> {
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(Error::Settings(Faults(self.faults)))
    }

    /// Notes a fault of a setting.
    pub fn fault(&mut self, flag: &str, advice: impl Into<String>) {
        let given = self.given(flag);
        let advice = advice.into();
        self.faults.push(Fault { given, advice });
    }

    /// Whether a switch is given.
    pub fn switch(&self, flag: &str) -> bool {
        self.matches.get_flag(flag)
    }

    /// The text of a setting that may be absent.
    pub fn optional(&self, flag: &str) -> Option<String> {
        self.matches.get_one::<String>(flag).cloned()
    }

    /// The text of a setting that must be there and not be empty.
    pub fn text(&mut self, flag: &str) -> String {
        let text = self.optional(flag).unwrap_or_default();
        if text.trim().is_empty() {
            self.fault(flag, "must be given and not be empty");
        }
        text
    }

    /// An address, `IP:PORT`.
    pub fn address(&mut self, flag: &str) -> SocketAddr {
        self.parse(flag, "give IP:PORT, such as 127.0.0.1:7100")
            .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Any number of addresses, each `IP:PORT`.
    pub fn addresses(&mut self, flag: &str) -> Vec<SocketAddr> {
        let given: Vec<String> = match self.matches.get_many::<String>(flag) {
            Some(texts) => texts.cloned().collect(),
            None => Vec::new(),
        };
        let mut addresses = Vec::new();
        for text in given {
            match text.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.fault(flag, format!("{text:?} is no IP:PORT")),
            }
        }
        addresses
    }

    /// An address that other processes are told, so it must name one IP number; port 0 takes a
    /// free port.
    pub fn told_address(&mut self, flag: &str) -> SocketAddr {
        let address = self.address(flag);
        if address.ip().is_unspecified() && !self.is_faulty(flag) {
            let advice = "other processes are told it: give this host's own IP number";
            self.fault(flag, advice);
        }
        address
    }

    /// A base address of an HTTP service, `http://IP:PORT`, without a slash at its end.
    pub fn url(&mut self, flag: &str) -> String {
        let text = self.text(flag);
        let text = text.trim_end_matches('/').to_string();
        let rest = text.strip_prefix("http://");
        let good = rest.is_some_and(|rest| !rest.is_empty() && !rest.contains(['/', ' ', '?']));
        if !good && !self.is_faulty(flag) {
            self.fault(flag, "give http://IP:PORT, such as http://127.0.0.1:7400");
        }
        text
    }

    /// A number within bounds.
    pub fn number<T>(&mut self, flag: &str, bounds: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let filler = *bounds.start();
        let advice = format!("give a number from {} to {}", bounds.start(), bounds.end());
        match self.parse::<T>(flag, &advice) {
            Some(number) if bounds.contains(&number) => number,
            Some(_) => {
                self.fault(flag, advice);
                filler
            }
            None => filler,
        }
    }

    /// A value of a type that reads itself from text, or `None` after noting a fault.
    fn parse<T: FromStr>(&mut self, flag: &str, advice: &str) -> Option<T> {
        let text = self.optional(flag).unwrap_or_default();
        let parsed = text.trim().parse().ok();
        if parsed.is_none() {
            self.fault(flag, advice);
        }
        parsed
    }

    fn is_faulty(&self, flag: &str) -> bool {
        let given = self.given(flag);
        self.faults.iter().any(|fault| fault.given == given)
    }

    fn given(&self, flag: &str) -> String {
        let known = self.matches.try_get_one::<String>(flag).ok().flatten();
        let Some(text) = known else {
            return format!("--{flag} (or {})", variable(flag));
        };
        let text: String = text.chars().take(SHOWN_CHARS_MAX).collect();
        match self.matches.value_source(flag) {
            Some(ValueSource::EnvVariable) => format!("{}={text:?}", variable(flag)),
            _ => format!("--{flag} {text:?}"),
        }
    }
}
