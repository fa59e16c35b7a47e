//! Which version each process has in force, in a bounded number of store writes.
//!
//! A gateway confirms for itself and for the sidecars that it is connected to, in one row
//! `confirm/GATEWAY`, written when it changed and at most once an interval. The interval grows
//! with the gateways, so that all of them together stay within [`Options::writes_per_s`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_platform::table::Row;
use serde::Deserialize;
use serde::Serialize;

use crate::store::decode;
use crate::store::Error;

/// Prefix of the keys.
pub const PREFIX: &str = "confirm/";

/// Key of a gateway's row.
///
/// ```
/// assert_eq!(mgs_settings::confirm::key("g1"), "confirm/g1");
/// ```
pub fn key(gateway: &str) -> String {
    format!("{PREFIX}{gateway}")
}

/// Versions in force at a gateway and at the sidecars that it is connected to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Confirmation {
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Version in force at the gateway.
    pub version: u64,
    /// Version in force at each sidecar, by name.
    pub sidecars: BTreeMap<String, u64>,
}

/// Settings of confirmations.
#[derive(Debug, Clone)]
pub struct Options {
    /// Shortest time between two writes of one gateway, in milliseconds.
    pub interval_ms: u64,
    /// Writes per second that all gateways together may spend.
    pub writes_per_s: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            interval_ms: 1_000,
            writes_per_s: 100,
        }
    }
}

/// Collects what a gateway confirms and says when to write it.
#[derive(Debug)]
pub struct Reporter {
    options: Options,
    current: Confirmation,
    written: Option<Confirmation>,
    tried_ms: Option<u64>,
}

impl Reporter {
    /// A reporter of the gateway with this incarnation.
    ///
    /// ```
    /// use mgs_settings::confirm::Options;
    /// use mgs_settings::confirm::Reporter;
    ///
    /// let mut reporter = Reporter::new(Options::default(), 7);
    /// reporter.own(3);
    /// let due = reporter.due(0, 1).unwrap();
    /// assert_eq!((due.incarnation, due.version), (7, 3));
    /// reporter.written(due);
    /// assert!(reporter.due(5_000, 1).is_none());
    /// ```
    pub fn new(options: Options, incarnation: u64) -> Self {
        Self {
            options,
            current: Confirmation {
                incarnation,
                ..Confirmation::default()
            },
            written: None,
            tried_ms: None,
        }
    }

    /// The gateway itself has a version in force.
    pub fn own(&mut self, version: u64) {
        self.current.version = self.current.version.max(version);
    }

    /// A connected sidecar has a version in force.
    pub fn sidecar(&mut self, name: &str, version: u64) {
        match self.current.sidecars.get_mut(name) {
            Some(known) => *known = version,
            None => {
                self.current.sidecars.insert(name.to_string(), version);
            }
        }
    }

    /// A sidecar is no longer connected.
    pub fn lost(&mut self, name: &str) {
        self.current.sidecars.remove(name);
    }

    /// What must be written now, if anything. The next write is due an interval later even if
    /// this one fails.
    pub fn due(&mut self, now_ms: u64, gateways: u64) -> Option<Confirmation> {
        let waited = match self.tried_ms {
            Some(tried_ms) => now_ms >= tried_ms + self.interval_ms(gateways),
            None => true,
        };
        if !waited || self.written.as_ref() == Some(&self.current) {
            return None;
        }
        self.tried_ms = Some(now_ms);
        Some(self.current.clone())
    }

    /// What was due has been written.
    pub fn written(&mut self, confirmation: Confirmation) {
        self.written = Some(confirmation);
    }

    fn interval_ms(&self, gateways: u64) -> u64 {
        const MS_PER_S: u64 = 1_000;
        let fair_ms = gateways * MS_PER_S / self.options.writes_per_s.max(1);
        self.options.interval_ms.max(fair_ms)
    }
}

/// A process that must confirm.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    /// A gateway, by name.
    Gateway(String),
    /// A sidecar, by name.
    Sidecar(String),
}

/// Processes that must confirm an edit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Expected {
    /// Live gateways and their incarnations.
    pub gateways: BTreeMap<String, u64>,
    /// Names of the live sidecars.
    pub sidecars: BTreeSet<String>,
}

/// Names the processes that haven't confirmed a version yet, given all rows under [`PREFIX`].
/// A row of an earlier incarnation of a gateway says nothing of the gateway, nor of its sidecars.
pub fn waiting(version: u64, expected: &Expected, rows: &[Row]) -> Result<Vec<Process>, Error> {
    let mut gateways = BTreeSet::new();
    let mut sidecars = BTreeSet::new();
    for row in rows {
        let name = row.key.trim_start_matches(PREFIX);
        let confirmed: Confirmation = decode(&row.key, row.value.as_bytes())?;
        if expected.gateways.get(name) != Some(&confirmed.incarnation) {
            continue;
        }
        if confirmed.version >= version {
            gateways.insert(name.to_string());
        }
        let newer = confirmed.sidecars.into_iter();
        sidecars.extend(
            newer
                .filter(|(_, has)| *has >= version)
                .map(|(name, _)| name),
        );
    }
    let late = |name: &&String| !gateways.contains(*name);
    let gateways = expected.gateways.keys().filter(late).cloned();
    let sidecars = expected.sidecars.difference(&sidecars).cloned();
    let gateways = gateways.map(Process::Gateway);
    Ok(gateways.chain(sidecars.map(Process::Sidecar)).collect())
}

/// Sidecars that some gateway is connected to: the live ones.
pub fn connected(expected: &Expected, rows: &[Row]) -> Result<BTreeSet<String>, Error> {
    let mut sidecars = BTreeSet::new();
    for row in rows {
        let name = row.key.trim_start_matches(PREFIX);
        let confirmed: Confirmation = decode(&row.key, row.value.as_bytes())?;
        if expected.gateways.get(name) == Some(&confirmed.incarnation) {
            sidecars.extend(confirmed.sidecars.into_keys());
        }
    }
    Ok(sidecars)
}
