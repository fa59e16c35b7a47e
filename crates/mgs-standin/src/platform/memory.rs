//! The four services in memory, behind the faults.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::ops::Bound;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use mgs_platform::host::Host;
use mgs_platform::host::Hosts;
use mgs_platform::object::Objects;
use mgs_platform::object::OBJECT_MAX_BYTES;
use mgs_platform::table::Condition;
use mgs_platform::table::Page;
use mgs_platform::table::Row;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_platform::table::PAGE_ROWS_MAX;
use mgs_platform::table::TXN_ROWS_MAX;
use mgs_platform::weight::Weights;
use mgs_platform::Error;

use super::faults::Bucket;
use super::faults::Faults;
use super::Options;

/// The platform in memory. It implements all four services.
#[derive(Debug)]
pub struct Memory {
    faults: Faults,
    hosts_lag: Duration,
    weights_per_s: f64,
    weights_burst: f64,
    rows: Mutex<Rows>,
    objects: Mutex<HashMap<String, Vec<u8>>>,
    hosts: Mutex<HostList>,
    weights: Mutex<Bucket>,
}

#[derive(Debug, Default)]
struct Rows {
    revision: u64,
    rows: BTreeMap<String, Row>,
}

#[derive(Debug, Default)]
struct HostList {
    seen: Vec<Host>,
    coming: Vec<(Instant, Vec<Host>)>,
}

impl Default for Memory {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

impl Memory {
    /// An empty platform.
    ///
    /// ```
    /// use mgs_platform::table::Table;
    /// use mgs_platform::table::Txn;
    /// use mgs_standin::platform::memory::Memory;
    ///
    /// let memory = Memory::default();
    /// memory.commit(&Txn::default().when("a", 0).put("a", "1"))?;
    /// assert_eq!(Table::get(&memory, "a")?.map(|row| row.value), Some("1".to_string()));
    /// # Ok::<(), mgs_platform::Error>(())
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            faults: Faults::new(options.faults),
            hosts_lag: Duration::from_millis(options.hosts_lag_ms),
            weights_per_s: options.weights_per_s,
            weights_burst: options.weights_burst,
            rows: Mutex::default(),
            objects: Mutex::default(),
            hosts: Mutex::default(),
            weights: Mutex::default(),
        }
    }

    /// The faults and counters.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Sets the list of hosts, which is seen after its lag.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        let due = Instant::now() + self.hosts_lag;
        lock(&self.hosts).coming.push((due, hosts));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

impl Rows {
    fn failed(&self, condition: &Condition) -> Option<(String, Option<Row>)> {
        let row = self.rows.get(&condition.key);
        let version = row.map_or(0, |row| row.version);
        let fails = version != condition.version;
        fails.then(|| (condition.key.clone(), row.cloned()))
    }

    fn commit(&mut self, txn: &Txn) -> TxnOutcome {
        let failed = txn.conditions.iter().filter_map(|c| self.failed(c));
        let failed: Vec<_> = failed.collect();
        if !failed.is_empty() {
            return TxnOutcome::Conflict(failed);
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for write in &txn.writes {
            self.write(&write.key, write.value.as_deref());
        }
        TxnOutcome::Committed(self.revision)
    }

    fn write(&mut self, key: &str, value: Option<&str>) {
        let Some(value) = value else {
            self.rows.remove(key);
            return;
        };
        let row = Row {
            key: key.to_string(),
            value: value.to_string(),
            version: self.revision,
        };
        self.rows.insert(key.to_string(), row);
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Page {
        let start = if after >= prefix {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix)
        };
        let mut found = self
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix));
        let limit = limit.min(PAGE_ROWS_MAX);
        let rows = found.by_ref().take(limit).cloned().collect();
        Page {
            rows,
            more: found.next().is_some(),
            revision: self.revision,
        }
    }
}

fn row_bytes(row: &Row) -> usize {
    row.key.len() + row.value.len()
}

fn txn_bytes(txn: &Txn) -> usize {
    let writes = txn.writes.iter();
    writes
        .map(|write| write.key.len() + write.value.as_ref().map_or(0, String::len))
        .sum()
}

impl Table for Memory {
    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, Error> {
        if txn.conditions.len() > TXN_ROWS_MAX || txn.writes.len() > TXN_ROWS_MAX {
            return Err(Error::Rejected("too many rows".to_string()));
        }
        self.faults.write(|| {
            self.faults.count_write(txn_bytes(txn));
            Ok(lock(&self.rows).commit(txn))
        })
    }

    fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.faults.read(|| {
            let row = lock(&self.rows).rows.get(key).cloned();
            self.faults.count_read(row.as_ref().map_or(0, row_bytes));
            Ok(row)
        })
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Error> {
        self.faults.read(|| {
            let page = lock(&self.rows).scan(prefix, after, limit);
            self.faults
                .count_read(page.rows.iter().map(row_bytes).sum());
            Ok(page)
        })
    }
}

impl Objects for Memory {
    fn put(&self, key: &str, body: &[u8]) -> Result<(), Error> {
        if body.len() > OBJECT_MAX_BYTES {
            return Err(Error::Rejected("the object is too large".to_string()));
        }
        self.faults.write(|| {
            self.faults.count_write(body.len());
            lock(&self.objects).insert(key.to_string(), body.to_vec());
            Ok(())
        })
    }

    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        self.faults.read(|| {
            let body = lock(&self.objects).get(key).cloned();
            self.faults.count_read(body.as_ref().map_or(0, Vec::len));
            Ok(body)
        })
    }

    fn delete(&self, key: &str) -> Result<(), Error> {
        self.faults.write(|| {
            lock(&self.objects).remove(key);
            Ok(())
        })
    }
}

impl Weights for Memory {
    fn permit(&self, _model: &str, _version: &str) -> Result<(), Error> {
        self.faults.write(|| {
            let taken = lock(&self.weights).take(self.weights_per_s, self.weights_burst);
            taken.map_err(|retry_after_ms| Error::Throttled { retry_after_ms })
        })
    }
}

impl Hosts for Memory {
    fn list(&self) -> Result<Vec<Host>, Error> {
        self.faults.read(|| {
            let now = Instant::now();
            let mut hosts = lock(&self.hosts);
            while hosts.coming.first().is_some_and(|(due, _)| *due <= now) {
                hosts.seen = hosts.coming.remove(0).1;
            }
            Ok(hosts.seen.clone())
        })
    }
}
