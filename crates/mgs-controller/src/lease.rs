//! The lease on the duty, and fencing numbers.
//!
//! The lease is the row `controller/lease`. Its holder writes it often; whoever sees it unchanged
//! for [`Options::lease_ms`] by its own clock may take it. The holder stops to act
//! [`Options::margin_ms`] before that, counted from the moment before its last write was sent. No
//! clock of another process and no wall clock is read.
//!
//! A holder that was paused can't rely on its own clock between a look at it and a write. Each of
//! its writes is therefore a transaction on the version of the lease's row, which it also writes:
//! once another process has the lease, nothing of the old holder's takes effect.

use mgs_platform::table::Row;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use serde::Deserialize;
use serde::Serialize;

use crate::decode;
use crate::encode;
use crate::Error;

/// Key of the row.
pub const LEASE_KEY: &str = "controller/lease";

/// Settings of the lease.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long the row must stay unchanged before another process takes the lease, in
    /// milliseconds.
    pub lease_ms: u64,
    /// How long before that the holder stops to act, in milliseconds.
    pub margin_ms: u64,
    /// Time between renewals, in milliseconds.
    pub renew_interval_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            margin_ms: 2_000,
            renew_interval_ms: 3_000,
        }
    }
}

/// The row's value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRow {
    /// Name of the holder.
    pub holder: String,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Highest fencing number handed out; it only grows.
    pub fencing: u64,
    /// Count of the holder's writes.
    pub writes: u64,
}

/// Whether a write takes a new fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Number {
    /// The highest one stays.
    Keep,
    /// The next one is handed out.
    Next,
}

/// One process's part in the lease.
///
/// ```
/// use mgs_controller::lease::Lease;
/// use mgs_controller::lease::Options;
/// # let memory = mgs_standin::platform::memory::Memory::default();
///
/// let mut first = Lease::new(Options::default(), "g1", 1);
/// let mut second = Lease::new(Options::default(), "g2", 2);
/// assert!(first.tick(0, &memory).unwrap());
/// assert!(!second.tick(0, &memory).unwrap());
/// assert!(!second.tick(9_999, &memory).unwrap());
/// assert!(second.tick(10_000, &memory).unwrap());
/// assert!(!first.tick(10_000, &memory).unwrap());
/// ```
#[derive(Debug)]
pub struct Lease {
    options: Options,
    holder: String,
    incarnation: u64,
    seen: Option<Seen>,
    held: Option<Held>,
    watch_interval_ms: u64,
    watch_due_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    version: u64,
    row: LeaseRow,
    since_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    renewed_ms: u64,
    until_ms: u64,
}

impl Lease {
    /// A process that doesn't hold the lease.
    pub fn new(options: Options, holder: &str, incarnation: u64) -> Self {
        Self {
            options,
            holder: holder.to_string(),
            incarnation,
            seen: None,
            held: None,
            watch_interval_ms: 0,
            watch_due_ms: 0,
        }
    }

    /// Sets the least time between reads of a process that doesn't hold the lease, in
    /// milliseconds, so that many processes together stay within the store's budget.
    pub fn watch_every(&mut self, interval_ms: u64) {
        self.watch_interval_ms = interval_ms;
    }

    /// Whether the process may act as the holder now.
    pub fn held(&self, now_ms: u64) -> bool {
        self.held.is_some_and(|held| now_ms < held.until_ms)
    }

    /// Highest fencing number that this process knows of.
    pub fn fencing(&self) -> u64 {
        self.seen.as_ref().map_or(0, |seen| seen.row.fencing)
    }

    /// Takes or renews the lease where that is due; returns whether it is held. `now_ms` is from
    /// before the call.
    pub fn tick(&mut self, now_ms: u64, table: &dyn Table) -> Result<bool, Error> {
        if self.held(now_ms) && !self.renewal_due(now_ms) {
            return Ok(true);
        }
        if self.held(now_ms) {
            self.write(now_ms, table, Txn::default(), Number::Keep)?;
            return Ok(self.held(now_ms));
        }
        if self.held.take().is_none() && now_ms < self.watch_due_ms {
            return Ok(false);
        }
        self.watch_due_ms = now_ms + self.watch_interval_ms;
        let row = table.get(LEASE_KEY)?;
        self.observe(now_ms, row.as_ref())?;
        if self.may_take(now_ms) {
            self.write(now_ms, table, Txn::default(), Number::Next)?;
        }
        Ok(self.held(now_ms))
    }

