//! Compaction that is cut off, repeated and raced.

mod support;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mgs_platform::table::Page;
use mgs_platform::table::Row;
use mgs_platform::table::Table as TableService;
use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_platform::Error as PlatformError;
use mgs_settings::store::compact;
use mgs_settings::store::compact::Options;
use mgs_settings::store::compact::Outcome;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::Table;
use mgs_standin::platform::memory::Memory;
use rstest::rstest;
use support::fill;
use support::store;

/// Writes of the run that is cut off: two archive objects, the snapshot, the pointer, the log in
/// two transactions, the older snapshot.
const WRITES: u64 = 7;

const KEEP: Options = Options { keep_edits: 30 };

fn assert_whole(memory: &Memory, versions: u64) {
    let table = read::load(store(memory)).unwrap();
    assert_eq!(table.version(), versions);
    let edits = read::history(store(memory), 1, u64::MAX).unwrap();
    let seen: Vec<u64> = edits.iter().map(|edit| edit.version).collect();
    assert_eq!(seen, (1..=versions).collect::<Vec<_>>());
    let replayed = Table::default().after(&edits).unwrap();
    assert_eq!(replayed.snapshot(), table.snapshot());
}

#[test]
fn the_table_and_its_history_stay_whole() {
    let memory = Memory::default();
    fill(store(&memory), 285);
    assert_eq!(
        compact::run(store(&memory), &KEEP).unwrap(),
        Outcome::NotNeeded
    );
    fill(store(&memory), 5);
    assert_eq!(
        compact::run(store(&memory), &KEEP).unwrap(),
        Outcome::Compacted(256)
    );
    assert_whole(&memory, 290);
    assert_eq!(
        compact::run(store(&memory), &KEEP).unwrap(),
        Outcome::NotNeeded
    );
    fill(store(&memory), 300);
    assert_eq!(
        compact::run(store(&memory), &KEEP).unwrap(),
        Outcome::Compacted(512)
    );
    assert_whole(&memory, 590);
    assert_eq!(read::history(store(&memory), 250, 260).unwrap().len(), 11);
}

/// A platform whose nth write, and every later call, fails.
struct CutOff<'a> {
    inner: &'a Memory,
    writes_left: AtomicU64,
    takes_effect: bool,
}

impl CutOff<'_> {
    fn write<T>(&self, write: impl Fn() -> Result<T, PlatformError>) -> Result<T, PlatformError> {
        let left = self.writes_left.load(Ordering::Relaxed);
        if left > 0 {
            self.writes_left.store(left - 1, Ordering::Relaxed);
            return write();
        }
        if self.takes_effect {
            write()?;
        }
        Err(PlatformError::Unknown("cut off".to_string()))
    }
}

impl TableService for CutOff<'_> {
    fn commit(&self, txn: &Txn) -> Result<TxnOutcome, PlatformError> {
        self.write(|| self.inner.commit(txn))
    }

    fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        TableService::get(self.inner, key)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, PlatformError> {
        self.inner.scan(prefix, after, limit)
    }
}

impl mgs_platform::object::Objects for CutOff<'_> {
    fn put(&self, key: &str, body: &[u8]) -> Result<(), PlatformError> {
        self.write(|| self.inner.put(key, body))
    }

    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        mgs_platform::object::Objects::get(self.inner, key)
    }

    fn delete(&self, key: &str) -> Result<(), PlatformError> {
        self.write(|| mgs_platform::object::Objects::delete(self.inner, key))
    }
}

#[rstest]
fn cut_off_at_any_write_it_harms_nothing_and_the_next_run_finishes(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] writes: u64,
    #[values(false, true)] takes_effect: bool,
) {
    let memory = Memory::default();
    fill(store(&memory), 290);
    compact::run(store(&memory), &KEEP).unwrap();
    fill(store(&memory), 600);
    let cut_off = CutOff {
        inner: &memory,
        writes_left: AtomicU64::new(writes),
        takes_effect,
    };
    let broken = Store {
        table: &cut_off,
        objects: &cut_off,
    };
    let result = compact::run(broken, &KEEP);
    assert_eq!(result.is_err(), writes < WRITES);
    assert_whole(&memory, 890);
    compact::run(store(&memory), &KEEP).unwrap();
    assert_whole(&memory, 890);
    let log = read::all_edits_after(&memory, 768).unwrap();
    assert_eq!(log.len(), 122);
    let oldest = memory.scan("settings/log/", "", 1).unwrap();
    assert_eq!(oldest.rows[0].key, mgs_settings::store::log_key(769));
}
