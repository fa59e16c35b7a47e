//! The thread that scans this gateway's shards, and the threads that run what it finds.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Sender;
use mgs_platform::table::Row;
use mgs_platform::Error;
use mgs_schema::wire::RefusalReason;

use crate::batch::Op;
use crate::core::lock;
use crate::core::Core;
use crate::entry::answer_key;
use crate::entry::body_key;
use crate::entry::id_of;
use crate::entry::Entry;
use crate::entry::State;
use crate::entry::ASYNC_PREFIX;
use crate::entry::CLAIM_PREFIX;
use crate::pursuit;
use crate::pursuit::Action;
use crate::pursuit::Pursuit;
use crate::run;
use crate::shard;
use crate::tenure::Closing;

/// Rows read at once.
const PAGE_ROWS: usize = 1_000;

/// Pages of durable requests read in one pass, at most.
const ASYNC_PAGES_MAX: usize = 64;

/// Rows of keyed requests read at once.
const CLAIM_PAGE_ROWS: usize = 200;

/// Pages of keyed requests read in one pass, at most; they are read only to delete what expired.
const CLAIM_PAGES_MAX: usize = 1;

/// How long after its deadline an entry is left to its holder, in milliseconds.
const OVERDUE_MS: u64 = 1_000;

/// Wait between two looks at whether the process stops.
const PAUSE: Duration = Duration::from_millis(50);

/// State of the thread.
pub(crate) struct Worker {
    core: Arc<Core>,
    closers: Sender<Closing>,
    /// Where the scan of a prefix goes on, if its last page wasn't the end.
    cursors: HashMap<String, String>,
    /// Place among this gateway's shards at which the next pass begins, by prefix.
    next_async: usize,
    next_claim: usize,
    claims_due_ms: u64,
    deletes_left: usize,
}

/// What one page brought.
struct Scanned {
    more: bool,
    rows: usize,
    bytes: u64,
    swept: usize,
}

impl Worker {
    /// A worker that hasn't scanned yet.
    pub(crate) fn new(core: Arc<Core>, closers: Sender<Closing>) -> Self {
        Self {
            core,
            closers,
            cursors: HashMap::new(),
            next_async: 0,
            next_claim: 0,
            claims_due_ms: 0,
            deletes_left: 0,
        }
    }

    /// Runs until the process stops.
    pub(crate) fn run(mut self) {
        let period = Duration::from_millis(self.core.options.scan_ms);
        while !self.core.draining() {
            let began = Instant::now();
            if let Err(error) = self.pass() {
                log::warn!(error:% = error; "the store can't be scanned");
            }
            while began.elapsed() < period && !self.core.draining() {
                thread::sleep(PAUSE);
            }
        }
    }

    /// One pass over this gateway's shards, within the budgets of reads and deletions.
    fn pass(&mut self) -> Result<(), Error> {
        let Some(shared_ms) = self.core.shared_ms() else {
            return Ok(());
        };
        let live = lock(&self.core.watch).live();
        let shards = shard::owned(self.core.options.gateway, &live);
        self.deletes_left = self.core.options.deletes_max;
        let mut pages_left = ASYNC_PAGES_MAX;
        for shard in next_of(&shards, &mut self.next_async, shards.len()) {
            let prefix = format!("{ASYNC_PREFIX}{}", shard::name(shard));
            while pages_left > 0 {
                pages_left -= 1;
                if !self.scan(&prefix, PAGE_ROWS, shared_ms)?.more {
                    break;
                }
            }
        }
        if self.core.now_ms() >= self.claims_due_ms {
            self.scan_claims(&shards, shared_ms)?;
        }
        Ok(())
    }

    fn scan_claims(&mut self, shards: &[u32], shared_ms: u64) -> Result<(), Error> {
        for shard in next_of(shards, &mut self.next_claim, CLAIM_PAGES_MAX) {
            let prefix = format!("{CLAIM_PREFIX}{}", shard::name(shard));
            let page = self.scan(&prefix, CLAIM_PAGE_ROWS, shared_ms)?;
            let wait_ms = shard::claims_wait_ms(page.bytes, page.rows, page.swept);
            self.claims_due_ms = self.core.now_ms() + wait_ms;
        }
        Ok(())
    }

    /// Reads one page under a prefix and considers its rows.
    fn scan(&mut self, prefix: &str, rows_max: usize, shared_ms: u64) -> Result<Scanned, Error> {
        let after = self.cursors.remove(prefix).unwrap_or_default();
        let page = self.core.table.scan(prefix, &after, rows_max)?;
        let more = page.more;
        let rows = page.rows.len();
        let bytes = page.rows.iter().map(|row| row.key.len() + row.value.len());
        let bytes = bytes.sum::<usize>() as u64;
        let deletes_left = self.deletes_left;
        if let Some(last) = page.rows.last().filter(|_| more) {
            self.cursors.insert(prefix.to_string(), last.key.clone());
        }
        for row in page.rows {
            self.consider(row, shared_ms);
        }
        Ok(Scanned {
            more,
            rows,
            bytes,
            swept: deletes_left - self.deletes_left,
        })
    }

