//! The thread that beats for its gateway, watches the others, moves the shared clock on and
//! settles tenures that were given up.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_platform::table::scan_all;
use mgs_platform::table::Row;
use mgs_platform::table::TxnOutcome;
use mgs_platform::Error;

use crate::batch::Op;
use crate::batch::Written;
use crate::clock;
use crate::core::lock;
use crate::core::Core;
use crate::core::Surrender;
use crate::entry::id_of;
use crate::entry::Entry;
use crate::entry::State;
use crate::entry::ASYNC_PREFIX;
use crate::lease;
use crate::lease::Beat;
use crate::lease::Span;

/// Wait between two looks at whether something is due.
const PAUSE: Duration = Duration::from_millis(10);

/// Longest time between two transactions of a gateway, in milliseconds.
const WINDOW_MAX_MS: u64 = 1_000;

const MS_PER_S: u64 = 1_000;

/// Rows in a scan that cost as much as one read of a row by itself, about.
const ROWS_PER_READ: usize = 4;

/// Rows of gone gateways that one pass deletes, at most.
const REMAINS_MAX: usize = 4;

/// State of the thread.
pub(crate) struct Keeper {
    core: Arc<Core>,
    beat: u64,
    version: u64,
    scan_due_ms: u64,
    /// Until when no row is read between passes, after an error of the store.
    again_ms: u64,
}

impl Keeper {
    /// A keeper that hasn't beaten yet.
    pub(crate) fn new(core: Arc<Core>) -> Self {
        Self {
            core,
            beat: 0,
            version: 0,
            scan_due_ms: 0,
            again_ms: 0,
        }
    }

    /// Runs until the process stops.
    pub(crate) fn run(mut self) {
        while !self.core.stopping() {
            let began = Instant::now();
            let period_ms = self.pass();
            let period = Duration::from_millis(period_ms);
            while began.elapsed() < period && !self.core.stopping() {
                thread::sleep(PAUSE);
                self.read_unread(period_ms);
            }
        }
        self.settle();
        self.withdraw();
    }

    /// One pass: returns the time until the next one, in milliseconds.
    pub(crate) fn pass(&mut self) -> u64 {
        let live = lock(&self.core.watch).live();
        let period_ms = lease::period_ms(live.len(), self.core.options.beat_min_ms);
        self.core.grouper.set_window(self.window_ms(live.len()));
        self.beat(period_ms);
        if let Err(error) = self.look(period_ms) {
            log::warn!(error:% = error; "the store can't be read; no lease is judged anew");
        }
        self.tick(&live);
        self.settle();
        self.clear_remains();
        period_ms
    }

    /// Time between transactions that keeps all gateways together within the store's budget.
    fn window_ms(&self, gateways: usize) -> u64 {
        let options = &self.core.options;
        let spread_ms = gateways as u64 * MS_PER_S / options.txns_per_s.max(1);
        spread_ms.min(WINDOW_MAX_MS).max(options.grouper.window_ms)
    }

    /// Rewrites the gateway's row. A row that another process deleted is written anew.
    fn beat(&mut self, period_ms: u64) {
        self.beat += 1;
        let beat = Beat {
            beat: self.beat,
            period_ms,
        };
        let value = serde_json::to_string(&beat).expect("a beat has only JSON's types");
        let key = lease::key(self.core.options.gateway);
        let op = Op {
            key,
            expected: self.version,
            value: Some(value),
        };
        match self.core.write(op) {
            Written::Done(version) => {
                self.version = version;
                self.core.beaten.store(true, Ordering::Relaxed);
            }
            Written::Conflict(row) => self.version = row.map_or(0, |row| row.version),
            Written::Unavailable | Written::Unknown => {}
        }
    }

    fn look(&mut self, period_ms: u64) -> Result<(), Error> {
        if self.core.now_ms() >= self.scan_due_ms {
            self.scan(period_ms)?;
        } else {
            let now_ms = self.core.now_ms();
            let followed = lock(&self.core.watch).followed(now_ms);
            self.read(&followed, period_ms)?;
        }
        let row = self.core.table.get(clock::KEY)?;
        let now_ms = self.core.now_ms();
        lock(&self.core.clock).read(row.as_ref(), now_ms);
        Ok(())
    }

    /// Reads the rows of gateways that were asked for since the last pass.
    fn read_unread(&mut self, period_ms: u64) {
        let unread = lock(&self.core.watch).unread();
        if unread.is_empty() || self.core.now_ms() < self.again_ms {
            return;
        }
        if let Err(error) = self.read(&unread, period_ms) {
            self.again_ms = self.core.now_ms() + self.core.options.beat_min_ms;
            log::warn!(error:% = error; "a gateway's row can't be read; its lease isn't judged");
        }
    }

