//! Processes in the table service: incarnations, gateways' leases, names claimed twice.
//!
//! | key | value | written |
//! |---|---|---|
//! | `member/gateway/NAME` | [`Member`] | at the start and at each renewal |
//! | `member/sidecar/NAME` | [`Member`] | at the start |
//!
//! A process that starts takes its name over, whoever had it; the one that had it finds out at its
//! next renewal and must stop. Whether a gateway is live is judged by each observer's own clock:
//! it is while its row changes. Sidecars' liveness is that of their connections to gateways.

use std::collections::BTreeMap;
use std::collections::HashMap;

use displaydoc::Display;
use mgs_platform::table::Row;
use mgs_platform::table::Table as TableService;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use serde::Deserialize;
use serde::Serialize;

use crate::store::decode;
use crate::store::encode;
use crate::store::Error as StoreError;

/// Prefix of the gateways' keys.
pub const GATEWAY_PREFIX: &str = "member/gateway/";

/// Prefix of the sidecars' keys.
pub const SIDECAR_PREFIX: &str = "member/sidecar/";

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// An entry host's process.
    Gateway,
    /// An endpoint's process.
    Sidecar,
}

/// Key of a process's row.
///
/// ```
/// use mgs_settings::member;
///
/// assert_eq!(member::key(member::Role::Gateway, "g1"), "member/gateway/g1");
/// ```
pub fn key(role: Role, name: &str) -> String {
    let prefix = match role {
        Role::Gateway => GATEWAY_PREFIX,
        Role::Sidecar => SIDECAR_PREFIX,
    };
    format!("{prefix}{name}")
}

/// Load that a gateway saw for one model since its last renewal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Demand {
    /// Tokens of prompts and answers that were asked for.
    pub tokens_per_s: f64,
    /// Prompt tokens that wait in queues.
    pub waiting_tokens: u64,
}

/// One process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Member {
    /// Incarnation, random at its start.
    pub incarnation: u64,
    /// Address for other processes, `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Count of renewals.
    pub renewals: u64,
    /// Demand by model; gateways only.
    pub demand: BTreeMap<String, Demand>,
}

/// Settings of membership.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time between renewals of a gateway's row, in milliseconds.
    pub renew_interval_ms: u64,
    /// How long a gateway's row may stay unchanged before it counts as dead, in milliseconds.
    pub lease_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            renew_interval_ms: 10_000,
            lease_ms: 30_000,
        }
    }
}

/// Why a process doesn't have its name.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// a newer process {incarnation:016x} has taken the name over
    Superseded {
        /// Its incarnation.
        incarnation: u64,
    },
    /// {0}
    Store(StoreError),
}

impl std::error::Error for Error {}

impl<E: Into<StoreError>> From<E> for Error {
    fn from(error: E) -> Self {
        Self::Store(error.into())
    }
}

/// A process's hold on its name.
#[derive(Debug)]
pub struct Claim {
    key: String,
    member: Member,
    /// Version of the row as this process last wrote it; `None` before the claim took effect.
    version: Option<u64>,
}

impl Claim {
    /// A claim that isn't made yet.
    pub fn new(role: Role, name: &str, member: Member) -> Self {
        Self {
            key: key(role, name),
            member,
            version: None,
        }
    }

    /// The process as its row says.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Whether the name has been claimed.
    pub fn made(&self) -> bool {
        self.version.is_some()
    }

    /// Claims the name or renews the claim; call it again after an error of the store.
    ///
    /// ```
    /// use mgs_settings::member::Claim;
    /// use mgs_settings::member::Member;
    /// use mgs_settings::member::Role;
    /// # let memory = mgs_standin::platform::memory::Memory::default();
    ///
    /// let mut old = Claim::new(Role::Gateway, "g1", Member { incarnation: 1, ..Member::default() });
    /// let mut new = Claim::new(Role::Gateway, "g1", Member { incarnation: 2, ..Member::default() });
    /// old.renew(&memory, Default::default()).unwrap();
    /// new.renew(&memory, Default::default()).unwrap();
    /// assert!(old.renew(&memory, Default::default()).is_err());
    /// ```
    pub fn renew(
        &mut self,
        table: &dyn TableService,
        demand: BTreeMap<String, Demand>,
    ) -> Result<(), Error> {
        self.member.demand = demand;
        match self.version {
            Some(version) => self.write(table, version),
            None => self.take(table),
        }
    }

    /// Finds out whether another process has the name; for a process that doesn't renew.
    pub fn check(&self, table: &dyn TableService) -> Result<(), Error> {
        match table.get(&self.key)? {
            Some(row) => self.compare(&row),
            None => Ok(()),
        }
    }

    /// Gives the name up, so that nobody waits for the lease.
    pub fn leave(&self, table: &dyn TableService) -> Result<(), Error> {
        if let Some(version) = self.version {
            let txn = Txn::default().when(&self.key, version).delete(&self.key);
            table.commit(&txn)?;
        }
        Ok(())
    }

    /// The first claim takes the name from whoever has it.
    fn take(&mut self, table: &dyn TableService) -> Result<(), Error> {
        let version = table.get(&self.key)?.map_or(0, |row| row.version);
        match self.write(table, version) {
            Err(Error::Superseded { .. }) => self.take_again(table),
            result => result,
        }
    }