    fn consider(&mut self, row: Row, shared_ms: u64) {
        let Some(entry) = Entry::parse(&row.value) else {
            log::warn!(key = row.key.as_str(); "a row is no entry");
            return;
        };
        if shared_ms > entry.expires_ms && self.finished(&row, &entry) {
            self.sweep(&row, &entry);
            return;
        }
        if row.key.starts_with(CLAIM_PREFIX) {
            return;
        }
        let overdue = is_overdue(&entry, shared_ms);
        match &entry.state {
            State::Done(_) | State::Async => {}
            _ if overdue => self.pursue(row, entry, shared_ms),
            State::Queued => self.pursue(row, entry, shared_ms),
            _ if self.core.gone(&entry) => self.pursue(row, entry, shared_ms),
            State::Dispatched(target) if entry.cancelled => self.core.executor.cancel(target),
            _ => {}
        }
    }

    /// Whether nobody works on an entry any more. A keyed request whose gateway died is pursued
    /// only by its caller's repeats, which have stopped by the time its row expires.
    fn finished(&self, row: &Row, entry: &Entry) -> bool {
        let ended = matches!(entry.state, State::Done(_) | State::Async);
        ended || (row.key.starts_with(CLAIM_PREFIX) && self.core.gone(entry))
    }

    /// Deletes an expired row, its objects first.
    fn sweep(&mut self, row: &Row, entry: &Entry) {
        if self.deletes_left == 0 {
            return;
        }
        self.deletes_left -= 1;
        if delete_objects(&self.core, &row.key, entry).is_err() {
            return;
        }
        self.core.write(Op {
            key: row.key.clone(),
            expected: row.version,
            value: None,
        });
        self.core.metrics.swept.add(1);
    }

    /// Starts a thread that takes the entry and runs it, unless one is at it or all are busy.
    fn pursue(&self, row: Row, entry: Entry, shared_ms: u64) {
        let key = row.key.clone();
        {
            let mut working = lock(&self.core.working);
            if working.len() >= self.core.options.held_max || !working.insert(key.clone()) {
                return;
            }
        }
        let core = Arc::clone(&self.core);
        let closers = self.closers.clone();
        let thread = thread::Builder::new().name("durable-run".to_string());
        let started = thread.spawn(move || {
            let key = row.key.clone();
            take(&core, &closers, row, entry, shared_ms);
            lock(&core.working).remove(&key);
        });
        if let Err(error) = started {
            log::error!(error:% = error; "no thread for a durable request");
            lock(&self.core.working).remove(&key);
        }
    }
}

/// The next shards in turn, at most `count`.
fn next_of(shards: &[u32], next: &mut usize, count: usize) -> Vec<u32> {
    let count = count.min(shards.len());
    let from = *next;
    *next = from.wrapping_add(count);
    (0..count)
        .map(|turn| shards[from.wrapping_add(turn) % shards.len()])
        .collect()
}

fn delete_objects(core: &Core, row_key: &str, entry: &Entry) -> Result<(), Error> {
    if entry.body != 0 {
        core.objects.delete(&body_key(id_of(row_key), entry.body))?;
    }
    let long = matches!(&entry.state, State::Done(done) if done.body != crate::entry::Body::None);
    if long || entry.fencing > 1 {
        for fencing in 1..=entry.fencing {
            core.objects.delete(&answer_key(row_key, fencing))?;
        }
    }
    Ok(())
}

/// Whether an entry's holder must have ended it by now: its own watchdog ends a request by its
/// deadline, so that no lease need lapse.
pub(crate) fn is_overdue(entry: &Entry, shared_ms: u64) -> bool {
    let ended = matches!(entry.state, State::Done(_) | State::Async);
    !ended && shared_ms > entry.deadline_ms + OVERDUE_MS
}

/// Takes an entry over and runs it to its end; one that is overdue is only ended.
pub(crate) fn take(
    core: &Arc<Core>,
    closers: &Sender<Closing>,
    row: Row,
    entry: Entry,
    shared_ms: u64,
) {
    let options = pursuit::Options {
        gateway: core.options.gateway,
        nonce: core.enter(),
        key: row.key.clone(),
        forget_refused: false,
        mark_all: true,
        hold_accepted: false,
    };
    let late = shared_ms > entry.deadline_ms;
    let doomed = late.then_some(RefusalReason::Deadline);
    let abandoned = entry.state == State::Submitting;
    let body = body_key(id_of(&row.key), entry.body);
    let mut pursuit = Pursuit::new(options, entry);
    let overdue = is_overdue(pursuit.entry(), shared_ms);
    let target = match &pursuit.entry().state {
        State::Dispatched(target) if overdue => Some(target.clone()),
        _ => None,
    };
    let action = pursuit.found(Some(row), &|entry| overdue || core.gone(entry), doomed);
    let action = core.drive(&mut pursuit, action, Instant::now());
    if let (Action::Replay(_), Some(target)) = (&action, &target) {
        core.executor.cancel(target);
    }
    match action {
        Action::Run | Action::Resume(_) => {
            if pursuit.entry().fencing > 2 {
                core.metrics.taken_over.add(1);
            }
            run::run(core, closers, pursuit, action);
        }
        Action::Refuse(_) => {
            core.surrender(pursuit.key(), pursuit.nonce());
            core.leave(pursuit.nonce());
        }
        _ => {
            core.leave(pursuit.nonce());
            if abandoned {
                // Unwritten, it costs one object; the row is gone either way.
                let _ = core.objects.delete(&body);
            }
        }
    }
}