    /// Reads the rows of some gateways: each by itself, or all where that is cheaper.
    fn read(&mut self, gateways: &[u64], period_ms: u64) -> Result<(), Error> {
        let rows = lock(&self.core.watch).rows();
        if gateways.len() > 1 && gateways.len() * ROWS_PER_READ > rows {
            return self.scan(period_ms);
        }
        for &gateway in gateways {
            let began_ms = self.core.now_ms();
            let row = self.core.table.get(&lease::key(gateway))?;
            let span = self.since(began_ms);
            lock(&self.core.watch).read(gateway, row.as_ref(), span);
        }
        Ok(())
    }

    fn scan(&mut self, period_ms: u64) -> Result<(), Error> {
        let began_ms = self.core.now_ms();
        let rows = scan_all(self.core.table.as_ref(), lease::PREFIX)?;
        let span = self.since(began_ms);
        lock(&self.core.watch).scanned(&rows, span);
        self.scan_due_ms = began_ms + lease::scan_interval_ms(rows.len(), period_ms);
        Ok(())
    }

    fn since(&self, began_ms: u64) -> Span {
        Span {
            began_ms,
            ended_ms: self.core.now_ms(),
        }
    }

    fn tick(&self, live: &[u64]) {
        let me = self.core.options.gateway;
        let rank = live.iter().position(|&gateway| gateway == me);
        let rank = rank.unwrap_or(live.len()) as u64;
        let now_ms = self.core.now_ms();
        let Some(tick) = lock(&self.core.clock).due(rank, now_ms) else {
            return;
        };
        // Whatever comes of it, the next look shows the row as it is. Two gateways may write the
        // same value, which is as good as one having done so.
        self.core.write(Op {
            key: clock::KEY.to_string(),
            expected: tick.version,
            value: Some(tick.value),
        });
    }

    /// Frees tenures that were given up, in case the store has them.
    fn settle(&self) {
        let given_up = std::mem::take(&mut *lock(&self.core.surrendered));
        for surrender in given_up {
            let settled = self.settle_one(&surrender);
            if !settled || self.core.now_ms() < surrender.until_ms {
                lock(&self.core.surrendered).push(surrender);
            }
        }
    }

    fn settle_one(&self, surrender: &Surrender) -> bool {
        let Ok(found) = self.core.read(&surrender.key) else {
            return false;
        };
        let Some((row, entry)) = found.filter(|(_, entry)| entry.nonce == surrender.nonce) else {
            return true;
        };
        let Some(op) = free(&row, entry) else {
            return true;
        };
        matches!(self.core.write(op), Written::Done(_) | Written::Conflict(_))
    }

    fn clear_remains(&self) {
        let remains = lock(&self.core.watch).remains();
        for (gateway, version) in remains.into_iter().take(REMAINS_MAX) {
            self.core.write(Op {
                key: lease::key(gateway),
                expected: version,
                value: None,
            });
        }
    }

    /// Says that this gateway holds nothing more.
    fn withdraw(&self) {
        if !lock(&self.core.active).is_empty() {
            return;
        }
        let key = lease::key(self.core.options.gateway);
        let txn = mgs_platform::table::Txn::default()
            .when(&key, self.version)
            .delete(&key);
        match self.core.table.commit(&txn) {
            Ok(TxnOutcome::Committed(_)) => {}
            other => log::info!(outcome:? = other; "the gateway's row stays until its lease ends"),
        }
    }
}

/// The write that frees an entry from a tenure that dispatched nothing under it. One that names
/// an endpoint keeps it, so that the next holder asks there.
fn free(row: &Row, mut entry: Entry) -> Option<Op> {
    let durable = row.key.starts_with(ASYNC_PREFIX);
    let value = match (&entry.state, durable) {
        (State::Held, true) => {
            entry.state = State::Queued;
            Some(entry)
        }
        (State::Held | State::Submitting | State::Async, _) => None,
        (State::Dispatched(_), _) => Some(entry),
        (State::Queued | State::Done(_), _) => return None,
    };
    log::info!(id = id_of(&row.key); "a tenure that was given up is freed");
    let value = value.map(|mut entry| {
        entry.holder = 0;
        entry.write += 1;
        entry.to_text()
    });
    Some(Op {
        key: row.key.clone(),
        expected: row.version,
        value,
    })
}