    /// Two first claims at once: the later one wins, and the earlier one learns at its renewal.
    fn take_again(&mut self, table: &dyn TableService) -> Result<(), Error> {
        let version = table.get(&self.key)?.map_or(0, |row| row.version);
        self.write(table, version)
    }

    fn write(&mut self, table: &dyn TableService, version: u64) -> Result<(), Error> {
        self.member.renewals += 1;
        let value = encode(&self.key, &self.member)?;
        let txn = Txn::default()
            .when(&self.key, version)
            .put(&self.key, &value);
        match table.commit(&txn) {
            Ok(TxnOutcome::Committed(version)) => {
                self.version = Some(version);
                Ok(())
            }
            Ok(TxnOutcome::Conflict(rows)) => self.meet(rows.into_iter().next()),
            Err(mgs_platform::Error::Unknown(_)) => self.read_back(table, version),
            Err(error) => Err(error.into()),
        }
    }

    /// The row isn't as this process left it: a lost answer of its own, another process, or
    /// somebody who took it for dead and removed the row.
    fn meet(&mut self, found: Option<(String, Option<Row>)>) -> Result<(), Error> {
        match found {
            Some((_, Some(row))) => {
                self.compare(&row)?;
                self.version = Some(row.version);
            }
            Some((_, None)) | None => self.version = None,
        }
        Ok(())
    }

    /// The answer to a write on `version` was lost. A row that still has this version shows that
    /// the write didn't take effect; any other is this process's own or a newer one's.
    fn read_back(&mut self, table: &dyn TableService, version: u64) -> Result<(), Error> {
        let row = table.get(&self.key)?;
        if row.as_ref().map_or(0, |row| row.version) == version {
            return Ok(());
        }
        self.meet(row.map(|row| (self.key.clone(), Some(row))))
    }

    fn compare(&self, row: &Row) -> Result<(), Error> {
        let member: Member = decode(&self.key, row.value.as_bytes())?;
        if member.incarnation == self.member.incarnation {
            return Ok(());
        }
        Err(Error::Superseded {
            incarnation: member.incarnation,
        })
    }
}

const MS_PER_S: u64 = 1_000;

/// Bytes of a row in a scan beside its key and value, about.
const ROW_HEAD_BYTES: usize = 60;

/// Bytes of rows in a scan, about.
pub fn scan_bytes(rows: &[Row]) -> u64 {
    let bytes = |row: &Row| row.key.len() + row.value.len() + ROW_HEAD_BYTES;
    rows.iter().map(bytes).sum::<usize>() as u64
}

/// When to look at the gateways' rows again, in milliseconds, if the last look took so many
/// bytes: at each renewal, or as often as a budget of bytes per second allows.
///
/// ```
/// use mgs_settings::member;
///
/// assert_eq!(member::look_interval_ms(1_200, 10_000, 2_000), 10_000);
/// assert_eq!(member::look_interval_ms(90_000, 10_000, 2_000), 45_000);
/// ```
pub fn look_interval_ms(scan_bytes: u64, renew_interval_ms: u64, bytes_per_s: u64) -> u64 {
    renew_interval_ms.max(scan_bytes * MS_PER_S / bytes_per_s.max(1))
}

/// Judges by its owner's clock which gateways are live, as of its last look at their rows.
#[derive(Debug, Default)]
pub struct Observer {
    seen: HashMap<String, Seen>,
    looked_ms: u64,
}

#[derive(Debug)]
struct Seen {
    version: u64,
    since_ms: u64,
    member: Member,
}

impl Observer {
    /// Takes all rows under [`GATEWAY_PREFIX`], as they are now.
    pub fn observe(&mut self, now_ms: u64, rows: &[Row]) -> Result<(), StoreError> {
        let mut seen = HashMap::new();
        for row in rows {
            let name = row.key.trim_start_matches(GATEWAY_PREFIX).to_string();
            let old = self.seen.remove(&name);
            let since_ms = match old {
                Some(old) if old.version == row.version => old.since_ms,
                Some(_) | None => now_ms,
            };
            let next = Seen {
                version: row.version,
                since_ms,
                member: decode(&row.key, row.value.as_bytes())?,
            };
            seen.insert(name, next);
        }
        self.seen = seen;
        self.looked_ms = now_ms;
        Ok(())
    }

    /// Gateways by name, but for those whose row had been unchanged for the lease at the last
    /// look.
    pub fn live(&self, lease_ms: u64) -> BTreeMap<&str, &Member> {
        let live = |seen: &Seen| self.looked_ms < seen.since_ms + lease_ms;
        let rows = self.seen.iter().filter(|(_, seen)| live(seen));
        rows.map(|(name, seen)| (name.as_str(), &seen.member))
            .collect()
    }

    /// Keys and versions of rows that had been unchanged for `age_ms` at the last look; they may
    /// be removed on the condition that they still have that version.
    pub fn older_than(&self, age_ms: u64) -> Vec<(String, u64)> {
        let old = |seen: &Seen| self.looked_ms >= seen.since_ms + age_ms;
        let rows = self.seen.iter().filter(|(_, seen)| old(seen));
        rows.map(|(name, seen)| (key(Role::Gateway, name), seen.version))
            .collect()
    }
}