    /// Makes a transaction as the holder; it takes effect only if nobody has taken the lease since.
    /// Returns the highest fencing number after it. `now_ms` is from before the call.
    pub fn commit(
        &mut self,
        now_ms: u64,
        table: &dyn Table,
        txn: Txn,
        number: Number,
    ) -> Result<u64, Error> {
        if !self.held(now_ms) {
            return Err(Error::NotHeld);
        }
        self.write(now_ms, table, txn, number)?;
        if !self.held(now_ms) {
            return Err(Error::NotHeld);
        }
        Ok(self.fencing())
    }

    /// Fencing number that the next [`Number::Next`] hands out.
    pub fn next_fencing(&self) -> u64 {
        self.fencing() + 1
    }

    fn renewal_due(&self, now_ms: u64) -> bool {
        let due_ms = |held: Held| held.renewed_ms + self.options.renew_interval_ms;
        self.held.is_none_or(|held| now_ms >= due_ms(held))
    }

    fn observe(&mut self, now_ms: u64, row: Option<&Row>) -> Result<(), Error> {
        let Some(row) = row else {
            self.seen = None;
            return Ok(());
        };
        let known = self.seen.as_ref();
        if known.is_some_and(|seen| seen.version == row.version) {
            return Ok(());
        }
        self.seen = Some(Seen {
            version: row.version,
            row: decode(LEASE_KEY, &row.value)?,
            since_ms: now_ms,
        });
        Ok(())
    }

    /// A row of this incarnation is its own, left by a write whose answer it doesn't know.
    fn may_take(&self, now_ms: u64) -> bool {
        self.seen.as_ref().is_none_or(|seen| {
            let own = seen.row.incarnation == self.incarnation;
            own || now_ms >= seen.since_ms + self.options.lease_ms
        })
    }

    fn write(
        &mut self,
        now_ms: u64,
        table: &dyn Table,
        txn: Txn,
        number: Number,
    ) -> Result<(), Error> {
        let version = self.seen.as_ref().map_or(0, |seen| seen.version);
        let row = self.next_row(number);
        let txn = txn
            .when(LEASE_KEY, version)
            .put(LEASE_KEY, &encode(LEASE_KEY, &row)?);
        match table.commit(&txn) {
            Ok(TxnOutcome::Committed(version)) => self.wrote(now_ms, version, row),
            Ok(TxnOutcome::Conflict(_)) => self.held = None,
            Err(mgs_platform::Error::Unknown(_)) => self.read_back(now_ms, table, &row)?,
            Err(error) => return Err(error.into()),
        }
        Ok(())
    }

    fn next_row(&self, number: Number) -> LeaseRow {
        let before = self.seen.as_ref().map(|seen| &seen.row);
        LeaseRow {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            fencing: self.fencing() + u64::from(number == Number::Next),
            writes: before.map_or(0, |row| row.writes) + 1,
        }
    }

    fn wrote(&mut self, now_ms: u64, version: u64, row: LeaseRow) {
        self.seen = Some(Seen {
            version,
            row,
            since_ms: now_ms,
        });
        self.held = Some(Held {
            renewed_ms: now_ms,
            until_ms: now_ms + self.options.lease_ms.saturating_sub(self.options.margin_ms),
        });
    }

    /// Settles a lost answer: the row either is what was written or it isn't. Until that is known
    /// the lease isn't held.
    fn read_back(&mut self, now_ms: u64, table: &dyn Table, wrote: &LeaseRow) -> Result<(), Error> {
        self.held = None;
        let row = table.get(LEASE_KEY)?;
        self.observe(now_ms, row.as_ref())?;
        let seen = self.seen.as_ref();
        let found = seen
            .filter(|seen| seen.row == *wrote)
            .map(|seen| seen.version);
        if let Some(version) = found {
            self.wrote(now_ms, version, wrote.clone());
        }
        Ok(())
    }
}
